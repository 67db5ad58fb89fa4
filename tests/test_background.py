# SPDX-License-Identifier: MIT
"""Background work and its unexpected errors."""

from __future__ import annotations

import asyncio

import pytest

from violethatch import _background
from violethatch._background import BackgroundTask, FailureGuard
from violethatch.failure_pauses import FIRST_PAUSE_S, MAX_PAUSE_S, FailurePauses


@pytest.fixture
def pauses_s(monkeypatch):
    """Record the pauses in place of waiting."""
    slept = []

    async def sleep(pause_s):
        slept.append(pause_s)

    monkeypatch.setattr(_background.asyncio, "sleep", sleep)
    return slept


class TestGuard:
    async def test_task_runs_again_after_each_error(self, pauses_s):
        """An error in one task ended all instances' processes."""
        tries = []
        failed = []

        async def work():
            tries.append(1)
            if len(tries) < 4:
                raise IndexError("out of range")

        guard = FailureGuard()
        guard.on_failure = failed.append
        await guard.keep_running(BackgroundTask("plans", work))
        assert len(tries) == 4
        assert failed == ["plans"] * 3
        assert pauses_s[0] < pauses_s[1] < pauses_s[2]

    async def test_cancelled_task_ends(self):
        guard = FailureGuard()

        async def work():
            await asyncio.Event().wait()

        task = asyncio.create_task(guard.keep_running(BackgroundTask("plans", work)))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    def test_contained_error_pauses_its_work_only(self):
        guard = FailureGuard()
        with guard.contain("a"):
            raise ValueError
        assert guard.is_paused("a")
        assert not guard.is_paused("b")

    def test_end_of_the_process_is_not_contained(self):
        with pytest.raises(SystemExit), FailureGuard().contain("a"):
            raise SystemExit


class TestPauses:
    def test_replay_of_an_input_that_fails_for_a_day(self):
        """The work is tried 10 s apart, however often it has failed."""
        pauses = FailurePauses()
        now_s = 0.0
        tries = 0
        while now_s < 86_400.0:
            if not pauses.is_paused("plan", now_s=now_s):
                tries += 1
                pauses.record_failure("plan", now_s=now_s)
            now_s += 0.4
        assert tries <= 86_400.0 / MAX_PAUSE_S + 10

    def test_work_that_went_well_for_long_starts_over(self):
        pauses = FailurePauses()
        for now_s in (0.0, 1.0, 2.0):
            pauses.record_failure("plan", now_s=now_s)
        assert pauses.record_failure("plan", now_s=100.0) == FIRST_PAUSE_S
