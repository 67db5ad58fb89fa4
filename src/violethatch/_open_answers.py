# SPDX-License-Identifier: MIT
"""The answers that are under way, and their end when the process has to leave."""

from __future__ import annotations

import asyncio
import contextlib

from collections.abc import AsyncIterator

from .errors import AnswerCutError


class OpenAnswers:
    """Ends all answers that are under way at one time.

    Each handler's work runs within `open`, so that an end made by this instance is told
    from a caller's, who cancels the handler.
    """

    def __init__(self) -> None:
        self._ends: set[asyncio.Timeout] = set()
        #: Whether all have been ended.
        self.is_aborted = False

    @contextlib.asynccontextmanager
    async def track(self) -> AsyncIterator[None]:
        """Count an answer as under way.

        Raises:
            AnswerCutError: This instance has ended it.
        """
        end = asyncio.timeout(None)
        try:
            async with end:
                self._ends.add(end)
                try:
                    yield
                finally:
                    self._ends.discard(end)
        except TimeoutError as error:
            if not end.expired():
                raise
            msg = "the instance had to stop before the answer's end"
            raise AnswerCutError(msg) from error

    def abort_all(self) -> None:
        """End all that are under way."""
        self.is_aborted = True
        now_s = asyncio.get_running_loop().time()
        for end in self._ends:
            end.reschedule(now_s)
