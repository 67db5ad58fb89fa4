# SPDX-License-Identifier: MIT
"""The instance's own entry in the store."""

from __future__ import annotations

import asyncio
import random

import msgspec

from test_instances import directories, entry
from violethatch import clocks
from violethatch._registration import INSTANCES_TABLE, Registration
from violethatch.errors import TableUnavailableError
from violethatch.freshness import StoreClock
from violethatch.instances import ENTRY_LIFE_S, InstanceDirectory
from violethatch.suspicion import HELD_PREFIX, CrashSuspects, HeldRows
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


class TestRefusedWrites:
    def made(self):
        """Return a registration whose store refuses writes."""
        store = FakeStore()
        store.is_away = True
        made = registration(store, InstanceDirectory(entry("i1")), store_s=50.0)
        return made, store

    async def test_new_process_is_unknown_for_seconds_after_one_refusal(self):
        """Guards against an earlier process's token that others show for seconds."""
        made, store = self.made()
        task = asyncio.create_task(made.run())
        await asyncio.sleep(0.1)
        store.is_away = False
        await asyncio.sleep(1.0)
        task.cancel()
        assert len(store.writes) == 1

    async def test_store_that_refuses_is_pressed(self):
        """Each wait is twice the one before; a known entry waits longer at once."""
        made, store = self.made()
        waits_s = [await made._step() for _ in range(9)]
        assert waits_s == [0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6, 30.0, 30.0]
        store.is_away = False
        await made._step()
        store.is_away = True
        assert await made._step() == 3.0


class TestRestoredStore:
    def made(self):
        """Return a registration that has written its entry, and what it is."""
        store = FakeStore()
        directory = directories([entry("i1"), entry("i2")])["i1"]
        return registration(store, directory, store_s=50.0), store, directory

    async def rewritten(self, made, store):
        """Return the rows that are written after a view, within two and a half s."""
        store.writes.clear()
        task = asyncio.create_task(made.run())
        await asyncio.sleep(2.5)
        task.cancel()
        return [set(put) for _, put, _ in store.writes]

    async def test_copy_without_the_own_entry_hides_the_instance(self):
        """An entry that the store has lost is written again, once."""
        made, store, directory = self.made()
        assert await made._write()
        made._note_lost({"i2": entry("i2")}, True)
        assert await self.rewritten(made, store) == [{"i1"}, {"i1"}]
        assert len(directory) == 2

    async def test_copy_with_an_earlier_process_under_the_id(self):
        """The entry of the process before is replaced, that of a later one is not."""
        made, _, _ = self.made()
        assert await made._write()
        earlier = entry("i1", written_s=1.0)._replace(token="earlier")
        later = entry("i1", written_s=1e6)._replace(token="later")
        made._note_lost({"i1": later}, False)
        assert not made._is_lost.is_set()
        made._note_lost({"i1": earlier}, False)
        assert made._is_lost.is_set()

    async def test_instance_that_leaves_writes_itself_again(self):
        """Its own removal is no loss."""
        made, store, _ = self.made()
        assert await made._write()
        await made.remove()
        made.take(TableView({"i1": None}, 2, 1.0), False)
        assert await self.rewritten(made, store) == []

    def test_copy_lacks_instances(self):
        """They are known until they have written their entries again."""
        directory = directories([entry("i1"), entry("i2"), entry("i3")])["i1"]
        directory.take({"i1": entry("i1")}, is_whole=True, is_restored=True)
        assert sorted(one.id for one in directory.others()) == ["i2", "i3"]

    def test_instance_that_one_list_lacked_stays_unknown(self):
        """Without a restore a whole list says who is there."""
        directory = directories([entry("i1"), entry("i2")])["i1"]
        directory.take({"i1": entry("i1")}, is_whole=True)
        assert directory.others() == []
        directory.take({"i1": entry("i1"), "i2": entry("i2")}, is_whole=True)
        assert [one.id for one in directory.others()] == ["i2"]

    def test_copy_brings_back_an_instance_that_left(self):
        """It is not asked, and its entry is removed; a new process is known."""
        directory = directories([entry("i1"), entry("i2")])["i1"]
        directory.take({"i2": None}, is_whole=False)
        copy = {"i1": entry("i1"), "i2": entry("i2")}
        directory.take(copy, is_whole=True, is_restored=True)
        directory.take(copy, is_whole=True)
        assert directory.others() == []
        assert directory.expired(store_s=1.0) == ["i2"]
        directory.take({"i2": entry("i2")._replace(token="new")}, is_whole=False)
        assert [one.id for one in directory.others()] == ["i2"]
        assert directory.expired(store_s=1.0) == []
