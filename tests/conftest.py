# SPDX-License-Identifier: MIT
"""Fixtures of the integration tests: real processes on loopback."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from violethatch.platform._runners import Runners
from violethatch.platform._sessions import make_session
from violethatch_emulator import Cluster, RunnerPlan
from violethatch_emulator.callers import standard_intent


#: Tests that fail for a known fault: a line each with the test, its command and seed,
#: what was seen, and the issue.
KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
#: What a line says of a test of real processes that fails in some plays only.
SOMETIMES = "(sometimes;"
LAYERS = 6
#: Two runners for each range, so that any one may fail.
RUNNERS = tuple(
    RunnerPlan(f"r{first}{copy}", first, first + 2)
    for first in (0, 2, 4)
    for copy in "ab"
)


class Bench:
    """Sets up what an integration test needs of a cluster."""

    def __init__(self, cluster):
        self.cluster = cluster

    async def start(
        self, *, entries=("e1",), zones=(), runners=RUNNERS, proxied=(), **options
    ):
        """Start runners and entry instances; declare the standard intent."""
        cluster = self.cluster
        await asyncio.gather(
            *(
                cluster.start_runner(plan, proxied=plan.runner_id in proxied)
                for plan in runners
            )
        )
        await asyncio.gather(
            *(
                cluster.start_entry(
                    name, zone=zones[number] if zones else "z1", **options
                )
                for number, name in enumerate(entries)
            )
        )
        intent = standard_intent(model=cluster.model, layer_count=LAYERS)
        await cluster.declare(entries[0], intent)
        await cluster.wait_ready(*entries, runners=len(runners))


@pytest.fixture
async def bench():
    """Provide a cluster with a platform, and no other process yet."""
    async with Cluster(layer_count=LAYERS) as cluster:
        yield Bench(cluster)


@pytest.fixture
async def runners():
    """Provide a client of runners."""
    kept, fresh = make_session(is_kept=True), make_session(is_kept=False)
    yield Runners(kept, fresh)
    await kept.close()
    await fresh.close()


def known_red():
    """Return the lines of tests that are known to fail, by the test's id."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return {line.partition(" ")[0]: line for line in lines}


def pytest_collection_modifyitems(items):
    """Pass over the tests that are known to fail.

    One that passes fails the run, unless its line says that it fails sometimes.
    """
    red = known_red()
    for item in items:
        # An entry names a test with its parameters, or all of a test's parameters.
        name = item.nodeid if item.nodeid in red else item.nodeid.partition("[")[0]
        if name in red:
            is_strict = SOMETIMES not in red[name]
            item.add_marker(pytest.mark.xfail(reason=red[name], strict=is_strict))


def pytest_terminal_summary(terminalreporter):
    """Print the tests that are known to fail."""
    for line in known_red().values():
        terminalreporter.write_line(f"known red: {line}")
