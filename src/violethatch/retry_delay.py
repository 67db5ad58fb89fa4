# SPDX-License-Identifier: MIT
"""When callers who were turned away should come back.

Load pattern: a group of runners goes dark or a zone is cut, and many instances
refuse many callers in the same seconds.  Told one and the same short time, all come
back together, find the runners still gone, and have spent the retry that they have;
or they come back together when the first room does, and fill it at once.

A caller is therefore told when what blocks it is thought to end, and the times are
spread.  Nothing is held back for that: the answer goes out at once.

.. versionadded:: 26.2.0
"""

from __future__ import annotations

import random


#: The least time, in seconds: where runners are only full, some requests end by then.
LEAST_S = 0.5
#: The most, in seconds: after as long the list tells of runners that are gone for
#: good (it drops them after three missed heartbeats), and the end of a rest is a guess.
MOST_S = 3.0
#: Over which part of the time on top of it callers are spread.
_SPREAD_PART = 0.5


def retry_delay_s(
    blocked_s: float, *, requested_backoff_s: float = 0.0, rng: random.Random
) -> float:
    """Return what to tell a caller who was turned away, in seconds.

    Args:
        blocked_s: How long what blocks the caller is thought to last, in seconds.
        requested_backoff_s: Until when servers have asked for rest, in seconds: that is
            no guess, so that whoever comes back sooner is turned away again.
        rng: Spreads callers.

    .. versionadded:: 26.2.0
    """
    guessed_s = min(MOST_S, max(LEAST_S, blocked_s))
    spread_s = _SPREAD_PART * min(MOST_S, max(guessed_s, requested_backoff_s))
    return round(max(guessed_s, requested_backoff_s) + spread_s * rng.random(), 2)
