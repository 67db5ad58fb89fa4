# SPDX-License-Identifier: MIT
"""Whether a server has ended, when the answer of a request there breaks off.

A connection breaks for many reasons: the server fails one answer, closes a connection
that rested, a reset on the way, a planned end.  A server whose process has ended
without a word refuses connections from then on.
"""

from __future__ import annotations

import asyncio

from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence
from typing import NamedTuple

from .. import clocks, events
from ..backends import BackendServer
from ..forwarding import LinkState
from ..upstream import RunnerClient
from ._suspect import End


#: How long a server that took a connection counts as there, in seconds: requests that
#: are broken off together share one check, and one that ends the server soon after an
#: answer that only failed is not passed over.
_CONNECTED_LIFE_S = 0.02
#: For how long an answer that broke off may turn out to be its server's end, in
#: seconds: the list tells of a new start within a heartbeat and its own way, and drops
#: an entry after three.
_DOUBT_LIFE_S = 6.0
#: Pauses before a server whose answer broke off is asked again, in seconds.  A process
#: closes its connections one after another, and may take another one meanwhile.
_RECHECK_PAUSES_S = (0.05, 0.2, 0.75, 1.0)
#: Rechecks at which a server that takes connections counts as going on.
_MAX_CONNECTED = 2
#: The most of such answers: two servers' company.
_MAX_DOUBTED = 192
#: For how long a server that has ended is remembered, in seconds: longer than any
#: request of before its end is under way.
_ENDED_LIFE_S = 60.0


class _Doubt(NamedTuple):
    """An answer that broke off at a server that is not known to have ended."""

    server: BackendServer
    ends: Sequence[End]
    noted_s: float

    @property
    def is_recent(self) -> bool:
        """Whether a start that is told now may be the reason."""
        return clocks.now_s() - self.noted_s < _DOUBT_LIFE_S


def _is_within(
    noted_s: Mapping[str, float], lifetime: str, limit_s: float, *, now_s: float
) -> bool:
    """Tell whether a lifetime was noted less than some time ago, in seconds."""
    at_s = noted_s.get(lifetime)
    return at_s is not None and now_s - at_s < limit_s


async def _sound(_server: BackendServer) -> LinkState:
    """Stand in for a check of links where there is none."""
    return LinkState.SOUND


class ServerEnds:
    """What one instance has found out of servers that have ended.

    Args:
        client: Asks whether servers refuse connections.
        listed: Returns a server as the list has it now.
        link_state: Returns what this instance's links say of a server's refusal.
    """

    def __init__(
        self,
        client: RunnerClient,
        *,
        listed: Callable[[str], BackendServer | None],
        link_state: Callable[[BackendServer], Awaitable[LinkState]] = _sound,
    ) -> None:
        self._client = client
        self._link_state = link_state
        #: Told of each server that is found to have ended.
        self.on_end: Callable[[], None] = lambda: None
        #: Told of a server's ends under requests that were proven later, and by what.
        self.on_proven: Callable[[BackendServer, Sequence[End], str], None] = (
            lambda _server, _ends, _by: None
        )
        self._listed = listed
        #: By lifetime, when it was found to be over, or to go on.
        self._ended_s: dict[str, float] = {}
        self._connected_s: dict[str, float] = {}
        self._planned_s: dict[str, float] = {}
        #: By lifetime, when it refused a connection while links counted as lost.
        self._refused_s: dict[str, float] = {}
        self._doubted: list[_Doubt] = []
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._rechecks: dict[str, asyncio.Task[None]] = {}

    def note_ended(self, server: BackendServer) -> None:
        """Note that a server's lifetime is over."""
        if not self.is_known(server.lifetime, now_s=clocks.now_s()):
            self._remember(self._ended_s, server.lifetime)
            self.on_end()

    def note_planned(self, lifetime: str) -> None:
        """Note that a lifetime has ended as planned."""
        self._remember(self._planned_s, lifetime)

    def doubt(self, server: BackendServer, ends: Sequence[End]) -> None:
        """Keep a server's end under a request until a recheck or a new start proves it.

        A server that is back before it is asked takes connections again.
        """
        self._doubted = [one for one in self._doubted if one.is_recent]
        if len(self._doubted) < _MAX_DOUBTED:
            self._doubted.append(_Doubt(server, ends, clocks.now_s()))
        if server.lifetime not in self._rechecks:
            recheck = asyncio.create_task(self._recheck(server))
            self._rechecks[server.lifetime] = recheck

    def proven(self, before: BackendServer) -> list[End]:
        """Return the ends that a server's new start proves.

        Args:
            before: The server as it was before.
        """
        doubted = self._take_doubted(before.lifetime)
        return [] if before.is_leaving else doubted

    def take_unlisted(self, server_ids: Collection[str]) -> None:
        """Take in that servers are no longer listed.

        One that refused connections while links counted as lost had ended.
        """
        now_s = clocks.now_s()
        doubted = {one.server.lifetime: one.server for one in self._doubted}
        for lifetime, server in doubted.items():
            has_refused = _is_within(
                self._refused_s, lifetime, _DOUBT_LIFE_S, now_s=now_s
            )
            if server.id in server_ids and has_refused:
                self.note_ended(server)
                ends = self._take_doubted(lifetime)
                self.on_proven(server, ends, "entry gone")

    def _take_doubted(self, lifetime: str) -> list[End]:
        """Return a lifetime's doubted ends, which are doubted no more."""
        doubted = [one for one in self._doubted if one.server.lifetime == lifetime]
        self._doubted = [
            one for one in self._doubted if one.server.lifetime != lifetime
        ]
        return [end for one in doubted if one.is_recent for end in one.ends]

    async def has_ended(self, server: BackendServer) -> bool:
        """Tell whether a server, of which a request was broken off, has ended.

        One that is leaving, or is no longer listed, ends as planned.
        """
        now_s = clocks.now_s()
        if self.is_known(server.lifetime, now_s=now_s):
            return True
        listed = self._listed(server.id)
        if listed is None or listed.is_leaving or server.lifetime in self._planned_s:
            return False
        if server.started_ms < listed.started_ms and server.started_ms:
            self.note_ended(server)
            return True
        if _is_within(
            self._connected_s, server.lifetime, _CONNECTED_LIFE_S, now_s=now_s
        ):
            return False
        check = self._checks.get(server.lifetime)
        if check is None:
            check = asyncio.create_task(self._check(server))
            self._checks[server.lifetime] = check
        # Who has started the check may be cancelled; the others still want it.
        return await asyncio.shield(check)

    def is_known(self, lifetime: str, *, now_s: float) -> bool:
        """Tell whether a server's lifetime was found to be over."""
        return _is_within(self._ended_s, lifetime, _ENDED_LIFE_S, now_s=now_s)

    def had_ended(self, server: BackendServer, *, before_s: float) -> bool:
        """Tell whether a server was found to have ended before a time."""
        ended_s = self._ended_s.get(server.lifetime)
        return ended_s is not None and ended_s < before_s

    async def _recheck(self, server: BackendServer) -> None:
        """Ask a server whose answer broke off until its state is known."""
        connected = 0
        try:
            for pause_s in _RECHECK_PAUSES_S:
                await asyncio.sleep(pause_s)
                asked_s = clocks.now_s()
                if await self.has_ended(server):
                    ends = self._take_doubted(server.lifetime)
                    self.on_proven(server, ends, "recheck")
                    return
                connected += self._connected_s.get(server.lifetime, 0.0) >= asked_s
                if connected >= _MAX_CONNECTED:
                    return
        finally:
            self._rechecks.pop(server.lifetime, None)

    async def _check(self, server: BackendServer) -> bool:
        """Ask whether a server refuses connections, and remember it."""
        try:
            if not await self._client.is_refusing(server):
                self._remember(self._connected_s, server.lifetime)
                return False
            links = await self._link_state(server)
        finally:
            self._checks.pop(server.lifetime, None)
        if links is LinkState.LOST:
            events.log(events.SERVER_UNKNOWN, server_id=server.id, reason="links lost")
            self._remember(self._refused_s, server.lifetime)
            return False
        if links is LinkState.SOUND:
            # Otherwise the refusal may still be due to links to this server alone.
            self.note_ended(server)
        return True

    def _remember(self, known: dict[str, float], lifetime: str) -> None:
        """Remember what is known of a lifetime now; forget what is too old."""
        now_s = clocks.now_s()
        old = [one for one, at_s in known.items() if now_s - at_s > _ENDED_LIFE_S]
        for one in old:
            del known[one]
        known[lifetime] = now_s
