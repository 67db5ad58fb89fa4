# SPDX-License-Identifier: MIT
"""Held works in the store."""

from __future__ import annotations

import asyncio

import pytest

from test_crash_suspects import WORK, end, noted
from test_registration import FakeStore
from violethatch import clocks
from violethatch.freshness import StoreClock
from violethatch.suspicion import (
    HELD_LIFE_S,
    HELD_PREFIX,
    CrashSuspects,
    HeldRows,
    _held_rows,
)


KEY = HELD_PREFIX + WORK


def held_rows(suspects, *, store=None, store_s=1000.0):
    """Return rows whose clock shows *store_s*."""
    clock = StoreClock()
    clock.observe(store_s, sent_s=clocks.now_s())
    return HeldRows(store or FakeStore(), "t", suspects, clock=clock)


async def written(rows, store, count=1):
    """Let rows be written; return the writes."""
    task = asyncio.create_task(rows.run())
    async with asyncio.timeout(5):
        while len(store.writes) < count:
            await asyncio.sleep(0.01)
    task.cancel()
    return store.writes


def held():
    """Return what holds the sample work back."""
    return noted(end("a"), end("b"), end("c"), now_s=clocks.now_s())


class TestWritten:
    async def test_instance_that_starts_learns_of_it(self):
        """What one has written, another one takes in, with the time that is left."""
        store = FakeStore()
        rows = held_rows(held(), store=store)
        rows.keep(WORK)
        ((_, put, _),) = await written(rows, store)
        other = CrashSuspects()
        now_s = clocks.now_s()
        held_rows(other, store_s=1010.0).take(put, now_s=now_s)
        assert other.hold(WORK, now_s=now_s).left_s == pytest.approx(20.0, abs=1.0)
        assert len(other.ends(WORK)) == 3

    async def test_cleared_work_s_row_is_removed(self):
        """And whoever reads that forgets it too."""
        store = FakeStore()
        suspects = held()
        rows = held_rows(suspects, store=store)
        suspects.clear(WORK, now_s=0.0)
        rows.keep(WORK)
        assert await written(rows, store) == [("t", {}, [KEY])]
        other = held()
        held_rows(other).take({KEY: None}, now_s=clocks.now_s())
        assert not other

    async def test_store_that_is_away_gets_it_later(self, monkeypatch):
        """Nothing is lost while it can't be written."""
        monkeypatch.setattr(_held_rows, "_RETRY_S", 0.02)
        store = FakeStore()
        store.is_away = True
        rows = held_rows(held(), store=store)
        rows.keep(WORK)
        task = asyncio.create_task(rows.run())
        await asyncio.sleep(0.1)
        store.is_away = False
        async with asyncio.timeout(5):
            while not store.writes:
                await asyncio.sleep(0.01)
        task.cancel()

    def test_rows_that_count_no_more(self):
        """A day after the hold's end the row may go."""
        rows = held_rows(CrashSuspects())
        rows.take({KEY: b'[1,1030.0,[["x","a",false,"i1"]]]'}, now_s=0.0)
        assert rows.expired(store_s=1030.0 + HELD_LIFE_S - 1) == []
        assert rows.expired(store_s=1030.0 + HELD_LIFE_S) == [KEY]


class TestTaken:
    @pytest.mark.parametrize(
        ("key", "value"),
        [
            (KEY, b""),
            (KEY, b"{}"),
            (KEY, b"[1]"),
            (KEY, b"\xff\xfe"),
            (KEY, b"[" * 9_000),
            (KEY, b'["1",2,[]]'),
            (HELD_PREFIX, b"[1,2,[]]"),
            (HELD_PREFIX + "z" * 32, b"[1,2,[]]"),
        ],
    )
    def test_row_that_can_t_be_understood_holds_nothing(self, key, value):
        """It is passed over, and the next one counts."""
        suspects = CrashSuspects()
        rows = held_rows(suspects)
        good = b"[1,1030.0,[]]"
        rows.take({key: value, HELD_PREFIX + "0" * 32: good}, now_s=0.0)
        assert suspects.held(now_s=0.0) == ["0" * 32]

    def test_other_s_clock_can_t_hold_for_longer_than_a_day(self):
        """A number that is out of bounds does no harm for ever."""
        suspects = CrashSuspects()
        held_rows(suspects).take({KEY: b"[3,1e300,[]]"}, now_s=0.0)
        assert suspects.hold(WORK, now_s=HELD_LIFE_S - 1) is not None
        assert suspects.hold(WORK, now_s=HELD_LIFE_S) is None

    async def test_copy_without_the_row_lets_the_work_through(self):
        """What a restored store has lost is written again where it was written."""
        store = FakeStore()
        rows = held_rows(held(), store=store)
        rows.keep(WORK)
        await written(rows, store)
        rows.take({}, is_restored=True, now_s=clocks.now_s())
        writes = await written(rows, store, count=2)
        assert [set(put) for _, put, _ in writes] == [{KEY}, {KEY}]

    async def test_copy_with_a_removed_row_holds_the_work_back(self):
        """It is removed again, and holds nothing back here."""
        store = FakeStore()
        suspects = held()
        rows = held_rows(suspects, store=store)
        rows.keep(WORK)
        await written(rows, store)
        ((_, copy, _),) = store.writes
        suspects.clear(WORK, now_s=0.0)
        rows.keep(WORK)
        await written(rows, store, count=2)
        rows.take(copy, is_restored=True, now_s=clocks.now_s())
        assert not suspects
        assert (await written(rows, store, count=3))[-1] == ("t", {}, [KEY])
