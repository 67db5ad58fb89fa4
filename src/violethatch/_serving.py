# SPDX-License-Identifier: MIT
"""Addresses by IP number, and listening on them with aiohttp's plain servers."""

from __future__ import annotations

import asyncio

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_server import Server


#: Connections that may wait to be accepted.
_BACKLOG = 512


def host_and_port(endpoint: str) -> tuple[str, int]:
    """Return the IP number and the port of an address.

    Raises:
        ValueError: It has no port.
    """
    host, _, port = endpoint.partition(":")
    return host, int(port)


async def listen(server: Server, endpoint: str) -> asyncio.Server:
    """Listen with *server* on an address by IP number.

    Raises:
        OSError: The address can't be listened on.
    """
    host, port = host_and_port(endpoint)
    loop = asyncio.get_running_loop()

    def connect() -> RequestHandler:
        return server()

    return await loop.create_server(connect, host, port, backlog=_BACKLOG)
