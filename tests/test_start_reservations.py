# SPDX-License-Identifier: MIT
"""Retry times of rejected requests, and the reservations that their retries claim."""

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


#: The planned capacity of fleet A and its demand, in starts per second.
CAPACITY_A_S, DEMAND_A_S = 329.0, 145.0
#: Half of the capacity is unavailable until this time, in seconds.
RECOVERED_S = 2.0
REJECTED_COUNT, IMPATIENT_FRACTION, IMPATIENT_RETRIES, IMPATIENT_DELAY_S = (
    300,
    0.3,
    3,
    0.05,
)
TICK_S, DURATION_S = 0.05, 6.0
#: The maximum wait for a start, in ticks: less than a quarter of 500 ms.
MAX_WAIT_TICKS = 2
PRIORITIES, WEIGHTS = (0, 1, 2), (0.2, 0.3, 0.5)
ZONES = 3
SEEDS = range(50)
#: The first slot after the immediate retries of the first second.
FIRST_RETRY_SLOT = 5


class RejectedCaller:
    """A caller whose request is rejected, with its retry time and outcome."""

    def __init__(self, number, rng):
        self.work = f"{number:032x}"
        self.priority = rng.choices(PRIORITIES, WEIGHTS)[0]
        self.zone = rng.randrange(ZONES)
        self.deadline_s = rng.uniform(9.0, 30.0)
        self.retries_left = (
            IMPATIENT_RETRIES if rng.random() < IMPATIENT_FRACTION else 0
        )
        self.is_patient = not self.retries_left
        self.rejected_s = None
        self.first_slot = None
        self.rejecting_instance = None
        self.has_retried = False
        self.is_served = False


class Replay(NamedTuple):
    """All callers, and the reservations, offers and retries per slot."""

    callers: list[RejectedCaller]
    reserved: collections.Counter[int]
    offered: collections.Counter[int]
    retried: collections.Counter[int]


def capacity_at(at_s):
    """Return the capacity at a time, in starts per second."""
    return CAPACITY_A_S if at_s >= RECOVERED_S else 0.5 * CAPACITY_A_S


def replay(count, seed):
    """Reject callers within one second, and let them retry in their zones."""
    rng = random.Random(seed)
    slots = [RetrySlots(rng=rng) for _ in range(count)]
    stores = [ReservationStore() for _ in range(count)]
    callers = [RejectedCaller(number, rng) for number in range(REJECTED_COUNT)]
    result = Replay(callers, *(collections.Counter() for _ in range(3)))
    arrivals = collections.defaultdict(list)

    @functools.cache
    def replicas(caller):
        ids = [str(one) for one in range(caller.zone, count, ZONES)]
        return [stores[int(id_)] for id_ in rendezvous(caller.work, ids, count=2)]

    def reject(caller, now_s):
        instance = rng.randrange(caller.zone, count, ZONES)
        slot = slots[instance].reserve(
            caller.priority,
            starts_per_s=capacity_at(now_s) / count,
            max_delay_s=(caller.deadline_s - now_s) / 3,
            now_s=now_s,
        )
        if slot.is_reserved:
            result.reserved[int(slot.at_s // SLOT_S)] += 1
            for store in replicas(caller):
                store.add(caller.work, slot.at_s, now_s=now_s)
        if caller.first_slot is None:
            caller.rejected_s, caller.first_slot = now_s, slot
            caller.rejecting_instance = instance
        return slot.at_s

    def schedule_retry(caller, at_s, now_s):
        if caller.is_patient and not caller.has_retried:
            arrivals[math.ceil(at_s / TICK_S)].append(caller)
        elif caller.retries_left:
            caller.retries_left -= 1
            arrivals[math.ceil((now_s + IMPATIENT_DELAY_S) / TICK_S)].append(caller)

    for rejected_s, caller in zip(
        sorted(rng.random() for _ in callers), callers, strict=True
    ):
        arrivals[int(rejected_s / TICK_S)].append(caller)
    free_starts, base_load, offers = 0.0, 0.0, []
    for tick in range(round(DURATION_S / TICK_S)):
        now_s = tick * TICK_S
        # While callers are rejected, the unreserved capacity is in use.
        is_full = now_s < 1.0
        free_starts = (
            0.0 if is_full else min(free_starts, 1.0) + TICK_S * capacity_at(now_s)
        )
        for caller in arrivals.pop(tick, ()):
            if caller.first_slot is None:
                schedule_retry(caller, reject(caller, now_s), now_s)
                continue
            caller.has_retried = caller.is_patient
            claims = [
                store.claim(caller.work, now_s=now_s) for store in replicas(caller)
            ]
            if any(claim.outcome is ClaimOutcome.DUE for claim in claims):
                caller.is_served = True
                free_starts -= 1.0
                result.offered[int(now_s // SLOT_S)] += 1
                result.retried[int(now_s // SLOT_S)] += 1
            elif any(claim.outcome is ClaimOutcome.EARLY for claim in claims):
                schedule_retry(caller, now_s + claims[0].left_s, now_s)
            else:
                offers.append((caller.priority, tick, caller))
                result.retried[int(now_s // SLOT_S)] += 1
        if not is_full:
            base_load += TICK_S * DEMAND_A_S
            usual = rng.choices(PRIORITIES, WEIGHTS, k=int(base_load))
            offers.extend((priority, tick, None) for priority in usual)
            base_load %= 1.0
        result.offered[int(now_s // SLOT_S)] += sum(
            since == tick for _, since, _ in offers
        )
        waiting = []
        for priority, since, caller in sorted(offers, key=lambda offer: offer[:2]):
            if free_starts >= 1.0:
                free_starts -= 1.0
                if caller:
                    caller.is_served = True
            elif tick - since < MAX_WAIT_TICKS and not is_full:
                waiting.append((priority, since, caller))
            elif caller:
                schedule_retry(caller, reject(caller, now_s), now_s)
        offers = waiting
    return result


def served_fraction(callers):
    """Return the fraction of callers that were served."""
    return sum(caller.is_served for caller in callers) / len(callers)


def mean_delay_s(callers, priority):
    """Return the mean retry delay of callers of a priority, in seconds."""
    return statistics.mean(
        caller.first_slot.at_s - caller.rejected_s
        for caller in callers
        if caller.priority == priority
    )


def slot_capacity(number):
    """Return the starts that the capacity allows in a slot."""
    return SLOT_S * capacity_at(number * SLOT_S)


def check_reservations(result):
    """Instances that reject requests simultaneously reserve different times."""
    for number, reserved in result.reserved.items():
        assert reserved <= slot_capacity(number)


def check_urgent_first(result):
    """More urgent callers get earlier retry times."""
    assert mean_delay_s(result.callers, 0) < mean_delay_s(result.callers, 2)


def check_retries_served(result):
    """Retries with a reservation or after the recovery are served."""
    expected = [
        caller
        for caller in result.callers
        if caller.is_patient
        and (caller.first_slot.is_reserved or caller.first_slot.at_s >= RECOVERED_S)
    ]
    assert served_fraction(expected) >= 0.9


def check_impatient(result):
    """Immediate retries are no advantage."""
    patient = [caller for caller in result.callers if caller.is_patient]
    impatient = [caller for caller in result.callers if not caller.is_patient]
    assert served_fraction(impatient) <= served_fraction(patient)


def check_second_peak(result):
    """Retries fit in the capacity, also in sum with the base load.

    The sum is checked per half second: a change of capacity reaches all instances
    within that time.
    """
    for number in range(FIRST_RETRY_SLOT, round(DURATION_S / SLOT_S)):
        assert result.retried[number] <= 1.2 * slot_capacity(number)
    for number in range(FIRST_RETRY_SLOT, round(DURATION_S / SLOT_S) - 1):
        pair = (number, number + 1)
        offered = sum(result.offered[slot] for slot in pair)
        assert offered <= 1.2 * sum(slot_capacity(slot) for slot in pair)


CHECKS = (
    check_reservations,
    check_urgent_first,
    check_retries_served,
    check_impatient,
    check_second_peak,
)


class TestReplay:
    @pytest.mark.parametrize("count", [8, 72, 350])
    def test_many_rejections_in_one_second(self, count):
        """Each seed meets all bounds; the means of all seeds follow the priorities.

        All checks share a replay, since the workers of a test run share no state.
        """
        all_callers = []
        for seed in SEEDS:
            result = replay(count, seed)
            for check in CHECKS:
                check(result)
            all_callers += result.callers
        delays_s = [mean_delay_s(all_callers, priority) for priority in PRIORITIES]
        assert delays_s == sorted(delays_s)
        reserved = [
            statistics.mean(
                c.first_slot.is_reserved for c in all_callers if c.priority == priority
            )
            for priority in PRIORITIES
        ]
        assert reserved == sorted(reserved, reverse=True)


def make_slots(seed=1):
    """Return the reservable starts of one instance."""
    return RetrySlots(rng=random.Random(seed))


class TestRetrySlots:
    @pytest.mark.parametrize("seed", range(20))
    def test_urgent_request_after_others(self, seed):
        """A more urgent request that is rejected later still gets an earlier start."""
        slots = make_slots(seed)
        less_urgent = [
            slots.reserve(priority, starts_per_s=20.0, max_delay_s=3.0, now_s=100.0)
            for priority in (2, 1, 2)
        ]
        urgent = slots.reserve(0, starts_per_s=20.0, max_delay_s=3.0, now_s=100.1)
        assert urgent.is_reserved
        assert all(urgent.at_s < slot.at_s for slot in less_urgent)

    def test_continuing_urgent_rejections(self):
        """Less urgent requests don't get the last starts in between."""
        slots = make_slots()
        for _ in range(10):
            slots.reserve(0, starts_per_s=20.0, max_delay_s=3.0, now_s=100.0)
        less_urgent = slots.reserve(2, starts_per_s=20.0, max_delay_s=3.0, now_s=100.1)
        urgent = slots.reserve(0, starts_per_s=20.0, max_delay_s=3.0, now_s=100.2)
        assert urgent.is_reserved
        assert urgent.at_s < less_urgent.at_s

    def test_single_priority_gets_early_starts(self):
        """No starts are left free without rejections of more urgent requests."""
        slots = make_slots()
        reserved = [
            slots.reserve(12, starts_per_s=40.0, max_delay_s=3.0, now_s=100.0 + n / 10)
            for n in range(20)
        ]
        assert reserved[-1].at_s - 101.9 < 1.0

    @pytest.mark.parametrize(
        "max_delay_s", [0.0, 0.4, -1.0, 0.5, 1.0, 3.0, 60.0, math.inf]
    )
    def test_delay_bounds(self, max_delay_s):
        """The retry delay is within the minimum and the caller's maximum."""
        slots = make_slots()
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
    def test_no_capacity(self, starts_per_s):
        """Nothing is reserved of a capacity that is zero or unknown."""
        slots = make_slots()
        slots.reserve(0, starts_per_s=9.0, max_delay_s=3.0, now_s=99.0)
        slot = slots.reserve(0, starts_per_s=starts_per_s, max_delay_s=2.0, now_s=100.0)
        assert slot == (102.0, False)

    @pytest.mark.parametrize("seed", range(20))
    def test_changing_share(self, seed):
        """No slot has more reservations than the largest share allows."""
        rng = random.Random(seed)
        slots = make_slots(seed)
        reserved = collections.Counter()
        for n in range(2_000):
            slot = slots.reserve(
                rng.randrange(3),
                starts_per_s=rng.choice((0.0, 4.0, 8.0, 12.0)),
                max_delay_s=3.0,
                now_s=100.0 + n / 100,
            )
            if slot.is_reserved:
                reserved[int(slot.at_s // SLOT_S)] += 1
        assert sum(reserved.values()) > 0
        # At most half of 12 starts per second, rounded up.
        assert max(reserved.values()) <= math.ceil(0.5 * 12.0 * SLOT_S)

    def test_long_idle_time(self):
        """Reservations are counted until they are due, and then discarded."""
        slots = make_slots()
        for _ in range(50):
            slots.reserve(0, starts_per_s=20.0, max_delay_s=3.0, now_s=100.0)
        assert 5 <= slots.reserved(now_s=100.0) <= 25
        assert slots.reserved(now_s=104.0) == 0
        slot = slots.reserve(0, starts_per_s=20.0, max_delay_s=3.0, now_s=1e7)
        assert slot.is_reserved
        assert slots.reserved(now_s=1e7) == 1


WORK = "0" * 32


def store_with(at_s):
    """Return a store with a reservation of the work."""
    store = ReservationStore()
    store.add(WORK, at_s, now_s=100.0)
    return store


class TestReservationStore:
    def test_early_then_due_once(self):
        """An early claim keeps the reservation; a due claim consumes it."""
        store = store_with(101.0)
        early = store.claim(WORK, now_s=100.25)
        assert early == (ClaimOutcome.EARLY, 0.75)
        assert store.reserved(now_s=100.25) == 1
        outcomes = [store.claim(WORK, now_s=101.0).outcome for _ in range(2)]
        assert outcomes == [ClaimOutcome.DUE, ClaimOutcome.UNKNOWN]
        assert store.reserved(now_s=101.0) == 0

    def test_rounded_retry_time(self):
        """A retry that is some milliseconds early is due."""
        assert store_with(101.0).claim(WORK, now_s=100.99).outcome is ClaimOutcome.DUE

    def test_reservation_expires(self):
        """A reservation can't be claimed after its time to live."""
        late_s = 101.0 + RESERVATION_TTL_S
        assert store_with(101.0).claim(WORK, now_s=late_s - 0.01).outcome == "due"
        assert store_with(101.0).claim(WORK, now_s=late_s).outcome == "unknown"
        assert store_with(101.0).reserved(now_s=late_s) == 0

    def test_late_duplicate(self):
        """A late duplicate renews neither a used reservation nor its due time."""
        store = store_with(101.0)
        store.add(WORK, 101.2, now_s=100.2)
        assert store.claim(WORK, now_s=101.0).outcome is ClaimOutcome.DUE
        store.add(WORK, 101.3, now_s=101.1)
        assert store.claim(WORK, now_s=101.3).outcome is ClaimOutcome.UNKNOWN

    def test_next_reservation_of_work(self):
        """A work that is rejected again after its start gets a new reservation."""
        store = store_with(101.0)
        store.claim(WORK, now_s=101.0)
        store.add(WORK, 101.0 + MIN_RETRY_S, now_s=101.0)
        assert store.claim(WORK, now_s=101.6).outcome is ClaimOutcome.DUE

    def test_memory_is_bounded(self):
        """More works than the limit evict only the oldest reservations."""
        store = ReservationStore()
        for n in range(2 * MAX_RESERVATIONS):
            store.add(f"{n:032x}", 101.0, now_s=100.0)
        assert store.reserved(now_s=100.0) == MAX_RESERVATIONS
        assert store.claim(f"{0:032x}", now_s=101.0).outcome == "unknown"
        last = f"{2 * MAX_RESERVATIONS - 1:032x}"
        assert store.claim(last, now_s=101.0).outcome == "due"
