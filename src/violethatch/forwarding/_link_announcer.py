# SPDX-License-Identifier: MIT
"""Decides whom to tell, and when, that this instance's links are lost or back.

Load pattern: hundreds of instances lose their links within some hundred ms and each
tells all others by datagrams, of which some are lost; links come and go several times
a second; instances that start meanwhile know of nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..instances import InstanceEntry
from ._announced_links import LinkAnnouncement


#: How often each change is told to each instance.
TELLS = 3
#: The time between these, in seconds.
REPEAT_S = 0.2
#: The least time between two announcements to an instance, in seconds: links that come
#: and go must not fill the links between instances.
LEAST_PAUSE_S = 0.1
#: The shortest and the longest interval at which lost links are announced anew, in
#: seconds; the longest bounds how long an announcement counts.
MIN_RENEWAL_S = 2.0
MAX_RENEWAL_S = 30.0
#: The rate of these announcements, of the 4 KB per second for all control traffic.
MAX_BYTES_PER_S = 3000
#: The size of an announcement with its headers, in bytes.
ANNOUNCEMENT_BYTES = 110
#: How many renewals in a row may be lost.
LOST_RENEWALS = 2
#: How often links that are back are told: until what was told before has lapsed.
RETURN_TELLS = TELLS + LOST_RENEWALS + 1


class _Told(NamedTuple):
    """What an instance was told last.

    Attributes:
        token: The instance's token, which a new start changes.
        number: The number of the change.
        tells: How often it was told.
        told_s: When it was told last, in monotonic seconds.
    """

    token: str
    number: int
    tells: int
    told_s: float


class LinkAnnouncer:
    """Paces what an instance says of its own links.

    Args:
        lifetime: The instance's process; each start has a number of its own.
    """

    def __init__(self, lifetime: int) -> None:
        self._lifetime = lifetime
        self._number = 0
        self._services: frozenset[str] = frozenset()
        self._told: dict[str, _Told] = {}

    @property
    def is_done(self) -> bool:
        """Whether nothing is left to be told."""
        return not self._services and not self._told

    def update(self, services: Iterable[str]) -> None:
        """Update the services whose links are lost."""
        services = frozenset(services)
        if services != self._services:
            self._services = services
            self._number += 1

    def announcement(self, *, instances: int) -> LinkAnnouncement:
        """Return what is to be told.

        Args:
            instances: How many other instances there are.
        """
        life_s = (LOST_RENEWALS + 1) * _renewal_s(instances) + REPEAT_S
        return LinkAnnouncement(self._lifetime, self._number, self._services, life_s)

    def select(
        self, peers: Iterable[InstanceEntry], *, now_s: float
    ) -> list[InstanceEntry]:
        """Return the instances to tell now, and count them as told.

        Args:
            peers: All other instances.
            now_s: The current monotonic time, in seconds.
        """
        peers = list(peers)
        renewal_s = _renewal_s(len(peers))
        due = [one for one in peers if self._is_due(one, renewal_s, now_s=now_s)]
        for peer in due:
            tells = self._tells(peer) + 1
            self._told[peer.id] = _Told(peer.token, self._number, tells, now_s)
        if not self._services:
            self._forget_told(peers)
        return due

    def _is_due(self, peer: InstanceEntry, renewal_s: float, *, now_s: float) -> bool:
        """Tell whether an instance is to be told now."""
        told = self._told.get(peer.id)
        if told is None or told.token != peer.token:
            return bool(self._services)  # no other state was ever told there
        silent_s = now_s - told.told_s
        if told.number != self._number:
            return silent_s >= LEAST_PAUSE_S
        if told.tells < TELLS:
            return silent_s >= REPEAT_S
        is_left = bool(self._services) or told.tells < RETURN_TELLS
        return is_left and silent_s >= renewal_s

    def _tells(self, peer: InstanceEntry) -> int:
        """Return how often an instance was told of the last change."""
        told = self._told.get(peer.id)
        if told is None or told.token != peer.token or told.number != self._number:
            return 0
        return told.tells

    def _forget_told(self, peers: Iterable[InstanceEntry]) -> None:
        """Forget who knows that no links are lost, and who is gone."""
        self._told = {
            one.id: self._told[one.id]
            for one in peers
            if one.id in self._told
            and self._told[one.id].token == one.token
            and self._tells(one) < RETURN_TELLS
        }


def _renewal_s(instances: int) -> float:
    """Return how often lost links are announced anew to each instance, in seconds."""
    paced_s = instances * ANNOUNCEMENT_BYTES / MAX_BYTES_PER_S
    return min(MAX_RENEWAL_S, max(MIN_RENEWAL_S, paced_s))
