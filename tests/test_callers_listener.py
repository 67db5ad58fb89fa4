# SPDX-License-Identifier: MIT
"""What the callers' listener does in a process's last moments."""

from __future__ import annotations

import asyncio
import random

import aiohttp
import pytest

from asking_servers import PLAIN
from own_ports import free_ports
from router_fakes import FakeAnswer, FakeClient, settings
from routing_samples import desired_state, plain_server
from test_platform_process import HEADERS, ID
from violethatch import clocks
from violethatch._router import Router
from violethatch.platform._listener import CallersListener


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


class Site:
    """A listener in front of one server."""

    def __init__(self, run_s):
        self.client = SlowClient(run_s)
        made = settings()
        self.router = Router(
            made, client=self.client, decoder=None, rng=random.Random(1)
        )
        self.router.desired = desired_state(PLAIN)
        self.router.routing.backends.change([plain_server("s1")], [], now_s=0.0)
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
    site.router.stop_plan.ask(now_s=clocks.now_s())
    async with asyncio.timeout(2):
        await site.listener.close()
        with pytest.raises(aiohttp.ClientError):
            await asking
