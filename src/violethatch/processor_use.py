# SPDX-License-Identifier: MIT
"""How busy the processors are that this process may run on.

.. versionadded:: 26.9.0
"""

from __future__ import annotations

import os

from typing import NamedTuple, Protocol


__all__ = ["BusyMeter", "ProcessorUse"]

_STAT = "/proc/stat"
#: The columns of a processor's line that count as idle: idle, and waiting for a disk
#: (proc_stat(5)).
_IDLE_COLUMNS = (3, 4)
#: The columns that add up to all of a processor's time; guests are part of them.
_TIME_COLUMNS = 8


class BusyMeter(Protocol):
    """Measures how busy processors are."""

    def busy_fraction(self) -> float | None:
        """Return the use since the last call, from 0 to 1; None if it is not known."""


class _Ticks(NamedTuple):
    """Times that the kernel has counted, in its clock ticks."""

    idle: int
    total: int


class ProcessorUse:
    """The use of the processors that this process may run on, by all processes.

    Args:
        stat: The file with the kernel's counters.
    """

    def __init__(self, *, stat: str = _STAT) -> None:
        self._stat = stat
        self._names = {b"cpu%d" % number for number in os.sched_getaffinity(0)}
        self._last = self._read()

    def busy_fraction(self) -> float | None:
        """Return the use since the last call, from 0 to 1; None if it is not known."""
        last, self._last = self._last, self._read()
        total = self._last.total - last.total
        if total <= 0:
            return None
        idle = self._last.idle - last.idle
        return min(1.0, max(0.0, 1.0 - idle / total))

    def _read(self) -> _Ticks:
        """Return the times of all these processors; zeros if they can't be read."""
        idle = total = 0
        try:
            with open(self._stat, "rb") as lines:
                for line in lines:
                    name, *columns = line.split()
                    if not name.startswith(b"cpu"):
                        break
                    if name in self._names:
                        ticks = [int(column) for column in columns[:_TIME_COLUMNS]]
                        idle += sum(ticks[column] for column in _IDLE_COLUMNS)
                        total += sum(ticks)
        except (OSError, ValueError, IndexError):
            return _Ticks(0, 0)
        return _Ticks(idle, total)
