# SPDX-License-Identifier: MIT
"""What admission costs in processor time, memory and bytes, at several sizes.

    python3 bench/admission_costs.py [--instances 350]

The modules that the router uses decide over a service of 33, 66 and 113 runners in
three zones, as placement divides them.  Processor time of short decisions is the
least median of several blocks, so that other work on the machine shows less.
"""

from __future__ import annotations

import argparse
import os
import pathlib
import random
import statistics
import time
import tracemalloc

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, cast

import eliot

from decision_costs import placed_servers
from violethatch import clocks
from violethatch._admission import Admission, StartRequest
from violethatch._hosts import Host
from violethatch._peer_datagrams import (
    ClaimDatagram,
    ClaimedDatagram,
    Datagram,
    ReservedDatagram,
    encoded,
)
from violethatch.admission_plan import Admitter, Plan, Planner, WorkspacePolicy
from violethatch.capacity import Room, Targets, estimate_capacity
from violethatch.demand import (
    MAX_ENCODED_BYTES,
    MAX_SENT_KEYS,
    MAX_SENT_WORKSPACES,
    MAX_SUMMED_WORKSPACES,
    Demand,
    DemandCounter,
    DemandKey,
    decode_demand,
    encode_demand,
    total_demand,
)
from violethatch.desired import CallKind, CallRoute, ServiceSpec
from violethatch.engine_model import AcceleratorKind, EngineSpec
from violethatch.errors import NotAdmittedError
from violethatch.load_sums import server_number
from violethatch.paths import LayerMap, Path
from violethatch.router_settings import AdmissionSection
from violethatch.start_queue import QueuedRequest, StartQueue
from violethatch.start_reservations import (
    MAX_RESERVATIONS,
    UNKNOWN,
    Claim,
    ClaimOutcome,
    ReservationStore,
    RetrySlot,
    RetrySlots,
)
from violethatch.upstream import Call
from violethatch.work_ids import work_id


_BLOCKS = 10
_US_PER_S = 1e6
_BYTES_PER_KB = 1024
#: Workspaces at the size of two years on (`docs/CAPACITY.md`).
_WORKSPACES = 400
_QUEUED = 64
_BODY_BYTES = 4_096
_RUNNERS = (33, 66, 113)
_LEVEL = 20
#: Streams that leave a part of the third priority's 500 offers a second.
_RUNNING = 4_500.0
_ROOM = Room(streams=5_150.0, starts_per_s=1_250.0, tokens_per_s=3e5, stream_s=4.0)
_TARGETS = Targets(first_event_s=0.5, gap_s=0.25)
_ENGINE = EngineSpec(
    slots=96,
    layer_count=80,
    layer_mb=1750.0,
    kv_token_bytes=984_000.0,
    step_ms=1.02,
    per_sequence_ms=0.00764,
    context_per_k_ms=0.01024,
    prefill_tokens_per_s=196_000.0,
    attention_ms_per_m_pairs=0.166,
    chunk_tokens=512,
    usual_prompt_tokens=775.0,
    usual_answer_tokens=219.0,
    load_s=0.0,
    kinds={
        "a100": AcceleratorKind(72_000.0, 2.4, 3.2),
        "l4": AcceleratorKind(21_600.0, 16.0, 8.2),
        "v100": AcceleratorKind(14_400.0, 5.3, 7.9),
    },
    zone_delay_ms={},
    activation_bytes=49_200.0,
    zone_link_mbps=6_640.0,
    tokens_per_step=5.0,
)


def least_us(decide: Callable[[int], Any], *, per_block: int = 200) -> float:
    """Return the least median processor time of a decision, in microseconds."""
    medians = []
    number = 0
    for _ in range(_BLOCKS):
        taken = []
        for _ in range(per_block):
            started_ns = time.thread_time_ns()
            decide(number)
            taken.append(time.thread_time_ns() - started_ns)
            number += 1
        medians.append(statistics.median(taken))
    return min(medians) / 1e3


def fleet(runners: int) -> LayerMap:
    """Return runners of three zones as placement divides them."""
    kinds = ("a100", "v100", "l4", "v100", "l4", "l4", "l4", "v100")
    hosts = [
        Host(f"r{n}", f"z{n % 3}", kinds[n // 3 % len(kinds)], None)
        for n in range(runners)
    ]
    return LayerMap(placed_servers(hosts, _ENGINE), _ENGINE)


def full_demand(seed: int) -> Demand:
    """Return a demand with as many entries as a sum keeps."""
    rng = random.Random(seed)
    keys = [DemandKey(server_number("model"), 10 * n) for n in range(MAX_SENT_KEYS)]
    return Demand(
        dict.fromkeys(keys, 500.0),
        {
            (keys[_LEVEL // 10], one): rng.uniform(5.0, 20.0)
            for one in range(MAX_SUMMED_WORKSPACES)
        },
    )


def work(number: int) -> str:
    """Return one of many works."""
    body = (b"%d" % number).ljust(_BODY_BYTES)
    return work_id(caller="clinic", method="POST", host="h", target="/", body=body)


def waiting(number: int, *, now_s: float) -> QueuedRequest:
    """Return a request that may wait for an eighth of a second."""
    return QueuedRequest(
        f"r{number}", 0, 1000.0, 20_000, now_s, now_s + 0.125, now_s + 0.5
    )


#: What the other instances are asked for.
_OTHERS = full_demand(2)


def show(name: str, cost: float, unit: str) -> None:
    """Print one figure."""
    print(f"{cost:12.2f} {unit:5} {name}")


def show_plans() -> None:
    """Print what plans and decisions cost while one priority is shared."""
    demand = full_demand(1)
    rates = {key.priority: rate for key, rate in demand.offers_per_s.items()}
    heavy = {(key.priority, one): r for (key, one), r in demand.heaviest_per_s.items()}
    own = {one: 1.0 + one % 3 for one in range(MAX_SUMMED_WORKSPACES)}
    for name, weights in (("equal", {}), ("own", own)):
        policy = WorkspacePolicy(weights, 0.5)
        planner, admitter = Planner(policy=policy), Admitter(policy=policy)
        made: list[Plan] = []

        def plan(n: int, planner: Planner = planner, made: list[Plan] = made) -> None:
            found = planner.plan(rates, heavy, _ROOM, _RUNNING, age_s=0.8, now_s=n / 4)
            made[:] = [found]

        show(f"a plan, {name} weights", least_us(plan), "us")
        assert made[0].level == _LEVEL
        assert made[0].workspace_starts_per_s is not None

        def admits(
            n: int, admitter: Admitter = admitter, made: list[Plan] = made
        ) -> bool:
            return admitter.admits(
                made[0], _LEVEL, n % 32, workspace_offers_per_s=heavy[_LEVEL, n % 32]
            )

        show(f"a decision, {name} weights", least_us(admits), "us")


class _Fixed:
    """Runners, other instances and reservations that do not change."""

    def __init__(self, streams: float) -> None:
        self.streams = round(streams)

    def room(self, _service: ServiceSpec, _targets: Targets) -> Room:
        """Return the room."""
        return _ROOM

    def running(self, _service: ServiceSpec) -> int:
        """Return how many streams run."""
        return self.streams

    def first_server_utilization(self, _service: ServiceSpec, _path: Path) -> float:
        """Return that runners are full."""
        return 1.0

    def demand(self) -> Demand:
        """Return the others' demand."""
        return _OTHERS

    def age_s(self) -> float | None:
        """Return the age of sums."""
        return 0.8

    def has_peers(self) -> bool:
        """Return that there are others."""
        return True

    def instance_count(self) -> int:
        """Return how many."""
        return 349

    def schedule_retry(
        self,
        _service: str,
        _work: str,
        _priority: int,
        *,
        starts_per_s: float,
        max_delay_s: float,
    ) -> RetrySlot:
        """Return a time without reserving."""
        return RetrySlot(clocks.now_s() + 1.0, is_reserved=False)

    async def claim(self, _work: str) -> Claim:
        """Return that nothing is reserved."""
        return UNKNOWN

    def reserved(self, _service: str) -> int:
        """Return that nothing is reserved."""
        return 0

    def kept(self) -> int:
        """Return that nothing is kept."""
        return 0


class _Desired(NamedTuple):
    """What is used of a desired state."""

    services: Mapping[str, ServiceSpec]
    workspaces_by_key: Mapping[str, Any]
    routes: tuple[CallRoute, ...]

    def stream_routes(self) -> dict[str, list[CallRoute]]:
        """Return the routes of the only service."""
        return {"model": list(self.routes)}


def route(priority: int) -> CallRoute:
    """Return a stream route."""
    return CallRoute(
        name=f"p{priority}",
        host="h",
        path_prefix=f"/{priority}/",
        kind=CallKind.STREAM,
        timeout_s=30.0,
        target_latency_s=0.5,
        priority=priority,
        splits=(),
        max_attempts=2,
        is_key_exempt=False,
        is_resumable=True,
        gap_target_s=0.25,
    )


def governed(streams: float) -> Admission:
    """Return an instance's admission to one service, at so many running streams."""
    fixed = _Fixed(streams)
    made = Admission(
        AdmissionSection(),
        capacity=fixed,
        peers=fixed,
        returns=fixed,
        phase=0.5,
    )
    services = {"model": ServiceSpec("model", 1000, _ENGINE)}
    desired = _Desired(services, {}, (route(0), route(_LEVEL)))
    made.apply_desired_state(cast("Any", desired))
    return made


def show_service() -> None:
    """Print what a service's turn and a whole refusal cost, with log lines."""
    service = governed(_RUNNING)._services["model"]
    start_s = clocks.now_s()
    turn_us = least_us(lambda n: service.refresh(now_s=start_s + n / 4))
    show("a service's turn, each quarter second", turn_us, "us")
    assert service.state().plan.level == _LEVEL

    admission = governed(2 * _ROOM.streams)
    admission.refresh()
    now_s = clocks.now_s()
    call = Call(
        id="c",
        method="POST",
        host="h",
        target="/",
        headers=(),
        body=bytes(_BODY_BYTES),
        key=None,
        received_s=now_s,
        deadline_s=now_s + 30.0,
        last_event_id=None,
        prompt_tokens=800,
    )
    request = StartRequest(call, _LEVEL, "clinic", 900.0, 0.5)
    refusals = 0

    def refuse(_: int) -> None:
        nonlocal refusals
        try:
            admission.admit("model", request).send(None)
        except NotAdmittedError:
            refusals += 1

    show("a refusal, with its line 2222", least_us(refuse), "us")
    assert refusals == 200 * _BLOCKS


def show_demand(instances: int) -> None:
    """Print what counting and passing demand on costs."""
    demand = full_demand(1)
    data = encode_demand(demand)
    parts = [full_demand(n) for n in range(5)]
    counter = DemandCounter()
    key = DemandKey(7, 0)

    def offered(n: int) -> None:
        counter.record_offer(key, n % _WORKSPACES, now_s=n / 100)

    show("an offer counted", least_us(offered), "us")
    show(
        "own demand read", least_us(lambda n: counter.demand(now_s=20 + n / 100)), "us"
    )
    show("a demand packed", least_us(lambda _: encode_demand(demand)), "us")
    show("a demand unpacked", least_us(lambda _: decode_demand(data)), "us")
    show("five demands added", least_us(lambda _: total_demand(parts)), "us")
    show("a demand at most", MAX_ENCODED_BYTES, "bytes")
    keys_only = len(encode_demand(Demand(demand.offers_per_s, {})))
    show("of it keys", keys_only, "bytes")
    four = len(encode_demand(Demand(dict(list(demand.offers_per_s.items())[:3]), {})))
    show("a demand of three priorities, no workspaces", four, "bytes")
    print(f"{MAX_SENT_WORKSPACES} workspaces sent, {instances} instances")


def show_queue() -> None:
    """Print what a turn of the queue costs."""
    queue = StartQueue(max_requests=_QUEUED + 1, max_bytes=1 << 24)
    for n in range(_QUEUED):
        queue.offer(waiting(-n - 1, now_s=0.0), starts_per_s=1e4, now_s=0.0)

    def turn(n: int) -> None:
        # Its time hardly passes: none of those that wait expires.
        now_s = n * 1e-6
        queue.offer(waiting(n, now_s=now_s), starts_per_s=1e4, now_s=now_s)
        queue.next(now_s=now_s)

    show(f"an offer to a queue of {_QUEUED}, and a start", least_us(turn), "us")
    assert len(queue) == _QUEUED


def show_returns(instances: int) -> None:
    """Print what reserving and claiming costs."""
    share = _ROOM.starts_per_s / instances
    for name, per_s in (
        ("one of all instances", share),
        ("one of 8", _ROOM.starts_per_s / 8),
    ):
        slots = RetrySlots(rng=random.Random(1))

        def reserve(n: int, slots: RetrySlots = slots, per_s: float = per_s) -> Any:
            return slots.reserve(
                n % 3, starts_per_s=per_s, max_delay_s=3.0, now_s=100 + n / 20
            )

        show(f"a start reserved, share of {name}", least_us(reserve), "us")
    kept = ReservationStore()
    works = [work(n) for n in range(MAX_RESERVATIONS)]
    show(f"a work's id, body of {_BODY_BYTES} bytes", least_us(work), "us")
    show(
        "a reservation kept",
        least_us(lambda n: kept.add(works[n % MAX_RESERVATIONS], 1.0, now_s=0.0)),
        "us",
    )
    show(
        "a claim",
        least_us(lambda n: kept.claim(works[n % MAX_RESERVATIONS], now_s=1.0)),
        "us",
    )
    token, sender = "t" * 32, "edge-heredia-101"
    sent: list[Datagram] = [
        ReservedDatagram(token, sender, works[0], 2500),
        ClaimDatagram(token, sender, 1 << 30, works[0]),
        ClaimedDatagram(token, sender, 1 << 30, ClaimOutcome.UNKNOWN, 0),
    ]
    for one in sent:
        show(type(one).__name__, len(encoded(one)), "bytes")


def show_memory() -> None:
    """Print what full tables take."""
    tracemalloc.start()

    def grown_kb(fill: Callable[[], Any]) -> float:
        before = tracemalloc.get_traced_memory()[0]
        kept = fill()
        grown = tracemalloc.get_traced_memory()[0] - before
        del kept
        return grown / _BYTES_PER_KB

    def counted() -> DemandCounter:
        counter = DemandCounter()
        for n in range(20_000):
            counter.record_offer(
                DemandKey(7, n % 12), n % _WORKSPACES, now_s=n / 20_000
            )
        return counter

    def reserved() -> ReservationStore:
        kept = ReservationStore()
        for n in range(MAX_RESERVATIONS):
            kept.add(work(n), 10.0, now_s=0.0)
        return kept

    def admitter() -> Admitter:
        made = Admitter()
        plan = Planner(policy=WorkspacePolicy({}, 0.5)).plan_from_local_load(
            {0: 1.0, 20: 1.0}, in_target_part=None, now_s=0.0
        )
        for n in range(MAX_RESERVATIONS):
            made.admits(plan, 20, n, workspace_offers_per_s=None)
        return made

    def queued() -> StartQueue:
        queue = StartQueue(max_requests=_QUEUED, max_bytes=1 << 24)
        for n in range(_QUEUED):
            queue.offer(waiting(n, now_s=0.0), starts_per_s=1e4, now_s=0.0)
        return queue

    show(f"a counter, 12 keys of {_WORKSPACES} workspaces", grown_kb(counted), "KB")
    show("a sum of 12 keys and 32 workspaces", grown_kb(lambda: full_demand(1)), "KB")
    show(f"{MAX_RESERVATIONS} kept reservations", grown_kb(reserved), "KB")
    show(f"remainders of {MAX_RESERVATIONS} workspaces", grown_kb(admitter), "KB")
    show(f"a queue of {_QUEUED}, without requests", grown_kb(queued), "KB")
    tracemalloc.stop()


def main() -> int:
    """Print what admission costs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=350)
    instances = parser.parse_args().instances
    for count in _RUNNERS:
        layer_map = fleet(count)

        def room_of(_: int, layer_map: LayerMap = layer_map) -> Room:
            return estimate_capacity(
                layer_map, excluded=(), slowdowns={}, targets=_TARGETS
            )

        found = room_of(0)
        cost_us = least_us(room_of, per_block=5)
        show(
            f"the room of {count} runners ({found.streams:.0f} streams)", cost_us, "us"
        )
    show_plans()
    show_demand(instances)
    show_queue()
    show_returns(instances)
    with pathlib.Path(os.devnull).open("w", encoding="utf-8") as lines:
        eliot.to_file(lines)
        show_service()
    show_memory()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
