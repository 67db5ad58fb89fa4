# SPDX-License-Identifier: MIT
"""Probes of runners that requests wait for."""

from __future__ import annotations

import asyncio

from router_fakes import report
from routing_samples import runner
from violethatch import _probes
from violethatch._probes import Probes


class CountingClient:
    """Counts who is asked; some runners are silent."""

    def __init__(self, *silent):
        self.silent = silent
        self.asked = []

    async def report(self, server):
        self.asked.append(server.id)
        await asyncio.sleep(0.01)
        return None if server.id in self.silent else report()


A, B = runner("a"), runner("b")


class TestProbes:
    async def test_silent_ones_are_named(self):
        """Those that answer are well."""
        assert await Probes(CountingClient("b")).silent([A, B]) == [B]

    async def test_requests_share_a_probe(self):
        """However many requests wait, a runner is asked once."""
        client = CountingClient()
        probes = Probes(client)
        await asyncio.gather(*(probes.silent([A]) for _ in range(20)))
        await probes.silent([A])
        assert client.asked == ["a"]

    async def test_who_leaves_takes_no_probe_along(self):
        """The request that began a probe may be cancelled."""
        probes = Probes(CountingClient("a"))
        first = asyncio.create_task(probes.silent([A]))
        await asyncio.sleep(0)
        second = asyncio.create_task(probes.silent([A]))
        await asyncio.sleep(0)
        first.cancel()
        assert await second == [A]

    async def test_outcome_counts_for_a_moment(self, monkeypatch):
        """Then the runner is asked anew."""
        monkeypatch.setattr(_probes, "_PROBE_LIFE_S", 0.0)
        client = CountingClient()
        probes = Probes(client)
        await probes.silent([A])
        await probes.silent([A])
        assert client.asked == ["a", "a"]
