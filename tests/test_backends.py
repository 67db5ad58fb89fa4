# SPDX-License-Identifier: MIT
"""The table of listed backend servers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from routing_samples import plain_server
from violethatch.backends import LAPSE_GRACE_S, LAPSE_WINDOW_S, BackendTable


def ids(table):
    """Return the ids of usable servers."""
    return {server.id for server in table.usable("labels")}


class TestBackendTable:
    def test_leaving_server_gets_no_new_work(self):
        """A server that leaves is known, and not used."""
        table = BackendTable()
        table.apply_changes([plain_server("a"), plain_server("b")], [], now_s=0.0)
        change = table.apply_changes(
            [plain_server("a", is_leaving=True)], [], now_s=1.0
        )
        assert change.leaving == ("a",)
        assert ids(table) == {"b"}
        assert table.get("a") is not None

    def test_gone_server_is_forgotten_at_once(self):
        """With the store in reach, a removed entry counts at once."""
        table = BackendTable()
        table.apply_changes([plain_server("a")], [], now_s=0.0)
        assert table.apply_changes([], ["a"], now_s=1.0).lost == ("a",)
        assert ids(table) == set()

    def test_lapsed_entry_is_used_until_it_is_back(self):
        """Soon after the store's return an entry may go and come back."""
        table = BackendTable()
        table.apply_changes([plain_server("a")], [], now_s=0.0)
        table.record_store_recovery(now_s=10.0)
        assert table.apply_changes([], ["a"], now_s=10.5).lost == ()
        table.expire(now_s=11.0)
        assert ids(table) == {"a"}
        table.apply_changes([plain_server("a")], [], now_s=11.5)
        table.expire(now_s=20.0)
        assert ids(table) == {"a"}

    def test_lapsed_entry_that_stays_away_is_forgotten(self):
        """The grace ends."""
        table = BackendTable()
        table.apply_changes([plain_server("a")], [], now_s=0.0)
        table.record_store_recovery(now_s=10.0)
        table.apply_changes([], ["a"], now_s=10.5)
        assert table.expire(now_s=10.5 + LAPSE_GRACE_S) == ("a",)
        assert ids(table) == set()

    def test_leaving_entry_has_no_grace(self):
        """Who was leaving is gone when its entry goes."""
        table = BackendTable()
        table.apply_changes([plain_server("a", is_leaving=True)], [], now_s=0.0)
        table.record_store_recovery(now_s=10.0)
        assert table.apply_changes([], ["a"], now_s=10.5).lost == ("a",)

    def test_grace_is_only_for_a_while(self):
        """Long after the store's return, entries go at once."""
        table = BackendTable()
        table.apply_changes([plain_server("a")], [], now_s=0.0)
        table.record_store_recovery(now_s=10.0)
        late_s = 10.0 + LAPSE_WINDOW_S
        assert table.apply_changes([], ["a"], now_s=late_s).lost == ("a",)

    def test_replace_drops_what_is_not_listed(self):
        """The whole list takes away what it does not hold."""
        table = BackendTable()
        table.apply_changes([plain_server("a"), plain_server("b")], [], now_s=0.0)
        change = table.replace([plain_server("b"), plain_server("c")], now_s=1.0)
        assert (change.found, change.lost) == (("c",), ("a",))
        assert ids(table) == {"b", "c"}


def born(ms, **changes):
    """Return an entry of one server's start."""
    return plain_server("a", started_ms=ms, **changes)


class TestStarts:
    """A server may start again under the id that it had."""

    def test_new_start_is_told(self):
        """It holds and knows nothing of before."""
        table = BackendTable()
        table.apply_changes([born(100)], [], now_s=0.0)
        change = table.apply_changes([born(200)], [], now_s=1.0)
        assert (change.found, change.restarted) == ((), (born(100),))
        assert table.get("a").started_ms == 200

    def test_same_start_is_no_new_one(self):
        """Its entry changes with its layers and its state."""
        table = BackendTable()
        table.apply_changes([born(100)], [], now_s=0.0)
        assert table.apply_changes([born(100, slots=7)], [], now_s=1.0).restarted == ()
        assert table.get("a").slots == 7

    def test_entry_of_an_earlier_start_comes_late(self):
        """A write without an answer may be done seconds later."""
        table = BackendTable()
        table.apply_changes([born(100)], [], now_s=0.0)
        table.apply_changes([born(200)], [], now_s=1.0)
        assert table.apply_changes([born(100)], [], now_s=2.0).restarted == ()
        assert table.get("a").started_ms == 200
        table.apply_changes([born(200)], [], now_s=3.0)
        table.apply_deferred(now_s=60.0)
        assert table.get("a").started_ms == 200

    def test_earlier_start_does_not_come_back_after_the_later_one_has_left(self):
        """Nor is it found as a new server then."""
        table = BackendTable()
        table.apply_changes([born(200)], [], now_s=0.0)
        table.apply_changes([], ["a"], now_s=1.0)
        assert table.apply_changes([born(100)], [], now_s=2.0).found == ()
        assert ids(table) == set()

    def test_clock_that_stepped_back_shuts_nobody_out_for_good(self):
        """An earlier start that stays is the newest one, ten seconds later."""
        table = BackendTable()
        table.apply_changes([born(200)], [], now_s=0.0)
        table.apply_changes([born(100)], [], now_s=1.0)
        assert table.get("a").started_ms == 200
        assert table.apply_deferred(now_s=9.0).restarted == ()
        assert table.apply_deferred(now_s=10.0).restarted == (born(200),)
        assert table.get("a").started_ms == 100

    def test_step_back_long_after_the_start_counts_at_once(self):
        """No write is on its way for so long."""
        table = BackendTable()
        table.apply_changes([born(200)], [], now_s=0.0)
        change = table.apply_changes([born(100)], [], now_s=60.0)
        assert change.restarted == (born(200),)
        assert table.get("a").started_ms == 100

    def test_server_that_tells_no_start(self):
        """It is taken as it comes, before and after one that does."""
        table = BackendTable()
        table.apply_changes([born(0)], [], now_s=0.0)
        assert table.apply_changes([born(100)], [], now_s=1.0).restarted == ()
        assert table.apply_changes([born(0)], [], now_s=2.0).restarted == ()
        assert ids(table) == {"a"}

    def test_both_ways_in_are_the_same(self):
        """A list that is read whole says as much as a change."""
        table = BackendTable()
        table.replace([born(200)], now_s=0.0)
        assert table.replace([born(100)], now_s=1.0).restarted == ()
        assert table.get("a").started_ms == 200
        assert table.replace([born(300)], now_s=2.0).restarted == (born(200),)

    @given(
        st.lists(
            st.tuples(st.sampled_from([0, 100, 200, 300, None]), st.floats(0, 3)),
            max_size=30,
        )
    )
    def test_later_start_is_never_replaced_soon(self, rows):
        """In whatever order entries come, within the time of late writes."""
        table = BackendTable()
        now_s, newest, newest_s = 0.0, 0, 0.0
        for ms, pause_s in rows:
            now_s += pause_s
            table.apply_deferred(now_s=now_s)
            if ms is None:
                table.apply_changes([], ["a"], now_s=now_s)
                continue
            table.apply_changes([born(ms)], [], now_s=now_s)
            if ms > newest:
                newest, newest_s = ms, now_s
            known = table.get("a")
            if known is not None and known.started_ms and now_s < newest_s + 10.0:
                assert known.started_ms == newest


class TestOwnWord:
    """A server says itself that it leaves, whatever its entry says."""

    def table(self, *, started_ms=5):
        """Return a table with a server, and its entry."""
        table = BackendTable()
        one = plain_server("a", started_ms=started_ms)
        table.apply_changes([one], [], now_s=0.0)
        return table, one

    def test_word_stands_over_the_entry(self):
        """Also over entries that are written, or go and come back, later."""
        table, one = self.table()
        revision = table.revision
        assert table.mark_leaving("a", 5, now_s=1.0)
        assert table.revision > revision
        assert ids(table) == set()
        table.apply_changes([one._replace(slots=9)], [], now_s=2.0)
        table.apply_changes([], ["a"], now_s=3.0)
        table.apply_changes([one], [], now_s=4.0)
        assert ids(table) == set()

    def test_word_is_news_once(self):
        """Said in every answer, it changes nothing any more."""
        table, _ = self.table()
        assert table.mark_leaving("a", 5, now_s=1.0)
        revision = table.revision
        assert not table.mark_leaving("a", 5, now_s=1.1)
        assert table.revision == revision

    def test_time_counts_from_the_first_word(self):
        """Whoever has said it first, the list or the server."""
        table, one = self.table()
        assert table.leaving_for_s("a", now_s=0.5) == 0.0
        table.mark_leaving("a", 5, now_s=1.0)
        table.apply_changes([one._replace(is_leaving=True)], [], now_s=2.0)
        assert table.leaving_for_s("a", now_s=3.0) == 2.0

    def test_new_start_is_free(self):
        """It is another process, which has said nothing."""
        table, one = self.table()
        table.mark_leaving("a", 5, now_s=1.0)
        table.apply_changes([one._replace(started_ms=9)], [], now_s=2.0)
        assert ids(table) == {"a"}
        assert table.leaving_for_s("a", now_s=3.0) == 0.0

    def test_word_of_an_earlier_start_comes_late(self):
        """It says nothing of the start that is listed."""
        table, _ = self.table(started_ms=9)
        assert not table.mark_leaving("a", 5, now_s=1.0)
        assert ids(table) == {"a"}

    def test_word_before_the_entry(self):
        """Another instance may hear it before this one knows the server."""
        table = BackendTable()
        assert table.mark_leaving("a", 0, now_s=0.0)
        table.apply_changes([plain_server("a"), plain_server("b")], [], now_s=1.0)
        assert ids(table) == {"b"}

    def test_word_of_a_start_that_is_not_listed_yet(self):
        """It waits for that start's entry, and leaves the present one as it is."""
        table, one = self.table()
        table.mark_leaving("a", 9, now_s=1.0)
        assert ids(table) == {"a"}
        table.apply_changes([one._replace(slots=9)], [], now_s=2.0)
        assert ids(table) == {"a"}
        table.apply_changes([one._replace(started_ms=9)], [], now_s=3.0)
        assert ids(table) == set()

    def test_new_start_answers_before_the_list_tells_of_it(self):
        """What was asked after its birth is its word, whatever was listed then."""
        table, one = self.table()
        table.mark_leaving("a", 5, sent_ms=12, now_s=1.0)
        table.apply_changes([one._replace(started_ms=9)], [], now_s=3.0)
        assert ids(table) == set()
        table.apply_changes([one._replace(started_ms=20)], [], now_s=4.0)
        assert ids(table) == {"a"}

    def test_word_that_is_read_after_the_list_has_told(self):
        """It is the new start's if it was asked for after its birth."""
        table, _ = self.table(started_ms=9)
        assert not table.mark_leaving("a", 5, sent_ms=7, now_s=1.0)
        assert ids(table) == {"a"}
        assert table.mark_leaving("a", 5, sent_ms=12, now_s=1.0)
        assert ids(table) == set()

    def test_earlier_start_s_word_after_a_later_one_s(self):
        """Each start's word stands for itself, in whatever order they come."""
        table, one = self.table()
        table.mark_leaving("a", 9, now_s=1.0)
        table.mark_leaving("a", 5, now_s=1.5)
        assert ids(table) == set()
        table.apply_changes([one._replace(started_ms=9)], [], now_s=3.0)
        assert ids(table) == set()

    def test_bound_on_what_is_remembered(self):
        """The latest words stay."""
        table, _ = self.table()
        for n in range(5_000):
            table.mark_leaving(f"x{n}", 0, now_s=1.0)
        table.apply_changes([plain_server("x0"), plain_server("x4999")], [], now_s=2.0)
        assert ids(table) == {"a", "x0"}
