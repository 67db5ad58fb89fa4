# SPDX-License-Identifier: MIT
"""Durations of an instance's recent responses, and of those in flight, by route.

Sized for tens of thousands of routes: only the most recently used are kept.
"""

from __future__ import annotations

import collections
import contextlib
import itertools

from collections.abc import Iterator, Sequence


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
        self._in_flight: dict[str, dict[int, float]] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Return the number of routes kept."""
        return len(self._by_route)

    @contextlib.contextmanager
    def track(self, route: str, *, began_s: float) -> Iterator[None]:
        """Track a call in flight.

        Args:
            route: The call's route.
            began_s: When it began, in monotonic seconds.
        """
        number = next(self._numbers)
        calls = self._in_flight.setdefault(route, {})
        calls[number] = began_s
        try:
            yield
        finally:
            del calls[number]
            if not calls:
                self._in_flight.pop(route, None)

    def oldest_s(self, route: str, *, now_s: float) -> float:
        """Return for how long the oldest call in flight has run, in seconds."""
        calls = self._in_flight.get(route)
        return now_s - next(iter(calls.values())) if calls else 0.0

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
