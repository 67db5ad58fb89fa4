# SPDX-License-Identifier: MIT
"""Slopes for docs/CAPACITY.md, measured at several sizes.

Each part measures one cost at three or more sizes and fits a line; the page
multiplies the slopes with the numbers of two years on.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import resource
import statistics
import sys
import time

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from aiohttp import web

from _report import write_rows
from violethatch import clocks
from violethatch._claim_writer import WriteReply
from violethatch._peer_wire import beats_message
from violethatch._peers import Peers
from violethatch.gossip import RELAYED_BEATS, Beat, Gossip
from violethatch.layers import LayerRange
from violethatch.ports import ListedInstance, Put
from violethatch.revisions import (
    NO_REVISION,
    Document,
    ServiceSpec,
    WorkspaceSpec,
    document_digest,
    parse_revision,
)
from violethatch_emulator import Cluster, RunnerPlan
from violethatch_emulator.callers import standard_intent, stream
from violethatch_emulator.engine import Engine, EngineOptions


LAYERS = 6
#: Length and authentication code.
FRAME_HEAD_BYTES = 20
PAGE_BYTES = resource.getpagesize()


class Line(NamedTuple):
    """A fitted line and what it was fitted to."""

    what: str
    unit: str
    sizes: Sequence[float]
    values: Sequence[float]

    def row(self) -> dict[str, object]:
        """Return the line as a row of the report."""
        slope, intercept = statistics.linear_regression(self.sizes, self.values)
        return {
            "what": self.what,
            "unit": self.unit,
            "slope": f"{slope:.4g}",
            "intercept": f"{intercept:.4g}",
            "sizes": " ".join(f"{size:g}" for size in self.sizes),
            "values": " ".join(f"{value:.4g}" for value in self.values),
        }


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def resident_kb(pid: int) -> float:
    """Return a process's resident memory."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1024


async def stream_many(cluster: Cluster, count: int, tokens: int) -> int:
    """Run streams at the same time; return how many tokens came."""
    answers = await asyncio.gather(
        *(
            stream(
                cluster.http,
                cluster.url("e1"),
                workspace="outlet",
                model=cluster.model,
                prompt=f"claim {number}",
                max_tokens=tokens,
            )
            for number in range(count)
        )
    )
    return sum(len(answer.times_s) for answer in answers)


async def start(cluster: Cluster, plans: Sequence[RunnerPlan]) -> int:
    """Start runners and one instance; return its process id."""
    await asyncio.gather(*(cluster.start_runner(plan) for plan in plans))
    await cluster.start_entry("e1")
    intent = standard_intent(model=cluster.model, layer_count=LAYERS)
    await cluster.declare("e1", intent)
    await cluster.wait_ready("e1", runners=len(plans))
    return cluster.processes["e1"].pid


async def token_cost() -> Line:
    """Measure processor time for a token by the number of stages."""
    sizes, values = [], []
    for stages in (1, 2, 3, 6):
        width = LAYERS // stages
        plans = [
            RunnerPlan(
                f"r{number}",
                number * width,
                (number + 1) * width,
                base_s=0.004,
                stream_s=0.00001,
                batch_limit=128,
            )
            for number in range(stages)
        ]
        async with Cluster(layer_count=LAYERS) as cluster:
            pid = await start(cluster, plans)
            await stream_many(cluster, 64, 10)
            before_s = cpu_s(pid)
            tokens = await stream_many(cluster, 64, 200)
            values.append((cpu_s(pid) - before_s) / tokens * 1e6)
            sizes.append(stages)
    return Line("token, by stages", "us CPU", sizes, values)


async def stream_memory() -> Line:
    """Measure memory by the number of open streams."""
    plans = [
        RunnerPlan(f"r{first}", first, first + 2, base_s=0.5, batch_limit=2000)
        for first in (0, 2, 4)
    ]
    sizes, values = [], []
    for count in (0, 200, 400, 800):
        async with Cluster(layer_count=LAYERS) as cluster:
            pid = await start(cluster, plans)
            streams = asyncio.create_task(stream_many(cluster, count, 50))
            await asyncio.sleep(6.0)
            sizes.append(count)
            values.append(resident_kb(pid))
            streams.cancel()
            await asyncio.gather(streams, return_exceptions=True)
    return Line("open streams", "KB resident", sizes, values)


async def idle_runners() -> tuple[Line, Line]:
    """Measure processor time and memory by the number of idle runners."""
    sizes, cpu, memory = [], [], []
    for count in (0, 30, 60, 120):
        async with Cluster(layer_count=LAYERS) as cluster:
            engines = [await start_light_engine(cluster, n) for n in range(count)]
            pid = await start(cluster, [])
            await cluster.wait_ready("e1", runners=count)
            await asyncio.sleep(1.0)
            before_s, started_s = cpu_s(pid), clocks.now_s()
            await asyncio.sleep(8.0)
            elapsed_s = clocks.now_s() - started_s
            cpu.append((cpu_s(pid) - before_s) / elapsed_s * 100)
            memory.append(resident_kb(pid))
            sizes.append(count)
            await asyncio.gather(*(engine.cleanup() for engine in engines))
    return (
        Line("idle runners, watched", "% of a core", sizes, cpu),
        Line("idle runners, watched", "KB resident", sizes, memory),
    )


async def start_light_engine(cluster: Cluster, number: int) -> web.AppRunner:
    """Start an engine within this process and list it."""
    options = EngineOptions(
        runner_id=f"light{number}",
        model=cluster.model,
        version="v1",
        layers=LayerRange(0, LAYERS),
        layer_count=LAYERS,
    )
    runner = web.AppRunner(Engine(options).application(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    port = runner.addresses[0][1]
    await cluster.list_instance(options.runner_id, "engine", port)
    return runner


class LightPeers:
    """Peers of one zone in this process, over real connections."""

    def __init__(self, count: int) -> None:
        self._peers = [self._make(f"i{number}") for number in range(count)]

    async def measure(self, seconds_s: float) -> float:
        """Return the processor time that a peer takes a second, in percent."""
        ports = [await peer.start("127.0.0.1", 0) for peer in self._peers]
        listed = [
            ListedInstance(
                id=f"i{number}",
                role="entry",
                availability_zone="z1",
                address=f"127.0.0.1:{port}",
                service="",
                leaving=False,
            )
            for number, port in enumerate(ports)
        ]
        for peer in self._peers:
            peer.follow(listed)
        tasks = [asyncio.create_task(peer.run(lambda: 1)) for peer in self._peers]
        await asyncio.sleep(3.0)
        before_s, started_s = time.process_time(), clocks.now_s()
        await asyncio.sleep(seconds_s)
        used_s = time.process_time() - before_s
        elapsed_s = clocks.now_s() - started_s
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for peer in self._peers:
            await peer.stop()
        return used_s / elapsed_s / len(self._peers) * 100

    @staticmethod
    def _make(instance_id: str) -> Peers:
        gossip = Gossip(
            instance_id=instance_id,
            availability_zone="z1",
            incarnation=1,
            silence_limit_s=2.0,
            rng=random.Random(instance_id),
        )

        async def take(encoded: bytes) -> None:
            return None

        async def write(put: Put) -> WriteReply:
            return WriteReply(None, "")

        return Peers(
            gossip,
            key="key-of-measured-peers",
            interval_s=0.5,
            rng=random.Random(instance_id),
            encoded_revision=lambda: b"{}",
            take_revision=take,
            write=write,
            connections=1000,
        )


async def peers_cost() -> tuple[Line, Line]:
    """Measure processor time and bytes by the number of peers in a zone."""
    sizes, cpu, sent_bytes = [], [], []
    for count in (3, 10, 25, 50):
        cpu.append(await LightPeers(count).measure(6.0))
        shown = min(count, RELAYED_BEATS + 1)
        beats = [
            Beat(f"entry-{number:03}", "zone-1", 10**12, 10**5, 780, False)
            for number in range(shown)
        ]
        frame = len(beats_message(beats).to_bytes_packed()) + FRAME_HEAD_BYTES
        # Two rounds a second; in each a frame to each target as the caller
        # and, on average, as many as the callee.
        sent_bytes.append(frame * 2 * min(2, count - 1) * 2)
        sizes.append(count)
    return (
        Line("peers in a zone", "% of a core", sizes, cpu),
        Line("peers in a zone", "bytes/s sent", sizes, sent_bytes),
    )


def revision_cost() -> tuple[Line, Line]:
    """Measure a revision's size and the time to take it, by workspaces."""
    sizes, size_kb, take_ms = [], [], []
    for count in (10, 100, 400):
        workspaces = {
            f"workspace-{number}": WorkspaceSpec(
                key_sha256=f"{number:064x}",
                priority=5,
                requests_per_s=100.0,
                concurrent=100,
            )
            for number in range(count)
        }
        document = Document(
            models={},
            services={"labels": ServiceSpec(repeatable=False)},
            workspaces=workspaces,
            runners={},
        )
        revision = {**NO_REVISION, "revision": 1, "document": document}
        encoded = msgspec.json.encode(revision)
        started_s = time.perf_counter()
        for _ in range(20):
            parse_revision(msgspec.json.decode(encoded))
            document_digest(document)
        take_ms.append((time.perf_counter() - started_s) / 20 * 1000)
        size_kb.append(len(encoded) / 1024)
        sizes.append(count)
    return (
        Line("revision, by workspaces", "KB", sizes, size_kb),
        Line("revision, by workspaces", "ms CPU to take", sizes, take_ms),
    )


async def revision_spread() -> dict[str, object]:
    """Measure how long a revision takes to be in force on eight instances."""
    zones = ("z1", "z1", "z1", "z2", "z2", "z2", "z3", "z3")
    names = [f"e{number}" for number in range(len(zones))]
    times_s = []
    async with Cluster(layer_count=LAYERS) as cluster:
        await asyncio.gather(
            *(
                cluster.start_entry(name, zone=zone)
                for name, zone in zip(names, zones, strict=True)
            )
        )
        for number in range(1, 11):
            intent = standard_intent(
                model=cluster.model, layer_count=LAYERS, workspaces=(f"w{number}",)
            )
            await cluster.declare("e0", intent)
            started_s = clocks.now_s()
            while True:
                states = await asyncio.gather(*(cluster.state(name) for name in names))
                if all(state["revision"] >= number for state in states):
                    break
                await asyncio.sleep(0.02)
            times_s.append(clocks.now_s() - started_s)
    return {
        "what": "revision in force on 8 instances of 3 zones",
        "unit": "s",
        "slope": "",
        "intercept": f"{max(times_s):.3g} at most",
        "sizes": "10 revisions",
        "values": " ".join(f"{value:.2f}" for value in sorted(times_s)),
    }


async def main() -> int:
    """Measure everything."""
    rows: list[dict[str, object]] = []
    rows.append((await token_cost()).row())
    rows.append((await stream_memory()).row())
    rows += [line.row() for line in await idle_runners()]
    rows += [line.row() for line in await peers_cost()]
    rows += [line.row() for line in revision_cost()]
    rows.append(await revision_spread())
    write_rows("capacity", rows)
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
