# SPDX-License-Identifier: MIT
"""Comparison of runners' response times."""

from __future__ import annotations

import pytest

from violethatch.report_times import CheckPauses, ReportTimes


LIMIT_S = 0.04


def sent(*server_ids):
    """Return times of requests that were sent at 0 s."""
    times = ReportTimes()
    for server_id in server_ids:
        times.record_sent(server_id, now_s=0.0)
    return times


class TestReportTimes:
    def test_one_late_report_among_others(self):
        """A report is overdue if most others took a fraction of its time."""
        times = sent("a", "b", "c", "d")
        for other in "bcd":
            times.record_response(other, now_s=0.003)
        assert times.is_overdue("a", limit_s=LIMIT_S, now_s=0.04)
        assert not times.is_overdue("a", limit_s=LIMIT_S, now_s=0.03)
        assert not times.is_overdue("b", limit_s=LIMIT_S, now_s=0.04)

    def test_reports_that_are_all_late(self):
        """Nothing is overdue while most reports are late."""
        times = sent("a", "b", "c", "d")
        times.record_response("b", now_s=0.003)
        assert not times.is_overdue("a", limit_s=LIMIT_S, now_s=0.2)

    def test_reports_that_are_somewhat_late(self):
        """The longer the others took, the later a report is overdue."""
        times = sent("a", "b", "c", "d")
        for other in "bcd":
            times.record_response(other, now_s=0.03)
        assert not times.is_overdue("a", limit_s=LIMIT_S, now_s=0.1)
        assert times.is_overdue("a", limit_s=LIMIT_S, now_s=0.13)

    def test_one_early_report_of_few_is_taken_for_the_usual(self):
        """Two other reports are no majority, unless they are the controls."""
        times = sent("a", "b", "c")
        for other in "bc":
            times.record_response(other, now_s=0.003)
        assert not times.is_overdue("a", limit_s=LIMIT_S, now_s=0.3)
        assert times.is_overdue("a", limit_s=LIMIT_S, now_s=0.3, controls=("b", "c"))

    def test_only_runner(self):
        """Without others there is no comparison."""
        assert not sent("a").is_overdue("a", limit_s=LIMIT_S, now_s=1.0)

    @pytest.mark.parametrize("responding", ["x", "xy"])
    def test_whole_path_beside_controls(self, responding):
        """Runners of a path that are all late are compared with unrelated ones."""
        times = sent("a", "b", "c", "x", "y")
        for control in responding:
            times.record_response(control, now_s=0.003)
        is_overdue = times.is_overdue(
            "a", limit_s=LIMIT_S, now_s=0.05, controls=("x", "y")
        )
        assert is_overdue == (responding == "xy")

    def test_pending_control_counts_as_late(self):
        """One early response of two decides nothing while the control is pending."""
        times = sent("a", "b")
        times.record_response("b", now_s=0.003)
        times.record_sent("x", now_s=0.02)
        times.record_sent("y", now_s=0.02)
        assert not times.is_overdue(
            "a", limit_s=LIMIT_S, now_s=0.05, controls=("x", "y")
        )

    def test_old_requests_are_not_compared(self):
        """Response times from before a crest say nothing of it."""
        times = sent("b", "c", "d")
        for other in "bcd":
            times.record_response(other, now_s=0.003)
        times.record_sent("a", now_s=2.0)
        assert not times.is_overdue("a", limit_s=LIMIT_S, now_s=2.1)

    def test_unlisted_runner(self):
        """A forgotten runner is neither overdue nor compared."""
        times = sent("a", "b")
        times.record_response("b", now_s=0.003)
        times.forget("b")
        assert not times.is_overdue("a", limit_s=LIMIT_S, now_s=0.1)
        assert not times.has_responded("b", now_s=0.1)


class TestCheckPauses:
    def test_pauses_grow_while_nothing_is_decided(self):
        """Concurrent checks count once; a decided check ends the pauses."""
        pauses = CheckPauses()
        lengths_s, now_s = [], 0.0
        for _ in range(4):
            pauses.record_undecided(now_s=now_s)
            pauses.record_undecided(now_s=now_s + 0.1)
            began_s = now_s
            while pauses.is_paused(now_s=now_s):
                now_s += 0.25
            lengths_s.append(now_s - began_s)
        assert lengths_s == [0.5, 1.0, 2.0, 2.0]
        assert pauses.was_undecided
        pauses.record_decided()
        assert not pauses.was_undecided
