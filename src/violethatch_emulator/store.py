# SPDX-License-Identifier: MIT
"""A stand-in of the users' platform's store, written from its pages."""

from __future__ import annotations

import asyncio
import base64
import json
import time

from typing import Any, NamedTuple

from aiohttp import web


_PAGE_ROWS = 500


class StoreCopy(NamedTuple):
    """What a store has had at one moment."""

    rows: dict[str, dict[str, tuple[bytes | None, int]]]
    version: int


class StoreStandIn:
    """Keeps rows in memory; can be away, lose answers, forget history and go back.

    Args:
        names_era: Whether answers have the header `Store-Era`.
    """

    def __init__(self, *, names_era: bool = True) -> None:
        self.names_era = names_era
        self.era = 1
        #: A copy that whole reads are answered from, while they are behind.
        self.reads_behind: StoreCopy | None = None
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

    def copy(self) -> StoreCopy:
        """Return a copy to be restored from."""
        rows = {table: dict(one) for table, one in self.rows.items()}
        return StoreCopy(rows, self.version)

    def restore(self, copy: StoreCopy) -> None:
        """Start a new era from a copy; what was written since is gone."""
        self.rows = {table: dict(one) for table, one in copy.rows.items()}
        self.version = copy.version
        self.era += 1
        self.forget_history()
        self._wake()

    def _write(self, table: str, key: str, value: bytes | None) -> None:
        """Give a row its next version."""
        self.version += 1
        self.rows.setdefault(table, {})[key] = (value, self.version)
        self._wake()

    def _wake(self) -> None:
        """Wake the reads that wait for changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _counted(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Count a call; refuse it if the store is away."""
        self.calls.append(request.path.rpartition("/")[2])
        if self.refuse_with:
            return self._named(web.Response(status=self.refuse_with))
        answer: web.StreamResponse = await handler(request)
        return self._named(answer)

    def _named(self, answer: web.StreamResponse) -> web.StreamResponse:
        """Return an answer with the era's header."""
        if self.names_era:
            answer.headers["Store-Era"] = str(self.era)
        return answer

    async def _get(self, request: web.Request) -> web.Response:
        """Answer a table's rows in the order of their keys."""
        start = request.query.get("From", "")
        limit = int(request.query.get("limit", _PAGE_ROWS))
        name = request.query["table"]
        content = self.reads_behind or StoreCopy(self.rows, self.version)
        table = content.rows.get(name, {})
        keys = sorted(
            key for key, (value, _) in table.items() if key >= start and value
        )
        rows = [_row(name, key, *table[key]) for key in keys[:limit]]
        return self._answer(rows, more=len(keys) > limit, version=content.version)

    async def _feed(self, request: web.Request) -> web.Response:
        """Answer the rows changed since a version, as soon as there are any."""
        after = int(request.query["StartAfter"])
        table = request.query["table"]
        give_up_s = time.monotonic() + int(request.query["WaitMs"]) / 1000
        while True:
            if not self._oldest <= after <= self.version:
                return web.Response(status=410)
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
        return _row(table, key, *self.rows.get(table, {}).get(key, (None, 0)))

    def _answer(
        self,
        rows: list[dict[str, Any]],
        *,
        more: bool = False,
        status: int = 200,
        version: int | None = None,
    ) -> web.Response:
        """Return an answer with the newest version and the store's clock."""
        body = {
            "Rows": rows,
            "more": more,
            "ver": self.version if version is None else version,
            "now_ms": int(time.monotonic() * 1000) + 7_000_000,
        }
        return web.json_response(body, status=status)


def _row(table: str, key: str, value: bytes | None, version: int) -> dict[str, Any]:
    """Return a row as it is told."""
    row: dict[str, Any] = {"table": table, "part": "", "Key": key, "ver": version}
    if value is None:
        return row | {"gone": True}
    return row | {"Value": base64.b64encode(value).decode()}
