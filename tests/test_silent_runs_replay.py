# SPDX-License-Identifier: MIT
"""A replay of stalls: dozens of streams of one instance, in virtual time.

The runners of two paths, one path, one runner or the instance stand still for a while
and go on; or a runner ends.  Nobody leaves before the time limit.
"""

from __future__ import annotations

import asyncio
import collections

import pytest

import virtual_time

from router_fakes import (
    FakeClient,
    broken_connection,
    events,
    report,
)
from routing_samples import runner
from stream_replay import ReplayedAnswer, deployed_policy, serve_streams
from violethatch import clocks
from violethatch.upstream import OrderAnswer, OrderOutcome


STREAMS = 40
EVENT_COUNT = 40
EVENT_S = 0.05
PATHS = (("a1", "a2", "a3"), ("b1", "b2", "b3"))
RUNNERS = {
    name: runner(name, 27 * part, min(80, 27 * part + 27), kind="large")
    for path in PATHS
    for part, name in enumerate(path)
}
FIRST, LATER = frozenset({"a1"}), frozenset({"a2"})
WHOLE_PATH, ALL = frozenset(PATHS[0]), frozenset(RUNNERS)


class Fleet(FakeClient):
    """Runners of which some stand still until a time, or have ended."""

    def __init__(self):
        super().__init__()
        self.stalled_until_s = dict.fromkeys(RUNNERS, 0.0)
        self.ended = set()
        self.paths = {}
        self.first_paths = {}
        self.runs = collections.Counter()

    def stall(self, names, for_s):
        until_s = clocks.now_s() + for_s
        self.stalled_until_s.update(dict.fromkeys(names, until_s))

    def left_s(self, names):
        """Return how long some runners stand still yet."""
        return max(clocks.left_s(self.stalled_until_s[name]) for name in names)

    async def send(self, send):
        await asyncio.sleep(self.left_s([send.server.id]))
        self.runs[send.call.id] += 1
        self.paths[send.call.id] = send.path
        self.first_paths.setdefault(send.call.id, send.path)
        return StallingAnswer(self, send)

    async def report(self, server):
        if self.left_s([server.id]) > 0:
            await asyncio.sleep(0.25)
            return None
        stalled = {}
        for call_id, path in self.paths.items():
            for stage in path.stages:
                if self.left_s([stage.server.id]) > 0:
                    stalled[call_id] = stage.server.address
        return report(stalled=stalled)

    async def is_refusing(self, server):
        return server.id in self.ended

    async def repath(self, server, call_id, path):
        self.paths[call_id] = path
        return OrderAnswer(OrderOutcome.DONE)


class StallingAnswer(ReplayedAnswer):
    """Events that come while no runner of their path stands still."""

    async def parts(self):
        for number in range(self.first, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_S)
            while left_s := self.fleet.left_s(self._on_path()):
                await asyncio.sleep(max(left_s, 0.001))
            if self._on_path() & self.fleet.ended:
                raise broken_connection()
            yield events(number)

    def _on_path(self):
        return self.fleet.paths[self.call_id].server_ids


async def play(disturb, *, is_resumable):
    """Serve streams while something stands still; return what came of them."""
    fleet = Fleet()
    got = await serve_streams(
        fleet,
        RUNNERS.values(),
        disturb,
        streams=STREAMS,
        timeout_s=20.0,
        is_resumable=is_resumable,
    )
    return fleet, got


def check(fleet, got):
    """Check that all streams are whole, and were not run too often."""
    whole = events(*range(1, EVENT_COUNT + 1))
    assert [one.end for one in got] == ["whole"] * STREAMS
    assert all(one.body == whole for one in got)
    assert max(fleet.runs.values()) <= 2


@pytest.mark.parametrize("is_resumable", [True, False])
@pytest.mark.parametrize("for_s", [0.1, 0.3, 1.0, 3.0])
@pytest.mark.parametrize("who", [FIRST, LATER, WHOLE_PATH, ALL])
def test_stall_ends_streams(who, for_s, is_resumable, monkeypatch):
    """Runners that stand still and go on end nothing."""

    async def replay():
        return await play(
            lambda fleet: fleet.stall(who, for_s), is_resumable=is_resumable
        )

    fleet, got = virtual_time.run(replay, monkeypatch)
    check(fleet, got)
    repeats = sum(fleet.runs.values()) - STREAMS
    assert repeats <= (4 + 0.1 * STREAMS if is_resumable else 0)


@pytest.mark.parametrize("is_resumable", [True, False])
@pytest.mark.parametrize("for_s", [0.6, 1.2, 2.5])
def test_own_standstill_ends_streams(for_s, is_resumable, monkeypatch):
    """What the instance did not see is not the runners' silence."""

    def stand_still(_fleet):
        asyncio.get_running_loop().stand_still(for_s)

    async def replay():
        return await play(stand_still, is_resumable=is_resumable)

    fleet, got = virtual_time.run(replay, monkeypatch)
    check(fleet, got)
    assert sum(fleet.runs.values()) == STREAMS


def test_streams_of_an_ended_runner_wait_for_their_time(monkeypatch):
    """They go on elsewhere, as far as there are retries; the others end soon."""

    async def replay():
        def end(fleet):
            fleet.stall(FIRST, 60.0)
            fleet.ended |= FIRST

        began_s = clocks.now_s()
        fleet, got = await play(end, is_resumable=True)
        return fleet, got, clocks.now_s() - began_s

    fleet, got, took_s = virtual_time.run(replay, monkeypatch)
    assert {one.end for one in got} <= {"whole", "cut"}
    on_ended = sum(path.server_ids >= FIRST for path in fleet.first_paths.values())
    retries = deployed_policy().retry_reserve
    whole = sum(one.end == "whole" for one in got)
    assert whole >= STREAMS - on_ended + min(retries, on_ended)
    assert max(fleet.runs.values()) <= 2
    assert took_s < 6.0
