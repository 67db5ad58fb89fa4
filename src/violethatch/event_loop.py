# SPDX-License-Identifier: MIT
"""uvloop's event loop, safe against connections that are given up on as they open.

A `create_connection` that is cancelled while it takes over a connected socket has the
descriptor closed twice.  The second close may hit another connection that has the same
number by then, so that requests and answers of two connections meet.

.. versionadded:: 26.6.0
"""

from __future__ import annotations

import asyncio
import socket

from typing import Any

import uvloop


class EventLoop(uvloop.Loop):  # type: ignore[misc]
    """Lets no cancellation reach a connection that takes over a socket."""

    async def create_connection(
        self,
        protocol_factory: Any,
        *args: Any,
        sock: socket.socket | None = None,
        **options: Any,
    ) -> Any:
        """Open a connection; one that is given up on is closed once it is open.

        See `asyncio.loop.create_connection`.
        """
        if sock is None:
            return await super().create_connection(protocol_factory, *args, **options)
        # The caller may close its socket when it is cancelled.
        own = socket.socket(fileno=sock.detach())
        opening = asyncio.ensure_future(
            super().create_connection(protocol_factory, *args, sock=own, **options)
        )
        try:
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            opening.add_done_callback(_close)
            raise


def _close(opening: asyncio.Future[Any]) -> None:
    """Close a connection that nobody waits for any more."""
    if not opening.cancelled() and opening.exception() is None:
        transport, _ = opening.result()
        transport.abort()
