# SPDX-License-Identifier: MIT
"""Routers joined by datagrams, in front of servers that requests can end."""

from __future__ import annotations

import asyncio
import random

from router_fakes import (
    FakeAnswer,
    FakeResponder,
    broken_connection,
    events,
    make_call,
    report,
    settings,
)
from routing_samples import (
    call_route,
    desired_state,
    plain_route,
    plain_server,
    runner,
)
from test_instances import entry
from violethatch import clocks
from violethatch._peer_datagrams import PeerDatagrams
from violethatch._peer_links import PeerLinks
from violethatch._router import Router
from violethatch.errors import VioletHatchError
from violethatch.instances import InstanceDirectory
from violethatch.upstream import (
    NotSentError,
    OrderAnswer,
    OrderOutcome,
    ReachOutcome,
    TableView,
)


#: The body of a request that ends each server which begins to run it.
DEADLY = b"the last straw"
#: A part of prompts that does the same, whatever else a request holds.
DEADLY_PART = "dead"
#: How long a server runs that request, in seconds.
DEADLY_S = 0.01
#: How long servers of the plain service take, in seconds.
PLAIN_S = 0.02
#: After how long a server is back under a new id, in seconds.
BACK_S = 0.1
STREAMS = call_route(max_attempts=2)
PLAIN = plain_route(max_attempts=2)


def is_deadly_call(call):
    """Tell whether a request ends each server that begins to run it."""
    return call.body == DEADLY or DEADLY_PART in call.prompt_parts


class Server:
    """One lifetime of a server."""

    def __init__(self, listed):
        self.listed = listed
        self.has_ended = asyncio.Event()


class MortalAnswer(FakeAnswer):
    """Events that go on until the server ends."""

    def __init__(self, server, script):
        super().__init__(*script)
        self.server = server

    async def parts(self):
        ended = asyncio.create_task(self.server.has_ended.wait())
        for step in self.script:
            if isinstance(step, Exception):
                raise step
            if isinstance(step, bytes):
                if ended.done():
                    raise broken_connection()
                yield step
                continue
            await asyncio.wait((ended,), timeout=step)
            if ended.done():
                raise broken_connection()
        ended.cancel()


class Servers:
    """The servers of a service, as all routers' client and list of them.

    Args:
        make: Returns a server's entry for an id.
        count: How many there are at a time.
        back_s: After how long a server is back under a new id, in seconds.
    """

    def __init__(self, make, *, count=4, back_s=BACK_S):
        self.make = make
        self.back_s = back_s
        self.by_id = {}
        self.routers = []
        self.made = 0
        self.ended_s = []
        #: When deadly requests reached servers.
        self.arrived_s = []
        #: Whether deadly requests end servers.
        self.is_mortal = True
        #: For how long an ended server still takes connections, in seconds, and the
        #: ids of those that do.
        self.closing_s = 0.0
        self.closing = set()
        self.script = [0.01, events(1), 0.02, events(2)]
        #: What comes of a deadly request's answer that ends with its connection, or
        #: None where answers tell their own end.
        self.unframed_rest = None
        for _ in range(count):
            self.start()

    def start(self):
        """Start a server under a new id, and list it."""
        self.made += 1
        server = Server(self.make(f"s{self.made}"))
        self.by_id[server.listed.id] = server
        self.tell({server.listed.id: server.listed})

    def add(self, listed):
        """List a server that nothing ends."""
        self.by_id[listed.id] = Server(listed)
        self.tell({listed.id: listed})

    def tell(self, values):
        """Tell all routers of the list's changes."""
        for router in self.routers:
            router.apply_server_list(TableView(values, 1, 0.0), False)

    def end(self, server):
        """End a server; another one is back after a while."""
        if server.has_ended.is_set():
            return
        server.has_ended.set()
        del self.by_id[server.listed.id]
        loop = asyncio.get_running_loop()
        if self.closing_s:
            self.closing.add(server.listed.id)
            loop.call_later(self.closing_s, self.closing.discard, server.listed.id)
        loop.call_later(self.back_s, self.replace, server)

    def replace(self, server):
        """Take an ended server's entry off, and start another one."""
        self.tell({server.listed.id: None})
        self.start()

    async def send(self, send):
        server = self.by_id.get(send.server.id)
        is_deadly = self.is_mortal and is_deadly_call(send.call)
        if is_deadly:
            self.arrived_s.append(clocks.now_s())
        if server is None:
            raise NotSentError("refused")
        if is_deadly:
            await asyncio.sleep(DEADLY_S)
            if not server.has_ended.is_set():
                self.ended_s.append(clocks.now_s())
            self.end(server)
            if self.unframed_rest is not None:
                return FakeAnswer(self.unframed_rest, is_framed=False)
            raise broken_connection()
        if send.path is None:
            await asyncio.sleep(PLAIN_S)
            if server.has_ended.is_set():
                raise broken_connection()
            return FakeAnswer(b"done")
        return MortalAnswer(server, self.script)

    async def is_refusing(self, server):
        await asyncio.sleep(0.002)
        return server.id not in self.by_id and server.id not in self.closing

    async def reach(self, server, *, health_path):
        await asyncio.sleep(0.002)
        return ReachOutcome.ANSWERED if server.id in self.by_id else ReachOutcome.SILENT

    async def report(self, server):
        return report() if server.id in self.by_id else None


class ChainServers(Servers):
    """Runners of two layer ranges; deadly requests end the one of the second."""

    def __init__(self, *, count=4, back_s=BACK_S):
        super().__init__(tail_runner, count=count, back_s=back_s)
        head = runner("head", 0, 40, kind="large")
        self.by_id["head"] = Server(head)
        #: Requests that wait for a later runner, by id.
        self.waiting = {}

    async def send(self, send):
        if not is_deadly_call(send.call):
            return FakeAnswer(0.01, events(1))
        over = asyncio.Event()
        self.waiting[send.call.id] = over
        self.run(send.path)
        await over.wait()
        return FakeAnswer(events(1))

    async def repath(self, server, call_id, path):
        if path.stages[-1].server.id not in self.by_id:
            return OrderAnswer(OrderOutcome.REFUSED)
        self.run(path)
        return OrderAnswer(OrderOutcome.DONE)

    def run(self, path):
        """Let a deadly request reach the last runner of a path."""
        server = self.by_id.get(path.stages[-1].server.id)
        if server is None:
            return
        self.arrived_s.append(clocks.now_s())
        self.ended_s.append(clocks.now_s() + DEADLY_S)
        asyncio.get_running_loop().call_later(DEADLY_S, self.end, server)


class Network:
    """Carries datagrams between routers, or loses them.

    Args:
        rng: Decides which are lost and doubled, and how late each is.
        lost_part: Which part of them is lost.
        latest_s: How late they come at the most, in seconds.
    """

    def __init__(self, rng, *, lost_part=0.0, latest_s=0.002):
        self.rng = rng
        self.lost_part = lost_part
        self.latest_s = latest_s
        self.receivers = {}
        self.transports = {}
        self.sent = 0

    def join(self, own, entries):
        """Return the datagrams of one instance, which knows all others."""
        directory = InstanceDirectory(own)
        directory.take(entries, is_whole=True)
        datagrams = PeerDatagrams(directory)
        self.transports[own.id] = _Transport(self)
        datagrams.connection_made(self.transports[own.id])
        host, port = own.address.split(":")
        self.receivers[host, int(port)] = datagrams
        return datagrams

    def carry(self, data, to):
        """Carry one datagram."""
        self.sent += 1
        if self.rng.random() < self.lost_part or to not in self.receivers:
            return
        loop = asyncio.get_running_loop()
        for _ in range(1 + (self.rng.random() < self.lost_part)):
            late_s = self.rng.uniform(0.0, self.latest_s)
            receive = self.receivers[to].datagram_received
            loop.call_later(late_s, receive, data, to)


class _Transport:
    def __init__(self, network):
        self.network = network
        self.is_cut = False

    def sendto(self, data, to):
        if not self.is_cut:
            self.network.carry(data, to)


def instance_entries(count):
    """Return the entries of some instances, by id."""
    return {
        f"i{n}": entry(f"i{n}")._replace(address=f"10.0.0.1:{n + 1}", token=f"t{n}")
        for n in range(count)
    }


class Fleet:
    """Routers in front of the same servers.

    Args:
        count: How many routers there are.
        servers: What they send to.
        seed: Of all random choices.
        retry_reserve: The retries that each router has at the start.
    """

    def __init__(self, count, servers, *, seed=1, lost_part=0.0, retry_reserve=50):
        self.retry_reserve = retry_reserve
        self.rng = random.Random(seed)
        self.servers = servers
        self.network = Network(self.rng, lost_part=lost_part)
        self.entries = instance_entries(count)
        self.routers = [self.join(one) for one in self.entries.values()]

    def join(self, own):
        """Make one router, and join it to the others."""
        made = settings(retry_reserve=self.retry_reserve)
        router = Router(
            made._replace(instance=made.instance._replace(id=own.id)),
            client=self.servers,
            decoder=_Listed(),
            rng=self.rng,
        )
        router.desired = desired_state(STREAMS, PLAIN, keys=("key-1", "key-2"))
        router.freshness.proven(clocks.now_s())
        datagrams = self.network.join(own, self.entries)
        PeerLinks(datagrams, router, rng=self.rng).open()
        self.servers.routers.append(router)
        listed = {one: server.listed for one, server in self.servers.by_id.items()}
        router.apply_server_list(TableView(listed, 1, 0.0), True)
        return router

    async def ask(self, router, *, path="/draft/1", body=b"a menu", **changes):
        """Send a request to a router; return the answer, or the error."""
        router.freshness.proven(clocks.now_s())
        responder = FakeResponder()
        call = make_call(path=path, body=body, **changes)
        try:
            await router.serve(call, responder)
        except VioletHatchError as error:
            return error
        return responder


class _Listed:
    """Takes listed servers as they are."""

    def backend_server(self, _server_id, value):
        return value


def model_runner(name):
    """Return a runner that holds the whole model."""
    return runner(name, 0, 80, kind="large")


def tail_runner(name):
    """Return a runner that holds the model's second half."""
    return runner(name, 40, 80, kind="large")


def label_server(name):
    """Return a server of the plain service."""
    return plain_server(name)
