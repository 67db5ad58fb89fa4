# SPDX-License-Identifier: MIT
"""The load of all instances, summed along a tree of instances.

Backend servers that don't tell their load leave each instance with its own
streams, and these say little where sixty share the servers.  Each instance
therefore tells a few neighbours what it has itself and what its other neighbours
have told: in a zone along a tree that follows from the known instances alone,
between zones from root to root.  On a tree such sums count each instance once, so
that what an instance hears is what all others have.

What a neighbour told counts only for a while: who dies or is cut off drops out of
the sums, and its children turn to the next instance up the tree.

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


#: How many children an instance of the tree has.  More make each tick's bytes go
#: to more neighbours; fewer make the tree deeper, so that sums are older.
FAN_OUT = 3
#: How long what a neighbour told counts, in seconds: four ticks may be lost.
TOLD_LIFE_S = 1.2
#: How long the workspaces that a neighbour told count where it sends offers alone, in
#: seconds: it tells them to one of up to nine neighbours each tick, and one datagram
#: may be lost.
HEAVIEST_LIFE_S = 5.0
#: How long a workspace counts that a full list no longer names, in seconds: three
#: lists, of which an inner instance of the tree is sent one every half second.
UNNAMED_LIFE_S = 1.5
#: How long an instance that does not answer is passed over at first, in seconds.
SUSPECTED_S = 5.0
#: The same at most, in seconds: it doubles each time, so that also where most of a
#: zone is dead the ways past all of them are tried before the first is again.
LONGEST_SUSPECTED_S = 40.0


#: How many servers' numbers are kept, which are asked for at each request.
_MOST_NUMBERS = 4096


class Direction(enum.StrEnum):
    """Where in the tree a sum goes, as seen from its sender.

    .. versionadded:: 26.2.0
    """

    UP = "u"
    DOWN = "d"
    #: From the root of a zone to the root of another.
    ACROSS = "a"


class ServerTotals(NamedTuple):
    """What several instances have at one backend server.

    Attributes:
        streams: Streams that the server runs as the first of their path.
        token_layers: Tokens times layers of KV cache that they need there.

    .. versionadded:: 26.2.0
    """

    streams: int
    token_layers: float


class LoadTotals(NamedTuple):
    """What several instances have in all.

    Attributes:
        instances: How many instances are in the sum.
        pipe_ms_per_s: How long their streams take the pipe between zones, in ms a
            second.
        servers: By the server's number, what they have there.
        age_s: How old that is on average over the instances, in seconds.
        demand: What they are offered, of governed services.

    .. versionadded:: 26.2.0
    """

    instances: int
    pipe_ms_per_s: float
    servers: Mapping[int, ServerTotals]
    age_s: float = 0.0
    demand: Demand = NO_DEMAND


#: What nobody has.
EMPTY_LOAD = LoadTotals(0, 0.0, {})
_NO_STREAMS = ServerTotals(0, 0.0)


@functools.lru_cache(maxsize=_MOST_NUMBERS)
def server_number(server_id: str) -> int:
    """Return the number by which instances name a server to each other.

    Two ids that share one (1 in 4 billion pairs) are thought fuller than they are.

    .. versionadded:: 26.2.0
    """
    return zlib.crc32(server_id.encode())


def total(parts: Iterable[LoadTotals]) -> LoadTotals:
    """Return the sum of some totals.

    .. versionadded:: 26.2.0
    """
    instances = 0
    pipe_ms_per_s = 0.0
    ages_s = 0.0
    servers: dict[int, ServerTotals] = {}
    demands: list[Demand] = []
    for part in parts:
        demands.append(part.demand)
        instances += part.instances
        pipe_ms_per_s += part.pipe_ms_per_s
        ages_s += part.instances * part.age_s
        for number, added in part.servers.items():
            known = servers.get(number, _NO_STREAMS)
            servers[number] = ServerTotals(
                known.streams + added.streams, known.token_layers + added.token_layers
            )
    age_s = ages_s / instances if instances else 0.0
    demand = total_demand(demands)
    return LoadTotals(instances, pipe_ms_per_s, servers, age_s, demand)


class _Told:
    """What a neighbour has told so far, and when it last did."""

    def __init__(self, direction: Direction) -> None:
        self.direction = direction
        self.instances = 0
        self.pipe_ms_per_s = 0.0
        self.age_s = 0.0
        self.servers: dict[int, ServerTotals] = {}
        self.demand: Demand = NO_DEMAND
        self.heaviest_told_s = 0.0
        #: When each workspace of the demand was last named.
        self.named_s: dict[tuple[DemandKey, int], float] = {}
        self.told_s = 0.0

    def take(self, change: LoadTotals, *, now_s: float) -> None:
        """Take a change in; servers that it doesn't name stay as they are."""
        self.instances = change.instances
        self.pipe_ms_per_s = change.pipe_ms_per_s
        self.age_s = change.age_s
        self._take_demand(change.demand, now_s=now_s)
        self.told_s = now_s
        for number, totals in change.servers.items():
            if totals.streams or totals.token_layers:
                self.servers[number] = totals
            else:
                self.servers.pop(number, None)

    def _take_demand(self, demand: Demand, *, now_s: float) -> None:
        """Take demand in; offers come from workspaces, so that none are unchanged."""
        is_known = now_s - self.heaviest_told_s <= HEAVIEST_LIFE_S
        if demand.offers_per_s and not demand.heaviest_per_s and is_known:
            heaviest_per_s = self.demand.heaviest_per_s
        else:
            heaviest_per_s = self._with_unnamed(demand.heaviest_per_s, now_s=now_s)
            self.heaviest_told_s = now_s
        self.demand = demand._replace(heaviest_per_s=heaviest_per_s)

    def _with_unnamed(
        self, named_per_s: Mapping[tuple[DemandKey, int], float], *, now_s: float
    ) -> Mapping[tuple[DemandKey, int], float]:
        """Return workspaces with those that a full list may just have left out.

        Counts of one second waver, so that workspaces near the end of a list come
        and go.  What isn't named has at most the least rate that is.
        """
        self.named_s |= dict.fromkeys(named_per_s, now_s)
        self.named_s = {
            entry: named_s
            for entry, named_s in self.named_s.items()
            if now_s - named_s <= UNNAMED_LIFE_S
        }
        if len(named_per_s) < MAX_SENT_WORKSPACES:
            return named_per_s
        least_per_s = min(named_per_s.values())
        unnamed_per_s = {
            entry: min(rate, least_per_s)
            for entry, rate in self.demand.heaviest_per_s.items()
            if entry in self.named_s
        }
        return {**unnamed_per_s, **named_per_s}

    def totals(self, *, now_s: float) -> LoadTotals:
        """Return all that it has told, as old as that is now."""
        age_s = self.age_s + now_s - self.told_s
        return LoadTotals(
            self.instances, self.pipe_ms_per_s, self.servers, age_s, self.demand
        )


class _Suspicion(NamedTuple):
    """An instance that gives no answer, until when it is passed over, and so long."""

    #: What its entry held: who starts again writes another one.
    token: str
    until_s: float
    length_s: float


class LoadSums:
    """One instance's place in the tree, and what its neighbours have told.

    Args:
        directory: The instances that are known.

    .. versionadded:: 26.2.0
    """

    def __init__(self, directory: InstanceDirectory) -> None:
        self._directory = directory
        self._told: dict[str, _Told] = {}
        #: Since when an instance is told without a word from it.
        self._unanswered_since_s: dict[str, float] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._others: LoadTotals = EMPTY_LOAD
        #: The directory's revision that the ranks are of, and by zone its
        #: instances' ids, the root first.
        self._ranks_revision = -1
        self._ranks_by_zone: dict[str, list[str]] = {}
        self._tokens: dict[str, str] = {}

    @property
    def others(self) -> LoadTotals:
        """What all other instances have, as of the last `refresh`."""
        return self._others

    def update(
        self, sender: str, direction: Direction, change: LoadTotals, *, now_s: float
    ) -> bool:
        """Take in what an instance tells; tell whether it is a neighbour's word.

        Args:
            sender: The instance that tells it.
            direction: Where it sends it, seen from itself.
            change: Its sum, with the servers that have changed.
            now_s: The current monotonic time, in seconds.
        """
        self._unanswered_since_s.pop(sender, None)
        self._suspicions.pop(sender, None)
        if not self._is_neighbour(sender, direction, now_s=now_s):
            return False
        told = self._told.get(sender)
        if told is None or told.direction is not direction:
            told = self._told[sender] = _Told(direction)
        told.take(change, now_s=now_s)
        return True

    def refresh(self, *, now_s: float) -> None:
        """Drop what was told too long ago, and sum up the rest."""
        for sender, told in list(self._told.items()):
            if now_s - told.told_s > TOLD_LIFE_S:
                del self._told[sender]
        self._others = total(told.totals(now_s=now_s) for told in self._told.values())

    def note_standstill(self, stood_s: float, *, now_s: float) -> None:
        """Count this instance's own standstill as nobody's silence.

        Args:
            stood_s: How long it lasted, in seconds.
            now_s: The current monotonic time, in seconds.
        """
        for one, since_s in self._unanswered_since_s.items():
            self._unanswered_since_s[one] = min(now_s, since_s + stood_s)

    def neighbours(self, *, now_s: float) -> dict[str, Direction]:
        """Return whom to tell, and in which direction.

        Whoever gave no word in answer for long is passed over for a while.
        """
        self._suspect(now_s=now_s)
        neighbours = {
            sender: Direction.DOWN
            for sender, told in self._told.items()
            if told.direction is Direction.UP
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
        """Return what to tell a neighbour: all on this side of it.

        Another zone's root is told of this zone only.
        """
        parts = [own]
        for sender, told in self._told.items():
            is_of_zone = told.direction is Direction.UP
            if sender != neighbour and (is_of_zone or direction is Direction.DOWN):
                parts.append(told.totals(now_s=now_s))
        return total(parts)

    def _is_neighbour(self, sender: str, direction: Direction, *, now_s: float) -> bool:
        """Tell whether a word comes from where this instance sums it up."""
        parent = self._parent(now_s=now_s)
        if direction is Direction.ACROSS:
            return parent is None
        if direction is Direction.DOWN:
            return sender == parent
        return sender != parent and sender in self._ranks()

    def _parent(self, *, now_s: float) -> str | None:
        """Return the next instance up the tree, or None for a zone's root.

        Where the way up is silent, the first instance of the zone that is not.
        """
        ranks = self._ranks()
        own_rank = ranks.index(self._directory.own.id)
        above = own_rank
        while above:
            above = (above - 1) // FAN_OUT
            if not self._is_suspected(ranks[above], now_s=now_s):
                return ranks[above]
        return next(
            (
                one
                for one in ranks[:own_rank]
                if not self._is_suspected(one, now_s=now_s)
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
            up = (one for one in ranks if not self._is_suspected(one, now_s=now_s))
            roots.extend([root for root in [next(up, None)] if root is not None])
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

    def _suspect(self, *, now_s: float) -> None:
        """Pass over who has been told for long without a word in answer."""
        for one, since_s in list(self._unanswered_since_s.items()):
            if now_s - since_s > TOLD_LIFE_S:
                self._pass_over(one, now_s=now_s)
                del self._unanswered_since_s[one]

    def _pass_over(self, instance_id: str, *, now_s: float) -> None:
        """Leave an instance out that gave no answer."""
        known = self._suspicions.get(instance_id)
        length_s = SUSPECTED_S
        if known is not None:
            length_s = min(LONGEST_SUSPECTED_S, 2 * known.length_s)
        token = self._tokens.get(instance_id, "")
        self._suspicions[instance_id] = _Suspicion(token, now_s + length_s, length_s)

    def _is_suspected(self, instance_id: str, *, now_s: float) -> bool:
        """Tell whether an instance is passed over now."""
        known = self._suspicions.get(instance_id)
        if known is None or now_s >= known.until_s:
            return False
        return self._tokens.get(instance_id) == known.token
