# SPDX-License-Identifier: MIT
"""A router process before servers that answer with given bytes."""

from __future__ import annotations

import asyncio
import json

from test_platform_process import HEADERS, ID, Site
from test_platform_wire import CONFIG


STREAM, FINAL_STREAM = "/draft/1", "/final/1"
SAFE, ONCE = "/labels/1", "/print/1"
#: A stream that may be resumed, one that may not, a safe route, and one that may not
#: be repeated.
ROUTES = [
    dict(CONFIG["Routes"][0], TrafficSplit=[], Service="model"),
    dict(
        CONFIG["Routes"][0],
        Name="final",
        PathPrefix="/final/",
        TrafficSplit=[],
        Service="model",
        StreamResume=False,
    ),
    dict(
        CONFIG["Routes"][1],
        Name="labels",
        PathPrefix="/labels/",
        Kind="safe",
        MaxAttempts=2,
        TimeoutMs=20_000,
    ),
    dict(CONFIG["Routes"][1], TimeoutMs=20_000),
]
SOON_S = 5.0


def is_stream(path):
    """Return whether a path belongs to a route of streams."""
    return path in (STREAM, FINAL_STREAM)


class RawSite(Site):
    """A store, one router process, and servers that are listed later."""

    def __init__(self, path):
        super().__init__(path)
        self.runners = {}

    async def start(self, **fields):
        """Start the router with all routes."""
        await super().start(routes=ROUTES, **fields)

    async def stop(self):
        """End what was started; read the log's rest, so that its pipe is closed."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.communicate()
        await super().stop()

    async def list_servers(self, path, addresses):
        """List servers of a path's service; wait until the router knows them."""
        fields = {"Service": "labels", "Kind": "", "layers": None, "Slots": 900}
        for address in addresses:
            name = f"s-{len(self.addresses)}"
            self.addresses[name] = address
            self.list_server(name, **({} if is_stream(path) else fields))
        async with asyncio.timeout(SOON_S):
            while await self._known_servers() != len(self.addresses):
                await asyncio.sleep(0.02)

    async def _known_servers(self):
        """Return how many servers the router knows."""
        return json.loads(await self.fetch("/state"))["servers"]

    async def call(self, path, *, call_id="c1", method="POST"):
        """Send a call; return its answer's status and body."""
        async with (
            asyncio.timeout(SOON_S),
            self.http.request(
                method,
                f"http://127.0.0.1:{self.front}{path}",
                data=b"x" if method == "POST" else None,
                headers=HEADERS | {ID: call_id, "Violethatch-Deadline-Ms": "3000"},
            ) as answer,
        ):
            return answer.status, await answer.read()
