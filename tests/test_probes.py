# SPDX-License-Identifier: MIT
"""Probes of runners that requests wait for."""

from __future__ import annotations

import asyncio

from router_fakes import report
from routing_samples import runner
from violethatch import _probes
from violethatch._probes import Probes
from violethatch.upstream import KeptBackError


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


async def silent(probes, *servers):
    """Return the servers that are found silent."""
    return (await probes.probe(servers, timeout_s=5.0)).silent


class TestProbes:
    async def test_silent_ones_are_named(self):
        """Those that answer are well."""
        assert await silent(Probes(CountingClient("b")), A, B) == (B,)

    async def test_reports_are_given(self):
        """What a runner told is there for who asked."""
        found = await Probes(CountingClient("b")).probe([A, B], timeout_s=5.0)
        assert found.reports.keys() == {"a"}

    async def test_slow_ones_are_pending(self):
        """Who waits no longer learns who has not answered yet."""

        class HangingClient:
            async def report(self, server):
                await asyncio.Event().wait()

        found = await Probes(HangingClient()).probe([A], timeout_s=0.001)
        assert (found.silent, found.pending) == ((), (A,))

    async def test_silence_is_told_of_when_it_is_known(self):
        """Also if nobody waits for the probe any more."""
        told = []
        probes = Probes(CountingClient("a"), on_silent=told.append)
        await probes.probe([A, B], timeout_s=0.001)
        await asyncio.sleep(0.05)
        assert told == [A]

    async def test_who_wants_nothing_is_not_silent(self):
        """It is not asked, nobody is told of a silence, and one look counts a while."""
        looks, told = [], []

        class RestingClient:
            async def report(self, server):
                looks.append(server.id)
                raise KeptBackError("rest", 3.0)

        probes = Probes(RestingClient(), on_silent=told.append)
        for _ in range(5):
            found = await probes.probe([A], timeout_s=5.0)
            assert (found.silent, found.pending, found.skipped) == ((), (), (A,))
        assert (looks, told) == (["a"], [])

    async def test_requests_share_a_probe(self):
        """However many requests wait, a runner is asked once."""
        client = CountingClient()
        probes = Probes(client)
        await asyncio.gather(*(silent(probes, A) for _ in range(20)))
        await silent(probes, A)
        assert client.asked == ["a"]

    async def test_who_leaves_takes_no_probe_along(self):
        """The request that began a probe may be cancelled."""
        probes = Probes(CountingClient("a"))
        first = asyncio.create_task(silent(probes, A))
        await asyncio.sleep(0)
        second = asyncio.create_task(silent(probes, A))
        await asyncio.sleep(0)
        first.cancel()
        assert await second == (A,)

    async def test_outcome_counts_for_a_moment(self, monkeypatch):
        """Then the runner is asked anew."""
        monkeypatch.setattr(_probes, "_PROBE_LIFE_S", 0.0)
        client = CountingClient()
        probes = Probes(client)
        await silent(probes, A)
        await silent(probes, A)
        assert client.asked == ["a", "a"]
