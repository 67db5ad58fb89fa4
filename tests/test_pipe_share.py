# SPDX-License-Identifier: MIT
"""Which requests may cross the pipe between zones."""

from __future__ import annotations

import random

import pytest
import simpy

from violethatch.pipe_share import PipeShare


class Pipe:
    """A pipe that requests of many instances pass in turn."""

    def __init__(self, *, instances, crossing_ms, seed):
        self.rng = random.Random(seed)
        self.env = simpy.Environment()
        self.shares = [PipeShare(random.Random(seed + n)) for n in range(instances)]
        self.crossing_s = crossing_ms / 1000
        self.free_s = 0.0
        self.waits_s = []
        self.denied = 0

    def attempt(self, share):
        """Let a request cross, if it may."""
        cost_ms = self.crossing_s * 1000 * len(self.shares)
        if not share.may_cross(cost_ms, now_s=self.env.now):
            self.denied += 1
            return
        begins_s = max(self.env.now, self.free_s)
        self.waits_s.append(begins_s - self.env.now)
        self.free_s = begins_s + self.crossing_s

    def burst(self, at_s, each):
        """Each instance has so many requests at the same moment."""
        yield self.env.timeout(at_s)
        for share in self.shares:
            for _ in range(each):
                self.attempt(share)

    def steady(self, per_s):
        """Requests come to all instances, so many a second in all."""
        while True:
            yield self.env.timeout(self.rng.expovariate(per_s))
            self.attempt(self.rng.choice(self.shares))


class TestPipeShare:
    @pytest.mark.parametrize("seed", range(10))
    def test_all_at_once_don_t_make_a_long_queue(self, seed):
        """A lost runner sends the streams of all instances across together."""
        pipe = Pipe(instances=19, crossing_ms=130, seed=seed)
        pipe.env.process(pipe.burst(1.0, 3))
        pipe.env.run(until=5.0)
        assert pipe.waits_s
        assert max(pipe.waits_s) < 1.2

    @pytest.mark.parametrize("seed", range(5))
    def test_overload_keeps_the_pipe_busy_and_short(self, seed):
        """Far more than the pipe carries: a good part of it is used, in time."""
        pipe = Pipe(instances=19, crossing_ms=130, seed=seed)
        pipe.env.process(pipe.steady(25.0))
        pipe.env.run(until=60.0)
        busy = len(pipe.waits_s) * pipe.crossing_s / 60.0
        assert 0.3 < busy < 0.95
        waits = sorted(pipe.waits_s)
        assert waits[int(0.95 * len(waits))] < 1.0

    @pytest.mark.parametrize("seed", range(5))
    def test_little_traffic_crosses_freely(self, seed):
        """Nearly nothing is held back while the pipe is mostly free."""
        pipe = Pipe(instances=8, crossing_ms=22, seed=seed)
        pipe.env.process(pipe.steady(4.0))
        pipe.env.run(until=60.0)
        assert pipe.denied < 0.15 * (len(pipe.waits_s) + pipe.denied)
