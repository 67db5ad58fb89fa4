# SPDX-License-Identifier: MIT
"""Distribution of new streams over paths between load reports.

Load pattern: many instances start streams at the same moment, each with load reports
that are older than a stream takes to arrive: an empty fleet at the start of traffic,
the recovery of a zone or of all processes, a burst.  If each instance selected the path
with the lowest cost, they would overload it; 195 instances sent a third of their
streams to the same first runner, and those streams waited for capacity.

The streams that all instances of a zone may start before the next load reports are
therefore assigned to the zone's paths in parts, one after the other, each to the path
that is best with the earlier parts included.  An instance uses the part at its own
position among the zone's instances.  Instances compute nearly the same parts, so that
together they spread as the parts do, without coordination; and each instance uses few
first runners, whose connections stay open.

.. versionadded:: 26.2.0
"""

from __future__ import annotations

import collections
import math

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from .paths import Path


#: Min and max number of parts; in between, one per chain of the zone.  With fewer
#: parts than chains some chains get none: of 13 chains the busiest had 1.8 times the
#: mean load with 8 parts (simulated, 350 instances).  Each part costs a search.
MIN_PARTS = 8
MAX_PARTS = 16
#: Time to live of the assigned parts, in seconds; much less than the age of the load
#: reports that they are computed from.
SHARES_TTL_S = 0.5
#: Streams per instance of the zone to assign without any load reports: an instance
#: that has just started has no estimate of the arrival rate.
INITIAL_STREAMS_PER_INSTANCE = 2.0
#: Factor on the streams that an instance's own rate predicts.  Arrivals vary within the
#: age of the reports, but overestimates keep streams from the fast chains (simulated,
#: 64 instances, one fast chain of nine: it gets 42 of 100 streams at 1.3 and 34 at 2,
#: with a max utilization of 0.7 and 0.6).
ARRIVAL_MARGIN = 1.3
#: Min streams per instance of the zone to assign with load reports: an instance
#: without recent streams may still start one.
MIN_STREAMS_PER_INSTANCE = 1.0
#: Window of an instance's own stream rate, in seconds; long enough to contain some
#: streams at a rate of 1/s.
RATE_WINDOW_S = 2.0


class ZonePosition(NamedTuple):
    """An instance's position among the instances of its availability zone.

    Attributes:
        position: From 0 (first instance) to 1 (last instance).
        instances: The number of instances.

    .. versionadded:: 26.2.0
    """

    position: float
    instances: int


#: The position of an instance without known peers.
SOLE_INSTANCE = ZonePosition(0.0, 1)


def part_count(chain_count: int) -> int:
    """Return the number of parts for a number of chains.

    .. versionadded:: 26.2.0
    """
    return max(MIN_PARTS, min(MAX_PARTS, chain_count))


def assign_paths(
    find: Callable[[Mapping[str, float]], Path | None],
    utilization: Mapping[str, float],
    *,
    added_utilization: Callable[[Path], Mapping[str, float]],
    parts: int = MIN_PARTS,
) -> list[Path]:
    """Return the path of each part of the unreported streams.

    Args:
        find: Returns the best path for a utilization of runners.
        utilization: Reported utilization by runner id.
        added_utilization: Returns the utilization that a part adds on a path, by
            runner id.
        parts: The number of parts.

    Returns:
        One path per part, sorted by first runner; fewer if no path is available.

    .. versionadded:: 26.2.0
    """
    projected = dict(utilization)
    paths: list[Path] = []
    for _ in range(parts):
        path = find(projected)
        if path is None:
            break
        paths.append(path)
        for server_id, added in added_utilization(path).items():
            projected[server_id] = projected.get(server_id, 0.0) + added
    return sorted(paths, key=_sort_key)


def select_path(
    paths: Sequence[Path], position: float, *, excluded: Collection[str]
) -> Path | None:
    """Return the path at a position, or the next one without excluded runners.

    .. versionadded:: 26.2.0
    """
    start = math.floor(position * len(paths))
    for path in (*paths[start:], *paths[:start]):
        if path.server_ids.isdisjoint(excluded):
            return path
    return None


class UnreportedStreams:
    """Estimate of the streams of a zone that the load reports don't include yet.

    .. versionadded:: 26.2.0
    """

    def __init__(self) -> None:
        self._started_s: collections.deque[float] = collections.deque()

    def record_start(self, *, now_s: float) -> None:
        """Record a stream that this instance starts."""
        self._started_s.append(now_s)

    def expected(
        self, *, instances: int, report_age_s: float | None, now_s: float
    ) -> float:
        """Return the expected number of unreported streams of the zone.

        It assumes the own stream rate for each instance.  The streams of other
        instances are missing for the age of the reports, and those of all instances
        until the next assignment of parts.

        Args:
            instances: The number of instances of the zone.
            report_age_s: The age of the load reports of other instances, in seconds,
                or None without reports.
            now_s: The current monotonic time, in seconds.
        """
        while self._started_s and now_s - self._started_s[0] > RATE_WINDOW_S:
            self._started_s.popleft()
        rate = len(self._started_s) / RATE_WINDOW_S
        until_assigned = instances * rate * SHARES_TTL_S / 2
        if report_age_s is None:
            return max(
                INITIAL_STREAMS_PER_INSTANCE * instances,
                ARRIVAL_MARGIN * until_assigned,
            )
        of_peers = (instances - 1) * rate * report_age_s
        return max(
            MIN_STREAMS_PER_INSTANCE * instances,
            ARRIVAL_MARGIN * (of_peers + until_assigned),
        )


def _sort_key(path: Path) -> tuple[str, ...]:
    """Sort key of paths, by first runner and the same at all instances."""
    return tuple(stage.server.id for stage in path.stages)
