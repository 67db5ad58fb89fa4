# SPDX-License-Identifier: MIT
"""Streams that are under way while routers and runners stand still or states change.

One router process with the deployed settings, two runner processes, and streams of 4 s
that may be resumed and that may not.  Callers wait, and check from outside.
"""

from __future__ import annotations

import asyncio
import signal

from collections import Counter

import aiohttp
import pytest

from process_fleet import (
    FINAL_PATH,
    FINAL_ROUTE,
    ROUTES,
    STREAM_PATH,
    STREAM_ROUTE,
    ProcessFleet,
    RunnerProcess,
    many_routes,
)
from test_platform_process import HEADERS, ID, event_ids
from test_router_settings import FIELDS


STREAMS = 8
EVENTS = list(range(1, 81))
CALLER_WAITS_S = 20.0
#: Streams go on for this long before something happens.
UNDER_WAY_S = 0.5
MAX_RUNS = 2
RETRY_RATIO = float(FIELDS["Bounds.RetryBudgetRatio"])
RETRY_SLACK = float(FIELDS["Bounds.RetrySlack"])
ALL_WHOLE = {STREAM_PATH: STREAMS, FINAL_PATH: STREAMS}

#: The line that tells of listed servers.
SERVER_FOUND = 2105


class Play:
    """Streams that are under way at a fleet of one router while something happens."""

    def __init__(self, path):
        runners = [RunnerProcess(name) for name in ("i-1", "i-2")]
        self.fleet = ProcessFleet(path, runners)
        self.version = 1
        #: By path, how many streams were whole.
        self.whole = Counter()
        self.runs = []
        #: Streams whose first event has come.
        self.started = 0
        #: Whether streams were still under way when it was over.
        self.outlasted = False

    async def run(self, happens):
        """Run the streams while something happens; return what was whole."""
        try:
            await self.fleet.start()
            await self._until_servers_are_known()
            streams = [
                asyncio.create_task(self._stream(path, number))
                for path in ALL_WHOLE
                for number in range(STREAMS)
            ]
            while self.started < len(streams):
                await asyncio.sleep(0.02)
            await asyncio.sleep(UNDER_WAY_S)
            await happens(self)
            self.outlasted = not all(one.done() for one in streams)
            await asyncio.gather(*streams)
            self.runs = await self.fleet.runs()
        finally:
            await self.fleet.stop()

    async def _until_servers_are_known(self):
        """Wait for the list of servers, which readiness doesn't rest on."""
        async with asyncio.timeout(CALLER_WAITS_S):
            while not self.fleet.instances[0].lines(SERVER_FOUND):
                await asyncio.sleep(0.02)

    async def _stream(self, path, number):
        """Read one stream to its end, and count it if it is whole."""
        body = b""
        url = f"http://127.0.0.1:{self.fleet.instances[0].front}{path}"
        headers = HEADERS | {
            ID: f"{path}{number}",
            "Violethatch-Deadline-Ms": str(int(CALLER_WAITS_S * 1000)),
        }
        try:
            async with (
                asyncio.timeout(CALLER_WAITS_S),
                self.fleet.http.post(url, data=b"a menu", headers=headers) as answer,
            ):
                body = await answer.content.readuntil(b"\n\n")
                self.started += 1
                while part := await answer.content.readany():
                    body += part
        except (aiohttp.ClientError, TimeoutError):
            return
        self.whole[path] += answer.status == 200 and event_ids(body) == EVENTS

    def check(self):
        """Check that all streams were whole, at a cost that is allowed."""
        runs = Counter(run["call_id"] for run in self.runs)
        print(f"whole: {dict(self.whole)}, runs: {len(self.runs)}")
        assert dict(self.whole) == ALL_WHOLE
        assert self.outlasted
        assert max(runs.values()) <= MAX_RUNS
        requests = 2 * STREAMS
        assert len(self.runs) - requests <= RETRY_RATIO * requests + RETRY_SLACK

    def write_state(self, **fields):
        """Write the next desired state."""
        self.version += 1
        self.fleet.configure(version=self.version, **({"routes": ROUTES} | fields))

    async def change(self, **fields):
        """Write the next desired state, and wait until it is in force."""
        self.write_state(**fields)
        await self.fleet.wait_version(self.fleet.instances[0], self.version)


def router_stands_still(for_s):
    """Return what stops the router's process for a while."""

    async def happens(play):
        router = play.fleet.instances[0]
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        router.signal(signal.SIGCONT)

    return happens


def runners_write_nothing(for_s):
    """Return what has both runners pause, while they answer reports."""

    async def happens(play):
        runners = play.fleet.runners.values()
        await asyncio.gather(*(one.pause(play.fleet.http, for_s) for one in runners))

    return happens


def runners_stand_still(for_s):
    """Return what stops both runners' processes for a while."""

    async def happens(play):
        runners = play.fleet.runners.values()
        await asyncio.gather(*(one.stand_still(for_s) for one in runners))

    return happens


def one_runner_stands_still(for_s):
    """Return what stops one runner's process for a while."""

    async def happens(play):
        await play.fleet.runners["i-1"].stand_still(for_s)

    return happens


async def runners_stand_still_in_turn(play):
    """Stop one runner's process for a moment, then the other's, twice."""
    for _ in range(2):
        for one in play.fleet.runners.values():
            await one.stand_still(0.4)
            await asyncio.sleep(0.2)


async def large_states(play):
    """Write desired states of 10,000 routes."""
    for _ in range(3):
        await play.change(routes=many_routes(10_000))


async def large_states_on_busy_machines(play):
    """Write desired states of 10,000 routes while runners stop for moments."""
    states = asyncio.create_task(large_states(play))
    while not states.done():
        runners = play.fleet.runners.values()
        await asyncio.gather(*(one.stand_still(0.2) for one in runners))
        await asyncio.sleep(0.1)
    await states


STALLS = {
    "router-stands-still-0.6": router_stands_still(0.6),
    "router-stands-still-1.2": router_stands_still(1.2),
    "router-stands-still-2.5": router_stands_still(2.5),
    "runners-write-nothing-1": runners_write_nothing(1.0),
    "runners-write-nothing-3": runners_write_nothing(3.0),
    "runners-stand-still-1": runners_stand_still(1.0),
    "runners-stand-still-3": runners_stand_still(3.0),
    "one-runner-stands-still-3": one_runner_stands_still(3.0),
    "runners-stand-still-in-turn": runners_stand_still_in_turn,
    "large-states": large_states,
    "large-states-on-busy-machines": large_states_on_busy_machines,
}


@pytest.mark.parametrize("stall", STALLS)
async def test_stream_is_cut_by_a_stall(stall, tmp_path):
    """Whoever stands still, the runner goes on and the caller still waits."""
    play = Play(tmp_path)
    await play.run(STALLS[stall])
    play.check()


def change(**fields):
    """Return what changes the desired state."""

    async def happens(play):
        await play.change(**fields)

    return happens


def all_routes(**fields):
    """Return both routes with changed fields."""
    return [route | fields for route in ROUTES]


async def nothing(_play):
    """Change nothing."""


async def many_versions(play):
    """Write versions faster than they are read."""
    for _ in range(19):
        play.write_state()
    await play.change()


async def unreadable_state(play):
    """Write a state that can't be understood."""
    play.fleet.store.put("op", "config", {"Version": 2, "Routes": "none"})
    await asyncio.sleep(1.0)


async def reload_settings(play):
    """Have the router read its settings again."""
    play.fleet.instances[0].signal(signal.SIGHUP)


async def layers_withdrawn(play):
    """Let a runner's entry say that it holds no layers."""
    play.fleet.list_server("i-1", layers=None)
    await asyncio.sleep(1.0)


async def runner_leaves(play):
    """Let a runner's entry say that it leaves."""
    play.fleet.list_server("i-1", State="draining")
    await asyncio.sleep(1.0)


async def runner_is_gone(play):
    """Take a runner's entry away."""
    play.fleet.store.remove("servers", "i-1")
    await asyncio.sleep(1.0)


#: One more route, of another service.
MORE = dict(STREAM_ROUTE, Name="more", PathPrefix="/more/", Service="labels")
RENAMED = [route | {"Name": f"new-{route['Name']}"} for route in ROUTES]
CHANGES = {
    "nothing": nothing,
    "route-added": change(routes=[*ROUTES, MORE]),
    "route-removed": change(routes=[MORE]),
    "route-renamed": change(routes=RENAMED),
    "shorter-timeout": change(routes=all_routes(TimeoutMs=1500)),
    "other-service": change(routes=all_routes(Service="labels")),
    "not-resumable": change(
        routes=[STREAM_ROUTE | {"StreamResume": False}, FINAL_ROUTE]
    ),
    "key-removed": change(keys=("k2",)),
    "key-added": change(keys=("k1", "k2")),
    "idle-limit": change(limits={"IdleTimeoutMs": 200}),
    "header-limit": change(limits={"HeaderTimeoutMs": 200}),
    "3000-routes": change(routes=many_routes(3000)),
    "many-versions": many_versions,
    "unreadable-state": unreadable_state,
    "reload": reload_settings,
    "layers-withdrawn": layers_withdrawn,
    "runner-leaves": runner_leaves,
    "runner-gone": runner_is_gone,
}


@pytest.mark.parametrize("first", range(0, len(CHANGES), 6))
async def test_stream_is_cut_by_a_change(first, tmp_path):
    """What was accepted runs to its end; six changes at six routers."""
    names = list(CHANGES)[first : first + 6]
    plays = {name: Play(tmp_path / name) for name in names}
    await asyncio.gather(*(play.run(CHANGES[name]) for name, play in plays.items()))
    whole = {name: dict(play.whole) for name, play in plays.items()}
    assert whole == dict.fromkeys(names, ALL_WHOLE)
    for play in plays.values():
        play.check()
