# SPDX-License-Identifier: MIT
"""A client goes on with a broken stream; the router drops its `Last-Event-Id`."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

from pathlib import Path
from typing import Any


sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from site_parts import ENGINE, EngineRunner, Router, Runner, Site, give_events, in_time
from wire import Connection, Request


_RECORD = Path(__file__).with_name("record.txt")
_HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
_STREAMS = 24
_EVENTS = 20
#: A model that fits on one card, so that each path is one runner.
_LAYERS = 20
_STATE: dict[str, Any] = {
    "Version": 1,
    "Routes": [
        {
            "Name": "draft",
            "Host": "menu.example",
            "PathPrefix": "/draft/",
            "Kind": "streaming",
            "TimeoutMs": 20000,
            "TargetLatencyMs": 500,
            "Priority": 1,
            "TrafficSplit": [
                {"Service": "model", "Weight": 50},
                {"Service": "drafts", "Weight": 50},
            ],
            "MaxAttempts": 2,
            "AuthExempt": False,
            "StreamResume": True,
            "gap_aim_ms": 200,
        }
    ],
    "Services": [
        {
            "Name": "model",
            "HealthPath": "/health",
            "MaxConnections": 1138,
            "Engine": {**ENGINE, "layers": _LAYERS},
        },
        {"Name": "drafts", "HealthPath": "/health", "MaxConnections": 110},
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": "clinic", "ApiKeys": ["k1"], "Priority": 1}],
}


class PlainStreamRunner(Runner):
    """A runner of a service without an engine that gives streams."""

    async def run(self, request: Request, connection: Connection, call_id: str) -> None:
        """Give a stream's events after the one that the request names."""
        await give_events(
            self, request, connection, call_id, count=_EVENTS, pause_s=0.02
        )


class Client:
    """Takes one stream; goes on after the last event when its connection breaks.

    Args:
        site: Where it is.
        routers: The routers, in the order in which it tries them.
        number: Its number.
    """

    def __init__(self, site: Site, routers: list[Router], number: int) -> None:
        self._site = site
        self._routers = routers
        self._number = number
        self._rest = b""
        self.ids: list[int] = []
        self.is_whole = False

    async def take(self) -> None:
        """Take the stream, with one retry."""
        for attempt, router in enumerate(self._routers):
            self._rest = b""
            resume = {"Last-Event-Id": str(self.ids[-1])} if self.ids else {}
            call_id = f"s{self._number}-{attempt}"
            answer = await self._site.call(
                router, call_id, "/draft/1", headers=resume, on_part=self._on_part
            )
            self._site.note("stream", id=call_id, asked_after=resume, has=self.ids)
            if answer.status == 200 and answer.is_whole:
                self.is_whole = True
                return

    def _on_part(self, part: bytes) -> None:
        """Take bytes in."""
        *events, self._rest = (self._rest + part).split(b"\n\n")
        self.ids += [int(event.split(b"\n")[0][4:]) for event in events]


async def _run() -> int:
    """Kill a router under its streams; tell whether a client gets events twice."""
    site = Site(_RECORD)
    try:
        await site.start()
        site.configure(_STATE)
        for number in range(2):
            held = EngineRunner(
                site, f"m-{number}", "model", layers=(0, _LAYERS), events=_EVENTS
            )
            await site.add_runner(held)
            await site.add_runner(PlainStreamRunner(site, f"p-{number}", "drafts"))
        routers = [await site.add_router(f"edge-{number}") for number in range(2)]
        await asyncio.sleep(2.0)
        clients = [Client(site, routers, number) for number in range(_STREAMS)]
        streams = asyncio.gather(*(client.take() for client in clients))
        await asyncio.sleep(0.6)
        if _HAS_TROUBLE:
            routers[0].signal(signal.SIGKILL)
            site.note("killed", router=routers[0].name)
        await streams
        wanted = list(range(1, _EVENTS + 1))
        if not any(client.is_whole and client.ids == wanted for client in clients):
            return 2
        wrong = [client.ids for client in clients if len(client.ids) > _EVENTS]
        site.note("verdict", streams_with_events_twice=len(wrong), first=wrong[:1])
        print(f"{len(wrong)} of {_STREAMS} streams have events twice")
        return 1 if wrong else 0
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(in_time(_run(), _RECORD)))
