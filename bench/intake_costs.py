# SPDX-License-Identifier: MIT
"""What taking in a desired state costs, by its number of routes.

    python3 bench/intake_costs.py [ROUTES ...]

The steps are timed one by one, over a list of 112 runners: the median and the longest
of their repeats, in milliseconds.  Then the whole way is gone, from a store on the
loopback interface to the state in force and to 20 instances that follow: how long the
event loop is held at the longest, when the state is in force, and what Python
allocates, in MB, at the peak and afterwards.
"""

from __future__ import annotations

import asyncio
import base64
import functools
import gc
import itertools
import json
import pathlib
import random
import re
import statistics
import sys
import time
import tracemalloc

from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple

import aiohttp
import msgspec

from aiohttp import web

from violethatch import clocks
from violethatch._connection_choice import ConnectionChoice
from violethatch._followers import TableFollower
from violethatch._relay_http import TOKEN_HEADER, RelayListener, _Answer, _Packer
from violethatch._relay_http import _decoded as unpacked
from violethatch._router import Router
from violethatch._serving import listen
from violethatch.backends import BackendServer
from violethatch.event_loop import EventLoop
from violethatch.freshness import Freshness, StoreClock
from violethatch.layers import LayerRange
from violethatch.platform._store import Store
from violethatch.platform._wire import Rows, WireDecoder
from violethatch.router_settings import RouterSettings, parse_router_settings
from violethatch.table_cache import TableCache
from violethatch.upstream import TableView


_SIZES = (100, 1_000, 10_000)
_REPEATS = 7
#: States taken in one after another on the whole way.
_VERSIONS = 6
#: Instances that follow on the whole way.
_FOLLOWERS = 20
_WORKSPACES = 400
_HOSTS = 40
_PLAIN_SERVICES = 20
_CHAINS, _STAGES, _ZONES = 28, 4, 7
_LAYERS = 80
#: How often the event loop's holds are looked at, in seconds.
_TICK_S = 0.0005
_MILLISECONDS = 1e3
_BYTES_A_MB = 1e6
#: The first port of the stand-ins; each play takes two.
_FIRST_PORT = 18_930
_TOKEN = "bench"
_TEMPLATE = pathlib.Path(__file__).parent.parent / "deploy" / "router.ini"
#: What the template's gaps are filled with, where it is not a number.
_TEXTS = {
    "Node": "edge-0",
    "Zone": "z0",
    "Region": "r0",
    "Listen.Front": "127.0.0.1:18920",
    "Listen.Ready": "127.0.0.1:18921",
    "Ip": "127.0.0.1",
    "InternalPorts.0": "18922",
    "InternalPorts.1": "18924",
    "Platform.Address": "127.0.0.1:18923",
    "Bounds.RetryBudgetRatio": "0.2",
    "Bounds.GraceS": "8",
    "Bounds.RevokeMs": "5000",
    "Limits.MemoryMb": "300",
    "Limits.MaxFds": "4100",
}
_NUMBER = "2000"
_PORTS = itertools.count(_FIRST_PORT)
_ENGINE = {
    "Slots": 96,
    "KvTokenBytes": 1_836_000,
    "Models": [{"load_s": 14.0}],
    "step_ms": 1.02,
    "per_seq_ms": 0.01428,
    "context_per_k": 0.01912,
    "read_per_s": 105_000.0,
    "pairs_per_m": 0.309,
    "delays": [{"From": "z0", "TargetVersion": "z1", "delay_ms": 0.75}],
    "usual": {"prompt": 774, "answer": 200},
    "layers": _LAYERS,
    "layer_mb": 1750.0,
    "act_bytes": 91_800,
    "pipe_mbps": 26_000.0,
    "kinds": [{"Name": "large", "mb": 72_000.0, "pace": 2.4, "read_x": 3.2}],
}


def row(routes: int, version: int, *, changed: int = 1) -> bytes:
    """Return a desired state as the store has it.

    Args:
        routes: How many routes it has.
        version: Its version.
        changed: How many routes are other ones than in the version before.
    """
    return json.dumps(
        {
            "Version": version,
            "Routes": [_route(n, version if n < changed else 0) for n in range(routes)],
            "Services": [
                {"Name": "model", "MaxConnections": 1000, "Engine": _ENGINE},
                *({"Name": f"plain-{n}"} for n in range(_PLAIN_SERVICES)),
            ],
            "Tenants": [
                {"Name": f"workspace-{n}", "ApiKeys": [f"key-{n}"]}
                for n in range(_WORKSPACES)
            ],
        }
    ).encode()


def _route(number: int, version: int) -> dict[str, Any]:
    """Return a route; a third of them are streams of the model."""
    is_stream = number % 3 == 0
    return {
        "Name": f"route-{number}",
        "Host": f"host-{number % _HOSTS}.example",
        "PathPrefix": f"/prefix-{number}/",
        "Kind": "streaming" if is_stream else "safe",
        "TimeoutMs": 20_000 + version,
        "TargetLatencyMs": 500,
        "Priority": number % 3,
        "Service": "model" if is_stream else f"plain-{number % _PLAIN_SERVICES}",
        "MaxAttempts": 2,
        "AuthExempt": False,
        "SessionAffinity": False,
        "StreamResume": is_stream,
        "gap_aim_ms": 200,
    }


def answer(state: bytes, version: int) -> bytes:
    """Return the store's answer that has a desired state."""
    row = {"Key": "config", "Value": base64.b64encode(state).decode(), "ver": version}
    now_ms = clocks.now_s() * _MILLISECONDS
    return json.dumps({"Rows": [row], "ver": version, "now_ms": now_ms}).encode()


def settings() -> RouterSettings:
    """Return the settings of the deployed template."""
    text = _TEMPLATE.read_text(encoding="utf-8")
    filled = re.sub(r"\{\{(.*?)\}\}", lambda gap: _TEXTS.get(gap[1], _NUMBER), text)
    return parse_router_settings(filled)


def router() -> Router:
    """Return a router with runners listed that hold a model."""
    client: Any = _NoClient()
    made = Router(
        settings(), client=client, decoder=WireDecoder(), rng=random.Random(1)
    )
    step = _LAYERS // _STAGES
    servers = [
        BackendServer(
            id=f"i-{chain}-{stage}",
            service="model",
            address=f"10.0.{chain}.{stage}:9000",
            availability_zone=f"z{chain % _ZONES}",
            slots=96,
            is_leaving=False,
            layers=LayerRange(stage * step, (stage + 1) * step),
            kind="large",
        )
        for chain in range(_CHAINS)
        for stage in range(_STAGES)
    ]
    made.routing.backends.replace(servers, now_s=clocks.now_s())
    return made


class _NoClient:
    """Calls nobody."""


class Spread(NamedTuple):
    """How long a step takes, in milliseconds."""

    median_ms: float
    longest_ms: float


def timed(step: Callable[[], Any]) -> Spread:
    """Return how long a step takes."""
    taken_ms = []
    for _ in range(_REPEATS):
        started_s = clocks.now_s()
        step()
        taken_ms.append((clocks.now_s() - started_s) * _MILLISECONDS)
    return Spread(statistics.median(taken_ms), max(taken_ms))


def steps(routes: int) -> Iterator[tuple[str, Callable[[], Any]]]:
    """Return the steps by name, each to be gone some times."""
    state = row(routes, 1)
    body = answer(state, 1)
    rows = msgspec.json.Decoder(Rows)
    [read] = rows.decode(body).rows
    yield "the store's answer, JSON", lambda: rows.decode(body)
    yield "the row, base64", lambda: read.content
    view = TableView({"config": state}, 1, 0.0)
    yield "an answer to a follower", lambda: asyncio.run(_Packer().packed(view))
    sent = asyncio.run(_Packer().packed(view))
    decoder = msgspec.msgpack.Decoder(_Answer)
    yield "the same, read", lambda: unpacked(sent, decoder)
    wire = WireDecoder()
    yield "the state, decoded", lambda: wire.desired_state(state)
    made = router()
    made.apply_desired_state(view, True)
    assert made.desired is not None
    desired = made.desired
    admission = made.routing.admission
    yield "admission", lambda: admission.apply_desired_state(desired)
    service = desired.services["model"]
    yield "the state taken in once more", lambda: made.apply_desired_state(view, True)
    views = iter(
        [
            TableView({"config": row(routes, version)}, 2, 0.0)
            for version in range(2, 2 + _REPEATS)
        ]
    )
    yield (
        "a newer one, a route changed",
        lambda: made.apply_desired_state(next(views), True),
    )
    assert made.routing.path(service) is not None

    def path_of_the_new_state() -> None:
        newer = wire.desired_state(state).services["model"]
        started_s = clocks.now_s()
        assert made.routing.path(newer) is not None
        path_ms.append((clocks.now_s() - started_s) * _MILLISECONDS)

    path_ms: list[float] = []
    for _ in range(_REPEATS):
        path_of_the_new_state()
    found = statistics.median(path_ms)
    print(f"{found:9.2f} ms {max(path_ms):9.2f} ms  the first path after it")


class Holds:
    """Notes how long the event loop is held, also by other processes' work."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        #: The most processor time that the loop's thread took at one go, in seconds.
        self.longest_busy_s = 0.0

    async def watch(self) -> None:
        """Look at the time again and again, until cancelled."""
        while True:
            before_s, busy_s = clocks.now_s(), time.thread_time()
            await asyncio.sleep(_TICK_S)
            held_s = clocks.now_s() - before_s - _TICK_S
            self.longest_s = max(self.longest_s, held_s)
            busy_s = time.thread_time() - busy_s
            self.longest_busy_s = max(self.longest_busy_s, busy_s)


class StandIn:
    """A store that has one row, and tells of its changes."""

    def __init__(self, bodies: Sequence[bytes]) -> None:
        self._bodies = bodies
        self.version = 1
        self.changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer with the row as soon as it is newer than what is known."""
        after = int(request.query.get("StartAfter", "0"))
        while self.version <= after:
            await self.changed.wait()
        return web.Response(body=self._bodies[self.version - 1])

    def change(self) -> None:
        """Go on to the next version."""
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()


async def follow(session: aiohttp.ClientSession, relay: str, version: int) -> None:
    """Ask for the changes after a version as another instance does."""
    query = {"table": "op", "after": str(version), "known_s": "1e18", "wait_s": "5"}
    headers = {TOKEN_HEADER: _TOKEN}
    url = f"http://{relay}/changes"
    async with session.get(url, params=query, headers=headers) as answered:
        while await answered.content.readany():
            pass


async def whole_way(routes: int, *, changed: int) -> str:
    """Take states in one after another; return what that cost."""
    store_at, relay_at = (f"127.0.0.1:{next(_PORTS)}" for _ in range(2))
    store = StandIn(
        [
            answer(row(routes, version, changed=changed), version)
            for version in range(1, _VERSIONS + 1)
        ]
    )
    await listen(web.Server(store.handle), store_at)
    made = router()
    cache = TableCache()
    relay = RelayListener({"op": cache}, token=_TOKEN)
    await relay.start(relay_at)
    holds = Holds()
    in_force_s = []
    taken: asyncio.Queue[float] = asyncio.Queue()

    async def take(view: TableView, is_whole: bool) -> None:
        await made.apply_desired_state_in_slices(view, is_whole)
        taken.put_nowait(clocks.now_s())

    async with aiohttp.ClientSession() as session:
        connections = ConnectionChoice(session, session, max_idle_s=4.0)
        at_store = made.settings.store._replace(address=store_at, change_pause_s=0.0)
        source = Store(at_store, connections, made.metrics)
        follower = TableFollower(
            "op",
            source=source,
            settings=at_store,
            clock=StoreClock(),
            freshness=Freshness(limit_s=5.0),
            take=take,
            on_recovery=lambda _outage: None,
            rng=random.Random(1),
            cache=cache,
        )
        following = asyncio.create_task(follower.run())
        await taken.get()
        await asyncio.sleep(0.1)
        gc.collect()
        watching = asyncio.create_task(holds.watch())
        tracemalloc_base = _traced()
        for version in range(1, _VERSIONS):
            asked = [
                asyncio.create_task(follow(session, relay_at, version))
                for _ in range(_FOLLOWERS)
            ]
            await asyncio.sleep(0.1)
            started_s = clocks.now_s()
            store.change()
            in_force_s.append(await taken.get() - started_s)
            await asyncio.gather(*asked)
        after, peak = tracemalloc.get_traced_memory()
        for task in (following, watching):
            task.cancel()
        await asyncio.gather(following, watching, return_exceptions=True)
    if tracemalloc.is_tracing():
        peak_mb = (peak - tracemalloc_base) / _BYTES_A_MB
        kept_mb = (after - tracemalloc_base) / _BYTES_A_MB
        return f"peak {peak_mb:.1f} MB, kept {kept_mb:.1f} MB"
    longest_ms = holds.longest_s * _MILLISECONDS
    in_force_ms = max(in_force_s) * _MILLISECONDS
    busy_ms = holds.longest_busy_s * _MILLISECONDS
    held = f"held {longest_ms:.1f} ms (busy {busy_ms:.1f})"
    return f"{held}, in force after {in_force_ms:.0f} ms"


def _traced() -> int:
    """Return what is allocated now, in bytes, and begin a new peak."""
    if not tracemalloc.is_tracing():
        return 0
    tracemalloc.reset_peak()
    return tracemalloc.get_traced_memory()[0]


def played(way: Callable[[], Any]) -> str:
    """Run a way on the loop of the router's process; return its result."""
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        result: str = runner.run(way())
    return result


def main(arguments: Sequence[str]) -> int:
    """Print what taking in costs."""
    for routes in map(int, arguments or map(str, _SIZES)):
        print(f"{routes} routes, {len(row(routes, 1)) / _BYTES_A_MB:.2f} MB")
        for name, step in steps(routes):
            taken = timed(step)
            print(f"{taken.median_ms:9.2f} ms {taken.longest_ms:9.2f} ms  {name}")
        for name, changed in (("one route", 1), ("all routes", routes)):
            way = functools.partial(whole_way, routes, changed=changed)
            cost = played(way)
            tracemalloc.start()
            memory = played(way)
            tracemalloc.stop()
            print(f"  the whole way, {name} changed: {cost}; {memory}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
