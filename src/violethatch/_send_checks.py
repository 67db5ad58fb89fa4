# SPDX-License-Identifier: MIT
"""Rechecks that a server may be sent to, right before the request is written.

Between the decision to send and the write lies the wait for a connection, in which the
server may have asked for less or drained.  A hook of the library's request checks again
when the connection is there.
"""

from __future__ import annotations

import contextlib
import contextvars

from collections.abc import Callable, Iterator

import aiohttp

from aiohttp.connector import Connection


#: The check before a write; it raises what keeps the request back.
_CHECK: contextvars.ContextVar[Callable[[], None] | None] = contextvars.ContextVar(
    "check", default=None
)


@contextlib.contextmanager
def send_check(
    check: Callable[[], None], *, before_write: Callable[[], None] | None = None
) -> Iterator[None]:
    """Check now, and have the requests made within checked before their write.

    Args:
        check: Raises what keeps a request back.
        before_write: The check right before the write, where it is another one.
    """
    check()
    token = _CHECK.set(before_write or check)
    try:
        yield
    finally:
        _CHECK.reset(token)


class CheckedRequest(aiohttp.ClientRequest):
    """A request that is checked again when its connection is there."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Write the request, unless it is kept back; the connection can be used on."""
        check = _CHECK.get()
        if check is not None:
            try:
                check()
            except BaseException:
                conn.release()
                raise
        return await super().send(conn)
