# SPDX-License-Identifier: MIT
"""Flow control for everything that an instance sends to backend servers.

Servers advertise back-offs, rate limits and shutdowns in their response headers.
Every call, move, layer order and report query is checked against these signals when
it is scheduled, and again right before it is written.  Sends to a server with a rate
limit shared by all instances also need a permit, which is acquired when the send is
scheduled and consumed when it is written.
"""

from __future__ import annotations

import random

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from . import clocks, events
from ._limit_enforcement import LimitEnforcer
from .backends import BackendServer, BackendTable
from .limit_permits import Permit
from .server_backoffs import Backoff, ServerBackoffs
from .server_limits import Limit
from .upstream import KeptBackError, SendKind, ServerSignals


#: Maximum number of servers in one log line.
_MAX_LOGGED_SERVERS = 20
#: Maximum number of unknown headers that are logged.
_MAX_LOGGED_UNKNOWN_HEADERS = 32


class _Rejection(NamedTuple):
    """The reason for rejecting a send, and its remaining duration in seconds."""

    reason: str
    remaining_s: float = 0.0
    backoff: Backoff | None = None
    limit: Limit | None = None


class FlowController:
    """Tracks the signals that servers send to this instance, and enforces them.

    Args:
        backends: The listed servers.
        rng: Adds jitter to the resumption of traffic after a back-off.
    """

    def __init__(self, backends: BackendTable, *, rng: random.Random) -> None:
        self._backends = backends
        self.backoffs = ServerBackoffs(rng)
        self.limits = LimitEnforcer(backends, rng=rng)
        self._logged_unknown_headers: set[str] = set()
        #: Called with the kind of each signal: rest, wish, leaving, limit, unread or
        #: unknown.
        self.on_signal: Callable[[str], None] = lambda _kind: None
        #: Called with each rejected send and the reason.
        self.on_send_rejected: Callable[[SendKind, str], None] = (
            lambda _sending, _reason: None
        )
        #: Called with a server that requests an advisory back-off, and its duration in
        #: seconds.
        self.on_advisory_backoff: Callable[[BackendServer, float], None] = (
            lambda _server, _duration_s: None
        )
        #: Called with a server when it first reports that it is shutting down.
        self.on_leaving: Callable[[BackendServer], None] = lambda _server: None

    async def admit(
        self,
        server: BackendServer,
        sending: SendKind,
        request_id: str,
        *,
        priority: int = 0,
    ) -> Permit | None:
        """Check a send when it is scheduled, and acquire a permit if it needs one.

        Returns:
            The permit to send with, or None if none is needed.

        Raises:
            KeptBackError: The send is rejected.
        """
        now_s = clocks.now_s()
        self._raise_if_rejected(
            self._find_rejection(server, sending, now_s=now_s),
            server,
            sending,
            request_id,
        )
        limit = self._active_limit(server)
        if limit is None:
            return None
        # The limit is shared: if each instance used all of it, the server would get a
        # multiple of it.
        permit = await self.limits.acquire(server, limit, priority=priority)
        if isinstance(permit, Permit):
            return permit
        rejection = _Rejection("limit", permit, limit=limit)
        self._raise_if_rejected(rejection, server, sending, request_id)
        return None

    def check_send(
        self,
        server: BackendServer,
        sending: SendKind,
        request_id: str,
        permit: Permit | None = None,
    ) -> None:
        """Check a send right before it is written.

        Raises:
            KeptBackError: The send is rejected.
        """
        now_s = clocks.now_s()
        rejection = self._find_rejection(server, sending, now_s=now_s)
        limit = self._active_limit(server)
        is_permitted = permit is not None and now_s < permit.until_s
        if rejection is None and limit is not None and not is_permitted:
            rejection = _Rejection("limit", limit=limit)
        self._raise_if_rejected(rejection, server, sending, request_id)
        if sending is SendKind.CALL:
            self.backoffs.record_send(server.id, now_s=now_s)

    def release_permit(
        self, server: BackendServer, permit: Permit | None, *, was_written: bool
    ) -> None:
        """Consume a permit, or keep it for another send if nothing was written."""
        self.limits.settle(server, permit, was_written=was_written)

    def _raise_if_rejected(
        self,
        rejection: _Rejection | None,
        server: BackendServer,
        sending: SendKind,
        request_id: str,
    ) -> None:
        """Count, log and raise a rejection, if there is one.

        Raises:
            KeptBackError: The send is rejected.
        """
        if rejection is None:
            return
        self.on_send_rejected(sending, rejection.reason)
        events.log(
            events.SEND_KEPT_BACK,
            request_id=request_id,
            server_id=server.id,
            sending=sending.value,
            reason=rejection.reason,
            left_s=round(rejection.remaining_s, 3),
            said_to=rejection.backoff.request_id if rejection.backoff else None,
            **self.limits.log_fields(server.id, rejection.limit),
        )
        raise KeptBackError(rejection.reason, rejection.remaining_s)

    def record_signals(
        self, server: BackendServer, signals: ServerSignals, request_id: str
    ) -> None:
        """Process a server's signals as soon as the response headers are received."""
        now_s = clocks.now_s()
        if signals.backoff_s is None:
            self.backoffs.record_response(server.id, now_s=now_s)
        self._record_unknown_headers(server, signals, request_id)
        if signals.finite_limit_per_s is not None:
            self.on_signal("limit")
        self.limits.record_signals(server, signals, request_id)
        if not signals.has_signals:
            return
        is_longer = self._apply_backoff_signal(server, signals, request_id, now_s=now_s)
        is_new = signals.is_leaving and self._record_leaving(server, signals.sent_ms)
        if signals.invalid:
            self.on_signal("unread")
        events.log(
            events.SERVER_WORD,
            request_id=request_id,
            server_id=server.id,
            lifetime=server.lifetime,
            status=signals.status,
            asks_rest_s=signals.backoff_s,
            is_binding=signals.is_binding,
            is_longer=is_longer,
            says_leaving=signals.is_leaving,
            is_news=is_new,
            unread=signals.invalid,
        )

    def _active_limit(self, server: BackendServer) -> Limit | None:
        """Return the rate limit in force for a server, if any."""
        return self.limits.active_limit(server.id, started_ms=server.started_ms)

    def _record_unknown_headers(
        self, server: BackendServer, signals: ServerSignals, request_id: str
    ) -> None:
        """Count unknown headers, and log each name once to reveal protocol changes."""
        for name in signals.unknown_headers:
            self.on_signal("unknown")
            if (
                name in self._logged_unknown_headers
                or len(self._logged_unknown_headers) >= _MAX_LOGGED_UNKNOWN_HEADERS
            ):
                continue
            self._logged_unknown_headers.add(name)
            events.log(
                events.WORD_UNKNOWN,
                request_id=request_id,
                server_id=server.id,
                word=name,
                status=signals.status,
            )

    def _apply_backoff_signal(
        self,
        server: BackendServer,
        signals: ServerSignals,
        request_id: str,
        *,
        now_s: float,
    ) -> bool:
        """Apply a requested back-off; return whether it extends a binding one."""
        if signals.backoff_s is None:
            return False
        if not signals.is_binding:
            self.on_signal("wish")
            self.on_advisory_backoff(server, signals.backoff_s)
            return False
        self.on_signal("rest")
        return self._record_backoff(server, signals, request_id, now_s=now_s)

    def _record_backoff(
        self,
        server: BackendServer,
        signals: ServerSignals,
        request_id: str,
        *,
        now_s: float,
    ) -> bool:
        """Store a binding back-off; return whether it extends the previous one."""
        return self.backoffs.record(
            server.id,
            signals.backoff_s or 0.0,
            started_ms=server.started_ms,
            sent_ms=signals.sent_ms,
            request_id=request_id,
            now_s=now_s,
        )

    def record_forwarded_backoff(
        self, server: BackendServer, signals: ServerSignals, request_id: str
    ) -> None:
        """Store the back-off of a later server on a path, relayed by the first server.

        The first server sent the response, so the back-off applies to it as well.
        """
        if signals.backoff_s is not None and signals.is_binding:
            self._record_backoff(server, signals, request_id, now_s=clocks.now_s())

    def _record_leaving(self, server: BackendServer, sent_ms: int) -> bool:
        """Record that a server is shutting down; return whether that is new."""
        is_new = self._backends.mark_leaving(
            server.id, server.started_ms, sent_ms=sent_ms, now_s=clocks.now_s()
        )
        if is_new:
            self.on_signal("leaving")
            self.on_leaving(server)
        return is_new

    def blocked_s(self, *, priority: int = 0, now_s: float) -> dict[str, float]:
        """Return the remaining seconds of each blocked server, by id.

        Args:
            priority: Priority of the send; 0 is the most urgent.
            now_s: The current monotonic time, in seconds.
        """
        blocked = self.limits.blocked_s(priority=priority, now_s=now_s)
        for server_id, remaining_s in self.active_backoffs(now_s=now_s).items():
            blocked[server_id] = max(remaining_s, blocked.get(server_id, 0.0))
        return blocked

    def active_backoffs(self, *, now_s: float) -> dict[str, float]:
        """Return the remaining seconds of each active back-off, by server id."""
        return {
            server_id: backoff.until_s - now_s
            for server_id, backoff in self.backoffs.entries().items()
            if now_s < backoff.until_s and self._is_current(server_id, backoff)
        }

    def avoided(self, *, now_s: float) -> frozenset[str]:
        """Return servers to use only as a last resort, back-offs included."""
        backing_off = frozenset(
            server_id
            for server_id, backoff in self.backoffs.entries().items()
            if backoff.is_avoided(now_s=now_s) and self._is_current(server_id, backoff)
        )
        return backing_off | self.limits.recovering(now_s=now_s)

    def min_wait_s(
        self, servers: Iterable[BackendServer], *, priority: int = 0
    ) -> float:
        """Return the time until the first of some servers is unblocked, in seconds.

        0 if one of them is not blocked.
        """
        blocked = self.blocked_s(priority=priority, now_s=clocks.now_s())
        return min((blocked.get(server.id, 0.0) for server in servers), default=0.0)

    def log_blocked_servers(self, request_id: str, service: str) -> None:
        """Log the back-offs, limits and shutdowns that affect a service."""
        backoffs = self.backoffs.entries()
        backoff_fields = [
            {
                "server_id": server_id,
                "left_s": round(remaining_s, 3),
                "asked_s": backoffs[server_id].requested_s,
                "said_to": backoffs[server_id].request_id,
            }
            for server_id, remaining_s in self.active_backoffs(
                now_s=clocks.now_s()
            ).items()
            if self._belongs_to(server_id, service)
        ]
        limit_fields = [
            {"server_id": server_id, **self.limits.log_fields(server_id, limit)}
            for server_id, limit in self.limits.active_limits().items()
            if self._belongs_to(server_id, service)
        ]
        leaving = self._backends.leaving(service)
        if backoff_fields or limit_fields or leaving:
            events.log(
                events.SERVERS_REST,
                request_id=request_id,
                service=service,
                rests=backoff_fields[:_MAX_LOGGED_SERVERS],
                resting=len(backoff_fields),
                limits=limit_fields[:_MAX_LOGGED_SERVERS],
                limited=len(limit_fields),
                leaving=leaving[:_MAX_LOGGED_SERVERS],
            )

    def state(self) -> dict[str, Any]:
        """Return the active back-offs for a state dump."""
        backoffs = self.active_backoffs(now_s=clocks.now_s())
        return {
            server_id: round(remaining_s, 3)
            for server_id, remaining_s in backoffs.items()
        }

    def _is_current(self, server_id: str, backoff: Backoff) -> bool:
        """Return whether a back-off applies to the current start of a listed server."""
        server = self._backends.get(server_id)
        return server is not None and backoff.applies_to(server.started_ms)

    def _belongs_to(self, server_id: str, service: str) -> bool:
        """Return whether a server is listed for a service."""
        server = self._backends.get(server_id)
        return server is not None and server.service == service

    def _find_rejection(
        self, server: BackendServer, sending: SendKind, *, now_s: float
    ) -> _Rejection | None:
        """Return the reason to reject a send to a server, or None."""
        listed = self._backends.get(server.id)
        started_ms = (listed or server).started_ms
        backoff = self.backoffs.active(server.id, started_ms=started_ms, now_s=now_s)
        if backoff is not None:
            return _Rejection("rest", backoff.until_s - now_s, backoff)
        if sending is SendKind.REPORT:
            return None  # a liveness query adds no load
        if listed is None:
            # An unlisted server may still be running, and completes its requests.
            return _Rejection("gone") if sending is not SendKind.MOVE else None
        if not listed.is_leaving:
            return None
        if sending is SendKind.MOVE:
            # A server that is shutting down completes its requests, and accepts moves
            # for them until the grace period ends.
            leaving_s = self._backends.leaving_for_s(server.id, now_s=now_s)
            is_over = leaving_s >= self._backends.leaving_s
            return _Rejection("leaving") if is_over else None
        return _Rejection("leaving")
