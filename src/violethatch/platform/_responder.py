# SPDX-License-Identifier: MIT
"""Answers to callers, whole or in parts."""

from __future__ import annotations

import socket
import struct

from aiohttp.http import HttpVersion11
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from ..upstream import Headers


#: Makes the kernel reset a connection when its socket is closed: linger, for no time.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CLOSE = struct.pack("ii", 0, 0)


class _Unframed(StreamResponse):
    """An answer that ends with its connection, and doesn't claim to be whole."""

    _length_check = False


class CallerResponder:
    """Answers one caller.

    An answer that ends with its connection is complete for its caller once that is
    closed.  Until it is complete, any close resets the connection instead: also the
    kernel's, after the process was killed.
    """

    def __init__(self, request: BaseRequest, *, is_last: bool) -> None:
        self._request = request
        self._is_last = is_last
        self._is_delimited = True
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
        can_be_chunked = self._request.version >= HttpVersion11
        self._is_delimited = is_framed and (length is not None or can_be_chunked)
        if not self._is_delimited:
            self._set_linger(_RESET_ON_CLOSE)
        await self.response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Give a part of the answer."""
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        """End the answer as whole."""
        assert self.response is not None
        await self.response.write_eof()
        if not self._is_delimited:
            await self._flush()
            self._set_linger(_CLOSE)

    def abort(self) -> None:
        """Break the answer off, so that it can't be taken for whole."""
        if self._request.transport is not None:
            self._request.transport.abort()

    def cut(self) -> None:
        """End the answer after what was given, so that it can't be taken for whole."""
        if not self._is_delimited:
            self.abort()
        elif self._request.transport is not None:
            self._request.transport.close()

    async def _flush(self) -> None:
        """Wait until the kernel has taken over all that was written.

        Raises:
            ConnectionError: The caller is gone.
        """
        transport = self._request.transport
        if transport is not None and not transport.is_closing():
            transport.set_write_buffer_limits(high=0)
        await self._request.writer.drain()

    def _set_linger(self, option: bytes) -> None:
        """Set what closing the connection does."""
        transport = self._request.transport
        if transport is not None and not transport.is_closing():
            connection = transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def _fill(self, response: StreamResponse, headers: Headers) -> None:
        """Put a server's headers in, and none of our own."""
        response.headers.popall("Content-Type", None)
        for name, value in headers:
            response.headers.add(name, value)
        if self._is_last:
            response.force_close()
