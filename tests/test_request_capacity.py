# SPDX-License-Identifier: MIT
"""Readiness of an instance, and its effect on skewed connections."""

from __future__ import annotations

import random

import pytest

from violethatch.request_capacity import RequestCapacity, may_connect


MAX_REQUESTS = 400


def check(readiness, in_flight, mean_of_others):
    """Check an instance's readiness."""
    return readiness.check(
        in_flight, max_requests=MAX_REQUESTS, mean_of_others=mean_of_others
    )


class TestRequestCapacity:
    def test_instance_with_skewed_load_is_full(self):
        """It is full before it rejects requests, until below half of its limit."""
        readiness = RequestCapacity()
        assert check(readiness, 299, 10.0)
        assert not check(readiness, 300, 10.0)
        assert not check(readiness, 201, 10.0)
        assert check(readiness, 199, 10.0)
        assert check(readiness, 299, 10.0)

    def test_instance_with_balanced_load_stays_ready(self):
        """The other instances would not serve its requests either."""
        readiness = RequestCapacity()
        assert check(readiness, 400, 210.0)
        assert check(readiness, 400, None)
        assert not check(readiness, 400, 100.0)
        assert check(readiness, 400, 210.0)


class TestNewConnections:
    @pytest.mark.parametrize(
        ("in_flight", "mean_of_others", "is_accepted"),
        [(399, 10.0, True), (400, 10.0, False), (400, 210.0, True), (400, None, True)],
    )
    def test_rejected_at_limit_if_others_have_capacity(
        self, in_flight, mean_of_others, is_accepted
    ):
        """Its request would be rejected here, and served elsewhere."""
        assert is_accepted is may_connect(
            in_flight, max_requests=MAX_REQUESTS, mean_of_others=mean_of_others
        )


#: A load balancer that removes an instance after two checks without a 200.
CHECK_S = 0.5
FAILED_CHECKS = 2
SKEWED_FRACTION = 7 / 8
STREAM_S = 3.0
STEP_S = 0.05
REPORT_S = 1.0
WARMUP_S = 3.0


class SkewedBalancer:
    """Instances behind a load balancer that prefers one of those in rotation."""

    def __init__(self, instances, rate_per_s, seed):
        self.rng = random.Random(seed)
        self.rate_per_s = rate_per_s
        self.readiness_checks = [RequestCapacity() for _ in range(instances)]
        self.in_flight = [0] * instances
        self.failed = [0] * instances
        self.reported = list(self.in_flight)
        self.completions = []
        self.preferred = 0

    def run(self, duration_s):
        """Return the requests that were sent and rejected after the warm-up."""
        sent = rejected = 0
        self.unread = 0
        for step in range(round(duration_s / STEP_S)):
            now_s = step * STEP_S
            while self.completions and self.completions[0][0] <= now_s:
                self.in_flight[self.completions.pop(0)[1]] -= 1
            if step % round(REPORT_S / STEP_S) == 0:
                self.reported = list(self.in_flight)
            if step % round(CHECK_S / STEP_S) == 0:
                self._check_instances()
            for _ in range(round(self.rate_per_s * STEP_S)):
                is_served = self._send(now_s)
                if now_s >= WARMUP_S:
                    sent += 1
                    rejected += not is_served
        return sent, rejected

    def _check_instances(self):
        """Check the readiness of all instances."""
        total = sum(self.reported)
        for number, readiness in enumerate(self.readiness_checks):
            mean = (total - self.reported[number]) / (len(self.readiness_checks) - 1)
            is_ready = check(readiness, self.in_flight[number], mean)
            self.failed[number] = 0 if is_ready else self.failed[number] + 1
        if self.failed[self.preferred] >= FAILED_CHECKS:
            self.preferred = self.rng.choice(self._in_rotation())

    def _accepts(self, number):
        """Return whether an instance accepts a new connection."""
        others = sum(self.reported) - self.reported[number]
        return may_connect(
            self.in_flight[number],
            max_requests=MAX_REQUESTS,
            mean_of_others=others / (len(self.readiness_checks) - 1),
        )

    def _in_rotation(self):
        """Return the instances in rotation, or all if those are too few."""
        numbers = range(len(self.readiness_checks))
        ready = [number for number in numbers if self.failed[number] < FAILED_CHECKS]
        return ready if 2 * len(ready) >= len(self.readiness_checks) else list(numbers)

    def _send(self, now_s):
        """Send one request; return whether it was accepted."""
        number = self.preferred
        if self.rng.random() >= SKEWED_FRACTION:
            number = self.rng.choice(self._in_rotation())
        while not self._accepts(number):
            self.unread += 1
            number = self.rng.choice(self._in_rotation())
        if self.in_flight[number] >= MAX_REQUESTS:
            return False
        self.in_flight[number] += 1
        self.completions.append((now_s + STREAM_S, number))
        return True


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("instances", "rate_per_s"), [(8, 60), (28, 240), (85, 400), (85, 700)]
)
def test_few_requests_are_rejected_with_skewed_connections(instances, rate_per_s, seed):
    """Guards against a third to two thirds rejected if instances are always ready."""
    sent, rejected = SkewedBalancer(instances, rate_per_s, seed).run(30.0)
    assert rejected <= 0.05 * sent
