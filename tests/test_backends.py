# SPDX-License-Identifier: MIT
"""The table of listed backend servers."""

from __future__ import annotations

from routing_samples import plain_server
from violethatch.backends import LAPSE_GRACE_S, LAPSE_WINDOW_S, BackendTable


def ids(table):
    """Return the ids of usable servers."""
    return {server.id for server in table.usable("labels")}


class TestBackendTable:
    def test_leaving_server_gets_no_new_work(self):
        """A server that leaves is known, and not used."""
        table = BackendTable()
        table.change([plain_server("a"), plain_server("b")], [], now_s=0.0)
        change = table.change([plain_server("a", is_leaving=True)], [], now_s=1.0)
        assert change.leaving == ("a",)
        assert ids(table) == {"b"}
        assert table.get("a") is not None

    def test_gone_server_is_forgotten_at_once(self):
        """With the store in reach, a removed entry counts at once."""
        table = BackendTable()
        table.change([plain_server("a")], [], now_s=0.0)
        assert table.change([], ["a"], now_s=1.0).lost == ("a",)
        assert ids(table) == set()

    def test_lapsed_entry_is_used_until_it_is_back(self):
        """Soon after the store's return an entry may go and come back."""
        table = BackendTable()
        table.change([plain_server("a")], [], now_s=0.0)
        table.store_returned(now_s=10.0)
        assert table.change([], ["a"], now_s=10.5).lost == ()
        table.expire(now_s=11.0)
        assert ids(table) == {"a"}
        table.change([plain_server("a")], [], now_s=11.5)
        table.expire(now_s=20.0)
        assert ids(table) == {"a"}

    def test_lapsed_entry_that_stays_away_is_forgotten(self):
        """The grace ends."""
        table = BackendTable()
        table.change([plain_server("a")], [], now_s=0.0)
        table.store_returned(now_s=10.0)
        table.change([], ["a"], now_s=10.5)
        assert table.expire(now_s=10.5 + LAPSE_GRACE_S) == ("a",)
        assert ids(table) == set()

    def test_leaving_entry_has_no_grace(self):
        """Who was leaving is gone when its entry goes."""
        table = BackendTable()
        table.change([plain_server("a", is_leaving=True)], [], now_s=0.0)
        table.store_returned(now_s=10.0)
        assert table.change([], ["a"], now_s=10.5).lost == ("a",)

    def test_grace_is_only_for_a_while(self):
        """Long after the store's return, entries go at once."""
        table = BackendTable()
        table.change([plain_server("a")], [], now_s=0.0)
        table.store_returned(now_s=10.0)
        late_s = 10.0 + LAPSE_WINDOW_S
        assert table.change([], ["a"], now_s=late_s).lost == ("a",)

    def test_replace_drops_what_is_not_listed(self):
        """The whole list takes away what it does not hold."""
        table = BackendTable()
        table.change([plain_server("a"), plain_server("b")], [], now_s=0.0)
        change = table.replace([plain_server("b"), plain_server("c")], now_s=1.0)
        assert (change.found, change.lost) == (("c",), ("a",))
        assert ids(table) == {"b", "c"}
