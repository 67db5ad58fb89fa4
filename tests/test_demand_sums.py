# SPDX-License-Identifier: MIT
"""Demand of all instances, aggregated along their tree in a replay."""

from __future__ import annotations

import os
import random

import pytest

from demand_replay import SKEWED, WORKSPACES, DemandReplay, of_workspaces


#: 350 instances take 4 s a seed: VIOLETHATCH_DEMAND_SEEDS=50 replays them all.
SEEDS = {8: 50, 72: 50, 350: int(os.environ.get("VIOLETHATCH_DEMAND_SEEDS", "1"))}
REPLAYS = [(size, seed) for size, seeds in SEEDS.items() for seed in range(seeds)]
#: The maximum lag of the sums, in seconds: more instances add levels to the tree, each
#: with a delay of one tick at most.
LAG_S = {8: 1.0, 72: 1.5, 350: 2.0}
#: The time until all instances have a busy workspace, in seconds; workspaces are sent
#: every 0.5 s.
CONVERGENCE_S = {8: 3.0, 72: 5.0, 350: 6.0}


class ConstantDemand:
    """A counter with constant demand."""

    def __init__(self, demand):
        self._demand = demand

    def record_offer(self, key, workspace, *, now_s):
        """Ignore an offer."""

    def demand(self, *, now_s):
        """Return the constant demand."""
        return self._demand


def constant_replay(instances, **options):
    """Return a replay with 1, 2, 3 and so on offers per second at its instances."""
    replay = DemandReplay(instances, rng=random.Random(instances), **options)
    for n, instance_id in enumerate(replay.sums):
        replay.counters[instance_id] = ConstantDemand(of_workspaces({n % 5: n + 1.0}))
    return replay


class TestSums:
    @pytest.mark.parametrize(("instances", "seed"), REPLAYS)
    def test_sums_track_surges(self, instances, seed):
        """Guards against sums that are wrong in a steady state, or late in a surge.

        First one workspace sends 20 times its usual rate, then all send 2.4 times
        theirs.  In a surge each instance's sum is within 10% of the total offers of
        some second that ended at most `LAG_S` ago.
        """
        replay = DemandReplay(
            instances, rng=random.Random(seed), loss=0.02, duplicated=0.02
        )
        busy = seed % len(WORKSPACES)
        weights = list(SKEWED)
        weights[busy] *= 20
        per_s = replay.offers.per_s * sum(weights) / sum(SKEWED)
        replay.offers = replay.offers._replace(per_s=per_s, weights=tuple(weights))
        replay.run(CONVERGENCE_S[instances])
        for _ in range(2):
            replay.run(0.25)
            rates = replay.rates()
            assert min(rates) >= 0.9 * per_s * instances
            assert max(rates) <= 1.1 * per_s * instances
            for instance_id in replay.sums:
                heaviest = replay.known_demand(instance_id).heaviest_per_s
                assert busy in {workspace for _, workspace in heaviest}
        replay.offers = replay.offers._replace(per_s=2.4 * per_s)
        for _ in range(5):
            replay.run(0.5)
            rates = replay.rates()
            counts = replay.counts(LAG_S[instances])
            assert min(rates) >= 0.9 * min(counts)
            assert max(rates) <= 1.1 * max(counts)

    @pytest.mark.parametrize("instances", [8, 72])
    def test_lost_and_duplicated_datagrams_have_no_effect(self, instances):
        """Guards against sums that count a datagram twice, or depend on each one."""
        replay = constant_replay(instances, loss=0.05, duplicated=0.3)
        replay.run(5.0)
        expected = sum(range(1, instances + 1))
        for _ in range(12):
            replay.run(0.25)
            assert set(replay.rates()) == {expected}

    def test_crashed_instance_is_removed(self):
        """Guards against the demand of a crashed instance in the sums."""
        replay = constant_replay(72)
        replay.run(5.0)
        crashed_id = list(replay.sums)[10]
        replay.crashed = {crashed_id}
        replay.run(6.0)
        expected = sum(range(1, 73)) - sum(
            replay.counters[crashed_id].demand(now_s=0.0).offers_per_s.values()
        )
        assert set(replay.rates()) == {expected}

    def test_workspaces_are_summed_over_instances(self):
        """Guards against a workspace's rate that is the sum of only some instances."""
        replay = constant_replay(8)
        replay.run(6.0)
        expected = {0: 1 + 6.0, 1: 2 + 7.0, 2: 3 + 8.0, 3: 4.0, 4: 5.0}
        for instance_id in replay.sums:
            assert replay.known_demand(instance_id) == of_workspaces(expected)
