# SPDX-License-Identifier: MIT
"""The steps from a process's start to its first answer, and what each waits for.

All instances may start at the same moment, on shared processors, before runners that
start empty.  Each step has the longest wait that this program adds once what it waits
for is there; their sum bounds a return, beside processor time and loads.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import enum

from collections.abc import Mapping
from typing import NamedTuple

from .start_slots import MAX_WAIT_S, TurnWait


__all__ = ["LOGGED_STEPS", "START_STEPS", "Step", "StepSpec", "StepTimes"]


class Step(enum.Enum):
    """A step of a start, in the usual order."""

    TURN = "turn"
    IMPORTED = "imported"
    LISTENING = "listening"
    DESIRED_STATE = "desired_state"
    SERVERS = "servers"
    READY = "ready"
    FIRST_ANSWER = "first_answer"


class StepSpec(NamedTuple):
    """What a step waits for.

    Attributes:
        waits_for: What has to be there.
        max_wait_s: The longest that this program waits beyond that, in seconds.
    """

    waits_for: str
    max_wait_s: float


START_STEPS: Mapping[Step, StepSpec] = {
    Step.TURN: StepSpec("other processes that start on the processors", MAX_WAIT_S),
    Step.IMPORTED: StepSpec("processor time for the imports", 0.0),
    Step.LISTENING: StepSpec("the settings file and free addresses", 0.1),
    Step.DESIRED_STATE: StepSpec("an answer of the store", 1.8),
    Step.SERVERS: StepSpec("an answer of the store", 1.8),
    Step.READY: StepSpec("the balancer's question", 0.0),
    Step.FIRST_ANSWER: StepSpec("a caller, and servers that hold all layers", 0.0),
}


#: Steps that a line tells of, with the times of all before.
LOGGED_STEPS = frozenset((Step.READY, Step.FIRST_ANSWER))


class StepTimes:
    """When one process reached its steps.

    Args:
        began_s: When the process began, in monotonic seconds.
        turn: Its wait for a turn, if it took one.

    .. versionadded:: 26.5.0
    """

    def __init__(self, *, began_s: float, turn: TurnWait | None = None) -> None:
        self._began_s = began_s
        self.turn = turn
        self._after_s: dict[Step, float] = {}
        self._processor_s: dict[Step, float] = {}

    def has_reached(self, step: Step) -> bool:
        """Return whether a step is reached."""
        return step in self._after_s

    def note(self, step: Step, *, now_s: float, processor_s: float = 0.0) -> bool:
        """Note that a step is reached; tell whether that is new.

        Args:
            step: The step.
            now_s: The current monotonic time, in seconds.
            processor_s: The processor time that the process has used, in seconds.
        """
        if step in self._after_s:
            return False
        self._after_s[step] = now_s - self._began_s
        self._processor_s[step] = processor_s
        return True

    @property
    def waits_for(self) -> str | None:
        """What the first step that is not reached waits for; None after the last."""
        for step, spec in START_STEPS.items():
            if step not in self._after_s:
                return f"{step.value}: {spec.waits_for}"
        return None

    def after_s(self) -> dict[str, float]:
        """Return how long after the beginning each reached step was, in seconds."""
        return {step.value: round(at_s, 3) for step, at_s in self._after_s.items()}

    def processor_s(self) -> dict[str, float]:
        """Return the processor time used up to each reached step, in seconds."""
        return {step.value: round(s, 3) for step, s in self._processor_s.items()}
