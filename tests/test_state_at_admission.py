# SPDX-License-Identifier: MIT
"""Which desired state rules a request that is under way: that of its admission."""

from __future__ import annotations

import asyncio
import random

import pytest

from own_ports import free_ports
from router_fakes import (
    FakeAnswer,
    FakeClient,
    FakeResponder,
    events,
    make_call,
    settings,
)
from routing_samples import (
    call_route,
    desired_state,
    plain_route,
    plain_server,
    runner,
)
from violethatch import clocks
from violethatch._router import Router
from violethatch.desired import CallKind, Split
from violethatch.errors import UnauthorizedError, UnknownTargetError
from violethatch.platform._listener import CallersListener
from violethatch.platform._wire import WireDecoder
from violethatch.upstream import NotSentError


STREAMS, PLAIN = call_route(), plain_route()
#: What a newer state may say of both routes.
CHANGES = {
    "timeout": {"timeout_s": 0.001},
    "attempts": {"max_attempts": 1},
    "priority": {"priority": 9},
    "service": {"splits": (Split("other", 1.0),)},
    "kind": {"kind": CallKind.ONCE},
    "resume": {"is_resumable": False},
}


class ChangingClient(FakeClient):
    """Can't connect to the first server; a newer state comes meanwhile."""

    def __init__(self, change, *answers):
        super().__init__(*answers)
        self._change = change

    async def send(self, send):
        if self.sends:
            return await super().send(send)
        self.sends.append(send)
        self._change()
        await asyncio.sleep(0.01)
        msg = "refused"
        raise NotSentError(msg)


class Site:
    """A router before two runners and two plain servers."""

    def __init__(self, newer):
        self.client = ChangingClient(lambda: self.put_in_force(newer))
        self.router = Router(
            settings(),
            client=self.client,
            decoder=WireDecoder(),
            rng=random.Random(1),
        )
        self.put_in_force(desired_state(STREAMS, PLAIN))
        servers = [plain_server("s1"), plain_server("s2")]
        runners = [runner(name, 0, 80, kind="large") for name in ("a", "b")]
        self.router.routing.backends.apply_changes([*servers, *runners], [], now_s=0.0)
        self.router.freshness.proven(clocks.now_s())

    def put_in_force(self, state):
        self.router.desired = state
        self.router.routing.admission.apply_desired_state(state)

    async def ask(self, path):
        responder = FakeResponder()
        async with asyncio.timeout(5):
            await self.router.serve(make_call(path=path), responder)
        return responder


@pytest.fixture(params=["/draft/1", "/label/1"])
def path(request):
    """Provide the path of a stream and that of a plain call."""
    return request.param


def answer_to(path):
    """Return the whole answer of a server."""
    if path == "/label/1":
        return FakeAnswer(b"done")
    return FakeAnswer(events(1, 2))


async def asked_while_changing(path, newer):
    """Return the site and the answer to a request under way when a state came."""
    site = Site(newer)
    site.client.answers = [answer_to(path)]
    return site, await site.ask(path)


class TestRequestUnderWay:
    @pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
    async def test_changed_route(self, path, change):
        """It goes on by what it was admitted with, also where it is sent again."""
        routes = [call_route(**change), plain_route(**change)]
        newer = desired_state(*routes, version=2)
        site, responder = await asked_while_changing(path, newer)
        assert (responder.status, responder.end) == (200, "whole")
        first, second = site.client.sends
        assert first.server.service == second.server.service
        assert first.server.id != second.server.id
        assert first.priority == second.priority
        assert first.deadline_s == second.deadline_s

    async def test_removed_key(self, path):
        """It is answered; the next one is refused."""
        newer = desired_state(STREAMS, PLAIN, version=2, keys=("key-2",))
        site, responder = await asked_while_changing(path, newer)
        assert responder.end == "whole"
        assert {send.workspace for send in site.client.sends} == {"clinic"}
        with pytest.raises(UnauthorizedError):
            await site.ask(path)

    async def test_removed_route(self, path):
        """It is answered; the next one is refused."""
        newer = desired_state(call_route(path_prefix="/new/"), version=2)
        site, responder = await asked_while_changing(path, newer)
        assert responder.end == "whole"
        with pytest.raises(UnknownTargetError):
            await site.ask(path)

    async def test_removed_service(self, path):
        """Its servers are still listed: it is answered; the next one is refused."""
        newer = desired_state(STREAMS, PLAIN, version=2)._replace(services={})
        site, responder = await asked_while_changing(path, newer)
        assert responder.end == "whole"
        with pytest.raises(UnknownTargetError):
            await site.ask(path)


def with_header_limit(limit_s, *, version):
    """Return a state in which a request's head may take so long, in seconds."""
    made = desired_state(STREAMS, PLAIN, version=version)
    return made._replace(limits=made.limits._replace(header_timeout_s=limit_s))


class TestConnection:
    @pytest.mark.parametrize(("limits_s", "is_closed"), [((0.1, 5), 1), ((5, 0.1), 0)])
    async def test_changed_limit(self, limits_s, is_closed):
        """A connection keeps the limits of the state in which it was opened."""
        older, newer = limits_s
        site = Site(None)
        site.put_in_force(with_header_limit(older, version=2))
        (port,) = free_ports(1)
        await CallersListener(site.router).start(f"127.0.0.1:{port}")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.05)
        site.put_in_force(with_header_limit(newer, version=3))
        writer.write(b"GET /label/1 HT")
        reading = asyncio.create_task(reader.read())
        await asyncio.wait([reading], timeout=1.0)
        assert reading.done() is bool(is_closed)
        writer.close()
        reading.cancel()
