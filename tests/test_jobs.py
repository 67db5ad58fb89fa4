# SPDX-License-Identifier: MIT
"""Fenced orders by the holder of a zone's lease."""

from __future__ import annotations

import asyncio
import signal

from conftest import LAYERS, RUNNERS
from violethatch_emulator import RunnerPlan


LEASE = {"lease_duration_s": 1.2, "lease_margin_s": 0.4}
#: The second runner does not check who orders.
RUNNERS_MIXED = (
    *RUNNERS[:-1],
    RunnerPlan("unchecked", 4, 6, checks_fence=False),
)


def with_adapters(model, *adapters):
    """Return an intent that declares a model's adapters."""
    spec = {"version": "v1", "layer_count": LAYERS, "adapters": list(adapters)}
    return {"set": {"models": {model: spec}}}


async def wait_adapters(cluster, adapter):
    """Wait until all runners have loaded an adapter."""
    async with asyncio.timeout(15):
        for plan in RUNNERS_MIXED:
            while adapter not in (await cluster.status(plan.runner_id))["adapters"]:
                await asyncio.sleep(0.05)


async def holders(cluster, entries):
    """Return the instances that hold the lease, with its epoch."""
    states = {entry: await cluster.state(entry) for entry in entries}
    return {
        entry: state["orders_epoch"]
        for entry, state in states.items()
        if state["orders_epoch"] is not None
    }


class TestOrders:
    async def test_declared_adapters_get_loaded(self, bench):
        """All the zone's runners load an adapter, whether they check fences or not."""
        await bench.start(runners=RUNNERS_MIXED, policy=LEASE)
        cluster = bench.cluster
        await cluster.declare("e1", with_adapters(cluster.model, "diet"))
        await wait_adapters(cluster, "diet")

    async def test_frozen_holder_is_fenced_off(self, bench):
        """Another instance takes over under a higher fence; the woken one stops."""
        entries = ("e1", "e2")
        await bench.start(entries=entries, runners=RUNNERS_MIXED, policy=LEASE)
        cluster = bench.cluster
        async with asyncio.timeout(10):
            while len(found := await holders(cluster, entries)) != 1:
                await asyncio.sleep(0.05)
        ((holder, epoch),) = found.items()
        (other,) = set(entries) - {holder}
        cluster.processes[holder].send(signal.SIGSTOP)
        await cluster.wait_state(
            other, lambda state: (state["orders_epoch"] or 0) > epoch
        )
        await cluster.declare(other, with_adapters(cluster.model, "diet"))
        await wait_adapters(cluster, "diet")
        cluster.processes[holder].send(signal.SIGCONT)
        assert (await cluster.state(holder))["orders_epoch"] is None
        for plan in RUNNERS_MIXED[:-1]:
            status = await cluster.status(plan.runner_id)
            fences = [order[1] for order in status["orders"]]
            assert fences == sorted(fences)
            assert status["fence"] > epoch
