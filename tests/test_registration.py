# SPDX-License-Identifier: MIT
"""The instance's own entry in the store."""

from __future__ import annotations

import random

import msgspec

from test_instances import directories, entry
from violethatch import clocks
from violethatch._held_rows import HELD_PREFIX, HeldRows
from violethatch._registration import INSTANCES_TABLE, Registration
from violethatch.crash_suspects import CrashSuspects
from violethatch.errors import TableUnavailableError
from violethatch.freshness import StoreClock
from violethatch.instances import ENTRY_LIFE_S, InstanceDirectory
from violethatch.upstream import TableView


class FakeStore:
    """Notes what is written; refuses it while it is away."""

    def __init__(self):
        self.writes = []
        self.is_away = False

    async def write_entries(self, table, put, remove):
        if self.is_away:
            raise TableUnavailableError("away")
        self.writes.append((table, put, list(remove)))


def registration(store, directory, *, store_s=None):
    """Return a registration whose clock shows *store_s*, if it is known."""
    clock = StoreClock()
    if store_s is not None:
        clock.observe(store_s, sent_s=clocks.now_s())
    held = HeldRows(store, INSTANCES_TABLE, CrashSuspects(), clock=clock)
    return Registration(store, directory, clock=clock, held=held, rng=random.Random(1))


class TestRegistration:
    async def test_entry_is_written_and_read(self):
        """What one writes, another takes in."""
        store = FakeStore()
        own = entry("i1", zone="z2", link_mbps=200.0)
        await registration(store, InstanceDirectory(own), store_s=50.0)._write()
        (table, put, removed) = store.writes[0]
        assert (table, removed) == (INSTANCES_TABLE, [])
        other = InstanceDirectory(entry("i2"))
        registration(store, other).take(TableView(put, 1, 1.0), True)
        (helper,) = other.helpers(now_s=0.0)
        assert helper._replace(written_s=0.0) == own
        assert 50.0 <= helper.written_s < 60.0

    async def test_nothing_is_written_before_the_clock_is_known(self):
        """An entry without a date would count as old."""
        store = FakeStore()
        assert not await registration(store, InstanceDirectory(entry("i1")))._write()
        assert store.writes == []

    async def test_old_entries_are_removed_on_the_way(self):
        """Entries of instances that are gone don't pile up."""
        store = FakeStore()
        made = directories([entry("old", written_s=1.0), entry("new", written_s=1e6)])
        duty = registration(store, made["new"], store_s=1e6 + ENTRY_LIFE_S / 2)
        assert await duty._write()
        assert store.writes[0][2] == ["old"]

    async def test_store_away(self):
        """A write that comes to nothing is told, and tried again later."""
        store = FakeStore()
        store.is_away = True
        duty = registration(store, InstanceDirectory(entry("i1")), store_s=1.0)
        assert not await duty._write()
        await duty.remove()

    async def test_planned_stop_takes_the_entry_away(self):
        """Others then ask elsewhere at once."""
        store = FakeStore()
        await registration(store, InstanceDirectory(entry("i1"))).remove()
        assert store.writes == [(INSTANCES_TABLE, {}, ["i1"])]

    def test_entry_that_is_not_understood(self):
        """It counts as gone; the others stand."""
        directory = InstanceDirectory(entry("i1"))
        good = msgspec.json.encode(entry("i2"))
        rows = TableView({"i2": good, "i3": b"{}"}, 1, 1.0)
        registration(FakeStore(), directory).take(rows, True)
        assert len(directory) == 1

    def test_held_works_are_no_instances(self):
        """They stand in the same table, and leave the entries as they are."""
        directory = directories([entry("i1"), entry("i2")])["i1"]
        made = registration(FakeStore(), directory, store_s=0.0)
        row = {HELD_PREFIX + "0" * 32: b"[1,30.0,[]]"}
        made.take(TableView(row, 1, 0.0), False)
        assert len(directory) == 2
        entries = {one: msgspec.json.encode(entry(one)) for one in ("i1", "i3")}
        made.take(TableView(entries | row, 2, 0.0), True)
        assert sorted(one.id for one in directory.others()) == ["i3"]
