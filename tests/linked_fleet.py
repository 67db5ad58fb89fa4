# SPDX-License-Identifier: MIT
"""Router processes that share a store, each with links of its own to each server."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import sys

from pathlib import Path
from typing import NamedTuple

import aiohttp

from aiohttp import web

from own_ports import free_ports
from test_platform_process import HEADERS, ID, Site
from test_platform_wire import CONFIG, ENGINE
from test_router_settings import filled_here
from violethatch import clocks
from violethatch_emulator.faults import FaultProxy
from violethatch_emulator.path_runner import PathRunner


#: How links are lost.
RESET = "reset"
HANG = "hang"
#: Open connections live on, new ones are reset.
LIVE_ON = "live-on"
WAYS = (RESET, HANG, LIVE_ON)

STREAM_PATH = "/draft/1"
PLAIN_PATH = "/labels/1"
ONCE_PATH = "/print/1"
ROUTES = [
    dict(CONFIG["Routes"][0], TrafficSplit=[], Service="model"),
    {
        "Name": "labels",
        "Host": "menu.example",
        "PathPrefix": "/labels/",
        "Kind": "safe",
        "TimeoutMs": 4000,
        "TargetLatencyMs": 400,
        "MaxAttempts": 2,
        "Service": "labels",
    },
    dict(CONFIG["Routes"][1], TimeoutMs=4000),
]
SERVICES = [
    {"Name": "model", "Engine": ENGINE},
    {"Name": "labels", "MaxConnections": 110, "HealthPath": "/health"},
]


class Try(NamedTuple):
    """One request of a caller, and what came of it."""

    instance: str
    call_id: str
    path: str
    sent_s: float
    took_s: float
    status: int


class Instance:
    """One router process, its links to the servers and its port for callers."""

    def __init__(self, name, links, settings, *, front, ready, metrics):
        self.name = name
        self.links = links
        self.settings = settings
        self.front = front
        self.ready = ready
        self.metrics = metrics
        self.log = settings.with_suffix(".log")
        self.process = None
        #: Variables beside those of the test.
        self.environment = {}

    async def start(self):
        """Start the process; its lines go on in its log."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "violethatch.platform",
                env=os.environ
                | {"VIOLETHATCH_BOOT": str(self.settings)}
                | self.environment,
                stdout=log,
            )

    def signal(self, number):
        """Send a signal to the process, if it is there."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def cut(self, way):
        """Lose the links to all servers."""
        for proxy in self.links:
            if way == RESET:
                proxy.cut()
            elif way == HANG:
                proxy.freeze()
            else:
                proxy.is_cut = True

    def heal(self):
        """Have the links back."""
        for proxy in self.links:
            proxy.heal()

    def waits(self):
        """Return for how long and how often the process waited for a processor.

        The time is in seconds; both are 0 where the kernel doesn't tell.
        """
        try:
            text = Path(f"/proc/{self.process.pid}/schedstat").read_text()
        except FileNotFoundError:
            return 0.0, 0
        _, waited_ns, times = text.split()
        return int(waited_ns) / 1e9, int(times)

    def lines(self, number):
        """Return the lines of one event."""
        lines = self.log.read_text().splitlines()
        return [json.loads(one) for one in lines if f'"number":{number},' in one]


class LinkedFleet(Site):
    """Instances before two model runners and two plain servers.

    Args:
        path: Where settings and logs are kept.
        zones: The zone of each instance.
        at_once: How many processes start side by side: on a busy machine more of them
            delay each other beyond the time that a start may take.
    """

    def __init__(self, path, *, zones=("heredia", "heredia", "cartago"), at_once=16):
        super().__init__(path)
        self.zones = zones
        self.at_once = at_once
        self.instances = []
        self.runners |= {name: PathRunner(name) for name in ("p-1", "p-2")}

    async def start(self):
        """Start everything, and wait until each instance serves and knows others."""
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        )
        for name, runner in self.runners.items():
            runner.layers = (0, 80)
            port = await self._serve(runner.application())
            self.addresses[name] = f"127.0.0.1:{port}"
            if name.startswith("p"):
                self.list_server(name, Service="labels", Kind="", layers=None)
            else:
                self.list_server(name)
        self.put_state(1)
        for first in range(0, len(self.zones), self.at_once):
            for number, zone in enumerate(self.zones[first : first + self.at_once]):
                await self._start_instance(f"edge-{first + number}", zone)
            for one in self.instances[first:]:
                await self._wait_ready(one)
        # Instances read their table again some time after their start.
        await asyncio.sleep(2.0)

    async def stop(self):
        """End what was started."""
        for one in self.instances:
            one.signal(signal.SIGCONT)
            one.signal(signal.SIGKILL)
            if one.process is not None:
                await one.process.wait()
            for proxy in one.links:
                await proxy.stop()
        await super().stop()

    def put_state(self, version, *, keys=("k1",)):
        """Write a desired state."""
        state = dict(CONFIG, Version=version, Routes=ROUTES, Services=SERVICES)
        state["Tenants"] = [{"Name": "clinic", "ApiKeys": list(keys)}]
        self.store.put("op", "config", state)

    async def _start_instance(self, name, zone):
        """Start an instance whose store tells it the addresses of its own links."""
        links = {}
        for server, address in self.addresses.items():
            proxy = FaultProxy(port=int(address.rpartition(":")[2]))
            links[server] = proxy
            await proxy.start()
        store = self.store.application()
        store.middlewares.append(_with_own_links(links))
        store_port = await self._serve(store)
        ports = free_ports(4)
        front, ready, metrics, _ = ports
        text = filled_here(
            ports,
            {"Node": name, "Zone": zone, "Bounds.GraceS": "4"},
            store=f"127.0.0.1:{store_port}",
        )
        settings = self.path / f"{name}.ini"
        settings.write_text(text)
        instance = Instance(
            name,
            list(links.values()),
            settings,
            front=front,
            ready=ready,
            metrics=metrics,
        )
        self.instances.append(instance)
        await instance.start()

    async def _wait_ready(self, instance):
        """Wait until an instance says that it is ready."""
        self.ready = instance.ready
        await self.wait_ready(200)

    async def state_of(self, instance):
        """Return an instance's state."""
        url = f"http://127.0.0.1:{instance.metrics}/state"
        async with self.http.get(url) as answer:
            return await answer.json(content_type=None)

    async def try_once(self, instance, call_id, *, path=STREAM_PATH, **headers):
        """Send a request to an instance; return what came of it."""
        sent_s = clocks.now_s()
        try:
            async with self.http.post(
                f"http://127.0.0.1:{instance.front}{path}",
                data=b"a menu",
                headers=HEADERS | {ID: call_id} | headers,
            ) as answer:
                await answer.read()
                status = answer.status
        except (aiohttp.ClientError, OSError):
            status = 0
        took_s = clocks.now_s() - sent_s
        return Try(instance.name, call_id, path, sent_s, took_s, status)

    async def call_steadily(self, instance, *, path=STREAM_PATH, for_s, pause_s=0.1):
        """Send a request each *pause_s*; return what came of each."""
        tries = []
        until_s = clocks.now_s() + for_s
        number = 0
        while clocks.now_s() < until_s:
            call_id = f"{instance.name}{path.replace('/', '-')}-{number}-{until_s:.3f}"
            call = self.try_once(instance, call_id, path=path)
            tries.append(asyncio.create_task(call))
            number += 1
            await asyncio.sleep(pause_s)
        return await asyncio.gather(*tries)


def _with_own_links(links):
    """Return a middleware that tells an instance the addresses of its own links."""

    @web.middleware
    async def rewrite(request, handler):
        answer = await handler(request)
        if answer.status != 200 or b'"servers"' not in (answer.body or b""):
            return answer
        body = json.loads(answer.body)
        for row in body.get("Rows", ()):
            if row["table"] == "servers" and "Value" in row:
                value = json.loads(base64.b64decode(row["Value"]))
                value["Address"] = f"127.0.0.1:{links[row['Key']].port}"
                row["Value"] = base64.b64encode(json.dumps(value).encode()).decode()
        headers = {
            name: value
            for name, value in answer.headers.items()
            if name.lower() not in ("content-length", "content-type")
        }
        return web.json_response(body, headers=headers)

    return rewrite
