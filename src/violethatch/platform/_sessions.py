# SPDX-License-Identifier: MIT
"""HTTP sessions that add nothing to a request and give up dead peers."""

from __future__ import annotations

import asyncio
import functools
import socket

from typing import Any

import aiohttp

from aiohttp.client_proto import ResponseHandler

from .. import running_time
from .._response_handlers import check_responses
from .._send_checks import CheckedRequest


#: How long a connection may take to come about, in seconds: a lost opening
#: packet is sent again after one.
_CONNECT_S = 0.6
#: How long idle connections are kept, in seconds; servers close theirs
#: earlier than they say now and then.
KEEP_S = 4.0
#: After how long unacknowledged bytes end a connection, in ms.
_UNACKED_MS = 3000
#: After how long without bytes the kernel asks whether a connection's peer is there,
#: how long it waits for a word, in seconds, and how often it asks.  A connection may
#: go silent for good; one that rests is found out so before a request is sent on it.
_PROBE_AFTER_S = 1
_PROBE_EVERY_S = 1
_MOST_PROBES = 2
#: What aiohttp would add to a request.
_NOT_ADDED = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
#: How much of an answer is read ahead of who takes it, in bytes.
_READ_BUFFER_BYTES = 65_536


class _Connector(aiohttp.TCPConnector):
    """Gives up on a connection by the time that this process ran."""

    async def _wrap_create_connection(
        self, *args: Any, timeout: aiohttp.ClientTimeout, **options: Any
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        """Open a connection.

        Raises:
            TimeoutError: It did not come about in time.
        """
        open_connection = functools.partial(
            super()._wrap_create_connection,
            *args,
            timeout=aiohttp.ClientTimeout(total=None),
            **options,
        )
        if timeout.sock_connect is None:
            return await open_connection()
        async with running_time.timeout(timeout.sock_connect):
            return await open_connection()


def _make_socket(address: Any) -> socket.socket:
    """Return a socket that gives a dead peer up."""
    family, kind, protocol, *_ = address
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKED_MS)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_AFTER_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_EVERY_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MOST_PROBES)
    return made


def make_session(*, is_kept: bool) -> aiohttp.ClientSession:
    """Return a session that adds nothing to what is sent.

    Args:
        is_kept: Whether connections are used again.
    """
    options: dict[str, Any] = (
        {"keepalive_timeout": KEEP_S} if is_kept else {"force_close": True}
    )
    connector = _Connector(
        limit=0, use_dns_cache=False, socket_factory=_make_socket, **options
    )
    check_responses(connector)
    session = aiohttp.ClientSession(
        connector=connector,
        request_class=CheckedRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_NOT_ADDED,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_S),
        read_bufsize=_READ_BUFFER_BYTES,
    )
    # A send that is repeated without our knowing would not be counted.
    session._retry_connection = False
    return session
