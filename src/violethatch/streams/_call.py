# SPDX-License-Identifier: MIT
"""Streams of model runners: kept going over lost runs.

A run that stalls is mended by itself (`_stream_run`).  Where it is lost, a
stream that may be resumed goes on along another path after the last event
that the caller has.
"""

from __future__ import annotations

import asyncio
import enum
import functools

from .. import clocks, events
from .._admission import StartRequest
from .._routing import Routing
from .._stream_output import StreamOutput
from .._work_in_hand import WorkInHand
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
from ..forwarding import MustForwardError
from ..paths import Path
from ..runner_health import Trouble, tells_of_server
from ..store_era import UNREAD
from ..upstream import (
    Answer,
    AnswerLostError,
    Call,
    KeptBackError,
    NotSentError,
    Responder,
    Send,
)
from ._run import StreamRun


_OK = 200
_MULTIPLE_CHOICES = 300
#: How long layers without a holder are thought to last, in seconds: a short load.
_NO_HOLDER_S = 1.0
#: The most sends of one call that were refused, kept back or not connected.
_MOST_REFUSALS = 4
#: How often and how long a stream that was sent once waits for a path, in seconds;
#: callers give a stream up after a gap of two.  Its answer could not say that it has
#: not run, so that a caller who comes back would be served no sooner.
_ROOM_PAUSES = 5
_ROOM_PAUSE_S = 0.2


class _End(enum.Enum):
    """How one run of a stream ended."""

    WHOLE = "whole"
    #: Nothing has run.
    REFUSED = "refused"
    #: Nothing was sent: the first runner has come to want nothing meanwhile.
    KEPT_BACK = "kept_back"
    #: It broke off, or was given up on.
    LOST = "lost"
    #: The runner's own failure was passed on.
    PASSED_ON = "passed_on"


class StreamCall:
    """Serves one streamed call."""

    def __init__(
        self, routing: Routing, call: Call, admitted: Admitted, *, runs: int = 0
    ) -> None:
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
        self._routing.stream_began()
        admission.began(self._service.name)
        try:
            return await self._serve_admitted(responder)
        finally:
            admission.over(self._service.name)
            if self.runs:
                admission.ended(
                    self._service.name, is_in_target=self.output.is_in_target
                )

    async def _serve_admitted(self, responder: Responder) -> int:
        """Answer the caller of an admitted stream; return the status.

        Raises:
            VioletHatchError: Nothing of an answer was given to the caller.
        """
        # A request that ended three servers was sent to six and seven more: each send
        # was judged for itself.
        while not self._work.is_held:
            if (self.sends or self._kept_back) and not self._may_send_again():
                break
            await self._check_links()
            path = await self._next_path()
            if path is None:
                break
            is_again = self.sends > 0
            if is_again and not await self._routing.retries.may_retry(
                self._service.name
            ):
                break
            if self._work.is_held:
                break  # other tries of it have ended servers while this one waited
            end, status = await self._run(path, responder)
            if end is _End.WHOLE:
                self._work.answered()
                lasted_s = clocks.now_s() - self._call.received_s
                self._routing.loads.lasted(lasted_s)
                await responder.finish()
                return _OK
            if end is _End.PASSED_ON:
                return status
            if end is _End.KEPT_BACK and is_again:
                self._routing.retries.return_retry(self._service.name)
        if not self.output.is_started:
            raise self._failure()
        responder.abort()
        events.log(
            events.STREAM_CUT,
            request_id=self._call.id,
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
        event than room takes to come back.
        """
        if self._work.is_suspect:
            apart = self._routing.path_apart(
                self._service, avoided=self._avoided, work=self._work.id
            )
            if apart is not None:
                return apart
        find = functools.partial(
            self._routing.path,
            self._service,
            avoided=self._avoided,
            may_doubt=not self.sends,
            priority=self._admitted.priority,
        )
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
                may_doubt=not pauses,
                priority=self._admitted.priority,
            )
        return path

    def _is_blocked(self, wait_s: float) -> bool:
        """Tell whether there will be no path for some time, as far as is known."""
        blocked = self._routing.blocked(self._service, priority=self._admitted.priority)
        return blocked is None or blocked.left_s > wait_s

    def _may_send_again(self) -> bool:
        """Tell whether another send is allowed."""
        unrun = self._refusals + self._kept_back
        if unrun >= _MOST_REFUSALS or clocks.now_s() >= self._deadline_s:
            return False
        if self.runs and not self._route.is_resumable:
            return False
        return self.runs < self._route.max_attempts

    async def _run(self, path: Path, responder: Responder) -> tuple[_End, int]:
        """Send the call along a path and pass its events on."""
        self.path = path
        self.list_state = self._routing.list_state()
        self.output.progress.run_again()
        send = Send(
            call=self._call,
            server=path.first,
            path=path,
            deadline_s=self._deadline_s,
            priority=self._admitted.priority,
            workspace=self._admitted.workspace_name,
            last_event_id=self.output.progress.last_id,
            # The first run may have been lost with a connection that had rested.
            is_connection_fresh=not self._route.is_resumable or self.runs > 0,
        )
        run = StreamRun(
            self._routing,
            self._service,
            send,
            path,
            work=self._work,
            tokens=self._tokens,
            may_be_repeated=self._route.is_resumable
            and self.runs + 1 < self._route.max_attempts,
        )
        run.count_in()
        try:
            return await self._run_counted(run, responder)
        finally:
            run.count_out()

    async def _run_counted(
        self, run: StreamRun, responder: Responder
    ) -> tuple[_End, int]:
        """Send the call and pass its events on."""
        path = run.path
        try:
            answer = await run.open()
        except KeptBackError:
            self._kept_back += 1
            return _End.KEPT_BACK, 0
        except NotSentError as error:
            self._refusals += 1
            self._leave_first(path.first, str(error))
            return _End.REFUSED, 0
        except AnswerLostError as error:
            # It was reached, and others' requests may well get their answers.
            self.runs += 1
            trouble = await self._work.trouble_of(
                error, run.path.first, has_begun=run.has_begun
            )
            self._leave_first(path.first, str(error), trouble=trouble)
            return _End.LOST, 0
        except TimeoutError:
            self.runs += 1
            self._note_given_up(run)
            return _End.LOST, 0
        if answer.load is not None:
            now_s = clocks.now_s()
            self._routing.loads.record_report(path.first.id, answer.load, now_s=now_s)
        try:
            return await self._take(answer, run, responder)
        finally:
            self.repaths += run.repaths
            answer.close(is_whole=run.is_whole)

    async def _take(
        self, answer: Answer, run: StreamRun, responder: Responder
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
            await self.output.pass_on(run.parts(answer), answer, responder)
        except (AnswerLostError, SpoiltStreamError) as error:
            trouble = await self._work.trouble_of(
                error, run.path.first, has_begun=run.has_begun
            )
            self._routing.note_trouble(
                run.path.first, trouble, self._call.id, str(error)
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
        self, answer: Answer, run: StreamRun, responder: Responder
    ) -> tuple[_End, int]:
        """Pass a runner's own failure on, or have the call sent elsewhere."""
        events.log(
            events.ANSWER_FAILED,
            request_id=self._call.id,
            server_id=run.path.first.id,
            status=answer.status,
        )
        self._avoided |= {run.path.first.id}
        if tells_of_server(answer.status):
            self._routing.note_trouble(
                run.path.first,
                Trouble.FAILED,
                self._call.id,
                f"answered {answer.status}",
            )
        is_last = not self._route.is_resumable or self.runs >= self._route.max_attempts
        if self.output.is_started or not is_last:
            return _End.LOST, 0
        try:
            async with asyncio.timeout(clocks.left_s(self._deadline_s)):
                body = b"".join([part async for part in answer.parts()])
        except (AnswerLostError, TimeoutError):
            return _End.LOST, 0
        run.is_whole = True
        await responder.answer(
            answer.status, answer.headers, body, is_framed=answer.is_framed
        )
        return _End.PASSED_ON, answer.status

    def _leave_first(
        self, server: BackendServer, reason: str, *, trouble: Trouble = Trouble.SILENT
    ) -> None:
        """Leave a first runner alone that gave no answer."""
        self._avoided |= {server.id}
        self._routing.note_trouble(server, trouble, self._call.id, reason)

    def _note_given_up(self, run: StreamRun) -> None:
        """Log that a silent run was given up on, and doubt its first runner's link."""
        if run.path.first.id in run.suspects:
            self._routing.link_watch.suspect(run.path.first)
        self._avoided |= run.suspects
        events.log(
            events.RUN_GIVEN_UP,
            request_id=self._call.id,
            path=[stage.server.id for stage in run.path.stages],
            suspects=sorted(run.suspects),
            last_event_id=self.output.progress.last_id,
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
        self._routing.gate.explain(self._call.id, self._service.name)
        blocked = self._routing.blocked(self._service, priority=self._admitted.priority)
        blocked_s = _NO_HOLDER_S if blocked is None else blocked.left_s
        retry_after_s = self._routing.admission.retry_after_s(
            self._service.name, self._request, blocked_s=blocked_s
        )
        if retry_after_s is None:
            asked_s = 0.0 if blocked is None else blocked.asked_s
            retry_after_s = self._routing.come_back_s(blocked_s, asked_s=asked_s)
        if self._routing.link_watch.is_lost(self._service.name):
            return LinksLostError(retry_after_s=retry_after_s)
        if blocked is None:
            return NoRouteError(
                "some layers have no holder", retry_after_s=retry_after_s
            )
        return OverloadedError("no path has room", retry_after_s=retry_after_s)


def _expected_tokens(call: Call, service: ServiceSpec) -> float:
    """Return the tokens whose KV cache a call is expected to need on average."""
    assert service.engine is not None
    if call.prompt_tokens is None:
        return service.engine.usual_tokens
    return call.prompt_tokens + service.engine.usual_answer_tokens / 2
