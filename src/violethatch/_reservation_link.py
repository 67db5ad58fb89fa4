# SPDX-License-Identifier: MIT
"""Replicates reservations of starts to two instances, and claims them for retries.

Load pattern: hundreds of requests are rejected within a second, and each is retried at
any instance of its availability zone.  Instances may be killed or paused meanwhile, and
datagrams may be lost.

Two instances of the zone store a reservation; rendezvous hashing selects them by work
id from the list of instances, without coordination.  The rejecting instance sends the
reservation to both, and the instance that receives the retry sends a claim to both.
The first result that is due wins, so that one replica may be unavailable.  Two retries
that reach the replicas in opposite order result in two starts at most.
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


#: The instances that store a reservation: one of them may be unavailable.
_REPLICAS = 2
#: The timeout for results of a claim, in seconds: a round trip within a zone plus the
#: scheduling delay of small instances.  The request waits for it.
_RESPONSE_TIMEOUT_S = 0.03
#: The maximum number of claims in flight; further ones are unknown immediately.
_MAX_PENDING_CLAIMS = 256
#: The cached results, so that a duplicate datagram of a claim gets the same result: as
#: many claims as can be in flight from a few instances.
_MAX_CACHED_RESULTS = 1024
_MS_PER_S = 1000


class _Zone(NamedTuple):
    """The instances of the own zone, at one revision of the list."""

    revision: int
    entries: dict[str, InstanceEntry]


class _PendingClaim(NamedTuple):
    """A claim in flight: the replicas awaited, the results, and the final result."""

    awaited_ids: set[str]
    results: list[Claim]
    best_result: asyncio.Future[Claim]


class ReservationLink:
    """Reserves starts for rejected requests, and claims them for their retries.

    Args:
        datagrams: Carries reservations and claims.
        rng: Draws the phases of starts, and the number of the first claim.
    """

    def __init__(self, datagrams: PeerDatagrams, *, rng: random.Random) -> None:
        self._datagrams = datagrams
        self._directory = datagrams.directory
        self._rng = rng
        self._numbers = itertools.count(rng.getrandbits(30))
        self._slots: dict[str, RetrySlots] = {}
        self._reservations = ReservationStore()
        self._pending: dict[int, _PendingClaim] = {}
        #: The result of a claim by sender and number.
        self._results: dict[tuple[str, int], Claim] = {}
        self._zone = _Zone(-1, {})
        datagrams.on(ReservedDatagram, self._on_reservation)
        datagrams.on(ClaimDatagram, self._on_claim)
        datagrams.on(ClaimedDatagram, self._on_result)

    def schedule_retry(
        self,
        service: str,
        work: str,
        priority: int,
        *,
        starts_per_s: float,
        max_delay_s: float,
    ) -> RetrySlot:
        """Reserve a start for a rejected request, and send it to the replicas.

        Args:
            service: The requested service.
            work: The work's id.
            priority: The request's priority; lower numbers are more urgent.
            starts_per_s: The starts per second of the capacity, per instance.
            max_delay_s: The maximum retry delay, in seconds.
        """
        slots = self._slots.get(service)
        if slots is None:
            slots = self._slots[service] = RetrySlots(rng=self._rng)
        now_s = clocks.now_s()
        slot = slots.reserve(
            priority, starts_per_s=starts_per_s, max_delay_s=max_delay_s, now_s=now_s
        )
        if slot.is_reserved:
            self._replicate(work, slot.at_s, now_s=now_s)
        return slot

    async def claim(self, work: str) -> Claim:
        """Claim a reservation at both replicas; unknown if neither responds.

        Args:
            work: The work's id.
        """
        if len(self._pending) >= _MAX_PENDING_CLAIMS:
            return UNKNOWN
        local = UNKNOWN
        own_id = self._directory.own.id
        replicas = self._replicas(work)
        if any(entry.id == own_id for entry in replicas):
            local = self._reservations.claim(work, now_s=clocks.now_s())
        peers = [entry for entry in replicas if entry.id != own_id]
        if not peers or not self._datagrams.is_open:
            return local
        number = next(self._numbers)
        for peer in peers:
            message = ClaimDatagram(peer.token, own_id, number, work)
            self._datagrams.send(peer, message)
        if local.outcome is ClaimOutcome.DUE:
            return local  # the other replica consumes its copy as well
        return await self._await_result(number, peers, local)

    def reserved(self, service: str) -> int:
        """Return the number of own reservations that are not yet due.

        Args:
            service: The service of the reservations.
        """
        slots = self._slots.get(service)
        return slots.reserved(now_s=clocks.now_s()) if slots else 0

    def kept(self) -> int:
        """Return the number of stored reservations that can still be claimed."""
        return self._reservations.reserved(now_s=clocks.now_s())

    def _replicas(self, work: str) -> Sequence[InstanceEntry]:
        """Return the instances that store the reservation of a work."""
        if self._zone.revision != self._directory.revision:
            own = self._directory.own
            entries = {
                entry.id: entry
                for entry in self._directory.others()
                if entry.availability_zone == own.availability_zone
            }
            self._zone = _Zone(self._directory.revision, entries | {own.id: own})
        entries = self._zone.entries
        return [entries[id_] for id_ in rendezvous(work, entries, count=_REPLICAS)]

    def _replicate(self, work: str, at_s: float, *, now_s: float) -> None:
        """Store a reservation at its replicas."""
        own_id = self._directory.own.id
        left_ms = min(LONGEST_LEFT_MS, max(0, round((at_s - now_s) * _MS_PER_S)))
        for replica in self._replicas(work):
            if replica.id == own_id:
                self._reservations.add(work, at_s, now_s=now_s)
            else:
                message = ReservedDatagram(replica.token, own_id, work, left_ms)
                self._datagrams.send(replica, message)

    async def _await_result(
        self, number: int, peers: Sequence[InstanceEntry], local: Claim
    ) -> Claim:
        """Return the best result received before the timeout."""
        future: asyncio.Future[Claim] = asyncio.get_running_loop().create_future()
        pending = _PendingClaim({entry.id for entry in peers}, [local], future)
        self._pending[number] = pending
        try:
            async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                return await future
        except TimeoutError:
            return _best_result(pending.results)
        finally:
            del self._pending[number]

    def _on_reservation(self, message: ReservedDatagram) -> None:
        """Store a reservation made by another instance.

        Raises:
            ValueError: The work id is malformed.
        """
        check_work_id(message.work)
        now_s = clocks.now_s()
        at_s = now_s + message.left_ms / _MS_PER_S
        self._reservations.add(message.work, at_s, now_s=now_s)

    def _on_claim(self, message: ClaimDatagram) -> None:
        """Handle a claim; a duplicate gets the same result.

        Raises:
            ValueError: The work id is malformed.
        """
        check_work_id(message.work)
        self._replicas(message.work)
        sender = self._zone.entries.get(message.sender)
        if sender is None:
            return  # its entry has not been received yet; no reservation is consumed
        key = (message.sender, message.number)
        claim = self._results.get(key)
        if claim is None:
            claim = self._reservations.claim(message.work, now_s=clocks.now_s())
            self._results[key] = claim
            if len(self._results) > _MAX_CACHED_RESULTS:
                del self._results[next(iter(self._results))]
        response = ClaimedDatagram(
            token=sender.token,
            sender=self._directory.own.id,
            number=message.number,
            outcome=claim.outcome,
            left_ms=min(LONGEST_LEFT_MS, round(claim.left_s * _MS_PER_S)),
        )
        self._datagrams.send(sender, response)

    def _on_result(self, message: ClaimedDatagram) -> None:
        """Handle a result, once per awaited replica."""
        pending = self._pending.get(message.number)
        if pending is None or message.sender not in pending.awaited_ids:
            return  # after the timeout, or a duplicate datagram
        pending.awaited_ids.discard(message.sender)
        pending.results.append(Claim(message.outcome, message.left_ms / _MS_PER_S))
        is_due = message.outcome is ClaimOutcome.DUE
        if (is_due or not pending.awaited_ids) and not pending.best_result.done():
            pending.best_result.set_result(_best_result(pending.results))


def _best_result(claims: Sequence[Claim]) -> Claim:
    """Return a due result, else an early one, else unknown."""
    for outcome in (ClaimOutcome.DUE, ClaimOutcome.EARLY):
        for claim in claims:
            if claim.outcome is outcome:
                return claim
    return UNKNOWN
