# SPDX-License-Identifier: MIT
"""Servers that have left the list, and that an older list must not bring back.

A store that is restored from a copy lists servers that had left.  They may still
answer for a while, but are to get nothing.  The platform removes them again when they
are silent; one that lives writes its entry anew.

Load pattern: a fleet of hundreds of servers, some of which leave each minute, and a
restore now and then.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

from typing import NamedTuple

from ._listed import BackendServer


#: How long a departure is remembered, in seconds; a copy is some seconds old.
DEPARTURE_LIFE_S = 120.0
#: How long a server that a restored store lists again is left out, in seconds: then it
#: has survived the platform's own checks.
RESTORE_QUARANTINE_S = 15.0
#: The latest departures are remembered: of the largest fleet planned for, twice.
_MAX_DEPARTURES = 1_600


class _Departure(NamedTuple):
    """A start of a server that has left the list."""

    started_ms: int
    at_s: float


class Departures:
    """The servers that have left one instance's list.

    .. versionadded:: 26.7.0
    """

    def __init__(self) -> None:
        self._departures: dict[str, _Departure] = {}
        self._undone_until_s = float("-inf")

    def note(self, server: BackendServer, *, now_s: float) -> None:
        """Record that a server has left the list."""
        self._departures.pop(server.id, None)
        self._departures[server.id] = _Departure(server.started_ms, now_s)
        while len(self._departures) > _MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]

    def listed_again(self, server_id: str) -> None:
        """Record that a server's entry was written anew."""
        self._departures.pop(server_id, None)

    def restored(self, *, now_s: float) -> None:
        """Record that the store was restored from a copy."""
        self._undone_until_s = now_s + RESTORE_QUARANTINE_S

    def is_undone(self, server: BackendServer, *, now_s: float) -> bool:
        """Return whether a whole list brings back a server that has left.

        Args:
            server: A server of a whole list.
            now_s: The current monotonic time, in seconds.
        """
        if now_s >= self._undone_until_s:
            return False
        departure = self._departures.get(server.id)
        if departure is None or departure.started_ms != server.started_ms:
            return False
        return now_s - departure.at_s < DEPARTURE_LIFE_S
