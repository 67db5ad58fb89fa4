# SPDX-License-Identifier: MIT
"""Probes the runners of a silent run, as few as it takes while all reports are late."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .. import clocks
from .._probes import ProbeResults
from .._routing import Routing
from ..backends import BackendServer
from ..desired import ServiceSpec
from ..upstream import RunnerReport


#: Runners of a path that are probed before the others.
_SAMPLE_SIZE = 4
#: The same after a check that has decided nothing, beside one control.
_RETRY_SAMPLE_SIZE = 2
#: Runners apart from the path that are probed for comparison.
_CONTROL_COUNT = 3
#: How many times late reports are waited for if others are only somewhat sooner.
_MAX_WAITS = 5
#: Timers may fire early: the part of the limit after which a report may be overdue.
_LIMIT_PART = 0.9


class PathResults(NamedTuple):
    """What the probes of a path's runners have shown.

    Attributes:
        asked: The runners that were probed.
        silent: Those that could not be connected to, or gave no valid report.
        overdue: Those that accepted a request and are late, while others are not.
        late: Those that have not responded for a reason that is not known: other
            runners are as late.
        reports: The reports of the others, by id.
    """

    asked: Sequence[BackendServer]
    silent: tuple[BackendServer, ...] = ()
    overdue: tuple[BackendServer, ...] = ()
    late: tuple[BackendServer, ...] = ()
    reports: dict[str, RunnerReport] = {}


class PathProbe:
    """Probes runners of one stream's paths.

    Args:
        routing: Shared by all calls.
        service: The stream's.
    """

    def __init__(self, routing: Routing, service: ServiceSpec) -> None:
        self._routing = routing
        self._probes = routing.probes
        self._service = service
        self._rng = routing.probes.rng

    async def probe(
        self, servers: Sequence[BackendServer], *, path_ids: frozenset[str]
    ) -> PathResults:
        """Return which runners are at fault, of a path that gives no events.

        Args:
            servers: The runners to probe; the first one is always among them.
            path_ids: The ids of all runners of the path.

        Returns:
            The results, of no runner if a check just before has decided nothing.
        """
        pauses = self._probes.pauses
        if pauses.is_paused(now_s=clocks.now_s()):
            return PathResults(())
        limit_s = self._routing.settings.policy.probe_limit_s
        if pauses.was_undecided:
            sample = self._retry_sample(servers, path_ids)
            found = await self._probes.probe(sample, timeout_s=limit_s)
            if 2 * len(found.pending) > len(sample):
                return self._undecided(sample, found)
        sample = self._sample(servers, size=_SAMPLE_SIZE)
        found = await self._probes.probe(
            sample, timeout_s=limit_s / 2, max_pending=(len(sample) - 1) // 2
        )
        controls: list[BackendServer] = []
        if not self._is_decisive(found, sample):
            controls = self._select_controls(path_ids, count=_CONTROL_COUNT)
            await self._probes.probe(controls, timeout_s=limit_s / 2)
            found = await self._probes.probe(sample, timeout_s=0.0)
        if not self._is_comparable(found, sample, controls):
            return self._undecided(sample, found)
        return await self._compare(servers, controls, limit_s=limit_s)

    async def _compare(
        self,
        servers: Sequence[BackendServer],
        controls: Sequence[BackendServer],
        *,
        limit_s: float,
    ) -> PathResults:
        """Probe all runners; return those that are late in comparison with others."""
        for _ in range(_MAX_WAITS):
            found = await self._probes.probe(servers, timeout_s=limit_s)
            overdue = self._overdue(found, controls, limit_s=limit_s)
            if overdue or not found.pending:
                break
        if found.pending and not overdue:
            return self._undecided(servers, found)
        self._probes.pauses.record_decided()
        self._probes.record_overdue(one.id for one in overdue)
        late = tuple(one for one in found.pending if one not in overdue)
        return PathResults(servers, found.silent, overdue, late, found.reports)

    def _retry_sample(
        self, servers: Sequence[BackendServer], path_ids: frozenset[str]
    ) -> Sequence[BackendServer]:
        """Return the runners that show whether reports are still late."""
        return [
            *self._sample(servers, size=_RETRY_SAMPLE_SIZE),
            *self._select_controls(path_ids, count=1),
        ]

    def _sample(
        self, servers: Sequence[BackendServer], *, size: int
    ) -> Sequence[BackendServer]:
        """Return some runners, the first one among them."""
        if len(servers) <= size:
            return servers
        return [servers[0], *self._rng.sample(servers[1:], size - 1)]

    def _is_decisive(
        self, found: ProbeResults, sample: Sequence[BackendServer]
    ) -> bool:
        """Return whether a sample's results need no comparison with other runners."""
        if not found.pending:
            return True
        responded = len(sample) - len(found.pending)
        return len(sample) >= _SAMPLE_SIZE and responded > len(found.pending)

    def _select_controls(
        self, path_ids: frozenset[str], *, count: int
    ) -> list[BackendServer]:
        """Return runners to compare a path's with."""
        now_s = clocks.now_s()
        avoided = self._routing.health.in_cooldown(now_s=now_s) | path_ids
        others = [
            one
            for one in self._routing.usable(self._service.name)
            if one.kind and one.id not in avoided
        ]
        return self._rng.sample(others, min(len(others), count))

    def _is_comparable(
        self,
        found: ProbeResults,
        sample: Sequence[BackendServer],
        controls: Sequence[BackendServer],
    ) -> bool:
        """Return whether other runners respond, so that late ones stand out."""
        responded = len(sample) - len(found.pending)
        if responded > len(found.pending):
            return True
        if not controls:
            return responded > 0
        times = self._probes.times
        return all(
            times.has_responded(one.id, now_s=clocks.now_s()) for one in controls
        )

    def _overdue(
        self,
        found: ProbeResults,
        controls: Sequence[BackendServer],
        *,
        limit_s: float,
    ) -> tuple[BackendServer, ...]:
        """Return the runners whose reports are late in comparison with others."""
        now_s = clocks.now_s()
        ids = [one.id for one in controls]
        return tuple(
            one
            for one in found.pending
            if self._probes.times.is_overdue(
                one.id, limit_s=_LIMIT_PART * limit_s, now_s=now_s, controls=ids
            )
        )

    def _undecided(
        self, asked: Sequence[BackendServer], found: ProbeResults
    ) -> PathResults:
        """Return results that show no fault, and space out further probes."""
        self._probes.pauses.record_undecided(now_s=clocks.now_s())
        return PathResults(
            asked, found.silent, late=found.pending, reports=found.reports
        )
