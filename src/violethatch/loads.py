# SPDX-License-Identifier: MIT
"""What an instance knows of a runner's load, from sources that lag.

An instance knows its own streams exactly and the others' only from the
runner's load reports, which are old when they come.  Taking away from a
report the own streams *of the time it was made* leaves an estimate of what
the other instances have there; the own streams of now are added to that.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import collections


#: How much slower the remembered quickest step grows, per observation.
_QUICKEST_DECAY = 1.01


class LoadView:
    """One runner's load, as one instance sees it.

    Args:
        report_lag_s: How old reports are taken to be, in seconds.

    .. versionadded:: 26.1.0
    """

    __slots__ = ("_history", "others", "own", "quickest_s", "report_lag_s")

    def __init__(self, *, report_lag_s: float = 0.2) -> None:
        self.report_lag_s = report_lag_s
        #: This instance's streams on the runner.
        self.own = 0
        #: Other instances' streams, by the latest report.
        self.others = 0
        #: The quickest single-position step of late, in seconds.
        self.quickest_s = 0.0
        self._history: collections.deque[tuple[float, int]] = collections.deque()

    def opened(self, *, now_s: float) -> None:
        """Count one of this instance's streams in."""
        self.own += 1
        self._history.append((now_s, self.own))

    def closed(self, *, now_s: float) -> None:
        """Count one of this instance's streams out."""
        self.own -= 1
        self._history.append((now_s, self.own))

    def reported(self, active: int, *, now_s: float) -> None:
        """Take a report of all instances' streams that arrives at *now_s*."""
        made_s = now_s - self.report_lag_s
        own_then = self._own_at(made_s)
        self.others = max(0, active - own_then)

    def observed(self, elapsed_s: float) -> None:
        """Learn from a single-position step that took *elapsed_s*."""
        if self.quickest_s == 0.0:
            self.quickest_s = elapsed_s
            return
        self.quickest_s = min(elapsed_s, self.quickest_s * _QUICKEST_DECAY)

    def _own_at(self, time_s: float) -> int:
        """Return the own streams at a past time; forget what is older."""
        while len(self._history) > 1 and self._history[1][0] <= time_s:
            self._history.popleft()
        if not self._history:
            return self.own
        first_s, own = self._history[0]
        # Before the oldest entry the count differed; the oldest is closest.
        return own if first_s <= time_s else max(0, own - 1)
