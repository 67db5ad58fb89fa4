# SPDX-License-Identifier: MIT
"""What the callers' listener does in a process's last moments."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket

from types import SimpleNamespace

import aiohttp
import pytest

from own_ports import free_ports
from router_fakes import ANSWER_LOST, FakeAnswer, FakeClient, settings
from router_fakes import events as stream_events
from routing_samples import call_route, desired_state, plain_server, runner
from signaling_servers import PLAIN
from test_platform_process import HEADERS, ID
from violethatch import clocks, events
from violethatch._router import Router
from violethatch.load_sums import EMPTY_LOAD
from violethatch.platform._listener import CallersListener
from violethatch.platform._responder import CallerResponder, _Unframed


#: A stream that may be silent for longer than any test takes.
STREAM = call_route(timeout_s=60.0, gap_target_s=30.0, target_latency_s=30.0)


#: Between the events of a stream, in seconds.
EVENT_GAP_S = 0.02


class SlowClient(FakeClient):
    """Runs each call for a while; notes those that are broken off."""

    def __init__(self, run_s):
        super().__init__()
        self.run_s = run_s
        self.broken_off = []

    async def send(self, send):
        self.sends.append(send)
        try:
            await asyncio.sleep(self.run_s)
        except asyncio.CancelledError:
            self.broken_off.append(send.call.id)
            raise
        return FakeAnswer(b"done")


class LingeringClient(SlowClient):
    """Takes as long again to end a call that is broken off."""

    async def send(self, send):
        try:
            return await super().send(send)
        finally:
            await asyncio.sleep(self.run_s)


class StreamingClient(SlowClient):
    """Gives the first events of a stream at once, and others for a while.

    Args:
        is_framed: Whether the end of an answer is told from a cut.
        error: What a run ends with, if it isn't whole.
    """

    def __init__(self, run_s, *, is_framed=True, error=None):
        super().__init__(run_s)
        self.error = error
        self.is_framed = is_framed

    async def send(self, send):
        self.sends.append(send)
        count = round(self.run_s / EVENT_GAP_S)
        script = [stream_events(1, 2)]
        for number in range(3, 3 + count):
            script += [EVENT_GAP_S, stream_events(number)]
        if self.error is not None:
            script.append(self.error)
        return FakeAnswer(*script, is_framed=self.is_framed)


class Site:
    """A listener in front of one plain server and one model runner."""

    def __init__(self, run_s, *, client=None):
        self.client = client or SlowClient(run_s)
        made = settings()
        self.router = Router(
            made, client=self.client, decoder=None, rng=random.Random(1)
        )
        self.router.desired = desired_state(PLAIN, STREAM)
        servers = [plain_server("s1"), runner("r1", 0, 80)]
        self.router.routing.backends.apply_changes(servers, [], now_s=0.0)
        self.router.freshness.proven(clocks.now_s())
        self.listener = CallersListener(self.router)
        (self.port,) = free_ports(1)

    async def start(self):
        await self.listener.start(f"127.0.0.1:{self.port}")

    async def ask(self, call_id, session):
        """Send a call; return its status, or None if no connection came about."""
        url = f"http://127.0.0.1:{self.port}/label/1"
        headers = HEADERS | {ID: call_id, "Authorization": "Token key-1"}
        try:
            async with session.post(url, data=b"a label", headers=headers) as answer:
                await answer.read()
                return answer.status
        except aiohttp.ClientConnectorError:
            return None

    async def ask_for_bytes(self, call_id, *, path="/draft/1"):
        """Send a call on a connection of its own; return all bytes of its answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request_bytes(call_id, path=path, Connection="close"))
        try:
            return await reader.read()
        finally:
            writer.close()

    def stop_in(self, left_s):
        """Ask for the stop, so long before the process has to leave."""
        plan = self.router.stop_plan
        plan.request_stop(now_s=clocks.now_s())
        plan.grace_s += left_s - plan.left_s(now_s=clocks.now_s())

    def count(self, outcome):
        """Return how many requests ended so."""
        return self.router.metrics.requests.values.get({"outcome": outcome}, 0)


def request_bytes(call_id, *, path, **headers):
    """Return a request as it is sent."""
    headers |= HEADERS | {ID: call_id, "Authorization": "Token key-1"}
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"POST {path} HTTP/1.1", *lines, "Content-Length: 6"])
    return f"{head}\r\n\r\na menu".encode()


@pytest.fixture
def lines(monkeypatch):
    """Provide the lines that are logged, with their event."""
    logged = []
    monkeypatch.setattr(
        events, "log", lambda event, **fields: logged.append((event, fields))
    )
    return logged


def lines_of(lines, *wanted):
    """Return the fields of some events' lines."""
    return [fields for event, fields in lines if event in wanted]


@pytest.fixture
async def session():
    """Provide a caller whose connections are kept."""
    async with aiohttp.ClientSession() as made:
        yield made


async def test_what_is_under_way_ends_before_the_close(session):
    """Also where it takes longer than connections get to close."""
    site = Site(run_s=0.4)
    await site.start()
    asking = asyncio.create_task(site.ask("c1", session))
    await asyncio.sleep(0.1)
    await site.listener.close()
    assert await asking == 200
    assert site.client.broken_off == []


async def test_new_connection_while_it_closes(session):
    """It is not taken, so that nothing of it is passed on and then cut.

    A request that came on a new connection 14 ms before the process had closed was
    passed on, and its connection ended without an answer.
    """
    site = Site(run_s=0.3)
    await site.start()
    asking = asyncio.create_task(site.ask("c1", session))
    await asyncio.sleep(0.05)
    closing = asyncio.create_task(site.listener.close())
    await asyncio.sleep(0.02)
    status = await site.ask("c2", session)
    await closing
    assert status in (None, 503)
    assert [send.call.id for send in site.client.sends] == ["c1"]
    assert site.router.in_flight == 0
    assert await asking == 200


async def test_request_on_an_open_connection_while_it_closes(session):
    """It is refused as not run, and passed on to nobody."""
    site = Site(run_s=0.1)
    await site.start()
    assert await site.ask("c1", session) == 200
    site.client.run_s = 0.4
    async with aiohttp.ClientSession() as other:
        asking = asyncio.create_task(site.ask("c2", other))
        await asyncio.sleep(0.05)
        closing = asyncio.create_task(site.listener.close())
        await asyncio.sleep(0.02)
        assert await site.ask("c3", session) in (None, 503)
        await closing
        assert await asking == 200
    assert [send.call.id for send in site.client.sends] == ["c1", "c2"]


async def test_close_waits_no_longer_than_the_grace(session):
    """What can't end in time is cut, and the process leaves before it is killed."""
    site = Site(run_s=30.0)
    await site.start()
    asking = asyncio.create_task(site.ask("c1", session))
    await asyncio.sleep(0.05)
    site.router.stop_plan.grace_s = 1.0
    site.router.stop_plan.request_stop(now_s=clocks.now_s())
    async with asyncio.timeout(2):
        await site.listener.close()
        assert await asking == 502


async def test_unframed_answer_of_a_lost_run_does_not_look_whole():
    """Its connection ended as after a whole answer: the caller took a part for all."""
    client = StreamingClient(0.05, is_framed=False, error=ANSWER_LOST)
    site = Site(0, client=client)
    await site.start()
    with pytest.raises(ConnectionResetError):
        await site.ask_for_bytes("c1")


async def test_connection_is_closed_unread_where_others_have_room():
    """The caller's next try meets another instance; nothing is logged as refused."""
    site = Site(0.05)
    await site.start()
    site.router.in_flight = site.router.settings.limits.most_requests
    loads = site.router.routing.loads
    loads.update_others(EMPTY_LOAD._replace(instances=7), now_s=clocks.now_s())
    with contextlib.suppress(ConnectionError):
        assert await site.ask_for_bytes("c1", path="/label/1") == b""
    assert not site.listener.has_room()
    loads.update_others(EMPTY_LOAD, now_s=clocks.now_s())
    assert b"503" in await site.ask_for_bytes("c2", path="/label/1")
    assert site.listener.has_room()


async def test_unframed_answer_whose_connection_is_gone():
    """Its socket was closed and could not be set: the error hid what had ended it."""
    site = Site(0.0)
    await site.start()
    _, writer = await asyncio.open_connection("127.0.0.1", site.port)
    responder = CallerResponder(
        SimpleNamespace(transport=writer.transport), is_last=False
    )
    responder.response = _Unframed()
    responder.abort()
    await asyncio.sleep(0.02)
    responder.abort()


class TestAnswerCutByStop:
    """What is still under way when the process has to leave."""

    async def test_cut_stream_is_not_blamed_on_its_caller(self, lines):
        """The instance closed, 7.3 s after SIGTERM; its line said `caller_left`."""
        site = Site(0, client=StreamingClient(30.0))
        await site.start()
        asking = asyncio.create_task(site.ask_for_bytes("c1"))
        await asyncio.sleep(0.1)
        site.stop_in(0.2)
        await site.listener.close()
        answer = await asking
        assert lines_of(lines, events.CALLER_LEFT) == []
        (cut,) = lines_of(lines, events.ANSWER_CUT)
        assert cut["request_id"] == "c1"
        assert cut["reason"] == "stopping"
        assert cut["is_begun"] is True
        assert 0.2 <= cut["age_s"] < 1.0
        assert site.count("cut") == 1
        assert site.count("caller_left") == 0
        assert stream_events(1, 2) in answer
        assert not answer.endswith(b"0\r\n\r\n")

    async def test_caller_who_leaves_while_it_stops(self, lines):
        """Whoever leaves before the instance closes is named as before."""
        site = Site(0, client=StreamingClient(30.0))
        await site.start()
        asking = asyncio.create_task(site.ask_for_bytes("c1"))
        await asyncio.sleep(0.1)
        site.stop_in(0.3)
        closing = asyncio.create_task(site.listener.close())
        await asyncio.sleep(0.1)
        asking.cancel()
        await closing
        assert lines_of(lines, events.ANSWER_CUT) == []
        assert [one["request_id"] for one in lines_of(lines, events.CALLER_LEFT)] == [
            "c1"
        ]

    async def test_request_without_an_answer_gets_one(self, lines, session):
        """It got a bare close; it may have run, so that no 503 is true."""
        site = Site(30.0)
        await site.start()
        asking = asyncio.create_task(site.ask("c1", session))
        await asyncio.sleep(0.1)
        site.stop_in(0.2)
        await site.listener.close()
        assert await asking == 502
        assert site.client.broken_off == ["c1"]
        (cut,) = lines_of(lines, events.ANSWER_CUT)
        assert cut["request_id"] == "c1"
        assert cut["is_begun"] is False
        assert cut["ran"] == "maybe"

    async def test_answer_without_a_length_does_not_look_whole(self):
        """It ends with its connection: only a reset tells the cut from the end."""
        client = StreamingClient(30.0, is_framed=False)
        site = Site(0, client=client)
        await site.start()
        asking = asyncio.create_task(site.ask_for_bytes("c1"))
        await asyncio.sleep(0.1)
        site.stop_in(0.2)
        await site.listener.close()
        with pytest.raises(ConnectionResetError):
            await asking

    async def test_request_that_is_slow_to_end(self, lines, session):
        """Cancelled a second time, it was blamed on its caller after all."""
        site = Site(0, client=LingeringClient(30.0))
        await site.start()
        asking = asyncio.create_task(site.ask("c1", session))
        await asyncio.sleep(0.1)
        site.stop_in(0.1)
        await site.listener.close()
        assert await asking == 502
        assert lines_of(lines, events.CALLER_LEFT) == []
        (cut,) = lines_of(lines, events.ANSWER_CUT)
        assert (cut["request_id"], cut["ran"]) == ("c1", "maybe")


class TestIdleConnectionAtTheClose:
    """Kept connections on which no request is under way."""

    @pytest.mark.parametrize("after_s", [0.0, 0.005, 0.03, 0.06, 0.09])
    async def test_request_is_not_taken_and_dropped(self, after_s):
        """Its bytes were taken and dropped for 0.1 s, and the connection then closed.

        It gets an answer, or finds the connection closed when it is sent.
        """
        site = Site(0.0)
        await site.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(request_bytes("c1", path="/label/1"))
        assert b"200" in await reader.readline()
        await asyncio.sleep(0.05)
        reader._buffer.clear()
        closing = asyncio.create_task(site.listener.close())
        await asyncio.sleep(after_s)
        was_closed = reader.at_eof()
        if not was_closed:
            writer.write(request_bytes("c2", path="/label/1"))
            assert b"503" in await reader.readline()
        await closing
        writer.close()

    @pytest.mark.parametrize("is_kept", [True, False])
    async def test_request_that_waits_to_be_read_is_answered(self, is_kept):
        """An instance that was held up had not read it when it closed."""
        site = Site(0.0)
        await site.start()
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            if is_kept:
                caller.connect(("127.0.0.1", site.port))
                caller.sendall(request_bytes("c1", path="/label/1"))
                assert b" 200 " in await loop.run_in_executor(None, caller.recv, 4096)
                await asyncio.sleep(0.05)
            else:
                caller.connect(("127.0.0.1", site.port))
            caller.sendall(request_bytes("c2", path="/label/1"))
            await site.listener.close()
            assert b" 503 " in await loop.run_in_executor(None, caller.recv, 4096)


class TestStreamsThatCannotEnd:
    """Streams that are asked for while the process stops."""

    @pytest.mark.parametrize(("left_s", "status"), [(1.5, b" 503 "), (4.0, b" 200 ")])
    async def test_stream_that_likely_cannot_end(self, left_s, status):
        """It was begun and cut; refused at once, its caller is served elsewhere."""
        site = Site(0, client=StreamingClient(1.8))
        await site.start()
        earlier = [site.ask_for_bytes(f"c{number}") for number in range(3)]
        assert all(b" 200 " in one for one in await asyncio.gather(*earlier))
        site.router.freshness.proven(clocks.now_s())
        site.stop_in(left_s)
        answer = await site.ask_for_bytes("late")
        assert status in answer.splitlines()[0] + b" "
        sent = [send.call.id for send in site.client.sends]
        assert ("late" in sent) == (status == b" 200 ")
        if status == b" 503 ":
            assert b"Retry-After: 0.1" in answer
            assert b"are left" in answer


class TestEndsWithoutARequest:
    """Ends of connections on which no request has come whole."""

    async def test_caller_who_leaves_within_its_body(self, lines):
        """It left no line, as if it had never come."""
        site = Site(0.0)
        await site.start()
        _, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(request_bytes("c1", path="/label/1")[:-3])
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)
        (left,) = lines_of(lines, events.CALLER_LEFT)
        assert left["request_id"] == "c1"
        assert site.count("caller_left") == 1

    @pytest.mark.parametrize(
        "head",
        [b"POST /label/1 HTTP/9\r\n\r\n", b"GET / HTTP/1.1\r\nBig: %s\r\n\r\n"],
    )
    async def test_head_that_is_refused_has_a_line(self, lines, head):
        """It got 400 without a line or a count."""
        site = Site(0.0)
        await site.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(head % (b"x" * 20_000) if b"%s" in head else head)
        assert b" 400 " in await reader.readline()
        writer.close()
        (refused,) = lines_of(lines, events.REQUEST_REFUSED)
        assert (refused["code"], refused["ran"]) == (1101, "no")
        assert refused["reason"]
        assert site.count("1101") == 1

    async def test_head_that_is_late_has_a_line(self, lines):
        """It names the limit; nothing was taken."""
        site = Site(0.0)
        limits = site.router.desired.limits._replace(header_timeout_s=0.1)
        site.router.desired = site.router.desired._replace(limits=limits)
        await site.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(b"POST /label/1 HTTP/1.1\r\n")
        assert await reader.read() == b""
        writer.close()
        assert lines_of(lines, events.HEAD_LATE) == [{"limit_s": 0.1}]


class TestUnforeseenError:
    """An error in this program while a request is served."""

    @pytest.mark.parametrize("is_begun", [False, True])
    async def test_it_is_counted(self, lines, is_begun):
        """It had a line, and was missing in the requests' outcomes."""
        client = StreamingClient(0.05, error=RuntimeError("unforeseen"))
        site = Site(0, client=client)
        if not is_begun:
            client.send = None
        await site.start()
        answer = await site.ask_for_bytes("c1")
        assert (b" 200 " if is_begun else b" 500 ") in answer
        assert not answer.endswith(b"0\r\n\r\n")
        (failed,) = lines_of(lines, events.REQUEST_FAILED)
        assert (failed["request_id"], failed["code"]) == ("c1", 1000)
        assert failed["ran"] == "maybe"
        assert site.count("1000") == 1


async def test_head_that_began_late_on_an_idle_connection(session):
    """The idle limit closed the connection, although a request was on its way."""
    site = Site(0.0)
    limits = site.router.desired.limits._replace(idle_timeout_s=-0.8)
    site.router.desired = site.router.desired._replace(limits=limits)
    await site.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(request_bytes("c1", path="/label/1"))
    assert b" 200 " in await reader.readline()
    await asyncio.sleep(0.1)
    second = request_bytes("c2", path="/label/1")
    writer.write(second[:40])
    await asyncio.sleep(0.3)
    writer.write(second[40:])
    async with asyncio.timeout(1):
        rest = await reader.readuntil(b" 200 ")
    assert rest
    writer.close()
