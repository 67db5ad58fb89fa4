# SPDX-License-Identifier: MIT
"""Fenced orders of a zone's lease holder."""

from __future__ import annotations

import asyncio
import signal

from conftest import LAYERS, RUNNERS
from violethatch_emulator import RunnerPlan


LEASE = {"lease_duration_s": 1.2, "lease_margin_s": 0.4}
#: The last runner does not check the fencing token.
MIXED_RUNNERS = (
    *RUNNERS[:-1],
    RunnerPlan("unchecked", 4, 6, checks_fence=False),
)


def with_adapters(model, *adapters):
    """Return an intent that declares a model's adapters."""
    spec = {"version": "v1", "layer_count": LAYERS, "adapters": list(adapters)}
    return {"set": {"models": {model: spec}}}


async def wait_adapters(cluster, adapter):
    """Wait until every runner has loaded an adapter."""
    async with asyncio.timeout(15):
        for plan in MIXED_RUNNERS:
            while adapter not in (await cluster.status(plan.runner_id))["adapters"]:
                await asyncio.sleep(0.05)


async def holders(cluster, entries):
    """Return the instances that hold the lease, with their epochs."""
    states = {entry: await cluster.state(entry) for entry in entries}
    return {
        entry: state["orders_epoch"]
        for entry, state in states.items()
        if state["orders_epoch"] is not None
    }


class TestOrders:
    async def test_declared_adapters_are_loaded(self, bench):
        """Guards against runners that miss an adapter, with or without fencing."""
        await bench.start(runners=MIXED_RUNNERS, policy=LEASE)
        cluster = bench.cluster
        await cluster.declare("e1", with_adapters(cluster.model, "diet"))
        await wait_adapters(cluster, "diet")

    async def test_paused_holder_is_fenced(self, bench):
        """A resumed holder sends orders after another instance acquired the lease."""
        entries = ("e1", "e2")
        await bench.start(entries=entries, runners=MIXED_RUNNERS, policy=LEASE)
        cluster = bench.cluster
        async with asyncio.timeout(10):
            while len(epochs := await holders(cluster, entries)) != 1:
                await asyncio.sleep(0.05)
        ((holder, epoch),) = epochs.items()
        (other,) = set(entries) - {holder}
        cluster.processes[holder].send(signal.SIGSTOP)
        await cluster.wait_state(
            other, lambda state: (state["orders_epoch"] or 0) > epoch
        )
        await cluster.declare(other, with_adapters(cluster.model, "diet"))
        await wait_adapters(cluster, "diet")
        cluster.processes[holder].send(signal.SIGCONT)
        assert (await cluster.state(holder))["orders_epoch"] is None
        for plan in MIXED_RUNNERS[:-1]:
            status = await cluster.status(plan.runner_id)
            fences = [order[1] for order in status["orders"]]
            assert fences == sorted(fences)
            assert status["fence"] > epoch
