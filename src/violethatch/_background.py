# SPDX-License-Identifier: MIT
"""Background work that goes on after unexpected errors.

An error that all instances meet, and meet again after a start, must end none of them:
the last good result stays in force, and the work is tried again after a growing pause.
"""

from __future__ import annotations

import asyncio
import random

from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from . import clocks, events
from .failure_pauses import FailurePauses


#: Range of the factor by which pauses vary, so that instances don't repeat the work
#: simultaneously.
_PAUSE_FACTORS = (0.75, 1.25)


class BackgroundTask(NamedTuple):
    """Work that runs until the process ends.

    Attributes:
        name: What log lines and metrics call it.
        run: Starts it, and again after an error.
    """

    name: str
    run: Callable[[], Coroutine[Any, Any, None]]


class FailureGuard:
    """Contains, records and paces unexpected errors of repeated work."""

    def __init__(self) -> None:
        #: Called with the name of the work that failed.
        self.on_failure: Callable[[str], None] = lambda _work: None
        self._pauses = FailurePauses()

    def is_paused(self, work: str) -> bool:
        """Return whether some work has to wait after a failure."""
        return self._pauses.is_paused(work, now_s=clocks.now_s())

    @contextmanager
    def contain(self, work: str) -> Iterator[None]:
        """Record an unexpected error within, and continue after the block."""
        try:
            yield
        except Exception as error:
            self.record(work, error)

    def record(self, work: str, error: Exception) -> float:
        """Log and count an error; return the pause that follows it, in seconds."""
        pause_s = self._pauses.record_failure(work, now_s=clocks.now_s())
        self.on_failure(work)
        events.log(
            events.TASK_FAILED, task=work, error=repr(error), retry_after_s=pause_s
        )
        return pause_s

    async def keep_running(self, task: BackgroundTask) -> None:
        """Run a task to its end, and again after each unexpected error."""
        while True:
            try:
                await task.run()
            except Exception as error:
                pause_s = self.record(task.name, error)
                await asyncio.sleep(pause_s * random.uniform(*_PAUSE_FACTORS))
            else:
                return


def retrieve_error(future: asyncio.Future[Any]) -> None:
    """Mark the error of a future as seen that nobody waits for any more."""
    if not future.cancelled():
        future.exception()
