# SPDX-License-Identifier: MIT
"""One run of a stream along a path, checked when it goes silent.

A silent run is moved around runners that are at fault, or keeps waiting; it ends by
itself only with its connection, its first runner or its time.
"""

from __future__ import annotations

import asyncio

from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from .. import clocks, events, running_time
from .._background import retrieve_error
from .._routing import Routing
from ..desired import ServiceSpec
from ..paths import Path
from ..runner_health import ServerFault
from ..suspicion import WorkInHand
from ..upstream import Answer, OrderOutcome, Send
from ._check import Silence, SilenceCheck, Verdict
from .silent_runs import Action, CheckTimes, Finding, action_on


#: For how long events have to come until the prompt counts as one that ends no server,
#: in seconds: what does so ends it when its answer begins.
_SOUND_AFTER_S = 0.25
#: Orders onto another path that are tried in one silence.
_MAX_MOVES = 2


class RunnerEndedError(Exception):
    """A run can't go on: a runner that it needs has ended."""


class StreamRun:
    """One run of a stream along a path, which may change under way.

    Args:
        routing: Shared by all calls.
        service: The stream's.
        send: What is sent; it has a path.
        work: The stream's work.
        tokens: The KV cache that it is expected to need on average, in tokens.
        is_again: Whether the stream was sent before.
        may_repeat: Whether the stream may have another run after this one.
    """

    def __init__(
        self,
        routing: Routing,
        service: ServiceSpec,
        send: Send,
        *,
        work: WorkInHand,
        tokens: float,
        is_again: bool = False,
        may_repeat: bool = False,
    ) -> None:
        assert send.path is not None
        self._routing = routing
        self._work = work
        self._may_repeat = may_repeat
        self.is_again = is_again
        self._tokens = tokens
        self._service = service
        self._call = send.call
        self._send = send
        self._policy = routing.settings.policy
        self._deadline_s = send.deadline_s
        self._progress = routing.silence_detector
        self._check = SilenceCheck(routing, service, send.call.id, work)
        #: When its latest event came, if one has.
        self._event_s: float | None = None
        self.path: Path = send.path
        self.moves = 0
        self.is_whole = False
        #: Whether it counts as a run that its stream has had.
        self.is_counted = False
        #: Whether an event has come from the runners that it is on, and since when
        #: it is on them.
        self.has_begun = False
        self._on_path_s = clocks.now_s()
        #: When the first whole event came that the caller lacked, if one has.
        self._given_s: float | None = None
        #: What the check found that has made it count as silent, until it goes on.
        self.silence: Finding | None = None
        #: The check that is under way, if one is.
        self._checking: asyncio.Task[None] | None = None
        #: Told when it begins to count as silent.
        self.on_silent: Callable[[], None] = lambda: None
        #: Runners of its path that have started again, and what wakes it then.
        self._restarted: frozenset[str] = frozenset()
        self._restart: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        #: Runners to leave out when the call is sent again.
        self.suspects: frozenset[str] = frozenset()

    @property
    def is_silent(self) -> bool:
        """Whether another run may begin beside it."""
        return self.silence is not None

    def count_in(self) -> None:
        """Count the run in on its path's runners."""
        engine = self._service.engine
        self._routing.runs.add(self)
        self._routing.loads.started(
            self.path,
            self._tokens,
            crossing_ms=engine.zone_transfer_ms if engine is not None else 0.0,
            now_s=clocks.now_s(),
        )

    def count_out(self) -> None:
        """Count the run out again, and end a check that is under way."""
        if self._checking is not None:
            self._checking.cancel()
        self._uncount()

    def _uncount(self) -> None:
        """Count the run out on its path's runners."""
        self._routing.runs.discard(self)
        self._routing.loads.ended(self.path, self._tokens)

    async def open(self) -> Answer:
        """Send the call; return its answer's head.

        Raises:
            NotSentError: Nothing has run.
            AnswerLostError: It may have run.
            RunnerEndedError: A runner that it needs has ended.
            TimeoutError: No head came before the deadline.
        """
        opening = asyncio.ensure_future(self._routing.client.send(self._send))
        try:
            await self._wait(opening, self._policy.first_event_limit_s)
        except BaseException:
            _abandon(opening)
            raise
        else:
            return opening.result()
        finally:
            # Its error's traceback would hold this frame, and so the task and the call.
            del opening

    async def parts(self, answer: Answer) -> AsyncIterator[bytes]:
        """Return the answer's parts; check each silence.

        Raises:
            AnswerLostError: The answer broke off.
            RunnerEndedError: A runner that it needs has ended.
            TimeoutError: The deadline is over.
        """
        parts = answer.parts()
        try:
            while True:
                part = await self._next_part(parts)
                if part is None:
                    self._end_silence("whole")
                    return
                self._note_event()
                yield part
        finally:
            self._note_end()

    async def _next_part(self, parts: AsyncIterator[bytes]) -> bytes | None:
        """Return the next part of an answer, or None at its end.

        Raises:
            AnswerLostError: The answer broke off.
            RunnerEndedError: A runner that it needs has ended.
            TimeoutError: The deadline is over.
        """
        coming = asyncio.ensure_future(anext(parts, None))
        try:
            try:
                await self._wait(coming, self._limit_s())
            finally:
                _let_go(coming)
            return coming.result()
        finally:
            # Its error's traceback would hold this frame, and so the task and the call.
            del coming

    def note_given(self) -> None:
        """Note a whole event that the caller is to get."""
        now_s = clocks.now_s()
        if self._given_s is None:
            self._given_s = now_s
            self._work.began()
        elif now_s - self._given_s >= _SOUND_AFTER_S:
            self._work.went_on()

    def on_restarted(self, server_ids: frozenset[str]) -> None:
        """Note that servers have started again; those on the path lack the request."""
        on_path = server_ids & self.path.server_ids
        if on_path:
            self._restarted |= on_path
            if not self._restart.done():
                self._restart.set_result(None)

    def _limit_s(self) -> float:
        """Return the silence before a check, in seconds."""
        if self._event_s is None:
            return self._policy.first_event_limit_s
        return self._progress.min_silence_s

    def _note_event(self) -> None:
        """Note that the path's runners work."""
        now_s = clocks.now_s()
        self._routing.link_watch.links.note_answer(self._service.name, now_s=now_s)
        self.has_begun = True
        self._end_silence("goes_on")
        ids = self.path.server_ids
        if self._event_s is None:
            self._progress.stream_started(ids, now_s=now_s)
        else:
            self._progress.stream_continued(
                ids, gap_s=now_s - self._event_s, now_s=now_s
            )
        self._event_s = now_s

    def _note_end(self) -> None:
        """Note that the stream no longer passes along its path."""
        if self._event_s is not None:
            self._progress.stream_ended(self.path.server_ids)
        self._event_s = None

    async def _wait(self, coming: asyncio.Future[Any], limit_s: float) -> None:
        """Wait for the next bytes; check the run after each further silence.

        Raises:
            RunnerEndedError: A runner that it needs has ended.
            TimeoutError: The deadline is over.
        """
        since_s = clocks.now_s()
        overdue_s = limit_s + self._policy.silence_limit_s
        times = CheckTimes(limit_s, overdue_s=overdue_s)
        while not coming.done():
            now_s = clocks.now_s()
            left_s = self._deadline_s - now_s
            if left_s <= 0:
                raise TimeoutError
            next_s = times.next_s(now_s - since_s, is_kept=self.is_silent)
            is_awake = await running_time.wait_unasked(
                (coming, self._restart),
                limit_s=min(left_s, next_s),
            )
            if coming.done():
                return
            if is_awake:
                check = self._leave_restarted(since_s)
            elif clocks.now_s() < self._deadline_s:
                check = self._look_into_silence(since_s, overdue_s=overdue_s)
            else:
                continue
            await self._check_beside(coming, check)

    async def _check_beside(
        self, coming: asyncio.Future[Any], check: Coroutine[Any, Any, None]
    ) -> None:
        """Run a check until it is over, the next bytes come or time is up.

        A check that has begun goes on beside the bytes: it may have moved the run.

        Raises:
            RunnerEndedError: A runner that the run needs has ended.
        """
        checking = self._checking
        if checking is None:
            checking = self._checking = asyncio.create_task(check)
            checking.add_done_callback(retrieve_error)
        else:
            check.close()
        left_s = clocks.left_s(self._deadline_s)
        await asyncio.wait(
            (coming, checking), timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        if checking.done():
            self._checking = None
            if not coming.done():
                checking.result()

    async def _leave_restarted(self, since_s: float) -> None:
        """Go around runners that have started again, without waiting for a silence.

        Raises:
            RunnerEndedError: The first runner is one of them.
        """
        ids, self._restarted = self._restarted, frozenset()
        self._restart = asyncio.get_running_loop().create_future()
        stages = [stage.server for stage in self.path.stages]
        culprits = [one for one in stages if one.id in ids]
        verdict = await self._check.blame(self._silence(since_s), culprits)
        if self.path.first.id in ids:
            verdict = verdict._replace(finding=Finding.FIRST_ENDED)
        await self._act_on(verdict, since_s)

    async def _look_into_silence(self, since_s: float, *, overdue_s: float) -> None:
        """Find out whom a silence is due to, and act on that.

        Raises:
            RunnerEndedError: A runner that it needs has ended.
        """
        verdict = await self._check.verdict(self._silence(since_s))
        if verdict.finding is Finding.NOTHING:
            if await self._leave_slow():
                return
            if clocks.now_s() - since_s >= overdue_s:
                first_id = self.path.first.id
                verdict = Verdict(Finding.OVERDUE, avoided=frozenset({first_id}))
        await self._act_on(verdict, since_s)

    async def _act_on(self, verdict: Verdict, since_s: float) -> None:
        """Do what a check's verdict on a silence leads to.

        Raises:
            RunnerEndedError: A runner that it needs has ended.
        """
        self.suspects |= verdict.avoided
        action = action_on(
            verdict.finding, has_ended=verdict.has_ended, is_held=self._work.is_held
        )
        if action is Action.END:
            self._end_silence("runner_ended")
            msg = "a runner that it needs has ended"
            raise RunnerEndedError(msg)
        if action is Action.MOVE and await self._move():
            self._end_silence("moved")
            return
        goes_on = self._event_s is not None and self._event_s > since_s
        if action is not Action.WAIT and not goes_on:
            self._begin_silence(verdict.finding)

    def _begin_silence(self, finding: Finding) -> None:
        """Count the run as silent: another one may begin beside it."""
        if self.is_silent:
            return
        self.silence = finding
        if self.path.first.id in self.suspects:
            self._routing.link_watch.suspect(self.path.first)
        events.log(
            events.RUN_SILENT,
            request_id=self._call.id,
            finding=finding.value,
            path=[stage.server.id for stage in self.path.stages],
            suspects=sorted(self.suspects),
            has_begun=self.has_begun,
        )
        self.on_silent()

    def _end_silence(self, outcome: str) -> None:
        """Note what has ended the run's silence, if it was silent."""
        if self.silence is not None:
            self._routing.on_silent_run(self.silence.value, outcome)
            self.silence = None

    def replaced(self) -> None:
        """Note that another run of the stream gives its events instead."""
        events.log(
            events.RUN_GIVEN_UP,
            request_id=self._call.id,
            path=[stage.server.id for stage in self.path.stages],
            finding=self.silence.value if self.silence else None,
            reason="another run goes on",
        )
        self._end_silence("replaced")

    def _silence(self, since_s: float) -> Silence:
        """Return what a check has to know of the run."""
        return Silence(
            path=self.path,
            had_event=self._event_s is not None,
            has_begun=self.has_begun,
            since_s=since_s,
            on_path_s=self._on_path_s,
            may_repeat=self._may_repeat,
            suspects=self.suspects,
        )

    async def _leave_slow(self) -> bool:
        """Go around slow runners, if that can be done; tell whether it is."""
        ids = self._check.slow_stages(self.path)
        if not ids or self.moves >= _MAX_MOVES:
            return False
        suspects = self.suspects
        self.suspects |= ids
        has_moved = await self._move()
        if not has_moved:
            self.suspects = suspects
        return has_moved

    async def _move(self) -> bool:
        """Move the run onto a path around the suspects; tell whether that is done."""
        for _ in range(_MAX_MOVES):
            path = self._routing.path(
                self._service,
                avoided=self.suspects,
                first=self.path.first,
                current_path=self.path,
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
            if order.is_accepted:
                self._move_to(path)
                self.moves += 1
                return True
            obstacle = path.server_at(order.address)
            if order.outcome is not OrderOutcome.CONFLICT or obstacle is None:
                return False
            # Others' streams would ask for the same path in the same moment.
            self._routing.record_fault(
                obstacle, ServerFault.ABSENT, self._call.id, "in the way of a move"
            )
            self.suspects |= {obstacle.id}
        return False

    def _move_to(self, path: Path) -> None:
        """Count the run on another path's runners."""
        had_begun = self._event_s is not None
        self._uncount()
        self._note_end()
        self.path = path
        self.has_begun = False
        self._given_s = None
        self._on_path_s = clocks.now_s()
        self.count_in()
        if had_begun:
            self._event_s = clocks.now_s()
            self._progress.stream_started(path.server_ids, now_s=self._event_s)


def _let_go(coming: asyncio.Future[Any]) -> None:
    """Let go of what is no longer waited for, also if it has failed meanwhile."""
    if coming.done():
        retrieve_error(coming)  # a run that is given up on is logged
    else:
        coming.cancel()


def _abandon(opening: asyncio.Future[Answer]) -> None:
    """Break a send off, also if its head came in the meantime."""
    if not opening.done():
        opening.cancel()
    elif not opening.cancelled() and opening.exception() is None:
        opening.result().close(is_whole=False)
