# SPDX-License-Identifier: MIT
"""A replay of instances without links that find those that have theirs.

The product's own choice and announcements, over calls and datagrams that take time, are
late or lost.  A call takes no time to be refused.
"""

from __future__ import annotations

import heapq
import itertools
import random

from collections import Counter
from typing import NamedTuple

from violethatch.forwarding import (
    AnnouncedLinks,
    LinkAnnouncer,
    PeerChoice,
    lifetime_of,
)
from violethatch.forwarding._wire import decoded_lost, encoded_lost
from violethatch.instances import InstanceEntry


#: How long instances take to find that their links are lost, at the most, in seconds.
DETECTION_S = 0.3
#: How often announcements are looked at, in seconds.
TICK_S = 0.1
#: From when on calls count, in seconds from the cut.
FROM_S = 1.0
SERVICE = "model"


class Network(NamedTuple):
    """How datagrams go.

    Attributes:
        delay_s: How late they are.
        lost: Which part of them is lost.
        is_blocked: Whether none gets from one instance to another.
    """

    delay_s: float = 0.001
    lost: float = 0.0
    is_blocked: object = staticmethod(lambda _sender, _receiver: False)


class Instance:
    """One instance of the replay."""

    def __init__(self, entry, seed):
        self.entry = entry
        self.announced = AnnouncedLinks()
        self.choice = PeerChoice(
            entry.availability_zone,
            self.announced,
            rng=random.Random(f"{seed}{entry.id}"),
        )
        self.announcer = LinkAnnouncer(lifetime_of(entry))
        #: Whether it tells nothing of links, as instances before 26.13.0.
        self.is_earlier = False
        self.is_cut = False
        self.knows = False
        self.in_flight = 0


class Outcome(NamedTuple):
    """What came of a replay, from `FROM_S` on.

    Attributes:
        calls: Calls at instances without links: when, how many were asked for it, and
            the instance that took it, if any.
        told: Datagrams that each instance has sent.
    """

    calls: list[tuple[float, int, str | None]]
    told: Counter

    @property
    def served(self):
        """Return which part of the calls was served."""
        return sum(peer is not None for _, _, peer in self.calls) / len(self.calls)

    @property
    def asked(self):
        """Return how many instances were asked for a call, on average."""
        return sum(asked for _, asked, _ in self.calls) / len(self.calls)

    def busiest(self, sound):
        """Return the calls of the instance that served most, and the mean of all."""
        by_peer = Counter(peer for _, _, peer in self.calls if peer is not None)
        return max(by_peer.values(), default=0), by_peer.total() / len(sound)


class Replay:
    """Instances in zones, of which some lose their links at 0.

    Args:
        zones: How many instances each zone has.
        seed: Draws everything.
        network: How datagrams go.
    """

    def __init__(self, zones, *, seed, network=None):
        self.rng = random.Random(seed)
        self.network = network or Network()
        entries = [
            InstanceEntry(f"z{zone}-{n}", f"z{zone}", "a:1", "t", 1000.0, 0.0)
            for zone, count in enumerate(zones)
            for n in range(count)
        ]
        self.instances = {one.id: Instance(one, seed) for one in entries}
        self.peers = {
            own.id: [one for one in entries if one.id != own.id] for own in entries
        }
        self.told = Counter()
        self.calls = []
        self._queue = []
        self._order = itertools.count()

    def cut_part(self, part):
        """Return the ids of a part of all instances, at least one of them sound."""
        ids = sorted(self.instances)
        return set(self.rng.sample(ids, min(len(ids) - 1, round(len(ids) * part))))

    def cut_zones(self, *zones):
        """Return the ids of all instances of some zones."""
        return {
            one.entry.id
            for one in self.instances.values()
            if one.entry.availability_zone in zones
        }

    def play(self, cut, *, rate_per_s, lasts_s, for_s, healed=(), heals_s=0.0):
        """Play calls at the instances without links; return what came of them.

        Args:
            cut: The ids of the instances that lose their links.
            rate_per_s: Calls a second at each of them.
            lasts_s: How long a call lasts, in seconds.
            for_s: How long calls come, in seconds.
            healed: The ids of those whose links come back.
            heals_s: When that is.
        """
        for own in sorted(cut):
            self._at(0.0, self._cut, own)
            self._at(self.rng.uniform(0, DETECTION_S), self._find, own)
            for _ in range(round(rate_per_s * for_s)):
                self._at(self.rng.uniform(0, for_s), self._call, own, lasts_s)
        for own in sorted(healed):
            self._at(heals_s, self._heal, own)
        for number in range(round(for_s / TICK_S)):
            self._at(number * TICK_S, self._tick)
        while self._queue and self._queue[0][0] < for_s:
            now_s, _, act, arguments = heapq.heappop(self._queue)
            act(now_s, *arguments)
        return Outcome([one for one in self.calls if one[0] >= FROM_S], self.told)

    def _at(self, at_s, act, *arguments):
        """Have something happen at a time."""
        heapq.heappush(self._queue, (at_s, next(self._order), act, arguments))

    def _cut(self, _now_s, own):
        """Take an instance's links."""
        self.instances[own].is_cut = True

    def _find(self, now_s, own):
        """Let an instance find that its links are lost."""
        one = self.instances[own]
        if one.is_cut:
            one.knows = True
            one.announcer.update([SERVICE])
            self._announce(now_s, one)

    def _heal(self, now_s, own):
        """Give an instance its links back."""
        one = self.instances[own]
        one.is_cut = one.knows = False
        one.announcer.update([])
        self._announce(now_s, one)

    def _tick(self, now_s):
        """Let all instances tell what is due."""
        for one in self.instances.values():
            if not one.announcer.is_done:
                self._announce(now_s, one)

    def _announce(self, now_s, one):
        """Let an instance tell what is due."""
        if one.is_earlier:
            return
        peers = self.peers[one.entry.id]
        message = one.announcer.announcement(instances=len(peers))
        for peer in one.announcer.select(peers, now_s=now_s):
            self.told[one.entry.id] += 1
            is_lost = self.rng.random() < self.network.lost
            if not is_lost and not self.network.is_blocked(one.entry, peer):
                arrives_s = now_s + self.network.delay_s
                self._at(arrives_s, self._hear, peer.id, one.entry, message)

    def _hear(self, now_s, own, sender, message):
        """Let an instance take an announcement in, if it is of this version."""
        if self.instances[own].is_earlier:
            return
        self.instances[own].announced.take(sender, message, now_s=now_s)

    def _call(self, now_s, own, lasts_s):
        """Let a caller send a call to an instance."""
        one = self.instances[own]
        if not one.is_cut:
            return
        refused = []
        max_asked = one.choice.max_asked(SERVICE, now_s=now_s)
        while len(refused) < max_asked:
            peer = one.choice.choose(
                self.peers[own], SERVICE, refused=refused, now_s=now_s
            )
            if peer is None:
                break
            other = self.instances[peer.id]
            one.choice.note_load(peer.id, other.in_flight, now_s=now_s)
            if not other.is_cut:
                one.choice.note_taken(peer, SERVICE, now_s=now_s)
                one.choice.began(peer.id)
                other.in_flight += 1
                self._at(now_s + lasts_s, self._end, own, peer.id)
                self.calls.append((now_s, len(refused) + 1, peer.id))
                return
            refused.append(peer)
            self._refuse(now_s, one, other)
        self.calls.append((now_s, len(refused), None))

    def _refuse(self, now_s, one, other):
        """Let an instance without links refuse another one's call."""
        if not other.knows:
            self._find(now_s, other.entry.id)
        if other.is_earlier:
            one.choice.note_refused(other.entry.id, SERVICE, now_s=now_s)
            return
        lost = other.announced.lost(self.peers[other.entry.id], SERVICE, now_s=now_s)
        told = decoded_lost(encoded_lost(lost), self.peers[one.entry.id])
        one.choice.note_lost_links(other.entry, SERVICE, told, now_s=now_s)

    def _end(self, now_s, own, peer_id):
        """Let a call end."""
        self.instances[peer_id].in_flight -= 1
        self.instances[own].choice.ended(peer_id)
        self.instances[own].choice.forget_old(now_s=now_s)
