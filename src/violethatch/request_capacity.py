# SPDX-License-Identifier: MIT
"""Decides whether an instance is ready for more connections of callers.

Load pattern: a load balancer may route most new connections of a zone to a single
instance for some seconds, while the others have capacity; it stops once that instance
is not ready.  A full instance therefore reports itself as not ready before it has to
reject requests, and accepts no connection at its limit: callers whose request was not
read retry elsewhere at once.  If all instances are full, this would only send callers
from one to the next, so each stays ready and rejects the excess with a Retry-After.

.. versionadded:: 26.7.0
"""

from __future__ import annotations


#: Fractions of the concurrent request limit at which an instance becomes full, and
#: below which it is ready again; the difference prevents flapping.
_FULL_FRACTION = 0.75
_READY_FRACTION = 0.5
#: An instance has a skewed load above this multiple of the other instances' mean.
_SKEW_RATIO = 2.0


class RequestCapacity:
    """Readiness of one instance, with hysteresis between checks.

    .. versionadded:: 26.7.0
    """

    def __init__(self) -> None:
        self._is_full = False

    def check(
        self, in_flight: int, *, max_requests: int, mean_of_others: float | None
    ) -> bool:
        """Return whether the instance is ready for new connections.

        Args:
            in_flight: Requests in flight at this instance.
            max_requests: The limit on concurrent requests.
            mean_of_others: The mean number of requests in flight at the other
                instances, or None if unknown.
        """
        fraction = _READY_FRACTION if self._is_full else _FULL_FRACTION
        is_skewed = _is_skewed(in_flight, mean_of_others)
        self._is_full = is_skewed and in_flight >= fraction * max_requests
        return not self._is_full


def may_connect(
    in_flight: int, *, max_requests: int, mean_of_others: float | None
) -> bool:
    """Return whether to accept a new connection; for arguments, see `check`.

    .. versionadded:: 26.7.0
    """
    return in_flight < max_requests or not _is_skewed(in_flight, mean_of_others)


def _is_skewed(in_flight: int, mean_of_others: float | None) -> bool:
    """Return whether an instance has far more requests than the others."""
    return mean_of_others is not None and in_flight > _SKEW_RATIO * mean_of_others
