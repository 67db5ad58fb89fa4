# SPDX-License-Identifier: MIT
"""A store that is restored from a copy: versions fall and are given out again."""

from __future__ import annotations

import asyncio

import pytest

from restorable_store import BOUND_S, SLACK_S, RestorableRegion, RestorableStore
from routing_samples import plain_server
from violethatch.backends import REWRITE_GRACE_S, BackendTable
from violethatch.departures import RESTORE_QUARANTINE_S
from violethatch.table_cache import TableCache
from violethatch.upstream import TableView


@pytest.fixture
def names_era():
    """Tell whether the store names its era."""
    return True


@pytest.fixture
async def region(names_era):
    """Provide a large region whose instances have read the table."""
    store = RestorableStore(names_era=names_era)
    for server in ("s1", "s2", "s3"):
        store.write(server, b"ready")
    made = RestorableRegion(store, count=40)
    await made.all_know(5.0)
    await asyncio.sleep(1.0)
    yield made
    await made.stop()


class TestRegion:
    @pytest.mark.parametrize("names_era", [True, False])
    async def test_draining_after_a_restore_reaches_no_follower(self, region):
        """Changes at versions that were given out before reach every instance."""
        store = region.store
        copy = store.copy()
        for number in range(3):
            store.write("s3", b"ready %d" % number)
        await region.all_know(BOUND_S)
        store.is_away = True
        await asyncio.sleep(1.0)
        store.restore(copy)
        store.is_away = False
        await region.all_know(5.0)
        store.write("s1", b"draining")
        await region.all_know(BOUND_S + SLACK_S)

    async def test_restore_that_no_read_failed_for_is_missed(self, region):
        """A restored store may have overtaken the old version before the next read."""
        store = region.store
        copy = store.copy()
        store.write("s3", b"ready 1")
        await region.all_know(BOUND_S)
        store.restore(copy)
        store.write("s1", b"draining")
        store.write("s2", b"ready 2")
        await region.all_know(BOUND_S + SLACK_S)

    @pytest.mark.parametrize("step_s", [-50.0, 0.0, 50.0])
    async def test_clock_of_a_restored_store_spoils_proofs(self, region, step_s):
        """Proofs are as old as they are, whatever time the restored store shows."""
        store = region.store
        copy = store.copy()
        store.write("s3", b"ready 1")
        await region.all_know(BOUND_S)
        store.restore(copy)
        store.clock_ahead_s += step_s
        await region.all_know(BOUND_S + SLACK_S)
        await asyncio.sleep(BOUND_S)
        assert max(region.proof_ages_s()) <= BOUND_S
        store.is_away = True
        await asyncio.sleep(2.0)
        assert min(region.proof_ages_s()) >= 1.0


class TestHerd:
    @pytest.mark.parametrize("count", [8, 72, 350])
    async def test_restored_store_is_read_by_all_at_once(self, count):
        """Each instance reads at most once more, and 100 a second do together."""
        store = RestorableStore()
        store.write("s1", b"ready")
        made = RestorableRegion(store, count=count)
        await made.all_know(20.0)
        copy = store.copy()
        store.write("s1", b"ready 1")
        await made.all_know(5.0)
        store.calls.clear()
        await asyncio.sleep(2.0)
        steady_a_s = len(store.calls) / 2.0
        store.calls.clear()
        store.restore(copy)
        await made.all_know(BOUND_S + SLACK_S)
        await asyncio.sleep(1.5 + count / 60)
        extra = len(store.calls) - steady_a_s * (store.calls[-1] - store.calls[0])
        assert extra <= count + 20
        assert most_in_a_second(store.calls) <= 100 + 2 * steady_a_s
        await made.stop()


def most_in_a_second(calls_s):
    """Return how many calls fell into the busiest second."""
    return max(
        sum(1 for at_s in calls_s if start_s <= at_s < start_s + 1.0)
        for start_s in calls_s
    )


def view(version, **values):
    """Return an answer of the store at its time `version` seconds."""
    return TableView(values, version, float(version))


class TestTableCache:
    async def test_older_whole_read_hides_later_changes(self):
        """A whole read labelled with a version above its own hides what follows."""
        cache = TableCache()
        cache.take(view(480, s1=b"ready"), is_whole=True)
        cache.take(view(490, s1=b"draining"), is_whole=False)
        cache.take(view(500, s2=b"ready"), is_whole=False)
        behind = view(480, s1=b"ready")._replace(store_s=510.0)
        cache.take(behind, is_whole=True)
        first = await cache.updates(after=470, known_s=0.0, wait_s=0.0)
        cache.take(view(500, s1=b"draining")._replace(store_s=511.0), is_whole=False)
        then = await cache.updates(
            after=first.version, known_s=first.store_s, wait_s=0.0
        )
        assert {**first.values, **then.values}["s1"] == b"draining"


class TestBackendTable:
    def test_draining_server_is_ready_again_after_a_restore(self):
        """A copy from before the draining does not make the server usable."""
        table = BackendTable()
        table.apply_changes([plain_server("a"), plain_server("b")], [], now_s=0.0)
        table.apply_changes([plain_server("a", is_leaving=True)], [], now_s=1.0)
        table.replace([plain_server("a"), plain_server("b")], now_s=2.0)
        assert usable(table) == ["b"]

    def test_copy_brings_back_a_server_that_has_left(self):
        """It gets nothing until its entry is written anew."""
        table = BackendTable()
        table.apply_changes([plain_server("a"), plain_server("b")], [], now_s=0.0)
        table.apply_changes([], ["a"], now_s=1.0)
        copy = [plain_server("a"), plain_server("b")]
        table.replace(copy, is_restored=True, now_s=2.0)
        assert usable(table) == ["b"]
        table.replace(copy, now_s=3.0)
        assert usable(table) == ["b"]
        table.apply_changes([plain_server("a")], [], now_s=4.0)
        assert usable(table) == ["b", "a"]

    def test_server_that_survives_a_restore_stays_shut_out(self):
        """A departure is not remembered for good."""
        table = BackendTable()
        table.apply_changes([plain_server("a")], [], now_s=0.0)
        table.apply_changes([], ["a"], now_s=1.0)
        table.replace([plain_server("a")], is_restored=True, now_s=2.0)
        table.replace([plain_server("a")], now_s=2.0 + RESTORE_QUARANTINE_S)
        assert usable(table) == ["a"]

    def test_copy_without_a_server_takes_it_out_of_use(self):
        """Until entries are written again, what a copy lacks is still used."""
        table = BackendTable()
        table.apply_changes([plain_server("a"), plain_server("b")], [], now_s=0.0)
        table.replace([], is_restored=True, now_s=5.0)
        table.expire(now_s=7.2)
        assert usable(table) == ["a", "b"]
        table.apply_changes([plain_server("a")], [], now_s=7.3)
        table.expire(now_s=5.0 + REWRITE_GRACE_S)
        assert usable(table) == ["a"]

    def test_drained_server_starts_again_after_a_restore(self):
        """A new start of its id is another server."""
        table = BackendTable()
        table.apply_changes(
            [plain_server("a", started_ms=5, is_leaving=True)], [], now_s=0.0
        )
        table.replace([plain_server("a", started_ms=9)], is_restored=True, now_s=1.0)
        assert usable(table) == ["a"]


def usable(table):
    """Return the ids of the servers that may get requests."""
    return [server.id for server in table.usable("labels")]
