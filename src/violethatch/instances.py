# SPDX-License-Identifier: MIT
"""The instances that are known, and who reads the store for whom.

Reads of the store must not grow with the instances.  In a large region two
instances read it, in two zones; in each availability zone a few relay what these
know, and the others follow one of them.  Who does which follows from the known
instances alone, so that nothing has to be agreed: whoever believes otherwise for a
while reads the store itself.

A reader that the store refuses says so.  The next ones in rank stand in for it;
nobody else asks the store then, so that an outage costs no more calls than rest.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import math

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from .membership import rendezvous
from .path_shares import SOLE_INSTANCE, ZonePosition


#: The most instances that follow one reader: a desired state of 300 KB goes out
#: to all of them in a second over the slowest link of today's sites (20 Mbit/s),
#: since it is a tenth of that when packed.
FOLLOWERS_A_READER = 24
#: From how many instances in a zone on they follow a reader.  Its short reads
#: cost as much as three instances that read for themselves (0.8 s against 2.4).
LEAST_MEMBERS = 5
#: From how many instances in a region on two of them read for all.  Their short
#: reads (1.2 s against 2.4 s, twice) cost less than those of a reader a zone then.
LEAST_REGION = 16
#: How many instances of a large region read the store.
READERS = 2
#: How many stand in for readers that the store refuses.  With three in ten refused,
#: readers and substitutes all are once in a thousand times.
SUBSTITUTES = 4
#: How long an instance that gave no answer counts as down, in seconds.
DOWN_S = 5.0
#: How long an instance counts as refused by the store that says so, in
#: seconds; it may be back within two.
REFUSED_S = 1.0
#: After how long an entry that was not renewed counts no more, in seconds.
ENTRY_LIFE_S = 1800.0

#: The removed entries that are remembered, the latest ones: a region's, three times.
_MAX_REMOVED = 1_000
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
        region: Where its zone is.

    .. versionadded:: 26.1.0
    """

    id: str
    availability_zone: str
    address: str
    token: str
    link_mbps: float
    written_s: float
    region: str = ""


class _Ranks(NamedTuple):
    """Who comes first, by the entries of one revision.

    Attributes:
        region: The ids of the own region, those that should read it first.
        zones: By zone, its ids in the same order.
    """

    revision: int
    region: tuple[str, ...]
    zones: Mapping[str, tuple[str, ...]]


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
        #: The latest entries that were removed, and those that a copy of the store has
        #: all the same.
        self._removed: dict[str, InstanceEntry] = {}
        self._undone: set[str] = set()
        self._down_until_s: dict[str, float] = {}
        #: By instance, the token that it refused.
        self._refused_tokens: dict[str, str] = {}
        #: Called when an instance has refused the token that its entry tells.
        self.on_token_refused: Callable[[], None] = lambda: None
        self._refused_until_s: dict[str, float] = {}
        self._ranks_known: _Ranks | None = None
        #: The own place, and the revision that it is of.
        self._place = SOLE_INSTANCE
        self._place_revision = 0

    def __len__(self) -> int:
        return len(self._entries)

    def take(
        self,
        entries: Mapping[str, InstanceEntry | None],
        *,
        is_whole: bool,
        is_restored: bool = False,
    ) -> None:
        """Take entries in.

        Args:
            entries: By id, an entry, or None where it is gone.
            is_whole: Whether these are all entries.
            is_restored: Whether the store was restored from a copy: entries that it
                lacks are written again, and those that were removed stay so.
        """
        self.revision += 1
        if not is_whole:
            self._undone -= entries.keys()
        else:
            suspect = entries.keys() if is_restored else self._undone & entries.keys()
            self._undone = {one for one in suspect if self._is_undone(entries[one])}
        if is_whole and not is_restored:
            for instance_id in self._entries.keys() - entries.keys():
                self._remove(instance_id)
        for instance_id, entry in entries.items():
            if instance_id in self._undone:
                continue
            if entry is None:
                self._remove(instance_id)
            else:
                self._removed.pop(instance_id, None)
                self._add(entry)

    def _add(self, entry: InstanceEntry) -> None:
        """Add an entry; that of a new process is not down as its predecessor was."""
        known = self._entries.get(entry.id)
        if known is None or known.token != entry.token:
            self._down_until_s.pop(entry.id, None)
            self._refused_tokens.pop(entry.id, None)
        self._entries[entry.id] = entry

    def _is_undone(self, entry: InstanceEntry | None) -> bool:
        """Return whether an entry is one that was removed, or an earlier one."""
        removed = self._removed.get(entry.id) if entry is not None else None
        if entry is None or removed is None or entry.token != removed.token:
            return False
        return entry.written_s <= removed.written_s

    def _remove(self, instance_id: str) -> None:
        """Remove an entry, and remember it for a copy that may still have it."""
        entry = self._entries.pop(instance_id, None)
        if entry is None:
            return
        self._refused_tokens.pop(instance_id, None)
        self._removed[instance_id] = entry
        while len(self._removed) > _MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def expired(self, *, store_s: float) -> list[str]:
        """Return the ids of entries to remove from the store.

        They were not renewed for long, or a copy of the store has brought them back.
        """
        old = [
            entry.id
            for entry in self._entries.values()
            if entry.id != self.own.id and store_s - entry.written_s > ENTRY_LIFE_S
        ]
        return old + sorted(self._undone - {self.own.id})

    def note_down(self, instance_id: str, *, now_s: float) -> None:
        """Note that an instance gave no answer."""
        self._down_until_s[instance_id] = now_s + DOWN_S

    def note_token_refused(self, peer: InstanceEntry) -> None:
        """Note that another process has an instance's address by now.

        Nothing is asked there until the entry of that process is known.
        """
        self._refused_tokens[peer.id] = peer.token
        if self._is_token_refused(peer.id):
            self.on_token_refused()

    def note_refused(self, instance_id: str, *, now_s: float) -> None:
        """Note that an instance has said that the store refuses it."""
        self._refused_until_s[instance_id] = now_s + REFUSED_S

    def source(self, *, now_s: float) -> InstanceEntry | None:
        """Return the instance to follow, or None to read the store oneself."""
        readers = self._region_readers(now_s=now_s)
        if self.own.id in readers:
            return None
        relays = self._relays(now_s=now_s)
        if relays and self.own.id not in relays:
            return self._entries[rendezvous(self.own.id, relays)[0]]
        if readers:
            return self._entries[self._nearest(readers)]
        return None

    def is_reader(self, *, now_s: float) -> bool:
        """Tell whether others follow this instance, which reads the store."""
        readers = self._region_readers(now_s=now_s)
        return self.own.id in (readers or self._relays(now_s=now_s))

    @property
    def is_region_large(self) -> bool:
        """Whether two instances read the store for the region."""
        return len(self._ranks().region) >= LEAST_REGION

    def is_relay(self, *, now_s: float) -> bool:
        """Tell whether others of the zone follow this instance."""
        return self.own.id in self._relays(now_s=now_s)

    def _region_readers(self, *, now_s: float) -> Sequence[str]:
        """Return who reads the store for the region; nobody in a small one."""
        if not self.is_region_large:
            return ()
        up = [one for one in self._ranks().region if self._is_up(one, now_s)]
        order = _spread(up, self._zone_of)
        first = order[:READERS]
        present = [one for one in first if not self._is_refused(one, now_s)]
        if present:
            return present
        # They are asked again, but the next ones find out whether they are served.
        substitutes = order[READERS : READERS + SUBSTITUTES]
        served = [one for one in substitutes if not self._is_refused(one, now_s)]
        return served[:READERS] or first

    def _relays(self, *, now_s: float) -> Sequence[str]:
        """Return who passes tables on in the own zone; nobody in a small one."""
        zone = self._zone_up(self.own.availability_zone, now_s=now_s)
        if len(zone) < LEAST_MEMBERS:
            return ()
        present = [one for one in zone if not self._is_refused(one, now_s)] or zone
        return present[: math.ceil(len(zone) / FOLLOWERS_A_READER)]

    def _nearest(self, readers: Sequence[str]) -> str:
        """Return the reader of the own zone, or one by this instance's own choice."""
        zone = self.own.availability_zone
        near = [one for one in readers if self._zone_of(one) == zone]
        return rendezvous(self.own.id, near or readers)[0]

    def rank(self, job: str, *, now_s: float) -> int:
        """Return how many instances come before this one for a job."""
        ids = {one for one in self._entries if self._is_up(one, now_s)}
        order = rendezvous(job, ids | {self.own.id}, count=len(ids) + 1)
        return order.index(self.own.id)

    def place(self) -> ZonePosition:
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
            self._place = ZonePosition((rank + 0.5) / len(ids), len(ids))
            self._place_revision = self.revision
        return self._place

    def others(self) -> list[InstanceEntry]:
        """Return all other instances."""
        return [one for one in self._entries.values() if one.id != self.own.id]

    def find(self, instance_id: str) -> InstanceEntry | None:
        """Return another instance's entry, or None if it isn't known."""
        entry = self._entries.get(instance_id)
        return entry if instance_id != self.own.id else None

    def askable(self) -> list[InstanceEntry]:
        """Return the other instances that have not refused the token known here."""
        return [one for one in self.others() if not self._is_token_refused(one.id)]

    def helpers(self, *, now_s: float) -> list[InstanceEntry]:
        """Return whom to ask when the store can't be, in the order to ask them.

        First come the readers of a large region, then those of each zone that read
        or would read next, near ones first, in an order of this instance's own, so
        that not all ask the same.  Those that the store refused a moment ago come last.
        """
        near = self.own.availability_zone
        zones = sorted(self._ranks().zones, key=lambda one: (one != near, one))
        helpers = [*self._region_readers(now_s=now_s)]
        for zone in zones:
            helpers.extend(self._zone_helpers(zone, now_s=now_s))
        helpers.sort(key=lambda one: self._is_refused(one, now_s))
        return [
            self._entries[one]
            for one in dict.fromkeys(helpers)
            if one in self._entries and one != self.own.id
        ]

    def _zone_helpers(self, zone: str, *, now_s: float) -> Sequence[str]:
        """Return whom to ask in a zone when the store can't be."""
        up = self._zone_up(zone, now_s=now_s)
        others = [one for one in up if one != self.own.id]
        relays = math.ceil(len(up) / FOLLOWERS_A_READER)
        first = others[: max(_HELPERS_A_ZONE, relays)]
        return rendezvous(self.own.id, first, count=len(first))

    def _zone_up(self, zone: str, *, now_s: float) -> list[str]:
        """Return the ids of a zone's instances that are not thought to be down."""
        ids = self._ranks().zones.get(zone, ())
        return [one for one in ids if self._is_up(one, now_s)]

    def _ranks(self) -> _Ranks:
        """Return who comes first, worked out anew when entries were taken in."""
        known = self._ranks_known
        if known is not None and known.revision == self.revision:
            return known
        entries = self._entries | {self.own.id: self.own}
        order = ranked(entries)
        zones: dict[str, list[str]] = {}
        for one in order:
            zones.setdefault(entries[one].availability_zone, []).append(one)
        region = [one for one in order if entries[one].region == self.own.region]
        self._ranks_known = _Ranks(
            self.revision,
            tuple(region),
            {zone: tuple(ids) for zone, ids in zones.items()},
        )
        return self._ranks_known

    def _zone_of(self, instance_id: str) -> str:
        """Return an instance's zone."""
        if instance_id == self.own.id:
            return self.own.availability_zone
        return self._entries[instance_id].availability_zone

    def _is_up(self, instance_id: str, now_s: float) -> bool:
        """Tell whether an instance is not thought to be down."""
        if self._is_token_refused(instance_id):
            return False
        return now_s >= self._down_until_s.get(instance_id, 0.0)

    def _is_token_refused(self, instance_id: str) -> bool:
        """Tell whether an instance has refused the token that its entry tells."""
        entry = self._entries.get(instance_id)
        refused = self._refused_tokens.get(instance_id)
        return entry is not None and entry.token == refused

    def _is_refused(self, instance_id: str, now_s: float) -> bool:
        """Tell whether the store was refused to an instance a moment ago."""
        return now_s < self._refused_until_s.get(instance_id, 0.0)


def _spread(ids: Sequence[str], zone_of: Callable[[str], str]) -> list[str]:
    """Return ids in their order, but with two zones among the first two."""
    if not ids:
        return []
    first = ids[0]
    rest = list(ids[1:])
    second = next((one for one in rest if zone_of(one) != zone_of(first)), None)
    if second is None:
        return [first, *rest]
    rest.remove(second)
    return [first, second, *rest]


def ranked(members: Mapping[str, InstanceEntry]) -> list[str]:
    """Return ids in the order in which they serve others, the best links first.

    .. versionadded:: 26.2.0
    """
    ranked = list(rendezvous(_READER_JOB, members, count=len(members)))
    ranked.sort(key=lambda one: -members[one].link_mbps)
    return ranked
