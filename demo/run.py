# SPDX-License-Identifier: MIT
"""Runs the main job on real processes and checks every promise it shows.

Starts a platform, mixed runners, plain services and three entry instances in
two availability zones; declares a configuration; streams answers through a
pipeline while a stage is killed; sends a label twice; drains an instance.
Exits 0 only if every check held.
"""

from __future__ import annotations

import asyncio
import sys
import time

from violethatch_emulator import Cluster, RunnerPlan, expected_text
from violethatch_emulator.callers import call_service, standard_intent, stream


LAYERS = 6
RUNNERS = (
    RunnerPlan("fast-a", 0, 2, base_s=0.002, kind="fast"),
    RunnerPlan("slow-a", 0, 2, base_s=0.006, kind="slow"),
    RunnerPlan("fast-b", 2, 4, base_s=0.002, kind="fast"),
    RunnerPlan("slow-b", 2, 4, base_s=0.006, kind="slow"),
    RunnerPlan("fast-c", 4, 6, base_s=0.002, kind="fast"),
    RunnerPlan("slow-c", 4, 6, base_s=0.006, kind="slow"),
)
ENTRIES = {"entry-1": "z1", "entry-2": "z1", "entry-3": "z2"}
STREAMS = 24
TOKENS = 40


class Checks:
    """Prints each check and remembers whether all held."""

    def __init__(self) -> None:
        self.all_held = True

    def hold(self, text: str, held: bool) -> None:
        """Note one check."""
        self.all_held = self.all_held and held
        print(f"  [{'ok' if held else 'FAILED'}] {text}", flush=True)


async def start(cluster: Cluster) -> None:
    """Start everything and declare the configuration."""
    print("starting a platform, 6 mixed runners, 2 services, 3 entry instances")
    await asyncio.gather(*(cluster.start_runner(plan) for plan in RUNNERS))
    await cluster.start_service("printer-1", "labels")
    await asyncio.gather(
        *(cluster.start_entry(name, zone=zone) for name, zone in ENTRIES.items())
    )
    intent = standard_intent(model=cluster.model, layer_count=LAYERS)
    _, plan = await cluster.operate("entry-1", "POST", "/plan", intent)
    print("the plan:")
    for change in plan["changes"]:
        print(f"  {change['text']}")
    answer = await cluster.declare("entry-1", intent)
    print(f"confirmed as revision {answer['revision']}")
    await cluster.wait_ready(*ENTRIES, runners=len(RUNNERS))


async def stream_under_a_kill(cluster: Cluster, checks: Checks) -> None:
    """Stream answers over all instances and kill a stage in the middle."""
    print(f"streaming {STREAMS} answers; a stage dies in the middle")

    async def one(number: int) -> bool:
        entry = list(ENTRIES)[number % len(ENTRIES)]
        prompt = f"menu for household {number}"
        answer = await stream(
            cluster.http,
            cluster.url(entry),
            workspace=("clinic", "outlet")[number % 2],
            model=cluster.model,
            prompt=prompt,
            max_tokens=TOKENS,
        )
        wanted = expected_text(prompt, layer_count=LAYERS, limit=TOKENS)
        return answer.is_whole and answer.text == wanted

    started_s = time.monotonic()
    tasks = [asyncio.create_task(one(number)) for number in range(STREAMS)]
    await asyncio.sleep(0.25)
    await cluster.processes["fast-b"].kill()
    print(f"  killed fast-b after {time.monotonic() - started_s:.2f} s")
    right = sum(await asyncio.gather(*tasks))
    checks.hold(f"{right} of {STREAMS} answers whole and their own", right == STREAMS)
    replaced = sum(
        cluster.log_of(entry).count("violethatch:stage_replaced") for entry in ENTRIES
    )
    checks.hold(f"{replaced} stages replaced in place", replaced > 0)
    ledger = cluster.ledger()
    faults = ledger.faults(layer_count=LAYERS)
    checks.hold(
        f"ledger: {len(ledger.lines)} steps of {len(ledger.requests)} requests, "
        f"{len(faults)} layers missed or doubled",
        not faults,
    )


async def send_a_label_twice(cluster: Cluster, checks: Checks) -> None:
    """Send a non-repeatable call twice, to two instances."""
    print("sending one label twice, to two instances")
    answers = [
        await call_service(
            cluster.http,
            cluster.url(entry),
            workspace="clinic",
            service="labels",
            body="kit 17",
            idempotency_key="label-17",
        )
        for entry in ("entry-1", "entry-3")
    ]
    runs = len(cluster.service_calls())
    checks.hold(f"printed {runs} time(s)", runs == 1)
    checks.hold("both got the same answer", answers[0] == answers[1])


async def replace_an_instance(cluster: Cluster, checks: Checks) -> None:
    """Stop an entry instance while it streams."""
    print("stopping entry-2 while it streams")
    prompt = "a kit that changed"
    streaming = asyncio.create_task(
        stream(
            cluster.http,
            cluster.url("entry-2"),
            workspace="clinic",
            model=cluster.model,
            prompt=prompt,
            max_tokens=TOKENS,
        )
    )
    await asyncio.sleep(0.1)
    status = await cluster.processes["entry-2"].terminate()
    answer = await streaming
    wanted = expected_text(prompt, layer_count=LAYERS, limit=TOKENS)
    checks.hold("its answer came whole", answer.is_whole and answer.text == wanted)
    checks.hold(f"it ended with status {status}", status == 0)


async def main() -> int:
    """Run all of it."""
    checks = Checks()
    async with Cluster(layer_count=LAYERS) as cluster:
        await start(cluster)
        await stream_under_a_kill(cluster, checks)
        await send_a_label_twice(cluster, checks)
        await replace_an_instance(cluster, checks)
    print("every promise held" if checks.all_held else "A PROMISE DID NOT HOLD")
    return 0 if checks.all_held else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
