# SPDX-License-Identifier: MIT
"""Limits that servers have named, kept towards all that one instance sends.

What is sent to a server with a limit needs a permit of the instance that counts for
all: asked for when the send is decided, and used up when it is written.
"""

from __future__ import annotations

import random

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from . import clocks, events
from .backends import BackendServer, BackendTable
from .limit_permits import (
    PERMIT_LIFE_S,
    WINDOW_S,
    Permit,
    PermitCache,
    PermitIssuers,
    PermitReply,
)
from .server_limits import Limit, ServerLimits
from .upstream import ServerSignals


#: The most servers whose limits a dump and the gauges tell.
_MOST_SHOWN = 20
#: Over how long instances take a server up again whose limit is over, in seconds.
_RETURN_S = 1.0


class LimitState(NamedTuple):
    """A server's limit, and what of it was used in the last span.

    Attributes:
        limit_a_s: Requests a second that the server takes of all instances.
        sent: What this instance has written to it.
        given: For how many requests this instance has given permits, to all.
    """

    limit_a_s: float
    sent: int
    given: int


class LimitGate:
    """Knows the limits of servers, and this instance's permits.

    Args:
        backends: The listed servers.
        rng: Spreads questions for permits, and returns to servers without a limit.
    """

    def __init__(self, backends: BackendTable, *, rng: random.Random) -> None:
        self._backends = backends
        self._rng = rng
        self.known = ServerLimits()
        self.permits = PermitCache()
        self.keepers = PermitIssuers(rng)
        #: Asks whoever keeps a server's permits; where there is nobody else, this
        #: instance.
        self.request_permit: Callable[
            [BackendServer, Limit, int], Awaitable[PermitReply]
        ]
        self.request_permit = self._ask_itself
        #: Tells other instances of a limit that this one has heard of.
        self.announce: Callable[[str, Limit], None] = lambda _server_id, _limit: None
        #: Told of each answer to a question for a permit: given, refused.
        self.on_permit: Callable[[str], None] = lambda _outcome: None
        #: By server whose limit is over, from when on it is taken up again.
        self._returns_s: dict[str, float] = {}

    def heard(
        self, server: BackendServer, word: ServerSignals, request_id: str
    ) -> None:
        """Take in what an answer says of its server's limit, and tell others."""
        if word.limit_per_s is None:
            return
        limit = Limit(
            word.limit_per_s,
            server.started_ms,
            word.sent_ms,
            word.sent_s,
            clocks.now_s(),
            request_id=request_id,
        )
        if self.take(server.id, limit):
            self.announce(server.id, limit)

    def take(self, server_id: str, limit: Limit) -> bool:
        """Take in a server's word on its limit; tell whether that is news, and log it.

        Args:
            server_id: Whose word it is.
            limit: The word, heard here or by another instance.
        """
        listed = self._backends.get(server_id)
        known_ms = listed.started_ms if listed is not None else 0
        if not self.known.update(server_id, limit, known_ms=known_ms):
            return False
        if limit.is_lifted:
            self.permits.discard(server_id)
            self._take_up_later(server_id)
        events.log(
            events.SERVER_LIMIT,
            request_id=limit.request_id,
            server_id=server_id,
            limit_a_s=None if limit.is_lifted else limit.per_s,
            teller=limit.teller,
        )
        return True

    def limit_of(self, server_id: str, *, started_ms: int = 0) -> Limit | None:
        """Return the limit of a server's present start, if it has named one.

        Args:
            server_id: Whose limit it is.
            started_ms: Which start is meant where the server is not listed.
        """
        listed = self._backends.get(server_id)
        return self.known.get(
            server_id, started_ms=listed.started_ms if listed else started_ms
        )

    def zone_of(self, server_id: str) -> str:
        """Return a listed server's availability zone; empty if it isn't listed."""
        listed = self._backends.get(server_id)
        return listed.availability_zone if listed is not None else ""

    async def ask(
        self, server: BackendServer, limit: Limit, *, priority: int
    ) -> Permit | float:
        """Return a permit for one send, or for how long there is none, in seconds."""
        now_s = clocks.now_s()
        left_s = self.permits.blocked_s(priority=priority, now_s=now_s).get(server.id)
        if left_s is not None:
            return left_s
        permit = self.permits.take(server.id, now_s=now_s)
        if permit is not None:
            return permit
        reply = await self.request_permit(server, limit, priority)
        self.on_permit("given" if reply.is_granted else "refused")
        if reply.is_granted:
            return Permit(now_s + PERMIT_LIFE_S)
        self.permits.block(
            server.id, reply.wait_s, priority=priority, now_s=clocks.now_s()
        )
        return reply.wait_s

    def give(
        self, server_id: str, asker: str, per_s: float, *, priority: int
    ) -> PermitReply:
        """Give a permit of those that this instance keeps for all."""
        return self.keepers.request(
            server_id, asker, per_s, priority=priority, now_s=clocks.now_s()
        )

    def settle(
        self, server: BackendServer, permit: Permit | None, *, was_written: bool
    ) -> None:
        """Use a permit up, or keep it for another send if nothing was written."""
        if permit is None:
            return
        if was_written:
            self.permits.used(server.id, now_s=clocks.now_s())
        else:
            self.permits.give_back(server.id, permit)

    def closed(self, *, priority: int, now_s: float) -> dict[str, float]:
        """Return, by server of which nothing may be asked, for how many seconds."""
        closed_s = self.permits.blocked_s(priority=priority, now_s=now_s)
        return {
            server_id: left_s
            for server_id, left_s in closed_s.items()
            if self.limit_of(server_id) is not None
        }

    def returning(self, *, now_s: float) -> frozenset[str]:
        """Return servers whose limits are over, and that others take up first."""
        return frozenset(
            one for one, returns_s in self._returns_s.items() if now_s < returns_s
        )

    def present(self) -> dict[str, Limit]:
        """Return, by listed server, the limit of its present start."""
        known = {one: self.limit_of(one) for one in self.known.known()}
        return {
            one: limit
            for one, limit in known.items()
            if limit is not None and self._backends.get(one) is not None
        }

    def fields(self, server_id: str, limit: Limit | None) -> dict[str, object]:
        """Return what a line tells of a limit, if there is one."""
        if limit is None:
            return {}
        now_s = clocks.now_s()
        return {
            "limit_a_s": limit.per_s,
            "limit_age_s": round(now_s - limit.heard_s, 3),
            "limit_said_to": limit.request_id,
            "limit_teller": limit.teller,
            "sent_of_late": self.permits.used_within(server_id, WINDOW_S, now_s=now_s),
        }

    def state(self) -> dict[str, LimitState]:
        """Return some limits that are kept now, for a dump and for gauges."""
        now_s = clocks.now_s()
        given = self.keepers.given_within(WINDOW_S, now_s=now_s)
        return {
            one: LimitState(
                limit.per_s,
                self.permits.used_within(one, WINDOW_S, now_s=now_s),
                given.get(one, 0),
            )
            for one, limit in list(self.present().items())[:_MOST_SHOWN]
        }

    def _take_up_later(self, server_id: str) -> None:
        """Send to a server whose limit is over only where there is no other, at first.

        All instances hear of that in the same moment.
        """
        now_s = clocks.now_s()
        self._returns_s = {
            one: returns_s
            for one, returns_s in self._returns_s.items()
            if now_s < returns_s
        }
        self._returns_s[server_id] = now_s + self._rng.uniform(0.0, _RETURN_S)

    async def _ask_itself(
        self, server: BackendServer, limit: Limit, priority: int
    ) -> PermitReply:
        """Give itself a permit, where there is no other instance."""
        return self.give(server.id, "", limit.per_s, priority=priority)
