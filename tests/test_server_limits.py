# SPDX-License-Identifier: MIT
"""Reported rate limits that arrive in any order."""

from __future__ import annotations

import math

import pytest

from hypothesis import given
from hypothesis import strategies as st

from violethatch import server_limits
from violethatch.server_limits import Limit, ServerLimits


LIFTED = math.inf


def limit(per_s, sent_s, received_s, *, started_ms=0, sent_ms=0):
    """Return a reported limit."""
    return Limit(per_s, started_ms, sent_ms, sent_s, received_s)


def effective_rate(*reports):
    """Return the rate in force after some reports; None if there is no limit."""
    limits = ServerLimits()
    for report in reports:
        limits.update("s1", report)
    known = limits.get("s1")
    return known.per_s if known else None


class TestOrder:
    def test_later_limit_replaces_an_earlier_one(self):
        """Higher or lower, if its request was sent after the earlier one arrived."""
        assert effective_rate(limit(5, 0, 1), limit(50, 2, 3)) == 50
        assert effective_rate(limit(50, 0, 1), limit(5, 2, 3)) == 5

    def test_response_without_a_limit_lifts_it(self):
        assert effective_rate(limit(5, 0, 1), limit(LIFTED, 2, 3)) is None

    def test_late_response_is_ignored(self):
        """The response to an earlier request is received after the limit."""
        assert effective_rate(limit(5, 1, 2), limit(LIFTED, 0.5, 3)) == 5
        assert effective_rate(limit(5, 1, 2), limit(50, 1.5, 3)) == 5

    def test_lower_limit_applies_if_the_order_is_unknown(self):
        assert effective_rate(limit(50, 1, 2), limit(5, 0.5, 3)) == 5
        assert effective_rate(limit(5, 0.5, 3), limit(50, 1, 2)) == 5

    def test_lower_earlier_limit_keeps_the_later_timestamps(self):
        """A late response without a limit doesn't lift the limit."""
        reports = (limit(50, 0, 10), limit(5, 1, 3), limit(LIFTED, 4, 11))
        assert effective_rate(*reports) == 5
        assert effective_rate(*reports, limit(50, 12, 13)) == 50

    def test_report_older_than_the_lift(self):
        """An older report from another instance doesn't restore the limit."""
        reports = (limit(5, 0, 1), limit(LIFTED, 2, 3), limit(5, 0.5, 1.5))
        assert effective_rate(*reports) is None

    def test_reported_changes(self):
        """Only a change of the limit in force is reported as a change."""
        limits = ServerLimits()
        assert not limits.update("s1", limit(LIFTED, 0, 1))
        assert limits.update("s1", limit(5, 2, 3))
        assert not limits.update("s1", limit(5, 4, 5))
        assert limits.update("s1", limit(6, 6, 7))
        assert limits.update("s1", limit(LIFTED, 8, 9))
        assert not limits.update("s1", limit(LIFTED, 10, 11))

    @given(st.permutations(range(8)))
    def test_any_order_of_arrival(self, order):
        """The latest of reports that don't overlap applies."""
        reports = [limit(10 - n % 3, 2 * n, 2 * n + 1) for n in range(8)]
        limits = ServerLimits()
        for number in order:
            limits.update("s1", reports[number])
        assert limits.latest("s1") == reports[-1]


class TestStarts:
    def test_new_start_has_no_limit(self):
        limits = ServerLimits()
        limits.update("s1", limit(5, 0, 1, started_ms=100, sent_ms=150))
        assert limits.get("s1", started_ms=100).per_s == 5
        assert limits.get("s1", started_ms=200) is None

    def test_limit_of_a_new_start_that_is_not_listed_yet(self):
        """A response to a request after the restart comes from the new start."""
        limits = ServerLimits()
        limits.update("s1", limit(5, 0, 1, started_ms=100, sent_ms=250))
        assert limits.get("s1", started_ms=200).per_s == 5

    def test_late_limit_of_the_previous_start(self):
        limits = ServerLimits()
        report = limit(5, 0, 1, started_ms=100, sent_ms=150)
        assert not limits.update("s1", report, known_ms=200)
        limits.update("s1", limit(7, 2, 3, started_ms=200, sent_ms=250), known_ms=200)
        assert not limits.update("s1", limit(5, 4, 5, started_ms=100), known_ms=0)
        assert limits.get("s1", started_ms=200).per_s == 7


class TestBounds:
    def test_max_limits(self, monkeypatch):
        """The least recently received limit is evicted first."""
        monkeypatch.setattr(server_limits, "MAX_LIMITS", 3)
        limits = ServerLimits()
        for number in range(5):
            limits.update(f"s{number}", limit(5, number, number + 0.5))
        assert sorted(limits.active()) == ["s2", "s3", "s4"]

    def test_lifted_limits_expire(self):
        limits = ServerLimits()
        limits.update("s1", limit(5, 0, 1))
        limits.update("s1", limit(LIFTED, 2, 3))
        limits.update("s2", limit(5, 20, 21))
        assert len(limits) == 1


@pytest.mark.parametrize("per_s", [0.0, 0.01, 1000.0])
def test_extreme_limits_are_stored(per_s):
    """Limits are stored as advertised; bounds apply where they are enforced."""
    assert effective_rate(limit(per_s, 0, 1)) == per_s
