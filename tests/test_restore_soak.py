# SPDX-License-Identifier: MIT
"""A seeded soak of readers, relays and followers over a store that goes back.

Replays in virtual time: 24 instances of five zones follow one table while rows change,
servers drain and leave, the store is unavailable, is restored from copies, forgets its
history and reads behind, and instances are cut off, at random and overlapping.
`RESTORE_SOAK_SEEDS` sets how many seeds are played.
"""

from __future__ import annotations

import asyncio
import os
import random

import pytest

import virtual_time

from restorable_store import RestorableRegion, RestorableStore
from violethatch import clocks


SEEDS = int(os.environ.get("RESTORE_SOAK_SEEDS", "12"))
LENGTH_S = 60.0
#: How late a change may be known where nothing is disturbed, in seconds.
AIM_S = 2.0
#: How long a disturbance is felt: a retry pause, a wait and a read, in seconds.
SETTLE_S = 4.0
#: What a proof may be ahead by: the way of an answer, in seconds.
SLACK_S = 0.05
SERVERS = [f"s{number}" for number in range(8)]


class Soak:
    """One play of the soak."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = RestorableStore(names_era=self.rng.random() < 0.8)
        for server in SERVERS:
            self.store.write(server, b"ready")
        self.region = RestorableRegion(self.store, count=24)
        self.disturbed_s = clocks.now_s()
        self.faults = []

    async def play(self):
        """Play to the end; return what was broken."""
        await self.region.all_know(20.0)
        await asyncio.sleep(2.0)
        await asyncio.gather(self._write(), self._disturb(), self._check())
        await asyncio.sleep(SETTLE_S + AIM_S)
        if self.region.behind():
            self._fault(f"behind at the end: {sorted(self.region.behind())}")
        self._check_proofs()
        await self.region.stop()
        return self.faults

    def _fault(self, what):
        self.faults.append(f"{clocks.now_s() - 1000:.2f}: {what}")

    async def _write(self):
        """Change rows: most servers are ready, drain, leave and come back."""
        end_s = clocks.now_s() + LENGTH_S
        while clocks.now_s() < end_s:
            await asyncio.sleep(self.rng.expovariate(2.0))
            value = self.rng.choice([b"ready", b"draining", None])
            if not self.store.is_away:
                self.store.write(self.rng.choice(SERVERS), value)

    async def _disturb(self):
        """Disturb the store and the instances, one after the other and at once."""
        end_s = clocks.now_s() + LENGTH_S
        kinds = [self._restore, self._forget, self._cut, self._outage]
        while clocks.now_s() < end_s:
            await asyncio.sleep(self.rng.uniform(0.5, 8.0))
            for kind in self.rng.sample(kinds, self.rng.choice([1, 1, 2])):
                await kind()
            self.disturbed_s = clocks.now_s()

    async def _restore(self):
        copy = self.store.copy()
        await asyncio.sleep(self.rng.uniform(0.1, 6.0))
        self.disturbed_s = clocks.now_s()
        is_noticed = not self.store.names_era or self.rng.random() < 0.7
        self.store.is_away = is_noticed
        await asyncio.sleep(self.rng.uniform(0.5, 2.0) if is_noticed else 0.0)
        self.store.restore(copy)
        if self.store.names_era and self.rng.random() < 0.3:
            self.store.clock_ahead_s += self.rng.choice([-30.0, 30.0])
        self.store.is_away = False

    async def _forget(self):
        self.store.stale_until_s = clocks.now_s() + self.rng.uniform(0.0, 3.0)
        self.store.behind_s = self.rng.uniform(0.5, 3.0)
        self.store.forget_history()
        await asyncio.sleep(self.rng.uniform(0.1, 2.0))

    async def _cut(self):
        names = sorted(self.region.rows)
        cut = set(self.rng.sample(names, self.rng.choice([1, 2, 5])))
        self.store.cut |= cut
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        self.store.cut -= cut

    async def _outage(self):
        self.store.is_away = True
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        self.store.is_away = False

    async def _check(self):
        """Check, ten times a second, that rows are new and proofs are true."""
        end_s = clocks.now_s() + LENGTH_S
        while clocks.now_s() < end_s:
            await asyncio.sleep(0.1)
            self._check_proofs()
            if self.store.is_away or self.store.cut:
                self.disturbed_s = clocks.now_s()
            if self.store.stale_until_s > clocks.now_s():
                self.disturbed_s = clocks.now_s()
            if clocks.now_s() - self.disturbed_s >= SETTLE_S + AIM_S:
                self._check_delay()

    def _check_delay(self):
        """Check that each instance has rows that were there within the aim."""
        recent = self._contents(AIM_S)
        for name, rows in self.region.rows.items():
            if rows not in recent:
                self._fault(f"{name} is late")

    def _check_proofs(self):
        """Check that each instance has rows that were there since its proof."""
        for name, rows in self.region.rows.items():
            age_s = self.region.freshness[name].age_s(now_s=clocks.now_s())
            if age_s < 10.0 and rows not in self._contents(age_s + SLACK_S):
                self._fault(f"{name} proves {age_s:.2f} s what was not there")

    def _contents(self, since_s):
        """Return what the store has had at any moment of the last *since_s*."""
        from_s = clocks.now_s() - since_s
        timeline = self.store.timeline
        first = max(
            (n for n, one in enumerate(timeline) if one[0] <= from_s), default=0
        )
        return [rows for _, rows, _, _ in timeline[first:]]


async def play(seed):
    """Play one seed."""
    return await Soak(seed).play()


@pytest.mark.parametrize("seed", range(SEEDS))
def test_view_is_wrong_over_a_store_that_goes_back(seed, monkeypatch):
    """What an instance proves was there, and changes reach it in time."""
    faults = virtual_time.run(lambda: play(seed), monkeypatch)
    assert faults[:5] == []
