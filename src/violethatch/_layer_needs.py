# SPDX-License-Identifier: MIT
"""Selection of missing or under-replicated layers for a runner."""

from __future__ import annotations

from collections.abc import Sequence

from ._hosts import Host, kv_capacity_tokens, min_kv_tokens
from ._spare_layers import copy_values
from .engine_model import EngineSpec
from .layers import LayerRange


#: Weights of layers without a holder in any zone, and in this zone.
_UNASSIGNED_WEIGHT = 16.0
_UNASSIGNED_IN_ZONE_WEIGHT = 4.0


def missing_layers(
    host: Host, held: Sequence[Host], engine: EngineSpec
) -> LayerRange | None:
    """Return layers missing in a host's zone, up to its capacity."""
    weights = missing_weights(host.availability_zone, held, engine)
    window = _max_weight_window(host, held, weights, engine)
    missing = [layer for layer in range(*window) if weights[layer]]
    if not missing:
        return None
    return LayerRange(missing[0], missing[-1] + 1)


def layers_to_copy(
    host: Host, held: Sequence[Host], engine: EngineSpec
) -> LayerRange | None:
    """Return the layers with the highest value of a copy.

    Layers with a single holder in the host's zone have priority over layers whose
    holders have the smallest KV cache capacity.
    """
    values = copy_values(host, held, engine)
    single_copy = _max_weight_window(host, held, values, engine)
    if any(values[single_copy.first : single_copy.end]):
        return single_copy
    capacities = [0.0] * engine.layer_count
    for other in held:
        if other.held is None:
            continue
        tokens = kv_capacity_tokens(other, other.held, engine)
        for layer in range(*other.held):
            capacities[layer] += tokens
    weights = [1.0 / (1.0 + tokens) for tokens in capacities]
    window = _max_weight_window(host, held, weights, engine)
    return window if window.size else None


def replica_counts(held: Sequence[Host], engine: EngineSpec) -> dict[str, list[int]]:
    """Return the number of holders of each layer, by zone."""
    holders: dict[str, list[int]] = {
        host.availability_zone: [0] * engine.layer_count for host in held
    }
    for host in held:
        if host.held is None:
            continue
        in_zone = holders[host.availability_zone]
        for layer in range(host.held.first, min(host.held.end, engine.layer_count)):
            in_zone[layer] += 1
    return holders


def missing_weights(zone: str, held: Sequence[Host], engine: EngineSpec) -> list[float]:
    """Return the weight of each layer without a holder in a zone, otherwise zero."""
    anywhere = [0] * engine.layer_count
    in_zone = [0] * engine.layer_count
    for host in held:
        if host.held is None:
            continue
        for layer in range(host.held.first, min(host.held.end, engine.layer_count)):
            anywhere[layer] += 1
            in_zone[layer] += host.availability_zone == zone
    return [
        _UNASSIGNED_WEIGHT * (not total)
        + _UNASSIGNED_IN_ZONE_WEIGHT * (not in_this_zone)
        for total, in_this_zone in zip(anywhere, in_zone, strict=True)
    ]


def _max_weight_window(
    host: Host, held: Sequence[Host], weights: Sequence[float], engine: EngineSpec
) -> LayerRange:
    """Return the range of max size with the highest total weight."""
    max_size = engine.max_layers(
        engine.kinds[host.kind], kv_tokens=_zone_kv_tokens(host, held, engine)
    )
    starts = range(engine.layer_count - max_size + 1)
    first = max(
        starts, key=lambda start: (sum(weights[start : start + max_size]), -start)
    )
    return LayerRange(first, first + max_size)


def _zone_kv_tokens(host: Host, held: Sequence[Host], engine: EngineSpec) -> float:
    """Return the min KV cache capacity of the holders in a zone, in tokens."""
    capacities = [
        kv_capacity_tokens(other, other.held, engine)
        for other in held
        if other.held and other.availability_zone == host.availability_zone
    ]
    min_tokens = min_kv_tokens(engine)
    return max(min_tokens, min(capacities, default=min_tokens))
