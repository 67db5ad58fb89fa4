# SPDX-License-Identifier: MIT
"""How an allowance of running time is used up."""

from __future__ import annotations

import pytest

from violethatch import clocks
from violethatch.running_time import LATE_S, Allowance


def used_up_s(monkeypatch, limit_s, *, late_s):
    """Return how long a limit takes where each step is some time late."""
    now_s = 100.0
    monkeypatch.setattr(clocks, "now_s", lambda: now_s)
    allowance = Allowance(limit_s)
    is_over = False
    while not is_over:
        now_s += allowance.begin_step() + late_s
        is_over = allowance.end_step()
    return now_s - 100.0


@pytest.mark.parametrize("limit_s", [0.04, 0.3, 1.0])
def test_usual_lateness_of_timers_prolongs_a_limit(monkeypatch, limit_s):
    """Timers of a loop with work are always some ms late."""
    late_s = 0.8 * LATE_S
    assert used_up_s(monkeypatch, limit_s, late_s=late_s) <= limit_s + late_s + 1e-6


def test_early_timers_leave_a_rest_that_is_never_over(monkeypatch):
    """A clock may not move in a step that is shorter than its grain."""
    now_s = 100.0
    monkeypatch.setattr(clocks, "now_s", lambda: now_s)
    allowance = Allowance(0.3)
    steps = 0
    is_over = False
    while not is_over and steps < 100:
        now_s += max(0.0, allowance.begin_step() - 0.001)
        is_over = allowance.end_step()
        steps += 1
    assert is_over


def test_standstill_uses_a_limit_up(monkeypatch):
    """Each step counts as if it had not been late."""
    assert used_up_s(monkeypatch, 0.3, late_s=1.0) > 6.0
