# SPDX-License-Identifier: MIT
"""Probes unresponsive and slow runners, so that requests don't have to test them."""

from __future__ import annotations

import asyncio
import random

from collections.abc import Iterable

from . import clocks, events
from ._routing import Routing
from .backends import BackendServer


#: Interval between checks for due probes, in seconds.
_CHECK_INTERVAL_S = 0.2
#: Interval between probes of a runner in cooldown, in seconds.  It grows in proportion
#: to the instances above `_UNSCALED_INSTANCES`: probes have a cost, and the other
#: instances use a recovered runner in the meantime.
_PROBE_INTERVAL_S = 0.8
_UNSCALED_INSTANCES = 8
#: Time before the end of a cooldown at which a runner is always probed, in seconds: one
#: check interval plus the report timeout.
_PROBE_LEAD_S = 0.45
#: Timeout of a report, in seconds.
_REPORT_TIMEOUT_S = 0.25


class HealthCheckLoop:
    """Ends the cooldown of runners that respond again, and extends the others.

    Args:
        routing: Provides the runners in cooldown and the slow ones.
        rng: Selects which of many instances probes a slow runner.
    """

    def __init__(self, routing: Routing, *, rng: random.Random) -> None:
        self._routing = routing
        self._rng = rng
        #: Time of the last probe of each runner in cooldown, or of its first check.
        self._probed_at_s: dict[str, float] = {}

    async def run(self) -> None:
        """Run checks until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            await self.check()

    async def check(self) -> None:
        """Probe the runners whose cooldown is about to expire, and the slow ones."""
        due = self._due_silent()
        slow = self._due_slow()
        if slow:
            await self._routing.probes.probe(slow, timeout_s=_REPORT_TIMEOUT_S)
        if not due:
            return
        findings = await self._routing.probes.probe(due, timeout_s=_REPORT_TIMEOUT_S)
        now_s = clocks.now_s()
        for server in (*findings.silent, *findings.pending):
            self._routing.health.extend_cooldown(server.id, now_s=now_s)
        for server_id in findings.reports:
            self._routing.health.record_success(server_id)
        if findings.reports:
            events.log(events.SERVERS_BACK, server_ids=sorted(findings.reports))

    def _due_silent(self) -> list[BackendServer]:
        """Return the unresponsive runners that are due for a probe.

        Servers of plain services provide no reports.
        """
        now_s = clocks.now_s()
        silent = self._routing.health.silent_cooldowns_s(now_s=now_s)
        self._probed_at_s = {
            server_id: probed_at_s
            for server_id, probed_at_s in self._probed_at_s.items()
            if server_id in silent
        }
        server_ids = [
            server_id
            for server_id, remaining_s in silent.items()
            if self._is_due(server_id, remaining_s, now_s)
        ]
        due = self._listed_runners(server_ids)
        self._probed_at_s |= {server.id: now_s for server in due}
        return due

    def _due_slow(self) -> list[BackendServer]:
        """Return the slow runners that are due for a probe."""
        routing = self._routing
        server_ids = routing.slow_runners.due_for_probe(
            instances=routing.instance_count(), rng=self._rng, now_s=clocks.now_s()
        )
        return self._listed_runners(server_ids)

    def _listed_runners(self, server_ids: Iterable[str]) -> list[BackendServer]:
        """Return the listed runners with some ids, unless their service is cut off."""
        servers = [self._routing.backends.get(server_id) for server_id in server_ids]
        lost = self._routing.link_watch.links.lost()
        return [
            server
            for server in servers
            if server is not None and server.kind and server.service not in lost
        ]

    def _is_due(self, server_id: str, remaining_s: float, now_s: float) -> bool:
        """Return whether a runner in cooldown is due for a probe."""
        probed_at_s = self._probed_at_s.setdefault(server_id, now_s)
        interval_s = _PROBE_INTERVAL_S * max(
            1.0, self._routing.instance_count() / _UNSCALED_INSTANCES
        )
        is_expiring = (
            remaining_s < _PROBE_LEAD_S and now_s - probed_at_s > _PROBE_LEAD_S
        )
        return is_expiring or now_s - probed_at_s >= interval_s
