# SPDX-License-Identifier: MIT
"""Making zones whole that lack layers, with the runners they have."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ._chains import best_chains
from ._hosts import Host, apply_orders, can_hold, kv_capacity_tokens, min_kv_tokens
from .engine_model import EngineSpec
from .layers import LayerRange


def stretch_zones(hosts: Sequence[Host], engine: EngineSpec) -> dict[str, LayerRange]:
    """Let neighbours of zones' holes take them over where they have the memory.

    Layers are only added, so that nothing under way is disturbed.
    """
    orders: dict[str, LayerRange] = {}
    for inside in _zones(hosts):
        holes = _holes(inside, engine)
        if holes and any(host.held for host in inside):
            orders |= _stretch_over(inside, holes, engine) or {}
    return _changes(hosts, orders)


def divide_zones(hosts: Sequence[Host], engine: EngineSpec) -> dict[str, LayerRange]:
    """Divide zones anew that lack layers, if others hold the whole model meanwhile."""
    orders: dict[str, LayerRange] = {}
    for inside in _zones(hosts):
        if not _holes(inside, engine) or not any(host.held for host in inside):
            continue
        ids = {host.id for host in inside}
        outside = [host for host in hosts if host.id not in ids]
        if can_hold(inside, engine) and not _holes(outside, engine):
            for chain in best_chains(inside, engine):
                orders.update(chain.layers)
    return _changes(hosts, orders)


def _zones(hosts: Sequence[Host]) -> list[list[Host]]:
    """Return the hosts of each zone."""
    return [
        [host for host in hosts if host.availability_zone == zone]
        for zone in sorted({host.availability_zone for host in hosts})
    ]


def _changes(
    hosts: Sequence[Host], orders: Mapping[str, LayerRange]
) -> dict[str, LayerRange]:
    """Return the orders that change what hosts hold."""
    return {
        host.id: orders[host.id]
        for host in hosts
        if host.id in orders and orders[host.id] != host.held
    }


def _stretch_over(
    hosts: Sequence[Host], holes: Sequence[LayerRange], engine: EngineSpec
) -> dict[str, LayerRange] | None:
    """Let neighbours take all holes over; None if they lack the memory."""
    orders: dict[str, LayerRange] = {}
    for hole in holes:
        best: dict[str, LayerRange] | None = None
        best_tokens = min_kv_tokens(engine)
        held = apply_orders(hosts, orders)
        for split in range(hole.first, hole.end + 1):
            option = _split_hole(held, hole, split)
            if option is None:
                continue
            tokens = _least_room(hosts, option, engine)
            if tokens >= best_tokens:
                best, best_tokens = option, tokens
        if best is None:
            return None
        orders |= best
    return orders


def _split_hole(
    hosts: Sequence[Host], hole: LayerRange, split: int
) -> dict[str, LayerRange] | None:
    """Give a hole's layers below *split* to the left and the others to the right."""
    option: dict[str, LayerRange] = {}
    if split > hole.first:
        left = [host for host in hosts if host.held and host.held.end == hole.first]
        if not left or left[0].held is None:
            return None
        option[left[0].id] = LayerRange(left[0].held.first, split)
    if split < hole.end:
        right = [host for host in hosts if host.held and host.held.first == hole.end]
        if not right or right[0].held is None:
            return None
        option[right[0].id] = LayerRange(split, right[0].held.end)
    return option


def _least_room(
    hosts: Sequence[Host], layers: Mapping[str, LayerRange], engine: EngineSpec
) -> float:
    """Return the least tokens whose KV cache fits beside ranges."""
    return min(
        kv_capacity_tokens(host, layers[host.id], engine)
        for host in hosts
        if host.id in layers
    )


def _holes(hosts: Sequence[Host], engine: EngineSpec) -> list[LayerRange]:
    """Return the ranges that no host holds."""
    covered = {layer for host in hosts if host.held for layer in range(*host.held)}
    holes: list[LayerRange] = []
    for layer in range(engine.layer_count):
        if layer in covered:
            continue
        if holes and holes[-1].end == layer:
            holes[-1] = LayerRange(holes[-1].first, layer + 1)
        else:
            holes.append(LayerRange(layer, layer + 1))
    return holes
