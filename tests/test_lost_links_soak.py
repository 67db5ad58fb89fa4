# SPDX-License-Identifier: MIT
"""A seeded soak of lost links: real processes, faults from outside, and callers.

Three router processes have links of their own to each server.  Links are reset, hang or
live on while new ones are reset, at one instance, several or all, while processes are
frozen, killed and started again and desired states change, in series and overlapping.
Callers keep their connections and check each answer from outside.  In a second variant
there are more instances than are asked for one call, and most of them or whole zones
lose their links at once.
`LOST_LINKS_SOAK_SEEDS` sets how many seeds are played of each.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal

from collections import Counter

import aiohttp
import pytest
import uvloop

from linked_fleet import ONCE_PATH, PLAIN_PATH, STREAM_PATH, WAYS, LinkedFleet
from lost_links_play import CHECK_S, DELAY_S
from signaling_servers import measure_loop_lag
from test_platform_process import HEADERS, ID, event_ids
from violethatch import clocks


SEEDS = int(os.environ.get("LOST_LINKS_SOAK_SEEDS", "2"))
CROWD_SEEDS = int(os.environ.get("LOST_LINKS_SOAK_SEEDS", "1"))
FIRST_SEED = int(os.environ.get("LOST_LINKS_SOAK_FIRST", "1"))
TURBULENT_S = 8.0
#: How long after the last disturbance everybody is served again.
CALM_S = 4.0
PAUSE_S = 0.04
#: The same with many instances, which share the processors.
CROWD_PAUSE_S = 0.6
#: More instances than are asked for one call.
CROWD = ("heredia", "cartago") * 6
#: From how long after their return all instances use links again, in seconds.
BACK_S = 1.0
#: How long that is waited for on a busy machine, in seconds.
MAX_DELAYED_S = 30.0
#: What an instance's state tells of links that it takes for lost, by service.
LOST_FIELDS = ("lost_links", "peers_without_links")
EVENTS = list(range(1, 9))


class Soak:
    """One play of the soak."""

    pause_s = PAUSE_S
    calm_pause_s = 0.1

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.faults = []
        self.statuses = Counter()
        self.version = 1
        #: What was done to whom, for a failure's message.
        self.disturbances = []
        self._calls = set()
        self._is_over = False

    async def play(self):
        """Play to the end; return what was broken."""
        callers = [
            asyncio.create_task(self._keep_calling(one, path))
            for one in self.fleet.instances
            for path in (STREAM_PATH, PLAIN_PATH, ONCE_PATH)
        ]
        await self._disturb()
        self._is_over = True
        await asyncio.gather(*callers)
        await asyncio.gather(*self._calls)
        await asyncio.sleep(CALM_S)
        await self._check_calm()
        return self.faults

    async def _disturb(self):
        """Disturb instances at random, several at a time."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + TURBULENT_S
        under_way = set()
        while loop.time() < until_s:
            kind = self.rng.choice(self._kinds())
            under_way.add(asyncio.create_task(kind()))
            self._change()
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        await asyncio.gather(*under_way)
        for one in self.fleet.instances:
            one.heal()

    def _kinds(self):
        """Return what is drawn from to disturb instances."""
        return (self._cut, self._cut, self._cut_all, self._freeze, self._kill)

    async def _cut(self):
        """Take one instance's links for a while."""
        one = self.rng.choice(self.fleet.instances)
        self._note("cut", one)
        one.cut(self.rng.choice(WAYS))
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        one.heal()

    async def _cut_all(self):
        """Take all instances' links for a moment."""
        way = self.rng.choice(WAYS)
        for one in self.fleet.instances:
            one.cut(way)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        for one in self.fleet.instances:
            one.heal()

    async def _freeze(self):
        """Let one process stand still for a while."""
        one = self.rng.choice(self.fleet.instances)
        self._note("freeze", one)
        one.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        one.signal(signal.SIGCONT)

    async def _kill(self):
        """End one process, and start it again."""
        one = self.rng.choice(self.fleet.instances)
        process = one.process
        self._note("kill", one)
        one.signal(signal.SIGCONT)
        one.signal(signal.SIGKILL)
        await process.wait()
        await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        if one.process is process:
            self._note("start", one)
            await one.start()

    def _note(self, what, instance):
        """Note what is done to an instance's process."""
        process = instance.process
        self.disturbances.append(
            (round(clocks.now_s(), 2), what, instance.name, process.pid)
        )

    def _change(self):
        """Write the next desired state."""
        self.version += 1
        self.fleet.put_state(self.version, keys=("k1", f"k{self.version}"))

    async def _keep_calling(self, instance, path):
        """Send requests over kept connections; check each answer."""
        number = 0
        async with aiohttp.ClientSession() as http:
            while not self._is_over:
                call_id = f"{instance.name}{path}{number}"
                call = asyncio.create_task(self._call(http, instance, path, call_id))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
                number += 1
                await asyncio.sleep(self.pause_s)
            if self._calls:
                await asyncio.wait(set(self._calls))

    async def _call(self, http, instance, path, call_id):
        """Send one request, and check what comes back."""
        try:
            async with http.post(
                f"http://127.0.0.1:{instance.front}{path}",
                data=b"a menu",
                headers=HEADERS | {ID: call_id},
            ) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, OSError):
            return  # cut off, which promises nothing
        self.statuses[answer.status] += 1
        if answer.status == 200 and event_ids(body) != EVENTS:
            self.faults.append(f"{call_id}: events {event_ids(body)}")
        if answer.status in (401, 403, 404):
            self.faults.append(f"{call_id}: refused with {answer.status}")
        is_refused = answer.status in (408, 421, 429, 503)
        if path == ONCE_PATH and is_refused and self.arrivals()[call_id]:
            self.faults.append(f"{call_id}: {answer.status} though it has run")

    def arrivals(self):
        """Return how often each request has reached a server."""
        return Counter(
            one.call_id for runner in self.fleet.runners.values() for one in runner.seen
        )

    async def _check_calm(self):
        """Check what has run, and that everybody is served again."""
        for call_id, count in self.arrivals().items():
            if ONCE_PATH in call_id and count > 1:
                self.faults.append(f"{call_id}: ran {count} times")
        calls = [
            self.fleet.call_steadily(
                one, path=path, for_s=0.5, pause_s=self.calm_pause_s
            )
            for one in self.fleet.instances
            for path in (STREAM_PATH, PLAIN_PATH)
        ]
        tries = [one for part in await asyncio.gather(*calls) for one in part]
        self.faults += [f"calm: {one}" for one in tries if one.status != 200]


class CrowdSoak(Soak):
    """The same where few of many instances keep their links."""

    pause_s = CROWD_PAUSE_S
    calm_pause_s = 0.25

    def _kinds(self):
        """Return what is drawn from to disturb instances."""
        cuts = (self._cut_most, self._cut_most, self._cut_zone, self._cut_zone)
        return (*cuts, self._cut, self._cut_all, self._freeze, self._kill)

    async def _cut_most(self):
        """Take most instances' links for a while."""
        instances = self.fleet.instances
        count = self.rng.randint(len(instances) * 2 // 3, len(instances) - 1)
        await self._cut_some(self.rng.sample(instances, count))

    async def _cut_zone(self):
        """Take the links of all of a zone's instances for a while."""
        zone = self.rng.choice(self.fleet.zones)
        pairs = zip(self.fleet.instances, self.fleet.zones, strict=True)
        await self._cut_some([one for one, its_zone in pairs if its_zone == zone])

    async def _cut_some(self, cut):
        """Take some instances' links for a while."""
        way = self.rng.choice(WAYS)
        for one in cut:
            self._note(f"cut {way}", one)
            one.cut(way)
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        for one in cut:
            one.heal()

    async def play(self):
        """Play to the end; return what was broken."""
        async with measure_loop_lag() as self.lag:
            return await super().play()

    async def _disturb(self):
        """Disturb instances, and check that they use links that are back."""
        await super()._disturb()
        # Those that were started late may need longer than that to be ready.
        for one in self.fleet.instances:
            await self.fleet._wait_ready(one)
        await self._check_back(clocks.now_s())

    async def _check_back(self, calm_s):
        """Check that no instance counts links as lost that are back.

        The servers share the loop, so that time counts from its last delay on.
        """
        async with asyncio.timeout(MAX_DELAYED_S):
            while True:
                read_s = clocks.now_s()
                lost = await self._lost()
                if not lost:
                    return
                delays = self.lag.stalls(least_s=DELAY_S, within_s=CHECK_S)
                from_s = max([calm_s, *(until_s for _, until_s in delays)])
                if read_s - from_s >= BACK_S:
                    self.faults.append(f"{BACK_S} s after the return: {lost}")
                    return
                await asyncio.sleep(0.1)

    async def _lost(self):
        """Return, by instance, the links that it counts as lost."""
        found = {}
        for one in self.fleet.instances:
            state = await self.fleet.state_of(one)
            lost = {name: state[name] for name in LOST_FIELDS if state.get(name)}
            if lost:
                found[one.name] = lost
        return found


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
async def test_links_come_and_go(tmp_path, seed):
    """No answer is false, nothing runs twice, and everybody is served again."""
    fleet = LinkedFleet(tmp_path)
    try:
        await fleet.start()
        soak = Soak(fleet, seed)
        faults = await soak.play()
        assert faults == [], soak.disturbances
        assert soak.statuses[200] > 0
    finally:
        await fleet.stop()


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + CROWD_SEEDS))
def test_links_of_most_instances_come_and_go(tmp_path, seed):
    """The same, and links that are back are used again within a second."""
    uvloop.run(_play_crowd(tmp_path, seed))


async def _play_crowd(folder, seed):
    """Play a seed with many instances."""
    fleet = LinkedFleet(folder, zones=CROWD)
    try:
        await fleet.start()
        soak = CrowdSoak(fleet, seed)
        faults = await soak.play()
        assert faults == [], soak.disturbances
        assert soak.statuses[200] > 0
    finally:
        await fleet.stop()
