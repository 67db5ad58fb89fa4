# SPDX-License-Identifier: MIT
"""Heartbeats that spread from peer to peer.

Each round an instance raises its own counter and exchanges what it knows with
a few peers: its own beat and a random few of the others', so its cost does not
grow with the number of peers.  A counter that has not grown for the silence
limit is a peer that is gone; the limit grows with the zone, as news then takes
longer to come round.  Beats of the own availability zone are passed on; to
peers of other zones an instance speaks only for itself.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import random

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .membership import PeerTable


#: How many of the others' beats travel with one's own.
RELAYED_BEATS = 8


class Beat(NamedTuple):
    """What is known of one instance."""

    instance_id: str
    availability_zone: str
    #: When the process started, in ms of wall time: a restart outranks.
    incarnation: int
    counter: int
    revision: int
    leaving: bool


class Gossip:
    """One instance's knowledge of its peers.

    Args:
        instance_id: This instance.
        availability_zone: Where it is.
        incarnation: Its start time, in ms.
        silence_limit_s: How long a live peer's counter may stand in a zone of
            up to `RELAYED_BEATS` peers, in seconds.
        rng: Which beats to pass on.

    .. versionadded:: 26.1.0
    """

    def __init__(
        self,
        *,
        instance_id: str,
        availability_zone: str,
        incarnation: int,
        silence_limit_s: float,
        rng: random.Random,
    ) -> None:
        self._silence_limit_s = silence_limit_s
        self._rng = rng
        self.own = Beat(instance_id, availability_zone, incarnation, 0, 0, False)
        self.peers = PeerTable(silence_limit_s=silence_limit_s)
        self._beats: dict[str, Beat] = {}

    def tick(self, *, revision: int, leaving: bool) -> None:
        """Raise the own counter and state what is in force here."""
        self.own = self.own._replace(
            counter=self.own.counter + 1, revision=revision, leaving=leaving
        )

    def beats_for(self, availability_zone: str) -> list[Beat]:
        """Return what to tell a peer of that zone."""
        if availability_zone != self.own.availability_zone:
            return [self.own]
        peers = self.zone_peers()
        relayed = self._rng.sample(peers, min(RELAYED_BEATS, len(peers)))
        return [self.own, *(self._beats[peer_id] for peer_id in relayed)]

    def merge(self, beats: Iterable[Beat], *, now_s: float) -> list[str]:
        """Take in what a peer knows; return the ids of new peers."""
        found = []
        for beat in beats:
            if beat.instance_id == self.own.instance_id:
                continue
            known = self._beats.get(beat.instance_id)
            if known is not None and _age(known) >= _age(beat):
                continue
            self._beats[beat.instance_id] = beat
            if beat.leaving:
                self.peers.left(beat.instance_id)
            elif self.peers.heard(beat.instance_id, now_s=now_s):
                found.append(beat.instance_id)
        return found

    def is_live(self, instance_id: str, *, incarnation: int) -> bool:
        """Tell whether that very process of an instance is live."""
        if instance_id not in self.peers.live:
            return False
        return self._beats[instance_id].incarnation == incarnation

    def expire(self, *, now_s: float) -> list[str]:
        """Return the peers that fell silent."""
        rounds = max(1.0, len(self.peers.live) / RELAYED_BEATS)
        self.peers.silence_limit_s = self._silence_limit_s * rounds
        return self.peers.expire(now_s=now_s)

    def zone_peers(self) -> list[str]:
        """Return the live peers of the own zone, in order."""
        zone = self.own.availability_zone
        return [
            peer_id
            for peer_id in self.peers.live
            if self._beats[peer_id].availability_zone == zone
        ]

    def zone_members(self) -> list[str]:
        """Return the live instances of the own zone, this one included."""
        return sorted([self.own.instance_id, *self.zone_peers()])

    def ahead(self) -> list[Beat]:
        """Return the live peers that know a higher revision."""
        live = set(self.peers.live)
        return [
            beat
            for peer_id, beat in self._beats.items()
            if peer_id in live and beat.revision > self.own.revision
        ]


def choose_targets(
    zone_ids: Sequence[str],
    remote_ids: Sequence[str],
    *,
    fanout: int,
    rng: random.Random,
) -> list[str]:
    """Choose whom to talk to this round: a few zone peers, one remote one.

    .. versionadded:: 26.1.0
    """
    targets = rng.sample(list(zone_ids), min(fanout, len(zone_ids)))
    if remote_ids:
        targets.append(rng.choice(list(remote_ids)))
    return targets


def _age(beat: Beat) -> tuple[int, int]:
    """Order an instance's beats."""
    return beat.incarnation, beat.counter
