# SPDX-License-Identifier: MIT
"""An instance's share of the pipe, the link between availability zones.

Prompts that cross the pipe are transferred one after another, so that a slight overload
delays all of them. Instances have no information about each other's transfers: each
lets a request cross with the probability that the pipe time it has accrued since its
last attempt covers the request's cost if all instances do the same. Together they stay
below the pipe's capacity, even if the loss of a runner makes all of them cross at once.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import random


#: Maximum pipe time that can be accrued, in ms. It is about the queue that forms if all
#: instances cross at once, and below the sites' target of 500 ms for a first event.
_MAX_CREDIT_MS = 400.0
_MS_PER_S = 1000.0


class PipeShare:
    """Decides which of an instance's requests may cross the pipe.

    Args:
        rng: Draws the random decisions.

    .. versionadded:: 26.1.0
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._last_attempt_s: float | None = None

    def may_cross(self, cost_ms: float, *, now_s: float) -> bool:
        """Return whether a request may cross now.

        Args:
            cost_ms: For how long the pipe is occupied if each instance lets a request
                like this one cross, in ms.
            now_s: The current monotonic time, in seconds.
        """
        credit_ms = _MAX_CREDIT_MS
        if self._last_attempt_s is not None:
            elapsed_ms = (now_s - self._last_attempt_s) * _MS_PER_S
            credit_ms = min(_MAX_CREDIT_MS, elapsed_ms)
        self._last_attempt_s = now_s
        return self._rng.random() * cost_ms <= credit_ms
