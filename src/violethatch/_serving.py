# SPDX-License-Identifier: MIT
"""Listening with aiohttp's plain servers."""

from __future__ import annotations

import asyncio

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_server import Server


#: Connections that may wait to be accepted.
_BACKLOG = 512


async def listen(server: Server, endpoint: str) -> asyncio.Server:
    """Listen with *server* on an address by IP number.

    Raises:
        OSError: The address can't be listened on.
    """
    address, _, port = endpoint.partition(":")
    loop = asyncio.get_running_loop()

    def connect() -> RequestHandler:
        return server()

    return await loop.create_server(connect, address, int(port), backlog=_BACKLOG)
