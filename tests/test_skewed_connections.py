# SPDX-License-Identifier: MIT
"""Nearly all requests come to one instance for some seconds, then to another.

What an instance has by its own share of the traffic, such as retries, has to follow
within moments.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from mortal_fleet import Fleet, Servers, model_runner
from router_fakes import events
from violethatch import clocks


INSTANCES = 8
#: Which part of the requests the busy instance gets.
BUSY_PART = 7 / 8
REQUESTS_A_S = 60
#: How long each of two instances is the busy one, in seconds.
BUSY_S = 2.0
#: How often a server ends by itself, in seconds, and after how long it is back.
END_EVERY_S = 0.4
BACK_S = 1.0
#: The rule: as many are served as this part of those served before.
MIN_OF_BEFORE = 0.75


class Skew:
    """Requests to instances, most of them to one."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        #: Whether each request was served, while none and while one was busy.
        self.served = {"even": [], "busy": []}
        self._tasks = []
        self._number = 0

    async def play(self):
        """Send evenly first, then to two instances in turn."""
        for busy in (None, 0, 1):
            until_s = clocks.now_s() + BUSY_S
            while clocks.now_s() < until_s:
                self._send(busy)
                await asyncio.sleep(1 / REQUESTS_A_S)
        await asyncio.gather(*self._tasks)

    def served_part(self, kind):
        """Return which part of the requests was served."""
        return sum(self.served[kind]) / len(self.served[kind])

    def _send(self, busy):
        """Begin one request."""
        self._number += 1
        kind = "even" if busy is None else "busy"
        number = self.rng.randrange(INSTANCES)
        if busy is not None and self.rng.random() < BUSY_PART:
            number = busy
        ask = self._ask(self.fleet.routers[number], self._number, self.served[kind])
        self._tasks.append(asyncio.create_task(ask))

    async def _ask(self, router, number, served):
        """Send one request; note whether it was served."""
        answer = await self.fleet.ask(router, body=b"%d" % number, id=f"m{number}")
        served.append(getattr(answer, "end", None) == "whole")


async def end_servers(servers, rng):
    """End a server now and then, with all that it runs."""
    while True:
        await asyncio.sleep(END_EVERY_S)
        servers.end(rng.choice(list(servers.by_id.values())))


@pytest.mark.parametrize("seed", range(3))
async def test_busy_instance_lacks_no_retries(seed):
    """Each server's end costs it seven of eight retries, and its share is one."""
    servers = Servers(model_runner, count=12, back_s=BACK_S)
    servers.script = [
        0.02,
        *(step for n in range(1, 20) for step in (events(n), 0.05)),
        events(20),
    ]
    fleet = Fleet(INSTANCES, servers, seed=seed, retry_reserve=4)
    skew = Skew(fleet, seed)
    ending = asyncio.create_task(end_servers(servers, random.Random(seed)))
    await skew.play()
    ending.cancel()
    assert skew.served_part("busy") >= MIN_OF_BEFORE * skew.served_part("even")
