# SPDX-License-Identifier: MIT
"""Addresses by IP number, and listening on them with aiohttp's plain servers."""

from __future__ import annotations

import asyncio
import errno

from collections.abc import Awaitable, Callable
from typing import TypeVar

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_server import Server

from . import clocks, events
from .errors import AddressError


#: Connections that may wait to be accepted.
_BACKLOG = 512
#: How long an address is tried for, in seconds: the process before may still be ending,
#: or the machine's address may not be up.
_ADDRESS_WAIT_S = 5.0
_ADDRESS_TRY_S = 0.1
_MAY_BE_FREE_LATER = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)

_Bound = TypeVar("_Bound")


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
        AddressError: The address can't be listened on.
    """
    host, port = host_and_port(endpoint)
    loop = asyncio.get_running_loop()

    def connect() -> RequestHandler:
        return server()

    return await when_free(
        endpoint, lambda: loop.create_server(connect, host, port, backlog=_BACKLOG)
    )


async def when_free(endpoint: str, bind: Callable[[], Awaitable[_Bound]]) -> _Bound:
    """Bind an address, once no other socket holds it.

    Args:
        endpoint: The address, for the log.
        bind: Binds it, or raises `OSError`.

    Raises:
        AddressError: The address can't be listened on.
    """
    give_up_s = clocks.now_s() + _ADDRESS_WAIT_S
    is_logged = False
    while True:
        try:
            return await bind()
        except OSError as error:
            may_be_free = error.errno in _MAY_BE_FREE_LATER
            if not may_be_free or clocks.now_s() >= give_up_s:
                msg = f"{endpoint}: {error.strerror}"
                raise AddressError(msg) from error
            if not is_logged:
                events.log(
                    events.ADDRESS_TAKEN, address=endpoint, reason=error.strerror
                )
                is_logged = True
        await asyncio.sleep(_ADDRESS_TRY_S)
