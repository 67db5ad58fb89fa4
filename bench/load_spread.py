# SPDX-License-Identifier: MIT
"""Spread of streams over runners, by how instances choose with old news.

    python3 bench/load_spread.py [--seeds N]

Simulated from an empty fleet: instances in zones, each with its own share of the
arrivals (the largest has five times that of the smallest), chains of eight runners
with 96 slots at the first, three to a zone or more, streams of 1.2 s on average,
datagrams of which one in fifty is lost.  After 4 s arrivals double for 2 s; after
10 s all instances start again and know nothing, while streams go on.

*best* takes the chain that an instance thinks the least full, *shares* the part of
unseen streams at the instance's place (`path_shares`), *exact* knows all loads at
every moment.  *Late* is a stream that finds all slots of its chain taken.
"""

from __future__ import annotations

import argparse
import collections
import random
import statistics
import time

from collections.abc import Callable, Iterator
from typing import NamedTuple

import simpy

from _report import write_rows
from violethatch._load_link import (
    ENVELOPE_BYTES,
    MAX_RECIPIENTS_PER_TICK,
    SERVER_BYTES,
    TICK_S,
    max_servers,
)
from violethatch.backends import BackendServer
from violethatch.instances import InstanceDirectory, InstanceEntry
from violethatch.layers import LayerRange
from violethatch.load_changes import ChangeFeed
from violethatch.load_sums import (
    Direction,
    LoadSums,
    LoadTotals,
)
from violethatch.path_shares import (
    SHARES_TTL_S,
    UnreportedStreams,
    assign_paths,
    part_count,
    select_path,
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
#: The part of all slots that is taken on average, and in the burst.
BUSY = 0.35
BURST = 2.0
BURST_S = (4.0, 6.0)
RESTART_S = 10.0
SAMPLE_S = 0.25
#: What is told apart: by name, from when to when, in seconds.
SPANS = {
    "empty": (0.0, 4.0),
    "burst": BURST_S,
    "rest": (6.0, RESTART_S),
    "return": (RESTART_S, 14.0),
}
END_S = 14.0


class Size(NamedTuple):
    """A deployment to simulate."""

    instances: int
    zones: int
    chains: int


SIZES = (Size(6, 3, 3), Size(60, 3, 9), Size(195, 5, 15), Size(350, 7, 91))
CHOICES = ("exact", "best", "shares")


def chain_path(chain: int, zone: str) -> Path:
    """Return the path through a chain's runners."""
    return Path(
        tuple(
            Stage(
                BackendServer(
                    id=f"{chain}-{stage}",
                    service="model",
                    address="",
                    availability_zone=zone,
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
        self.entry = entry
        self.directory = InstanceDirectory(entry)
        self.directory.take({one.id: one for one in entries}, is_whole=True)
        self.sent_bytes = 0
        self.spent_s = 0.0
        self.restart()

    def restart(self) -> None:
        """Forget all that was learnt of loads."""
        self.sums = LoadSums(self.directory)
        self.loads = StreamLoads()
        self.unseen = UnreportedStreams()
        self.feeds: dict[tuple[str, Direction], ChangeFeed] = {}
        self.laid: tuple[float, list[Path]] = (-SHARES_TTL_S, [])


class Simulation:
    """One run: all instances choose in one way."""

    def __init__(self, size: Size, choice: str, *, seed: int) -> None:
        self.size = size
        self.choice = choice
        self.rng = random.Random(seed)
        self.env = simpy.Environment()
        entries = [
            InstanceEntry(f"i{n}", f"z{n % size.zones}", "", "", 100.0, 0.0)
            for n in range(size.instances)
        ]
        self.instances = {one.id: Instance(one, entries) for one in entries}
        self.paths = [chain_path(n, f"z{n % size.zones}") for n in range(size.chains)]
        self.chains = {path.first.id: n for n, path in enumerate(self.paths)}
        self.at_chain = [0] * size.chains
        self.arrived: collections.Counter[str] = collections.Counter()
        self.late: collections.Counter[str] = collections.Counter()
        self.spreads: dict[str, list[float]] = collections.defaultdict(list)
        self.ages_s: list[float] = []

    def run(self) -> None:
        """Play all spans."""
        weights = [1.0 + 4.0 * self.rng.random() for _ in self.instances]
        rate = BUSY * SLOTS * self.size.chains / STREAM_S / sum(weights)
        for instance, weight in zip(self.instances.values(), weights, strict=True):
            self.env.process(self._arrivals(instance, rate * weight))
            self.env.process(self._ticks(instance))
        self.env.process(self._samples())
        self.env.process(self._restart())
        self.env.run(until=END_S)

    def _spans(self) -> list[str]:
        """Return the spans that it is now."""
        now_s = self.env.now
        return [name for name, (start, end) in SPANS.items() if start <= now_s < end]

    def _arrivals(self, instance: Instance, rate: float) -> Iterator[simpy.Event]:
        while True:
            is_burst = BURST_S[0] <= self.env.now < BURST_S[1]
            yield self.env.timeout(
                self.rng.expovariate(rate * (BURST if is_burst else 1))
            )
            chain = self._choose(instance)
            for span in self._spans():
                self.arrived[span] += 1
                self.late[span] += self.at_chain[chain] >= SLOTS
            self.env.process(self._stream(instance, chain))

    def _choose(self, instance: Instance) -> int:
        """Return the chain that an instance takes."""
        now_s = self.env.now
        started_s = time.process_time()
        instance.unseen.record_start(now_s=now_s)
        if self.choice == "exact":
            return self._least(instance, self.at_chain.__getitem__)
        if self.choice == "best":
            return self._least(instance, self._thought(instance))
        laid_s, paths = instance.laid
        if now_s - laid_s >= SHARES_TTL_S:
            paths = self._lay(instance)
            instance.laid = (now_s, paths)
        path = select_path(paths, instance.directory.place().position, excluded=())
        instance.spent_s += time.process_time() - started_s
        assert path is not None
        return self.chains[path.first.id]

    def _near(self, instance: Instance) -> list[int]:
        """Return the chains of an instance's zone."""
        zone = instance.entry.availability_zone
        return [
            n
            for n, path in enumerate(self.paths)
            if path.first.availability_zone == zone
        ]

    def _least(self, instance: Instance, streams: Callable[[int], float]) -> int:
        """Return the chain of the zone that has the least."""
        near = self._near(instance)
        return min(near, key=lambda one: (streams(one), self.rng.random()))

    def _thought(self, instance: Instance) -> Callable[[int], float]:
        """Return what an instance thinks of how many streams chains have."""
        loads = instance.loads
        now_s = self.env.now
        return lambda one: (
            loads.totals_at(self.paths[one].first.id, now_s=now_s).streams
        )

    def _lay(self, instance: Instance) -> list[Path]:
        """Lay the streams that the instance can't have heard of."""
        now_s = self.env.now
        near = [self.paths[one] for one in self._near(instance)]
        parts = part_count(len(near))
        part = (
            instance.unseen.expected(
                instances=instance.directory.place().instances,
                report_age_s=instance.loads.others_age_s(now_s=now_s),
                now_s=now_s,
            )
            / parts
            / SLOTS
        )
        thought = self._thought(instance)
        known = {path.first.id: thought(self.chains[path.first.id]) for path in near}
        return assign_paths(
            lambda full: min(near, key=lambda path: full[path.first.id]),
            {one: streams / SLOTS for one, streams in known.items()},
            added_utilization=lambda path: {path.first.id: part},
            parts=parts,
        )

    def _stream(self, instance: Instance, chain: int) -> Iterator[simpy.Event]:
        path = self.paths[chain]
        loads = instance.loads
        loads.started(path, TOKENS, crossing_ms=0.0, now_s=self.env.now)
        self.at_chain[chain] += 1
        yield self.env.timeout(self.rng.expovariate(1 / STREAM_S))
        self.at_chain[chain] -= 1
        loads.ended(path, TOKENS)

    def _restart(self) -> Iterator[simpy.Event]:
        """Let all instances start again at the same moment."""
        yield self.env.timeout(RESTART_S)
        for instance in self.instances.values():
            instance.restart()

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
        instance.loads.update_others(instance.sums.others, now_s=now_s)
        own = instance.loads.own_totals(now_s=now_s)
        neighbours = instance.sums.neighbours(now_s=now_s)
        turn = round(now_s / TICK_S) * MAX_RECIPIENTS_PER_TICK % max(1, len(neighbours))
        in_turn = [*neighbours.items(), *neighbours.items()][turn:]
        for to, direction in in_turn[: min(len(neighbours), MAX_RECIPIENTS_PER_TICK)]:
            said = instance.sums.sum_for(to, direction, own, now_s=now_s)
            feed = instance.feeds.setdefault((to, direction), ChangeFeed())
            picked = feed.select(
                said.servers,
                limit=max_servers(min(len(neighbours), MAX_RECIPIENTS_PER_TICK)),
            )
            instance.sent_bytes += ENVELOPE_BYTES + len(picked) * SERVER_BYTES
            if self.rng.random() >= LOSS:
                word = said._replace(servers=picked)
                sender = instance.entry.id
                self.env.process(self._deliver(sender, to, direction, word))

    def _deliver(
        self, sender: str, to: str, direction: Direction, word: LoadTotals
    ) -> Iterator[simpy.Event]:
        yield self.env.timeout(HOP_S)
        self.instances[to].sums.update(sender, direction, word, now_s=self.env.now)

    def _samples(self) -> Iterator[simpy.Event]:
        """Note how unevenly the chains of each zone are taken, and ages of news."""
        while True:
            yield self.env.timeout(SAMPLE_S)
            now_s = self.env.now
            for zone in range(self.size.zones):
                streams = self.at_chain[zone :: self.size.zones]
                if any(streams):
                    spread = max(streams) / statistics.mean(streams)
                    for span in self._spans():
                        self.spreads[span].append(spread)
            ages = [i.loads.others_age_s(now_s=now_s) for i in self.instances.values()]
            self.ages_s += [age_s for age_s in ages if age_s is not None]

    def row(self) -> dict[str, object]:
        """Return what was measured."""
        every = self.instances.values()
        spent_s = statistics.mean(one.spent_s for one in every)
        row: dict[str, object] = {
            "instances": self.size.instances,
            "choice": self.choice,
            "age of news s": round(statistics.mean(self.ages_s), 2),
        }
        for span in SPANS:
            arrived = max(1, self.arrived[span])
            row[f"late of 100, {span}"] = round(100 * self.late[span] / arrived, 2)
        for span in SPANS:
            spread = round(statistics.mean(self.spreads[span]), 2)
            row[f"busiest of mean, {span}"] = spread
        row["most bytes/s"] = round(max(one.sent_bytes for one in every) / END_S)
        row["% of a core"] = round(100 * spent_s / END_S, 2)
        return row


def main() -> None:
    """Print a table over sizes and choices."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    options = parser.parse_args()
    rows = []
    for size in SIZES:
        for choice in CHOICES:
            for seed in range(options.seeds):
                simulation = Simulation(size, choice, seed=seed)
                simulation.run()
                rows.append({"seed": seed, **simulation.row()})
    write_rows("load_spread", rows)


if __name__ == "__main__":
    main()
