# SPDX-License-Identifier: MIT
"""Reserves starts for rejected requests, and matches retries with reservations.

Load pattern: hundreds of requests are rejected within a second while capacity is short.
Some callers retry immediately and often.  With a common retry time, the others retry
simultaneously, and the runners that have recovered by then are overloaded again, in
arrival order.

A rejected request gets a retry time at which a start is reserved for it.  An instance
reserves only from its own share of the capacity, so that instances that reject requests
at the same time need no coordination.  Its starts are evenly spaced: a share may be
less than one start in several seconds.  They begin at a random phase, since the
instances have no common clock and would otherwise all reserve the same moment.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import collections
import enum
import math
import random

from typing import NamedTuple


#: The minimum retry delay, in seconds: some running streams finish within it.
MIN_RETRY_S = 0.5
#: The maximum retry delay, in seconds: later capacity can't be predicted.
MAX_RETRY_S = 3.0
#: The fraction of an instance's share that is reserved: at most half, so that
#: coinciding starts of many instances fit in the capacity.  With 0.5 and a demand of
#: 0.88 of the capacity, the load offered in half a second reached 1.23 of the capacity.
RESERVED_FRACTION = 0.3
#: The length of a slot, in seconds.
SLOT_S = 0.25
#: The window of recent rejections, in seconds: one start is left free for each
#: more urgent request that was rejected within it.
_REFUSAL_WINDOW_S = 1.0
#: The fraction of the time up to its latest retry that a request of the lowest urgency
#: leaves to more urgent ones: with hundreds of instances each rejects less than one
#: request per second, and has no information on rejections by the others.
_MAX_URGENT_FRACTION = 0.8
#: The number of rejections and the window in seconds that sample the rejected
#: priorities: a request that is the most urgent in the sample leaves no time to others.
_SAMPLE_SIZE = 8
_SAMPLE_WINDOW_S = 10.0
#: How long after its due time a reservation stays valid, in seconds.
RESERVATION_TTL_S = 1.5
#: The maximum number of stored reservations; the oldest are evicted.
MAX_RESERVATIONS = 4096
#: How much too early a retry may arrive, in seconds: callers round the retry time, and
#: other instances count the delay from the receipt of the reservation.
EARLY_TOLERANCE_S = 0.05
#: A second reservation due within this time after the first is a late duplicate, in
#: seconds.  A new one is due at least `MIN_RETRY_S` after the claim of the first.
_DUPLICATE_WINDOW_S = MIN_RETRY_S - 2 * EARLY_TOLERANCE_S


class RetrySlot(NamedTuple):
    """The retry time of a rejected request.

    Attributes:
        at_s: When to retry, by the clock of the rejecting instance, in seconds.
        is_reserved: Whether a start is reserved for that time.

    .. versionadded:: 26.5.0
    """

    at_s: float
    is_reserved: bool


class ClaimOutcome(enum.StrEnum):
    """The status of a reservation.

    .. versionadded:: 26.5.0
    """

    UNKNOWN = "unknown"
    EARLY = "early"
    DUE = "due"


class Claim(NamedTuple):
    """The result of claiming a reservation.

    Attributes:
        outcome: Whether a reservation exists and is due.
        left_s: The time until it is due, in seconds; 0 unless the claim is early.

    .. versionadded:: 26.5.0
    """

    outcome: ClaimOutcome
    left_s: float = 0.0


UNKNOWN = Claim(ClaimOutcome.UNKNOWN)
DUE = Claim(ClaimOutcome.DUE)


class RetrySlots:
    """The starts of one service that one instance can reserve.

    Args:
        rng: Draws the random phase of the starts.

    .. versionadded:: 26.5.0
    """

    def __init__(self, *, rng: random.Random) -> None:
        #: Starts elapsed so far; the next start is at the next integer.
        self._elapsed_starts = rng.random()
        self._starts_per_s = 0.0
        self._updated_s = 0.0
        #: The reserved time by start number.
        self._reserved_times: dict[int, float] = {}
        #: Reservations by slot, and the current slot.
        self._reserved_per_slot: collections.Counter[int] = collections.Counter()
        self._current_slot = -1
        #: Times and priorities of recent rejections, and their counts by priority.
        self._recent_refusals: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._refusals_by_priority: collections.Counter[int] = collections.Counter()
        #: Times and priorities of the latest rejections.
        self._refusal_sample: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_SAMPLE_SIZE
        )

    def reserve(
        self, priority: int, *, starts_per_s: float, max_delay_s: float, now_s: float
    ) -> RetrySlot:
        """Reserve the earliest free start for a rejected request of a priority.

        Args:
            priority: The request's priority; lower numbers are more urgent.
            starts_per_s: The starts per second of the capacity, per instance.
            max_delay_s: The maximum retry delay, in seconds, capped at `MAX_RETRY_S`.
            now_s: The current monotonic time, in seconds.

        .. versionadded:: 26.5.0
        """
        self._update(starts_per_s, now_s=now_s)
        latest_s = min(MAX_RETRY_S, max_delay_s)
        number = self._find_free_start(priority, latest_s=latest_s, now_s=now_s)
        self._recent_refusals.append((now_s, priority))
        self._refusal_sample.append((now_s, priority))
        self._refusals_by_priority[priority] += 1
        if number is None:
            return RetrySlot(now_s + max(MIN_RETRY_S, latest_s), is_reserved=False)
        at_s = self._time_s(number, now_s=now_s)
        self._reserved_times[number] = at_s
        self._reserved_per_slot[int(at_s // SLOT_S)] += 1
        return RetrySlot(at_s, is_reserved=True)

    def reserved(self, *, now_s: float) -> int:
        """Return the number of reservations that are not yet due.

        Args:
            now_s: The current monotonic time, in seconds.

        .. versionadded:: 26.5.0
        """
        return sum(at_s > now_s for at_s in self._reserved_times.values())

    def _update(self, starts_per_s: float, *, now_s: float) -> None:
        """Advance to the current time, and set the rate of starts."""
        self._elapsed_starts += self._starts_per_s * max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        is_usable = math.isfinite(starts_per_s) and starts_per_s > 0.0
        self._starts_per_s = RESERVED_FRACTION * starts_per_s if is_usable else 0.0
        slot = int(now_s // SLOT_S)
        if slot != self._current_slot:
            self._current_slot = slot
            self._reserved_times = {
                number: at_s
                for number, at_s in self._reserved_times.items()
                if at_s > now_s
            }
            for expired in [other for other in self._reserved_per_slot if other < slot]:
                del self._reserved_per_slot[expired]
        if not self._reserved_times:
            self._elapsed_starts %= 1.0
        while (
            self._recent_refusals
            and now_s - self._recent_refusals[0][0] >= _REFUSAL_WINDOW_S
        ):
            _, priority = self._recent_refusals.popleft()
            self._refusals_by_priority[priority] -= 1
            if not self._refusals_by_priority[priority]:
                del self._refusals_by_priority[priority]

    def _time_s(self, number: int, *, now_s: float) -> float:
        """Return the time of a start at the current rate."""
        return now_s + (number - self._elapsed_starts) / self._starts_per_s

    def _find_free_start(
        self, priority: int, *, latest_s: float, now_s: float
    ) -> int | None:
        """Return the number of the start to reserve; None if there is none."""
        if latest_s < MIN_RETRY_S or not self._starts_per_s:
            return None
        max_per_slot = math.ceil(SLOT_S * self._starts_per_s)
        to_skip = sum(
            count
            for other, count in self._refusals_by_priority.items()
            if other < priority
        )
        urgent_s = self._urgent_fraction(priority, now_s=now_s) * (
            latest_s - MIN_RETRY_S
        )
        first = math.ceil(
            self._elapsed_starts + (MIN_RETRY_S + urgent_s) * self._starts_per_s
        )
        last = math.floor(self._elapsed_starts + latest_s * self._starts_per_s)
        for number in range(first, last + 1):
            if number in self._reserved_times:
                continue
            # A higher rate moves starts closer to those reserved before it.
            slot = int(self._time_s(number, now_s=now_s) // SLOT_S)
            if self._reserved_per_slot[slot] >= max_per_slot:
                continue
            if not to_skip:
                return number
            to_skip -= 1
        return None

    def _urgent_fraction(self, priority: int, *, now_s: float) -> float:
        """Return the fraction of the time to leave to more urgent requests."""
        if len(self._refusal_sample) == _SAMPLE_SIZE:
            is_recent = now_s - self._refusal_sample[0][0] < _SAMPLE_WINDOW_S
            if is_recent and all(
                other >= priority for _, other in self._refusal_sample
            ):
                return 0.0
        return _MAX_URGENT_FRACTION * (1.0 - 0.5 ** max(0, priority))


class _Reservation(NamedTuple):
    """The due time of a reservation, and whether it was used."""

    at_s: float
    is_used: bool


class ReservationStore:
    """The reservations that one instance stores, by work id.

    .. versionadded:: 26.5.0
    """

    def __init__(self) -> None:
        self._reservations: dict[str, _Reservation] = {}

    def add(self, work: str, at_s: float, *, now_s: float) -> None:
        """Store a reservation; a duplicate changes nothing.

        Args:
            work: The work's id.
            at_s: When its start is due, in seconds.
            now_s: The current monotonic time, in seconds.

        .. versionadded:: 26.5.0
        """
        stored = self._reservations.get(work)
        if stored is not None and 0.0 <= at_s - stored.at_s < _DUPLICATE_WINDOW_S:
            return
        self._reservations.pop(work, None)
        self._reservations[work] = _Reservation(at_s, is_used=False)
        self._evict(now_s)

    def claim(self, work: str, *, now_s: float) -> Claim:
        """Claim a reservation; a due one is consumed.

        Args:
            work: The work's id.
            now_s: The current monotonic time, in seconds.

        .. versionadded:: 26.5.0
        """
        stored = self._reservations.get(work)
        if stored is None or stored.is_used or now_s >= stored.at_s + RESERVATION_TTL_S:
            return UNKNOWN
        if now_s < stored.at_s - EARLY_TOLERANCE_S:
            return Claim(ClaimOutcome.EARLY, stored.at_s - now_s)
        self._reservations[work] = stored._replace(is_used=True)
        return DUE

    def reserved(self, *, now_s: float) -> int:
        """Return the number of reservations that can still be claimed.

        Args:
            now_s: The current monotonic time, in seconds.

        .. versionadded:: 26.5.0
        """
        return sum(
            not stored.is_used and now_s < stored.at_s + RESERVATION_TTL_S
            for stored in self._reservations.values()
        )

    def _evict(self, now_s: float) -> None:
        """Remove the oldest reservations that have expired or exceed the limit."""
        while self._reservations:
            oldest = next(iter(self._reservations))
            has_expired = now_s >= self._reservations[oldest].at_s + RESERVATION_TTL_S
            if not has_expired and len(self._reservations) <= MAX_RESERVATIONS:
                return
            del self._reservations[oldest]
