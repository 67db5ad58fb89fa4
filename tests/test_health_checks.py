# SPDX-License-Identifier: MIT
"""Unresponsive runners are probed before they are used again."""

from __future__ import annotations

import asyncio
import random

import pytest

from router_fakes import FakeClient, make_routing, report
from routing_samples import plain_server, runner
from violethatch import _health_checks, clocks, slow_runners
from violethatch._health_checks import HealthCheckLoop
from violethatch.runner_health import ServerFault


A, B = runner("a", 0, 80), runner("b", 0, 80)


@pytest.fixture(autouse=True)
def always_due(monkeypatch):
    """Make each runner in cooldown due for a probe at each check."""
    monkeypatch.setattr(_health_checks, "_PROBE_INTERVAL_S", 0.0)


def in_cooldown(routing, *, in_s=0.0):
    """Return the runners in cooldown, now or later."""
    return routing.health.in_cooldown(now_s=clocks.now_s() + in_s)


class TestHealthCheckLoop:
    async def test_runner_that_responds_is_used_again(self):
        """Its cooldown ends at once."""
        client = FakeClient()
        client.reports["a"] = report()
        routing = make_routing(client, A, B, rng=random.Random(1))
        for server in (A, B):
            routing.record_fault(server, ServerFault.SILENT, "r", "dead")
        await HealthCheckLoop(routing, rng=random.Random(1)).check()
        assert in_cooldown(routing) == {"b"}

    async def test_cooldown_of_a_silent_runner_is_extended(self):
        """No request is used to detect that it is still unresponsive."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        routing.record_fault(A, ServerFault.SILENT, "r", "dead")
        routing.health.extend_cooldown("a", now_s=clocks.now_s() - 2.0)
        expires_in_s = routing.settings.bounds.stall_s - 0.01
        watch = HealthCheckLoop(routing, rng=random.Random(1))
        await asyncio.sleep(0.05)
        assert in_cooldown(routing, in_s=expires_in_s) == set()
        await watch.check()
        assert in_cooldown(routing, in_s=expires_in_s) == {"a"}

    async def test_cooldown_is_bounded(self):
        """A runner that recovers is used again within the engines' own stall limit."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        routing.record_fault(A, ServerFault.SILENT, "r", "dead")
        for _ in range(9):
            await HealthCheckLoop(routing, rng=random.Random(1)).check()
        max_s = routing.settings.bounds.stall_s + 0.1
        assert in_cooldown(routing, in_s=max_s) == set()

    @pytest.mark.parametrize(
        "trouble", [ServerFault.NAMED, ServerFault.FAILED, ServerFault.FULL]
    )
    async def test_other_troubles_expire(self, trouble):
        """A response to a probe doesn't clear them."""
        client = FakeClient()
        client.reports["a"] = report()
        routing = make_routing(client, A, rng=random.Random(1))
        routing.record_fault(A, trouble, "r", "")
        await HealthCheckLoop(routing, rng=random.Random(1)).check()
        assert in_cooldown(routing) == {"a"}

    async def test_plain_servers_are_not_probed(self):
        """They provide no reports."""
        routing = make_routing(FakeClient(), plain_server("p"), rng=random.Random(1))
        routing.record_fault(plain_server("p"), ServerFault.SILENT, "r", "")
        await HealthCheckLoop(routing, rng=random.Random(1)).check()
        assert in_cooldown(routing, in_s=routing.settings.bounds.stall_s) == set()

    async def test_many_instances_probe_less_often(self, monkeypatch):
        """The total rate of probes stays bounded."""
        monkeypatch.setattr(_health_checks, "_PROBE_INTERVAL_S", 0.05)
        probed = []

        class ProbedClient(FakeClient):
            async def report(self, server):
                probed.append(server.id)

        for instances, max_probes in ((1, 10), (80, 1)):
            probed.clear()
            routing = make_routing(ProbedClient(), A, rng=random.Random(1))
            routing.instance_count = lambda count=instances: count
            routing.record_fault(A, ServerFault.SILENT, "r", "dead")
            watch = HealthCheckLoop(routing, rng=random.Random(1))
            for _ in range(6):
                await watch.check()
                routing.probes.forget("a")
                await asyncio.sleep(0.06)
            assert (len(probed) > 1) == (max_probes > 1)

    async def test_slow_runner_is_probed_again(self, monkeypatch):
        """A report of normal speed clears the slow state."""
        monkeypatch.setattr(slow_runners, "_PROBE_AFTER_S", 0.0)
        client = FakeClient()
        client.reports["a"] = report(slowness=1.0)
        routing = make_routing(client, A, rng=random.Random(1))
        routing.slow_runners.record("a", 12.0, now_s=clocks.now_s())
        await HealthCheckLoop(routing, rng=random.Random(1)).check()
        assert routing.slow_runners.slow(now_s=clocks.now_s()) == {}

    async def test_checks_continue(self):
        """The loop runs until it is cancelled."""
        client = FakeClient()
        client.reports["a"] = report()
        routing = make_routing(client, A, rng=random.Random(1))
        watch = asyncio.create_task(
            HealthCheckLoop(routing, rng=random.Random(1)).run()
        )
        for _ in range(2):
            routing.record_fault(A, ServerFault.SILENT, "r", "dead")
            async with asyncio.timeout(5):
                while in_cooldown(routing):
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.55)
        watch.cancel()
