# SPDX-License-Identifier: MIT
"""A server in a thread of its own, which answers while the test's loop stands still."""

from __future__ import annotations

import asyncio
import math
import threading

from aiohttp import web

from violethatch import clocks


class ThreadServer:
    """Gives each request the same answer, a moment after it came."""

    def __init__(self):
        self.after_s = 0.005
        self.status = 200
        self.body = b"{}"
        self.headers = {}
        self.asked = []
        self.answered_s = math.inf
        self._loop = asyncio.new_event_loop()
        self._is_ready = threading.Event()
        self._thread = threading.Thread(target=self._work, daemon=True)
        self.address = ""

    def __enter__(self):
        self._thread.start()
        assert self._is_ready.wait(5)
        return self

    def __exit__(self, *_):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    def _work(self):
        self._loop.run_until_complete(self._start())
        self._loop.run_forever()
        self._loop.run_until_complete(self._serving.cleanup())
        self._loop.close()

    async def _start(self):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        self._serving = web.AppRunner(app, shutdown_timeout=0.1)
        await self._serving.setup()
        await web.TCPSite(self._serving, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{self._serving.addresses[0][1]}"
        self._is_ready.set()

    async def _answer(self, request):
        self.asked.append(request.path)
        await asyncio.sleep(self.after_s)
        self.answered_s = clocks.now_s()
        return web.Response(status=self.status, headers=self.headers, body=self.body)
