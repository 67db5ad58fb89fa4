# SPDX-License-Identifier: MIT
"""Whose turn it is to plan."""

from __future__ import annotations

import bisect

import pytest

from violethatch._placement_plans import _rank_delay_s


class TestTurns:
    def test_first_ones_plan_at_once(self):
        """One that is frozen or cut off holds nothing up."""
        assert [_rank_delay_s(rank) for rank in range(4)] == [0.0, 0.0, 0.0, 0.8]

    def test_few_instances_wait_for_each_other(self):
        """Each sees the orders of the one before it, where there are few."""
        assert _rank_delay_s(7) == pytest.approx(5 * 0.8)

    @pytest.mark.parametrize("count", [60, 195, 350])
    def test_instances_never_plan_all_at_once(self, count):
        """All instances come to the same situation; no second takes many of them."""
        turns_s = [_rank_delay_s(rank) for rank in range(count)]
        assert turns_s == sorted(turns_s)
        in_a_second = [
            bisect.bisect_left(turns_s, start_s + 1.0) - n
            for n, start_s in enumerate(turns_s)
        ]
        assert max(in_a_second) <= 21

    def test_survivors_are_not_kept_waiting(self):
        """The first of ten that are left of 195 has its turn within ten seconds."""
        assert _rank_delay_s(18) <= 10.0
