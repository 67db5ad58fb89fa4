# SPDX-License-Identifier: MIT
"""The share of a processor that a process has, found out before all other imports.

The settings state a share.  Processes that are not held to it use whole processors
while they start, so that it counts only where the process was held up.

.. versionadded:: 26.9.0
"""

from __future__ import annotations

import configparser
import os
import time


__all__ = ["is_held_up", "processor_share", "stated_share"]

_WHOLE = 1.0
#: The part of the time in which it didn't wait for a processor that a process didn't
#: run, from which on it is held to a share.
_HELD_UP_FRACTION = 0.3
#: The processor time that a control group may use in a period, and that period.
_QUOTA = "/sys/fs/cgroup/cpu.max"
_SCHEDSTAT = "/proc/self/schedstat"
_STAT = "/proc/self/stat"
#: The place of the start time in that file, after the name in brackets (proc(5)).
_START_COLUMN = 19
_NS_PER_S = 1e9
#: By how much the start time may be early, in seconds.
_TICK_S = 0.01


def processor_share(settings: str) -> float:
    """Return the share of a processor that this process is held to, from 0 to 1.

    Args:
        settings: The path of the settings file.
    """
    share = stated_share(settings)
    return share if share < _WHOLE and (_has_quota() or is_held_up()) else _WHOLE


def stated_share(settings: str) -> float:
    """Return the share of a processor that the settings state, from 0 to 1.

    Settings are validated later: until then, what can't be read counts as a whole one.

    Args:
        settings: The path of the settings file.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(settings, encoding="utf-8")
        share = parser.getfloat("limits", "processor_share")
    except (configparser.Error, OSError, ValueError):
        return _WHOLE
    return share if 0.0 < share < _WHOLE else _WHOLE


def is_held_up() -> bool:
    """Tell whether this process was stopped for much of its life so far.

    Waits for a processor that others use don't count.
    """
    try:
        with open(_SCHEDSTAT, "rb") as file:
            ran_ns, waited_ns, _ = map(int, file.read().split())
        with open(_STAT, "rb") as file:
            started = int(file.read().rpartition(b")")[2].split()[_START_COLUMN])
    except (OSError, ValueError, IndexError):
        return False
    now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    life_s = now_s - started / os.sysconf("SC_CLK_TCK")
    ran_s = ran_ns / _NS_PER_S
    stopped_s = life_s - ran_s - waited_ns / _NS_PER_S - _TICK_S
    return stopped_s >= _HELD_UP_FRACTION * (stopped_s + ran_s)


def _has_quota() -> bool:
    """Tell whether the process's control group may use a part of a processor only."""
    try:
        with open(_QUOTA, "rb") as file:
            quota, period = map(int, file.read().split())
    except (OSError, ValueError):
        return False  # no such group, or no limit
    return quota < period
