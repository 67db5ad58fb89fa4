# SPDX-License-Identifier: MIT
"""Permits of one limited server, for all instances: a replay, and its parts."""

from __future__ import annotations

import collections
import heapq
import random

import pytest

from signaling_servers import max_within
from violethatch import limit_permits
from violethatch.limit_permits import (
    LEAST_A_S,
    PERMIT_LIFE_S,
    WINDOW_S,
    Permit,
    PermitCache,
    PermitIssuer,
    PermitIssuers,
)


#: How long a datagram takes, in seconds.
WAY_S = 0.001
#: How long a replay lasts, and from when on its use is counted, in seconds.
LASTS_S, COUNTED_S = 60.0, 10.0
#: How many requests a limit has to let through in a replay, so that one more or less
#: doesn't count.
LEAST_SENT = 50
#: What an instance gets that would go to the server, in requests a second.
DEMAND_A_S = 18.0
#: The part of a limit that is to be used while there is demand for it.
USED_PART = 0.9


class Replay:
    """Instances with requests for one server, and who keeps its permits.

    Args:
        instances: How many have requests.
        demand_a_s: The requests of all of them a second.
        seed: Of all random choices.
    """

    def __init__(self, instances, demand_a_s, *, seed=1):
        self.rng = random.Random(seed)
        self.each_a_s = demand_a_s / instances
        self.stocks = [PermitCache() for _ in range(instances)]
        self.keeper = PermitIssuer(rng=self.rng, now_s=0.0)
        self.sent_s = []
        self.asks = 0
        #: The priorities that requests have, each as often, and how many were sent.
        self.priorities = (0,)
        self.sent_of = collections.Counter()
        self.coming = [(self.next_s(0.0), one) for one in range(instances)]
        heapq.heapify(self.coming)

    def next_s(self, now_s):
        """Return when an instance's next request comes."""
        return now_s + self.rng.expovariate(self.each_a_s)

    def play(self, until_s, per_s, *, is_quiet=False):
        """Let requests come until a time."""
        while self.coming[0][0] < until_s:
            now_s, one = self.coming[0]
            heapq.heapreplace(self.coming, (self.next_s(now_s), one))
            if not is_quiet:
                self.request(one, per_s, now_s)

    def request(self, one, per_s, now_s):
        """Send a request with a permit, if there is one; use it late by chance."""
        stock = self.stocks[one]
        priority = self.rng.choice(self.priorities)
        if stock.blocked_s(priority=priority, now_s=now_s):
            return
        self.asks += 1
        reply = self.keeper.request(
            str(one), per_s, priority=priority, now_s=now_s + WAY_S
        )
        if reply.is_granted:
            late_s = self.rng.choice((2 * WAY_S, PERMIT_LIFE_S))
            self.sent_s.append(now_s + late_s)
            self.sent_of[priority] += 1
        else:
            stock.block("s1", reply.wait_s, priority=priority, now_s=now_s + 2 * WAY_S)

    def most(self):
        """Return the most that came within any span."""
        return max_within(sorted(self.sent_s), WINDOW_S)

    def used_part(self, per_s, until_s):
        """Return which part of the limit was used."""
        used = sum(COUNTED_S <= at_s < until_s for at_s in self.sent_s)
        return used / (until_s - COUNTED_S) / per_s


class TestReplay:
    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("is_even", [True, False])
    @pytest.mark.parametrize("per_s", [0.3, 2.4, 4.9, 50.0])
    @pytest.mark.parametrize("instances", [8, 64, 350])
    def test_limit_is_kept_and_used(self, instances, per_s, is_even, seed):
        """All send no more than it over any four seconds, and nine tenths of it.

        Of 1.2 requests in four seconds one is whole.
        """
        if is_even:
            replay = Replay(instances, DEMAND_A_S * instances, seed=seed)
        else:
            replay = Replay(1, max(DEMAND_A_S, 1.5 * per_s), seed=seed)
        until_s = max(LASTS_S, COUNTED_S + LEAST_SENT / per_s)
        replay.play(until_s, per_s)
        assert replay.most() <= WINDOW_S * per_s
        whole_a_s = 1.0 / WINDOW_S if WINDOW_S * per_s < 2.0 else per_s
        assert replay.used_part(min(per_s, whole_a_s), until_s) >= USED_PART

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("instances", [1, 8, 64])
    @pytest.mark.parametrize("per_s", [2.4, 4.9, 50.0])
    def test_urgent_requests_get_most(self, per_s, instances, seed):
        """Where nothing else serves; others get some, and nothing is left unused."""
        of_each_a_s = max(DEMAND_A_S * instances, 2 * per_s)
        replay = Replay(instances, 2 * of_each_a_s, seed=seed)
        replay.priorities = (1, 2)
        replay.play(LASTS_S, per_s)
        sent = replay.sent_of
        assert replay.most() <= WINDOW_S * per_s
        assert replay.used_part(per_s, LASTS_S) >= USED_PART
        assert sent[1] >= 1.5 * sent[2]
        assert sent[2] >= 0.05 * sent.total()

    @pytest.mark.parametrize("instances", [8, 64, 350])
    @pytest.mark.parametrize("per_s", [2.4, 50.0])
    def test_questions_do_not_grow_with_instances(self, instances, per_s):
        """The keeper answers what it gives and some thirty more a second."""
        replay = Replay(instances, DEMAND_A_S * instances)
        replay.play(LASTS_S, per_s)
        bound_a_s = per_s + limit_permits._MOST_ASKS_A_S
        # Each instance may ask once in the moment in which the limit becomes known.
        assert replay.asks <= instances + 1.2 * bound_a_s * LASTS_S

    @pytest.mark.parametrize("instances", [8, 350])
    def test_limit_falls(self, instances):
        """From 50 to 0.5: nothing goes on until what was sent is a span ago."""
        replay = Replay(instances, DEMAND_A_S * instances)
        replay.play(20.0, 50.0)
        fell = len(replay.sent_s)
        replay.play(60.0, 0.5)
        after = sorted(replay.sent_s[fell:])
        assert max_within(after, WINDOW_S) <= WINDOW_S * 0.5
        assert after[0] >= 20.0 + WINDOW_S

    @pytest.mark.parametrize("instances", [8, 350])
    def test_long_time_without_demand(self, instances):
        """Nothing is saved up beyond what is sent at once anyway."""
        replay = Replay(instances, DEMAND_A_S * instances)
        replay.play(10.0, 4.9)
        replay.play(50.0, 4.9, is_quiet=True)
        before = len(replay.sent_s)
        replay.play(60.0, 4.9)
        first = [at_s for at_s in replay.sent_s[before:] if at_s < 50.5]
        assert replay.most() <= WINDOW_S * 4.9
        assert len(first) <= 2 + 0.5 * 4.9

    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("per_s", [0.3, 2.4, 4.9, 50.0])
    def test_keeper_goes(self, per_s, seed):
        """Another takes over and knows nothing: within what servers tolerate."""
        replay = Replay(8, DEMAND_A_S * 8, seed=seed)
        for number in range(1, 8):
            replay.play(7.0 * number, per_s)
            replay.keeper = PermitIssuer(rng=replay.rng, now_s=7.0 * number)
        tolerated = 1.5 * WINDOW_S * per_s + 5
        assert replay.most() <= tolerated

    def test_limit_of_zero(self):
        """One request in half a minute finds out whether it still holds."""
        replay = Replay(8, DEMAND_A_S * 8)
        replay.play(120.0, 0.0)
        assert len(replay.sent_s) in (3, 4)
        assert max_within(sorted(replay.sent_s), 1 / LEAST_A_S) <= 1


class TestKeeper:
    def test_nothing_is_due_when_a_limit_becomes_known(self):
        """Others may have sent before, which nobody has counted."""
        keeper = PermitIssuer(rng=random.Random(1), now_s=0.0)
        assert not keeper.request("i1", 2.0, now_s=0.0).is_granted
        assert not keeper.request("i1", 2.0, now_s=0.4).is_granted
        assert keeper.request("i1", 2.0, now_s=0.5).is_granted

    def test_wait_is_true(self):
        """Who alone asks again when it was told gets a permit."""
        keeper = PermitIssuer(rng=random.Random(1), now_s=0.0)
        now_s = 0.0
        for _ in range(50):
            reply = keeper.request("i1", 2.4, now_s=now_s)
            if not reply.is_granted:
                now_s += reply.wait_s
                assert keeper.request("i1", 2.4, now_s=now_s).is_granted

    def test_longest_wait(self):
        """Nobody is told to stay away for good."""
        keeper = PermitIssuer(rng=random.Random(1), now_s=0.0)
        waits_s = [keeper.request(f"i{n}", 0.0, now_s=0.0).wait_s for n in range(350)]
        assert max(waits_s) <= 30.0


class TestKeepers:
    def test_most_kept(self, monkeypatch):
        """The one that nobody asked for longest goes first."""
        monkeypatch.setattr(limit_permits, "_MOST_KEPT", 3)
        keepers = PermitIssuers(random.Random(1))
        for number in range(9):
            keepers.request(f"s{number}", "i1", 5.0, now_s=0.0)
        assert sorted(keepers.given_within(WINDOW_S, now_s=0.0)) == ["s6", "s7", "s8"]

    def test_kept_for_longer_than_the_span(self):
        """Who comes back within it finds what was given."""
        keepers = PermitIssuers(random.Random(1))
        keepers.request("s1", "i1", 5.0, now_s=0.0)
        keepers.request("s2", "i1", 5.0, now_s=WINDOW_S + 1.0)
        assert len(keepers) == 2
        keepers.request("s2", "i1", 5.0, now_s=100.0)
        assert len(keepers) == 1


class TestStock:
    def test_permit_that_was_not_used(self):
        """The next request uses it, once, while it is good."""
        stock = PermitCache()
        stock.give_back("s1", Permit(1.0))
        assert stock.take("s1", now_s=0.5) == Permit(1.0)
        assert stock.take("s1", now_s=0.5) is None
        stock.give_back("s1", Permit(1.0))
        assert stock.take("s1", now_s=1.0) is None

    def test_several_permits(self):
        stock = PermitCache()
        for until_s in (1.0, 2.0, 3.0):
            stock.give_back("s1", Permit(until_s))
        assert stock.take("s1", now_s=1.5) == Permit(2.0)
        assert stock.take("s1", now_s=1.5) == Permit(3.0)

    def test_more_urgent_requests_may_ask(self):
        """What was refused says nothing of what goes before it."""
        stock = PermitCache()
        stock.block("s1", 2.0, priority=2, now_s=0.0)
        assert stock.blocked_s(priority=1, now_s=0.5) == {}
        assert stock.blocked_s(priority=2, now_s=0.5) == {"s1": 1.5}
        stock.block("s1", 3.0, priority=1, now_s=0.0)
        assert stock.blocked_s(priority=2, now_s=0.5) == {"s1": 2.5}

    def test_longer_wait_counts(self):
        stock = PermitCache()
        stock.block("s1", 2.0, now_s=0.0)
        stock.block("s1", 0.1, now_s=0.0)
        assert stock.blocked_s(now_s=0.5) == {"s1": 1.5}
        assert stock.blocked_s(now_s=2.0) == {}

    def test_limit_is_over(self):
        stock = PermitCache()
        stock.block("s1", 2.0, now_s=0.0)
        stock.used("s1", now_s=0.0)
        stock.discard("s1")
        assert stock.blocked_s(now_s=0.5) == {}
        assert stock.used_within("s1", WINDOW_S, now_s=0.5) == 0
