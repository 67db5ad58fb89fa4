# SPDX-License-Identifier: MIT
"""What a caller has got of a stream, over all of the stream's runs."""

from __future__ import annotations

import math

from collections.abc import AsyncIterator, Callable

from . import clocks
from .desired import CallRoute
from .event_stream import EventSplitter, SpoiltStreamError, StreamProgress
from .upstream import (
    Answer,
    AnswerLostError,
    Call,
    ConnectionBrokenError,
    Responder,
)


class StreamOutput:
    """Gives a caller the events of a stream, each once, and times them.

    Args:
        call: The caller's.
        route: The call's, with its targets.
    """

    def __init__(self, call: Call, route: CallRoute) -> None:
        self._call = call
        self._route = route
        self._is_framed = True
        self._given_s: float | None = None
        self.progress = StreamProgress(last_id=call.last_event_id)
        #: Whether the caller has the answer's head.
        self.is_started = False
        self.first_event_s: float | None = None
        #: The longest pause between events that were given to the caller.
        self.longest_gap_s = 0.0

    @property
    def is_in_target(self) -> bool:
        """Whether the events so far came within the route's targets."""
        if self.first_event_s is None:
            return False
        gap_target_s = self._route.gap_target_s or math.inf
        is_first_timely = self.first_event_s <= self._route.target_latency_s
        return is_first_timely and self.longest_gap_s <= gap_target_s

    async def pass_on(
        self,
        parts: AsyncIterator[bytes],
        answer: Answer,
        responder: Responder,
        *,
        on_event: Callable[[], None] = lambda: None,
    ) -> None:
        """Give whole events to the caller as they come.

        Args:
            parts: The answer's body.
            answer: Its head.
            responder: Answers the caller.
            on_event: Told before an event is given that the caller lacks.

        Raises:
            AnswerLostError: The stream broke off, or is empty and its end can't be told
                from a cut.
            SpoiltStreamError: Its bytes are not the next events.
            TimeoutError: It was silent for too long.
        """
        splitter = EventSplitter()
        run = self.progress.begin_run()
        has_event = False
        async for part in parts:
            wanted: list[bytes] = []
            try:
                for event in splitter.feed(part):
                    has_event = True
                    if run.take(event):
                        on_event()
                        wanted.append(event.data)
            finally:
                # What was counted as taken has to reach the caller, also when
                # a later event of the same bytes spoils the stream.
                if wanted:
                    await self._give(b"".join(wanted), answer, responder)
        if not answer.is_framed and (splitter.has_rest or not has_event):
            msg = "the connection ended before a whole event"
            raise ConnectionBrokenError(msg)
        if splitter.has_rest:
            msg = "the stream ended within an event"
            raise SpoiltStreamError(msg)
        if not self.is_started:
            await self._start(answer, responder)
        if self._is_framed and not answer.is_framed:
            msg = "the stream's end can't be told from a cut"
            raise AnswerLostError(msg)

    async def _give(self, data: bytes, answer: Answer, responder: Responder) -> None:
        """Give events to the caller, after the head."""
        now_s = clocks.now_s()
        if self._given_s is not None:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self._given_s)
        self._given_s = now_s
        if not self.is_started:
            self.first_event_s = now_s - self._call.received_s
            await self._start(answer, responder)
        await responder.write(data)

    async def _start(self, answer: Answer, responder: Responder) -> None:
        """Begin the answer as its first run has begun."""
        self.is_started = True
        self._is_framed = answer.is_framed
        await responder.start(answer.status, answer.headers, is_framed=answer.is_framed)
