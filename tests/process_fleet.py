# SPDX-License-Identifier: MIT
"""Router processes with the deployed settings before runners in processes of their own.

The test's event loop serves the store and reads as the callers, and nothing else.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys

import aiohttp

from linked_fleet import Instance
from own_ports import free_ports
from test_platform_process import Site
from test_platform_wire import CONFIG
from test_router_settings import filled_here


STREAM_PATH = "/draft/1"
#: Streams that no second run may go on with.
FINAL_PATH = "/final/1"
STREAM_ROUTE = dict(CONFIG["Routes"][0], TrafficSplit=[], Service="model")
FINAL_ROUTE = dict(STREAM_ROUTE, Name="final", PathPrefix="/final/", StreamResume=False)
ROUTES = [STREAM_ROUTE, FINAL_ROUTE]


def many_routes(count):
    """Return the usual routes and *count* that nobody asks for."""
    more = [
        dict(STREAM_ROUTE, Name=f"n{n}", PathPrefix=f"/n{n}/") for n in range(count)
    ]
    return [*ROUTES, *more]


class RunnerProcess:
    """A stand-in runner as a process.

    Args:
        name: Names the process and its lifetime.
        event_count: How many events a whole stream has.
        pause_s: The time between events, in seconds.
        entry: Fields of its entry that differ from a model runner's.
        deadly_prefix: Parts of prompts whose ids begin so end the process.
    """

    def __init__(
        self, name, *, event_count=80, pause_s=0.05, entry=None, deadly_prefix=""
    ):
        self.name = name
        self.deadly_prefix = deadly_prefix
        self.entry = entry or {}
        self.event_count = event_count
        self.pause_s = pause_s
        self.port = 0
        self.process = None

    async def start(self, log):
        """Start the process and wait until it listens.

        Args:
            log: The file that its messages go to.
        """
        with log.open("ab") as messages:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "violethatch_emulator", "path-runner", self.name),
                *("--event-count", str(self.event_count)),
                *("--pause-s", str(self.pause_s)),
                *(
                    ("--deadly-prefix", self.deadly_prefix)
                    if self.deadly_prefix
                    else ()
                ),
                stdout=asyncio.subprocess.PIPE,
                stderr=messages,
            )
        self.port = json.loads(await self.process.stdout.readline())["port"]

    def _deadly_options(self):
        """Return the options that make parts of prompts end the process."""
        return ("--deadly-prefix", self.deadly_prefix) if self.deadly_prefix else ()

    async def stop(self):
        """End the process."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def signal(self, number):
        """Send a signal to the process, if it is there."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stand_still(self, for_s):
        """Let the whole process stand still for a while."""
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.signal(signal.SIGCONT)

    async def pause(self, http, for_s):
        """Have the runner write nothing for a while; it answers reports."""
        url = f"http://127.0.0.1:{self.port}/stand-in/pause?for_s={for_s}"
        async with http.post(url) as answer:
            await answer.read()

    async def runs(self, http):
        """Return what the runner has run."""
        url = f"http://127.0.0.1:{self.port}/stand-in/runs"
        async with http.get(url) as answer:
            return await answer.json()


class ProcessFleet(Site):
    """Router processes, and the runner processes behind them.

    Args:
        path: Where settings and logs are kept.
        runners: The runners, not started yet.
        router_count: How many routers there are.
    """

    def __init__(self, path, runners, *, router_count=1):
        super().__init__(path)
        self.path.mkdir(exist_ok=True)
        #: By name, the runners that are listed.
        self.runners = {}
        self.all_runners = list(runners)
        self.router_count = router_count
        self.routes = ROUTES
        self.instances = []

    async def start(self):
        """Start everything and wait until each router is ready."""
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.store_port = await self._serve(self.store.application())
        await asyncio.gather(*(self.start_runner(one) for one in self.all_runners))
        self.configure(version=1, routes=self.routes)
        for number in range(self.router_count):
            await self._start_instance(f"edge-{number}")
        for one in self.instances:
            await self._wait_ready(one)

    async def stop(self):
        """End what was started."""
        for one in self.instances:
            one.signal(signal.SIGKILL)
            if one.process is not None:
                await one.process.wait()
        for one in self.all_runners:
            await one.stop()
        await super().stop()

    async def start_runner(self, runner):
        """Start a runner and list it."""
        await runner.start(self.path / f"{runner.name}.log")
        self.runners[runner.name] = runner
        self.addresses[runner.name] = f"127.0.0.1:{runner.port}"
        self.list_server(runner.name, **runner.entry)

    def unlist(self, runner):
        """Take a runner's entry away."""
        del self.runners[runner.name]
        self.store.remove("servers", runner.name)

    async def _start_instance(self, name):
        """Start a router with the deployed settings."""
        ports = free_ports(4)
        front, ready, metrics, _ = ports
        store = f"127.0.0.1:{self.store_port}"
        text = filled_here(ports, {"Node": name}, store=store)
        settings = self.path / f"{name}.ini"
        settings.write_text(text)
        instance = Instance(
            name, [], settings, front=front, ready=ready, metrics=metrics
        )
        self.instances.append(instance)
        await instance.start()

    async def _wait_ready(self, instance):
        """Wait until a router says that it is ready."""
        self.ready = instance.ready
        await self.wait_ready(200)

    async def wait_version(self, instance, version):
        """Wait until a router has a desired state in force."""
        url = f"http://127.0.0.1:{instance.metrics}/state"
        async with asyncio.timeout(15):
            while True:
                async with self.http.get(url) as answer:
                    state = await answer.json(content_type=None)
                if state["state_version"] == version:
                    return
                await asyncio.sleep(0.1)

    async def runs(self):
        """Return what all runners have run."""
        told = [one.runs(self.http) for one in self.runners.values()]
        return [run for runs in await asyncio.gather(*told) for run in runs]
