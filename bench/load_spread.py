# SPDX-License-Identifier: MIT
"""Spread of streams over runners, by what instances know of each other's load.

    python3 bench/load_spread.py [--seeds N] [--seconds S]

Simulated: instances in zones, each with its own share of the arrivals (the largest
has five times that of the smallest), chains of eight runners with 96 slots at the
first, streams of 1.2 s on average, datagrams of which one in fifty is lost.  Each
stream takes the chain that its instance thinks the least full, with an equal
choice by chance.  *Late* is a stream that finds all slots of its chain taken.
"""

from __future__ import annotations

import argparse
import random
import statistics
import time

from collections.abc import Callable, Iterator
from typing import NamedTuple

import simpy

from _report import write_rows
from violethatch._load_link import (
    ENVELOPE_BYTES,
    MOST_TOLD_A_TICK,
    SERVER_BYTES,
    TICK_S,
    most_servers,
)
from violethatch.backends import BackendServer
from violethatch.instances import InstanceDirectory, InstanceEntry
from violethatch.layers import LayerRange
from violethatch.load_changes import ChangeFeed
from violethatch.load_sums import (
    Direction,
    LoadSums,
    LoadTotals,
    server_number,
)
from violethatch.paths import Path, Stage
from violethatch.stream_loads import StreamLoads


SLOTS = 96
STAGES = 8
STREAM_S = 1.2
LAYERS = 10
TOKENS = 900.0
LOSS = 0.02
HOP_S = 0.001
BUSY = 0.75
WARM_UP_S = 4.0
SAMPLE_S = 0.25


class Size(NamedTuple):
    """A deployment to simulate."""

    instances: int
    zones: int
    chains: int


SIZES = (Size(6, 3, 3), Size(60, 3, 11), Size(350, 7, 90))
#: Own streams times the instances give the same order as own streams alone.
KNOWN = ("exact", "sums", "sums as told", "own only")


def chain_path(chain: int) -> Path:
    """Return the path through a chain's runners."""
    return Path(
        tuple(
            Stage(
                BackendServer(
                    id=f"{chain}-{stage}",
                    service="model",
                    address="",
                    availability_zone="z0",
                    slots=SLOTS,
                    is_leaving=False,
                ),
                LayerRange(stage * LAYERS, (stage + 1) * LAYERS),
            )
            for stage in range(STAGES)
        ),
        0.0,
    )


class Instance:
    """One instance: its own streams, and its place in the tree."""

    def __init__(self, entry: InstanceEntry, entries: list[InstanceEntry]) -> None:
        directory = InstanceDirectory(entry)
        directory.take({one.id: one for one in entries}, is_whole=True)
        self.id = entry.id
        self.sums = LoadSums(directory)
        self.loads = StreamLoads()
        self.feeds: dict[tuple[str, Direction], ChangeFeed] = {}
        self.sent_bytes = 0
        self.spent_s = 0.0


class Simulation:
    """One run: all instances know of each other in one way."""

    def __init__(self, size: Size, known: str, *, seed: int) -> None:
        self.size = size
        self.known = known
        self.rng = random.Random(seed)
        self.env = simpy.Environment()
        entries = [
            InstanceEntry(f"i{n}", f"z{n % size.zones}", "", "", 100.0, 0.0)
            for n in range(size.instances)
        ]
        self.instances = {one.id: Instance(one, entries) for one in entries}
        self.paths = [chain_path(chain) for chain in range(size.chains)]
        self.at_chain = [0] * size.chains
        self.arrived = 0
        self.late = 0
        self.spreads: list[float] = []

    def run(self, seconds: float) -> None:
        """Play so many seconds after the warming up."""
        weights = [1.0 + 4.0 * self.rng.random() for _ in self.instances]
        rate = BUSY * SLOTS * self.size.chains / STREAM_S / sum(weights)
        for instance, weight in zip(self.instances.values(), weights, strict=True):
            self.env.process(self._arrivals(instance, rate * weight))
            if self.known.startswith("sums"):
                self.env.process(self._ticks(instance))
        self.env.process(self._samples())
        self.env.run(until=WARM_UP_S + seconds)

    def _arrivals(self, instance: Instance, rate: float) -> Iterator[simpy.Event]:
        while True:
            yield self.env.timeout(self.rng.expovariate(rate))
            chain = self._choose(instance)
            if self.env.now > WARM_UP_S:
                self.arrived += 1
                self.late += self.at_chain[chain] >= SLOTS
            self.env.process(self._stream(instance, chain))

    def _choose(self, instance: Instance) -> int:
        thought = self._thought(instance)
        return min(
            range(self.size.chains), key=lambda one: (thought(one), self.rng.random())
        )

    def _thought(self, instance: Instance) -> Callable[[int], float]:
        """Return what an instance thinks of how many streams chains have."""
        if self.known == "exact":
            return self.at_chain.__getitem__
        loads = instance.loads
        if self.known == "sums":
            return lambda one: loads.totals_at(self.paths[one].first.id).streams
        own = loads.own_totals(now_s=self.env.now).servers
        others = loads.others.servers if self.known == "sums as told" else {}

        def streams(one: int) -> int:
            number = server_number(self.paths[one].first.id)
            known = (own.get(number), others.get(number))
            return sum(totals.streams for totals in known if totals is not None)

        return streams

    def _stream(self, instance: Instance, chain: int) -> Iterator[simpy.Event]:
        path = self.paths[chain]
        now_s = self.env.now
        instance.loads.started(path, TOKENS, crossing_ms=0.0, now_s=now_s)
        self.at_chain[chain] += 1
        yield self.env.timeout(self.rng.expovariate(1 / STREAM_S))
        self.at_chain[chain] -= 1
        instance.loads.ended(path, TOKENS)

    def _ticks(self, instance: Instance) -> Iterator[simpy.Event]:
        yield self.env.timeout(self.rng.uniform(0, TICK_S))
        while True:
            started_s = time.process_time()
            self._tick(instance)
            instance.spent_s += time.process_time() - started_s
            yield self.env.timeout(TICK_S)

    def _tick(self, instance: Instance) -> None:
        now_s = self.env.now
        instance.sums.refresh(now_s=now_s)
        instance.loads.take_others(instance.sums.others, now_s=now_s)
        own = instance.loads.own_totals(now_s=now_s)
        neighbours = instance.sums.neighbours(now_s=now_s)
        turn = round(now_s / TICK_S) * MOST_TOLD_A_TICK % max(1, len(neighbours))
        in_turn = [*neighbours.items(), *neighbours.items()][turn:]
        for to, direction in in_turn[: min(len(neighbours), MOST_TOLD_A_TICK)]:
            said = instance.sums.sum_for(to, direction, own, now_s=now_s)
            feed = instance.feeds.setdefault((to, direction), ChangeFeed())
            picked = feed.pick(
                said.servers, most=most_servers(min(len(neighbours), MOST_TOLD_A_TICK))
            )
            instance.sent_bytes += ENVELOPE_BYTES + len(picked) * SERVER_BYTES
            if self.rng.random() >= LOSS:
                word = said._replace(servers=picked)
                self.env.process(self._deliver(instance.id, to, direction, word))

    def _deliver(
        self, sender: str, to: str, direction: Direction, word: LoadTotals
    ) -> Iterator[simpy.Event]:
        yield self.env.timeout(HOP_S)
        self.instances[to].sums.take(sender, direction, word, now_s=self.env.now)

    def _samples(self) -> Iterator[simpy.Event]:
        yield self.env.timeout(WARM_UP_S)
        while True:
            yield self.env.timeout(SAMPLE_S)
            self.spreads.append(max(self.at_chain) / statistics.mean(self.at_chain))

    def row(self, seconds: float) -> dict[str, object]:
        """Return what was measured."""
        played_s = WARM_UP_S + seconds
        every = self.instances.values()
        most_bytes = max(one.sent_bytes for one in every) / played_s
        spent_s = statistics.mean(one.spent_s for one in every)
        return {
            "instances": self.size.instances,
            "known": self.known,
            "busiest of mean": round(statistics.mean(self.spreads), 2),
            "late of 100": round(100 * self.late / max(1, self.arrived), 2),
            "most bytes/s": round(most_bytes),
            "% of a core": round(100 * spent_s / played_s, 2),
        }


def main() -> None:
    """Print a table over sizes and what is known."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=12.0)
    options = parser.parse_args()
    rows = []
    for size in SIZES:
        for known in KNOWN:
            for seed in range(options.seeds):
                simulation = Simulation(size, known, seed=seed)
                simulation.run(options.seconds)
                rows.append({"seed": seed, **simulation.row(options.seconds)})
    write_rows("load_spread", rows)


if __name__ == "__main__":
    main()
