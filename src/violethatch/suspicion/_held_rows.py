# SPDX-License-Identifier: MIT
"""Traits that are held back, kept in the store.

Datagrams reach who is there.  An instance that starts, or that all datagrams missed,
learns of held traits from the table of instances, which every instance follows anyhow.
The witness of the end that decided it writes the row, unless it has not heard of the
other ends; so do the instances that remember the trait's first end.
"""

from __future__ import annotations

import asyncio

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

import msgspec

from .. import clocks, events
from .._decoding import decoded
from ..errors import TableUnavailableError
from ..freshness import StoreClock
from ..ports import AnswerLostError
from ..work_ids import check_work_id
from ._suspect import HELD_LIFE_S, End, Hold
from .crash_suspects import CrashSuspects


#: What begins the key of a held trait's row; no instance's id does.
HELD_PREFIX = "held/"
#: How long to wait after a write that came to nothing, in seconds, each time twice as
#: long: the others have been told by datagrams already.
_RETRY_S = 1.0
_MAX_RETRY_S = 30.0
#: The most rows that wait to be written or removed, and the most in one write.
_MAX_WAITING = 256
_MAX_ROWS_A_WRITE = 50


class _HeldRow(NamedTuple):
    """A held trait as its row tells it; times are the store's steady clock."""

    number: int
    until_store_s: float
    ends: list[End]


_ROW = msgspec.json.Decoder(_HeldRow)


class RowStore(Protocol):
    """Keeps rows."""

    async def write_entries(
        self, table: str, put: dict[str, bytes], remove: Sequence[str]
    ) -> None:
        """Write and remove rows, whatever they hold.

        Raises:
            TableUnavailableError: Nothing was written.
            AnswerLostError: It was written, or not; it can't be told.
        """


class HeldRows:
    """Writes held traits to the store, and takes others' in.

    Args:
        store: Keeps the rows.
        table: In which table.
        suspects: What this instance knows.
        clock: Maps the store's clock.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        suspects: CrashSuspects,
        *,
        clock: StoreClock,
    ) -> None:
        self._store = store
        self._table = table
        self._suspects = suspects
        self._clock = clock
        #: Traits whose rows have to be written, or removed.
        self._waiting: dict[str, None] = {}
        self._has_work = asyncio.Event()
        #: Traits whose rows were written here, the latest ones, and whether they were
        #: held back then.
        self._written: dict[str, bool] = {}
        #: By key, until when each known row counts, by the store's clock.
        self._until_store_s: dict[str, float] = {}

    def keep(self, trait: str) -> None:
        """Have a trait's row written, or removed if it is no longer held."""
        if len(self._waiting) >= _MAX_WAITING:
            events.log(events.HOLD_UNWRITTEN, trait=trait, reason="too many wait")
            return
        self._waiting[trait] = None
        self._has_work.set()

    async def run(self) -> None:
        """Write what has to be written, until cancelled."""
        retry_s = _RETRY_S
        while True:
            await self._has_work.wait()
            if await self._write():
                retry_s = _RETRY_S
                continue
            await asyncio.sleep(retry_s)
            retry_s = min(_MAX_RETRY_S, 2 * retry_s)

    def take(
        self,
        values: Mapping[str, bytes | None],
        *,
        is_restored: bool = False,
        now_s: float,
    ) -> None:
        """Take rows in; one that can't be understood holds nothing back.

        Args:
            values: By key, a row, or None where it is gone.
            is_restored: Whether these are all rows of a store that was restored from a
                copy: what was written here and is lost is written again.
            now_s: The current monotonic time, in seconds.
        """
        if is_restored:
            lost = self._lost(values)
            values = {key: values[key] for key in values.keys() - lost}
            for key in sorted(lost):
                self.keep(key.removeprefix(HELD_PREFIX))
        for key, value in values.items():
            if value is None:
                self._until_store_s.pop(key, None)
                self._suspects.clear(key.removeprefix(HELD_PREFIX), now_s=now_s)
            else:
                self._take_row(key, value, now_s)

    def _lost(self, values: Mapping[str, bytes | None]) -> set[str]:
        """Return the keys whose rows are not as they were written here."""
        keys = {
            HELD_PREFIX + trait: is_held for trait, is_held in self._written.items()
        }
        return {key for key, is_held in keys.items() if (key in values) != is_held}

    def expired(self, *, store_s: float) -> list[str]:
        """Return the keys of rows that count no more."""
        return [
            key for key, until_s in self._until_store_s.items() if store_s >= until_s
        ]

    def _take_row(self, key: str, value: bytes, now_s: float) -> None:
        """Take one row in."""
        trait = key.removeprefix(HELD_PREFIX)
        store_now_s = self._clock.now_s()
        try:
            check_work_id(trait)
            row = decoded(_ROW, value)
        except ValueError as error:
            events.log(events.STATE_REFUSED, row=key, reason=str(error))
            return
        self._until_store_s[key] = row.until_store_s + HELD_LIFE_S
        left_s = row.until_store_s - store_now_s if store_now_s is not None else 0.0
        hold = Hold(trait, min(left_s, HELD_LIFE_S), row.number, tuple(row.ends))
        if self._suspects.take(hold, now_s=now_s):
            events.log(events.HOLD_READ, trait=trait, left_s=round(left_s, 1))

    async def _write(self) -> bool:
        """Write some of what waits; tell whether that surely was done."""
        store_s = self._clock.now_s()
        if store_s is None:
            return False  # the store was not read yet
        traits = list(self._waiting)[:_MAX_ROWS_A_WRITE]
        rows = {HELD_PREFIX + trait: self._row(trait, store_s) for trait in traits}
        put = {key: row for key, row in rows.items() if row is not None}
        remove = [key for key, row in rows.items() if row is None]
        try:
            await self._store.write_entries(self._table, put, remove)
        except (TableUnavailableError, AnswerLostError) as error:
            events.log(events.HOLD_UNWRITTEN, traits=traits, reason=str(error))
            return False
        for trait in traits:
            self._waiting.pop(trait, None)
            self._note_written(trait, is_held=rows[HELD_PREFIX + trait] is not None)
        if not self._waiting:
            self._has_work.clear()
        return True

    def _note_written(self, trait: str, *, is_held: bool) -> None:
        """Remember what was written of a trait."""
        self._written.pop(trait, None)
        self._written[trait] = is_held
        while len(self._written) > _MAX_WAITING:
            del self._written[next(iter(self._written))]

    def _row(self, trait: str, store_s: float) -> bytes | None:
        """Return a trait's row, or None if it is not held back."""
        hold = self._suspects.hold(trait, now_s=clocks.now_s())
        if hold is None:
            return None
        row = _HeldRow(hold.number, store_s + hold.left_s, list(hold.ends))
        return msgspec.json.encode(row)
