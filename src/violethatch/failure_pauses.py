# SPDX-License-Identifier: MIT
"""Growing pauses after unexpected errors of repeated work.

Load pattern: the same input makes the same work fail on every instance and after each
start.  Pauses double from a fraction of a second up to a limit, so that a passing error
costs little and a permanent one costs no processor time that calls need.

.. versionadded:: 26.8.0
"""

from __future__ import annotations

from typing import NamedTuple


__all__ = ["FIRST_PAUSE_S", "MAX_PAUSE_S", "FailurePauses"]

#: The pause after a first failure, in seconds.
FIRST_PAUSE_S = 0.5
#: The longest pause, in seconds: what the work depends on may have been mended.
MAX_PAUSE_S = 10.0
#: Doublings after which the pause is at its limit for sure.
_MAX_DOUBLINGS = 10
#: For how long after a pause work has to go well to count as mended, in seconds.
_RECOVERED_AFTER_S = 30.0


class _Failure(NamedTuple):
    """The latest failure of some work."""

    in_a_row: int
    until_s: float


class FailurePauses:
    """Pauses of several works, by name.

    .. versionadded:: 26.8.0
    """

    def __init__(self) -> None:
        self._failures: dict[str, _Failure] = {}

    def record_failure(self, work: str, *, now_s: float) -> float:
        """Record a failure; return the pause that follows it, in seconds.

        Args:
            work: The name of the work.
            now_s: The current monotonic time, in seconds.
        """
        before = self._failures.get(work)
        in_a_row = 1
        if before is not None and now_s - before.until_s < _RECOVERED_AFTER_S:
            in_a_row = before.in_a_row + 1
        doublings = min(in_a_row - 1, _MAX_DOUBLINGS)
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0**doublings)
        self._failures[work] = _Failure(in_a_row, now_s + pause_s)
        return pause_s

    def is_paused(self, work: str, *, now_s: float) -> bool:
        """Return whether some work has to wait after a failure."""
        failure = self._failures.get(work)
        return failure is not None and now_s < failure.until_s
