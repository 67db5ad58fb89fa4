# SPDX-License-Identifier: MIT
"""Servers that stop in the middle of an answer's head and close the connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import aiohttp
import pytest

from router_fakes import send_to
from routing_samples import plain_server, runner
from test_instances import entry
from test_platform_process import ID, Site
from test_platform_wire import CONFIG
from violethatch._connection_choice import ConnectionChoice
from violethatch._router_metrics import RouterMetrics
from violethatch.errors import TableUnavailableError
from violethatch.forwarding import ForwardClient
from violethatch.forwarding._wire import ForwardedRequest
from violethatch.layers import LayerRange
from violethatch.platform._runners import Runners
from violethatch.platform._sessions import make_session
from violethatch.platform._store import Store
from violethatch.ports import AnswerLostError as WriteLostError
from violethatch.router_settings import StoreSection
from violethatch.upstream import AnswerLostError, OrderOutcome, ReachOutcome


SIGNED = b"Violethatch-Attempt-Id: c1\r\nViolethatch-Response-Signature: s\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 5\r\n"
#: Whole heads.  What is sent of one lacks its last byte at least.
HEADS = {
    "length_last": OK + SIGNED + LENGTH + b"\r\n",
    "length_first": OK + LENGTH + SIGNED + b"\r\n",
    "empty": OK + b"Content-Length: 0\r\n" + SIGNED + b"\r\n",
    "chunked": OK + SIGNED + b"Transfer-Encoding: chunked\r\n\r\n",
    "chunked_first": OK + b"Transfer-Encoding: chunked\r\n" + SIGNED + b"\r\n",
    "no_length": OK + SIGNED + b"Connection: close\r\n\r\n",
    "bare_line_feeds": (OK + SIGNED + LENGTH + b"\r\n").replace(b"\r\n", b"\n"),
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    + OK
    + SIGNED
    + LENGTH
    + b"\r\n",
    "no_content": b"HTTP/1.1 204 No Content\r\n" + SIGNED + b"\r\n",
}
WHOLE = OK + SIGNED + LENGTH + b"\r\nwhole"
METHODS = ("GET", "POST", "HEAD")
SOON_S = 5.0


class CuttingServer:
    """Answers with a part of a head, then closes.

    Args:
        answer: The part.
        is_reset: Whether the connection is reset.
        first_bytes: How much of the part is written by itself.
        whole_answers: How many whole answers come first on each connection.
    """

    def __init__(self, answer, *, is_reset=False, first_bytes=0, whole_answers=0):
        self.answer = answer
        self.is_reset = is_reset
        self.first_bytes = first_bytes
        self.whole_answers = whole_answers
        self.requests = 0
        self._server = None

    async def start(self):
        """Start to listen; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self):
        """Listen no more."""
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            for _ in range(self.whole_answers):
                await self._read_request(reader)
                writer.write(WHOLE)
                await writer.drain()
            await self._read_request(reader)
            self.requests += 1
            if self.first_bytes:
                writer.write(self.answer[: self.first_bytes])
                await writer.drain()
                await asyncio.sleep(0.001)
            writer.write(self.answer[self.first_bytes :])
            await writer.drain()
        if self.is_reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            await asyncio.sleep(0.001)  # what was written arrives before the reset
        writer.close()

    async def _read_request(self, reader):
        """Read a request whole."""
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        _, has_length, rest = head.partition(b"content-length:")
        if has_length:
            await reader.readexactly(int(rest.split(b"\r\n")[0]))


@contextlib.asynccontextmanager
async def cutting(answer, **options):
    """Provide a server and its address."""
    server = CuttingServer(answer, **options)
    address = await server.start()
    try:
        yield server, address
    finally:
        await server.stop()


@pytest.fixture
async def sessions():
    """Provide kept and fresh connections."""
    async with (
        make_session(is_kept=True) as kept,
        make_session(is_kept=False) as fresh,
    ):
        yield kept, fresh


def cuts(head):
    """Return the parts of a head that lack its last byte at least."""
    return [head[:length] for length in range(len(head))]


async def read_all(runners, send):
    """Send a call; return the answer's status and body."""
    answer = await runners.send(send)
    is_whole = False
    try:
        body = b"".join([part async for part in answer.parts()])
        is_whole = True
    finally:
        answer.close(is_whole=is_whole)
    return answer.status, body


class TestSends:
    @pytest.mark.parametrize("method", METHODS)
    @pytest.mark.parametrize("is_reset", [False, True])
    @pytest.mark.parametrize("kind", HEADS)
    async def test_cut_head_is_taken_for_an_answer(
        self, sessions, kind, is_reset, method
    ):
        """Guards against a success for an answer whose head never ended."""
        runners = Runners(*sessions)
        for number, answer in enumerate(cuts(HEADS[kind])):
            options = {
                "is_reset": is_reset,
                "first_bytes": len(answer) // 2 if number % 2 else 0,
                "whole_answers": number % 3 == 2,
            }
            async with cutting(answer, **options) as (server, address):
                target = plain_server("a")._replace(address=address)
                async with asyncio.timeout(SOON_S):
                    for _ in range(server.whole_answers):
                        whole = send_to(target, method="POST", is_new=False)
                        assert await read_all(runners, whole) == (200, b"whole")
                    is_new = not server.whole_answers
                    cut = send_to(target, method=method, is_new=is_new)
                    with pytest.raises(AnswerLostError):
                        await read_all(runners, cut)
                assert server.requests == 1

    @pytest.mark.parametrize("kind", HEADS)
    async def test_cut_head_of_a_report_or_an_order(self, sessions, kind):
        """Neither is done for sure, and a probe shows no answer."""
        runners = Runners(*sessions)
        for answer in cuts(HEADS[kind])[::7]:
            async with cutting(answer) as (_, address), asyncio.timeout(SOON_S):
                target = runner("a", 0, 80)._replace(address=address)
                assert await runners.report(target) is None
                placed = await runners.place(
                    target, LayerRange(0, 40), fence=1, expected_sequence=0
                )
                assert placed.outcome is OrderOutcome.UNKNOWN
                reached = await runners.reach(target, health_path="/health")
                assert reached is ReachOutcome.SILENT

    @pytest.mark.parametrize("kind", HEADS)
    async def test_cut_head_of_the_store_or_another_instance(self, sessions, kind):
        """Nothing is read or written for sure, and no call is served."""
        connections = ConnectionChoice(*sessions, max_idle_s=4.0)
        for answer in cuts(HEADS[kind])[::23]:
            async with cutting(answer) as (_, address), asyncio.timeout(SOON_S):
                settings = StoreSection(address, call_timeout_s=0.3)
                store = Store(settings, connections, RouterMetrics())
                with pytest.raises(TableUnavailableError):
                    await store.read_table("op")
                with pytest.raises((WriteLostError, TableUnavailableError)):
                    await store.write_entries("t", {"k": b"v"}, [])
                peer = entry("i2")._replace(address=address, token="t")
                request = ForwardedRequest(
                    *("c1", "POST", "menu.example", "/print/1", [], b"", None, 0.0),
                    *(2000.0, None, None, 1, 0, "i1"),
                )
                with pytest.raises(AnswerLostError):
                    await ForwardClient(*sessions).send(
                        peer, request, is_repeatable=True, on_silent=lambda: False
                    )


ROUTES = [
    dict(CONFIG["Routes"][0], TrafficSplit=[], Service="model"),
    dict(
        CONFIG["Routes"][0],
        Name="final",
        PathPrefix="/final/",
        TrafficSplit=[],
        Service="model",
        StreamResume=False,
    ),
    dict(
        CONFIG["Routes"][1],
        Name="labels",
        PathPrefix="/labels/",
        Kind="safe",
        TimeoutMs=4000,
    ),
    dict(CONFIG["Routes"][1], TimeoutMs=4000),
]


class TestProcess:
    @pytest.mark.parametrize("is_reset", [False, True])
    @pytest.mark.parametrize(
        ("path", "method"),
        [
            ("/draft/1", "POST"),
            ("/final/1", "POST"),
            ("/labels/1", "GET"),
            ("/labels/1", "HEAD"),
            ("/print/1", "POST"),
        ],
    )
    async def test_caller_gets_a_success_for_a_cut_head(
        self, tmp_path, path, method, is_reset
    ):
        """Guards against a 200 that is framed as whole, on every kind of route."""
        site = Site(tmp_path)
        site.runners = {}
        head = HEADS["length_first"].replace(b"Violethatch-Attempt-Id: c1\r\n", b"")
        statuses = []
        try:
            await site.start(routes=ROUTES)
            for length in (40, len(head) - 1):
                async with cutting(head[:length], is_reset=is_reset) as (server, at):
                    fields = {}
                    if path in ("/labels/1", "/print/1"):
                        fields = {"Service": "labels", "Kind": "", "layers": None}
                    name = f"s-{length}"
                    site.addresses[name] = at
                    site.list_server(name, **fields)
                    status = await self._status(site, path, method, server)
                    statuses.append(status)
                    site.store.remove("servers", name)
        finally:
            await site.stop()
        assert statuses
        assert not any(200 <= status < 300 for status in statuses), statuses

    async def _status(self, site, path, method, server):
        """Return the status of the first call that has reached a server."""
        url = f"http://127.0.0.1:{site.front}{path}"
        async with asyncio.timeout(SOON_S):
            for number in range(1000):
                headers = {
                    "Host": "menu.example",
                    "Authorization": "Token k1",
                    "Violethatch-Deadline-Ms": "3000",
                    ID: f"c{id(server)}-{number}",
                }
                status = 0
                with contextlib.suppress(aiohttp.ClientError):
                    async with site.http.request(
                        method,
                        url,
                        data=b"x" if method == "POST" else None,
                        headers=headers,
                    ) as answer:
                        await answer.read()
                        status = answer.status
                if server.requests:
                    return status
                assert not 200 <= status < 300
                await asyncio.sleep(0.02)
        return 0
