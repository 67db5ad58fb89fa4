# SPDX-License-Identifier: MIT
"""Consumption of an allowance of running time."""

from __future__ import annotations

import pytest

from violethatch import clocks
from violethatch.running_time import LATE_S, Allowance


def expiry_s(monkeypatch, limit_s, *, delay_s):
    """Return the time until a limit expires if each step is delayed."""
    now_s = 100.0
    monkeypatch.setattr(clocks, "now_s", lambda: now_s)
    allowance = Allowance(limit_s)
    is_expired = False
    while not is_expired:
        now_s += allowance.begin_step() + delay_s
        is_expired = allowance.end_step()
    return now_s - 100.0


@pytest.mark.parametrize("limit_s", [0.04, 0.3, 1.0])
def test_normal_timer_delay_does_not_extend_a_limit(monkeypatch, limit_s):
    """Timers of a busy loop always fire some milliseconds late."""
    delay_s = 0.8 * LATE_S
    assert expiry_s(monkeypatch, limit_s, delay_s=delay_s) <= limit_s + delay_s + 1e-6


def test_early_timers_still_expire(monkeypatch):
    """A clock may not advance in a step below its resolution."""
    now_s = 100.0
    monkeypatch.setattr(clocks, "now_s", lambda: now_s)
    allowance = Allowance(0.3)
    steps = 0
    is_expired = False
    while not is_expired and steps < 100:
        now_s += max(0.0, allowance.begin_step() - 0.001)
        is_expired = allowance.end_step()
        steps += 1
    assert is_expired


def test_stalled_loop_consumes_a_limit(monkeypatch):
    """Each step counts as if it had not been delayed."""
    assert expiry_s(monkeypatch, 0.3, delay_s=1.0) > 6.0
