# SPDX-License-Identifier: MIT
"""Connections that are given up on while they open."""

from __future__ import annotations

import asyncio
import random

import aiohttp

from aiohttp.web_response import Response
from aiohttp.web_server import Server

from violethatch.event_loop import EventLoop
from violethatch.platform._sessions import make_session


CALLERS = 20
CALLS = 150
#: Within what time half of the calls are given up on, in seconds.
PATIENCE_S = 0.004


async def call_and_give_up(errors):
    """Call two servers, giving up on some; return answers of the wrong server."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _loop, context: errors.append(context))
    rng = random.Random(1)
    ports = {}
    for name in (b"a", b"b"):

        async def handle(_request, name=name):
            await asyncio.sleep(0.001)
            return Response(body=name)

        listening = await loop.create_server(Server(handle), "127.0.0.1", 0)
        ports[name] = listening.sockets[0].getsockname()[1]
    sessions = [make_session(is_kept=True), make_session(is_kept=False)]
    wrong = []

    async def call(name):
        try:
            url = f"http://127.0.0.1:{ports[name]}/"
            async with rng.choice(sessions).get(url) as answer:
                body = await answer.read()
                if body != name:
                    wrong.append(body)
        except (aiohttp.ClientError, OSError):
            pass  # broken off, which is no wrong answer

    async def call_often():
        for _ in range(CALLS):
            calling = asyncio.create_task(call(rng.choice([*ports])))
            if rng.random() < 0.5:
                await asyncio.sleep(rng.uniform(0, PATIENCE_S))
                calling.cancel()
            await asyncio.wait((calling,))

    async with asyncio.timeout(30):
        await asyncio.gather(*(call_often() for _ in range(CALLERS)))
    for session in sessions:
        await session.close()
    return wrong


def test_connection_given_up_on_breaks_another_one():
    """Its descriptor is closed once, so that no other connection loses its own."""
    errors = []
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        assert runner.run(call_and_give_up(errors)) == []
    assert errors == []
