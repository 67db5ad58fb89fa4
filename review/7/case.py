# SPDX-License-Identifier: MIT
"""Servers that are gone from the list soon after the store turned a machine away.

Deployments of one machine each play side by side, since the time of a machine's next
read is drawn at random.  In each a server's entry goes, and it serves on.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time

import aiohttp

from aiohttp import web


ROOT = pathlib.Path(__file__).resolve().parents[2]
RECORD = pathlib.Path(__file__).with_name("record.txt")
TROUBLE = os.environ.get("TROUBLE") != "0"
UNITS = 28
CYCLES = 12
DRAIN_S = 2.0
CONTACT_S = 3.0
CALM_S, AWAY_S, LEAVES_AFTER_S = 1.2, 3.0, 0.3
#: How long a server serves on after its entry went.
SERVES_ON_S = 3.4
#: Between which times after the return requests are sent more often.
DENSE_S = (2.7, 3.6)
PAUSE_S, DENSE_PAUSE_S = 0.2, 0.03
#: What the check grants beyond the rule's bounds, for this process's own delays.
SLACK_S = 0.05
ID = "Violethatch-Attempt-Id"
PORTS = (12_000, 31_000)
FIELDS = {
    "Node": "edge-1",
    "Zone": "a",
    "Region": "r",
    "Ip": "127.0.0.1",
    "Bounds.RevokeMs": "5000",
    "Bounds.GraceS": "8",
    "Bounds.stall_ms": "3000",
    "Bounds.DrainMs": "2000",
    "Bounds.ConfigApplyMs": "2000",
    "Bounds.RetryBudgetRatio": "0.2",
    "Bounds.RetrySlack": "200",
    "Limits.MemoryMb": "300",
    "Limits.MaxFds": "4100",
    "Limits.LinkMbps": "1000.0",
    "Limits.CpuShare": "0.537",
}
CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Name": "fetch",
            "Host": "shop.example",
            "PathPrefix": "/fetch/",
            "Kind": "safe",
            "TimeoutMs": 2000,
            "TargetLatencyMs": 400,
            "Priority": 1,
            "MaxAttempts": 2,
            "Service": "labels",
        }
    ],
    "Services": [{"Name": "labels", "MaxConnections": 110}],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": "t", "ApiKeys": ["k"]}],
}
lines: list[str] = []
taken_ports: set[int] = set()
began_s = time.monotonic()


def note(text):
    """Add a line to the record."""
    lines.append(f"{time.monotonic() - began_s:8.3f} {text}")


def free_ports(count):
    """Return free ports outside the range that the system gives to callers."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken_ports:
            taken_ports.add(port)
            ports.append(port)
    return ports


async def serve(handler, runners):
    """Serve all requests by a handler; return the port."""
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    runners.append(runner)
    return runner.addresses[0][1]


class Store:
    """The platform's rows; it may turn the machine away with 503."""

    def __init__(self):
        self.rows = {}
        self.ver = 0
        self.is_away = False
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row, or remove it if the value is None."""
        self.ver += 1
        self.rows[table, key] = (value, self.ver)
        self.wake()

    def wake(self):
        """Wake the reads that wait."""
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key):
        """Return a row as it is told."""
        value, ver = self.rows.get((table, key), (None, 0))
        told = {"table": table, "part": "", "Key": key, "ver": ver}
        return told | ({"gone": True} if value is None else {"Value": value})

    def answer(self, rows, status=200):
        """Return an answer."""
        now_ms = int(time.monotonic() * 1000)
        body = {"Rows": rows, "more": False, "ver": self.ver, "now_ms": now_ms}
        return web.json_response(body, status=status)

    async def handle(self, request):
        """Answer a call."""
        call = request.path.rpartition("/")[2]
        if self.is_away:
            return web.Response(status=503)
        if call == "rows-get":
            table, start = request.query["table"], request.query.get("From", "")
            keys = sorted(
                key
                for (name, key), (value, _) in self.rows.items()
                if name == table and value is not None and key >= start
            )
            limit = int(request.query.get("limit", 500))
            return self.answer([self.row(table, key) for key in keys[:limit]])
        if call == "rows-feed":
            table, after = request.query["table"], int(request.query["StartAfter"])
            until_s = time.monotonic() + int(request.query["WaitMs"]) / 1000
            while True:
                if self.is_away:
                    return web.Response(status=503)
                changed = self.changed
                keys = [
                    (ver, key)
                    for (name, key), (_, ver) in self.rows.items()
                    if name == table and ver > after
                ]
                left_s = until_s - time.monotonic()
                if keys or left_s <= 0:
                    rows = [self.row(table, key) for _, key in sorted(keys)]
                    return self.answer(rows)
                try:
                    await asyncio.wait_for(changed.wait(), left_s)
                except TimeoutError:
                    continue
        body = await request.json()
        for one in body["ExpectedRevision"]:
            if self.row(one["table"], one["Key"])["ver"] != one["ver"]:
                return self.answer([self.row(one["table"], one["Key"])], status=412)
        for one in body["put"]:
            self.put(one["table"], one["Key"], one["Value"])
        for one in body["Remove"]:
            self.put(one["table"], one["Key"], None)
        return self.answer([])


def encoded(value):
    """Return a row's value."""
    return base64.b64encode(json.dumps(value).encode()).decode()


class Unit:
    """A deployment of one machine."""

    def __init__(self, number, folder):
        self.number = number
        self.folder = folder
        self.store = Store()
        self.runners = []
        self.arrivals = []
        self.late = []
        self.answers = {}
        self.process = None
        self.pause_s = PAUSE_S

    async def server(self, name):
        """Start a server and list it."""

        async def handle(request):
            call_id = request.headers.get(ID, "")
            if request.headers.get("Violethatch-Target-Instance", name) != name:
                return web.Response(status=421, headers={ID: call_id})
            self.arrivals.append((name, time.monotonic()))
            headers = {ID: call_id, "Violethatch-Response-Signature": f"by-{name}"}
            return web.Response(text="ok", headers=headers)

        port = await serve(handle, self.runners)
        entry = {
            "Service": "labels",
            "Address": f"127.0.0.1:{port}",
            "Zone": "a",
            "Version": 1,
            "Slots": 6,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
        }
        self.store.put("servers", name, encoded(entry))
        return self.runners[-1]

    async def start(self, http):
        """Start all; return once the router is ready."""
        store_port = await serve(self.store.handle, self.runners)
        self.store.put("op", "config", encoded(CONFIG))
        await self.server("stays")
        front, ready, metrics, peers = free_ports(4)
        fields = FIELDS | {
            "Listen.Front": f"127.0.0.1:{front}",
            "Listen.Ready": f"127.0.0.1:{ready}",
            "InternalPorts.0": str(metrics),
            "InternalPorts.1": str(peers),
            "Platform.Address": f"127.0.0.1:{store_port}",
        }
        text = (ROOT / "deploy" / "router.ini").read_text()
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda gap: fields[gap[1]], text)
        settings = self.folder / f"router-{self.number}.ini"
        settings.write_text(text)
        with (self.folder / f"router-{self.number}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-OO", "-m", "violethatch.platform"),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": "target/deps",
                    "VIOLETHATCH_BOOT": str(settings),
                },
                stdout=log,
                stderr=log,
            )
        self.url = f"http://127.0.0.1:{front}/fetch/1"
        async with asyncio.timeout(30):
            while True:
                try:
                    url = f"http://127.0.0.1:{ready}/api/readiness"
                    async with http.get(url) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def call(self, http):
        """Send requests all the time."""
        count = 0
        while True:
            count += 1
            headers = {
                "Host": "shop.example",
                "Authorization": "Token k",
                "Violethatch-Deadline-Ms": "2000",
                ID: f"{self.number:02x}{count:06x}",
            }
            try:
                async with http.get(self.url, headers=headers) as answer:
                    await answer.read()
                    status = str(answer.status)
            except aiohttp.ClientError as error:
                status = type(error).__name__
            self.answers[status] = self.answers.get(status, 0) + 1
            await asyncio.sleep(self.pause_s)

    async def cycle(self, number):
        """Turn the machine away for a while; then a server goes without a word."""
        name = f"leaves-{number}"
        server = await self.server(name)
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            self.store.is_away = True
            self.store.wake()
            await asyncio.sleep(AWAY_S)
            self.store.is_away = False
        back_s = time.monotonic()
        await asyncio.sleep(LEAVES_AFTER_S)
        gone_s = time.monotonic()
        self.store.put("servers", name, None)
        await asyncio.sleep(back_s + DENSE_S[0] - time.monotonic())
        self.pause_s = DENSE_PAUSE_S
        await asyncio.sleep(back_s + DENSE_S[1] - time.monotonic())
        self.pause_s = PAUSE_S
        await asyncio.sleep(max(0.0, gone_s + SERVES_ON_S - time.monotonic()))
        bound_s = gone_s + DRAIN_S + SLACK_S
        if TROUBLE:
            bound_s = max(bound_s, back_s + CONTACT_S + SLACK_S)
        came = [at_s for one, at_s in self.arrivals if one == name]
        late = [at_s - gone_s for at_s in came if at_s > bound_s]
        self.late += late
        last = max(came, default=gone_s) - gone_s
        note(
            f"unit {self.number} {name}: {len(came)} requests, the last one"
            f" {last:.3f} s after its entry went; {len(late)} beyond the bound"
        )
        await server.cleanup()

    async def play(self, http):
        """Play all cycles."""
        calling = asyncio.create_task(self.call(http))
        await asyncio.sleep(0.05 * self.number)
        for number in range(CYCLES):
            await self.cycle(number)
        calling.cancel()
        await asyncio.gather(calling, return_exceptions=True)

    async def stop(self):
        """End all that was started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        for runner in self.runners:
            await runner.cleanup()


async def main():
    """Play the case; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        units = [Unit(number, pathlib.Path(folder)) for number in range(UNITS)]
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as http:
            try:
                await asyncio.gather(*(one.start(http) for one in units))
                note(f"all ready; trouble: {TROUBLE}")
                await asyncio.gather(*(one.play(http) for one in units))
            except (TimeoutError, OSError) as error:
                note(f"could not run: {error!r}")
                return 2
            finally:
                await asyncio.gather(*(one.stop() for one in units))
    for one in units:
        note(f"unit {one.number}: answers {one.answers}")
    late = [late for one in units for late in one.late]
    note(
        f"requests beyond the bound: {len(late)}, at most {max(late, default=0):.3f} s"
    )
    return 1 if late else 0


if __name__ == "__main__":
    code = asyncio.run(main())
    RECORD.write_text("\n".join(lines) + f"\nexit {code}\n")
    sys.exit(code)
