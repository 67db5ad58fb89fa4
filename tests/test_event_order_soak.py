# SPDX-License-Identifier: MIT
"""A seeded soak of the order of events: real processes, and callers who resume.

Three router processes share two runners, whose answers have no length at times.  Links
are reset or hang, routers are frozen, killed and started again, and runners break off
within an event, in series and overlapping.  Callers check each event, and resume what
was cut at another router.  `EVENT_ORDER_SOAK_SEEDS` sets how many seeds are played,
from `EVENT_ORDER_SOAK_FIRST` on.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import struct

from collections import Counter

import pytest

from linked_fleet import HANG, STREAM_PATH, LinkedFleet
from test_killed_routers import call
from test_platform_process import HEADERS, ID
from violethatch import clocks


SEEDS = int(os.environ.get("EVENT_ORDER_SOAK_SEEDS", "2"))
FIRST_SEED = int(os.environ.get("EVENT_ORDER_SOAK_FIRST", "1"))
TURBULENT_S = 10.0
EVENT_COUNT = 40
EVENT_GAP_S = 0.02
CALLERS = 24
#: How often a caller takes a stream up again.
MAX_TRIES = 6
#: How long a caller waits for one answer.
PATIENCE_S = 6.0
RESET = struct.pack("ii", 1, 0)


def expected_event(number):
    """Return an event as runners write it."""
    return b"id: %d\ndata: %d\n\n" % (number, number)


def request(call_id, last_id):
    """Return a request for a stream, or for the rest of it."""
    headers = HEADERS | {ID: call_id, "Connection": "close"}
    if last_id:
        headers["Last-Event-Id"] = str(last_id)
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"POST {STREAM_PATH} HTTP/1.1", *lines, "Content-Length: 6"])
    return f"{head}\r\n\r\na menu".encode()


class Play:
    """Faults and callers over a fleet.

    Args:
        fleet: The fleet, which has started.
        seed: Draws all that happens.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.until_s = clocks.now_s() + TURBULENT_S
        self.faults = []
        self.ends = Counter()

    async def run(self):
        """Play until all callers have ended."""
        turbulence = [
            asyncio.create_task(one())
            for one in (self._links, self._routers, self._runners)
        ]
        await asyncio.gather(*(self._caller(number) for number in range(CALLERS)))
        await asyncio.gather(*turbulence)

    async def _links(self):
        """Reset links, or have them hang for a while."""
        while clocks.now_s() < self.until_s:
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
            instance = self.rng.choice(self.fleet.instances)
            if self.rng.random() < 0.8:
                self._reset_some(instance)
            else:
                instance.cut(HANG)
                await asyncio.sleep(self.rng.uniform(0.2, 1.5))
                instance.heal()

    def _reset_some(self, instance):
        """Reset an instance's connections to some servers, at both of their ends."""
        for proxy in instance.links:
            if self.rng.random() < 0.5:
                for writer in proxy._writers:
                    connection = writer.get_extra_info("socket")
                    with contextlib.suppress(OSError):  # it is closed already
                        connection.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, RESET
                        )
                proxy.drop_connections()

    async def _routers(self):
        """Freeze or kill a router; it goes on, or starts again."""
        while clocks.now_s() < self.until_s:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            instance = self.rng.choice(self.fleet.instances)
            if self.rng.random() < 0.5:
                instance.signal(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(0.1, 2.0))
                instance.signal(signal.SIGCONT)
            else:
                instance.signal(signal.SIGKILL)
                await instance.process.wait()
                await instance.start()

    async def _runners(self):
        """Have runners answer without a length, and break off within an event."""
        runners = list(self.fleet.runners.values())
        while clocks.now_s() < self.until_s:
            await asyncio.sleep(self.rng.uniform(0.02, 0.1))
            runner = self.rng.choice(runners)
            runner.is_framed = self.rng.random() < 0.5
            runner.cut_after = (
                self.rng.randrange(EVENT_COUNT) if self.rng.random() < 0.03 else None
            )
        for runner in runners:
            runner.is_framed, runner.cut_after = True, None

    async def _caller(self, number):
        """Ask for streams until the time is over."""
        count = 0
        while clocks.now_s() < self.until_s:
            await self._stream(f"s{number}-{count}")
            count += 1
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))

    async def _stream(self, name):
        """Take a stream, and take it up again where it was cut."""
        last_id = 0
        for attempt in range(MAX_TRIES):
            front = self.rng.choice(self.fleet.instances).front
            data = request(f"{name}-{attempt}", last_id)
            try:
                async with asyncio.timeout(PATIENCE_S):
                    outcome = await call(front, data)
            except TimeoutError:
                self.ends["late"] += 1
                return
            if outcome.body is None:
                self.ends["refused or none"] += 1
                await asyncio.sleep(0.1)
                continue
            before_id = last_id
            last_id = self._checked(name, outcome, last_id)
            if outcome.looks_whole:
                self.ends["whole"] += 1
                return
            self.ends["cut" if last_id > before_id else "cut at once"] += 1

    def _checked(self, name, outcome, last_id):
        """Check an answer's events; return the last id."""
        *events, rest = outcome.body.split(b"\n\n")
        for event in events:
            last_id += 1
            if event + b"\n\n" != expected_event(last_id):
                self.faults.append(f"{name}: {event!r} in place of {last_id}")
                return last_id
        if outcome.looks_whole and (rest or last_id != EVENT_COUNT):
            self.faults.append(f"{name}: whole after event {last_id}, {rest!r}")
        return last_id


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
async def test_events_come_out_of_order(tmp_path, seed):
    """None is missing or comes twice, and no stream is complete before its end."""
    fleet = LinkedFleet(tmp_path)
    for runner in fleet.runners.values():
        runner.event_count = EVENT_COUNT
        runner.pause_s = EVENT_GAP_S
    try:
        await fleet.start()
        play = Play(fleet, seed)
        await play.run()
    finally:
        await fleet.stop()
    print(seed, dict(play.ends))
    assert play.faults == []
    assert play.ends["whole"] > CALLERS
