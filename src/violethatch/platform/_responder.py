# SPDX-License-Identifier: MIT
"""Answers to callers, whole or in parts."""

from __future__ import annotations

import socket
import struct

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from ..upstream import Headers


#: What makes a socket's close reset its connection: to linger, for no time.
_RESET = struct.pack("ii", 1, 0)


class _Unframed(StreamResponse):
    """An answer that ends with its connection, and doesn't claim to be whole."""

    _length_check = False


class CallerResponder:
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
        self,
        status: int,
        headers: Headers,
        *,
        is_framed: bool = True,
        length: int | None = None,
    ) -> None:
        """Begin an answer that comes in parts; its length may be known."""
        kind = StreamResponse if is_framed else _Unframed
        self.response = kind(status=status)
        self._fill(self.response, headers)
        if not is_framed:
            self.response.force_close()
        elif length is not None:
            self.response.content_length = length
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
        transport = self._request.transport
        if transport is None:
            return
        if isinstance(self.response, _Unframed) and not transport.is_closing():
            # Closed in the usual way, the connection would end as it does after a whole
            # answer.
            connection = transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        transport.abort()

    def cut(self) -> None:
        """End the answer after what was given, so that it can't be taken for whole."""
        if isinstance(self.response, _Unframed):
            self.abort()
        elif self._request.transport is not None:
            self._request.transport.close()

    def _fill(self, response: StreamResponse, headers: Headers) -> None:
        """Put a server's headers in, and none of our own."""
        response.headers.popall("Content-Type", None)
        for name, value in headers:
            response.headers.add(name, value)
        if self._is_last:
            response.force_close()
