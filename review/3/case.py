# SPDX-License-Identifier: MIT
"""More clients come at once, with bodies within the limit; the routers run over."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

from pathlib import Path
from typing import Any


sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from site_parts import ID, LIMITS, Router, Runner, Site, in_time
from wire import HOST


_RECORD = Path(__file__).with_name("record.txt")
_HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
_BODY_BYTES = 4_194_304
_WORK_S = 2.0
#: Clients at each router, usually and while many come at once: 1.67 times as many.
_USUAL = 6
_AT_ONCE = 10
_BURST_S = (6.0, 24.0)
_END_S = 30.0
_RESTART_S = 0.5
#: The rule allows three.
_ALLOWED = 3
_STATE: dict[str, Any] = {
    "Version": 1,
    "Routes": [
        {
            "Name": "receipt",
            "Host": "menu.example",
            "PathPrefix": "/receipt/",
            "Kind": "non_idempotent",
            "TimeoutMs": 8000,
            "TargetLatencyMs": 4000,
            "Priority": 0,
            "Service": "receipts",
            "MaxAttempts": 1,
            "AuthExempt": False,
        }
    ],
    "Services": [{"Name": "receipts", "HealthPath": "/health", "MaxConnections": 110}],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": _BODY_BYTES,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": "clinic", "ApiKeys": ["k1"], "Priority": 1}],
}


class Machine:
    """A machine of the platform: ends its router beyond the limit, starts it again."""

    def __init__(self, site: Site, router: Router) -> None:
        self._site = site
        self._router = router
        self.peak_mb = 0.0
        self.ends = 0

    def _resident_mb(self) -> float:
        """Return the memory of the router's process."""
        assert self._router.process is not None
        lines = Path(f"/proc/{self._router.process.pid}/status").read_text()
        kb = [line for line in lines.splitlines() if line.startswith("VmRSS")]
        return int(kb[0].split()[1]) / 1024 if kb else 0.0

    async def run(self) -> None:
        """Look after the router until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            resident_mb = self._resident_mb()
            self.peak_mb = max(self.peak_mb, resident_mb)
            if resident_mb <= LIMITS["MemoryMb"]:
                continue
            self.ends += 1
            self._router.signal(signal.SIGKILL)
            name, at_mb = self._router.name, round(resident_mb)
            self._site.note("over memory", router=name, resident_mb=at_mb)
            assert self._router.process is not None
            await self._router.process.wait()
            await asyncio.sleep(_RESTART_S)
            await self._router.start(self._site.folder)
            await self._router.wait_ready()


class Client:
    """Sends one request after the other over a kept connection."""

    def __init__(self, site: Site, router: Router, name: str) -> None:
        self._site = site
        self._router = router
        self._name = name
        self.statuses: list[int] = []
        #: Requests whose kept connection was closed without an answer.
        self.unanswered: list[str] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        number = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, self._router.front)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                while True:
                    number += 1
                    call_id = f"{self._name}-{number}"
                    await self._ask(reader, writer, call_id)
            except (OSError, EOFError):
                self.unanswered.append(call_id)
                self._site.note("closed without an answer", id=call_id)
            finally:
                writer.close()

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, call_id: str
    ) -> None:
        """Send one request, and take its answer.

        Raises:
            OSError: The connection broke.
            EOFError: It was closed without an answer.
        """
        lines = (
            "POST /receipt/1 HTTP/1.1",
            "Host: menu.example",
            f"{ID}: {call_id}",
            "Violethatch-Deadline-Ms: 8000",
            "Authorization: Token k1",
            f"Content-Length: {_BODY_BYTES}",
        )
        self._site.note("sent", id=call_id, router=self._router.name)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + b"x" * _BODY_BYTES)
        await writer.drain()
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = int(text.partition("content-length: ")[2].partition("\r\n")[0])
        await reader.readexactly(length)
        status = int(text.split(" ")[1])
        self.statuses.append(status)
        self._site.note("answered", id=call_id, status=status)


async def _run() -> int:
    """Let more clients come; tell whether requests that were passed on are lost."""
    site = Site(_RECORD)
    tasks: list[asyncio.Task[None]] = []
    try:
        await site.start()
        site.configure(_STATE)
        for number in range(3):
            runner = Runner(site, f"i-{number}", "receipts", work_s=_WORK_S)
            runner.fields["Slots"] = 40
            await site.add_runner(runner)
        routers = [await site.add_router(f"edge-{number}") for number in range(2)]
        await asyncio.sleep(2.0)
        machines = [Machine(site, router) for router in routers]
        tasks += [asyncio.create_task(machine.run()) for machine in machines]
        clients = [
            Client(site, router, f"{router.name}-c{number}")
            for router in routers
            for number in range(_AT_ONCE)
        ]
        usual = [one for n, one in enumerate(clients) if n % _AT_ONCE < _USUAL]
        tasks += [asyncio.create_task(one.run()) for one in usual]
        await asyncio.sleep(_BURST_S[0])
        more = [
            asyncio.create_task(one.run())
            for one in clients
            if one not in usual and _HAS_TROUBLE
        ]
        site.note("burst", clients=len(usual) + len(more))
        await asyncio.sleep(_BURST_S[1] - _BURST_S[0])
        for task in more:
            task.cancel()
        site.note("burst over")
        await asyncio.sleep(_END_S - _BURST_S[1])
        passed_on = {line["id"] for line in site.noted("run")}
        lost = [
            call_id
            for one in clients
            for call_id in one.unanswered
            if call_id in passed_on
        ]
        served = sum(one.statuses.count(200) for one in clients)
        ends = [machine.ends for machine in machines]
        peaks = [round(machine.peak_mb) for machine in machines]
        site.note(
            "verdict", passed_on_and_lost=len(lost), served=served, ends=ends, mb=peaks
        )
        print(f"{len(lost)} lost, {served} served, {ends} ends, {peaks} MB")
        if not served:
            return 2
        return 1 if len(lost) > _ALLOWED else 0
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await site.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(in_time(_run(), _RECORD)))
