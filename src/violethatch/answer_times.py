# SPDX-License-Identifier: MIT
"""How long one instance's recent answers took, by route.

Sized for tens of thousands of routes: only those that were used last are kept.
"""

from __future__ import annotations

import collections

from collections.abc import Sequence


#: Answers of a route that are remembered.
_MAX_ANSWERS = 40
#: Routes that are remembered.
_MAX_ROUTES = 512


class AnswerTimes:
    """Remembers how long recent answers took."""

    def __init__(self) -> None:
        self._by_route: collections.OrderedDict[str, collections.deque[float]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many routes are remembered."""
        return len(self._by_route)

    def record(self, route: str, took_s: float) -> None:
        """Take in how long a route's answer took, in seconds."""
        times = self._by_route.setdefault(route, collections.deque(maxlen=_MAX_ANSWERS))
        times.append(took_s)
        self._by_route.move_to_end(route)
        if len(self._by_route) > _MAX_ROUTES:
            self._by_route.popitem(last=False)

    def recent_s(self, route: str) -> Sequence[float]:
        """Return how long a route's recent answers took, in seconds."""
        return tuple(self._by_route.get(route, ()))
