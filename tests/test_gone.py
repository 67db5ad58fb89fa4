# SPDX-License-Identifier: MIT
"""A caller's leaving reaches runners within half a second, in every state."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from test_platform_process import HEADERS, ID, Site


#: How soon a runner has to hear of it, in seconds.
HEARD_S = 0.5
#: More than the buffers between a runner and a caller who doesn't read hold.
MANY_EVENTS = 2_000_000


@pytest.fixture
async def site(tmp_path):
    """Provide a site whose runners stream for long."""
    made = Site(tmp_path)
    await made.start()
    for runner in made.runners.values():
        runner.event_count = 10_000
    yield made
    await made.stop()


async def dropped(site, call_id, *, within_s=HEARD_S):
    """Wait until a runner has seen a request broken off."""
    async with asyncio.timeout(within_s):
        while not any(call_id in runner.dropped for runner in site.runners.values()):
            await asyncio.sleep(0.01)


async def reached(site, call_id, *, times=1):
    """Wait until a request has come to runners."""
    async with asyncio.timeout(5):
        while arrivals(site, call_id) < times:
            await asyncio.sleep(0.01)


def arrivals(site, call_id):
    """Return how often a request has come to runners."""
    seen = [one for runner in site.runners.values() for one in runner.seen]
    return sum(one.call_id == call_id for one in seen)


@contextlib.contextmanager
def raw_caller(site, call_id):
    """Send a request over a bare socket; the caller leaves at the end."""
    lines = [f"{name}: {value}" for name, value in (HEADERS | {ID: call_id}).items()]
    head = "\r\n".join(["POST /draft/1 HTTP/1.1", *lines, "Content-Length: 6"])
    with socket.socket() as caller:
        # A small window: what is not read stays with the router.
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(("127.0.0.1", site.front))
        caller.sendall(head.encode() + b"\r\n\r\na menu")
        yield caller


class TestGone:
    async def test_between_events(self, site):
        """A stream under way is broken off at its runner."""
        async with site.post(call_id="mid") as answer:
            await answer.content.readuntil(b"data: 1\n\n")
            answer.close()
        await dropped(site, "mid")

    async def test_before_the_first_event(self, site):
        """A request whose runner has told nothing yet is broken off."""
        for runner in site.runners.values():
            runner.hang_after = 0
        with raw_caller(site, "early"):
            await reached(site, "early")
        await dropped(site, "early")

    async def test_in_a_silence(self, site):
        """A stream whose silence is looked into is broken off."""
        for runner in site.runners.values():
            runner.hang_after = 3
            runner.repath_status = 409
        async with site.post(call_id="silent") as answer:
            await answer.content.readuntil(b"data: 3\n\n")
            await asyncio.sleep(0.6)  # the router asks runners by now
            answer.close()
        await dropped(site, "silent")

    async def test_caller_who_does_not_read(self, site):
        """A stream that waits for its caller to read is broken off."""
        for runner in site.runners.values():
            runner.event_count = MANY_EVENTS
            runner.pause_s = 0.0
        with raw_caller(site, "unread"):
            await reached(site, "unread")
            await asyncio.sleep(1.5)  # all buffers are full by now
        await dropped(site, "unread")

    async def test_while_it_waits_for_a_path(self, site):
        """A stream that waits for room is sent nowhere after its caller has left."""
        for runner in site.runners.values():
            runner.cut_after = 2
        with raw_caller(site, "waits"):
            await reached(site, "waits")
            await asyncio.sleep(0.1)
        await asyncio.sleep(HEARD_S)
        before = arrivals(site, "waits")
        for runner in site.runners.values():
            runner.cut_after = None
        await asyncio.sleep(1.0)
        assert arrivals(site, "waits") == before

    async def test_half_closed(self, site):
        """A caller who closes its side has cancelled."""
        with raw_caller(site, "half") as caller:
            await reached(site, "half")
            caller.shutdown(socket.SHUT_WR)
            await dropped(site, "half")
