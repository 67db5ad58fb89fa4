# SPDX-License-Identifier: MIT
"""Checks a request again right before it is written.

A scheduled request may wait for a connection, and in the meantime its server may have
requested a back-off or started to shut down.  A hook in the HTTP library's request
class repeats the check when the connection is established.
"""

from __future__ import annotations

import contextlib
import contextvars

from collections.abc import Callable, Iterator

import aiohttp

from aiohttp.connector import Connection


#: The check before a write; raises an exception to reject the request.
_CHECK: contextvars.ContextVar[Callable[[], None] | None] = contextvars.ContextVar(
    "check", default=None
)


@contextlib.contextmanager
def send_check(
    check: Callable[[], None], *, before_write: Callable[[], None] | None = None
) -> Iterator[None]:
    """Check now, and again before each request made in the context is written.

    Args:
        check: Raises an exception to reject a request.
        before_write: Check right before the write; *check* if omitted.
    """
    check()
    token = _CHECK.set(before_write or check)
    try:
        yield
    finally:
        _CHECK.reset(token)


class CheckedRequest(aiohttp.ClientRequest):
    """A request that is checked again when its connection is established."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Write the request; if it is rejected, its connection remains usable."""
        check = _CHECK.get()
        if check is not None:
            try:
                check()
            except BaseException:
                conn.release()
                raise
        return await super().send(conn)
