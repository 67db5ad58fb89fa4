# SPDX-License-Identifier: MIT
"""The age of proofs."""

from __future__ import annotations

import pytest

from hypothesis import given
from hypothesis import strategies as st

from violethatch.freshness import Freshness, StoreClock


class TestStoreClock:
    def test_nothing_observed(self):
        """Without a call there is no mapping."""
        with pytest.raises(ValueError, match="observed"):
            StoreClock().earliest_local_s(1.0)

    @given(
        offset_s=st.floats(-1000, 1000),
        calls=st.lists(
            st.tuples(st.floats(0, 100), st.floats(0, 3), st.floats(0, 3)),
            min_size=1,
        ),
    )
    def test_never_later_than_the_truth(self, offset_s, calls):
        """However long calls took, the mapped time is not after the real one."""
        clock = StoreClock()
        for sent_s, there_s, _ in calls:
            clock.observe(sent_s + there_s - offset_s, sent_s=sent_s)
        for sent_s, there_s, _ in calls:
            answered_s = sent_s + there_s
            mapped_s = clock.earliest_local_s(answered_s - offset_s)
            assert mapped_s <= answered_s + 1e-6

    def test_long_wait_keeps_its_answers_time(self):
        """An answer after a long wait proves nearly the moment it was given."""
        clock = StoreClock()
        clock.observe(100.0, sent_s=9.99)
        clock.observe(102.5, sent_s=10.0)
        assert clock.earliest_local_s(102.5) == pytest.approx(12.49)


class TestFreshness:
    def test_unproven_is_not_fresh(self):
        """Without any proof nothing is fresh."""
        assert not Freshness(limit_s=5.0).is_fresh(now_s=0.0)

    def test_runs_out(self):
        """A proof counts until its age reaches the limit."""
        fresh = Freshness(limit_s=5.0)
        fresh.proven(10.0)
        assert fresh.is_fresh(now_s=14.9)
        assert not fresh.is_fresh(now_s=15.0)

    def test_older_proof_changes_nothing(self):
        """A proof that arrives late does not make the view older."""
        fresh = Freshness(limit_s=5.0)
        fresh.proven(10.0)
        fresh.proven(8.0)
        assert fresh.age_s(now_s=11.0) == 1.0

    def test_doubted_view_is_not_proven(self):
        """While the newest view can't be understood, no read proves anything."""
        fresh = Freshness(limit_s=5.0)
        fresh.proven(10.0)
        fresh.doubt()
        fresh.proven(14.0)
        assert not fresh.is_fresh(now_s=15.0)
        fresh.trust()
        fresh.proven(16.0)
        assert fresh.is_fresh(now_s=17.0)
