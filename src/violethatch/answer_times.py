# SPDX-License-Identifier: MIT
"""Durations of an instance's recent responses, by route.

Sized for tens of thousands of routes: only the most recently used are kept.
"""

from __future__ import annotations

import collections

from collections.abc import Sequence


#: Maximum number of durations kept per route.
_MAX_ANSWERS = 40
#: Maximum number of routes kept.
_MAX_ROUTES = 512


class AnswerTimes:
    """Keeps the durations of recent responses."""

    def __init__(self) -> None:
        self._by_route: collections.OrderedDict[str, collections.deque[float]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of routes kept."""
        return len(self._by_route)

    def record(self, route: str, took_s: float) -> None:
        """Record the duration of a route's response, in seconds."""
        times = self._by_route.setdefault(route, collections.deque(maxlen=_MAX_ANSWERS))
        times.append(took_s)
        self._by_route.move_to_end(route)
        if len(self._by_route) > _MAX_ROUTES:
            self._by_route.popitem(last=False)

    def recent_s(self, route: str) -> Sequence[float]:
        """Return the durations of a route's recent responses, in seconds."""
        return tuple(self._by_route.get(route, ()))
