# SPDX-License-Identifier: MIT
"""Reads of the store that are sent once more."""

from __future__ import annotations

import asyncio

import pytest

from violethatch._retrying_reader import RetryingReader
from violethatch.errors import ReadLostError, TableUnavailableError
from violethatch.store_era import NO_ERA
from violethatch.upstream import TableView


ANSWER = TableView({}, 7, 7.0)


class SilentStore:
    """Never answers a read that waits, and answers the others."""

    def __init__(self):
        self.asked = []
        self.is_silent = True

    async def read_table(self, table):
        return ANSWER

    async def read_changes(
        self, table, *, after, wait_s, answer_s=None, era=NO_ERA, is_direct=True
    ):
        self.asked.append((table, wait_s))
        if wait_s and self.is_silent:
            await asyncio.sleep(min(wait_s, 0.02) if wait_s < 5.0 else 60.0)
            raise ReadLostError("no answer")
        return ANSWER


async def read(reads, table, wait_s):
    """Read changes; return the version that is known then."""
    return (await reads.read_changes(table, after=5, wait_s=wait_s)).version


async def test_long_read_stays_on_a_connection_that_fell_silent_with_another():
    """The instances' table would be read again only after its wait of 20 s."""
    store, lost = SilentStore(), []
    reads = RetryingReader(store, on_read_lost=lost.append)
    async with asyncio.timeout(2):
        versions = await asyncio.gather(
            read(reads, "instances", 20.0), read(reads, "op", 1.0)
        )
    assert versions == [7, 7]
    assert lost == ["op", "instances"]
    assert store.asked[2:] == [("op", 0.0), ("instances", 0.0)]


async def test_read_is_repeated_without_end():
    """A second loss is for the caller to deal with."""
    store = SilentStore()
    reads = RetryingReader(store, on_read_lost=lambda _table: None)

    async def lose(*_args, **_options):
        store.asked.append("lost")
        raise ReadLostError("no answer")

    store.read_changes = lose
    with pytest.raises(TableUnavailableError):
        await read(reads, "op", 1.0)
    assert store.asked == ["lost", "lost"]


async def test_refused_read_is_repeated():
    """A store that refuses is not asked again at once."""
    store = SilentStore()

    async def refuse(*_args, **_options):
        store.asked.append("refused")
        raise TableUnavailableError("status 429")

    store.read_changes = refuse
    with pytest.raises(TableUnavailableError):
        await read(RetryingReader(store, on_read_lost=lambda _table: None), "op", 1.0)
    assert store.asked == ["refused"]
