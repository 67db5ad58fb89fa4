# SPDX-License-Identifier: MIT
"""Estimates a runner's load from delayed reports.

An instance has an exact count of its own streams, and the other instances'
only from the runner's load reports, which are out of date on arrival.
Subtracting from a report the own streams *at the time of the report* gives an
estimate of the other instances' streams; the current own streams are added.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import collections


#: The growth of the minimum step time per observation, so that it can rise again.
_MIN_STEP_GROWTH = 1.01


class LoadView:
    """One runner's load from the point of view of one instance.

    Args:
        report_lag_s: The assumed age of reports, in seconds.

    .. versionadded:: 26.1.0
    """

    __slots__ = ("_history", "others", "own", "quickest_s", "report_lag_s")

    def __init__(self, *, report_lag_s: float = 0.2) -> None:
        self.report_lag_s = report_lag_s
        #: This instance's streams on the runner.
        self.own = 0
        #: Other instances' streams, according to the latest report.
        self.others = 0
        #: The recent minimum time of a single-position step, in seconds.
        self.quickest_s = 0.0
        self._history: collections.deque[tuple[float, int]] = collections.deque()

    def opened(self, *, now_s: float) -> None:
        """Add one of this instance's streams."""
        self.own += 1
        self._history.append((now_s, self.own))

    def closed(self, *, now_s: float) -> None:
        """Remove one of this instance's streams."""
        self.own -= 1
        self._history.append((now_s, self.own))

    def reported(self, active: int, *, now_s: float) -> None:
        """Apply a report of all instances' streams that arrives at *now_s*."""
        reported_s = now_s - self.report_lag_s
        own_at_report = self._own_at(reported_s)
        self.others = max(0, active - own_at_report)

    def observed(self, elapsed_s: float) -> None:
        """Update the minimum with a single-position step of *elapsed_s*."""
        if self.quickest_s == 0.0:
            self.quickest_s = elapsed_s
            return
        self.quickest_s = min(elapsed_s, self.quickest_s * _MIN_STEP_GROWTH)

    def _own_at(self, time_s: float) -> int:
        """Return the own streams at a past time; discard older entries."""
        while len(self._history) > 1 and self._history[1][0] <= time_s:
            self._history.popleft()
        if not self._history:
            return self.own
        first_s, own = self._history[0]
        # Before the oldest entry the count differed by a stream; assume one fewer.
        return own if first_s <= time_s else max(0, own - 1)
