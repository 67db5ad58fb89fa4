# SPDX-License-Identifier: MIT
"""The instance's own entry in the store, so that others find it."""

from __future__ import annotations

import asyncio
import contextlib
import random

from collections.abc import Mapping

import msgspec

from . import clocks, events
from ._decoding import decoded, is_endpoint
from .errors import TableUnavailableError
from .freshness import StoreClock
from .instances import ENTRY_LIFE_S, InstanceDirectory, InstanceEntry
from .ports import AnswerLostError
from .suspicion import HELD_PREFIX, HeldRows, RowStore
from .upstream import TableView


#: The product's own table of instances.
INSTANCES_TABLE = "violethatch_instances"
_ENTRY = msgspec.json.Decoder(InstanceEntry)
#: How often the entry is written anew, in seconds: a third of its life.
_RENEWAL_S = ENTRY_LIFE_S / 3
#: How often to look whether the store's clock is known yet, in seconds.
_CLOCK_LOOK_S = 0.1
#: How long to wait after a write that came to nothing, in seconds; each further one
#: doubles it, so that many instances don't press a store that refuses them.  The first
#: entry is due sooner: until it is there, others show an earlier process's token.
_RETRY_S = 3.0
_FIRST_RETRY_S = 0.4
_LONGEST_RETRY_S = 30.0
#: The entries a second that all instances together write again after the store has lost
#: them, and the shortest time over which they are spread, in seconds.
_REWRITES_A_S = 50.0
_MIN_REWRITE_SPREAD_S = 2.0
#: Between which parts of a wait is drawn, so that instances don't write all at once.
_WAIT_PARTS = (0.7, 1.3)
#: The most old entries that one write removes (the store takes 100 in one).
_MOST_REMOVED = 50


class Registration:
    """Writes the instance's entry, keeps it new, and takes it away at the end.

    Args:
        store: Keeps the entries.
        directory: The instance's view of all.
        clock: Maps the store's clock.
        held: The works that are held back, which stand in the same table.
        rng: Spreads the writes of many instances.
    """

    def __init__(
        self,
        store: RowStore,
        directory: InstanceDirectory,
        *,
        clock: StoreClock,
        held: HeldRows,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._directory = directory
        self._clock = clock
        self._held = held
        self._rng = rng
        self._retry_s = _FIRST_RETRY_S
        self._written: InstanceEntry | None = None
        #: Set when the store has lost the entry.
        self._is_lost = asyncio.Event()
        self._is_leaving = False

    async def run(self) -> None:
        """Keep the entry, until cancelled."""
        while not self._is_leaving:
            pause_s = await self._step()
            await self._pause(pause_s * self._rng.uniform(*_WAIT_PARTS))

    async def _pause(self, pause_s: float) -> None:
        """Wait, or until some moment after the store has lost the entry."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._is_lost.wait()
        if not self._is_lost.is_set():
            return
        spread_s = max(_MIN_REWRITE_SPREAD_S, len(self._directory) / _REWRITES_A_S)
        await asyncio.sleep(self._rng.uniform(0.0, spread_s))
        self._is_lost.clear()

    async def remove(self) -> None:
        """Take the entry away: others then ask elsewhere at once."""
        self._is_leaving = True
        try:
            own_id = self._directory.own.id
            await self._store.write_entries(INSTANCES_TABLE, {}, [own_id])
        except (TableUnavailableError, AnswerLostError) as error:
            # Others notice by themselves that nobody answers.
            events.log(events.ENTRY_UNWRITTEN, reason=str(error))

    def take(self, view: TableView, is_whole: bool) -> None:
        """Take others' entries in, and the works that are held back."""
        is_held = {key: key.startswith(HELD_PREFIX) for key in view.values}
        rows = {key: value for key, value in view.values.items() if is_held[key]}
        self._held.take(rows, is_restored=view.is_restored, now_s=clocks.now_s())
        entries = {
            instance_id: _entry(instance_id, value)
            for instance_id, value in view.values.items()
            if not is_held[instance_id]
        }
        if not entries and not is_whole:
            return
        self._directory.take(entries, is_whole=is_whole, is_restored=view.is_restored)
        self._note_lost(entries, is_whole)
        events.log(events.INSTANCES_KNOWN, count=len(self._directory))

    def _note_lost(
        self, entries: Mapping[str, InstanceEntry | None], is_whole: bool
    ) -> None:
        """Have the entry written again if the store has lost it."""
        own_id = self._directory.own.id
        written = self._written
        if written is None or self._is_leaving:
            return
        if own_id not in entries and not is_whole:
            return
        entry = entries.get(own_id)
        if entry is not None and (
            entry.token == written.token or entry.written_s >= written.written_s
        ):
            return
        events.log(events.ENTRY_LOST, id=own_id)
        self._is_lost.set()

    async def _step(self) -> float:
        """Write the entry if it can be dated; return when to go on, in seconds."""
        if self._is_leaving or not self._clock.is_known:
            return _CLOCK_LOOK_S
        if await self._write():
            self._retry_s = _RETRY_S
            return _RENEWAL_S
        retry_s = self._retry_s
        self._retry_s = min(_LONGEST_RETRY_S, 2 * retry_s)
        return retry_s

    async def _write(self) -> bool:
        """Write the entry and remove old ones; tell whether that surely was done."""
        store_s = self._clock.now_s()
        if store_s is None:
            return False  # the store was not read yet
        entry = self._directory.own._replace(written_s=store_s)
        old = self._directory.expired(store_s=store_s)
        old = [*old, *self._held.expired(store_s=store_s)][:_MOST_REMOVED]
        body = msgspec.json.encode(entry)
        try:
            await self._store.write_entries(INSTANCES_TABLE, {entry.id: body}, old)
        except (TableUnavailableError, AnswerLostError) as error:
            events.log(events.ENTRY_UNWRITTEN, reason=str(error))
            return False
        self._written = entry
        return True


def _entry(instance_id: str, value: bytes | None) -> InstanceEntry | None:
    """Return a row's entry, or None if it is gone or can't be understood."""
    if value is None:
        return None
    try:
        entry = decoded(_ENTRY, value)
        if not is_endpoint(entry.address):
            msg = f"no address: {entry.address[:40]!r}"
            raise ValueError(msg)
        return entry
    except ValueError as error:
        events.log(events.STATE_REFUSED, row=instance_id, reason=str(error))
        return None
