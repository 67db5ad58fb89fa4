# SPDX-License-Identifier: MIT
"""Tells what admission would refuse under other settings, from a state dump.

Load pattern: while runners can't take all that is asked for, an operator changes
weights or floors of workspaces, and a wrong value refuses paying callers at once.

The plan is made anew from the sums of the dump, the same way for both settings, so
that they differ by the settings alone.  It leaves out what an instance adds to these
sums: what was admitted since they were made, and rates that are still rising.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import math

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from .admission_plan import STALE_S, Admitter, Plan, Planner, WorkspacePolicy
from .capacity import Room
from .router_settings import AdmissionSection


class RoomDump(TypedDict):
    """A service's room, as dumped."""

    streams: float
    starts_per_s: float
    tokens_per_s: float
    stream_s: float


class HeavyDump(TypedDict):
    """A workspace's demand, as dumped."""

    priority: int
    workspace: str
    number: int
    offers_per_s: float


class PlanDump(TypedDict):
    """A plan, as dumped; what is infinite is None."""

    parts: dict[str, float]
    level: int | None
    workspace_starts_per_s: float | None
    admitted_per_s: float | None
    is_fallback: bool


class ServiceDump(TypedDict):
    """A service's admission, as dumped.

    .. versionadded:: 26.5.0
    """

    route_priorities: list[int]
    room: RoomDump | None
    running: float
    demand_per_s: dict[str, float]
    heaviest_per_s: list[HeavyDump]
    age_s: float | None
    plan: PlanDump


class SettingsDump(TypedDict):
    """The active ``[admission]`` settings, as dumped."""

    mode: str
    queue_requests: int
    queue_kb: int
    workspace_weights: str
    workspace_floor_part: float


class StateDump(TypedDict):
    """What is used of an instance's state dump.

    .. versionadded:: 26.5.0
    """

    admission: dict[str, ServiceDump]
    admission_settings: SettingsDump
    state_version: NotRequired[int | None]


class WorkspacePreview(NamedTuple):
    """What would be refused of a workspace's streams of one priority.

    Attributes:
        workspace: Its name, or its number where no workspace of the desired state has
            it; None stands for all that are not among the heaviest.

    .. versionadded:: 26.5.0
    """

    workspace: str | None
    offers_per_s: float
    refused_per_s: float


class PriorityPreview(NamedTuple):
    """What would be refused of a priority's streams.

    .. versionadded:: 26.5.0
    """

    priority: int
    offers_per_s: float
    refused_per_s: float
    workspaces: Sequence[WorkspacePreview]


class ServicePreview(NamedTuple):
    """What would be refused of a service's streams.

    Attributes:
        is_governed: Whether streams are admitted by priority at all.
        is_fallback: Whether the instance has no sums that are recent enough: the parts
            are then those of the dump, on which weights and floors have no effect.

    .. versionadded:: 26.5.0
    """

    service: str
    is_governed: bool
    is_fallback: bool
    level: int | None
    priorities: Sequence[PriorityPreview]


def parse_state(data: bytes | str) -> StateDump:
    """Read a state dump.

    Raises:
        ValueError: It is no dump of a router's state.

    .. versionadded:: 26.5.0
    """
    try:
        return msgspec.json.decode(data, type=StateDump)
    except msgspec.MsgspecError as error:
        msg = f"no state dump of a router: {error}"
        raise ValueError(msg) from error


def active_section(state: StateDump) -> AdmissionSection:
    """Return the ``[admission]`` settings that were active at the time of a dump.

    Raises:
        ValueError: They are no valid settings.

    .. versionadded:: 26.5.0
    """
    given: Mapping[str, Any] = state["admission_settings"]
    values = [given[name] for name in AdmissionSection._fields]
    try:
        section = msgspec.convert(values, AdmissionSection)
        _ = section.weights
    except (msgspec.ValidationError, ValueError) as error:
        msg = f"admission_settings: {error}"
        raise ValueError(msg) from error
    return section


def preview(state: StateDump, section: AdmissionSection) -> list[ServicePreview]:
    """Return what would be refused at a dump's demand under some settings.

    Services that were not governed at the time of the dump are not among them, as
    their demand was not counted.

    Args:
        state: The dump.
        section: The settings.

    .. versionadded:: 26.5.0
    """
    return [
        _service_preview(name, dump, section)
        for name, dump in sorted(state["admission"].items())
    ]


def preview_lines(
    state: StateDump, *, active: AdmissionSection, proposed: AdmissionSection
) -> list[str]:
    """Return a dump's refusals under two settings, as a person reads them.

    Args:
        state: The dump.
        active: The settings that are in force.
        proposed: Those that are to be compared with them.

    .. versionadded:: 26.5.0
    """
    lines: list[str] = []
    after = preview(state, proposed)
    for one, other in zip(preview(state, active), after, strict=True):
        lines += _service_lines(state["admission"][one.service], one, other)
    if not lines:
        lines.append("no service is governed in this state")
    if proposed.mode is not active.mode:
        lines.append(
            f"mode {active.mode} -> {proposed.mode}: services that are not governed "
            "now have no counted demand and are not shown"
        )
    return lines


def _service_preview(
    name: str, dump: ServiceDump, section: AdmissionSection
) -> ServicePreview:
    """Return what would be refused of a service's streams."""
    demand = {int(one): rate for one, rate in dump["demand_per_s"].items()}
    if not section.governs(dump["route_priorities"]):
        priorities = [
            PriorityPreview(one, rate, 0.0, ()) for one, rate in sorted(demand.items())
        ]
        return ServicePreview(name, False, False, None, priorities)
    policy = WorkspacePolicy.named(section.weights, section.workspace_floor_part)
    plan = _plan(dump, demand, policy)
    admitter = Admitter(policy=policy)
    priorities = [
        _priority_preview(one, rate, dump["heaviest_per_s"], plan, admitter)
        for one, rate in sorted(demand.items())
    ]
    return ServicePreview(name, True, plan.is_fallback, plan.level, priorities)


def _plan(
    dump: ServiceDump, demand: Mapping[int, float], policy: WorkspacePolicy
) -> Plan:
    """Return the plan of a dump's sums, or the dump's own one without usable sums."""
    age_s, room = dump["age_s"], dump["room"]
    known = dump["plan"]
    if known["is_fallback"] or room is None or age_s is None or age_s > STALE_S:
        parts = {int(one): part for one, part in known["parts"].items()}
        return Plan(parts, known["level"], None, math.inf, is_fallback=True)
    heaviest = {
        (one["priority"], one["number"]): one["offers_per_s"]
        for one in dump["heaviest_per_s"]
    }
    return Planner(policy=policy).plan(
        demand, heaviest, Room(**room), dump["running"], age_s=age_s, now_s=0.0
    )


def _priority_preview(
    priority: int,
    offers_per_s: float,
    heaviest: Sequence[HeavyDump],
    plan: Plan,
    admitter: Admitter,
) -> PriorityPreview:
    """Return what would be refused of a priority's streams."""
    heavy = [one for one in heaviest if one["priority"] == priority]
    heavy.sort(key=lambda one: -one["offers_per_s"])
    workspaces = []
    for one in heavy:
        rate = one["offers_per_s"]
        part = admitter.fraction(
            plan, priority, one["number"], workspace_offers_per_s=rate
        )
        workspaces.append(
            WorkspacePreview(one["workspace"], rate, rate * max(0.0, 1.0 - part))
        )
    rest_per_s = max(0.0, offers_per_s - sum(one["offers_per_s"] for one in heavy))
    part = admitter.fraction(plan, priority, 0, workspace_offers_per_s=None)
    rest = WorkspacePreview(None, rest_per_s, rest_per_s * max(0.0, 1.0 - part))
    if heavy and rest_per_s > 0.0:
        workspaces.append(rest)
    refused = [one.refused_per_s for one in workspaces or [rest]]
    return PriorityPreview(priority, offers_per_s, sum(refused), workspaces)


def _service_lines(
    dump: ServiceDump, active: ServicePreview, proposed: ServicePreview
) -> Iterator[str]:
    """Yield the lines of one service."""
    room, age_s = dump["room"], dump["age_s"]
    shown_room = "unknown" if room is None else f"{room['streams']:.1f} streams"
    shown_age = "unknown" if age_s is None else f"{age_s:.2f} s"
    yield (
        f"{active.service}: room {shown_room}, running {dump['running']:g}, "
        f"age of sums {shown_age}"
    )
    for title, one in (("active", active), ("proposed", proposed)):
        if not one.is_governed:
            yield f"  {title}: not governed, nothing is refused by priority"
        elif one.is_fallback:
            yield f"  {title}: fallback, weights and floors have no effect"
        else:
            level = "none" if one.level is None else one.level
            yield f"  {title}: level {level}"
    yield _row("priority", "workspace", "offers/s", "active", "proposed")
    for old, new in zip(active.priorities, proposed.priorities, strict=True):
        yield _figures(str(old.priority), "all", old, new)
        # A service that is not governed has no rows of workspaces.
        by_old = {one.workspace: one for one in old.workspaces}
        by_new = {one.workspace: one for one in new.workspaces}
        for name in by_old | by_new:
            first = by_old.get(name) or by_new[name]._replace(refused_per_s=0.0)
            second = by_new.get(name) or first._replace(refused_per_s=0.0)
            yield _figures("", name or "(all others)", first, second)


def _figures(
    priority: str,
    workspace: str,
    old: PriorityPreview | WorkspacePreview,
    new: PriorityPreview | WorkspacePreview,
) -> str:
    """Return a row with what is offered, and refused before and after."""
    return _row(
        priority,
        workspace,
        f"{old.offers_per_s:.1f}",
        f"{old.refused_per_s:.1f}",
        f"{new.refused_per_s:.1f}",
    )


def _row(priority: str, workspace: str, *figures: str) -> str:
    """Return a row of the table: refusals per second in its last two columns."""
    columns = "".join(f"{one:>10}" for one in figures)
    return f"  {priority:<9} {workspace:<20}{columns}"
