# SPDX-License-Identifier: MIT
"""When refused callers return, and which of their retries have a start."""

from __future__ import annotations

import collections
import functools
import math
import random
import statistics

from typing import NamedTuple

import pytest

from violethatch.membership import rendezvous
from violethatch.start_reservations import (
    MAX_RESERVATIONS,
    MAX_RETRY_S,
    MIN_RETRY_S,
    RESERVATION_TTL_S,
    SLOT_S,
    ClaimOutcome,
    ReservationStore,
    RetrySlots,
)


#: Starts per second of fleet A as planned, and of what it is asked for.
ROOM_A_S, DEMAND_A_S = 329.0, 145.0
#: Half of the room is lost until then, in seconds.
BACK_S = 2.0
REFUSED, IMPATIENT_PART, IMPATIENT_TRIES, IMPATIENT_S = 300, 0.3, 3, 0.05
TICK_S, END_S = 0.05, 6.0
#: So many ticks an offer waits for a start: less than a quarter of 500 ms.
WAIT_TICKS = 2
PRIORITIES, WEIGHTS = (0, 1, 2), (0.2, 0.3, 0.5)
ZONES = 3
SEEDS = range(50)
#: Immediate retries of the first second have ended by this quarter second.
RETURNS_BEGIN = 5


class Refused:
    """A caller that was refused: what it was told, and how it fared."""

    def __init__(self, number, rng):
        self.work = f"{number:032x}"
        self.priority = rng.choices(PRIORITIES, WEIGHTS)[0]
        self.zone = rng.randrange(ZONES)
        self.until_s = rng.uniform(9.0, 30.0)
        self.tries_left = IMPATIENT_TRIES if rng.random() < IMPATIENT_PART else 0
        self.is_patient = not self.tries_left
        self.refused_s = None
        self.first = None
        self.first_instance = None
        self.has_returned = False
        self.is_served = False


class Replay(NamedTuple):
    """All callers, and by quarter second what was reserved and offered.

    What callers who were refused have offered is counted by itself as well.
    """

    callers: list[Refused]
    reserved: collections.Counter[int]
    offered: collections.Counter[int]
    returned: collections.Counter[int]


def room_a_s(at_s):
    """Return the room's starts per second at a time."""
    return ROOM_A_S if at_s >= BACK_S else 0.5 * ROOM_A_S


def replay(count, seed):
    """Refuse callers in one second; let them return to instances of their zones."""
    rng = random.Random(seed)
    slots = [RetrySlots(rng=rng) for _ in range(count)]
    kept = [ReservationStore() for _ in range(count)]
    callers = [Refused(number, rng) for number in range(REFUSED)]
    done = Replay(callers, *(collections.Counter() for _ in range(3)))
    coming = collections.defaultdict(list)

    @functools.cache
    def keepers(caller):
        ids = [str(one) for one in range(caller.zone, count, ZONES)]
        return [kept[int(one)] for one in rendezvous(caller.work, ids, count=2)]

    def refuse(caller, now_s):
        instance = rng.randrange(caller.zone, count, ZONES)
        slot = slots[instance].reserve(
            caller.priority,
            starts_per_s=room_a_s(now_s) / count,
            max_delay_s=(caller.until_s - now_s) / 3,
            now_s=now_s,
        )
        if slot.is_reserved:
            done.reserved[int(slot.at_s // SLOT_S)] += 1
            for one in keepers(caller):
                one.add(caller.work, slot.at_s, now_s=now_s)
        if caller.first is None:
            caller.refused_s, caller.first = now_s, slot
            caller.first_instance = instance
        return slot.at_s

    def leave(caller, at_s, now_s):
        if caller.is_patient and not caller.has_returned:
            coming[math.ceil(at_s / TICK_S)].append(caller)
        elif caller.tries_left:
            caller.tries_left -= 1
            coming[math.ceil((now_s + IMPATIENT_S) / TICK_S)].append(caller)

    for refused_s, caller in zip(
        sorted(rng.random() for _ in callers), callers, strict=True
    ):
        coming[int(refused_s / TICK_S)].append(caller)
    left, base, offers = 0.0, 0.0, []
    for tick in range(round(END_S / TICK_S)):
        now_s = tick * TICK_S
        # The room is in use while the callers are refused, apart from reservations.
        is_full = now_s < 1.0
        left = 0.0 if is_full else min(left, 1.0) + TICK_S * room_a_s(now_s)
        for caller in coming.pop(tick, ()):
            if caller.first is None:
                leave(caller, refuse(caller, now_s), now_s)
                continue
            caller.has_returned = caller.is_patient
            claims = [one.claim(caller.work, now_s=now_s) for one in keepers(caller)]
            if any(one.outcome is ClaimOutcome.DUE for one in claims):
                caller.is_served = True
                left -= 1.0
                done.offered[int(now_s // SLOT_S)] += 1
                done.returned[int(now_s // SLOT_S)] += 1
            elif any(one.outcome is ClaimOutcome.EARLY for one in claims):
                leave(caller, now_s + claims[0].left_s, now_s)
            else:
                offers.append((caller.priority, tick, caller))
                done.returned[int(now_s // SLOT_S)] += 1
        if not is_full:
            base += TICK_S * DEMAND_A_S
            usual = rng.choices(PRIORITIES, WEIGHTS, k=int(base))
            offers.extend((one, tick, None) for one in usual)
            base %= 1.0
        done.offered[int(now_s // SLOT_S)] += sum(
            since == tick for _, since, _ in offers
        )
        waiting = []
        for priority, since, caller in sorted(offers, key=lambda one: one[:2]):
            if left >= 1.0:
                left -= 1.0
                if caller:
                    caller.is_served = True
            elif tick - since < WAIT_TICKS and not is_full:
                waiting.append((priority, since, caller))
            elif caller:
                leave(caller, refuse(caller, now_s), now_s)
        offers = waiting
    return done


def share(callers):
    """Return which part of some callers was served."""
    return sum(one.is_served for one in callers) / len(callers)


def told_s(callers, priority):
    """Return the mean time that callers of a priority were told to wait."""
    return statistics.mean(
        one.first.at_s - one.refused_s for one in callers if one.priority == priority
    )


def room_of_slot(number):
    """Return the starts that the room has in a quarter second."""
    return SLOT_S * room_a_s(number * SLOT_S)


def check_reservations(done):
    """Instances that refuse together don't reserve the same moment."""
    for number, reserved in done.reserved.items():
        assert reserved <= room_of_slot(number)


def check_urgent_first(done):
    """The least urgent callers don't take the early starts."""
    assert told_s(done.callers, 0) < told_s(done.callers, 2)


def check_return_in_time(done):
    """A reserved start, or a room that is whole again, is there for the caller."""
    in_time = [
        caller
        for caller in done.callers
        if caller.is_patient
        and (caller.first.is_reserved or caller.first.at_s >= BACK_S)
    ]
    assert share(in_time) >= 0.9


def check_impatient(done):
    """Immediate retries don't pay."""
    patient = [caller for caller in done.callers if caller.is_patient]
    impatient = [caller for caller in done.callers if not caller.is_patient]
    assert share(impatient) <= share(patient)


def check_second_peak(done):
    """Returns don't exceed the room, nor do they with the usual demand.

    The two together by half seconds: within that time the room is known everywhere.
    """
    for number in range(RETURNS_BEGIN, round(END_S / SLOT_S)):
        assert done.returned[number] <= 1.2 * room_of_slot(number)
    for number in range(RETURNS_BEGIN, round(END_S / SLOT_S) - 1):
        pair = (number, number + 1)
        offered = sum(done.offered[slot] for slot in pair)
        assert offered <= 1.2 * sum(room_of_slot(slot) for slot in pair)


CHECKS = (
    check_reservations,
    check_urgent_first,
    check_return_in_time,
    check_impatient,
    check_second_peak,
)


class TestReplay:
    @pytest.mark.parametrize("count", [8, 72, 350])
    def test_many_are_refused_in_one_second(self, count):
        """Each seed is within all bounds; over all seeds priorities are in order.

        One replay serves all checks, as workers of a test run share nothing.
        """
        everyone = []
        for seed in SEEDS:
            done = replay(count, seed)
            for check in CHECKS:
                check(done)
            everyone += done.callers
        told = [told_s(everyone, one) for one in PRIORITIES]
        assert told == sorted(told)
        reserved = [
            statistics.mean(c.first.is_reserved for c in everyone if c.priority == one)
            for one in PRIORITIES
        ]
        assert reserved == sorted(reserved, reverse=True)


def slots_of(seed=1):
    """Return the slots of one instance."""
    return RetrySlots(rng=random.Random(seed))


class TestReturnSlots:
    @pytest.mark.parametrize("seed", range(20))
    def test_urgent_caller_after_others(self, seed):
        """Starts that remain are early enough for who is refused a moment later."""
        slots = slots_of(seed)
        less = [
            slots.reserve(one, starts_per_s=20.0, max_delay_s=3.0, now_s=100.0)
            for one in (2, 1, 2)
        ]
        urgent = slots.reserve(0, starts_per_s=20.0, max_delay_s=3.0, now_s=100.1)
        assert urgent.is_reserved
        assert all(urgent.at_s < one.at_s for one in less)

    def test_urgent_callers_that_go_on(self):
        """The last starts are not given to less urgent callers meanwhile."""
        slots = slots_of()
        for _ in range(10):
            slots.reserve(0, starts_per_s=20.0, max_delay_s=3.0, now_s=100.0)
        less = slots.reserve(2, starts_per_s=20.0, max_delay_s=3.0, now_s=100.1)
        urgent = slots.reserve(0, starts_per_s=20.0, max_delay_s=3.0, now_s=100.2)
        assert urgent.is_reserved
        assert urgent.at_s < less.at_s

    def test_single_priority_has_the_early_starts(self):
        """Nothing is left to urgent callers where none of them is refused."""
        slots = slots_of()
        told = [
            slots.reserve(12, starts_per_s=40.0, max_delay_s=3.0, now_s=100.0 + n / 10)
            for n in range(20)
        ]
        assert told[-1].at_s - 101.9 < 1.0

    @pytest.mark.parametrize(
        "max_delay_s", [0.0, 0.4, -1.0, 0.5, 1.0, 3.0, 60.0, math.inf]
    )
    def test_bounds_of_the_time(self, max_delay_s):
        """It is neither too early for a start nor beyond the caller's time."""
        slots = slots_of()
        for _ in range(200):
            slot = slots.reserve(
                0, starts_per_s=40.0, max_delay_s=max_delay_s, now_s=100.0
            )
            latest_s = max(MIN_RETRY_S, min(MAX_RETRY_S, max_delay_s))
            assert slot.at_s - 100.0 >= MIN_RETRY_S - 1e-9
            assert slot.at_s - 100.0 <= latest_s + 1e-9
        assert not slot.is_reserved
        assert slot.at_s == pytest.approx(100.0 + latest_s)

    @pytest.mark.parametrize("starts_per_s", [0.0, -1.0, math.nan, math.inf])
    def test_no_room(self, starts_per_s):
        """Nothing is reserved of a room that is gone or unknown."""
        slots = slots_of()
        slots.reserve(0, starts_per_s=9.0, max_delay_s=3.0, now_s=99.0)
        slot = slots.reserve(0, starts_per_s=starts_per_s, max_delay_s=2.0, now_s=100.0)
        assert slot == (102.0, False)

    @pytest.mark.parametrize("seed", range(20))
    def test_share_that_changes(self, seed):
        """No quarter second has more than the largest share that was known."""
        rng = random.Random(seed)
        slots = slots_of(seed)
        told = collections.Counter()
        for n in range(2_000):
            slot = slots.reserve(
                rng.randrange(3),
                starts_per_s=rng.choice((0.0, 4.0, 8.0, 12.0)),
                max_delay_s=3.0,
                now_s=100.0 + n / 100,
            )
            if slot.is_reserved:
                told[int(slot.at_s // SLOT_S)] += 1
        assert sum(told.values()) > 0
        # At most half of 12 starts per second, as whole starts.
        assert max(told.values()) <= math.ceil(0.5 * 12.0 * SLOT_S)

    def test_long_rest(self):
        """What was told before is forgotten, and counted until then."""
        slots = slots_of()
        for _ in range(50):
            slots.reserve(0, starts_per_s=20.0, max_delay_s=3.0, now_s=100.0)
        assert 5 <= slots.reserved(now_s=100.0) <= 25
        assert slots.reserved(now_s=104.0) == 0
        slot = slots.reserve(0, starts_per_s=20.0, max_delay_s=3.0, now_s=1e7)
        assert slot.is_reserved
        assert slots.reserved(now_s=1e7) == 1


WORK = "0" * 32


def kept_at(at_s):
    """Return reservations with one of the work."""
    kept = ReservationStore()
    kept.add(WORK, at_s, now_s=100.0)
    return kept


class TestReservedStarts:
    def test_early_due_once(self):
        """An early claim leaves the reservation; a due one uses it up."""
        kept = kept_at(101.0)
        early = kept.claim(WORK, now_s=100.25)
        assert early == (ClaimOutcome.EARLY, 0.75)
        assert kept.reserved(now_s=100.25) == 1
        outcomes = [kept.claim(WORK, now_s=101.0).outcome for _ in range(2)]
        assert outcomes == [ClaimOutcome.DUE, ClaimOutcome.UNKNOWN]
        assert kept.reserved(now_s=101.0) == 0

    def test_told_time_that_was_rounded(self):
        """A caller that returns some ms too early has its start."""
        assert kept_at(101.0).claim(WORK, now_s=100.99).outcome is ClaimOutcome.DUE

    def test_reservation_expires(self):
        """It doesn't add to the room long after its time."""
        late_s = 101.0 + RESERVATION_TTL_S
        assert kept_at(101.0).claim(WORK, now_s=late_s - 0.01).outcome == "due"
        assert kept_at(101.0).claim(WORK, now_s=late_s).outcome == "unknown"
        assert kept_at(101.0).reserved(now_s=late_s) == 0

    def test_copy_that_comes_late(self):
        """Neither a used reservation nor its time is renewed by it."""
        kept = kept_at(101.0)
        kept.add(WORK, 101.2, now_s=100.2)
        assert kept.claim(WORK, now_s=101.0).outcome is ClaimOutcome.DUE
        kept.add(WORK, 101.3, now_s=101.1)
        assert kept.claim(WORK, now_s=101.3).outcome is ClaimOutcome.UNKNOWN

    def test_next_reservation_of_the_work(self):
        """One that is refused again after its start has another."""
        kept = kept_at(101.0)
        kept.claim(WORK, now_s=101.0)
        kept.add(WORK, 101.0 + MIN_RETRY_S, now_s=101.0)
        assert kept.claim(WORK, now_s=101.6).outcome is ClaimOutcome.DUE

    def test_memory_is_bounded(self):
        """Works without number push out the oldest only."""
        kept = ReservationStore()
        for n in range(2 * MAX_RESERVATIONS):
            kept.add(f"{n:032x}", 101.0, now_s=100.0)
        assert kept.reserved(now_s=100.0) == MAX_RESERVATIONS
        assert kept.claim(f"{0:032x}", now_s=101.0).outcome == "unknown"
        last = f"{2 * MAX_RESERVATIONS - 1:032x}"
        assert kept.claim(last, now_s=101.0).outcome == "due"
