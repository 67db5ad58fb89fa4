# SPDX-License-Identifier: MIT
"""Which start of a server its entry is of.

A server may start again under the id that it had.  A write of the start before may be
done after the new one's, since a call without an answer may be done seconds later: its
entry must not replace the later start's.  A server whose clock stepped back between two
starts looks the same.  Ways weighed: the highest time of all wins (shuts such a server
out until its clock has caught up); the newest write wins (sends requests to a start
that is over); the highest wins for as long as a late write may take, which is chosen.

.. versionadded:: 26.4.0
"""

from __future__ import annotations

from typing import NamedTuple

from ._listed import BackendServer


#: For how long after a start was first seen an earlier one's entry counts as a late
#: write, in seconds: the platform speaks of seconds, 6 s were seen at the most.
LATE_WRITE_S = 10.0


class _Newest(NamedTuple):
    """The latest start of a server, and since when it is known."""

    started_ms: int
    since_s: float


class ServerStarts:
    """The latest starts that one instance has heard of.

    .. versionadded:: 26.4.0
    """

    def __init__(self) -> None:
        self._newest: dict[str, _Newest] = {}
        #: Entries of earlier starts that may turn out not to be late.
        self._waiting: dict[str, BackendServer] = {}

    def admits(
        self, server: BackendServer, known: BackendServer | None, *, now_s: float
    ) -> bool:
        """Tell whether an entry counts now; one of an earlier start has to wait.

        Args:
            server: The entry.
            known: The one that counted so far.
            now_s: The current monotonic time, in seconds.
        """
        newest = self._recent(server.id, now_s)
        if newest is not None and 0 < server.started_ms < newest.started_ms:
            self._waiting[server.id] = server
            return False
        self._waiting.pop(server.id, None)
        is_new = known is None or server.started_ms != known.started_ms
        if server.started_ms and is_new:
            since = (
                newest if newest and newest.started_ms == server.started_ms else None
            )
            self._newest[server.id] = since or _Newest(server.started_ms, now_s)
        return True

    def gone(self, server_id: str) -> None:
        """Note that a server's entry is gone: nothing of it waits any more."""
        self._waiting.pop(server_id, None)

    def due(self, *, now_s: float) -> list[BackendServer]:
        """Return the entries of earlier starts that have stayed, and now count."""
        ids = [one for one in self._waiting if self._recent(one, now_s) is None]
        return [self._waiting.pop(one) for one in ids]

    def forget_old(self, *, now_s: float) -> None:
        """Forget starts that no late write can be taken for any more."""
        old = [one for one in self._newest if self._recent(one, now_s) is None]
        for server_id in old:
            del self._newest[server_id]

    def _recent(self, server_id: str, now_s: float) -> _Newest | None:
        """Return a server's latest start, if it was first seen a short while ago."""
        newest = self._newest.get(server_id)
        if newest is None or now_s - newest.since_s >= LATE_WRITE_S:
            return None
        return newest
