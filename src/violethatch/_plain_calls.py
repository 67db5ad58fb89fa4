# SPDX-License-Identifier: MIT
"""Calls to plain services: one answer, whole or not at all."""

from __future__ import annotations

import asyncio
import functools

from typing import NamedTuple

from . import clocks, deadlines, events
from ._routing import Routing
from ._stream_output import StreamOutput
from ._work_in_hand import WorkInHand
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
from .runner_health import Trouble
from .store_era import UNREAD
from .upstream import (
    Answer,
    AnswerLostError,
    Call,
    Headers,
    KeptBackError,
    NotSentError,
    Responder,
    Send,
    ServerLoad,
)


#: When a caller who was refused for want of room should come back, in seconds.
_FULL_RETRY_S = 0.3
#: The same where no server is known or can be reached, in seconds.
_NONE_RETRY_S = 0.5
#: The most sends of one call, refusals and failed connections included.
_MOST_SENDS = 4
#: Into how many parts what is left of a call's time goes, of which a send that
#: can be followed by another gets one.
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


class PlainCall:
    """Serves one call of a plain service.

    A call that may not be repeated is sent again only after a server's word
    that it has not run, or if no connection came about.
    """

    def __init__(
        self, routing: Routing, call: Call, admitted: Admitted, *, runs: int = 0
    ) -> None:
        self._routing = routing
        self._call = call
        self._admitted = admitted
        self._route = admitted.route
        self._deadline_s = call.deadline_within_s(admitted.route.timeout_s)
        self._work = WorkInHand(routing, call, admitted.workspace_name)
        self._tried: set[str] = set()
        self._refused_by: set[str] = set()
        self._kept_back = 0
        self.output = StreamOutput(call, admitted.route)
        #: Sends that may have run, those of an instance that forwarded it included.
        self.runs = runs
        self.sends = runs
        #: When the latest send began, the server it went to, and what the list of
        #: servers rested on.
        self._sent_s = 0.0
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
        failed: _Whole | None = None
        while self.sends + self._kept_back < _MOST_SENDS:
            if self.sends and not self._may_send_again():
                break
            if self._work.is_held:
                break  # each send of a request that ends servers costs one more
            if await self._routing.must_forward(
                self._call, self._admitted.service.name
            ):
                raise MustForwardError
            server = self._choose(clocks.now_s())
            if server is None:
                break
            is_again = self.sends > 0
            if is_again and not await self._is_paid():
                break
            try:
                answer = await self._send_once(server)
            except KeptBackError:
                self._kept_back += 1
                if is_again:
                    self._routing.retries.return_retry(self._admitted.service.name)
                continue
            if answer is None:
                continue
            if not self._route.is_repeatable and answer.status in _SAYS_NOT_RUN:
                break  # it has run, so that these would say what is not true
            if answer.status < _SERVER_ERROR or not self._route.is_repeatable:
                return await answer.give(responder)
            failed = answer
        if failed is None:
            raise self._failure()
        return await failed.give(responder)

    def _may_send_again(self) -> bool:
        """Tell whether another send is allowed."""
        if self.runs and not self._route.is_repeatable:
            return False
        if self.runs >= self._route.max_attempts:
            return False
        return not deadlines.is_over(self._deadline_s)

    async def _is_paid(self) -> bool:
        """Tell whether another send is paid for."""
        return await self._routing.retries.may_retry(self._admitted.service.name)

    async def _send_once(self, server: BackendServer) -> _Whole | None:
        """Send the call once; return an answer that could be passed on.

        Raises:
            KeptBackError: Nothing was sent.
        """
        routing = self._routing
        now_s = clocks.now_s()
        self._sent_s = now_s
        self.server_id = server.id
        self.list_state = routing.list_state()
        self._tried.add(server.id)
        self.sends += 1
        limit_s = self._limit_s(now_s)
        routing.choice.started(server.id)
        loop = asyncio.get_running_loop()
        target_s = self._route.target_latency_s
        watch = self._routing.link_watch
        doubted = loop.call_later(
            target_s, functools.partial(watch.note_late, server, sent_s=now_s)
        )
        late = loop.call_later(_LATE_TARGETS * target_s, self._note_late, server.id)
        load: ServerLoad | None = None
        try:
            async with asyncio.timeout(limit_s):
                answer = await routing.client.send(self._send_to(server))
                watch.note_answer(server.service)
                load = answer.load
                whole = await self._read(answer, server.id)
            self.runs += whole is not None
            return whole
        except KeptBackError:
            self._tried.discard(server.id)
            self.sends -= 1
            raise
        except NotSentError as error:
            routing.note_trouble(server, Trouble.SILENT, self._call.id, str(error))
        except AnswerLostError as error:
            self.runs += 1
            trouble = await self._work.trouble_of(error, server, has_begun=False)
            routing.note_trouble(server, trouble, self._call.id, str(error))
        except TimeoutError:
            self.runs += 1
            self._note_late(server.id)
        finally:
            doubted.cancel()
            late.cancel()
            routing.choice.ended(server.id, load, now_s=clocks.now_s())
        return None

    def _choose(self, now_s: float) -> BackendServer | None:
        """Return the server to send to, or None if none wants the call.

        One that has refused it is not asked again: calls were sent four times within
        8 ms to a server that refused all.
        """
        gate = self._routing.gate
        bound = gate.bound(priority=self._admitted.priority, now_s=now_s)
        closed = self._refused_by | bound.keys()
        servers = self._routing.usable(self._admitted.service.name)
        resting = self._routing.health.resting(now_s=now_s)
        return self._routing.choice.choose(
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
            is_connection_fresh=not self._route.is_repeatable or self.runs > 0,
        )

    async def _read(self, answer: Answer, server_id: str) -> _Whole | None:
        """Read an answer whole; None if the server has not run the call."""
        is_whole = False
        try:
            if answer.refusal is not None:
                self._refused_by.add(server_id)
                self._routing.note_refusal(server_id, answer.refusal, self._call.id)
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
            self._routing.health.worked(server_id)
            self._work.answered()
        return _Whole(answer.status, answer.headers, body, answer.is_framed)

    def _limit_s(self, now_s: float) -> float:
        """Return how long this send may take, in seconds.

        A repeatable call is given up on once its answer would be late
        anyway, while there is another attempt to be had.
        """
        left_s = max(0.0, self._deadline_s - now_s)
        is_last = self.runs + 1 >= self._route.max_attempts
        if not self._route.is_repeatable or is_last:
            return left_s
        return min(left_s, max(self._route.target_latency_s, left_s / _TIME_PARTS))

    def _note_late(self, server_id: str) -> None:
        """Log that a server has not answered in time, and leave it alone.

        A caller's own time may be so short that it says nothing of the server.
        """
        server = self._routing.backends.get(server_id)
        waited_s = clocks.now_s() - self._sent_s
        if server is not None and waited_s >= self._route.target_latency_s:
            self._routing.note_trouble(
                server, Trouble.SILENT, self._call.id, f"no answer in {waited_s:.2f} s"
            )

    def _failure(self) -> VioletHatchError:
        """Return the error that says what is known."""
        if self.runs:
            if deadlines.is_over(self._deadline_s):
                return DeadlineError("no answer before the deadline")
            return ServiceLostError("the backend server's answer was lost")
        held = self._work.held_back()
        if held is not None:
            return held
        routing = self._routing
        routing.gate.explain(self._call.id, self._admitted.service.name)
        if routing.link_watch.is_lost(self._admitted.service.name):
            return LinksLostError(retry_after_s=routing.come_back_s(_NONE_RETRY_S))
        servers = routing.usable(self._admitted.service.name)
        if not servers:
            msg = "no backend server is listed"
            retry_after_s = routing.come_back_s()
            return ServiceUnreachableError(msg, retry_after_s=retry_after_s)
        asked_s = routing.gate.first_end_s(servers, priority=self._admitted.priority)
        if asked_s > 0.0:
            msg = "all backend servers want nothing now"
            retry_after_s = routing.come_back_s(asked_s=asked_s)
            return OverloadedError(msg, retry_after_s=retry_after_s)
        if self._refused_by:
            msg = "all backend servers are full"
            return OverloadedError(msg, retry_after_s=_FULL_RETRY_S)
        msg = "no backend server could be connected to"
        return ServiceUnreachableError(msg, retry_after_s=_NONE_RETRY_S)
