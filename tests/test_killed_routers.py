# SPDX-License-Identifier: MIT
"""Answers that end with their connection, and whose router ends before them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket

from typing import NamedTuple

import pytest

from linked_fleet import RESET, LinkedFleet
from raw_server import RawAnswer, RawServer
from raw_site import ONCE, STREAM, RawSite
from router_fakes import ANSWER_LOST, FakeAnswer
from router_fakes import events as stream_events
from test_callers_listener import Site as ListenerSite
from test_callers_listener import SlowClient, StreamingClient, request_bytes
from test_platform_process import HEADERS, ID, event_ids


HEAD = (
    b"HTTP/1.1 200 OK\r\nViolethatch-Attempt-Id: %ID%\r\n"
    b"Violethatch-Response-Signature: s\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = [stream_events(number) for number in range(1, 9)]
LARGE = bytes(1_000_000)
#: More than the kernel holds for a caller who reads slowly.
HUGE = bytes(16_000_000)
#: Callers begin so long after each other that a kill meets answers at each moment.
CALLERS = 24
CALLER_STEP_S = 0.015
EVENT_GAP_S = 0.03
READ_BYTES_PER_S = 100_000
SLOW_READERS = 100


class Outcome(NamedTuple):
    """What a caller has got.

    Attributes:
        body: The body, as far as it came; None without the head of a success.
        looks_whole: Whether the answer is complete by the protocol.
    """

    body: bytes | None
    looks_whole: bool


def request_on(path, call_id, version):
    """Return a request of an HTTP version, as it is sent."""
    headers = HEADERS | {ID: call_id, "Violethatch-Deadline-Ms": "20000"}
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"POST {path} HTTP/{version}", *lines, "Content-Length: 6"])
    return f"{head}\r\n\r\na menu".encode()


async def call(port, data, *, bytes_per_s=None):
    """Send a request; return what has come when the connection has ended."""
    connection = socket.socket()
    if bytes_per_s is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    answer = bytearray()
    has_ended = False
    with connection, contextlib.suppress(ConnectionError):
        await loop.sock_connect(connection, ("127.0.0.1", port))
        await loop.sock_sendall(connection, data)
        while part := await loop.sock_recv(connection, 10_000):
            answer += part
            if bytes_per_s is not None:
                await asyncio.sleep(len(part) / bytes_per_s)
        has_ended = True
    return _outcome(bytes(answer), has_ended=has_ended)


def _outcome(answer, *, has_ended):
    """Return what an answer's bytes and its connection's end amount to."""
    head, ends_head, body = answer.partition(b"\r\n\r\n")
    if not ends_head or b" 200 " not in head.partition(b"\r\n")[0]:
        return Outcome(None, looks_whole=False)
    if b"chunked" in head.lower():
        is_whole = body.endswith(b"0\r\n\r\n")
        return Outcome(_unchunked(body), looks_whole=is_whole)
    if b"content-length" in head.lower():
        _, _, rest = head.lower().partition(b"content-length:")
        is_whole = len(body) == int(rest.split(b"\r\n")[0])
        return Outcome(body, looks_whole=is_whole)
    return Outcome(body, looks_whole=has_ended)


def _unchunked(body):
    """Return the content of chunks, as far as they are whole."""
    content = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        length = int(size, 16)
        if not length or len(rest) < length + 2:
            break
        content += rest[:length]
        body = rest[length + 2 :]
    return content


def stream_answer(*, is_framed):
    """Return a stream as a runner writes it, with a pause before its end."""
    if is_framed:
        parts = [b"%x\r\n%b\r\n" % (len(event), event) for event in EVENTS]
        return RawAnswer((CHUNKED, *parts, b"0\r\n\r\n"), EVENT_GAP_S)
    return RawAnswer((HEAD + b"\r\n", *EVENTS), EVENT_GAP_S)


class TestKilled:
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    @pytest.mark.parametrize("is_framed", [True, False])
    async def test_stream_of_a_killed_router_looks_complete(
        self, tmp_path, is_framed, version
    ):
        site = RawSite(tmp_path)
        try:
            await site.start()
            with RawServer(stream_answer(is_framed=is_framed)) as server:
                await site.list_servers(STREAM, [server.address])
                calls = []
                for number in range(CALLERS):
                    data = request_on(STREAM, f"c{number}", version)
                    calls.append(asyncio.create_task(call(site.front, data)))
                    await asyncio.sleep(CALLER_STEP_S)
                site.process.kill()
                outcomes = await asyncio.gather(*calls)
        finally:
            await site.stop()
        whole = [one for one in outcomes if one.body == b"".join(EVENTS)]
        cut = [one for one in outcomes if one not in whole and one.body]
        assert whole
        assert cut
        assert not any(one.looks_whole for one in cut)

    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    async def test_plain_answer_of_a_killed_router_looks_complete(
        self, tmp_path, version
    ):
        """Its callers are still reading."""
        site = RawSite(tmp_path)
        try:
            await site.start()
            with RawServer(RawAnswer((HEAD + b"\r\n", HUGE))) as server:
                await site.list_servers(ONCE, [server.address])
                calls = [
                    asyncio.create_task(
                        call(
                            site.front,
                            request_on(ONCE, f"c{number}", version),
                            bytes_per_s=READ_BYTES_PER_S,
                        )
                    )
                    for number in range(5)
                ]
                await asyncio.sleep(1.0)
                site.process.kill()
                outcomes = await asyncio.gather(*calls)
        finally:
            await site.stop()
        cut = [one for one in outcomes if one.body]
        assert cut
        assert not any(one.looks_whole for one in cut)


class TestForwarded:
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    @pytest.mark.parametrize("killed", ["first", "second"])
    async def test_forwarded_stream_of_a_killed_router_looks_complete(
        self, tmp_path, killed, version
    ):
        fleet = LinkedFleet(tmp_path, zones=("heredia", "heredia"))
        for runner in fleet.runners.values():
            runner.is_framed = False
            runner.pause_s = EVENT_GAP_S
        try:
            await fleet.start()
            first, second = fleet.instances
            first.cut(RESET)
            await fleet.call_steadily(first, for_s=1.5)
            calls = []
            for number in range(CALLERS):
                data = request_on(STREAM, f"k{number}", version)
                calls.append(asyncio.create_task(call(first.front, data)))
                await asyncio.sleep(CALLER_STEP_S)
            (first if killed == "first" else second).signal(signal.SIGKILL)
            outcomes = await asyncio.gather(*calls)
        finally:
            await fleet.stop()
        whole = [
            one for one in outcomes if event_ids(one.body or b"") == [*range(1, 9)]
        ]
        assert whole
        assert not any(
            one.looks_whole for one in outcomes if one not in whole and one.body
        )


class TestSoundEnds:
    @pytest.mark.parametrize("is_framed", [True, False])
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    async def test_whole_answer_to_a_slow_reader_is_reset(self, version, is_framed):
        """Also where the process closes its connections meanwhile."""
        site = ListenerSite(0, client=LargeClient(is_framed=is_framed))
        await site.start()
        readers = SLOW_READERS if not is_framed else 10
        data = request_bytes("c1", path="/label/1").replace(
            b"HTTP/1.1", f"HTTP/{version}".encode()
        )
        calls = [
            asyncio.create_task(call(site.port, data, bytes_per_s=READ_BYTES_PER_S))
            for _ in range(readers)
        ]
        await asyncio.sleep(2.0)
        site.stop_in(30.0)
        await site.listener.close()
        outcomes = await asyncio.gather(*calls)
        assert [one for one in outcomes if one.body != LARGE] == []
        assert all(one.looks_whole for one in outcomes)


class LargeClient(SlowClient):
    """Gives large answers."""

    def __init__(self, *, is_framed):
        super().__init__(0.0)
        self.is_framed = is_framed

    async def send(self, send):
        await super().send(send)
        return FakeAnswer(LARGE, is_framed=self.is_framed)


class TestBrokenOff:
    @pytest.mark.parametrize("is_framed", [True, False])
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    async def test_answer_of_a_lost_run_looks_complete(self, version, is_framed):
        client = StreamingClient(0.05, is_framed=is_framed, error=ANSWER_LOST)
        site = ListenerSite(0, client=client)
        await site.start()
        data = request_bytes("c1", path="/draft/1").replace(
            b"HTTP/1.1", f"HTTP/{version}".encode()
        )
        outcome = await call(site.port, data)
        assert not outcome.looks_whole

    @pytest.mark.parametrize("is_framed", [True, False])
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    async def test_answer_cut_by_the_stop_looks_complete(self, version, is_framed):
        site = ListenerSite(0, client=StreamingClient(30.0, is_framed=is_framed))
        await site.start()
        data = request_bytes("c1", path="/draft/1").replace(
            b"HTTP/1.1", f"HTTP/{version}".encode()
        )
        asking = asyncio.create_task(call(site.port, data))
        await asyncio.sleep(random.uniform(0.1, 0.2))
        site.stop_in(0.2)
        await site.listener.close()
        outcome = await asking
        assert not outcome.looks_whole
