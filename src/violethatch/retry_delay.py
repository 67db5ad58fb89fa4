# SPDX-License-Identifier: MIT
"""Computes the retry delay of rejected callers.

Load pattern: a group of runners fails or a zone is partitioned, and many instances
reject many callers within the same seconds.  With the same short delay for all, the
callers retry at once, find the runners still unavailable, and have used up their retry;
or they retry just as the first capacity is available, and exhaust it immediately.

The delay of a caller is therefore the expected duration of the cause, with jitter.  The
rejection itself is not delayed.

.. versionadded:: 26.2.0
"""

from __future__ import annotations

import random


#: The minimum delay, in seconds: if runners are only full, some requests end by then.
MIN_DELAY_S = 0.5
#: The maximum delay without a requested back-off, in seconds: by then the list of
#: servers no longer has runners that are permanently lost (it removes them after three
#: missed heartbeats), and the end of a cooldown is an estimate.
MAX_DELAY_S = 3.0
#: The maximum jitter as a fraction of the delay.
_JITTER_FRACTION = 0.5


def retry_delay_s(
    blocked_s: float, *, requested_backoff_s: float = 0.0, rng: random.Random
) -> float:
    """Return the retry delay of a rejected caller, in seconds.

    Args:
        blocked_s: The expected duration of the cause, in seconds.
        requested_backoff_s: The remaining back-off that servers requested, in
            seconds: it is not an estimate, and a caller that retries earlier is
            rejected again.
        rng: The source of the jitter.

    .. versionadded:: 26.2.0
    """
    estimated_s = min(MAX_DELAY_S, max(MIN_DELAY_S, blocked_s))
    jitter_s = _JITTER_FRACTION * min(
        MAX_DELAY_S, max(estimated_s, requested_backoff_s)
    )
    return round(max(estimated_s, requested_backoff_s) + jitter_s * rng.random(), 2)
