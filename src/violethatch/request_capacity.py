# SPDX-License-Identifier: MIT
"""Whether an instance has room for the requests of callers that connect to it next.

Load pattern: for some seconds a balancer may hand most new connections of a zone to one
instance, while the others have room; it goes to another one once that one is not ready.
An instance that has its fill then says so before it has to refuse requests, and takes
no connection where it would: callers whose request was not read try elsewhere at once.
Where all have their fill, callers would be turned away from one to the next, so each
goes on refusing what it can't take, with when to come back.

.. versionadded:: 26.7.0
"""

from __future__ import annotations


#: From which share of the requests that it may have at once an instance is full, and up
#: to which it has room again.
_FULL_SHARE = 0.75
_ROOM_SHARE = 0.5
#: How many times the other instances' mean an instance has to have, to be the one that
#: most requests come to.
_SKEW = 2.0


class RequestCapacity:
    """What one instance decides of its room, from check to check.

    .. versionadded:: 26.7.0
    """

    def __init__(self) -> None:
        self._is_full = False

    def check(
        self, in_flight: int, *, max_requests: int, mean_of_others: float | None
    ) -> bool:
        """Return whether callers that connect next will be served.

        Args:
            in_flight: Requests in progress here.
            max_requests: How many there may be at once.
            mean_of_others: Requests in progress at each other instance on average, or
                None if that is not known.
        """
        share = _ROOM_SHARE if self._is_full else _FULL_SHARE
        is_skewed = _is_skewed(in_flight, mean_of_others)
        self._is_full = is_skewed and in_flight >= share * max_requests
        return not self._is_full


def may_connect(
    in_flight: int, *, max_requests: int, mean_of_others: float | None
) -> bool:
    """Return whether a new connection is taken, with the arguments of a check.

    .. versionadded:: 26.7.0
    """
    return in_flight < max_requests or not _is_skewed(in_flight, mean_of_others)


def _is_skewed(in_flight: int, mean_of_others: float | None) -> bool:
    """Tell whether an instance has far more requests than the others."""
    return mean_of_others is not None and in_flight > _SKEW * mean_of_others
