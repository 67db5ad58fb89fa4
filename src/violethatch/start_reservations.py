# SPDX-License-Identifier: MIT
"""Reserves starts for refused callers, and tells which retries have one.

Load pattern: hundreds of callers are refused within a second while room is short.
Some retry at once and often.  Told the same time, the others return together, and the
runners that are back by then are overloaded once more, in arrival order.

A refused caller is told a time at which a start is reserved for it.  An instance
reserves only from its own share of the room, so that nothing has to be agreed between
instances that refuse at the same moment.  Its starts are spaced evenly in time: a share
may be less than one start in several seconds.  They begin at a random phase, since the
instances have no common clock, and would otherwise all reserve the same moment.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import collections
import enum
import math
import random

from typing import NamedTuple


#: The earliest retry, in seconds: some running streams end by then.
MIN_RETRY_S = 0.5
#: The latest retry, in seconds: the room of later times is not known.
MAX_RETRY_S = 3.0
#: The part of an instance's share that is reserved: half at the most, so that the
#: starts of many instances that fall together are within the room.  With 0.5, and a
#: demand of 0.88 of the room, half a second had offers of 1.23 of the room.
RESERVED_PART = 0.3
#: The length of a slot, in seconds.
SLOT_S = 0.25
#: How long a refusal counts as one of the same time, in seconds: so many starts as
#: more urgent callers were refused are left to the next of them.
_URGENT_S = 1.0
#: The part of the time up to a caller's latest retry that is left to more urgent ones
#: by the least urgent ones: with hundreds of instances each refuses fewer than one
#: caller in a second, and doesn't know whom the others refuse.
_HELD_PART = 0.8
#: How many refusals within how many seconds show which priorities are refused: where
#: no more urgent one is among them, nothing is left to more urgent ones.
_SHOWN_REFUSALS = 8
_SHOWN_S = 10.0
#: How long a reservation lasts beyond its time, in seconds.
RESERVATION_TTL_S = 1.5
#: The most works whose reservations are kept; the oldest are dropped.
MAX_RESERVATIONS = 4096
#: How much too early a retry may be, in seconds: callers round the time they are told,
#: and keepers count it from when they hear of it.
TOLERANCE_S = 0.05
#: Within how long after its time a second reservation is taken for a late copy of the
#: first, in seconds.  A new one is at least `MIN_RETRY_S` after the claim of the first.
_COPY_S = MIN_RETRY_S - 2 * TOLERANCE_S


class RetrySlot(NamedTuple):
    """What a refused caller is told.

    Attributes:
        at_s: When to retry, by the clock of the refusing instance, in seconds.
        is_reserved: Whether a start is reserved for then.

    .. versionadded:: 26.5.0
    """

    at_s: float
    is_reserved: bool


class ClaimOutcome(enum.StrEnum):
    """What is known of a work's reservation.

    .. versionadded:: 26.5.0
    """

    UNKNOWN = "unknown"
    EARLY = "early"
    DUE = "due"


class Claim(NamedTuple):
    """The answer to a claim.

    Attributes:
        outcome: Whether there is a reservation, and its time has come.
        left_s: How long until it is due, in seconds; 0 unless it is early.

    .. versionadded:: 26.5.0
    """

    outcome: ClaimOutcome
    left_s: float = 0.0


UNKNOWN = Claim(ClaimOutcome.UNKNOWN)
DUE = Claim(ClaimOutcome.DUE)


class RetrySlots:
    """One instance's reservable starts of one service.

    Args:
        rng: Draws the phase of the starts.

    .. versionadded:: 26.5.0
    """

    def __init__(self, *, rng: random.Random) -> None:
        #: How many starts have passed; the next one is at the next whole number.
        self._passed = rng.random()
        self._per_s = 0.0
        self._updated_s = 0.0
        #: By the number of the start, the time that was told.
        self._taken: dict[int, float] = {}
        #: By quarter second, how many were told; and the latest one that has passed.
        self._in_slots: collections.Counter[int] = collections.Counter()
        self._slot = -1
        #: Recent refusals, and their number by priority.
        self._refused: collections.deque[tuple[float, int]] = collections.deque()
        self._counts: collections.Counter[int] = collections.Counter()
        #: The times and priorities of the latest refusals.
        self._latest: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_SHOWN_REFUSALS
        )

    def reserve(
        self, priority: int, *, starts_per_s: float, max_delay_s: float, now_s: float
    ) -> RetrySlot:
        """Reserve the earliest start that is left for a refused caller's priority.

        Args:
            priority: The caller's; lower numbers are more urgent.
            starts_per_s: The room's starts per second, divided by the instances.
            max_delay_s: The latest retry, in seconds from now; `MAX_RETRY_S` at most.
            now_s: The current steady time, in seconds.

        .. versionadded:: 26.5.0
        """
        self._update(starts_per_s, now_s=now_s)
        latest_s = min(MAX_RETRY_S, max_delay_s)
        number = self._free_start(priority, latest_s=latest_s, now_s=now_s)
        self._refused.append((now_s, priority))
        self._latest.append((now_s, priority))
        self._counts[priority] += 1
        if number is None:
            return RetrySlot(now_s + max(MIN_RETRY_S, latest_s), is_reserved=False)
        at_s = self._time_s(number, now_s=now_s)
        self._taken[number] = at_s
        self._in_slots[int(at_s // SLOT_S)] += 1
        return RetrySlot(at_s, is_reserved=True)

    def reserved(self, *, now_s: float) -> int:
        """Return how many reservations are not yet due.

        Args:
            now_s: The current steady time, in seconds.

        .. versionadded:: 26.5.0
        """
        return sum(at_s > now_s for at_s in self._taken.values())

    def _update(self, starts_per_s: float, *, now_s: float) -> None:
        """Let time pass, and take another share in."""
        self._passed += self._per_s * max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        is_usable = math.isfinite(starts_per_s) and starts_per_s > 0.0
        self._per_s = RESERVED_PART * starts_per_s if is_usable else 0.0
        slot = int(now_s // SLOT_S)
        if slot != self._slot:
            self._slot = slot
            self._taken = {
                number: at_s for number, at_s in self._taken.items() if at_s > now_s
            }
            for passed in [one for one in self._in_slots if one < slot]:
                del self._in_slots[passed]
        if not self._taken:
            self._passed %= 1.0
        while self._refused and now_s - self._refused[0][0] >= _URGENT_S:
            _, priority = self._refused.popleft()
            self._counts[priority] -= 1
            if not self._counts[priority]:
                del self._counts[priority]

    def _time_s(self, number: int, *, now_s: float) -> float:
        """Return when a start is due at the current rate."""
        return now_s + (number - self._passed) / self._per_s

    def _free_start(
        self, priority: int, *, latest_s: float, now_s: float
    ) -> int | None:
        """Return the number of the start to reserve; None if none is left."""
        if latest_s < MIN_RETRY_S or not self._per_s:
            return None
        most_in_slot = math.ceil(SLOT_S * self._per_s)
        left = sum(count for one, count in self._counts.items() if one < priority)
        held_s = self._held_part(priority, now_s=now_s) * (latest_s - MIN_RETRY_S)
        first = math.ceil(self._passed + (MIN_RETRY_S + held_s) * self._per_s)
        last = math.floor(self._passed + latest_s * self._per_s)
        for one in range(first, last + 1):
            if one in self._taken:
                continue
            # A higher rate brings starts closer to those that were told before it.
            slot = int(self._time_s(one, now_s=now_s) // SLOT_S)
            if self._in_slots[slot] >= most_in_slot:
                continue
            if not left:
                return one
            left -= 1
        return None

    def _held_part(self, priority: int, *, now_s: float) -> float:
        """Return which part of its time a caller leaves to more urgent ones."""
        if len(self._latest) == _SHOWN_REFUSALS:
            is_shown = now_s - self._latest[0][0] < _SHOWN_S
            if is_shown and all(one >= priority for _, one in self._latest):
                return 0.0
        return _HELD_PART * (1.0 - 0.5 ** max(0, priority))


class _Kept(NamedTuple):
    """A reservation: its time, and whether it was used."""

    at_s: float
    is_used: bool


class ReservationStore:
    """The reservations that one instance keeps, by work.

    .. versionadded:: 26.5.0
    """

    def __init__(self) -> None:
        self._kept: dict[str, _Kept] = {}

    def add(self, work: str, at_s: float, *, now_s: float) -> None:
        """Keep a work's reservation; one that was kept or used before stays so.

        Args:
            work: The work's id.
            at_s: When its start is due, in seconds.
            now_s: The current steady time, in seconds.

        .. versionadded:: 26.5.0
        """
        known = self._kept.get(work)
        if known is not None and 0.0 <= at_s - known.at_s < _COPY_S:
            return
        self._kept.pop(work, None)
        self._kept[work] = _Kept(at_s, is_used=False)
        self._drop(now_s)

    def claim(self, work: str, *, now_s: float) -> Claim:
        """Use a work's reservation up if it is due.

        Args:
            work: The work's id.
            now_s: The current steady time, in seconds.

        .. versionadded:: 26.5.0
        """
        known = self._kept.get(work)
        if known is None or known.is_used or now_s >= known.at_s + RESERVATION_TTL_S:
            return UNKNOWN
        if now_s < known.at_s - TOLERANCE_S:
            return Claim(ClaimOutcome.EARLY, known.at_s - now_s)
        self._kept[work] = known._replace(is_used=True)
        return DUE

    def reserved(self, *, now_s: float) -> int:
        """Return how many reservations can still be claimed.

        Args:
            now_s: The current steady time, in seconds.

        .. versionadded:: 26.5.0
        """
        return sum(
            not one.is_used and now_s < one.at_s + RESERVATION_TTL_S
            for one in self._kept.values()
        )

    def _drop(self, now_s: float) -> None:
        """Drop the oldest ones that have expired or are too many."""
        while self._kept:
            oldest = next(iter(self._kept))
            has_expired = now_s >= self._kept[oldest].at_s + RESERVATION_TTL_S
            if not has_expired and len(self._kept) <= MAX_RESERVATIONS:
                return
            del self._kept[oldest]
