# SPDX-License-Identifier: MIT
"""Runners that take connections and don't respond, on real sockets."""

from __future__ import annotations

import asyncio

import pytest

from routing_samples import runner
from violethatch.upstream import ReachOutcome, ReportLateError


class SilentListener:
    """Takes connections and reads requests, and answers none of them."""

    def __init__(self):
        self.connections = 0
        self.address = ""

    async def take(self, reader, writer):
        self.connections += 1
        try:
            await reader.read(-1)
        finally:
            writer.close()


@pytest.fixture
async def listener():
    """Provide an address where nobody responds."""
    made = SilentListener()
    server = await asyncio.start_server(made.take, "127.0.0.1", 0)
    made.address = "{}:{}".format(*server.sockets[0].getsockname())
    yield made
    server.close()


async def test_busy_runners_are_taken_for_lost_links(runners, listener):
    """A link that takes connections is not lost, whatever the runner does."""
    server = runner("a", 0, 80, address=listener.address)
    reached = await runners.reach(server, health_path="")
    assert reached is ReachOutcome.CONNECTED


async def test_late_report_differs_from_a_refused_one(runners, listener):
    """A runner that took the request is late; one that listens nowhere is not."""
    server = runner("a", 0, 80, address=listener.address)
    with pytest.raises(ReportLateError):
        await runners.report(server)
    closed = runner("b", 0, 80, address="127.0.0.1:1")
    assert await runners.report(closed) is None


async def test_late_reports_are_requested_twice(runners, listener):
    """While reports are late, each is not requested over a second connection too."""
    server = runner("a", 0, 80, address=listener.address)
    for _ in range(8):
        with pytest.raises(ReportLateError):
            await runners.report(server)
    before = listener.connections
    for _ in range(3):
        with pytest.raises(ReportLateError):
            await runners.report(server)
    assert listener.connections - before <= 3
