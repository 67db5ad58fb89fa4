# SPDX-License-Identifier: MIT
"""Redundant copies of layers within a zone, in memory not used by chains.

If the layers of a lost runner have another holder in its zone, requests fail over
within the zone.  The link between zones would be saturated for seconds by the
simultaneous requests of a single chain.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ._hosts import Host, apply_orders, kv_capacity_tokens
from .engine_model import EngineSpec
from .layers import LayerRange


def extend_ranges(
    hosts: Sequence[Host], orders: Mapping[str, LayerRange], engine: EngineSpec
) -> dict[str, LayerRange]:
    """Extend ordered ranges over layers with a single holder in the zone.

    Each runner keeps at least the min KV cache capacity of its zone.
    """
    extended = dict(orders)
    for zone in sorted({host.availability_zone for host in hosts}):
        in_zone = [host for host in hosts if host.availability_zone == zone]
        held = [host for host in apply_orders(in_zone, orders) if host.held]
        if not held:
            continue
        capacities = {
            host.id: kv_capacity_tokens(host, host.held, engine)
            for host in held
            if host.held
        }
        min_tokens = min(capacities.values())
        for host in sorted(held, key=lambda host: (-capacities[host.id], host.id)):
            others = [
                other for other in apply_orders(held, extended) if other.id != host.id
            ]
            extended[host.id] = _extended_range(
                host, others, engine, kv_tokens=min_tokens
            )
    return extended


def copy_values(host: Host, held: Sequence[Host], engine: EngineSpec) -> list[float]:
    """Return the value of a copy of each layer to a host's zone.

    The value of a layer with a single holder is inverse to the size of that holder's
    range: replacing a runner takes copies of all its layers, which are sooner complete
    for a short range.
    """
    holders: list[list[Host]] = [[] for _ in range(engine.layer_count)]
    for other in held:
        if other.held is None or other.availability_zone != host.availability_zone:
            continue
        for layer in range(other.held.first, min(other.held.end, engine.layer_count)):
            holders[layer].append(other)
    return [_copy_value(layer_holders) for layer_holders in holders]


def _copy_value(holders: Sequence[Host]) -> float:
    """Return the value of a copy of a layer with these holders."""
    if len(holders) != 1 or holders[0].held is None:
        return 0.0
    return 1.0 / holders[0].held.size


def _extended_range(
    host: Host, others: Sequence[Host], engine: EngineSpec, *, kv_tokens: float
) -> LayerRange:
    """Return a host's range, extended in the direction with the higher value."""
    assert host.held is not None
    max_layers = engine.max_layers(engine.kinds[host.kind], kv_tokens=kv_tokens)
    spare = max_layers - host.held.size
    if spare <= 0:
        return host.held
    values = copy_values(host, others, engine)
    first, end = host.held
    below = _count_useful(values[:first][::-1], spare)
    above = _count_useful(values[end:], spare)
    if sum(values[first - below : first]) > sum(values[end : end + above]):
        return LayerRange(first - below, end)
    return LayerRange(first, end + above)


def _count_useful(values: Sequence[float], limit: int) -> int:
    """Return the number of leading layers with a value, up to *limit*."""
    count = 0
    while count < min(limit, len(values)) and values[count]:
        count += 1
    return count
