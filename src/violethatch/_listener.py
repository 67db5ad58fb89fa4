# SPDX-License-Identifier: MIT
"""An HTTP listener with a bound on its connections."""

from __future__ import annotations

import asyncio
import ssl

from typing import cast

import msgspec

from aiohttp import web

from .errors import OverloadedError


_SHUTDOWN_TIMEOUT_S = 1.0
_LINE_BYTES = 8190
_LINGER_S = 0.2


class _Refusing(asyncio.Protocol):
    """Answers a connection beyond the limit, and closes it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the refusal without reading: nothing was run."""
        # uvloop's transports are no subclass of asyncio's.
        writer = cast("asyncio.WriteTransport", transport)
        error = OverloadedError("too many connections")
        body = msgspec.json.encode(error.problem())
        head = (
            f"HTTP/1.1 {error.status} Service Unavailable\r\n"
            "Content-Type: application/problem+json\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Retry-After: 1\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode() + body)
        # Closed at once, the connection would be reset before this is read.
        loop = asyncio.get_running_loop()
        loop.call_later(_LINGER_S, transport.close)


class Listener:
    """Serves an application on one address.

    Args:
        application: What to serve.
        connections: The most connections at one time.
    """

    def __init__(self, application: web.Application, *, connections: int) -> None:
        self._connections = connections
        self._server: asyncio.Server | None = None
        self._runner = web.AppRunner(
            application,
            access_log=None,
            # A caller who goes away ends its request.
            handler_cancellation=True,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
            max_line_size=_LINE_BYTES,
            max_field_size=_LINE_BYTES,
        )

    async def start(
        self, address: str, port: int, context: ssl.SSLContext | None
    ) -> int:
        """Listen; return the port."""
        await self._runner.setup()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol, address, port, ssl=context
        )
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        await self._runner.cleanup()

    def _make_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of a new connection."""
        server = self._runner.server
        assert server is not None
        if len(server.connections) >= self._connections:
            return _Refusing()
        return server()
