# SPDX-License-Identifier: MIT
"""The steps of a process's start."""

from __future__ import annotations

from violethatch import _followers
from violethatch.router_settings import StoreSection
from violethatch.start_steps import START_STEPS, Step, StepTimes


class TestStepTimes:
    def test_step_counts_once(self):
        """A step that is reached again keeps its first time."""
        times = StepTimes(began_s=100.0)
        assert times.note(Step.IMPORTED, now_s=100.5)
        assert not times.note(Step.IMPORTED, now_s=107.0)
        assert times.after_s() == {"imported": 0.5}

    def test_processor_time_of_each_step(self):
        """A start that waits is told from one that has little of a processor."""
        times = StepTimes(began_s=0.0)
        times.note(Step.TURN, now_s=5.0)
        times.note(Step.IMPORTED, now_s=9.0, processor_s=0.42)
        assert times.processor_s() == {"turn": 0.0, "imported": 0.42}

    def test_first_missing_step_is_waited_for(self):
        """Steps may be reached in another order; the first one that lacks counts."""
        times = StepTimes(began_s=0.0)
        times.note(Step.TURN, now_s=0.0)
        times.note(Step.IMPORTED, now_s=1.0)
        times.note(Step.DESIRED_STATE, now_s=1.0)
        assert times.waits_for is not None
        assert times.waits_for.startswith("listening: ")

    def test_nothing_is_waited_for_after_the_last(self):
        """A process that has answered is no longer starting."""
        times = StepTimes(began_s=0.0)
        for step in Step:
            times.note(step, now_s=1.0)
        assert times.waits_for is None


class TestBudget:
    def test_each_step_is_in_the_table(self):
        """The table has every step, in the order in which they are reached."""
        assert list(START_STEPS) == list(Step)

    def test_waits_for_the_store_are_the_followers_longest(self):
        """Guards against a longer pause between reads than the table says."""
        retry_pause_s = StoreSection._field_defaults["retry_pause_s"]
        longest_s = max(_followers._LONGEST_PAUSE_S, retry_pause_s)
        longest_s *= max(_followers._PAUSE_PARTS)
        for step in (Step.DESIRED_STATE, Step.SERVERS):
            assert START_STEPS[step].max_wait_s >= longest_s
