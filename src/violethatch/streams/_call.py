# SPDX-License-Identifier: MIT
"""One streamed call, kept going over lost and silent runs.

Where a run is lost, or is silent and can't be moved, a stream that may be resumed goes
on along another path after the last event that the caller has.  A silent run is kept
until another one gives an event.
"""

from __future__ import annotations

import asyncio
import functools

from collections.abc import Callable

from .. import clocks, events
from .._admission import StartRequest
from .._plain_answers import PlainAnswer
from .._routing import Routing
from .._stream_output import StreamOutput
from ..backends import BackendServer
from ..desired import Admitted, ServiceSpec
from ..errors import (
    DeadlineError,
    LinksLostError,
    NoRouteError,
    OverloadedError,
    PipelineFailedError,
    VioletHatchError,
)
from ..event_stream import SpoiltStreamError
from ..forwarding import ForwardedCall, MustForwardError
from ..paths import Path
from ..runner_health import ServerFault, is_server_failure
from ..store_era import UNREAD
from ..suspicion import WorkInHand
from ..upstream import (
    Answer,
    AnswerLostError,
    Call,
    KeptBackError,
    NotSentError,
    OnSend,
    Refusal,
    Responder,
    Send,
    ignore_sends,
)
from ._forwarded_run import ForwardedRun
from ._live_runs import LiveRun, LiveRuns, RunEnd, RunOutcome
from ._run import RunnerEndedError, StreamRun
from .silent_runs import Obstacle, RetryPauses, Sends, obstacle


_OK = 200
_MULTIPLE_CHOICES = 300
#: How long layers without a holder are thought to last, in seconds: a short load.
_NO_HOLDER_S = 1.0
#: How often and how long a stream that was sent once waits for a path, in seconds;
#: callers give a stream up after a gap of two.  Its answer could not say that it has
#: not run, so that a caller who comes back would be served no sooner.
_ROOM_PAUSES = 5
_ROOM_PAUSE_S = 0.2
#: How long a stream is not handed to other instances once they have not served it, in
#: seconds.
_FORWARD_PAUSE_S = 0.2


class StreamCall:
    """Serves one streamed call."""

    def __init__(
        self,
        routing: Routing,
        call: Call,
        admitted: Admitted,
        *,
        runs: int = 0,
        forward: Callable[[StreamCall], ForwardedCall] | None = None,
        on_send: OnSend = ignore_sends,
    ) -> None:
        self._on_send = on_send
        self._forward = forward or _forward_to_nobody
        self._routing = routing
        self._call = call
        self._admitted = admitted
        self._service = admitted.service
        self._route = admitted.route
        self._deadline_s = call.deadline_within_s(admitted.route.timeout_s)
        self._work = WorkInHand(routing, call, admitted.workspace_name)
        self.output = StreamOutput(call, admitted.route)
        self._tokens = _expected_tokens(call, admitted.service)
        self._request = StartRequest(
            call=call,
            priority=admitted.urgency,
            workspace=admitted.workspace_name,
            tokens=self._tokens,
            target_s=admitted.route.target_latency_s,
        )
        self._avoided: frozenset[str] = frozenset()
        self._live = LiveRuns()
        #: Whether its first send uses a start that was reserved for it.
        self._is_reserved = False
        self._refusals = 0
        self._kept_back = 0
        #: Sends that may have run, those of an instance that forwarded it included.
        self.runs = runs
        self.repaths = 0
        #: The path that it was sent along last.
        self.path: Path | None = None
        #: What the list of servers rested on then.
        self.list_state = UNREAD
        self._forward_again_s = 0.0
        #: The instance that has served the rest of it, if one has.
        self.served_by: str | None = None

    @property
    def sends(self) -> int:
        """Sends to runners, refused ones included."""
        return self.runs + self._refusals

    @property
    def moves(self) -> int:
        """Moves onto other paths."""
        return self.repaths

    def log_fields(self) -> dict[str, object]:
        """Return what the line of its end tells beside what all calls' lines do."""
        path = self.path
        return {
            "first": path.first.id if path else None,
            "stages": len(path.stages) if path else 0,
            "expected_path_ms": round(path.token_ms, 2) if path else None,
            "longest_gap_s": round(self.output.longest_gap_s, 4),
            "is_in_target": self.output.is_in_target,
            "urgency": self._request.priority,
            **({"served_by": self.served_by} if self.served_by else {}),
        }

    async def serve(self, responder: Responder) -> int:
        """Answer the caller; return the status.

        Raises:
            VioletHatchError: Nothing of an answer was given to the caller.
            MustForwardError: Another instance has to serve the call, or its rest.
        """
        await self._check_links()
        admission = self._routing.admission
        if not self._work.is_held and self._call.last_event_id is None:
            self._is_reserved = await admission.admit(self._service.name, self._request)
        self._routing.record_stream_start()
        admission.stream_started(self._service.name)
        try:
            return await self._serve_admitted(responder)
        finally:
            admission.stream_finished(self._service.name)
            if self.runs:
                admission.record_outcome(
                    self._service.name, is_in_target=self.output.is_in_target
                )

    async def _serve_admitted(self, responder: Responder) -> int:
        """Answer the caller of an admitted stream; return the status.

        Raises:
            VioletHatchError: Nothing of an answer was given to the caller.
            MustForwardError: Another instance has to serve the call, or its rest.
        """
        try:
            return await self._serve_runs(responder)
        finally:
            await self._live.close()

    async def _serve_runs(self, responder: Responder) -> int:
        """Begin runs until one answers the caller; return the status.

        A silent run goes on beside the next one.  Where there may be no next one, it is
        waited for.

        Raises:
            VioletHatchError: Nothing of an answer was given to the caller.
            MustForwardError: Another instance has to serve the call, or its rest.
        """
        pauses = RetryPauses()
        again_s = 0.0
        while True:
            pause_s = None
            if self._live and clocks.now_s() < again_s:
                pause_s = clocks.left_s(again_s)
            elif self._live.are_silent:
                found = await self._begin_run(responder)
                if found is not None and not self._live:
                    return self._cut(found, responder)
                if found is not None and found.may_pass:
                    pause_s = pauses.next_s()
            outcome = await self._live.next_outcome(within_s=pause_s)
            if outcome is None:
                continue
            if outcome.end in (RunEnd.WHOLE, RunEnd.PASSED_ON):
                return outcome.status
            if outcome.end is RunEnd.KEPT_BACK and outcome.run.is_again:
                self._routing.retries.return_retry(self._service.name)
            if self._live:
                again_s = clocks.now_s() + pauses.next_s()

    async def _begin_run(self, responder: Responder) -> Obstacle | None:
        """Begin a run, beside those that are silent; return what is in the way.

        Raises:
            MustForwardError: Another instance has to serve the call, or its rest.
        """
        found = self._obstacle()
        if found is not None:
            return found
        if await self._routing.must_forward(self._call, self._service.name):
            return self._begin_forwarding(responder)
        is_again = self.sends > 0 or bool(self._live)
        retries = self._routing.retries
        if is_again and retries.is_exhausted(self._service.name):
            return Obstacle.NO_RETRY  # without the search for a path
        self._avoided |= self._live.suspects
        path = await self._next_path()
        if path is not None and await self._work.wait_for_probe():
            path = await self._next_path()
        if path is None:
            return Obstacle.NO_PATH
        if is_again and not await retries.acquire_retry(self._service.name):
            return Obstacle.NO_RETRY
        found = Obstacle.HELD if self._work.is_held else None
        if self._live and not self._live.are_silent:
            found = Obstacle.GOES_ON
        if found is not None:
            # Nothing is sent; a retry that is not used would be missing to others.
            if is_again:
                retries.return_retry(self._service.name)
            return found
        run = self._make_run(path, is_again=is_again)
        self._live.begin(run, self._serve_run(run, responder))
        return None

    def _begin_forwarding(self, responder: Responder) -> Obstacle | None:
        """Begin a run through another instance; return what is in the way.

        Raises:
            MustForwardError: No run is kept here that it could go on beside.
        """
        if not self._live:
            raise MustForwardError
        if not self._live.are_silent:
            return Obstacle.GOES_ON
        if clocks.now_s() < self._forward_again_s:
            return Obstacle.NO_INSTANCE
        for silent in self._live:
            self._count(silent)
        run = ForwardedRun(self._forward(self))
        self._live.begin(run, self._serve_forwarded(run, responder))
        return None

    async def _serve_forwarded(
        self, run: ForwardedRun, responder: Responder
    ) -> RunOutcome:
        """Serve a run through another instance; return how it ended."""
        try:
            outcome = await run.serve(responder, self._live)
        except asyncio.CancelledError:
            self._count(run)
            raise
        run.is_counted = True
        self.runs += run.runs
        if outcome.end is RunEnd.WHOLE:
            self.served_by = run.call.served_by
        else:
            self._forward_again_s = clocks.now_s() + _FORWARD_PAUSE_S
        return outcome

    def _obstacle(self) -> Obstacle | None:
        """Return why the stream may not be sent again, or None if it may."""
        runs = self.runs + self._live.uncounted
        return obstacle(
            Sends(runs=runs, unrun=self._refusals + self._kept_back),
            max_attempts=self._route.max_attempts,
            is_repeatable=self._route.is_resumable,
            is_late=clocks.now_s() >= self._deadline_s,
            is_held=self._work.is_held,
        )

    def _cut(self, found: Obstacle, responder: Responder) -> int:
        """End a stream that can't be finished; return the status.

        Raises:
            VioletHatchError: Nothing of an answer was given to the caller.
        """
        if not self.output.is_started:
            raise self._failure()
        responder.abort()
        self._routing.on_stream_cut(found.value)
        events.log(
            events.STREAM_CUT,
            request_id=self._call.id,
            reason=found.value,
            last_event_id=self.output.progress.last_id,
            runs=self.runs,
        )
        return 0

    async def _check_links(self) -> None:
        """Check that the links to the service's servers are not lost.

        Raises:
            MustForwardError: Another instance has to serve the call.
        """
        if await self._routing.must_forward(self._call, self._service.name):
            raise MustForwardError

    async def _next_path(self) -> Path | None:
        """Return the path to send along, or None if there is none.

        A stream that has run waits a little: its caller waits longer for the next
        event than room takes to come back.  Beside a silent run nothing waits here.
        """
        suspected = self._work.suspected_trait
        if suspected is not None:
            apart = self._routing.isolated_path(
                self._service, avoided=self._avoided, trait=suspected
            )
            if apart is not None:
                return apart
        find = functools.partial(
            self._routing.path,
            self._service,
            avoided=self._avoided,
            include_possibly_full=not self.sends and not self._live,
            priority=self._admitted.priority,
        )
        if self._live:
            return find()
        if not self.runs:
            return await self._routing.admission.path(
                self._service.name,
                self._request,
                find,
                is_blocked=self._is_blocked,
                is_reserved=self._is_reserved,
            )
        path = find()
        pauses = _ROOM_PAUSES
        while path is None and pauses:
            pauses -= 1
            await asyncio.sleep(_ROOM_PAUSE_S)
            path = self._routing.path(
                self._service,
                avoided=self._avoided,
                include_possibly_full=not pauses,
                priority=self._admitted.priority,
            )
        return path

    def _is_blocked(self, wait_s: float) -> bool:
        """Tell whether there will be no path for some time, as far as is known."""
        blocked = self._routing.blocked_time(
            self._service, priority=self._admitted.priority
        )
        return blocked is None or blocked.remaining_s > wait_s

    def _make_run(self, path: Path, *, is_again: bool) -> StreamRun:
        """Return a run along a path, to be sent."""
        self.path = path
        self.list_state = self._routing.list_state()
        send = Send(
            call=self._call,
            server=path.first,
            path=path,
            deadline_s=self._deadline_s,
            priority=self._admitted.priority,
            workspace=self._admitted.workspace_name,
            last_event_id=self.output.progress.last_id,
            # The first run may have been lost with a connection that had rested.
            needs_new_connection=not self._route.is_resumable
            or self.runs > 0
            or bool(self._live),
        )
        runs = self.runs + self._live.uncounted + 1
        return StreamRun(
            self._routing,
            self._service,
            send,
            work=self._work,
            tokens=self._tokens,
            is_again=is_again,
            may_repeat=self._route.is_resumable and runs < self._route.max_attempts,
        )

    async def _serve_run(self, run: StreamRun, responder: Responder) -> RunOutcome:
        """Send a run, and pass its events on; return how it ended."""
        run.count_in()
        try:
            await self._on_send(self.runs + self._live.uncounted)
            return await self._serve_counted(run, responder)
        except asyncio.CancelledError:
            self._count(run)
            raise
        except RunnerEndedError:
            self._note_ended(run)
            return RunOutcome(run, RunEnd.LOST)
        except TimeoutError:
            self._count(run)
            return RunOutcome(run, RunEnd.LOST)
        finally:
            run.count_out()

    async def _serve_counted(self, run: StreamRun, responder: Responder) -> RunOutcome:
        """Send a run, and pass its events on; return how it ended.

        Raises:
            RunnerEndedError: A runner that it needs has ended.
            TimeoutError: The deadline is over.
        """
        first = run.path.first
        try:
            answer = await run.open()
        except KeptBackError:
            self._kept_back += 1
            return RunOutcome(run, RunEnd.KEPT_BACK)
        except NotSentError as error:
            self._refusals += 1
            self._leave_first(first, str(error))
            return RunOutcome(run, RunEnd.REFUSED)
        except AnswerLostError as error:
            # It was reached, and others' requests may well get their answers.
            self._count(run)
            trouble = await self._work.trouble_of(error, first, has_begun=run.has_begun)
            self._leave_first(first, str(error), trouble=trouble)
            return RunOutcome(run, RunEnd.LOST)
        if answer.load is not None:
            now_s = clocks.now_s()
            self._routing.loads.record_report(first.id, answer.load, now_s=now_s)
        try:
            return await self._take(answer, run, responder)
        finally:
            self.repaths += run.moves
            answer.close(is_whole=run.is_whole)

    async def _take(
        self, answer: Answer, run: StreamRun, responder: Responder
    ) -> RunOutcome:
        """Pass an answer on, whatever it is.

        Raises:
            RunnerEndedError: A runner that the run needs has ended.
            TimeoutError: The deadline is over.
        """
        if answer.refusal is not None:
            self._refusals += 1
            self._note_refusal(run, answer.refusal)
            run.is_whole = True
            return RunOutcome(run, RunEnd.REFUSED)
        self._count(run)
        if not _OK <= answer.status < _MULTIPLE_CHOICES:
            return await self._take_failure(answer, run, responder)
        try:
            await self.output.pass_on(
                run.parts(answer),
                answer,
                responder,
                on_event=functools.partial(self._note_event, run),
            )
        except (AnswerLostError, SpoiltStreamError) as error:
            trouble = await self._work.trouble_of(
                error, run.path.first, has_begun=run.has_begun
            )
            self._routing.record_fault(
                run.path.first, trouble, self._call.id, str(error)
            )
            return RunOutcome(run, RunEnd.LOST)
        run.is_whole = True
        self._live.keep_only(run)
        for server_id in run.path.server_ids:
            self._routing.health.record_success(server_id)
        self._work.answered()
        self._routing.loads.record_duration(clocks.now_s() - self._call.received_s)
        await responder.finish()
        return RunOutcome(run, RunEnd.WHOLE, _OK)

    def _note_event(self, run: StreamRun) -> None:
        """Note a run's event that the caller is to get: no other run goes on."""
        self._live.keep_only(run)
        run.note_given()

    async def _take_failure(
        self, answer: Answer, run: StreamRun, responder: Responder
    ) -> RunOutcome:
        """Pass a runner's own failure on, or have the call sent elsewhere."""
        lost = RunOutcome(run, RunEnd.LOST)
        events.log(
            events.ANSWER_FAILED,
            request_id=self._call.id,
            server_id=run.path.first.id,
            status=answer.status,
        )
        self._avoided |= {run.path.first.id}
        if is_server_failure(answer.status):
            self._routing.record_fault(
                run.path.first,
                ServerFault.FAILED,
                self._call.id,
                f"answered {answer.status}",
            )
        is_last = not self._route.is_resumable or self.runs >= self._route.max_attempts
        if self.output.is_started or len(self._live) > 1 or not is_last:
            return lost
        plain = PlainAnswer(
            answer,
            memory=self._routing.memory,
            max_bytes=self._routing.settings.limits.max_answer_bytes,
        )
        try:
            async with asyncio.timeout(clocks.left_s(self._deadline_s)):
                await plain.buffer()
            status = await plain.send(
                responder, request_id=self._call.id, deadline_s=self._deadline_s
            )
        except (AnswerLostError, TimeoutError):
            return lost
        finally:
            plain.close()
        run.is_whole = bool(status)
        return RunOutcome(run, RunEnd.PASSED_ON, answer.status)

    def _count(self, run: LiveRun) -> None:
        """Count a run that may have run, once."""
        if not run.is_counted:
            run.is_counted = True
            self.runs += 1

    def _leave_first(
        self,
        server: BackendServer,
        reason: str,
        *,
        trouble: ServerFault = ServerFault.SILENT,
    ) -> None:
        """Leave a first runner alone that gave no answer."""
        self._avoided |= {server.id}
        self._routing.record_fault(server, trouble, self._call.id, reason)

    def _note_ended(self, run: StreamRun) -> None:
        """Log that a run can't go on, and avoid the runners at fault."""
        self._count(run)
        self._avoided |= run.suspects
        self._routing.link_watch.suspect(run.path.first)
        events.log(
            events.RUN_GIVEN_UP,
            request_id=self._call.id,
            path=[stage.server.id for stage in run.path.stages],
            reason="a runner has ended",
            suspects=sorted(run.suspects),
            last_event_id=self.output.progress.last_id,
        )

    def _note_refusal(self, run: StreamRun, refusal: Refusal) -> None:
        """Leave the runner alone that a refusal names, or the first one."""
        first = run.path.first
        culprit = run.path.server_at(refusal.address) or first
        self._routing.record_refusal(
            culprit.id,
            refusal,
            self._call.id,
            is_reported_by_peer=culprit.id != first.id,
        )

    def _failure(self) -> VioletHatchError:
        """Return the error that says what is known."""
        if self.runs:
            if clocks.now_s() >= self._deadline_s:
                return DeadlineError("no answer before the deadline")
            return PipelineFailedError("the runners' answer was lost")
        held = self._work.held_back()
        if held is not None:
            return held
        self._routing.flow_control.log_blocked_servers(
            self._call.id, self._service.name
        )
        blocked = self._routing.blocked_time(
            self._service, priority=self._admitted.priority
        )
        blocked_s = _NO_HOLDER_S if blocked is None else blocked.remaining_s
        retry_after_s = self._routing.admission.retry_after_s(
            self._service.name, self._request, blocked_s=blocked_s
        )
        if retry_after_s is None:
            asked_s = 0.0 if blocked is None else blocked.requested_s
            retry_after_s = self._routing.retry_after_s(
                blocked_s, requested_backoff_s=asked_s
            )
        if self._routing.link_watch.is_lost(self._service.name):
            return LinksLostError(retry_after_s=retry_after_s)
        if blocked is None:
            return NoRouteError(
                "some layers have no holder", retry_after_s=retry_after_s
            )
        return OverloadedError("no path has room", retry_after_s=retry_after_s)


def _forward_to_nobody(_stream: StreamCall) -> ForwardedCall:
    """Stand in for other instances where there are none."""
    raise MustForwardError


def _expected_tokens(call: Call, service: ServiceSpec) -> float:
    """Return the tokens whose KV cache a call is expected to need on average."""
    assert service.engine is not None
    if call.prompt_tokens is None:
        return service.engine.usual_tokens
    return call.prompt_tokens + service.engine.usual_answer_tokens / 2
