# SPDX-License-Identifier: MIT
"""A replay of late reports and of stopped runners, in virtual time.

One instance's streams pass along three of four paths.  For a while all runners are late
with their reports and pause between events, as at a crest of the load; or some stop.
"""

from __future__ import annotations

import asyncio
import collections
import random

import pytest

import virtual_time

from router_fakes import (
    FakeClient,
    events,
    report,
)
from routing_samples import runner
from stream_replay import ReplayedAnswer, serve_streams
from violethatch import clocks
from violethatch.upstream import OrderAnswer, OrderOutcome, ReportLateError


EVENT_COUNT = 100
EVENT_S = 0.04
LATE_FOR_S = 2.0
#: How long a report takes at runners that are not late, in seconds.
REPORT_S = 0.003
#: How long it takes where all are late, at least and at most, in seconds.
LATE_REPORT_S = (0.06, 0.2)
REPORT_TIMEOUT_S = 0.25
#: How long streams pause where all runners are late, at least and at most, in seconds.
PAUSE_S = (0.3, 0.9)
STAGES = 8
PATHS = "abcd"
RUNNERS = {
    f"{path}{stage}": runner(
        f"{path}{stage}", 10 * stage, 10 * stage + 10, kind="large"
    )
    for path in PATHS
    for stage in range(STAGES)
}
#: Streams of one instance: at 120 instances, at 8 and at a single one.
STREAM_COUNTS = (2, 25, 60)
#: The longest pause between checks that decide nothing, in seconds.
MAX_PAUSE_S = 2.0
#: How many reports a runner may be asked for by one instance while all are late.
MAX_REPORTS_PER_S = 1.0
#: How soon a stream leaves a stopped runner, in seconds, as without any comparison of
#: reports (0.16), and a few round trips later.
MAX_LEFT_AFTER_S = 0.16 + 0.02


class Fleet(FakeClient):
    """Runners that are late at times, or stop."""

    def __init__(self, seed):
        super().__init__()
        self.rng = random.Random(seed)
        self.late_until_s = 0.0
        self.stopped = set()
        self.stopped_s = 0.0
        #: When each report was asked for, by runner.
        self.asked = []
        self.runs = []
        self.moves = []

    @property
    def is_late(self):
        return clocks.now_s() < self.late_until_s

    def be_late(self):
        self.late_until_s = clocks.now_s() + LATE_FOR_S

    def stop(self, names):
        self.stopped |= set(names)
        self.stopped_s = clocks.now_s()

    async def send(self, send):
        self.runs.append((send.call.id, clocks.now_s()))
        return Answer(self, send)

    async def report(self, server):
        self.asked.append((clocks.now_s(), server.id))
        if server.id in self.stopped:
            await asyncio.sleep(REPORT_TIMEOUT_S)
            raise ReportLateError
        await asyncio.sleep(
            self.rng.uniform(*LATE_REPORT_S) if self.is_late else REPORT_S
        )
        return report()

    async def repath(self, server, call_id, path):
        self.moves.append((call_id, clocks.now_s()))
        if server.id in self.stopped:
            await asyncio.sleep(1.0)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        answer = next(one for one in self.answers if one.call_id == call_id)
        answer.path = path
        answer.changed.set()
        return OrderAnswer(OrderOutcome.DONE)


class Answer(ReplayedAnswer):
    """Events that come while no runner of their path has stopped."""

    def __init__(self, fleet, send):
        super().__init__(fleet, send)
        self.changed = asyncio.Event()
        fleet.answers.append(self)

    async def parts(self):
        for number in range(self.first, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_S)
            if self.fleet.is_late:
                await asyncio.sleep(self.fleet.rng.uniform(*PAUSE_S))
            while self.path.server_ids & self.fleet.stopped:
                self.changed.clear()
                await self.changed.wait()
            yield events(number)


async def play(disturb, *, streams, seed):
    """Serve streams while something happens; return the fleet and the responders."""
    fleet = Fleet(seed)
    got = await serve_streams(
        fleet, RUNNERS.values(), disturb, streams=streams, timeout_s=30.0, seed=seed
    )
    return fleet, got


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("streams", STREAM_COUNTS)
def test_late_reports_of_all_runners_are_taken_for_failures(streams, seed, monkeypatch):
    """Runners that are all late are not left, nor asked again and again."""

    async def replay():
        return await play(Fleet.be_late, streams=streams, seed=seed)

    fleet, got = virtual_time.run(replay, monkeypatch)
    assert [one.end for one in got] == ["whole"] * streams
    assert (len(fleet.runs), fleet.moves) == (streams, [])
    asked = collections.Counter(server_id for _, server_id in fleet.asked)
    assert max(asked.values()) <= 1 + MAX_REPORTS_PER_S * LATE_FOR_S
    assert len(fleet.asked) <= len(RUNNERS) * MAX_REPORTS_PER_S * LATE_FOR_S


def left_after_s(fleet):
    """Return how long after the stop streams left their paths, in seconds."""
    left_s = [at_s for _, at_s in fleet.moves]
    left_s += [at_s for _, at_s in fleet.runs if at_s > fleet.stopped_s]
    return [at_s - fleet.stopped_s for at_s in left_s]


@pytest.mark.parametrize("names", [["a3"], ["a3", "b5", "c1"]], ids=str)
@pytest.mark.parametrize("streams", STREAM_COUNTS)
def test_stopped_runner_is_left_later_than_before(streams, names, monkeypatch):
    """A runner that stops beside sound ones is found at the first silence."""

    async def replay():
        return await play(lambda fleet: fleet.stop(names), streams=streams, seed=1)

    fleet, got = virtual_time.run(replay, monkeypatch)
    assert {one.end for one in got} == {"whole"}
    assert fleet.moves
    assert max(left_after_s(fleet)) <= MAX_LEFT_AFTER_S


@pytest.mark.parametrize("names", [["a0"], [f"a{n}" for n in range(STAGES)]], ids=str)
@pytest.mark.parametrize("streams", STREAM_COUNTS)
def test_stopped_path_is_left_later_than_before(streams, names, monkeypatch):
    """The first streams run elsewhere at the first silence, as far as retries allow."""

    async def replay():
        return await play(lambda fleet: fleet.stop(names), streams=streams, seed=1)

    fleet, _ = virtual_time.run(replay, monkeypatch)
    assert min(left_after_s(fleet)) <= MAX_LEFT_AFTER_S


@pytest.mark.parametrize("streams", STREAM_COUNTS)
def test_runner_that_stops_after_a_crest_is_not_found(streams, monkeypatch):
    """Checks that have decided nothing are made again once reports come in time."""

    async def disturb(fleet):
        fleet.be_late()
        await asyncio.sleep(LATE_FOR_S + MAX_PAUSE_S)
        fleet.stop(["a3"])

    async def replay():
        tasks = []
        fleet, got = await play(
            lambda fleet: tasks.append(asyncio.create_task(disturb(fleet))),
            streams=streams,
            seed=1,
        )
        await tasks[0]
        return fleet, got

    fleet, got = virtual_time.run(replay, monkeypatch)
    assert {one.end for one in got} == {"whole"}
    assert fleet.moves
    assert max(left_after_s(fleet)) <= MAX_LEFT_AFTER_S + MAX_PAUSE_S
