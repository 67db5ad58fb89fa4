# SPDX-License-Identifier: MIT
"""How slow runners say that they are."""

from __future__ import annotations

import random

from routing_samples import engine, runner
from violethatch.paths import LayerMap, find_path
from violethatch.slow_runners import SlowRunners


def due(paces, *, instances=1, rng=None, now_s):
    """Return whom an instance asks again."""
    return paces.due_for_probe(
        instances=instances, rng=rng or random.Random(1), now_s=now_s
    )


class TestRunnerPaces:
    def test_slow_runner_is_known(self):
        """Its latest word counts."""
        paces = SlowRunners()
        paces.record("a", 12.0, now_s=0.0)
        paces.record("a", 11.0, now_s=1.0)
        assert paces.slow(now_s=1.0) == {"a": 11.0}

    def test_usual_pace_is_nothing(self):
        """Runners are a little slower or quicker all the time."""
        paces = SlowRunners()
        paces.record("a", 1.4, now_s=0.0)
        assert paces.slow(now_s=0.0) == {}

    def test_runner_that_is_quick_again(self):
        """Its new word ends it."""
        paces = SlowRunners()
        paces.record("a", 12.0, now_s=0.0)
        paces.record("a", 1.0, now_s=1.0)
        assert paces.slow(now_s=1.0) == {}

    def test_word_is_asked_for_again_before_it_lapses(self):
        """A slow runner that gets no requests is not forgotten as slow."""
        paces = SlowRunners()
        paces.record("a", 12.0, now_s=0.0)
        assert due(paces, now_s=1.0) == []
        assert due(paces, now_s=2.5) == ["a"]
        assert paces.slow(now_s=2.5) == {"a": 12.0}
        assert paces.slow(now_s=9.0) == {}

    def test_few_of_many_instances_ask(self):
        """What one is told, all hear."""
        paces = SlowRunners()
        paces.record("a", 12.0, now_s=0.0)
        rng = random.Random(1)
        asked = sum(
            len(due(paces, instances=200, rng=rng, now_s=3.0)) for _ in range(2000)
        )
        assert 10 <= asked <= 40

    def test_runner_that_is_gone(self):
        """Nothing is kept of it."""
        paces = SlowRunners()
        paces.record("a", 12.0, now_s=0.0)
        paces.forget("a")
        assert due(paces, now_s=9.0) == []


class TestPaths:
    def test_slow_runner_is_gone_around(self):
        """Where another holds its layers, the path leads there."""
        quick, slow = (
            runner("quick", 0, 80, kind="medium"),
            runner("slow", 0, 80, kind="large"),
        )
        layer_map = LayerMap([quick, slow], engine())
        assert find_path([quick, slow], engine(), zone="z1").first.id == "slow"
        path = layer_map.find(zone="z1", slowdowns={"slow": 12.0})
        assert path.first.id == "quick"
