# SPDX-License-Identifier: MIT
"""The capacity of usable runners, against what the engine's formulas serve."""

from __future__ import annotations

import collections
import functools
import itertools
import math
import random
import sys

import pytest

from hypothesis import given, settings
from hypothesis import strategies as st

from routing_samples import engine, runner
from violethatch.capacity import Room, Targets, estimate_capacity
from violethatch.engine_model import HOP_MS, AcceleratorKind
from violethatch.paths import LayerMap
from violethatch.placement import Host, divide


TARGETS = Targets(0.5, 0.25)
NO_ROOM = Room(0.0, 0.0, 0.0, 0.0)
#: By fleet, the first event's target; by zone, the counts of its kinds.
FIRST_EVENT_S = {"A": 0.5, "B": 0.6}
COUNTS = {
    "A": ((4, 10, 11), (3, 14, 16), (2, 24, 9)),
    "B": ((1, 22, 12), (4, 9, 14), (2, 13, 22)),
}
KINDS = {
    "A": {
        "a100": AcceleratorKind(72_000.0, 2.4, 3.2),
        "v100": AcceleratorKind(14_400.0, 5.3, 7.9),
        "l4": AcceleratorKind(21_600.0, 16.0, 8.2),
    },
    "B": {
        "a100": AcceleratorKind(36_000.0, 3.1, 3.2),
        "l4": AcceleratorKind(21_600.0, 16.0, 8.2),
        "t4": AcceleratorKind(14_400.0, 15.0, 15.0),
    },
}
FIGURES = {
    "A": {
        "step_ms": 1.02,
        "prefill_tokens_per_s": 196_000.0,
        "zone_link_mbps": 6_640.0,
        "tokens_per_step": 5.0,
    },
    "B": {
        "step_ms": 0.85,
        "prefill_tokens_per_s": 321_000.0,
        "zone_link_mbps": 3_400.0,
        "tokens_per_step": 2.0,
    },
}
#: The fewest and the most streams laid at once; a chain takes 80 to 100.
LAID = (3, 20)
TOLERANCE = 0.15


@functools.cache
def planned(fleet):
    """Return a reference fleet as it is divided into chains."""
    spec = engine(
        per_sequence_ms=0.00764,
        context_per_k_ms=0.01024,
        attention_ms_per_m_pairs=0.166,
        kv_token_bytes=984_000.0,
        activation_bytes=49_200.0,
        usual_prompt_tokens=775.0,
        usual_answer_tokens=219.0,
        kinds=KINDS[fleet],
        **FIGURES[fleet],
    )
    hosts = [
        Host(f"z{zone}-{kind}-{n}", f"z{zone}", kind, None)
        for zone, counts in enumerate(COUNTS[fleet], start=1)
        for kind, count in zip(KINDS[fleet], counts, strict=True)
        for n in range(count)
    ]
    orders = divide(hosts, spec)
    return LayerMap(
        [
            runner(one.id, *orders[one.id], kind=one.kind, zone=one.availability_zone)
            for one in hosts
            if one.id in orders
        ],
        spec,
    )


@functools.cache
def groups(fleet):
    """Return the runners of disjoint paths: those that are lost together."""
    layer_map = planned(fleet)
    found = []
    used = frozenset()
    while path := layer_map.find(zone="z1", excluded=used, allow_zone_hops=False):
        found.append(path.server_ids)
        used |= path.server_ids
    return found


def lost_runners(fleet, rng):
    """Draw one to three groups of runners, or what one side of a partition lacks."""
    case = rng.randrange(4)
    if case:
        return frozenset().union(*rng.sample(groups(fleet), case))
    zone = rng.choice(["z1", "z2", "z3"])
    is_alone = rng.random() < 0.5
    return frozenset(
        one.id
        for one in planned(fleet).holders.values()
        if (one.availability_zone != zone) == is_alone
    )


class Replay:
    """Streams on the quickest paths, with their times by the engine's formulas."""

    def __init__(self, layer_map, left_out, targets, paces=None):
        self.map, self.engine, self.targets = layer_map, layer_map.engine, targets
        self.paces = paces or {}
        self.left_out = set(left_out)
        self.fullness = collections.Counter()
        self.begun = collections.Counter()
        self.laid = collections.Counter()
        self.stream_s = 4.0
        self.lays = 0

    def lay(self, zone):
        """Lay streams on the best path that isn't full; tell whether there is one."""
        spec = self.engine
        pipe = sum(n * path.zone_hops for path, n in self.laid.items())
        pipe *= spec.zone_transfer_ms / 1000 / self.stream_s
        path = self.map.find(
            zone=zone,
            excluded=self.left_out,
            utilization=self.fullness,
            slowdowns=self.paces,
            zone_link_utilization=pipe,
            allow_zone_hops=pipe < 0.9,
        )
        if path is None:
            return False
        held_tokens = spec.usual_prompt_tokens + spec.usual_answer_tokens / 2
        parts = {}  # by runner, the part of its KV cache that a stream takes
        for server, layers in path.stages:
            kind, size = spec.kinds[server.kind], server.layers.size
            most = spec.kv_capacity_tokens(kind, size) * size / held_tokens
            parts[server.id] = layers.size / most
        left = min((1 - self.fullness[one]) / part for one, part in parts.items())
        streams = round(max(LAID[0], min(LAID[1], left / 2)))
        self.laid[path] += streams
        for server_id, part in parts.items():
            self.fullness[server_id] += streams * part
        self.begun[path.first.id] += streams
        full = {one for one, part in self.fullness.items() if part > 1 - 0.02}
        no_slots = {
            one
            for one, count in self.begun.items()
            if count >= self.map.holders[one].slots
        }
        self.left_out |= full | no_slots
        return True

    def served(self):
        """Return streams within target, and how many of them start per second."""
        spec = self.engine
        chunks = math.ceil(spec.usual_prompt_tokens / spec.chunk_tokens)
        token_ms = {path: path.token_ms for path in self.laid}
        stream_ms = {p: spec.usual_answer_tokens * ms for p, ms in token_ms.items()}
        writers, reading = collections.Counter(), collections.Counter()
        steps_ms = {}
        for _ in range(8):
            for path in self.laid:
                steps_ms[path] = [
                    self.step_ms(stage, writers[stage.server.id])
                    / (1 - min(0.95, reading[stage.server.id]))
                    for stage in path.stages
                ]
            writers, reading = collections.Counter(), collections.Counter()
            pipe = 0.0
            for path, streams in self.laid.items():
                token_ms[path] = sum(steps_ms[path]) + HOP_MS * len(path.stages)
                for stage, ms in zip(path.stages, steps_ms[path], strict=True):
                    writers[stage.server.id] += streams * ms / token_ms[path]
                    reading[stage.server.id] += (
                        streams * self.read_ms(stage) / stream_ms[path]
                    )
                pipe += (
                    streams * path.zone_hops * spec.zone_transfer_ms / stream_ms[path]
                )
            first_ms = {}
            for path in self.laid:
                read_ms = sum(
                    self.read_ms(stage) / (1 - min(0.95, reading[stage.server.id]))
                    for stage in path.stages
                )
                wait = 1 + min(pipe, 0.95) / (1 - min(pipe, 0.95)) / 2
                crossing_ms = path.zone_hops * spec.zone_transfer_ms * wait
                read_ms += chunks * token_ms[path] + crossing_ms
                first_ms[path] = read_ms + spec.tokens_per_step * token_ms[path]
                stream_ms[path] = read_ms + spec.usual_answer_tokens * token_ms[path]
        good = {
            path: streams
            for path, streams in self.laid.items()
            if first_ms[path] <= self.targets.first_event_s * 1000
            and spec.tokens_per_step * token_ms[path]
            <= (self.targets.gap_s or math.inf) * 1000
        }
        starts = sum(1000 * n / stream_ms[path] for path, n in good.items())
        self.stream_s = max(stream_ms.values(), default=4000) / 1000
        return sum(good.values()), starts

    def step_ms(self, stage, writers):
        """Return the time of a stage's step at some number of writers."""
        kind = self.engine.kinds[stage.server.kind]
        pace = self.paces.get(stage.server.id, 1.0)
        size = stage.layers.size
        return pace * self.engine.step_time_ms(kind, size, batch_size=writers)

    def read_ms(self, stage):
        """Return the time for which a stage reads a usual prompt."""
        kind = self.engine.kinds[stage.server.kind]
        pace = self.paces.get(stage.server.id, 1.0)
        return pace * self.engine.usual_prefill_ms(kind, stage.layers.size)


def most_served(layer_map, left_out, targets, paces=None):
    """Return the most streams within target at any load, and their starts."""
    replay = Replay(layer_map, left_out, targets, paces)
    best = (0, 0.0)
    zones = itertools.cycle(["z1", "z2", "z3"])
    while replay.lay(next(zones)):
        replay.lays += 1
        if replay.lays % 32 == 0:
            best = max(best, replay.served())
    return max(best, replay.served())


@functools.cache
def reference(fleet, lost):
    """Return what the replay of a fleet without some runners serves."""
    return most_served(planned(fleet), lost, Targets(FIRST_EVENT_S[fleet], 0.25))


class TestReferenceFleets:
    """Guards against a capacity that routing can't use, or that it exceeds.

    Groups of runners that share paths are lost, or a zone is partitioned; either side
    of the partition sees the runners that it reaches.
    """

    @pytest.mark.parametrize("fleet", ["A", "B"])
    def test_as_the_replay_serves(self, fleet):
        """Streams and starts are within 0.15 of what is served within target."""
        targets = Targets(FIRST_EVENT_S[fleet], 0.25)
        missed = {}
        for seed in range(50):
            lost = lost_runners(fleet, random.Random(seed))
            one = estimate_capacity(
                planned(fleet), excluded=lost, slowdowns={}, targets=targets
            )
            served = reference(fleet, lost)
            if (one.streams, one.starts_per_s) != pytest.approx(served, rel=TOLERANCE):
                missed[seed] = (one, served)
        assert not missed

    @pytest.mark.parametrize("fleet", ["A", "B"])
    def test_cost_grows_with_the_runners(self, fleet):
        """Guards against work that is more than linear, by calls and not by a clock."""
        layer_map = planned(fleet)
        counts = [
            calls_of(layer_map, left_out=left_out) for left_out in ((), half(layer_map))
        ]
        assert counts[0] <= 1.2 * 2 * counts[1]
        assert counts[0] <= 60 * len(layer_map.holders)


def half(layer_map):
    """Return every second runner's id."""
    return sorted(layer_map.holders)[::2]


def calls_of(layer_map, *, left_out):
    """Return how many Python calls the room of some runners takes."""
    count = 0

    def note(_frame, event, _argument):
        nonlocal count
        count += event == "call"

    sys.setprofile(note)
    try:
        estimate_capacity(layer_map, excluded=left_out, slowdowns={}, targets=TARGETS)
    finally:
        sys.setprofile(None)
    return count


def found(servers, spec=None, *, left_out=(), paces=None, targets=TARGETS):
    """Return the room of some runners."""
    layer_map = LayerMap(servers, spec or engine())
    return estimate_capacity(
        layer_map, excluded=left_out, slowdowns=paces or {}, targets=targets
    )


def chain(name, *, zone="z1", **changes):
    """Return two runners that hold the model together, with unlike KV caches."""
    return [
        runner(f"{name}1", 0, 38, kind="large", zone=zone, **changes),
        runner(f"{name}2", 38, 80, kind="large", zone=zone, **changes),
    ]


#: Accelerators with memory for half of the model and some KV cache.
WIDE = engine(kinds={"large": AcceleratorKind(90_000.0, 2.4, 3.2)})
#: The same with steps that grow with each sequence in them.
CROWDED = WIDE._replace(per_sequence_ms=1.0)


class TestRoom:
    def test_kv_cache(self):
        """The runner with the least KV cache for a stream's tokens bounds a chain."""
        held_tokens = WIDE.usual_prompt_tokens + WIDE.usual_answer_tokens / 2
        least = WIDE.kv_capacity_tokens(WIDE.kinds["large"], 42) / held_tokens
        assert found(chain("a"), WIDE).streams == pytest.approx(least)

    def test_slots_bound_only_first_runners(self):
        """Slots count where streams begin, not further on."""
        first, last = chain("a")
        whole = found([first, last], WIDE)
        assert whole.streams > 3
        few = found([first._replace(slots=3), last], WIDE)
        assert few.streams == pytest.approx(3)
        assert found([first, last._replace(slots=3)], WIDE) == whole

    def test_steady_state(self):
        """Streams are starts times duration, tokens are starts times answer."""
        one = found(chain("a"), WIDE)
        assert one.streams == pytest.approx(one.starts_per_s * one.stream_s)
        answer = WIDE.usual_answer_tokens
        assert one.tokens_per_s == pytest.approx(one.starts_per_s * answer)

    def test_missing_layer(self):
        """Without a holder for some layer there is none."""
        assert found([]) == NO_ROOM
        assert found(chain("a")[:1], WIDE) == NO_ROOM
        assert found(chain("a"), WIDE, left_out={"a2"}) == NO_ROOM
        assert found(chain("a"), WIDE, left_out={"a1", "a2"}) == NO_ROOM

    def test_lost_runner_takes_its_chain_along(self):
        """What remains of a broken chain holds no streams of its own."""
        servers = [
            runner(f"{name}{first}", first, first + 40, kind="large")
            for name in "ab"
            for first in (0, 40)
        ]
        both = found(servers, WIDE)
        left = found(servers, WIDE, left_out={"b0"})
        assert left.streams == pytest.approx(both.streams / 2)

    def test_rest_of_a_chain_helps_others(self):
        """Where another chain's bottleneck is held by the rest, both of them count."""
        servers = [*chain("a"), *chain("b")]
        alone = found(chain("a"), WIDE)
        left = found(servers, WIDE, left_out={"b1"})
        assert alone.streams < left.streams < 2 * alone.streams

    def test_zones_add_up(self):
        """The capacity covers all zones."""
        one = found(chain("a"), WIDE)
        both = found([*chain("a"), *chain("b", zone="z2")], WIDE)
        assert both.streams == pytest.approx(2 * one.streams)
        assert both.starts_per_s == pytest.approx(2 * one.starts_per_s)

    def test_slow_runner_starts_fewer(self):
        """A runner at twice its step time makes all streams of its chain longer."""
        usual = found(chain("a"), WIDE)
        slow = found(chain("a"), WIDE, paces={"a1": 2.0})
        assert slow.streams == pytest.approx(usual.streams)
        assert slow.starts_per_s < 0.75 * usual.starts_per_s

    def test_runner_too_slow_for_the_gaps(self):
        """Streams that can't keep their gaps at any fill don't count."""
        assert found(chain("a"), WIDE, paces={"a1": 300.0}) == NO_ROOM
        no_gaps = Targets(10.0, 0.0)
        slow = found(chain("a"), WIDE, paces={"a1": 300.0}, targets=no_gaps)
        assert slow.streams > 0

    def test_gap_leaves_out_writers(self):
        """Streams are only as many as steps with that many writers allow."""
        no_gaps = Targets(10.0, 0.0)
        whole = found(chain("a"), CROWDED, targets=no_gaps)
        half_gap_s = 0.5 * whole.stream_s / CROWDED.usual_answer_tokens
        part = found(chain("a"), CROWDED, targets=Targets(10.0, half_gap_s))
        assert 0 < part.streams < 0.6 * whole.streams

    def test_gap_holds_a_stride_of_tokens(self):
        """With a stride of 5, a gap is five token times."""
        gap_s = 0.25
        strided = CROWDED._replace(tokens_per_step=5.0)
        one = found(chain("a"), strided, targets=Targets(0.0, 5 * gap_s))
        assert one == found(chain("a"), CROWDED, targets=Targets(0.0, gap_s))
        less = found(chain("a"), strided, targets=Targets(0.0, gap_s / 5))
        assert less.streams < one.streams

    def test_first_event_leaves_out_readers(self):
        """Reading that delays first events beyond their target bounds the starts."""
        reading = WIDE._replace(prefill_tokens_per_s=10_000.0)
        whole = found(chain("a"), reading, targets=Targets(0.0, 0.0))
        part = found(chain("a"), reading, targets=Targets(0.4, 0.0))
        assert 0 < part.starts_per_s < whole.starts_per_s
        assert found(chain("a"), reading, targets=Targets(0.2, 0.0)) == NO_ROOM

    def test_pipe_bounds_crossing_streams(self):
        """Where zones complete each other, the pipe between them is the bound."""
        servers = [chain("a")[0], chain("b", zone="z2")[1]]
        free = found(servers, WIDE._replace(zone_link_mbps=0.0))
        assert free.streams == pytest.approx(found(chain("a"), WIDE).streams)
        narrow = WIDE._replace(zone_link_mbps=5_000.0)
        crossing = found(servers, narrow)
        assert 0 < crossing.starts_per_s < 1000 / narrow.zone_transfer_ms
        assert crossing.streams < free.streams
        assert found(servers, WIDE._replace(zone_link_mbps=500.0)) == NO_ROOM

    def test_pipe_does_not_bound_whole_zones(self):
        """Streams that stay in a zone don't use the pipe."""
        servers = [*chain("a"), *chain("b", zone="z2")]
        assert found(servers, WIDE._replace(zone_link_mbps=1.0)) == found(
            servers, WIDE._replace(zone_link_mbps=0.0)
        )

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 79),
                st.integers(1, 40),
                st.sampled_from(["large", "medium", "small"]),
                st.sampled_from(["z1", "z2"]),
            ),
            max_size=14,
        ),
        st.randoms(use_true_random=False),
    )
    def test_any_ranges(self, ranges, rng):
        """Never more than any layer's holders hold, whatever their order is."""
        spec = engine()
        servers = [
            runner(f"r{n}", first, min(80, first + size), kind=kind, zone=zone)
            for n, (first, size, kind, zone) in enumerate(ranges)
        ]
        one = found(servers)
        held_tokens = spec.usual_prompt_tokens + spec.usual_answer_tokens / 2
        by_layer = [
            sum(
                spec.kv_capacity_tokens(spec.kinds[server.kind], server.layers.size)
                for server in servers
                if server.layers.first <= layer < server.layers.end
            )
            / held_tokens
            for layer in range(80)
        ]
        assert 0 <= one.streams <= min(by_layer) + 1e-3
        assert all(math.isfinite(figure) for figure in one)
        rng.shuffle(servers)
        assert found(servers) == pytest.approx(one)
