# SPDX-License-Identifier: MIT
"""Store reads that are retried once if their response is lost.

Connections stall or break while the store is available.  A lost read is retried without
delay.  A long poll is cancelled when a shorter read is lost, as its connection may have
stalled at the same time.

The first read of a table is different: its connection is new, and when all instances
start at once, the store is slow rather than unresponsive.  It waits longer, and is not
retried without delay after a timeout, since the store may still process it.

Load patterns: every open connection of every instance is lost at once, and each read in
flight is retried once; or 350 instances start at once and read three tables each.
"""

from __future__ import annotations

import asyncio

from collections.abc import Callable, Coroutine
from typing import Any

from . import clocks, events
from .errors import ReadLostError, TableUnavailableError
from .store_era import NO_ERA
from .upstream import TableStore, TableView


#: Reads with at least this wait are cancelled when another one is lost, in seconds.
_MIN_LONG_POLL_S = 5.0
#: For how long the first read of a table waits for a response, in seconds.  Connecting
#: has a shorter timeout.
_FIRST_READ_TIMEOUT_S = 4.0


class RetryingReader:
    """Reads tables of a store and retries lost reads.

    Args:
        store: The store.
        on_read_lost: Called with the table of each lost read.
    """

    def __init__(
        self, store: TableStore, *, on_read_lost: Callable[[str], None]
    ) -> None:
        self._store = store
        self._notify_lost = on_read_lost
        self._read_lost = asyncio.Event()
        #: Tables that were read before.
        self._known: set[str] = set()

    async def read_table(self, table: str) -> TableView:
        """Return a complete table; see `TableSource.read_table`.

        Raises:
            TableUnavailableError: The store refuses the read or does not respond.
        """
        is_first = table not in self._known
        answer_s = _FIRST_READ_TIMEOUT_S if is_first else None
        began_s = clocks.now_s()
        try:
            view = await _timed(self._store.read_table(table, answer_s=answer_s))
        except ReadLostError as error:
            self._handle_lost(table, error, began_s=began_s)
            if is_first and error.is_timeout:
                raise
            view = await _timed(self._store.read_table(table, answer_s=answer_s))
        self._known.add(table)
        return view

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
            HistoryGoneError: Changes since *after* are no longer available.
            TableUnavailableError: The store refuses the read or does not respond.
        """
        began_s = clocks.now_s()
        read = _timed(
            self._store.read_changes(
                table, after=after, wait_s=wait_s, answer_s=answer_s, era=era
            )
        )
        try:
            if wait_s >= _MIN_LONG_POLL_S:
                return await self._cancel_if_other_lost(read)
            return await read
        except ReadLostError as error:
            self._handle_lost(table, error, began_s=began_s)
            return await _timed(
                self._store.read_changes(table, after=after, wait_s=0.0, era=era)
            )

    async def _cancel_if_other_lost(
        self, read: Coroutine[Any, Any, TableView]
    ) -> TableView:
        """Return the result of a read.

        Raises:
            ReadLostError: Another read was lost meanwhile.
        """
        reading = asyncio.ensure_future(read)
        other_lost = asyncio.ensure_future(self._read_lost.wait())
        try:
            await asyncio.wait(
                (reading, other_lost), return_when=asyncio.FIRST_COMPLETED
            )
            if reading.done():
                return reading.result()
        finally:
            other_lost.cancel()
            reading.cancel()
        msg = "another read was lost"
        raise ReadLostError(msg)

    def _handle_lost(self, table: str, error: ReadLostError, *, began_s: float) -> None:
        """Log the retry of a lost read and cancel the long polls."""
        events.log(
            events.READ_REPEATED,
            table=table,
            source="store",
            reason=error.detail,
            read_s=round(clocks.now_s() - began_s, 3),
        )
        self._notify_lost(table)
        self._read_lost.set()
        self._read_lost = asyncio.Event()


async def _timed(read: Coroutine[Any, Any, TableView]) -> TableView:
    """Return the result of a read; note in its error when it was begun.

    Raises:
        TableUnavailableError: The store refuses the read or does not respond.
    """
    began_s = clocks.now_s()
    try:
        return await read
    except TableUnavailableError as error:
        error.unavailable_s = began_s
        raise
