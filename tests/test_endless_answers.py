# SPDX-License-Identifier: MIT
"""Servers that send bytes without end, in a head or a body, until a caller closes."""

from __future__ import annotations

import asyncio
import random

import aiohttp
import pytest

from aiohttp import web

from endless_servers import KINDS, endless
from large_bodies import LargeBodiesSite, resident_mb
from router_fakes import send_to
from routing_samples import plain_server, runner
from test_entry_checks import serving
from test_instances import entry
from test_platform_wire import CONFIG
from test_reset_answers import listed
from violethatch._bounded_responses import MAX_BODY_BYTES
from violethatch._connection_choice import ConnectionChoice
from violethatch._metrics import Metrics
from violethatch._platform import HttpInstanceList, HttpObjectStore, HttpTable
from violethatch._relay_http import RelayClient
from violethatch._response_handlers import check_responses
from violethatch._router_metrics import RouterMetrics
from violethatch._services import Call, PlainServices
from violethatch.errors import ServiceLostError, TableUnavailableError
from violethatch.forwarding import ForwardClient
from violethatch.forwarding._wire import ForwardedRequest
from violethatch.layers import LayerRange
from violethatch.peer_reads import PeerLostError, PeerSilentError
from violethatch.platform._runners import Runners
from violethatch.platform._sessions import make_session
from violethatch.platform._store import Store
from violethatch.ports import AnswerLostError as WriteLostError
from violethatch.retries import RetryBudget
from violethatch.router_settings import StoreSection
from violethatch.upstream import AnswerLostError, OrderOutcome, ReachOutcome


#: Bytes beside a body that may be read, and what the sockets' buffers hold.
MAX_FRAMING_BYTES = 16_000_000
#: A bound in bytes is reached long before a deadline.
SOON_S = 3.0
#: Kinds that end within the head, or with no body, and those that are bodies.
BODIES = ("no_length", "chunked", "small_chunks", "events")
NO_ANSWERS = [
    kind for kind in KINDS if kind not in (*BODIES, "past_length", "past_chunks")
]
WHOLE = ("past_length", "past_chunks")


@pytest.fixture
async def runners():
    """Provide the calls to servers."""
    async with (
        make_session(is_kept=True) as kept,
        make_session(is_kept=False) as fresh,
    ):
        yield Runners(kept, fresh)


@pytest.fixture
async def connections():
    """Provide the connections to the store and to other instances."""
    async with (
        make_session(is_kept=True) as kept,
        make_session(is_kept=False) as fresh,
    ):
        yield ConnectionChoice(kept, fresh, max_idle_s=4.0)


async def closed(server):
    """Wait until a server's connections are closed."""
    async with asyncio.timeout(5):
        while server.open_connections:
            await asyncio.sleep(0.01)


class TestSends:
    @pytest.mark.parametrize("is_new", [True, False])
    @pytest.mark.parametrize("kind", NO_ANSWERS)
    async def test_bytes_that_are_no_answer(self, runners, kind, is_new):
        async with endless(kind) as (server, address), asyncio.timeout(SOON_S):
            target = plain_server("a")._replace(address=address)
            with pytest.raises(AnswerLostError):
                answer = await runners.send(send_to(target, is_new=is_new))
                try:
                    async for _ in answer.parts():
                        pass
                finally:
                    answer.close(is_whole=False)
            await closed(server)
            assert server.sent_bytes < MAX_FRAMING_BYTES

    @pytest.mark.parametrize("attempt", range(10))
    @pytest.mark.parametrize("kind", WHOLE)
    async def test_bytes_past_a_whole_answer(self, runners, kind, attempt):
        """They belong to no request; the answer got lost with them, by chance."""
        async with endless(kind) as (server, address), asyncio.timeout(SOON_S):
            target = plain_server("a")._replace(address=address)
            answer = await runners.send(send_to(target, is_new=attempt % 2 == 0))
            assert b"".join([part async for part in answer.parts()]) == b"whole"
            answer.close(is_whole=True)
            await closed(server)
            assert server.sent_bytes < MAX_FRAMING_BYTES

    @pytest.mark.parametrize("kind", ["no_length", "chunked", "small_chunks"])
    async def test_body_that_is_not_read_on(self, runners, kind):
        """What nobody reads is not taken in."""
        async with endless(kind) as (server, address):
            target = plain_server("a")._replace(address=address)
            answer = await runners.send(send_to(target))
            await asyncio.sleep(0.5)
            assert server.sent_bytes < MAX_FRAMING_BYTES
            answer.close(is_whole=False)
            await closed(server)


class TestKeptConnections:
    @pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
    @pytest.mark.parametrize("status", [200, 204, 304, 404])
    async def test_answer_without_a_body(self, method, status):
        """The empty body of an answer to HEAD has no raw length."""
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: errors.append(context))
        connections = set()

        async def answer(request):
            connections.add(request.transport)
            return web.Response(status=status)

        async with (
            serving({"/one": answer}) as port,
            make_session(is_kept=True) as session,
        ):
            for _ in range(3):
                url = f"http://127.0.0.1:{port}/one"
                async with session.request(method, url) as got:
                    assert (got.status, await got.read()) == (status, b"")
        assert errors == []
        # The HTTP library closes some connections after an answer to HEAD.
        assert len(connections) == 1 or method == "HEAD"


class TestReportsAndOrders:
    @pytest.mark.parametrize("kind", KINDS)
    async def test_report(self, runners, kind):
        async with endless(kind) as (server, address), asyncio.timeout(SOON_S):
            target = runner("a", 0, 80)._replace(address=address)
            assert await runners.report(target) is None
            await closed(server)
            assert server.sent_bytes < 2 * MAX_FRAMING_BYTES

    @pytest.mark.parametrize("kind", KINDS)
    async def test_order(self, runners, kind):
        async with endless(kind, status=202) as (server, address):
            async with asyncio.timeout(SOON_S):
                target = runner("a", 0, 80)._replace(address=address)
                answer = await runners.place(
                    target, LayerRange(0, 40), fence=1, expected_sequence=0
                )
                await closed(server)
            wanted = OrderOutcome.BEGUN if kind in WHOLE else OrderOutcome.UNKNOWN
            assert answer.outcome is wanted
            assert server.sent_bytes < MAX_FRAMING_BYTES

    @pytest.mark.parametrize("kind", KINDS)
    async def test_probe(self, runners, kind):
        """Any answer shows that the server is there; it is not read on."""
        async with endless(kind) as (server, address), asyncio.timeout(SOON_S):
            target = plain_server("a")._replace(address=address)
            assert await runners.reach(target, health_path="/health") in ReachOutcome
            await closed(server)
            assert server.sent_bytes < MAX_FRAMING_BYTES


class TestStore:
    @pytest.mark.parametrize("kind", KINDS)
    async def test_read_and_write(self, connections, kind):
        async with endless(kind) as (server, address), asyncio.timeout(2 * SOON_S):
            settings = StoreSection(address, call_timeout_s=0.8)
            store = Store(settings, connections, RouterMetrics())
            with pytest.raises(TableUnavailableError):
                await store.read_table("op")
            with pytest.raises(TableUnavailableError):
                await store.read_changes("op", after=3, wait_s=0.1)
            with pytest.raises((WriteLostError, TableUnavailableError)):
                await store.write_entries("t", {"k": b"v"}, [])
            await closed(server)
            assert server.sent_bytes < 4 * MAX_FRAMING_BYTES


class TestInstances:
    @pytest.mark.parametrize("kind", KINDS)
    async def test_relayed_table(self, connections, kind):
        async with endless(kind) as (server, address), asyncio.timeout(SOON_S):
            peer = entry("i2")._replace(address=address, token="t")
            with pytest.raises((PeerLostError, PeerSilentError)):
                await RelayClient(connections).changes(
                    peer, "op", after=1, known_s=0.0, wait_s=0.2, margin_s=0.3
                )
            await closed(server)
            assert server.sent_bytes < 2 * MAX_FRAMING_BYTES

    @pytest.mark.parametrize("kind", KINDS)
    async def test_forwarded_call(self, kind):
        async with (
            make_session(is_kept=True) as kept,
            make_session(is_kept=False) as fresh,
            endless(kind) as (server, address),
            asyncio.timeout(SOON_S),
        ):
            peer = entry("i2")._replace(address=address, token="t")
            request = ForwardedRequest(
                *("c1", "POST", "menu.example", "/print/1", [], b"", None, 0.0),
                *(2000.0, None, None, 1, 0, "i1"),
            )
            with pytest.raises(AnswerLostError):
                await ForwardClient(kept, fresh).send(
                    peer, request, is_repeatable=True, on_silent=lambda: False
                )
            await closed(server)
            assert server.sent_bytes < MAX_FRAMING_BYTES


class TestOwnInterface:
    """The services and the platform behind `violethatch serve`."""

    @pytest.mark.parametrize("kind", [kind for kind in KINDS if kind not in WHOLE])
    async def test_service(self, kind):
        services = PlainServices(RetryBudget(reserve=50.0), timeout_s=2 * SOON_S)
        await services.start()
        try:
            async with endless(kind) as (server, address), asyncio.timeout(SOON_S):
                server.address = address
                services.follow([listed(server)], availability_zone="z1")
                with pytest.raises(ServiceLostError):
                    await services.send(
                        "labels", Call("POST", "/x", {}, b""), repeatable=False
                    )
                await closed(server)
                assert server.sent_bytes < MAX_BODY_BYTES + MAX_FRAMING_BYTES
        finally:
            await services.stop()

    @pytest.mark.parametrize("kind", [kind for kind in KINDS if kind not in WHOLE])
    async def test_platform(self, kind):
        connector = aiohttp.TCPConnector(force_close=True)
        check_responses(connector)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            endless(kind) as (server, address),
            asyncio.timeout(4 * SOON_S),
        ):
            url, timeout_s = f"http://{address}", 4 * SOON_S
            table = HttpTable(session, url=url, timeout_s=timeout_s, metrics=Metrics())
            objects = HttpObjectStore(session, url=url, timeout_s=timeout_s)
            listing = HttpInstanceList(session, url=url, timeout_s=timeout_s)
            with pytest.raises(TableUnavailableError):
                await table.read(["k"])
            with pytest.raises((WriteLostError, TableUnavailableError)):
                await table.transact([])
            with pytest.raises(TableUnavailableError):
                await objects.get("k")
            with pytest.raises(TableUnavailableError):
                await listing.instances()
            await closed(server)
            assert server.sent_bytes < 4 * (MAX_BODY_BYTES + MAX_FRAMING_BYTES)


class TestProcess:
    @pytest.mark.parametrize("kind", [kind for kind in KINDS if kind != "events"])
    async def test_endless_answer_takes_no_router_over_its_memory(self, tmp_path, kind):
        """One such server took each router that asked it past 900 MB within 2 s."""
        site = LargeBodiesSite(tmp_path, routers=1, work_s=0.05)
        try:
            await site.start(**{"Limits.MemoryMb": "300"})
            pid = site.processes[0].pid
            rest_mb = resident_mb(pid)
            async with endless(kind) as (server, address):
                self.list_only(site, address)
                watching = asyncio.create_task(site.watch_memory())
                await self.until_asked(site, server)
                outcomes = [await self.call(site, f"e{n}") for n in range(3)]
                watching.cancel()
                await closed(server)
            assert site.processes[0].returncode is None
            assert max(site.peaks_mb) - rest_mb < 60.0
            for status, took_s in outcomes:
                assert took_s < SOON_S
                wanted = {200} if kind in WHOLE else {502, 503, "cut"}
                assert status in wanted
            async with asyncio.timeout(5):
                while kind not in WHOLE and not self.has_failed(tmp_path):
                    await asyncio.sleep(0.05)
        finally:
            await site.stop()

    def has_failed(self, path):
        """Tell whether the server counts as failing."""
        return '"trouble":"failed"' in (path / "router-0.log").read_text()

    def list_only(self, site, address):
        """List one server of the service, in place of all others."""
        for number in range(len(site.servers)):
            entry = {"Service": "labels", "Address": address, "Zone": "heredia"}
            entry |= {"Slots": 40, "State": "ready"}
            site.store.put("servers", f"p-{number}", entry)

    async def until_asked(self, site, server):
        """Wait until calls go to the endless server."""
        async with asyncio.timeout(5):
            while not server.requests:
                await self.call(site, "probe")

    async def call(self, site, call_id):
        """Send a call that may run once; return its outcome and time."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        url = f"http://127.0.0.1:{site.fronts[0]}/print/1"
        try:
            # Tells a reset from the end of an answer without a length.
            async with (
                make_session(is_kept=False) as http,
                http.post(url, data=b"x", headers=site.headers(call_id)) as answer,
            ):
                async for _ in answer.content.iter_any():
                    pass
                status = answer.status
        except aiohttp.ClientError:
            status = "cut"
        return status, loop.time() - began_s

    async def test_large_answer_goes_through(self, tmp_path):
        """One that is larger than what is kept back."""
        size = 20_000_000
        site = LargeBodiesSite(tmp_path, routers=1, work_s=0.05, answer_bytes=size)
        try:
            await site.start()
            url = f"http://127.0.0.1:{site.fronts[0]}/print/1"
            async with site.http.post(
                url, data=b"x", headers=site.headers("large")
            ) as answer:
                assert answer.status == 200
                assert answer.headers["Content-Length"] == str(size)
                assert len(await answer.read()) == size
        finally:
            await site.stop()

    @pytest.mark.parametrize("kind", [kind for kind in KINDS if kind not in WHOLE])
    async def test_endless_stream_takes_no_router_over_its_memory(self, tmp_path, kind):
        site = LargeBodiesSite(tmp_path, routers=1)
        route = dict(
            CONFIG["Routes"][0],
            TrafficSplit=[],
            Service="model",
            AuthExempt=True,
            TimeoutMs=1500,
        )
        try:
            await site.start(routes=[route])
            pid = site.processes[0].pid
            rest_mb = resident_mb(pid)
            async with endless(kind) as (server, address):
                site.addresses["m-1"] = address
                site.list_server("m-1")
                watching = asyncio.create_task(site.watch_memory())
                url = f"http://127.0.0.1:{site.fronts[0]}/draft/1"
                async with asyncio.timeout(10):
                    while not server.requests:
                        await self.take_stream(site, url)
                watching.cancel()
                await closed(server)
            assert site.processes[0].returncode is None
            assert max(site.peaks_mb) - rest_mb < 60.0
        finally:
            await site.stop()

    async def take_stream(self, site, url):
        """Take a stream to its end."""
        call_id = f"s{random.random()}"
        try:
            async with site.http.post(
                url, data=b"x", headers=site.headers(call_id)
            ) as answer:
                async for _ in answer.content.iter_any():
                    pass
        except aiohttp.ClientError:
            return
