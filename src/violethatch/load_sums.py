# SPDX-License-Identifier: MIT
"""The load of all instances, aggregated along a tree of instances.

If backend servers don't report their load, an instance has only the count of its own
streams, a small part of the load where sixty instances share the servers.  Each
instance therefore sends a few neighbours the sum of its own load and of the loads that
its other neighbours reported: within a zone along a tree that is computed from the
list of instances, between zones from root to root.  On a tree such sums count each
instance once, so that an instance receives the load of all others.

Reports of a neighbour expire: the load of a crashed or partitioned instance is removed
from the sums, and its children use the next instance up the tree as their parent.

.. versionadded:: 26.2.0
"""

from __future__ import annotations

import enum
import functools
import zlib

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .demand import (
    MAX_SENT_WORKSPACES,
    NO_DEMAND,
    Demand,
    DemandKey,
    total_demand,
)
from .instances import InstanceDirectory, InstanceEntry, ranked


#: The number of children of an instance in the tree.  A larger number splits each
#: tick's bytes among more neighbours; a smaller one makes the tree deeper and the sums
#: older.
FAN_OUT = 3
#: The lifetime of a neighbour's report, in seconds: four ticks may be lost.
REPORT_TTL_S = 1.2
#: The lifetime of a neighbour's workspaces while it sends offers only, in seconds: it
#: sends workspaces to one of up to nine neighbours each tick, and one datagram may be
#: lost.
WORKSPACES_TTL_S = 5.0
#: The lifetime of a workspace that a full list no longer has, in seconds: three lists,
#: at the one per half second that an inner instance of the tree receives.
UNLISTED_TTL_S = 1.5
#: The initial time for which an unresponsive instance is skipped, in seconds.
INITIAL_SUSPECTED_S = 5.0
#: The maximum of that time, in seconds.  It doubles each time, so that even with most
#: of a zone down all of its instances are tried before the first is tried again.
MAX_SUSPECTED_S = 40.0


#: The number of cached server numbers, which are used for each request.
_NUMBER_CACHE_SIZE = 4096


class Direction(enum.StrEnum):
    """The direction of a sum in the tree, relative to its sender.

    .. versionadded:: 26.2.0
    """

    UP = "u"
    DOWN = "d"
    #: From the root of a zone to the root of another.
    ACROSS = "a"


class ServerTotals(NamedTuple):
    """The load of several instances at one backend server.

    Attributes:
        streams: Streams for which the server is the first of the path.
        token_layers: KV cache that the streams use there, in tokens times layers.

    .. versionadded:: 26.2.0
    """

    streams: int
    token_layers: float


class LoadTotals(NamedTuple):
    """The total load of several instances.

    Attributes:
        instances: The number of instances in the sum.
        pipe_ms_per_s: The time that their streams occupy the link between zones, in
            ms per second.
        servers: By the server's number, the load there.
        age_s: The mean age of the load over the instances, in seconds.
        demand: The load that is offered to them, of services with admission control.

    .. versionadded:: 26.2.0
    """

    instances: int
    pipe_ms_per_s: float
    servers: Mapping[int, ServerTotals]
    age_s: float = 0.0
    demand: Demand = NO_DEMAND


#: The total of no instances.
EMPTY_LOAD = LoadTotals(0, 0.0, {})
_NO_STREAMS = ServerTotals(0, 0.0)


@functools.lru_cache(maxsize=_NUMBER_CACHE_SIZE)
def server_number(server_id: str) -> int:
    """Return the number that identifies a server in datagrams between instances.

    Two ids with the same number (1 in 4 billion pairs) each get the load of both.

    .. versionadded:: 26.2.0
    """
    return zlib.crc32(server_id.encode())


def total(parts: Iterable[LoadTotals]) -> LoadTotals:
    """Return the sum of totals.

    .. versionadded:: 26.2.0
    """
    instances = 0
    pipe_ms_per_s = 0.0
    weighted_age_s = 0.0
    servers: dict[int, ServerTotals] = {}
    demands: list[Demand] = []
    for part in parts:
        demands.append(part.demand)
        instances += part.instances
        pipe_ms_per_s += part.pipe_ms_per_s
        weighted_age_s += part.instances * part.age_s
        for number, added in part.servers.items():
            current = servers.get(number, _NO_STREAMS)
            servers[number] = ServerTotals(
                current.streams + added.streams,
                current.token_layers + added.token_layers,
            )
    age_s = weighted_age_s / instances if instances else 0.0
    demand = total_demand(demands)
    return LoadTotals(instances, pipe_ms_per_s, servers, age_s, demand)


class _Report:
    """The load that a neighbour has reported, and the time of its last report."""

    def __init__(self, direction: Direction) -> None:
        self.direction = direction
        self.instances = 0
        self.pipe_ms_per_s = 0.0
        self.age_s = 0.0
        self.servers: dict[int, ServerTotals] = {}
        self.demand: Demand = NO_DEMAND
        self.heaviest_received_s = 0.0
        #: By workspace of the demand, the time when it was last listed.
        self.listed_s: dict[tuple[DemandKey, int], float] = {}
        self.received_s = 0.0

    def update(self, change: LoadTotals, *, now_s: float) -> None:
        """Apply a change; servers that it doesn't list stay unchanged."""
        self.instances = change.instances
        self.pipe_ms_per_s = change.pipe_ms_per_s
        self.age_s = change.age_s
        self._update_demand(change.demand, now_s=now_s)
        self.received_s = now_s
        for number, totals in change.servers.items():
            if totals.streams or totals.token_layers:
                self.servers[number] = totals
            else:
                self.servers.pop(number, None)

    def _update_demand(self, demand: Demand, *, now_s: float) -> None:
        """Update the demand; workspaces stay unchanged if only offers were sent."""
        is_current = now_s - self.heaviest_received_s <= WORKSPACES_TTL_S
        if demand.offers_per_s and not demand.heaviest_per_s and is_current:
            heaviest_per_s = self.demand.heaviest_per_s
        else:
            heaviest_per_s = self._with_unlisted(demand.heaviest_per_s, now_s=now_s)
            self.heaviest_received_s = now_s
        self.demand = demand._replace(heaviest_per_s=heaviest_per_s)

    def _with_unlisted(
        self, listed_per_s: Mapping[tuple[DemandKey, int], float], *, now_s: float
    ) -> Mapping[tuple[DemandKey, int], float]:
        """Return workspaces with those that a full list may have omitted.

        Counts of one second fluctuate, so that workspaces near the end of a list are
        listed intermittently.  The rate of an unlisted workspace is at most the minimum
        of the list.
        """
        self.listed_s |= dict.fromkeys(listed_per_s, now_s)
        self.listed_s = {
            entry: listed_s
            for entry, listed_s in self.listed_s.items()
            if now_s - listed_s <= UNLISTED_TTL_S
        }
        if len(listed_per_s) < MAX_SENT_WORKSPACES:
            return listed_per_s
        min_per_s = min(listed_per_s.values())
        unlisted_per_s = {
            entry: min(rate, min_per_s)
            for entry, rate in self.demand.heaviest_per_s.items()
            if entry in self.listed_s
        }
        return {**unlisted_per_s, **listed_per_s}

    def totals(self, *, now_s: float) -> LoadTotals:
        """Return the reported load, with its current age."""
        age_s = self.age_s + now_s - self.received_s
        return LoadTotals(
            self.instances, self.pipe_ms_per_s, self.servers, age_s, self.demand
        )


class _Suspicion(NamedTuple):
    """An unresponsive instance, the end of its suspicion, and its duration."""

    #: The token of its entry; a restarted instance has a new one.
    token: str
    until_s: float
    duration_s: float


class LoadSums:
    """One instance's position in the tree, and the reports of its neighbours.

    Args:
        directory: The directory of instances.

    .. versionadded:: 26.2.0
    """

    def __init__(self, directory: InstanceDirectory) -> None:
        self._directory = directory
        self._reports: dict[str, _Report] = {}
        #: By instance, the time of the first report without one in return.
        self._unanswered_since_s: dict[str, float] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._others: LoadTotals = EMPTY_LOAD
        #: The directory's revision at which the ranks were computed, and by zone its
        #: instances' ids, the root first.
        self._ranks_revision = -1
        self._ranks_by_zone: dict[str, list[str]] = {}
        self._tokens: dict[str, str] = {}

    @property
    def others(self) -> LoadTotals:
        """The load of all other instances, as of the last `refresh`."""
        return self._others

    def update(
        self, sender: str, direction: Direction, change: LoadTotals, *, now_s: float
    ) -> bool:
        """Apply an instance's report; return whether the instance is a neighbour.

        Args:
            sender: The instance that sent it.
            direction: The direction, relative to the sender.
            change: Its sum, with the servers that have changed.
            now_s: The current monotonic time, in seconds.
        """
        self._unanswered_since_s.pop(sender, None)
        self._suspicions.pop(sender, None)
        if not self._is_neighbour(sender, direction, now_s=now_s):
            return False
        report = self._reports.get(sender)
        if report is None or report.direction is not direction:
            report = self._reports[sender] = _Report(direction)
        report.update(change, now_s=now_s)
        return True

    def refresh(self, *, now_s: float) -> None:
        """Remove expired reports, and sum up the others."""
        for sender, report in list(self._reports.items()):
            if now_s - report.received_s > REPORT_TTL_S:
                del self._reports[sender]
        self._others = total(
            report.totals(now_s=now_s) for report in self._reports.values()
        )

    def exclude_stall(self, stall_s: float, *, now_s: float) -> None:
        """Exclude a stall of this instance from the time without reports of others.

        Args:
            stall_s: The duration of the stall, in seconds.
            now_s: The current monotonic time, in seconds.
        """
        for instance_id, since_s in self._unanswered_since_s.items():
            self._unanswered_since_s[instance_id] = min(now_s, since_s + stall_s)

    def neighbours(self, *, now_s: float) -> dict[str, Direction]:
        """Return the instances to report to, and the direction of each.

        Unresponsive instances are skipped for a while.
        """
        self._suspect_unresponsive(now_s=now_s)
        neighbours = {
            sender: Direction.DOWN
            for sender, report in self._reports.items()
            if report.direction is Direction.UP
        }
        parent = self._parent(now_s=now_s)
        if parent is not None:
            neighbours[parent] = Direction.UP
        else:
            for root in self._other_roots(now_s=now_s):
                neighbours[root] = Direction.ACROSS
        for neighbour, direction in neighbours.items():
            if direction is not Direction.DOWN:
                self._unanswered_since_s.setdefault(neighbour, now_s)
        return neighbours

    def sum_for(
        self, neighbour: str, direction: Direction, own: LoadTotals, *, now_s: float
    ) -> LoadTotals:
        """Return the sum to send to a neighbour: the load on this side of it.

        The root of another zone receives the load of this zone only.
        """
        parts = [own]
        for sender, report in self._reports.items():
            is_from_zone = report.direction is Direction.UP
            if sender != neighbour and (is_from_zone or direction is Direction.DOWN):
                parts.append(report.totals(now_s=now_s))
        return total(parts)

    def _is_neighbour(self, sender: str, direction: Direction, *, now_s: float) -> bool:
        """Return whether reports of a sender in a direction are part of the sums."""
        parent = self._parent(now_s=now_s)
        if direction is Direction.ACROSS:
            return parent is None
        if direction is Direction.DOWN:
            return sender == parent
        return sender != parent and sender in self._ranks()

    def _parent(self, *, now_s: float) -> str | None:
        """Return the next responsive ancestor in the tree, or None for a zone's root.

        Without one, it is the first responsive instance of the zone by rank.
        """
        ranks = self._ranks()
        own_rank = ranks.index(self._directory.own.id)
        ancestor = own_rank
        while ancestor:
            ancestor = (ancestor - 1) // FAN_OUT
            if not self._is_suspected(ranks[ancestor], now_s=now_s):
                return ranks[ancestor]
        return next(
            (
                instance_id
                for instance_id in ranks[:own_rank]
                if not self._is_suspected(instance_id, now_s=now_s)
            ),
            None,
        )

    def _ranks(self) -> list[str]:
        """Return the ids of the own zone's instances, root first."""
        return self._zones()[self._directory.own.availability_zone]

    def _other_roots(self, *, now_s: float) -> list[str]:
        """Return the first instance of each other zone that is not suspected."""
        roots = []
        for zone, ranks in self._zones().items():
            if zone == self._directory.own.availability_zone:
                continue
            responsive = (
                instance_id
                for instance_id in ranks
                if not self._is_suspected(instance_id, now_s=now_s)
            )
            roots.extend(
                [root for root in [next(responsive, None)] if root is not None]
            )
        return roots

    def _zones(self) -> dict[str, list[str]]:
        """Return, by zone, its instances' ids, the root first."""
        if self._ranks_revision == self._directory.revision:
            return self._ranks_by_zone
        zones: dict[str, dict[str, InstanceEntry]] = {}
        entries = (*self._directory.others(), self._directory.own)
        for entry in entries:
            zones.setdefault(entry.availability_zone, {})[entry.id] = entry
        self._ranks_revision = self._directory.revision
        self._tokens = {entry.id: entry.token for entry in entries}
        self._ranks_by_zone = {zone: ranked(members) for zone, members in zones.items()}
        return self._ranks_by_zone

    def _suspect_unresponsive(self, *, now_s: float) -> None:
        """Suspect the instances that have not sent a report in return for too long."""
        for instance_id, since_s in list(self._unanswered_since_s.items()):
            if now_s - since_s > REPORT_TTL_S:
                self._suspect(instance_id, now_s=now_s)
                del self._unanswered_since_s[instance_id]

    def _suspect(self, instance_id: str, *, now_s: float) -> None:
        """Skip an unresponsive instance, for twice as long as the last time."""
        previous = self._suspicions.get(instance_id)
        duration_s = INITIAL_SUSPECTED_S
        if previous is not None:
            duration_s = min(MAX_SUSPECTED_S, 2 * previous.duration_s)
        token = self._tokens.get(instance_id, "")
        self._suspicions[instance_id] = _Suspicion(
            token, now_s + duration_s, duration_s
        )

    def _is_suspected(self, instance_id: str, *, now_s: float) -> bool:
        """Return whether an instance is skipped at present."""
        suspicion = self._suspicions.get(instance_id)
        if suspicion is None or now_s >= suspicion.until_s:
            return False
        return self._tokens.get(instance_id) == suspicion.token
