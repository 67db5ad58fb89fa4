# SPDX-License-Identifier: MIT
"""Servers that were removed from the list, and must not be restored by an older one.

A store that was restored from a backup lists servers that had been removed. These may
still respond for a while, but must not be used. The platform removes them again once
they are silent; a server that is alive writes a new entry.

Load pattern: a fleet of hundreds of servers, some of which leave each minute, and a
restore now and then.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

from typing import NamedTuple

from ._listed import BackendServer


#: For how long a removal is remembered, in seconds; a backup is a few seconds old.
DEPARTURE_TTL_S = 120.0
#: For how long removed servers that a restored store lists are ignored, in seconds;
#: those listed after that have passed the platform's own checks.
RESTORE_QUARANTINE_S = 15.0
#: Maximum number of removals that are remembered, the most recent ones: twice the
#: planned maximum fleet size.
_MAX_DEPARTURES = 1_600


class _Departure(NamedTuple):
    """The removal of a server's start from the list."""

    started_ms: int
    removed_s: float


class Departures:
    """The servers that were removed from one instance's list.

    .. versionadded:: 26.7.0
    """

    def __init__(self) -> None:
        self._departures: dict[str, _Departure] = {}
        self._quarantine_until_s = float("-inf")

    def record(self, server: BackendServer, *, now_s: float) -> None:
        """Record that a server was removed from the list."""
        self._departures.pop(server.id, None)
        self._departures[server.id] = _Departure(server.started_ms, now_s)
        while len(self._departures) > _MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]

    def discard(self, server_id: str) -> None:
        """Discard the removal of a server whose entry was written again."""
        self._departures.pop(server_id, None)

    def record_restore(self, *, now_s: float) -> None:
        """Record that the store was restored from a backup."""
        self._quarantine_until_s = now_s + RESTORE_QUARANTINE_S

    def is_resurrected(self, server: BackendServer, *, now_s: float) -> bool:
        """Return whether a full list contains a server only because it is outdated.

        Args:
            server: A server of a full list.
            now_s: The current monotonic time, in seconds.
        """
        if now_s >= self._quarantine_until_s:
            return False
        departure = self._departures.get(server.id)
        if departure is None or departure.started_ms != server.started_ms:
            return False
        return now_s - departure.removed_s < DEPARTURE_TTL_S
