# SPDX-License-Identifier: MIT
"""Route choice."""

from __future__ import annotations

import random

import pytest

from hypothesis import given, settings
from hypothesis import strategies as st

from violethatch import Candidate, LayerRange, MarginalCost, tiles
from violethatch.routes import MinInFlightHops, RandomHops, RoundRobinHops


def runner(name, first, end, *, peak=100.0, quickest_s=0.01, own=0, others=0):
    """Return a candidate."""
    return Candidate(name, LayerRange(first, end), peak, quickest_s, own, others)


def names(route):
    """Return the ids of a route's runners."""
    return [item.runner_id for item in route]


POLICIES = [
    MarginalCost(),
    RandomHops(random.Random(1)),
    RoundRobinHops(),
    MinInFlightHops(),
]
RANGES = st.tuples(st.integers(0, 5), st.integers(1, 6)).filter(lambda x: x[0] < x[1])


class TestPolicies:
    @pytest.mark.parametrize("policy", POLICIES)
    @given(ranges=st.lists(RANGES, max_size=12))
    @settings(derandomize=True, deadline=None, max_examples=200)
    def test_routes_tile_the_model(self, policy, ranges):
        """Any policy returns a tiling exactly when there is one."""
        candidates = [
            runner(str(number), first, end)
            for number, (first, end) in enumerate(ranges)
        ]
        reachable = {0}
        for first, end in sorted(ranges):
            if first in reachable:
                reachable.add(end)
        route = policy.choose(candidates, layer_count=6)
        if 6 in reachable:
            assert tiles([item.layers for item in route], layer_count=6)
        else:
            assert route is None


class TestMarginalCost:
    def test_prefers_the_runner_with_room(self):
        """Streams count in proportion to the runner's rate."""
        slow = runner("slow", 0, 1, peak=50.0, own=2)
        fast = runner("fast", 0, 1, peak=400.0, own=5)
        assert names(MarginalCost().choose([slow, fast], layer_count=1)) == ["fast"]

    def test_counts_other_instances_streams(self):
        """What others have on a runner weighs as much as one's own."""
        crowded = runner("a", 0, 1, others=9)
        empty = runner("b", 0, 1, own=1)
        candidates = [crowded, empty]
        assert names(MarginalCost().choose(candidates, layer_count=1)) == ["b"]
        blind = MarginalCost(sees_others=False)
        assert names(blind.choose(candidates, layer_count=1)) == ["a"]

    def test_a_slow_link_is_a_cost(self):
        """One hop over a slow link loses against two over quick ones."""
        far = runner("far", 0, 2, quickest_s=1.0)
        near = [runner("near-0", 0, 1), runner("near-1", 1, 2)]
        route = MarginalCost().choose([far, *near], layer_count=2)
        assert names(route) == ["near-0", "near-1"]
