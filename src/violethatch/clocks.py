# SPDX-License-Identifier: MIT
"""The clock by which everything waits, ages and is owed.

A machine may be suspended for seconds.  `time.monotonic` doesn't count that time; what
is promised to others goes on meanwhile: a lease runs out, keys are taken away, a caller
stops waiting.  So all ages and deadlines go by a clock that counts a suspension.  The
event loop's timers don't count it: those that were due meanwhile fire one after another
afterwards, not all at once.

.. versionadded:: 26.4.0
"""

from __future__ import annotations

import time


#: Linux has a steady clock that counts suspensions; elsewhere there is none.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now_s() -> float:
    """Return the steady time, suspensions included, in seconds.

    .. versionadded:: 26.4.0
    """
    return time.clock_gettime(_CLOCK)


def wall_s() -> float:
    """Return the time of day, in seconds since 1970: only to read others' dates.

    It may jump, so that nothing waits by it.

    .. versionadded:: 26.5.0
    """
    return time.time()


def left_s(until_s: float) -> float:
    """Return how long it is until a time of this clock, in seconds; never below 0.

    .. versionadded:: 26.4.0
    """
    return max(0.0, until_s - now_s())
