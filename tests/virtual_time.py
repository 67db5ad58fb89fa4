# SPDX-License-Identifier: MIT
"""An event loop whose clock jumps to the next timer, for replays without real waits."""

from __future__ import annotations

import asyncio
import functools
import selectors

import pytest

from violethatch import clocks


class _JumpingSelector(selectors.SelectSelector):
    """Polls for events, and moves the clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0:
            self.now_s += timeout
        return ready


class _VirtualLoop(asyncio.SelectorEventLoop):
    """A loop that reads its time from the selector."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.now_s

    def stand_still(self, for_s):
        """Let time go on while nothing runs, as in one long step."""
        self._jumping.now_s += for_s


def run(work, monkeypatch):
    """Run a coroutine function to its end in virtual time; return its result."""
    loop = _VirtualLoop()
    monkeypatch.setattr(clocks, "now_s", loop.time)
    try:
        return loop.run_until_complete(work())
    finally:
        loop.close()


def in_virtual_time(test):
    """Let a test that is a coroutine function run in virtual time."""

    @functools.wraps(test)
    def play(*args, **kwargs):
        with pytest.MonkeyPatch.context() as monkeypatch:
            run(lambda: test(*args, **kwargs), monkeypatch)

    return play
