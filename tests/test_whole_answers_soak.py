# SPDX-License-Identifier: MIT
"""A seeded soak of answers: real processes, faults from outside, and callers who wait.

Three router processes with the deployed settings serve streams of runner processes.
Routers and runners are frozen, stopped, killed and started, runners write nothing for a
while, settings are reloaded, and small, large and frequent desired states are written,
in series and overlapping.  Callers use their connections until a process is gone, and
check from outside that what a runner has begun is answered whole.
`WHOLE_ANSWERS_SOAK_SEEDS` sets how many seeds are played, from
`WHOLE_ANSWERS_SOAK_FIRST` on.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal

from collections import Counter, defaultdict
from typing import NamedTuple

import aiohttp
import pytest

from process_fleet import (
    FINAL_PATH,
    STREAM_PATH,
    ProcessFleet,
    RunnerProcess,
    many_routes,
)
from test_platform_process import HEADERS, ID, event_ids
from test_platform_wire import CONFIG
from test_router_settings import FIELDS
from violethatch import clocks


SEEDS = int(os.environ.get("WHOLE_ANSWERS_SOAK_SEEDS", "2"))
FIRST_SEED = int(os.environ.get("WHOLE_ANSWERS_SOAK_FIRST", "1"))
TURBULENT_S = 8.0
#: The caller's time limit, and a route's: longer than what stands still together.
PATIENCE_S = 15.0
GRACE_S = float(FIELDS["Bounds.GraceS"])
#: After SIGTERM, from when on a runner that is still at work is no reason to wait.
LAST_SIXTH_S = GRACE_S * 5 / 6
#: Requests that were sent later after SIGTERM have no such excuse.
LATE_S = 3.0
#: Until how long after a disturbance an instance is not held to the rules.
CONTACT_S = 3.0
#: Requests that end sooner without an answer may have crossed the close.
LOSS_SLACK_S = 0.2
RETRY_RATIO = float(FIELDS["Bounds.RetryBudgetRatio"])
RETRY_SLACK = float(FIELDS["Bounds.RetrySlack"])
MAX_RUNNERS = 2
EVENT_COUNT = 40
CALL_PAUSE_S = 0.5
#: How long what was noted from outside may differ from when it happened.
NOTED_S = 0.1

#: The line that names the instance that a forwarded request was lost at.
SERVER_TROUBLE = 2107
FORWARD_LOST = 2227
#: The line that names the instance that serves it.
FORWARD_TAKEN = 2241

#: Calls that may not be repeated.
ONCE_PATH = "/print/1"
ONCE_ROUTE = dict(CONFIG["Routes"][1], TimeoutMs=int(PATIENCE_S * 1000))
ONCE_ENTRY = {"Service": "labels", "Kind": "", "layers": None}
NOT_RUN = (408, 421, 429, 503)


class Call(NamedTuple):
    """One request of a caller, and what came of it."""

    call_id: str
    path: str
    instance: str
    sent_s: float
    ended_s: float
    #: The answer's status, or 0 if there was none.
    status: int
    events: list[int]
    #: Whether the answer was read to its end.
    is_complete: bool
    #: The runner that the answer's head names.
    runner: str
    #: Whether there was a connection to send the request on.
    is_connected: bool

    @property
    def is_whole(self):
        """Whether all events came."""
        expected = list(range(1, EVENT_COUNT + 1))
        return self.is_complete and self.status == 200 and self.events == expected


class Soak:
    """One play of the soak."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.calls = []
        self.version = 1
        #: What was done to whom and when, also for a failure's message.
        self.notes = []
        #: By request, the runs at runners that were listed until the end.
        self.live_runs = defaultdict(list)
        #: By request, the runs at runners that have ended since.
        self.ended_runs = defaultdict(list)
        #: Requests that were under way at a runner that was killed.
        self.broken_off = set()
        #: How many requests got no whole answer, by excuse.
        self.excused = Counter()
        self._started = 0
        self._stopping = set()
        self._is_over = False

    async def play(self):
        """Play to the end; return what was broken."""
        paths = (STREAM_PATH, FINAL_PATH, ONCE_PATH)
        callers = [
            asyncio.create_task(self._keep_calling(one, path))
            for one in self.fleet.instances
            for path in paths
        ]
        await self._disturb()
        self._is_over = True
        await asyncio.gather(*callers)
        for runner in self.fleet.runners.values():
            self._keep(runner, await runner.runs(self.fleet.http), self.live_runs)
        return self._faults()

    # What is done from outside

    async def _disturb(self):
        """Disturb at random, several things at a time."""
        until_s = clocks.now_s() + TURBULENT_S
        kinds = (
            self._freeze_router,
            self._freeze_runner,
            self._freeze_all_runners,
            self._pause_runners,
            self._stop_router,
            self._kill_router,
            self._reload,
            self._stop_runner,
            self._kill_runner,
            self._write_states,
            self._write_states,
        )
        under_way = []
        while clocks.now_s() < until_s:
            under_way.append(asyncio.create_task(self.rng.choice(kinds)()))
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        await asyncio.gather(*under_way)

    def _note(self, what, name):
        """Note what is done to a process."""
        self.notes.append((round(clocks.now_s(), 2), what, name))

    def _times(self, what, name):
        """Return when something was done to a process."""
        return [at_s for at_s, done, to in self.notes if (done, to) == (what, name)]

    async def _freeze(self, one):
        """Let a process stand still for a while."""
        self._note("freeze", one.name)
        one.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        one.signal(signal.SIGCONT)
        self._note("wake", one.name)

    async def _freeze_router(self):
        await self._freeze(self.rng.choice(self.fleet.instances))

    async def _freeze_runner(self):
        await self._freeze(self.rng.choice(list(self.fleet.runners.values())))

    async def _freeze_all_runners(self):
        await asyncio.gather(*map(self._freeze, self.fleet.runners.values()))

    async def _pause_runners(self):
        """Have some runners write nothing for a while."""
        runners = list(self.fleet.runners.values())
        chosen = self.rng.sample(runners, self.rng.randint(1, len(runners)))
        for_s = self.rng.uniform(0.1, 3.0)
        self._note(f"pause {for_s:.1f}", [one.name for one in chosen])
        pauses = (one.pause(self.fleet.http, for_s) for one in chosen)
        await asyncio.gather(*pauses, return_exceptions=True)

    async def _stop_router(self):
        await self._end_router("stop", signal.SIGTERM)

    async def _kill_router(self):
        await self._end_router("kill", signal.SIGKILL)

    async def _end_router(self, what, number):
        """End a router, and start it again."""
        one = self.rng.choice(self.fleet.instances)
        is_stopping = one.name in self._stopping
        if is_stopping and what == "stop":
            return
        self._note(what, one.name)
        one.signal(number)
        if is_stopping:
            return  # it is started again after its stop
        self._stopping.add(one.name)
        await one.process.wait()
        self._note("gone", one.name)
        await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        await one.start()
        self._stopping.discard(one.name)
        self._note("start", one.name)

    async def _reload(self):
        """Have a router read its settings again."""
        one = self.rng.choice(self.fleet.instances)
        if one.name not in self._stopping:
            self._note("reload", one.name)
            one.signal(signal.SIGHUP)

    def _take_runner(self):
        """Return a model runner that nobody else ends, or None."""
        names = [name for name in self.fleet.runners if name not in self._stopping]
        runners = [self.fleet.runners[name] for name in names]
        runners = [one for one in runners if not one.entry]
        if len(runners) <= 1:
            return None
        chosen = self.rng.choice(runners)
        self._stopping.add(chosen.name)
        return chosen

    async def _stop_runner(self):
        """Let a runner leave, and start another one."""
        runner = self._take_runner()
        if runner is None:
            return
        self._note("leaves", runner.name)
        self.fleet.list_server(runner.name, State="draining")
        await asyncio.sleep(float(FIELDS["Bounds.DrainMs"]) / 1000)
        while any(not run["ended_s"] for run in await runner.runs(self.fleet.http)):
            await asyncio.sleep(0.05)
        self._keep(runner, await runner.runs(self.fleet.http), self.ended_runs)
        self._note("ends", runner.name)
        runner.signal(signal.SIGTERM)
        await self._replace(runner)

    async def _kill_runner(self):
        """Kill a runner, and start another one."""
        runner = self._take_runner()
        if runner is None:
            return
        runs = await runner.runs(self.fleet.http)
        runner.signal(signal.SIGKILL)
        self._note("kill", runner.name)
        self._keep(runner, runs, self.ended_runs)
        self.broken_off |= {run["call_id"] for run in runs if not run["ended_s"]}
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        await self._replace(runner)

    async def _replace(self, runner):
        """Take a runner's entry away, and list a new runner."""
        self.fleet.unlist(runner)
        self._started += 1
        new = RunnerProcess(f"n-{self._started}", event_count=EVENT_COUNT)
        self.fleet.all_runners.append(new)
        await self.fleet.start_runner(new)
        self._note("starts", new.name)

    def _keep(self, runner, runs, where):
        """Keep what a runner tells of its runs."""
        for run in runs:
            where[run["call_id"]].append(run | {"runner": runner.name})

    async def _write_states(self):
        """Write one desired state or several, small or large."""
        size = self.rng.choice((0, 0, 300, 3_000, 10_000))
        count = self.rng.choice((1, 1, 3, 10)) if size < 3_000 else 1
        self._note(f"{count} states of {size} routes", "")
        for _ in range(count):
            self.version += 1
            keys = ("k1", f"k{self.version}")
            routes = [*many_routes(size), ONCE_ROUTE]
            self.fleet.configure(version=self.version, routes=routes, keys=keys)
            await asyncio.sleep(self.rng.choice((0.0, 0.05, 0.3)))

    # What callers see

    async def _keep_calling(self, instance, path):
        """Send requests over kept connections."""
        calls = []
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as http:
            while not self._is_over:
                call_id = f"{instance.name}{path}-{len(calls)}"
                call = self._call(http, instance, path, call_id)
                calls.append(asyncio.create_task(call))
                await asyncio.sleep(self.rng.uniform(0.5, 1.5) * CALL_PAUSE_S)
            self.calls += await asyncio.gather(*calls)

    async def _call(self, http, instance, path, call_id):
        """Send a request, and read what comes back."""
        sent_s = clocks.now_s()
        status = 0
        body = b""
        runner = ""
        is_complete = False
        is_connected = True
        headers = HEADERS | {
            ID: call_id,
            "Violethatch-Deadline-Ms": str(int(PATIENCE_S * 1000)),
        }
        url = f"http://127.0.0.1:{instance.front}{path}"
        try:
            async with (
                asyncio.timeout(PATIENCE_S),
                http.post(url, data=b"a menu", headers=headers) as answer,
            ):
                status = answer.status
                signature = answer.headers.get("Violethatch-Response-Signature", "")
                runner = signature.removeprefix("by-")
                while part := await answer.content.readany():
                    body += part
                is_complete = True
        except aiohttp.ClientConnectorError:
            is_connected = False
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass  # what was begun by then is checked below
        return Call(
            call_id,
            path,
            instance.name,
            sent_s=sent_s,
            ended_s=clocks.now_s(),
            status=status,
            events=event_ids(body.rpartition(b"\n\n")[0]),
            is_complete=is_complete,
            runner=runner,
            is_connected=is_connected,
        )

    # What is checked

    def _faults(self):
        """Return what was broken."""
        return [
            f"{call.sent_s:.2f} to {call.ended_s:.2f}: {call.call_id}: {fault}, status"
            f" {call.status}, {len(call.events)} events, runs {self._runs(call)}"
            for call in self.calls
            for fault in self._faults_of(call)
        ] + self._budget_faults()

    def _runs(self, call):
        """Return the runs of a request."""
        return self.live_runs[call.call_id] + self.ended_runs[call.call_id]

    def _faults_of(self, call):
        """Yield what was broken in a request."""
        runs = self._runs(call)
        if call.status == 200 and call.events != list(range(1, len(call.events) + 1)):
            yield f"out of order {call.events}"
        if call.path == ONCE_PATH and len(runs) > 1:
            yield "run again"
        if call.path == ONCE_PATH and call.status in NOT_RUN and runs:
            yield "run, and called not run"
        if len({run["runner"] for run in self.live_runs[call.call_id]}) > MAX_RUNNERS:
            yield "too many runners"
        sent_whole = any(run["is_whole"] for run in runs)
        is_lost = not call.is_whole if sent_whole else not call.is_complete
        was_read = call.is_connected and call.ended_s - call.sent_s > LOSS_SLACK_S
        if is_lost and (runs or was_read):
            excuse = self._excuse(call)
            self.excused[excuse] += 1
            if not excuse:
                yield "not whole"

    def _excuse(self, call):
        """Return why an answer may have ended early, or an empty text."""
        if call.ended_s - call.sent_s >= PATIENCE_S - 2 * NOTED_S:
            return "time limit"
        if self._was_killed(call, call.instance, *self._forwarded_to(call)):
            return "instance killed"
        for at_s in self._times("stop", call.instance):
            since_stop_s = call.ended_s + NOTED_S - at_s
            is_last = LAST_SIXTH_S <= since_stop_s <= 2 * GRACE_S
            if is_last and call.sent_s <= at_s + LATE_S:
                return "end of the grace time"
            if self._was_frozen_at_stop(call, at_s):
                return "frozen at its stop"
        # A run that began right before the kill is known by its answer's head alone,
        # or by the instance that it was forwarded to.
        is_broken_off = call.call_id in self.broken_off
        if is_broken_off or self._was_killed(call, call.runner, *self._lost_at(call)):
            return "runner killed"
        return ""

    def _was_frozen_at_stop(self, call, stop_s):
        """Return whether a stopping instance stood still, which excuses it.

        What counts is from `CONTACT_S` before the request until its end.
        """
        if not stop_s - CONTACT_S <= call.sent_s <= stop_s + 2 * GRACE_S:
            return False
        freezes_s = self._times("freeze", call.instance)
        wakes_s = self._times("wake", call.instance)
        return any(
            freeze_s <= call.ended_s
            and min((at_s for at_s in wakes_s if at_s >= freeze_s), default=freeze_s)
            >= call.sent_s - CONTACT_S
            for freeze_s in freezes_s
        )

    def _was_killed(self, call, *names):
        """Return whether a process was killed while a request was under way."""
        return any(
            call.sent_s - NOTED_S <= at_s <= call.ended_s + NOTED_S
            for name in names
            for at_s in self._times("kill", name)
        )

    def _forwarded_to(self, call):
        """Return the instances that broke off a request of another one.

        The last one that served it is among them: the line of its loss is missing where
        the instance that would write it is killed at the same moment.
        """
        (instance,) = (i for i in self.fleet.instances if i.name == call.instance)
        lost, taken = (
            [x["instance_id"] for x in lines if x["request_id"] == call.call_id]
            for lines in (instance.lines(FORWARD_LOST), instance.lines(FORWARD_TAKEN))
        )
        return [*lost, *taken[-1:]]

    def _lost_at(self, call):
        """Return the runners that broke off a request, as instances say."""
        return [
            line["server_id"]
            for instance in self.fleet.instances
            for line in instance.lines(SERVER_TROUBLE)
            if line["request_id"] == call.call_id
        ]

    def _budget_faults(self):
        """Return whether runners got more repeats than the budget allows."""
        arrivals = Counter({call.call_id: len(self._runs(call)) for call in self.calls})
        repeats = sum(count - 1 for count in arrivals.values() if count)
        allowed = RETRY_RATIO * len(self.calls) + RETRY_SLACK
        return [f"{repeats} repeats, {allowed} allowed"] if repeats > allowed else []


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
async def test_begun_answer_is_cut(seed, tmp_path):
    """What a runner has begun is answered whole, and run no more often than allowed."""
    runners = [RunnerProcess(f"i-{n}", event_count=EVENT_COUNT) for n in range(3)]
    runners += [
        RunnerProcess(f"p-{n}", event_count=EVENT_COUNT, pause_s=0.01, entry=ONCE_ENTRY)
        for n in range(2)
    ]
    fleet = ProcessFleet(tmp_path, runners, router_count=3)
    fleet.routes = [*fleet.routes, ONCE_ROUTE]
    try:
        await fleet.start()
        soak = Soak(fleet, seed)
        faults = await soak.play()
        whole = sum(call.is_whole for call in soak.calls)
        print(f"seed {seed}: {whole} of {len(soak.calls)} whole, {soak.excused}")
        print(*soak.notes, *faults, sep="\n")
        assert faults == []
        assert whole > len(soak.calls) / 4
    finally:
        await fleet.stop()
