# SPDX-License-Identifier: MIT
"""Which fraction of new streams is admitted, by priority and workspace.

Load pattern: many runners are lost while a route or a workspace sends several times
its usual rate, and hundreds of instances have to refuse the excess alike, from sums
that are up to a second old.

Every instance computes the plan from the same sums.  Priorities are admitted in order;
the one that does not fit whole is shared among workspaces by max-min fairness.  Demand
is counted over one second, so a surge shows as a ramp; its slope gives the new rate
before the second is over.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import collections
import math

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .capacity import Room
from .load_sums import server_number


#: The fraction of the room that is filled: the rest absorbs what sums don't show yet.
FILL = 0.9
#: Time within which the running streams are brought to that, in seconds: about twice
#: the age of sums, as a shorter one overshoots.
HORIZON_S = 1.0
#: The shortest time between two changes of the level, in seconds.
LEVEL_HOLD_S = 1.0
#: The age from which sums and plans say nothing about now, in seconds.
STALE_S = 2.0
#: The span over which offers are counted, in seconds.
_COUNTED_S = 1.0
#: The shortest span whose slope is used, in seconds: sums come every 0.25 s.
_SLOPE_S = 0.2
#: A rise counts as a surge above so many standard deviations of a Poisson count: 4
#: finds a step to 2.4 times of 58/s a plan later than 2.
_SURGE_DEVIATIONS = 2.0
#: Fallback: steps of the fraction, their shortest distance in seconds, the bounds of
#: the fraction, and the part within target below which it falls.
_STEP = 0.1
_STEP_S = 1.0
_LEAST_PART = 0.2
_MOST_PART = 0.95
_TARGET_PART = 0.9
#: The most workspaces for which an admitter keeps a remainder, some 0.5 MB.
_MOST_REMAINDERS = 4096
#: Below this a weight counts as 0: next to usual ones it is lost in rounding, and the
#: level at which it would have its share gave more to all than there is.
_LEAST_WEIGHT = 1e-6
#: Spreads the first remainders of keys evenly over 0 to 1 (golden ratio).
_GOLDEN = 0.6180339887498949


class Plan(NamedTuple):
    """What is admitted until the next plan.

    Attributes:
        parts: By priority, the fraction that is admitted, 0 to 1; absent means all,
            or none if it is less urgent than the level of a plan from sums.
        level: The priority that is partly admitted; None if everything is admitted.
        workspace_starts_per_s: Starts per second allowed to a workspace of weight 1
            at that priority; None: no limit.
        admitted_per_s: Starts per second that are admitted in all.
        is_fallback: Whether it rests on the instance's own observations.
        workspace_floor_per_s: Starts per second allowed to a workspace of any weight.
        rest_part: The fraction admitted of workspaces that are not among the heaviest.

    .. versionadded:: 26.5.0
    """

    parts: Mapping[int, float]
    level: int | None
    workspace_starts_per_s: float | None
    admitted_per_s: float
    is_fallback: bool
    workspace_floor_per_s: float = 0.0
    rest_part: float = 1.0

    def part_of(self, priority: int) -> float:
        """Return the fraction that is admitted of a priority, over all workspaces.

        Args:
            priority: 0 to 99; 0 is the most urgent.
        """
        is_less_urgent = (
            not self.is_fallback and self.level is not None and priority > self.level
        )
        return self.parts.get(priority, 0.0 if is_less_urgent else 1.0)


#: Everything is admitted.
OPEN = Plan({}, None, None, math.inf, is_fallback=False)


class WorkspacePolicy(NamedTuple):
    """How a priority that does not fit is shared among workspaces.

    Attributes:
        weights: By `server_number` of the name; 1 if absent.
        floor_part: The fraction of its unweighted max-min share that each keeps,
            whatever the weights.

    .. versionadded:: 26.5.0
    """

    weights: Mapping[int, float]
    floor_part: float

    @classmethod
    def named(cls, weights: Mapping[str, float], floor_part: float) -> WorkspacePolicy:
        """Return the policy for weights by the workspaces' names."""
        return cls({server_number(one): w for one, w in weights.items()}, floor_part)


#: All workspaces alike.
EQUAL = WorkspacePolicy({}, 0.5)


class _Past(NamedTuple):
    """A plan and since when it is in effect."""

    since_s: float
    plan: Plan


class Planner:
    """Plans the admission to one service.

    Args:
        policy: How workspaces share the priority that does not fit.

    .. versionadded:: 26.5.0
    """

    def __init__(self, *, policy: WorkspacePolicy) -> None:
        self._policy = policy
        self._level: int | None = None
        self._level_s = -math.inf
        #: Since when all demand fits.
        self._fits_since_s = -math.inf
        #: Plans in effect within the age that sums may have, oldest first.
        self._past: collections.deque[_Past] = collections.deque()
        #: Known demand by the time to which it applies, oldest first.
        self._samples: collections.deque[tuple[float, Mapping[int, float]]] = (
            collections.deque()
        )
        #: Fractions of the fallback; empty while there are sums.
        self._alone: dict[int, float] = {}
        #: Whether the last plan from sums refused some, or own streams were late since.
        self._was_overloaded = False
        self._stepped_s = -math.inf

    def take_policy(self, policy: WorkspacePolicy) -> None:
        """Share by another policy from the next plan on.

        Args:
            policy: How workspaces share the priority that does not fit.

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
        """Return what is admitted, given the sums of all instances.

        Args:
            demand: Offers per second, by priority.
            heaviest: Those of the heaviest workspaces, by priority and workspace.
            room: What the usable runners can hold.
            running: Streams running over all instances, as far as heard.
            age_s: How old the sums are, in seconds; use `plan_from_local_load` above
                2 s.
            now_s: The current time, in seconds.

        .. versionadded:: 26.5.0
        """
        self._alone = {}
        offers = self._current(demand, at_s=now_s - age_s)
        admissible_per_s = self._admissible_per_s(
            offers, room, running, age_s=age_s, now_s=now_s
        )
        wanted = _level(offers, admissible_per_s)
        if wanted is not None:
            self._fits_since_s = now_s
        if self._level is not None and now_s - self._fits_since_s < LEVEL_HOLD_S:
            # Nothing is refused at the least urgent level while all fits; once open, a
            # surge could not be met for the time between two changes.
            wanted = max(offers, default=self._level) if wanted is None else wanted
        level = self._held(wanted, now_s=now_s)
        if level is None:
            return self._keep(OPEN, now_s=now_s)
        urgent_per_s = sum([rate for one, rate in offers.items() if one < level])
        offered_per_s = offers.get(level, 0.0)
        left_per_s = min(offered_per_s, max(0.0, admissible_per_s - urgent_per_s))
        parts = {one: 0.0 for one in offers if one > level}
        parts[level] = left_per_s / offered_per_s if offered_per_s else 1.0
        if admissible_per_s <= urgent_per_s:
            parts[level] = 0.0
        result = Plan(parts, level, None, urgent_per_s + left_per_s, is_fallback=False)
        if 0.0 < left_per_s < offered_per_s:
            heavy = {
                workspace: rate
                for (priority, workspace), rate in heaviest.items()
                if priority == level and rate > 0.0
            }
            result = self._shared(result, heavy, offered_per_s, left_per_s)
        return self._keep(result, now_s=now_s)

    def plan_from_local_load(
        self,
        demand: Mapping[int, float],
        *,
        in_target_part: float | None,
        now_s: float,
    ) -> Plan:
        """Return what is admitted while sums are missing or older than 2 s.

        Args:
            demand: The instance's own offers per second, by priority.
            in_target_part: The fraction of its own streams that were within target
                of late; None if there were none.
            now_s: The current time, in seconds.

        .. versionadded:: 26.5.0
        """
        alone = self._alone
        if not alone:
            # Goes on from the last plan: nothing else is known of the overload.
            last = self._past[-1].plan if self._past else OPEN
            alone = {one: last.part_of(one) for one in {*demand, *last.parts}}
            self._stepped_s = now_s
            self._was_overloaded = last.level is not None
        is_late = in_target_part is not None and in_target_part < _TARGET_PART
        self._was_overloaded = self._was_overloaded or is_late
        if not self._was_overloaded:
            return self._keep(OPEN._replace(is_fallback=True), now_s=now_s)
        priorities = sorted({*alone, *demand})
        limited = {
            one: min(_MOST_PART, max(_LEAST_PART, alone.get(one, 1.0)))
            for one in priorities[1:]
        }
        if in_target_part is not None and now_s - self._stepped_s >= _STEP_S:
            self._stepped_s = now_s
            _step(limited, is_fall=is_late)
        self._alone = dict.fromkeys(priorities[:1], 1.0) | limited
        reduced = (one for one, part in limited.items() if part < _MOST_PART)
        level = next(reduced, max(limited, default=None))
        admitted_per_s = sum(
            rate * self._alone[priority] for priority, rate in demand.items()
        )
        level = self._held(level, now_s=now_s)
        result = Plan(limited, level, None, admitted_per_s, is_fallback=True)
        return self._keep(result, now_s=now_s)

    def _keep(self, result: Plan, *, now_s: float) -> Plan:
        """Note a plan and return it."""
        while len(self._past) > 1 and self._past[1].since_s < now_s - STALE_S:
            self._past.popleft()
        self._past.append(_Past(now_s, result))
        return result

    def _held(self, level: int | None, *, now_s: float) -> int | None:
        """Return the wanted level, or the last one while that is too recent."""
        if level != self._level and now_s - self._level_s >= LEVEL_HOLD_S:
            self._level = level
            self._level_s = now_s
        return self._level

    def _current(
        self, demand: Mapping[int, float], *, at_s: float
    ) -> Mapping[int, float]:
        """Return the demand, with the rates to which surges are rising."""
        samples = self._samples
        while samples and not at_s - _COUNTED_S - _SLOPE_S < samples[0][0] <= at_s:
            samples.popleft()
        before = next(
            (one for one in reversed(samples) if at_s - one[0] >= _SLOPE_S), None
        )
        samples.append((at_s, demand))
        if before is None:
            return demand
        span_s = at_s - before[0]
        current = dict(demand)
        most_noise = 2.0 * _SURGE_DEVIATIONS * _SURGE_DEVIATIONS
        for priority, rate in demand.items():
            rise = rate - before[1].get(priority, 0.0)
            if rise > 0.0 and rise * rise > most_noise * rate * span_s:
                # A step of the rate raises a count over one second by that step
                # times the part of the second that has passed.
                base = min(one.get(priority, 0.0) for _, one in samples)
                current[priority] = max(rate, base + rise * _COUNTED_S / span_s)
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
        ends_per_part = 1.0 / room.stream_s if room.stream_s > 0.0 else 0.0
        offered_per_s = sum(offers.values())
        from_s = now_s - min(age_s, STALE_S)
        until_s = now_s
        admitted = known_s = 0.0
        for past in reversed(self._past):
            since_s = max(past.since_s, from_s)
            # The last plan before a pause is not what others followed meanwhile.
            if until_s <= from_s or until_s - past.since_s > STALE_S:
                break
            refused = [
                offers.get(one, 0.0) * (1.0 - part)
                for one, part in past.plan.parts.items()
            ]
            rate = offered_per_s - sum(refused)
            admitted += rate * (until_s - since_s)
            known_s += until_s - since_s
            until_s = since_s
        # Streams end as they start where nothing is known of what was admitted.
        now_running = running + admitted - running * ends_per_part * known_s
        left = FILL * room.streams - now_running
        return max(0.0, left / HORIZON_S + now_running * ends_per_part)

    def _shared(
        self,
        result: Plan,
        heavy: Mapping[int, float],
        offered_per_s: float,
        left_per_s: float,
    ) -> Plan:
        """Return a plan with the limits of workspaces, by max-min fairness."""
        if not heavy:
            return result
        weights = self._policy.weights
        rest_per_s = offered_per_s - sum(heavy.values())
        each_per_s = 0.0
        if rest_per_s > 0.0:
            # None of them offers more than the least of the heaviest.
            count = math.ceil(rest_per_s / min(heavy.values()))
            each_per_s = rest_per_s / count
        level_per_s = _equal_level(heavy.values(), each_per_s, rest_per_s, left_per_s)
        floor_per_s = self._policy.floor_part * level_per_s
        if weights:
            shares = [(rate, weights.get(one, 1.0), 1.0) for one, rate in heavy.items()]
            if each_per_s:
                shares.append((each_per_s, 1.0, rest_per_s / each_per_s))
            level_per_s = _water_level(shares, left_per_s, floor_per_s)
        limit_per_s = max(floor_per_s, level_per_s)
        return result._replace(
            workspace_starts_per_s=level_per_s,
            workspace_floor_per_s=floor_per_s,
            rest_part=min(1.0, limit_per_s / each_per_s) if each_per_s else 1.0,
        )


class Admitter:
    """Admits an instance's requests by the fractions of a plan, spread evenly.

    Args:
        policy: The weights of workspaces.
        phase: Where the first remainders begin, 0 to 1: differs between instances, as
            hundreds that each see few requests would otherwise decide alike.

    .. versionadded:: 26.5.0
    """

    def __init__(self, *, policy: WorkspacePolicy = EQUAL, phase: float = 0.5) -> None:
        self._policy = policy
        self._phase = phase
        self._remainders: dict[tuple[int, int], float] = {}

    def take_policy(self, policy: WorkspacePolicy) -> None:
        """Use other weights from the next request on.

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
        """Tell whether a request is admitted.

        Args:
            plan: The current plan.
            priority: Of the request.
            workspace: `server_number` of its workspace.
            workspace_offers_per_s: What the workspace offers at this priority over all
                instances; None if it is not among the heaviest.

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
            offset = _GOLDEN * (workspace % 4096 + 7 * priority)
            remainder = (self._phase + offset) % 1.0
            if len(self._remainders) >= _MOST_REMAINDERS:
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
        """Return the fraction that is admitted of a workspace's requests.

        It may be above 1, where a workspace could have more than it asks for.  The
        arguments are those of `admits`.

        .. versionadded:: 26.5.0
        """
        level_per_s = plan.workspace_starts_per_s
        if priority != plan.level or level_per_s is None:
            return plan.part_of(priority)
        if not workspace_offers_per_s:
            return plan.rest_part
        weight = self._policy.weights.get(workspace, 1.0)
        allowed_per_s = max(plan.workspace_floor_per_s, weight * level_per_s)
        return allowed_per_s / workspace_offers_per_s


def _level(offers: Mapping[int, float], admissible_per_s: float) -> int | None:
    """Return the first priority that does not fit, or None if all do."""
    left_per_s = admissible_per_s
    for priority in sorted(offers):
        left_per_s -= offers[priority]
        if left_per_s < 0.0:
            return priority
    return None


def _step(parts: dict[int, float], *, is_fall: bool) -> None:
    """Lower the least urgent fraction that can fall, or undo the last such step."""
    for priority in sorted(parts, reverse=is_fall):
        if is_fall and parts[priority] > _LEAST_PART:
            parts[priority] = max(_LEAST_PART, parts[priority] - _STEP)
            return
        if not is_fall and parts[priority] < _MOST_PART:
            parts[priority] = min(_MOST_PART, parts[priority] + _STEP)
            return


def _equal_level(
    rates: Iterable[float], each_per_s: float, rest_per_s: float, left_per_s: float
) -> float:
    """Return the most that each may get so that all sum up to what is left.

    The small workspaces together offer the rest, each as much as the others of them.
    """
    ordered = sorted(rates)
    number = len(ordered)
    # None of the small ones offers more than the least of the others.
    if each_per_s:
        small = rest_per_s / each_per_s
        if each_per_s * (number + small) >= left_per_s:
            return left_per_s / (number + small)
        left_per_s -= rest_per_s
    for rate in ordered:
        if rate * number >= left_per_s:
            return left_per_s / number
        left_per_s -= rate
        number -= 1
    return ordered[-1]


def _water_level(
    shares: Iterable[tuple[float, float, float]], left_per_s: float, floor_per_s: float
) -> float:
    """Return the rate per unit of weight at which all shares sum up to what is left.

    A share, of offers per second, a weight and a number of workspaces that are alike,
    gets its offers, at most the level times its weight, but at least the floor.
    """
    # A share grows with the level from `floor / weight` to `offers / weight`.
    edges: list[tuple[float, float]] = []
    used_per_s = slope = 0.0
    for offers_per_s, weight, count in shares:
        if weight < _LEAST_WEIGHT or offers_per_s <= floor_per_s:
            used_per_s += count * min(floor_per_s, offers_per_s)
            continue
        used_per_s += count * floor_per_s
        if floor_per_s > 0.0:
            edges.append((floor_per_s / weight, count * weight))
        else:
            slope += count * weight
        edges.append((offers_per_s / weight, -count * weight))
    edges.sort()
    level_per_s = 0.0
    for edge_per_s, change in edges:
        added_per_s = slope * (edge_per_s - level_per_s)
        if slope > 0.0 and used_per_s + added_per_s >= left_per_s:
            return level_per_s + (left_per_s - used_per_s) / slope
        used_per_s += added_per_s
        level_per_s = edge_per_s
        slope += change
    return level_per_s
