# SPDX-License-Identifier: MIT
"""The emulator's command line: each stand-in as a process of its own."""

from __future__ import annotations

import json
import os


# Before uvloop is imported: it would open an io_uring otherwise.
os.environ["UV_USE_IO_URING"] = "0"

import asyncio
import signal
import sys

import defopt
import uvloop

from aiohttp import web

from .engine import Engine, decode_options
from .path_runner import PathRunner
from .platform import Platform
from .service import PlainService


def engine(options: str, *, port: int = 0) -> None:
    """Run a stand-in engine.

    Args:
        options: The engine's options, as a JSON object.
        port: Where to listen on loopback; 0 takes a free port.
    """
    uvloop.run(_serve(lambda: Engine(decode_options(options)).application(), port))


def platform(
    *, port: int = 0, writes_per_s: float = 100.0, list_lag_s: float = 0.5
) -> None:
    """Run the stand-in platform: table, object store and instance list.

    Args:
        port: Where to listen on loopback; 0 takes a free port.
        writes_per_s: How many transactions a second the table takes.
        list_lag_s: How far the instance list lags, in seconds.
    """
    uvloop.run(
        _serve(
            lambda: Platform(
                writes_per_s=writes_per_s, list_lag_s=list_lag_s
            ).application(),
            port,
        )
    )


def service(
    service_id: str, *, port: int = 0, delay_s: float = 0.0, ledger: str = ""
) -> None:
    """Run a stand-in plain service.

    Args:
        service_id: Identifies the server in its answers.
        port: Where to listen on loopback; 0 takes a free port.
        delay_s: How long a call takes, in seconds.
        ledger: The file that calls are written down in.
    """
    uvloop.run(
        _serve(
            lambda: PlainService(
                service_id, delay_s=delay_s, ledger_path=ledger
            ).application(),
            port,
        )
    )


def path_runner(
    server_id: str,
    *,
    port: int = 0,
    event_count: int = 8,
    pause_s: float = 0.01,
    deadly_prefix: str = "",
) -> None:
    """Run a stand-in runner that holds all layers.

    Args:
        server_id: Names the runner's lifetime.
        port: Where to listen on loopback; 0 takes a free port.
        event_count: How many events a whole stream has.
        pause_s: The time between events, in seconds.
        deadly_prefix: Parts of prompts whose ids begin so end the process.
    """

    def application() -> web.Application:
        runner = PathRunner(
            server_id,
            event_count=event_count,
            pause_s=pause_s,
            deadly_prefix=deadly_prefix,
        )
        runner.layers = (0, 80)
        return runner.application()

    uvloop.run(_serve(application, port, handler_cancellation=True))


async def _serve(  # type: ignore[no-untyped-def]
    make_application, port: int, *, handler_cancellation: bool = False
) -> None:
    """Serve until SIGTERM, and say on standard output where."""
    runner = web.AppRunner(
        make_application(), access_log=None, handler_cancellation=handler_cancellation
    )
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port)
    await site.start()
    bound = runner.addresses[0][1]
    print(json.dumps({"port": bound}), flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    await runner.cleanup()


def main() -> None:
    """Run the command line."""
    defopt.run([engine, platform, service, path_runner], argv=sys.argv[1:])
