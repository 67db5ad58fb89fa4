# SPDX-License-Identifier: MIT
"""Failures over longer stretches, and pairs of them, on real processes.

As in `test_promises`, each is run as the product is and, where a mechanism
can be named, with it switched off.
"""

from __future__ import annotations

import asyncio
import itertools
import signal

import pytest

from conftest import LAYERS, RUNNERS
from proving import (
    TEST_TIMEOUT_S,
    answer_fault,
    come_to_pass,
    label,
    long_prompt,
    program,
    stream_many,
    wait_running,
    wait_under_way,
    wait_working,
)
from violethatch_emulator import RunnerPlan
from violethatch_emulator.callers import stream, workspace_spec


#: Long enough to outlast the second that a stop waits even without its drain.
ROLLING_TOKENS = 600


async def rolling_replacement(bench, broken):
    """All instances are replaced, one after the other, under load."""
    options = {"limits": {"drain_grace_s": 0.3}, **program(broken)}
    await bench.start(entries=("e1", "e2"), **options)
    cluster = bench.cluster
    ready = ["e1", "e2"]
    found = []

    prompts = [long_prompt(f"caller {number}", ROLLING_TOKENS) for number in range(16)]
    is_over = asyncio.Event()

    async def call_on(number):
        for turn in itertools.count():
            if is_over.is_set():
                return
            prompt = prompts[number]
            entry = ready[(number + turn) % len(ready)]
            answer = await stream(
                cluster.http,
                cluster.url(entry),
                workspace="clinic",
                model=cluster.model,
                prompt=prompt,
                max_tokens=ROLLING_TOKENS,
            )
            found.extend(answer_fault(entry, answer, prompt, ROLLING_TOKENS))

    callers = [asyncio.create_task(call_on(number)) for number in range(16)]
    for number, old in enumerate(("e1", "e2")):
        new = f"n{number}"
        await cluster.start_entry(new, **options)
        await cluster.wait_ready(new, runners=len(RUNNERS))
        ready.append(new)
        ready.remove(old)
        status = await cluster.processes[old].terminate(timeout_s=30)
        await cluster.unlist(old)
        if status != 0:
            found.append(f"{old} ended with {status}")
    is_over.set()
    results = await asyncio.gather(*callers, return_exceptions=True)
    found += [repr(error) for error in results if isinstance(error, BaseException)]
    return found + cluster.ledger().faults(layer_count=LAYERS)


async def runner_joins(bench, broken):
    """A runner that starts under load gets work."""
    first = [plan for plan in RUNNERS if plan.runner_id != "r2b"]
    await bench.start(runners=first, **program(broken))
    cluster = bench.cluster
    streams = asyncio.create_task(stream_many(cluster, ["e1"], count=20, limit=100))
    await cluster.start_runner(RunnerPlan("joined", 2, 4))
    await cluster.wait_ready("e1", runners=len(RUNNERS))
    found = await stream_many(cluster, ["e1"], count=20, limit=10)
    if "joined" not in {line.runner_id for line in cluster.ledger().lines}:
        found.append("it got no work")
    return found + await streams + cluster.ledger().faults(layer_count=LAYERS)


async def link_slows_down(bench, broken):
    """A link gets some hundred times as slow; streams go on elsewhere."""
    await bench.start(proxied=("r2a", "r2b"), **program(broken))
    cluster = bench.cluster
    await stream_many(cluster, ["e1"], count=10, limit=20)
    streams = asyncio.create_task(stream_many(cluster, ["e1"], count=10, limit=100))
    await wait_working(cluster, streams, "r2a")
    cluster.proxies["r2a"].delay_s = 1.0
    done, _ = await asyncio.wait([streams], timeout=12)
    found = [] if done else ["streams wait for the slow link"]
    cluster.proxies["r2a"].heal()
    return found + await streams + cluster.ledger().faults(layer_count=LAYERS)


async def instance_paused_in_keyed_call(bench, broken):
    """An instance is paused past its heartbeats; woken, it stores the outcome."""
    await bench.start(entries=("e1", "e2"), runners=(), **program(broken))
    cluster = bench.cluster
    await cluster.start_service("s1", "labels", delay_s=0.5)
    await cluster.wait_state("e2", lambda state: len(state["zone_members"]) == 2)
    await cluster.wait_services("e1", "e2")
    first = asyncio.create_task(label(cluster, "e1", "k1"))
    await wait_running(cluster, first)
    cluster.processes["e1"].send(signal.SIGSTOP)
    await cluster.wait_state("e2", lambda state: len(state["zone_members"]) == 1)
    status, problem = await label(cluster, "e2", "k1")
    found = []
    if (status, problem.get("code")) != (409, 1305):
        found.append(f"while it was paused: {status} {problem}")
    cluster.processes["e1"].send(signal.SIGCONT)
    answer = await first
    await cluster.wait_state("e1", lambda state: not state["outcomes_unsettled"])
    again = await label(cluster, "e2", "k1")
    if again != answer or answer[0] != 201:
        found.append(f"afterwards: {again}, first {answer}")
    runs = len(cluster.service_calls())
    return found if runs == 1 else [*found, f"ran {runs} times"]


async def table_out_and_instance_killed(bench, broken):
    """The table goes out during a keyed call, then its instance dies."""
    await bench.start(entries=("e1", "e2"), runners=(), **program(broken))
    cluster = bench.cluster
    await cluster.start_service("s1", "labels", delay_s=0.5)
    await cluster.wait_services("e1", "e2")
    first = asyncio.create_task(label(cluster, "e1", "k1"))
    await wait_running(cluster, first)
    await cluster.control("platform", outage=True)
    status, _ = await first
    await cluster.processes["e1"].kill()
    found = [] if status == 201 else [f"the first caller got {status}"]
    status, problem = await label(cluster, "e2", "k1")
    if broken is None and (status, problem["ran"]) != (503, "no"):
        found.append(f"with the table out: {status} {problem}")
    await cluster.control("platform", outage=False)
    status, problem = await label(cluster, "e2", "k1")
    if broken is None and (status, problem["code"]) != (409, 1305):
        found.append(f"with the table back: {status} {problem}")
    runs = len(cluster.service_calls())
    return found if runs == 1 else [*found, f"ran {runs} times"]


async def stage_killed_while_others_leave(bench, broken):
    """A stage dies while another runner leaves and the instance is stopped."""
    grace = {"limits": {"drain_grace_s": 0.2}}
    spare = RunnerPlan("r2c", 2, 4)
    await bench.start(runners=(*RUNNERS, spare), **grace, **program(broken))
    cluster = bench.cluster
    streams = asyncio.create_task(stream_many(cluster, ["e1"], count=15, limit=300))
    await wait_working(cluster, streams, "r0a")
    await wait_under_way(cluster, streams, "r2a")
    await cluster.control("r0a", leaving=True)
    await cluster.processes["r2a"].kill()
    stopping = asyncio.create_task(cluster.processes["e1"].terminate(timeout_s=60))
    found = await asyncio.gather(streams, return_exceptions=True)
    if isinstance(found[0], BaseException):
        return [repr(found[0])]
    status = await stopping
    found = found[0] if status == 0 else [*found[0], f"ended with {status}"]
    return found + cluster.ledger().faults(layer_count=LAYERS)


async def zone_cut_while_operators_confirm(bench, broken):
    """A zone is cut from the table while operators race; it catches up."""
    cluster = bench.cluster
    platform = await cluster.add_proxy("platform-z2", cluster.platform_port)
    await bench.start(runners=(), entries=("e1", "e2"), peers_proxied=True)
    await cluster.start_entry(
        "e3", zone="z2", platform_port=platform.port, **program(broken)
    )
    await cluster.wait_ready("e3")
    # Its peers are out of reach too, so only the table can tell it.
    platform.freeze()
    for entry in ("e1", "e2"):
        cluster.proxies[f"{entry}-peers"].cut()
    for name in ("north", "south"):
        await cluster.declare(
            "e1", {"set": {"workspaces": {name: workspace_spec(name)}}}
        )
    await asyncio.sleep(3)
    state = await cluster.state("e3")
    found = [] if state["revision"] == 1 else [f"not cut: {state['revision']}"]
    platform.drop_connections()
    platform.heal()
    await cluster.wait_state("e3", lambda state: state["revision"] == 3)
    return found


async def list_goes_empty(bench, broken):
    """The platform's list shows nobody for a while; requests are served."""
    await bench.start(**program(broken))
    cluster = bench.cluster
    await cluster.control("platform", list_empty=True)

    async def is_read():
        return (await cluster.status("platform"))["counts"]["empty_lists"] >= 2

    assert await come_to_pass(is_read, limit_s=20)
    found = await stream_many(cluster, ["e1"], count=5, limit=5)
    await cluster.control("platform", list_empty=False)
    return found


FAILURES = (
    (rolling_replacement, "drain"),
    (runner_joins, None),
    (link_slows_down, "stall_limits"),
    (instance_paused_in_keyed_call, "claims"),
    (table_out_and_instance_killed, "claims"),
    (stage_killed_while_others_leave, "rebuilding"),
    (zone_cut_while_operators_confirm, None),
    (list_goes_empty, "list_check"),
)
BREAKABLE = [(proof, broken) for proof, broken in FAILURES if broken]


class TestFailures:
    @pytest.mark.parametrize(
        "proof", [p for p, _ in FAILURES], ids=lambda p: p.__name__
    )
    async def test_holds(self, bench, proof):
        """The promises hold under the failure."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await proof(bench, None) == []

    @pytest.mark.parametrize(
        ("proof", "mechanism"), BREAKABLE, ids=[p.__name__ for p, _ in BREAKABLE]
    )
    async def test_fails_without_its_mechanism(self, bench, proof, mechanism):
        """The proof finds a violation once the mechanism is off."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await proof(bench, mechanism) != []
