# SPDX-License-Identifier: MIT
"""The figures of a deployment that a play of its return needs, from its site file."""

from __future__ import annotations

import tomllib

from typing import NamedTuple


class InstanceSize(NamedTuple):
    """An instance's zone and limits."""

    zone: str
    processor_share: float
    memory_mb: float
    link_mbps: float


class ZoneTraffic(NamedTuple):
    """The callers of a zone; their rate follows a wave."""

    zone: str
    requests_per_s: float
    clients: int
    wave_fraction: float
    wave_period_s: float
    stream_fraction: float


class SiteFigures(NamedTuple):
    """A deployment at the size of one of its days."""

    instances: tuple[InstanceSize, ...]
    #: Kind and zone of each runner.
    runners: tuple[tuple[str, str], ...]
    #: The zone of each plain server.
    plain_servers: tuple[str, ...]
    traffic: tuple[ZoneTraffic, ...]
    kinds: tuple[dict, ...]
    layer_count: int
    load_s: float
    max_concurrent_loads: int
    mean_events: float
    max_events: float
    idle_routes: int
    workspaces: int
    #: The kind of the final fault, and how long the machines are without power.
    closing: str
    off_s: float
    recovery_s: float


def load_figures(path, *, day, is_small=False):
    """Return the figures of a day.

    Args:
        path: The site file.
        day: The day's name.
        is_small: Whether to use its smaller twin, which shrinks rates and counts of
            servers, and limits of machines.
    """
    with open(path, "rb") as file:
        site = tomllib.load(file)
    chosen = next(one for one in site["day"] if one["name"] == day)
    small = chosen["small"] if is_small else {}
    shrink = small.get("shrink", 1.0)
    model, plain = site["services"]
    llm = model["llm"]
    streams = [one for one in site["classes"] if one["kind"] == "stream"]
    closing = chosen.get("closing", {"kind": "power_off_all", "down_s": 1.0})
    return SiteFigures(
        instances=_instances(small.get("machines", site["machines"])),
        runners=_servers(model["servers"], shrink),
        plain_servers=tuple(zone for _, zone in _servers(plain["servers"], shrink)),
        traffic=tuple(
            _traffic(one, shrink, {stream["name"] for stream in streams})
            for one in chosen["traffic"]
        ),
        kinds=tuple(
            {
                "Name": kind["name"],
                "mb": kind["mb"],
                "pace": kind["pace"],
                "read_x": kind["read_x"],
            }
            for kind in llm["joint"]["kinds"]
        ),
        layer_count=llm["joint"]["layers"],
        load_s=site["models"][0]["load_s"],
        max_concurrent_loads=small.get("weights", site["weights"])["at_once"],
        mean_events=streams[0]["stream"]["pieces"]["mean"],
        max_events=streams[0]["stream"]["pieces"]["max"],
        idle_routes=site["config"]["idle_routes"],
        workspaces=site["tenants"]["count"],
        closing=closing["kind"],
        off_s=closing["down_s"],
        recovery_s=site["bounds"]["recover_s"],
    )


def _instances(machines):
    """Return the size of each instance, zones in turn."""
    return tuple(
        InstanceSize(one["zone"], one["cpu_share"], one["memory_mb"], one["link_mbps"])
        for one in machines
        for _ in range(one["count"])
    )


def _servers(groups, shrink):
    """Return the kind and zone of each server."""
    return tuple(
        (group.get("kind", ""), group["zone"])
        for group in groups
        for _ in range(max(1, round(group["count"] / shrink)))
    )


def _traffic(zone, shrink, streams):
    """Return the callers of a zone."""
    mix = zone["mix"]
    in_streams = sum(weight for name, weight in mix.items() if name in streams)
    return ZoneTraffic(
        zone["zone"],
        zone["per_s"] / shrink,
        zone["clients"],
        zone["shape"]["swing"],
        zone["shape"]["period_s"],
        in_streams / sum(mix.values()),
    )
