# SPDX-License-Identifier: MIT
"""Answers without a length whose connection is reset instead of closed."""

from __future__ import annotations

import asyncio
import contextlib

from collections import Counter

import pytest

from raw_server import ID as CALL_ID
from raw_server import LAST_EVENT_ID, RawAnswer, RawServer, header
from raw_site import ONCE, SAFE, STREAM, RawSite
from router_fakes import events as stream_events
from router_fakes import send_to
from routing_samples import plain_server, runner
from test_instances import entry
from violethatch._connection_choice import ConnectionChoice
from violethatch._relay_http import RelayClient
from violethatch._router_metrics import RouterMetrics
from violethatch._services import Call, PlainServices
from violethatch.errors import ServiceLostError, TableUnavailableError
from violethatch.event_loop import EventLoop
from violethatch.forwarding import ForwardClient
from violethatch.forwarding._wire import ForwardedRequest
from violethatch.layers import LayerRange
from violethatch.peer_reads import PeerLostError
from violethatch.platform._runners import Runners
from violethatch.platform._sessions import make_session
from violethatch.platform._store import Store
from violethatch.ports import AnswerLostError as WriteLostError
from violethatch.retries import RetryBudget
from violethatch.router_settings import StoreSection
from violethatch.upstream import AnswerLostError, OrderOutcome


HEAD = (
    b"HTTP/1.1 200 OK\r\nViolethatch-Attempt-Id: %ID%\r\n"
    b"Violethatch-Response-Signature: s\r\n\r\n"
)
OK = b"HTTP/1.1 200 OK\r\n\r\n"
SMALL = b"a body"
#: More than a client buffers, so that it pauses reading.
LARGE = b"x" * 400_000
#: By its moment, the writes before the reset and the pause after each of them.
RESETS = {
    "at_once": RawAnswer((), 0.0, is_reset=True),
    "within_the_head": RawAnswer((HEAD[:-2],), 0.0, is_reset=True),
    "with_the_head": RawAnswer((HEAD,), 0.0, is_reset=True),
    "after_the_head": RawAnswer((HEAD,), 0.005, is_reset=True),
    "with_the_head_and_body": RawAnswer((HEAD + SMALL,), 0.0, is_reset=True),
    "with_the_last_bytes": RawAnswer((HEAD, SMALL), 0.0, is_reset=True),
    "after_the_last_bytes": RawAnswer((HEAD, SMALL), 0.005, is_reset=True),
}
#: Whole answers of which none may be called cut.
WHOLE_ANSWERS = 1000


@pytest.fixture(params=[EventLoop, asyncio.new_event_loop], ids=["uvloop", "asyncio"])
def loop_runner(request):
    """Provide a runner of coroutines on each event loop."""
    with asyncio.Runner(loop_factory=request.param) as made:
        yield made


@contextlib.asynccontextmanager
async def open_sessions():
    """Provide kept and fresh connections."""
    async with (
        make_session(is_kept=True) as kept,
        make_session(is_kept=False) as fresh,
        asyncio.timeout(60),
    ):
        yield kept, fresh


async def body_of(runners, address, *, is_new, pause_s=0.0):
    """Send a call; return its answer's body."""
    target = plain_server("a")._replace(address=address)
    answer = await runners.send(send_to(target, is_new=is_new))
    parts = []
    try:
        await asyncio.sleep(pause_s)
        async for part in answer.parts():
            parts.append(part)
            await asyncio.sleep(pause_s)
    finally:
        answer.close(is_whole=False)
    return b"".join(parts)


class TestSends:
    @pytest.mark.parametrize("is_new", [True, False])
    @pytest.mark.parametrize("moment", RESETS)
    def test_reset_answer_is_taken_for_whole(self, loop_runner, moment, is_new):
        async def play():
            async with open_sessions() as both:
                for _ in range(20):
                    with (
                        RawServer(RESETS[moment]) as server,
                        pytest.raises(AnswerLostError),
                    ):
                        await body_of(Runners(*both), server.address, is_new=is_new)

        loop_runner.run(play())

    def test_reset_of_a_connection_that_is_read_slowly(self, loop_runner):
        reset = RawAnswer((HEAD, LARGE), 0.0, is_reset=True)

        async def play():
            async with open_sessions() as both:
                for _ in range(5):
                    with RawServer(reset) as server, pytest.raises(AnswerLostError):
                        await body_of(
                            Runners(*both), server.address, is_new=True, pause_s=0.01
                        )

        loop_runner.run(play())

    def test_whole_answer_without_a_length_is_called_cut(self, loop_runner):
        async def play():
            whole = RawAnswer((HEAD + SMALL,))
            in_parts = RawAnswer((HEAD, SMALL))
            async with open_sessions() as both:
                with RawServer(*[whole, in_parts] * (WHOLE_ANSWERS // 2)) as server:
                    for number in range(WHOLE_ANSWERS):
                        body = await body_of(
                            Runners(*both), server.address, is_new=number % 2 == 0
                        )
                        assert body == SMALL
                with RawServer(RawAnswer((HEAD, LARGE))) as server:
                    for _ in range(5):
                        body = await body_of(
                            Runners(*both), server.address, is_new=True, pause_s=0.005
                        )
                        assert body == LARGE

        loop_runner.run(play())


class TestOtherReaders:
    """Bodies that are whole but for the reset: each would be understood."""

    def test_report_and_order(self, loop_runner):
        report = b'{"Sequence":1,"Busy":false,"KvUsed":0,"KvTotal":1}'
        head = b"HTTP/1.1 202 Accepted\r\n\r\n"

        async def play(both):
            runners = Runners(*both)
            with RawServer(RawAnswer((OK + report,), is_reset=True)) as server:
                target = runner("a", 0, 80)._replace(address=server.address)
                assert await runners.report(target) is None
            with RawServer(RawAnswer((head + b"{}",), is_reset=True)) as server:
                target = runner("a", 0, 80)._replace(address=server.address)
                placed = await runners.place(
                    target, LayerRange(0, 40), fence=1, expected_sequence=0
                )
                assert placed.outcome is OrderOutcome.UNKNOWN

        loop_runner.run(repeated(play))

    def test_store(self, loop_runner):
        rows = b'{"Rows":[],"ver":7,"now_ms":1.0}'

        async def play(both):
            with RawServer(RawAnswer((OK + rows,), is_reset=True)) as server:
                store = Store(
                    StoreSection(server.address, call_timeout_s=1.0),
                    ConnectionChoice(*both, max_idle_s=4.0),
                    RouterMetrics(),
                )
                with pytest.raises(TableUnavailableError):
                    await store.read_table("op")
                with pytest.raises((WriteLostError, TableUnavailableError)):
                    await store.write_entries("t", {"k": b"v"}, [])

        loop_runner.run(repeated(play))

    def test_other_instances(self, loop_runner):
        async def play(both):
            with RawServer(RawAnswer((OK,), is_reset=True)) as server:
                peer = entry("i2")._replace(address=server.address, token="t")
                request = ForwardedRequest(
                    *("c1", "POST", "menu.example", "/print/1", [], b"", None, 0.0),
                    *(2000.0, None, None, 1, 0, "i1"),
                )
                with pytest.raises(AnswerLostError):
                    await ForwardClient(*both).send(
                        peer, request, is_repeatable=True, on_silent=lambda: False
                    )
                connections = ConnectionChoice(*both, max_idle_s=4.0)
                with pytest.raises(PeerLostError):
                    await RelayClient(connections).changes(
                        peer, "op", after=1, known_s=0.0, wait_s=0.2, margin_s=0.3
                    )

        loop_runner.run(repeated(play))


async def repeated(play):
    """Play with kept and fresh connections, several times."""
    async with open_sessions() as both:
        for _ in range(10):
            await play(both)


class TestProcess:
    @pytest.mark.parametrize(
        ("path", "method", "body"),
        [
            (STREAM, "POST", stream_events(*range(1, 9))),
            (SAFE, "GET", SMALL),
            (ONCE, "POST", SMALL),
        ],
    )
    async def test_caller_gets_a_reset_answer_as_whole(
        self, tmp_path, path, method, body
    ):
        """Only a call that may be repeated is sent again."""
        sends = Counter()

        def choose(head):
            call_id = header(head, CALL_ID)
            sends[call_id] += 1
            if sends[call_id] == 1:
                cut = stream_events(*range(1, 8)) if path == STREAM else SMALL[:-1]
                return RawAnswer((HEAD + cut,), is_reset=True)
            last = int(header(head, LAST_EVENT_ID) or 0)
            return RawAnswer(
                (HEAD + (stream_events(*range(last + 1, 9)) if last else body),)
            )

        site = RawSite(tmp_path)
        try:
            await site.start()
            with RawServer(choose=choose) as one, RawServer(choose=choose) as other:
                await site.list_servers(path, [one.address, other.address])
                status, got = await site.call(path, method=method)
        finally:
            await site.stop()
        if path == ONCE:
            assert (status, sends[b"c1"]) == (502, 1)
        else:
            assert (status, got, sends[b"c1"]) == (200, body, 2)


class TestOwnServices:
    """The services behind `violethatch serve`."""

    @pytest.mark.parametrize("is_reset", [True, False])
    def test_reset_answer_of_a_service(self, loop_runner, is_reset):
        async def play():
            answer = RawAnswer((HEAD + SMALL,), is_reset=is_reset)
            with RawServer(answer) as server:
                services = PlainServices(RetryBudget(reserve=50.0), timeout_s=5.0)
                await services.start()
                services.follow([listed(server)], availability_zone="z1")
                call = Call("POST", "/x", {}, b"")
                try:
                    if is_reset:
                        with pytest.raises(ServiceLostError):
                            await services.send("labels", call, repeatable=False)
                    else:
                        got = await services.send("labels", call, repeatable=False)
                        assert got.body == SMALL
                finally:
                    await services.stop()

        loop_runner.run(play())


def listed(server):
    """Return a server's entry in the instance list."""
    return {
        "id": "a",
        "role": "service",
        "service": "labels",
        "address": server.address,
        "availability_zone": "z1",
        "leaving": False,
    }
