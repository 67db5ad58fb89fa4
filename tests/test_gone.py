# SPDX-License-Identifier: MIT
"""A caller's disconnect cancels its request at the runners within half a second."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from test_platform_process import HEADERS, ID, Site


#: Max delay until a runner detects the cancellation, in seconds.
MAX_CANCEL_DELAY_S = 0.5
#: Exceeds the capacity of the buffers between a runner and a caller that doesn't read.
MANY_EVENTS = 2_000_000


@pytest.fixture
async def site(tmp_path):
    """Provide a site whose runners send long streams."""
    started = Site(tmp_path)
    await started.start()
    for runner in started.runners.values():
        runner.event_count = 10_000
    yield started
    await started.stop()


async def wait_for_cancellation(site, call_id, *, timeout_s=MAX_CANCEL_DELAY_S):
    """Wait until a runner has detected a request's cancellation."""
    async with asyncio.timeout(timeout_s):
        while not any(call_id in runner.dropped for runner in site.runners.values()):
            await asyncio.sleep(0.01)


async def wait_for_arrivals(site, call_id, *, times=1):
    """Wait until runners have received a request *times* times."""
    async with asyncio.timeout(5):
        while arrivals(site, call_id) < times:
            await asyncio.sleep(0.01)


def arrivals(site, call_id):
    """Return how often runners have received a request."""
    requests = [request for runner in site.runners.values() for request in runner.seen]
    return sum(request.call_id == call_id for request in requests)


@contextlib.contextmanager
def raw_caller(site, call_id):
    """Send a request over a raw socket; disconnect on exit."""
    lines = [f"{name}: {value}" for name, value in (HEADERS | {ID: call_id}).items()]
    head = "\r\n".join(["POST /draft/1 HTTP/1.1", *lines, "Content-Length: 6"])
    with socket.socket() as caller:
        # A small receive window, so that unread data is buffered by the router.
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(("127.0.0.1", site.front))
        caller.sendall(head.encode() + b"\r\n\r\na menu")
        yield caller


class TestDisconnect:
    async def test_between_events(self, site):
        """A stream is cancelled between two events."""
        async with site.post(call_id="mid") as answer:
            await answer.content.readuntil(b"data: 1\n\n")
            answer.close()
        await wait_for_cancellation(site, "mid")

    async def test_before_the_first_event(self, site):
        """A request is cancelled before its runner sends the first event."""
        for runner in site.runners.values():
            runner.hang_after = 0
        with raw_caller(site, "early"):
            await wait_for_arrivals(site, "early")
        await wait_for_cancellation(site, "early")

    async def test_during_silence(self, site):
        """A stream is cancelled while the router probes its silent runners."""
        for runner in site.runners.values():
            runner.hang_after = 3
            runner.repath_status = 409
        async with site.post(call_id="silent") as answer:
            await answer.content.readuntil(b"data: 3\n\n")
            await asyncio.sleep(0.6)  # the router probes the runners by now
            answer.close()
        await wait_for_cancellation(site, "silent")

    async def test_caller_does_not_read(self, site):
        """A stream is cancelled while it waits for its caller to read."""
        for runner in site.runners.values():
            runner.event_count = MANY_EVENTS
            runner.pause_s = 0.0
        with raw_caller(site, "unread"):
            await wait_for_arrivals(site, "unread")
            await asyncio.sleep(1.5)  # all buffers are full by now
        await wait_for_cancellation(site, "unread")

    async def test_while_waiting_for_a_path(self, site):
        """A stream that waits for a path is not sent after its caller disconnects."""
        for runner in site.runners.values():
            runner.cut_after = 2
        with raw_caller(site, "waits"):
            await wait_for_arrivals(site, "waits")
            await asyncio.sleep(0.1)
        await asyncio.sleep(MAX_CANCEL_DELAY_S)
        before = arrivals(site, "waits")
        for runner in site.runners.values():
            runner.cut_after = None
        await asyncio.sleep(1.0)
        assert arrivals(site, "waits") == before

    async def test_half_closed(self, site):
        """A half-closed connection cancels the request."""
        with raw_caller(site, "half") as caller:
            await wait_for_arrivals(site, "half")
            caller.shutdown(socket.SHUT_WR)
            await wait_for_cancellation(site, "half")
