# SPDX-License-Identifier: MIT
"""Estimated capacity of usable runners, compared with a replay of the engine model."""

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
NO_CAPACITY = Room(0.0, 0.0, 0.0, 0.0)
#: By fleet, the target of the first event, and by zone the number of each kind.
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
#: The minimum and maximum number of streams placed at once; a chain runs 80 to 100.
BATCH_LIMITS = (3, 20)
TOLERANCE = 0.15


@functools.cache
def reference_fleet(fleet):
    """Return a reference fleet, divided into chains."""
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
            runner(
                host.id, *orders[host.id], kind=host.kind, zone=host.availability_zone
            )
            for host in hosts
            if host.id in orders
        ],
        spec,
    )


@functools.cache
def disjoint_groups(fleet):
    """Return the runners of disjoint paths, which fail together."""
    layer_map = reference_fleet(fleet)
    path_groups = []
    used = frozenset()
    while path := layer_map.find(zone="z1", excluded=used, allow_zone_hops=False):
        path_groups.append(path.server_ids)
        used |= path.server_ids
    return path_groups


def lost_runners(fleet, rng):
    """Draw one to three groups of runners, or those beyond a partition."""
    case = rng.randrange(4)
    if case:
        return frozenset().union(*rng.sample(disjoint_groups(fleet), case))
    zone = rng.choice(["z1", "z2", "z3"])
    is_isolated = rng.random() < 0.5
    return frozenset(
        server.id
        for server in reference_fleet(fleet).holders.values()
        if (server.availability_zone != zone) == is_isolated
    )


class Replay:
    """Places streams on the fastest paths, with times from the engine model."""

    def __init__(self, layer_map, excluded, targets, slowdowns=None):
        self.map, self.engine, self.targets = layer_map, layer_map.engine, targets
        self.slowdowns = slowdowns or {}
        self.excluded = set(excluded)
        self.utilization = collections.Counter()
        self.started = collections.Counter()
        self.placed = collections.Counter()
        self.stream_s = 4.0
        self.placements = 0

    def place(self, zone):
        """Place streams on the best path that isn't full; return whether one exists."""
        spec = self.engine
        link_utilization = sum(n * path.zone_hops for path, n in self.placed.items())
        link_utilization *= spec.zone_transfer_ms / 1000 / self.stream_s
        path = self.map.find(
            zone=zone,
            excluded=self.excluded,
            utilization=self.utilization,
            slowdowns=self.slowdowns,
            zone_link_utilization=link_utilization,
            allow_zone_hops=link_utilization < 0.9,
        )
        if path is None:
            return False
        cached_tokens = spec.usual_prompt_tokens + spec.usual_answer_tokens / 2
        fractions = {}  # by runner, the fraction of its KV cache per stream
        for server, layers in path.stages:
            kind, size = spec.kinds[server.kind], server.layers.size
            max_streams = spec.kv_capacity_tokens(kind, size) * size / cached_tokens
            fractions[server.id] = layers.size / max_streams
        free = min(
            (1 - self.utilization[server_id]) / fraction
            for server_id, fraction in fractions.items()
        )
        streams = round(max(BATCH_LIMITS[0], min(BATCH_LIMITS[1], free / 2)))
        self.placed[path] += streams
        for server_id, fraction in fractions.items():
            self.utilization[server_id] += streams * fraction
        self.started[path.first.id] += streams
        full = {
            server_id
            for server_id, fraction in self.utilization.items()
            if fraction > 1 - 0.02
        }
        no_slots = {
            server_id
            for server_id, count in self.started.items()
            if count >= self.map.holders[server_id].slots
        }
        self.excluded |= full | no_slots
        return True

    def served(self):
        """Return the streams within target, and their starts per second."""
        spec = self.engine
        chunks = math.ceil(spec.usual_prompt_tokens / spec.chunk_tokens)
        token_ms = {path: path.token_ms for path in self.placed}
        stream_ms = {p: spec.usual_answer_tokens * ms for p, ms in token_ms.items()}
        batch_sizes, prefill = collections.Counter(), collections.Counter()
        steps_ms = {}
        for _ in range(8):
            for path in self.placed:
                steps_ms[path] = [
                    self.step_ms(stage, batch_sizes[stage.server.id])
                    / (1 - min(0.95, prefill[stage.server.id]))
                    for stage in path.stages
                ]
            batch_sizes, prefill = collections.Counter(), collections.Counter()
            link_utilization = 0.0
            for path, streams in self.placed.items():
                token_ms[path] = sum(steps_ms[path]) + HOP_MS * len(path.stages)
                for stage, ms in zip(path.stages, steps_ms[path], strict=True):
                    batch_sizes[stage.server.id] += streams * ms / token_ms[path]
                    prefill[stage.server.id] += (
                        streams * self.prefill_ms(stage) / stream_ms[path]
                    )
                link_utilization += (
                    streams * path.zone_hops * spec.zone_transfer_ms / stream_ms[path]
                )
            first_ms = {}
            for path in self.placed:
                prefill_ms = sum(
                    self.prefill_ms(stage) / (1 - min(0.95, prefill[stage.server.id]))
                    for stage in path.stages
                )
                wait = (
                    1
                    + min(link_utilization, 0.95)
                    / (1 - min(link_utilization, 0.95))
                    / 2
                )
                transfer_ms = path.zone_hops * spec.zone_transfer_ms * wait
                prefill_ms += chunks * token_ms[path] + transfer_ms
                first_ms[path] = prefill_ms + spec.tokens_per_step * token_ms[path]
                stream_ms[path] = prefill_ms + spec.usual_answer_tokens * token_ms[path]
        in_target = {
            path: streams
            for path, streams in self.placed.items()
            if first_ms[path] <= self.targets.first_event_s * 1000
            and spec.tokens_per_step * token_ms[path]
            <= (self.targets.gap_s or math.inf) * 1000
        }
        starts = sum(1000 * n / stream_ms[path] for path, n in in_target.items())
        self.stream_s = max(stream_ms.values(), default=4000) / 1000
        return sum(in_target.values()), starts

    def step_ms(self, stage, batch_size):
        """Return the step time of a stage at a batch size."""
        kind = self.engine.kinds[stage.server.kind]
        slowdown = self.slowdowns.get(stage.server.id, 1.0)
        size = stage.layers.size
        return slowdown * self.engine.step_time_ms(kind, size, batch_size=batch_size)

    def prefill_ms(self, stage):
        """Return the time in which a stage prefills a typical prompt."""
        kind = self.engine.kinds[stage.server.kind]
        slowdown = self.slowdowns.get(stage.server.id, 1.0)
        return slowdown * self.engine.usual_prefill_ms(kind, stage.layers.size)


def max_served(layer_map, excluded, targets, slowdowns=None):
    """Return the maximum of streams within target at any load, and their starts."""
    replay = Replay(layer_map, excluded, targets, slowdowns)
    best = (0, 0.0)
    zones = itertools.cycle(["z1", "z2", "z3"])
    while replay.place(next(zones)):
        replay.placements += 1
        if replay.placements % 32 == 0:
            best = max(best, replay.served())
    return max(best, replay.served())


@functools.cache
def reference(fleet, lost):
    """Return the capacity of a fleet without some runners, by replay."""
    return max_served(reference_fleet(fleet), lost, Targets(FIRST_EVENT_S[fleet], 0.25))


class TestReferenceFleets:
    """Guards against a capacity that routing can't use, or that it exceeds.

    Groups of runners that share paths fail, or a zone is partitioned; both sides of the
    partition have the runners that they can reach.
    """

    @pytest.mark.parametrize("fleet", ["A", "B"])
    def test_matches_replay(self, fleet):
        """Streams and starts deviate by at most 0.15 from the replay."""
        targets = Targets(FIRST_EVENT_S[fleet], 0.25)
        deviations = {}
        for seed in range(50):
            lost = lost_runners(fleet, random.Random(seed))
            result = estimate_capacity(
                reference_fleet(fleet), excluded=lost, slowdowns={}, targets=targets
            )
            served = reference(fleet, lost)
            if (result.streams, result.starts_per_s) != pytest.approx(
                served, rel=TOLERANCE
            ):
                deviations[seed] = (result, served)
        assert not deviations

    @pytest.mark.parametrize("fleet", ["A", "B"])
    def test_cost_is_linear_in_runners(self, fleet):
        """Guards against superlinear work, measured by function calls."""
        layer_map = reference_fleet(fleet)
        counts = [
            count_calls(layer_map, excluded=excluded)
            for excluded in ((), half(layer_map))
        ]
        assert counts[0] <= 1.2 * 2 * counts[1]
        assert counts[0] <= 60 * len(layer_map.holders)


def half(layer_map):
    """Return the id of every second runner."""
    return sorted(layer_map.holders)[::2]


def count_calls(layer_map, *, excluded):
    """Return the number of Python calls for the estimate of some runners."""
    count = 0

    def count_call(_frame, event, _argument):
        nonlocal count
        count += event == "call"

    sys.setprofile(count_call)
    try:
        estimate_capacity(layer_map, excluded=excluded, slowdowns={}, targets=TARGETS)
    finally:
        sys.setprofile(None)
    return count


def estimate(servers, spec=None, *, excluded=(), slowdowns=None, targets=TARGETS):
    """Return the capacity of some runners."""
    layer_map = LayerMap(servers, spec or engine())
    return estimate_capacity(
        layer_map, excluded=excluded, slowdowns=slowdowns or {}, targets=targets
    )


def chain(name, *, zone="z1", **changes):
    """Return a chain of two runners with KV caches of different size."""
    return [
        runner(f"{name}1", 0, 38, kind="large", zone=zone, **changes),
        runner(f"{name}2", 38, 80, kind="large", zone=zone, **changes),
    ]


#: Accelerators with memory for half of the model and some KV cache.
WIDE = engine(kinds={"large": AcceleratorKind(90_000.0, 2.4, 3.2)})
#: The same with step times that grow with the batch size.
BATCH_BOUND = WIDE._replace(per_sequence_ms=1.0)


class TestCapacity:
    def test_kv_cache(self):
        """The runner with the smallest KV cache for a stream limits its chain."""
        cached_tokens = WIDE.usual_prompt_tokens + WIDE.usual_answer_tokens / 2
        min_streams = WIDE.kv_capacity_tokens(WIDE.kinds["large"], 42) / cached_tokens
        assert estimate(chain("a"), WIDE).streams == pytest.approx(min_streams)

    def test_slots_bound_only_first_runners(self):
        """Slots limit only the first runner of a path."""
        first, last = chain("a")
        full = estimate([first, last], WIDE)
        assert full.streams > 3
        limited = estimate([first._replace(slots=3), last], WIDE)
        assert limited.streams == pytest.approx(3)
        assert estimate([first, last._replace(slots=3)], WIDE) == full

    def test_steady_state(self):
        """Streams are starts times duration, tokens are starts times answer length."""
        single = estimate(chain("a"), WIDE)
        assert single.streams == pytest.approx(single.starts_per_s * single.stream_s)
        answer = WIDE.usual_answer_tokens
        assert single.tokens_per_s == pytest.approx(single.starts_per_s * answer)

    def test_missing_layer(self):
        """Without a runner for some layer the capacity is zero."""
        assert estimate([]) == NO_CAPACITY
        assert estimate(chain("a")[:1], WIDE) == NO_CAPACITY
        assert estimate(chain("a"), WIDE, excluded={"a2"}) == NO_CAPACITY
        assert estimate(chain("a"), WIDE, excluded={"a1", "a2"}) == NO_CAPACITY

    def test_lost_runner_disables_its_chain(self):
        """The remaining runners of a broken chain run no streams of their own."""
        servers = [
            runner(f"{name}{first}", first, first + 40, kind="large")
            for name in "ab"
            for first in (0, 40)
        ]
        both = estimate(servers, WIDE)
        remaining = estimate(servers, WIDE, excluded={"b0"})
        assert remaining.streams == pytest.approx(both.streams / 2)

    def test_remaining_runners_of_a_chain_help_others(self):
        """Runners of a broken chain add capacity at the bottleneck of another chain."""
        servers = [*chain("a"), *chain("b")]
        single = estimate(chain("a"), WIDE)
        remaining = estimate(servers, WIDE, excluded={"b1"})
        assert single.streams < remaining.streams < 2 * single.streams

    def test_zones_are_summed(self):
        """The capacity covers all zones."""
        single = estimate(chain("a"), WIDE)
        both = estimate([*chain("a"), *chain("b", zone="z2")], WIDE)
        assert both.streams == pytest.approx(2 * single.streams)
        assert both.starts_per_s == pytest.approx(2 * single.starts_per_s)

    def test_slow_runner_starts_fewer(self):
        """A runner at twice its step time prolongs all streams of its chain."""
        usual = estimate(chain("a"), WIDE)
        slow = estimate(chain("a"), WIDE, slowdowns={"a1": 2.0})
        assert slow.streams == pytest.approx(usual.streams)
        assert slow.starts_per_s < 0.75 * usual.starts_per_s

    def test_runner_too_slow_for_gap_target(self):
        """Streams that miss the gap target at any utilization don't count."""
        assert estimate(chain("a"), WIDE, slowdowns={"a1": 300.0}) == NO_CAPACITY
        no_gaps = Targets(10.0, 0.0)
        slow = estimate(chain("a"), WIDE, slowdowns={"a1": 300.0}, targets=no_gaps)
        assert slow.streams > 0

    def test_gap_target_limits_batch_size(self):
        """The step time at their batch size limits the number of streams."""
        no_gaps = Targets(10.0, 0.0)
        full = estimate(chain("a"), BATCH_BOUND, targets=no_gaps)
        half_gap_s = 0.5 * full.stream_s / BATCH_BOUND.usual_answer_tokens
        partial = estimate(chain("a"), BATCH_BOUND, targets=Targets(10.0, half_gap_s))
        assert 0 < partial.streams < 0.6 * full.streams

    def test_gap_covers_tokens_per_step(self):
        """With 5 tokens per step, a gap is five token times."""
        gap_s = 0.25
        multi_token = BATCH_BOUND._replace(tokens_per_step=5.0)
        single = estimate(chain("a"), multi_token, targets=Targets(0.0, 5 * gap_s))
        assert single == estimate(chain("a"), BATCH_BOUND, targets=Targets(0.0, gap_s))
        lower = estimate(chain("a"), multi_token, targets=Targets(0.0, gap_s / 5))
        assert lower.streams < single.streams

    def test_first_event_target_limits_prefill(self):
        """Prefill that delays first events beyond the target limits the starts."""
        slow_prefill = WIDE._replace(prefill_tokens_per_s=10_000.0)
        full = estimate(chain("a"), slow_prefill, targets=Targets(0.0, 0.0))
        partial = estimate(chain("a"), slow_prefill, targets=Targets(0.4, 0.0))
        assert 0 < partial.starts_per_s < full.starts_per_s
        assert (
            estimate(chain("a"), slow_prefill, targets=Targets(0.2, 0.0)) == NO_CAPACITY
        )

    def test_zone_link_limits_cross_zone_streams(self):
        """If no zone has all layers, the link between zones is the limit."""
        servers = [chain("a")[0], chain("b", zone="z2")[1]]
        unlimited = estimate(servers, WIDE._replace(zone_link_mbps=0.0))
        assert unlimited.streams == pytest.approx(estimate(chain("a"), WIDE).streams)
        narrow = WIDE._replace(zone_link_mbps=5_000.0)
        cross_zone = estimate(servers, narrow)
        assert 0 < cross_zone.starts_per_s < 1000 / narrow.zone_transfer_ms
        assert cross_zone.streams < unlimited.streams
        assert estimate(servers, WIDE._replace(zone_link_mbps=500.0)) == NO_CAPACITY

    def test_zone_link_does_not_limit_streams_within_zones(self):
        """Streams within a zone don't use the link between zones."""
        servers = [*chain("a"), *chain("b", zone="z2")]
        assert estimate(servers, WIDE._replace(zone_link_mbps=1.0)) == estimate(
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
    def test_capacity_is_bounded_by_each_layer(self, ranges, rng):
        """No layer's KV cache is exceeded, independent of the order of runners."""
        spec = engine()
        servers = [
            runner(f"r{n}", first, min(80, first + size), kind=kind, zone=zone)
            for n, (first, size, kind, zone) in enumerate(ranges)
        ]
        single = estimate(servers)
        cached_tokens = spec.usual_prompt_tokens + spec.usual_answer_tokens / 2
        by_layer = [
            sum(
                spec.kv_capacity_tokens(spec.kinds[server.kind], server.layers.size)
                for server in servers
                if server.layers.first <= layer < server.layers.end
            )
            / cached_tokens
            for layer in range(80)
        ]
        assert 0 <= single.streams <= min(by_layer) + 1e-3
        assert all(math.isfinite(figure) for figure in single)
        rng.shuffle(servers)
        assert estimate(servers) == pytest.approx(single)
