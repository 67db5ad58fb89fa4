# SPDX-License-Identifier: MIT
"""Calls under way at an instance, or at its peer, while that stands still."""

from __future__ import annotations

import asyncio
import signal

import pytest

from linked_fleet import ONCE_PATH, PLAIN_PATH, RESET, STREAM_PATH, LinkedFleet
from violethatch import clocks


CALLERS = 8
#: Eight parts of an answer take a third of a second.
PART_S = 0.04
AFTER_S = 0.15


@pytest.fixture
async def fleet(tmp_path):
    """Provide a fleet that is started, whose servers take their time."""
    made = LinkedFleet(tmp_path)
    await made.start()
    for runner in made.runners.values():
        runner.pause_s = PART_S
    yield made
    await made.stop()


async def stand_still(instance, for_s):
    """Stop an instance's process for a time."""
    await asyncio.sleep(AFTER_S)
    instance.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    instance.signal(signal.SIGCONT)


def arrivals(fleet):
    """Return how many requests have reached servers."""
    return sum(len(runner.seen) for runner in fleet.runners.values())


@pytest.mark.parametrize(
    ("for_s", "deadline_ms"), [(0.6, 8000), (2.5, 8000), (2.5, 1500)]
)
@pytest.mark.parametrize("path", [PLAIN_PATH, ONCE_PATH])
async def test_answers_are_dropped_after_a_standstill(fleet, path, for_s, deadline_ms):
    """What lies in its sockets is read before any limit is over."""
    instance = fleet.instances[0]
    calls = [
        fleet.try_once(
            instance,
            f"c{number}",
            path=path,
            **{"Violethatch-Deadline-Ms": str(deadline_ms)},
        )
        for number in range(CALLERS)
    ]
    *tries, _ = await asyncio.gather(*calls, stand_still(instance, for_s))
    assert [one.status for one in tries] == [200] * CALLERS
    assert arrivals(fleet) == CALLERS
    assert not instance.lines(2107)


async def forwarded_calls(fleet, standing, path, for_s):
    """Send calls to an instance without links while others stand still."""
    cut = fleet.instances[0]
    cut.cut(RESET)
    async with asyncio.timeout(5):
        while len((await fleet.state_of(cut))["lost_links"]) < 2:
            await fleet.try_once(cut, f"found-{clocks.now_s():.3f}", path=path)
            await asyncio.sleep(0.05)
    before = arrivals(fleet)
    calls = [fleet.try_once(cut, f"c{number}", path=path) for number in range(CALLERS)]
    stops = [stand_still(one, for_s) for one in standing]
    done = await asyncio.gather(*calls, *stops)
    return [one.status for one in done[:CALLERS]], arrivals(fleet) - before


@pytest.mark.parametrize("path", [PLAIN_PATH, ONCE_PATH, STREAM_PATH])
async def test_forwarded_answers_are_dropped_after_a_standstill(fleet, path):
    """The instance that reads them is the one that stood still."""
    got, runs = await forwarded_calls(fleet, fleet.instances[:1], path, 2.0)
    assert (got, runs) == ([200] * CALLERS, CALLERS)
    assert not fleet.instances[0].lines(2227)


async def test_answers_are_dropped_when_their_instance_stands_still(fleet):
    """It goes on, and nobody else may run them."""
    got, runs = await forwarded_calls(fleet, fleet.instances[1:], ONCE_PATH, 2.0)
    assert (got, runs) == ([200] * CALLERS, CALLERS)


@pytest.mark.parametrize("path", [PLAIN_PATH, STREAM_PATH])
async def test_answers_are_dropped_when_all_other_instances_stand_still(fleet, path):
    """After a silence they are handed over once more; that is the last run."""
    got, runs = await forwarded_calls(fleet, fleet.instances[1:], path, 2.5)
    assert got == [200] * CALLERS
    assert runs <= 2 * CALLERS


@pytest.mark.parametrize("path", [PLAIN_PATH, STREAM_PATH])
async def test_answers_are_dropped_when_the_only_other_instance_stands_still(
    tmp_path, path
):
    """They might be handed over once more, and there is nobody to take them."""
    fleet = LinkedFleet(tmp_path, zones=("heredia", "heredia"))
    try:
        await fleet.start()
        for runner in fleet.runners.values():
            runner.pause_s = PART_S
        got, runs = await forwarded_calls(fleet, fleet.instances[1:], path, 2.5)
    finally:
        await fleet.stop()
    assert got == [200] * CALLERS
    # The instance that stood still may itself repeat a stream's run.
    assert runs <= CALLERS * (2 if path == STREAM_PATH else 1)
