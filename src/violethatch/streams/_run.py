# SPDX-License-Identifier: MIT
"""One run of a stream along a path, looked into when it goes silent.

The first runner of a path tells which runner the request waits for; the
request is then moved onto a path around that one.
"""

from __future__ import annotations

import asyncio
import collections

from collections.abc import AsyncIterator, Iterable, Mapping
from typing import Any

from .. import clocks, events
from .._routing import Routing
from .._work_in_hand import WorkInHand
from ..backends import BackendServer
from ..desired import ServiceSpec
from ..paths import Path
from ..runner_health import Trouble
from ..upstream import Answer, OrderOutcome, RunnerReport, Send


#: Orders onto another path that are tried in one silence.
_MOST_REPATHS = 2
#: A wait that ended so much later than it should, in seconds, says that the instance
#: itself was held up: what it has not seen tells nothing.
_HELD_UP_S = 0.05
#: How much slower than usual a runner may be, and how full, for the silence of a
#: request that has not begun to mean that its answer was lost.
_USUAL_SLOWNESS = 1.5
_USUAL_KV_PART = 0.9
#: How long it takes at the most until a runner whose process has ended has refused a
#: connection, in seconds: a way there and back between zones, and a busy instance.
_REFUSED_S = 0.02
#: How many runners of a zone have to be silent at once for all of it to be avoided.
_SILENT_IN_ZONE = 2


class StreamRun:
    """One run of a stream along a path, which may change under way."""

    def __init__(
        self,
        routing: Routing,
        service: ServiceSpec,
        send: Send,
        path: Path,
        *,
        work: WorkInHand,
        tokens: float,
        may_be_repeated: bool = False,
    ) -> None:
        self._routing = routing
        self._work = work
        self._may_be_repeated = may_be_repeated
        self._tokens = tokens
        self._service = service
        self._call = send.call
        self._send = send
        self._policy = routing.settings.policy
        self._deadline_s = send.deadline_s
        self._progress = routing.progress
        #: When its latest event came, if one has.
        self._event_s: float | None = None
        self.path = path
        self.repaths = 0
        self.is_whole = False
        #: Whether an event has come from the runners that it is on, and since when
        #: it is on them.
        self.has_begun = False
        self._on_path_s = clocks.now_s()
        #: Runners of its path that have started again, and what wakes it then.
        self._restarted: frozenset[str] = frozenset()
        self._restart: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        #: Runners to leave out when the call is sent again.
        self.suspects: frozenset[str] = frozenset()

    def count_in(self) -> None:
        """Count the run in on its path's runners."""
        engine = self._service.engine
        self._routing.runs.add(self)
        self._routing.loads.started(
            self.path,
            self._tokens,
            crossing_ms=engine.crossing_ms if engine is not None else 0.0,
            now_s=clocks.now_s(),
        )

    def count_out(self) -> None:
        """Count the run out again."""
        self._routing.runs.discard(self)
        self._routing.loads.ended(self.path, self._tokens)

    async def open(self) -> Answer:
        """Send the call; return its answer's head.

        Raises:
            NotSentError: Nothing has run.
            AnswerLostError: It may have run.
            TimeoutError: No head came in time, and no repair helped.
        """
        opening = asyncio.ensure_future(self._routing.client.send(self._send))
        try:
            await self._await_progress(opening, self._policy.first_event_limit_s)
        except BaseException:
            _abandon(opening)
            raise
        return opening.result()

    async def parts(self, answer: Answer) -> AsyncIterator[bytes]:
        """Return the answer's parts; look into each silence.

        Raises:
            AnswerLostError: The answer broke off.
            TimeoutError: It was silent for too long.
        """
        parts = answer.parts()
        try:
            while True:
                coming = asyncio.ensure_future(anext(parts, None))
                try:
                    await self._await_progress(coming, self._limit_s())
                finally:
                    _let_go(coming)
                part = coming.result()
                if part is None:
                    return
                self._note_event()
                yield part
        finally:
            self._note_end()

    def _limit_s(self) -> float:
        """Return after what silence to look for its cause, in seconds."""
        if self._event_s is None:
            return self._policy.first_event_limit_s
        return self._progress.least_silence_s

    def _note_event(self) -> None:
        """Note that the path's runners work."""
        now_s = clocks.now_s()
        self.has_begun = True
        ids = self.path.server_ids
        if self._event_s is None:
            self._progress.began(ids, now_s=now_s)
        else:
            self._progress.went_on(ids, gap_s=now_s - self._event_s, now_s=now_s)
        self._event_s = now_s

    def _note_end(self) -> None:
        """Note that the stream no longer passes along its path."""
        if self._event_s is not None:
            self._progress.ended(self.path.server_ids)
        self._event_s = None

    def note_refusal(self, answer: Answer) -> None:
        """Leave the runner alone that a refusal names, or the first one."""
        assert answer.refusal is not None
        culprit = self._stage_at(answer.refusal.address) or self.path.first
        self._routing.note_refusal(
            culprit.id,
            answer.refusal,
            self._call.id,
            is_told_by_other=culprit.id != self.path.first.id,
        )

    async def _await_progress(
        self, coming: asyncio.Future[Any], limit_s: float
    ) -> None:
        """Wait for the next bytes; after a silence look for the cause.

        Raises:
            TimeoutError: The silence has lasted too long.
        """
        started_s = clocks.now_s()
        give_up_s = min(
            self._deadline_s, started_s + limit_s + self._policy.silence_limit_s
        )
        while not coming.done():
            asked_s = clocks.now_s()
            left_s = min(limit_s, give_up_s - asked_s)
            if left_s <= 0:
                self.suspects |= {self.path.first.id}
                raise TimeoutError
            await asyncio.wait(
                (coming, self._restart),
                timeout=left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if coming.done():
                return
            if self._restart.done():
                await self._leave_restarted()
                continue
            if clocks.now_s() - asked_s - left_s < _HELD_UP_S:
                await self._look_into_silence(started_s)

    def note_restarted(self, server_ids: frozenset[str]) -> None:
        """Note that servers have started again; those on the path lack the request."""
        on_path = server_ids & self.path.server_ids
        if on_path:
            self._restarted |= on_path
            if not self._restart.done():
                self._restart.set_result(None)

    async def _leave_restarted(self) -> None:
        """Go around runners that have started again, without waiting for a silence.

        Raises:
            TimeoutError: The first runner is one of them, or the repair failed.
        """
        ids, self._restarted = self._restarted, frozenset()
        self._restart = asyncio.get_running_loop().create_future()
        stages = [stage.server for stage in self.path.stages]
        await self._go_around([one for one in stages if one.id in ids])

    async def _go_around(self, culprits: list[BackendServer]) -> None:
        """Move the request onto a path around some runners.

        Raises:
            TimeoutError: The first runner is one of them, or the repair failed.
        """
        await self._note_ends(culprits)
        self.suspects |= {one.id for one in culprits}
        self.suspects |= self._silent_zones(culprits)
        if self._work.is_held or not await self._repath():
            raise TimeoutError

    async def _look_into_silence(self, since_s: float) -> None:
        """Find out which runner a silence is due to, and go around it.

        Args:
            since_s: When the silence began, in monotonic seconds.

        Raises:
            TimeoutError: The first runner is silent itself, or the repair failed.
        """
        culprits = self._resting_stages()
        if not culprits:
            suspected = self._suspected(since_s)
            has_begun = self._event_s is not None
            if not suspected and has_begun:
                return
            culprits = await self._probe(suspected)
        if not culprits:
            await self._leave_slow()
            return
        await self._go_around(culprits)

    async def _note_ends(self, culprits: list[BackendServer]) -> None:
        """Note which runners have ended under the request, as far as is told soon.

        The first runner of a path goes on; without this a request that ends a later
        one was moved to the next (52 times in a series of 14 tries).
        """
        order = [stage.server.id for stage in self.path.stages]
        noting = self._work.lost_on_path(
            sorted(culprits, key=lambda one: order.index(one.id)),
            since_s=self._on_path_s,
            has_begun=self.has_begun,
        )
        # It goes on if a runner that is cut off doesn't answer soon.
        await asyncio.wait((asyncio.create_task(noting),), timeout=_REFUSED_S)

    async def _leave_slow(self) -> None:
        """Go around slow runners, if that can be done."""
        slow = self._routing.paces.slow(now_s=clocks.now_s())
        ids = {
            stage.server.id for stage in self.path.stages[1:] if stage.server.id in slow
        }
        if not ids or self.repaths >= _MOST_REPATHS:
            return
        suspects = self.suspects
        self.suspects |= ids
        if not await self._repath():
            self.suspects = suspects

    def _suspected(self, since_s: float) -> list[BackendServer]:
        """Return the path's runners that other streams don't show to work."""
        stages = {stage.server.id: stage.server for stage in self.path.stages}
        if self._event_s is None:
            ids = self._progress.unseen(stages, since_s=since_s)
        else:
            ids = self._progress.silent(stages, now_s=clocks.now_s())
        return [stages[one] for one in ids]

    async def _probe(self, suspected: list[BackendServer]) -> list[BackendServer]:
        """Ask runners whether they are there; return who is at fault.

        Raises:
            TimeoutError: The first runner is silent itself.
        """
        first = self.path.first
        asked = [first, *(one for one in suspected if one.id != first.id)]
        found = await self._routing.probes.look(
            asked, within_s=self._policy.probe_limit_s
        )
        report = found.reports.get(first.id)
        restarted = self._restarted_since(asked, found.reports)
        culprits = [*found.silent, *found.pending, *restarted]
        self._log_silence(report, asked, culprits)
        if first in culprits:
            await self._note_ends(culprits)
            self.suspects |= {one.id for one in culprits}
            raise TimeoutError
        if culprits or report is None:
            return culprits
        named = self._stage_at(report.stalled.get(self._call.id))
        if named is None:
            self._check_lost(report, found.reports.values())
            return []
        self._routing.note_trouble(
            named, Trouble.NAMED, self._call.id, "a request waits for it"
        )
        return [named]

    def _restarted_since(
        self, asked: Iterable[BackendServer], reports: Mapping[str, RunnerReport]
    ) -> list[BackendServer]:
        """Return runners that say they are a later start than the list tells yet."""
        restarted = [
            one
            for one in asked
            if one.id in reports and 0 < one.born_ms < reports[one.id].born_ms
        ]
        for server in restarted:
            self._routing.ends.note_ended(server)
        return restarted

    def _check_lost(self, first: RunnerReport, reports: Iterable[RunnerReport]) -> None:
        """Give a run up that has not begun though nothing holds it up.

        Its answer was lost: every runner of the path is there and as quick as usual,
        and at the first one nobody waits.  Another run begins within the target then.
        The last one that is allowed is waited for, and one that has no other path.

        Raises:
            TimeoutError: The answer was lost.
        """
        if self._event_s is not None or not self._may_be_repeated:
            return
        is_slow = any(one.slowness > _USUAL_SLOWNESS for one in reports)
        if first.waiting or is_slow or first.kv_used_part > _USUAL_KV_PART:
            return
        avoided = self.suspects | {self.path.first.id}
        if self._routing.path(self._service, avoided=avoided) is None:
            return
        self.suspects = avoided
        raise TimeoutError

    def _silent_zones(self, culprits: list[BackendServer]) -> frozenset[str]:
        """Return all runners of zones that seem to be cut off.

        Where several runners of a zone are silent at once and none has shown
        anything meanwhile, the next path should not lead there either.
        """
        silent = collections.Counter(one.availability_zone for one in culprits)
        zones = {zone for zone, count in silent.items() if count >= _SILENT_IN_ZONE}
        zones.discard(self.path.first.availability_zone)
        stages = [stage.server for stage in self.path.stages]
        working = {
            one.availability_zone for one in stages if one.id not in self.suspects
        }
        return self._routing.in_zones(self._service, zones - working)

    def _move_to(self, path: Path) -> None:
        """Count the run on another path's runners."""
        had_begun = self._event_s is not None
        self.count_out()
        self._note_end()
        self.path = path
        self.has_begun = False
        self._on_path_s = clocks.now_s()
        self.count_in()
        if had_begun:
            self._event_s = clocks.now_s()
            self._progress.began(path.server_ids, now_s=self._event_s)

    def _log_silence(
        self,
        report: RunnerReport | None,
        asked: list[BackendServer],
        culprits: list[BackendServer],
    ) -> None:
        """Log who was asked about a silence, what the first told, and who is silent."""
        events.log(
            events.SILENCE_SEEN,
            request_id=self._call.id,
            first=self.path.first.id,
            asked=len(asked),
            waits_for=[one.id for one in culprits],
            path=[stage.server.id for stage in self.path.stages],
            usual_gap_s=round(self._progress.usual_gap_s, 4),
            waiting=report.waiting if report else None,
            running=report.running if report else None,
            kv_used_part=round(report.kv_used_part, 3) if report else None,
            slowness=report.slowness if report else None,
        )

    async def _repath(self) -> bool:
        """Move the request onto a path around the suspects."""
        for _ in range(_MOST_REPATHS):
            path = self._routing.path(
                self._service,
                avoided=self.suspects,
                first=self.path.first,
                kept=self.path,
            )
            if path is None or self.path.first.id in self.suspects:
                return False
            order = await self._routing.client.repath(
                self.path.first, self._call.id, path
            )
            events.log(
                events.REQUEST_MOVED,
                request_id=self._call.id,
                outcome=order.outcome.value,
                path=[stage.server.id for stage in path.stages],
            )
            if order.is_taken:
                self._move_to(path)
                self.repaths += 1
                return True
            obstacle = _stage_of(path, order.address)
            if order.outcome is not OrderOutcome.CONFLICT or obstacle is None:
                return False
            # Others' streams would ask for the same path in the same moment.
            self._routing.note_trouble(
                obstacle, Trouble.ABSENT, self._call.id, "in the way of a move"
            )
            self.suspects |= {obstacle.id}
        return False

    def _resting_stages(self) -> list[BackendServer]:
        """Return the path's later runners that other requests had trouble with.

        A request that has not begun is not told as one that waits.
        """
        shunned = self._routing.health.shunned(now_s=clocks.now_s())
        later = [stage.server for stage in self.path.stages[1:]]
        return [one for one in later if one.id in shunned]

    def _stage_at(self, address: str | None) -> BackendServer | None:
        """Return the runner of the path at an address."""
        return _stage_of(self.path, address)


def _let_go(coming: asyncio.Future[Any]) -> None:
    """Let go of what is no longer waited for, also if it has failed meanwhile."""
    if not coming.done():
        coming.cancel()
    elif not coming.cancelled():
        coming.exception()  # it counts as seen; a run that is given up on is logged


def _abandon(opening: asyncio.Future[Answer]) -> None:
    """Break a send off, also if its head came in the meantime."""
    if not opening.done():
        opening.cancel()
    elif not opening.cancelled() and opening.exception() is None:
        opening.result().close(is_whole=False)


def _stage_of(path: Path, address: str | None) -> BackendServer | None:
    """Return a path's runner at an address."""
    for stage in path.stages:
        if stage.server.address == address:
            return stage.server
    return None
