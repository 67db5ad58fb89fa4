# SPDX-License-Identifier: MIT
"""Asks runners that were silent or slow how they are, before requests find out."""

from __future__ import annotations

import asyncio
import random

from collections.abc import Iterable

from . import clocks, events
from ._routing import Routing
from .backends import BackendServer


#: How often to look whose rest ends, in seconds.
_LOOK_S = 0.2
#: How often a resting runner is asked, in seconds, times the instances beyond eight:
#: probes are priced, and one that is back is used by the others meanwhile.
_ASK_S = 0.8
_FEW_INSTANCES = 8
#: How long before a rest's end the runner is asked in any case, in seconds: a look,
#: and the time that a report may take.
_BEFORE_END_S = 0.45
#: How long to wait for a report, in seconds.
_WAIT_S = 0.25


class HealthCheckLoop:
    """Ends the rests of runners that answer again, and prolongs the others.

    Args:
        routing: Knows who rests, and who is slow.
        rng: Decides which of many instances asks.
    """

    def __init__(self, routing: Routing, *, rng: random.Random) -> None:
        self._routing = routing
        self._rng = rng
        #: By runner that rests, when it was last asked, or found to rest.
        self._asked_s: dict[str, float] = {}

    async def run(self) -> None:
        """Look after rests, until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            await self.look()

    async def look(self) -> None:
        """Ask the runners whose rests end soon, and the slow ones."""
        due = self._due()
        slow = self._slow()
        if slow:
            await self._routing.probes.probe(slow, timeout_s=_WAIT_S)
        if not due:
            return
        found = await self._routing.probes.probe(due, timeout_s=_WAIT_S)
        now_s = clocks.now_s()
        for server in (*found.silent, *found.pending):
            self._routing.health.extend_cooldown(server.id, now_s=now_s)
        for server_id in found.reports:
            self._routing.health.record_success(server_id)
        if found.reports:
            events.log(events.SERVERS_BACK, server_ids=sorted(found.reports))

    def _due(self) -> list[BackendServer]:
        """Return the runners that were silent and are to be asked now.

        Servers of plain services give no reports.
        """
        now_s = clocks.now_s()
        silent = self._routing.health.silent_cooldowns_s(now_s=now_s)
        self._asked_s = {
            one: asked_s for one, asked_s in self._asked_s.items() if one in silent
        }
        ids = [
            one for one, left_s in silent.items() if self._is_due(one, left_s, now_s)
        ]
        due = self._known(ids)
        self._asked_s |= {one.id: now_s for one in due}
        return due

    def _slow(self) -> list[BackendServer]:
        """Return the slow runners that are to be asked again."""
        routing = self._routing
        ids = routing.slow_runners.due_for_probe(
            instances=routing.instance_count(), rng=self._rng, now_s=clocks.now_s()
        )
        return self._known(ids)

    def _known(self, ids: Iterable[str]) -> list[BackendServer]:
        """Return the runners with some ids that are listed."""
        known = [self._routing.backends.get(one) for one in ids]
        lost = self._routing.link_watch.links.lost()
        return [
            one
            for one in known
            if one is not None and one.kind and one.service not in lost
        ]

    def _is_due(self, server_id: str, left_s: float, now_s: float) -> bool:
        """Tell whether a resting runner is to be asked now."""
        asked_s = self._asked_s.setdefault(server_id, now_s)
        pause_s = _ASK_S * max(1.0, self._routing.instance_count() / _FEW_INSTANCES)
        is_ending = left_s < _BEFORE_END_S and now_s - asked_s > _BEFORE_END_S
        return is_ending or now_s - asked_s >= pause_s
