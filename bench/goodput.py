# SPDX-License-Identifier: MIT
"""Goodput at saturation against what the hardware could bound.

Runners of four speeds hold overlapping layer ranges, on links of different
delay.  The bound is the maximum flow of the layer graph: boundaries are its
nodes, runners its edges, their rates with full batches the capacities.  Many
callers stream without pause through four instances, with each route policy
in turn over the same runners.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys

import networkx

from _report import percentile, write_rows
from violethatch import clocks
from violethatch_emulator import Cluster, RunnerPlan
from violethatch_emulator.callers import Streamed, standard_intent, stream


LAYERS = 6
ENTRIES = 4
CALLERS = (192, 384)
TOKENS = 48
WARM_UP_S = 4.0
MEASURED_S = 10.0
POLICIES = ("marginal_cost", "own_only", "least_own", "round_robin", "random")
#: A kind's slowness: its batch times are that many times as long.
KINDS = {"k1": 1, "k2": 2, "k4": 4, "k8": 8}
RANGES = {
    (0, 2): ("k1", "k4", "k8"),
    (2, 4): ("k2", "k2", "k4"),
    (4, 6): ("k1", "k8", "k8"),
    (0, 3): ("k4",),
    (3, 6): ("k2",),
}
BATCH_LIMIT = 16
BASE_S = 0.012
STREAM_S = 0.0012
#: Link delays that are given to the runners in turn, in seconds.
LINKS_S = (0.0, 0.001, 0.01, 0.03)


def make_runners() -> list[RunnerPlan]:
    """Return the runners."""
    plans: list[RunnerPlan] = []
    for (first, end), kinds in RANGES.items():
        for copy, kind in enumerate(kinds):
            slowness = KINDS[kind]
            plans.append(
                RunnerPlan(
                    f"r{first}-{end}-{copy}-{kind}",
                    first,
                    end,
                    base_s=BASE_S * slowness,
                    stream_s=STREAM_S * slowness,
                    batch_limit=BATCH_LIMIT,
                    kind=kind,
                    link_s=LINKS_S[len(plans) % len(LINKS_S)],
                )
            )
    return plans


def peak_tokens_per_s(plan: RunnerPlan) -> float:
    """Return a runner's rate with full batches."""
    return plan.batch_limit / (plan.base_s + plan.stream_s * plan.batch_limit)


def bound_tokens_per_s(plans: list[RunnerPlan]) -> float:
    """Return the maximum flow of the layer graph."""
    graph = networkx.DiGraph()
    for plan in plans:
        known = graph.get_edge_data(plan.first, plan.end, {"capacity": 0.0})
        capacity = known["capacity"] + peak_tokens_per_s(plan)
        graph.add_edge(plan.first, plan.end, capacity=capacity)
    return float(networkx.maximum_flow_value(graph, 0, LAYERS))


async def keep_calling(
    cluster: Cluster,
    entry: str,
    name: str,
    answers: list[Streamed],
    times_s: list[list[float]],
) -> None:
    """Stream one answer after the other until cancelled."""
    number = 0
    while True:
        # Counted as they come: an answer may outlast the measurement.
        times_s.append([])
        answer = await stream(
            cluster.http,
            cluster.url(entry),
            workspace="outlet",
            model=cluster.model,
            prompt=f"caller {name} claim {number}",
            max_tokens=TOKENS,
            times_s=times_s[-1],
        )
        answers.append(answer)
        number += 1


async def measure(
    cluster: Cluster, policy: str, count: int, bound: float
) -> dict[str, object]:
    """Measure one policy with so many callers."""
    prefix = f"{policy.replace('_', '-')}-{count}"
    names = [f"{prefix}-{number}" for number in range(ENTRIES)]
    for name in names:
        await cluster.start_entry(name, policy={"route_policy": policy})
    if (await cluster.state(names[0]))["revision"] == 0:
        await cluster.wait_state(names[0], lambda state: state["uptime_s"] > 2)
    if (await cluster.state(names[0]))["revision"] == 0:
        intent = standard_intent(model=cluster.model, layer_count=LAYERS)
        await cluster.declare(names[0], intent)
    await cluster.wait_ready(*names, runners=len(make_runners()))
    answers: list[Streamed] = []
    times_s: list[list[float]] = []
    callers = [
        asyncio.create_task(
            keep_calling(
                cluster, names[number % ENTRIES], str(number), answers, times_s
            )
        )
        for number in range(count)
    ]
    await asyncio.sleep(WARM_UP_S)
    started_s = clocks.now_s()
    await asyncio.sleep(MEASURED_S)
    ended_s = clocks.now_s()
    for caller in callers:
        caller.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*callers, return_exceptions=True)
    cpu_s = [(await cluster.state(name))["cpu_s"] for name in names]
    for name in names:
        await cluster.unlist(name)
        await cluster.processes[name].kill()
    tokens = sum(started_s <= at_s < ended_s for times in times_s for at_s in times)
    gaps_s = [
        later - earlier
        for times in times_s
        for earlier, later in itertools.pairwise(times)
    ]
    goodput = tokens / (ended_s - started_s)
    return {
        "policy": policy,
        "callers": count,
        "tokens_per_s": round(goodput),
        "of_bound": round(goodput / bound, 3),
        "gap_p50_ms": round(percentile(gaps_s, 50) * 1000),
        "gap_p95_ms": round(percentile(gaps_s, 95) * 1000),
        "failed": sum(not answer.is_whole for answer in answers),
        "entry_cpu_s": round(sum(cpu_s), 1),
    }


async def main() -> int:
    """Measure all policies in one run."""
    plans = make_runners()
    bound = bound_tokens_per_s(plans)
    print(f"bound: {bound:.0f} tokens/s over {len(plans)} runners", flush=True)
    rows = []
    async with Cluster(layer_count=LAYERS) as cluster:
        await asyncio.gather(*(cluster.start_runner(plan) for plan in plans))
        for policy in sys.argv[1:] or POLICIES:
            for count in CALLERS:
                rows.append(await measure(cluster, policy, count, bound))
                print(rows[-1], file=sys.stderr, flush=True)
    write_rows("goodput", rows)
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
