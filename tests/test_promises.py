# SPDX-License-Identifier: MIT
"""A proof for each promise, under failure, on real processes.

A proof returns what it found violated.  Each is run twice: as the product is,
when it must find nothing, and with the mechanism that keeps the promise
switched off (see `broken`), when it must find something.
"""

from __future__ import annotations

import asyncio
import signal

import pytest

from conftest import LAYERS, RUNNERS
from proving import (
    TEST_TIMEOUT_S,
    come_to_pass,
    label,
    program,
    stream_many,
    wait_running,
    wait_under_way,
    wait_working,
)
from violethatch import clocks
from violethatch_emulator import RunnerPlan
from violethatch_emulator.callers import call_service, workspace_spec


async def stage_killed(bench, broken):
    """Kill a stage under streams; answers stay right, layers run once."""
    await bench.start(**program(broken))
    cluster = bench.cluster
    streams = asyncio.create_task(stream_many(cluster, ["e1"], count=20, limit=200))
    await wait_under_way(cluster, streams, "r2a")
    await cluster.processes["r2a"].kill()
    found = await streams
    return found + cluster.ledger().faults(layer_count=LAYERS)


async def stage_frozen(bench, broken):
    """Freeze a stage under streams; they go on, and its late answers are dropped."""
    await bench.start(**program(broken))
    cluster = bench.cluster
    streams = asyncio.create_task(stream_many(cluster, ["e1"], count=20, limit=200))
    await wait_under_way(cluster, streams, "r2a")
    cluster.processes["r2a"].send(signal.SIGSTOP)
    done, _ = await asyncio.wait([streams], timeout=10)
    found = [] if done else ["streams wait for the frozen stage"]
    cluster.processes["r2a"].send(signal.SIGCONT)
    found += await streams
    # Its late answers come now, while it gets new requests.
    found += await stream_many(cluster, ["e1"], count=20, limit=10)
    return found + cluster.ledger().faults(layer_count=LAYERS)


async def answers_not_crossed(bench, broken):
    """Many streams over the same stages; each caller gets its own answer."""
    await bench.start(entries=("e1", "e2"), **program(broken))
    return await stream_many(bench.cluster, ["e1", "e2"], count=40, limit=12)


async def lost_answer_is_not_called_not_run(bench, broken):
    """A service's answer is lost; the error must not say "not run"."""
    await bench.start(runners=(), **program(broken))
    cluster = bench.cluster
    await cluster.start_service("s1", "labels", proxied=True)
    await cluster.wait_services("e1")
    cluster.proxies["s1"].answers_to_swallow = 1
    status, problem = await call_service(
        cluster.http, cluster.url("e1"), workspace="clinic", service="labels"
    )
    calls = cluster.service_calls()
    if status == 201 or len(calls) != 1:
        return [f"not provoked: {status}, {calls}"]
    return [] if problem["ran"] == "maybe" else ["said not run of what ran"]


async def not_repeatable_sent_once(bench, broken):
    """A service's answer is lost with another server at hand; it runs once."""
    await bench.start(runners=(), **program(broken))
    cluster = bench.cluster
    await cluster.start_service("s1", "labels", proxied=True)
    await cluster.start_service("s2", "labels", proxied=True)
    await cluster.wait_services("e1", servers=2)
    for proxy in cluster.proxies.values():
        proxy.answers_to_swallow = 1
    # PUT: the HTTP library would repeat it by itself if it were let.
    await call_service(
        cluster.http,
        cluster.url("e1"),
        workspace="clinic",
        service="labels",
        method="PUT",
    )
    runs = len(cluster.service_calls())
    return [] if runs == 1 else [f"ran {runs} times"]


async def entry_killed_in_keyed_call(bench, broken):
    """The instance dies during a keyed call; the resend must not run it again."""
    await bench.start(entries=("e1", "e2"), runners=(), **program(broken))
    cluster = bench.cluster
    await cluster.start_service("s1", "labels", delay_s=1.0)
    await cluster.wait_services("e1", "e2")
    first = asyncio.create_task(label(cluster, "e1", "k1"))
    await wait_running(cluster, first)
    await cluster.processes["e1"].kill()
    await asyncio.gather(first, return_exceptions=True)
    status, problem = await label(cluster, "e2", "k1")
    runs = len(cluster.service_calls())
    found = [] if runs == 1 else [f"ran {runs} times"]
    if broken is None and (status, problem["code"]) != (409, 1305):
        found.append(f"resend answered {status}: {problem}")
    return found


async def claim_answers_lost(bench, broken):
    """The table takes claims but loses its answers; the call runs once, answered."""
    await bench.start(entries=("e1", "e2"), runners=(), **program(broken))
    cluster = bench.cluster
    await cluster.start_service("s1", "labels")
    await cluster.wait_services("e1", "e2")
    await cluster.control("platform", lose_write_answers=1)
    status, answer = await label(cluster, "e1", "k1")
    again = await label(cluster, "e2", "k1")
    found = [] if status == 201 else [f"answered {status}: {answer}"]
    if again != (status, answer):
        found.append(f"resend got {again}")
    runs = len(cluster.service_calls())
    return found if runs == 1 else [*found, f"ran {runs} times"]


async def table_out(bench, broken):
    """With the table out, a keyed call is refused and truly not run."""
    await bench.start(runners=(), **program(broken))
    cluster = bench.cluster
    await cluster.start_service("s1", "labels")
    await cluster.wait_services("e1")
    await cluster.control("platform", outage=True)
    status, problem = await label(cluster, "e1", "k1")
    found = []
    if status != 503 or problem["ran"] != "no":
        found.append(f"answered {status}: {problem}")
    if cluster.service_calls():
        found.append("ran")
    await cluster.control("platform", outage=False)
    status, _ = await label(cluster, "e1", "k1")
    if status != 201:
        found.append(f"afterwards answered {status}")
    return found


async def runner_leaves(bench, broken):
    """The list says that a runner leaves; it gets no new work, and cuts nothing."""
    await bench.start(**program(broken))
    cluster = bench.cluster
    streams = asyncio.create_task(stream_many(cluster, ["e1"], count=20, limit=60))
    await wait_working(cluster, streams, "r2a")
    await cluster.list_leaving("r2a")

    async def is_marked():
        runners = (await cluster.state("e1"))["runners"]
        return any(x["runner_id"] == "r2a" and x["leaving"] for x in runners)

    await come_to_pass(is_marked, limit_s=20 if broken is None else 2)
    before = {x.request for x in cluster.ledger().lines if x.runner_id == "r2a"}
    found = await stream_many(cluster, ["e1"], count=20, limit=5)
    after = {x.request for x in cluster.ledger().lines if x.runner_id == "r2a"}
    if after - before:
        found.append(f"{len(after - before)} new requests reached it")
    return found + await streams


async def runner_empties(bench, broken):
    """Streams move off a leaving runner with their caches, and stay right."""
    await bench.start(**program(broken))
    cluster = bench.cluster
    streams = asyncio.create_task(stream_many(cluster, ["e1"], count=20, limit=600))
    await wait_working(cluster, streams, "r2a")
    held = (await cluster.status("r2a"))["requests"]
    found = [] if held else ["not provoked: the runner had no streams"]
    await cluster.control("r2a", leaving=True)

    async def is_empty():
        return streams.done() or not (await cluster.status("r2a"))["requests"]

    await come_to_pass(is_empty, limit_s=20 if broken is None else 2)
    left = (await cluster.status("r2a"))["requests"]
    if streams.done():
        found.append("not provoked: the streams have ended")
    if left:
        found.append(f"{left} of {held} streams are still on it")
    return found + await streams + cluster.ledger().faults(layer_count=LAYERS)


async def entry_stops(bench, broken):
    """An instance is stopped under streams; none is cut off."""
    grace = {"drain_grace_s": 0.2}
    await bench.start(entries=("e1", "e2"), limits=grace, **program(broken))
    cluster = bench.cluster
    streams = asyncio.create_task(stream_many(cluster, ["e1"], count=10, limit=400))
    await cluster.wait_state("e1", lambda state: state["in_flight"] == 10)
    status = await cluster.processes["e1"].terminate(timeout_s=30)
    found = await asyncio.gather(streams, return_exceptions=True)
    if isinstance(found[0], BaseException):
        return [repr(found[0])]
    return found[0] if status == 0 else [*found[0], f"ended with {status}"]


async def operators_race(bench, broken):
    """Two operators confirm at once; one wins, and it is in force everywhere."""
    entries = ("e1", "e2", "e3")
    await bench.start(
        entries=entries, zones=("z1", "z1", "z2"), runners=(), **program(broken)
    )
    cluster = bench.cluster

    async def confirm(entry, workspace):
        intent = {"set": {"workspaces": {workspace: workspace_spec(workspace)}}}
        _, plan = await cluster.operate(entry, "POST", "/plan", intent)
        body = {"intent": intent, **{k: plan[k] for k in ("base_revision", "digest")}}
        return await cluster.operate(entry, "POST", "/confirm", body)

    # Slow enough that both read the head before either writes.
    await cluster.control("platform", delay_s=0.3)
    answers = await asyncio.gather(confirm("e1", "north"), confirm("e3", "south"))
    started_s = clocks.now_s()
    await cluster.control("platform", delay_s=0.0)
    found = []
    if sorted(status for status, _ in answers) != [200, 409]:
        found.append(f"answers {answers}")
    for entry in entries:
        await cluster.wait_state(entry, lambda state: state["revision"] == 2)
    if clocks.now_s() - started_s > 10:
        found.append("not in force within seconds")
    digests = {(await cluster.state(entry))["config_digest"] for entry in entries}
    return found if len(digests) == 1 else [*found, "instances differ"]


async def table_restored(bench, broken):
    """The table is restored to an older state; the configuration stays."""
    await bench.start(entries=("e1", "e2"), runners=(), **program(broken))
    cluster = bench.cluster
    await cluster.control("platform", snapshot="old")
    intent = {"set": {"workspaces": {"north": workspace_spec("north")}}}
    await cluster.declare("e1", intent)
    await cluster.wait_state("e2", lambda state: state["revision"] == 2)
    await cluster.control("platform", restore="old")

    async def is_repaired():
        row = (await cluster.status("platform"))["rows"]["config/head"]
        return row["value"]["revision"] == 2

    lowest = 2
    for _ in range(30):
        states = await asyncio.gather(cluster.state("e1"), cluster.state("e2"))
        lowest = min(lowest, *(state["revision"] for state in states))
        await asyncio.sleep(0.1)
    found = [] if lowest == 2 else [f"reverted to {lowest}"]
    if not await come_to_pass(is_repaired, limit_s=20 if broken is None else 2):
        found.append("the table was not repaired")
    return found


ZONED = tuple(
    RunnerPlan(f"{zone}-r{first}", first, first + 2, zone=zone)
    for zone in ("z1", "z2")
    for first in (0, 2, 4)
)


async def zone_cut_off(bench, broken):
    """A zone is cut from the platform and the other zone; both go on serving."""
    cluster = bench.cluster
    platform = await cluster.add_proxy("platform-z2", cluster.platform_port)
    for plan in ZONED:
        await cluster.start_runner(plan, proxied=plan.zone == "z1")
    await cluster.start_service("s2", "labels", zone="z2")
    await bench.start(runners=(), entries=("e1",), peers_proxied=True)
    await cluster.start_entry(
        "e2",
        zone="z2",
        platform_port=platform.port,
        peers_proxied=True,
        **program(broken),
    )
    await cluster.wait_ready("e1", "e2", runners=len(ZONED))
    platform.cut()
    for entry in ("e1", "e2"):
        cluster.proxies[f"{entry}-peers"].cut()
    for plan in ZONED[:3]:
        cluster.proxies[plan.runner_id].cut()
    await cluster.wait_state("e2", lambda state: state["zone_members"] == ["e2"])

    async def is_cut():
        runners = (await cluster.state("e2"))["runners"]
        is_told = "violethatch:table_unreachable" in cluster.log_of("e2")
        return is_told and all(
            x["connected"] == x["runner_id"].startswith("z2") for x in runners
        )

    await come_to_pass(is_cut, limit_s=20)
    found = await stream_many(cluster, ["e2"], count=10, limit=10)
    status, problem = await label(cluster, "e2", "k1")
    if status != 503 or problem["ran"] != "no" or cluster.service_calls():
        found.append(f"keyed call answered {status}: {problem}")
    platform.heal()
    for entry in ("e1", "e2"):
        cluster.proxies[f"{entry}-peers"].heal()
    intent = {"set": {"workspaces": {"north": workspace_spec("north")}}}
    await cluster.declare("e1", intent)
    await cluster.wait_state("e2", lambda state: state["revision"] == 2)
    return found


async def start_from_peers(bench, broken):
    """An instance that starts while the table is out learns from its peers."""
    await bench.start()
    cluster = bench.cluster
    await cluster.control("platform", outage=True)
    await cluster.start_entry("e2", **program(broken))
    try:
        await cluster.wait_ready("e2", runners=len(RUNNERS))
    except TimeoutError:
        return ["it never learnt the configuration"]
    return await stream_many(cluster, ["e2"], count=5, limit=5)


PROOFS = (
    (stage_killed, "rebuilding"),
    (stage_frozen, "stall_limits"),
    (answers_not_crossed, "labels"),
    (lost_answer_is_not_called_not_run, "ran_maybe"),
    (not_repeatable_sent_once, "single_send"),
    (entry_killed_in_keyed_call, "claims"),
    (claim_answers_lost, "settling"),
    (table_out, "claims"),
    (runner_leaves, "leaving_marks"),
    (runner_empties, "moving"),
    (entry_stops, "drain"),
    (operators_race, "one_winner"),
    (table_restored, "growing_revisions"),
    (zone_cut_off, "memory"),
    (start_from_peers, "peer_start"),
)
IDS = [proof.__name__ for proof, _ in PROOFS]


class TestPromises:
    @pytest.mark.parametrize("proof", [proof for proof, _ in PROOFS], ids=IDS)
    async def test_holds(self, bench, proof):
        """The promise holds under the failure."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await proof(bench, None) == []

    @pytest.mark.parametrize(("proof", "mechanism"), PROOFS, ids=IDS)
    async def test_fails_without_its_mechanism(self, bench, proof, mechanism):
        """The proof finds a violation once the mechanism is off."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await proof(bench, mechanism) != []
