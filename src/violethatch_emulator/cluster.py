# SPDX-License-Identifier: MIT
"""Starts real processes on loopback: entry instances, engines, the platform."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
import time

from collections.abc import Callable, Mapping
from types import TracebackType
from typing import Any, NamedTuple

import aiohttp

from .faults import FaultProxy
from .ledger import Ledger


OPERATORS_KEY = "operators-key-for-tests"
PEERS_KEY = "peers-key-for-tests"
_EMULATOR = ("-m", "violethatch_emulator")
_ENTRY = ("-m", "violethatch")
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 10.0


class RunnerPlan(NamedTuple):
    """A stand-in engine to start."""

    runner_id: str
    first: int
    end: int
    zone: str = "z1"
    base_s: float = 0.002
    stream_s: float = 0.0002
    batch_limit: int = 32
    checks_fence: bool = True
    version: str = "v1"
    kind: str = "a"
    link_s: float = 0.0


class Process:
    """A process that was started, and the ports that it said it listens on."""

    def __init__(
        self, process: asyncio.subprocess.Process, ports: dict[str, int]
    ) -> None:
        self._process = process
        self.ports = ports

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._process.pid

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        # Not the library's method: it may reap the process behind the loop's back.
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    async def kill(self) -> None:
        """Kill it at once."""
        self.send(signal.SIGKILL)
        await self._process.wait()

    async def terminate(self, *, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Ask it to end; return its exit status."""
        self.send(signal.SIGTERM)
        return await asyncio.wait_for(self._process.wait(), timeout_s)


class Cluster:
    """A violethatch installation on loopback, with everything around it.

    Use it as an asynchronous context manager: on leaving, all its processes
    are ended.

    Args:
        layer_count: The model's layers.
        list_lag_s: How far the instance list lags, in seconds.
        writes_per_s: How many transactions a second the table takes.
    """

    model = "menu"

    def __init__(
        self,
        *,
        layer_count: int = 6,
        list_lag_s: float = 0.2,
        writes_per_s: float = 100.0,
    ) -> None:
        self.layer_count = layer_count
        self._list_lag_s = list_lag_s
        self._writes_per_s = writes_per_s
        self._directory = tempfile.TemporaryDirectory(prefix="violethatch-")
        self.path = pathlib.Path(self._directory.name)
        self.processes: dict[str, Process] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self._listed: dict[str, dict[str, Any]] = {}

    async def __aenter__(self) -> Cluster:
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=60),
        )
        await self._start(
            "platform",
            _EMULATOR,
            "platform",
            f"--list-lag-s={self._list_lag_s}",
            f"--writes-per-s={self._writes_per_s}",
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in self.processes.values():
            await process.kill()
        for proxy in self.proxies.values():
            await proxy.stop()
        await self.http.close()
        self._directory.cleanup()

    @property
    def platform_port(self) -> int:
        """Where the platform listens."""
        return self.processes["platform"].ports["port"]

    async def add_proxy(self, name: str, port: int) -> FaultProxy:
        """Put a fault-injecting proxy before a port."""
        proxy = self.proxies[name] = FaultProxy(port=port)
        await proxy.start()
        return proxy

    async def start_runner(self, plan: RunnerPlan, *, proxied: bool = False) -> None:
        """Start an engine and list it."""
        options = {
            "runner_id": plan.runner_id,
            "model": self.model,
            "version": plan.version,
            "layers": [plan.first, plan.end],
            "layer_count": self.layer_count,
            "kind": plan.kind,
            "base_s": plan.base_s,
            "stream_s": plan.stream_s,
            "batch_limit": plan.batch_limit,
            "checks_fence": plan.checks_fence,
            "link_s": plan.link_s,
            "ledger_path": str(self.path / f"{plan.runner_id}.ledger"),
        }
        process = await self._start(
            plan.runner_id, _EMULATOR, "engine", json.dumps(options)
        )
        port = process.ports["port"]
        if proxied:
            port = (await self.add_proxy(plan.runner_id, port)).port
        await self.list_instance(plan.runner_id, "engine", port, zone=plan.zone)

    async def start_service(
        self,
        server_id: str,
        service: str,
        *,
        zone: str = "z1",
        delay_s: float = 0.0,
        proxied: bool = False,
    ) -> None:
        """Start a plain service's server and list it."""
        process = await self._start(
            server_id,
            _EMULATOR,
            "service",
            server_id,
            f"--delay-s={delay_s}",
            f"--ledger={self.path / f'{server_id}.calls'}",
        )
        port = process.ports["port"]
        if proxied:
            port = (await self.add_proxy(server_id, port)).port
        await self.list_instance(server_id, "service", port, zone=zone, service=service)

    async def start_entry(
        self,
        instance_id: str,
        *,
        zone: str = "z1",
        platform_port: int = 0,
        policy: Mapping[str, object] | None = None,
        limits: Mapping[str, object] | None = None,
        listen: Mapping[str, object] | None = None,
        program: tuple[str, ...] = _ENTRY,
        peers_proxied: bool = False,
    ) -> None:
        """Start an entry instance and list it.

        Args:
            instance_id: Its id.
            zone: Its availability zone.
            platform_port: The platform's port, or that of a proxy before it.
            policy: Settings of that section.
            limits: Settings of that section.
            listen: Settings of that section.
            program: What to run in place of the product.
            peers_proxied: Whether peers reach it through a proxy.
        """
        settings = self._settings_text(
            instance_id, zone, platform_port or self.platform_port
        )
        for section, values in (
            ("policy", policy),
            ("limits", limits),
            ("listen", listen),
        ):
            lines = [f"{key} = {value}" for key, value in (values or {}).items()]
            settings += "\n".join([f"[{section}]", *lines, ""])
        path = self.path / f"{instance_id}.ini"
        path.write_text(settings)
        process = await self._start(instance_id, program, "serve", f"--settings={path}")
        peers_port = process.ports["peers_port"]
        if peers_proxied:
            peers_port = (await self.add_proxy(f"{instance_id}-peers", peers_port)).port
        await self.list_instance(instance_id, "entry", peers_port, zone=zone)

    async def list_instance(
        self, name: str, role: str, port: int, *, zone: str = "z1", service: str = ""
    ) -> None:
        """Put an instance or backend server into the platform's list."""
        self._listed[name] = {
            "id": name,
            "role": role,
            "availability_zone": zone,
            "address": f"127.0.0.1:{port}",
            "service": service,
            "leaving": False,
        }
        await self._put_listed(name)

    async def list_leaving(self, name: str) -> None:
        """Have the list say that someone is leaving."""
        self._listed[name]["leaving"] = True
        await self._put_listed(name)

    async def unlist(self, name: str) -> None:
        """Take someone off the list."""
        del self._listed[name]
        url = f"http://127.0.0.1:{self.platform_port}/instances/{name}"
        async with self.http.delete(url) as answer:
            answer.raise_for_status()

    async def control(self, name: str, **wanted: object) -> None:
        """Change how the platform or a backend server behaves."""
        port = self.processes[name].ports["port"]
        url = f"http://127.0.0.1:{port}/control"
        async with self.http.post(url, json=wanted) as answer:
            answer.raise_for_status()

    async def status(self, name: str) -> Any:
        """Return what a stand-in says of itself."""
        port = self.processes[name].ports["port"]
        async with self.http.get(f"http://127.0.0.1:{port}/control") as answer:
            return await answer.json()

    def url(self, instance_id: str, path: str = "") -> str:
        """Return an entry instance's address for callers."""
        port = self.processes[instance_id].ports["callers_port"]
        return f"http://127.0.0.1:{port}{path}"

    async def operate(
        self, instance_id: str, method: str, path: str, body: object = None
    ) -> tuple[int, Any]:
        """Call an entry instance as an operator."""
        port = self.processes[instance_id].ports["operators_port"]
        async with self.http.request(
            method,
            f"http://127.0.0.1:{port}{path}",
            json=body,
            headers={"Authorization": f"Bearer {OPERATORS_KEY}"},
        ) as answer:
            return answer.status, await answer.json(content_type=None)

    async def declare(self, instance_id: str, intent: Mapping[str, object]) -> Any:
        """Plan an intent and confirm the plan."""
        _, plan = await self.operate(instance_id, "POST", "/plan", intent)
        confirmation = {
            "intent": intent,
            "base_revision": plan["base_revision"],
            "digest": plan["digest"],
        }
        status, answer = await self.operate(
            instance_id, "POST", "/confirm", confirmation
        )
        if status != 200:
            msg = f"confirmation failed: {answer}"
            raise RuntimeError(msg)
        return answer

    async def state(self, instance_id: str) -> Any:
        """Return an entry instance's state."""
        return (await self.operate(instance_id, "GET", "/state"))[1]

    async def wait_state(
        self,
        instance_id: str,
        check: Callable[[Any], bool],
        *,
        timeout_s: float = 20.0,
    ) -> Any:
        """Wait until an entry instance's state passes *check*."""
        give_up_s = time.monotonic() + timeout_s
        while True:
            state = await self.state(instance_id)
            if check(state):
                return state
            if time.monotonic() > give_up_s:
                msg = f"{instance_id} did not get there: {state}"
                raise TimeoutError(msg)
            await asyncio.sleep(0.05)

    async def wait_ready(self, *instance_ids: str, runners: int = 0) -> None:
        """Wait until instances know a configuration and so many runners."""
        for instance_id in instance_ids:
            await self.wait_state(
                instance_id,
                lambda state: (
                    state["revision"] > 0
                    and sum(item["connected"] for item in state["runners"]) >= runners
                ),
            )

    async def wait_services(self, *instance_ids: str, servers: int = 1) -> None:
        """Wait until instances know so many servers of plain services."""
        for instance_id in instance_ids:
            await self.wait_state(
                instance_id,
                lambda state: sum(state["service_servers"].values()) >= servers,
            )

    def ledger(self) -> Ledger:
        """Return what the engines ran so far."""
        return Ledger(self.path)

    def service_calls(self) -> list[str]:
        """Return the calls that plain services ran so far, a line each."""
        lines: list[str] = []
        for path in sorted(self.path.glob("*.calls")):
            lines += path.read_text().splitlines()
        return lines

    def log_of(self, name: str) -> str:
        """Return what a process logged so far."""
        return (self.path / f"{name}.log").read_text()

    async def _put_listed(self, name: str) -> None:
        url = f"http://127.0.0.1:{self.platform_port}/instances/{name}"
        async with self.http.put(url, json=self._listed[name]) as answer:
            answer.raise_for_status()

    async def _start(
        self, name: str, program: tuple[str, ...], *arguments: str
    ) -> Process:
        """Start a process and wait for the line that tells its ports."""
        with (self.path / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *program,
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), _START_TIMEOUT_S)
        if not line:
            await process.wait()
            msg = f"{name} did not start: {self.log_of(name)}"
            raise RuntimeError(msg)
        self.processes[name] = Process(process, json.loads(line))
        return self.processes[name]

    def _settings_text(self, instance_id: str, zone: str, platform_port: int) -> str:
        platform = f"http://127.0.0.1:{platform_port}"
        return (
            f"[instance]\nid = {instance_id}\navailability_zone = {zone}\n"
            f"[keys]\noperators_key = {OPERATORS_KEY}\npeers_key = {PEERS_KEY}\n"
            f"[platform]\ntable_url = {platform}/table\n"
            f"objects_url = {platform}/objects\n"
            f"instances_url = {platform}/instances\n"
        )
