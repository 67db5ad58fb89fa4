# SPDX-License-Identifier: MIT
"""Time-sliced execution of long computations on the event loop.

A computation is a generator that yields between short steps and returns its result.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

import asyncio
import contextlib

from collections.abc import Generator, Iterator
from typing import TypeVar

from . import clocks


#: Max time between yields to the event loop, in seconds.
SLICE_S = 0.002

T = TypeVar("T")
#: A computation in short steps.
Steps = Generator[None, None, T]


def run_to_completion(steps: Steps[T]) -> T:
    """Run a computation without yielding to the event loop; return its result.

    .. versionadded:: 26.7.0
    """
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: T = stop.value
            return result


class Slices:
    """Runs computations in slices, and records their durations.

    Attributes:
        count: Number of slices.
        max_slice_s: Duration of the longest slice, in seconds.

    .. versionadded:: 26.7.0
    """

    def __init__(self) -> None:
        self.count = 0
        self.max_slice_s = 0.0
        self._started_s = clocks.now_s()

    @property
    def elapsed_s(self) -> float:
        """Time since creation, in seconds."""
        return clocks.now_s() - self._started_s

    def run_to_completion(self, steps: Steps[T]) -> T:
        """Run a computation without yielding to the event loop; return its result."""
        with self.unsliced():
            return run_to_completion(steps)

    @contextlib.contextmanager
    def unsliced(self) -> Iterator[None]:
        """Record the block as a single slice."""
        started_s = clocks.now_s()
        try:
            yield
        finally:
            self._record(clocks.now_s() - started_s)

    async def run(self, steps: Steps[T]) -> T:
        """Run a computation in slices; return its result."""
        while True:
            started_s = clocks.now_s()
            try:
                next(steps)
                while clocks.now_s() - started_s < SLICE_S:
                    next(steps)
            except StopIteration as stop:
                result: T = stop.value
                return result
            finally:
                self._record(clocks.now_s() - started_s)
            await asyncio.sleep(0)

    def _record(self, duration_s: float) -> None:
        """Record a slice."""
        self.count += 1
        self.max_slice_s = max(self.max_slice_s, duration_s)
