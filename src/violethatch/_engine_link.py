# SPDX-License-Identifier: MIT
"""One instance's connection to one model engine.

Steps that are submitted while a frame is being written share the next frame.
Results are matched to their steps by label; those that nobody waits for any
more are counted and dropped.
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


_RECONNECT_FIRST_S = 0.05
_RECONNECT_MOST_S = 1.0
#: A step may outlast the limit this often while others get results.
_BUSY_FACTOR = 8.0
#: Labels of given-up steps to remember, so that late results still teach.
_GIVEN_UP_MOST = 1024

_Label = tuple[str, int, int]


class StageFailedError(Exception):
    """A step got no usable result; the request may go on elsewhere."""

    def __init__(self, runner_id: str, reason: str, *, refusal: int = 0) -> None:
        super().__init__(f"{runner_id}: {reason}")
        self.runner_id = runner_id
        self.reason = reason
        self.refusal = refusal


class _Pending(NamedTuple):
    """A step that waits for its result."""

    future: asyncio.Future[wire.Result]
    submitted_s: float
    positions: int


def _label(message: wire.Step | wire.Result) -> _Label:
    """Return what a step and its result have in common, and no other step."""
    return message.request, message.epoch, message.position


class EngineLink:
    """A connection that is kept up, and what is learnt over it.

    Args:
        runner_id: The runner's id in the platform's list.
        availability_zone: Where the runner is.
        url: Its WebSocket's address.
        stall_initial_s: The stall limit before anything is learnt, in seconds.
        stall_floor_s: The least stall limit, in seconds.
        silence_limit_s: How long a runner may send nothing at all, in seconds.
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
        self._pending: dict[_Label, _Pending] = {}
        self._given_up: dict[_Label, float] = {}
        self._steps: list[wire.Step] = []
        self._cancels: list[wire.Cancel] = []
        self._orders: list[wire.Order] = []
        self._order_answers: dict[int, asyncio.Future[wire.OrderResult]] = {}
        self._moves: list[bytes] = []
        self._move_answers: dict[
            tuple[int, str, int], asyncio.Future[wire.Cache | wire.ImportResult]
        ] = {}
        self._wake = asyncio.Event()
        self._heard_s = 0.0
        self._result_s = 0.0

    @property
    def is_usable(self) -> bool:
        """Whether the connection is up and the runner makes progress."""
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
        label = _label(step)
        self._pending[label] = _Pending(future, clocks.now_s(), max(1, step.positions))
        self._steps.append(step)
        self._wake.set()
        return future

    def cancel(self, request: str, epoch: int) -> None:
        """Tell the engine to forget a request, up to *epoch*."""
        if self.hello is None:
            return
        self._cancels.append(wire.Cancel(request, epoch))
        self._wake.set()

    async def order(self, order: wire.Order, *, timeout_s: float) -> wire.OrderResult:
        """Give a fenced order; return the engine's answer.

        Raises:
            TimeoutError: No answer came; the order may have been carried out.
        """
        future = asyncio.get_running_loop().create_future()
        self._order_answers[order.order_id] = future
        self._orders.append(order)
        self._wake.set()
        try:
            return await asyncio.wait_for(future, timeout_s)
        finally:
            self._order_answers.pop(order.order_id, None)

    async def export_cache(
        self, request: str, epoch: int, *, timeout_s: float
    ) -> wire.Cache:
        """Return a request's KV cache.

        Raises:
            StageFailedError: The engine has none, or does not answer.
        """
        frame = wire.encode_frame(wire.FrameKind.EXPORT, wire.Export(request, epoch))
        key = (int(wire.FrameKind.EXPORTED), request, epoch)
        answer = await self._move(frame, key, timeout_s)
        assert isinstance(answer, wire.Cache)
        return answer

    async def import_cache(self, cache: wire.Cache, *, timeout_s: float) -> None:
        """Have the engine go on with a request from its KV cache.

        Raises:
            StageFailedError: The engine refuses, or does not answer.
        """
        frame = wire.encode_frame(wire.FrameKind.IMPORT, cache)
        key = (int(wire.FrameKind.IMPORTED), cache.request, cache.epoch)
        await self._move(frame, key, timeout_s)

    async def _move(
        self, frame: bytes, key: tuple[int, str, int], timeout_s: float
    ) -> wire.Cache | wire.ImportResult:
        """Send a frame of a cache's move and return its answer."""
        if self.hello is None:
            raise StageFailedError(self.runner_id, "not connected")
        future = asyncio.get_running_loop().create_future()
        self._move_answers[key] = future
        self._moves.append(frame)
        self._wake.set()
        try:
            answer: wire.Cache | wire.ImportResult
            answer = await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            raise StageFailedError(self.runner_id, "cache not moved in time") from None
        finally:
            self._move_answers.pop(key, None)
        if answer.refusal:
            reason = wire.Refusal(answer.refusal).name.lower()
            raise StageFailedError(self.runner_id, reason, refusal=answer.refusal)
        return answer

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Keep the connection up until cancelled; then fail what waits."""
        try:
            await self._keep_up(session)
        finally:
            self._lost()

    async def _keep_up(self, session: aiohttp.ClientSession) -> None:
        """Connect again and again."""
        pause_s = _RECONNECT_FIRST_S
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with session.ws_connect(
                    self.url, max_msg_size=0, compress=0
                ) as socket:
                    await self._serve(socket)
            if self.hello is not None:
                pause_s = _RECONNECT_FIRST_S
            self._lost()
            await asyncio.sleep(pause_s)
            pause_s = min(_RECONNECT_MOST_S, pause_s * 2)

    async def _serve(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        """Read and write frames until the connection breaks."""
        writer = asyncio.create_task(self._write_loop(socket))
        self._heard_s = clocks.now_s()
        try:
            async for message in socket:
                if message.type is not aiohttp.WSMsgType.BINARY:
                    continue
                self._take_frame(message.data)
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
        """Write what has gathered, one frame of a kind at a time."""
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
            moves, self._moves = self._moves, []
            for frame in moves:
                await socket.send_bytes(frame)
            orders, self._orders = self._orders, []
            for order in orders:
                await socket.send_bytes(wire.encode_frame(wire.FrameKind.ORDER, order))

    def _take_frame(self, data: bytes) -> None:
        """Act on one frame of the engine."""
        now_s = clocks.now_s()
        self._heard_s = now_s
        if self.is_stalled:
            self.is_stalled = False
            self._on_change()
        kind, body = wire.decode_frame(data)
        if kind == wire.FrameKind.RESULTS:
            self._result_s = now_s
            for result in wire.decode_results(body):
                self._take_result(result, now_s)
        elif kind == wire.FrameKind.LOAD:
            self.load = wire.decode_load(body)
            self.load_view.reported(self.load.active, now_s=now_s)
            self._on_change()
        elif kind == wire.FrameKind.HELLO:
            self.hello = wire.decode_hello(body)
            events.log(events.RUNNER_FOUND, runner=self.runner_id)
            self._on_change()
        elif kind == wire.FrameKind.EXPORTED:
            self._take_move(kind, wire.decode_cache(body))
        elif kind == wire.FrameKind.IMPORTED:
            self._take_move(kind, wire.decode_import_result(body))
        elif kind == wire.FrameKind.ORDERED:
            answer = wire.decode_order_result(body)
            waiting = self._order_answers.get(answer.order_id)
            if waiting is not None and not waiting.done():
                waiting.set_result(answer)

    def _take_move(self, kind: int, answer: wire.Cache | wire.ImportResult) -> None:
        """Give the answer about a cache to whoever waits for it."""
        waiting = self._move_answers.get((kind, answer.request, answer.epoch))
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def _take_result(self, result: wire.Result, now_s: float) -> None:
        """Give a result to whoever waits for exactly that step."""
        label = _label(result)
        pending = self._pending.pop(label, None)
        if pending is None:
            self.late_results += 1
            submitted_s = self._given_up.pop(label, None)
            if submitted_s is not None and result.positions == 1:
                self._learn(now_s - submitted_s)
            return
        if pending.future.done():
            return
        if result.refusal:
            reason = wire.Refusal(result.refusal).name.lower()
            error = StageFailedError(self.runner_id, reason, refusal=result.refusal)
            pending.future.set_exception(error)
            return
        if result.positions == 1:
            self._learn(now_s - pending.submitted_s)
        pending.future.set_result(result)

    def _learn(self, elapsed_s: float) -> None:
        """Learn from the time of a single-position step."""
        self.stall_limit.observe(elapsed_s)
        self.load_view.observed(elapsed_s)

    def check_timeouts(self, now_s: float) -> None:
        """Fail overdue steps; judge the runner by whether it makes progress."""
        if self.hello is None:
            return
        if now_s - self._heard_s > self._silence_limit_s:
            self._stalled("silent")
        if self._pending:
            self._fail_overdue(now_s)

    def _fail_overdue(self, now_s: float) -> None:
        """Fail the steps that have waited too long."""
        overdue = [
            label
            for label, pending in self._pending.items()
            if self._is_overdue(pending, now_s)
        ]
        for label in overdue:
            pending = self._pending.pop(label)
            self._remember(label, pending.submitted_s)
            if not pending.future.done():
                error = StageFailedError(self.runner_id, "stalled")
                pending.future.set_exception(error)
        if overdue:
            self._stalled("step overdue")

    def _is_overdue(self, pending: _Pending, now_s: float) -> bool:
        """Tell whether a step has waited too long.

        A runner that answers other steps meanwhile is busy, not hung.
        """
        limit_s = self.stall_limit.limit_s(positions=pending.positions)
        waited_s = now_s - pending.submitted_s
        if self._result_s > pending.submitted_s:
            return now_s - self._result_s > limit_s or waited_s > limit_s * _BUSY_FACTOR
        return waited_s > limit_s

    def _remember(self, label: _Label, submitted_s: float) -> None:
        """Remember a given-up step, within bounds."""
        self._given_up[label] = submitted_s
        while len(self._given_up) > _GIVEN_UP_MOST:
            del self._given_up[next(iter(self._given_up))]

    def _stalled(self, reason: str) -> None:
        """Note that the runner makes no progress."""
        if self.is_stalled:
            return
        self.is_stalled = True
        events.log(events.RUNNER_STALLED, runner=self.runner_id, reason=reason)
        self._on_change()

    def _lost(self) -> None:
        """Fail all that waits: the connection is gone."""
        if self.hello is not None:
            events.log(events.RUNNER_LOST, runner=self.runner_id)
        self.hello = None
        self.is_stalled = False
        pending, self._pending = self._pending, {}
        self._steps.clear()
        self._cancels.clear()
        self._moves.clear()
        for waiting in pending.values():
            if not waiting.future.done():
                error = StageFailedError(self.runner_id, "connection lost")
                waiting.future.set_exception(error)
        self._on_change()
