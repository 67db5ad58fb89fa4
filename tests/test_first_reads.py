# SPDX-License-Identifier: MIT
"""A replay of the first reads of all instances, in virtual time.

All instances start at the same moment and read three tables each.  The store answers
one read after another, also those that nobody waits for any more.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random

import pytest

import virtual_time

from violethatch import clocks
from violethatch._followers import TableFollower
from violethatch._retrying_reader import RetryingReader
from violethatch.errors import ReadLostError
from violethatch.freshness import Freshness, StoreClock
from violethatch.router_settings import StoreSection
from violethatch.upstream import TableView


TABLES = ("op", "servers", "violethatch_instances")
SETTINGS = StoreSection("127.0.0.1:1")
#: The processor time of a read, in seconds.
READ_S = 0.002
#: How long a start may take before the replay ends, in seconds.
MAX_START_S = 60.0
#: How much later than without any repeated read the last table may be known.
MAX_LATER = 1.2


class SlowStore:
    """Answers reads one after another, each after a share of a processor."""

    def __init__(self, read_s):
        self.read_s = read_s
        self.free_s = clocks.now_s()
        self.reads = collections.Counter()

    async def read(self, instance, table, answer_s):
        """Answer a read; one that is given up is worked on all the same."""
        self.reads[instance, table] += 1
        self.free_s = max(self.free_s, clocks.now_s()) + self.read_s
        limit_s = SETTINGS.call_timeout_s if answer_s is None else answer_s
        wait_s = self.free_s - clocks.now_s()
        await asyncio.sleep(min(wait_s, limit_s))
        if wait_s > limit_s:
            raise timeout_error()
        return TableView({}, 7, 7.0)


def timeout_error():
    """Return the error of a read without an answer in time."""
    return ReadLostError("rows-get: TimeoutError()", is_timeout=True)


class Reads:
    """One instance's way to the store."""

    def __init__(self, store, instance):
        self.store = store
        self.instance = instance

    async def read_table(self, table, *, answer_s=None):
        return await self.store.read(self.instance, table, answer_s)

    async def read_changes(self, _table, **_asked):
        await asyncio.Event().wait()


async def start_all(instances, read_s):
    """Start instances; return the store and how long the last table took."""
    began_s = clocks.now_s()
    store = SlowStore(read_s)
    known = asyncio.Semaphore(0)
    tasks = [
        asyncio.create_task(follower(store, instance, table, known.release).run())
        for instance in range(instances)
        for table in TABLES
    ]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(MAX_START_S):
            for _ in tasks:
                await known.acquire()
    took_s = clocks.now_s() - began_s
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return store, took_s


def follower(store, instance, table, on_read):
    """Return the follower of one table at one instance."""
    return TableFollower(
        table,
        source=RetryingReader(Reads(store, instance), on_read_lost=lambda _table: None),
        settings=SETTINGS,
        clock=StoreClock(),
        freshness=Freshness(limit_s=5.0),
        take=lambda _view, _is_whole: on_read(),
        on_recovery=lambda _outage: None,
        rng=random.Random(f"{instance}{table}"),
    )


@pytest.mark.parametrize(
    ("instances", "share"), [(8, 0.5), (8, 0.05), (120, 0.5), (120, 0.2), (350, 0.55)]
)
def test_first_reads_are_given_up_at_a_slow_store(instances, share, monkeypatch):
    """Reads that are given up and sent anew keep a slow store busy for ever longer."""
    read_s = READ_S / share
    store, took_s = virtual_time.run(lambda: start_all(instances, read_s), monkeypatch)
    assert max(store.reads.values()) <= 2
    assert took_s <= MAX_LATER * len(TABLES) * instances * read_s + 0.01


class Store:
    """Loses reads, and notes how long each would have been waited for."""

    def __init__(self, error):
        self.error = error
        self.waits_s = []

    async def read_table(self, table, *, answer_s=None):
        self.waits_s.append(answer_s)
        if self.error is not None:
            raise self.error
        return TableView({}, 7, 7.0)


async def test_first_read_over_a_broken_connection_is_repeated_at_once():
    """A broken connection is no slow store, and a later read no first one."""
    store = Store(ReadLostError("rows-get: reset"))
    reads = RetryingReader(store, on_read_lost=lambda _table: None)
    with pytest.raises(ReadLostError):
        await reads.read_table("op")
    assert len(store.waits_s) == 2
    store.error = timeout_error()
    with pytest.raises(ReadLostError):
        await reads.read_table("op")
    assert len(store.waits_s) == 3
    store.error = None
    await reads.read_table("op")
    await reads.read_table("op")
    assert store.waits_s[-2:] == [store.waits_s[0], None]
