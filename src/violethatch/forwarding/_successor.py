# SPDX-License-Identifier: MIT
"""Finds the instance that takes over a stream whose own one has fallen silent.

The silent instance may go on at any moment, and no other one may take the stream: its
answer is kept until another one's is there.
"""

from __future__ import annotations

import asyncio

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

from ..errors import VioletHatchError
from ..instances import InstanceEntry
from ..upstream import AnswerLostError
from ._client import ForwardedAnswer


class Handover(NamedTuple):
    """A call that another instance serves.

    Attributes:
        peer: The instance.
        answer: Its answer, of which the head is there.
    """

    peer: InstanceEntry
    answer: ForwardedAnswer


class Successor:
    """Hands a stream over once more beside an answer that is silent.

    Args:
        hand_over: Hands the rest of the stream over.
    """

    def __init__(self, hand_over: Callable[[], Awaitable[Handover]]) -> None:
        self._hand_over = hand_over
        self._asking: asyncio.Task[Handover | None] | None = None
        self._silent: ForwardedAnswer | None = None

    def find(self) -> None:
        """Ask other instances, unless they are being asked."""
        if self._asking is None:
            self._asking = asyncio.create_task(self._find())

    def take(self) -> Handover | None:
        """Return the handover that was found, if any."""
        if self._asking is None or not self._asking.done():
            return None
        asking, self._asking = self._asking, None
        return asking.result()

    def drop(self) -> None:
        """Ask nobody any more, and let go of what was found."""
        found = self.take()
        if found is not None:
            found.answer.close(is_whole=False)
        elif self._asking is not None:
            self._asking.cancel()
            self._asking = None

    async def parts(self, answer: ForwardedAnswer) -> AsyncIterator[bytes]:
        """Return an answer's body as it comes; while it goes on, nobody is asked.

        Raises:
            AnswerLostError: The body broke off, or a successor is there.
        """
        self._silent = answer
        async for part in answer.parts():
            self.drop()
            yield part

    async def _find(self) -> Handover | None:
        """Hand the stream over; break the silent answer off if one takes it."""
        try:
            found = await self._hand_over()
        except (VioletHatchError, AnswerLostError):
            self._asking = None  # the next second of silence asks again
            return None
        if self._silent is not None:
            self._silent.close(is_whole=False)
        return found
