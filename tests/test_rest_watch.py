# SPDX-License-Identifier: MIT
"""Runners that were silent are asked before they are used again."""

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
def all_due(monkeypatch):
    """Let each runner that rests be asked at each look."""
    monkeypatch.setattr(_health_checks, "_ASK_S", 0.0)


def resting(routing, *, in_s=0.0):
    """Return who rests, now or later."""
    return routing.health.in_cooldown(now_s=clocks.now_s() + in_s)


class TestRestWatch:
    async def test_runner_that_answers_is_back(self):
        """Its rest ends at once."""
        client = FakeClient()
        client.reports["a"] = report()
        routing = make_routing(client, A, B, rng=random.Random(1))
        for server in (A, B):
            routing.record_fault(server, ServerFault.SILENT, "r", "dead")
        await HealthCheckLoop(routing, rng=random.Random(1)).look()
        assert resting(routing) == {"b"}

    async def test_silent_runner_rests_on(self):
        """No request has to find out that it is still dead."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        routing.record_fault(A, ServerFault.SILENT, "r", "dead")
        routing.health.extend_cooldown("a", now_s=clocks.now_s() - 2.0)
        ends_s = routing.settings.bounds.stall_s - 0.01
        watch = HealthCheckLoop(routing, rng=random.Random(1))
        await asyncio.sleep(0.05)
        assert resting(routing, in_s=ends_s) == set()
        await watch.look()
        assert resting(routing, in_s=ends_s) == {"a"}

    async def test_rests_don_t_grow_for_ever(self):
        """A runner that comes back is used again within the engines' own limit."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        routing.record_fault(A, ServerFault.SILENT, "r", "dead")
        for _ in range(9):
            await HealthCheckLoop(routing, rng=random.Random(1)).look()
        longest_s = routing.settings.bounds.stall_s + 0.1
        assert resting(routing, in_s=longest_s) == set()

    @pytest.mark.parametrize(
        "trouble", [ServerFault.NAMED, ServerFault.FAILED, ServerFault.FULL]
    )
    async def test_other_troubles_end_by_time(self, trouble):
        """That a runner answers says nothing of them."""
        client = FakeClient()
        client.reports["a"] = report()
        routing = make_routing(client, A, rng=random.Random(1))
        routing.record_fault(A, trouble, "r", "")
        await HealthCheckLoop(routing, rng=random.Random(1)).look()
        assert resting(routing) == {"a"}

    async def test_plain_servers_are_not_asked(self):
        """They give no reports."""
        routing = make_routing(FakeClient(), plain_server("p"), rng=random.Random(1))
        routing.record_fault(plain_server("p"), ServerFault.SILENT, "r", "")
        await HealthCheckLoop(routing, rng=random.Random(1)).look()
        assert resting(routing, in_s=routing.settings.bounds.stall_s) == set()

    async def test_many_instances_ask_seldom(self, monkeypatch):
        """What all of them ask together stays bounded."""
        monkeypatch.setattr(_health_checks, "_ASK_S", 0.05)
        asked = []

        class AskedClient(FakeClient):
            async def report(self, server):
                asked.append(server.id)

        for instances, most in ((1, 10), (80, 1)):
            asked.clear()
            routing = make_routing(AskedClient(), A, rng=random.Random(1))
            routing.instance_count = lambda count=instances: count
            routing.record_fault(A, ServerFault.SILENT, "r", "dead")
            watch = HealthCheckLoop(routing, rng=random.Random(1))
            for _ in range(6):
                await watch.look()
                routing.probes.forget("a")
                await asyncio.sleep(0.06)
            assert (len(asked) > 1) == (most > 1)

    async def test_slow_runner_is_asked_again(self, monkeypatch):
        """Until it says that it is quick."""
        monkeypatch.setattr(slow_runners, "_PROBE_AFTER_S", 0.0)
        client = FakeClient()
        client.reports["a"] = report(slowness=1.0)
        routing = make_routing(client, A, rng=random.Random(1))
        routing.slow_runners.record("a", 12.0, now_s=clocks.now_s())
        await HealthCheckLoop(routing, rng=random.Random(1)).look()
        assert routing.slow_runners.slow(now_s=clocks.now_s()) == {}

    async def test_looks_go_on(self):
        """The watch runs until it is cancelled."""
        client = FakeClient()
        client.reports["a"] = report()
        routing = make_routing(client, A, rng=random.Random(1))
        watch = asyncio.create_task(
            HealthCheckLoop(routing, rng=random.Random(1)).run()
        )
        for _ in range(2):
            routing.record_fault(A, ServerFault.SILENT, "r", "dead")
            async with asyncio.timeout(5):
                while resting(routing):
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.55)
        watch.cancel()
