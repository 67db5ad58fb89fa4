# SPDX-License-Identifier: MIT
"""Batched writes of claims, by a single writer for each availability zone.

Claims and outcomes of all instances of a zone are forwarded to the zone's selected
writer, so that the number of transactions depends on zones and time and not on
calls.  The instances need not agree on the writer: a claim's write is idempotent,
also when several instances send it.
"""

from __future__ import annotations

import asyncio

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol

from . import clocks
from .claims import is_own_write
from .errors import TableUnavailableError
from .ports import AnswerLostError, Put, Row, Table


#: Max writes in a transaction.
_MAX_BATCH_WRITES = 100


class RowWriter(Protocol):
    """Writes a row conditionally."""

    async def write(self, put: Put) -> Row | None:
        """Write; return the conflicting row, or None if *put* was written.

        Raises:
            TableUnavailableError: It was not written and won't be.
            AnswerLostError: It may have been written, or may still be.
        """


#: A write and the future of its result.
_PendingWrite = tuple[Put, "asyncio.Future[Row | None]"]


class ClaimWriter:
    """Batches writes, so that transactions depend on time and not on calls.

    Args:
        table: The table to write to.
        interval_s: Min time between transactions, in seconds.
        retry_timeout_s: How long to retry a write whose responses are lost, in seconds.
    """

    def __init__(
        self, table: Table, *, interval_s: float, retry_timeout_s: float
    ) -> None:
        self._table = table
        self._interval_s = interval_s
        self._retry_timeout_s = retry_timeout_s
        self._queue: list[_PendingWrite] = []
        self._wake = asyncio.Event()

    async def write(self, put: Put) -> Row | None:
        """Write conditionally; return the conflicting row, or None if written.

        Raises:
            TableUnavailableError: It was not written and won't be.
            AnswerLostError: It may have been written, or may still be.
        """
        future = asyncio.get_running_loop().create_future()
        self._queue.append((put, future))
        self._wake.set()
        row: Row | None = await future
        if row is not None and is_own_write(put, row):
            return None
        return row

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                started_s = clocks.now_s()
                await self._write_batch(self._take_batch())
                pause_s = self._interval_s - (clocks.now_s() - started_s)
                await asyncio.sleep(max(0.0, pause_s))

    def _take_batch(self) -> list[_PendingWrite]:
        """Remove writes of different rows from the queue, in order.

        Two writes of the same row must not share a transaction: each has to
        see the other's result.
        """
        batch: dict[str, _PendingWrite] = {}
        remaining = []
        for pending in self._queue:
            if len(batch) < _MAX_BATCH_WRITES and pending[0].key not in batch:
                batch[pending[0].key] = pending
            else:
                remaining.append(pending)
        self._queue = remaining
        return list(batch.values())

    async def _write_batch(self, batch: list[_PendingWrite]) -> None:
        """Write a batch; retry without the writes that have conflicts."""
        may_have_written = False
        deadline_s = clocks.now_s() + self._retry_timeout_s
        while batch:
            error: Exception
            try:
                conflicts = await self._table.transact([put for put, _ in batch])
            except AnswerLostError as lost:
                may_have_written, error = True, lost
            except TableUnavailableError as unavailable:
                error = unavailable
            else:
                batch = _resolve_writes(batch, conflicts)
                continue
            if not may_have_written or clocks.now_s() > deadline_s:
                # Certainly not written only if no attempt's response was lost.
                final = AnswerLostError(str(error)) if may_have_written else error
                for _, future in batch:
                    if not future.done():
                        future.set_exception(final)
                return
            # A retry is safe: it conflicts with itself if it was written before.
            await asyncio.sleep(self._interval_s)


def _resolve_writes(
    batch: list[_PendingWrite], conflicts: list[Row]
) -> list[_PendingWrite]:
    """Set the results of a transaction; return the writes to retry."""
    conflicts_by_key = {row.key: row for row in conflicts}
    remaining = []
    for put, future in batch:
        row = conflicts_by_key.get(put.key)
        if conflicts and row is None:
            remaining.append((put, future))
        elif not future.done():
            future.set_result(row)
    return remaining


class WriteReply(NamedTuple):
    """Response of the zone's writer to a write.

    Attributes:
        row: The conflicting row, if any.
        failure: Empty, ``unavailable`` or ``lost``.
    """

    row: Row | None
    failure: str


async def write_for_peer(writer: RowWriter, put: Put) -> WriteReply:
    """Write for another instance and return the response."""
    try:
        return WriteReply(await writer.write(put), "")
    except TableUnavailableError:
        return WriteReply(None, "unavailable")
    except AnswerLostError:
        return WriteReply(None, "lost")


class ZoneClaimWriter:
    """Forwards writes to the zone's writer, or writes locally.

    Args:
        local: Writes directly to the table.
        writer_id: Returns the instance id of the zone's writer.
        own_id: Id of this instance.
        forward: Sends writes to a peer; returns None if it does not respond.
    """

    def __init__(
        self,
        local: RowWriter,
        *,
        writer_id: Callable[[], str],
        own_id: str,
        forward: Callable[[str, Sequence[Put]], Awaitable[Sequence[WriteReply] | None]],
    ) -> None:
        self._local = local
        self._writer_id = writer_id
        self._own_id = own_id
        self._forward = forward
        self._queue: list[tuple[Put, asyncio.Future[WriteReply | None]]] = []
        self._wake = asyncio.Event()

    async def write(self, put: Put) -> Row | None:
        """Write conditionally; return the conflicting row, or None if written.

        Raises:
            TableUnavailableError: It was not written and won't be.
            AnswerLostError: It may have been written, or may still be.
        """
        if self._writer_id() == self._own_id:
            return await self._local.write(put)
        future = asyncio.get_running_loop().create_future()
        self._queue.append((put, future))
        self._wake.set()
        reply: WriteReply | None = await future
        if reply is None:
            return await self._write_after_forward(put)
        if reply.failure == "unavailable":
            raise TableUnavailableError(retry_after_s=2.0)
        if reply.failure:
            msg = "the zone's writer lost the answer"
            raise AnswerLostError(msg)
        return reply.row

    async def run(self) -> None:
        """Forward writes until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch, self._queue = self._queue, []
            writer_id = self._writer_id()
            replies = None
            if writer_id != self._own_id:
                replies = await self._forward(writer_id, [put for put, _ in batch])
            for index, (_, future) in enumerate(batch):
                if not future.done():
                    future.set_result(replies[index] if replies else None)

    async def _write_after_forward(self, put: Put) -> Row | None:
        """Write locally what a peer may have written, or may still write."""
        try:
            return await self._local.write(put)
        except TableUnavailableError as error:
            raise AnswerLostError(str(error)) from error
