# SPDX-License-Identifier: MIT
"""Paths of the own availability zone first, and others where it is full or broken.

Load pattern: hundreds of instances in several zones, each zone with whole chains of
its own.  What stays in its zone needs no news of loads from elsewhere, goes on when
the zone is cut off, and a search within it takes a tenth of the time (0.2 against
2.3 ms over 38 and 190 runners).  A burst or a group of dark runners in one zone
must still reach the room that others have; and where zones are unlike, the chain
of slow runners in one must not get all that comes there while quick ones idle.

.. versionadded:: 26.2.0
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from .paths import Path


#: How full a path of the own zone may get before other zones' are looked at too: above
#: it, time grows faster than a hop to another zone costs.
ZONE_FULLNESS = 0.6
#: How much longer a token may take on the own zone's best path than on the best of all,
#: both by what is known of loads, for the zone to be preferred.  In a fleet of three
#: unlike chains the slowest carried 42 streams instead of some 20 otherwise, and when
#: one of its runners went, their moves had no room on the pipe between zones.
NEAR_FACTOR = 1.3
#: How many searches over all runners are made where the own zone has no room: a part of
#: what its instances begin goes elsewhere at a time, and the next time shows what that
#: has changed.  Each costs as much as ten within the zone.
MOST_FAR_SEARCHES = 2
#: From how full a runner on nothing is sent there while there is another.
FULL = 0.9


class Find(Protocol):
    """Searches for the best path.

    .. versionadded:: 26.2.0
    """

    def __call__(self, fullness: Mapping[str, float]) -> Path | None:
        """Return the best path, given how full runners are."""


class NearFirst:
    """Finds paths of the own zone, and of all where that is full, slow or broken.

    The first search has to be by what is known, with nothing laid out yet.

    Args:
        find_near: Searches the own zone's runners.
        find_far: Searches all runners.
        is_quick: Whether the own zone counts as quick, without a comparison.

    .. versionadded:: 26.2.0
    """

    def __init__(
        self,
        find_near: Find,
        find_far: Find,
        *,
        is_quick: bool | None = None,
    ) -> None:
        self._find_near = find_near
        self._find_far = find_far
        #: What was found over all runners, each used again in its turn.
        self._far: list[Path] = []
        self._searches = 0
        self._turn = 0
        #: Whether the own zone is as quick as others; None before the first search.
        self._is_quick = is_quick

    def find(self, fullness: Mapping[str, float]) -> Path | None:
        """Return the best path, given how full runners are."""
        near = self._find_near(fullness)
        if self._is_quick is None:
            self._is_quick = self._compare(near, fullness)
        if near is None:
            return self._next_far(fullness)
        if self._is_quick and _fullest(near, fullness) < ZONE_FULLNESS:
            return near
        far = self._next_far(fullness)
        if far is None or not self._is_worth_leaving(near, far, fullness):
            return near
        return far

    def _compare(self, near: Path | None, fullness: Mapping[str, float]) -> bool:
        """Tell whether the own zone is about as quick as the best of all."""
        if near is None:
            return False
        best = self._search_far(fullness)
        return best is None or near.token_ms <= NEAR_FACTOR * best.token_ms

    def _is_worth_leaving(
        self, near: Path, far: Path, fullness: Mapping[str, float]
    ) -> bool:
        """Tell whether a path elsewhere is so much better than the own zone's."""
        near_fullness = _fullest(near, fullness)
        far_fullness = _fullest(far, fullness)
        if near_fullness >= FULL:
            return far_fullness < near_fullness
        if not self._is_quick:
            is_quicker = NEAR_FACTOR * far.token_ms < near.token_ms
            return is_quicker and far_fullness < ZONE_FULLNESS
        return self._turn == 0  # a path that was searched for just now

    def _next_far(self, fullness: Mapping[str, float]) -> Path | None:
        """Search over all runners, or return what was found before, in turn."""
        if self._searches < MOST_FAR_SEARCHES:
            return self._search_far(fullness)
        if not self._far:
            return None
        self._turn += 1
        return self._far[self._turn % len(self._far)]

    def _search_far(self, fullness: Mapping[str, float]) -> Path | None:
        """Search over all runners, and keep what is found."""
        self._searches += 1
        path = self._find_far(fullness)
        if path is not None:
            self._far.append(path)
        return path


def _fullest(path: Path, fullness: Mapping[str, float]) -> float:
    """Return how full the fullest runner of a path is."""
    return max(fullness.get(stage.server.id, 0.0) for stage in path.stages)
