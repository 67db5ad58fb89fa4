# SPDX-License-Identifier: MIT
"""What a process does when, after it was asked to stop."""

from __future__ import annotations

from violethatch.draining import StopPlan


class TestStopPlan:
    def test_takes_calls_before(self):
        """Nothing is refused before the stop was asked for."""
        plan = StopPlan(grace_s=8.0)
        assert plan.takes_calls(is_stream=True, now_s=100.0)
        assert plan.left_s(now_s=100.0) == float("inf")

    def test_streams_end_before_other_calls(self):
        """The balancer's next callers are served; long answers are not begun."""
        plan = StopPlan(grace_s=8.0)
        plan.ask(now_s=100.0)
        assert plan.takes_calls(is_stream=True, now_s=102.0)
        assert not plan.takes_calls(is_stream=True, now_s=103.0)
        assert plan.takes_calls(is_stream=False, now_s=105.0)
        assert not plan.takes_calls(is_stream=False, now_s=106.5)

    def test_leaves_before_it_is_killed(self):
        """The process ends by itself within the grace."""
        plan = StopPlan(grace_s=8.0)
        plan.ask(now_s=100.0)
        assert plan.left_s(now_s=107.9) == 0.0
        assert 0 < plan.left_s(now_s=107.0) < 1.0

    def test_asked_again_changes_nothing(self):
        """A second request does not prolong the grace."""
        plan = StopPlan(grace_s=8.0)
        plan.ask(now_s=100.0)
        plan.ask(now_s=105.0)
        assert plan.left_s(now_s=107.9) == 0.0

    def test_short_grace_takes_nothing_late(self):
        """With hardly any grace, no call is taken that could not end."""
        plan = StopPlan(grace_s=2.0)
        plan.ask(now_s=0.0)
        assert not plan.takes_calls(is_stream=True, now_s=0.1)
        assert not plan.takes_calls(is_stream=False, now_s=0.1)

    def test_nothing_is_taken_while_all_closes(self):
        """Neither in a planned stop nor without one."""
        plan = StopPlan(grace_s=8.0)
        plan.close()
        assert not plan.takes_calls(is_stream=True, now_s=0.0)
        assert not plan.takes_calls(is_stream=False, now_s=0.0)
        plan.ask(now_s=0.0)
        assert not plan.takes_calls(is_stream=False, now_s=0.0)
