# SPDX-License-Identifier: MIT
"""Calls through the project's own interface keep to the rests of plain services."""

from __future__ import annotations

import asyncio

import pytest

from aiohttp import web

from violethatch import clocks
from violethatch._services import Call, PlainServices
from violethatch.errors import Ran, ServerRefusedError
from violethatch.retries import RetryBudget


CALL = Call("POST", "/slips", {}, b"a slip")
REST_S = 0.5


class Server:
    """A server that turns calls away with a figure, or serves them."""

    def __init__(self, name):
        self.name = name
        self.figure = None
        self.limit_a_s = None
        self.arrived = 0
        self.address = ""

    async def serve(self, _request):
        self.arrived += 1
        if self.figure is None:
            heads = {"Server-Limit": self.limit_a_s} if self.limit_a_s else {}
            return web.Response(body=self.name.encode(), headers=heads)
        headers = {"Not-Started": "true", "Retry-After": self.figure}
        return web.Response(status=503, headers=headers)


@pytest.fixture
async def servers():
    """Provide two servers that listen."""
    made = [Server("a"), Server("b")]
    serving = []
    for one in made:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", one.serve)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        one.address = f"127.0.0.1:{runner.addresses[0][1]}"
        serving.append(runner)
    yield made
    for runner in serving:
        await runner.cleanup()


@pytest.fixture
async def services(servers):
    """Provide the client of both."""
    made = PlainServices(RetryBudget(reserve=50.0), timeout_s=5.0)
    await made.start()
    listed = [
        {
            "id": one.name,
            "role": "service",
            "availability_zone": "z1",
            "address": one.address,
            "service": "slips",
            "leaving": False,
        }
        for one in servers
    ]
    made.follow(listed, availability_zone="z1")
    yield made
    await made.stop()


async def test_rest_is_kept(servers, services):
    """The other server serves, and no retry is spent on a refusal that is known."""
    servers[0].figure = str(REST_S)
    budget = services._budget
    answers = [await services.send("slips", CALL, repeatable=False) for _ in range(10)]
    assert {answer.body for answer in answers} == {b"b"}
    assert servers[0].arrived == 1
    assert budget.balance >= budget.reserve - 1.0


async def test_server_is_used_again_after_its_rest(servers, services):
    """A rest ends by itself."""
    servers[0].figure = str(REST_S)
    await services.send("slips", CALL, repeatable=False)
    await services.send("slips", CALL, repeatable=False)
    servers[0].figure = None
    await asyncio.sleep(REST_S)
    bodies = {
        (await services.send("slips", CALL, repeatable=False)).body for _ in range(2)
    }
    assert bodies == {b"a", b"b"}


async def test_all_rest(servers, services):
    """The answer says that nothing has run, and when the first rest ends."""
    servers[0].figure, servers[1].figure = "7", "20"
    with pytest.raises(ServerRefusedError):
        await services.send("slips", CALL, repeatable=True)
    for _ in range(3):
        with pytest.raises(ServerRefusedError) as caught:
            await services.send("slips", CALL, repeatable=True)
        assert caught.value.ran is Ran.NO
        assert 6.0 < caught.value.retry_after_s <= 7.0
    assert [one.arrived for one in servers] == [1, 1]


async def test_figure_that_cannot_be_understood(servers, services):
    """It asks for nothing: the server is sent to again."""
    servers[0].figure = "soon"
    for _ in range(4):
        await services.send("slips", CALL, repeatable=False)
    assert servers[0].arrived == 2


async def call_often(services, *, for_s):
    """Send calls one after another; return from whom the answers came."""
    until_s = clocks.now_s() + for_s
    bodies = []
    while clocks.now_s() < until_s:
        bodies.append((await services.send("slips", CALL, repeatable=False)).body)
        await asyncio.sleep(0.01)
    return bodies


async def test_part_of_a_limit(servers, services):
    """Of four instances each sends a quarter; the other server serves the rest."""
    servers[0].limit_a_s = "8"
    services.set_share(0.25)
    await call_often(services, for_s=0.1)
    before = servers[0].arrived
    bodies = await call_often(services, for_s=2.0)
    assert 2 <= servers[0].arrived - before <= 4
    assert set(bodies) == {b"a", b"b"}


async def test_limit_is_over(servers, services):
    """It ends with the first answer that names none."""
    servers[0].limit_a_s = "8"
    await call_often(services, for_s=0.1)
    servers[0].limit_a_s = None
    await call_often(services, for_s=0.5)
    before = servers[0].arrived
    bodies = await call_often(services, for_s=0.3)
    assert servers[0].arrived - before >= len(bodies) // 2 - 1


async def test_all_are_limited(servers, services):
    """The answer says that nothing has run, and when to come back."""
    servers[0].limit_a_s = servers[1].limit_a_s = "0.5"
    with pytest.raises(ServerRefusedError):
        await call_often(services, for_s=1.0)
    with pytest.raises(ServerRefusedError) as caught:
        await services.send("slips", CALL, repeatable=True)
    assert caught.value.ran is Ran.NO
    assert 0.0 < caught.value.retry_after_s <= 4.2
