# SPDX-License-Identifier: MIT
"""Shares of new streams for the paths that would fill before anybody sees it.

Load pattern: many instances begin streams at the same moment, each with news of
the runners that is older than a stream takes to arrive: an empty fleet at the
start of traffic, the return of a zone or of all processes, a burst.  If each takes
the path that looks best, all take the same one; 195 instances sent a third of
their streams to one first runner, and those streams waited for room.

What all instances of a zone may begin before the news comes round is therefore
laid onto the zone's paths in parts, one after the other, each on the path that is
best with the earlier parts counted in.  An instance takes the part at its own
place among the zone's instances.  All compute nearly the same parts, so that
together they spread as the parts do, without asking each other; and one instance
keeps to few first runners, whose connections stay open.

.. versionadded:: 26.2.0
"""

from __future__ import annotations

import collections
import math

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from .paths import Path


#: Into how many parts unseen streams are laid at least and at most; between them, one
#: for each chain of the zone.  With fewer parts than chains some chains get none: at 13
#: chains the busiest had 1.8 of the mean with 8 parts (simulated, 350 instances).  Each
#: part costs a search.
PARTS = 8
MOST_PARTS = 16
#: For how long the parts are used, in seconds: much less than the age of the news
#: that they are made from.
SHARES_TTL_S = 0.5
#: How many streams for each instance of the zone are laid out while there is no news at
#: all: one that has just started knows nothing of how much work comes.
BLIND_STREAMS = 2.0
#: How many times the streams are laid out that an instance's own beginnings let
#: expect, once there is news: arrivals within its age vary, but what is laid out in
#: vain keeps streams from the quick chains (simulated, 64 instances, one quick chain of
#: nine: it gets 42 streams of 100 at 1.3, 34 at 2, and is 0.7 and 0.6 full at most).
MARGIN = 1.3
#: How many streams each instance of the zone may begin at the least, once there is
#: news: one that had none in the last seconds still may.
LEAST_STREAMS = 1.0
#: Over how long own beginnings are counted, in seconds: some at the least at a rate of
#: one a second.
SPAN_S = 2.0


class ZonePosition(NamedTuple):
    """An instance's place among the instances of its availability zone.

    Attributes:
        position: Where it stands between the first (0) and the last (1).
        instances: How many there are.

    .. versionadded:: 26.2.0
    """

    position: float
    instances: int


#: The place of an instance that knows of no other.
SOLE_INSTANCE = ZonePosition(0.0, 1)


def part_count(chains: int) -> int:
    """Return into how many parts to lay streams, given how many chains there are.

    .. versionadded:: 26.2.0
    """
    return max(PARTS, min(MOST_PARTS, chains))


def assign_paths(
    find: Callable[[Mapping[str, float]], Path | None],
    utilization: Mapping[str, float],
    *,
    added_utilization: Callable[[Path], Mapping[str, float]],
    parts: int = PARTS,
) -> list[Path]:
    """Return the path of each part of the streams that nobody sees yet.

    Args:
        find: Returns the best path, given how full runners are.
        utilization: By runner's id, how full it is known to be.
        added_utilization: By runner's id, how much fuller one part makes a path's
            runners.
        parts: How many parts there are.

    Returns:
        One path a part, those with the same first runner side by side; fewer where
        there is no path.

    .. versionadded:: 26.2.0
    """
    thought = dict(utilization)
    paths: list[Path] = []
    for _ in range(parts):
        path = find(thought)
        if path is None:
            break
        paths.append(path)
        for server_id, more in added_utilization(path).items():
            thought[server_id] = thought.get(server_id, 0.0) + more
    return sorted(paths, key=_order)


def select_path(
    paths: Sequence[Path], position: float, *, excluded: Collection[str]
) -> Path | None:
    """Return the part at a position, or the next that uses no runner left out.

    .. versionadded:: 26.2.0
    """
    start = math.floor(position * len(paths))
    for path in (*paths[start:], *paths[:start]):
        if path.server_ids.isdisjoint(excluded):
            return path
    return None


class UnreportedStreams:
    """How many streams of its zone an instance can't have heard of yet.

    .. versionadded:: 26.2.0
    """

    def __init__(self) -> None:
        self._begun_s: collections.deque[float] = collections.deque()

    def record_start(self, *, now_s: float) -> None:
        """Count a stream of this instance."""
        self._begun_s.append(now_s)

    def expected(
        self, *, instances: int, report_age_s: float | None, now_s: float
    ) -> float:
        """Return how many streams of the zone the known loads may lack.

        Others begin as many a second as this instance does, and what they have begun
        comes round with the news; until parts are laid again, all begin more.

        Args:
            instances: The instances of the zone.
            report_age_s: The age of what is known of their streams, in seconds, or
                None if nothing is.
            now_s: The current monotonic time, in seconds.
        """
        while self._begun_s and now_s - self._begun_s[0] > SPAN_S:
            self._begun_s.popleft()
        rate = len(self._begun_s) / SPAN_S
        until_laid = instances * rate * SHARES_TTL_S / 2
        if report_age_s is None:
            return max(BLIND_STREAMS * instances, MARGIN * until_laid)
        of_others = (instances - 1) * rate * report_age_s
        return max(LEAST_STREAMS * instances, MARGIN * (of_others + until_laid))


def _order(path: Path) -> tuple[str, ...]:
    """Sort key of paths: alike at all instances, and by first runner."""
    return tuple(stage.server.id for stage in path.stages)
