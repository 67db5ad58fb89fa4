# SPDX-License-Identifier: MIT
"""Calls to plain services: one answer, whole or not at all."""

from __future__ import annotations

import asyncio
import functools

from typing import NamedTuple

from . import clocks, deadlines, events, running_time
from ._routing import Routing
from ._stream_output import StreamOutput
from .backends import BackendServer
from .desired import Admitted
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
    Headers,
    KeptBackError,
    NotSentError,
    OnSend,
    Responder,
    Send,
    ServerLoad,
    ignore_sends,
)


#: When a caller who was refused for want of room should come back, in seconds.
_FULL_RETRY_S = 0.3
#: The same where no server is known or can be reached, in seconds.
_NONE_RETRY_S = 0.5
#: The most sends of one call, refusals and failed connections included.
_MOST_SENDS = 4
#: Into how many parts what is left of a call's time goes: after one of them, a send
#: that is silent is followed by another.
_TIME_PARTS = 3
#: After how many times the route's target a server that has not answered is left
#: alone by further calls, also while this one still waits.
_LATE_TARGETS = 2.0
_SERVER_ERROR = 500
#: Statuses by which callers understand that nothing has run.
_SAYS_NOT_RUN = (408, 421, 429, 503)


class _Whole(NamedTuple):
    """A backend server's answer, whole as far as can be told."""

    status: int
    headers: Headers
    body: bytes
    is_framed: bool

    async def give(self, responder: Responder) -> int:
        """Give the answer to the caller; return its status."""
        await responder.answer(
            self.status, self.headers, self.body, is_framed=self.is_framed
        )
        return self.status


class _Attempt:
    """One send that is under way.

    Args:
        server: Where it goes.
        is_paid: Whether it took a retry from the budget.

    Attributes:
        task: Returns what came of it.
        timer: Counts the time in which the server gives no answer.
        sent_s: When it began, in monotonic seconds.
        is_past_target: Whether the route's target is over, this instance's own
            standstills not counted.
    """

    task: asyncio.Task[_Outcome]
    timer: running_time.Ticker

    def __init__(self, server: BackendServer, *, is_paid: bool) -> None:
        self.server = server
        self.is_paid = is_paid
        self.sent_s = clocks.now_s()
        self.is_past_target = False


class _Outcome(NamedTuple):
    """What came of a send.

    Attributes:
        may_have_run: Whether its server may have run the call.
        whole: The server's answer, if there is one to pass on.
        is_kept_back: Whether nothing was sent.
    """

    may_have_run: bool
    whole: _Whole | None = None
    is_kept_back: bool = False


class PlainCall:
    """Serves one call of a plain service.

    A call that may not be repeated is sent again only after a server's word
    that it has not run, or if no connection came about.  One that may be repeated is
    sent once more when its server is silent; the first answer of the two counts.
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
        self._kept_back = 0
        self._under_way: list[_Attempt] = []
        #: The last failure that a server gave as its answer.
        self._failed: _Whole | None = None
        self.output = StreamOutput(call, admitted.route)
        #: Ended sends that may have run, those of an instance that forwarded it
        #: included.
        self.runs = runs
        self.sends = runs
        #: The server that answered, or got the latest send, and what the list of
        #: servers rested on then.
        self.server_id: str | None = None
        self.list_state = UNREAD

    @property
    def moves(self) -> int:
        """Moves between servers: a plain call stays where it is."""
        return 0

    def log_fields(self) -> dict[str, object]:
        """Return what the line of its end tells beside what all calls' lines do."""
        return {"server_id": self.server_id}

    async def serve(self, responder: Responder) -> int:
        """Answer the caller; return the status.

        Raises:
            VioletHatchError: No backend server gave an answer to pass on.
            MustForwardError: Another instance has to serve the call.
        """
        answer: _Whole | None = None
        try:
            async with deadlines.until(self._deadline_s):
                answer = await self._find_answer()
        except TimeoutError:
            answer = self._take_ended()
            for attempt in self._under_way:
                self._note_late(attempt)
        finally:
            self._break_off()
        answer = answer or self._failed
        if answer is None:
            raise self._failure()
        return await answer.give(responder)

    async def _find_answer(self) -> _Whole | None:
        """Return an answer to pass on, or None if none can come any more.

        Raises:
            VioletHatchError: The call has run, and its answer can't be passed on.
            MustForwardError: Another instance has to serve the call.
        """
        while True:
            latest = await self._begin_attempt()
            if not self._under_way:
                return None
            await self._wait_for_end(latest)
            answer = self._take_ended()
            if answer is not None:
                return answer

    async def _begin_attempt(self) -> _Attempt | None:
        """Send the call once more; return None where that may not or need not be.

        Raises:
            MustForwardError: Another instance has to serve the call.
        """
        service = self._admitted.service.name
        if self.sends + self._kept_back >= _MOST_SENDS:
            return None
        if self.sends and not self._may_send_again():
            return None
        if self._work.is_held:
            return None  # each send of a request that ends servers costs one more
        if await self._routing.must_forward(self._call, service):
            if self._under_way and not self._may_be_forwarded():
                return None
            raise MustForwardError
        server = self._choose(clocks.now_s())
        if server is None:
            return None
        is_again = self.sends > 0
        if is_again and not await self._routing.retries.acquire_retry(service):
            return None
        if self._has_ended():
            if is_again:
                self._routing.retries.return_retry(service)
            return None
        attempt = _Attempt(server, is_paid=is_again)
        self._count_in(attempt)
        attempt.task = asyncio.create_task(self._send_once(attempt))
        return attempt

    def _may_be_forwarded(self) -> bool:
        """Tell whether the sends under way are worth less than another instance."""
        forwarding = self._routing.forwarding
        has_peer = forwarding and forwarding.has_peer(self._admitted.service.name)
        return bool(has_peer) and not self._has_ended()

    def _count_in(self, attempt: _Attempt) -> None:
        """Count a send that begins."""
        self.server_id = attempt.server.id
        self.list_state = self._routing.list_state()
        self._tried.add(attempt.server.id)
        self.sends += 1
        self._under_way.append(attempt)

    async def _wait_for_end(self, latest: _Attempt | None) -> None:
        """Wait until a send ends, or until the latest one calls for another."""
        tasks = [one.task for one in self._under_way]
        if latest is None or not self._may_send_again():
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            return
        limit_s = self._silence_limit_s(clocks.now_s())
        if not await running_time.wait(tasks, limit_s=limit_s):
            self._note_late(latest)

    def _has_ended(self) -> bool:
        """Tell whether a send under way has ended."""
        return any(one.task.done() for one in self._under_way)

    def _take_ended(self) -> _Whole | None:
        """Take in the sends that have ended; return an answer to pass on.

        Raises:
            VioletHatchError: The call has run, and its answer can't be passed on.
        """
        found: _Whole | None = None
        for attempt in [one for one in self._under_way if one.task.done()]:
            self._under_way.remove(attempt)
            found = self._take(attempt, attempt.task.result()) or found
        return found

    def _take(self, attempt: _Attempt, outcome: _Outcome) -> _Whole | None:
        """Take in what came of a send; return an answer to pass on.

        Raises:
            VioletHatchError: The call has run, and its answer can't be passed on.
        """
        if outcome.is_kept_back:
            self._kept_back += 1
            self._tried.discard(attempt.server.id)
            self.sends -= 1
            if attempt.is_paid:
                self._routing.retries.return_retry(self._admitted.service.name)
            return None
        self.runs += outcome.may_have_run
        answer = outcome.whole
        if answer is None:
            return None
        self.server_id = attempt.server.id
        if not self._route.is_repeatable:
            if answer.status in _SAYS_NOT_RUN:
                # It has run: these would say what is not true.
                msg = f"the backend server answered {answer.status}; it may have run"
                raise ServiceLostError(msg)
            return answer
        if answer.status < _SERVER_ERROR:
            return answer
        self._failed = answer
        return None

    def _break_off(self) -> None:
        """Break off the sends that are under way."""
        for attempt in self._under_way:
            attempt.task.cancel()
            self.runs += 1
        self._under_way.clear()

    @property
    def _begun_runs(self) -> int:
        """Sends that may have run, those under way included."""
        return self.runs + len(self._under_way)

    def _may_send_again(self) -> bool:
        """Tell whether another send is allowed."""
        runs = self._begun_runs
        if runs and not self._route.is_repeatable:
            return False
        if runs >= self._route.max_attempts:
            return False
        return not deadlines.is_over(self._deadline_s)

    async def _send_once(self, attempt: _Attempt) -> _Outcome:
        """Send the call once; return what came of it."""
        routing = self._routing
        server = attempt.server
        routing.server_choice.started(server.id)
        attempt.timer = running_time.call_later(
            self._route.target_latency_s, functools.partial(self._doubt, attempt)
        )
        load: ServerLoad | None = None
        try:
            await self._on_send(self._begun_runs)
            answer = await routing.client.send(self._send_to(server))
            routing.link_watch.note_answer(server.service)
            load = answer.load
            whole = await self._read(answer, server.id)
            return _Outcome(may_have_run=whole is not None, whole=whole)
        except KeptBackError:
            return _Outcome(may_have_run=False, is_kept_back=True)
        except NotSentError as error:
            routing.record_fault(server, ServerFault.SILENT, self._call.id, str(error))
            return _Outcome(may_have_run=False)
        except AnswerLostError as error:
            trouble = await self._work.trouble_of(error, server, has_begun=False)
            routing.record_fault(server, trouble, self._call.id, str(error))
            return _Outcome(may_have_run=True)
        finally:
            attempt.timer.cancel()
            routing.server_choice.ended(server.id, load, now_s=clocks.now_s())

    def _choose(self, now_s: float) -> BackendServer | None:
        """Return the server to send to, or None if none wants the call.

        One that has refused it is not asked again: calls were sent four times within
        8 ms to a server that refused all.
        """
        gate = self._routing.flow_control
        bound = gate.blocked_s(priority=self._admitted.priority, now_s=now_s)
        closed = self._refused_by | bound.keys()
        servers = self._routing.usable(self._admitted.service.name)
        resting = self._routing.health.in_cooldown(now_s=now_s)
        return self._routing.server_choice.choose(
            [one for one in servers if one.id not in closed],
            zone=self._routing.settings.instance.availability_zone,
            avoided=self._tried | resting | gate.avoided(now_s=now_s),
            now_s=now_s,
        )

    def _send_to(self, server: BackendServer) -> Send:
        """Return the call as it is sent to a server."""
        return Send(
            call=self._call,
            server=server,
            path=None,
            deadline_s=self._deadline_s,
            priority=self._admitted.priority,
            workspace=self._admitted.workspace_name,
            last_event_id=None,
            # The first send may have been lost with a connection that had rested.
            needs_new_connection=not self._route.is_repeatable or self._begun_runs > 1,
        )

    async def _read(self, answer: Answer, server_id: str) -> _Whole | None:
        """Read an answer whole; None if the server has not run the call."""
        is_whole = False
        try:
            if answer.refusal is not None:
                self._refused_by.add(server_id)
                self._routing.record_refusal(server_id, answer.refusal, self._call.id)
                return None
            body = b"".join([part async for part in answer.parts()])
            is_whole = True
        finally:
            answer.close(is_whole=is_whole or answer.refusal is not None)
        if answer.status >= _SERVER_ERROR:
            events.log(
                events.ANSWER_FAILED,
                request_id=self._call.id,
                server_id=server_id,
                status=answer.status,
            )
        else:
            self._routing.health.record_success(server_id)
            self._work.answered()
        return _Whole(answer.status, answer.headers, body, answer.is_framed)

    def _silence_limit_s(self, now_s: float) -> float:
        """Return how long the latest send may be silent before another one, in seconds.

        Its answer would then be late for the route's target anyway.
        """
        left_s = max(0.0, self._deadline_s - now_s)
        return max(self._route.target_latency_s, left_s / _TIME_PARTS)

    def _doubt(self, attempt: _Attempt) -> None:
        """Note that a server has not answered within the route's target."""
        attempt.is_past_target = True
        self._routing.link_watch.note_late(attempt.server, sent_s=attempt.sent_s)
        attempt.timer = running_time.call_later(
            (_LATE_TARGETS - 1.0) * self._route.target_latency_s,
            functools.partial(self._note_late, attempt),
        )

    def _note_late(self, attempt: _Attempt) -> None:
        """Log that a server has not answered in time, and leave it alone.

        A caller's own time may be so short that it says nothing of the server.
        """
        server = self._routing.backends.get(attempt.server.id)
        if server is not None and attempt.is_past_target:
            waited_s = clocks.now_s() - attempt.sent_s
            self._routing.record_fault(
                server,
                ServerFault.SILENT,
                self._call.id,
                f"no answer in {waited_s:.2f} s",
            )

    def _failure(self) -> VioletHatchError:
        """Return the error that says what is known."""
        if self.runs:
            if deadlines.is_over(self._deadline_s):
                limit = self._call.deadline_source(self._route.timeout_s)
                return DeadlineError(f"no answer before the deadline: {limit}")
            return ServiceLostError("the backend server's answer was lost")
        held = self._work.held_back()
        if held is not None:
            return held
        routing = self._routing
        routing.flow_control.log_blocked_servers(
            self._call.id, self._admitted.service.name
        )
        if routing.link_watch.is_lost(self._admitted.service.name):
            return LinksLostError(retry_after_s=routing.retry_after_s(_NONE_RETRY_S))
        servers = routing.usable(self._admitted.service.name)
        if not servers:
            msg = "no backend server is listed"
            retry_after_s = routing.retry_after_s()
            return ServiceUnreachableError(msg, retry_after_s=retry_after_s)
        asked_s = routing.flow_control.min_wait_s(
            servers, priority=self._admitted.priority
        )
        if asked_s > 0.0:
            msg = "all backend servers want nothing now"
            retry_after_s = routing.retry_after_s(requested_backoff_s=asked_s)
            return OverloadedError(msg, retry_after_s=retry_after_s)
        if self._refused_by:
            msg = "all backend servers are full"
            return OverloadedError(msg, retry_after_s=_FULL_RETRY_S)
        msg = "no backend server could be connected to"
        return ServiceUnreachableError(msg, retry_after_s=_NONE_RETRY_S)
