# SPDX-License-Identifier: MIT
"""What requests hold of a process's memory, and that all of it is given back."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import random
import weakref

import aiohttp
import pytest

from large_bodies import (
    BODY_BYTES,
    MEMORY_MB,
    PRINT_ROUTE,
    LargeBodiesSite,
    resident_mb,
)
from router_fakes import (
    FakeAnswer,
    FakeClient,
    FakeResponder,
    admitted,
    broken_connection,
    events,
    make_call,
    make_routing,
)
from routing_samples import desired_state, plain_route, plain_server, runner
from violethatch import _plain_answers
from violethatch._plain_calls import PlainCall
from violethatch.errors import VioletHatchError
from violethatch.streams import StreamCall
from violethatch.upstream import NotSentError


#: The part of a process's limit that its peak stays below.
MARGIN = 0.9


@pytest.fixture
async def site(tmp_path):
    """Provide a site with one router that is not started yet."""
    made = LargeBodiesSite(tmp_path, routers=1, work_s=0.5)
    yield made
    await made.stop()


async def in_use(site):
    """Return the memory that a router's requests hold, in bytes."""
    url = f"http://127.0.0.1:{site.metrics_ports[0]}/state"
    async with site.http.get(url) as answer:
        state = json.loads(await answer.read())
    return state["request_memory"]["in_use_bytes"]


async def released(site):
    """Wait until a router's requests hold nothing."""
    async with asyncio.timeout(5):
        while await in_use(site):
            await asyncio.sleep(0.02)


class TestLoad:
    @pytest.mark.parametrize("is_chunked", [False, True])
    async def test_large_bodies_take_no_router_over_its_memory(
        self, tmp_path, is_chunked
    ):
        """Ten clients with the largest bodies ended routers, and what was under way."""
        site = LargeBodiesSite(tmp_path, work_s=1.0, answer_bytes=BODY_BYTES)
        try:
            await site.start()
            await site.play(clients=40, for_s=6.0, chunked=is_chunked)
            tally = site.tally
            assert tally.lost == tally.failed == tally.small_failed == []
            assert tally.served > 0
            assert tally.refused > 0
            assert max(site.peaks_mb) < MARGIN * MEMORY_MB
            assert all(process.returncode is None for process in site.processes)
            assert max(tally.small_s) < PRINT_ROUTE["TargetLatencyMs"] / 1000
        finally:
            await site.stop()

    async def test_finished_requests_keep_no_memory(self, site):
        """Bodies stayed until a garbage collection, five of them for each client."""
        await site.start()
        rest_mb = resident_mb(site.processes[0].pid)
        await site.play(clients=2, for_s=4.0)
        assert site.tally.served >= 8
        assert max(site.peaks_mb) - rest_mb < 2 * 2 * BODY_BYTES / 1_000_000


class TestRefusal:
    async def test_body_without_room_is_refused_at_once(self, site):
        """It has not run, says when to come back, and its connection goes on."""
        await site.start(**{"Limits.MemoryMb": "70"})
        async with aiohttp.ClientSession() as http:
            url = f"http://127.0.0.1:{site.fronts[0]}/print/1"
            first = asyncio.create_task(self.post(http, url, site.headers("a"), 1))
            await asyncio.sleep(0.2)
            status, headers = await self.post(http, url, site.headers("b"), 1)
            assert status == 503
            assert 0.0 < float(headers["Retry-After"]) < 2.0
            status, _ = await self.post(http, url, site.headers("c"), 1000)
            assert status == 200
            assert (await first)[0] == 200
        seen = [call_id for server in site.servers for call_id in server.seen]
        assert sorted(seen) == ["a", "c"]

    async def post(self, http, url, headers, divisor):
        """Send a body of a part of the largest size; return status and headers."""
        body = b"x" * (BODY_BYTES // divisor)
        async with http.post(url, data=body, headers=headers) as answer:
            await answer.read()
            return answer.status, answer.headers

    async def test_caller_that_waits_to_be_asked_for_its_body(self, site):
        """It is asked once there is room, and is not asked without any."""
        await site.start(**{"Limits.MemoryMb": "70"})
        heads = [await self.expect(site, f"e{n}") for n in range(2)]
        assert heads[0][0].startswith(b"HTTP/1.1 100")
        assert heads[1][0].startswith(b"HTTP/1.1 503")
        assert b"connection: close" in heads[1][0].lower()
        for _, writer in heads:
            writer.close()
        await released(site)

    async def expect(self, site, call_id):
        """Send a head that expects an answer; return what comes, and the writer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", site.fronts[0])
        lines = [
            "POST /print/1 HTTP/1.1",
            *(f"{name}: {value}" for name, value in site.headers(call_id).items()),
            f"Content-Length: {BODY_BYTES}",
            "Expect: 100-continue",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        async with asyncio.timeout(5):
            return await reader.readuntil(b"\r\n\r\n"), writer


class TestRelease:
    @pytest.mark.parametrize(
        "end",
        ["served", "too_large", "late", "left_in_body", "left_in_work", "unknown"],
    )
    async def test_memory_is_given_back_however_a_request_ends(self, site, end):
        await site.start()
        await getattr(self, end)(site)
        await released(site)

    async def request(self, site, *, path="/print/1", length=BODY_BYTES, sent=None):
        """Send a request, or the first part of one; return the connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", site.fronts[0])
        headers = site.headers("one") | {"Violethatch-Deadline-Ms": "700"}
        lines = [
            f"POST {path} HTTP/1.1",
            *(f"{name}: {value}" for name, value in headers.items()),
            f"Content-Length: {length}",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        writer.write(b"x" * (length if sent is None else sent))
        return reader, writer

    async def status(self, reader):
        """Return an answer's status."""
        async with asyncio.timeout(5):
            return int((await reader.readuntil(b"\r\n")).split()[1])

    async def served(self, site):
        reader, writer = await self.request(site)
        assert await self.status(reader) == 200
        writer.close()

    async def too_large(self, site):
        reader, writer = await self.request(site, length=BODY_BYTES + 1, sent=0)
        assert await self.status(reader) == 413
        writer.close()

    async def late(self, site):
        reader, writer = await self.request(site, sent=1000)
        assert await in_use(site) > BODY_BYTES
        assert await self.status(reader) == 408
        writer.close()

    async def left_in_body(self, site):
        _, writer = await self.request(site, sent=1000)
        await asyncio.sleep(0.1)
        assert await in_use(site) > BODY_BYTES
        writer.close()

    async def left_in_work(self, site):
        _, writer = await self.request(site)
        async with asyncio.timeout(2):
            while not any(server.seen for server in site.servers):
                await asyncio.sleep(0.01)
        assert await in_use(site) > BODY_BYTES
        writer.transport.abort()

    async def unknown(self, site):
        reader, writer = await self.request(site, path="/none/1")
        assert await self.status(reader) == 404
        writer.close()


@contextlib.contextmanager
def without_collections():
    """Collect garbage once, and not again before the end of the block."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def admit(call):
    """Return a plain call as a desired state admits it."""
    state = desired_state(plain_route(max_attempts=2))
    return state.admit(host=call.host, path=call.target, key="key-1", call_id=call.id)


class BreakingAnswer(FakeAnswer):
    """Breaks off, by an error that nobody keeps."""

    async def parts(self):
        yield b"part"
        raise broken_connection()


async def unreachable():
    """Fail to connect, with an error that nobody keeps."""
    raise NotSentError("refused")


@pytest.fixture
def rng():
    """Provide the source of random choices."""
    return random.Random(1)


class TestPlainCall:
    @pytest.mark.parametrize(
        "answers",
        [
            [FakeAnswer(b"whole")],
            [BreakingAnswer()] * 2,
            [unreachable] * 4,
            [FakeAnswer(b"late", 9.0)],
        ],
        ids=["served", "lost", "unreachable", "late"],
    )
    async def test_finished_call_is_freed_without_a_collection(self, answers, rng):
        """Its timer's callback held it, and its body, until the next collection."""
        client = FakeClient(*answers)
        routing = make_routing(
            client, plain_server("a"), plain_server("b"), plain_server("c"), rng=rng
        )
        call = make_call(path="/label/1", timeout_s=0.3)
        plain = PlainCall(routing, call, admit(call))
        seen = weakref.ref(plain)
        with without_collections():
            try:
                await plain.serve(FakeResponder())
            except VioletHatchError as error:
                error.__traceback__ = None
            del plain
            for _ in range(20):
                await asyncio.sleep(0)
            client.sends.clear()
            assert seen() is None
        assert routing.memory.in_use_bytes == 0

    async def test_answer_beyond_the_memory_is_passed_on_as_it_comes(self, rng):
        parts = [bytes([number]) * 100_000 for number in range(30)]
        routing = make_routing(
            FakeClient(FakeAnswer(*parts)), plain_server("a"), rng=rng
        )
        routing.memory.total_bytes = 1_000_000
        call = make_call(path="/label/1")
        responder = FakeResponder()
        assert await PlainCall(routing, call, admit(call)).serve(responder) == 200
        assert (responder.body, responder.end) == (b"".join(parts), "whole")
        assert routing.memory.peak_bytes <= 1_000_000
        assert routing.memory.in_use_bytes == 0

    async def test_answer_that_breaks_off_while_it_is_passed_on(self, rng, monkeypatch):
        """It can't be taken for whole, and its server counts as failing."""
        monkeypatch.setattr(_plain_answers, "_MAX_BUFFERED_BYTES", 1000)
        answer = FakeAnswer(b"x" * 2000, b"y" * 2000, broken_connection())
        routing = make_routing(FakeClient(answer), plain_server("a"), rng=rng)
        call = make_call(path="/label/1")
        responder = FakeResponder()
        assert await PlainCall(routing, call, admit(call)).serve(responder) == 0
        assert responder.end == "cut"
        assert answer.closed is False
        assert routing.health.in_cooldown(now_s=call.received_s)
        assert routing.memory.in_use_bytes == 0


class BreakingStream(FakeAnswer):
    """Breaks off after its first event."""

    async def parts(self):
        yield events(1)
        raise broken_connection()


class TestStream:
    @pytest.mark.parametrize(
        "answers",
        [
            [FakeAnswer(events(1, 2))],
            [BreakingStream(), FakeAnswer(events(1, 2))],
            [unreachable] * 6,
            [FakeAnswer(events(1), 9.0)] * 6,
        ],
        ids=["served", "lost", "unreachable", "late"],
    )
    async def test_finished_stream_is_freed_without_a_collection(self, answers, rng):
        """Errors of its runs held it, and its body, until the next collection."""
        client = FakeClient(*answers)
        servers = [runner(name, 0, 80, kind="large") for name in "ab"]
        routing = make_routing(client, *servers, rng=rng)
        stream = StreamCall(routing, make_call(timeout_s=0.3), admitted())
        seen = weakref.ref(stream)
        with without_collections():
            try:
                await stream.serve(FakeResponder())
            except VioletHatchError as error:
                error.__traceback__ = error.__context__ = None
            del stream
            await asyncio.sleep(0.05)
            client.sends.clear()
            assert seen() is None
