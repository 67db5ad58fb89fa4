# SPDX-License-Identifier: MIT
"""Calls to the platform's backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import functools

from collections.abc import AsyncIterator, Callable, Collection
from typing import Any

import aiohttp
import msgspec
import yarl

from multidict import CIMultiDict

from .. import clocks, events, running_time
from .._background import retrieve_error
from .._bodies import BodyPayload
from .._bounded_responses import EndlessResponseError, read_at_most
from .._call_errors import CALL_ERRORS
from .._decoding import decoded
from .._proper_responses import ImproperResponseError
from .._send_checks import send_check
from .._serving import host_and_port
from ..backends import BackendServer
from ..layers import LayerRange
from ..paths import Path
from ..upstream import (
    AnswerLostError,
    AnswerTooLongError,
    ConnectionBrokenError,
    FlowControl,
    Headers,
    KeptBackError,
    NoFlowControl,
    NotSentError,
    OrderAnswer,
    OrderOutcome,
    ReachOutcome,
    Refusal,
    ReportLateError,
    RunnerReport,
    Send,
    SendKind,
    ServerLoad,
    ServerSignals,
)
from . import _headers
from ._wire import MOST, Report, held_range
from ._words import server_word


_ANYTHING: msgspec.json.Decoder[Any] = msgspec.json.Decoder()
_OK = 200
_ACCEPTED = 202
_CONFLICT = 409
_FENCED = 412
_MISDIRECTED = 421
_MS_PER_S = 1000.0
#: The last of the priorities that the platform knows; 0 is the first.
_LAST_PRIORITY = 9
_JSON = "application/json"
_REPORT_PATH = "/api/report"
#: How long a report may take, in seconds: a slow way and back, and its work.
_REPORT_S = 0.25
#: The longest body of a report, or of an order's answer, in bytes; a report lists the
#: requests that wait for other runners.
_MAX_REPORT_BYTES = 1_048_576
#: After how long it is asked for on a new connection as well, in seconds: the kept one
#: may have gone silent for good, which says nothing of the runner.  Reports take 2 to
#: 5 ms at runners that are there.
_DOUBT_S = 0.02
#: The same as a multiple of what reports take at present: while all are late, a second
#: request for each makes them later.
_DOUBT_FACTOR = 4.0
#: The weight of the latest report in that.
_REPORT_WEIGHT = 0.2
#: How long a connection may take to come about that only shows that a server is
#: there, in seconds: a request waits for that before it is sent again.
_CONNECT_S = 0.1
#: How long an order's answer may take, in seconds.
_ORDER_S = 1.0


class _Sent:
    """When a request was written; at first, when it was decided.

    Attributes:
        at_ms: By the time of day.
        at_s: By the steady clock, in seconds.
    """

    def __init__(self, check: Callable[[], None]) -> None:
        self._check = check
        self.at_ms = 0
        self.at_s = 0.0
        self.was_written = False

    def check(self) -> None:
        """Check that it may be written, and note when."""
        self._check()
        self.at_ms = int(clocks.wall_s() * _MS_PER_S)
        self.at_s = clocks.now_s()

    def write(self) -> None:
        """Check once more, right before it is written."""
        self.check()
        self.was_written = True


class _Answer:
    """A server's answer."""

    def __init__(self, answer: aiohttp.ClientResponse, word: ServerSignals) -> None:
        self._answer = answer
        self.status = answer.status
        self.is_framed = "Content-Length" in answer.headers or (
            "chunked" in answer.headers.get("Transfer-Encoding", "").lower()
        )
        self.length = answer.content_length if self.is_framed else None
        raw = _headers.decoded(answer.raw_headers)
        self.headers: Headers = _headers.given_back(raw)
        self.refusal = self._refusal(word)
        self.load = _load(answer.headers.get(_headers.LOAD))

    async def parts(self) -> AsyncIterator[bytes]:
        """Return the body as it comes.

        Raises:
            AnswerLostError: The body broke off.
        """
        try:
            async for part in self._answer.content.iter_any():
                yield part
        except EndlessResponseError as error:
            raise AnswerTooLongError(str(error)) from error
        except ImproperResponseError as error:
            raise AnswerLostError(repr(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            msg = f"the answer broke off: {error!r}"
            raise ConnectionBrokenError(msg) from error

    def close(self, *, is_whole: bool) -> None:
        """Let go of the answer; unless it is whole, break it off."""
        if is_whole:
            self._answer.release()
        else:
            self._answer.close()

    def _refusal(self, word: ServerSignals) -> Refusal | None:
        """Return the server's word that it has not run the call, if any."""
        is_misdirected = self.status == _MISDIRECTED
        if _headers.NOT_RUN not in self._answer.headers and not is_misdirected:
            return None
        address = self._answer.headers.get(_headers.AT_SERVER)
        return Refusal(address, is_misdirected, word)


class Runners:
    """Calls backend servers, over kept connections and over fresh ones.

    Args:
        kept: The session whose connections are used again.
        fresh: The session that opens one for each call.
    """

    def __init__(
        self, kept: aiohttp.ClientSession, fresh: aiohttp.ClientSession
    ) -> None:
        self._kept = kept
        self._fresh = fresh
        self._report = msgspec.json.Decoder(Report)
        #: The smoothed time that reports take, in seconds; one that does not come in
        #: time counts with its limit.
        self._usual_report_s = 0.0
        self.gate: FlowControl = NoFlowControl()

    async def send(self, send: Send) -> _Answer:
        """Send a call; return its answer once the head is there.

        Raises:
            KeptBackError: Nothing was written.
            NotSentError: Nothing has run.
            AnswerLostError: It may have run.
        """
        call = send.call
        session = self._fresh if send.needs_new_connection else self._kept
        url = yarl.URL(f"http://{send.server.address}{call.target}", encoded=True)
        try:
            async with self._gated(
                send.server, SendKind.CALL, call.id, priority=send.priority
            ) as sent:
                answer = await session.request(
                    call.method,
                    url,
                    data=BodyPayload(call.body) if call.body else None,
                    headers=_request_headers(send),
                    allow_redirects=False,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSentError(repr(error)) from error
        except (aiohttp.ServerDisconnectedError, OSError) as error:
            raise ConnectionBrokenError(repr(error)) from error
        except EndlessResponseError as error:
            raise AnswerTooLongError(str(error)) from error
        except CALL_ERRORS as error:
            raise AnswerLostError(repr(error)) from error
        is_others = answer.headers.get(_headers.CALL_ID) != call.id
        word = self._hear(send.server, answer, sent, call.id, is_others=is_others)
        if is_others:
            answer.close()
            msg = "the answer belongs to another call"
            raise AnswerLostError(msg)
        if answer.headers.get("Content-Encoding"):
            answer.close()
            msg = "the answer is encoded"
            raise AnswerLostError(msg)
        return _Answer(answer, word)

    @contextlib.asynccontextmanager
    async def _gated(
        self,
        server: BackendServer,
        sending: SendKind,
        request_id: str = "",
        *,
        priority: int = 0,
    ) -> AsyncIterator[_Sent]:
        """Look at the gate, now and before the write within; tell when that was.

        Raises:
            KeptBackError: Nothing is to be sent to the server.
        """
        gate = self.gate
        permit = await gate.admit(server, sending, request_id, priority=priority)
        sent = _Sent(
            functools.partial(gate.check_send, server, sending, request_id, permit)
        )
        try:
            with send_check(sent.check, before_write=sent.write):
                yield sent
        finally:
            gate.release_permit(server, permit, was_written=sent.was_written)

    def _hear(
        self,
        server: BackendServer,
        answer: aiohttp.ClientResponse,
        sent: _Sent,
        request_id: str = "",
        *,
        is_others: bool = False,
    ) -> ServerSignals:
        """Pass on, and return, what a server says of itself in an answer's head.

        Args:
            server: Who has answered.
            answer: The answer.
            sent: When the request was written.
            request_id: Names the call; empty where it was none.
            is_others: Whether it is the answer to another call.
        """
        word = server_word(answer)._replace(sent_ms=sent.at_ms, sent_s=sent.at_s)
        if is_others:
            # Given at any time before, it can end no limit that was named since.
            word = word._replace(limit_per_s=word.finite_limit_per_s, sent_s=0.0)
        self.gate.record_signals(server, word, request_id)
        return word

    async def is_refusing(self, server: BackendServer) -> bool:
        """Tell whether a server refuses connections: nobody listens there."""
        try:
            host, port = host_and_port(server.address)
            async with running_time.timeout(_CONNECT_S):
                _, writer = await asyncio.open_connection(host, port)
        except ConnectionRefusedError:
            return True
        except (TimeoutError, *CALL_ERRORS) as error:
            events.log(events.SERVER_UNKNOWN, server_id=server.id, reason=repr(error))
            return False
        writer.transport.abort()
        return False

    async def reach(self, server: BackendServer, *, health_path: str) -> ReachOutcome:
        """Ask a server over a new connection; any answer will do."""
        path = _REPORT_PATH if server.kind else health_path
        if not path:
            is_connected = await self._connects(server)
            return ReachOutcome.ANSWERED if is_connected else ReachOutcome.SILENT
        url = yarl.URL(f"http://{server.address}{path}", encoded=True)
        try:
            async with (
                self._gated(server, SendKind.REPORT) as sent,
                running_time.timeout(_REPORT_S),
                self._fresh.get(url, allow_redirects=False) as answer,
            ):
                self._hear(server, answer, sent)
        except KeptBackError:
            return ReachOutcome.UNASKED
        except TimeoutError:
            # A lost link takes no connection.
            return ReachOutcome.CONNECTED if sent.was_written else ReachOutcome.SILENT
        except CALL_ERRORS:
            return ReachOutcome.SILENT
        return ReachOutcome.ANSWERED

    async def _connects(self, server: BackendServer) -> bool:
        """Tell whether a server takes a connection."""
        try:
            host, port = host_and_port(server.address)
            async with running_time.timeout(_REPORT_S):
                _, writer = await asyncio.open_connection(host, port)
        except (TimeoutError, *CALL_ERRORS):
            return False
        writer.transport.abort()
        return True

    async def report(self, server: BackendServer) -> RunnerReport | None:
        """Return a runner's report, or None if the request failed.

        Raises:
            KeptBackError: It was not asked.
            ReportLateError: It took the request on a new connection, and gave no
                report in time.
        """
        doubt_s = max(_DOUBT_S, _DOUBT_FACTOR * self._usual_report_s)
        kept = asyncio.create_task(self._ask_report(self._kept, server))
        kept.add_done_callback(retrieve_error)
        if await running_time.wait((kept,), limit_s=doubt_s):
            report = kept.result()
        else:
            # Neither is cancelled: what a probe leaves behind ends by its own limit.
            again = asyncio.create_task(self._ask_report(self._fresh, server))
            again.add_done_callback(retrieve_error)
            report = await _first_result((kept, again))
        return report

    async def _ask_report(
        self, session: aiohttp.ClientSession, server: BackendServer
    ) -> RunnerReport | None:
        """Return a runner's report, or None if it gives none that can be understood.

        Raises:
            KeptBackError: It was not asked.
            ReportLateError: It took the request, and gave no report in time.
        """
        url = f"http://{server.address}{_REPORT_PATH}"
        began_s = clocks.now_s()
        try:
            async with (
                self._gated(server, SendKind.REPORT) as sent,
                running_time.timeout(_REPORT_S),
                session.get(url) as answer,
            ):
                self._hear(server, answer, sent)
                body = await read_at_most(answer, _MAX_REPORT_BYTES)
            self._note_report_time(clocks.now_s() - began_s)
            if answer.status != _OK:
                return None
            return _runner_report(decoded(self._report, body))
        except TimeoutError as error:
            if not sent.was_written:
                return None  # the caller logs what it makes of that
            self._note_report_time(_REPORT_S)
            raise ReportLateError from error
        except CALL_ERRORS:
            return None

    def _note_report_time(self, took_s: float) -> None:
        """Take in how long a report took, or was waited for."""
        self._usual_report_s += _REPORT_WEIGHT * (took_s - self._usual_report_s)

    async def repath(
        self, server: BackendServer, call_id: str, path: Path
    ) -> OrderAnswer:
        """Order a running call onto another path with the same first runner."""
        order = {"op": "repath", "Id": call_id, "Path": _headers.path_header(path)}
        return await self._order(server, order, SendKind.MOVE, call_id)

    async def place(
        self,
        server: BackendServer,
        layers: LayerRange,
        *,
        fence: int,
        expected_sequence: int,
    ) -> OrderAnswer:
        """Order a runner to hold a range of layers."""
        order = {
            "op": "place",
            "From": layers.first,
            "TargetVersion": layers.end,
            "how": "wait",
            "fence": fence,
            "ExpectedRevision": expected_sequence,
        }
        return await self._order(server, order, SendKind.ORDER)

    async def _order(
        self,
        server: BackendServer,
        order: dict[str, Any],
        sending: SendKind,
        request_id: str = "",
    ) -> OrderAnswer:
        """Give an order; tell what came of it.

        It names its runner: after a crash, another one may be given the address before
        the list drops the entry.
        """
        url = f"http://{server.address}/api/order"
        headers = {"Content-Type": _JSON, _headers.TARGET: server.id}
        try:
            async with (
                self._gated(server, sending, request_id) as sent,
                running_time.timeout(_ORDER_S),
                self._kept.post(
                    url, data=msgspec.json.encode(order), headers=headers
                ) as answer,
            ):
                self._hear(server, answer, sent, request_id)
                body = await read_at_most(answer, _MAX_REPORT_BYTES)
        except KeptBackError:
            return OrderAnswer(OrderOutcome.KEPT_BACK)  # the gate has logged it
        except (TimeoutError, *CALL_ERRORS):
            return OrderAnswer(OrderOutcome.UNKNOWN)
        outcome = {
            _OK: OrderOutcome.DONE,
            _ACCEPTED: OrderOutcome.BEGUN,
            _CONFLICT: OrderOutcome.CONFLICT,
            _FENCED: OrderOutcome.FENCED,
        }.get(answer.status, OrderOutcome.REFUSED)
        return OrderAnswer(outcome, _named_address(body))


async def _first_result(
    asked: Collection[asyncio.Task[RunnerReport | None]],
) -> RunnerReport | None:
    """Return the first report that comes, or what the last request came to.

    Raises:
        KeptBackError: None has come, and some were not asked.
        ReportLateError: None has come to the last request, which was taken.
    """
    *_, last = asked
    kept_back: KeptBackError | None = None
    late: ReportLateError | None = None
    for next_done in asyncio.as_completed(asked):
        try:
            report = await next_done
        except KeptBackError as error:
            kept_back = error
            continue
        except ReportLateError as error:
            late = error
            continue
        if report is not None:
            return report
    if kept_back is not None:
        raise kept_back
    # A kept connection takes requests also after it has fallen silent.
    if late is not None and last.exception() is not None:
        raise late
    return None


def _runner_report(report: Report) -> RunnerReport:
    """Return a report in the product's words.

    Raises:
        ValueError: It holds an impossible value.
    """
    return RunnerReport(
        sequence=report.sequence,
        is_busy=report.busy,
        waiting=report.waiting,
        running=report.running,
        kv_used_part=report.kv_used / report.kv_total if report.kv_total else 0.0,
        slowness=report.pace,
        layers=held_range(report.layers),
        stalled={one.id: one.address for one in report.stalled},
        started_ms=report.born,
    )


def _request_headers(send: Send) -> CIMultiDict[str]:
    """Return the headers of a send."""
    left_ms = max(1.0, (send.deadline_s - clocks.now_s()) * _MS_PER_S)
    headers = CIMultiDict(send.call.headers)
    headers[_headers.DEADLINE_MS] = str(int(left_ms))
    headers[_headers.TARGET] = send.server.id
    headers[_headers.PRIORITY] = str(max(0, min(_LAST_PRIORITY, send.priority)))
    if send.workspace is not None:
        headers[_headers.WORKSPACE] = send.workspace
    if send.last_event_id is not None:
        headers[_headers.LAST_EVENT_ID] = str(send.last_event_id)
    if send.path is not None:
        headers[_headers.PATH] = _headers.path_header(send.path)
    return headers


def _load(text: str | None) -> ServerLoad | None:
    """Read a server's word on its load; None if there is none, or no possible one."""
    try:
        running, waiting, slots = (int(part) for part in (text or "").split(","))
    except ValueError:
        return None
    if not 0 <= min(running, waiting, slots) <= max(running, waiting, slots) < MOST:
        return None
    return ServerLoad(running, waiting, slots)


def _named_address(body: bytes) -> str | None:
    """Return the runner that an order's answer names, if any."""
    try:
        named = decoded(_ANYTHING, body)
    except ValueError:
        return None
    address = named.get("Address") if isinstance(named, dict) else None
    return address if isinstance(address, str) else None
