# SPDX-License-Identifier: MIT
"""The answer to a plain call, on its way from a backend server to the caller."""

from __future__ import annotations

from collections.abc import AsyncIterator

from . import deadlines, events
from ._bodies import PIECE_BYTES
from .event_stream import without_known_events
from .memory_budget import MemoryBudget
from .upstream import Answer, AnswerLostError, AnswerTooLongError, Responder


#: Max size of the part of an answer that is buffered, in bytes.
_MAX_BUFFERED_BYTES = 8_388_608


class PlainAnswer:
    """A backend server's answer: its head, and its body as far as it is buffered.

    A buffered answer can be replaced by another server's if it breaks off.  What
    exceeds the memory for requests is passed on as it comes, and aborted in that case.

    Args:
        answer: The server's answer, its body still to come.
        memory: The memory for requests.
        max_bytes: The max length of a body.
        known_event_id: The last event of a stream that the caller has already.

    Attributes:
        error: Why an answer that was passed on broke off, if the server is at fault.
    """

    def __init__(
        self,
        answer: Answer,
        *,
        memory: MemoryBudget,
        max_bytes: int,
        known_event_id: int | None = None,
    ) -> None:
        self.status = answer.status
        self.error: AnswerLostError | None = None
        self._answer = answer
        self._max_bytes = max_bytes
        self._reservation = memory.open()
        self._length = answer.length
        self._parts: AsyncIterator[bytes] = answer.parts()
        if known_event_id is not None:
            self._length = None
            self._parts = without_known_events(self._parts, last_id=known_event_id)
        self._buffered: list[bytes] = []
        self._received_bytes = 0
        self._is_whole = False

    async def buffer(self) -> None:
        """Read the body, or as much of it as there is memory for.

        Raises:
            AnswerLostError: The body broke off, or is too long.
        """
        if self._length is not None:
            self._check_length(self._length)
        async for part in self._parts:
            self._count(part)
            self._buffered.append(part)
            has_room = self._received_bytes <= _MAX_BUFFERED_BYTES
            if not has_room or not self._reservation.grow(len(part)):
                return
        self._is_whole = True
        self._answer.close(is_whole=True)

    async def send(
        self, responder: Responder, *, request_id: str, deadline_s: float
    ) -> int:
        """Send the answer to the caller; return its status, or 0 if it was aborted.

        Args:
            responder: Answers the caller.
            request_id: The caller's request, for the log.
            deadline_s: When the rest has to be there, in monotonic seconds.
        """
        headers, is_framed = self._answer.headers, self._answer.is_framed
        if self._is_whole and self._received_bytes <= PIECE_BYTES:
            body = b"".join(self._buffered)
            await responder.answer(self.status, headers, body, is_framed=is_framed)
            return self.status
        length = self._received_bytes if self._is_whole else self._length
        await responder.start(self.status, headers, is_framed=is_framed, length=length)
        while self._buffered:
            await responder.write(self._buffered.pop(0))
        try:
            if not self._is_whole:
                async with deadlines.until(deadline_s):
                    await self._pass_on_rest(responder)
        except (AnswerLostError, TimeoutError) as error:
            self.error = error if isinstance(error, AnswerLostError) else None
            responder.abort()
            events.log(
                events.ANSWER_ABORTED,
                request_id=request_id,
                reason=str(error) or "the deadline is over",
                received_bytes=self._received_bytes,
            )
            return 0
        await responder.finish()
        return self.status

    def close(self) -> None:
        """Release the answer and its memory; abort it unless it is complete."""
        if not self._is_whole:
            self._answer.close(is_whole=False)
        self._buffered.clear()
        self._reservation.release()

    async def _pass_on_rest(self, responder: Responder) -> None:
        """Pass on what is not buffered, as it comes.

        Raises:
            AnswerLostError: The body broke off, or is too long.
        """
        async for part in self._parts:
            self._count(part)
            await responder.write(part)
        self._is_whole = True
        self._answer.close(is_whole=True)

    def _count(self, part: bytes) -> None:
        """Count a part of the body.

        Raises:
            AnswerTooLongError: The body is too long.
        """
        self._received_bytes += len(part)
        self._check_length(self._received_bytes)

    def _check_length(self, length_bytes: int) -> None:
        """Check the length of the body.

        Raises:
            AnswerTooLongError: It is too long.
        """
        if length_bytes > self._max_bytes:
            msg = f"an answer of more than {self._max_bytes} bytes"
            raise AnswerTooLongError(msg)
