# SPDX-License-Identifier: MIT
"""Rate limits that servers advertise, and which of several reports is the latest.

An overloaded server advertises in its response headers how many requests a second it
accepts from all instances together, for as long as the limit holds.  Responses arrive
out of order, and instances forward limits to each other, so each report is stored with
the time at which the request was sent and the time at which the response was received:
the server generated the header between the two.  A report replaces an earlier one if
its request was sent after that one was received; if the order can't be determined, the
lower limit applies.  A response without a limit lifts the limit by the same rule.

Limits are stored per server id and start, like back-offs (`server_backoffs`): an entry
that is removed and added again changes nothing, a restarted server has no limit.

.. versionadded:: 26.6.0
"""

from __future__ import annotations

import math

from collections.abc import Mapping
from typing import NamedTuple

from .server_backoffs import may_come_from_start, resolve_start


#: Maximum number of limits; the least recently received is evicted.  Five times the
#: servers of the largest planned fleet (790), at about 250 bytes each.
MAX_LIMITS = 4_000
#: Time for which a lifted limit is stored, in seconds, so that older reports that
#: arrive late from other instances don't restore the limit.
_LIFTED_RETENTION_S = 10.0


class Limit(NamedTuple):
    """A rate limit that a server advertised.

    Attributes:
        per_s: Requests a second that it accepts from all instances together; infinite
            if the limit was lifted.
        started_ms: Time of the server's start that was listed; 0 if unknown.
        sent_ms: Wall-clock time when the request was sent; 0 if another instance
            reported the limit.
        sent_s: Monotonic time when the request was sent, in seconds.
        received_s: Monotonic time when the response was received, in seconds.
        request_id: Id of the call; empty if it was not a call.
        reported_by: The instance that forwarded the limit; empty if this instance
            received it from the server.

    .. versionadded:: 26.6.0
    """

    per_s: float
    started_ms: int
    sent_ms: int
    sent_s: float
    received_s: float
    request_id: str = ""
    reported_by: str = ""

    @property
    def is_lifted(self) -> bool:
        """Whether the server no longer advertises a limit."""
        return math.isinf(self.per_s)

    def applies_to(self, started_ms: int) -> bool:
        """Return whether the limit may come from a start of the server."""
        return may_come_from_start(
            started_ms, listed_ms=self.started_ms, sent_ms=self.sent_ms
        )

    def superseding(self, known: Limit) -> Limit | None:
        """Return the limit in force after a known one; None if that stays in force.

        If the order of both is unknown, the lower limit applies while either may be the
        latest: until the response to a request that is sent after both were received.
        """
        if self.sent_s >= known.received_s:
            return self
        if self.per_s < known.per_s and self.received_s > known.sent_s:
            return self._replace(
                sent_s=max(self.sent_s, known.sent_s),
                received_s=max(self.received_s, known.received_s),
            )
        return None


class ServerLimits:
    """The rate limits that are known to one instance.

    .. versionadded:: 26.6.0
    """

    def __init__(self) -> None:
        self._limits: dict[str, Limit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def update(self, server_id: str, limit: Limit, *, known_ms: int = 0) -> bool:
        """Process a reported limit; return whether it changes the limit in force.

        Args:
            server_id: The server that advertised it.
            limit: The reported limit.
            known_ms: Time of the server's latest known start; 0 if unknown.
        """
        started_ms = resolve_start(
            limit.started_ms, known_ms=known_ms, sent_ms=limit.sent_ms
        )
        if started_ms is None:
            return False
        limit = limit._replace(started_ms=started_ms)
        known = self._limits.get(server_id)
        if known is not None and not known.applies_to(limit.started_ms):
            if 0 < limit.started_ms < known.started_ms:
                return False
            known = None
        if known is None and limit.is_lifted:
            return False
        effective = limit if known is None else limit.superseding(known)
        if effective is None:
            return False
        self._store(server_id, effective)
        return known is None or known.per_s != limit.per_s

    def get(self, server_id: str, *, started_ms: int = 0) -> Limit | None:
        """Return the limit of a start of a server, or None if it has none."""
        limit = self._limits.get(server_id)
        if limit is None or limit.is_lifted or not limit.applies_to(started_ms):
            return None
        return limit

    def latest(self, server_id: str) -> Limit | None:
        """Return the latest report for a server, including a lifted limit."""
        return self._limits.get(server_id)

    def active(self) -> Mapping[str, Limit]:
        """Return the limits that are not lifted, by server id."""
        return {
            server_id: limit
            for server_id, limit in self._limits.items()
            if not limit.is_lifted
        }

    def _store(self, server_id: str, limit: Limit) -> None:
        """Store a limit, and evict others above the maximum."""
        self._limits.pop(server_id, None)
        expired = [
            key
            for key, known in self._limits.items()
            if known.is_lifted
            and limit.received_s - known.received_s > _LIFTED_RETENTION_S
        ]
        for key in expired:
            del self._limits[key]
        if len(self._limits) >= MAX_LIMITS:
            del self._limits[min(self._limits, key=self._received_s)]
        self._limits[server_id] = limit

    def _received_s(self, server_id: str) -> float:
        """Return when the latest report for a server was received."""
        return self._limits[server_id].received_s
