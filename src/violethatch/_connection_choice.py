# SPDX-License-Identifier: MIT
"""Whether calls go out on idle connections, or on new ones.

Connections may fall silent together, for good and without a reset.  Once an answer was
lost, those that were idle then are not used any more.
"""

from __future__ import annotations

import aiohttp

from . import clocks


class ConnectionChoice:
    """Chooses the session for calls of one kind.

    Args:
        kept: Keeps its connections.
        fresh: Opens one for each call.
        max_idle_s: For how long *kept* keeps an idle one, in seconds.
    """

    def __init__(
        self,
        kept: aiohttp.ClientSession,
        fresh: aiohttp.ClientSession,
        *,
        max_idle_s: float,
    ) -> None:
        self._kept = kept
        self._fresh = fresh
        self._max_idle_s = max_idle_s
        self._fresh_until_s = 0.0

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session for the next call."""
        return self._fresh if clocks.now_s() < self._fresh_until_s else self._kept

    def record_lost_response(self) -> None:
        """Note that an answer was lost."""
        self._fresh_until_s = clocks.now_s() + self._max_idle_s
