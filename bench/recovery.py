# SPDX-License-Identifier: MIT
"""How long streams stand still when a stage fails.

Streams run over three stages; all of them use the fast runner of the middle
one.  In the middle of the streams it is killed, frozen, or its link slowed.
Measured for each stream: its longest standstill from the fault on.  The same
is done with the two baselines: giving the tokens so far to a whole new route,
and starting the request again.
"""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys

from typing import NamedTuple

from _report import percentile, write_rows
from violethatch import clocks
from violethatch_emulator import Cluster, RunnerPlan, expected_text
from violethatch_emulator.callers import Streamed, standard_intent, stream


LAYERS = 6
STREAMS = 8
TOKENS = 240
ROUNDS = 3
#: Until about half of the tokens are out, in seconds.
FAULT_AFTER_S = 1.6
SLOW_LINK_S = 0.5
PROMPT = " ".join(f"word{number}" for number in range(60))
MODES = ("in_place", "new_route", "restart")
FAULTS = ("kill", "freeze", "slow link")
RUNNERS = (
    RunnerPlan("a1", 0, 2, base_s=0.003),
    RunnerPlan("a2", 0, 2, base_s=0.003),
    RunnerPlan("b-fast", 2, 4, base_s=0.003),
    RunnerPlan("b-spare", 2, 4, base_s=0.003, link_s=0.002, batch_limit=8),
    RunnerPlan("c1", 4, 6, base_s=0.003),
    RunnerPlan("c2", 4, 6, base_s=0.003),
)


class Round(NamedTuple):
    """What one round gave.

    Attributes:
        gaps_s: Each stream's longest standstill from the fault on, in seconds.
        right: How many answers were whole and right.
    """

    gaps_s: list[float]
    right: int


async def run_round(mode: str, fault: str, number: int) -> Round:
    """Run streams through one fault."""
    async with Cluster(layer_count=LAYERS) as cluster:
        await asyncio.gather(
            *(
                cluster.start_runner(plan, proxied=plan.runner_id == "b-fast")
                for plan in RUNNERS
            )
        )
        await cluster.start_entry("e1", policy={"recovery": mode})
        intent = standard_intent(model=cluster.model, layer_count=LAYERS)
        await cluster.declare("e1", intent)
        await cluster.wait_ready("e1", runners=len(RUNNERS))
        # The instance has to learn what is quick before it is measured.
        await stream_all(cluster, "warm up", 20)
        streams = asyncio.create_task(stream_all(cluster, f"round {number}", TOKENS))
        await asyncio.sleep(FAULT_AFTER_S)
        await inject(cluster, fault)
        fault_s = clocks.now_s()
        answers = await streams
        gaps_s = [
            longest_gap_s(answer.times_s, fault_s)
            for answer in answers
            if answer.times_s[-1] > fault_s
        ]
        right = sum(
            answer.text == expected(f"round {number}", which)
            for which, answer in enumerate(answers)
        )
        return Round(gaps_s, right)


def longest_gap_s(times_s: list[float], fault_s: float) -> float:
    """Return the longest time without a token since the fault."""
    after_s = [fault_s, *(at_s for at_s in times_s if at_s > fault_s)]
    return max(later - earlier for earlier, later in itertools.pairwise(after_s))


async def inject(cluster: Cluster, fault: str) -> None:
    """Make the fast middle runner fail."""
    process = cluster.processes["b-fast"]
    if fault == "kill":
        await process.kill()
    elif fault == "freeze":
        process.send(signal.SIGSTOP)
    else:
        cluster.proxies["b-fast"].delay_s = SLOW_LINK_S


async def stream_all(cluster: Cluster, name: str, tokens: int) -> list[Streamed]:
    """Run the streams of a round."""
    return await asyncio.gather(
        *(
            stream(
                cluster.http,
                cluster.url("e1"),
                workspace="clinic",
                model=cluster.model,
                prompt=f"{PROMPT} {name} {which}",
                max_tokens=tokens,
            )
            for which in range(STREAMS)
        )
    )


def expected(name: str, which: int) -> str:
    """Return the right answer of a stream."""
    return expected_text(f"{PROMPT} {name} {which}", layer_count=LAYERS, limit=TOKENS)


async def main() -> int:
    """Measure all modes under all faults."""
    rows = []
    for fault in FAULTS:
        for mode in MODES:
            rounds = [await run_round(mode, fault, number) for number in range(ROUNDS)]
            gaps_s = [gap_s for result in rounds for gap_s in result.gaps_s]
            rows.append(
                {
                    "fault": fault,
                    "recovery": mode,
                    "streams": len(gaps_s),
                    "p50_ms": round(percentile(gaps_s, 50) * 1000),
                    "p95_ms": round(percentile(gaps_s, 95) * 1000),
                    "max_ms": round(max(gaps_s) * 1000),
                    "right": sum(result.right for result in rounds),
                }
            )
            print(rows[-1], file=sys.stderr, flush=True)
    write_rows("recovery", rows)
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
