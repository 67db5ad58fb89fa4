# SPDX-License-Identifier: MIT
"""A seeded soak test of power failures: all processes are killed and restarted.

Real router processes run with the deployed settings in front of runners that start
empty and load layers on order from a weight store that serves few loads at full rate.
`RETURN_SOAK_SEEDS`, `RETURN_SOAK_FIRST` and `RETURN_SOAK_INSTANCES` set the number of
seeds, the first seed and the number of router processes; `RETURN_SOAK_PROCESSORS` the
processors that they share, and `RETURN_SOAK_OWN_FOLDERS` gives each of them a temporary
folder of its own.
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
PROCESSORS = int(os.environ.get("RETURN_SOAK_PROCESSORS", "0")) or None
HAS_OWN_FOLDERS = os.environ.get("RETURN_SOAK_OWN_FOLDERS") == "1"
RUNNERS = 33
#: Required by the platform: from this time after a restart on, a quarter of the
#: requests must be served.
RECOVERY_S = 15.0
MIN_SERVED = 0.25
#: How long the served fraction is measured, in seconds.
MEASURED_S = 4.0
REQUESTS_PER_S = 20.0
#: How long entries of killed runners stay listed, in seconds: three heartbeats of
#: 1.2 s.
ENTRY_TTL_S = 3.6


class Plan(NamedTuple):
    """The scenario of a seed.

    Attributes:
        max_concurrent_loads: The loads that run at full rate.
        are_runners_lost: Whether the runners lose power too.
        are_entries_stale: Whether entries of lost runners stay until they expire.
        off_s: The duration of the power failure.
        store_outage_s: How long the store fails requests after the restart.
        is_twice: Whether a second power failure follows during recovery.
        runner_shutdown_s: The time over which the runners are killed, before the
            instances.
    """

    max_concurrent_loads: int
    are_runners_lost: bool
    are_entries_stale: bool
    off_s: float
    store_outage_s: float
    is_twice: bool
    runner_shutdown_s: float


def make_plan(seed):
    """Return the scenario of a seed."""
    rng = random.Random(seed)
    return Plan(
        max_concurrent_loads=rng.choice((3, 5, 16)),
        are_runners_lost=rng.random() < 0.75,
        are_entries_stale=rng.random() < 0.5,
        off_s=rng.uniform(0.3, 3.0),
        store_outage_s=rng.choice((0.0, 0.0, 2.0, 4.0)),
        is_twice=rng.random() < 0.3,
        runner_shutdown_s=rng.choice((0.0, 0.0, 0.3, 1.0)),
    )


class PowerFailure:
    """A power failure of a fleet.

    Args:
        fleet: The started fleet, with traffic.
        plan: The scenario.
        seed: The seed of the random times.
    """

    def __init__(self, fleet, plan, seed):
        self.fleet = fleet
        self.plan = plan
        self.rng = random.Random(f"return/{seed}")
        #: When all were started for the last time, or the store was back after that.
        self.returned_s = 0.0

    async def run(self):
        """Run the scenario; return the time of the last return."""
        await self._fail_and_restart()
        if self.plan.is_twice:
            await asyncio.sleep(self.rng.uniform(0.5, 8.0))
            await self._fail_and_restart()
        return self.returned_s

    async def _fail_and_restart(self):
        """Kill all processes simultaneously, and restart them."""
        fleet, plan = self.fleet, self.plan
        stale = list(fleet.runners) if plan.are_runners_lost else []
        if plan.are_runners_lost:
            await fleet.runners_off(
                unlist=not plan.are_entries_stale, over_s=plan.runner_shutdown_s
            )
        await fleet.instances_off()
        await asyncio.sleep(plan.off_s)
        if plan.store_outage_s:
            fleet.store.refuse_with = 503
        self.returned_s = clocks.now_s()
        starts = [fleet.instances_on()]
        if plan.are_runners_lost:
            starts.append(fleet.runners_on())
        await asyncio.gather(*starts)
        loop = asyncio.get_running_loop()
        if plan.are_entries_stale and stale:
            remaining_s = max(0.0, ENTRY_TTL_S - plan.off_s)
            loop.call_later(remaining_s, fleet.unlist_runners, stale)
        if plan.store_outage_s:
            await asyncio.sleep(plan.store_outage_s)
            fleet.store.refuse_with = 0
            self.returned_s = clocks.now_s()


@pytest.mark.parametrize("seed", range(FIRST, FIRST + SEEDS))
async def test_service_recovers_in_time(tmp_path, seed):
    """Guards against a recovery that waits for all loads, or for lost runners."""
    plan = make_plan(seed)
    fleet = ReturnFleet(
        tmp_path,
        instances=INSTANCES,
        runners=RUNNERS,
        max_concurrent_loads=plan.max_concurrent_loads,
        seed=seed,
        processors=PROCESSORS,
        has_own_folders=HAS_OWN_FOLDERS,
    )
    try:
        await fleet.start()
        fleet.start_traffic(per_s=REQUESTS_PER_S)
        await asyncio.sleep(2.0)
        restarted_s = await PowerFailure(fleet, plan, seed).run()
        await asyncio.sleep(RECOVERY_S + MEASURED_S)
        fleet.stop_traffic()
        sent, served = fleet.served_between(restarted_s + RECOVERY_S, clocks.now_s())
        recovered_s = fleet.recovery_s(restarted_s)
        print(
            f"seed {seed}: {plan} recovered after {recovered_s:.1f} s, "
            f"{served} of {sent}"
        )
        assert sent >= REQUESTS_PER_S * MEASURED_S / 2
        assert served >= MIN_SERVED * sent
        assert [one.process.returncode for one in fleet.instances] == [None] * INSTANCES
    finally:
        await fleet.stop()
