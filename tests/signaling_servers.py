# SPDX-License-Identifier: MIT
"""Backend servers with flow-control headers, and router instances with real clients."""

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
#: For how long servers process a request, in seconds.
WORK_S = 0.01
#: The limit for work on a server that is shutting down, in seconds.
LEAVING_S = 0.3
#: Timeouts that are long enough for sends that wait for a connection.
LONG_LIMITS = {
    "first_event_limit_s": "1.0",
    "gap_limit_s": "1.0",
    "silence_limit_s": "1.0",
}
STREAMS = call_route(max_attempts=3)
PLAIN = plain_route(max_attempts=3)


#: How long after a back-off was requested further requests may arrive, in seconds:
#: requests in flight have arrived by then, and servers tolerate none after that.
IN_FLIGHT_S = 0.5
#: Shorter delays of the event loop, in seconds, are attributed to the timers of a busy
#: machine.
MIN_STALL_S = 0.01


class LoopLag:
    """Delays of the event loop, which the servers and instances of a test share."""

    def __init__(self):
        self.max_s = 0.0
        #: The start and end times of delays.
        self._stalls = []

    def stalled_s(self, from_s, until_s):
        """Return the total delay between two times."""
        parts = [min(end, until_s) - max(begin, from_s) for begin, end in self._stalls]
        return sum(part for part in parts if part > 0.0)

    def stalls(self, *, least_s, within_s):
        """Return the start and end times of delays with a minimum total within a time.

        Several short delays in a row affect tasks that need several loop iterations.
        """
        stalls = []
        for index, (_, until_s) in enumerate(self._stalls):
            recent = [
                stall
                for stall in self._stalls[: index + 1]
                if stall[1] > until_s - within_s
            ]
            if sum(end - begin for begin, end in recent) >= least_s:
                stalls.append((recent[0][0], until_s))
        return stalls

    def last_stall_end_s(self, *, least_s):
        """Return when the last delay of at least *least_s* ended; -inf without one."""
        ends = [end for begin, end in self._stalls if end - begin >= least_s]
        return max(ends, default=-math.inf)

    async def watch(self):
        """Measure delays until cancelled."""
        while True:
            before_s = clocks.now_s()
            await asyncio.sleep(0.01)
            now_s = clocks.now_s()
            late_s = now_s - before_s - 0.01
            self.max_s = max(self.max_s, late_s)
            if late_s >= MIN_STALL_S:
                self._stalls.append((now_s - late_s, now_s))


@contextlib.asynccontextmanager
async def measure_loop_lag():
    """Measure the delays of the event loop in the background."""
    lag = LoopLag()
    measurement = asyncio.create_task(lag.watch())
    try:
        yield lag
    finally:
        measurement.cancel()


class SignalingServer:
    """A fake server with the headers of the platform's specification.

    It records all requests.

    Args:
        listed: Its entry, without its address.
    """

    def __init__(self, listed):
        self.listed = listed
        #: The ``Retry-After`` header of rejections; None to accept requests.
        self.retry_after = None
        self.is_leaving = False
        #: The ``Server-Limit`` header of responses.
        self.limit_a_s = None
        #: Returns the processing time of a request, in seconds.
        self.work_s = lambda: WORK_S
        self.arrived = []
        self._remote_addresses = set()
        #: When a flow-control header was first sent.
        self.first_signal_s = None
        #: The back-off requests, with the instance, the time and the server's start.
        self.backoff_requests = []
        self.accepted = []
        self.shutdown_reports = []
        self.arrivals_by_start = []
        self._app_runner = None

    async def start(self):
        """Listen on a free port."""
        app = web.Application()
        app.router.add_get("/api/report", self._report)
        app.router.add_post("/api/order", self._order)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._app_runner = web.AppRunner(app, handler_cancellation=True)
        await self._app_runner.setup()
        await web.TCPSite(self._app_runner, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{self._app_runner.addresses[0][1]}"
        self.listed = self.listed._replace(address=address)

    async def stop(self):
        """Stop listening."""
        await self._app_runner.cleanup()

    def restart(self, started_ms):
        """Simulate a restart under the same id, without any signals."""
        self.listed = self.listed._replace(started_ms=started_ms)
        self.retry_after = None
        self.is_leaving = False
        self.limit_a_s = None

    @property
    def connections(self):
        """The number of connections with requests."""
        return len(self._remote_addresses)

    def arrivals(self, *, after_s, until_s, machine=""):
        """Return the requests that arrived in a time range after the first signal."""
        return [
            request
            for request, at_s in self._requests_between(
                after_s=after_s, until_s=until_s
            )
            if request.startswith(machine)
        ]

    def arrival_times(self, *, after_s, until_s):
        """Return the times of requests that arrived in such a range."""
        return [
            at_s for _, at_s in self._requests_between(after_s=after_s, until_s=until_s)
        ]

    def _requests_between(self, *, after_s, until_s):
        first_s, last_s = (
            self.first_signal_s + after_s,
            self.first_signal_s + until_s,
        )
        return [arrival for arrival in self.arrived if first_s <= arrival[1] < last_s]

    def _response_headers(self, request):
        """Return the headers of the response to a request that has just arrived."""
        headers = {ID: request.headers.get(ID, "")}
        if self.limit_a_s is not None:
            headers["Server-Limit"] = self.limit_a_s
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    def _respond(self, headers, started_ms, **response):
        """Respond, and record the signals in the response as effective from now."""
        now_s = clocks.now_s()
        if headers.keys() & {"Server-Limit", "Server-Leaving", "Retry-After"}:
            self.first_signal_s = self.first_signal_s or now_s
        instance = headers[ID].partition("-")[0]
        if "Server-Leaving" in headers:
            self.shutdown_reports.append((instance, now_s, started_ms))
        if "Retry-After" in headers:
            self.backoff_requests.append(
                (instance, now_s, headers["Retry-After"], started_ms)
            )
        return web.Response(headers=headers, **response)

    async def _report(self, request):
        self.arrived.append(("report", clocks.now_s()))
        body = {"Sequence": 0, "Busy": False, "layers": None, "stalled": []}
        headers = self._response_headers(request)
        return self._respond(headers, self.listed.started_ms, body=json.dumps(body))

    async def _order(self, request):
        order = await request.json()
        self.arrived.append((order["op"], clocks.now_s()))
        return self._respond(
            self._response_headers(request), self.listed.started_ms, body=b"{}"
        )

    async def _serve(self, request):
        self._remote_addresses.add(request.transport.get_extra_info("peername"))
        call_id = request.headers.get(ID, "")
        started_ms = self.listed.started_ms
        self.arrived.append((call_id, clocks.now_s()))
        self.arrivals_by_start.append((*self.arrived[-1], started_ms))
        headers = self._response_headers(request)
        if self.retry_after is not None:
            headers |= {
                "Violethatch-Not-Executed": "1",
                "Retry-After": self.retry_after,
            }
            return self._respond(headers, started_ms, status=503)
        self.accepted.append(call_id)
        await asyncio.sleep(self.work_s())
        is_plain = request.path.startswith("/label/")
        body = b"done" if is_plain else b"id: 1\ndata: 1\n\n"
        return self._respond(headers, started_ms, body=body)


class RouterInstance:
    """A router instance with its own connections.

    Args:
        name: The prefix of the ids of its requests.
        servers: The listed servers.
        seed: The seed of all random choices.
    """

    def __init__(self, name, servers, *, seed=1):
        self.name = name
        self.kept = make_session(is_kept=True)
        self.fresh = make_session(is_kept=False)
        self.client = Runners(self.kept, self.fresh)
        router_settings = settings(retry_reserve=200, **LONG_LIMITS)
        bounds = router_settings.bounds._replace(leaving_ms=int(1000 * LEAVING_S))
        self.router = Router(
            router_settings._replace(bounds=bounds),
            client=self.client,
            decoder=_PassthroughDecoder(),
            rng=random.Random(seed),
        )
        self.router.desired = desired_state(STREAMS, PLAIN)
        self.list(
            {server.listed.id: server.listed for server in servers}, is_whole=True
        )
        self.request_count = 0

    def list(self, values, *, is_whole=False):
        """Apply a full list of servers, or changes to it."""
        self.router.apply_server_list(TableView(values, 1, 0.0), is_whole)

    async def ask(self, *, path="/draft/1", **changes):
        """Send a request; return its response or error."""
        self.request_count += 1
        self.router.freshness.proven(clocks.now_s())
        call_id = f"{self.name}-{self.request_count}"
        call = make_call(path=path, id=call_id, headers=((ID, call_id),), **changes)
        responder = FakeResponder()
        try:
            await self.router.serve(call, responder)
        except VioletHatchError as error:
            error.call_id = call_id
            return error
        return responder

    async def send_repeatedly(self, *, every_s, for_s, path="/draft/1"):
        """Send requests at a fixed interval; return their responses and errors."""
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


class _PassthroughDecoder:
    """Decodes entries that are already decoded."""

    def backend_server(self, _server_id, value):
        return value

    def desired_steps(self, value, *, above):
        yield
        return value if above is None or value.version > above else None


def join_instances(instances, *, seed=1):
    """Connect instances by datagrams; return the network."""
    rng = random.Random(seed)
    network = Network(rng)
    entries = instance_entries(len(instances))
    for instance, own in zip(instances, entries.values(), strict=True):
        instance.datagrams = network.join(own, entries)
        PeerLinks(instance.datagrams, instance.router, rng=rng).open()
    return network


def max_within(times_s, span_s):
    """Return the maximum number of times within any interval of a given length."""
    times_s = sorted(times_s)
    first = 0
    max_count = 0
    for last, at_s in enumerate(times_s):
        while at_s - times_s[first] > span_s:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count


def slow_connects(session, wait_s):
    """Delay the connections of a session, by a function of the address."""
    connector = session.connector
    connect = connector.connect

    async def delayed_connect(req, **options):
        await asyncio.sleep(wait_s(f"{req.host}:{req.port}"))
        return await connect(req, **options)

    connector.connect = delayed_connect


@contextlib.asynccontextmanager
async def servers_and_instances(listed, *, instance_count=1, seed=1):
    """Provide running servers, and instances that list them."""
    servers = [SignalingServer(entry) for entry in listed]
    await asyncio.gather(*(server.start() for server in servers))
    instances = [
        RouterInstance(f"m{n}", servers, seed=seed + n) for n in range(instance_count)
    ]
    try:
        yield servers, instances
    finally:
        await asyncio.gather(*(instance.stop() for instance in instances))
        await asyncio.gather(*(server.stop() for server in servers))


def preferred_servers(path):
    """Return the entries of three servers; paths prefer the first one."""
    if path.startswith("/label/"):
        return [plain_server("s1"), plain_server("s2", availability_zone="z2")]
    return [
        runner("s1", 0, 80, kind="large"),
        runner("s2", 0, 80, kind="medium"),
        runner("s3", 0, 80, kind="medium"),
    ]
