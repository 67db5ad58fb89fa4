# SPDX-License-Identifier: MIT
"""Checks an instance's links when a backend server gives no answer.

While links are believed lost, one server after another is asked until one answers.
"""

from __future__ import annotations

import asyncio
import random

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from .. import clocks, events, running_time
from .._listed import BackendServer
from ..upstream import ReachOutcome
from ._links import (
    CHECKED_SERVERS,
    LinkCheck,
    LinkState,
    LostLinks,
    ServerLinks,
    servers_to_check,
)


#: How often servers are asked again while links are lost, in seconds.
_RECHECK_S = 0.25
#: Servers of a service that are asked at the return of its links.
_MAX_ASKED = 8
#: How long a check waits for those of the other services, in seconds.
_OTHERS_S = 0.3


class ServerProbe(Protocol):
    """Asks servers whether they are there."""

    async def reach(self, server: BackendServer) -> ReachOutcome:
        """Ask a server over a new connection; any answer will do."""


class LinkWatch:
    """Keeps one instance's beliefs about its links up to date.

    Args:
        probe: Asks servers.
        listed: Returns the servers that calls of a service may be sent to.
        usable: Returns all servers of a service that are in use, also those that only
            other servers send calls to.
        services: Returns the services that have listed servers.
        zone: The instance's availability zone.
        rng: Chooses whom to ask.
    """

    def __init__(
        self,
        probe: ServerProbe,
        *,
        listed: Callable[[str], Sequence[BackendServer]],
        usable: Callable[[str], Sequence[BackendServer]],
        services: Callable[[], Iterable[str]],
        zone: str,
        rng: random.Random,
    ) -> None:
        self.links = ServerLinks()
        #: Whether links are checked: no other instance can help one that is alone.
        self.is_active = False
        #: Told at the return of links who answers, and since when they were lost.
        self.on_return: Callable[[Sequence[str], float], None] = (
            lambda _server_ids, _since_s: None
        )
        #: Told when links are lost or back.
        self.on_change: Callable[[], None] = lambda: None
        #: Told of each check's outcome.
        self.on_check: Callable[[str], None] = lambda _outcome: None
        self._probe = probe
        self._listed = listed
        self._usable = usable
        self._services = services
        self._zone = zone
        self._rng = rng
        self._checks: dict[str, asyncio.Task[bool]] = {}
        #: By service, the check of links that are believed lost.
        self._repeats: dict[str, asyncio.Task[bool]] = {}
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
        return self._begin_check(server.service, server)

    def note_late(self, server: BackendServer, *, sent_s: float) -> None:
        """Note a late answer; it leads to a check where none has come since.

        Args:
            server: Who has not answered.
            sent_s: When the request was sent, in monotonic seconds.
        """
        if not self.links.has_answered(server.service, since_s=sent_s):
            self.suspect(server)

    def note_answer(self, service: str) -> None:
        """Note that a server of a service has answered a call."""
        self.links.note_answer(service, now_s=clocks.now_s())

    async def settled(self, service: str) -> bool:
        """Tell whether links are lost, after a check that is under way has ended."""
        running = self._checks.get(service)
        if running is not None:
            # Who has started the check may be cancelled; the others still want it.
            await asyncio.shield(running)
        return self.is_lost(service)

    async def state_for(self, server: BackendServer) -> LinkState:
        """Return what the links say of a server that refuses connections."""
        self.suspect(server)
        if not await self.settled(server.service):
            return LinkState.SOUND
        if not await self._is_still_lost(server):
            return LinkState.SOUND
        if await self._reaches_others(server.service):
            return LinkState.OTHERS_ANSWER
        return LinkState.LOST

    async def _is_still_lost(self, server: BackendServer) -> bool:
        """Check links again that are believed lost: they may just have come back."""
        repeat = self._repeats.get(server.service)
        if repeat is None:
            repeat = self._start_check(self._repeats, server.service, server)
        # Who has started the check may be cancelled; the others still want it.
        return await asyncio.shield(repeat)

    async def _reaches_others(self, service: str) -> bool:
        """Tell whether servers answer that calls of a service are not sent to."""
        silent = {one.id for one in self._listed(service)}
        others = [
            one
            for name in self._services()
            for one in self._usable(name)
            if one.id not in silent
        ]
        asked = self._rng.sample(others, min(len(others), CHECKED_SERVERS))
        return bool((await self._ask(asked)).answered)

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

    def _begin_check(
        self, service: str, suspect: BackendServer | None
    ) -> asyncio.Task[bool] | None:
        """Return the check of a service's links that is under way, if one is needed."""
        running = self._checks.get(service)
        if running is not None:
            return running
        if not self.is_active:
            return None
        if not self.links.needs_check(service, now_s=clocks.now_s()):
            return None
        return self._start_check(self._checks, service, suspect)

    def _start_check(
        self,
        running: dict[str, asyncio.Task[bool]],
        service: str,
        suspect: BackendServer | None,
    ) -> asyncio.Task[bool]:
        """Start a check; it is found among the running ones until it ends."""

        async def run() -> bool:
            try:
                return await self._check(service, suspect)
            finally:
                del running[service]

        running[service] = asyncio.create_task(run())
        return running[service]

    async def _check(self, service: str, suspect: BackendServer | None) -> bool:
        """Ask servers of a service; tell whether the links to them are lost."""
        began_s = clocks.now_s()
        asked = servers_to_check(
            self._listed(service), suspect=suspect, zone=self._zone, rng=self._rng
        )
        check = await self._ask(asked)
        if any(one.kind for one in asked):
            check = self._with_late_runners(service, check, began_s=began_s)
        if check.unclear and not (check.answered or check.silent):
            await self._check_others(service)
        self._take(service, check, began_s=began_s)
        return self.is_lost(service)

    def _with_late_runners(
        self, service: str, check: LinkCheck, *, began_s: float
    ) -> LinkCheck:
        """Return a check in which late runners are silent if nothing came from others.

        Runners respond within milliseconds whatever their load, unless all are late.
        """
        if self.links.has_answered(service, since_s=began_s):
            return check
        return check._replace(silent=check.silent + check.unclear, unclear=())

    async def _check_others(self, service: str) -> None:
        """Check the links to the other services' servers."""
        others = [one for one in self._services() if one != service]
        checks = [self._begin_check(one, None) for one in others]
        running = [check for check in checks if check is not None]
        if running:
            # They may wait for this one in turn.
            await running_time.wait(
                running, limit_s=_OTHERS_S, return_when=asyncio.ALL_COMPLETED
            )

    async def _ask(
        self, servers: Sequence[BackendServer], *, is_one_enough: bool = True
    ) -> LinkCheck:
        """Ask servers at once."""
        found: defaultdict[ReachOutcome, list[str]] = defaultdict(list)
        asked = [asyncio.create_task(self._reach(one)) for one in servers]
        try:
            for next_done in asyncio.as_completed(asked):
                server_id, reached = await next_done
                found[reached].append(server_id)
                if reached is ReachOutcome.ANSWERED and is_one_enough:
                    break
        finally:
            for task in asked:
                task.cancel()
        return LinkCheck(
            answered=tuple(found[ReachOutcome.ANSWERED]),
            silent=tuple(found[ReachOutcome.SILENT]),
            unclear=tuple(found[ReachOutcome.CONNECTED]),
        )

    async def _reach(self, server: BackendServer) -> tuple[str, ReachOutcome]:
        """Ask one server; return its id beside what that came to."""
        return server.id, await self._probe.reach(server)

    def _take(self, service: str, check: LinkCheck, *, began_s: float) -> None:
        """Take a check's outcome in, log it, and act on a changed belief."""
        before = self.links.lost().get(service)
        is_changed = self.links.note_check(service, check, began_s=began_s)
        if is_changed:
            self.on_change()
        self.on_check("answered" if check.answered else "silent")
        check_s = round(clocks.now_s() - began_s, 4)
        fields = {"service": service, **check._asdict(), "check_s": check_s}
        if is_changed and before is None:
            events.log(events.LINKS_LOST, **fields)
            self._rechecks[service] = asyncio.create_task(self._recheck(service))
        elif is_changed and before is not None:
            self._note_return(service, before, check)
        elif before is None:
            events.log(events.LINKS_SOUND, **fields)

    def _note_return(self, service: str, lost: LostLinks, check: LinkCheck) -> None:
        """Log that links are back, and tell whoever wants to know."""
        events.log(
            events.LINKS_BACK,
            service=service,
            answered=list(check.answered),
            lost_s=round(clocks.now_s() - lost.since_s, 3),
        )
        self.on_return(check.answered, lost.since_s)

    async def _recheck(self, service: str) -> None:
        """Ask servers, one after another, until one answers or none is listed.

        Links to one service's servers are seldom lost alone: the others' are checked.
        """
        try:
            await self._check_others(service)
            while self.is_lost(service):
                await asyncio.sleep(_RECHECK_S)
                servers = self._listed(service)
                if not servers:
                    self.links.forget(service)
                    self.on_change()
                    return
                began_s = clocks.now_s()
                check = await self._ask([self._rng.choice(servers)])
                if check.answered:
                    # Links to single servers may still be lost: the first calls
                    # after the return should not be the ones to find out.
                    asked = self._rng.sample(servers, min(len(servers), _MAX_ASKED))
                    check = await self._ask(asked, is_one_enough=False)
                self._take(service, check, began_s=began_s)
        finally:
            self._rechecks.pop(service, None)
