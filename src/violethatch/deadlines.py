# SPDX-License-Identifier: MIT
"""Deadlines of requests, at which what has arrived by then is read first.

A deadline is a promise to the caller: it passes whether this process runs or not.
After a standstill its timer is due before the bytes are read that arrived meanwhile,
and the answer may be among them.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

import asyncio
import contextlib

from collections.abc import AsyncIterator, Callable

from . import clocks
from .running_time import LATE_S


#: How much sooner than the clock says an event loop may end a timer, in seconds: it
#: counts in whole milliseconds.
_TIMER_GRAIN_S = 0.002
#: How long the reading goes on after a standstill, in seconds.
_READ_S = 0.01
#: How often that may follow, as a loop that is overloaded is always late.
_MAX_READS = 3


def is_over(deadline_s: float) -> bool:
    """Tell whether a deadline has passed, as the event loop's timers count it.

    Args:
        deadline_s: The deadline, in the seconds of `clocks.now_s`.

    .. versionadded:: 26.7.0
    """
    return clocks.now_s() >= deadline_s - _TIMER_GRAIN_S


@contextlib.asynccontextmanager
async def until(deadline_s: float) -> AsyncIterator[None]:
    """Let a block take until a deadline.

    Args:
        deadline_s: The deadline, in the seconds of `clocks.now_s`.

    Raises:
        TimeoutError: The deadline has passed, and what had arrived by then was read.

    .. versionadded:: 26.7.0
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:
        alarm = _Alarm(loop, deadline_s, lambda: scope.reschedule(loop.time()))
        try:
            yield
        finally:
            alarm.cancel()


class _Alarm:
    """Calls back at a deadline, or soon after a standstill that it fell into."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadline_s: float,
        on_over: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._deadline_s = deadline_s
        self._on_over = on_over
        self._reads = 0
        self._schedule(clocks.left_s(deadline_s))

    def cancel(self) -> None:
        """Call back no more."""
        self._handle.cancel()

    def _schedule(self, wait_s: float) -> None:
        """Look again after a time."""
        self._due_s = clocks.now_s() + wait_s
        self._handle = self._loop.call_later(wait_s, self._look)

    def _look(self) -> None:
        """Call back, unless there may be something to read first."""
        stood_still = clocks.now_s() - self._due_s > LATE_S
        if not is_over(self._deadline_s):
            self._schedule(clocks.left_s(self._deadline_s))
        elif stood_still and self._reads < _MAX_READS:
            self._reads += 1
            self._schedule(_READ_S)
        else:
            self._on_over()
