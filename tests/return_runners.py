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

import uvloop

from aiohttp import web

from play_process import input_lines, watch_use
from violethatch_emulator.path_runner import PathRunner
from violethatch_emulator.weights import SharedWeights


#: The minimum and maximum delay of a runner's entry, in seconds.
ENTRY_DELAY_S = (0.1, 1.2)
#: The work of a plain call, in seconds.
PLAIN_WORK_S = 0.06
EVENT_PAUSE_S = 0.025


class SizedRunner(PathRunner):
    """A runner whose streams have as many events as the caller asks for tokens."""

    def count_events(self, request):
        """Return the number of events of a request's stream."""
        return int(request.headers["Violethatch-Token-Count"].rpartition(",")[2])


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
        watch = asyncio.create_task(watch_use(lambda use: _tell("busy", use)))
        async for line in input_lines():
            command = json.loads(line)
            await getattr(self, f"do_{command.pop('do')}")(**command)
        watch.cancel()

    async def do_weights(self, load_s, layer_count, at_once):
        """Set the rate of loads."""
        if self.weights is None:
            self.weights = SharedWeights(
                load_s=load_s, layer_count=layer_count, at_once=at_once
            )
            self.weights.on_running = lambda running: _tell("loading", running)
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

    async def do_end(self):
        """End all runners, and have their entries removed."""
        for name, runner in list(self.runners.items()):
            runner.end()
            listener = self.listeners.pop(name)
            for connection in list(listener.server.connections):
                connection.force_close()
                if connection.transport is not None:
                    connection.transport.abort()
            await listener.cleanup()
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
