# SPDX-License-Identifier: MIT
"""What a process does when, after it was asked to stop."""

from __future__ import annotations

import collections
import contextlib
import random

import pytest

from violethatch.answer_times import AnswerTimes
from violethatch.draining import StopPlan


GRACE_S = 8.0
#: When a process with that grace has to leave, and until when it takes streams.
LEAVES_S = 7.3
STREAMS_TAKEN_S = 2.5
STOPS = 50
STREAMS_PER_S = 20.0


def play_stops(median_s, spread, *, is_informed):
    """Play stops among streams of drawn lengths; count what becomes of those asked for.

    Args:
        median_s: The streams' median length; several, for as many kinds on one route.
        spread: How far lengths spread around it.
        is_informed: Whether the plan is given recent lengths.
    """
    ends = collections.Counter()
    for seed in range(STOPS):
        rng = random.Random(seed)

        def drawn(rng=rng):
            return rng.choice(median_s) * rng.lognormvariate(0.0, spread)

        plan = StopPlan(grace_s=GRACE_S)
        plan.request_stop(now_s=0.0)
        earlier_s = [drawn() for _ in range(40)]
        recent_s = earlier_s if is_informed else ()
        at_s = rng.expovariate(STREAMS_PER_S)
        while at_s < STREAMS_TAKEN_S:
            would_end = at_s + drawn() <= LEAVES_S
            refusal = plan.refusal(is_stream=True, now_s=at_s, recent_s=recent_s)
            if refusal is None:
                ends["whole" if would_end else "cut"] += 1
            else:
                ends["refused in vain" if would_end else "spared"] += 1
            at_s += rng.expovariate(STREAMS_PER_S)
    return ends


class TestStopAmongStreams:
    """Streams that are asked for while the balancer still sends callers."""

    @pytest.mark.parametrize("median_s", [0.4, 1.5, 3.0])
    def test_short_streams_are_served(self, median_s):
        """Guards against refusals of what would have ended in time."""
        before = play_stops([median_s], 0.4, is_informed=False)
        after = play_stops([median_s], 0.4, is_informed=True)
        assert after == before
        assert after["cut"] <= 0.06 * after.total()

    @pytest.mark.parametrize(
        ("median_s", "most_cut"),
        [([5.0], 0.4), ([6.5], 0.05), ([12.0], 0.01), ([0.5, 9.0], 0.05)],
    )
    def test_long_streams_are_refused_at_once(self, median_s, most_cut):
        """Guards against streams that are begun, and cut after 5 to 7 s."""
        before = play_stops(median_s, 0.3, is_informed=False)
        after = play_stops(median_s, 0.3, is_informed=True)
        assert before["cut"] > 0.2 * before.total()
        assert after["cut"] <= most_cut * before["cut"]


class TestRecentAnswers:
    def test_nothing_known(self):
        """Guards against refusals by an instance that has just started."""
        plan = StopPlan(grace_s=GRACE_S)
        plan.request_stop(now_s=0.0)
        assert plan.refusal(is_stream=True, now_s=0.1, recent_s=()) is None

    def test_caller_has_less_time_than_is_left(self):
        """Guards against refusals of what its own limit ends in time."""
        plan = StopPlan(grace_s=GRACE_S)
        plan.request_stop(now_s=0.0)
        taken = {"is_stream": True, "now_s": 1.0, "recent_s": [20.0]}
        assert plan.refusal(**taken, limit_s=20.0)
        assert plan.refusal(**taken, limit_s=6.0) is None

    def test_reason_tells_the_figures(self):
        """Guards against a refusal whose line doesn't say what decided it."""
        plan = StopPlan(grace_s=GRACE_S)
        plan.request_stop(now_s=0.0)
        reason = plan.refusal(is_stream=True, now_s=1.0, recent_s=[9.0])
        assert reason == "it may take 9.0 s, and 6.3 s are left"

    def test_late_calls_all_end(self):
        """Guards against a late call that is cut: nothing excuses that."""
        plan = StopPlan(grace_s=GRACE_S)
        plan.request_stop(now_s=0.0)
        recent_s = [0.2] * 39 + [4.0]
        call = {"is_stream": False, "recent_s": recent_s}
        assert plan.refusal(**call, now_s=2.9) is None
        assert plan.refusal(**call, now_s=3.2) is None
        assert plan.refusal(**call, now_s=3.4)


class TestCallsInFlight:
    """Stops among calls of which none has been answered yet."""

    @pytest.mark.parametrize("took_s", [4.0, 6.0])
    def test_late_call_is_taken_while_older_ones_still_run(self, took_s):
        """Nothing excuses the cut of a call that came 3 s after the request."""
        times = AnswerTimes()
        plan = StopPlan(grace_s=GRACE_S)
        plan.request_stop(now_s=0.0)
        cut = []
        calls = contextlib.ExitStack()
        for number in range(int((GRACE_S + 0.5) * 25)):
            now_s = -0.5 + number / 25
            if now_s - took_s >= -0.5:
                times.record("label", took_s)
            refusal = plan.refusal(
                is_stream=False,
                now_s=now_s,
                recent_s=times.recent_s("label"),
                oldest_s=times.oldest_s("label", now_s=now_s),
            )
            if now_s < 0 or refusal is None:
                calls.enter_context(times.track("label", began_s=now_s))
                if now_s >= 0 and now_s + took_s > LEAVES_S:
                    cut.append(now_s)
        assert max(cut, default=0.0) < 3.5

    def test_one_call_that_is_stuck_stops_others(self):
        """While callers still come, what is usual decides."""
        plan = StopPlan(grace_s=GRACE_S)
        plan.request_stop(now_s=0.0)
        call = {"is_stream": False, "oldest_s": 60.0}
        assert plan.refusal(**call, now_s=1.0, recent_s=[0.1] * 40) is None
        assert plan.refusal(**call, now_s=1.0)
        assert plan.refusal(**call, now_s=3.2, recent_s=[0.1] * 40)


class TestAnswerTimes:
    def test_oldest_call_in_flight_is_known(self):
        times = AnswerTimes()
        assert times.oldest_s("used", now_s=5.0) == 0.0
        with times.track("used", began_s=1.0):
            with times.track("used", began_s=2.0):
                assert times.oldest_s("used", now_s=5.0) == 4.0
                assert times.oldest_s("other", now_s=5.0) == 0.0
            assert times.oldest_s("used", now_s=5.0) == 4.0
        assert times.oldest_s("used", now_s=5.0) == 0.0

    def test_routes_are_told_apart(self):
        """Guards against short answers that are refused for another route's length."""
        times = AnswerTimes()
        times.record("long", 9.0)
        times.record("short", 0.1)
        assert times.recent_s("short") == (0.1,)
        assert times.recent_s("unknown") == ()

    def test_it_is_bounded(self):
        """Guards against memory that grows with answers and routes."""
        times = AnswerTimes()
        for number in range(100):
            times.record("used", float(number))
        assert times.recent_s("used")[0] == 60.0
        for number in range(2_000):
            times.record(f"route-{number}", 1.0)
            times.record("used", 1.0)
        assert len(times) <= 512
        assert times.recent_s("used") == (1.0,) * 40


class TestStopPlan:
    def test_takes_calls_before(self):
        """Nothing is refused before the stop was asked for."""
        plan = StopPlan(grace_s=8.0)
        assert plan.refusal(is_stream=True, now_s=100.0) is None
        assert plan.left_s(now_s=100.0) == float("inf")

    def test_streams_end_before_other_calls(self):
        """The balancer's next callers are served; long answers are not begun."""
        plan = StopPlan(grace_s=8.0)
        plan.request_stop(now_s=100.0)
        assert plan.refusal(is_stream=True, now_s=102.0) is None
        assert plan.refusal(is_stream=True, now_s=103.0)
        assert plan.refusal(is_stream=False, now_s=105.0) is None
        assert plan.refusal(is_stream=False, now_s=106.5)

    def test_leaves_before_it_is_killed(self):
        """The process ends by itself within the grace."""
        plan = StopPlan(grace_s=8.0)
        plan.request_stop(now_s=100.0)
        assert plan.left_s(now_s=107.9) == 0.0
        assert 0 < plan.left_s(now_s=107.0) < 1.0

    def test_asked_again_changes_nothing(self):
        """A second request does not prolong the grace."""
        plan = StopPlan(grace_s=8.0)
        plan.request_stop(now_s=100.0)
        plan.request_stop(now_s=105.0)
        assert plan.left_s(now_s=107.9) == 0.0

    def test_short_grace_takes_nothing_late(self):
        """With hardly any grace, no call is taken that could not end."""
        plan = StopPlan(grace_s=2.0)
        plan.request_stop(now_s=0.0)
        assert plan.refusal(is_stream=True, now_s=0.1)
        assert plan.refusal(is_stream=False, now_s=0.1)

    def test_nothing_is_taken_while_all_closes(self):
        """Neither in a planned stop nor without one."""
        plan = StopPlan(grace_s=8.0)
        plan.close()
        assert plan.refusal(is_stream=True, now_s=0.0)
        assert plan.refusal(is_stream=False, now_s=0.0)
        plan.request_stop(now_s=0.0)
        assert plan.refusal(is_stream=False, now_s=0.0)
