# SPDX-License-Identifier: MIT
"""A stand-in plain service that counts what it ran."""

from __future__ import annotations

import asyncio
import pathlib

from aiohttp import web


class PlainService:
    """Prints slips: every ``POST`` is written down, then answered.

    Args:
        service_id: Identifies the server in its answers.
        delay_s: How long a call takes, after it was written down.
        ledger_path: Where calls are written down, a line each.
    """

    def __init__(self, service_id: str, *, delay_s: float, ledger_path: str) -> None:
        self._service_id = service_id
        self._delay_s = delay_s
        self._ledger_path = ledger_path
        self._runs = 0
        self.leaving = False

    def application(self) -> web.Application:
        """Return the service's HTTP application."""
        app = web.Application()
        app.router.add_post("/control", self._control)
        app.router.add_route("*", "/{path:.*}", self._run)
        return app

    async def _control(self, request: web.Request) -> web.Response:
        wanted = await request.json()
        self._delay_s = float(wanted.get("delay_s", self._delay_s))
        self.leaving = bool(wanted.get("leaving", self.leaving))
        return web.json_response({})

    def _write_down(self, line: str) -> None:
        if self._ledger_path:
            with pathlib.Path(self._ledger_path).open("a", encoding="utf-8") as file:
                file.write(line)

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.text()
        if self.leaving:
            # Refused before starting: the header says so.
            return web.Response(status=503, headers={"Not-Started": "true"})
        self._runs += 1
        self._write_down(f"{request.method} {request.path_qs} {body}\n")
        await asyncio.sleep(self._delay_s)
        return web.json_response(
            {"server": self._service_id, "run": self._runs, "echo": body}, status=201
        )
