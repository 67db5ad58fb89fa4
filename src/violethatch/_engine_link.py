# SPDX-License-Identifier: MIT
"""An instance's connection to a model engine.

Steps submitted while a frame is being written are batched in the next frame.
Results are matched to their steps by request, epoch and position; late results
are counted and dropped.
"""

from __future__ import annotations

import asyncio
import contextlib

from collections.abc import Callable
from typing import NamedTuple

import aiohttp
import msgspec

from . import clocks, events, wire
from .loads import LoadView
from .retries import StallLimit


_RECONNECT_MIN_S = 0.05
_RECONNECT_MAX_S = 1.0
#: Multiple of the stall limit that a step may take while other steps get results.
_BUSY_LIMIT_FACTOR = 8.0
#: Max number of timed-out steps whose late results still update the stall limit.
_MAX_TIMED_OUT_STEPS = 1024

_StepKey = tuple[str, int, int]


class StageFailedError(Exception):
    """A step got no usable result; the request may continue on another runner."""

    def __init__(self, runner_id: str, reason: str, *, refusal: int = 0) -> None:
        super().__init__(f"{runner_id}: {reason}")
        self.runner_id = runner_id
        self.reason = reason
        self.refusal = refusal


class _Pending(NamedTuple):
    """A step without a result yet."""

    future: asyncio.Future[wire.Result]
    submitted_s: float
    positions: int


def _step_key(message: wire.Step | wire.Result) -> _StepKey:
    """Return the key that only a step and its result have in common."""
    return message.request, message.epoch, message.position


class EngineLink:
    """A reconnecting connection, with the state received over it.

    Args:
        runner_id: The runner's id in the platform's list.
        availability_zone: The runner's availability zone.
        url: The URL of its WebSocket.
        stall_initial_s: Stall limit before the first result, in seconds.
        stall_floor_s: Min stall limit, in seconds.
        silence_limit_s: Max time without any frame from the runner, in seconds.
        on_change: Called when the runner becomes usable or unusable.
    """

    def __init__(
        self,
        *,
        runner_id: str,
        availability_zone: str,
        url: str,
        stall_initial_s: float,
        stall_floor_s: float,
        silence_limit_s: float,
        on_change: Callable[[], None],
    ) -> None:
        self.runner_id = runner_id
        self.availability_zone = availability_zone
        self.url = url
        self.hello: wire.Hello | None = None
        self.load = wire.Load(0, 0, False, [])
        self.load_view = LoadView()
        self.stall_limit = StallLimit(initial_s=stall_initial_s, floor_s=stall_floor_s)
        self.is_stalled = False
        self.late_results = 0
        self._silence_limit_s = silence_limit_s
        self._on_change = on_change
        self._pending: dict[_StepKey, _Pending] = {}
        self._timed_out: dict[_StepKey, float] = {}
        self._steps: list[wire.Step] = []
        self._cancels: list[wire.Cancel] = []
        self._orders: list[wire.Order] = []
        self._pending_orders: dict[int, asyncio.Future[wire.OrderResult]] = {}
        self._transfers: list[bytes] = []
        self._pending_transfers: dict[
            tuple[int, str, int], asyncio.Future[wire.Cache | wire.ImportResult]
        ] = {}
        self._wake = asyncio.Event()
        self._last_frame_s = 0.0
        self._last_result_s = 0.0

    @property
    def is_usable(self) -> bool:
        """Whether the connection is established and the runner makes progress."""
        return self.hello is not None and not self.is_stalled

    def submit(self, step: wire.Step) -> asyncio.Future[wire.Result]:
        """Queue a step; return the future of its result.

        The future fails with `StageFailedError` if the connection breaks or
        the runner stalls; the step may have run then.
        """
        future = asyncio.get_running_loop().create_future()
        if self.hello is None:
            future.set_exception(StageFailedError(self.runner_id, "not connected"))
            return future
        key = _step_key(step)
        self._pending[key] = _Pending(future, clocks.now_s(), max(1, step.positions))
        self._steps.append(step)
        self._wake.set()
        return future

    def cancel(self, request: str, epoch: int) -> None:
        """Cancel a request on the engine, for epochs up to *epoch*."""
        if self.hello is None:
            return
        self._cancels.append(wire.Cancel(request, epoch))
        self._wake.set()

    async def order(self, order: wire.Order, *, timeout_s: float) -> wire.OrderResult:
        """Send a fenced order; return the engine's response.

        Raises:
            TimeoutError: No response was received; the order may have been executed.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending_orders[order.order_id] = future
        self._orders.append(order)
        self._wake.set()
        try:
            return await asyncio.wait_for(future, timeout_s)
        finally:
            self._pending_orders.pop(order.order_id, None)

    async def export_cache(
        self, request: str, epoch: int, *, timeout_s: float
    ) -> wire.Cache:
        """Return a request's KV cache.

        Raises:
            StageFailedError: The engine has none or does not respond.
        """
        frame = wire.encode_frame(wire.FrameKind.EXPORT, wire.Export(request, epoch))
        key = (int(wire.FrameKind.EXPORTED), request, epoch)
        response = await self._transfer_cache(frame, key, timeout_s)
        assert isinstance(response, wire.Cache)
        return response

    async def import_cache(self, cache: wire.Cache, *, timeout_s: float) -> None:
        """Import a request's KV cache into the engine, to continue the request there.

        Raises:
            StageFailedError: The engine refuses or does not respond.
        """
        frame = wire.encode_frame(wire.FrameKind.IMPORT, cache)
        key = (int(wire.FrameKind.IMPORTED), cache.request, cache.epoch)
        await self._transfer_cache(frame, key, timeout_s)

    async def _transfer_cache(
        self, frame: bytes, key: tuple[int, str, int], timeout_s: float
    ) -> wire.Cache | wire.ImportResult:
        """Send a frame of a cache transfer; return the response."""
        if self.hello is None:
            raise StageFailedError(self.runner_id, "not connected")
        future = asyncio.get_running_loop().create_future()
        self._pending_transfers[key] = future
        self._transfers.append(frame)
        self._wake.set()
        try:
            response: wire.Cache | wire.ImportResult
            response = await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            raise StageFailedError(self.runner_id, "cache not moved in time") from None
        finally:
            self._pending_transfers.pop(key, None)
        if response.refusal:
            reason = wire.Refusal(response.refusal).name.lower()
            raise StageFailedError(self.runner_id, reason, refusal=response.refusal)
        return response

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Maintain the connection until cancelled; then fail pending steps."""
        try:
            await self._reconnect_loop(session)
        finally:
            self._handle_disconnect()

    async def _reconnect_loop(self, session: aiohttp.ClientSession) -> None:
        """Connect, and reconnect with exponential back-off."""
        backoff_s = _RECONNECT_MIN_S
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with session.ws_connect(
                    self.url, max_msg_size=0, compress=0
                ) as socket:
                    await self._serve(socket)
            if self.hello is not None:
                backoff_s = _RECONNECT_MIN_S
            self._handle_disconnect()
            await asyncio.sleep(backoff_s)
            backoff_s = min(_RECONNECT_MAX_S, backoff_s * 2)

    async def _serve(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        """Read and write frames until the connection breaks."""
        writer = asyncio.create_task(self._write_loop(socket))
        self._last_frame_s = clocks.now_s()
        try:
            async for message in socket:
                if message.type is not aiohttp.WSMsgType.BINARY:
                    continue
                self._handle_frame(message.data)
        except msgspec.DecodeError as error:
            events.log(
                events.TASK_FAILED,
                task="engine_link",
                runner=self.runner_id,
                error=str(error),
            )
        finally:
            writer.cancel()

    async def _write_loop(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        """Write queued messages, batching steps and cancellations."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._steps:
                steps, self._steps = self._steps, []
                await socket.send_bytes(wire.encode_frame(wire.FrameKind.STEPS, steps))
            if self._cancels:
                cancels, self._cancels = self._cancels, []
                frame = wire.encode_frame(wire.FrameKind.CANCEL, cancels)
                await socket.send_bytes(frame)
            transfers, self._transfers = self._transfers, []
            for frame in transfers:
                await socket.send_bytes(frame)
            orders, self._orders = self._orders, []
            for order in orders:
                await socket.send_bytes(wire.encode_frame(wire.FrameKind.ORDER, order))

    def _handle_frame(self, data: bytes) -> None:
        """Process a frame from the engine."""
        now_s = clocks.now_s()
        self._last_frame_s = now_s
        if self.is_stalled:
            self.is_stalled = False
            self._on_change()
        kind, body = wire.decode_frame(data)
        if kind == wire.FrameKind.RESULTS:
            self._last_result_s = now_s
            for result in wire.decode_results(body):
                self._handle_result(result, now_s)
        elif kind == wire.FrameKind.LOAD:
            self.load = wire.decode_load(body)
            self.load_view.reported(self.load.active, now_s=now_s)
            self._on_change()
        elif kind == wire.FrameKind.HELLO:
            self.hello = wire.decode_hello(body)
            events.log(events.RUNNER_FOUND, runner=self.runner_id)
            self._on_change()
        elif kind == wire.FrameKind.EXPORTED:
            self._handle_transfer(kind, wire.decode_cache(body))
        elif kind == wire.FrameKind.IMPORTED:
            self._handle_transfer(kind, wire.decode_import_result(body))
        elif kind == wire.FrameKind.ORDERED:
            response = wire.decode_order_result(body)
            future = self._pending_orders.get(response.order_id)
            if future is not None and not future.done():
                future.set_result(response)

    def _handle_transfer(
        self, kind: int, response: wire.Cache | wire.ImportResult
    ) -> None:
        """Resolve the pending cache transfer of a response."""
        future = self._pending_transfers.get((kind, response.request, response.epoch))
        if future is not None and not future.done():
            future.set_result(response)

    def _handle_result(self, result: wire.Result, now_s: float) -> None:
        """Resolve the pending step of a result."""
        key = _step_key(result)
        pending = self._pending.pop(key, None)
        if pending is None:
            self.late_results += 1
            submitted_s = self._timed_out.pop(key, None)
            if submitted_s is not None and result.positions == 1:
                self._record_step_time(now_s - submitted_s)
            return
        if pending.future.done():
            return
        if result.refusal:
            reason = wire.Refusal(result.refusal).name.lower()
            error = StageFailedError(self.runner_id, reason, refusal=result.refusal)
            pending.future.set_exception(error)
            return
        if result.positions == 1:
            self._record_step_time(now_s - pending.submitted_s)
        pending.future.set_result(result)

    def _record_step_time(self, elapsed_s: float) -> None:
        """Update the estimates with the time of a single-position step."""
        self.stall_limit.observe(elapsed_s)
        self.load_view.observed(elapsed_s)

    def check_timeouts(self, now_s: float) -> None:
        """Fail overdue steps, and mark the runner stalled if it makes no progress."""
        if self.hello is None:
            return
        if now_s - self._last_frame_s > self._silence_limit_s:
            self._mark_stalled("silent")
        if self._pending:
            self._fail_overdue(now_s)

    def _fail_overdue(self, now_s: float) -> None:
        """Fail the steps without a result within their limit."""
        overdue = [
            key
            for key, pending in self._pending.items()
            if self._is_overdue(pending, now_s)
        ]
        for key in overdue:
            pending = self._pending.pop(key)
            self._record_timeout(key, pending.submitted_s)
            if not pending.future.done():
                error = StageFailedError(self.runner_id, "stalled")
                pending.future.set_exception(error)
        if overdue:
            self._mark_stalled("step overdue")

    def _is_overdue(self, pending: _Pending, now_s: float) -> bool:
        """Return whether a step has exceeded its limit.

        A runner that returns results of other steps meanwhile is busy, not stalled.
        """
        limit_s = self.stall_limit.limit_s(positions=pending.positions)
        elapsed_s = now_s - pending.submitted_s
        if self._last_result_s > pending.submitted_s:
            return (
                now_s - self._last_result_s > limit_s
                or elapsed_s > limit_s * _BUSY_LIMIT_FACTOR
            )
        return elapsed_s > limit_s

    def _record_timeout(self, key: _StepKey, submitted_s: float) -> None:
        """Record a timed-out step; evict the oldest one above the max number."""
        self._timed_out[key] = submitted_s
        while len(self._timed_out) > _MAX_TIMED_OUT_STEPS:
            del self._timed_out[next(iter(self._timed_out))]

    def _mark_stalled(self, reason: str) -> None:
        """Mark the runner as stalled."""
        if self.is_stalled:
            return
        self.is_stalled = True
        events.log(events.RUNNER_STALLED, runner=self.runner_id, reason=reason)
        self._on_change()

    def _handle_disconnect(self) -> None:
        """Reset the state after a lost connection and fail pending steps."""
        if self.hello is not None:
            events.log(events.RUNNER_LOST, runner=self.runner_id)
        self.hello = None
        self.is_stalled = False
        pending, self._pending = self._pending, {}
        self._steps.clear()
        self._cancels.clear()
        self._transfers.clear()
        for step in pending.values():
            if not step.future.done():
                error = StageFailedError(self.runner_id, "connection lost")
                step.future.set_exception(error)
        self._on_change()
