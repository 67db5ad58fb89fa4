# SPDX-License-Identifier: MIT
"""The instances that are known, and who reads the store for whom.

Reads of the store must not grow with the instances.  In each availability zone
a few instances read it; the others follow one of these.  Who reads follows from
the known instances alone, so that nothing has to be agreed: whoever believes
otherwise for a while reads the store itself.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import math

from collections.abc import Mapping
from typing import NamedTuple

from .membership import rendezvous
from .path_shares import ALONE, Place


#: The most instances that follow one reader: a desired state of 300 KB goes out
#: to all of them in a second over the slowest link of today's sites (20 Mbit/s),
#: since it is a tenth of that when packed.
FOLLOWERS_A_READER = 24
#: From how many instances in a zone on they follow a reader.  Its short reads
#: cost as much as three instances that read for themselves (0.8 s against 2.4).
LEAST_MEMBERS = 5
#: How long an instance that gave no answer counts as down, in seconds.
DOWN_S = 5.0
#: After how long an entry that was not renewed counts no more, in seconds.
ENTRY_LIFE_S = 1800.0

#: How many instances of a zone are asked at least when the store can't be.
_HELPERS_A_ZONE = 2
#: Keys the rendezvous hash that ranks the readers.
_READER_JOB = "reader"
#: Keys the rendezvous hash that gives each its place in its zone.
_PLACE_JOB = "place"


class InstanceEntry(NamedTuple):
    """An instance as its entry in the store tells it.

    Attributes:
        address: Where other instances ask it.
        token: What they have to show: only who reads the store knows it.
        link_mbps: The rate of its machine's link.
        written_s: The store's steady clock when it was written, in seconds.

    .. versionadded:: 26.1.0
    """

    id: str
    availability_zone: str
    address: str
    token: str
    link_mbps: float
    written_s: float


class InstanceDirectory:
    """One instance's view of all others.

    Args:
        own: The instance's own entry.

    .. versionadded:: 26.1.0
    """

    def __init__(self, own: InstanceEntry) -> None:
        self.own = own
        #: Grows whenever entries were taken in.
        self.revision = 0
        self._entries: dict[str, InstanceEntry] = {}
        self._down_until_s: dict[str, float] = {}
        #: The own place, and the revision that it is of.
        self._place = ALONE
        self._place_revision = 0

    def __len__(self) -> int:
        return len(self._entries)

    def take(
        self, entries: Mapping[str, InstanceEntry | None], *, is_whole: bool
    ) -> None:
        """Take entries in.

        Args:
            entries: By id, an entry, or None where it is gone.
            is_whole: Whether these are all entries.
        """
        self.revision += 1
        if is_whole:
            self._entries.clear()
        for instance_id, entry in entries.items():
            if entry is None:
                self._entries.pop(instance_id, None)
            else:
                self._entries[instance_id] = entry

    def expired(self, *, store_s: float) -> list[str]:
        """Return the ids of entries that were not renewed for long."""
        return [
            entry.id
            for entry in self._entries.values()
            if entry.id != self.own.id and store_s - entry.written_s > ENTRY_LIFE_S
        ]

    def note_down(self, instance_id: str, *, now_s: float) -> None:
        """Note that an instance gave no answer."""
        self._down_until_s[instance_id] = now_s + DOWN_S

    def source(self, *, now_s: float) -> InstanceEntry | None:
        """Return the instance to follow, or None to read the store oneself."""
        members = self._members(self.own.availability_zone, now_s=now_s)
        if len(members) < LEAST_MEMBERS:
            return None
        readers = _readers(members)
        if self.own.id in readers:
            return None
        return members[rendezvous(self.own.id, readers)[0]]

    def is_reader(self, *, now_s: float) -> bool:
        """Tell whether others follow this instance."""
        members = self._members(self.own.availability_zone, now_s=now_s)
        return len(members) >= LEAST_MEMBERS and self.own.id in _readers(members)

    def rank(self, job: str, *, now_s: float) -> int:
        """Return how many instances come before this one for a job."""
        ids = {one.id for one in self._entries.values() if self._is_up(one, now_s)}
        order = rendezvous(job, ids | {self.own.id}, count=len(ids) + 1)
        return order.index(self.own.id)

    def place(self) -> Place:
        """Return where this instance stands among those of its zone.

        Who is thought to be down counts too: places that change with each doubt
        would move streams to other runners.
        """
        if self._place_revision != self.revision:
            zone = self.own.availability_zone
            ids = {one.id for one in self.others() if one.availability_zone == zone} | {
                self.own.id
            }
            rank = rendezvous(_PLACE_JOB, ids, count=len(ids)).index(self.own.id)
            self._place = Place((rank + 0.5) / len(ids), len(ids))
            self._place_revision = self.revision
        return self._place

    def others(self) -> list[InstanceEntry]:
        """Return all other instances."""
        return [one for one in self._entries.values() if one.id != self.own.id]

    def helpers(self, *, now_s: float) -> list[InstanceEntry]:
        """Return whom to ask when the store can't be, nearest first.

        They are those of each zone that read or would read next, in an order of
        this instance's own, so that not all ask the same.
        """
        zones = {entry.availability_zone for entry in self._entries.values()}
        near = self.own.availability_zone
        nearest_first = sorted(zones, key=lambda one: (one != near, one))
        return [
            helper
            for zone in nearest_first
            for helper in self._zone_helpers(zone, now_s=now_s)
        ]

    def _zone_helpers(self, zone: str, *, now_s: float) -> list[InstanceEntry]:
        """Return whom to ask in a zone when the store can't be."""
        members = self._members(zone, now_s=now_s)
        members.pop(self.own.id, None)
        first = ranked(members)[: max(_HELPERS_A_ZONE, len(_readers(members)))]
        order = rendezvous(self.own.id, first, count=len(first))
        return [members[one] for one in order]

    def _members(self, zone: str, *, now_s: float) -> dict[str, InstanceEntry]:
        """Return a zone's instances that are not thought to be down."""
        members = {
            entry.id: entry
            for entry in self._entries.values()
            if entry.availability_zone == zone and self._is_up(entry, now_s)
        }
        if zone == self.own.availability_zone:
            members[self.own.id] = self.own
        return members

    def _is_up(self, entry: InstanceEntry, now_s: float) -> bool:
        """Tell whether an instance is not thought to be down."""
        return now_s >= self._down_until_s.get(entry.id, 0.0)


def _readers(members: Mapping[str, InstanceEntry]) -> list[str]:
    """Return the ids of those who read the store for others."""
    return ranked(members)[: math.ceil(len(members) / FOLLOWERS_A_READER)]


def ranked(members: Mapping[str, InstanceEntry]) -> list[str]:
    """Return ids in the order in which they serve others, the best links first.

    .. versionadded:: 26.2.0
    """
    ranked = list(rendezvous(_READER_JOB, members, count=len(members)))
    ranked.sort(key=lambda one: -members[one].link_mbps)
    return ranked
