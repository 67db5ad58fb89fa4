# SPDX-License-Identifier: MIT
"""The table of listed backend servers."""

from __future__ import annotations

import pytest

from hypothesis import given
from hypothesis import strategies as st

from routing_samples import plain_server
from violethatch.backends import (
    EXPIRY_GRACE_S,
    EXPIRY_WINDOW_S,
    MIN_EXPIRY_S,
    BackendTable,
    StoreOutage,
)


#: One that ended right before it was found to be over.
OUTAGE = StoreOutage(proven_s=5.0, unavailable_s=10.0)


def usable_ids(table):
    """Return the ids of the usable servers."""
    return {server.id for server in table.usable("labels")}


class TestBackendTable:
    def test_leaving_server_gets_no_new_work(self):
        """A server that is shutting down stays listed, but is not used."""
        table = BackendTable()
        table.apply_changes([plain_server("a"), plain_server("b")], [], now_s=0.0)
        change = table.apply_changes(
            [plain_server("a", is_leaving=True)], [], now_s=1.0
        )
        assert change.leaving == ("a",)
        assert usable_ids(table) == {"b"}
        assert table.get("a") is not None

    def test_removed_server_is_removed_immediately(self):
        """While the store is available, a removal takes effect immediately."""
        table = BackendTable()
        table.apply_changes([plain_server("a")], [], now_s=0.0)
        assert table.apply_changes([], ["a"], now_s=1.0).lost == ("a",)
        assert usable_ids(table) == set()

    def test_expired_entry_is_used_until_written_again(self):
        """After the store has recovered, an entry may be removed and written again."""
        table = BackendTable()
        table.apply_changes([plain_server("a")], [], now_s=0.0)
        table.record_store_recovery(OUTAGE, now_s=10.0)
        assert table.apply_changes([], ["a"], now_s=10.5).lost == ()
        table.expire(now_s=11.0)
        assert usable_ids(table) == {"a"}
        table.apply_changes([plain_server("a")], [], now_s=11.5)
        table.expire(now_s=20.0)
        assert usable_ids(table) == {"a"}

    def test_expired_entry_is_removed_after_grace_period(self):
        """The grace period of an expired entry ends."""
        table = BackendTable()
        table.apply_changes([plain_server("a")], [], now_s=0.0)
        table.record_store_recovery(OUTAGE, now_s=10.0)
        table.apply_changes([], ["a"], now_s=10.5)
        assert table.expire(now_s=10.5 + EXPIRY_GRACE_S) == ("a",)
        assert usable_ids(table) == set()

    def test_leaving_entry_has_no_grace_period(self):
        """A server that was shutting down is removed along with its entry."""
        table = BackendTable()
        table.apply_changes([plain_server("a", is_leaving=True)], [], now_s=0.0)
        table.record_store_recovery(OUTAGE, now_s=10.0)
        assert table.apply_changes([], ["a"], now_s=10.5).lost == ("a",)

    def test_grace_period_is_limited_to_recovery(self):
        """Long after the store has recovered, removals take effect immediately."""
        table = BackendTable()
        table.apply_changes([plain_server("a")], [], now_s=0.0)
        table.record_store_recovery(OUTAGE, now_s=10.0)
        late_s = 10.0 + EXPIRY_WINDOW_S
        assert table.apply_changes([], ["a"], now_s=late_s).lost == ("a",)

    @pytest.mark.parametrize("late_s", [0.0, 0.5, 1.8, 2.4])
    def test_server_that_left_is_used_longer_the_later_the_recovery_is_found(
        self, late_s
    ):
        """Its use is bounded from when the store was last unavailable."""
        table = BackendTable()
        table.apply_changes([plain_server("a")], [], now_s=0.0)
        found_s = 10.0 + late_s
        table.record_store_recovery(OUTAGE, now_s=found_s)
        assert table.apply_changes([], ["a"], now_s=found_s).lost == ()
        until_s = min(found_s + EXPIRY_GRACE_S, 10.0 + EXPIRY_WINDOW_S)
        assert table.expire(now_s=until_s - 0.01) == ()
        assert table.expire(now_s=until_s) == ("a",)

    def test_recovery_that_is_found_late_leaves_no_grace_period(self):
        """Entries that are still missing then belong to servers that left."""
        table = BackendTable()
        table.apply_changes([plain_server("a")], [], now_s=0.0)
        late_s = 10.0 + EXPIRY_WINDOW_S
        table.record_store_recovery(OUTAGE, now_s=late_s)
        assert table.apply_changes([], ["a"], now_s=late_s).lost == ("a",)

    def test_outage_shorter_than_any_expiry_has_no_grace_period(self):
        """What is missing after it has left."""
        table = BackendTable()
        table.apply_changes([plain_server("a")], [], now_s=0.0)
        table.record_store_recovery(OUTAGE, now_s=5.0 + MIN_EXPIRY_S - 0.1)
        assert table.apply_changes([], ["a"], now_s=7.0).lost == ("a",)

    def test_replace_removes_unlisted_servers(self):
        """The full list replaces the known one."""
        table = BackendTable()
        table.apply_changes([plain_server("a"), plain_server("b")], [], now_s=0.0)
        change = table.replace([plain_server("b"), plain_server("c")], now_s=1.0)
        assert (change.found, change.lost) == (("c",), ("a",))
        assert usable_ids(table) == {"b", "c"}


def entry(ms, **changes):
    """Return an entry of a start of the server."""
    return plain_server("a", started_ms=ms, **changes)


class TestStarts:
    """A server may restart under the same id."""

    def test_restart_is_reported(self):
        """A new start has neither layers nor state of the previous one."""
        table = BackendTable()
        table.apply_changes([entry(100)], [], now_s=0.0)
        change = table.apply_changes([entry(200)], [], now_s=1.0)
        assert (change.found, change.restarted) == ((), (entry(100),))
        assert table.get("a").started_ms == 200

    def test_update_is_no_restart(self):
        """The entry of a start changes with its layers and state."""
        table = BackendTable()
        table.apply_changes([entry(100)], [], now_s=0.0)
        assert table.apply_changes([entry(100, slots=7)], [], now_s=1.0).restarted == ()
        assert table.get("a").slots == 7

    def test_delayed_entry_of_earlier_start(self):
        """A write that timed out may be applied seconds later."""
        table = BackendTable()
        table.apply_changes([entry(100)], [], now_s=0.0)
        table.apply_changes([entry(200)], [], now_s=1.0)
        assert table.apply_changes([entry(100)], [], now_s=2.0).restarted == ()
        assert table.get("a").started_ms == 200
        table.apply_changes([entry(200)], [], now_s=3.0)
        table.apply_deferred(now_s=60.0)
        assert table.get("a").started_ms == 200

    def test_delayed_entry_after_removal(self):
        """A delayed write of a previous start doesn't add a removed server again."""
        table = BackendTable()
        table.apply_changes([entry(200)], [], now_s=0.0)
        table.apply_changes([], ["a"], now_s=1.0)
        assert table.apply_changes([entry(100)], [], now_s=2.0).found == ()
        assert usable_ids(table) == set()

    def test_clock_step_back_is_accepted_eventually(self):
        """An earlier start time that persists is accepted after ten seconds."""
        table = BackendTable()
        table.apply_changes([entry(200)], [], now_s=0.0)
        table.apply_changes([entry(100)], [], now_s=1.0)
        assert table.get("a").started_ms == 200
        assert table.apply_deferred(now_s=9.0).restarted == ()
        assert table.apply_deferred(now_s=10.0).restarted == (entry(200),)
        assert table.get("a").started_ms == 100

    def test_clock_step_back_long_after_start(self):
        """Writes can't be delayed that long."""
        table = BackendTable()
        table.apply_changes([entry(200)], [], now_s=0.0)
        change = table.apply_changes([entry(100)], [], now_s=60.0)
        assert change.restarted == (entry(200),)
        assert table.get("a").started_ms == 100

    def test_unknown_start(self):
        """Entries without a start time are accepted before and after those with one."""
        table = BackendTable()
        table.apply_changes([entry(0)], [], now_s=0.0)
        assert table.apply_changes([entry(100)], [], now_s=1.0).restarted == ()
        assert table.apply_changes([entry(0)], [], now_s=2.0).restarted == ()
        assert usable_ids(table) == {"a"}

    def test_replace_behaves_like_apply_changes(self):
        """A full list is handled like a change."""
        table = BackendTable()
        table.replace([entry(200)], now_s=0.0)
        assert table.replace([entry(100)], now_s=1.0).restarted == ()
        assert table.get("a").started_ms == 200
        assert table.replace([entry(300)], now_s=2.0).restarted == (entry(200),)

    @given(
        st.lists(
            st.tuples(st.sampled_from([0, 100, 200, 300, None]), st.floats(0, 3)),
            max_size=30,
        )
    )
    def test_later_start_is_not_replaced_early(self, writes):
        """Holds for any order of entries, while delayed writes are possible."""
        table = BackendTable()
        now_s, latest, latest_s = 0.0, 0, 0.0
        for ms, pause_s in writes:
            now_s += pause_s
            table.apply_deferred(now_s=now_s)
            if ms is None:
                table.apply_changes([], ["a"], now_s=now_s)
                continue
            table.apply_changes([entry(ms)], [], now_s=now_s)
            if ms > latest:
                latest, latest_s = ms, now_s
            known = table.get("a")
            if known is not None and known.started_ms and now_s < latest_s + 10.0:
                assert known.started_ms == latest


class TestReportedShutdown:
    """A server reports its own shutdown, regardless of its entry."""

    def table(self, *, started_ms=5):
        """Return a table with a server, and the server's entry."""
        table = BackendTable()
        server = plain_server("a", started_ms=started_ms)
        table.apply_changes([server], [], now_s=0.0)
        return table, server

    def test_report_overrides_entry(self):
        """Entries that are later written, or removed and added, have no effect."""
        table, server = self.table()
        revision = table.revision
        assert table.mark_leaving("a", 5, now_s=1.0)
        assert table.revision > revision
        assert usable_ids(table) == set()
        table.apply_changes([server._replace(slots=9)], [], now_s=2.0)
        table.apply_changes([], ["a"], now_s=3.0)
        table.apply_changes([server], [], now_s=4.0)
        assert usable_ids(table) == set()

    def test_repeated_report_is_not_new(self):
        """Further reports, as in each response, have no effect."""
        table, _ = self.table()
        assert table.mark_leaving("a", 5, now_s=1.0)
        revision = table.revision
        assert not table.mark_leaving("a", 5, now_s=1.1)
        assert table.revision == revision

    def test_duration_since_first_report(self):
        """The first source counts, whether the list or the server."""
        table, server = self.table()
        assert table.leaving_for_s("a", now_s=0.5) == 0.0
        table.mark_leaving("a", 5, now_s=1.0)
        table.apply_changes([server._replace(is_leaving=True)], [], now_s=2.0)
        assert table.leaving_for_s("a", now_s=3.0) == 2.0

    def test_new_start_is_usable(self):
        """A new start is another process, which has not reported a shutdown."""
        table, server = self.table()
        table.mark_leaving("a", 5, now_s=1.0)
        table.apply_changes([server._replace(started_ms=9)], [], now_s=2.0)
        assert usable_ids(table) == {"a"}
        assert table.leaving_for_s("a", now_s=3.0) == 0.0

    def test_late_report_of_earlier_start(self):
        """A report of an earlier start doesn't apply to the listed one."""
        table, _ = self.table(started_ms=9)
        assert not table.mark_leaving("a", 5, now_s=1.0)
        assert usable_ids(table) == {"a"}

    def test_report_before_entry(self):
        """Another instance may receive the report before this one lists the server."""
        table = BackendTable()
        assert table.mark_leaving("a", 0, now_s=0.0)
        table.apply_changes([plain_server("a"), plain_server("b")], [], now_s=1.0)
        assert usable_ids(table) == {"b"}

    def test_report_of_unlisted_start(self):
        """The report applies to that start's entry, and not to the current one."""
        table, server = self.table()
        table.mark_leaving("a", 9, now_s=1.0)
        assert usable_ids(table) == {"a"}
        table.apply_changes([server._replace(slots=9)], [], now_s=2.0)
        assert usable_ids(table) == {"a"}
        table.apply_changes([server._replace(started_ms=9)], [], now_s=3.0)
        assert usable_ids(table) == set()

    def test_response_of_unlisted_start(self):
        """A response to a request that was sent after a start belongs to that start."""
        table, server = self.table()
        table.mark_leaving("a", 5, sent_ms=12, now_s=1.0)
        table.apply_changes([server._replace(started_ms=9)], [], now_s=3.0)
        assert usable_ids(table) == set()
        table.apply_changes([server._replace(started_ms=20)], [], now_s=4.0)
        assert usable_ids(table) == {"a"}

    def test_response_read_after_list_update(self):
        """A late report belongs to the new start if requested after that start."""
        table, _ = self.table(started_ms=9)
        assert not table.mark_leaving("a", 5, sent_ms=7, now_s=1.0)
        assert usable_ids(table) == {"a"}
        assert table.mark_leaving("a", 5, sent_ms=12, now_s=1.0)
        assert usable_ids(table) == set()

    def test_reports_of_starts_in_reverse_order(self):
        """Each start's report applies to that start only, in any order."""
        table, server = self.table()
        table.mark_leaving("a", 9, now_s=1.0)
        table.mark_leaving("a", 5, now_s=1.5)
        assert usable_ids(table) == set()
        table.apply_changes([server._replace(started_ms=9)], [], now_s=3.0)
        assert usable_ids(table) == set()

    def test_remembered_reports_are_bounded(self):
        """Only the most recent reports are kept."""
        table, _ = self.table()
        for n in range(5_000):
            table.mark_leaving(f"x{n}", 0, now_s=1.0)
        table.apply_changes([plain_server("x0"), plain_server("x4999")], [], now_s=2.0)
        assert usable_ids(table) == {"a", "x0"}
