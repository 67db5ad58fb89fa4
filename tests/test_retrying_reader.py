# SPDX-License-Identifier: MIT
"""Retries of lost store reads."""

from __future__ import annotations

import asyncio

import pytest

from violethatch._retrying_reader import RetryingReader
from violethatch.errors import ReadLostError, TableUnavailableError
from violethatch.store_era import NO_ERA
from violethatch.upstream import TableView


ANSWER = TableView({}, 7, 7.0)


class UnresponsiveStore:
    """Does not respond to reads with a wait, and responds to others."""

    def __init__(self):
        self.calls = []
        self.is_silent = True

    async def read_table(self, table, *, answer_s=None):
        return ANSWER

    async def read_changes(
        self, table, *, after, wait_s, answer_s=None, era=NO_ERA, is_direct=True
    ):
        self.calls.append((table, wait_s))
        if wait_s and self.is_silent:
            await asyncio.sleep(min(wait_s, 0.02) if wait_s < 5.0 else 60.0)
            raise ReadLostError("no answer")
        return ANSWER


async def read(reads, table, wait_s):
    """Read changes; return the version of the result."""
    return (await reads.read_changes(table, after=5, wait_s=wait_s)).version


async def test_lost_read_cancels_long_poll():
    """A lost read cancels and retries a long poll, whose connection may be stalled too.

    Otherwise the instances' table would be read again only after its wait of 20 s.
    """
    store, lost = UnresponsiveStore(), []
    reads = RetryingReader(store, on_read_lost=lost.append)
    async with asyncio.timeout(2):
        versions = await asyncio.gather(
            read(reads, "instances", 20.0), read(reads, "op", 1.0)
        )
    assert versions == [7, 7]
    assert lost == ["op", "instances"]
    assert store.calls[2:] == [("op", 0.0), ("instances", 0.0)]


async def test_read_is_retried_once():
    """A second lost read raises an error instead of another retry."""
    store = UnresponsiveStore()
    reads = RetryingReader(store, on_read_lost=lambda _table: None)

    async def lose(*_args, **_options):
        store.calls.append("lost")
        raise ReadLostError("no answer")

    store.read_changes = lose
    with pytest.raises(TableUnavailableError):
        await read(reads, "op", 1.0)
    assert store.calls == ["lost", "lost"]


async def test_refused_read_is_not_retried():
    """A read that the store refuses is not retried."""
    store = UnresponsiveStore()

    async def refuse(*_args, **_options):
        store.calls.append("refused")
        raise TableUnavailableError("status 429")

    store.read_changes = refuse
    with pytest.raises(TableUnavailableError):
        await read(RetryingReader(store, on_read_lost=lambda _table: None), "op", 1.0)
    assert store.calls == ["refused"]
