# SPDX-License-Identifier: MIT
"""Long work in slices, between which the event loop runs.

The work is a generator that yields between short steps and returns its result.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

import asyncio
import contextlib

from collections.abc import Generator, Iterator
from typing import TypeVar

from . import clocks


#: How long steps may follow each other without a pause, in seconds.
SLICE_S = 0.002

T = TypeVar("T")
#: Work in short steps.
Steps = Generator[None, None, T]


def run_to_completion(steps: Steps[T]) -> T:
    """Run work at one go; return its result.

    .. versionadded:: 26.7.0
    """
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: T = end.value
            return result


class Slices:
    """Runs work in slices, and notes how long these were.

    Attributes:
        count: How many there were.
        max_slice_s: How long the longest one was, in seconds.

    .. versionadded:: 26.7.0
    """

    def __init__(self) -> None:
        self.count = 0
        self.max_slice_s = 0.0
        self._began_s = clocks.now_s()

    @property
    def elapsed_s(self) -> float:
        """The time since the work was begun, in seconds."""
        return clocks.now_s() - self._began_s

    def run_to_completion(self, steps: Steps[T]) -> T:
        """Run work at one go; return its result."""
        with self.unsliced():
            return run_to_completion(steps)

    @contextlib.contextmanager
    def unsliced(self) -> Iterator[None]:
        """Count what is done at one go as a slice."""
        began_s = clocks.now_s()
        try:
            yield
        finally:
            self._note(clocks.now_s() - began_s)

    async def run(self, steps: Steps[T]) -> T:
        """Run work; return its result."""
        while True:
            began_s = clocks.now_s()
            try:
                next(steps)
                while clocks.now_s() - began_s < SLICE_S:
                    next(steps)
            except StopIteration as end:
                result: T = end.value
                return result
            finally:
                self._note(clocks.now_s() - began_s)
            await asyncio.sleep(0)

    def _note(self, held_s: float) -> None:
        """Count a slice."""
        self.count += 1
        self.max_slice_s = max(self.max_slice_s, held_s)
