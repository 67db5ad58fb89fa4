# SPDX-License-Identifier: MIT
"""Which other instances have said that they reach no server of a service.

Load pattern: up to all but one of hundreds of instances lose their links within some
hundred ms, to one service or to all.  What they say comes late, in another order, not
at all, or from some of them only; and they are killed and started again meanwhile.
"""

from __future__ import annotations

import functools
import zlib

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..instances import InstanceEntry


#: How long what an instance says when it refuses a call counts, in seconds.
HEARSAY_LIFE_S = 10.0
_MAX_LIFETIME = 2**31
#: The number of cached lifetimes: they are looked up for each forwarded call.
_LIFETIME_CACHE_SIZE = 4096


class LinkAnnouncement(NamedTuple):
    """What an instance says of its own links.

    Attributes:
        lifetime: The instance's process; each start has a number of its own.
        number: Grows with each change; a late announcement has a lower one.
        services: The services that it reaches no server of.
        life_s: How long this counts without being said again, in seconds.
    """

    lifetime: int
    number: int
    services: frozenset[str]
    life_s: float


class _Announced(NamedTuple):
    """The last announcement of an instance.

    Attributes:
        announcement: What it said.
        until_s: Until when that counts, in monotonic seconds.
    """

    announcement: LinkAnnouncement
    until_s: float


def lifetime_of(entry: InstanceEntry) -> int:
    """Return the number of the process that wrote an entry."""
    return _lifetime(entry.token)


@functools.lru_cache(maxsize=_LIFETIME_CACHE_SIZE)
def _lifetime(token: str) -> int:
    """Return the number of the process that has a token."""
    return zlib.crc32(token.encode()) % _MAX_LIFETIME


class AnnouncedLinks:
    """What other instances have said of their links to backend servers."""

    def __init__(self) -> None:
        #: By instance and the number of its process.
        self._announced: dict[tuple[str, int], _Announced] = {}
        #: By instance, its token and service, until when a refusal says that its links
        #: are lost.
        self._heard_until_s: dict[tuple[str, str, str], float] = {}

    def take(
        self, peer: InstanceEntry, announcement: LinkAnnouncement, *, now_s: float
    ) -> bool:
        """Take an announcement in; tell whether it says anything new.

        Args:
            peer: The instance that sent it.
            announcement: What it says.
            now_s: The current monotonic time, in seconds.
        """
        key = (peer.id, announcement.lifetime)
        known = self._announced.get(key)
        if known is not None and announcement.number < known.announcement.number:
            return False  # it was overtaken by a later one
        until_s = now_s + announcement.life_s
        self._announced[key] = _Announced(announcement, until_s)
        self._forget_heard(peer)
        is_current = known is not None and now_s < known.until_s
        before = known.announcement.services if known and is_current else frozenset()
        return announcement.services != before

    def take_refusal(
        self,
        peer: InstanceEntry,
        service: str,
        others: Mapping[InstanceEntry, float],
        *,
        now_s: float,
    ) -> None:
        """Take in what an instance said of itself and of others as it refused a call.

        Args:
            peer: The instance, which reaches no server of the service.
            service: The service.
            others: For how long others count as ones that reach none either, in
                seconds.  It never grows as it is passed on, so that it lapses.
            now_s: The current monotonic time, in seconds.
        """
        for other, left_s in others.items():
            if self._current(other, now_s=now_s) is None:
                self._note_heard(other, service, left_s, now_s=now_s)
        current = self._current(peer, now_s=now_s)
        if current is None:
            self._note_heard(peer, service, HEARSAY_LIFE_S, now_s=now_s)
        elif service not in current.announcement.services:
            self._add_lost(peer, current.announcement, service, now_s=now_s)

    def _note_heard(
        self, peer: InstanceEntry, service: str, left_s: float, *, now_s: float
    ) -> None:
        """Note that an instance reaches no server of a service, for a time."""
        key = (peer.id, peer.token, service)
        until_s = now_s + min(left_s, HEARSAY_LIFE_S)
        self._heard_until_s[key] = max(until_s, self._heard_until_s.get(key, 0.0))

    def _add_lost(
        self,
        peer: InstanceEntry,
        announcement: LinkAnnouncement,
        service: str,
        *,
        now_s: float,
    ) -> None:
        """Add a service to what an instance has announced: its next one got lost."""
        services = announcement.services | {service}
        self._announced[peer.id, announcement.lifetime] = _Announced(
            announcement._replace(services=services), now_s + HEARSAY_LIFE_S
        )

    def _forget_heard(self, peer: InstanceEntry) -> None:
        """Forget what was heard of an instance: it has spoken for itself."""
        for key in [key for key in self._heard_until_s if key[0] == peer.id]:
            del self._heard_until_s[key]

    def take_answer(self, peer: InstanceEntry, service: str) -> None:
        """Take in that an instance serves a call of a service."""
        self._heard_until_s.pop((peer.id, peer.token, service), None)

    def lost(
        self, peers: Iterable[InstanceEntry], service: str, *, now_s: float
    ) -> dict[str, float]:
        """Return the instances that reach no server of a service, by what was said.

        Returns:
            By id, for how long that counts, in seconds.
        """
        if not self._announced and not self._heard_until_s:
            return {}
        left_s = {one.id: self._lost_s(one, service, now_s=now_s) for one in peers}
        return {peer_id: lost_s for peer_id, lost_s in left_s.items() if lost_s > 0}

    def counts(self, peers: Iterable[InstanceEntry], *, now_s: float) -> dict[str, int]:
        """Return, by service, how many instances have announced lost links."""
        found: Counter[str] = Counter()
        for peer in peers:
            known = self._current(peer, now_s=now_s)
            found.update(known.announcement.services if known is not None else ())
        return dict(found)

    def forget_old(self, *, now_s: float) -> None:
        """Forget what no longer counts."""
        self._heard_until_s = {
            key: until_s
            for key, until_s in self._heard_until_s.items()
            if now_s < until_s
        }
        self._announced = {
            key: one for key, one in self._announced.items() if now_s < one.until_s
        }

    def _lost_s(self, peer: InstanceEntry, service: str, *, now_s: float) -> float:
        """Return for how long an instance counts as one without links, in seconds.

        What it has announced itself goes before what was heard of it.
        """
        known = self._current(peer, now_s=now_s)
        if known is None:
            key = (peer.id, peer.token, service)
            return self._heard_until_s.get(key, 0.0) - now_s
        is_lost = service in known.announcement.services
        return known.until_s - now_s if is_lost else 0.0

    def _current(self, peer: InstanceEntry, *, now_s: float) -> _Announced | None:
        """Return what an instance has announced, if that counts.

        What a new process announces counts once its entry is known.
        """
        known = self._announced.get((peer.id, lifetime_of(peer)))
        return known if known is not None and now_s < known.until_s else None
