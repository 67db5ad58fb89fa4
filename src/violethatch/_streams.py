# SPDX-License-Identifier: MIT
"""Streams of model runners: kept going over stalls and lost runners.

A silent stream is looked into: the first runner of its path tells which
runner the request waits for, and the request is moved onto a path around it.
Where the first runner itself is gone, a stream that may be resumed goes on
at another path after the last event that the caller has.
"""

from __future__ import annotations

import asyncio
import enum
import time

from collections.abc import AsyncIterator
from typing import Any

from . import events
from ._routing import Routing
from .backends import BackendServer
from .desired import Admitted, ServiceSpec
from .errors import (
    DeadlineError,
    NoRouteError,
    OverloadedError,
    PipelineFailedError,
    VioletHatchError,
)
from .event_stream import EventSplitter, SpoiltStreamError, StreamProgress
from .paths import Path
from .runner_health import Trouble
from .upstream import (
    Answer,
    AnswerLostError,
    Call,
    NotSentError,
    OrderOutcome,
    Responder,
    Send,
)


_OK = 200
_MULTIPLE_CHOICES = 300
#: When a caller should come back if no path has room, in seconds: some
#: requests' time at today's sites.
_FULL_RETRY_S = 0.5
#: The same while some layers have no holder: a short load, in seconds.
_NO_PATH_RETRY_S = 1.0
#: The most sends of one call that were refused or not connected.
_MOST_REFUSALS = 4
#: How often and how long a stream that has begun waits for a path, in seconds;
#: callers give a stream up after a gap of two.
_ROOM_PAUSES = 5
_ROOM_PAUSE_S = 0.2
#: Orders onto another path that are tried in one silence.
_MOST_REPATHS = 2


class _End(enum.Enum):
    """How one run of a stream ended."""

    WHOLE = "whole"
    #: Nothing has run.
    REFUSED = "refused"
    #: It broke off, or was given up on.
    LOST = "lost"
    #: The runner's own failure was passed on.
    PASSED_ON = "passed_on"


class StreamCall:
    """Serves one streamed call."""

    def __init__(self, routing: Routing, call: Call, admitted: Admitted) -> None:
        self._routing = routing
        self._call = call
        self._admitted = admitted
        self._service = admitted.service
        self._route = admitted.route
        self._policy = routing.settings.policy
        self._deadline_s = min(
            call.deadline_s, call.received_s + admitted.route.timeout_s
        )
        self._progress = StreamProgress(last_id=call.last_event_id)
        self._tokens = _expected_tokens(call, admitted.service)
        self._avoided: frozenset[str] = frozenset()
        self._is_started = False
        self._is_framed = True
        self._refusals = 0
        self.runs = 0
        self.repaths = 0
        self.first_event_s: float | None = None

    @property
    def sends(self) -> int:
        """Sends to runners, refused ones included."""
        return self.runs + self._refusals

    async def serve(self, responder: Responder) -> int:
        """Answer the caller; return the status.

        Raises:
            VioletHatchError: Nothing of an answer was given to the caller.
        """
        while True:
            if self.sends and not self._may_send_again():
                break
            path = await self._next_path()
            if path is None:
                break
            end, status = await self._run(path, responder)
            if end is _End.WHOLE:
                await responder.finish()
                return _OK
            if end is _End.PASSED_ON:
                return status
        if not self._is_started:
            raise self._failure()
        responder.abort()
        events.log(
            events.STREAM_CUT,
            request_id=self._call.id,
            last_event_id=self._progress.last_id,
            runs=self.runs,
        )
        return 0

    async def _next_path(self) -> Path | None:
        """Return the path to send along, or None if there is none.

        A stream that has begun waits a little: its caller waits longer for the
        next event than room takes to come back.
        """
        path = self._routing.path(self._service, avoided=self._avoided)
        pauses = _ROOM_PAUSES if self._is_started else 0
        while path is None and pauses:
            pauses -= 1
            await asyncio.sleep(_ROOM_PAUSE_S)
            path = self._routing.path(self._service, avoided=self._avoided)
        return path

    def _may_send_again(self) -> bool:
        """Tell whether another send is allowed and paid for."""
        if self._refusals >= _MOST_REFUSALS or time.monotonic() >= self._deadline_s:
            return False
        if self.runs and not self._route.is_resumable:
            return False
        if self.runs >= self._route.max_attempts:
            return False
        return self._routing.may_retry(self._service.name)

    async def _run(self, path: Path, responder: Responder) -> tuple[_End, int]:
        """Send the call along a path and pass its events on."""
        send = Send(
            call=self._call,
            server=path.first,
            path=path,
            deadline_s=self._deadline_s,
            priority=self._admitted.priority,
            workspace=self._routing.workspace_name(self._admitted),
            last_event_id=self._progress.last_id,
            is_connection_fresh=not self._route.is_resumable,
        )
        run = _Run(self._routing, self._service, send, path, tokens=self._tokens)
        run.count_in()
        try:
            return await self._run_counted(run, responder)
        finally:
            run.count_out()

    async def _run_counted(self, run: _Run, responder: Responder) -> tuple[_End, int]:
        """Send the call and pass its events on."""
        path = run.path
        try:
            answer = await run.open()
        except NotSentError as error:
            self._refusals += 1
            self._leave_first(path.first, str(error))
            return _End.REFUSED, 0
        except (AnswerLostError, TimeoutError) as error:
            self.runs += 1
            self._leave_first(path.first, str(error) or "no answer in time")
            return _End.LOST, 0
        if answer.load is not None:
            now_s = time.monotonic()
            self._routing.loads.told(path.first.id, answer.load, now_s=now_s)
        try:
            return await self._take(answer, run, responder)
        finally:
            self.repaths += run.repaths
            answer.close(is_whole=run.is_whole)

    async def _take(
        self, answer: Answer, run: _Run, responder: Responder
    ) -> tuple[_End, int]:
        """Pass an answer on, whatever it is."""
        if answer.refusal is not None:
            self._refusals += 1
            run.note_refusal(answer)
            run.is_whole = True
            return _End.REFUSED, 0
        self.runs += 1
        if not _OK <= answer.status < _MULTIPLE_CHOICES:
            return await self._take_failure(answer, run, responder)
        try:
            await self._pass_on(answer, run, responder)
        except (AnswerLostError, SpoiltStreamError) as error:
            self._routing.note_trouble(
                run.path.first, Trouble.FAILED, self._call.id, str(error)
            )
            return _End.LOST, 0
        except TimeoutError:
            self._note_given_up(run)
            return _End.LOST, 0
        run.is_whole = True
        for server_id in run.path.server_ids:
            self._routing.health.worked(server_id)
        return _End.WHOLE, _OK

    async def _take_failure(
        self, answer: Answer, run: _Run, responder: Responder
    ) -> tuple[_End, int]:
        """Pass a runner's own failure on, or have the call sent elsewhere."""
        events.log(
            events.ANSWER_FAILED,
            request_id=self._call.id,
            server_id=run.path.first.id,
            status=answer.status,
        )
        is_last = not self._route.is_resumable or self.runs >= self._route.max_attempts
        if self._is_started or not is_last:
            self._avoided |= {run.path.first.id}
            return _End.LOST, 0
        try:
            async with asyncio.timeout_at(self._deadline_s):
                body = b"".join([part async for part in answer.parts()])
        except (AnswerLostError, TimeoutError):
            return _End.LOST, 0
        run.is_whole = True
        await responder.answer(
            answer.status, answer.headers, body, is_framed=answer.is_framed
        )
        return _End.PASSED_ON, answer.status

    async def _pass_on(self, answer: Answer, run: _Run, responder: Responder) -> None:
        """Give whole events to the caller as they come.

        Raises:
            AnswerLostError: The stream broke off.
            SpoiltStreamError: Its bytes are not the next events.
            TimeoutError: It was silent for too long.
        """
        splitter = EventSplitter()
        async for part in run.parts(answer):
            wanted: list[bytes] = []
            try:
                for event in splitter.feed(part):
                    if self._progress.take(event):
                        wanted.append(event.data)  # noqa: PERF401 (kept on errors)
            finally:
                # What was counted as taken has to reach the caller, also when
                # a later event of the same bytes spoils the stream.
                if wanted:
                    await self._give(b"".join(wanted), answer, responder)
        if splitter.has_rest:
            msg = "the stream ended within an event"
            raise SpoiltStreamError(msg)
        if not self._is_started:
            await self._start(answer, responder)
        if self._is_framed and not answer.is_framed:
            msg = "the stream's end can't be told from a cut"
            raise AnswerLostError(msg)

    async def _give(self, data: bytes, answer: Answer, responder: Responder) -> None:
        """Give events to the caller, after the head."""
        if not self._is_started:
            self.first_event_s = time.monotonic() - self._call.received_s
            await self._start(answer, responder)
        await responder.write(data)

    async def _start(self, answer: Answer, responder: Responder) -> None:
        """Begin the answer as its first run has begun."""
        self._is_started = True
        self._is_framed = answer.is_framed
        await responder.start(answer.status, answer.headers, is_framed=answer.is_framed)

    def _leave_first(self, server: BackendServer, reason: str) -> None:
        """Leave a first runner alone that gave no answer."""
        self._avoided |= {server.id}
        self._routing.note_trouble(server, Trouble.SILENT, self._call.id, reason)

    def _note_given_up(self, run: _Run) -> None:
        """Log that a silent run was given up on."""
        self._avoided |= run.suspects
        events.log(
            events.RUN_GIVEN_UP,
            request_id=self._call.id,
            path=[stage.server.id for stage in run.path.stages],
            suspects=sorted(run.suspects),
            last_event_id=self._progress.last_id,
        )

    def _failure(self) -> VioletHatchError:
        """Return the error that says what is known."""
        if self.runs:
            if time.monotonic() >= self._deadline_s:
                return DeadlineError("no answer before the deadline")
            return PipelineFailedError("the runners' answer was lost")
        if self._refusals:
            return OverloadedError("no path has room", retry_after_s=_FULL_RETRY_S)
        return NoRouteError(
            "some layers have no holder", retry_after_s=_NO_PATH_RETRY_S
        )


class _Run:
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
        now_s = time.monotonic()
        self._routing.loads.started(self.path, self._tokens, now_s=now_s)

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
            return opening.result()
        finally:
            if not opening.done():
                opening.cancel()

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
        trouble = Trouble.NAMED if answer.refusal.is_misdirected else Trouble.FULL
        self._routing.note_refusal(culprit.id, trouble, self._call.id)

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
        events.log(
            events.SILENCE_SEEN,
            request_id=self._call.id,
            first=first.id,
            waits_for=culprit.id if culprit else None,
            path=[stage.server.id for stage in self.path.stages],
            waiting=report.waiting,
            running=report.running,
            kv_used_part=round(report.kv_used_part, 3),
            slowness=report.slowness,
        )
        if culprit is None:
            return
        self._routing.note_trouble(
            culprit, Trouble.NAMED, self._call.id, "a request waits for it"
        )
        self.suspects |= {culprit.id}
        if not await self._repath():
            raise TimeoutError

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
            if order.outcome in (OrderOutcome.DONE, OrderOutcome.BEGUN):
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


def _expected_tokens(call: Call, service: ServiceSpec) -> float:
    """Return the tokens whose KV cache a call is expected to need on average."""
    assert service.engine is not None
    if call.prompt_tokens is None:
        return service.engine.usual_tokens
    return call.prompt_tokens + service.engine.usual_answer_tokens / 2


def _stage_of(path: Path, address: str | None) -> BackendServer | None:
    """Return a path's runner at an address."""
    for stage in path.stages:
        if stage.server.address == address:
            return stage.server
    return None
