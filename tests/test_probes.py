# SPDX-License-Identifier: MIT
"""Probes of runners with stalled requests."""

from __future__ import annotations

import asyncio

from router_fakes import report
from routing_samples import runner
from violethatch import _probes
from violethatch._probes import Probes
from violethatch.upstream import KeptBackError


class CountingClient:
    """Counts the probes by runner; some runners do not respond."""

    def __init__(self, *silent):
        self.silent = silent
        self.probed = []

    async def report(self, server):
        self.probed.append(server.id)
        await asyncio.sleep(0.01)
        return None if server.id in self.silent else report()


A, B = runner("a"), runner("b")


async def silent(probes, *servers):
    """Return the servers found to be silent."""
    return (await probes.probe(servers, timeout_s=5.0)).silent


class TestProbes:
    async def test_silent_runners_are_returned(self):
        """Runners that respond are not silent."""
        assert await silent(Probes(CountingClient("b")), A, B) == (B,)

    async def test_reports_are_returned(self):
        """The results include the reports."""
        results = await Probes(CountingClient("b")).probe([A, B], timeout_s=5.0)
        assert results.reports.keys() == {"a"}

    async def test_runners_without_response_are_pending(self):
        """On a timeout, the result lists the runners that have not responded yet."""

        class HangingClient:
            async def report(self, server):
                await asyncio.Event().wait()

        results = await Probes(HangingClient()).probe([A], timeout_s=0.001)
        assert (results.silent, results.pending) == ((), (A,))

    async def test_callback_after_timeout(self):
        """The callback is called even if no request awaits the probe any more."""
        reported = []
        probes = Probes(CountingClient("a"), on_silent=reported.append)
        await probes.probe([A, B], timeout_s=0.001)
        await asyncio.sleep(0.05)
        assert reported == [A]

    async def test_runner_in_backoff_is_not_silent(self):
        """A runner in back-off is neither probed nor silent; the result is reused."""
        probed, reported = [], []

        class BackoffClient:
            async def report(self, server):
                probed.append(server.id)
                raise KeptBackError("rest", 3.0)

        probes = Probes(BackoffClient(), on_silent=reported.append)
        for _ in range(5):
            results = await probes.probe([A], timeout_s=5.0)
            assert (results.silent, results.pending, results.skipped) == ((), (), (A,))
        assert (probed, reported) == (["a"], [])

    async def test_requests_share_a_probe(self):
        """A runner is probed once for any number of concurrent requests."""
        client = CountingClient()
        probes = Probes(client)
        await asyncio.gather(*(silent(probes, A) for _ in range(20)))
        await silent(probes, A)
        assert client.probed == ["a"]

    async def test_cancelled_request_keeps_probe(self):
        """The request that started a probe may be cancelled."""
        probes = Probes(CountingClient("a"))
        first = asyncio.create_task(silent(probes, A))
        await asyncio.sleep(0)
        second = asyncio.create_task(silent(probes, A))
        await asyncio.sleep(0)
        first.cancel()
        assert await second == (A,)

    async def test_result_expires(self, monkeypatch):
        """An expired result is replaced by a new probe."""
        monkeypatch.setattr(_probes, "_RESULT_TTL_S", 0.0)
        client = CountingClient()
        probes = Probes(client)
        await silent(probes, A)
        await silent(probes, A)
        assert client.probed == ["a", "a"]
