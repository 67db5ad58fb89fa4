# SPDX-License-Identifier: MIT
"""Which totals are told first."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from violethatch.load_changes import ChangeFeed
from violethatch.load_sums import ServerTotals


def totals(**streams):
    """Return totals by server number; `s1=3` has three streams at server 1."""
    return {int(one[1:]): ServerTotals(n, n * 100.0) for one, n in streams.items()}


class TestChangeFeed:
    def test_largest_change_goes_first(self):
        """What matters most to the receiver doesn't wait."""
        feed = ChangeFeed()
        assert list(feed.select(totals(s1=1, s2=9, s3=4), limit=2)) == [2, 3]

    def test_what_was_left_out_goes_next(self):
        """Nothing waits for ever."""
        feed = ChangeFeed()
        feed.select(totals(s1=1, s2=9, s3=4), limit=2)
        assert list(feed.select(totals(s1=1, s2=9, s3=4), limit=1)) == [1]

    def test_lost_word_is_told_again(self):
        """Without changes the oldest word is told anew."""
        feed = ChangeFeed()
        same = totals(s1=1, s2=2)
        told = [next(iter(feed.select(same, limit=1))) for _ in range(4)]
        assert told == [2, 1, 2, 1]

    def test_end_is_told(self):
        """A server that has no streams any more is told of, and then no more."""
        feed = ChangeFeed()
        feed.select(totals(s1=1), limit=5)
        assert feed.select({}, limit=5) == {1: ServerTotals(0, 0.0)}
        feed.select({}, limit=5)
        assert feed.select({}, limit=5) == {}

    @given(st.dictionaries(st.integers(0, 50), st.integers(1, 90)), st.integers(1, 9))
    def test_receiver_comes_to_know_all(self, streams, most):
        """In as many messages as it takes, whatever fits one."""
        servers = {n: ServerTotals(k, k * 10.0) for n, k in streams.items()}
        feed = ChangeFeed()
        known = {}
        for _ in range(len(servers) // most + 1):
            picked = feed.select(servers, limit=most)
            assert len(picked) <= most
            known.update(picked)
        assert known == servers
