# SPDX-License-Identifier: MIT
"""Deadlines of requests, on the event loop that the router runs on."""

from __future__ import annotations

import asyncio
import time

import pytest

from violethatch import clocks, deadlines
from violethatch.event_loop import EventLoop


@pytest.fixture
def run():
    """Provide a function that runs a coroutine to its end."""
    loop = EventLoop()
    yield loop.run_until_complete
    loop.close()


def stand_still(*, after_s, for_s):
    """Let the event loop stand still."""
    asyncio.get_running_loop().call_later(after_s, time.sleep, for_s)


async def read_until(deadline_s, *, parts):
    """Read what another thread writes to a socket; return the bytes.

    Args:
        deadline_s: Until when to read, in the clock's seconds.
        parts: What is written, and after how long each, in seconds.
    """
    served = asyncio.Event()

    async def serve(_reader, writer):
        for pause_s, part in parts:
            await asyncio.sleep(pause_s)
            writer.write(part)
            await writer.drain()
        writer.close()
        served.set()

    def thread(started):
        async def work():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            started.append(server.sockets[0].getsockname()[1])
            await asyncio.wait_for(served.wait(), 5)
            server.close()

        asyncio.run(work())

    started = []
    work = asyncio.create_task(asyncio.to_thread(thread, started))
    while not started:
        await asyncio.sleep(0.001)
    reader, writer = await asyncio.open_connection("127.0.0.1", started[0])
    try:
        async with deadlines.until(deadline_s()):
            return await reader.read()
    finally:
        writer.close()
        await work


@pytest.mark.parametrize("for_s", [0.3, 1.2])
def test_what_came_before_the_deadline_is_not_read(run, for_s):
    """The deadline passes while the instance stands still; a large answer is there."""
    body = b"a" * 2_000_000

    async def work():
        stand_still(after_s=0.05, for_s=for_s)
        return await read_until(lambda: clocks.now_s() + 0.2, parts=[(0.1, body)])

    assert run(work()) == body


def test_standstill_prolongs_a_deadline(run):
    """What has not come by then is not waited for."""

    async def work():
        stand_still(after_s=0.05, for_s=0.5)
        began_s = clocks.now_s()
        with pytest.raises(TimeoutError):
            async with deadlines.until(began_s + 0.2):
                await asyncio.sleep(5)
        return clocks.now_s() - began_s

    assert 0.5 <= run(work()) < 0.65


def test_deadline_is_over_when_its_timer_ends(run):
    """Whoever is told by the timer finds the same by the clock."""

    async def work():
        for _ in range(40):
            deadline_s = clocks.now_s() + 0.0105
            with pytest.raises(TimeoutError):
                async with deadlines.until(deadline_s):
                    await asyncio.sleep(5)
            assert deadlines.is_over(deadline_s)

    run(work())


def test_block_within_its_deadline_is_left_alone(run):
    """Nothing is cancelled later."""

    async def work():
        async with deadlines.until(clocks.now_s() + 0.05):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)

    run(work())
