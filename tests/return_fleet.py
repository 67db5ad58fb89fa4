# SPDX-License-Identifier: MIT
"""Router processes, a store and runners that load layers; all lose power at once."""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import random
import signal

from typing import NamedTuple

import aiohttp

from aiohttp import web

from linked_fleet import Instance
from own_ports import free_ports
from test_platform_process import HEADERS, ID, Site
from test_platform_wire import CONFIG, ENGINE
from test_router_settings import filled_here
from violethatch import clocks
from violethatch_emulator.path_runner import PathRunner
from violethatch_emulator.weights import SharedWeights


ZONES = ("a", "b", "c")
#: By kind, how many of a hundred runners; the slow ones hold few layers each.
KIND_SHARES = {"quick": 7, "middle": 44, "small": 48}
KINDS = [
    {"Name": "quick", "mb": 36000.0, "pace": 3.1, "read_x": 3.2},
    {"Name": "middle", "mb": 21600.0, "pace": 16.0, "read_x": 8.2},
    {"Name": "small", "mb": 14400.0, "pace": 15.0, "read_x": 15.0},
]
LOAD_S = 14.0
LAYERS = 80
#: How long a runner's entry may lag behind it, in seconds.
LIST_LAG_S = (0.1, 1.2)
#: The part of the requests that are served where service is whole again.
WHOLE_PART = 0.95
#: How often the balancer asks an instance whether it is ready, and waits, in seconds.
BALANCER_S = 1.0


#: What stands for a status: no whole answer, and no connection.
LOST = 0
REFUSED = -1
#: After these a caller sends its request once more.
NOT_RUN = (REFUSED, 503)


class Attempt(NamedTuple):
    """One request of a caller, and what came of it."""

    sent_s: float
    took_s: float
    status: int


class ReturnFleet(Site):
    """A whole site that can lose power and return.

    Args:
        path: Where settings and logs are kept.
        instances: How many router processes there are.
        runners: How many runners there are.
        loads_at_once: How many loads run at full rate.
        seed: Of all random choices.
        processors: How many processors the instances share; all if omitted.
    """

    def __init__(
        self, path, *, instances, runners, loads_at_once, seed, processors=None
    ):
        super().__init__(path)
        self.path.mkdir(exist_ok=True)
        self.rng = random.Random(seed)
        self.processors = processors
        self.instance_count = instances
        self.instances = []
        self.runners = {}
        self.runner_plan = _runner_plan(runners)
        self.lifetimes = 0
        self.loads_at_once = loads_at_once
        self.weights = SharedWeights(
            load_s=LOAD_S, layer_count=LAYERS, at_once=loads_at_once
        )
        self.attempts = []
        self.ready_names = set()
        self._tasks = []
        self._listeners = []

    async def start(self):
        """Start everything; wait until each instance is ready."""
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.store_port = await self._serve(self.store.application())
        self.configure_site()
        self._make_instances()
        self.weights.load_s = LOAD_S / 10  # before the first request
        await self.power_on()
        await self._wait_serving()
        self.weights.load_s = LOAD_S

    def configure_site(self):
        """Write the desired state."""
        engine = dict(
            ENGINE,
            Models=[{"Name": "m", "pace": 1.0, "load_s": LOAD_S, "WarmS": 1.0}],
            KvTokenBytes=720000,
            step_ms=0.85,
            per_seq_ms=0.00468,
            context_per_k=0.00626,
            read_per_s=321000.0,
            usual={"prompt": 772, "answer": 138},
            act_bytes=36000,
            stride=2,
            loads_at_once=self.loads_at_once,
            kinds=KINDS,
        )
        route = dict(CONFIG["Routes"][0], TrafficSplit=[], Service="model")
        state = dict(CONFIG, Version=1, Routes=[route])
        state["Services"] = [{"Name": "model", "Engine": engine}]
        state["Tenants"] = [{"Name": "clinic", "ApiKeys": ["k1"]}]
        self.store.put("op", "config", state)

    async def stop(self):
        """End what was started."""
        self.stop_traffic()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.power_off()
        await super().stop()

    async def power_off(self, *, unlist=True):
        """End every instance and every runner at the same moment, without a word."""
        await self.instances_off()
        await self.runners_off(unlist=unlist)

    async def instances_off(self):
        """End every instance at the same moment."""
        for one in self.instances:
            one.signal(signal.SIGKILL)
        for one in self.instances:
            if one.process is not None:
                await one.process.wait()

    async def runners_off(self, *, unlist=True, over_s=0.0):
        """End every runner, one after the other over some time."""
        pause_s = over_s / max(1, len(self._listeners))
        for runner, listener in self._listeners:
            await asyncio.sleep(pause_s)
            runner.end()
            for connection in list(listener.server.connections):
                connection.force_close()
                if connection.transport is not None:
                    connection.transport.abort()
            await listener.cleanup()
        self._listeners = []
        if unlist:
            self.unlist_all(self.runners)
        self.runners = {}

    def unlist_all(self, names):
        """Take runners' entries away."""
        for name in names:
            self.store.remove("servers", name)

    async def power_on(self):
        """Start every instance and every runner."""
        await asyncio.gather(self.runners_on(), self.instances_on())

    async def instances_on(self):
        """Start every instance."""
        all_processors = os.sched_getaffinity(0)
        # Processes inherit the processors that they may run on.
        os.sched_setaffinity(0, sorted(all_processors)[: self.processors])
        try:
            await asyncio.gather(*(one.start() for one in self.instances))
        finally:
            os.sched_setaffinity(0, all_processors)

    async def runners_on(self):
        """Start the runners, empty, each as a new lifetime."""
        for kind, zone in self.runner_plan:
            self.lifetimes += 1
            name = f"i-{self.lifetimes}"
            runner = PathRunner(
                name, event_count=20, pause_s=0.02, weights=self.weights
            )
            listener = web.AppRunner(
                runner.application(),
                handler_cancellation=True,
                access_log=None,
                shutdown_timeout=0.0,
            )
            await listener.setup()
            await web.TCPSite(listener, "127.0.0.1", 0).start()
            self._listeners.append((runner, listener))
            self.runners[name] = runner
            self.addresses[name] = f"127.0.0.1:{listener.addresses[0][1]}"
            runner.on_layers = lambda name=name, kind=kind, zone=zone: self._list_soon(
                name, kind, zone
            )
            self._list_soon(name, kind, zone)

    def _list_soon(self, name, kind, zone):
        """Have a runner's entry written, with some lag."""
        delay_s = self.rng.uniform(*LIST_LAG_S)
        asyncio.get_running_loop().call_later(delay_s, self._list, name, kind, zone)

    def _list(self, name, kind, zone):
        """Write a runner's entry as the runner is now."""
        runner = self.runners.get(name)
        if runner is None:
            return
        layers = None
        if runner.layers is not None:
            first, end = runner.layers
            layers = {"From": first, "TargetVersion": end, "Version": 1}
        self.list_server(
            name, Kind=kind, Zone=zone, layers=layers, Sequence=runner.sequence
        )

    def _make_instances(self):
        """Write the settings of the instances."""
        ports = free_ports(4)
        front, ready, metrics, _ = ports
        for number in range(self.instance_count):
            host = f"127.0.{1 + number // 200}.{1 + number % 200}"
            name = f"edge-{number}"
            text = filled_here(
                ports,
                {"Node": name, "Zone": ZONES[number % len(ZONES)]},
                store=f"127.0.0.1:{self.store_port}",
                host=host,
            )
            settings = self.path / f"{name}.ini"
            settings.write_text(text)
            one = Instance(
                name, [], settings, front=front, ready=ready, metrics=metrics
            )
            one.host = host
            one.zone = ZONES[number % len(ZONES)]
            self.instances.append(one)

    async def _wait_serving(self):
        """Wait until each instance is ready and one has served a call."""
        async with asyncio.timeout(60 + self.instance_count):
            for one in self.instances:
                while not await self._is_ready(one):
                    await asyncio.sleep(0.1)
            while (await self.attempt(self.instances[0])).status != 200:
                await asyncio.sleep(0.2)

    def begin_traffic(self, *, per_s):
        """Begin the balancer's questions and the callers' requests."""
        for one in self.instances:
            self._tasks.append(asyncio.create_task(self._ask_ready(one)))
        self._tasks.append(asyncio.create_task(self._call_on(per_s)))

    def stop_traffic(self):
        """End the balancer's questions and the callers' requests."""
        for task in self._tasks:
            task.cancel()

    async def _ask_ready(self, instance):
        """Ask an instance each second whether it is ready, as the balancer does."""
        misses = 0
        while True:
            is_ready = await self._is_ready(instance)
            misses = 0 if is_ready else misses + 1
            if is_ready:
                self.ready_names.add(instance.name)
            elif misses >= 2:
                self.ready_names.discard(instance.name)
            await asyncio.sleep(BALANCER_S * self.rng.uniform(0.9, 1.0))

    async def _is_ready(self, instance):
        """Ask an instance once whether it is ready."""
        url = f"http://{instance.host}:{instance.ready}/api/readiness"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with asyncio.timeout(BALANCER_S), self.http.get(url) as answer:
                return answer.status == 200
        return False

    async def _call_on(self, per_s):
        """Send requests at an even rate, whatever comes of them."""
        calls = set()
        while True:
            zone = self.rng.choice(ZONES)
            call = asyncio.create_task(self._call(zone))
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(1.0 / per_s)

    def _balanced(self, zone):
        """Return an instance as the balancer chooses it for a caller of a zone.

        Those that are ready; all where fewer than half are; other zones' where none is.
        """
        of_zone = [one for one in self.instances if one.zone == zone]
        ready = [one for one in of_zone if one.name in self.ready_names]
        if not ready:
            far = [one for one in self.instances if one.name in self.ready_names]
            return self.rng.choice(far or of_zone)
        is_half = 2 * len(ready) >= len(of_zone)
        return self.rng.choice(ready if is_half else of_zone)

    async def _call(self, zone):
        """Send one request, once more if it has not run, and note what came of it."""
        first = await self.attempt(self._balanced(zone))
        last = first
        if first.status in NOT_RUN:
            last = await self.attempt(self._balanced(zone))
        self.attempts.append(last._replace(sent_s=first.sent_s))

    async def attempt(self, instance):
        """Send one request to an instance."""
        sent_s = clocks.now_s()
        call_id = f"{self.rng.getrandbits(64):016x}"
        part = f"{self.rng.randrange(60):08x}"
        headers = HEADERS | {
            ID: call_id,
            "Violethatch-Prompt-Prefix": f"{part}:40,{call_id[:8]}:700",
            "Violethatch-Token-Count": "740,69",
        }
        status = LOST
        url = f"http://{instance.host}:{instance.front}/draft/1"
        try:
            async with (
                asyncio.timeout(8),
                self.http.post(url, data=b"a", headers=headers) as answer,
            ):
                body = await answer.read()
                is_cut = answer.status == 200 and b"id: 20\n" not in body
                status = LOST if is_cut else answer.status
        except aiohttp.ClientConnectorError:
            status = REFUSED
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass  # no whole answer
        return Attempt(sent_s, clocks.now_s() - sent_s, status)

    def served_between(self, first_s, end_s):
        """Return how many requests were sent within some time, and how many served."""
        of_time = [one for one in self.attempts if first_s <= one.sent_s < end_s]
        return len(of_time), sum(one.status == 200 for one in of_time)

    def served_by_second(self, since_s):
        """Return, by second since a moment, how many were asked for and served."""
        sent_s = [one.sent_s - since_s for one in self.attempts]
        if not sent_s:
            return {}
        return {
            second: self.served_between(since_s + second, since_s + second + 1)
            for second in range(math.floor(min(sent_s)), math.floor(max(sent_s)) + 1)
        }

    def whole_after_s(self, since_s):
        """Return after how many seconds nearly all requests were served for good."""
        whole_s = math.inf
        for second, (asked, served) in reversed(self.served_by_second(since_s).items()):
            if second < 0 or served < WHOLE_PART * asked:
                break
            whole_s = second
        return whole_s


def _runner_plan(count):
    """Return the kinds and zones of some runners."""
    total = sum(KIND_SHARES.values())
    kinds = [
        kind
        for kind, part in KIND_SHARES.items()
        for _ in range(round(part * count / total) or 1)
    ]
    return [(kind, ZONES[number % len(ZONES)]) for number, kind in enumerate(kinds)]
