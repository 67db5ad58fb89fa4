# SPDX-License-Identifier: MIT
"""Admission of requests to the pipe between zones."""

from __future__ import annotations

import random

import pytest
import simpy

from violethatch.pipe_share import PipeShare


class Pipe:
    """A pipe that requests of many instances cross one after another."""

    def __init__(self, *, instances, crossing_ms, seed):
        self.rng = random.Random(seed)
        self.env = simpy.Environment()
        self.shares = [PipeShare(random.Random(seed + n)) for n in range(instances)]
        self.crossing_s = crossing_ms / 1000
        self.free_s = 0.0
        self.waits_s = []
        self.rejected = 0

    def attempt(self, share):
        """Let a request cross, if it is admitted."""
        cost_ms = self.crossing_s * 1000 * len(self.shares)
        if not share.may_cross(cost_ms, now_s=self.env.now):
            self.rejected += 1
            return
        start_s = max(self.env.now, self.free_s)
        self.waits_s.append(start_s - self.env.now)
        self.free_s = start_s + self.crossing_s

    def burst(self, at_s, each):
        """Start the given number of requests on each instance at the same time."""
        yield self.env.timeout(at_s)
        for share in self.shares:
            for _ in range(each):
                self.attempt(share)

    def steady(self, per_s):
        """Start requests on random instances at the given total rate."""
        while True:
            yield self.env.timeout(self.rng.expovariate(per_s))
            self.attempt(self.rng.choice(self.shares))


class TestPipeShare:
    @pytest.mark.parametrize("seed", range(10))
    def test_burst_queue_is_short(self, seed):
        """The loss of a runner makes the streams of all instances cross together."""
        pipe = Pipe(instances=19, crossing_ms=130, seed=seed)
        pipe.env.process(pipe.burst(1.0, 3))
        pipe.env.run(until=5.0)
        assert pipe.waits_s
        assert max(pipe.waits_s) < 1.2

    @pytest.mark.parametrize("seed", range(5))
    def test_overload_utilizes_pipe(self, seed):
        """Under overload, the pipe is well utilized and its queue stays short."""
        pipe = Pipe(instances=19, crossing_ms=130, seed=seed)
        pipe.env.process(pipe.steady(25.0))
        pipe.env.run(until=60.0)
        busy = len(pipe.waits_s) * pipe.crossing_s / 60.0
        assert 0.3 < busy < 0.95
        waits = sorted(pipe.waits_s)
        assert waits[int(0.95 * len(waits))] < 1.0

    @pytest.mark.parametrize("seed", range(5))
    def test_low_traffic_is_rarely_rejected(self, seed):
        """Few requests are rejected while the pipe is mostly idle."""
        pipe = Pipe(instances=8, crossing_ms=22, seed=seed)
        pipe.env.process(pipe.steady(4.0))
        pipe.env.run(until=60.0)
        assert pipe.rejected < 0.15 * (len(pipe.waits_s) + pipe.rejected)
