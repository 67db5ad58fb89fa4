# SPDX-License-Identifier: MIT
"""A seeded soak of returns: every process ends at once, and all come back.

Real router processes with the deployed settings, before runners that start empty and
load layers by order from a store of weights that serves few loads at full rate.
`RETURN_SOAK_SEEDS`, `RETURN_SOAK_FIRST` and `RETURN_SOAK_INSTANCES` set what is played.
"""

from __future__ import annotations

import asyncio
import os
import random

from typing import NamedTuple

import pytest

from return_fleet import ReturnFleet
from violethatch import clocks


SEEDS = int(os.environ.get("RETURN_SOAK_SEEDS", "2"))
FIRST = int(os.environ.get("RETURN_SOAK_FIRST", "0"))
INSTANCES = int(os.environ.get("RETURN_SOAK_INSTANCES", "6"))
RUNNERS = 33
#: The platform's rule: from this long after a return on, a quarter has to be served.
RECOVERY_S = 15.0
MIN_SERVED = 0.25
#: How long the rule is watched for, in seconds.
WATCHED_S = 4.0
PER_S = 20.0
#: How long entries of runners that ended without a word stay listed, in seconds: three
#: heartbeats of 1.2 s.
LAPSE_S = 3.6


class Plan(NamedTuple):
    """What is played.

    Attributes:
        loads_at_once: Loads that run at full rate.
        are_runners_lost: Whether the runners lose power too.
        are_entries_stale: Whether the lost runners' entries stay until they lapse.
        off_s: How long the power is off.
        store_silence_s: How long after the return the store refuses.
        runners_end_over_s: Over which time the runners end, before the instances do.
        is_twice: Whether the power fails again during the return.
    """

    loads_at_once: int
    are_runners_lost: bool
    are_entries_stale: bool
    off_s: float
    store_silence_s: float
    is_twice: bool
    runners_end_over_s: float


def plan_of(seed):
    """Return what a seed plays."""
    rng = random.Random(seed)
    return Plan(
        loads_at_once=rng.choice((3, 5, 16)),
        are_runners_lost=rng.random() < 0.75,
        are_entries_stale=rng.random() < 0.5,
        off_s=rng.uniform(0.3, 3.0),
        store_silence_s=rng.choice((0.0, 0.0, 2.0, 4.0)),
        is_twice=rng.random() < 0.3,
        runners_end_over_s=rng.choice((0.0, 0.0, 0.3, 1.0)),
    )


class Return:
    """One play.

    Args:
        fleet: Started, with traffic.
        plan: What is played.
        seed: Of the moments.
    """

    def __init__(self, fleet, plan, seed):
        self.fleet = fleet
        self.plan = plan
        self.rng = random.Random(f"return/{seed}")

    async def play(self):
        """Let the power fail, and return; return when the machines were back."""
        await self._fail_and_return()
        if self.plan.is_twice:
            await asyncio.sleep(self.rng.uniform(0.5, 8.0))
            await self._fail_and_return()
        return clocks.now_s()

    async def _fail_and_return(self):
        """End every process at once, and start all again."""
        fleet, plan = self.fleet, self.plan
        stale = list(fleet.runners) if plan.are_runners_lost else []
        if plan.are_runners_lost:
            await fleet.runners_off(
                unlist=not plan.are_entries_stale, over_s=plan.runners_end_over_s
            )
        await fleet.instances_off()
        await asyncio.sleep(plan.off_s)
        if plan.store_silence_s:
            fleet.store.refuse_with = 503
        starts = [fleet.instances_on()]
        if plan.are_runners_lost:
            starts.append(fleet.runners_on())
        await asyncio.gather(*starts)
        loop = asyncio.get_running_loop()
        if plan.are_entries_stale and stale:
            lapse_s = max(0.0, LAPSE_S - plan.off_s)
            loop.call_later(lapse_s, fleet.unlist_all, stale)
        if plan.store_silence_s:
            await asyncio.sleep(plan.store_silence_s)
            fleet.store.refuse_with = 0


@pytest.mark.parametrize("seed", range(FIRST, FIRST + SEEDS))
async def test_service_is_back_in_time(tmp_path, seed):
    """Guards against a return that waits for all loads, or for what is gone."""
    plan = plan_of(seed)
    fleet = ReturnFleet(
        tmp_path,
        instances=INSTANCES,
        runners=RUNNERS,
        loads_at_once=plan.loads_at_once,
        seed=seed,
    )
    try:
        await fleet.start()
        fleet.begin_traffic(per_s=PER_S)
        await asyncio.sleep(2.0)
        back_s = await Return(fleet, plan, seed).play()
        await asyncio.sleep(RECOVERY_S + WATCHED_S)
        fleet.stop_traffic()
        asked, served = fleet.served_between(back_s + RECOVERY_S, clocks.now_s())
        whole_s = fleet.whole_after_s(back_s)
        print(f"seed {seed}: {plan} whole after {whole_s:.1f} s, {served} of {asked}")
        assert asked >= PER_S * WATCHED_S / 2
        assert served >= MIN_SERVED * asked
        assert [one.process.returncode for one in fleet.instances] == [None] * INSTANCES
    finally:
        await fleet.stop()
