# SPDX-License-Identifier: MIT
"""Tracks the responses in flight, and aborts them when the process shuts down."""

from __future__ import annotations

import asyncio
import contextlib

from collections.abc import AsyncIterator

from .errors import AnswerCutError


class OpenAnswers:
    """Aborts all responses in flight at once.

    Handlers run within `track`, so that an abort by this instance can be told apart
    from a caller's disconnect, which cancels the handler.
    """

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()
        #: Whether the responses have been aborted.
        self.is_aborted = False

    @contextlib.asynccontextmanager
    async def track(self) -> AsyncIterator[None]:
        """Track a response as in flight.

        Raises:
            AnswerCutError: This instance aborted it.
        """
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._timeouts.add(timeout)
                try:
                    yield
                finally:
                    self._timeouts.discard(timeout)
        except TimeoutError as error:
            if not timeout.expired():
                raise
            msg = "the instance had to stop before the answer's end"
            raise AnswerCutError(msg) from error

    def abort_all(self) -> None:
        """Abort all responses in flight."""
        self.is_aborted = True
        now_s = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now_s)
