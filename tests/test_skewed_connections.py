# SPDX-License-Identifier: MIT
"""Nearly all requests reach one instance for a few seconds, then another one.

Budgets that depend on an instance's share of the traffic, such as retries, must adapt
within seconds.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from mortal_fleet import Fleet, Servers, model_runner
from router_fakes import events
from violethatch import clocks


INSTANCES = 8
#: The fraction of the requests that the busy instance receives.
BUSY_FRACTION = 7 / 8
REQUESTS_PER_S = 60
#: For how long each of two instances is the busy one, in seconds.
BUSY_DURATION_S = 2.0
#: How often a server terminates, and after how long it restarts, in seconds.
TERMINATION_INTERVAL_S = 0.4
RESTART_DELAY_S = 1.0
#: The required success rate, as a fraction of that under an even load.
MIN_RELATIVE_SUCCESS_RATE = 0.75


class SkewedTraffic:
    """Sends requests to instances, most of them to a single one."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        #: The outcomes of requests under an even load and with a busy instance.
        self.outcomes = {"even": [], "busy": []}
        self._tasks = []
        self._number = 0

    async def run(self):
        """Send requests evenly first, then mostly to each of two instances."""
        for busy in (None, 0, 1):
            until_s = clocks.now_s() + BUSY_DURATION_S
            while clocks.now_s() < until_s:
                self._send(busy)
                await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*self._tasks)

    def success_rate(self, kind):
        """Return the success rate of one kind of load."""
        return sum(self.outcomes[kind]) / len(self.outcomes[kind])

    def _send(self, busy):
        """Start one request."""
        self._number += 1
        kind = "even" if busy is None else "busy"
        number = self.rng.randrange(INSTANCES)
        if busy is not None and self.rng.random() < BUSY_FRACTION:
            number = busy
        request = self._record_outcome(
            self.fleet.routers[number], self._number, self.outcomes[kind]
        )
        self._tasks.append(asyncio.create_task(request))

    async def _record_outcome(self, router, number, outcomes):
        """Send one request, and record whether it succeeded."""
        answer = await self.fleet.ask(router, body=b"%d" % number, id=f"m{number}")
        outcomes.append(getattr(answer, "end", None) == "whole")


async def terminate_servers(servers, rng):
    """Terminate a random server periodically, including its running requests."""
    while True:
        await asyncio.sleep(TERMINATION_INTERVAL_S)
        servers.end(rng.choice(list(servers.by_id.values())))


@pytest.mark.parametrize("seed", range(3))
async def test_busy_instance_has_enough_retries(seed):
    """Each termination costs the busy instance 7 of 8 retries; its share is 1 of 8."""
    servers = Servers(model_runner, count=12, back_s=RESTART_DELAY_S)
    servers.script = [
        0.02,
        *(step for n in range(1, 20) for step in (events(n), 0.05)),
        events(20),
    ]
    fleet = Fleet(INSTANCES, servers, seed=seed, retry_reserve=4)
    traffic = SkewedTraffic(fleet, seed)
    termination = asyncio.create_task(terminate_servers(servers, random.Random(seed)))
    await traffic.run()
    termination.cancel()
    assert traffic.success_rate(
        "busy"
    ) >= MIN_RELATIVE_SUCCESS_RATE * traffic.success_rate("even")
