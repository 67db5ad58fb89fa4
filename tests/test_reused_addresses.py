# SPDX-License-Identifier: MIT
"""Orders to a runner whose address another runner has been given."""

from __future__ import annotations

import pytest

from aiohttp.test_utils import TestServer

from routing_samples import runner
from violethatch.layers import LayerRange
from violethatch.paths import Path, Stage
from violethatch.upstream import OrderOutcome
from violethatch_emulator.path_runner import PathRunner


@pytest.fixture
async def successor():
    """Provide the runner `b`, at whose address the runner `a` was before."""
    stand_in = PathRunner("b")
    async with TestServer(stand_in.application()) as server:
        stand_in.address = f"{server.host}:{server.port}"
        yield stand_in


@pytest.mark.parametrize(
    ("listed", "outcome"), [("a", OrderOutcome.REFUSED), ("b", OrderOutcome.BEGUN)]
)
async def test_load_order_for_the_runner_before(runners, successor, listed, outcome):
    """Guards against a runner that loads layers meant for another with more memory."""
    server = runner(listed, 0, 80, address=successor.address)
    answer = await runners.place(
        server, LayerRange(0, 38), fence=1, expected_sequence=0
    )
    assert answer.outcome is outcome
    assert successor.layers == ((0, 38) if outcome is OrderOutcome.BEGUN else None)


async def test_move_order_for_the_runner_before(runners, successor):
    """Guards against a request that is moved at a runner that does not run it."""
    server = runner("a", 0, 80, address=successor.address)
    path = Path((Stage(server, LayerRange(0, 80)),), 1.0)
    answer = await runners.repath(server, "c1", path)
    assert answer.outcome is OrderOutcome.REFUSED
    assert successor.orders == []
