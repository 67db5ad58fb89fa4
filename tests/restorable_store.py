# SPDX-License-Identifier: MIT
"""A store in memory that can be restored from a copy, and a region that follows it."""

from __future__ import annotations

import asyncio
import contextlib
import random

from typing import NamedTuple

from test_instances import directories, entry
from test_region_reads import Peers
from violethatch import clocks
from violethatch._followers import TableFollower
from violethatch.errors import TableUnavailableError
from violethatch.freshness import Freshness, StoreClock
from violethatch.relayed_tables import RelayedTables
from violethatch.router_settings import StoreSection
from violethatch.store_era import NO_ERA
from violethatch.table_cache import TableCache
from violethatch.upstream import HistoryGoneError, TableView


TABLE = "servers"
BOUND_S = 2.0
TIMEOUT_S = 0.8
#: What a busy machine may add.
SLACK_S = 0.4


class Copy(NamedTuple):
    """A store's content at one moment."""

    rows: dict
    version: int


class RestorableStore:
    """Rows with versions from one counter; each restore starts a new era."""

    def __init__(self, *, names_era=True):
        self.era = 1
        #: How far its clock is ahead of the local one, in seconds.
        self.clock_ahead_s = 100.0
        self.names_era = names_era
        self.version = 0
        self.oldest = 0
        self.rows = {}
        self.calls = []
        self.is_away = False
        #: Ids of instances that get no answer, from others and from the store.
        self.cut = set()
        #: Until when, and by how many seconds, whole reads are behind.
        self.stale_until_s, self.behind_s = 0.0, 0.0
        #: Each moment of a change, with the rows, the version and the era from then on.
        self.timeline = []
        self.changed = asyncio.Event()

    def write(self, key, value):
        """Write a row, or remove it where *value* is None."""
        self.version += 1
        self.rows[key] = (value, self.version)
        self._wake()

    def copy(self):
        """Return a copy to restore from."""
        return Copy(dict(self.rows), self.version)

    def forget_history(self):
        """Know no changes from before now."""
        self.oldest = self.version
        self._wake()

    def restore(self, copy):
        """Start a new era from a copy."""
        self.rows, self.version = dict(copy.rows), copy.version
        self.oldest = copy.version
        self.era += 1
        self._wake()

    def present(self):
        """Return the rows that are there."""
        rows = self.rows.items()
        return {key: value for key, (value, _) in rows if value is not None}

    def _wake(self):
        now_s = clocks.now_s()
        self.timeline.append((now_s, self.present(), self.version, self.era))
        self.changed.set()
        self.changed = asyncio.Event()

    async def read_table(self, table, *, answer_s=None):
        self._called()
        now_s = clocks.now_s()
        if now_s >= self.stale_until_s:
            return self._view(self.present())
        # What a restore has undone can't be read any more, however late the read is.
        own = [one for one in self.timeline if one[3] == self.era]
        past = [one for one in own if one[0] <= now_s - self.behind_s]
        _, rows, version, _ = past[-1] if past else own[0]
        return self._view(rows)._replace(version=version)

    async def read_changes(
        self, table, *, after, wait_s, era=NO_ERA, is_direct=True, answer_s=None
    ):
        self._called()
        self._require(after)
        if self.version <= after:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
        self._require(after)
        rows = self.rows.items()
        view = self._view({key: value for key, (value, at) in rows if at > after})
        if view.era != era:
            raise HistoryGoneError
        return view

    def _called(self):
        self.calls.append(clocks.now_s())
        if self.is_away:
            raise TableUnavailableError("away")

    def _require(self, after):
        if not self.oldest <= after <= self.version:
            raise HistoryGoneError

    def _view(self, values):
        era = self.era if self.names_era else NO_ERA
        store_s = clocks.now_s() + self.clock_ahead_s
        return TableView(values, self.version, store_s, era=era)


class InstanceReads:
    """One instance's way to the store."""

    def __init__(self, store, instance_id):
        self.store = store
        self.id = instance_id

    async def read_table(self, table, *, answer_s=None):
        await self._passed()
        view = await self.store.read_table(table)
        await self._passed()
        return view

    async def read_changes(self, table, **asked):
        await self._passed()
        view = await self.store.read_changes(table, **asked)
        await self._passed()
        return view

    async def _passed(self):
        if self.id in self.store.cut:
            await asyncio.sleep(TIMEOUT_S)
            raise TableUnavailableError("no answer")


class RestorableRegion:
    """Instances of five zones that follow one table of a restorable store."""

    def __init__(self, store, *, count):
        self.store = store
        self.directories = directories(
            [entry(f"i{n}", zone=f"z{n % 5}") for n in range(count)]
        )
        self.caches = {name: TableCache() for name in self.directories}
        self.rows = {name: {} for name in self.directories}
        self.freshness = {name: Freshness(limit_s=10.0) for name in self.directories}
        self._tasks = [asyncio.create_task(self._follow(n)) for n in self.directories]

    async def _follow(self, name):
        clock = StoreClock()
        await TableFollower(
            TABLE,
            source=RelayedTables(
                InstanceReads(self.store, name),
                Peers(self, name),
                self.directories[name],
                bound_s=BOUND_S,
                clock=clock,
                rng=random.Random(name),
            ),
            settings=StoreSection("127.0.0.1:1"),
            clock=clock,
            freshness=self.freshness[name],
            take=lambda view, is_whole: self._take(name, view, is_whole),
            on_recovery=lambda _outage: None,
            rng=random.Random(name),
            cache=self.caches[name],
        ).run()

    def _take(self, name, view, is_whole):
        rows = {} if is_whole else self.rows[name]
        for key, value in view.values.items():
            if value is None:
                rows.pop(key, None)
            else:
                rows[key] = value
        self.rows[name] = rows

    def behind(self):
        """Return the instances whose rows differ from the store's."""
        present = self.store.present()
        return {name for name, rows in self.rows.items() if rows != present}

    def proof_ages_s(self):
        """Return the ages of every instance's newest proof."""
        now_s = clocks.now_s()
        return [one.age_s(now_s=now_s) for one in self.freshness.values()]

    async def all_know(self, within_s):
        """Wait until every instance has the store's rows."""
        async with asyncio.timeout(within_s):
            while self.behind():
                await asyncio.sleep(0.01)

    async def stop(self):
        """Cancel every follower."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
