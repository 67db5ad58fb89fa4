# SPDX-License-Identifier: MIT
"""Selection of the totals to send first."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from violethatch.load_changes import ChangeFeed
from violethatch.load_sums import ServerTotals


def totals(**streams):
    """Return totals by server number; `s1=3` has three streams at server 1."""
    return {int(name[1:]): ServerTotals(n, n * 100.0) for name, n in streams.items()}


class TestChangeFeed:
    def test_largest_changes_are_first(self):
        """Guards against delaying the largest changes."""
        feed = ChangeFeed()
        assert list(feed.select(totals(s1=1, s2=9, s3=4), limit=2)) == [2, 3]

    def test_omitted_server_is_next(self):
        """Guards against starvation of small changes."""
        feed = ChangeFeed()
        feed.select(totals(s1=1, s2=9, s3=4), limit=2)
        assert list(feed.select(totals(s1=1, s2=9, s3=4), limit=1)) == [1]

    def test_oldest_totals_are_repeated(self):
        """Without changes the oldest totals are sent again, in case they were lost."""
        feed = ChangeFeed()
        same = totals(s1=1, s2=2)
        sent = [next(iter(feed.select(same, limit=1))) for _ in range(4)]
        assert sent == [2, 1, 2, 1]

    def test_removed_server_is_sent_twice(self):
        """A server without streams is sent, and then removed."""
        feed = ChangeFeed()
        feed.select(totals(s1=1), limit=5)
        assert feed.select({}, limit=5) == {1: ServerTotals(0, 0.0)}
        feed.select({}, limit=5)
        assert feed.select({}, limit=5) == {}

    @given(st.dictionaries(st.integers(0, 50), st.integers(1, 90)), st.integers(1, 9))
    def test_receiver_converges(self, streams, limit):
        """Guards against servers that are never sent, for any size of messages."""
        servers = {n: ServerTotals(k, k * 10.0) for n, k in streams.items()}
        feed = ChangeFeed()
        received = {}
        for _ in range(len(servers) // limit + 1):
            selected = feed.select(servers, limit=limit)
            assert len(selected) <= limit
            received.update(selected)
        assert received == servers
