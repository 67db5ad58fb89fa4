# SPDX-License-Identifier: MIT
"""Plans of placement: each made once, and by few instances at once.

Planning stops all else for tens of milliseconds.  A few instances do it at once
when the situation changes; the others only if it stays.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .engine_model import EngineSpec
from .instances import InstanceDirectory
from .layers import LayerRange
from .placement import Host, plan_placement


#: How many instances plan at once when a situation changes: one that is frozen
#: or cut off should hold nothing up.
_FIRST_PLANNERS = 3
#: How much longer each further instance waits for its turn, in seconds: somewhat
#: more than two looks and a try for the lease.
_TURN_S = 0.8
#: From here on turns are closer, in seconds: where most instances are gone, the first
#: of those that are left should not wait for all the others' turns.
_CLOSE_TURNS_S = 8.0
#: How much longer each further instance waits then, in seconds.  When all of 195 had
#: their turn at 8 s they stood still together, for 0.5 s.
_CLOSE_TURN_S = 0.05
#: Keys the rendezvous hash that ranks the instances for planning.
_PLACEMENT_JOB = "placement"


class Situation(NamedTuple):
    """All that a plan follows from."""

    hosts: tuple[Host, ...]
    engine: EngineSpec
    copying: frozenset[str]
    is_repairing: bool


class PlacementPlans:
    """One instance's plans, by service.

    Args:
        directory: Says whose turn it is to plan; without it, everybody's.
    """

    def __init__(self, directory: InstanceDirectory | None) -> None:
        self._directory = directory
        #: By service, its latest situation and since when it is that.
        self._situations: dict[str, tuple[Situation, float]] = {}
        #: By service, the situation that its latest plan was made for, and the plan.
        self._plans: dict[str, tuple[Situation, Mapping[str, LayerRange]]] = {}

    def plan(
        self, service: str, situation: Situation, *, is_holder: bool, now_s: float
    ) -> Mapping[str, LayerRange]:
        """Return the plan for a situation, or none while it is others' turn.

        Args:
            service: The service's name.
            situation: What the plan follows from.
            is_holder: Whether this instance holds the lease.
            now_s: The monotonic time, in seconds.
        """
        since_s = self._since_s(service, situation, now_s)
        made = self._plans.get(service)
        if made is not None and made[0] == situation:
            return made[1]
        if not is_holder and not self._is_turn(since_s, now_s):
            return {}
        plan = plan_placement(
            situation.hosts,
            situation.engine,
            copying=situation.copying,
            is_repairing=situation.is_repairing,
        )
        self._plans[service] = (situation, plan)
        return plan

    def _is_turn(self, since_s: float, now_s: float) -> bool:
        """Tell whether it is this instance's turn to plan."""
        return now_s - since_s >= _turn_s(self._rank(now_s))

    def is_first(self, *, now_s: float) -> bool:
        """Tell whether this instance is one of those that plan at once.

        Where no other is known yet, it may be one of many that have just started.
        """
        is_alone = self._directory is not None and not self._directory.others()
        return not is_alone and self._rank(now_s) < _FIRST_PLANNERS

    def _rank(self, now_s: float) -> int:
        """Return how many instances plan before this one."""
        if self._directory is None:
            return 0
        return self._directory.rank(_PLACEMENT_JOB, now_s=now_s)

    def _since_s(self, service: str, situation: Situation, now_s: float) -> float:
        """Return since when a service's situation is this one, in monotonic seconds."""
        known = self._situations.get(service)
        if known is None or known[0] != situation:
            known = (situation, now_s)
            self._situations[service] = known
        return known[1]


def _turn_s(rank: int) -> float:
    """Return how long an instance of this rank lets others plan first, in seconds."""
    others = max(0, rank - _FIRST_PLANNERS + 1)
    return min(others * _TURN_S, _CLOSE_TURNS_S + others * _CLOSE_TURN_S)
