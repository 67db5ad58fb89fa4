# SPDX-License-Identifier: MIT
"""An instance's part of the pipe between availability zones.

All prompts that cross it pass in turn, so that some too many make all of them
late.  Instances don't know of each other's crossings: each lets a request cross
with the probability that the pipe time it has earned since its last try covers
what the request costs if all instances do the same.  Together they then stay
below what the pipe carries, also when a lost runner sends everybody across at
the same moment.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import random


#: The most pipe time that can be earned, in ms: about what waits for the pipe when
#: all try at once; the sites' aim for a first event is 500 ms.
_MOST_EARNED_MS = 400.0
_MS_PER_S = 1000.0


class PipeShare:
    """Decides which of an instance's requests may cross.

    Args:
        rng: Draws.

    .. versionadded:: 26.1.0
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tried_s: float | None = None

    def may_cross(self, cost_ms: float, *, now_s: float) -> bool:
        """Tell whether a request may cross now.

        Args:
            cost_ms: How long the pipe is taken up if each instance lets a request
                like this one cross, in ms.
            now_s: The current monotonic time, in seconds.
        """
        earned_ms = _MOST_EARNED_MS
        if self._tried_s is not None:
            since_ms = (now_s - self._tried_s) * _MS_PER_S
            earned_ms = min(_MOST_EARNED_MS, since_ms)
        self._tried_s = now_s
        return self._rng.random() * cost_ms <= earned_ms
