# SPDX-License-Identifier: MIT
"""Choice between pooled and new connections for calls.

Pooled connections can become unresponsive at the same time, permanently and without a
reset. After a lost response, connections that were idle at the time are not reused.
"""

from __future__ import annotations

import aiohttp

from . import clocks


class ConnectionChoice:
    """Chooses the session for calls of one kind.

    Args:
        pooled: A session that reuses its connections.
        unpooled: A session that opens a new connection for each call.
        max_idle_s: For how long *pooled* keeps idle connections, in seconds.
    """

    def __init__(
        self,
        pooled: aiohttp.ClientSession,
        unpooled: aiohttp.ClientSession,
        *,
        max_idle_s: float,
    ) -> None:
        self._pooled = pooled
        self._unpooled = unpooled
        self._max_idle_s = max_idle_s
        self._unpooled_until_s = 0.0

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session for the next call."""
        return (
            self._unpooled if clocks.now_s() < self._unpooled_until_s else self._pooled
        )

    def record_lost_response(self) -> None:
        """Avoid pooled connections until those that are idle now have been closed."""
        self._unpooled_until_s = clocks.now_s() + self._max_idle_s
