# SPDX-License-Identifier: MIT
"""A seeded soak of requests that end runners: real processes, two deadly parts.

Four router processes with the deployed settings serve streams of eight runner
processes, which end when they begin to answer a request with a deadly part and are back
some seconds later.  Routers are frozen, killed and started, runners are killed, desired
states are written, in series and overlapping.  What reaches runners is told by the
runners, what callers get is seen by the callers.
`PARTS_SOAK_SEEDS` sets how many seeds are played, from `PARTS_SOAK_FIRST` on.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal

from collections import defaultdict
from typing import NamedTuple

import aiohttp
import pytest

from process_fleet import STREAM_PATH, ProcessFleet, RunnerProcess, many_routes
from test_platform_process import HEADERS, ID
from violethatch import clocks


SEEDS = int(os.environ.get("PARTS_SOAK_SEEDS", "2"))
FIRST_SEED = int(os.environ.get("PARTS_SOAK_FIRST", "1"))
ROUTERS = 4
RUNNERS = 8
TURBULENT_S = 12.0
CALM_S = 6.0
#: When requests with each of the parts begin to come, in seconds.
DEADLY_FROM_S = {"dead1": 1.0, "dead2": 5.0}
DEADLY_PAUSE_S = 0.3
SOUND_PAUSE_S = 0.04
#: How long a stream of a runner takes.
EVENT_COUNT = 40
EVENT_PAUSE_S = 0.05
#: After how long an ended runner's entry goes, and another one is there, in seconds.
LAPSE_S = 2.4
BACK_S = 3.0
#: The rule: at most so many deadly sends later than this after so many ends, by
#: instances that have not been disturbed for as long.
ENDS = 5
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
MIN_SERVED_PART = 0.95


class Arrival(NamedTuple):
    """A deadly request that a runner has begun to run."""

    part: str
    call_id: str
    at_s: float


class Soak:
    """One play of the soak."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.started_s = clocks.now_s()
        self.arrivals = []
        #: By part, when runners ended by it.
        self.ends_s = defaultdict(list)
        #: By instance, when it was disturbed, from and until.
        self.disturbed_s = defaultdict(list)
        #: By request, the instance that it was sent to.
        self.sent_to = {}
        #: When sound requests were sent, to whom, and whether they were served.
        self.sound = []
        self._number = 0
        self._runner_number = RUNNERS
        self._version = 1
        self._is_over = False
        self._watching = []
        self._calls = []

    @property
    def now_s(self):
        """The time since the start, in seconds."""
        return clocks.now_s() - self.started_s

    async def play(self):
        """Play to the end; return what was broken."""
        self.started_s = clocks.now_s()
        for runner in list(self.fleet.runners.values()):
            self._watch(runner)
        sending = [
            asyncio.create_task(self._send_sound()),
            *(asyncio.create_task(self._send_deadly(one)) for one in DEADLY_FROM_S),
        ]
        await self._disturb()
        calm_from_s = self.now_s + CONTACT_S
        await asyncio.sleep(CALM_S)
        self._is_over = True
        await asyncio.gather(*sending)
        await asyncio.gather(*self._calls)
        for one in self._watching:
            one.cancel()
        return [*self._late_sends(), *self._unserved(calm_from_s)]

    def _watch(self, runner):
        """Note what a runner tells, and start another one when it has ended."""
        self._watching.append(asyncio.create_task(self._follow(runner)))

    async def _follow(self, runner):
        """Follow a runner's process to its end, and replace it."""
        part = None
        async for line in runner.process.stdout:
            told = json.loads(line)
            part = told["part"]
            at_s = told["at_s"] - self.started_s
            self.arrivals.append(Arrival(part, told["call_id"], at_s))
        await runner.process.wait()
        if part is not None:
            self.ends_s[part].append(self.now_s)
        await asyncio.sleep(LAPSE_S)
        self.fleet.unlist(runner)
        await asyncio.sleep(BACK_S - LAPSE_S)
        self._runner_number += 1
        another = make_runner(self._runner_number)
        self.fleet.all_runners.append(another)
        await self.fleet.start_runner(another)
        self._watch(another)

    async def _disturb(self):
        """Disturb routers and runners at random, several at a time."""
        under_way = []
        kinds = (self._freeze, self._kill_router, self._kill_runner, self._write_state)
        while self.now_s < TURBULENT_S:
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))
            kind = self.rng.choice(kinds)
            under_way.append(asyncio.create_task(kind()))
        await asyncio.gather(*under_way)

    async def _freeze(self):
        """Let a router stand still for a while."""
        one = self.rng.choice(self.fleet.instances)
        from_s = self.now_s
        one.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        one.signal(signal.SIGCONT)
        self.disturbed_s[one.name].append((from_s, self.now_s))

    async def _kill_router(self):
        """Kill a router, and start it again."""
        one = self.rng.choice(self.fleet.instances)
        from_s = self.now_s
        one.signal(signal.SIGKILL)
        await one.process.wait()
        await one.start()
        await self.fleet._wait_ready(one)
        self.disturbed_s[one.name].append((from_s, self.now_s))

    async def _kill_runner(self):
        """Kill a runner that no request has ended."""
        self.rng.choice(list(self.fleet.runners.values())).signal(signal.SIGKILL)

    async def _write_state(self):
        """Write a desired state."""
        self._version += 1
        self.fleet.configure(
            version=self._version, routes=many_routes(self.rng.choice((0, 50)))
        )

    async def _send_sound(self):
        """Send sound requests, which have all parts but the deadly ones."""
        while not self._is_over:
            self._send("a:40,b:300", is_deadly=False)
            await asyncio.sleep(SOUND_PAUSE_S)

    async def _send_deadly(self, part):
        """Send requests with a deadly part from some time on."""
        await asyncio.sleep(DEADLY_FROM_S[part])
        while not self._is_over:
            self._send(f"a:40,{part}:300", is_deadly=True)
            await asyncio.sleep(DEADLY_PAUSE_S)

    def _send(self, parts, *, is_deadly):
        """Begin a request to a random router."""
        self._number += 1
        instance = self.rng.choice(self.fleet.instances)
        call = self._call(instance, self._number, parts, is_deadly=is_deadly)
        self._calls.append(asyncio.create_task(call))

    async def _call(self, instance, number, parts, *, is_deadly):
        """Send one request over a kept connection; note what came of it."""
        call_id = f"c{number}"
        self.sent_to[call_id] = instance.name
        sent_s = self.now_s
        headers = HEADERS | {
            ID: call_id,
            "Violethatch-Prompt-Prefix": f"{parts},{number:x}:10",
            "Violethatch-Token-Count": "350,80",
        }
        is_served = False
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with self.fleet.http.post(
                f"http://127.0.0.1:{instance.front}{STREAM_PATH}",
                data=b"a menu %d" % number,
                headers=headers,
            ) as answer:
                body = await answer.read()
                is_served = answer.status == 200 and b"id: 40\n" in body
        if not is_deadly:
            self.sound.append((sent_s, instance.name, is_served))

    def _is_in_touch(self, name, at_s):
        """Tell whether an instance was not disturbed for some time."""
        return not any(
            from_s <= at_s and at_s - CONTACT_S <= until_s
            for from_s, until_s in self.disturbed_s[name]
        )

    def _late_sends(self):
        """Return a fault for each part of which too many requests reached runners."""
        faults = []
        for part, ends_s in self.ends_s.items():
            if len(ends_s) < ENDS:
                continue
            known_s = ends_s[ENDS - 1] + CONTACT_S
            late = [
                one
                for one in self.arrivals
                if one.part == part
                and one.at_s > known_s
                and self._is_in_touch(self.sent_to[one.call_id], one.at_s)
            ]
            if len(late) > MAX_LATE_SENDS:
                faults.append((part, ends_s, late))
        return faults

    def _unserved(self, calm_from_s):
        """Return a fault if too few sound requests of the calm time were served."""
        calm = [
            is_served for sent_s, _, is_served in self.sound if sent_s > calm_from_s
        ]
        served_part = sum(calm) / len(calm)
        if served_part >= MIN_SERVED_PART:
            return []
        return [("sound requests served", round(served_part, 3), len(calm))]


def make_runner(number):
    """Return a runner process that deadly parts end."""
    return RunnerProcess(
        f"r-{number}",
        event_count=EVENT_COUNT,
        pause_s=EVENT_PAUSE_S,
        deadly_prefix="dead",
    )


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
async def test_parts_that_end_runners(tmp_path, seed):
    """What is known of a part outlives routers, and sound requests are served."""
    runners = [make_runner(number) for number in range(RUNNERS)]
    fleet = ProcessFleet(tmp_path, runners, router_count=ROUTERS)
    try:
        await fleet.start()
        await asyncio.sleep(2.0)  # instances read each other's entries
        soak = Soak(fleet, seed)
        faults = await soak.play()
        ends = {part: len(ends_s) for part, ends_s in soak.ends_s.items()}
        print(f"seed {seed}: ends {ends}, {len(soak.arrivals)} deadly sends")
        assert not faults, (faults, dict(soak.disturbed_s))
    finally:
        await fleet.stop()
