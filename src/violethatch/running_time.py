# SPDX-License-Identifier: MIT
"""Time limits that count only while the event loop runs.

A process that is stopped, throttled or busy with one long step reads nothing
meanwhile.  Afterwards its timers are due before the bytes that have arrived are
read, so that a plain timeout takes its own standstill for the other side's silence.

Limits on what was promised to others, such as leases and deadlines, go by
`clocks` instead: they run out whether this process runs or not.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

import asyncio
import contextlib

from collections.abc import AsyncIterator, Callable, Collection
from typing import Any

from . import clocks


#: A timer that fires later than this shows that the loop stood still, in seconds:
#: loops round their timers to 0.001 s.
LATE_S = 0.003
#: The part of a step that a busy loop's timers are usually late by: that time counts.
_USUAL_LATENESS = 0.4
#: A limit is counted in steps: a standstill costs one step at most, in seconds.
_MAX_STEP_S = 0.05
_MIN_STEP_S = 0.01
_STEPS = 4
#: The last step is short, in seconds: a standstill longer than that is seen in it, or
#: ends before it.
_LAST_STEP_S = 0.004
#: The last step of a limit that a longer one has used up, in seconds: a standstill in
#: that one may have ended just before its timer was due.
_CLOSING_STEP_S = 0.001
#: Steps that are granted after standstills at the limit's end: what has arrived
#: meanwhile is read first.  Bounded, as a loop that is overloaded is always late.
_MAX_EXTRA_STEPS = 3
#: What is left of a limit that is over, in seconds: less than timers can wait for.
_NOTHING_S = 0.0005


class Allowance:
    """Counts a limit down by steps of running time.

    Args:
        limit_s: The limit, in seconds.

    .. versionadded:: 26.7.0
    """

    def __init__(self, limit_s: float) -> None:
        self._left_s = limit_s
        self._max_step_s = min(max(limit_s / _STEPS, _MIN_STEP_S), _MAX_STEP_S)
        self._extra_steps = _MAX_EXTRA_STEPS
        self._began_s = 0.0
        self._step_s = 0.0
        self._is_last = False

    def begin_step(self) -> float:
        """Begin a step; return how long to wait for, in seconds."""
        before_last_s = self._left_s - _LAST_STEP_S
        self._is_last = before_last_s < _NOTHING_S
        step_s = min(self._max_step_s, before_last_s)
        if self._is_last:
            step_s = self._left_s
        self._step_s = max(0.0, step_s)
        self._began_s = clocks.now_s()
        return self._step_s

    def end_step(self) -> bool:
        """End a step whose time is over; tell whether the limit is."""
        took_s = clocks.now_s() - self._began_s
        is_late = took_s > self._step_s + LATE_S
        # Timers may come early; half of a step is charged at least, so that all ends.
        usual_s = max(LATE_S, self._step_s * _USUAL_LATENESS)
        is_usual = took_s <= self._step_s + usual_s
        self._left_s -= max(took_s, self._step_s / 2) if is_usual else self._step_s
        if is_late and self._left_s < _MIN_STEP_S and self._extra_steps:
            self._extra_steps -= 1
            self._left_s = _MIN_STEP_S
        if not self._is_last:
            self._left_s = max(self._left_s, _CLOSING_STEP_S)
        return self._left_s < _NOTHING_S


async def wait(
    futures: Collection[asyncio.Future[Any]],
    *,
    limit_s: float,
    return_when: str = asyncio.FIRST_COMPLETED,
) -> bool:
    """Wait for futures; tell whether that came before the limit.

    Args:
        futures: What to wait for.  They go on if the limit is over first.
        limit_s: The limit in running time, in seconds.
        return_when: As for `asyncio.wait`.

    .. versionadded:: 26.7.0
    """
    allowance = Allowance(limit_s)
    while True:
        _, pending = await asyncio.wait(
            futures, timeout=allowance.begin_step(), return_when=return_when
        )
        is_enough = return_when == asyncio.FIRST_COMPLETED
        if not pending or (is_enough and len(pending) < len(futures)):
            return True
        if allowance.end_step():
            return False


async def wait_unasked(
    futures: Collection[asyncio.Future[Any]], *, limit_s: float
) -> bool:
    """Wait for what others send unasked; tell whether one future is done.

    What arrives during a standstill is there after it, so that only a standstill at
    the limit's end counts: what has arrived meanwhile is read first.

    Args:
        futures: What to wait for.  They go on if the limit is over first.
        limit_s: The limit, in seconds.

    .. versionadded:: 26.7.0
    """
    began_s = clocks.now_s()
    done, _ = await asyncio.wait(
        futures, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
    )
    if done:
        return True
    if clocks.now_s() - began_s - limit_s <= LATE_S:
        return False
    return await wait(futures, limit_s=_MIN_STEP_S)


@contextlib.asynccontextmanager
async def timeout(limit_s: float) -> AsyncIterator[None]:
    """Limit the time that a block takes.

    Args:
        limit_s: The limit in running time, in seconds.

    Raises:
        TimeoutError: The limit is over.

    .. versionadded:: 26.7.0
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:
        ticker = Ticker(loop, limit_s, lambda: scope.reschedule(loop.time()))
        try:
            yield
        finally:
            ticker.cancel()


def call_later(limit_s: float, callback: Callable[[], None]) -> Ticker:
    """Call back after a time that counts only while the event loop runs.

    Args:
        limit_s: The time, in seconds.
        callback: What to call.

    .. versionadded:: 26.7.0
    """
    return Ticker(asyncio.get_running_loop(), limit_s, callback)


class Ticker:
    """Calls back once an allowance is used up.

    .. versionadded:: 26.7.0
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit_s: float,
        on_over: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._allowance = Allowance(limit_s)
        self._on_over = on_over
        self._handle = self._schedule()

    def cancel(self) -> None:
        """Stop counting."""
        self._handle.cancel()
        self._on_over = _ignore

    def _schedule(self) -> asyncio.TimerHandle:
        """Schedule the end of the next step."""
        return self._loop.call_later(self._allowance.begin_step(), self._end_step)

    def _end_step(self) -> None:
        """End a step, and begin the next one unless the limit is over."""
        if not self._allowance.end_step():
            self._handle = self._schedule()
            return
        # What it calls back often holds the ticker: that would keep requests, with
        # their bodies, until the next garbage collection.
        on_over, self._on_over = self._on_over, _ignore
        on_over()


def _ignore() -> None:
    """Do nothing."""
