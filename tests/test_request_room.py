# SPDX-License-Identifier: MIT
"""Whether an instance has room, and what that does to skewed connections."""

from __future__ import annotations

import random

import pytest

from violethatch.request_capacity import RequestCapacity, may_connect


MAX_REQUESTS = 400


def check(room, in_flight, mean_of_others):
    """Ask for an instance's room."""
    return room.check(
        in_flight, max_requests=MAX_REQUESTS, mean_of_others=mean_of_others
    )


class TestRequestRoom:
    def test_instance_that_most_requests_come_to_is_full(self):
        """Before it has to refuse any, and until half of its room is free."""
        room = RequestCapacity()
        assert check(room, 299, 10.0)
        assert not check(room, 300, 10.0)
        assert not check(room, 201, 10.0)
        assert check(room, 199, 10.0)
        assert check(room, 299, 10.0)

    def test_instance_that_is_as_full_as_the_others_goes_on(self):
        """Nobody would be served elsewhere."""
        room = RequestCapacity()
        assert check(room, 400, 210.0)
        assert check(room, 400, None)
        assert not check(room, 400, 100.0)
        assert check(room, 400, 210.0)


class TestNewConnections:
    @pytest.mark.parametrize(
        ("in_flight", "mean_of_others", "is_taken"),
        [(399, 10.0, True), (400, 10.0, False), (400, 210.0, True), (400, None, True)],
    )
    def test_none_is_taken_where_others_have_room(
        self, in_flight, mean_of_others, is_taken
    ):
        """Its request would be refused here, and served there."""
        assert is_taken is may_connect(
            in_flight, max_requests=MAX_REQUESTS, mean_of_others=mean_of_others
        )


#: A balancer that takes an instance out after two checks without a 200.
CHECK_S = 0.5
FAILED_CHECKS = 2
BUSY_PART = 7 / 8
STREAM_S = 3.0
STEP_S = 0.05
REPORT_S = 1.0
CONTACT_S = 3.0


class Balanced:
    """Instances behind a balancer that prefers one of those that are in."""

    def __init__(self, instances, rate_a_s, seed):
        self.rng = random.Random(seed)
        self.rate_a_s = rate_a_s
        self.rooms = [RequestCapacity() for _ in range(instances)]
        self.in_flight = [0] * instances
        self.failed = [0] * instances
        self.reported = list(self.in_flight)
        self.ends = []
        self.preferred = 0

    def play(self, played_s):
        """Return how many requests were sent and refused after the first seconds."""
        sent = refused = 0
        self.unread = 0
        for step in range(round(played_s / STEP_S)):
            now_s = step * STEP_S
            while self.ends and self.ends[0][0] <= now_s:
                self.in_flight[self.ends.pop(0)[1]] -= 1
            if step % round(REPORT_S / STEP_S) == 0:
                self.reported = list(self.in_flight)
            if step % round(CHECK_S / STEP_S) == 0:
                self._check_all()
            for _ in range(round(self.rate_a_s * STEP_S)):
                is_served = self._send(now_s)
                if now_s >= CONTACT_S:
                    sent += 1
                    refused += not is_served
        return sent, refused

    def _check_all(self):
        """Ask all instances whether they are ready."""
        total = sum(self.reported)
        for number, room in enumerate(self.rooms):
            mean = (total - self.reported[number]) / (len(self.rooms) - 1)
            has_room = check(room, self.in_flight[number], mean)
            self.failed[number] = 0 if has_room else self.failed[number] + 1
        if self.failed[self.preferred] >= FAILED_CHECKS:
            self.preferred = self.rng.choice(self._in())

    def _takes(self, number):
        """Tell whether an instance takes a new connection."""
        others = sum(self.reported) - self.reported[number]
        return may_connect(
            self.in_flight[number],
            max_requests=MAX_REQUESTS,
            mean_of_others=others / (len(self.rooms) - 1),
        )

    def _in(self):
        """Return the instances that are in, or all if too few are."""
        numbers = range(len(self.rooms))
        ready = [one for one in numbers if self.failed[one] < FAILED_CHECKS]
        return ready if 2 * len(ready) >= len(self.rooms) else list(numbers)

    def _send(self, now_s):
        """Send one request; tell whether it was taken."""
        number = self.preferred
        if self.rng.random() >= BUSY_PART:
            number = self.rng.choice(self._in())
        while not self._takes(number):
            self.unread += 1
            number = self.rng.choice(self._in())
        if self.in_flight[number] >= MAX_REQUESTS:
            return False
        self.in_flight[number] += 1
        self.ends.append((now_s + STREAM_S, number))
        return True


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("instances", "rate_a_s"), [(8, 60), (28, 240), (85, 400), (85, 700)]
)
def test_few_requests_are_refused_while_connections_are_skewed(
    instances, rate_a_s, seed
):
    """From 3 s on; a third to two thirds were where no instance was ever full."""
    sent, refused = Balanced(instances, rate_a_s, seed).play(30.0)
    assert refused <= 0.05 * sent
