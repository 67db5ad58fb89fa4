# SPDX-License-Identifier: MIT
"""What is done about silent runs, as a decision without any input or output."""

from __future__ import annotations

import pytest

from violethatch.streams.silent_runs import (
    Action,
    CheckTimes,
    Finding,
    Obstacle,
    RetryPauses,
    Sends,
    action_on,
    obstacle,
)


FREE = {
    "max_attempts": 2,
    "is_repeatable": True,
    "is_late": False,
    "is_held": False,
}


class TestAction:
    @pytest.mark.parametrize("has_ended", [True, False])
    @pytest.mark.parametrize("is_held", [True, False])
    @pytest.mark.parametrize("finding", Finding)
    def test_run_whose_runners_live_ends(self, finding, is_held, has_ended):
        """A run ends only where a runner that it needs is known to have ended."""
        action = action_on(finding, has_ended=has_ended, is_held=is_held)
        if action is Action.END:
            assert finding is Finding.FIRST_ENDED or (has_ended and is_held)

    def test_later_runners_are_gone_around(self):
        found = Finding.LATER_AT_FAULT
        for has_ended in (True, False):
            assert action_on(found, has_ended=has_ended, is_held=False) is Action.MOVE

    def test_held_stream_goes_nowhere(self):
        """It waits, unless nothing can come any more."""
        found = Finding.LATER_AT_FAULT
        assert action_on(found, has_ended=True, is_held=True) is Action.END
        assert action_on(found, has_ended=False, is_held=True) is Action.RUN_BESIDE


class TestObstacle:
    @pytest.mark.parametrize(
        ("sends", "changes", "expected"),
        [
            (Sends(0, 0), {}, None),
            (Sends(0, 0), {"is_late": True}, None),
            (Sends(0, 0), {"is_held": True}, Obstacle.HELD),
            (Sends(1, 0), {}, None),
            (Sends(1, 0), {"is_repeatable": False}, Obstacle.NOT_REPEATABLE),
            (Sends(0, 1), {"is_repeatable": False}, None),
            (Sends(2, 0), {}, Obstacle.ATTEMPTS),
            (Sends(0, 1), {"max_attempts": 1}, None),
            (Sends(1, 4), {}, Obstacle.REFUSALS),
            (Sends(1, 0), {"is_late": True}, Obstacle.DEADLINE),
        ],
    )
    def test_obstacle(self, sends, changes, expected):
        assert obstacle(sends, **FREE | changes) is expected

    def test_only_what_may_pass_is_tried_again(self):
        lasting = {one for one in Obstacle if not one.may_pass}
        assert lasting == {
            Obstacle.NOT_REPEATABLE,
            Obstacle.ATTEMPTS,
            Obstacle.REFUSALS,
            Obstacle.DEADLINE,
            Obstacle.HELD,
        }


class TestTimes:
    def test_silent_run_is_checked_for_ever(self):
        """Checks cost runners something: there are few once a run is overdue."""
        times = CheckTimes(0.1, overdue_s=1.0)
        silent_s, checks_s = 0.0, []
        while silent_s < 20.0:
            silent_s += times.next_s(silent_s)
            checks_s.append(silent_s)
        assert sum(one <= 1.0 + 1e-9 for one in checks_s) in (10, 11)
        assert len(checks_s) < 30
        assert checks_s[-1] - checks_s[-2] == pytest.approx(2.0)

    def test_kept_run_is_checked_as_often_as_before(self):
        """Another run may begin: nothing hangs on the next check."""
        times = CheckTimes(0.07, overdue_s=1.57)
        silent_s, checks = 0.0, 0
        while silent_s < 1.57:
            silent_s += times.next_s(silent_s, is_kept=True)
            checks += 1
        assert checks <= 7

    def test_overdue_run_is_checked_at_once(self):
        """The check is not put off by a step."""
        assert CheckTimes(0.4, overdue_s=1.0).next_s(0.9) == pytest.approx(0.1)

    def test_check_right_before_a_run_is_overdue_takes_no_time(self):
        """Checks that follow each other without a pause stop everything else."""
        assert CheckTimes(0.4, overdue_s=1.0).next_s(1.0 - 1e-16) >= 0.01

    def test_pauses_grow(self):
        pauses = RetryPauses()
        assert [pauses.next_s() for _ in range(5)] == [0.2, 0.4, 0.8, 1.6, 1.6]
