# SPDX-License-Identifier: MIT
"""Runners that load layers, and plain servers, in a process of their own.

Each line of standard input is a JSON object with a command; each line of standard
output a row of the table of servers, or the name of one that is gone.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import sys
import time

import uvloop

from aiohttp import web

from violethatch import clocks
from violethatch_emulator.path_runner import PathRunner
from violethatch_emulator.weights import SharedWeights


#: The minimum and maximum delay of a runner's entry, in seconds.
ENTRY_DELAY_S = (0.1, 1.2)
#: The work of a plain call, in seconds.
PLAIN_WORK_S = 0.06
EVENT_PAUSE_S = 0.025
#: How often the progress of loads is brought up to date, in seconds.
TICK_S = 0.02


class SizedRunner(PathRunner):
    """A runner whose streams have as many events as the caller asks for tokens."""

    def count_events(self, request):
        """Return the number of events of a request's stream."""
        return int(request.headers["Violethatch-Token-Count"].rpartition(",")[2])


class SpreadWeights(SharedWeights):
    """A store of weights that runners of other processes load from as well."""

    def __init__(self, **options):
        super().__init__(**options)
        self.running_elsewhere = 0

    async def load(self, layers):
        """Return once some layers are loaded."""
        left_s = self.load_s * layers / self.layer_count
        self.running += 1
        _tell("loading", self.running)
        last_s = clocks.now_s()
        try:
            while left_s > 0.0:
                await asyncio.sleep(TICK_S)
                now_s = clocks.now_s()
                running = self.running + self.running_elsewhere
                left_s -= (now_s - last_s) * min(1.0, self.at_once / running)
                last_s = now_s
        finally:
            self.running -= 1
            _tell("loading", self.running)


class RunnerHost:
    """All runners and plain servers of a fleet."""

    def __init__(self):
        self.rng = random.Random(0)
        self.weights = None
        self.prefix = ""
        self.lifetimes = 0
        self.runners = {}
        self.listeners = {}

    async def run(self):
        """Carry commands out until the input ends."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=1 << 24)
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        watch = asyncio.create_task(self._watch_use())
        while line := await reader.readline():
            command = json.loads(line)
            await getattr(self, f"do_{command.pop('do')}")(**command)
        watch.cancel()

    async def _watch_use(self):
        """Tell how busy this process is, each second."""
        last = (clocks.now_s(), time.process_time())
        while True:
            await asyncio.sleep(1.0)
            now = (clocks.now_s(), time.process_time())
            _tell("busy", (now[1] - last[1]) / (now[0] - last[0]))
            last = now

    async def do_weights(self, load_s, layer_count, at_once):
        """Set the rate of loads."""
        if self.weights is None:
            self.weights = SpreadWeights(
                load_s=load_s, layer_count=layer_count, at_once=at_once
            )
        self.weights.load_s = load_s

    async def do_elsewhere(self, running):
        """Take the number of loads of other processes in."""
        self.weights.running_elsewhere = running

    async def do_start(self, prefix, runners, plain):
        """Start runners without layers, and plain servers, each with a new id."""
        self.prefix = prefix
        for kind, zone in runners:
            await self._start_runner(kind, zone)
        for zone in plain:
            await self._start_plain(zone)

    async def do_end(self, is_listed):
        """End all runners; their entries stay where *is_listed*."""
        for name, runner in list(self.runners.items()):
            runner.end()
            listener = self.listeners.pop(name)
            for connection in list(listener.server.connections):
                connection.force_close()
                if connection.transport is not None:
                    connection.transport.abort()
            await listener.cleanup()
            if not is_listed:
                _tell(name, None)
        self.runners = {}

    async def _start_runner(self, kind, zone):
        """Start a runner."""
        self.lifetimes += 1
        name = f"{self.prefix}i-{self.lifetimes}"
        runner = SizedRunner(name, pause_s=EVENT_PAUSE_S, weights=self.weights)
        port = await self._serve(name, runner.application())
        self.runners[name] = runner

        def write_later():
            delay_s = self.rng.uniform(*ENTRY_DELAY_S)
            asyncio.get_running_loop().call_later(delay_s, write)

        def write():
            if self.runners.get(name) is not runner:
                return
            layers = None
            if runner.layers is not None:
                first, end = runner.layers
                layers = {"From": first, "TargetVersion": end, "Version": 1}
            _tell(
                name,
                {
                    "Service": "model",
                    "Address": f"127.0.0.1:{port}",
                    "Zone": zone,
                    "Slots": 192,
                    "State": "ready",
                    "Kind": kind,
                    "layers": layers,
                    "Sequence": runner.sequence,
                },
            )

        runner.on_layers = write_later
        write_later()

    async def _start_plain(self, zone):
        """Start a plain server."""
        self.lifetimes += 1
        name = f"{self.prefix}p-{self.lifetimes}"

        async def answer(request):
            await request.read()
            if request.path == "/health":
                headers = {"Violethatch-Instance-Id": name}
                return web.Response(body=b"ok", headers=headers)
            await asyncio.sleep(PLAIN_WORK_S)
            headers = {
                "Violethatch-Attempt-Id": request.headers["Violethatch-Attempt-Id"],
                "Violethatch-Response-Signature": f"by-{name}",
            }
            return web.Response(body=b"x" * 800, headers=headers)

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", answer)
        port = await self._serve(name, app)
        entry = {
            "Service": "labels",
            "Address": f"127.0.0.1:{port}",
            "Zone": zone,
            "Slots": 6,
            "State": "ready",
            "Kind": "",
            "layers": None,
        }
        _tell(name, entry)

    async def _serve(self, name, application):
        """Serve an application; return its port."""
        listener = web.AppRunner(
            application,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=0.0,
        )
        await listener.setup()
        await web.TCPSite(listener, "127.0.0.1", 0, backlog=1024).start()
        self.listeners[name] = listener
        return listener.addresses[0][1]


def _tell(name, entry):
    """Tell of a server's entry."""
    print(json.dumps([name, entry]), flush=True)


if __name__ == "__main__":
    # A caller that has left is no error of a runner.
    logging.disable(logging.ERROR)
    uvloop.run(RunnerHost().run())
