# SPDX-License-Identifier: MIT
"""Cached placement plans with staggered planning across instances.

Planning blocks the event loop for tens of milliseconds.  A few instances plan
immediately when the input changes, the others only if it persists.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .engine_model import EngineSpec
from .instances import InstanceDirectory
from .layers import LayerRange
from .placement import Host, plan_placement


#: Several instances plan immediately, so that a frozen or partitioned instance delays
#: nothing.
_IMMEDIATE_PLANNERS = 3
#: Delay per rank, in seconds: slightly more than two planning intervals and an attempt
#: to acquire the lease.
_RANK_DELAY_S = 0.8
#: Delay beyond which the interval between ranks is shorter, in seconds: if most
#: instances are unavailable, the first live instance should not wait for all others.
_LONG_DELAY_S = 8.0
#: Delay per rank beyond it, in seconds.  With a common limit of 8 s, 195 instances
#: planned simultaneously and were blocked for 0.5 s.
_LONG_RANK_DELAY_S = 0.05
#: Key of the rendezvous hash that ranks instances for planning.
_PLACEMENT_JOB = "placement"


class PlanInput(NamedTuple):
    """All inputs of a placement plan."""

    hosts: tuple[Host, ...]
    engine: EngineSpec
    copy_candidates: frozenset[str]
    allow_repair: bool


class PlacementPlans:
    """Placement plans of an instance, by service.

    Args:
        directory: Ranks instances for planning; without it, all plan immediately.
    """

    def __init__(self, directory: InstanceDirectory | None) -> None:
        self._directory = directory
        #: By service, the latest input and the time of its last change.
        self._inputs: dict[str, tuple[PlanInput, float]] = {}
        #: By service, the input of the latest plan, and the plan.
        self._plans: dict[str, tuple[PlanInput, Mapping[str, LayerRange]]] = {}

    def plan(
        self, service: str, plan_input: PlanInput, *, is_holder: bool, now_s: float
    ) -> Mapping[str, LayerRange]:
        """Return the plan for an input; empty while other instances plan first.

        Args:
            service: The service's name.
            plan_input: The input of the plan.
            is_holder: Whether this instance holds the lease.
            now_s: The monotonic time, in seconds.
        """
        changed_s = self._changed_s(service, plan_input, now_s)
        cached = self._plans.get(service)
        if cached is not None and cached[0] == plan_input:
            return cached[1]
        if not is_holder and not self._may_plan(changed_s, now_s):
            return {}
        plan = plan_placement(
            plan_input.hosts,
            plan_input.engine,
            copy_candidates=plan_input.copy_candidates,
            allow_repair=plan_input.allow_repair,
        )
        self._plans[service] = (plan_input, plan)
        return plan

    def _may_plan(self, changed_s: float, now_s: float) -> bool:
        """Whether the planning delay of this instance has elapsed."""
        return now_s - changed_s >= _rank_delay_s(self._rank(now_s))

    def plans_immediately(self, *, now_s: float) -> bool:
        """Whether this instance plans without a delay.

        An instance that knows no others may be one of many that have just started.
        """
        has_no_peers = self._directory is not None and not self._directory.others()
        return not has_no_peers and self._rank(now_s) < _IMMEDIATE_PLANNERS

    def _rank(self, now_s: float) -> int:
        """Return the number of instances that plan before this one."""
        if self._directory is None:
            return 0
        return self._directory.rank(_PLACEMENT_JOB, now_s=now_s)

    def _changed_s(self, service: str, plan_input: PlanInput, now_s: float) -> float:
        """Return when the input last changed, in monotonic seconds."""
        previous = self._inputs.get(service)
        if previous is None or previous[0] != plan_input:
            previous = (plan_input, now_s)
            self._inputs[service] = previous
        return previous[1]


def _rank_delay_s(rank: int) -> float:
    """Return the planning delay of a rank, in seconds."""
    others = max(0, rank - _IMMEDIATE_PLANNERS + 1)
    return min(others * _RANK_DELAY_S, _LONG_DELAY_S + others * _LONG_RANK_DELAY_S)
