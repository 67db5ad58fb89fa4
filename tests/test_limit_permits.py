# SPDX-License-Identifier: MIT
"""Permits of one rate-limited server for all instances: a replay and unit tests."""

from __future__ import annotations

import collections
import heapq
import random

import pytest

from signaling_servers import max_within
from violethatch import limit_permits
from violethatch.limit_permits import (
    MIN_LIMIT_PER_S,
    PERMIT_LIFETIME_S,
    WINDOW_S,
    Permit,
    PermitCache,
    PermitIssuer,
    PermitIssuers,
)


#: Latency of a datagram, in seconds.
LATENCY_S = 0.001
#: Duration of a replay, and start of the measurement of its use, in seconds.
DURATION_S, MEASURED_FROM_S = 60.0, 10.0
#: Minimum number of permitted requests in a replay, so that a difference of one is
#: negligible.
MIN_SENT = 50
#: Requests a second for the server that each instance receives.
DEMAND_PER_S = 18.0
#: Minimum fraction of a limit that is used while there is demand for it.
MIN_USED_FRACTION = 0.9


class Replay:
    """Instances with requests for one server, and the issuer of its permits.

    Args:
        instances: Number of instances with requests.
        demand_per_s: Total requests a second.
        seed: Seed of all random choices.
    """

    def __init__(self, instances, demand_per_s, *, seed=1):
        self.rng = random.Random(seed)
        self.each_per_s = demand_per_s / instances
        self.caches = [PermitCache() for _ in range(instances)]
        self.issuer = PermitIssuer(rng=self.rng, now_s=0.0)
        self.sent_s = []
        self.permit_requests = 0
        #: Priorities of requests, equally likely, and the number sent of each.
        self.priorities = (0,)
        self.sent_by_priority = collections.Counter()
        self.arrivals = [
            (self.next_arrival_s(0.0), instance) for instance in range(instances)
        ]
        heapq.heapify(self.arrivals)

    def next_arrival_s(self, now_s):
        """Return the time of an instance's next request."""
        return now_s + self.rng.expovariate(self.each_per_s)

    def run(self, until_s, per_s, *, is_quiet=False):
        """Run the replay until a time."""
        while self.arrivals[0][0] < until_s:
            now_s, instance = self.arrivals[0]
            heapq.heapreplace(self.arrivals, (self.next_arrival_s(now_s), instance))
            if not is_quiet:
                self.send(instance, per_s, now_s)

    def send(self, instance, per_s, now_s):
        """Send a request if a permit is granted; sometimes just before it expires."""
        cache = self.caches[instance]
        priority = self.rng.choice(self.priorities)
        if cache.blocked_s(priority=priority, now_s=now_s):
            return
        self.permit_requests += 1
        reply = self.issuer.request(
            str(instance), per_s, priority=priority, now_s=now_s + LATENCY_S
        )
        if reply.is_granted:
            latency_s = self.rng.choice((2 * LATENCY_S, PERMIT_LIFETIME_S))
            self.sent_s.append(now_s + latency_s)
            self.sent_by_priority[priority] += 1
        else:
            cache.block(
                "s1", reply.wait_s, priority=priority, now_s=now_s + 2 * LATENCY_S
            )

    def max_in_window(self):
        """Return the maximum number of arrivals in any window."""
        return max_within(sorted(self.sent_s), WINDOW_S)

    def used_fraction(self, per_s, until_s):
        """Return the fraction of the limit that was used."""
        used = sum(MEASURED_FROM_S <= at_s < until_s for at_s in self.sent_s)
        return used / (until_s - MEASURED_FROM_S) / per_s


class TestReplay:
    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("is_even", [True, False])
    @pytest.mark.parametrize("per_s", [0.3, 2.4, 4.9, 50.0])
    @pytest.mark.parametrize("instances", [8, 64, 350])
    def test_limit_is_enforced_and_used(self, instances, per_s, is_even, seed):
        """The total stays within the limit over any four seconds, and above 90% of it.

        A limit of 1.2 requests in four seconds permits one.
        """
        if is_even:
            replay = Replay(instances, DEMAND_PER_S * instances, seed=seed)
        else:
            replay = Replay(1, max(DEMAND_PER_S, 1.5 * per_s), seed=seed)
        until_s = max(DURATION_S, MEASURED_FROM_S + MIN_SENT / per_s)
        replay.run(until_s, per_s)
        assert replay.max_in_window() <= WINDOW_S * per_s
        max_per_s = 1.0 / WINDOW_S if WINDOW_S * per_s < 2.0 else per_s
        assert replay.used_fraction(min(per_s, max_per_s), until_s) >= MIN_USED_FRACTION

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("instances", [1, 8, 64])
    @pytest.mark.parametrize("per_s", [2.4, 4.9, 50.0])
    def test_urgent_requests_get_more(self, per_s, instances, seed):
        """Urgent requests get more permits, others some, and none are left unused."""
        priority_demand_per_s = max(DEMAND_PER_S * instances, 2 * per_s)
        replay = Replay(instances, 2 * priority_demand_per_s, seed=seed)
        replay.priorities = (1, 2)
        replay.run(DURATION_S, per_s)
        sent = replay.sent_by_priority
        assert replay.max_in_window() <= WINDOW_S * per_s
        assert replay.used_fraction(per_s, DURATION_S) >= MIN_USED_FRACTION
        assert sent[1] >= 1.5 * sent[2]
        assert sent[2] >= 0.05 * sent.total()

    @pytest.mark.parametrize("instances", [8, 64, 350])
    @pytest.mark.parametrize("per_s", [2.4, 50.0])
    def test_request_rate_does_not_grow_with_instances(self, instances, per_s):
        """The issuer replies to about thirty requests a second above its permits."""
        replay = Replay(instances, DEMAND_PER_S * instances)
        replay.run(DURATION_S, per_s)
        bound_per_s = per_s + limit_permits._MAX_RETRIES_PER_S
        # Each instance may request one permit when the limit becomes known.
        assert replay.permit_requests <= instances + 1.2 * bound_per_s * DURATION_S

    @pytest.mark.parametrize("instances", [8, 350])
    def test_limit_is_lowered(self, instances):
        """From 50 to 0.5: no permits until the earlier sends have left the window."""
        replay = Replay(instances, DEMAND_PER_S * instances)
        replay.run(20.0, 50.0)
        sent_before = len(replay.sent_s)
        replay.run(60.0, 0.5)
        after = sorted(replay.sent_s[sent_before:])
        assert max_within(after, WINDOW_S) <= WINDOW_S * 0.5
        assert after[0] >= 20.0 + WINDOW_S

    @pytest.mark.parametrize("instances", [8, 350])
    def test_idle_period(self, instances):
        """No permits are accumulated beyond the normal burst."""
        replay = Replay(instances, DEMAND_PER_S * instances)
        replay.run(10.0, 4.9)
        replay.run(50.0, 4.9, is_quiet=True)
        before = len(replay.sent_s)
        replay.run(60.0, 4.9)
        first = [at_s for at_s in replay.sent_s[before:] if at_s < 50.5]
        assert replay.max_in_window() <= WINDOW_S * 4.9
        assert len(first) <= 2 + 0.5 * 4.9

    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("per_s", [0.3, 2.4, 4.9, 50.0])
    def test_issuer_is_replaced(self, per_s, seed):
        """A new issuer without state stays within the tolerance of servers."""
        replay = Replay(8, DEMAND_PER_S * 8, seed=seed)
        for number in range(1, 8):
            replay.run(7.0 * number, per_s)
            replay.issuer = PermitIssuer(rng=replay.rng, now_s=7.0 * number)
        tolerance = 1.5 * WINDOW_S * per_s + 5
        assert replay.max_in_window() <= tolerance

    def test_limit_of_zero(self):
        """One request in half a minute detects whether the limit was lifted."""
        replay = Replay(8, DEMAND_PER_S * 8)
        replay.run(120.0, 0.0)
        assert len(replay.sent_s) in (3, 4)
        assert max_within(sorted(replay.sent_s), 1 / MIN_LIMIT_PER_S) <= 1


class TestIssuer:
    def test_no_permit_when_a_limit_becomes_known(self):
        """Earlier sends of other instances were not counted."""
        issuer = PermitIssuer(rng=random.Random(1), now_s=0.0)
        assert not issuer.request("i1", 2.0, now_s=0.0).is_granted
        assert not issuer.request("i1", 2.0, now_s=0.4).is_granted
        assert issuer.request("i1", 2.0, now_s=0.5).is_granted

    def test_retry_after_the_delay(self):
        """A single requester that retries after the delay gets a permit."""
        issuer = PermitIssuer(rng=random.Random(1), now_s=0.0)
        now_s = 0.0
        for _ in range(50):
            reply = issuer.request("i1", 2.4, now_s=now_s)
            if not reply.is_granted:
                now_s += reply.wait_s
                assert issuer.request("i1", 2.4, now_s=now_s).is_granted

    def test_max_wait(self):
        """The retry delay is bounded."""
        issuer = PermitIssuer(rng=random.Random(1), now_s=0.0)
        waits_s = [issuer.request(f"i{n}", 0.0, now_s=0.0).wait_s for n in range(350)]
        assert max(waits_s) <= 30.0


class TestIssuers:
    def test_max_servers(self, monkeypatch):
        """The least recently used issuer is evicted first."""
        monkeypatch.setattr(limit_permits, "_MAX_SERVERS", 3)
        issuers = PermitIssuers(random.Random(1))
        for number in range(9):
            issuers.request(f"s{number}", "i1", 5.0, now_s=0.0)
        assert sorted(issuers.granted_within(WINDOW_S, now_s=0.0)) == ["s6", "s7", "s8"]

    def test_idle_issuer_outlives_the_window(self):
        """Permits that were issued within the window are still counted."""
        issuers = PermitIssuers(random.Random(1))
        issuers.request("s1", "i1", 5.0, now_s=0.0)
        issuers.request("s2", "i1", 5.0, now_s=WINDOW_S + 1.0)
        assert len(issuers) == 2
        issuers.request("s2", "i1", 5.0, now_s=100.0)
        assert len(issuers) == 1


class TestPermitCache:
    def test_unused_permit(self):
        """The next request uses it, once and until it expires."""
        cache = PermitCache()
        cache.add("s1", Permit(1.0))
        assert cache.pop("s1", now_s=0.5) == Permit(1.0)
        assert cache.pop("s1", now_s=0.5) is None
        cache.add("s1", Permit(1.0))
        assert cache.pop("s1", now_s=1.0) is None

    def test_several_permits(self):
        cache = PermitCache()
        for until_s in (1.0, 2.0, 3.0):
            cache.add("s1", Permit(until_s))
        assert cache.pop("s1", now_s=1.5) == Permit(2.0)
        assert cache.pop("s1", now_s=1.5) == Permit(3.0)

    def test_more_urgent_requests_are_not_blocked(self):
        """A refusal doesn't block more urgent requests."""
        cache = PermitCache()
        cache.block("s1", 2.0, priority=2, now_s=0.0)
        assert cache.blocked_s(priority=1, now_s=0.5) == {}
        assert cache.blocked_s(priority=2, now_s=0.5) == {"s1": 1.5}
        cache.block("s1", 3.0, priority=1, now_s=0.0)
        assert cache.blocked_s(priority=2, now_s=0.5) == {"s1": 2.5}

    def test_longer_wait_applies(self):
        cache = PermitCache()
        cache.block("s1", 2.0, now_s=0.0)
        cache.block("s1", 0.1, now_s=0.0)
        assert cache.blocked_s(now_s=0.5) == {"s1": 1.5}
        assert cache.blocked_s(now_s=2.0) == {}

    def test_limit_is_lifted(self):
        cache = PermitCache()
        cache.block("s1", 2.0, now_s=0.0)
        cache.record_use("s1", now_s=0.0)
        cache.discard("s1")
        assert cache.blocked_s(now_s=0.5) == {}
        assert cache.used_within("s1", WINDOW_S, now_s=0.5) == 0
