# SPDX-License-Identifier: MIT
"""Instances that are offered requests and tell each other along their tree."""

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
#: 24 workspaces, whose shares have a skew of 1.2.
WORKSPACES = range(24)
SKEWED = [(1 + rank) ** -1.2 for rank in WORKSPACES]
#: What is offered per second to 72 instances or fewer; more have more in proportion.
OFFERS_PER_S = 145
ZONE_SIZES = {8: (3, 3, 2), 72: (24, 24, 24), 350: (117, 117, 116)}


def of_workspaces(rates_per_s):
    """Return a demand of one key from some workspaces."""
    return Demand(
        {KEY: sum(rates_per_s.values())},
        {(KEY, workspace): rate for workspace, rate in rates_per_s.items()},
    )


class Offers(NamedTuple):
    """How requests come to each instance."""

    per_s: float
    weights: tuple[float, ...] = tuple(SKEWED)
    #: Whether they come at random and not evenly.
    is_random: bool = False


@functools.cache
def directories(instances):
    """Return each instance's list of all, made once since the ranks take long."""
    entries = {
        f"{zone}-{n}": entry(f"{zone}-{n}", zone=f"z{zone}")
        for zone, size in enumerate(ZONE_SIZES[instances])
        for n in range(size)
    }
    made = {}
    for one in entries.values():
        made[one.id] = InstanceDirectory(one)
        made[one.id].take(entries, is_whole=True)
    return made


@functools.cache
def ranked_sums(instances):
    """Return one `LoadSums` by instance, whose ranks others of it may use."""
    made = {one: LoadSums(known) for one, known in directories(instances).items()}
    for sums in made.values():
        sums._zones()
    return made


def new_sums(instances):
    """Return each instance's sums, which have heard nothing yet."""
    made = {}
    for one, known in ranked_sums(instances).items():
        made[one] = LoadSums(known._directory)
        made[one]._ranks_revision = known._ranks_revision
        made[one]._ranks_by_zone = known._ranks_by_zone
        made[one]._tokens = known._tokens
    return made


class DemandReplay:
    """A fleet whose instances tick at moments of their own, as in operation.

    What goes over the wire is packed as `LoadLink` does it, within its bytes.
    """

    def __init__(self, instances, *, rng, is_lockstep=False, loss=0.0, doubled=0.0):
        self.rng = rng
        self.loss = loss
        self.doubled = doubled
        self.is_lockstep = is_lockstep
        self.sums = new_sums(instances)
        self.start_s = 100.0
        self.ticks = 0
        self.now_s = self.start_s
        self.phases = {one: 0.0 if is_lockstep else rng.random() for one in self.sums}
        self.order = sorted(self.sums, key=lambda one: self.phases[one])
        self.counters = {one: DemandCounter() for one in self.sums}
        self.offers = Offers(OFFERS_PER_S / min(72, instances))
        self.next_offer_s = {
            one: self.start_s + rng.random() / self.offers.per_s for one in self.sums
        }
        self.feeds = {one: DemandFeed() for one in self.sums}
        self.turns = dict.fromkeys(self.sums, 0)
        self.dead = set()
        #: When each offer came.
        self.offered_s = []

    def run(self, seconds):
        """Let time go on, by whole ticks."""
        for _ in range(round(seconds / TICK_S)):
            words = []
            tick_s = self.start_s + self.ticks * TICK_S
            for one in self.order:
                self.now_s = tick_s + self.phases[one] * TICK_S
                if one not in self.dead:
                    self._offer(one)
                    words += self._words(one)
                if not self.is_lockstep:
                    self._deliver(words)
            self._deliver(words)
            self.ticks += 1
            self.now_s = self.start_s + self.ticks * TICK_S
        for one in self.alive():
            self._offer(one)

    def _offer(self, one):
        """Count what has been offered to an instance since its last tick."""
        offers = self.offers
        at_s = self.next_offer_s[one]
        counter = self.counters[one]
        while at_s < self.now_s:
            priority = self.rng.choice(PRIORITIES)
            workspace = self.rng.choices(WORKSPACES, offers.weights)[0]
            counter.record_offer(DemandKey(SERVICE, priority), workspace, now_s=at_s)
            self.offered_s.append(at_s)
            if offers.is_random:
                at_s += self.rng.expovariate(offers.per_s)
            else:
                at_s += 1 / offers.per_s
        self.next_offer_s[one] = at_s

    def _words(self, one):
        """Return what an instance tells in a tick."""
        sums = self.sums[one]
        sums.refresh(now_s=self.now_s)
        neighbours = sums.neighbours(now_s=self.now_s)
        told = min(len(neighbours), _load_link.MAX_RECIPIENTS_PER_TICK)
        if not told:
            return []
        demand = self.counters[one].demand(now_s=self.now_s)
        own = LoadTotals(1, 0.0, {}, demand=demand)
        first = self.turns[one] % len(neighbours)
        self.turns[one] += told
        said = {
            to: sums.sum_for(to, neighbours[to], own, now_s=self.now_s)
            for to in (list(neighbours) * 2)[first : first + told]
        }
        demands = self.feeds[one].pack(
            {to: totals.demand for to, totals in said.items()},
            most_bytes=_load_link.most_demand_bytes(told),
        )
        return [
            (
                one,
                to,
                neighbours[to],
                totals._replace(demand=decode_demand(demands[to])),
            )
            for to, totals in said.items()
        ]

    def _deliver(self, words):
        """Let words arrive, but for those that are lost."""
        for one, to, direction, said in words:
            draw = self.rng.random()
            if to in self.dead or draw < self.loss:
                continue
            for _ in range(2 if draw > 1 - self.doubled else 1):
                self.sums[to].update(one, direction, said, now_s=self.now_s)
        words.clear()

    def known(self, one):
        """Return the demand that an instance knows of, its own included."""
        sums = self.sums[one]
        sums.refresh(now_s=self.now_s)
        own = LoadTotals(1, 0.0, {}, demand=self.counters[one].demand(now_s=self.now_s))
        return sums.sum_for("", _load_link.Direction.DOWN, own, now_s=self.now_s).demand

    def rates(self):
        """Return the rate of all offers, as each living instance knows it."""
        return [sum(self.known(one).offers_per_s.values()) for one in self.alive()]

    def alive(self):
        """Return who is not dead."""
        return [one for one in self.sums if one not in self.dead]

    def counts(self, lag_s):
        """Return all offers of one second, for ends of it up to `lag_s` ago."""
        times = sorted(self.offered_s)
        ends_s = [self.now_s - lag_s * step / 30 for step in range(31)]
        return [bisect(times, end_s) - bisect(times, end_s - 1.0) for end_s in ends_s]
