# SPDX-License-Identifier: MIT
"""Long work in slices."""

from __future__ import annotations

import asyncio

import pytest

from violethatch import clocks, slices
from violethatch.slices import Slices, run_to_completion


def work(steps, *, step_s=0.0, done=None):
    """Do so many steps; return their number."""
    for number in range(steps):
        end_s = clocks.now_s() + step_s
        while clocks.now_s() < end_s:
            pass
        if done is not None:
            done.append(number)
        yield
    return steps


def failing():
    """Fail after a step."""
    yield
    raise ValueError


class TestRunWhole:
    def test_result(self):
        assert run_to_completion(work(3)) == 3

    def test_failure(self):
        with pytest.raises(ValueError):
            run_to_completion(failing())


class TestSlices:
    async def test_result(self):
        made = Slices()
        assert await made.run(work(3)) == 3
        assert made.count == 1

    async def test_failure(self):
        with pytest.raises(ValueError):
            await Slices().run(failing())

    async def test_other_tasks_run_between(self, monkeypatch):
        monkeypatch.setattr(slices, "SLICE_S", 0.0005)
        done, seen = [], []
        made = Slices()
        running = asyncio.create_task(made.run(work(20, step_s=0.001, done=done)))
        while not running.done():
            seen.append(len(done))
            await asyncio.sleep(0)
        assert set(range(1, 20)) <= set(seen)
        assert made.count == 21
        assert made.max_slice_s >= 0.001

    async def test_short_steps_share_a_slice(self):
        made = Slices()
        await made.run(work(100))
        assert made.count < 100
