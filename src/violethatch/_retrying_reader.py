# SPDX-License-Identifier: MIT
"""Reads of the store that are sent once more if their answer is lost.

Connections fall silent, or break, while the store is well.  A lost read is repeated
without a wait.  A read that waits for long is given up when a shorter one is lost, as
its connection may have fallen silent at the same moment.

Load pattern: all open connections of all instances are lost at one moment.  Each read
under way is repeated once.
"""

from __future__ import annotations

import asyncio

from collections.abc import Callable, Coroutine
from typing import Any

from . import events
from .errors import ReadLostError
from .store_era import NO_ERA
from .upstream import TableStore, TableView


#: From which wait on a read is given up when another one is lost, in seconds.
_LONG_WAIT_S = 5.0


class RetryingReader:
    """Reads a store's tables; repeats reads that are lost.

    Args:
        store: Reads the store.
        on_read_lost: Called with the table of each read that is lost.
    """

    def __init__(
        self, store: TableStore, *, on_read_lost: Callable[[str], None]
    ) -> None:
        self._store = store
        self._on_lost = on_read_lost
        self._lost = asyncio.Event()

    async def read_table(self, table: str) -> TableView:
        """Return a whole table; see `TableSource.read_table`.

        Raises:
            TableUnavailableError: The store refuses or is silent.
        """
        try:
            return await self._store.read_table(table)
        except ReadLostError as error:
            self._note_lost(table, error)
            return await self._store.read_table(table)

    async def read_changes(
        self,
        table: str,
        *,
        after: int,
        wait_s: float,
        answer_s: float | None = None,
        era: int = NO_ERA,
    ) -> TableView:
        """Return changes; see `TableStore.read_changes`.

        Raises:
            HistoryGoneError: Changes since *after* can't be had any more.
            TableUnavailableError: The store refuses or is silent.
        """
        read = self._store.read_changes(
            table, after=after, wait_s=wait_s, answer_s=answer_s, era=era
        )
        try:
            if wait_s >= _LONG_WAIT_S:
                return await self._unless_another_is_lost(read)
            return await read
        except ReadLostError as error:
            self._note_lost(table, error)
            return await self._store.read_changes(
                table, after=after, wait_s=0.0, era=era
            )

    async def _unless_another_is_lost(
        self, read: Coroutine[Any, Any, TableView]
    ) -> TableView:
        """Return what a read answers.

        Raises:
            ReadLostError: Another read was lost meanwhile.
        """
        reading = asyncio.ensure_future(read)
        losing = asyncio.ensure_future(self._lost.wait())
        try:
            await asyncio.wait((reading, losing), return_when=asyncio.FIRST_COMPLETED)
            if reading.done():
                return reading.result()
        finally:
            losing.cancel()
            reading.cancel()
        msg = "another read was lost"
        raise ReadLostError(msg)

    def _note_lost(self, table: str, error: ReadLostError) -> None:
        """Log that a read is sent once more; end those that wait for long."""
        events.log(
            events.READ_REPEATED, table=table, source="store", reason=error.detail
        )
        self._on_lost(table)
        self._lost.set()
        self._lost = asyncio.Event()
