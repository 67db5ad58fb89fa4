# SPDX-License-Identifier: MIT
"""What servers say of themselves, kept towards all that one instance sends.

Every way to a server passes here: calls, moves, orders for layers and questions for
reports, when they are decided and once more right before they are written.  Where a
server limits what all instances send, each of these needs a permit: it is asked for
when the send is decided, and used up when it is written.
"""

from __future__ import annotations

import random

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from . import clocks, events
from ._limit_enforcement import LimitGate
from .backends import BackendServer, BackendTable
from .limit_permits import Permit
from .server_backoffs import Backoff, ServerBackoffs
from .server_limits import Limit
from .upstream import KeptBackError, SendKind, ServerSignals


#: The most servers that one line names.
_MOST_NAMED = 20
#: The most words that nothing reads of which a line is logged.
_MOST_UNKNOWN = 32


class _Kept(NamedTuple):
    """Why something is kept back, and for how much longer, in seconds."""

    reason: str
    left_s: float = 0.0
    rest: Backoff | None = None
    limit: Limit | None = None


class FlowController:
    """Keeps rests and departures that servers have told this instance.

    Args:
        backends: The listed servers.
        rng: Spreads the returns to servers that have rested.
    """

    def __init__(self, backends: BackendTable, *, rng: random.Random) -> None:
        self._backends = backends
        self.backoffs = ServerBackoffs(rng)
        self.limits = LimitGate(backends, rng=rng)
        #: Words that nothing reads, of which a line was logged.
        self._unknown: set[str] = set()
        #: Told of each word's kind: rest, wish, leaving, limit, unread, unknown.
        self.on_signal: Callable[[str], None] = lambda _kind: None
        #: Told of what is kept back, and why.
        self.on_send_rejected: Callable[[SendKind, str], None] = lambda _what, _why: (
            None
        )
        #: Told of a server that wishes for less, and for how long, in seconds.
        self.on_advisory_backoff: Callable[[BackendServer, float], None] = (
            lambda _one, _s: None
        )
        #: Told of a server that is leaving, where that is news.
        self.on_leaving: Callable[[BackendServer], None] = lambda _one: None

    async def admit(
        self,
        server: BackendServer,
        sending: SendKind,
        request_id: str,
        *,
        priority: int = 0,
    ) -> Permit | None:
        """Ask for what a send to a server needs, when it is decided.

        Returns:
            The permit to send with, or None where none is needed.

        Raises:
            KeptBackError: Nothing may be sent.
        """
        now_s = clocks.now_s()
        self._check(
            self._kept(server, sending, now_s=now_s), server, sending, request_id
        )
        limit = self._limit_of(server)
        if limit is None:
            return None
        # The limit is for all instances: each for itself would send many times as much.
        permit = await self.limits.ask(server, limit, priority=priority)
        if isinstance(permit, Permit):
            return permit
        kept = _Kept("limit", permit, limit=limit)
        self._check(kept, server, sending, request_id)
        return None

    def check_send(
        self,
        server: BackendServer,
        sending: SendKind,
        request_id: str,
        permit: Permit | None = None,
    ) -> None:
        """Check that something may be sent to a server, right before it is written.

        Raises:
            KeptBackError: It may not.
        """
        now_s = clocks.now_s()
        kept = self._kept(server, sending, now_s=now_s)
        limit = self._limit_of(server)
        is_permitted = permit is not None and now_s < permit.until_s
        if kept is None and limit is not None and not is_permitted:
            kept = _Kept("limit", limit=limit)
        self._check(kept, server, sending, request_id)
        if sending is SendKind.CALL:
            self.backoffs.record_send(server.id, now_s=now_s)

    def release_permit(
        self, server: BackendServer, permit: Permit | None, *, was_written: bool
    ) -> None:
        """Use a permit up, or keep it for another send if nothing was written."""
        self.limits.settle(server, permit, was_written=was_written)

    def _check(
        self,
        kept: _Kept | None,
        server: BackendServer,
        sending: SendKind,
        request_id: str,
    ) -> None:
        """Count and log what keeps something back, if anything does.

        Raises:
            KeptBackError: Something does.
        """
        if kept is None:
            return
        self.on_send_rejected(sending, kept.reason)
        events.log(
            events.SEND_KEPT_BACK,
            request_id=request_id,
            server_id=server.id,
            sending=sending.value,
            reason=kept.reason,
            left_s=round(kept.left_s, 3),
            said_to=kept.rest.request_id if kept.rest else None,
            **self.limits.fields(server.id, kept.limit),
        )
        raise KeptBackError(kept.reason, kept.left_s)

    def record_signals(
        self, server: BackendServer, signals: ServerSignals, request_id: str
    ) -> None:
        """Take a server's word in, as soon as an answer's head is there."""
        now_s = clocks.now_s()
        if signals.backoff_s is None:
            self.backoffs.record_response(server.id, now_s=now_s)
        self._note_unknown(server, signals, request_id)
        if signals.finite_limit_per_s is not None:
            self.on_signal("limit")
        self.limits.heard(server, signals, request_id)
        if not signals.has_signals:
            return
        is_longer = self._take_rest(server, signals, request_id, now_s=now_s)
        is_news = signals.is_leaving and self._note_leaving(server, signals.sent_ms)
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
            is_news=is_news,
            unread=signals.invalid,
        )

    def _limit_of(self, server: BackendServer) -> Limit | None:
        """Return the limit that binds towards a server, if it has named one."""
        return self.limits.limit_of(server.id, started_ms=server.started_ms)

    def _note_unknown(
        self, server: BackendServer, word: ServerSignals, request_id: str
    ) -> None:
        """Count words that nothing reads; log each once, so that it is seen early."""
        for name in word.unknown_headers:
            self.on_signal("unknown")
            if name in self._unknown or len(self._unknown) >= _MOST_UNKNOWN:
                continue
            self._unknown.add(name)
            events.log(
                events.WORD_UNKNOWN,
                request_id=request_id,
                server_id=server.id,
                word=name,
                status=word.status,
            )

    def _take_rest(
        self,
        server: BackendServer,
        word: ServerSignals,
        request_id: str,
        *,
        now_s: float,
    ) -> bool:
        """Take in for how long a server wants nothing; tell whether that is longer."""
        if word.backoff_s is None:
            return False
        if not word.is_binding:
            self.on_signal("wish")
            self.on_advisory_backoff(server, word.backoff_s)
            return False
        self.on_signal("rest")
        return self._ask_rest(server, word, request_id, now_s=now_s)

    def _ask_rest(
        self,
        server: BackendServer,
        word: ServerSignals,
        request_id: str,
        *,
        now_s: float,
    ) -> bool:
        """Keep a rest that a server asks for; tell whether that is longer."""
        return self.backoffs.record(
            server.id,
            word.backoff_s or 0.0,
            started_ms=server.started_ms,
            sent_ms=word.sent_ms,
            request_id=request_id,
            now_s=now_s,
        )

    def record_forwarded_backoff(
        self, server: BackendServer, word: ServerSignals, request_id: str
    ) -> None:
        """Leave a later server of a path alone too, whose word the first passed on.

        The first one has answered: it is left alone for that as well.
        """
        if word.backoff_s is not None and word.is_binding:
            self._ask_rest(server, word, request_id, now_s=clocks.now_s())

    def _note_leaving(self, server: BackendServer, sent_ms: int) -> bool:
        """Note a server's word that it leaves; tell whether that is news."""
        is_news = self._backends.mark_leaving(
            server.id, server.started_ms, sent_ms=sent_ms, now_s=clocks.now_s()
        )
        if is_news:
            self.on_signal("leaving")
            self.on_leaving(server)
        return is_news

    def blocked_s(self, *, priority: int = 0, now_s: float) -> dict[str, float]:
        """Return, by server that nothing may be sent to, for how many seconds more.

        Args:
            priority: Of what is to be sent; 0 is the most urgent.
            now_s: The current monotonic time, in seconds.
        """
        bound = self.limits.closed(priority=priority, now_s=now_s)
        for server_id, left_s in self.rests(now_s=now_s).items():
            bound[server_id] = max(left_s, bound.get(server_id, 0.0))
        return bound

    def rests(self, *, now_s: float) -> dict[str, float]:
        """Return, by server that has asked for rest, for how many seconds more."""
        return {
            server_id: rest.until_s - now_s
            for server_id, rest in self.backoffs.known().items()
            if now_s < rest.until_s and self._is_its_word(server_id, rest)
        }

    def avoided(self, *, now_s: float) -> frozenset[str]:
        """Return servers to send to only where there is no other, rests included."""
        resting = frozenset(
            server_id
            for server_id, rest in self.backoffs.known().items()
            if rest.is_avoided(now_s=now_s) and self._is_its_word(server_id, rest)
        )
        return resting | self.limits.returning(now_s=now_s)

    def min_wait_s(
        self, servers: Iterable[BackendServer], *, priority: int = 0
    ) -> float:
        """Return when the first of some servers may be sent to, in seconds from now.

        0 where nothing keeps that back.
        """
        bound = self.blocked_s(priority=priority, now_s=clocks.now_s())
        return min((bound.get(one.id, 0.0) for one in servers), default=0.0)

    def log_blocked_servers(self, request_id: str, service: str) -> None:
        """Log the rests, limits and departures that decide over a service."""
        known = self.backoffs.known()
        rests = [
            {
                "server_id": server_id,
                "left_s": round(left_s, 3),
                "asked_s": known[server_id].requested_s,
                "said_to": known[server_id].request_id,
            }
            for server_id, left_s in self.rests(now_s=clocks.now_s()).items()
            if self._is_of(server_id, service)
        ]
        limits = [
            {"server_id": server_id, **self.limits.fields(server_id, limit)}
            for server_id, limit in self.limits.present().items()
            if self._is_of(server_id, service)
        ]
        leaving = self._backends.leaving(service)
        if rests or limits or leaving:
            events.log(
                events.SERVERS_REST,
                request_id=request_id,
                service=service,
                rests=rests[:_MOST_NAMED],
                resting=len(rests),
                limits=limits[:_MOST_NAMED],
                limited=len(limits),
                leaving=leaving[:_MOST_NAMED],
            )

    def state(self) -> dict[str, Any]:
        """Return the rests that are kept now, for a dump."""
        rests = self.rests(now_s=clocks.now_s())
        return {one: round(left_s, 3) for one, left_s in rests.items()}

    def _is_its_word(self, server_id: str, rest: Backoff) -> bool:
        """Tell whether a rest is the word of a listed server's present start."""
        server = self._backends.get(server_id)
        return server is not None and rest.is_of(server.started_ms)

    def _is_of(self, server_id: str, service: str) -> bool:
        """Tell whether a listed server is a service's."""
        server = self._backends.get(server_id)
        return server is not None and server.service == service

    def _kept(
        self, server: BackendServer, sending: SendKind, *, now_s: float
    ) -> _Kept | None:
        """Return what keeps something back from a server, or None."""
        listed = self._backends.get(server.id)
        started_ms = (listed or server).started_ms
        rest = self.backoffs.active(server.id, started_ms=started_ms, now_s=now_s)
        if rest is not None:
            return _Kept("rest", rest.until_s - now_s, rest)
        if sending is SendKind.REPORT:
            return None  # a question whether it is there, which is no work
        if listed is None:
            # It may serve on for a while, and finish what it has.
            return _Kept("gone") if sending is not SendKind.MOVE else None
        if not listed.is_leaving:
            return None
        if sending is SendKind.MOVE:
            # It finishes what it has, for as long as work for it has to be there.
            leaving_s = self._backends.leaving_for_s(server.id, now_s=now_s)
            is_over = leaving_s >= self._backends.leaving_s
            return _Kept("leaving") if is_over else None
        return _Kept("leaving")
