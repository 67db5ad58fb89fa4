# SPDX-License-Identifier: MIT
"""The listeners: callers, the balancer's question, and metrics."""

from __future__ import annotations

import asyncio

from collections.abc import Callable

import aiohttp
import msgspec

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server
from aioprometheus import render

from .. import clocks, events
from .._problems import problem_response
from .._router import OTHER_INSTANCE_RETRY_S, Router
from .._serving import listen
from ..desired import CallLimits
from ..errors import (
    AnswerCutError,
    BadRequestError,
    DrainingError,
    Ran,
    VioletHatchError,
)
from ..start_steps import Step
from ..upstream import Call
from . import _headers
from ._connections import CallerServer
from ._requests import read_call
from ._responder import CallerResponder


#: Limits before any desired state says so; the platform's usual ones.
_FIRST_LIMITS = CallLimits(
    header_bytes=16_384,
    body_bytes=4_194_304,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
#: How much of a body is read ahead of who takes it, in bytes.
_READ_BUFFER_BYTES = 65_536
#: How long connections get to close at the end, in seconds.
_CLOSE_S = 0.1
#: How often to look whether all that is under way has ended, in seconds.
_CLOSE_LOOK_S = 0.02
#: Turns of the event loop in which a waiting connection is accepted, set up and read.
_ACCEPT_TURNS = 8
_OK = 200
_UNAVAILABLE = 503


class CallersListener:
    """Takes callers' requests and hands them to the router."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._server = CallerServer(
            self._handle,
            limits=self._limits,
            on_bad_head=self._note_bad_head,
            may_connect=router.may_connect,
            auto_decompress=False,
            read_bufsize=_READ_BUFFER_BYTES,
        )
        self._had_room = True
        self._listening: asyncio.Server | None = None

    async def start(self, endpoint: str) -> None:
        """Listen on an address."""
        self._listening = await listen(self._server, endpoint)

    def has_room(self) -> bool:
        """Tell whether further connections can be taken; log when that changes."""
        open_count = len(self._server.connections)
        has_room = open_count < self._router.settings.limits.most_connections
        has_room = self._router.has_request_capacity() and has_room
        if has_room != self._had_room:
            self._had_room = has_room
            events.log(
                events.CALLERS_TAKEN if has_room else events.CALLERS_FULL,
                connections=open_count,
                in_flight=self._router.in_flight,
            )
        return has_room

    async def close(self) -> None:
        """Take nothing more, let what is under way end, then close all connections.

        What does not end in time is cut, with a line that says so.
        """
        plan = self._router.stop_plan
        plan.close()
        await _read_what_came()
        if self._listening is not None:
            self._listening.close()
        while plan.left_s(now_s=clocks.now_s()) > 0:
            if not self._is_serving:
                break
            await asyncio.sleep(_CLOSE_LOOK_S)
        self._router.open_answers.abort_all()
        await _read_what_came()
        self._server.close_idle()
        await self._server.shutdown(timeout=_CLOSE_S)

    @property
    def _is_serving(self) -> bool:
        """Whether a request is under way, a caller's or a forwarded one."""
        if self._router.in_flight:
            return True
        return any(one.is_serving for one in self._server.callers)

    async def _handle(self, request: BaseRequest) -> StreamResponse:
        """Serve one request."""
        started_s = clocks.now_s()
        is_last = self._router.stop_plan.is_stopping
        responder = CallerResponder(request, is_last=is_last)
        call_id = request.headers.get(_headers.CALL_ID, "")
        call: Call | None = None
        try:
            async with self._router.open_answers.track():
                with self._router.memory.open() as reservation:
                    call = await read_call(
                        request,
                        received_s=started_s,
                        limits=self._limits(),
                        reservation=reservation,
                    )
                    await self._router.serve(call, responder)
        except AnswerCutError as error:
            age_s = clocks.now_s() - started_s
            self._note_cut(call_id, responder, age_s=age_s, is_read=bool(call))
            return self._cut(request, error, responder, is_read=bool(call))
        except VioletHatchError as error:
            age_s = clocks.now_s() - started_s
            self._router.record_error(call_id, error, age_s=age_s)
            return self._problem(error, request)
        except (ConnectionError, aiohttp.ClientConnectionResetError):
            self._router.record_disconnect(call_id, age_s=clocks.now_s() - started_s)
        except asyncio.CancelledError:
            age_s = clocks.now_s() - started_s
            if self._router.open_answers.is_aborted:
                self._note_cut(call_id, responder, age_s=age_s, is_read=bool(call))
            else:
                self._router.record_disconnect(call_id, age_s=age_s)
            raise
        except Exception as error:
            self._router.record_unexpected_error(call_id, error)
            if responder.response is None:
                return self._problem(VioletHatchError("internal error"), request)
            responder.abort()
        return responder.response or Response(status=_UNAVAILABLE)

    def _cut(
        self,
        request: BaseRequest,
        error: AnswerCutError,
        responder: CallerResponder,
        *,
        is_read: bool,
    ) -> StreamResponse:
        """End an answer because the process stops; return what is left to give."""
        if responder.response is not None:
            responder.cut()
            return responder.response
        if is_read:
            return self._problem(error, request)
        refusal = DrainingError(retry_after_s=OTHER_INSTANCE_RETRY_S)
        return self._problem(refusal, request)

    def _note_cut(
        self, call_id: str, responder: CallerResponder, *, age_s: float, is_read: bool
    ) -> None:
        """Note an answer that ends because the process stops.

        A request that was not read whole has not run.
        """
        self._router.answer_cut(
            call_id,
            age_s=age_s,
            is_begun=responder.response is not None,
            ran=Ran.MAYBE if is_read else Ran.NO,
        )

    def _limits(self) -> CallLimits:
        """Return the limits in force on what callers send."""
        desired = self._router.desired
        return desired.limits if desired else _FIRST_LIMITS

    def _problem(self, error: VioletHatchError, request: BaseRequest) -> Response:
        """Return an error's answer."""
        response = problem_response(error)
        if error.retry_after_s is not None:
            # The platform's callers understand fractions of a second.
            response.headers["Retry-After"] = f"{error.retry_after_s:g}"
        # What a caller sends that was not asked for its body is the next request, or is
        # the body all the same: that can't be told.
        is_waiting = "Expect" in request.headers and not request.content.at_eof()
        if self._router.stop_plan.is_stopping or is_waiting:
            response.force_close()
        return response

    def _note_bad_head(self, reason: str) -> None:
        """Note a request that could not be understood, and got 400."""
        self._router.record_error("", BadRequestError(reason), age_s=0.0)


async def _read_what_came() -> None:
    """Let the event loop accept and read what has come so far."""
    for _ in range(_ACCEPT_TURNS):
        await asyncio.sleep(0)


class ReadinessListener:
    """Answers the balancer, and tells metrics.

    Args:
        router: Knows whether it can serve.
        has_room: Tells whether callers' connections can be taken.
    """

    def __init__(self, router: Router, *, has_room: Callable[[], bool]) -> None:
        self._router = router
        self._has_room = has_room
        self._readiness = Server(self._ready, access_log=None)
        self._metrics = Server(self._tell, access_log=None)

    async def start(self, endpoint: str, metrics_port: int) -> None:
        """Listen for both on the same IP number."""
        await listen(self._readiness, endpoint)
        if metrics_port:
            address = endpoint.partition(":")[0]
            await listen(self._metrics, f"{address}:{metrics_port}")

    async def _ready(self, _request: BaseRequest) -> StreamResponse:
        """Tell whether callers should come here: they are served, and get in."""
        has_room = self._has_room()
        is_ready = self._router.is_ready and has_room
        if is_ready:
            self._router.record_start_step(Step.READY)
        return Response(status=_OK if is_ready else _UNAVAILABLE)

    async def _tell(self, request: BaseRequest) -> StreamResponse:
        """Tell the metrics, or the state."""
        if request.path == "/state":
            return Response(body=msgspec.json.encode(self._router.state()))
        self._router.update_metrics()
        body, headers = render(
            self._router.metrics.registry, request.headers.getall("Accept", [])
        )
        return Response(body=body, headers=headers)
