# SPDX-License-Identifier: MIT
"""Keeps reservations of refused callers where their retries find them.

Load pattern: hundreds of callers are refused within a second, and each retries at any
instance of its zone.  Instances are killed or paused meanwhile, and datagrams are lost.

The work's id selects two instances of the zone, the keepers, by the list of instances:
nothing has to be agreed.  Whoever refuses notifies both, and whoever gets the retry
asks both.  The first that finds the reservation due decides, so that one of them may
be gone; two retries that reach the keepers in opposite order start twice at most.
"""

from __future__ import annotations

import asyncio
import itertools
import random

from collections.abc import Sequence
from typing import NamedTuple

from . import clocks
from ._peer_datagrams import (
    LONGEST_LEFT_MS,
    ClaimDatagram,
    ClaimedDatagram,
    PeerDatagrams,
    ReservedDatagram,
)
from .instances import InstanceEntry
from .membership import rendezvous
from .start_reservations import (
    UNKNOWN,
    Claim,
    ClaimOutcome,
    ReservationStore,
    RetrySlot,
    RetrySlots,
)
from .work_ids import check_work_id


#: How many instances keep a reservation: one of them may be gone.
_KEEPERS = 2
#: How long answers are waited for, in seconds: a way there and back within a zone, and
#: the time that small instances are late by.  The request waits for it.
_ANSWER_S = 0.03
#: The most claims that wait for answers; further ones are unknown at once.
_MOST_ASKED = 256
#: The answers that are remembered, so that a question that comes twice has the same
#: answer twice: as many as can be on their way from a few instances.
_MOST_ANSWERS = 1024
_MS_PER_S = 1000


class _Zone(NamedTuple):
    """The instances of the own zone, of one revision of the list."""

    revision: int
    entries: dict[str, InstanceEntry]


class _Question(NamedTuple):
    """A claim: who has not answered yet, the best answer so far, and who waits."""

    keepers: set[str]
    known: list[Claim]
    answer: asyncio.Future[Claim]


class ReservationLink:
    """Reserves starts for refused callers, and claims them for their retries.

    Args:
        datagrams: Carries reservations and claims.
        rng: Draws the phases of starts, and numbers the questions.
    """

    def __init__(self, datagrams: PeerDatagrams, *, rng: random.Random) -> None:
        self._datagrams = datagrams
        self._directory = datagrams.directory
        self._rng = rng
        self._numbers = itertools.count(rng.getrandbits(30))
        self._slots: dict[str, RetrySlots] = {}
        self._kept = ReservationStore()
        self._asked: dict[int, _Question] = {}
        #: By instance and number, what its question was answered.
        self._answers: dict[tuple[str, int], Claim] = {}
        self._zone = _Zone(-1, {})
        datagrams.on(ReservedDatagram, self._take_reservation)
        datagrams.on(ClaimDatagram, self._take_question)
        datagrams.on(ClaimedDatagram, self._take_answer)

    def schedule_retry(
        self,
        service: str,
        work: str,
        priority: int,
        *,
        starts_per_s: float,
        max_delay_s: float,
    ) -> RetrySlot:
        """Reserve a start for a refused caller, and notify the keepers.

        Args:
            service: What the caller wants.
            work: The work's id.
            priority: The caller's; lower numbers are more urgent.
            starts_per_s: The room's starts per second, divided by the instances.
            max_delay_s: The latest retry, in seconds from now.
        """
        slots = self._slots.get(service)
        if slots is None:
            slots = self._slots[service] = RetrySlots(rng=self._rng)
        now_s = clocks.now_s()
        slot = slots.reserve(
            priority, starts_per_s=starts_per_s, max_delay_s=max_delay_s, now_s=now_s
        )
        if slot.is_reserved:
            self._notify(work, slot.at_s, now_s=now_s)
        return slot

    async def claim(self, work: str) -> Claim:
        """Claim a work's reservation at both keepers; unknown if none answers.

        Args:
            work: The work's id.
        """
        if len(self._asked) >= _MOST_ASKED:
            return UNKNOWN
        known = UNKNOWN
        own_id = self._directory.own.id
        keepers = self._keepers(work)
        if any(one.id == own_id for one in keepers):
            known = self._kept.claim(work, now_s=clocks.now_s())
        peers = [one for one in keepers if one.id != own_id]
        if not peers or not self._datagrams.is_open:
            return known
        number = next(self._numbers)
        for peer in peers:
            message = ClaimDatagram(peer.token, own_id, number, work)
            self._datagrams.send(peer, message)
        if known.outcome is ClaimOutcome.DUE:
            return known  # the other keeper uses it up as well
        return await self._answer_to(number, peers, known)

    def reserved(self, service: str) -> int:
        """Return how many reservations made here are not yet due.

        Args:
            service: What they are for.
        """
        slots = self._slots.get(service)
        return slots.reserved(now_s=clocks.now_s()) if slots else 0

    def kept(self) -> int:
        """Return how many reservations kept here can still be claimed."""
        return self._kept.reserved(now_s=clocks.now_s())

    def _keepers(self, work: str) -> Sequence[InstanceEntry]:
        """Return who keeps a work's reservation."""
        if self._zone.revision != self._directory.revision:
            own = self._directory.own
            entries = {
                one.id: one
                for one in self._directory.others()
                if one.availability_zone == own.availability_zone
            }
            self._zone = _Zone(self._directory.revision, entries | {own.id: own})
        entries = self._zone.entries
        return [entries[one] for one in rendezvous(work, entries, count=_KEEPERS)]

    def _notify(self, work: str, at_s: float, *, now_s: float) -> None:
        """Have a reservation kept."""
        own_id = self._directory.own.id
        left_ms = min(LONGEST_LEFT_MS, max(0, round((at_s - now_s) * _MS_PER_S)))
        for keeper in self._keepers(work):
            if keeper.id == own_id:
                self._kept.add(work, at_s, now_s=now_s)
            else:
                message = ReservedDatagram(keeper.token, own_id, work, left_ms)
                self._datagrams.send(keeper, message)

    async def _answer_to(
        self, number: int, peers: Sequence[InstanceEntry], known: Claim
    ) -> Claim:
        """Return the best answer that comes in time."""
        answer: asyncio.Future[Claim] = asyncio.get_running_loop().create_future()
        question = _Question({one.id for one in peers}, [known], answer)
        self._asked[number] = question
        try:
            async with asyncio.timeout(_ANSWER_S):
                return await answer
        except TimeoutError:
            return _best(question.known)
        finally:
            del self._asked[number]

    def _take_reservation(self, message: ReservedDatagram) -> None:
        """Keep a reservation that another instance has made.

        Raises:
            ValueError: It names no work.
        """
        check_work_id(message.work)
        now_s = clocks.now_s()
        at_s = now_s + message.left_ms / _MS_PER_S
        self._kept.add(message.work, at_s, now_s=now_s)

    def _take_question(self, message: ClaimDatagram) -> None:
        """Answer a claim, the same if it comes twice.

        Raises:
            ValueError: It names no work.
        """
        check_work_id(message.work)
        self._keepers(message.work)
        asker = self._zone.entries.get(message.sender)
        if asker is None:
            return  # its entry is not known here yet; nothing is used up
        key = (message.sender, message.number)
        claim = self._answers.get(key)
        if claim is None:
            claim = self._kept.claim(message.work, now_s=clocks.now_s())
            self._answers[key] = claim
            if len(self._answers) > _MOST_ANSWERS:
                del self._answers[next(iter(self._answers))]
        answer = ClaimedDatagram(
            token=asker.token,
            sender=self._directory.own.id,
            number=message.number,
            outcome=claim.outcome,
            left_ms=min(LONGEST_LEFT_MS, round(claim.left_s * _MS_PER_S)),
        )
        self._datagrams.send(asker, answer)

    def _take_answer(self, message: ClaimedDatagram) -> None:
        """Take an answer in, once from each who was asked."""
        question = self._asked.get(message.number)
        if question is None or message.sender not in question.keepers:
            return  # too late, or a datagram that came twice
        question.keepers.discard(message.sender)
        question.known.append(Claim(message.outcome, message.left_ms / _MS_PER_S))
        is_due = message.outcome is ClaimOutcome.DUE
        if (is_due or not question.keepers) and not question.answer.done():
            question.answer.set_result(_best(question.known))


def _best(claims: Sequence[Claim]) -> Claim:
    """Return the answer that counts: a due one, else an early one, else unknown."""
    for outcome in (ClaimOutcome.DUE, ClaimOutcome.EARLY):
        for claim in claims:
            if claim.outcome is outcome:
                return claim
    return UNKNOWN
