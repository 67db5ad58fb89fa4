# SPDX-License-Identifier: MIT
"""Which layers a zone needs most, and which of them a runner has room for."""

from __future__ import annotations

from collections.abc import Sequence

from ._hosts import Host, kv_capacity_tokens, min_kv_tokens
from ._spare_layers import sole_layers
from .engine_model import EngineSpec
from .layers import LayerRange


#: What layers lacking everywhere weigh against layers lacking in the zone.
_UNHELD_NEED = 16.0
_UNHELD_IN_ZONE_NEED = 4.0


def lacking_layers(
    host: Host, held: Sequence[Host], engine: EngineSpec
) -> LayerRange | None:
    """Return layers that a host's zone lacks, as far as they fit."""
    need = need_by_layer(host.availability_zone, held, engine)
    window = _neediest_window(host, held, need, engine)
    lacking = [layer for layer in range(*window) if need[layer]]
    if not lacking:
        return None
    return LayerRange(lacking[0], lacking[-1] + 1)


def copied_layers(
    host: Host, held: Sequence[Host], engine: EngineSpec
) -> LayerRange | None:
    """Return the layers that a copy is worth most of.

    First those with one holder in the host's zone, then those whose holders have the
    least room for KV cache.
    """
    worth = sole_layers(host, held, engine)
    sole = _neediest_window(host, held, worth, engine)
    if any(worth[sole.first : sole.end]):
        return sole
    room_tokens = [0.0] * engine.layer_count
    for other in held:
        if other.held is None:
            continue
        tokens = kv_capacity_tokens(other, other.held, engine)
        for layer in range(*other.held):
            room_tokens[layer] += tokens
    need = [1.0 / (1.0 + tokens) for tokens in room_tokens]
    window = _neediest_window(host, held, need, engine)
    return window if window.size else None


def holders_by_layer(held: Sequence[Host], engine: EngineSpec) -> dict[str, list[int]]:
    """Return, by zone, how many of its hosts hold each layer."""
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


def need_by_layer(zone: str, held: Sequence[Host], engine: EngineSpec) -> list[float]:
    """Return how much each layer lacks a holder in a zone; zero if it has one."""
    anywhere = [0] * engine.layer_count
    in_zone = [0] * engine.layer_count
    for host in held:
        if host.held is None:
            continue
        for layer in range(host.held.first, min(host.held.end, engine.layer_count)):
            anywhere[layer] += 1
            in_zone[layer] += host.availability_zone == zone
    return [
        _UNHELD_NEED * (not everywhere) + _UNHELD_IN_ZONE_NEED * (not here)
        for everywhere, here in zip(anywhere, in_zone, strict=True)
    ]


def _neediest_window(
    host: Host, held: Sequence[Host], need: Sequence[float], engine: EngineSpec
) -> LayerRange:
    """Return the range of as many layers as fit that is needed most."""
    most = engine.max_layers(
        engine.kinds[host.kind], kv_tokens=_zone_kv_tokens(host, held, engine)
    )
    starts = range(engine.layer_count - most + 1)
    first = max(starts, key=lambda start: (sum(need[start : start + most]), -start))
    return LayerRange(first, first + most)


def _zone_kv_tokens(host: Host, held: Sequence[Host], engine: EngineSpec) -> float:
    """Return the KV cache that the zone's holders have room for."""
    rooms = [
        kv_capacity_tokens(other, other.held, engine)
        for other in held
        if other.held and other.availability_zone == host.availability_zone
    ]
    least = min_kv_tokens(engine)
    return max(least, min(rooms, default=least))
