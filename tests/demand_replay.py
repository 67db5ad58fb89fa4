# SPDX-License-Identifier: MIT
"""Simulated instances that count offers and exchange sums along their tree."""

from __future__ import annotations

import functools

from bisect import bisect
from typing import NamedTuple

from test_instances import entry
from violethatch import _load_link
from violethatch.demand import (
    Demand,
    DemandCounter,
    DemandFeed,
    DemandKey,
    decode_demand,
)
from violethatch.instances import InstanceDirectory
from violethatch.load_sums import LoadSums, LoadTotals


TICK_S = _load_link.TICK_S
KEY = DemandKey(7, 1)
SERVICE = 77
PRIORITIES = (0, 1, 2)
#: 24 workspaces with a Zipf exponent of 1.2.
WORKSPACES = range(24)
SKEWED = [(1 + rank) ** -1.2 for rank in WORKSPACES]
#: The total offers per second of up to 72 instances; proportionally more beyond.
OFFERS_PER_S = 145
ZONE_SIZES = {8: (3, 3, 2), 72: (24, 24, 24), 350: (117, 117, 116)}


def of_workspaces(rates_per_s):
    """Return the demand of one key from some workspaces."""
    return Demand(
        {KEY: sum(rates_per_s.values())},
        {(KEY, workspace): rate for workspace, rate in rates_per_s.items()},
    )


class Offers(NamedTuple):
    """The arrival process of requests at each instance."""

    per_s: float
    weights: tuple[float, ...] = tuple(SKEWED)
    #: Whether arrivals are a Poisson process instead of evenly spaced.
    is_random: bool = False


@functools.cache
def directories(instances):
    """Return each instance's directory, cached since computing the ranks is slow."""
    entries = {
        f"{zone}-{n}": entry(f"{zone}-{n}", zone=f"z{zone}")
        for zone, size in enumerate(ZONE_SIZES[instances])
        for n in range(size)
    }
    by_id = {}
    for own in entries.values():
        by_id[own.id] = InstanceDirectory(own)
        by_id[own.id].take(entries, is_whole=True)
    return by_id


@functools.cache
def ranked_sums(instances):
    """Return a `LoadSums` for each instance, as a source of computed ranks."""
    by_id = {
        instance_id: LoadSums(directory)
        for instance_id, directory in directories(instances).items()
    }
    for sums in by_id.values():
        sums._zones()
    return by_id


def new_sums(instances):
    """Return each instance's sums, without reports."""
    by_id = {}
    for instance_id, ranked in ranked_sums(instances).items():
        by_id[instance_id] = LoadSums(ranked._directory)
        by_id[instance_id]._ranks_revision = ranked._ranks_revision
        by_id[instance_id]._ranks_by_zone = ranked._ranks_by_zone
        by_id[instance_id]._tokens = ranked._tokens
    return by_id


class DemandReplay:
    """A fleet whose instances tick at different times, as in production.

    Datagrams have the encoding and size limits of `LoadLink`.
    """

    def __init__(self, instances, *, rng, is_lockstep=False, loss=0.0, duplicated=0.0):
        self.rng = rng
        self.loss = loss
        self.duplicated = duplicated
        self.is_lockstep = is_lockstep
        self.sums = new_sums(instances)
        self.start_s = 100.0
        self.ticks = 0
        self.now_s = self.start_s
        self.phases = {
            instance_id: 0.0 if is_lockstep else rng.random()
            for instance_id in self.sums
        }
        self.order = sorted(self.sums, key=lambda instance_id: self.phases[instance_id])
        self.counters = {instance_id: DemandCounter() for instance_id in self.sums}
        self.offers = Offers(OFFERS_PER_S / min(72, instances))
        self.next_offer_s = {
            instance_id: self.start_s + rng.random() / self.offers.per_s
            for instance_id in self.sums
        }
        self.feeds = {instance_id: DemandFeed() for instance_id in self.sums}
        self.next_indexes = dict.fromkeys(self.sums, 0)
        self.crashed = set()
        #: The times of all offers.
        self.offered_s = []

    def run(self, seconds):
        """Advance time by whole ticks."""
        for _ in range(round(seconds / TICK_S)):
            datagrams = []
            tick_s = self.start_s + self.ticks * TICK_S
            for instance_id in self.order:
                self.now_s = tick_s + self.phases[instance_id] * TICK_S
                if instance_id not in self.crashed:
                    self._offer(instance_id)
                    datagrams += self._datagrams(instance_id)
                if not self.is_lockstep:
                    self._deliver(datagrams)
            self._deliver(datagrams)
            self.ticks += 1
            self.now_s = self.start_s + self.ticks * TICK_S
        for instance_id in self.running():
            self._offer(instance_id)

    def _offer(self, instance_id):
        """Count the offers to an instance since its last tick."""
        offers = self.offers
        at_s = self.next_offer_s[instance_id]
        counter = self.counters[instance_id]
        while at_s < self.now_s:
            priority = self.rng.choice(PRIORITIES)
            workspace = self.rng.choices(WORKSPACES, offers.weights)[0]
            counter.record_offer(DemandKey(SERVICE, priority), workspace, now_s=at_s)
            self.offered_s.append(at_s)
            if offers.is_random:
                at_s += self.rng.expovariate(offers.per_s)
            else:
                at_s += 1 / offers.per_s
        self.next_offer_s[instance_id] = at_s

    def _datagrams(self, instance_id):
        """Return the datagrams that an instance sends in a tick."""
        sums = self.sums[instance_id]
        sums.refresh(now_s=self.now_s)
        neighbours = sums.neighbours(now_s=self.now_s)
        recipient_count = min(len(neighbours), _load_link.MAX_RECIPIENTS_PER_TICK)
        if not recipient_count:
            return []
        demand = self.counters[instance_id].demand(now_s=self.now_s)
        own = LoadTotals(1, 0.0, {}, demand=demand)
        first = self.next_indexes[instance_id] % len(neighbours)
        self.next_indexes[instance_id] += recipient_count
        totals_by_neighbour = {
            to: sums.sum_for(to, neighbours[to], own, now_s=self.now_s)
            for to in (list(neighbours) * 2)[first : first + recipient_count]
        }
        demands = self.feeds[instance_id].pack(
            {to: totals.demand for to, totals in totals_by_neighbour.items()},
            max_bytes=_load_link.max_demand_bytes(recipient_count),
        )
        return [
            (
                instance_id,
                to,
                neighbours[to],
                totals._replace(demand=decode_demand(demands[to])),
            )
            for to, totals in totals_by_neighbour.items()
        ]

    def _deliver(self, datagrams):
        """Deliver datagrams, except for lost ones."""
        for sender, to, direction, totals in datagrams:
            draw = self.rng.random()
            if to in self.crashed or draw < self.loss:
                continue
            for _ in range(2 if draw > 1 - self.duplicated else 1):
                self.sums[to].update(sender, direction, totals, now_s=self.now_s)
        datagrams.clear()

    def known_demand(self, instance_id):
        """Return the demand known to an instance, including its own."""
        sums = self.sums[instance_id]
        sums.refresh(now_s=self.now_s)
        own = LoadTotals(
            1, 0.0, {}, demand=self.counters[instance_id].demand(now_s=self.now_s)
        )
        return sums.sum_for("", _load_link.Direction.DOWN, own, now_s=self.now_s).demand

    def rates(self):
        """Return the total offer rate known to each running instance."""
        return [
            sum(self.known_demand(instance_id).offers_per_s.values())
            for instance_id in self.running()
        ]

    def running(self):
        """Return the instances that have not crashed."""
        return [
            instance_id for instance_id in self.sums if instance_id not in self.crashed
        ]

    def counts(self, lag_s):
        """Return the offers of each second that ended up to `lag_s` ago."""
        times = sorted(self.offered_s)
        ends_s = [self.now_s - lag_s * step / 30 for step in range(31)]
        return [bisect(times, end_s) - bisect(times, end_s - 1.0) for end_s in ends_s]
