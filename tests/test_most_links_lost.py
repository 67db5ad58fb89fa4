# SPDX-License-Identifier: MIT
"""Most of many instances have lost their links to all backend servers."""

from __future__ import annotations

import asyncio
import random

import uvloop

from linked_fleet import WAYS, LinkedFleet
from lost_links_play import CALM_S, PATHS, draw_cut, play, served
from signaling_servers import measure_loop_lag


#: More instances than are asked for one call, of which four keep their links.
ZONES = tuple("abc") * 8
CUT_SHARE = 20 / 24
#: From how long after the loss callers are served, in seconds.
LOST_S = 1.5
CUT_S = 3.0
#: Between requests of a path to an instance, in seconds.
PAUSE_S = 0.8
MIN_SHARE = 0.95
#: The key of tries at instances that keep their links.
ELSEWHERE = "elsewhere"
#: How many tries are compared, and how many plays there are for them at most.
MIN_TRIES = 20
MAX_PLAYS = 12


async def shares(fleet, way, lag, rng):
    """Return the share of tries served while most links are lost.

    That is by path at the instances without links, and as a whole elsewhere.
    """
    cut = draw_cut(fleet.instances, CUT_SHARE, rng)
    tries = {one: [] for one in (*PATHS, ELSEWHERE)}
    for _ in range(MAX_PLAYS):
        played = await play(
            fleet, cut, way, lag=lag, for_s=CUT_S, pause_s=PAUSE_S, rng=rng
        )
        tries[ELSEWHERE] += played.elsewhere
        for path in PATHS:
            tries[path] += played.there_from(LOST_S, path)
        await asyncio.sleep(CALM_S)
        if min(map(len, tries.values())) >= MIN_TRIES:
            break
    counts = {one: len(found) for one, found in tries.items()}
    assert min(counts.values()) >= MIN_TRIES, counts
    return {one: round(served(found), 3) for one, found in tries.items()}


async def play_all_ways(folder):
    """Return the share of tries served, by the way in which links are lost."""
    rng = random.Random(1)
    fleet = LinkedFleet(folder, zones=ZONES)
    try:
        await fleet.start()
        async with measure_loop_lag() as lag:
            return {way: await shares(fleet, way, lag, rng) for way in WAYS}
    finally:
        await fleet.stop()


def test_few_instances_with_links_are_not_found(tmp_path):
    """Guards against callers refused since instances learn alone who has links."""
    found = uvloop.run(play_all_ways(tmp_path))
    least = dict.fromkeys(PATHS, MIN_SHARE) | {ELSEWHERE: 1.0}
    assert all(
        by_side[one] >= share
        for by_side in found.values()
        for one, share in least.items()
    ), found
