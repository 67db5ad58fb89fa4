# SPDX-License-Identifier: MIT
"""The use of processors by the kernel's counters."""

from __future__ import annotations

import os
import time

import pytest

from violethatch.processor_use import ProcessorUse


def write_stat(path, times):
    """Write counters of processors: user, idle and waiting for a disk."""
    lines = ["cpu  9 9 9 9 9 9 9 9 9 9"]
    lines += [
        f"cpu{number} {user} 0 0 {idle} {waiting} 0 0 0 7 7"
        for number, (user, idle, waiting) in times.items()
    ]
    path.write_text("\n".join([*lines, "intr 1 2 3", "ctxt 9"]))


class TestProcessorUse:
    @pytest.fixture
    def stat(self, tmp_path, monkeypatch):
        """Provide the counters of three processors, two of them this process's."""
        monkeypatch.setattr(os, "sched_getaffinity", lambda _: {0, 10})
        path = tmp_path / "stat"
        write_stat(path, {0: (10, 10, 0), 1: (0, 0, 0), 10: (5, 5, 5)})
        return path

    def test_processors_of_others_do_not_count(self, stat):
        use = ProcessorUse(stat=str(stat))
        write_stat(stat, {0: (20, 10, 0), 1: (0, 90, 0), 10: (5, 10, 10)})
        assert use.busy_fraction() == pytest.approx(0.5)

    def test_use_is_since_the_last_call(self, stat):
        use = ProcessorUse(stat=str(stat))
        write_stat(stat, {0: (20, 10, 0), 1: (0, 0, 0), 10: (5, 5, 5)})
        assert use.busy_fraction() == 1.0
        write_stat(stat, {0: (20, 20, 0), 1: (0, 0, 0), 10: (5, 5, 5)})
        assert use.busy_fraction() == 0.0

    def test_no_time_has_passed(self, stat):
        """Guards against a division by zero between two ticks of the kernel."""
        assert ProcessorUse(stat=str(stat)).busy_fraction() is None

    @pytest.mark.parametrize("content", ["", "cpu0 1 2\n", "cpu0 1 2 x 4 5 6 7 8\n"])
    def test_counters_that_are_not_there(self, stat, content):
        """A start goes on where the kernel's counters are hidden."""
        stat.write_text(content)
        assert ProcessorUse(stat=str(stat)).busy_fraction() is None
        assert ProcessorUse(stat="/nowhere").busy_fraction() is None

    def test_this_machine(self):
        """The kernel's file is understood: a loop keeps a processor busy."""
        use = ProcessorUse()
        until_s = time.monotonic() + 0.2
        while time.monotonic() < until_s:
            pass
        busy = use.busy_fraction()
        assert busy is not None
        assert busy >= 0.5 / len(os.sched_getaffinity(0))
