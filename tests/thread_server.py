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
        self._answers_s = []
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

    def clear(self):
        """Forget what was asked and answered."""
        self.asked.clear()
        self._answers_s.clear()

    def first_answer_s(self):
        """Return when the first answer was written; inf without one."""
        self._finish_step()
        return min(self._answers_s, default=math.inf)

    def _finish_step(self):
        """Wait until the thread has noted what it has written."""
        is_done = threading.Event()
        self._loop.call_soon_threadsafe(is_done.set)
        assert is_done.wait(5)

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
        answer = web.Response(status=self.status, headers=self.headers, body=self.body)
        await answer.prepare(request)
        await answer.write_eof()
        self._answers_s.append(clocks.now_s())
        return answer
