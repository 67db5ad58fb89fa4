# SPDX-License-Identifier: MIT
"""Enforces the servers' rate limits on everything that one instance sends.

Each send to a server with a rate limit needs a permit from the instance that issues
them for all.  It is acquired when the send is scheduled, and consumed when it is
written.
"""

from __future__ import annotations

import random

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from . import clocks, events
from .backends import BackendServer, BackendTable
from .limit_permits import (
    PERMIT_LIFETIME_S,
    WINDOW_S,
    Permit,
    PermitCache,
    PermitIssuers,
    PermitReply,
)
from .server_limits import Limit, ServerLimits
from .upstream import ServerSignals


#: Maximum number of servers in a state dump and in the gauges.
_MAX_REPORTED_LIMITS = 20
#: Time over which instances resume traffic to a server after its limit is lifted, in
#: seconds.
_RETURN_SPREAD_S = 1.0


class LimitState(NamedTuple):
    """A server's limit, and its use in the last window.

    Attributes:
        limit_a_s: Requests a second that the server accepts from all instances.
        sent: Requests that this instance has written to it.
        given: Permits that this instance has granted to all instances.
    """

    limit_a_s: float
    sent: int
    given: int


class LimitEnforcer:
    """Tracks the servers' rate limits and this instance's permits.

    Args:
        backends: The listed servers.
        rng: Adds jitter to retries for permits, and to the resumption of traffic after
            a limit is lifted.
    """

    def __init__(self, backends: BackendTable, *, rng: random.Random) -> None:
        self._backends = backends
        self._rng = rng
        self.server_limits = ServerLimits()
        self.permits = PermitCache()
        self.issuers = PermitIssuers(rng)
        #: Requests a permit from the instance that issues them; from this instance by
        #: default.
        self.request_permit: Callable[
            [BackendServer, Limit, int], Awaitable[PermitReply]
        ]
        self.request_permit = self._issue_locally
        #: Sends a limit that this instance has received to other instances.
        self.announce: Callable[[str, Limit], None] = lambda _server_id, _limit: None
        #: Called with the outcome of each request for a permit: given or refused.
        self.on_permit: Callable[[str], None] = lambda _outcome: None
        #: By server id, for lifted limits: the time when traffic is resumed.
        self._returns_at_s: dict[str, float] = {}

    def record_signals(
        self, server: BackendServer, signals: ServerSignals, request_id: str
    ) -> None:
        """Process the limit in a response, and announce it to other instances."""
        if signals.limit_per_s is None:
            return
        limit = Limit(
            signals.limit_per_s,
            server.started_ms,
            signals.sent_ms,
            signals.sent_s,
            clocks.now_s(),
            request_id=request_id,
        )
        if self.update(server.id, limit):
            self.announce(server.id, limit)

    def update(self, server_id: str, limit: Limit) -> bool:
        """Process and log a reported limit; return whether it changes the known one.

        Args:
            server_id: The server that advertised it.
            limit: The limit, received from the server or from another instance.
        """
        listed = self._backends.get(server_id)
        known_ms = listed.started_ms if listed is not None else 0
        if not self.server_limits.update(server_id, limit, known_ms=known_ms):
            return False
        if limit.is_lifted:
            self.permits.discard(server_id)
            self._delay_return(server_id)
        events.log(
            events.SERVER_LIMIT,
            request_id=limit.request_id,
            server_id=server_id,
            limit_a_s=None if limit.is_lifted else limit.per_s,
            teller=limit.reported_by,
        )
        return True

    def active_limit(self, server_id: str, *, started_ms: int = 0) -> Limit | None:
        """Return the limit of a server's current start, or None if it has none.

        Args:
            server_id: The server.
            started_ms: Time of the start to use if the server is not listed.
        """
        listed = self._backends.get(server_id)
        return self.server_limits.get(
            server_id, started_ms=listed.started_ms if listed else started_ms
        )

    def zone_of(self, server_id: str) -> str:
        """Return a listed server's availability zone; empty if it isn't listed."""
        listed = self._backends.get(server_id)
        return listed.availability_zone if listed is not None else ""

    async def acquire(
        self, server: BackendServer, limit: Limit, *, priority: int
    ) -> Permit | float:
        """Return a permit for one send, or the seconds until the next attempt."""
        now_s = clocks.now_s()
        remaining_s = self.permits.blocked_s(priority=priority, now_s=now_s).get(
            server.id
        )
        if remaining_s is not None:
            return remaining_s
        permit = self.permits.pop(server.id, now_s=now_s)
        if permit is not None:
            return permit
        reply = await self.request_permit(server, limit, priority)
        self.on_permit("given" if reply.is_granted else "refused")
        if reply.is_granted:
            return Permit(now_s + PERMIT_LIFETIME_S)
        self.permits.block(
            server.id, reply.wait_s, priority=priority, now_s=clocks.now_s()
        )
        return reply.wait_s

    def issue(
        self, server_id: str, requester: str, per_s: float, *, priority: int
    ) -> PermitReply:
        """Issue a permit as the issuer for all instances, or refuse it."""
        return self.issuers.request(
            server_id, requester, per_s, priority=priority, now_s=clocks.now_s()
        )

    def settle(
        self, server: BackendServer, permit: Permit | None, *, was_written: bool
    ) -> None:
        """Consume a permit, or keep it for another send if nothing was written."""
        if permit is None:
            return
        if was_written:
            self.permits.record_use(server.id, now_s=clocks.now_s())
        else:
            self.permits.add(server.id, permit)

    def blocked_s(self, *, priority: int, now_s: float) -> dict[str, float]:
        """Return the remaining seconds of each server without permits, by id."""
        blocked = self.permits.blocked_s(priority=priority, now_s=now_s)
        return {
            server_id: remaining_s
            for server_id, remaining_s in blocked.items()
            if self.active_limit(server_id) is not None
        }

    def recovering(self, *, now_s: float) -> frozenset[str]:
        """Return servers whose limit was lifted, but traffic is not yet resumed."""
        return frozenset(
            server_id
            for server_id, returns_at_s in self._returns_at_s.items()
            if now_s < returns_at_s
        )

    def active_limits(self) -> dict[str, Limit]:
        """Return the limits of the current starts of listed servers, by server id."""
        limits = {
            server_id: self.active_limit(server_id)
            for server_id in self.server_limits.active()
        }
        return {
            server_id: limit
            for server_id, limit in limits.items()
            if limit is not None and self._backends.get(server_id) is not None
        }

    def log_fields(self, server_id: str, limit: Limit | None) -> dict[str, object]:
        """Return the log fields for a limit, if there is one."""
        if limit is None:
            return {}
        now_s = clocks.now_s()
        return {
            "limit_a_s": limit.per_s,
            "limit_age_s": round(now_s - limit.received_s, 3),
            "limit_said_to": limit.request_id,
            "limit_teller": limit.reported_by,
            "sent_of_late": self.permits.used_within(server_id, WINDOW_S, now_s=now_s),
        }

    def state(self) -> dict[str, LimitState]:
        """Return some of the active limits, for a state dump and for gauges."""
        now_s = clocks.now_s()
        granted = self.issuers.granted_within(WINDOW_S, now_s=now_s)
        return {
            server_id: LimitState(
                limit.per_s,
                self.permits.used_within(server_id, WINDOW_S, now_s=now_s),
                granted.get(server_id, 0),
            )
            for server_id, limit in list(self.active_limits().items())[
                :_MAX_REPORTED_LIMITS
            ]
        }

    def _delay_return(self, server_id: str) -> None:
        """Avoid a server for a random time after its limit is lifted.

        All instances learn of that at the same moment.
        """
        now_s = clocks.now_s()
        self._returns_at_s = {
            key: returns_at_s
            for key, returns_at_s in self._returns_at_s.items()
            if now_s < returns_at_s
        }
        self._returns_at_s[server_id] = now_s + self._rng.uniform(0.0, _RETURN_SPREAD_S)

    async def _issue_locally(
        self, server: BackendServer, limit: Limit, priority: int
    ) -> PermitReply:
        """Issue a permit to this instance, if there are no others."""
        return self.issue(server.id, "", limit.per_s, priority=priority)
