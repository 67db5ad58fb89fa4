# SPDX-License-Identifier: MIT
"""One run of a stream along a path, looked into when it goes silent.

The first runner of a path tells which runner the request waits for; the
request is then moved onto a path around that one.
"""

from __future__ import annotations

import asyncio
import time

from collections.abc import AsyncIterator
from typing import Any

from . import events
from ._routing import Routing
from .backends import BackendServer
from .desired import ServiceSpec
from .paths import Path
from .runner_health import Trouble
from .upstream import Answer, OrderOutcome, RunnerReport, Send


#: Orders onto another path that are tried in one silence.
_MOST_REPATHS = 2


class StreamRun:
    """One run of a stream along a path, which may change under way."""

    def __init__(
        self,
        routing: Routing,
        service: ServiceSpec,
        send: Send,
        path: Path,
        *,
        tokens: float,
    ) -> None:
        self._routing = routing
        self._tokens = tokens
        self._service = service
        self._call = send.call
        self._send = send
        self._policy = routing.settings.policy
        self._deadline_s = send.deadline_s
        self.path = path
        self.repaths = 0
        self.is_whole = False
        #: Runners to leave out when the call is sent again.
        self.suspects: frozenset[str] = frozenset()

    def count_in(self) -> None:
        """Count the run in on its path's runners."""
        engine = self._service.engine
        self._routing.loads.started(
            self.path,
            self._tokens,
            crossing_ms=engine.crossing_ms if engine is not None else 0.0,
            now_s=time.monotonic(),
        )

    def count_out(self) -> None:
        """Count the run out again."""
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
        limit_s = self._policy.first_event_limit_s
        while True:
            coming = asyncio.ensure_future(anext(parts, None))
            try:
                await self._await_progress(coming, limit_s)
            finally:
                if not coming.done():
                    coming.cancel()
            part = coming.result()
            if part is None:
                return
            yield part
            limit_s = self._policy.gap_limit_s

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
        started_s = time.monotonic()
        give_up_s = min(
            self._deadline_s, started_s + limit_s + self._policy.silence_limit_s
        )
        while not coming.done():
            left_s = min(limit_s, give_up_s - time.monotonic())
            if left_s <= 0:
                self.suspects |= {self.path.first.id}
                raise TimeoutError
            await asyncio.wait((coming,), timeout=left_s)
            if coming.done():
                return
            await self._look_into_silence()

    async def _look_into_silence(self) -> None:
        """Ask the first runner what it waits for, and go around that one.

        Raises:
            TimeoutError: The first runner is silent itself, or the repair failed.
        """
        first = self.path.first
        report = await self._routing.client.report(first)
        if report is None:
            self.suspects |= {first.id}
            self._routing.note_trouble(
                first, Trouble.SILENT, self._call.id, "silent, and gives no report"
            )
            raise TimeoutError
        culprit = self._stage_at(report.stalled.get(self._call.id))
        culprit = culprit or self._resting_stage()
        is_told = culprit is not None
        if culprit is None:
            culprit = await self._silent_stage()
        self._log_silence(report, culprit)
        if culprit is None:
            return
        if is_told:
            self._routing.note_trouble(
                culprit, Trouble.NAMED, self._call.id, "a request waits for it"
            )
        self.suspects |= {culprit.id}
        if not await self._repath():
            raise TimeoutError

    def _log_silence(self, report: RunnerReport, culprit: BackendServer | None) -> None:
        """Log what the first runner told of a silence, and whom it is laid to."""
        events.log(
            events.SILENCE_SEEN,
            request_id=self._call.id,
            first=self.path.first.id,
            waits_for=culprit.id if culprit else None,
            path=[stage.server.id for stage in self.path.stages],
            waiting=report.waiting,
            running=report.running,
            kv_used_part=round(report.kv_used_part, 3),
            slowness=report.slowness,
        )

    async def _repath(self) -> bool:
        """Move the request onto a path around the suspects."""
        for _ in range(_MOST_REPATHS):
            path = self._routing.path(
                self._service, avoided=self.suspects, first=self.path.first
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
                self.count_out()
                self.path = path
                self.count_in()
                self.repaths += 1
                return True
            obstacle = _stage_of(path, order.address)
            if order.outcome is not OrderOutcome.CONFLICT or obstacle is None:
                return False
            self.suspects |= {obstacle.id}
        return False

    async def _silent_stage(self) -> BackendServer | None:
        """Return a later runner of the path that gives no answer itself.

        The first runner tells who a request waits for only once it has begun, and
        refuses it only after a time that callers don't wait.
        """
        later = [stage.server for stage in self.path.stages[1:]]
        silent = await self._routing.probes.silent(later)
        for server in silent:
            self._routing.note_trouble(
                server, Trouble.SILENT, self._call.id, "gives no report"
            )
        self.suspects |= {server.id for server in silent}
        return silent[0] if silent else None

    def _resting_stage(self) -> BackendServer | None:
        """Return a runner of the path that other requests had trouble with.

        A request that has not begun is not told as one that waits.
        """
        resting = self._routing.health.resting(now_s=time.monotonic())
        for stage in self.path.stages[1:]:
            if stage.server.id in resting:
                return stage.server
        return None

    def _stage_at(self, address: str | None) -> BackendServer | None:
        """Return the runner of the path at an address."""
        return _stage_of(self.path, address)


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
