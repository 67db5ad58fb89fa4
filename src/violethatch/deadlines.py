# SPDX-License-Identifier: MIT
"""Whether a request's time is over.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

from . import clocks


#: How much sooner than the clock says an event loop may end a timer, in seconds: it
#: counts in whole milliseconds.
_TIMER_GRAIN_S = 0.002


def is_over(deadline_s: float) -> bool:
    """Tell whether a deadline has passed, as the event loop's timers count it.

    Args:
        deadline_s: The deadline, in the seconds of `clocks.now_s`.

    .. versionadded:: 26.7.0
    """
    return clocks.now_s() >= deadline_s - _TIMER_GRAIN_S
