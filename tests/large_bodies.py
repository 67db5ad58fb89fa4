# SPDX-License-Identifier: MIT
"""Router processes under many large bodies, watched for their memory."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import sys
import time

import aiohttp

from aiohttp import web

from own_ports import free_ports
from test_platform_process import ID, Site
from test_platform_wire import CONFIG
from test_router_settings import filled_here


BODY_BYTES = 4_194_304
MEMORY_MB = 300
#: Calls that may run once; answers of any size.
PRINT_ROUTE = dict(
    CONFIG["Routes"][1], TimeoutMs=8000, TargetLatencyMs=4000, AuthExempt=True
)
SAFE_ROUTE = dict(
    PRINT_ROUTE, Name="safe", PathPrefix="/safe/", Kind="safe", MaxAttempts=2
)
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": BODY_BYTES,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


def resident_mb(pid):
    """Return the memory of a process, in MB."""
    with contextlib.suppress(OSError):
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * 1024 / 1_000_000
    return 0.0


class PlainServer:
    """A server of a plain service that works for a while and gives large answers."""

    def __init__(self, *, work_s=2.0, answer_bytes=100):
        self.work_s = work_s
        self.answer_bytes = answer_bytes
        self.seen = []

    def application(self):
        """Return the server's HTTP application."""
        app = web.Application(client_max_size=64 * BODY_BYTES)
        app.router.add_route("*", "/{path:.*}", self._run)
        return app

    async def _run(self, request):
        """Run one request."""
        self.seen.append(request.headers[ID])
        size = 0
        async for part in request.content.iter_any():
            size += len(part)
        await asyncio.sleep(0.05 if "small" in request.path else self.work_s)
        answer_bytes = 100 if "small" in request.path else self.answer_bytes
        headers = {
            ID: request.headers[ID],
            "Violethatch-Response-Signature": "proof",
            "Body-Bytes": str(size),
        }
        return web.Response(body=b"y" * answer_bytes, headers=headers)


class Tally:
    """What callers of one router got."""

    def __init__(self):
        self.served = 0
        self.refused = 0
        self.failed = []
        self.lost = []
        self.small_s = []
        self.small_failed = []


class LargeBodiesSite(Site):
    """A store, plain servers and router processes with a limit on their memory."""

    def __init__(self, path, *, routers=2, work_s=2.0, answer_bytes=100):
        super().__init__(path)
        self.servers = [
            PlainServer(work_s=work_s, answer_bytes=answer_bytes) for _ in range(3)
        ]
        self.router_count = routers
        self.processes = []
        self.fronts = []
        self.metrics_ports = []
        self.peaks_mb = []
        self.tally = Tally()

    async def start(self, *, version=1, routes=None, **fields):
        """Start everything and wait until each router is ready."""
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        store_port = await self._serve(self.store.application())
        self.configure(
            version=version, routes=routes or [PRINT_ROUTE, SAFE_ROUTE], limits=LIMITS
        )
        for number, server in enumerate(self.servers):
            port = await self._serve(server.application())
            entry = {
                "Service": "labels",
                "Address": f"127.0.0.1:{port}",
                "Zone": "heredia",
                "Slots": 40,
                "State": "ready",
            }
            self.store.put("servers", f"p-{number}", entry)
        for number in range(self.router_count):
            await self._start_router(number, store_port, fields)

    async def _start_router(self, number, store_port, fields):
        """Start one router process."""
        ports = free_ports(4)
        front, self.ready, metrics, _ = ports
        text = filled_here(
            ports,
            {"Node": f"edge-{number}", "Limits.MemoryMb": str(MEMORY_MB)} | fields,
            store=f"127.0.0.1:{store_port}",
        )
        settings = self.path / f"router-{number}.ini"
        settings.write_text(text)
        log = self.path / f"router-{number}.log"
        with log.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "violethatch.platform",
                env=os.environ | {"VIOLETHATCH_BOOT": str(settings)},
                stdout=output,
            )
        self.processes.append(process)
        self.fronts.append(front)
        self.metrics_ports.append(metrics)
        self.peaks_mb.append(0.0)
        await self.wait_ready(200)

    async def stop(self):
        """End what was started."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        await super().stop()

    async def watch_memory(self):
        """Note each process's peak, until cancelled."""
        while True:
            for number, process in enumerate(self.processes):
                peak_mb = max(self.peaks_mb[number], resident_mb(process.pid))
                self.peaks_mb[number] = peak_mb
            await asyncio.sleep(0.01)

    def headers(self, call_id):
        """Return a request's headers."""
        return {
            "Host": "menu.example",
            ID: call_id,
            "Violethatch-Deadline-Ms": "8000",
        }

    async def call_steadily(self, number, name, *, path="/print/1", chunked=False):
        """Send large bodies to one router, one after the other, until cancelled."""
        body = b"x" * BODY_BYTES
        url = f"http://127.0.0.1:{self.fronts[number]}{path}"
        count = 0
        async with aiohttp.ClientSession() as http:
            while True:
                count += 1
                call_id = f"{name}-{count}"
                data = pieces(body) if chunked else body
                try:
                    async with http.post(
                        url, data=data, headers=self.headers(call_id)
                    ) as answer:
                        got = await answer.read()
                except (aiohttp.ClientError, OSError) as error:
                    self.tally.lost.append((call_id, repr(error)))
                    continue
                if answer.status == 200 and len(got) >= 100:
                    self.tally.served += 1
                    assert answer.headers["Body-Bytes"] == str(BODY_BYTES)
                elif answer.status == 503:
                    self.tally.refused += 1
                    await asyncio.sleep(float(answer.headers["Retry-After"]))
                else:
                    self.tally.failed.append((call_id, answer.status, got[:200]))

    async def call_small_steadily(self, number, name):
        """Send small requests beside the large ones, until cancelled."""
        url = f"http://127.0.0.1:{self.fronts[number]}/print/small"
        count = 0
        while True:
            count += 1
            call_id = f"{name}-{count}"
            began_s = time.monotonic()
            async with self.http.post(
                url, data=b"x" * 800, headers=self.headers(call_id)
            ) as answer:
                got = await answer.read()
            if answer.status == 200:
                self.tally.small_s.append(time.monotonic() - began_s)
            else:
                self.tally.small_failed.append((call_id, answer.status, got[:200]))
            await asyncio.sleep(0.05)

    async def play(self, *, clients, for_s, **options):
        """Have clients at each router send for a while."""
        tasks = [asyncio.create_task(self.watch_memory())]
        for number in range(self.router_count):
            tasks += [
                asyncio.create_task(
                    self.call_steadily(number, f"r{number}c{client}", **options)
                )
                for client in range(clients)
            ]
            tasks.append(
                asyncio.create_task(self.call_small_steadily(number, f"r{number}s"))
            )
        await asyncio.sleep(for_s)
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result


async def pieces(body):
    """Give a body without a length."""
    for start in range(0, len(body), 100_000):
        yield body[start : start + 100_000]
