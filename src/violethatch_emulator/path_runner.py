# SPDX-License-Identifier: MIT
"""A stand-in of the users' runners that chain layers, from their pages."""

from __future__ import annotations

import asyncio
import os

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from aiohttp import web

from violethatch import clocks

from .weights import SharedWeights


_ID = "Violethatch-Attempt-Id"
_NOT_RUN = "Violethatch-Not-Executed"
_MISDIRECTED = 421
_UNAVAILABLE = 503
_TARGET = "Violethatch-Target-Instance"
_PROMPT_PARTS = "Violethatch-Prompt-Prefix"
#: How long a request with a deadly part runs before it ends the process, in seconds.
_DEADLY_S = 0.05
#: The exit status of a process that a request has ended.
CRASHED = 70


class Seen(NamedTuple):
    """A request as it reached a runner."""

    call_id: str
    path: str
    headers: dict[str, str]
    target: str


class Run(msgspec.Struct):
    """What a runner has done of a request."""

    call_id: str
    started_s: float
    ended_s: float | None = None
    #: Whether the last event and the answer's end were sent.
    is_whole: bool = False


class _Unframed(web.StreamResponse):
    """An answer that ends with its connection."""

    _length_check = False


class PathRunner:
    """Answers with events; follows orders; can pause, hang, cut, refuse and leave.

    Args:
        server_id: Names the runner's lifetime.
        event_count: How many events a whole stream has.
        pause_s: The time between events, in seconds.
        deadly_prefix: Parts of prompts whose ids begin so end the process; each request
            with one is told on standard output.
        weights: Where layers are loaded from; without it, orders take no time.
    """

    def __init__(
        self,
        server_id: str,
        *,
        event_count: int = 8,
        pause_s: float = 0.01,
        deadly_prefix: str = "",
        weights: SharedWeights | None = None,
    ) -> None:
        self._weights = weights
        self._load: asyncio.Task[None] | None = None
        #: Told when the layers that are held have changed.
        self.on_layers: Callable[[], None] = lambda: None
        self._deadly_prefix = deadly_prefix
        self.server_id = server_id
        self.event_count = event_count
        self.pause_s = pause_s
        self.layers: tuple[int, int] | None = None
        self.sequence = 0
        self.fence = 0
        self.seen: list[Seen] = []
        self.runs: list[Run] = []
        self.orders: list[dict[str, Any]] = []
        #: Requests that were broken off by their caller.
        self.dropped: list[str] = []
        #: A status that requests are refused with, unrun, or zero.
        self.refuse_with = 0
        #: The figure of a rest that refusals ask for, or an empty text.
        self.asks_rest = ""
        #: Whether streams come in chunks; else they end with their connection.
        self.is_framed = True
        #: Whether all answers say that it leaves.
        self.is_leaving = False
        #: Streams stand still after this event, waiting for `stalled_at`.
        self.hang_after: int | None = None
        #: Streams are cut within the event after this one.
        self.cut_after: int | None = None
        self.stalled_at = ""
        self.repath_status = 200
        self._waiting: dict[str, asyncio.Event] = {}
        self._may_write = asyncio.Event()
        self._may_write.set()

    def application(self) -> web.Application:
        """Return the runner's HTTP application."""
        app = web.Application()
        app.on_response_prepare.append(self._say)
        app.router.add_get("/api/report", self._report)
        app.router.add_post("/api/order", self._order)
        app.router.add_get("/stand-in/runs", self._tell_runs)
        app.router.add_post("/stand-in/pause", self._pause)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def _say(self, _request: web.Request, answer: web.StreamResponse) -> None:
        """Say in an answer's head what the runner says of itself."""
        if self.is_leaving:
            answer.headers["Server-Leaving"] = "1"
        if self.asks_rest and answer.status == _UNAVAILABLE:
            answer.headers["Retry-After"] = self.asks_rest

    async def _report(self, _request: web.Request) -> web.Response:
        """Tell the runner's state."""
        layers = None
        if self.layers is not None:
            first, end = self.layers
            layers = {"From": first, "TargetVersion": end, "Version": 1}
        stalled = [
            {"Id": call_id, "Address": self.stalled_at} for call_id in self._waiting
        ]
        return web.json_response(
            {
                "Sequence": self.sequence,
                "Busy": self.is_loading,
                "layers": layers,
                "stalled": stalled if self.stalled_at else [],
            }
        )

    async def _order(self, request: web.Request) -> web.Response:
        """Carry an order out that names this runner, or none."""
        if request.headers.get(_TARGET, self.server_id) != self.server_id:
            return web.json_response({}, status=_MISDIRECTED)
        order = await request.json()
        self.orders.append(order)
        if order["op"] == "repath":
            waiting = self._waiting.pop(order["Id"], None)
            if waiting is None:
                return web.json_response({}, status=404)
            if self.repath_status != 200:
                self._waiting[order["Id"]] = waiting
                return web.json_response({}, status=self.repath_status)
            waiting.set()
            return web.json_response({})
        if order.get("fence", 0) < self.fence:
            return web.json_response({}, status=412)
        self.fence = order.get("fence", 0)
        if order.get("ExpectedRevision", self.sequence) != self.sequence:
            return web.json_response({}, status=409)
        if self.is_loading:
            return web.json_response({}, status=409)
        self.sequence += 1
        self._hold(order["From"], order["TargetVersion"])
        return web.json_response({}, status=202)

    @property
    def is_loading(self) -> bool:
        """Whether layers are being loaded."""
        return self._load is not None and not self._load.done()

    def end(self) -> None:
        """End a load that is under way, as the process's end does."""
        if self._load is not None:
            self._load.cancel()

    def _hold(self, first: int, end: int) -> None:
        """Hold a range, once what is not held of it is loaded."""
        if self._weights is None:
            self.layers = (first, end)
            self.on_layers()
            return
        old_first, old_end = self.layers or (0, 0)
        kept = (max(first, old_first), min(end, old_end))
        kept_count = max(0, kept[1] - kept[0])
        self.layers = kept if kept_count else None
        self.on_layers()
        missing = end - first - kept_count
        self._load = asyncio.create_task(self._load_layers(missing, (first, end)))

    async def _load_layers(self, missing: int, layers: tuple[int, int]) -> None:
        """Load the layers of a range that are missing, then hold the range."""
        assert self._weights is not None
        await self._weights.load(missing)
        self.layers = layers
        self.on_layers()

    async def _tell_runs(self, _request: web.Request) -> web.Response:
        """Tell what has been run, to tests in another process."""
        return web.json_response(msgspec.to_builtins(self.runs))

    async def _pause(self, request: web.Request) -> web.Response:
        """Write nothing of any answer for a while; reports and orders go on."""
        self._may_write.clear()
        await asyncio.sleep(float(request.query["for_s"]))
        self._may_write.set()
        return web.json_response({})

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        """Run a request, or refuse it."""
        call_id = request.headers.get(_ID, "")
        headers = dict(request.headers)
        self.seen.append(
            Seen(call_id, headers.get("Path", ""), headers, request.raw_path)
        )
        expected = headers.get(_TARGET, self.server_id)
        if expected != self.server_id:
            return web.Response(status=_MISDIRECTED, headers={_ID: call_id})
        if self.refuse_with:
            return web.Response(
                status=self.refuse_with, headers={_ID: call_id, _NOT_RUN: "1"}
            )
        if self._weights is not None and not self._holds_part(headers.get("Path", "")):
            return web.Response(
                status=_MISDIRECTED, headers={_ID: call_id, _NOT_RUN: "1"}
            )
        return await self._stream(request, call_id)

    def _holds_part(self, path: str) -> bool:
        """Tell whether the layers of a path's first part are held."""
        if self.layers is None:
            return False
        first, _, end = path.partition(",")[0].rpartition("=")[2].partition("-")
        if not end:
            return True
        return self.layers[0] <= int(first) and int(end) <= self.layers[1]

    async def _stream(self, request: web.Request, call_id: str) -> web.StreamResponse:
        """Give the events after the one that the caller has."""
        run = Run(call_id, started_s=clocks.now_s())
        self.runs.append(run)
        kind = web.StreamResponse if self.is_framed else _Unframed
        answer = kind(
            headers={
                _ID: call_id,
                "Violethatch-Response-Signature": f"by-{self.server_id}",
                "Content-Type": "text/event-stream",
            }
        )
        if not self.is_framed:
            answer.force_close()
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        try:
            await self._may_write.wait()
            await answer.prepare(request)
            await self._end_process_if_deadly(request, call_id)
            for number in range(first, self.count_events(request) + 1):
                await self._hang(call_id, number)
                await self._may_write.wait()
                if self.cut_after is not None and number > self.cut_after:
                    await answer.write(b"id: %d\nda" % number)
                    assert request.transport is not None
                    request.transport.abort()
                    return answer
                await answer.write(b"id: %d\ndata: %d\n\n" % (number, number))
                await asyncio.sleep(self.pause_s)
            await answer.write_eof()
            run.is_whole = True
        except (ConnectionError, asyncio.CancelledError):
            self.dropped.append(call_id)
            raise
        finally:
            run.ended_s = clocks.now_s()
        return answer

    def count_events(self, _request: web.Request) -> int:
        """Return the number of events of a request's whole stream."""
        return self.event_count

    async def _end_process_if_deadly(self, request: web.Request, call_id: str) -> None:
        """End the process if the prompt has a deadly part, and tell of it first."""
        shared = request.headers.get(_PROMPT_PARTS, "").split(",")[:-1]
        parts = [one.partition(":")[0] for one in shared]
        deadly = [one for one in parts if one.startswith(self._deadly_prefix)]
        if not self._deadly_prefix or not deadly:
            return
        told = {"part": deadly[0], "call_id": call_id, "at_s": clocks.now_s()}
        print(msgspec.json.encode(told).decode(), flush=True)
        await asyncio.sleep(_DEADLY_S)
        os._exit(CRASHED)

    async def _hang(self, call_id: str, number: int) -> None:
        """Stand still where streams are to stand still."""
        if self.hang_after is None or number != self.hang_after + 1:
            return
        self._waiting[call_id] = asyncio.Event()
        await self._waiting[call_id].wait()
