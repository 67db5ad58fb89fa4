# SPDX-License-Identifier: MIT
"""Ends of servers under requests' traits, told from instance to instance.

A server's end leaves up to 96 works at as many instances, and next to all of them are
never seen again.  So the first end under a trait is told to three instances only, which
its id chooses: wherever it comes again, they are told of that too.  From the second end
on all are told.  Each datagram goes out twice, as some may be lost.
"""

from __future__ import annotations

import asyncio
import collections

from collections.abc import Callable, Iterable, Sequence

from .. import clocks, events
from .._peer_datagrams import (
    ClearedDatagram,
    EndsDatagram,
    PeerDatagrams,
    SendAllowance,
)
from ..instances import InstanceEntry
from ..membership import rendezvous
from ..work_ids import check_work_id, is_prompt_part, prompt_part_prefix
from ._suspect import End
from .crash_suspects import CrashSuspects


#: How many instances remember a trait's first end: two of them may be gone.
_HOMES = 3
#: Ends under a sound part from which on its answer may have come before them.
_MANY_ENDS = 2
#: How long ends are gathered for one datagram, in seconds.
_GATHER_S = 0.02
#: After how long an end is sent again, in seconds: later than a burst of losses.
_RESEND_S = 0.4
#: The most ends in a datagram, of some 70 bytes each: it fits a packet.
_DATAGRAM_ENDS = 16
#: Datagrams that an instance may send in a second: two to each of 350, or what a
#: hundred servers that end at once leave for three each.
_MAX_DATAGRAMS_A_S = 700
#: The most ends that wait for one receiver; the newest are dropped, and logged.
_MAX_WAITING = 400


class SuspectLink:
    """Tells the others of ends, and takes theirs in.

    Args:
        datagrams: Carries them.
        suspects: What this instance knows.
    """

    def __init__(self, datagrams: PeerDatagrams, suspects: CrashSuspects) -> None:
        self._datagrams = datagrams
        self._suspects = suspects
        self._allowance = SendAllowance(most_a_second=_MAX_DATAGRAMS_A_S)
        #: By receiver, what it is still to be told.
        self._waiting: dict[str, list[End]] = {}
        #: Stores a hold that ends seen elsewhere have decided.
        self.keep_hold: Callable[[str], None] = lambda _trait: None
        self._is_scheduled = False
        datagrams.on(EndsDatagram, self._take)
        datagrams.on(ClearedDatagram, self._take_cleared)

    def tell(self, end: End) -> None:
        """Tell of an end that this instance has seen, soon and once more."""
        known = self._suspects.ends(end.trait)
        if len(known) > 1:
            self._tell(known, self._others())
        else:
            self._tell((end,), self._homes(end.trait))

    def tell_cleared(self, trait: str, ends: int) -> None:
        """Tell those that a trait is cleared who may know of its ends.

        A work that is answered is hardly ever seen again, so its only end may stay
        known; a part of prompts is.

        Args:
            trait: What was answered.
            ends: How many ends were known under it.
        """
        own_id = self._datagrams.directory.own.id
        if ends > 1:
            peers = self._others()
        else:
            peers = self._homes(trait) if is_prompt_part(trait) else []
        for peer in peers:
            if self._allowance.take():
                self._datagrams.send(peer, ClearedDatagram(peer.token, own_id, trait))

    def may_try(self, trait: str) -> bool:
        """Tell whether this instance is the one that tries a held part again."""
        return self._is_chosen(prompt_part_prefix(trait), count=1)

    def _others(self) -> list[InstanceEntry]:
        """Return all other instances."""
        return self._datagrams.directory.others() if self._datagrams.is_open else []

    def _chosen_ids(self, key: str, *, count: int) -> Sequence[str]:
        """Return the ids of the instances that a key chooses, this one included."""
        ids = {self._datagrams.directory.own.id, *(one.id for one in self._others())}
        return rendezvous(key, ids, count=count)

    def _is_chosen(self, key: str, *, count: int) -> bool:
        """Tell whether this instance is one of those."""
        return self._datagrams.directory.own.id in self._chosen_ids(key, count=count)

    def _homes(self, trait: str) -> list[InstanceEntry]:
        """Return those of the others that remember a trait's first end."""
        others = {one.id: one for one in self._others()}
        homes = self._chosen_ids(trait, count=_HOMES)
        return [others[one] for one in homes if one in others]

    def _is_home(self, trait: str) -> bool:
        """Tell whether this instance remembers a trait's first end and stores holds."""
        return self._is_chosen(trait, count=_HOMES)

    def _tell(self, ends: Iterable[End], peers: Sequence[InstanceEntry]) -> None:
        """Tell some instances of some ends, now and once more."""
        told = [(peer.id, end) for end in ends for peer in peers]
        if told:
            self._queue(told)
            asyncio.get_running_loop().call_later(_RESEND_S, self._queue, told)

    def _queue(self, told: Iterable[tuple[str, End]]) -> None:
        """Have ends told that are still believed."""
        for peer_id, end in told:
            waiting = self._waiting.setdefault(peer_id, [])
            if end not in self._suspects.ends(end.trait):
                continue  # cleared meanwhile
            if len(waiting) < _MAX_WAITING:
                waiting.append(end)
            else:
                events.log(events.END_UNTOLD, instance_id=peer_id, trait=end.trait)
        self._schedule()

    def _schedule(self) -> None:
        """Have what waits sent soon."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_later(_GATHER_S, self._send)

    def _send(self) -> None:
        """Send each receiver what fits a datagram; have the rest sent soon."""
        self._is_scheduled = False
        waiting, self._waiting = self._waiting, {}
        directory = self._datagrams.directory
        peers = {one.id: one for one in directory.others()}
        for peer_id, ends in waiting.items():
            peer = peers.get(peer_id)
            if peer is None or not ends:
                continue  # it is gone
            if not self._allowance.take():
                self._waiting[peer_id] = ends
                continue
            told = [
                (one.trait, one.lifetime, one.has_begun, one.witness)
                for one in ends[:_DATAGRAM_ENDS]
            ]
            self._datagrams.send(peer, EndsDatagram(peer.token, directory.own.id, told))
            if ends[_DATAGRAM_ENDS:]:
                self._waiting[peer_id] = ends[_DATAGRAM_ENDS:]
        if self._waiting:
            self._schedule()

    def _take(self, message: EndsDatagram) -> None:
        """Take others' ends in; tell all of traits that they show to come again.

        Raises:
            ValueError: One of them names no trait.
        """
        now_s = clocks.now_s()
        told = [End(*one) for one in message.ends]
        for end in told:
            check_work_id(end.trait)
        counts = collections.Counter(end.trait for end in told)
        new = {end.trait for end in told if self._suspects.note(end, now_s=now_s)}
        self._correct(message.sender, counts, now_s=now_s)
        for trait in new:
            known = self._suspects.ends(trait)
            is_held = self._suspects.hold(trait, now_s=now_s) is not None
            events.log(
                events.END_HEARD,
                trait=trait,
                teller=message.sender,
                lifetimes=[end.lifetime for end in known],
                is_held=is_held,
            )
            if is_held and self._is_home(trait):
                self.keep_hold(trait)
            # Who has told of one end knows of no other, nor do the rest.
            if counts[trait] == 1 and len(known) > 1:
                self._tell(known, self._others())

    def _correct(self, sender: str, traits: Iterable[str], *, now_s: float) -> None:
        """Tell an instance that suspects parts which are sound, such as a new one."""
        sound = [
            one
            for one in traits
            if self._suspects.is_sound(one, now_s)
            and len(self._suspects.ends(one)) < _MANY_ENDS
        ]
        directory = self._datagrams.directory
        peers = [one for one in directory.others() if one.id == sender]
        for peer in peers if sound else ():
            for trait in sound:
                if self._allowance.take():
                    message = ClearedDatagram(peer.token, directory.own.id, trait)
                    self._datagrams.send(peer, message)

    def _take_cleared(self, message: ClearedDatagram) -> None:
        """Forget a trait that another instance has cleared.

        Raises:
            ValueError: It names no trait.
        """
        trait = message.trait
        check_work_id(trait)
        was_held = self._suspects.was_held(trait)
        if not self._suspects.clear(trait, now_s=clocks.now_s()):
            return
        events.log(events.TRAIT_CLEARED, trait=trait, teller=message.sender)
        if was_held and self._is_home(trait):
            # Its row may be written after the teller has removed it.
            self.keep_hold(trait)
