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
from .return_slots import (
    UNKNOWN,
    Claim,
    ClaimOutcome,
    ReservedStarts,
    ReturnSlots,
    Slot,
)
from .work_ids import check_work_id


#: How many instances keep a reservation: one of them may be gone.
_REPLICAS = 2
#: How long answers are waited for, in seconds: a way there and back within a zone, and
#: the time that small instances are late by.  The request waits for it.
_RESPONSE_TIMEOUT_S = 0.03
#: The most claims that wait for answers; further ones are unknown at once.
_MAX_PENDING_CLAIMS = 256
#: The answers that are remembered, so that a question that comes twice has the same
#: answer twice: as many as can be on their way from a few instances.
_MAX_CACHED_RESULTS = 1024
_MS_PER_S = 1000


class _Zone(NamedTuple):
    """The instances of the own zone, of one revision of the list."""

    revision: int
    entries: dict[str, InstanceEntry]


class _PendingClaim(NamedTuple):
    """A claim: who has not answered yet, the best answer so far, and who waits."""

    awaited_ids: set[str]
    results: list[Claim]
    best_result: asyncio.Future[Claim]


class ReturnLink:
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
        self._slots: dict[str, ReturnSlots] = {}
        self._reservations = ReservedStarts()
        self._pending: dict[int, _PendingClaim] = {}
        #: By instance and number, what its question was answered.
        self._results: dict[tuple[str, int], Claim] = {}
        self._zone = _Zone(-1, {})
        datagrams.on(ReservedDatagram, self._on_reservation)
        datagrams.on(ClaimDatagram, self._on_claim)
        datagrams.on(ClaimedDatagram, self._on_result)

    def slot(
        self,
        service: str,
        work: str,
        priority: int,
        *,
        starts_per_s: float,
        most_s: float,
    ) -> Slot:
        """Reserve a start for a refused caller, and notify the keepers.

        Args:
            service: What the caller wants.
            work: The work's id.
            priority: The caller's; lower numbers are more urgent.
            starts_per_s: The room's starts per second, divided by the instances.
            most_s: The latest retry, in seconds from now.
        """
        slots = self._slots.get(service)
        if slots is None:
            slots = self._slots[service] = ReturnSlots(rng=self._rng)
        now_s = clocks.now_s()
        slot = slots.reserve(
            priority, starts_per_s=starts_per_s, most_s=most_s, now_s=now_s
        )
        if slot.is_reserved:
            self._store(work, slot.at_s, now_s=now_s)
        return slot

    async def claim(self, work: str) -> Claim:
        """Claim a work's reservation at both keepers; unknown if none answers.

        Args:
            work: The work's id.
        """
        if len(self._pending) >= _MAX_PENDING_CLAIMS:
            return UNKNOWN
        known = UNKNOWN
        own_id = self._directory.own.id
        keepers = self._holders(work)
        if any(one.id == own_id for one in keepers):
            known = self._reservations.claim(work, now_s=clocks.now_s())
        peers = [one for one in keepers if one.id != own_id]
        if not peers or not self._datagrams.is_open:
            return known
        number = next(self._numbers)
        for peer in peers:
            message = ClaimDatagram(peer.token, own_id, number, work)
            self._datagrams.send(peer, message)
        if known.outcome is ClaimOutcome.DUE:
            return known  # the other keeper uses it up as well
        return await self._await_result(number, peers, known)

    def reserved(self, service: str) -> int:
        """Return how many reservations made here are not yet due.

        Args:
            service: What they are for.
        """
        slots = self._slots.get(service)
        return slots.reserved(now_s=clocks.now_s()) if slots else 0

    def kept(self) -> int:
        """Return how many reservations kept here can still be claimed."""
        return self._reservations.reserved(now_s=clocks.now_s())

    def _holders(self, work: str) -> Sequence[InstanceEntry]:
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
        return [entries[one] for one in rendezvous(work, entries, count=_REPLICAS)]

    def _store(self, work: str, at_s: float, *, now_s: float) -> None:
        """Have a reservation kept."""
        own_id = self._directory.own.id
        left_ms = min(LONGEST_LEFT_MS, max(0, round((at_s - now_s) * _MS_PER_S)))
        for keeper in self._holders(work):
            if keeper.id == own_id:
                self._reservations.keep(work, at_s, now_s=now_s)
            else:
                message = ReservedDatagram(keeper.token, own_id, work, left_ms)
                self._datagrams.send(keeper, message)

    async def _await_result(
        self, number: int, peers: Sequence[InstanceEntry], known: Claim
    ) -> Claim:
        """Return the best answer that comes in time."""
        answer: asyncio.Future[Claim] = asyncio.get_running_loop().create_future()
        question = _PendingClaim({one.id for one in peers}, [known], answer)
        self._pending[number] = question
        try:
            async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                return await answer
        except TimeoutError:
            return _best_result(question.results)
        finally:
            del self._pending[number]

    def _on_reservation(self, message: ReservedDatagram) -> None:
        """Keep a reservation that another instance has made.

        Raises:
            ValueError: It names no work.
        """
        check_work_id(message.work)
        now_s = clocks.now_s()
        at_s = now_s + message.left_ms / _MS_PER_S
        self._reservations.keep(message.work, at_s, now_s=now_s)

    def _on_claim(self, message: ClaimDatagram) -> None:
        """Answer a claim, the same if it comes twice.

        Raises:
            ValueError: It names no work.
        """
        check_work_id(message.work)
        self._holders(message.work)
        asker = self._zone.entries.get(message.sender)
        if asker is None:
            return  # its entry is not known here yet; nothing is used up
        key = (message.sender, message.number)
        claim = self._results.get(key)
        if claim is None:
            claim = self._reservations.claim(message.work, now_s=clocks.now_s())
            self._results[key] = claim
            if len(self._results) > _MAX_CACHED_RESULTS:
                del self._results[next(iter(self._results))]
        answer = ClaimedDatagram(
            token=asker.token,
            sender=self._directory.own.id,
            number=message.number,
            outcome=claim.outcome,
            left_ms=min(LONGEST_LEFT_MS, round(claim.left_s * _MS_PER_S)),
        )
        self._datagrams.send(asker, answer)

    def _on_result(self, message: ClaimedDatagram) -> None:
        """Take an answer in, once from each who was asked."""
        question = self._pending.get(message.number)
        if question is None or message.sender not in question.awaited_ids:
            return  # too late, or a datagram that came twice
        question.awaited_ids.discard(message.sender)
        question.results.append(Claim(message.outcome, message.left_ms / _MS_PER_S))
        is_due = message.outcome is ClaimOutcome.DUE
        if (is_due or not question.awaited_ids) and not question.best_result.done():
            question.best_result.set_result(_best_result(question.results))


def _best_result(claims: Sequence[Claim]) -> Claim:
    """Return the answer that counts: a due one, else an early one, else unknown."""
    for outcome in (ClaimOutcome.DUE, ClaimOutcome.EARLY):
        for claim in claims:
            if claim.outcome is outcome:
                return claim
    return UNKNOWN
