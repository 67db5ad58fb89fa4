# SPDX-License-Identifier: MIT
"""Following a table through outages and lost history."""

from __future__ import annotations

import asyncio
import random

import pytest

from violethatch import _followers, clocks
from violethatch._followers import TableFollower
from violethatch.errors import TableUnavailableError
from violethatch.freshness import Freshness, StoreClock
from violethatch.router_settings import StoreSection
from violethatch.store_era import NO_ERA
from violethatch.upstream import HistoryGoneError, TableView


class ScriptedSource:
    """Answers reads from a script; waits for ever at its end."""

    def __init__(self, *steps):
        self.steps = list(steps)
        self.asked = []

    async def read_table(self, table, *, answer_s=None):
        return await self._next(("table", table))

    async def read_changes(
        self, table, *, after, wait_s, era=NO_ERA, is_direct=False, answer_s=None
    ):
        return await self._next(("changes", after, wait_s))

    async def _next(self, asked):
        self.asked.append(asked)
        if not self.steps:
            await asyncio.Event().wait()
        step = self.steps.pop(0)
        if isinstance(step, TableUnavailableError):
            step.unavailable_s = clocks.now_s()
        if isinstance(step, Exception):
            raise step
        return step


def view(version, **values):
    """Return an answer of the store at its time `version` seconds."""
    return TableView(values, version, float(version))


async def follow(source):
    """Follow until the script ends; return what was taken, and the follower."""
    taken, returned = [], []
    freshness = Freshness(limit_s=5.0)
    follower = TableFollower(
        "op",
        source=source,
        settings=StoreSection("127.0.0.1:1", change_pause_s=0.001, retry_pause_s=0.001),
        clock=StoreClock(),
        freshness=freshness,
        take=lambda view, is_whole: taken.append((dict(view.values), is_whole)),
        on_recovery=returned.append,
        rng=random.Random(1),
    )
    task = asyncio.create_task(follower.run())
    async with asyncio.timeout(5):
        while source.steps or not source.asked:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
    task.cancel()
    return taken, returned, freshness


def made_follower(source, *, retry_pause_s=0.001, **options):
    """Return a follower that tells nobody."""
    settings = StoreSection(
        "127.0.0.1:1", change_pause_s=0.001, retry_pause_s=retry_pause_s
    )
    return TableFollower(
        "op",
        source=source,
        settings=settings,
        clock=StoreClock(),
        freshness=Freshness(limit_s=5.0),
        take=lambda _view, _is_whole: None,
        on_recovery=lambda _outage: None,
        rng=random.Random(1),
        **options,
    )


class TestTableFollower:
    async def test_table_then_changes(self):
        """The table is read once, then only its changes."""
        source = ScriptedSource(view(5, a=b"1"), view(7, a=b"2"))
        taken, returned, _ = await follow(source)
        assert taken == [({"a": b"1"}, True), ({"a": b"2"}, False)]
        assert [one[:2] for one in source.asked] == [
            ("table", "op"),
            ("changes", 5),
            ("changes", 7),
        ]
        assert returned == []

    async def test_pause_outlasts_what_is_known_to_be_old(self):
        """Guards against a pause in which each question shows a former token."""
        source = ScriptedSource(view(5, a=b"1"), view(6, a=b"2"))
        follower = made_follower(source, first_pause_s=5.0)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.05)
        assert len(source.asked) == 1
        for _ in range(3):
            follower.read_soon(within_s=0.02)
        await asyncio.sleep(0.1)
        assert len(source.asked) == 3
        task.cancel()

    async def test_token_that_is_refused_during_a_read_changes_nothing(self):
        """The pause after that read is over as soon as one that it began in."""
        source = ScriptedSource(view(5, a=b"1"), view(6, a=b"2"))
        follower = made_follower(source, first_pause_s=5.0)
        take = follower._take

        async def take_slowly(table, is_whole):
            take(table, is_whole)
            follower.read_soon(within_s=0.0)
            await asyncio.sleep(0.02)

        follower._take = take_slowly
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.1)
        assert len(source.asked) >= 2
        task.cancel()

    async def test_lost_history_reads_the_table_anew(self):
        """After a 410 nothing in between is missed."""
        source = ScriptedSource(
            view(5, a=b"1"), HistoryGoneError(), view(9, b=b"2"), view(9)
        )
        taken, _, _ = await follow(source)
        assert taken[-1] == ({"b": b"2"}, True)

    async def test_whole_read_that_is_behind_undoes_what_is_known(self):
        """An older whole read whose changes are forgotten changes nothing."""
        source = ScriptedSource(
            view(5, a=b"ready"),
            view(7, a=b"draining"),
            HistoryGoneError(),
            view(6, a=b"ready"),
            HistoryGoneError(),
            view(9, a=b"draining", b=b"ready"),
            view(10, b=None, c=b"ready"),
        )
        taken, _, _ = await follow(source)
        assert taken[1:] == [
            ({"a": b"draining"}, False),
            ({"a": b"draining", "c": b"ready"}, True),
        ]

    async def test_store_without_history_is_not_read_in_a_hurry(self):
        """Whole reads that come to nothing follow each other at pauses."""
        gone = [view(6), HistoryGoneError()] * 40
        source = ScriptedSource(view(5), HistoryGoneError(), *gone)
        task = asyncio.create_task(made_follower(source, retry_pause_s=0.05).run())
        await asyncio.sleep(0.5)
        task.cancel()
        whole = [one for one in source.asked if one[0] == "table"]
        assert 2 <= len(whole) <= 2 + 0.5 / (0.75 * 0.05)

    async def test_outage_is_asked_again_without_a_wait(self):
        """After an outage the first read doesn't wait; the return is told."""
        source = ScriptedSource(view(5), TableUnavailableError("away"), view(5))
        began_s = clocks.now_s()
        _, returned, _ = await follow(source)
        assert source.asked[2] == ("changes", 5, 0.0)
        assert source.asked[3][2] > 0
        (outage,) = returned
        assert outage.proven_s <= outage.unavailable_s
        assert began_s <= outage.unavailable_s < clocks.now_s()

    async def test_pauses_grow_while_the_store_refuses(self):
        """Each refusal doubles the pause, up to a bound; an answer ends that."""
        follower = made_follower(ScriptedSource(), retry_pause_s=0.4)
        pauses_s = []
        for _ in range(20):
            follower._read_began_s = clocks.now_s()
            pauses_s.append(follower._retry_pause_s())
        assert pauses_s[0] <= 0.4 * 1.5
        assert min(pauses_s[3:]) >= 0.8 * 0.75 - 0.01
        assert max(pauses_s) <= 0.8 * 1.5 <= 2.0

    async def test_store_is_found_late_as_a_silent_read_took_its_time(self):
        """The pause is counted from when the read was begun."""
        follower = made_follower(ScriptedSource(), retry_pause_s=0.2)
        for took_s in (0.0, 0.3, 0.6, 2.0) * 10:
            follower._read_began_s = clocks.now_s() - took_s
            pause_s = follower._retry_pause_s()
            assert 0.2 * 0.75 <= pause_s <= max(0.2 * 1.5, 0.8 * 1.5 - took_s)

    async def test_first_read_is_rested_after(self):
        """Until it is known who follows whom, the store is not asked again."""
        source = ScriptedSource(view(5), view(6))
        follower = made_follower(source, first_pause_s=0.05)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.02)
        assert len(source.asked) == 1
        await asyncio.sleep(0.08)
        task.cancel()
        assert len(source.asked) > 1

    async def test_empty_answer_is_a_proof(self):
        """An answer without changes proves that the view is current."""
        _, _, freshness = await follow(ScriptedSource(view(5), view(5)))
        assert freshness.is_fresh(now_s=clocks.now_s())

    async def test_answers_without_a_wait_are_not_asked_for_at_once(self, monkeypatch):
        """A store that doesn't wait with its answers is still read at a pace."""
        monkeypatch.setattr(_followers, "_IDLE_PAUSES", 50.0)
        source = ScriptedSource(view(5), *[view(5) for _ in range(4)])
        started_s = clocks.now_s()
        await follow(source)
        # The pauses after the first three; the last answer ends the script.
        assert clocks.now_s() - started_s >= 3 * 0.05

    @pytest.mark.parametrize("steps", [(), (TableUnavailableError("away"),)])
    async def test_no_answer_is_no_proof(self, steps):
        """Without an answer nothing is proven."""
        _, _, freshness = await follow(ScriptedSource(*steps))
        assert freshness.age_s(now_s=clocks.now_s()) == float("inf")


class SlowTaker:
    """Takes rows in only when it may."""

    def __init__(self):
        self.begun = []
        self.done = []
        self.may_end = asyncio.Event()

    async def take(self, view, _is_whole):
        self.begun.append(view.version)
        await self.may_end.wait()
        self.done.append(view.version)


async def slow_follower(source):
    """Return a taker, its table's freshness, and the task that follows."""
    taker, freshness = SlowTaker(), Freshness(limit_s=5.0)
    follower = TableFollower(
        "op",
        source=source,
        settings=StoreSection("127.0.0.1:1", change_pause_s=0.0),
        clock=StoreClock(),
        freshness=freshness,
        take=taker.take,
        on_recovery=lambda _outage: None,
        rng=random.Random(1),
    )
    task = asyncio.create_task(follower.run())
    async with asyncio.timeout(5):
        while not taker.begun:
            await asyncio.sleep(0)
    return taker, freshness, task


class TestSlowTaking:
    async def test_rows_proven_before_they_are_in_force(self):
        """A key that they remove would count as proven meanwhile."""
        taker, freshness, task = await slow_follower(ScriptedSource(view(1, a=b"1")))
        await asyncio.sleep(0.01)
        assert not freshness.is_fresh(now_s=clocks.now_s())
        taker.may_end.set()
        await asyncio.sleep(0.01)
        assert freshness.is_fresh(now_s=clocks.now_s())
        task.cancel()

    async def test_newest_rows_starve(self):
        """Changes come quicker than they are taken in; none ends what is under way."""
        source = ScriptedSource(view(1, a=b"1"))
        taker, _, task = await slow_follower(source)
        # What has changed meanwhile is read at one go.
        source.steps += [view(40, a=b"40"), view(80, a=b"80")]
        taker.may_end.set()
        await asyncio.sleep(0.02)
        assert taker.done == [1, 40, 80]
        task.cancel()
