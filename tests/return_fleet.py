# SPDX-License-Identifier: MIT
"""Router processes, a store and runners that load layers, for power failure tests."""

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
#: The percentage of runners by kind; the slow ones hold few layers each.
KIND_PERCENTAGES = {"quick": 7, "middle": 44, "small": 48}
KINDS = [
    {"Name": "quick", "mb": 36000.0, "pace": 3.1, "read_x": 3.2},
    {"Name": "middle", "mb": 21600.0, "pace": 16.0, "read_x": 8.2},
    {"Name": "small", "mb": 14400.0, "pace": 15.0, "read_x": 15.0},
]
LOAD_S = 14.0
LAYERS = 80
#: The minimum and maximum delay of a runner's entry, in seconds.
ENTRY_DELAY_S = (0.1, 1.2)
#: The fraction of requests served from which on the service counts as recovered.
RECOVERED_FRACTION = 0.95
#: The interval and timeout of the load balancer's readiness probes, in seconds.
PROBE_INTERVAL_S = 1.0


#: Statuses of an incomplete response, and of a refused connection.
INCOMPLETE = 0
REFUSED = -1
#: The statuses after which a caller retries once.
RETRYABLE = (REFUSED, 503)


def model_engine(*, load_s, max_concurrent_loads, kinds, **changes):
    """Return the engine of the model, as the desired state describes it.

    Args:
        load_s: How long the whole model takes to load at full rate, in seconds.
        max_concurrent_loads: The number of loads that run at full rate.
        kinds: The kinds of runners.
        changes: What else differs.
    """
    engine = dict(
        ENGINE,
        Models=[{"Name": "m", "pace": 1.0, "load_s": load_s, "WarmS": 1.0}],
        KvTokenBytes=720000,
        step_ms=0.85,
        per_seq_ms=0.00468,
        context_per_k=0.00626,
        read_per_s=321000.0,
        usual={"prompt": 772, "answer": 138},
        act_bytes=36000,
        stride=2,
        loads_at_once=max_concurrent_loads,
        kinds=kinds,
    )
    return engine | changes


class Attempt(NamedTuple):
    """A request of a caller, and its status."""

    sent_s: float
    duration_s: float
    status: int


class ReturnFleet(Site):
    """A complete site whose processes can be killed and restarted.

    Args:
        path: The directory of settings and logs.
        instances: The number of router processes.
        runners: The number of runners.
        max_concurrent_loads: The number of loads that run at full rate.
        seed: The seed of all random choices.
        processors: The number of processors shared by the instances; all if omitted.
        has_own_folders: Whether each instance has a temporary folder of its own.
    """

    def __init__(
        self,
        path,
        *,
        instances,
        runners,
        max_concurrent_loads,
        seed,
        processors=None,
        has_own_folders=False,
    ):
        super().__init__(path)
        self.path.mkdir(exist_ok=True)
        self.rng = random.Random(seed)
        self.processors = processors
        self.has_own_folders = has_own_folders
        self.instance_count = instances
        self.instances = []
        self.runners = {}
        self.runner_plan = _runner_plan(runners)
        self.lifetimes = 0
        self.max_concurrent_loads = max_concurrent_loads
        self.weights = SharedWeights(
            load_s=LOAD_S, layer_count=LAYERS, at_once=max_concurrent_loads
        )
        self.attempts = []
        self.ready_names = set()
        self._tasks = []
        self._listeners = []

    async def start(self):
        """Start all processes, and wait until each instance is ready."""
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
        engine = model_engine(
            load_s=LOAD_S, max_concurrent_loads=self.max_concurrent_loads, kinds=KINDS
        )
        route = dict(CONFIG["Routes"][0], TrafficSplit=[], Service="model")
        state = dict(CONFIG, Version=1, Routes=[route])
        state["Services"] = [{"Name": "model", "Engine": engine}]
        state["Tenants"] = [{"Name": "clinic", "ApiKeys": ["k1"]}]
        self.store.put("op", "config", state)

    async def stop(self):
        """Stop all processes."""
        self.stop_traffic()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.power_off()
        await super().stop()

    async def power_off(self, *, unlist=True):
        """Kill all instances and runners simultaneously."""
        await self.instances_off()
        await self.runners_off(unlist=unlist)

    async def instances_off(self):
        """Kill all instances simultaneously."""
        for instance in self.instances:
            instance.signal(signal.SIGKILL)
        for instance in self.instances:
            if instance.process is not None:
                await instance.process.wait()

    async def runners_off(self, *, unlist=True, over_s=0.0):
        """Kill the runners in sequence, evenly over some time."""
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
            self.unlist_runners(self.runners)
        self.runners = {}

    def unlist_runners(self, names):
        """Remove entries of runners."""
        for name in names:
            self.store.remove("servers", name)

    async def power_on(self):
        """Start all instances and runners."""
        await asyncio.gather(self.runners_on(), self.instances_on())

    async def instances_on(self):
        """Start all instances."""
        all_processors = os.sched_getaffinity(0)
        # Processes inherit the CPU affinity.
        os.sched_setaffinity(0, sorted(all_processors)[: self.processors])
        try:
            await asyncio.gather(*(instance.start() for instance in self.instances))
        finally:
            os.sched_setaffinity(0, all_processors)

    async def runners_on(self):
        """Start the runners without layers, each with a new id."""
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
            runner.on_layers = lambda name=name, kind=kind, zone=zone: (
                self._write_entry_later(name, kind, zone)
            )
            self._write_entry_later(name, kind, zone)

    def _write_entry_later(self, name, kind, zone):
        """Write a runner's entry after a random delay."""
        delay_s = self.rng.uniform(*ENTRY_DELAY_S)
        asyncio.get_running_loop().call_later(
            delay_s, self._write_entry, name, kind, zone
        )

    def _write_entry(self, name, kind, zone):
        """Write a runner's entry with its current state."""
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
            instance = Instance(
                name, [], settings, front=front, ready=ready, metrics=metrics
            )
            instance.host = host
            if self.has_own_folders:
                folder = self.path / f"{name}-tmp"
                folder.mkdir(exist_ok=True)
                instance.environment["TMPDIR"] = str(folder)
            instance.zone = ZONES[number % len(ZONES)]
            self.instances.append(instance)

    async def _wait_serving(self):
        """Wait until each instance is ready and a call is served."""
        async with asyncio.timeout(60 + self.instance_count):
            for instance in self.instances:
                while not await self._is_ready(instance):
                    await asyncio.sleep(0.1)
            while (await self.attempt(self.instances[0])).status != 200:
                await asyncio.sleep(0.2)

    def start_traffic(self, *, per_s):
        """Start the load balancer's probes and the callers' requests."""
        for instance in self.instances:
            self._tasks.append(asyncio.create_task(self._probe_repeatedly(instance)))
        self._tasks.append(asyncio.create_task(self._send_calls(per_s)))

    def stop_traffic(self):
        """Stop the load balancer's probes and the callers' requests."""
        for task in self._tasks:
            task.cancel()

    async def _probe_repeatedly(self, instance):
        """Probe the readiness of an instance like the load balancer."""
        failures = 0
        while True:
            is_ready = await self._is_ready(instance)
            failures = 0 if is_ready else failures + 1
            if is_ready:
                self.ready_names.add(instance.name)
            elif failures >= 2:
                self.ready_names.discard(instance.name)
            await asyncio.sleep(PROBE_INTERVAL_S * self.rng.uniform(0.9, 1.0))

    async def _is_ready(self, instance):
        """Return whether an instance reports that it is ready."""
        url = f"http://{instance.host}:{instance.ready}/api/readiness"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with (
                asyncio.timeout(PROBE_INTERVAL_S),
                self.http.get(url) as response,
            ):
                return response.status == 200
        return False

    async def _send_calls(self, per_s):
        """Send requests at a constant rate, regardless of their results."""
        calls = set()
        while True:
            zone = self.rng.choice(ZONES)
            call = asyncio.create_task(self._call(zone))
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(1.0 / per_s)

    def _select_instance(self, zone):
        """Return an instance as selected by the load balancer for a zone.

        The balancer selects from the zone's ready instances, from all of the zone if
        fewer than half are ready, and from other zones if none is.
        """
        in_zone = [instance for instance in self.instances if instance.zone == zone]
        ready = [instance for instance in in_zone if instance.name in self.ready_names]
        if not ready:
            remote = [
                instance
                for instance in self.instances
                if instance.name in self.ready_names
            ]
            return self.rng.choice(remote or in_zone)
        is_half = 2 * len(ready) >= len(in_zone)
        return self.rng.choice(ready if is_half else in_zone)

    async def _call(self, zone):
        """Send a request, retry it once if it was not run, and record its status."""
        first = await self.attempt(self._select_instance(zone))
        last = first
        if first.status in RETRYABLE:
            last = await self.attempt(self._select_instance(zone))
        self.attempts.append(last._replace(sent_s=first.sent_s))

    async def attempt(self, instance):
        """Send a request to an instance."""
        sent_s = clocks.now_s()
        call_id = f"{self.rng.getrandbits(64):016x}"
        prefix = f"{self.rng.randrange(60):08x}"
        headers = HEADERS | {
            ID: call_id,
            "Violethatch-Prompt-Prefix": f"{prefix}:40,{call_id[:8]}:700",
            "Violethatch-Token-Count": "740,69",
        }
        status = INCOMPLETE
        url = f"http://{instance.host}:{instance.front}/draft/1"
        try:
            async with (
                asyncio.timeout(8),
                self.http.post(url, data=b"a", headers=headers) as response,
            ):
                body = await response.read()
                is_incomplete = response.status == 200 and b"id: 20\n" not in body
                status = INCOMPLETE if is_incomplete else response.status
        except aiohttp.ClientConnectorError:
            status = REFUSED
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass  # incomplete response
        return Attempt(sent_s, clocks.now_s() - sent_s, status)

    def served_between(self, first_s, end_s):
        """Return the numbers of requests sent within a time range, and served."""
        in_range = [
            attempt for attempt in self.attempts if first_s <= attempt.sent_s < end_s
        ]
        return len(in_range), sum(attempt.status == 200 for attempt in in_range)

    def served_by_second(self, since_s):
        """Return the numbers of requests sent and served per second since a time."""
        sent_s = [attempt.sent_s - since_s for attempt in self.attempts]
        if not sent_s:
            return {}
        return {
            second: self.served_between(since_s + second, since_s + second + 1)
            for second in range(math.floor(min(sent_s)), math.floor(max(sent_s)) + 1)
        }

    def recovery_s(self, since_s):
        """Return the time after which nearly all requests are served, in seconds."""
        recovered_s = math.inf
        for second, (sent, served) in reversed(self.served_by_second(since_s).items()):
            if second < 0 or served < RECOVERED_FRACTION * sent:
                break
            recovered_s = second
        return recovered_s


def _runner_plan(count):
    """Return the kinds and zones of the runners."""
    total = sum(KIND_PERCENTAGES.values())
    kinds = [
        kind
        for kind, percentage in KIND_PERCENTAGES.items()
        for _ in range(round(percentage * count / total) or 1)
    ]
    return [(kind, ZONES[number % len(ZONES)]) for number, kind in enumerate(kinds)]
