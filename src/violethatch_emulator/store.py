# SPDX-License-Identifier: MIT
"""A stand-in of the users' platform's store, written from its pages."""

from __future__ import annotations

import asyncio
import base64
import json
import time

from typing import Any

from aiohttp import web


_PAGE_ROWS = 500


class StoreStandIn:
    """Keeps rows in memory; can be away, lose answers and forget history."""

    def __init__(self) -> None:
        #: By table and key, the value and the version; None where it is gone.
        self.rows: dict[str, dict[str, tuple[bytes | None, int]]] = {}
        self.version = 0
        self.calls: list[str] = []
        #: A status that each call is refused with, or zero.
        self.refuse_with = 0
        #: Writes whose answer is lost after they were done.
        self.lose_write_answers = 0
        self._oldest = 0
        self._changed = asyncio.Event()

    def application(self) -> web.Application:
        """Return the store's HTTP application."""
        app = web.Application(middlewares=[self._counted])
        app.router.add_get("/api/rows-get", self._get)
        app.router.add_get("/api/rows-feed", self._feed)
        app.router.add_post("/api/rows-tx", self._transact)
        return app

    def put(self, table: str, key: str, value: dict[str, Any]) -> None:
        """Write a row, as the operator and the servers do."""
        self._write(table, key, json.dumps(value).encode())

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write(table, key, None)

    def forget_history(self) -> None:
        """Answer 410 to all who ask for changes since before now."""
        self._oldest = self.version

    def _write(self, table: str, key: str, value: bytes | None) -> None:
        """Give a row its next version."""
        self.version += 1
        self.rows.setdefault(table, {})[key] = (value, self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _counted(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Count a call; refuse it if the store is away."""
        self.calls.append(request.path.rpartition("/")[2])
        if self.refuse_with:
            return web.Response(status=self.refuse_with)
        answer: web.StreamResponse = await handler(request)
        return answer

    async def _get(self, request: web.Request) -> web.Response:
        """Answer a table's rows in the order of their keys."""
        start = request.query.get("From", "")
        limit = int(request.query.get("limit", _PAGE_ROWS))
        table = self.rows.get(request.query["table"], {})
        keys = sorted(
            key for key, (value, _) in table.items() if key >= start and value
        )
        rows = [self._row(request.query["table"], key) for key in keys[:limit]]
        return self._answer(rows, more=len(keys) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        """Answer the rows changed since a version, as soon as there are any."""
        after = int(request.query["StartAfter"])
        table = request.query["table"]
        give_up_s = time.monotonic() + int(request.query["WaitMs"]) / 1000
        if after < self._oldest:
            return web.Response(status=410)
        while True:
            changed = self._changed
            versions = self.rows.get(table, {})
            keys = [key for key, (_, version) in versions.items() if version > after]
            left_s = give_up_s - time.monotonic()
            if keys or left_s <= 0:
                keys.sort(key=lambda key: versions[key][1])
                return self._answer([self._row(table, key) for key in keys])
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    async def _transact(self, request: web.Request) -> web.Response:
        """Write all rows or none."""
        body = await request.json()
        for row in body["ExpectedRevision"]:
            _, version = self.rows.get(row["table"], {}).get(row["Key"], (None, 0))
            if version != row["ver"]:
                return self._answer([self._row(row["table"], row["Key"])], status=412)
        for row in body["put"]:
            self._write(row["table"], row["Key"], base64.b64decode(row["Value"]))
        if self.lose_write_answers:
            self.lose_write_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return self._answer([])

    def _row(self, table: str, key: str) -> dict[str, Any]:
        """Return a row as it is told."""
        value, version = self.rows.get(table, {}).get(key, (None, 0))
        row: dict[str, Any] = {"table": table, "part": "", "Key": key, "ver": version}
        if value is None:
            return row | {"gone": True}
        return row | {"Value": base64.b64encode(value).decode()}

    def _answer(
        self, rows: list[dict[str, Any]], *, more: bool = False, status: int = 200
    ) -> web.Response:
        """Return an answer with the newest version and the store's clock."""
        body = {
            "Rows": rows,
            "more": more,
            "ver": self.version,
            "now_ms": int(time.monotonic() * 1000) + 7_000_000,
        }
        return web.json_response(body, status=status)
