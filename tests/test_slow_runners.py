# SPDX-License-Identifier: MIT
"""Runners that report being slow."""

from __future__ import annotations

import random

from routing_samples import engine, runner
from violethatch.paths import LayerMap, find_path
from violethatch.slow_runners import SlowRunners


def due_for_probe(slow_runners, *, instances=1, rng=None, now_s):
    """Return the runners that an instance has to probe again."""
    return slow_runners.due_for_probe(
        instances=instances, rng=rng or random.Random(1), now_s=now_s
    )


class TestSlowRunners:
    def test_slow_runner_is_known(self):
        """The latest report counts."""
        slow_runners = SlowRunners()
        slow_runners.record("a", 12.0, now_s=0.0)
        slow_runners.record("a", 11.0, now_s=1.0)
        assert slow_runners.slow(now_s=1.0) == {"a": 11.0}

    def test_normal_speed_is_ignored(self):
        """Small variations of a runner's speed have no effect."""
        slow_runners = SlowRunners()
        slow_runners.record("a", 1.4, now_s=0.0)
        assert slow_runners.slow(now_s=0.0) == {}

    def test_recovered_runner(self):
        """A report of normal speed replaces the earlier one."""
        slow_runners = SlowRunners()
        slow_runners.record("a", 12.0, now_s=0.0)
        slow_runners.record("a", 1.0, now_s=1.0)
        assert slow_runners.slow(now_s=1.0) == {}

    def test_probe_is_due_before_report_expires(self):
        """A slow runner without requests is probed, and so stays known as slow."""
        slow_runners = SlowRunners()
        slow_runners.record("a", 12.0, now_s=0.0)
        assert due_for_probe(slow_runners, now_s=1.0) == []
        assert due_for_probe(slow_runners, now_s=2.5) == ["a"]
        assert slow_runners.slow(now_s=2.5) == {"a": 12.0}
        assert slow_runners.slow(now_s=9.0) == {}

    def test_few_of_many_instances_probe(self):
        """The results of probes are shared between instances."""
        slow_runners = SlowRunners()
        slow_runners.record("a", 12.0, now_s=0.0)
        rng = random.Random(1)
        probes = sum(
            len(due_for_probe(slow_runners, instances=200, rng=rng, now_s=3.0))
            for _ in range(2000)
        )
        assert 10 <= probes <= 40

    def test_removed_runner(self):
        """The reports of a removed runner are discarded."""
        slow_runners = SlowRunners()
        slow_runners.record("a", 12.0, now_s=0.0)
        slow_runners.forget("a")
        assert due_for_probe(slow_runners, now_s=9.0) == []


class TestPaths:
    def test_path_avoids_slow_runner(self):
        """The path uses another runner that holds the same layers."""
        quick, slow = (
            runner("quick", 0, 80, kind="medium"),
            runner("slow", 0, 80, kind="large"),
        )
        layer_map = LayerMap([quick, slow], engine())
        assert find_path([quick, slow], engine(), zone="z1").first.id == "slow"
        path = layer_map.find(zone="z1", slowdowns={"slow": 12.0})
        assert path.first.id == "quick"
