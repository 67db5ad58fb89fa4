# SPDX-License-Identifier: MIT
"""A stand-in model engine that holds a range of layers.

It batches continuously: a batch takes `base_s` plus `stream_s` for each
stream plus `prefill_s` for each position beyond the first.  It refuses
superseded epochs, positions out of order, and new requests once leaving.
"""

from __future__ import annotations

import asyncio
import collections
import time

from typing import NamedTuple

import aiohttp
import msgspec

from aiohttp import web

from violethatch import wire
from violethatch.layers import LayerRange
from violethatch.leases import Fence

from . import arithmetic
from .ledger import LedgerLine, LedgerWriter
from .prefixes import PrefixCache


class EngineOptions(NamedTuple):
    """How a stand-in engine behaves."""

    runner_id: str
    model: str
    version: str
    layers: LayerRange
    layer_count: int
    kind: str = "a"
    base_s: float = 0.002
    stream_s: float = 0.0002
    prefill_s: float = 0.00002
    batch_limit: int = 32
    queue_limit: int = 4096
    state_limit: int = 4096
    prefix_blocks: int = 256
    cache_report_s: float = 1.0
    link_s: float = 0.0
    load_interval_s: float = 0.2
    checks_fence: bool = True
    ledger_path: str = ""

    @property
    def peak_tokens_per_s(self) -> float:
        """The rate with full batches."""
        batch_s = self.base_s + self.stream_s * self.batch_limit
        return self.batch_limit / batch_s


class _RequestState:
    """What the engine keeps of a request."""

    __slots__ = ("epoch", "stack")

    def __init__(self, epoch: int, stack: arithmetic.LayerStack) -> None:
        self.epoch = epoch
        self.stack = stack


class _Link:
    """One entry instance's connection."""

    __slots__ = ("results", "socket")

    def __init__(self, socket: web.WebSocketResponse) -> None:
        self.socket = socket
        self.results: list[wire.Result] = []

    def take(self) -> list[wire.Result]:
        """Return the results that wait to be sent."""
        results, self.results = self.results, []
        return results

    async def send(self, kind: wire.FrameKind, body: object) -> None:
        """Send a frame; a broken connection shows in the reading loop."""
        try:
            await self.socket.send_bytes(wire.encode_frame(kind, body))
        except (ConnectionError, aiohttp.ClientError):
            return


class Engine:
    """The stand-in engine's state and its batching loop."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.leaving = False
        self.adapters: list[str] = []
        self.fence = Fence()
        self.orders: list[wire.Order] = []
        self._ledger = LedgerWriter(options.ledger_path)
        self._prefixes = PrefixCache(options.prefix_blocks)
        # Least recently stepped first; the oldest goes when memory is full.
        self._states: collections.OrderedDict[str, _RequestState] = (
            collections.OrderedDict()
        )
        self._queue: list[tuple[int, int, wire.Step, _Link]] = []
        self._arrivals = 0
        self._wake = asyncio.Event()
        self._links: set[_Link] = set()
        self._sending: set[asyncio.Task[None]] = set()

    def application(self) -> web.Application:
        """Return the engine's HTTP application."""
        app = web.Application()
        app.router.add_get("/engine", self._serve_link)
        app.router.add_post("/control", self._serve_control)
        app.router.add_get("/control", self._serve_status)
        app.cleanup_ctx.append(self._run_loops)
        return app

    async def _run_loops(self, app: web.Application):  # type: ignore[no-untyped-def]
        tasks = [
            asyncio.create_task(self._batch_loop()),
            asyncio.create_task(self._load_loop()),
            asyncio.create_task(self._cache_loop()),
        ]
        yield
        for task in tasks:
            task.cancel()

    async def _serve_control(self, request: web.Request) -> web.Response:
        """Let tests change the engine's behaviour."""
        wanted = await request.json()
        if "leaving" in wanted:
            self.leaving = bool(wanted["leaving"])
        return web.json_response({})

    async def _serve_status(self, request: web.Request) -> web.Response:
        """Show what the engine holds."""
        return web.json_response(
            {
                "requests": len(self._states),
                "prefix_blocks": len(self._prefixes),
                "fence": self.fence.known_epoch,
                "orders": [list(order) for order in self.orders],
                "adapters": self.adapters,
            }
        )

    async def _serve_link(self, request: web.Request) -> web.WebSocketResponse:
        """Serve one entry instance."""
        socket = web.WebSocketResponse(max_msg_size=0, compress=False)
        await socket.prepare(request)
        link = _Link(socket)
        options = self.options
        hello = wire.Hello(
            runner_id=options.runner_id,
            model=options.model,
            version=options.version,
            layers=options.layers,
            layer_count=options.layer_count,
            kind=options.kind,
            peak_tokens_per_s=options.peak_tokens_per_s,
            batch_limit=options.batch_limit,
            checks_fence=options.checks_fence,
        )
        await link.send(wire.FrameKind.HELLO, hello)
        self._links.add(link)
        try:
            async for message in socket:
                if message.type is aiohttp.WSMsgType.BINARY:
                    await self._take_frame(message.data, link)
        finally:
            self._links.discard(link)
        return socket

    async def _take_frame(self, data: bytes, link: _Link) -> None:
        kind, body = wire.decode_frame(data)
        if kind == wire.FrameKind.STEPS:
            for step in wire.decode_steps(body):
                self._enqueue(step, link)
        elif kind == wire.FrameKind.CANCEL:
            for cancel in wire.decode_cancels(body):
                self._forget(cancel)
        elif kind == wire.FrameKind.ORDER:
            await self._obey(wire.decode_order(body), link)
        elif kind == wire.FrameKind.EXPORT:
            answer = self._export(wire.decode_export(body))
            await link.send(wire.FrameKind.EXPORTED, answer)
        elif kind == wire.FrameKind.IMPORT:
            imported = self._import(wire.decode_cache(body))
            await link.send(wire.FrameKind.IMPORTED, imported)

    def _enqueue(self, step: wire.Step, link: _Link) -> None:
        """Queue a step; higher priorities first, else by arrival."""
        self._arrivals += 1
        self._queue.append((-step.priority, self._arrivals, step, link))
        self._wake.set()

    def _forget(self, cancel: wire.Cancel) -> None:
        state = self._states.get(cancel.request)
        if state is not None and state.epoch <= cancel.epoch:
            del self._states[cancel.request]

    def _export(self, export: wire.Export) -> wire.Cache:
        """Return a request's cache."""
        state = self._states.get(export.request)
        if state is None or export.epoch < state.epoch:
            refusal = wire.Refusal.STALE_EPOCH
            return wire.Cache(export.request, export.epoch, 0, refusal, b"")
        data = msgspec.msgpack.encode(state.stack.export())
        position = state.stack.next_position
        return wire.Cache(export.request, export.epoch, position, 0, data)

    def _import(self, cache: wire.Cache) -> wire.ImportResult:
        """Take over a request with its cache."""
        state = self._states.get(cache.request)
        if self.leaving or (state is not None and state.epoch >= cache.epoch):
            refusal = wire.Refusal.LEAVING if self.leaving else wire.Refusal.STALE_EPOCH
            return wire.ImportResult(cache.request, cache.epoch, refusal)
        layers = self.options.layers
        stack = arithmetic.LayerStack(
            first=layers.first,
            end=layers.end,
            caches=msgspec.msgpack.decode(cache.data, type=list[bytes]),
            next_position=cache.position,
        )
        self._states[cache.request] = _RequestState(cache.epoch, stack)
        return wire.ImportResult(cache.request, cache.epoch, wire.Refusal.NONE)

    async def _obey(self, order: wire.Order, link: _Link) -> None:
        """Carry out a fenced order."""
        accepted = not self.options.checks_fence or self.fence.admit(order.fence)
        if accepted:
            self.orders.append(order)
            if order.action == "load_adapter" and order.argument not in self.adapters:
                self.adapters.append(order.argument)
            elif order.action == "leave":
                self.leaving = True
        answer = wire.OrderResult(order.order_id, accepted, self.fence.known_epoch)
        await link.send(wire.FrameKind.ORDERED, answer)

    async def _load_loop(self) -> None:
        """Report load, which by then is some time old."""
        while True:
            load = wire.Load(
                active=len(self._states),
                waiting=len(self._queue),
                leaving=self.leaving,
                adapters=list(self.adapters),
            )
            await asyncio.sleep(self.options.load_interval_s)
            for link in list(self._links):
                await link.send(wire.FrameKind.LOAD, load)

    async def _cache_loop(self) -> None:
        """Publish changes of the prefix cache, late and with gaps."""
        while True:
            report = self._prefixes.report()
            await asyncio.sleep(self.options.cache_report_s)
            if report is not None:
                for link in list(self._links):
                    await link.send(wire.FrameKind.CACHED, report)

    async def _batch_loop(self) -> None:
        """Run batch after batch."""
        options = self.options
        debt_s = 0.0
        while True:
            if not self._queue:
                self._wake.clear()
                await self._wake.wait()
            self._queue.sort(key=lambda item: item[:2])
            batch = self._queue[: options.batch_limit]
            del self._queue[: options.batch_limit]
            started_s = time.monotonic()
            lines: list[LedgerLine] = []
            positions = 0
            for _, _, step, link in batch:
                result, cached = self._run_step(step, lines)
                positions += result.positions - cached
                link.results.append(result)
            busy_s = options.base_s + options.stream_s * len(batch)
            busy_s += options.prefill_s * max(0, positions - len(batch))
            # Sleeps overshoot; the debt keeps the average rate exact.
            wait_s = busy_s - debt_s
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            debt_s = min(0.05, max(0.0, time.monotonic() - started_s - wait_s))
            self._ledger.write(lines)
            # The link there and back delays a result, but not the next batch.
            links = {link for *_, link in batch}
            if options.link_s:
                self._send_later(links)
            else:
                await self._send_results([(link, link.take()) for link in links])

    def _send_later(self, links: set[_Link]) -> None:
        """Send the results that links have gathered, after the link's delay."""
        ready = [(link, link.take()) for link in links]

        def send() -> None:
            task = asyncio.create_task(self._send_results(ready))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

        asyncio.get_running_loop().call_later(self.options.link_s, send)

    async def _send_results(self, ready: list[tuple[_Link, list[wire.Result]]]) -> None:
        for link, results in ready:
            await link.send(wire.FrameKind.RESULTS, results)

    def _run_step(
        self, step: wire.Step, lines: list[LedgerLine]
    ) -> tuple[wire.Result, int]:
        """Run one step, or refuse it.

        Returns:
            The result, and how many of its positions cost no prefill time.
        """
        refusal = self._refusal(step)
        if refusal:
            refused = wire.Result(
                step.request, step.epoch, step.position, 0, refusal, b"", -1, False
            )
            return refused, 0
        state = self._state_for(step)
        hidden = self._inputs(step)
        cached = self._prefixes.take(hidden) if step.position == 0 else 0
        outputs = [state.stack.run(item) for item in hidden]
        layers = self.options.layers
        lines.append(
            LedgerLine(
                step.request,
                step.epoch,
                step.position,
                len(outputs),
                layers.first,
                layers.end,
                self.options.runner_id,
            )
        )
        token, end, payload = -1, False, b"".join(outputs)
        if layers.end == self.options.layer_count:
            token = arithmetic.sample(outputs[-1])
            end = token < arithmetic.END_TOKENS
            payload = b"" if end else arithmetic.text_of(token).encode()
        result = wire.Result(
            step.request,
            step.epoch,
            step.position,
            len(outputs),
            wire.Refusal.NONE,
            payload,
            token,
            end,
        )
        return result, cached

    def _refusal(self, step: wire.Step) -> wire.Refusal:
        """Tell why a step can't be run, if so."""
        state = self._states.get(step.request)
        if state is None:
            if self.leaving:
                return wire.Refusal.LEAVING
            if len(self._queue) > self.options.queue_limit:
                return wire.Refusal.OVERLOADED
            return wire.Refusal.OUT_OF_ORDER if step.position else wire.Refusal.NONE
        if step.epoch < state.epoch:
            return wire.Refusal.STALE_EPOCH
        restarts = step.epoch > state.epoch and step.position == 0
        if step.position != state.stack.next_position and not restarts:
            return wire.Refusal.OUT_OF_ORDER
        return wire.Refusal.NONE

    def _state_for(self, step: wire.Step) -> _RequestState:
        """Return the request's state, new if the step starts anew."""
        state = self._states.get(step.request)
        if state is None or step.position == 0:
            layers = self.options.layers
            stack = arithmetic.LayerStack(first=layers.first, end=layers.end)
            state = self._states[step.request] = _RequestState(step.epoch, stack)
            if len(self._states) > self.options.state_limit:
                self._states.popitem(last=False)
        state.epoch = step.epoch
        self._states.move_to_end(step.request)
        return state

    def _inputs(self, step: wire.Step) -> list[bytes]:
        """Return a step's input for each of its positions."""
        if step.kind == wire.PayloadKind.TOKENS:
            prompt, tokens = wire.decode_prompt(step.payload)
            prompt_tokens = arithmetic.tokenize(prompt) if step.position == 0 else []
            return [arithmetic.embed(token) for token in prompt_tokens + tokens]
        size = arithmetic.HIDDEN_BYTES
        return [
            step.payload[start : start + size]
            for start in range(0, len(step.payload), size)
        ]


def decode_options(text: str) -> EngineOptions:
    """Decode options from a JSON object, missing ones by default."""
    given = msgspec.json.decode(text)
    given["layers"] = LayerRange(*given["layers"])
    return EngineOptions(**given)
