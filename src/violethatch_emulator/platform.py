# SPDX-License-Identifier: MIT
"""A stand-in for the platform: table, object store and instance list.

``POST /control`` makes it fail: an outage, slowness, answers lost after the
write took effect, a table restored to an earlier state.
"""

from __future__ import annotations

import asyncio
import copy
import hashlib
import json
import time

from typing import Any

from aiohttp import web


class Platform:
    """The platform's state and its HTTP application."""

    def __init__(self, *, writes_per_s: float = 100.0, list_lag_s: float = 0.5) -> None:
        self.rows: dict[str, dict[str, Any]] = {}
        self.objects: dict[str, bytes] = {}
        self.instances: dict[str, dict[str, Any]] = {}
        self._listed: list[dict[str, Any]] = []
        self._list_lag_s = list_lag_s
        self._writes_per_s = writes_per_s
        self._write_tokens = writes_per_s
        self._refilled_s = time.monotonic()
        self._snapshots: dict[str, dict[str, dict[str, Any]]] = {}
        self.outage = False
        self.list_outage = False
        self.list_empty = False
        self.delay_s = 0.0
        self.lose_write_answers = 0
        self.counts = {"reads": 0, "writes": 0, "throttled": 0, "lost_answers": 0}
        self.counts["empty_lists"] = 0

    def application(self) -> web.Application:
        """Return the platform's HTTP application."""
        app = web.Application(client_max_size=2**24)
        app.router.add_post("/table/read", self._read)
        app.router.add_post("/table/transact", self._transact)
        app.router.add_get("/objects/{key:.+}", self._get_object)
        app.router.add_put("/objects/{key:.+}", self._put_object)
        app.router.add_get("/instances", self._list_instances)
        app.router.add_put("/instances/{id}", self._put_instance)
        app.router.add_delete("/instances/{id}", self._delete_instance)
        app.router.add_post("/control", self._control)
        app.router.add_get("/control", self._status)
        app.cleanup_ctx.append(self._run_list)
        return app

    async def _run_list(self, app: web.Application):  # type: ignore[no-untyped-def]
        task = asyncio.create_task(self._lag_loop())
        yield
        task.cancel()

    async def _lag_loop(self) -> None:
        """Show the instances as they were a while ago."""
        while True:
            current = copy.deepcopy(list(self.instances.values()))
            await asyncio.sleep(self._list_lag_s)
            self._listed = current

    async def _meet_faults(self) -> None:
        """Fail or wait as told."""
        if self.outage:
            raise web.HTTPServiceUnavailable(text="outage")
        if self.delay_s:
            await asyncio.sleep(self.delay_s)

    async def _read(self, request: web.Request) -> web.Response:
        await self._meet_faults()
        self.counts["reads"] += 1
        keys = (await request.json())["keys"]
        found = [self._row(key) for key in keys if key in self.rows]
        return web.json_response({"rows": found})

    async def _transact(self, request: web.Request) -> web.Response:
        await self._meet_faults()
        if not self._take_write():
            self.counts["throttled"] += 1
            raise web.HTTPTooManyRequests(text="throttled")
        puts = (await request.json())["puts"]
        conflicts = [
            self._row(put["key"])
            for put in puts
            if self._row(put["key"])["version"] != put["if_version"]
        ]
        if conflicts:
            return web.json_response({"conflicts": conflicts}, status=409)
        for put in puts:
            version = put["if_version"] + 1
            self.rows[put["key"]] = {"version": version, "value": put["value"]}
        self.counts["writes"] += 1
        if self.lose_write_answers > 0:
            self.lose_write_answers -= 1
            self.counts["lost_answers"] += 1
            if request.transport is not None:
                request.transport.abort()
        return web.json_response({"conflicts": []})

    def _row(self, key: str) -> dict[str, Any]:
        row = self.rows.get(key, {"version": 0, "value": {}})
        return {"key": key, **row}

    def _take_write(self) -> bool:
        """Take one of the writes allowed a second."""
        now_s = time.monotonic()
        earned = (now_s - self._refilled_s) * self._writes_per_s
        self._write_tokens = min(self._writes_per_s, self._write_tokens + earned)
        self._refilled_s = now_s
        if self._write_tokens < 1:
            return False
        self._write_tokens -= 1
        return True

    async def _get_object(self, request: web.Request) -> web.Response:
        await self._meet_faults()
        data = self.objects.get(request.match_info["key"])
        if data is None:
            raise web.HTTPNotFound
        return web.Response(body=data)

    async def _put_object(self, request: web.Request) -> web.Response:
        await self._meet_faults()
        self.objects[request.match_info["key"]] = await request.read()
        return web.json_response({})

    async def _list_instances(self, request: web.Request) -> web.Response:
        if self.list_outage:
            raise web.HTTPServiceUnavailable(text="outage")
        shown = [] if self.list_empty else self._listed
        self.counts["empty_lists"] += self.list_empty
        body = json.dumps({"instances": shown}, sort_keys=True)
        etag = f'"{hashlib.sha256(body.encode()).hexdigest()[:16]}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        return web.json_response(text=body, headers={"ETag": etag})

    async def _put_instance(self, request: web.Request) -> web.Response:
        entry = await request.json()
        self.instances[request.match_info["id"]] = entry
        return web.json_response({})

    async def _delete_instance(self, request: web.Request) -> web.Response:
        self.instances.pop(request.match_info["id"], None)
        return web.json_response({})

    async def _control(self, request: web.Request) -> web.Response:
        wanted = await request.json()
        self.outage = bool(wanted.get("outage", self.outage))
        self.list_outage = bool(wanted.get("list_outage", self.list_outage))
        self.list_empty = bool(wanted.get("list_empty", self.list_empty))
        self.delay_s = float(wanted.get("delay_s", self.delay_s))
        lost = wanted.get("lose_write_answers", self.lose_write_answers)
        self.lose_write_answers = int(lost)
        if "snapshot" in wanted:
            self._snapshots[wanted["snapshot"]] = copy.deepcopy(self.rows)
        if "restore" in wanted:
            self.rows = copy.deepcopy(self._snapshots[wanted["restore"]])
        return web.json_response({})

    async def _status(self, request: web.Request) -> web.Response:
        rows = dict(self.rows)
        return web.json_response({"counts": self.counts, "rows": rows})
