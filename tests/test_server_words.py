# SPDX-License-Identifier: MIT
"""How long rests bind that servers have asked for, and how the load returns."""

from __future__ import annotations

import random

import pytest
import simpy

from violethatch.server_backoffs import (
    MAX_BACKOFFS,
    MAX_SPREAD_S,
    PROBE_TIMEOUT_S,
    SPREAD_FRACTION,
    ServerBackoffs,
)


def asked(length_s=3.0, *, started_ms=0):
    """Return an instance that a server has asked for rest."""
    words = ServerBackoffs(random.Random(1))
    words.record("s1", length_s, started_ms=started_ms, request_id="c1", now_s=0.0)
    return words


def binds(words, now_s, *, server="s1", started_ms=0):
    """Tell whether nothing may be sent to a server."""
    return words.active(server, started_ms=started_ms, now_s=now_s) is not None


def is_avoided(words, now_s):
    """Tell whether a server is sent to only where there is no other."""
    rest = words.entries().get("s1")
    return rest is not None and rest.is_avoided(now_s=now_s)


class TestRests:
    def test_binds_for_the_time_asked(self):
        """Not a moment less, nor longer than the spread of returns."""
        words = asked(3.0)
        assert binds(words, 0.0)
        assert binds(words, 2.999)
        assert not binds(words, 3.0)
        assert not is_avoided(words, 3.0 + 3.0 * SPREAD_FRACTION)

    def test_nothing_is_asked_with_zero(self):
        """A server that asks for no time may be sent to at once."""
        assert not asked(0.0).entries()

    def test_longer_one_lasts(self):
        """A shorter rest that is asked for meanwhile shortens nothing."""
        words = asked(3.0)
        assert not words.record("s1", 1.0, request_id="c2", now_s=1.0)
        assert binds(words, 2.9)
        assert words.record("s1", 5.0, request_id="c3", now_s=1.0)
        assert binds(words, 5.9)
        assert words.active("s1", now_s=2.0).request_id == "c3"

    def test_success_under_way_ends_nothing(self):
        """What was sent before may well be answered."""
        words = asked(3.0)
        words.record_response("s1", now_s=1.0)
        assert binds(words, 2.9)

    def test_other_servers_are_free(self):
        """A word is about who has said it."""
        assert not binds(asked(3.0), 1.0, server="s2")


class TestStarts:
    def test_new_start_is_free(self):
        """What an earlier process wanted says nothing of the next one."""
        words = asked(3.0, started_ms=5)
        assert binds(words, 1.0, started_ms=5)
        assert not binds(words, 1.0, started_ms=9)

    def test_late_word_of_an_earlier_start(self):
        """It neither replaces the new start's rest nor binds."""
        words = asked(3.0, started_ms=9)
        assert not words.record("s1", 60.0, started_ms=5, now_s=1.0)
        assert not binds(words, 3.5, started_ms=9)

    def test_new_start_answers_before_the_list_tells_of_it(self):
        """What was asked after its birth is its word, whatever was listed then."""
        words = ServerBackoffs(random.Random(1))
        words.record("s1", 3.0, started_ms=5, sent_ms=12, now_s=0.0)
        assert binds(words, 1.0, started_ms=5)
        assert binds(words, 1.0, started_ms=9)
        assert not binds(words, 1.0, started_ms=20)

    def test_shorter_word_of_a_start_that_is_not_listed_yet(self):
        """It stands behind a longer one of the start before."""
        words = ServerBackoffs(random.Random(1))
        words.record("s1", 3.0, started_ms=5, sent_ms=7, now_s=0.0)
        assert not words.record("s1", 1.0, started_ms=5, sent_ms=12, now_s=0.5)
        assert binds(words, 1.4, started_ms=9)

    def test_longer_word_of_the_start_before_that_comes_late(self):
        """It takes nothing from the start that is not listed yet."""
        words = ServerBackoffs(random.Random(1))
        words.record("s1", 1.0, started_ms=5, sent_ms=12, now_s=0.0)
        assert words.record("s1", 3.0, started_ms=5, sent_ms=7, now_s=0.1)
        assert binds(words, 0.9, started_ms=9)

    def test_word_that_is_read_after_the_list_has_told(self):
        """It is the new start's if it was asked for after its birth."""
        words = asked(1.0, started_ms=9)
        assert words.record("s1", 3.0, started_ms=5, sent_ms=12, now_s=0.5)
        assert binds(words, 3.4, started_ms=9)

    def test_starts_that_are_not_told_apart(self):
        """Where a start is not told the rest stands: it is the same id."""
        words = asked(3.0)
        assert binds(words, 1.0, started_ms=9)


class TestReturn:
    def test_one_request_goes_first(self):
        """Others are to go elsewhere until it was answered."""
        words = asked(3.0)
        back_s = 3.0 + 3.0 * SPREAD_FRACTION
        assert not is_avoided(words, back_s)
        words.record_send("s1", now_s=back_s)
        assert is_avoided(words, back_s + 0.1)
        words.record_response("s1", now_s=back_s + 0.2)
        assert not words.entries()

    def test_first_request_that_is_lost(self):
        """It is waited for only so long; then the next one goes."""
        words = asked(3.0)
        words.record_send("s1", now_s=4.0)
        assert is_avoided(words, 4.0 + PROBE_TIMEOUT_S - 0.01)
        assert not is_avoided(words, 4.0 + PROBE_TIMEOUT_S)
        words.record_send("s1", now_s=6.0)
        assert is_avoided(words, 6.5)

    def test_first_request_that_is_refused(self):
        """The next rest begins."""
        words = asked(3.0)
        words.record_send("s1", now_s=4.0)
        words.record("s1", 3.0, request_id="c2", now_s=4.01)
        assert binds(words, 7.0)

    def test_spread_is_bounded(self):
        """A rest of an hour is over some seconds after the hour at the latest."""
        assert not is_avoided(asked(3_600.0), 3_600.0 + MAX_SPREAD_S)


def test_bound_on_what_is_kept():
    """Many servers' rests take bounded room; the soonest to end go first."""
    words = ServerBackoffs(random.Random(1))
    for n in range(MAX_BACKOFFS + 50):
        words.record(f"s{n}", 10.0 + n, now_s=0.0)
    assert len(words) == MAX_BACKOFFS
    assert "s0" not in words.entries()
    assert f"s{MAX_BACKOFFS + 49}" in words.entries()


def test_rests_that_nobody_tries_are_forgotten():
    """A server that was asked once and is gone costs no room for good."""
    words = asked(3.0)
    words.record("s2", 3.0, now_s=100.0)
    assert set(words.entries()) == {"s2"}


class _Resting:
    """A server that refuses all for some time, then takes what it has room for.

    Args:
        env: Its time.
        away_s: Until when it refuses all, in seconds.
        room: How many requests it runs at a time.
    """

    def __init__(self, env, *, away_s, room):
        self.env = env
        self.away_s = away_s
        self.room = room
        self.running = 0
        self.arrived_s = []
        self.refused_s = []
        self.in_rest = 0

    def take(self):
        """Take a request; tell whether it is run."""
        self.arrived_s.append(self.env.now)
        if self.env.now < self.away_s or self.running >= self.room:
            self.refused_s.append(self.env.now)
            return False
        self.running += 1
        return True


def _instance(env, server, words, *, every_s, rng):
    """Let requests come; where the server is avoided they go elsewhere."""
    while True:
        yield env.timeout(rng.expovariate(1.0 / every_s))
        rest = words.entries().get("s1")
        if rest is not None and rest.is_avoided(now_s=env.now):
            continue
        words.record_send("s1", now_s=env.now)
        env.process(_request(env, server, words))


def _request(env, server, words):
    """Let a request go there and back."""
    yield env.timeout(0.002)
    server.in_rest += words.active("s1", now_s=env.now) is not None
    is_run = server.take()
    yield env.timeout(0.002)
    if not is_run:
        words.record("s1", 3.0, request_id="", now_s=env.now)
        return
    words.record_response("s1", now_s=env.now)
    yield env.timeout(0.5)
    server.running -= 1


@pytest.mark.parametrize("instances", [8, 350])
@pytest.mark.parametrize("seed", range(3))
def test_replay_of_a_server_that_turns_all_away(instances, seed):
    """Load pattern: a server refuses all for 7 s, then has room for the usual load.

    Requests for it are 40 a second in all at 8 instances, 1,750 at 350. All that
    arrives within a rest was under way when the word came, each instance has at most
    one refused at each of two returns, and these don't come all at once.
    """
    env = simpy.Environment()
    rng = random.Random(seed)
    every_s = 0.2
    server = _Resting(env, away_s=7.0, room=int(instances / every_s))
    for _ in range(instances):
        words = ServerBackoffs(random.Random(rng.random()))
        env.process(_instance(env, server, words, every_s=every_s, rng=rng))
    env.run(until=14.0)
    first = [at_s for at_s in server.refused_s if at_s < 2.0]
    later = [at_s for at_s in server.refused_s if at_s >= 2.0]
    assert server.in_rest <= 0.1 * len(first)
    # Returns are due from 3 and from 6 s on; the last ones come to one with room.
    assert len(later) <= 2 * instances
    back = [at_s for at_s in server.arrived_s if at_s >= 12.0]
    assert len(back) >= 0.7 * 2.0 * instances / every_s
    busiest = max(
        sum(start_s <= at_s < start_s + 0.25 for at_s in server.arrived_s)
        for start_s in (2.5 + 0.05 * n for n in range(30))
    )
    assert busiest <= 0.6 * instances + 5
