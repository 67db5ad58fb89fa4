# SPDX-License-Identifier: MIT
"""Checks an instance's links when a backend server gives no answer.

While links are believed lost, one server after another is asked until one answers.
"""

from __future__ import annotations

import asyncio
import random

from collections.abc import Callable, Sequence
from typing import Protocol

from .. import clocks, events
from .._listed import BackendServer
from ._links import LinkCheck, ServerLinks, servers_to_check


#: How often servers are asked again while links are lost, in seconds.
_RECHECK_S = 0.25


class ServerProbe(Protocol):
    """Asks servers whether they are there."""

    async def is_answering(self, server: BackendServer) -> bool | None:
        """Tell whether a server answers over a new connection, whatever it answers.

        None where it was not asked.
        """


class LinkWatch:
    """Keeps one instance's beliefs about its links up to date.

    Args:
        probe: Asks servers.
        listed: Returns a service's servers that may get new work.
        zone: The instance's availability zone.
        rng: Chooses whom to ask.
    """

    def __init__(
        self,
        probe: ServerProbe,
        *,
        listed: Callable[[str], Sequence[BackendServer]],
        zone: str,
        rng: random.Random,
    ) -> None:
        self.links = ServerLinks()
        #: Whether links are checked: no other instance can help one that is alone.
        self.is_active = False
        #: Told of a service whose links were lost, and since when, at their return.
        self.on_return: Callable[[str, float], None] = lambda _service, _since_s: None
        #: Told of each check's outcome.
        self.on_check: Callable[[str], None] = lambda _outcome: None
        self._probe = probe
        self._listed = listed
        self._zone = zone
        self._rng = rng
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._rechecks: dict[str, asyncio.Task[None]] = {}

    def is_lost(self, service: str) -> bool:
        """Tell whether no server of a service is believed to be in reach."""
        return self.links.is_lost(service)

    def suspect(self, server: BackendServer) -> asyncio.Task[bool] | None:
        """Check the links, since a server could not be reached.

        Returns:
            The check, which tells whether the links are lost; None where none is
            needed.
        """
        service = server.service
        running = self._checks.get(service)
        if running is not None:
            return running
        if not self.is_active:
            return None
        if not self.links.needs_check(service, now_s=clocks.now_s()):
            return None
        check = asyncio.create_task(self._check(server))
        self._checks[service] = check
        return check

    def note_break(self, server: BackendServer) -> None:
        """Note an answer that broke off; several servers' lead to a check."""
        if self.links.note_break(server, now_s=clocks.now_s()):
            self.suspect(server)

    async def settled(self, service: str) -> bool:
        """Tell whether links are lost, after a check that is under way has ended."""
        running = self._checks.get(service)
        if running is not None:
            # Who has started the check may be cancelled; the others still want it.
            await asyncio.shield(running)
        return self.is_lost(service)

    async def is_own_loss(self, server: BackendServer) -> bool:
        """Tell whether a server's silence is due to this instance's own links."""
        self.suspect(server)
        return await self.settled(server.service)

    def when_sound(self, server: BackendServer, then: Callable[[], None]) -> None:
        """Do something about a server's silence unless it is due to own links."""
        check = self.suspect(server)
        if check is None:
            if not self.is_lost(server.service):
                then()
            return

        def take(ended: asyncio.Task[bool]) -> None:
            is_known = not ended.cancelled() and ended.exception() is None
            if is_known and not ended.result():
                then()

        check.add_done_callback(take)

    async def _check(self, suspect: BackendServer) -> bool:
        """Ask other servers of a suspected server's service; tell whether all fail."""
        service = suspect.service
        began_s = clocks.now_s()
        try:
            asked = servers_to_check(
                self._listed(service), suspect=suspect, zone=self._zone, rng=self._rng
            )
            check = await self._ask(asked)
        finally:
            self._checks.pop(service, None)
        if check.silent and not check.answered:
            check = check._replace(silent=(suspect.id, *check.silent))
        self._take(service, check, began_s=began_s)
        return self.is_lost(service)

    async def _ask(self, servers: Sequence[BackendServer]) -> LinkCheck:
        """Ask servers at once; one answer is enough."""
        answered, silent = [], []
        asked = {asyncio.create_task(self._is_answering(one)): one for one in servers}
        for next_done in asyncio.as_completed(asked):
            server_id, is_answering = await next_done
            if is_answering:
                answered.append(server_id)
                break
            if is_answering is not None:
                silent.append(server_id)
        for task in asked:
            task.cancel()
        return LinkCheck(tuple(answered), tuple(silent))

    async def _is_answering(self, server: BackendServer) -> tuple[str, bool | None]:
        """Ask one server; return its id beside what it came to."""
        return server.id, await self._probe.is_answering(server)

    def _take(self, service: str, check: LinkCheck, *, began_s: float) -> None:
        """Take a check's outcome in, log it, and act on a changed belief."""
        lost = self.links.lost().get(service)
        is_changed = self.links.note_check(service, check, began_s=began_s)
        self.on_check("answered" if check.answered else "silent")
        if not is_changed:
            if lost is None:
                self._log_check(service, check, began_s)
            return
        if lost is None:
            events.log(
                events.LINKS_LOST,
                service=service,
                silent=list(check.silent),
                check_s=round(clocks.now_s() - began_s, 4),
            )
            self._rechecks[service] = asyncio.create_task(self._recheck(service))
            return
        events.log(
            events.LINKS_BACK,
            service=service,
            answered=list(check.answered),
            lost_s=round(clocks.now_s() - lost.since_s, 3),
        )
        self.on_return(service, lost.since_s)

    def _log_check(self, service: str, check: LinkCheck, began_s: float) -> None:
        """Log a check that found the links sound, or nobody to ask."""
        events.log(
            events.LINKS_SOUND,
            service=service,
            answered=list(check.answered),
            silent=list(check.silent),
            check_s=round(clocks.now_s() - began_s, 4),
        )

    async def _recheck(self, service: str) -> None:
        """Ask servers, one after another, until one answers or none is listed."""
        try:
            while self.is_lost(service):
                await asyncio.sleep(_RECHECK_S)
                servers = list(self._listed(service))
                if not servers:
                    self.links.forget(service)
                    return
                began_s = clocks.now_s()
                check = await self._ask([self._rng.choice(servers)])
                self._take(service, check, began_s=began_s)
        finally:
            self._rechecks.pop(service, None)
