# SPDX-License-Identifier: MIT
"""All instances of a zone have lost their links to all backend servers."""

from __future__ import annotations

import asyncio

import pytest

from linked_fleet import PLAIN_PATH, RESET, STREAM_PATH, LinkedFleet


#: More instances than are asked for one call.
ZONE = ("heredia",) * 10
OTHERS = ("cartago", "cartago")
#: From how long after the links were lost callers are served, in seconds.
LOST_S = 1.5
CALLS_S = 3.0
#: Between requests to each instance, in seconds.
PAUSE_S = 0.5
LEAST_SERVED = 0.95


@pytest.fixture
async def fleet(tmp_path):
    """Provide a fleet that is started."""
    made = LinkedFleet(tmp_path, zones=ZONE + OTHERS)
    await made.start()
    yield made
    await made.stop()


async def call_all(fleet, instances, *, path, for_s):
    """Call instances side by side; return what came of each request."""
    calls = [
        fleet.call_steadily(one, path=path, for_s=for_s, pause_s=PAUSE_S)
        for one in instances
    ]
    return [one for part in await asyncio.gather(*calls) for one in part]


@pytest.mark.parametrize("path", [STREAM_PATH, PLAIN_PATH])
async def test_instances_with_links_in_other_zones_are_not_asked(fleet, path):
    """Guards against a zone that is asked to exhaustion since it serves little."""
    cut = fleet.instances[: len(ZONE)]
    for one in cut:
        one.cut(RESET)
    await call_all(fleet, cut, path=path, for_s=LOST_S)
    tries = await call_all(fleet, cut, path=path, for_s=CALLS_S)
    served = sum(one.status == 200 for one in tries) / len(tries)
    assert served >= LEAST_SERVED
