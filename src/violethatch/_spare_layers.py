# SPDX-License-Identifier: MIT
"""Second holders of layers within a zone, from memory that chains leave over.

Where a runner's layers have another holder in its zone, its loss moves requests
within the zone: nothing has to pass the pipe between zones, which one chain's
requests at once fill for seconds.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ._hosts import Host, apply_orders, kv_capacity_tokens
from .engine_model import EngineSpec
from .layers import LayerRange


def widened(
    hosts: Sequence[Host], orders: Mapping[str, LayerRange], engine: EngineSpec
) -> dict[str, LayerRange]:
    """Return orders whose ranges are widened over layers with one holder in the zone.

    A runner keeps as much room for KV cache as the fullest of its zone has.
    """
    made = dict(orders)
    for zone in sorted({host.availability_zone for host in hosts}):
        inside = [host for host in hosts if host.availability_zone == zone]
        held = [host for host in apply_orders(inside, orders) if host.held]
        if not held:
            continue
        rooms = {
            host.id: kv_capacity_tokens(host, host.held, engine)
            for host in held
            if host.held
        }
        least = min(rooms.values())
        for host in sorted(held, key=lambda one: (-rooms[one.id], one.id)):
            others = [one for one in apply_orders(held, made) if one.id != host.id]
            made[host.id] = _widened(host, others, engine, kv_tokens=least)
    return made


def sole_layers(host: Host, held: Sequence[Host], engine: EngineSpec) -> list[float]:
    """Return what a copy of each layer is worth to a host's zone.

    A layer with one holder in the zone counts by that runner's range: to stand in
    for a runner all of its layers are needed, and few are copied sooner.
    """
    holders: list[list[Host]] = [[] for _ in range(engine.layer_count)]
    for other in held:
        if other.held is None or other.availability_zone != host.availability_zone:
            continue
        for layer in range(other.held.first, min(other.held.end, engine.layer_count)):
            holders[layer].append(other)
    return [_sole_worth(one) for one in holders]


def _sole_worth(holders: Sequence[Host]) -> float:
    """Return what a copy of a layer with these holders is worth."""
    if len(holders) != 1 or holders[0].held is None:
        return 0.0
    return 1.0 / holders[0].held.size


def _widened(
    host: Host, others: Sequence[Host], engine: EngineSpec, *, kv_tokens: float
) -> LayerRange:
    """Return a host's range, widened to the side where it covers more."""
    assert host.held is not None
    most = engine.max_layers(engine.kinds[host.kind], kv_tokens=kv_tokens)
    spare = most - host.held.size
    if spare <= 0:
        return host.held
    worth = sole_layers(host, others, engine)
    first, end = host.held
    below = _run(worth[:first][::-1], spare)
    above = _run(worth[end:], spare)
    if sum(worth[first - below : first]) > sum(worth[end : end + above]):
        return LayerRange(first - below, end)
    return LayerRange(first, end + above)


def _run(worth: Sequence[float], most: int) -> int:
    """Return how many layers from the first on are worth a copy, up to *most*."""
    count = 0
    while count < min(most, len(worth)) and worth[count]:
        count += 1
    return count
