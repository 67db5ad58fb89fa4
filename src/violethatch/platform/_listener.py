# SPDX-License-Identifier: MIT
"""The listeners: callers, the balancer's question, and metrics."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import msgspec

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server
from aioprometheus import render

from .. import events
from .._problems import problem_response
from .._router import Router
from ..errors import BadRequestError, BodyTooLargeError, VioletHatchError
from ..upstream import Call, Headers
from . import _headers


_MS_PER_S = 1000.0
#: How long a call without a deadline may take, in seconds.
_NO_DEADLINE_S = 60.0
#: The largest body before any desired state says so, in bytes.
_BODY_BYTES = 4_194_304
#: How long idle callers' connections are kept, in seconds; callers use them
#: for four fifths of the time that the desired state gives (15 s).
_KEEP_S = 16.0
_OK = 200
_UNAVAILABLE = 503


class _Unframed(StreamResponse):
    """An answer that ends with its connection, and doesn't claim to be whole."""

    _length_check = False


class _Responder:
    """Answers one caller."""

    def __init__(self, request: BaseRequest, *, is_last: bool) -> None:
        self._request = request
        self._is_last = is_last
        self.response: StreamResponse | None = None

    async def answer(
        self, status: int, headers: Headers, body: bytes, *, is_framed: bool = True
    ) -> None:
        """Give an answer; one that isn't framed ends with its connection."""
        if not is_framed:
            await self.start(status, headers, is_framed=False)
            await self.write(body)
            await self.finish()
            return
        self.response = Response(status=status, body=body)
        self._fill(self.response, headers)
        await self.response.prepare(self._request)
        await self.response.write_eof()

    async def start(
        self, status: int, headers: Headers, *, is_framed: bool = True
    ) -> None:
        """Begin an answer that comes in parts."""
        kind = StreamResponse if is_framed else _Unframed
        self.response = kind(status=status)
        self._fill(self.response, headers)
        if not is_framed:
            self.response.force_close()
        await self.response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Give a part of the answer."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """End the answer as whole."""
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        """Break the answer off, so that it can't be taken for whole."""
        if self._request.transport is not None:
            self._request.transport.abort()

    def _fill(self, response: StreamResponse, headers: Headers) -> None:
        """Put a server's headers in, and none of our own."""
        response.headers.popall("Content-Type", None)
        for name, value in headers:
            response.headers.add(name, value)
        if self._is_last:
            response.force_close()


class CallersListener:
    """Takes callers' requests and hands them to the router."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._server = Server(
            self._handle,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=_KEEP_S,
            max_line_size=16_384,
            max_field_size=16_384,
            auto_decompress=False,
        )

    async def start(self, endpoint: str) -> None:
        """Listen on an address."""
        await _listen(self._server, endpoint)

    async def close(self) -> None:
        """Close all connections."""
        await self._server.shutdown(timeout=0.1)

    async def _handle(self, request: BaseRequest) -> StreamResponse:
        """Serve one request."""
        started_s = time.monotonic()
        is_last = self._router.stop_plan.is_stopping
        responder = _Responder(request, is_last=is_last)
        call_id = request.headers.get(_headers.CALL_ID, "")
        call: Call | None = None
        try:
            call = await self._read(request, call_id, started_s)
            await self._router.serve(call, responder)
        except VioletHatchError as error:
            age_s = time.monotonic() - started_s
            self._router.refused(call_id, error, age_s=age_s)
            return self._problem(error)
        except (ConnectionError, aiohttp.ClientConnectionResetError):
            self._note_left(call)
        except asyncio.CancelledError:
            self._note_left(call)
            raise
        except Exception as error:
            events.log(
                events.REQUEST_FAILED, request_id=call_id, code=1000, error=repr(error)
            )
            if responder.response is None:
                return self._problem(VioletHatchError("internal error"))
            responder.abort()
        return responder.response or Response(status=_UNAVAILABLE)

    async def _read(self, request: BaseRequest, call_id: str, started_s: float) -> Call:
        """Read a request whole.

        Raises:
            BadRequestError: Its headers can't be understood.
            BodyTooLargeError: Its body is too large.
        """
        body = b""
        if request.can_read_body:
            body = await self._read_body(request)
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.raw_headers
        ]
        key = request.headers.get("Authorization")
        return Call(
            id=call_id,
            method=request.method,
            host=request.headers.get("Host", "").partition(":")[0].lower(),
            target=request.raw_path,
            headers=_headers.passed_on(headers),
            body=body,
            key=_key(key),
            received_s=started_s,
            deadline_s=started_s + _deadline_s(request),
            last_event_id=_last_event_id(request),
            prompt_tokens=_prompt_tokens(request),
        )

    async def _read_body(self, request: BaseRequest) -> bytes:
        """Read a body within the limit.

        Raises:
            BodyTooLargeError: It is too large.
        """
        desired = self._router.desired
        limit = desired.limits.body_bytes if desired else _BODY_BYTES
        body = bytearray()
        async for part in request.content.iter_any():
            body += part
            if len(body) > limit:
                msg = f"more than {limit} bytes"
                raise BodyTooLargeError(msg)
        return bytes(body)

    def _problem(self, error: VioletHatchError) -> Response:
        """Return an error's answer."""
        response = problem_response(error)
        if error.retry_after_s is not None:
            # The platform's callers understand fractions of a second.
            response.headers["Retry-After"] = f"{error.retry_after_s:g}"
        if self._router.stop_plan.is_stopping:
            response.force_close()
        return response

    def _note_left(self, call: Call | None) -> None:
        """Note that the caller went away."""
        if call is not None:
            self._router.caller_left(call)


class ReadinessListener:
    """Answers the balancer, and tells metrics."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._servers = [Server(self._ready, access_log=None)]
        self._metrics = Server(self._tell, access_log=None)

    async def start(self, endpoint: str, metrics_port: int) -> None:
        """Listen for both on the same IP number."""
        await _listen(self._servers[0], endpoint)
        if metrics_port:
            address = endpoint.partition(":")[0]
            await _listen(self._metrics, f"{address}:{metrics_port}")

    async def _ready(self, _request: BaseRequest) -> StreamResponse:
        """Tell whether callers should come here."""
        return Response(status=_OK if self._router.is_ready else _UNAVAILABLE)

    async def _tell(self, request: BaseRequest) -> StreamResponse:
        """Tell the metrics, or the state."""
        if request.path == "/state":
            return Response(body=msgspec.json.encode(self._router.state()))
        body, headers = render(
            self._router.metrics.registry, request.headers.getall("Accept", [])
        )
        return Response(body=body, headers=headers)


async def _listen(server: Server, endpoint: str) -> None:
    """Listen with *server* on an address by IP number."""
    address, _, port = endpoint.partition(":")
    loop = asyncio.get_running_loop()

    def connect() -> RequestHandler:
        return server()

    await loop.create_server(connect, address, int(port), backlog=512)


def _key(authorization: str | None) -> str | None:
    """Return the caller's key, if there is one."""
    if authorization is None or not authorization.startswith(_headers.KEY_SCHEME):
        return None
    return authorization.removeprefix(_headers.KEY_SCHEME).strip()


def _deadline_s(request: BaseRequest) -> float:
    """Return how long the caller waits, in seconds.

    Raises:
        BadRequestError: The header is no number.
    """
    text = request.headers.get(_headers.DEADLINE_MS)
    if text is None:
        return _NO_DEADLINE_S
    try:
        return float(text) / _MS_PER_S
    except ValueError:
        msg = f"{_headers.DEADLINE_MS} is no number"
        raise BadRequestError(msg) from None


def _prompt_tokens(request: BaseRequest) -> int | None:
    """Return the size of the prompt, if the caller tells it."""
    prompt, _, _ = request.headers.get(_headers.TOKEN_COUNT, "").partition(",")
    return int(prompt) if prompt.isdecimal() else None


def _last_event_id(request: BaseRequest) -> int | None:
    """Return the event after which the caller resumes a stream, if it does.

    Raises:
        BadRequestError: The header is no number.
    """
    text = request.headers.get(_headers.LAST_EVENT_ID)
    if text is None:
        return None
    try:
        return int(text)
    except ValueError:
        msg = f"{_headers.LAST_EVENT_ID} is no number"
        raise BadRequestError(msg) from None
