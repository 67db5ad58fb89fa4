# SPDX-License-Identifier: MIT
"""Distinguishes the starts of a server by their entries.

A server may restart under the same id. A write of the previous start may be applied
after the new one's, since a call that timed out may be executed seconds later; its
entry must not replace the later start's. A server whose clock stepped back between two
starts looks the same. Considered alternatives: the latest start time always wins, which
excludes such a server until its clock has caught up; the latest write wins, which
routes requests to a start that has terminated. Instead, the latest start time wins for
as long as a delayed write is possible.

.. versionadded:: 26.4.0
"""

from __future__ import annotations

from typing import NamedTuple

from ._listed import BackendServer


#: For how long after a start was first seen an earlier one's entry counts as a delayed
#: write, in seconds; the platform states seconds, and up to 6 s occur.
LATE_WRITE_S = 10.0


class _LatestStart(NamedTuple):
    """The latest start of a server, and when it was first seen."""

    started_ms: int
    since_s: float


class ServerStarts:
    """The latest known starts of servers.

    .. versionadded:: 26.4.0
    """

    def __init__(self) -> None:
        self._latest: dict[str, _LatestStart] = {}
        #: Entries of earlier starts, which may turn out not to be delayed writes.
        self._deferred: dict[str, BackendServer] = {}

    def is_current(
        self, server: BackendServer, known: BackendServer | None, *, now_s: float
    ) -> bool:
        """Return whether an entry is current; one of an earlier start is deferred.

        Args:
            server: The entry.
            known: The current entry, if any.
            now_s: The current monotonic time, in seconds.
        """
        latest = self._recent_start(server.id, now_s)
        if latest is not None and 0 < server.started_ms < latest.started_ms:
            self._deferred[server.id] = server
            return False
        self._deferred.pop(server.id, None)
        is_new = known is None or server.started_ms != known.started_ms
        if server.started_ms and is_new:
            start = (
                latest if latest and latest.started_ms == server.started_ms else None
            )
            self._latest[server.id] = start or _LatestStart(server.started_ms, now_s)
        return True

    def discard_deferred(self, server_id: str) -> None:
        """Discard the deferred entry of a server that was removed."""
        self._deferred.pop(server_id, None)

    def pop_due(self, *, now_s: float) -> list[BackendServer]:
        """Remove and return the deferred entries that are current now."""
        ids = [
            server_id
            for server_id in self._deferred
            if self._recent_start(server_id, now_s) is None
        ]
        return [self._deferred.pop(server_id) for server_id in ids]

    def expire(self, *, now_s: float) -> None:
        """Remove starts for which delayed writes are no longer possible."""
        expired = [
            server_id
            for server_id in self._latest
            if self._recent_start(server_id, now_s) is None
        ]
        for server_id in expired:
            del self._latest[server_id]

    def _recent_start(self, server_id: str, now_s: float) -> _LatestStart | None:
        """Return a server's latest start if it was first seen recently."""
        latest = self._latest.get(server_id)
        if latest is None or now_s - latest.since_s >= LATE_WRITE_S:
            return None
        return latest
