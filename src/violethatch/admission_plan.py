# SPDX-License-Identifier: MIT
"""Compute the fraction of new streams to admit, by priority and workspace.

Load pattern: many runners fail while a route or a workspace sends several times its
usual rate, and hundreds of instances have to reject the excess consistently, based on
sums that are up to a second old.

Every instance computes the plan from the same sums.  Priorities are admitted in order;
the first priority that exceeds the capacity is shared among workspaces by max-min
fairness.  Demand is counted over one second, so a step in the rate appears as a ramp;
its slope predicts the new rate before the second has passed.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import collections
import math

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .capacity import Room
from .load_sums import server_number


#: The target utilization of the room; the remainder absorbs load that is not yet
#: included in the sums.
TARGET_UTILIZATION = 0.9
#: The time within which the running streams reach the target utilization, in seconds:
#: about twice the age of the sums, as a shorter horizon overshoots.
HORIZON_S = 1.0
#: The minimum time between two changes of the level, in seconds.
MIN_LEVEL_DURATION_S = 1.0
#: The maximum age at which sums and plans are used, in seconds.
MAX_SUM_AGE_S = 2.0
#: The window over which offers are counted, in seconds.
_COUNT_WINDOW_S = 1.0
#: The minimum time between two samples for a slope, in seconds: sums are updated
#: every 0.25 s.
_MIN_SLOPE_SPAN_S = 0.2
#: An increase is a surge above this number of standard deviations of a Poisson count:
#: 4 detects a step from 58/s to 2.4 times that rate one plan later than 2.
_SURGE_DEVIATIONS = 2.0
#: Fallback: the step of the fraction, the minimum time between steps in seconds, the
#: bounds of the fraction, and the fraction of streams within target below which it is
#: lowered.
_FRACTION_STEP = 0.1
_MIN_STEP_INTERVAL_S = 1.0
_MIN_FRACTION = 0.2
_MAX_FRACTION = 0.95
_MIN_IN_TARGET_FRACTION = 0.9
#: The maximum number of remainders in an admitter, about 0.5 MB.
_MAX_REMAINDERS = 4096
#: Smaller weights count as 0: compared to usual weights they are lost in rounding, and
#: the rate per unit of weight that fills their share would exceed the total capacity.
_MIN_WEIGHT = 1e-6
#: Distributes the initial remainders of keys evenly over 0 to 1.
_GOLDEN_RATIO = 0.6180339887498949


class Plan(NamedTuple):
    """The admitted fractions that apply until the next plan.

    Attributes:
        parts: By priority, the admitted fraction, 0 to 1.  A priority that is absent
            is admitted completely, or rejected if it is less urgent than the level of
            a plan from sums.
        level: The priority that is partly admitted; None if everything is admitted.
        workspace_starts_per_s: The limit in starts per second for a workspace of
            weight 1 at that priority; None: no limit.
        admitted_per_s: The total of admitted starts per second.
        is_fallback: Whether the plan is based on local observations only.
        workspace_floor_per_s: The starts per second that are allowed to a workspace
            of any weight.
        rest_part: The admitted fraction of workspaces that are not among the heaviest.

    .. versionadded:: 26.5.0
    """

    parts: Mapping[int, float]
    level: int | None
    workspace_starts_per_s: float | None
    admitted_per_s: float
    is_fallback: bool
    workspace_floor_per_s: float = 0.0
    rest_part: float = 1.0

    def admitted_fraction(self, priority: int) -> float:
        """Return the admitted fraction of a priority, over all workspaces.

        Args:
            priority: 0 to 99; 0 is the most urgent.
        """
        is_less_urgent = (
            not self.is_fallback and self.level is not None and priority > self.level
        )
        return self.parts.get(priority, 0.0 if is_less_urgent else 1.0)


#: Everything is admitted.
UNLIMITED = Plan({}, None, None, math.inf, is_fallback=False)


class WorkspacePolicy(NamedTuple):
    """How a priority that exceeds the capacity is shared among workspaces.

    Attributes:
        weights: By `server_number` of the name; 1 if absent.
        floor_part: The fraction of its unweighted max-min share that each workspace
            is guaranteed, independent of the weights.

    .. versionadded:: 26.5.0
    """

    weights: Mapping[int, float]
    floor_part: float

    @classmethod
    def from_names(
        cls, weights: Mapping[str, float], floor_part: float
    ) -> WorkspacePolicy:
        """Return the policy for weights by workspace name."""
        return cls({server_number(name): w for name, w in weights.items()}, floor_part)


#: The policy that treats workspaces equally.
EQUAL_WEIGHTS = WorkspacePolicy({}, 0.5)


class _PlanRecord(NamedTuple):
    """A plan and the time at which it took effect."""

    since_s: float
    plan: Plan


class Planner:
    """Plans the admission to one service.

    Args:
        policy: How workspaces share the priority that exceeds the capacity.

    .. versionadded:: 26.5.0
    """

    def __init__(self, *, policy: WorkspacePolicy) -> None:
        self._policy = policy
        self._level: int | None = None
        self._level_changed_s = -math.inf
        #: The last time at which the demand exceeded the capacity.
        self._last_overload_s = -math.inf
        #: The plans that were in effect within the maximum age of sums, oldest first.
        self._plan_history: collections.deque[_PlanRecord] = collections.deque()
        #: The reported demand by the time to which it applies, oldest first.
        self._demand_samples: collections.deque[tuple[float, Mapping[int, float]]] = (
            collections.deque()
        )
        #: The admitted fractions of the fallback; empty while sums are available.
        self._fallback_fractions: dict[int, float] = {}
        #: Whether the last plan from sums rejected streams, or local streams have
        #: missed their targets since.
        self._was_overloaded = False
        self._last_step_s = -math.inf

    def set_policy(self, policy: WorkspacePolicy) -> None:
        """Replace the policy, starting with the next plan.

        Args:
            policy: How workspaces share the priority that exceeds the capacity.

        .. versionadded:: 26.5.0
        """
        self._policy = policy

    def plan(
        self,
        demand: Mapping[int, float],
        heaviest: Mapping[tuple[int, int], float],
        room: Room,
        running: float,
        *,
        age_s: float,
        now_s: float,
    ) -> Plan:
        """Return the plan for the sums over the instances.

        Args:
            demand: Offers per second, by priority.
            heaviest: Offers per second of the heaviest workspaces, by priority and
                workspace.
            room: The capacity of the usable runners.
            running: The number of running streams over the reporting instances.
            age_s: The age of the sums, in seconds; use `plan_from_local_load` above
                2 s.
            now_s: The current time, in seconds.

        .. versionadded:: 26.5.0
        """
        self._fallback_fractions = {}
        offers = self._project_demand(demand, at_s=now_s - age_s)
        admissible_per_s = self._admissible_per_s(
            offers, room, running, age_s=age_s, now_s=now_s
        )
        target_level = _first_excess_priority(offers, admissible_per_s)
        if target_level is not None:
            self._last_overload_s = now_s
        if (
            self._level is not None
            and now_s - self._last_overload_s < MIN_LEVEL_DURATION_S
        ):
            # While the demand fits, the least urgent level rejects nothing.  Without a
            # level, a surge would be admitted for the minimum time between changes.
            target_level = (
                max(offers, default=self._level)
                if target_level is None
                else target_level
            )
        level = self._limit_level_changes(target_level, now_s=now_s)
        if level is None:
            return self._record_plan(UNLIMITED, now_s=now_s)
        urgent_per_s = sum([rate for key, rate in offers.items() if key < level])
        offered_per_s = offers.get(level, 0.0)
        remaining_per_s = min(offered_per_s, max(0.0, admissible_per_s - urgent_per_s))
        parts = {key: 0.0 for key in offers if key > level}
        parts[level] = remaining_per_s / offered_per_s if offered_per_s else 1.0
        if admissible_per_s <= urgent_per_s:
            parts[level] = 0.0
        result = Plan(
            parts, level, None, urgent_per_s + remaining_per_s, is_fallback=False
        )
        if 0.0 < remaining_per_s < offered_per_s:
            heaviest_rates = {
                workspace: rate
                for (priority, workspace), rate in heaviest.items()
                if priority == level and rate > 0.0
            }
            result = self._with_workspace_limits(
                result, heaviest_rates, offered_per_s, remaining_per_s
            )
        return self._record_plan(result, now_s=now_s)

    def plan_from_local_load(
        self,
        demand: Mapping[int, float],
        *,
        in_target_part: float | None,
        now_s: float,
    ) -> Plan:
        """Return the plan while sums are missing or older than 2 s.

        Args:
            demand: The offers per second to this instance, by priority.
            in_target_part: The fraction of recent local streams that were within
                target; None if there were none.
            now_s: The current time, in seconds.

        .. versionadded:: 26.5.0
        """
        fractions = self._fallback_fractions
        if not fractions:
            # Starts with the last plan, the only information about the overload.
            previous_plan = (
                self._plan_history[-1].plan if self._plan_history else UNLIMITED
            )
            fractions = {
                key: previous_plan.admitted_fraction(key)
                for key in {*demand, *previous_plan.parts}
            }
            self._last_step_s = now_s
            self._was_overloaded = previous_plan.level is not None
        is_late = (
            in_target_part is not None and in_target_part < _MIN_IN_TARGET_FRACTION
        )
        self._was_overloaded = self._was_overloaded or is_late
        if not self._was_overloaded:
            return self._record_plan(UNLIMITED._replace(is_fallback=True), now_s=now_s)
        priorities = sorted({*fractions, *demand})
        limited_fractions = {
            key: min(_MAX_FRACTION, max(_MIN_FRACTION, fractions.get(key, 1.0)))
            for key in priorities[1:]
        }
        if (
            in_target_part is not None
            and now_s - self._last_step_s >= _MIN_STEP_INTERVAL_S
        ):
            self._last_step_s = now_s
            _step_fraction(limited_fractions, is_decrease=is_late)
        self._fallback_fractions = (
            dict.fromkeys(priorities[:1], 1.0) | limited_fractions
        )
        reduced = (
            key for key, part in limited_fractions.items() if part < _MAX_FRACTION
        )
        level = next(reduced, max(limited_fractions, default=None))
        admitted_per_s = sum(
            rate * self._fallback_fractions[priority]
            for priority, rate in demand.items()
        )
        level = self._limit_level_changes(level, now_s=now_s)
        result = Plan(limited_fractions, level, None, admitted_per_s, is_fallback=True)
        return self._record_plan(result, now_s=now_s)

    def _record_plan(self, result: Plan, *, now_s: float) -> Plan:
        """Add a plan to the history and return it."""
        while (
            len(self._plan_history) > 1
            and self._plan_history[1].since_s < now_s - MAX_SUM_AGE_S
        ):
            self._plan_history.popleft()
        self._plan_history.append(_PlanRecord(now_s, result))
        return result

    def _limit_level_changes(self, level: int | None, *, now_s: float) -> int | None:
        """Return the new level, or the previous level if it changed too recently."""
        if (
            level != self._level
            and now_s - self._level_changed_s >= MIN_LEVEL_DURATION_S
        ):
            self._level = level
            self._level_changed_s = now_s
        return self._level

    def _project_demand(
        self, demand: Mapping[int, float], *, at_s: float
    ) -> Mapping[int, float]:
        """Return the demand, with the projected rates of surges."""
        samples = self._demand_samples
        while (
            samples
            and not at_s - _COUNT_WINDOW_S - _MIN_SLOPE_SPAN_S < samples[0][0] <= at_s
        ):
            samples.popleft()
        earlier = next(
            (pair for pair in reversed(samples) if at_s - pair[0] >= _MIN_SLOPE_SPAN_S),
            None,
        )
        samples.append((at_s, demand))
        if earlier is None:
            return demand
        span_s = at_s - earlier[0]
        current = dict(demand)
        max_noise = 2.0 * _SURGE_DEVIATIONS * _SURGE_DEVIATIONS
        for priority, rate in demand.items():
            increase = rate - earlier[1].get(priority, 0.0)
            if increase > 0.0 and increase * increase > max_noise * rate * span_s:
                # A step in the rate increases a count over one second by the step
                # times the fraction of the second that has passed.
                base = min(rates.get(priority, 0.0) for _, rates in samples)
                current[priority] = max(
                    rate, base + increase * _COUNT_WINDOW_S / span_s
                )
        return current

    def _admissible_per_s(
        self,
        offers: Mapping[int, float],
        room: Room,
        running: float,
        *,
        age_s: float,
        now_s: float,
    ) -> float:
        """Return the starts per second that fill the room within the horizon."""
        completions_per_stream = 1.0 / room.stream_s if room.stream_s > 0.0 else 0.0
        offered_per_s = sum(offers.values())
        start_s = now_s - min(age_s, MAX_SUM_AGE_S)
        end_s = now_s
        admitted = recorded_s = 0.0
        for record in reversed(self._plan_history):
            since_s = max(record.since_s, start_s)
            # After a pause, the last plan may differ from those of other instances.
            if end_s <= start_s or end_s - record.since_s > MAX_SUM_AGE_S:
                break
            refused = [
                offers.get(key, 0.0) * (1.0 - part)
                for key, part in record.plan.parts.items()
            ]
            rate = offered_per_s - sum(refused)
            admitted += rate * (end_s - since_s)
            recorded_s += end_s - since_s
            end_s = since_s
        # Where no plan is recorded, streams are assumed to end at the rate at which
        # they start.
        now_running = running + admitted - running * completions_per_stream * recorded_s
        free_streams = TARGET_UTILIZATION * room.streams - now_running
        return max(0.0, free_streams / HORIZON_S + now_running * completions_per_stream)

    def _with_workspace_limits(
        self,
        result: Plan,
        heaviest_rates: Mapping[int, float],
        offered_per_s: float,
        remaining_per_s: float,
    ) -> Plan:
        """Return the plan with workspace limits according to max-min fairness."""
        if not heaviest_rates:
            return result
        weights = self._policy.weights
        light_total_per_s = offered_per_s - sum(heaviest_rates.values())
        light_rate_per_s = 0.0
        if light_total_per_s > 0.0:
            # The offers of each are at most those of the lightest heavy workspace.
            count = math.ceil(light_total_per_s / min(heaviest_rates.values()))
            light_rate_per_s = light_total_per_s / count
        level_per_s = _max_min_rate(
            heaviest_rates.values(),
            light_rate_per_s,
            light_total_per_s,
            remaining_per_s,
        )
        floor_per_s = self._policy.floor_part * level_per_s
        if weights:
            shares = [
                (rate, weights.get(key, 1.0), 1.0)
                for key, rate in heaviest_rates.items()
            ]
            if light_rate_per_s:
                shares.append(
                    (light_rate_per_s, 1.0, light_total_per_s / light_rate_per_s)
                )
            level_per_s = _weighted_max_min_rate(shares, remaining_per_s, floor_per_s)
        limit_per_s = max(floor_per_s, level_per_s)
        return result._replace(
            workspace_starts_per_s=level_per_s,
            workspace_floor_per_s=floor_per_s,
            rest_part=min(1.0, limit_per_s / light_rate_per_s)
            if light_rate_per_s
            else 1.0,
        )


class Admitter:
    """Admits requests in the fractions of a plan, distributed evenly over time.

    Args:
        policy: The weights of workspaces.
        phase: The initial value of remainders, 0 to 1.  It differs between instances,
            as hundreds of instances with few requests each would otherwise admit or
            reject simultaneously.

    .. versionadded:: 26.5.0
    """

    def __init__(
        self, *, policy: WorkspacePolicy = EQUAL_WEIGHTS, phase: float = 0.5
    ) -> None:
        self._policy = policy
        self._phase = phase
        self._remainders: dict[tuple[int, int], float] = {}

    def set_policy(self, policy: WorkspacePolicy) -> None:
        """Replace the weights, starting with the next request.

        Args:
            policy: The weights of workspaces.

        .. versionadded:: 26.5.0
        """
        self._policy = policy

    def admits(
        self,
        plan: Plan,
        priority: int,
        workspace: int,
        *,
        workspace_offers_per_s: float | None,
    ) -> bool:
        """Return whether a request is admitted.

        Args:
            plan: The current plan.
            priority: The priority of the request.
            workspace: `server_number` of its workspace.
            workspace_offers_per_s: The workspace's offers per second at this priority,
                summed over instances; None if it is not among the heaviest.

        .. versionadded:: 26.5.0
        """
        part = self.fraction(
            plan, priority, workspace, workspace_offers_per_s=workspace_offers_per_s
        )
        if part >= 1.0:
            return True
        if part <= 0.0:
            return False
        key = (priority, workspace)
        remainder = self._remainders.pop(key, None)
        if remainder is None:
            offset = _GOLDEN_RATIO * (workspace % 4096 + 7 * priority)
            remainder = (self._phase + offset) % 1.0
            if len(self._remainders) >= _MAX_REMAINDERS:
                del self._remainders[next(iter(self._remainders))]
        remainder += part
        is_admitted = remainder >= 1.0
        self._remainders[key] = remainder - is_admitted
        return is_admitted

    def fraction(
        self,
        plan: Plan,
        priority: int,
        workspace: int,
        *,
        workspace_offers_per_s: float | None,
    ) -> float:
        """Return the admitted fraction of a workspace's requests.

        The fraction exceeds 1 if the limit of the workspace exceeds its demand.  The
        arguments are those of `admits`.

        .. versionadded:: 26.5.0
        """
        level_per_s = plan.workspace_starts_per_s
        if priority != plan.level or level_per_s is None:
            return plan.admitted_fraction(priority)
        if not workspace_offers_per_s:
            return plan.rest_part
        weight = self._policy.weights.get(workspace, 1.0)
        allowed_per_s = max(plan.workspace_floor_per_s, weight * level_per_s)
        return allowed_per_s / workspace_offers_per_s


def _first_excess_priority(
    offers: Mapping[int, float], admissible_per_s: float
) -> int | None:
    """Return the first priority that exceeds the capacity, or None."""
    remaining_per_s = admissible_per_s
    for priority in sorted(offers):
        remaining_per_s -= offers[priority]
        if remaining_per_s < 0.0:
            return priority
    return None


def _step_fraction(parts: dict[int, float], *, is_decrease: bool) -> None:
    """Lower the least urgent fraction, or raise the most urgent, within the bounds."""
    for priority in sorted(parts, reverse=is_decrease):
        if is_decrease and parts[priority] > _MIN_FRACTION:
            parts[priority] = max(_MIN_FRACTION, parts[priority] - _FRACTION_STEP)
            return
        if not is_decrease and parts[priority] < _MAX_FRACTION:
            parts[priority] = min(_MAX_FRACTION, parts[priority] + _FRACTION_STEP)
            return


def _max_min_rate(
    rates: Iterable[float],
    light_rate_per_s: float,
    light_total_per_s: float,
    remaining_per_s: float,
) -> float:
    """Return the limit per workspace at which the total equals the capacity.

    The light workspaces are assumed to have equal offers.

    Args:
        rates: Offers per second of the heaviest workspaces.
        light_rate_per_s: Offers per second of each light workspace.
        light_total_per_s: Offers per second of the light workspaces together.
        remaining_per_s: The capacity to be shared.
    """
    ordered = sorted(rates)
    number = len(ordered)
    # Light workspaces come first: their offers are at most those of the others.
    if light_rate_per_s:
        light_count = light_total_per_s / light_rate_per_s
        if light_rate_per_s * (number + light_count) >= remaining_per_s:
            return remaining_per_s / (number + light_count)
        remaining_per_s -= light_total_per_s
    for rate in ordered:
        if rate * number >= remaining_per_s:
            return remaining_per_s / number
        remaining_per_s -= rate
        number -= 1
    return ordered[-1]


def _weighted_max_min_rate(
    shares: Iterable[tuple[float, float, float]],
    remaining_per_s: float,
    floor_per_s: float,
) -> float:
    """Return the rate per unit of weight at which the total equals the capacity.

    A share consists of offers per second, a weight and a number of equal workspaces.
    Each is granted its offers, limited to the rate times its weight or the floor,
    whichever is larger.
    """
    # A share increases with the rate from `floor / weight` to `offers / weight`.
    breakpoints: list[tuple[float, float]] = []
    used_per_s = slope = 0.0
    for offers_per_s, weight, count in shares:
        if weight < _MIN_WEIGHT or offers_per_s <= floor_per_s:
            used_per_s += count * min(floor_per_s, offers_per_s)
            continue
        used_per_s += count * floor_per_s
        if floor_per_s > 0.0:
            breakpoints.append((floor_per_s / weight, count * weight))
        else:
            slope += count * weight
        breakpoints.append((offers_per_s / weight, -count * weight))
    breakpoints.sort()
    level_per_s = 0.0
    for breakpoint_per_s, change in breakpoints:
        added_per_s = slope * (breakpoint_per_s - level_per_s)
        if slope > 0.0 and used_per_s + added_per_s >= remaining_per_s:
            return level_per_s + (remaining_per_s - used_per_s) / slope
        used_per_s += added_per_s
        level_per_s = breakpoint_per_s
        slope += change
    return level_per_s
