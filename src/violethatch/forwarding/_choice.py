# SPDX-License-Identifier: MIT
"""Chooses the instance that serves a call for one without links.

Load pattern: up to all but one of hundreds of instances lose their links at the same
moment and hand over all that they are asked for; those that serve have to share it.
"""

from __future__ import annotations

import random

from collections import Counter
from collections.abc import Collection, Iterable
from typing import NamedTuple

from ..instances import InstanceEntry


#: How long an instance that could not serve a service is not asked again, in seconds.
REFUSED_LIFE_S = 1.0
#: The same for one that gives no answer at all, at first and at most, in seconds.
#: Each further silence doubles it.
SILENT_LIFE_S = 0.6
MAX_SILENT_LIFE_S = 3.0
#: How long what an instance told of its load counts, in seconds.
_LOAD_LIFE_S = 1.0
#: By how many requests in progress an instance of another zone has to be emptier than
#: one of the own zone: the way to it is longer.
_FAR_REQUESTS = 4
#: Instances that are compared, of the own zone and of others each.
_COMPARED = 2


class _Load(NamedTuple):
    """The requests in progress that an instance told of, and when."""

    in_flight: int
    told_s: float


class PeerChoice:
    """What one instance knows of others that might serve its calls.

    Args:
        zone: The instance's availability zone.
        rng: Chooses whom to compare.
    """

    def __init__(self, zone: str, *, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        #: By instance and service, until when it is not asked; all services where the
        #: service is an empty text.
        self._until_s: dict[tuple[str, str], float] = {}
        #: By instance, the silences since its last answer.
        self._silences: Counter[str] = Counter()
        self._loads: dict[str, _Load] = {}
        self._own: Counter[str] = Counter()

    def choose(
        self,
        peers: Iterable[InstanceEntry],
        service: str,
        *,
        avoided: Collection[str] = (),
        now_s: float,
    ) -> InstanceEntry | None:
        """Return the instance to ask next, or None if none may serve the service.

        Args:
            peers: All other instances.
            service: The call's service.
            avoided: The ids of instances that were asked already.
            now_s: The current monotonic time, in seconds.
        """
        barred = self._unable(service, now_s=now_s).union(avoided)
        near: list[InstanceEntry] = []
        far: list[InstanceEntry] = []
        for one in peers:
            if one.id not in barred:
                is_near = one.availability_zone == self._zone
                (near if is_near else far).append(one)
        compared = [*self._sample(near), *self._sample(far)]
        if not compared:
            return None
        return min(compared, key=lambda one: self._cost(one, now_s))

    def note_refused(self, peer_id: str, service: str, *, now_s: float) -> None:
        """Note that an instance can't serve a service now."""
        self._until_s[peer_id, service] = now_s + REFUSED_LIFE_S

    def note_silent(self, peer_id: str, *, now_s: float) -> None:
        """Note that an instance gives no answer."""
        if now_s < self._until_s.get((peer_id, ""), 0.0):
            return  # the same silence, seen by another call
        life_s = SILENT_LIFE_S * 2 ** self._silences[peer_id]
        if life_s < MAX_SILENT_LIFE_S:
            self._silences[peer_id] += 1
        self._until_s[peer_id, ""] = now_s + min(life_s, MAX_SILENT_LIFE_S)

    def note_load(self, peer_id: str, in_flight: int, *, now_s: float) -> None:
        """Note how many requests an instance has in progress."""
        self._loads[peer_id] = _Load(in_flight, now_s)

    def began(self, peer_id: str) -> None:
        """Count a call that an instance serves for this one."""
        self._silences.pop(peer_id, None)
        self._own[peer_id] += 1

    def ended(self, peer_id: str) -> None:
        """Count the end of such a call."""
        self._own[peer_id] -= 1
        if not self._own[peer_id]:
            del self._own[peer_id]

    def forget_old(self, *, now_s: float) -> None:
        """Forget what no longer counts."""
        self._until_s = {
            key: until_s for key, until_s in self._until_s.items() if until_s > now_s
        }
        self._loads = {
            peer_id: load
            for peer_id, load in self._loads.items()
            if now_s - load.told_s < _LOAD_LIFE_S
        }

    def _unable(self, service: str, *, now_s: float) -> set[str]:
        """Return the instances that are known to be unable to serve a service."""
        return {
            peer_id
            for (peer_id, known), until_s in self._until_s.items()
            if now_s < until_s and known in ("", service)
        }

    def _sample(self, peers: list[InstanceEntry]) -> list[InstanceEntry]:
        """Return some instances by chance."""
        return self._rng.sample(peers, min(_COMPARED, len(peers)))

    def _cost(self, peer: InstanceEntry, now_s: float) -> float:
        """Return how full an instance is, with the way to it, in requests."""
        load = self._loads.get(peer.id)
        is_known = load is not None and now_s - load.told_s < _LOAD_LIFE_S
        told = load.in_flight if load is not None and is_known else 0
        way = 0 if peer.availability_zone == self._zone else _FAR_REQUESTS
        return max(told, self._own[peer.id]) + way
