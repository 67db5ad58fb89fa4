# SPDX-License-Identifier: MIT
"""Calls to plain services: buffered responses, with retries and hedging."""

from __future__ import annotations

import asyncio
import functools

from typing import NamedTuple

from . import clocks, deadlines, events, running_time
from ._plain_answers import PlainAnswer
from ._routing import Routing
from ._stream_output import StreamOutput
from .backends import BackendServer
from .desired import Admitted, CallKind
from .errors import (
    DeadlineError,
    LinksLostError,
    OverloadedError,
    ServiceLostError,
    ServiceUnreachableError,
    VioletHatchError,
)
from .forwarding import MustForwardError
from .runner_health import ServerFault
from .store_era import UNREAD
from .suspicion import WorkInHand
from .upstream import (
    Answer,
    AnswerLostError,
    Call,
    KeptBackError,
    NotSentError,
    OnSend,
    Responder,
    Send,
    ServerLoad,
    ignore_sends,
)


#: Retry-After where all servers are at capacity, in seconds.
_AT_CAPACITY_RETRY_S = 0.3
#: Retry-After where no server is known or reachable, in seconds.
_UNREACHABLE_RETRY_S = 0.5
#: Max sends of one call, including refused ones and failed connections.
_MAX_SENDS = 4
#: The remaining time of a call is divided by this for the delay after which a send
#: without a response is hedged by another.
_HEDGE_DIVISOR = 3
#: A server that has not responded within this multiple of the route's target latency
#: is put into cooldown, also while the call still waits for it.
_COOLDOWN_TARGETS = 2.0
_MULTIPLE_CHOICES = 300
_MIN_SERVER_ERROR_STATUS = 500
#: Statuses from which callers conclude that the call was not executed.
_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class _Attempt:
    """One send in flight.

    Args:
        server: The target server.
        is_retry: Whether it consumed a retry from the budget.

    Attributes:
        task: Returns the result.
        timer: Measures the time without a response.
        sent_s: When it started, in monotonic seconds.
        is_target_exceeded: Whether the route's target latency has passed, without
            the stalls of this instance's event loop.
    """

    task: asyncio.Task[_AttemptResult]
    timer: running_time.Ticker

    def __init__(self, server: BackendServer, *, is_retry: bool) -> None:
        self.server = server
        self.is_retry = is_retry
        self.sent_s = clocks.now_s()
        self.is_target_exceeded = False


class _AttemptResult(NamedTuple):
    """The result of a send.

    Attributes:
        may_have_run: Whether its server may have run the call.
        response: The server's response, if there was one.
        is_rejected: Whether flow control rejected the send before it started.
    """

    may_have_run: bool
    response: PlainAnswer | None = None
    is_rejected: bool = False


class PlainCall:
    """Serves one call of a plain service.

    A non-repeatable call is retried only if the server reports that it has not run
    or if no connection was established.  A repeatable call is hedged if its server
    does not respond; the first response is used.
    """

    def __init__(
        self,
        routing: Routing,
        call: Call,
        admitted: Admitted,
        *,
        runs: int = 0,
        on_send: OnSend = ignore_sends,
    ) -> None:
        self._on_send = on_send
        self._routing = routing
        self._call = call
        self._admitted = admitted
        self._route = admitted.route
        self._deadline_s = call.deadline_within_s(admitted.route.timeout_s)
        self._work = WorkInHand(routing, call, admitted.workspace_name)
        self._tried: set[str] = set()
        self._refused_by: set[str] = set()
        self._rejected_count = 0
        self._attempts: list[_Attempt] = []
        #: All responses, to be closed at the end.
        self._responses: list[PlainAnswer] = []
        #: The last response with a server error.
        self._error_response: PlainAnswer | None = None
        self.output = StreamOutput(call, admitted.route)
        #: Completed sends that may have run, including those of an instance that
        #: forwarded the call.
        self.runs = runs
        self.sends = runs
        #: The server that responded or received the latest send, and the state of the
        #: server list at that time.
        self.server_id: str | None = None
        self.list_state = UNREAD

    @property
    def moves(self) -> int:
        """Migrations between servers; plain calls are never migrated."""
        return 0

    def log_fields(self) -> dict[str, object]:
        """Return the additional fields of the log line at the end of the call."""
        return {"server_id": self.server_id}

    async def serve(self, responder: Responder) -> int:
        """Respond to the caller; return the status.

        Raises:
            VioletHatchError: No backend server sent a response to forward.
            MustForwardError: Another instance has to serve the call.
        """
        try:
            response = await self._find_response() or self._error_response
            if response is None:
                raise self._make_error()
            return await self._send_response(response, responder)
        finally:
            for response in self._responses:
                response.close()

    async def _find_response(self) -> PlainAnswer | None:
        """Return a response to forward, or None if there is none before the deadline.

        Raises:
            VioletHatchError: The call has run, and its response can't be forwarded.
            MustForwardError: Another instance has to serve the call.
        """
        try:
            async with deadlines.until(self._deadline_s):
                return await self._wait_for_response()
        except TimeoutError:
            response = self._process_completed()
            for attempt in self._attempts:
                self._record_late_server(attempt)
            return response
        finally:
            self._cancel_attempts()

    async def _send_response(self, response: PlainAnswer, responder: Responder) -> int:
        """Send a response to the caller; return its status, or 0 if it was aborted."""
        status = await response.send(
            responder, request_id=self._call.id, deadline_s=self._deadline_s
        )
        server = self._routing.backends.get(self.server_id or "")
        if response.error is not None and server is not None:
            self._routing.record_fault(
                server, ServerFault.FAILED, self._call.id, str(response.error)
            )
        return status

    async def _wait_for_response(self) -> PlainAnswer | None:
        """Return a response to forward, or None if no further one is possible.

        Raises:
            VioletHatchError: The call has run, and its response can't be forwarded.
            MustForwardError: Another instance has to serve the call.
        """
        while True:
            latest = await self._start_attempt()
            if not self._attempts:
                return None
            await self._wait_for_attempt(latest)
            response = self._process_completed()
            if response is not None:
                return response

    async def _start_attempt(self) -> _Attempt | None:
        """Send the call; return None if that is not allowed or not needed.

        Raises:
            MustForwardError: Another instance has to serve the call.
        """
        service = self._admitted.service.name
        if self.sends + self._rejected_count >= _MAX_SENDS:
            return None
        if self.sends and not self._can_send_again():
            return None
        if self._work.is_held:
            return None  # each send of a request that crashes servers costs another
        if await self._routing.must_forward(self._call, service):
            if self._attempts and not self._should_forward():
                return None
            raise MustForwardError
        server = self._choose_server(clocks.now_s())
        if server is None:
            return None
        is_retry = self.sends > 0
        if is_retry and not await self._routing.retries.acquire_retry(service):
            return None
        if self._has_completed_attempt():
            if is_retry:
                self._routing.retries.return_retry(service)
            return None
        attempt = _Attempt(server, is_retry=is_retry)
        self._record_start(attempt)
        attempt.task = asyncio.create_task(self._send_once(attempt))
        return attempt

    def _should_forward(self) -> bool:
        """Return whether to abandon the sends in flight for another instance."""
        forwarding = self._routing.forwarding
        has_peer = forwarding and forwarding.has_peer(self._admitted.service.name)
        return bool(has_peer) and not self._has_completed_attempt()

    def _record_start(self, attempt: _Attempt) -> None:
        """Record the start of a send."""
        self.server_id = attempt.server.id
        self.list_state = self._routing.list_state()
        self._tried.add(attempt.server.id)
        self.sends += 1
        self._attempts.append(attempt)

    async def _wait_for_attempt(self, latest: _Attempt | None) -> None:
        """Wait until a send completes or the latest one has to be hedged."""
        tasks = [attempt.task for attempt in self._attempts]
        if latest is None or not self._can_send_again():
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            return
        limit_s = self._hedge_delay_s(clocks.now_s())
        if not await running_time.wait(tasks, limit_s=limit_s):
            self._record_late_server(latest)

    def _has_completed_attempt(self) -> bool:
        """Return whether a send in flight has completed."""
        return any(attempt.task.done() for attempt in self._attempts)

    def _process_completed(self) -> PlainAnswer | None:
        """Process the completed sends; return a response to forward.

        Raises:
            VioletHatchError: The call has run, and its response can't be forwarded.
        """
        response: PlainAnswer | None = None
        for attempt in [item for item in self._attempts if item.task.done()]:
            self._attempts.remove(attempt)
            response = self._process_result(attempt, attempt.task.result()) or response
        return response

    def _process_result(
        self, attempt: _Attempt, result: _AttemptResult
    ) -> PlainAnswer | None:
        """Process the result of a send; return a response to forward.

        Raises:
            VioletHatchError: The call has run, and its response can't be forwarded.
        """
        if result.is_rejected:
            self._rejected_count += 1
            self._tried.discard(attempt.server.id)
            self.sends -= 1
            if attempt.is_retry:
                self._routing.retries.return_retry(self._admitted.service.name)
            return None
        self.runs += result.may_have_run
        response = result.response
        if response is None:
            return None
        self.server_id = attempt.server.id
        if not self._route.is_repeatable:
            if response.status in _NOT_EXECUTED_STATUSES:
                # The call has run, which these statuses would deny.
                msg = f"the backend server answered {response.status}; it may have run"
                raise ServiceLostError(msg)
            return response
        if response.status < _MIN_SERVER_ERROR_STATUS:
            return response
        self._error_response = response
        return None

    def _cancel_attempts(self) -> None:
        """Cancel the sends in flight."""
        for attempt in self._attempts:
            attempt.task.cancel()
            # The task keeps its cancellation, whose traceback holds the attempt.
            del attempt.task
            self.runs += 1
        self._attempts.clear()

    @property
    def _started_runs(self) -> int:
        """Sends that may have run, including those in flight."""
        return self.runs + len(self._attempts)

    def _can_send_again(self) -> bool:
        """Return whether another send is allowed."""
        runs = self._started_runs
        if runs and not self._route.is_repeatable:
            return False
        if runs >= self._route.max_attempts:
            return False
        return not deadlines.is_over(self._deadline_s)

    async def _send_once(self, attempt: _Attempt) -> _AttemptResult:
        """Send the call once; return the result."""
        routing = self._routing
        server = attempt.server
        routing.server_choice.started(server.id)
        attempt.timer = running_time.call_later(
            self._route.target_latency_s,
            functools.partial(self._handle_target_exceeded, attempt),
        )
        load: ServerLoad | None = None
        try:
            await self._on_send(self._started_runs)
            raw_response = await routing.client.send(self._make_send(server))
            routing.link_watch.note_answer(server.service)
            load = raw_response.load
            response = await self._read_response(raw_response, server.id)
            return _AttemptResult(may_have_run=response is not None, response=response)
        except KeptBackError:
            return _AttemptResult(may_have_run=False, is_rejected=True)
        except NotSentError as error:
            routing.record_fault(server, ServerFault.SILENT, self._call.id, str(error))
            return _AttemptResult(may_have_run=False)
        except AnswerLostError as error:
            fault = await self._work.trouble_of(error, server, has_begun=False)
            routing.record_fault(server, fault, self._call.id, str(error))
            return _AttemptResult(may_have_run=True)
        finally:
            attempt.timer.cancel()
            routing.server_choice.ended(server.id, load, now_s=clocks.now_s())

    def _choose_server(self, now_s: float) -> BackendServer | None:
        """Return the server to send to, or None if none is available.

        Servers that have refused the call are excluded: otherwise it was sent four
        times within 8 ms to a server that refused all calls.
        """
        flow_control = self._routing.flow_control
        blocked = flow_control.blocked_s(priority=self._admitted.priority, now_s=now_s)
        excluded = self._refused_by | blocked.keys()
        servers = self._routing.usable(self._admitted.service.name)
        in_cooldown = self._routing.health.in_cooldown(now_s=now_s)
        return self._routing.server_choice.choose(
            [server for server in servers if server.id not in excluded],
            zone=self._routing.settings.instance.availability_zone,
            avoided=self._tried | in_cooldown | flow_control.avoided(now_s=now_s),
            now_s=now_s,
        )

    def _make_send(self, server: BackendServer) -> Send:
        """Return the send of the call to a server."""
        return Send(
            call=self._call,
            server=server,
            path=None,
            deadline_s=self._deadline_s,
            priority=self._admitted.priority,
            workspace=self._admitted.workspace_name,
            last_event_id=self._call.last_event_id,
            # The first send may have been lost with a stale idle connection.
            needs_new_connection=not self._route.is_repeatable
            or self._started_runs > 1,
        )

    async def _read_response(
        self, raw_response: Answer, server_id: str
    ) -> PlainAnswer | None:
        """Read a response; None if the server has not run the call."""
        if raw_response.refusal is not None:
            self._refused_by.add(server_id)
            self._routing.record_refusal(server_id, raw_response.refusal, self._call.id)
            raw_response.close(is_whole=True)
            return None
        response = PlainAnswer(
            raw_response,
            known_event_id=self._known_event_id(raw_response.status),
            memory=self._routing.memory,
            max_bytes=self._routing.settings.limits.max_answer_bytes,
        )
        self._responses.append(response)
        try:
            await response.buffer()
        except BaseException:
            response.close()
            raise
        if raw_response.status >= _MIN_SERVER_ERROR_STATUS:
            events.log(
                events.ANSWER_FAILED,
                request_id=self._call.id,
                server_id=server_id,
                status=raw_response.status,
            )
        else:
            self._routing.health.record_success(server_id)
            self._work.answered()
        return response

    def _known_event_id(self, status: int) -> int | None:
        """Return the last event of a stream that the caller has, if it has any."""
        is_stream = self._route.kind is CallKind.STREAM and status < _MULTIPLE_CHOICES
        return self._call.last_event_id if is_stream else None

    def _hedge_delay_s(self, now_s: float) -> float:
        """Return the delay before the latest send is hedged, in seconds.

        It is at least the target latency, as its response is late after that anyway.
        """
        remaining_s = max(0.0, self._deadline_s - now_s)
        return max(self._route.target_latency_s, remaining_s / _HEDGE_DIVISOR)

    def _handle_target_exceeded(self, attempt: _Attempt) -> None:
        """Handle a server without a response within the route's target latency."""
        attempt.is_target_exceeded = True
        self._routing.link_watch.note_late(attempt.server, sent_s=attempt.sent_s)
        attempt.timer = running_time.call_later(
            (_COOLDOWN_TARGETS - 1.0) * self._route.target_latency_s,
            functools.partial(self._record_late_server, attempt),
        )

    def _record_late_server(self, attempt: _Attempt) -> None:
        """Record a fault of a server that has not responded in time.

        Below the target latency, a caller's short time limit is no evidence of one.
        """
        server = self._routing.backends.get(attempt.server.id)
        if server is not None and attempt.is_target_exceeded:
            waited_s = clocks.now_s() - attempt.sent_s
            self._routing.record_fault(
                server,
                ServerFault.SILENT,
                self._call.id,
                f"no answer in {waited_s:.2f} s",
            )

    def _make_error(self) -> VioletHatchError:
        """Return the error for the caller."""
        if self.runs:
            if deadlines.is_over(self._deadline_s):
                limit = self._call.deadline_source(self._route.timeout_s)
                return DeadlineError(f"no answer before the deadline: {limit}")
            return ServiceLostError("the backend server's answer was lost")
        hold_error = self._work.held_back()
        if hold_error is not None:
            return hold_error
        routing = self._routing
        routing.flow_control.log_blocked_servers(
            self._call.id, self._admitted.service.name
        )
        if routing.link_watch.is_lost(self._admitted.service.name):
            return LinksLostError(
                retry_after_s=routing.retry_after_s(_UNREACHABLE_RETRY_S)
            )
        servers = routing.usable(self._admitted.service.name)
        if not servers:
            msg = "no backend server is listed"
            retry_after_s = routing.retry_after_s()
            return ServiceUnreachableError(msg, retry_after_s=retry_after_s)
        backoff_s = routing.flow_control.min_wait_s(
            servers, priority=self._admitted.priority
        )
        if backoff_s > 0.0:
            msg = "all backend servers want nothing now"
            retry_after_s = routing.retry_after_s(requested_backoff_s=backoff_s)
            return OverloadedError(msg, retry_after_s=retry_after_s)
        if self._refused_by:
            msg = "all backend servers are full"
            return OverloadedError(msg, retry_after_s=_AT_CAPACITY_RETRY_S)
        msg = "no backend server could be connected to"
        return ServiceUnreachableError(msg, retry_after_s=_UNREACHABLE_RETRY_S)
