# SPDX-License-Identifier: MIT
"""Plays a deployment's return from a loss of power, at its own size, by hand.

Real router processes with the deployed settings, each with its share of a processor;
runners, callers and the limits of processors in processes of their own.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import os
import random
import re
import signal
import sys
import time

from pathlib import Path
from typing import Literal, NamedTuple

import aiohttp
import defopt
import uvloop

from own_ports import free_ports
from processor_shares import processor_clock
from return_fleet import model_engine
from return_without_links import REFUSED
from site_figures import load_figures
from test_platform_wire import CONFIG
from test_router_settings import filled_here
from violethatch import clocks
from violethatch.processor_use import ProcessorUse
from violethatch_emulator.store import StoreStandIn


TESTS = Path(__file__).parent
#: Links to it are not lost with those to the servers.
STORE_HOST = "127.0.0.2"
#: The interval and timeout of the load balancer's readiness probes, in seconds.
PROBE_INTERVAL_S = 1.0
#: How long callers send before the loss of power, in seconds.
BEFORE_S = 5.0
#: How long runners are stopped, in seconds.
STOPPED_S = 6.0
#: How often memory is looked at, in seconds.
MEMORY_LOOK_S = 1.0


class RouterProcess:
    """A router process of a landing that is built under *root*."""

    def __init__(self, number, size, root, folder):
        self.name = f"edge-{number}"
        self.size = size
        self.root = root
        self.host = f"127.{os.getpid() % 60}.{1 + number // 200}.{1 + number % 200}"
        self.settings = folder / f"{self.name}.ini"
        self.log = folder / f"{self.name}.log"
        self.folder = folder / f"{self.name}-tmp"
        self.folder.mkdir()
        self.process = None
        #: How links to the servers are lost, and until when; None where they are not.
        self.lost_links = None
        self.starts = 0
        self.front = self.ready = 0
        self.peak_kb = 0
        self.used_s = 0.0

    def write_settings(self, ports, store):
        """Fill the landing's own template."""
        self.front, self.ready, *_ = ports
        changes = {
            "Node": self.name,
            "Zone": self.size.zone,
            "Limits.MemoryMb": str(self.size.memory_mb),
            "Limits.LinkMbps": str(self.size.link_mbps),
            "Limits.CpuShare": str(self.size.processor_share),
        }
        self.settings.write_text(
            filled_here(ports, changes, store=store, host=self.host, root=self.root)
        )

    async def start(self):
        """Start the process as it is deployed."""
        self.starts += 1
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-OO", *self._program()),
                cwd=self.root,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(self.root / "target" / "deps"),
                    "VIOLETHATCH_BOOT": str(self.settings),
                    "TMPDIR": str(self.folder),
                },
                stdout=log,
                stderr=log,
            )

    def _program(self):
        """Return the arguments that name the program."""
        if self.lost_links is None:
            return "-m", "violethatch.platform"
        way, until_s = self.lost_links
        return str(TESTS / "return_without_links.py"), way, str(until_s)

    def kill(self):
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    def take_used_s(self):
        """Return the processor time used since the last call, in seconds."""
        try:
            used_s = time.clock_gettime(processor_clock(self.process.pid))
        except (AttributeError, OSError):
            return 0.0
        if used_s < self.used_s:
            self.used_s = 0.0  # another process
        used_s, self.used_s = used_s - self.used_s, used_s
        return used_s

    def note_memory(self):
        """Note the most memory that the process had."""
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            found = re.search(r"VmHWM:\s+(\d+)", status)
            self.peak_kb = max(self.peak_kb, int(found[1]) if found else 0)

    def start_steps(self):
        """Return the times of the steps of the last start, in seconds."""
        steps = {}
        for line in self.lines(2011):
            if line["step"] == "ready":
                steps = {}
            steps |= line.get("after_s", {})
        return steps if len(self.lines(2001)) == self.starts else {}

    def lines(self, number):
        """Return the lines of one event."""
        found = []
        for one in self.log.read_text(errors="replace").splitlines():
            if f'"number":{number},' in one:
                with contextlib.suppress(ValueError):
                    found.append(json.loads(one))
        return found


class Helper:
    """A process of the play that is told by lines and tells by lines."""

    def __init__(self, module):
        self.module = module
        self.process = None

    async def start(self):
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(TESTS / f"{self.module}.py"),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 27,
        )

    def tell(self, value):
        """Write a line."""
        self.process.stdin.write(json.dumps(value).encode() + b"\n")


class RunnerHost(NamedTuple):
    """A process of runners.

    Attributes:
        prefix: What the names of its runners begin with.
        zone: Its availability zone.
        runners: The kinds and zones of its runners.
        is_first: Whether it is the one that has the zone's plain servers.
        helper: The process.
    """

    prefix: str
    zone: str
    runners: list
    is_first: bool
    helper: Helper


class LostLinks(NamedTuple):
    """Which instances return without links to the servers.

    Attributes:
        part: How many of all.
        is_zone_wise: Whether they are of as few zones as can be.
        way: How connections to the servers fail.
        back_s: How long after the return the links are back.
    """

    part: float
    is_zone_wise: bool
    way: str
    back_s: float

    def choose(self, instances, rng):
        """Return the instances without links."""
        count = round(self.part * len(instances))
        if self.is_zone_wise:
            return sorted(instances, key=lambda one: one.size.zone)[:count]
        return rng.sample(instances, count)


class Play:
    """A deployment whose instances all lose power and return.

    Args:
        figures: The deployment's figures.
        root: The folder of the landing, built by its deploy/build.sh.
        folder: Where settings and logs are kept.
        is_limited: Whether each instance has its share of a processor only.
        processors: How many processors the instances have, and nothing else; all if
            omitted, with everything.
        is_apart: Whether each runner is a process of its own.
        lost_links: Which instances return without links.
        seed: The seed of the callers.
    """

    def __init__(
        self,
        figures,
        root,
        folder,
        *,
        is_limited,
        processors,
        is_apart,
        lost_links,
        seed,
    ):
        self.figures = figures
        self.is_limited = is_limited
        self.processors = processors
        self.rng = random.Random(seed)
        self.seed = seed
        self.store = StoreStandIn()
        self.instances = [
            RouterProcess(number, size, root, folder)
            for number, size in enumerate(figures.instances)
        ]
        self.lost_links = lost_links
        self.without_links = lost_links.choose(
            self.instances, random.Random(f"links {seed}")
        )
        self.shares = Helper("processor_shares")
        self.hosts = [
            RunnerHost(
                f"{zone_prefix}{number}",
                zone,
                share,
                number == 0,
                Helper("return_runners"),
            )
            for zone_prefix, zone in zip(
                "abcdefgh", [one.zone for one in figures.traffic], strict=False
            )
            for number, share in enumerate(self._runner_shares(zone, is_apart))
        ]
        self.runners = [one.helper for one in self.hosts]
        self.callers = [Helper("return_callers") for _ in figures.traffic]
        self.ready_names = set()
        #: The most that a process of runners was busy, of a processor.
        self.runners_busy = 0.0
        #: By process of runners, the loads that are under way.
        self.loads = collections.Counter()
        #: By second, how busy the processors were.
        self.processors_busy = []
        self.tasks = []
        self.first_ready_s = {}

    def _runner_shares(self, zone, is_apart):
        """Return the runners of each process of a zone."""
        runners = [one for one in self.figures.runners if one[1] == zone]
        return [[one] for one in runners] if is_apart else [runners]

    async def start(self):
        """Start everything, and wait until calls are served."""
        # What surrounds the instances has the processors that they leave free.
        everything = sorted(os.sched_getaffinity(0))
        self.instance_processors = everything[: self.processors]
        os.sched_setaffinity(
            0, everything[len(self.instance_processors) :] or everything
        )
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        server = aiohttp.web.AppRunner(self.store.application(), access_log=None)
        await server.setup()
        site = aiohttp.web.TCPSite(server, STORE_HOST, 0, backlog=1024)
        await site.start()
        store = f"{STORE_HOST}:{server.addresses[0][1]}"
        self.put_state()
        await self.shares.start()
        for helper in self.runners:
            await helper.start()
            self.tasks.append(asyncio.create_task(self._follow_runners(helper)))
        figures = self.figures
        self._set_load(figures.load_s / 10)  # before the first request
        self.start_runners(with_plain=True)
        ports = free_ports(4)
        for one in self.instances:
            one.write_settings(ports, store)
        began_s = clocks.now_s()
        await self.start_instances()
        self.tasks.append(asyncio.create_task(self._note_memory()))
        for one in self.instances:
            self.tasks.append(asyncio.create_task(self._probe(one)))
        async with asyncio.timeout(300):
            while len(self.ready_names) < len(self.instances):
                await asyncio.sleep(0.2)
        self.report_ready("first start", began_s)
        await asyncio.sleep(10.0)  # layers are ordered and loaded
        self._set_load(figures.load_s)
        for number, (helper, traffic) in enumerate(
            zip(self.callers, figures.traffic, strict=True)
        ):
            await helper.start()
            helper.tell(
                traffic._asdict()
                | {
                    "seed": 1000 * self.seed + number,
                    "mean_events": figures.mean_events,
                    "max_events": figures.max_events,
                    "workspaces": figures.workspaces,
                    "instances": [
                        {
                            "name": one.name,
                            "zone": one.size.zone,
                            "host": one.host,
                            "front": one.front,
                        }
                        for one in self.instances
                    ],
                }
            )
        self._tell_ready()

    def _set_load(self, load_s):
        """Set the time that loads take."""
        figures = self.figures
        for helper in self.runners:
            helper.tell(
                {
                    "do": "weights",
                    "load_s": load_s,
                    "layer_count": figures.layer_count,
                    "at_once": figures.max_concurrent_loads,
                }
            )

    def put_state(self, version=1):
        """Write a desired state."""
        figures = self.figures
        engine = model_engine(
            load_s=figures.load_s,
            max_concurrent_loads=figures.max_concurrent_loads,
            kinds=list(figures.kinds),
            Slots=192,
        )
        route = dict(CONFIG["Routes"][0], TrafficSplit=[], Service="model")
        plain = {
            "Name": "labels",
            "Host": "menu.example",
            "PathPrefix": "/labels/",
            "Kind": "safe",
            "TimeoutMs": 2000,
            "TargetLatencyMs": 300,
            "Priority": 2,
            "MaxAttempts": 2,
            "Service": "labels",
        }
        idle = [
            dict(route, Name=f"n{number}", PathPrefix=f"/n{number}/")
            for number in range(figures.idle_routes)
        ]
        state = dict(CONFIG, Version=version, Routes=[route, plain, *idle])
        state["Services"] = [
            {"Name": "model", "MaxConnections": 2205, "Engine": engine},
            {"Name": "labels", "MaxConnections": 816, "HealthPath": "/health"},
        ]
        state["Tenants"] = [
            {"Name": f"t{number}", "ApiKeys": [f"k{number}"]}
            for number in range(figures.workspaces)
        ]
        self.store.put("op", "config", state)

    def start_runners(self, *, with_plain=False):
        """Start the runners without layers."""
        plain = self.figures.plain_servers if with_plain else ()
        for host in self.hosts:
            host.helper.tell(
                {
                    "do": "start",
                    "prefix": host.prefix,
                    "runners": host.runners,
                    "plain": [
                        one for one in plain if one == host.zone and host.is_first
                    ],
                }
            )

    async def stop_runners(self, count, *, for_s):
        """Stop some processes of runners for a while."""
        stopped = self.rng.sample(
            [one.helper.process for one in self.hosts if not one.is_first], count
        )
        for one in stopped:
            one.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(for_s)
        finally:
            for one in stopped:
                one.send_signal(signal.SIGCONT)

    async def _follow_runners(self, helper):
        """Write what servers tell into the store."""
        while line := await helper.process.stdout.readline():
            name, entry = json.loads(line)
            if name == "busy":
                self.runners_busy = max(self.runners_busy, entry)
            elif name == "loading":
                self._tell_loads(helper, entry)
            elif entry is None:
                self.store.remove("servers", name)
            else:
                self.store.put("servers", name, entry)

    def _tell_loads(self, helper, running):
        """Tell the processes of runners how many loads the others have."""
        self.loads[helper] = running
        for one in self.runners:
            elsewhere = sum(self.loads.values()) - self.loads[one]
            one.tell({"do": "elsewhere", "running": elsewhere})

    async def start_instances(self):
        """Start all instances, as near to each other as can be."""
        everything = os.sched_getaffinity(0)
        os.sched_setaffinity(0, self.instance_processors)
        try:
            began_s = clocks.now_s()
            for one in self.instances:
                await one.start()
                if self.is_limited:
                    self.shares.tell([one.process.pid, one.size.processor_share])
            print(f"all started within {clocks.now_s() - began_s:.1f} s")
        finally:
            os.sched_setaffinity(0, everything)

    async def kill_instances(self):
        """Kill all instances at once."""
        for one in self.instances:
            one.note_memory()
            one.kill()
        for one in self.instances:
            await one.process.wait()

    async def lose_power(self, *, off_s, is_empty, store_away_s):
        """Kill all instances, and runners if these lose power too; start them again."""
        await self.kill_instances()
        if is_empty:
            for helper in self.runners:
                helper.tell({"do": "end"})
        await asyncio.sleep(off_s)
        if store_away_s:
            self.store.refuse_with = 503
        self.first_ready_s = {}
        began_s = clocks.now_s()
        for one in self.without_links:
            one.lost_links = self.lost_links.way, began_s + self.lost_links.back_s
        if is_empty:
            self.start_runners()
        await self.start_instances()
        if store_away_s:
            await asyncio.sleep(max(0.0, began_s + store_away_s - clocks.now_s()))
            self.store.refuse_with = 0
        return began_s

    async def _probe(self, instance):
        """Probe the readiness of an instance like the load balancer."""
        misses = 0
        url = f"http://{instance.host}:{instance.ready}/api/readiness"
        await asyncio.sleep(self.rng.uniform(0.0, PROBE_INTERVAL_S))
        while True:
            sent_s = clocks.now_s()
            is_ready = False
            with contextlib.suppress(
                aiohttp.ClientError, TimeoutError, OSError, RuntimeError
            ):
                async with (
                    asyncio.timeout(PROBE_INTERVAL_S),
                    self.http.get(url) as response,
                ):
                    is_ready = response.status == 200
            misses = 0 if is_ready else misses + 1
            before = len(self.ready_names)
            if is_ready:
                self.first_ready_s.setdefault(instance.name, clocks.now_s())
                self.ready_names.add(instance.name)
            elif misses >= 2:
                self.ready_names.discard(instance.name)
            if len(self.ready_names) != before:
                self._tell_ready()
            await asyncio.sleep(max(0.0, sent_s + PROBE_INTERVAL_S - clocks.now_s()))

    def _tell_ready(self):
        """Tell the callers which instances are in."""
        for helper in self.callers:
            if helper.process is not None:
                helper.tell(sorted(self.ready_names))

    async def _note_memory(self):
        """Note the memory of the instances, and how busy all processors are."""
        use = ProcessorUse()
        last_s = time.process_time()
        while True:
            used_s = sum(one.take_used_s() for one in self.instances)
            own_s, last_s = time.process_time() - last_s, time.process_time()
            self.processors_busy.append(
                (clocks.now_s(), use.busy_fraction() or 0.0, used_s, own_s)
            )
            for one in self.instances:
                one.note_memory()
            await asyncio.sleep(MEMORY_LOOK_S)

    def report_ready(self, what, began_s):
        """Print when the instances were ready."""
        times = sorted(at_s - began_s for at_s in self.first_ready_s.values())
        if not times:
            print(f"{what}: none ready")
            return
        print(
            f"{what}: ready {len(times)} of {len(self.instances)}, first"
            f" {times[0]:.1f}, p50 {times[len(times) // 2]:.1f}, last {times[-1]:.1f} s"
        )

    async def collect_attempts(self):
        """End the callers; return their attempts and the most that one was busy."""
        attempts = []
        busy = 0.0
        for helper in self.callers:
            helper.process.stdin.close()
            told = json.loads(await helper.process.stdout.read())
            attempts += told["attempts"]
            print("callers' errors:", told["errors"])
            busy = max([busy, *told["busy"]])
        return attempts, busy

    async def stop(self):
        """End everything."""
        for task in self.tasks:
            task.cancel()
        for one in self.instances:
            one.kill()
        for helper in (self.shares, *self.runners, *self.callers):
            if helper.process is not None and helper.process.returncode is None:
                helper.process.kill()
        await self.http.close()


def print_attempts(attempts, began_s, recovery_s, processors_busy):
    """Print what was sent and served by second, and what the rule counts."""
    by_second = collections.defaultdict(list)
    for one in attempts:
        by_second[int((one[0] - began_s) // 1)].append(one)
    recovered_s = None
    busy = {int((at_s - began_s) // 1): used for at_s, *used in processors_busy}
    print(
        "second: sent, served, first event within 0.6 s, last statuses; use of all"
        " processors, processors used by the instances, by this process"
    )
    for second in sorted(by_second):
        calls = by_second[second]
        served = [one for one in calls if one[2][-1] == 200]
        prompt = [one for one in served if one[1] is not None and one[1] <= 0.6]
        if second >= 0:
            if len(served) < 0.95 * len(calls):
                recovered_s = None
            elif recovered_s is None:
                recovered_s = second
        statuses = dict(collections.Counter(str(one[2][-1]) for one in calls))
        print(
            f"{second:4d}: {len(calls)}, {len(served)}, {len(prompt)}, {statuses},"
            f" {[round(used, 2) for used in busy.get(second, ())]}"
        )
    late = [one for one in attempts if one[0] >= began_s + recovery_s]
    served = sum(one[2][-1] == 200 for one in late)
    prompt = sum(
        one[2][-1] == 200 and one[1] is not None and one[1] <= 0.6 for one in late
    )
    print(
        f"from {recovery_s:.0f} s on: {served} of {len(late)} served,"
        f" {prompt} promptly; 0.95 served from {recovered_s} s"
    )


def print_by_links(attempts, began_s, recovery_s, without_links):
    """Print what was served of calls to instances without links, and to others."""
    names = {one.name for one in without_links}
    groups = {
        "without links": [one for one in attempts if one[3] in names],
        "with links": [one for one in attempts if one[3] not in names],
    }
    for what, calls in groups.items():
        late = [one for one in calls if one[0] >= began_s + recovery_s]
        sent, first, served = _served(late)
        print(
            f"{what}, from {recovery_s:.0f} s on: {served} of {sent} served,"
            f" {first} at the first try"
        )
    print(f"second: sent, first tries served, served; {' and '.join(groups)}")
    for second in sorted({int((one[0] - began_s) // 1) for one in attempts}):
        told = [
            _served([one for one in calls if (one[0] - began_s) // 1 == second])
            for calls in groups.values()
        ]
        print(f"{second:4d}: {told}")


def _served(attempts):
    """Return how many were sent, served at the first try, and served at all."""
    first = sum(one[2][0] == 200 for one in attempts)
    return len(attempts), first, sum(one[2][-1] == 200 for one in attempts)


#: The events whose lines are counted by second.
COUNTED_EVENTS = {
    2417: "reads repeated",
    2405: "tables unreachable",
    2208: "silences seen",
    2230: "runs silent",
    2107: "servers in trouble",
    2109: "troubles heard",
    2110: "datagrams refused",
    2125: "links lost",
    2129: "lost links heard",
    2206: "refused",
    2225: "forwarded",
    2226: "forwards refused",
    2243: "forwards that none serves",
}
REFUSED_EVENT = 2206
#: The code of a refusal for want of links.
NO_LINK = 1208


def print_lines(what, instances, began_s):
    """Print how many lines of some events instances wrote, by second."""
    offset_s = began_s + time.time() - clocks.now_s()
    by_second = collections.defaultdict(collections.Counter)
    marks = {f'"number":{number},': number for number in COUNTED_EVENTS}
    for one in instances:
        for line in one.log.read_text(errors="replace").splitlines():
            for mark, number in marks.items():
                if mark not in line:
                    continue
                with contextlib.suppress(ValueError, KeyError):
                    told = json.loads(line)
                    counts = by_second[int((told["timestamp"] - offset_s) // 1)]
                    counts[number] += 1
                    counts[NO_LINK] += number == REFUSED_EVENT and (
                        told["code"] == NO_LINK
                    )
    columns = {**COUNTED_EVENTS, NO_LINK: "refused for want of links"}
    print(f"lines by second, {what}:", ", ".join(columns.values()))
    for second in sorted(by_second):
        if second >= 0:
            counts = [by_second[second][number] for number in columns]
            print(f"{second:4d}: {counts}")
    totals = [
        sum(counts[number] for second, counts in by_second.items() if second >= 0)
        for number in columns
    ]
    print(f" all: {totals}")


def print_starts(play):
    """Print the steps of the instances' last starts, and what they refused."""
    steps = collections.defaultdict(list)
    refused = collections.Counter()
    for one in play.instances:
        for step, after_s in one.start_steps().items():
            steps[step].append(after_s)
        for line in one.lines(2206):
            refused[line.get("code"), line.get("start_waits_for")] += 1
    for step, times in steps.items():
        times.sort()
        print(
            f"step {step}: {len(times)}, first {times[0]:.2f},"
            f" p50 {times[len(times) // 2]:.2f}, last {times[-1]:.2f}"
        )
    print("refused:", dict(refused.most_common(12)))
    peaks = sorted(one.peak_kb / 1000 for one in play.instances)
    over = sum(one.peak_kb / 1000 > one.size.memory_mb for one in play.instances)
    print(
        f"memory: median {peaks[len(peaks) // 2]:.0f} MB, max {peaks[-1]:.0f};"
        f" {over} over"
    )
    ended = [one.name for one in play.instances if one.process.returncode is not None]
    print("ended by themselves:", ended)


async def _play(
    figures,
    root,
    folder,
    *,
    empty,
    store_away_s,
    limited,
    processors,
    seed,
    after_s,
    twice,
    off_s,
    apart,
    lost_links,
    stopped_runners,
    stopped_at_s,
):
    play = Play(
        figures,
        root,
        folder,
        is_limited=limited,
        processors=processors,
        is_apart=apart,
        lost_links=lost_links,
        seed=seed,
    )
    try:
        await play.start()
        await asyncio.sleep(BEFORE_S)
        play.put_state(version=2)
        began_s = await play.lose_power(
            off_s=off_s, is_empty=empty, store_away_s=store_away_s
        )
        if twice:
            await asyncio.sleep(play.rng.uniform(0.5, 8.0))
            began_s = await play.lose_power(
                off_s=off_s, is_empty=empty, store_away_s=store_away_s
            )
        if stopped_runners:
            await asyncio.sleep(max(0.0, began_s + stopped_at_s - clocks.now_s()))
            await play.stop_runners(stopped_runners, for_s=STOPPED_S)
        await asyncio.sleep(max(0.0, began_s + after_s - clocks.now_s()))
        attempts, busy = await play.collect_attempts()
        print(
            f"busy at most, of a processor: callers {busy:.2f},"
            f" runners {play.runners_busy:.2f}"
        )
        print_attempts(attempts, began_s, figures.recovery_s, play.processors_busy)
        play.report_ready("return", began_s)
        print_starts(play)
        print_by_links(attempts, began_s, figures.recovery_s, play.without_links)
        print_lines("without links", play.without_links, began_s)
        others = [one for one in play.instances if one not in play.without_links]
        print_lines("with links", others, began_s)
    finally:
        await play.stop()


def main(
    site: Path,
    day: str,
    *,
    root: Path = TESTS.parent,
    folder: Path,
    small: bool = False,
    limited: bool = True,
    empty: bool = False,
    store_away_s: float = 0.0,
    processors: int | None = None,
    every: int = 1,
    rate: float = 1.0,
    seed: int = 0,
    after_s: float = 24.0,
    twice: bool = False,
    off_s: float | None = None,
    apart: bool = False,
    stopped_runners: int = 0,
    stopped_at_s: float = 15.0,
    without_links: float = 0.0,
    zone_wise: bool = False,
    links_lost: Literal["refused", "dropped"] = REFUSED,
    links_back_s: float = 60.0,
) -> None:
    """Play a return.

    Args:
        site: The deployment's site file.
        day: The day whose figures are played.
        root: A landing, built by its deploy/build.sh.
        folder: A new folder for settings and logs.
        small: Use the day's smaller twin.
        limited: Limit each instance to its share of a processor.
        empty: Let the runners lose power too.
        store_away_s: How long the store refuses calls after the return.
        processors: How many processors the instances share.
        every: Play one of so many instances, with as much less traffic.
        rate: A factor of the callers' rate.
        seed: The seed of the callers.
        after_s: How long the play goes on after the return.
        twice: Let a second loss of power follow.
        off_s: How long the power is off; as the day has it if omitted.
        apart: Let each runner be a process of its own.
        stopped_runners: How many runners are stopped for a while after the return;
            needs *apart*.
        stopped_at_s: When they are stopped, in seconds after the return.
        without_links: The part of the instances that return without links to the
            servers.
        zone_wise: Let whole zones be without links.
        links_lost: Whether their connections to servers are refused, or don't come
            about.
        links_back_s: When the links are back, in seconds after the return.
    """
    folder.mkdir(parents=True)
    figures = load_figures(site, day=day, is_small=small)
    figures = figures._replace(
        instances=figures.instances[::every],
        traffic=tuple(
            one._replace(requests_per_s=one.requests_per_s * rate / every)
            for one in figures.traffic
        ),
    )
    print(
        f"{len(figures.instances)} instances, {len(figures.runners)} runners,"
        f" {sum(one.requests_per_s for one in figures.traffic):.0f} requests a second"
    )
    uvloop.run(
        _play(
            figures,
            root.resolve(),
            folder.resolve(),
            empty=empty,
            store_away_s=store_away_s,
            limited=limited,
            processors=processors,
            seed=seed,
            after_s=after_s,
            twice=twice,
            off_s=figures.off_s if off_s is None else off_s,
            apart=apart,
            lost_links=LostLinks(without_links, zone_wise, links_lost, links_back_s),
            stopped_runners=stopped_runners,
            stopped_at_s=stopped_at_s,
        )
    )


if __name__ == "__main__":
    defopt.run(main)
