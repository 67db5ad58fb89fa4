# SPDX-License-Identifier: MIT
"""Instances that have lost their links to all backend servers; others have theirs."""

from __future__ import annotations

import asyncio
import statistics

import pytest

from linked_fleet import PLAIN_PATH, STREAM_PATH, WAYS, LinkedFleet
from violethatch import clocks


#: From how long after the links were lost callers are served as elsewhere, in seconds.
LOST_S = 1.0
#: How often, compared with elsewhere, and how much later at the median.
LEAST_SHARE = 0.95
MOST_LATER_S = 0.010
#: Until how long after their return an instance uses its links again, in seconds.
BACK_S = 1.0
CUT_S = 5.0
#: Between requests to each instance, in seconds: while links are lost more are under
#: way than before, so that open connections don't do.
PAUSE_S = 0.03


@pytest.fixture
async def fleet(tmp_path):
    """Provide a fleet that is started."""
    made = LinkedFleet(tmp_path)
    await made.start()
    yield made
    await made.stop()


def served(tries):
    """Return which part of some tries was served."""
    return sum(one.status == 200 for one in tries) / len(tries)


def median_s(tries):
    """Return the median time of those that were served, in seconds."""
    return statistics.median(one.took_s for one in tries if one.status == 200)


async def play(fleet, count, way, *, path):
    """Cut the first instances; return the tries there and at the others meanwhile."""
    cut = fleet.instances[:count]
    warm = [fleet.call_steadily(one, path=path, for_s=0.5) for one in fleet.instances]
    await asyncio.gather(*warm)
    for one in cut:
        one.cut(way)
    cut_s = clocks.now_s()
    calls = [
        fleet.call_steadily(one, path=path, for_s=CUT_S, pause_s=PAUSE_S)
        for one in fleet.instances
    ]
    tries = [one for part in await asyncio.gather(*calls) for one in part]
    late = [one for one in tries if one.sent_s - cut_s >= LOST_S]
    names = {one.name for one in cut}
    there = [one for one in late if one.instance in names]
    return there, [one for one in late if one.instance not in names]


@pytest.mark.parametrize("path", [STREAM_PATH, PLAIN_PATH])
@pytest.mark.parametrize("way", WAYS)
async def test_instance_without_links_to_servers_refuses_callers(fleet, way, path):
    """Its callers are served through other instances, about as soon as elsewhere."""
    there, elsewhere = await play(fleet, 1, way, path=path)
    assert served(elsewhere) == 1.0
    assert served(there) >= LEAST_SHARE * served(elsewhere)
    assert median_s(there) - median_s(elsewhere) <= MOST_LATER_S


async def test_last_instance_with_links_is_alone(fleet):
    """All but one instance have lost their links: that one serves for all."""
    there, elsewhere = await play(fleet, 2, WAYS[0], path=STREAM_PATH)
    assert served(there) >= LEAST_SHARE * served(elsewhere)
