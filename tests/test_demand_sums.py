# SPDX-License-Identifier: MIT
"""Demand of all instances, summed along their tree, by replay."""

from __future__ import annotations

import os
import random

import pytest

from demand_replay import SKEWED, WORKSPACES, DemandReplay, of_workspaces


#: 350 instances take 4 s a seed: VIOLETHATCH_DEMAND_SEEDS=50 replays them all.
SEEDS = {8: 50, 72: 50, 350: int(os.environ.get("VIOLETHATCH_DEMAND_SEEDS", "1"))}
REPLAYS = [(size, seed) for size, seeds in SEEDS.items() for seed in range(seeds)]
#: How far the sums may be behind what is offered, in seconds: the tree has more levels
#: the more instances there are, each of which adds a tick at most.
LAG_S = {8: 1.0, 72: 1.5, 350: 2.0}
#: When all know of a busy workspace, in seconds; workspaces go out every 0.5 s.
KNOWN_AFTER_S = {8: 3.0, 72: 5.0, 350: 6.0}


class Steady:
    """Counts the same offers at any time."""

    def __init__(self, demand):
        self._demand = demand

    def record_offer(self, key, workspace, *, now_s):
        """Leave an offer out."""

    def demand(self, *, now_s):
        """Return the same offers."""
        return self._demand


def steady_replay(instances, **options):
    """Return a replay whose instances have 1, 2, 3 and so on offers per second."""
    replay = DemandReplay(instances, rng=random.Random(instances), **options)
    for n, one in enumerate(replay.sums):
        replay.counters[one] = Steady(of_workspaces({n % 5: n + 1.0}))
    return replay


class TestSums:
    @pytest.mark.parametrize(("instances", "seed"), REPLAYS)
    def test_sums_follow_surges(self, instances, seed):
        """Guards against sums that are wrong in a steady state, or late in a surge.

        First one workspace sends 20 times its usual rate, then all send 2.4 times
        theirs.  In a surge each instance's sum is within 0.1 of what all were offered
        in some second that ended at most `LAG_S` ago.
        """
        replay = DemandReplay(
            instances, rng=random.Random(seed), loss=0.02, doubled=0.02
        )
        busy = seed % len(WORKSPACES)
        weights = list(SKEWED)
        weights[busy] *= 20
        per_s = replay.offers.per_s * sum(weights) / sum(SKEWED)
        replay.offers = replay.offers._replace(per_s=per_s, weights=tuple(weights))
        replay.run(KNOWN_AFTER_S[instances])
        for _ in range(2):
            replay.run(0.25)
            known = replay.rates()
            assert min(known) >= 0.9 * per_s * instances
            assert max(known) <= 1.1 * per_s * instances
            for one in replay.sums:
                heaviest = replay.known(one).heaviest_per_s
                assert busy in {workspace for _, workspace in heaviest}
        replay.offers = replay.offers._replace(per_s=2.4 * per_s)
        for _ in range(5):
            replay.run(0.5)
            known = replay.rates()
            counts = replay.counts(LAG_S[instances])
            assert min(known) >= 0.9 * min(counts)
            assert max(known) <= 1.1 * max(counts)

    @pytest.mark.parametrize("instances", [8, 72])
    def test_lost_and_doubled_datagrams_don_t_distort(self, instances):
        """Guards against sums that count a datagram twice, or need each of them."""
        replay = steady_replay(instances, loss=0.05, doubled=0.3)
        replay.run(5.0)
        right = sum(range(1, instances + 1))
        for _ in range(12):
            replay.run(0.25)
            assert set(replay.rates()) == {right}

    def test_dead_instance_drops_out(self):
        """Guards against demand of an instance that is gone."""
        replay = steady_replay(72)
        replay.run(5.0)
        gone = list(replay.sums)[10]
        replay.dead = {gone}
        replay.run(6.0)
        right = sum(range(1, 73)) - sum(
            replay.counters[gone].demand(now_s=0.0).offers_per_s.values()
        )
        assert set(replay.rates()) == {right}

    def test_workspaces_of_all_add_up(self):
        """Guards against a workspace's rate that counts some instances only."""
        replay = steady_replay(8)
        replay.run(6.0)
        right = {0: 1 + 6.0, 1: 2 + 7.0, 2: 3 + 8.0, 3: 4.0, 4: 5.0}
        for one in replay.sums:
            assert replay.known(one) == of_workspaces(right)
