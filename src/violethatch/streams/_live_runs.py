# SPDX-License-Identifier: MIT
"""The runs of one stream that are under way.

There is one, and another one beside it while it is silent.  The one that gives the next
event is kept, and the others are broken off.
"""

from __future__ import annotations

import asyncio
import enum

from collections.abc import Callable, Coroutine, Iterator
from typing import NamedTuple, Protocol


class RunEnd(enum.Enum):
    """How one run of a stream ended."""

    WHOLE = "whole"
    #: Nothing has run.
    REFUSED = "refused"
    #: Nothing was sent: the first runner has come to want nothing meanwhile.
    KEPT_BACK = "kept_back"
    #: It broke off, or its time was over.
    LOST = "lost"
    #: The runner's own failure was passed on.
    PASSED_ON = "passed_on"


class LiveRun(Protocol):
    """A run that is under way.

    Attributes:
        is_again: Whether a retry was paid for it.
        is_counted: Whether it counts as a run that its stream has had.
        suspects: The ids of runners that another run should avoid.
        on_silent: Told when it begins to be silent.
    """

    is_again: bool
    is_counted: bool
    suspects: frozenset[str]
    on_silent: Callable[[], None]

    @property
    def is_silent(self) -> bool:
        """Whether another run may begin beside it."""

    def replaced(self) -> None:
        """Note that another run of the stream gives its events instead."""


class RunOutcome(NamedTuple):
    """How a run ended, and the status that its caller was given, if any."""

    run: LiveRun
    end: RunEnd
    status: int = 0


class LiveRuns:
    """Keeps the runs of one stream that are under way."""

    def __init__(self) -> None:
        self._runs: dict[asyncio.Task[RunOutcome], LiveRun] = {}
        self._replaced: list[asyncio.Task[RunOutcome]] = []
        self._has_changed = asyncio.Event()

    def __len__(self) -> int:
        return len(self._runs)

    def __iter__(self) -> Iterator[LiveRun]:
        return iter(self._runs.values())

    @property
    def are_silent(self) -> bool:
        """Whether no run gives events."""
        return all(run.is_silent for run in self._runs.values())

    @property
    def uncounted(self) -> int:
        """Runs that don't count yet as runs that their stream has had."""
        return sum(not run.is_counted for run in self._runs.values())

    @property
    def suspects(self) -> frozenset[str]:
        """The ids of runners that another run should avoid."""
        found = (run.suspects for run in self._runs.values() if run.is_silent)
        return frozenset().union(*found)

    def begin(self, run: LiveRun, serving: Coroutine[None, None, RunOutcome]) -> None:
        """Begin a run beside those under way.

        Args:
            run: The run.
            serving: Sends it, and passes its events on.
        """
        run.on_silent = self._has_changed.set
        self._runs[asyncio.create_task(serving)] = run

    def keep_only(self, run: LiveRun) -> None:
        """End the other runs, since this one gives an event."""
        if len(self._runs) == 1:
            return
        for task, other in list(self._runs.items()):
            if other is not run:
                other.replaced()
                task.cancel()
                self._replaced.append(task)
                del self._runs[task]

    async def next_outcome(self, *, within_s: float | None) -> RunOutcome | None:
        """Return how a run has ended, once one has.

        Args:
            within_s: How long to wait at most, in seconds, if there is a limit.

        Returns:
            None if a run has gone silent first, or the time is over.
        """
        self._has_changed.clear()
        changing = asyncio.ensure_future(self._has_changed.wait())
        try:
            await asyncio.wait(
                (*self._runs, changing),
                timeout=within_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            changing.cancel()
        ended = next((task for task in self._runs if task.done()), None)
        if ended is None:
            return None
        del self._runs[ended]
        return ended.result()

    async def close(self) -> None:
        """End all runs; return once their answers are closed."""
        tasks = [*self._runs, *self._replaced]
        self._runs.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
