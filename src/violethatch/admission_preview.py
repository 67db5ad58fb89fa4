# SPDX-License-Identifier: MIT
"""Preview the rejections under changed admission settings, from a state dump.

Load pattern: while demand exceeds the capacity of the runners, an operator changes
weights or floors of workspaces, and a wrong value immediately rejects paying callers.

The plan is computed from the sums of the dump in the same way for both settings, so
that only the settings differ.  Corrections that an instance applies to the sums are
omitted: the streams admitted since the sums were computed, and the projected rates of
surges.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import math

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from .admission_plan import MAX_SUM_AGE_S, Admitter, Plan, Planner, WorkspacePolicy
from .capacity import Room
from .router_settings import AdmissionSection


class RoomDump(TypedDict):
    """The capacity of a service in the state dump."""

    streams: float
    starts_per_s: float
    tokens_per_s: float
    stream_s: float


class HeavyDump(TypedDict):
    """The demand of a workspace in the state dump."""

    priority: int
    workspace: str
    number: int
    offers_per_s: float


class PlanDump(TypedDict):
    """A plan in the state dump; infinite values are None."""

    parts: dict[str, float]
    level: int | None
    workspace_starts_per_s: float | None
    admitted_per_s: float | None
    is_fallback: bool


class ServiceDump(TypedDict):
    """The admission control of a service in the state dump.

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
    """The active ``[admission]`` settings in the state dump."""

    mode: str
    queue_requests: int
    queue_kb: int
    workspace_weights: str
    workspace_floor_part: float


class StateDump(TypedDict):
    """The part of an instance's state dump that the preview uses.

    .. versionadded:: 26.5.0
    """

    admission: dict[str, ServiceDump]
    admission_settings: SettingsDump
    state_version: NotRequired[int | None]


class WorkspacePreview(NamedTuple):
    """The previewed rejections of a workspace's streams of one priority.

    Attributes:
        workspace: The name, or the number if the desired state has no such workspace;
            None for the workspaces that are not among the heaviest.

    .. versionadded:: 26.5.0
    """

    workspace: str | None
    offers_per_s: float
    refused_per_s: float


class PriorityPreview(NamedTuple):
    """The previewed rejections of a priority's streams.

    .. versionadded:: 26.5.0
    """

    priority: int
    offers_per_s: float
    refused_per_s: float
    workspaces: Sequence[WorkspacePreview]


class ServicePreview(NamedTuple):
    """The previewed rejections of a service's streams.

    Attributes:
        is_governed: Whether admission control applies to the service.
        is_fallback: Whether the instance lacks recent sums.  The fractions are then
            copied from the dump, and weights and floors have no effect.

    .. versionadded:: 26.5.0
    """

    service: str
    is_governed: bool
    is_fallback: bool
    level: int | None
    priorities: Sequence[PriorityPreview]


def parse_state(data: bytes | str) -> StateDump:
    """Parse a state dump.

    Raises:
        ValueError: The data is not a state dump of a router.

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
        ValueError: The settings are invalid.

    .. versionadded:: 26.5.0
    """
    dumped: Mapping[str, Any] = state["admission_settings"]
    values = [dumped[name] for name in AdmissionSection._fields]
    try:
        section = msgspec.convert(values, AdmissionSection)
        _ = section.weights
    except (msgspec.ValidationError, ValueError) as error:
        msg = f"admission_settings: {error}"
        raise ValueError(msg) from error
    return section


def preview(state: StateDump, section: AdmissionSection) -> list[ServicePreview]:
    """Return the rejections at a dump's demand under the given settings.

    Services that were not governed at the time of the dump are omitted, as their
    demand was not counted.

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
    """Return a table that compares the rejections under two settings.

    Args:
        state: The dump.
        active: The active settings.
        proposed: The settings to compare with the active ones.

    .. versionadded:: 26.5.0
    """
    lines: list[str] = []
    proposed_previews = preview(state, proposed)
    for old, new in zip(preview(state, active), proposed_previews, strict=True):
        lines += _service_lines(state["admission"][old.service], old, new)
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
    """Return the rejections of a service's streams."""
    demand = {int(key): rate for key, rate in dump["demand_per_s"].items()}
    if not section.governs(dump["route_priorities"]):
        priorities = [
            PriorityPreview(key, rate, 0.0, ()) for key, rate in sorted(demand.items())
        ]
        return ServicePreview(name, False, False, None, priorities)
    policy = WorkspacePolicy.from_names(section.weights, section.workspace_floor_part)
    plan = _plan(dump, demand, policy)
    admitter = Admitter(policy=policy)
    priorities = [
        _priority_preview(key, rate, dump["heaviest_per_s"], plan, admitter)
        for key, rate in sorted(demand.items())
    ]
    return ServicePreview(name, True, plan.is_fallback, plan.level, priorities)


def _plan(
    dump: ServiceDump, demand: Mapping[int, float], policy: WorkspacePolicy
) -> Plan:
    """Return the plan for a dump's sums, or the dumped plan without usable sums."""
    age_s, room = dump["age_s"], dump["room"]
    dumped_plan = dump["plan"]
    if (
        dumped_plan["is_fallback"]
        or room is None
        or age_s is None
        or age_s > MAX_SUM_AGE_S
    ):
        parts = {int(key): fraction for key, fraction in dumped_plan["parts"].items()}
        return Plan(parts, dumped_plan["level"], None, math.inf, is_fallback=True)
    heaviest = {
        (entry["priority"], entry["number"]): entry["offers_per_s"]
        for entry in dump["heaviest_per_s"]
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
    """Return the rejections of a priority's streams."""
    heavy_entries = [entry for entry in heaviest if entry["priority"] == priority]
    heavy_entries.sort(key=lambda entry: -entry["offers_per_s"])
    workspaces = []
    for entry in heavy_entries:
        rate = entry["offers_per_s"]
        fraction = admitter.fraction(
            plan, priority, entry["number"], workspace_offers_per_s=rate
        )
        workspaces.append(
            WorkspacePreview(entry["workspace"], rate, rate * max(0.0, 1.0 - fraction))
        )
    light_total_per_s = max(
        0.0, offers_per_s - sum(entry["offers_per_s"] for entry in heavy_entries)
    )
    fraction = admitter.fraction(plan, priority, 0, workspace_offers_per_s=None)
    light_workspaces = WorkspacePreview(
        None, light_total_per_s, light_total_per_s * max(0.0, 1.0 - fraction)
    )
    if heavy_entries and light_total_per_s > 0.0:
        workspaces.append(light_workspaces)
    refused = [
        workspace.refused_per_s for workspace in workspaces or [light_workspaces]
    ]
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
    for title, service in (("active", active), ("proposed", proposed)):
        if not service.is_governed:
            yield f"  {title}: not governed, nothing is refused by priority"
        elif service.is_fallback:
            yield f"  {title}: fallback, weights and floors have no effect"
        else:
            level = "none" if service.level is None else service.level
            yield f"  {title}: level {level}"
    yield _row("priority", "workspace", "offers/s", "active", "proposed")
    for old, new in zip(active.priorities, proposed.priorities, strict=True):
        yield _rates_row(str(old.priority), "all", old, new)
        # A service that is not governed has no rows for workspaces.
        old_rows = {entry.workspace: entry for entry in old.workspaces}
        new_rows = {entry.workspace: entry for entry in new.workspaces}
        for name in old_rows | new_rows:
            old_row = old_rows.get(name) or new_rows[name]._replace(refused_per_s=0.0)
            new_row = new_rows.get(name) or old_row._replace(refused_per_s=0.0)
            yield _rates_row("", name or "(all others)", old_row, new_row)


def _rates_row(
    priority: str,
    workspace: str,
    old: PriorityPreview | WorkspacePreview,
    new: PriorityPreview | WorkspacePreview,
) -> str:
    """Return a row with the offers, and the rejections under both settings."""
    return _row(
        priority,
        workspace,
        f"{old.offers_per_s:.1f}",
        f"{old.refused_per_s:.1f}",
        f"{new.refused_per_s:.1f}",
    )


def _row(priority: str, workspace: str, *figures: str) -> str:
    """Return a row of the table, with rejections per second in the last two columns."""
    columns = "".join(f"{figure:>10}" for figure in figures)
    return f"  {priority:<9} {workspace:<20}{columns}"
