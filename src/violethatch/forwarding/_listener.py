# SPDX-License-Identifier: MIT
"""Takes requests that other instances hand over, and sends their answers back."""

from __future__ import annotations

import asyncio
import contextlib

from typing import Protocol

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from .. import clocks, events
from .._bodies import PIECE_BYTES, read_body, reserve
from .._open_answers import OpenAnswers
from ..errors import (
    AnswerCutError,
    BodyTooLargeError,
    LinksLostError,
    OverloadedError,
    Ran,
    VioletHatchError,
)
from ..memory_budget import MemoryBudget, Reservation
from ..upstream import Call, Headers, OnSend, Responder
from ._wire import (
    AnswerHead,
    ForwardedRequest,
    FrameKind,
    Refusal,
    alive_frame,
    decoded_request,
    encoded_lost,
    frame,
    message_frame,
)


#: How often an instance that has nothing to pass on tells that it is at work, in
#: seconds.
_ALIVE_S = 0.25
#: What a request takes beside the body that its caller sent, in bytes.
_ENVELOPE_BYTES = 131_072
_BAD_REQUEST = 400
_TOO_LARGE = 413
_INTERNAL_ERROR_DETAIL = "internal error"


class ForwardServer(Protocol):
    """Serves what other instances hand over.

    Attributes:
        in_flight: Requests in progress.
        open_answers: The answers that are under way.
    """

    in_flight: int
    open_answers: OpenAnswers

    @property
    def memory(self) -> MemoryBudget:
        """The memory for the bodies of requests and answers."""

    @property
    def max_body_bytes(self) -> int:
        """The largest body that a caller may send, in bytes."""

    async def serve_forwarded(
        self,
        call: Call,
        responder: Responder,
        *,
        state_version: int,
        runs: int,
        on_send: OnSend,
    ) -> None:
        """Serve a call to its end.

        Args:
            call: The call.
            responder: Answers the instance that handed it over.
            state_version: That instance's desired state: no older one may decide.
            runs: Its sends that may have run.
            on_send: Told before each send how many may have run then, *runs* included.

        Raises:
            VioletHatchError: Nothing of an answer was given.
        """

    def answer_cut(
        self,
        call_id: str,
        *,
        age_s: float,
        is_begun: bool,
        ran: Ran,
        forwarded_by: str | None = None,
    ) -> None:
        """Log an answer that this instance ended because it stops."""


class ForwardListener:
    """Answers the requests that other instances hand over.

    Args:
        server: Serves them.
    """

    def __init__(self, server: ForwardServer) -> None:
        self._server = server

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Serve one request; its sender has shown the token."""
        try:
            with self._server.memory.open() as reservation:
                return await self._handle(request, reservation)
        except BodyTooLargeError:
            return Response(status=_TOO_LARGE)
        except OverloadedError as error:
            return await self._refuse(request, error)

    async def _refuse(
        self, request: BaseRequest, error: VioletHatchError
    ) -> StreamResponse:
        """Refuse a request that was not read."""
        response = StreamResponse()
        with contextlib.suppress(ConnectionError):  # the sender went away
            await response.prepare(request)
            await _FrameResponder(request, response, self._server).refuse(error)
        return response

    async def _handle(
        self, request: BaseRequest, reservation: Reservation
    ) -> StreamResponse:
        """Serve one request.

        Raises:
            BodyTooLargeError: It is longer than any that its caller may send.
            OverloadedError: There is no memory for it.
        """
        body = await read_body(
            request.content.iter_any(),
            declared_bytes=request.content_length,
            limit_bytes=self._server.max_body_bytes + _ENVELOPE_BYTES,
            reservation=reservation,
        )
        # The message holds the caller's body once more.
        reserve(reservation, len(body))
        try:
            message = decoded_request(body)
        except ValueError:
            return Response(status=_BAD_REQUEST)
        del body
        response = StreamResponse()
        try:
            await response.prepare(request)
        except ConnectionError:
            return response  # the sender went away, as its caller did
        responder = _FrameResponder(request, response, self._server)
        call = _call(message, now_s=clocks.now_s())
        alive = asyncio.create_task(responder.stay_alive())
        try:
            async with self._server.open_answers.track():
                await self._server.serve_forwarded(
                    call,
                    responder,
                    state_version=message.state_version,
                    runs=message.runs,
                    on_send=lambda runs: responder.note_sends(runs - message.runs),
                )
        except AnswerCutError:
            self._note_cut(call, responder)
            # Without a refusal the sender may have it served elsewhere.
            responder.cut()
        except VioletHatchError as error:
            await responder.refuse(error)
        except ConnectionError:
            _note_left(call)
            responder.abort()
        except asyncio.CancelledError:
            if self._server.open_answers.is_aborted:
                self._note_cut(call, responder)
            else:
                _note_left(call)
            raise
        except Exception as error:
            events.log(
                events.REQUEST_FAILED,
                request_id=call.id,
                code=VioletHatchError.code,
                ran=Ran.MAYBE.value,
                error=repr(error),
                forwarded_by=call.forwarded_by,
            )
            await responder.refuse(VioletHatchError(_INTERNAL_ERROR_DETAIL))
        finally:
            alive.cancel()
        return response

    def _note_cut(self, call: Call, responder: _FrameResponder) -> None:
        """Log an answer that ends because this instance stops."""
        self._server.answer_cut(
            call.id,
            age_s=clocks.now_s() - call.received_s,
            is_begun=responder.is_started,
            ran=AnswerCutError.default_ran,
            forwarded_by=call.forwarded_by,
        )


class _FrameResponder:
    """Passes an answer on to the instance that handed the request over."""

    def __init__(
        self, request: BaseRequest, response: StreamResponse, server: ForwardServer
    ) -> None:
        self._request = request
        self._response = response
        self._server = server
        self.is_started = False
        self._written_s = clocks.now_s()
        self._sends = 1

    async def note_sends(self, sends: int) -> None:
        """Tell the sender of a further send, in case this instance is lost to it."""
        if sends > self._sends:
            self._sends = sends
            await self._write(alive_frame(sends))

    async def answer(
        self, status: int, headers: Headers, body: bytes, *, is_framed: bool = True
    ) -> None:
        """Give an answer."""
        await self.start(status, headers, is_framed=is_framed)
        await self.write(body)
        await self.finish()

    async def start(
        self,
        status: int,
        headers: Headers,
        *,
        is_framed: bool = True,
        length: int | None = None,
    ) -> None:
        """Begin an answer that comes in parts; the sender frames it anew."""
        self.is_started = True
        head = AnswerHead(status, list(headers), is_framed, self._server.in_flight)
        await self._write(message_frame(FrameKind.HEAD, head))

    async def write(self, data: bytes) -> None:
        """Give a part of the answer."""
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start : start + PIECE_BYTES]
            await self._write(frame(FrameKind.PART, piece))

    async def finish(self) -> None:
        """End the answer as whole."""
        await self._response.write_eof(frame(FrameKind.END))

    def abort(self) -> None:
        """Break the answer off, so that it can't be taken for whole."""
        if self._request.transport is not None:
            self._request.transport.abort()

    def cut(self) -> None:
        """End the answer after what was given, without its last frame."""
        if self._request.transport is not None:
            self._request.transport.close()

    async def refuse(self, error: VioletHatchError) -> None:
        """Tell why there is no answer of a server's; break off what has begun."""
        if self.is_started:
            self.abort()
            return
        refusal = Refusal(
            error.code,
            error.detail,
            error.ran.value,
            error.retry_after_s,
            self._server.in_flight,
            _lost_peers(error),
        )
        with contextlib.suppress(ConnectionError):  # the sender went away
            await self._response.write_eof(message_frame(FrameKind.REFUSAL, refusal))

    async def stay_alive(self) -> None:
        """Tell from time to time that the request is at work, until cancelled."""
        while True:
            await asyncio.sleep(_ALIVE_S)
            if clocks.now_s() - self._written_s >= _ALIVE_S:
                try:
                    await self._write(alive_frame(self._sends))
                except ConnectionError:
                    return  # the sender went away; the request's task is told

    async def _write(self, data: bytes) -> None:
        """Write a frame."""
        self._written_s = clocks.now_s()
        await self._response.write(data)


def _lost_peers(error: VioletHatchError) -> tuple[tuple[int, int], ...] | None:
    """Return the other instances without links, if that is why there is no answer."""
    if not isinstance(error, LinksLostError):
        return None
    return encoded_lost(error.lost_peers)


def _note_left(call: Call) -> None:
    """Log that the sender ended its connection, as it does when its caller leaves."""
    events.log(
        events.SENDER_LEFT,
        request_id=call.id,
        forwarded_by=call.forwarded_by,
        age_s=round(clocks.now_s() - call.received_s, 4),
    )


def _call(message: ForwardedRequest, *, now_s: float) -> Call:
    """Return the caller's request as if it had come here."""
    return Call(
        id=message.call_id,
        method=message.method,
        host=message.host,
        target=message.target,
        headers=message.headers,
        body=message.body,
        key=message.key,
        received_s=now_s - message.age_s,
        deadline_s=now_s + message.left_s,
        last_event_id=message.last_event_id,
        prompt_tokens=message.prompt_tokens,
        forwarded_by=message.sender,
        prompt_parts=message.prompt_parts,
    )
