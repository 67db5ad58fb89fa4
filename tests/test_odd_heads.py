# SPDX-License-Identifier: MIT
"""Answers that are not proper HTTP, wherever answers are read."""

from __future__ import annotations

import asyncio
import contextlib
import json

import msgspec
import pytest

from odd_heads import BODY, IMPROPER, PROPER, head, improper_heads
from raw_server import RawAnswer, RawServer
from raw_site import FINAL_STREAM, ONCE, SAFE, STREAM, RawSite, is_stream
from router_fakes import events as stream_events
from router_fakes import send_to
from routing_samples import plain_server, runner
from test_instances import entry
from test_reset_answers import listed, open_sessions
from violethatch._connection_choice import ConnectionChoice
from violethatch._relay_http import RelayClient
from violethatch._router_metrics import RouterMetrics
from violethatch._services import Call, PlainServices
from violethatch.errors import ServiceLostError, TableUnavailableError
from violethatch.forwarding import ForwardClient
from violethatch.forwarding._wire import (
    AnswerHead,
    ForwardedRequest,
    FrameKind,
    frame,
    message_frame,
)
from violethatch.layers import LayerRange
from violethatch.peer_reads import PeerSilentError
from violethatch.platform._runners import Runners
from violethatch.platform._store import Store
from violethatch.ports import AnswerLostError as WriteLostError
from violethatch.retries import RetryBudget
from violethatch.router_settings import StoreSection
from violethatch.upstream import AnswerLostError, OrderOutcome, ReachOutcome


SOON_S = 5.0
#: Every status of a final response.
STATUSES = range(200, 600)
WITHOUT_BODY = (204, 304)
HEADS = improper_heads()
STREAM_EVENTS = stream_events(*range(1, 9))


@pytest.fixture
async def sessions():
    """Provide kept and fresh connections."""
    async with open_sessions() as both:
        yield both


async def answer_of(sessions, server, *, is_new=True):
    """Send a call; return its answer's status, headers and body."""
    target = plain_server("a")._replace(address=server.address)
    async with asyncio.timeout(SOON_S):
        answer = await Runners(*sessions).send(send_to(target, is_new=is_new))
        try:
            body = b"".join([part async for part in answer.parts()])
        finally:
            answer.close(is_whole=False)
    return answer.status, answer.headers, body


class TestSends:
    @pytest.mark.parametrize("is_in_parts", [False, True])
    @pytest.mark.parametrize("name", IMPROPER)
    async def test_improper_answer_is_passed_on(self, sessions, name, is_in_parts):
        data = IMPROPER[name].replace(b"%ID%", b"c1")
        middle = len(data) // 2
        parts = (data[:middle], data[middle:]) if is_in_parts else (data,)
        answer = RawAnswer(parts, 0.002 if is_in_parts else 0.0)
        for is_new in (True, False):
            with RawServer(answer) as server, pytest.raises(AnswerLostError):
                await answer_of(sessions, server, is_new=is_new)

    @pytest.mark.parametrize("name", PROPER)
    async def test_rare_answer_is_refused(self, sessions, name):
        with RawServer(RawAnswer((PROPER[name],))) as server:
            status, headers, body = await answer_of(sessions, server)
        assert (status, body) == (200, BODY)
        fields = dict(headers)
        if name == "folded_line":
            assert fields["Odd"].split() == ["x", "folded"]
        if name == "bytes_above_127_in_a_value":
            assert fields["Odd"] == "déjà vu ÿ"
        if name == "empty_value":
            assert fields["Odd"] == ""

    async def test_status_without_a_name_is_refused(self, sessions):
        for status in STATUSES:
            body = b"" if status in WITHOUT_BODY else BODY
            line = b"HTTP/1.1 %d" % status
            with RawServer(RawAnswer((head(line, body=body),))) as server:
                got = await answer_of(sessions, server)
            assert (got[0], got[2]) == (status, body)

    async def test_improper_answer_is_heard_as_a_promise(self, sessions):
        """What it says of its server and of the call counts for nothing."""
        fields = b"Violethatch-Not-Executed: 1\r\nRetry-After: 9\r\nOdd: \x01\r\n"
        odd = RawAnswer((head(b"HTTP/1.1 503 X", fields),))
        with RawServer(odd) as server, pytest.raises(AnswerLostError):
            await answer_of(sessions, server)

    async def test_answer_behind_an_improper_one_is_taken(self, sessions):
        """The connection is closed, so that the next call uses another one."""
        odd = RawAnswer((head(b"HTTP/1.1 000 X") + head(body=b"other"),), 0.3)
        with RawServer(odd, RawAnswer((head(),))) as server:
            with pytest.raises(AnswerLostError):
                await answer_of(sessions, server, is_new=False)
            status, _, body = await answer_of(sessions, server, is_new=False)
        assert (status, body) == (200, BODY)


class TestOtherReaders:
    """Bodies that are whole, so that only the head tells."""

    async def test_report(self, sessions):
        report = b'{"Sequence":1}'

        async def read(server):
            target = runner("a", 0, 80)._replace(address=server.address)
            return await Runners(*sessions).report(target)

        with RawServer(RawAnswer((head(body=report),))) as server:
            assert (await read(server)).sequence == 1
        for name, odd in improper_heads(body=report).items():
            with RawServer(RawAnswer((odd,))) as server:
                assert await read(server) is None, name

    async def test_order(self, sessions):
        async def place(server):
            target = runner("a", 0, 80)._replace(address=server.address)
            placed = await Runners(*sessions).place(
                target, LayerRange(0, 40), fence=1, expected_sequence=0
            )
            return placed.outcome

        line = b"HTTP/1.1 202 Accepted"
        with RawServer(RawAnswer((head(line, body=b"{}"),))) as server:
            assert await place(server) is OrderOutcome.BEGUN
        for name, odd in improper_heads(line, b"{}").items():
            with RawServer(RawAnswer((odd,))) as server:
                assert await place(server) is OrderOutcome.UNKNOWN, name

    async def test_probe(self, sessions):
        async def reach(server):
            target = plain_server("a")._replace(address=server.address)
            return await Runners(*sessions).reach(target, health_path="/health")

        with RawServer(RawAnswer((head(),))) as server:
            assert await reach(server) is ReachOutcome.ANSWERED
        for name, odd in HEADS.items():
            with RawServer(RawAnswer((odd,))) as server:
                assert await reach(server) is ReachOutcome.SILENT, name

    async def test_store(self, sessions):
        rows = b'{"Rows":[],"ver":7,"now_ms":1.0}'

        async def read(server):
            settings = StoreSection(server.address, call_timeout_s=1.0)
            connections = ConnectionChoice(*sessions, max_idle_s=4.0)
            store = Store(settings, connections, RouterMetrics())
            with contextlib.suppress(WriteLostError, TableUnavailableError):
                await store.write_entries("t", {"k": b"v"}, [])
                return "written"
            return await store.read_table("op")

        with RawServer(RawAnswer((head(body=rows),))) as server:
            assert await read(server) == "written"
        for name, odd in improper_heads(body=rows).items():
            server = RawServer(RawAnswer((odd,)))
            with server, pytest.raises(TableUnavailableError):
                print(name, await read(server))

    async def test_relayed_table(self, sessions):
        table = b"\0" + msgspec.msgpack.encode([{}, 7, 1.0, True, None, -1])

        async def read(server):
            peer = entry("i2")._replace(address=server.address, token="t")
            connections = ConnectionChoice(*sessions, max_idle_s=4.0)
            return await RelayClient(connections).changes(
                peer, "op", after=1, known_s=0.0, wait_s=0.2, margin_s=0.3
            )

        with RawServer(RawAnswer((head(body=table),))) as server:
            assert (await read(server)).version == 7
        for name, odd in improper_heads(body=table).items():
            server = RawServer(RawAnswer((odd,)))
            with server, pytest.raises(PeerSilentError):
                print(name, await read(server))

    async def test_forwarded_call(self, sessions):
        frames = message_frame(FrameKind.HEAD, AnswerHead(200, [], True, 0))
        frames += frame(FrameKind.PART, BODY) + frame(FrameKind.END)

        async def read(server):
            peer = entry("i2")._replace(address=server.address, token="t")
            request = ForwardedRequest(
                *("c1", "POST", "menu.example", "/print/1", [], b"", None, 0.0),
                *(2000.0, None, None, 1, 0, "i1"),
            )
            answer = await ForwardClient(*sessions).send(
                peer, request, is_repeatable=False, on_silent=lambda: False
            )
            return b"".join([part async for part in answer.parts()])

        with RawServer(RawAnswer((head(body=frames),))) as server:
            assert await read(server) == BODY
        for name, odd in improper_heads(body=frames).items():
            server = RawServer(RawAnswer((odd,)))
            with server, pytest.raises(AnswerLostError):
                print(name, await read(server))

    async def test_service_of_the_own_interface(self):
        async def read(server):
            services = PlainServices(RetryBudget(reserve=50.0), timeout_s=5.0)
            await services.start()
            services.follow([listed(server)], availability_zone="z1")
            try:
                call = Call("POST", "/x", {}, b"")
                return await services.send("labels", call, repeatable=False)
            finally:
                await services.stop()

        with RawServer(RawAnswer((head(),))) as server:
            assert (await read(server)).body == BODY
        for name, odd in HEADS.items():
            server = RawServer(RawAnswer((odd,)))
            with server, pytest.raises(ServiceLostError):
                print(name, await read(server))


class TestProcess:
    @pytest.mark.parametrize("path", [STREAM, FINAL_STREAM, SAFE, ONCE])
    @pytest.mark.parametrize(
        "name",
        [
            "status_000",
            "status_101",
            "status_600",
            "blank_in_a_name",
            "control_byte_in_a_name",
            "control_byte_in_a_value",
            "DEL_in_a_value",
            "unknown_coding",
        ],
    )
    async def test_caller_gets_an_improper_answer_or_none(self, tmp_path, name, path):
        """Where a call may be repeated it is sent again; else it may have run."""
        body = STREAM_EVENTS if is_stream(path) else BODY
        odd = RawAnswer((improper_heads(body=body)[name],))
        asked = []

        def choose(request):
            if request.split(b" ")[1] != path.encode():
                return RawAnswer((head(b"HTTP/1.1 404 X"),))
            asked.append(request)
            return odd if len(asked) == 1 else RawAnswer((head(body=body),))

        site = RawSite(tmp_path)
        try:
            await site.start()
            with RawServer(choose=choose) as one, RawServer(choose=choose) as other:
                await site.list_servers(path, [one.address, other.address])
                status, got = await site.call(path)
        finally:
            await site.stop()
        if path in (STREAM, SAFE):
            assert (status, got, len(asked)) == (200, body, 2)
        else:
            assert (status, len(asked)) == (502, 1)
            assert json.loads(got)["ran"] == "maybe"
