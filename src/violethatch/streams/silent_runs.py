# SPDX-License-Identifier: MIT
"""What is done about a run of a stream that gives no events.

Load pattern: a runner, a path or this instance stands still for 0.1 to 3 s while dozens
of streams pass through it.  All of them fall silent in the same moment; most would go
on by themselves, and only few may be sent again.

A silence ends nothing.  A silent run is kept until it goes on, until another run of the
stream gives an event, until its runner is known to have ended, or until time is up.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

import enum

from typing import NamedTuple


#: Sends of one stream that were refused, kept back or not connected.
_MAX_UNRUN = 4
#: How much longer each further check of a silent run waits, and at most, in seconds.
_CHECK_GROWTH = 1.5
_MAX_CHECK_S = 2.0
_MIN_CHECK_S = 0.01
#: When another run is tried for again where there was no retry or no path, in
#: seconds; each further try waits twice as long.
_FIRST_PAUSE_S = 0.2
_MAX_PAUSE_S = 1.6


class Finding(enum.Enum):
    """What a check of a silent run has shown."""

    #: Its runners are there, and none is known to be at fault.
    NOTHING = "nothing"
    #: Its first runner has ended, and the request with it.
    FIRST_ENDED = "first_ended"
    #: Its first runner gives no report.
    FIRST_SILENT = "first_silent"
    #: Later runners of its path are at fault.
    LATER_AT_FAULT = "later_at_fault"
    #: Nothing holds it up, so that its answer was lost.
    ANSWER_LOST = "answer_lost"
    #: It has been silent for too long, whatever its runners tell.
    OVERDUE = "overdue"


class Action(enum.Enum):
    """What a finding leads to."""

    WAIT = "wait"
    #: Move the run onto a path around the runners at fault.
    MOVE = "move"
    #: Keep the run, and begin another one beside it if that is allowed.
    RUN_BESIDE = "run_beside"
    END = "end"


def action_on(finding: Finding, *, has_ended: bool, is_held: bool) -> Action:
    """Return what is done about a silent run.

    Args:
        finding: What its check has shown.
        has_ended: Whether some of the runners at fault are known to have ended.
        is_held: Whether the stream must not be sent to any further server.

    .. versionadded:: 26.7.0
    """
    if finding is Finding.NOTHING:
        return Action.WAIT
    if finding is Finding.FIRST_ENDED:
        return Action.END
    if finding is not Finding.LATER_AT_FAULT:
        return Action.RUN_BESIDE
    if not is_held:
        return Action.MOVE
    return Action.END if has_ended else Action.RUN_BESIDE


class Obstacle(enum.Enum):
    """Why a stream is not sent again."""

    #: Another send would run it twice.
    NOT_REPEATABLE = "not_repeatable"
    #: As many runs as the route allows have begun.
    ATTEMPTS = "attempts"
    #: Too many sends were refused.
    REFUSALS = "refusals"
    DEADLINE = "deadline"
    #: Servers have ended under it.
    HELD = "held"
    #: The retry budget is used up.
    NO_RETRY = "no_retry"
    NO_PATH = "no_path"
    #: The links are lost, and no other instance serves it.
    NO_INSTANCE = "no_instance"
    #: A run gives events.
    GOES_ON = "goes_on"

    @property
    def may_pass(self) -> bool:
        """Whether another try a little later may succeed."""
        return self in _PASSING


_PASSING = frozenset(
    (Obstacle.NO_RETRY, Obstacle.NO_PATH, Obstacle.NO_INSTANCE, Obstacle.GOES_ON)
)


class Sends(NamedTuple):
    """What a stream's sends have come to.

    Attributes:
        runs: Sends that may have run, those under way included.
        unrun: Sends that have not run.
    """

    runs: int
    unrun: int


def obstacle(
    sends: Sends,
    *,
    max_attempts: int,
    is_repeatable: bool,
    is_late: bool,
    is_held: bool,
) -> Obstacle | None:
    """Return why a stream may not be sent again, or None if it may.

    Args:
        sends: What its sends have come to.
        max_attempts: How many runs its route allows.
        is_repeatable: Whether what has run may run again.
        is_late: Whether its deadline is over.
        is_held: Whether it must not be sent to any server.

    .. versionadded:: 26.7.0
    """
    if is_held:
        return Obstacle.HELD
    if not any(sends):
        return None
    if is_late:
        return Obstacle.DEADLINE
    if sends.unrun >= _MAX_UNRUN:
        return Obstacle.REFUSALS
    if sends.runs and not is_repeatable:
        return Obstacle.NOT_REPEATABLE
    if sends.runs and sends.runs >= max_attempts:
        return Obstacle.ATTEMPTS
    return None


class CheckTimes:
    """When a silent run is checked: steadily, and ever more seldom later.

    Later is once another run may begin beside it, or once it is overdue.

    Args:
        step_s: The silence before each check, in seconds.
        overdue_s: The silence after which a run is overdue, in seconds.

    .. versionadded:: 26.7.0
    """

    def __init__(self, step_s: float, *, overdue_s: float) -> None:
        self._step_s = step_s
        self._overdue_s = overdue_s

    def next_s(self, silent_s: float, *, is_kept: bool = False) -> float:
        """Return how long to wait for the next check, in seconds.

        Args:
            silent_s: How long the run has been silent, in seconds.
            is_kept: Whether another run may begin beside it.
        """
        is_overdue = silent_s >= self._overdue_s
        if is_overdue or is_kept:
            self._step_s = min(_CHECK_GROWTH * self._step_s, _MAX_CHECK_S)
        left_s = self._step_s if is_overdue else self._overdue_s - silent_s
        return max(_MIN_CHECK_S, min(self._step_s, left_s))


class RetryPauses:
    """When another run is tried for again.

    .. versionadded:: 26.7.0
    """

    def __init__(self) -> None:
        self._next_s = _FIRST_PAUSE_S

    def next_s(self) -> float:
        """Return the next pause, in seconds."""
        next_s = self._next_s
        self._next_s = min(2 * next_s, _MAX_PAUSE_S)
        return next_s
