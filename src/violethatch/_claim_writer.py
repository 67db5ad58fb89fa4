# SPDX-License-Identifier: MIT
"""Writing claims in groups, by one writer for each availability zone.

Claims and outcomes of all instances of a zone go through the instance that is
chosen for it, so that the table's writes grow with zones and time and not
with calls.  Who is chosen need not be agreed on: a claim's write is harmless
when it is done twice, by whomever.
"""

from __future__ import annotations

import asyncio

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol

from . import clocks
from .claims import is_own_write
from .errors import TableUnavailableError
from .ports import AnswerLostError, Put, Row, Table


#: Writes of one transaction.
_MAX_BATCH_WRITES = 100


class RowWriter(Protocol):
    """Writes one row conditionally."""

    async def write(self, put: Put) -> Row | None:
        """Write; return the row in the way, or None if *put* stands.

        Raises:
            TableUnavailableError: It was not written and won't be.
            AnswerLostError: It may have been written, or may yet be.
        """


#: A write and the future of its outcome.
_PendingWrite = tuple[Put, "asyncio.Future[Row | None]"]


class ClaimWriter:
    """Groups writes, so that their number grows with time and not with calls.

    Args:
        table: Where to write.
        interval_s: The least time between transactions, in seconds.
        give_up_s: How long to try a write whose answers are lost, in seconds.
    """

    def __init__(self, table: Table, *, interval_s: float, give_up_s: float) -> None:
        self._table = table
        self._interval_s = interval_s
        self._retry_timeout_s = give_up_s
        self._queue: list[_PendingWrite] = []
        self._wake = asyncio.Event()

    async def write(self, put: Put) -> Row | None:
        """Write conditionally; return the row in the way, or None if written.

        Raises:
            TableUnavailableError: It was not written and won't be.
            AnswerLostError: It may have been written, or may yet be.
        """
        future = asyncio.get_running_loop().create_future()
        self._queue.append((put, future))
        self._wake.set()
        row: Row | None = await future
        if row is not None and is_own_write(put, row):
            return None
        return row

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                started_s = clocks.now_s()
                await self._write_batch(self._take_batch())
                pause_s = self._interval_s - (clocks.now_s() - started_s)
                await asyncio.sleep(max(0.0, pause_s))

    def _take_batch(self) -> list[_PendingWrite]:
        """Take writes of different rows off the queue, in order.

        Two writes of one row must not share a transaction: each has to see
        what the other did.
        """
        taken: dict[str, _PendingWrite] = {}
        left = []
        for waiting in self._queue:
            if len(taken) < _MAX_BATCH_WRITES and waiting[0].key not in taken:
                taken[waiting[0].key] = waiting
            else:
                left.append(waiting)
        self._queue = left
        return list(taken.values())

    async def _write_batch(self, batch: list[_PendingWrite]) -> None:
        """Write a batch; those with conflicts drop out and the rest goes again."""
        may_be_written = False
        give_up_s = clocks.now_s() + self._retry_timeout_s
        while batch:
            error: Exception
            try:
                conflicts = await self._table.transact([put for put, _ in batch])
            except AnswerLostError as lost:
                may_be_written, error = True, lost
            except TableUnavailableError as unavailable:
                error = unavailable
            else:
                batch = _resolve_writes(batch, conflicts)
                continue
            if not may_be_written or clocks.now_s() > give_up_s:
                # Not written for certain only if no try's answer was lost.
                final = AnswerLostError(str(error)) if may_be_written else error
                for _, future in batch:
                    if not future.done():
                        future.set_exception(final)
                return
            # Writing again is safe: it conflicts with itself if it was written.
            await asyncio.sleep(self._interval_s)


def _resolve_writes(batch: list[_PendingWrite], conflicts: list[Row]) -> list[_PendingWrite]:
    """Resolve what a transaction decided; return what has to go again."""
    in_the_way = {row.key: row for row in conflicts}
    remaining = []
    for put, future in batch:
        row = in_the_way.get(put.key)
        if conflicts and row is None:
            remaining.append((put, future))
        elif not future.done():
            future.set_result(row)
    return remaining


class WriteReply(NamedTuple):
    """What the zone's writer says of a write.

    Attributes:
        row: The row in the way, if any.
        failure: Empty, ``unavailable`` or ``lost``.
    """

    row: Row | None
    failure: str


async def reply_to(writer: RowWriter, put: Put) -> WriteReply:
    """Write for another instance; return what to tell it."""
    try:
        return WriteReply(await writer.write(put), "")
    except TableUnavailableError:
        return WriteReply(None, "unavailable")
    except AnswerLostError:
        return WriteReply(None, "lost")


class ZoneClaimWriter:
    """Has the zone's writer do the writes, or does them itself.

    Args:
        local: Writes from this instance.
        chosen: Returns the id of the zone's writer.
        own_id: This instance.
        forward: Sends writes to a peer; None if it does not answer.
    """

    def __init__(
        self,
        local: RowWriter,
        *,
        chosen: Callable[[], str],
        own_id: str,
        forward: Callable[[str, Sequence[Put]], Awaitable[Sequence[WriteReply] | None]],
    ) -> None:
        self._local = local
        self._writer_id = chosen
        self._own_id = own_id
        self._forward = forward
        self._queue: list[tuple[Put, asyncio.Future[WriteReply | None]]] = []
        self._wake = asyncio.Event()

    async def write(self, put: Put) -> Row | None:
        """Write conditionally; return the row in the way, or None if written.

        Raises:
            TableUnavailableError: It was not written and won't be.
            AnswerLostError: It may have been written, or may yet be.
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
            chosen = self._writer_id()
            replies = None
            if chosen != self._own_id:
                replies = await self._forward(chosen, [put for put, _ in batch])
            for number, (_, future) in enumerate(batch):
                if not future.done():
                    future.set_result(replies[number] if replies else None)

    async def _write_after_forward(self, put: Put) -> Row | None:
        """Write what a peer may have written, or may yet write."""
        try:
            return await self._local.write(put)
        except TableUnavailableError as error:
            raise AnswerLostError(str(error)) from error
