# SPDX-License-Identifier: MIT
"""Servers that say something of themselves, in front of them real clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random

from aiohttp import web

from mortal_fleet import Network, instance_entries
from router_fakes import FakeResponder, make_call, settings
from routing_samples import (
    call_route,
    desired_state,
    plain_route,
    plain_server,
    runner,
)
from violethatch import clocks
from violethatch._peer_links import PeerLinks
from violethatch._router import Router
from violethatch.errors import VioletHatchError
from violethatch.platform._runners import Runners
from violethatch.platform._sessions import make_session
from violethatch.upstream import TableView


ID = "Violethatch-Attempt-Id"
#: How long servers take for what they run, in seconds.
WORK_S = 0.01
#: The bound on work for a server that is leaving, in seconds.
LEAVING_S = 0.3
#: Sends that wait for a connection are waited for.
LONG_LIMITS = {
    "first_event_limit_s": "1.0",
    "gap_limit_s": "1.0",
    "silence_limit_s": "1.0",
}
STREAMS = call_route(max_attempts=3)
PLAIN = plain_route(max_attempts=3)


#: From when on nothing is to come within a rest, in seconds: what was on its way when
#: the word came has arrived by then, and what servers allow ends there.
IN_FLIGHT_S = 0.5
#: Below this, in seconds, a wake-up is not late: timers of a busy machine.
MIN_STALL_S = 0.01


class LoopLag:
    """How late the loop is, at the most: servers and instances of a test share it."""

    def __init__(self):
        self.max_s = 0.0
        #: From when until when it stood still.
        self._holds = []

    def stalled_s(self, from_s, until_s):
        """Return for how long it stood still between two times: holds add up."""
        parts = [min(end, until_s) - max(begin, from_s) for begin, end in self._holds]
        return sum(part for part in parts if part > 0.0)

    def stalls(self, *, least_s, within_s):
        """Return from when until when it stood still for so long in all within a time.

        Short holds in a row delay what takes several turns of the loop.
        """
        found = []
        for index, (_, until_s) in enumerate(self._holds):
            row = [
                one for one in self._holds[: index + 1] if one[1] > until_s - within_s
            ]
            if sum(end - begin for begin, end in row) >= least_s:
                found.append((row[0][0], until_s))
        return found

    def last_stall_end_s(self, *, least_s):
        """Return when the last hold of at least *least_s* ended; -inf without one."""
        ends = [end for begin, end in self._holds if end - begin >= least_s]
        return max(ends, default=-math.inf)

    async def watch(self):
        """Look again and again, until cancelled."""
        while True:
            before_s = clocks.now_s()
            await asyncio.sleep(0.01)
            now_s = clocks.now_s()
            late_s = now_s - before_s - 0.01
            self.max_s = max(self.max_s, late_s)
            if late_s >= MIN_STALL_S:
                self._holds.append((now_s - late_s, now_s))


@contextlib.asynccontextmanager
async def measure_loop_lag():
    """Provide how late the loop was meanwhile."""
    lag = LoopLag()
    watching = asyncio.create_task(lag.watch())
    try:
        yield lag
    finally:
        watching.cancel()


class SignalingServer:
    """A stand-in of a server, from the users' pages; it notes what reaches it.

    Args:
        listed: Its entry, without its address.
    """

    def __init__(self, listed):
        self.listed = listed
        #: How requests are turned away: the figure of the rest, or None to run them.
        self.retry_after = None
        self.is_leaving = False
        #: How many requests a second it takes from all, as its answers name it.
        self.limit_a_s = None
        #: How long what it runs takes, in seconds.
        self.work_s = lambda: WORK_S
        self.arrived = []
        self._peers = set()
        #: When it first answered with its word.
        self.first_signal_s = None
        #: What it has said to which machine, when and in which start of it.
        self.backoff_requests = []
        self.accepted = []
        self.shutdown_reports = []
        self.arrivals_by_start = []
        self._serving = None

    async def start(self):
        """Listen on a port of its own."""
        app = web.Application()
        app.router.add_get("/api/report", self._report)
        app.router.add_post("/api/order", self._order)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._serving = web.AppRunner(app, handler_cancellation=True)
        await self._serving.setup()
        await web.TCPSite(self._serving, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{self._serving.addresses[0][1]}"
        self.listed = self.listed._replace(address=address)

    async def stop(self):
        """Listen no more."""
        await self._serving.cleanup()

    def restart(self, started_ms):
        """Be another start under the same id, which has said nothing yet."""
        self.listed = self.listed._replace(started_ms=started_ms)
        self.retry_after = None
        self.is_leaving = False
        self.limit_a_s = None

    @property
    def connections(self):
        """How many connections have brought requests."""
        return len(self._peers)

    def arrivals(self, *, after_s, until_s, machine=""):
        """Return what reached it within a time, counted from its first word."""
        return [
            what
            for what, at_s in self._arrived(after_s=after_s, until_s=until_s)
            if what.startswith(machine)
        ]

    def arrival_times(self, *, after_s, until_s):
        """Return when something reached it, likewise."""
        return [at_s for _, at_s in self._arrived(after_s=after_s, until_s=until_s)]

    def _arrived(self, *, after_s, until_s):
        first_s, last_s = self.first_signal_s + after_s, self.first_signal_s + until_s
        return [one for one in self.arrived if first_s <= one[1] < last_s]

    def _heads(self, request):
        """Return the headers of an answer to a request that has just come."""
        heads = {ID: request.headers.get(ID, "")}
        if self.limit_a_s is not None:
            heads["Server-Limit"] = self.limit_a_s
        if self.is_leaving:
            heads["Server-Leaving"] = "1"
        return heads

    def _answer(self, heads, started_ms, **answer):
        """Answer now, and note what is said by it: nobody can know it sooner."""
        now_s = clocks.now_s()
        if heads.keys() & {"Server-Limit", "Server-Leaving", "Retry-After"}:
            self.first_signal_s = self.first_signal_s or now_s
        machine = heads[ID].partition("-")[0]
        if "Server-Leaving" in heads:
            self.shutdown_reports.append((machine, now_s, started_ms))
        if "Retry-After" in heads:
            self.backoff_requests.append(
                (machine, now_s, heads["Retry-After"], started_ms)
            )
        return web.Response(headers=heads, **answer)

    async def _report(self, request):
        self.arrived.append(("report", clocks.now_s()))
        body = {"Sequence": 0, "Busy": False, "layers": None, "stalled": []}
        heads = self._heads(request)
        return self._answer(heads, self.listed.started_ms, body=json.dumps(body))

    async def _order(self, request):
        order = await request.json()
        self.arrived.append((order["op"], clocks.now_s()))
        return self._answer(self._heads(request), self.listed.started_ms, body=b"{}")

    async def _serve(self, request):
        self._peers.add(request.transport.get_extra_info("peername"))
        call_id = request.headers.get(ID, "")
        started_ms = self.listed.started_ms
        self.arrived.append((call_id, clocks.now_s()))
        self.arrivals_by_start.append((*self.arrived[-1], started_ms))
        heads = self._heads(request)
        if self.retry_after is not None:
            heads |= {"Violethatch-Not-Executed": "1", "Retry-After": self.retry_after}
            return self._answer(heads, started_ms, status=503)
        self.accepted.append(call_id)
        await asyncio.sleep(self.work_s())
        is_plain = request.path.startswith("/label/")
        body = b"done" if is_plain else b"id: 1\ndata: 1\n\n"
        return self._answer(heads, started_ms, body=body)


class RouterInstance:
    """One instance, with connections of its own.

    Args:
        name: Stands before the ids of its requests.
        servers: What it sends to.
        seed: Of all its random choices.
    """

    def __init__(self, name, servers, *, seed=1):
        self.name = name
        self.kept = make_session(is_kept=True)
        self.fresh = make_session(is_kept=False)
        self.client = Runners(self.kept, self.fresh)
        made = settings(retry_reserve=200, **LONG_LIMITS)
        bounds = made.bounds._replace(leaving_ms=int(1000 * LEAVING_S))
        self.router = Router(
            made._replace(bounds=bounds),
            client=self.client,
            decoder=_Listed(),
            rng=random.Random(seed),
        )
        self.router.desired = desired_state(STREAMS, PLAIN)
        self.list({one.listed.id: one.listed for one in servers}, is_whole=True)
        self.asked = 0

    def list(self, values, *, is_whole=False):
        """Tell the instance of the list, or of its changes."""
        self.router.apply_server_list(TableView(values, 1, 0.0), is_whole)

    async def ask(self, *, path="/draft/1", **changes):
        """Send a request; return its answer or the error, and how long it took."""
        self.asked += 1
        self.router.freshness.proven(clocks.now_s())
        call_id = f"{self.name}-{self.asked}"
        call = make_call(path=path, id=call_id, headers=((ID, call_id),), **changes)
        responder = FakeResponder()
        try:
            await self.router.serve(call, responder)
        except VioletHatchError as error:
            error.call_id = call_id
            return error
        return responder

    async def send_repeatedly(self, *, every_s, for_s, path="/draft/1"):
        """Send requests one after another; return what came of them."""
        end_s = clocks.now_s() + for_s
        tasks = []
        while clocks.now_s() < end_s:
            tasks.append(asyncio.create_task(self.ask(path=path)))
            await asyncio.sleep(every_s)
        return await asyncio.gather(*tasks)

    async def stop(self):
        """Close all connections."""
        await self.kept.close()
        await self.fresh.close()


class _Listed:
    """Lists servers as they are."""

    def backend_server(self, _server_id, value):
        return value

    def desired_steps(self, value, *, above):
        yield
        return value if above is None or value.version > above else None


def join_instances(machines, *, seed=1):
    """Let instances tell each other by datagrams; return what carries these."""
    rng = random.Random(seed)
    network = Network(rng)
    entries = instance_entries(len(machines))
    for machine, own in zip(machines, entries.values(), strict=True):
        machine.datagrams = network.join(own, entries)
        PeerLinks(machine.datagrams, machine.router, rng=rng).open()
    return network


def max_within(times_s, span_s):
    """Return the most of some times that lie within any span so long, in seconds."""
    times_s = sorted(times_s)
    first = 0
    most = 0
    for last, at_s in enumerate(times_s):
        while at_s - times_s[first] > span_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def slow_connects(session, wait_s):
    """Let a session's connections take longer, by a function of the address."""
    connector = session.connector
    connect = connector.connect

    async def late(req, **options):
        await asyncio.sleep(wait_s(f"{req.host}:{req.port}"))
        return await connect(req, **options)

    connector.connect = late


@contextlib.asynccontextmanager
async def servers_and_instances(listed, *, instance_count=1, seed=1):
    """Provide servers that listen, and instances that know them."""
    servers = [SignalingServer(one) for one in listed]
    await asyncio.gather(*(one.start() for one in servers))
    made = [
        RouterInstance(f"m{n}", servers, seed=seed + n) for n in range(instance_count)
    ]
    try:
        yield servers, made
    finally:
        await asyncio.gather(*(one.stop() for one in made))
        await asyncio.gather(*(one.stop() for one in servers))


def preferred_servers(path):
    """Return entries of three servers, of which the first is preferred for a path."""
    if path.startswith("/label/"):
        return [plain_server("s1"), plain_server("s2", availability_zone="z2")]
    return [
        runner("s1", 0, 80, kind="large"),
        runner("s2", 0, 80, kind="medium"),
        runner("s3", 0, 80, kind="medium"),
    ]
