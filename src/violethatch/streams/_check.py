# SPDX-License-Identifier: MIT
"""The check of a silent run: which of its runners the silence is due to."""

from __future__ import annotations

import asyncio
import collections

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .. import clocks, events
from .._routing import Routing
from ..backends import BackendServer
from ..desired import ServiceSpec
from ..paths import Path
from ..runner_health import ServerFault
from ..suspicion import WorkInHand
from ..upstream import RunnerReport
from ._path_probe import PathProbe, PathResults
from .silent_runs import Finding


#: How much slower than usual a runner may be, and how full, for the silence of a
#: request that has not begun to mean that its answer was lost.
_USUAL_SLOWNESS = 1.5
_USUAL_KV_PART = 0.9
#: How long it takes at the most until a runner whose process has ended has refused a
#: connection, in seconds: a way there and back between zones, and a busy instance.
_REFUSED_S = 0.02
#: How many runners of a zone have to be silent at once for all of it to be avoided.
_MIN_SILENT_IN_ZONE = 2


class Silence(NamedTuple):
    """A run's silence, as far as the run itself knows it.

    Attributes:
        path: The path that the run is on.
        had_event: Whether an event of the run has come.
        has_begun: Whether one has come along that path.
        since_s: When the silence began, in monotonic seconds.
        on_path_s: Since when the run is on that path, in monotonic seconds.
        may_repeat: Whether the stream may have another run.
        suspects: The ids of runners that earlier checks found at fault.
    """

    path: Path
    had_event: bool
    has_begun: bool
    since_s: float
    on_path_s: float
    may_repeat: bool
    suspects: frozenset[str]


class Verdict(NamedTuple):
    """What a check has shown.

    Attributes:
        finding: Whom the silence is due to.
        avoided: The ids of runners that another path or run should avoid.
        has_ended: Whether some of those at fault are known to have ended.
    """

    finding: Finding
    avoided: frozenset[str] = frozenset()
    has_ended: bool = False


class SilenceCheck:
    """Checks one run when it is silent.

    Args:
        routing: Shared by all calls.
        service: The stream's.
        call_id: The stream's.
        work: The stream's work.
    """

    def __init__(
        self, routing: Routing, service: ServiceSpec, call_id: str, work: WorkInHand
    ) -> None:
        self._routing = routing
        self._service = service
        self._call_id = call_id
        self._work = work
        self._progress = routing.silence_detector
        self._probe = PathProbe(routing, service)

    async def verdict(self, silence: Silence) -> Verdict:
        """Return whom a silence is due to."""
        culprits = self._resting_stages(silence.path)
        if culprits:
            return await self.blame(silence, culprits)
        suspected = self._suspected(silence)
        if not suspected and silence.had_event:
            return Verdict(Finding.NOTHING)
        first = silence.path.first
        asked = [first, *(one for one in suspected if one.id != first.id)]
        found = await self._probe.probe(asked, path_ids=silence.path.server_ids)
        if not found.asked:
            return Verdict(Finding.NOTHING)
        restarted = self._restarted_since(asked, found.reports)
        self._log(silence, found, restarted)
        culprits = [*found.silent, *found.overdue, *restarted]
        if culprits:
            return await self.blame(silence, culprits)
        return await self._verdict_of_reports(silence, found)

    async def blame(self, silence: Silence, culprits: list[BackendServer]) -> Verdict:
        """Return the verdict on runners that are at fault."""
        await self._note_ends(silence, culprits)
        ids = frozenset(one.id for one in culprits)
        has_ended = any(self._has_ended(one) for one in culprits)
        first = silence.path.first
        if first.id not in ids:
            avoided = ids | self._silent_zones(silence, culprits)
            return Verdict(Finding.LATER_AT_FAULT, avoided, has_ended)
        is_ended = self._has_ended(first)
        finding = Finding.FIRST_ENDED if is_ended else Finding.FIRST_SILENT
        return Verdict(finding, ids, has_ended)

    def _has_ended(self, server: BackendServer) -> bool:
        """Tell whether a server is known to have ended."""
        return self._routing.ends.is_known(server.lifetime, now_s=clocks.now_s())

    def slow_stages(self, path: Path) -> frozenset[str]:
        """Return the ids of a path's later runners that say they are slow."""
        slow = self._routing.slow_runners.slow(now_s=clocks.now_s())
        return frozenset(
            stage.server.id for stage in path.stages[1:] if stage.server.id in slow
        )

    async def _verdict_of_reports(
        self, silence: Silence, found: PathResults
    ) -> Verdict:
        """Return the verdict where no runner that was asked is known to be at fault."""
        first = silence.path.first
        report = found.reports.get(first.id)
        if report is None:
            return Verdict(Finding.NOTHING)
        named = silence.path.server_at(report.stalled.get(self._call_id))
        if named is not None:
            self._routing.record_fault(
                named, ServerFault.NAMED, self._call_id, "a request waits for it"
            )
            return await self.blame(silence, [named])
        if not found.late and self._is_lost(silence, report, found.reports.values()):
            return Verdict(Finding.ANSWER_LOST, frozenset({first.id}))
        return Verdict(Finding.NOTHING)

    def _is_lost(
        self, silence: Silence, first: RunnerReport, reports: Iterable[RunnerReport]
    ) -> bool:
        """Tell whether the answer of a run that has not begun was lost.

        Every runner of the path is there and as quick as usual, and at the first one
        nobody waits.  The last run that is allowed is waited for, and one that has no
        other path.
        """
        if silence.had_event or not silence.may_repeat:
            return False
        is_slow = any(one.slowness > _USUAL_SLOWNESS for one in reports)
        if first.waiting or is_slow or first.kv_used_part > _USUAL_KV_PART:
            return False
        avoided = silence.suspects | {silence.path.first.id}
        return self._routing.path(self._service, avoided=avoided) is not None

    async def _note_ends(self, silence: Silence, culprits: list[BackendServer]) -> None:
        """Note which runners have ended under the request, as far as is told soon.

        The first runner of a path survives: without this a request that ends a later
        one would be moved to the next.
        """
        order = [stage.server.id for stage in silence.path.stages]
        noting = self._work.lost_on_path(
            sorted(culprits, key=lambda one: order.index(one.id)),
            since_s=silence.on_path_s,
            has_begun=silence.has_begun,
        )
        # It goes on if a runner that is cut off doesn't answer soon.
        await asyncio.wait((asyncio.create_task(noting),), timeout=_REFUSED_S)

    def _suspected(self, silence: Silence) -> list[BackendServer]:
        """Return the path's runners that other streams don't show to work."""
        stages = {stage.server.id: stage.server for stage in silence.path.stages}
        if silence.had_event:
            ids = self._progress.silent_runners(stages, now_s=clocks.now_s())
        else:
            ids = self._progress.not_seen_since(stages, since_s=silence.since_s)
        return [stages[one] for one in ids]

    def _resting_stages(self, path: Path) -> list[BackendServer]:
        """Return the path's later runners that other requests had trouble with.

        A request that has not begun is not told as one that waits.
        """
        shunned = self._routing.health.excluded(now_s=clocks.now_s())
        later = [stage.server for stage in path.stages[1:]]
        return [one for one in later if one.id in shunned]

    def _restarted_since(
        self, asked: Iterable[BackendServer], reports: Mapping[str, RunnerReport]
    ) -> list[BackendServer]:
        """Return runners that say they are a later start than the list tells yet."""
        restarted = [
            one
            for one in asked
            if one.id in reports and 0 < one.started_ms < reports[one.id].started_ms
        ]
        for server in restarted:
            self._routing.ends.note_ended(server)
        return restarted

    def _silent_zones(
        self, silence: Silence, culprits: list[BackendServer]
    ) -> frozenset[str]:
        """Return all runners of zones that seem to be cut off.

        Where several runners of a zone are silent at once and none has shown
        anything meanwhile, the next path should not lead there either.
        """
        silent = collections.Counter(one.availability_zone for one in culprits)
        zones = {zone for zone, count in silent.items() if count >= _MIN_SILENT_IN_ZONE}
        zones.discard(silence.path.first.availability_zone)
        blamed = silence.suspects | {one.id for one in culprits}
        stages = [stage.server for stage in silence.path.stages]
        working = {one.availability_zone for one in stages if one.id not in blamed}
        return self._routing.server_ids_in_zones(self._service, zones - working)

    def _log(
        self,
        silence: Silence,
        found: PathResults,
        restarted: list[BackendServer],
    ) -> None:
        """Log who was asked about a silence, and what each has told."""
        path = silence.path
        report = found.reports.get(path.first.id)
        events.log(
            events.SILENCE_SEEN,
            request_id=self._call_id,
            first=path.first.id,
            silent_s=round(clocks.now_s() - silence.since_s, 3),
            asked=len(found.asked),
            waits_for=[one.id for one in (*found.silent, *found.overdue, *restarted)],
            silent=[one.id for one in found.silent],
            pending=[one.id for one in (*found.overdue, *found.late)],
            restarted=[one.id for one in restarted],
            path=[stage.server.id for stage in path.stages],
            usual_gap_s=round(self._progress.mean_gap_s, 4),
            waiting=report.waiting if report else None,
            running=report.running if report else None,
            kv_used_part=round(report.kv_used_part, 3) if report else None,
            slowness=report.slowness if report else None,
        )
