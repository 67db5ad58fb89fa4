# SPDX-License-Identifier: MIT
"""Whether calls go out on connections that have rested, or on new ones.

Connections may fall silent together, for good and without a reset.  Once an answer was
lost, those that rested since before are not used any more.
"""

from __future__ import annotations

import aiohttp

from . import clocks


class ConnectionChoice:
    """Chooses the session for calls of one kind.

    Args:
        kept: Keeps its connections.
        fresh: Opens one for each call.
        max_rest_s: For how long *kept* keeps one that rests, in seconds.
    """

    def __init__(
        self,
        kept: aiohttp.ClientSession,
        fresh: aiohttp.ClientSession,
        *,
        max_rest_s: float,
    ) -> None:
        self._kept = kept
        self._fresh = fresh
        self._max_rest_s = max_rest_s
        self._distrusted_until_s = 0.0

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session for the next call."""
        is_distrusted = clocks.now_s() < self._distrusted_until_s
        return self._fresh if is_distrusted else self._kept

    def note_lost(self) -> None:
        """Note that an answer was lost."""
        self._distrusted_until_s = clocks.now_s() + self._max_rest_s
