# SPDX-License-Identifier: MIT
"""Chooses the instance that serves a call for one without links.

Load pattern: up to all but one of hundreds of instances lose their links at the same
moment and hand over all that they are asked for; those that serve have to share it.
"""

from __future__ import annotations

import random
import statistics

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from ..instances import InstanceEntry
from ._announced_links import AnnouncedLinks


#: How long an instance that could not serve a service is not asked again, in seconds.
REFUSED_LIFE_S = 1.0
#: The same for one that gives no answer at all, at first and at most, in seconds.
#: Each further silence doubles it.
SILENT_LIFE_S = 0.6
MAX_SILENT_LIFE_S = 3.0
#: How many silences in a row are not held against an instance that alone may serve.
_FORGIVEN_SILENCES = 1
#: Instances that are asked for one call at the most.
_MAX_ASKED = 8
#: The same after as many refusals in a row: few instances serve, if any, and a call
#: that is handed to others costs their processors as much as one of their own.
_MAX_ASKED_AFTER_REFUSALS = 2
#: How long refusals in a row count, in seconds.
_REFUSALS_LIFE_S = 5.0
#: How long what an instance told of its load counts, in seconds.
_LOAD_LIFE_S = 1.0
#: By how many requests in progress an instance of another zone has to be emptier than
#: one of the own zone: the way to it is longer.
_FAR_REQUESTS = 1
#: The least part of the own zone's instances that may serve, to that of all instances,
#: for them to be asked before others.
_LEAST_SHARE = 0.9
#: After how many refusals of a call those come first that took another one of late, and
#: for how long after that, in seconds.
_STRANGERS = 2
_TAKEN_LIFE_S = 5.0


class _Load(NamedTuple):
    """What an instance told of its load.

    Attributes:
        others: The requests in progress that this instance hadn't handed to it.
        told_s: When it told, in monotonic seconds.
    """

    others: int
    told_s: float


class _StrangerLoad(NamedTuple):
    """How full an instance of a zone likely is that has told nothing of late.

    Attributes:
        others: The requests in progress that this instance hadn't handed to it.
        way: What the way to its zone counts as, in requests.
    """

    others: float
    way: int


class PeerKnowledge(NamedTuple):
    """Which other instances are left out for a service, and why.

    Attributes:
        peers: All other instances.
        lost: Those that reach none of its servers, by what was said.
        refused: Those that could not serve it.
        silent: Those that give no answer.
        refusals: Refusals since an instance took a call.
    """

    peers: int
    lost: int
    refused: int
    silent: int
    refusals: int


class PeerChoice:
    """What one instance knows of others that might serve its calls.

    Args:
        zone: The instance's availability zone.
        announced: What they have said of their links.
        rng: Chooses among equals.
    """

    def __init__(
        self, zone: str, announced: AnnouncedLinks, *, rng: random.Random
    ) -> None:
        self._zone = zone
        self._announced = announced
        self._rng = rng
        #: By instance and service, until when it is not asked; all services where the
        #: service is an empty text.
        self._until_s: dict[tuple[str, str], float] = {}
        #: By instance, the silences since its last answer.
        self._silences: Counter[str] = Counter()
        self._loads: dict[str, _Load] = {}
        #: By instance and service, when it last took a call.
        self._taken_s: dict[tuple[str, str], float] = {}
        #: By service, the refusals since an instance took a call, and the last one's
        #: time in monotonic seconds.
        self._refusals: dict[str, tuple[int, float]] = {}
        self._own: Counter[str] = Counter()
        #: By instance, the token of the process that all this is about.
        self._tokens: dict[str, str] = {}

    def choose(
        self,
        peers: Iterable[InstanceEntry],
        service: str,
        *,
        refused: Collection[InstanceEntry] = (),
        now_s: float,
    ) -> InstanceEntry | None:
        """Return the instance to ask next, or None if none may serve the service.

        Args:
            peers: All other instances.
            service: The call's service.
            refused: The instances that have refused the call.
            now_s: The current monotonic time, in seconds.
        """
        peers = list(peers)
        self._forget_former(peers)
        barred = self._unable(peers, service, now_s=now_s)
        barred.update(one.id for one in refused)
        able = [one for one in peers if one.id not in barred]
        likely = self._likely(able, service, refused, now_s=now_s) if refused else able
        if not likely:
            return None
        known = self._fresh_loads(now_s=now_s)
        strangers = self._stranger_loads(peers, able, known)
        return min(
            self._rng.sample(likely, len(likely)),
            key=lambda one: self._cost(one, known.get(one.id), strangers),
        )

    def last_resort(
        self, peers: Iterable[InstanceEntry], service: str, *, now_s: float
    ) -> InstanceEntry | None:
        """Return an instance that was silent once, to ask where no other may serve.

        One silence is often that of a busy machine.

        Args:
            peers: All other instances.
            service: The call's service.
            now_s: The current monotonic time, in seconds.
        """
        peers = list(peers)
        unable = self._barred(service, now_s=now_s)
        unable.update(self._announced.lost(peers, service, now_s=now_s))
        able = [
            one
            for one in peers
            if one.id not in unable and self._silences[one.id] <= _FORGIVEN_SILENCES
        ]
        return min(
            able, key=lambda one: self._until_s.get((one.id, ""), 0.0), default=None
        )

    def _stranger_loads(
        self,
        peers: Iterable[InstanceEntry],
        able: Sequence[InstanceEntry],
        known: Mapping[str, _Load],
    ) -> dict[str, _StrangerLoad]:
        """Return, by zone, how full an instance likely is that has told nothing.

        That is the mean of its zone's known loads, or of all where none of it is known:
        such a zone is asked as if it were as near as the own one, to know it.
        """
        by_zone = Counter(one.availability_zone for one in peers)
        usual = _usual_loads(able, known)
        mean = statistics.fmean(usual.values()) if usual else 0.0
        is_near_first = self._has_share(by_zone, able)
        loads = {}
        for zone in by_zone:
            is_known = zone in usual or not usual
            is_far = is_near_first and zone != self._zone and is_known
            way = _FAR_REQUESTS if is_far else 0
            loads[zone] = _StrangerLoad(usual.get(zone, mean), way)
        return loads

    def _has_share(self, by_zone: Counter[str], able: Sequence[InstanceEntry]) -> bool:
        """Tell whether as many of the own zone may serve as of all instances.

        Otherwise those few would get the calls of the whole zone.
        """
        near = sum(one.availability_zone == self._zone for one in able)
        share = _LEAST_SHARE * len(able) / by_zone.total()
        return near >= share * by_zone[self._zone]

    def _likely(
        self,
        able: Sequence[InstanceEntry],
        service: str,
        refused: Collection[InstanceEntry],
        *,
        now_s: float,
    ) -> Sequence[InstanceEntry]:
        """Return those that likely serve a call that others have refused.

        These are the ones of the zones that refused least, since a zone often loses its
        links as a whole; and where few serve, the ones that took a call of late.
        """
        if len(refused) >= _STRANGERS or self._is_rarely_taken(service, now_s=now_s):
            taken = [one for one in able if self._has_taken(one, service, now_s=now_s)]
            if taken:
                return taken
        refusals = Counter(one.availability_zone for one in refused)
        least = min((refusals[one.availability_zone] for one in able), default=0)
        return [one for one in able if refusals[one.availability_zone] == least]

    def _has_taken(self, peer: InstanceEntry, service: str, *, now_s: float) -> bool:
        """Tell whether an instance took a call of a service of late."""
        taken_s = self._taken_s.get((peer.id, service))
        return taken_s is not None and now_s - taken_s < _TAKEN_LIFE_S

    def _is_rarely_taken(self, service: str, *, now_s: float) -> bool:
        """Tell whether as many have refused in a row as are asked for a call."""
        return self._refusals_in_row(service, now_s=now_s) >= _MAX_ASKED

    def knowledge(
        self, peers: Iterable[InstanceEntry], service: str, *, now_s: float
    ) -> PeerKnowledge:
        """Return which instances are left out for a service, for a log line."""
        peers = list(peers)
        ids = {one.id for one in peers}
        return PeerKnowledge(
            peers=len(ids),
            lost=len(self._announced.lost(peers, service, now_s=now_s)),
            refused=len(ids & self._barred(service, now_s=now_s)),
            silent=len(ids & self._barred("", now_s=now_s)),
            refusals=self._refusals_in_row(service, now_s=now_s),
        )

    def lost_peers(
        self, peers: Iterable[InstanceEntry], service: str, *, now_s: float
    ) -> dict[str, float]:
        """Return the instances without links to a service's servers, by what was said.

        Returns:
            By id, for how long that counts, in seconds.
        """
        return self._announced.lost(peers, service, now_s=now_s)

    def count_lost_peers(
        self, peers: Iterable[InstanceEntry], *, now_s: float
    ) -> dict[str, int]:
        """Return how many instances have announced lost links, by service."""
        return self._announced.counts(peers, now_s=now_s)

    def note_refused(self, peer_id: str, service: str, *, now_s: float) -> None:
        """Note that an instance can't serve a service now."""
        self._until_s[peer_id, service] = now_s + REFUSED_LIFE_S
        self._count_refusal(service, now_s=now_s)

    def _count_refusal(self, service: str, *, now_s: float) -> None:
        """Count a refusal since an instance took a call of a service."""
        refusals = self._refusals_in_row(service, now_s=now_s)
        self._refusals[service] = (refusals + 1, now_s)

    def note_lost_links(
        self,
        peer: InstanceEntry,
        service: str,
        others: Mapping[InstanceEntry, float],
        *,
        now_s: float,
    ) -> None:
        """Note that an instance reaches no server of a service.

        Args:
            peer: The instance, which has refused a call.
            service: The service.
            others: For how long those count that reach none either by what it knows,
                in seconds.
            now_s: The current monotonic time, in seconds.
        """
        self._announced.take_refusal(peer, service, others, now_s=now_s)
        self._count_refusal(service, now_s=now_s)

    def note_taken(self, peer: InstanceEntry, service: str, *, now_s: float) -> None:
        """Note that an instance serves a call of a service."""
        self._announced.take_answer(peer, service)
        self._refusals.pop(service, None)
        self._taken_s[peer.id, service] = now_s

    def max_asked(self, service: str, *, now_s: float) -> int:
        """Return how many instances may be asked for a call of a service."""
        if self._is_rarely_taken(service, now_s=now_s):
            return _MAX_ASKED_AFTER_REFUSALS
        return _MAX_ASKED

    def _refusals_in_row(self, service: str, *, now_s: float) -> int:
        """Return how many refusals in a row count."""
        refusals, last_s = self._refusals.get(service, (0, 0.0))
        return refusals if now_s - last_s < _REFUSALS_LIFE_S else 0

    def note_silent(self, peer: InstanceEntry, *, now_s: float) -> None:
        """Note that an instance gives no answer, unless it has started again since."""
        peer_id = peer.id
        if self._tokens.get(peer_id, peer.token) != peer.token:
            return
        if now_s < self._until_s.get((peer_id, ""), 0.0):
            return  # the same silence, seen by another call
        life_s = SILENT_LIFE_S * 2 ** self._silences[peer_id]
        if life_s < MAX_SILENT_LIFE_S:
            self._silences[peer_id] += 1
        self._until_s[peer_id, ""] = now_s + min(life_s, MAX_SILENT_LIFE_S)

    def note_load(self, peer_id: str, in_flight: int, *, now_s: float) -> None:
        """Note how many requests an instance has in progress."""
        others = max(0, in_flight - self._own[peer_id])
        self._loads[peer_id] = _Load(others, now_s)

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
        self._loads = self._fresh_loads(now_s=now_s)
        self._announced.forget_old(now_s=now_s)
        self._taken_s = {
            key: taken_s
            for key, taken_s in self._taken_s.items()
            if now_s - taken_s < _TAKEN_LIFE_S
        }

    def _forget_former(self, peers: Iterable[InstanceEntry]) -> None:
        """Forget what was noted of instances that have started again since."""
        for one in peers:
            if self._tokens.setdefault(one.id, one.token) == one.token:
                continue
            self._tokens[one.id] = one.token
            self._silences.pop(one.id, None)
            self._loads.pop(one.id, None)
            for notes in (self._until_s, self._taken_s):
                for key in [key for key in notes if key[0] == one.id]:
                    del notes[key]

    def _unable(
        self, peers: Iterable[InstanceEntry], service: str, *, now_s: float
    ) -> set[str]:
        """Return the instances that are known to be unable to serve a service."""
        lost = set(self._announced.lost(peers, service, now_s=now_s))
        barred = self._barred(service, now_s=now_s) | self._barred("", now_s=now_s)
        return lost | barred

    def _barred(self, service: str, *, now_s: float) -> set[str]:
        """Return the instances that are not asked for a service, by its name alone."""
        return {
            peer_id
            for (peer_id, known), until_s in self._until_s.items()
            if now_s < until_s and known == service
        }

    def _fresh_loads(self, *, now_s: float) -> dict[str, _Load]:
        """Return what instances told of their loads of late, by id."""
        return {
            peer_id: load
            for peer_id, load in self._loads.items()
            if now_s - load.told_s < _LOAD_LIFE_S
        }

    def _cost(
        self,
        peer: InstanceEntry,
        load: _Load | None,
        strangers: Mapping[str, _StrangerLoad],
    ) -> tuple[float, float]:
        """Return how full an instance is, with the way to it, and when it told that.

        Those that are equally full are taken in turn.

        Args:
            peer: The instance.
            load: What it told of late, if anything.
            strangers: By zone, how full one is likely that has told nothing.
        """
        stranger = strangers[peer.availability_zone]
        own = self._own.get(peer.id, 0) + stranger.way
        if load is None:
            return stranger.others + own, 0.0
        return load.others + own, load.told_s


def _usual_loads(
    peers: Iterable[InstanceEntry], known: Mapping[str, _Load]
) -> dict[str, float]:
    """Return the mean of the known loads by zone: the others' are likely the same."""
    by_zone: defaultdict[str, list[int]] = defaultdict(list)
    for one in peers:
        if one.id in known:
            by_zone[one.availability_zone].append(known[one.id].others)
    return {zone: statistics.fmean(loads) for zone, loads in by_zone.items()}
