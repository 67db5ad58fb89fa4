# SPDX-License-Identifier: MIT
"""Which word on a server's limit counts, in whatever order words come."""

from __future__ import annotations

import math

import pytest

from hypothesis import given
from hypothesis import strategies as st

from violethatch import server_limits
from violethatch.server_limits import Limit, ServerLimits


OVER = math.inf


def limit(per_s, sent_s, heard_s, *, started_ms=0, sent_ms=0):
    """Return a word."""
    return Limit(per_s, started_ms, sent_ms, sent_s, heard_s)


def taken(*words):
    """Return which figure counts after some words; None if there is no limit."""
    limits = ServerLimits()
    for word in words:
        limits.update("s1", word)
    known = limits.get("s1")
    return known.per_s if known else None


class TestOrder:
    def test_later_word_replaces(self):
        """Higher or lower, if it was asked for after the earlier one had come."""
        assert taken(limit(5, 0, 1), limit(50, 2, 3)) == 50
        assert taken(limit(50, 0, 1), limit(5, 2, 3)) == 5

    def test_answer_without_it_ends_it(self):
        assert taken(limit(5, 0, 1), limit(OVER, 2, 3)) is None

    def test_answer_of_before_ends_nothing(self):
        """It was asked for before the word, and comes after it."""
        assert taken(limit(5, 1, 2), limit(OVER, 0.5, 3)) == 5
        assert taken(limit(5, 1, 2), limit(50, 1.5, 3)) == 5

    def test_lower_figure_where_nobody_can_tell(self):
        assert taken(limit(50, 1, 2), limit(5, 0.5, 3)) == 5
        assert taken(limit(5, 0.5, 3), limit(50, 1, 2)) == 5

    def test_lower_word_of_before_keeps_the_later_ones_time(self):
        """An old answer without a limit ends nothing, whatever came since."""
        words = (limit(50, 0, 10), limit(5, 1, 3), limit(OVER, 4, 11))
        assert taken(*words) == 5
        assert taken(*words, limit(50, 12, 13)) == 50

    def test_word_of_before_the_end(self):
        """What another instance heard before the end doesn't bring it back."""
        words = (limit(5, 0, 1), limit(OVER, 2, 3), limit(5, 0.5, 1.5))
        assert taken(*words) is None

    def test_news(self):
        """Only what changes what all keep to is news."""
        limits = ServerLimits()
        assert not limits.update("s1", limit(OVER, 0, 1))
        assert limits.update("s1", limit(5, 2, 3))
        assert not limits.update("s1", limit(5, 4, 5))
        assert limits.update("s1", limit(6, 6, 7))
        assert limits.update("s1", limit(OVER, 8, 9))
        assert not limits.update("s1", limit(OVER, 10, 11))

    @given(st.permutations(range(8)))
    def test_any_order_of_coming(self, order):
        """Words that don't overlap come to the latest, whatever order they come in."""
        words = [limit(10 - n % 3, 2 * n, 2 * n + 1) for n in range(8)]
        limits = ServerLimits()
        for number in order:
            limits.update("s1", words[number])
        assert limits.latest("s1") == words[-1]


class TestStarts:
    def test_new_start_is_free(self):
        limits = ServerLimits()
        limits.update("s1", limit(5, 0, 1, started_ms=100, sent_ms=150))
        assert limits.get("s1", started_ms=100).per_s == 5
        assert limits.get("s1", started_ms=200) is None

    def test_new_starts_word_before_the_list_tells(self):
        """What was asked for after its birth is the new start's word."""
        limits = ServerLimits()
        limits.update("s1", limit(5, 0, 1, started_ms=100, sent_ms=250))
        assert limits.get("s1", started_ms=200).per_s == 5

    def test_late_word_of_the_start_before(self):
        limits = ServerLimits()
        word = limit(5, 0, 1, started_ms=100, sent_ms=150)
        assert not limits.update("s1", word, known_ms=200)
        limits.update("s1", limit(7, 2, 3, started_ms=200, sent_ms=250), known_ms=200)
        assert not limits.update("s1", limit(5, 4, 5, started_ms=100), known_ms=0)
        assert limits.get("s1", started_ms=200).per_s == 7


class TestBounds:
    def test_most_limits(self, monkeypatch):
        """The one heard of longest ago goes first."""
        monkeypatch.setattr(server_limits, "MAX_LIMITS", 3)
        limits = ServerLimits()
        for number in range(5):
            limits.update(f"s{number}", limit(5, number, number + 0.5))
        assert sorted(limits.active()) == ["s2", "s3", "s4"]

    def test_ends_are_forgotten(self):
        limits = ServerLimits()
        limits.update("s1", limit(5, 0, 1))
        limits.update("s1", limit(OVER, 2, 3))
        limits.update("s2", limit(5, 20, 21))
        assert len(limits) == 1


@pytest.mark.parametrize("per_s", [0.0, 0.01, 1000.0])
def test_extreme_figures_are_kept(per_s):
    """What can be kept to is for who sends to decide."""
    assert taken(limit(per_s, 0, 1)) == per_s
