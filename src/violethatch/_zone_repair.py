# SPDX-License-Identifier: MIT
"""Repair of zones with missing layers, by reassigning their runners."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ._chains import best_chains
from ._hosts import Host, apply_orders, can_hold, kv_capacity_tokens, min_kv_tokens
from .engine_model import EngineSpec
from .layers import LayerRange


def extend_neighbors(
    hosts: Sequence[Host], engine: EngineSpec
) -> dict[str, LayerRange]:
    """Extend the ranges adjacent to gaps where memory allows.

    Layers are only added, so that requests in flight are not disrupted.
    """
    orders: dict[str, LayerRange] = {}
    for in_zone in _hosts_by_zone(hosts):
        gaps = _gaps(in_zone, engine)
        if gaps and any(host.held for host in in_zone):
            orders |= _fill_gaps(in_zone, gaps, engine) or {}
    return _changed_orders(hosts, orders)


def redistribute_zones(
    hosts: Sequence[Host], engine: EngineSpec
) -> dict[str, LayerRange]:
    """Redistribute zones with missing layers, if other zones hold the full model."""
    orders: dict[str, LayerRange] = {}
    for in_zone in _hosts_by_zone(hosts):
        if not _gaps(in_zone, engine) or not any(host.held for host in in_zone):
            continue
        ids = {host.id for host in in_zone}
        outside = [host for host in hosts if host.id not in ids]
        if can_hold(in_zone, engine) and not _gaps(outside, engine):
            for chain in best_chains(in_zone, engine):
                orders.update(chain.layers)
    return _changed_orders(hosts, orders)


def _hosts_by_zone(hosts: Sequence[Host]) -> list[list[Host]]:
    """Group hosts by zone."""
    return [
        [host for host in hosts if host.availability_zone == zone]
        for zone in sorted({host.availability_zone for host in hosts})
    ]


def _changed_orders(
    hosts: Sequence[Host], orders: Mapping[str, LayerRange]
) -> dict[str, LayerRange]:
    """Return the orders that differ from the held ranges."""
    return {
        host.id: orders[host.id]
        for host in hosts
        if host.id in orders and orders[host.id] != host.held
    }


def _fill_gaps(
    hosts: Sequence[Host], gaps: Sequence[LayerRange], engine: EngineSpec
) -> dict[str, LayerRange] | None:
    """Extend adjacent ranges over all gaps; None if memory is insufficient."""
    orders: dict[str, LayerRange] = {}
    for gap in gaps:
        best: dict[str, LayerRange] | None = None
        best_tokens = min_kv_tokens(engine)
        held = apply_orders(hosts, orders)
        for split in range(gap.first, gap.end + 1):
            option = _split_gap(held, gap, split)
            if option is None:
                continue
            tokens = _min_kv_capacity(hosts, option, engine)
            if tokens >= best_tokens:
                best, best_tokens = option, tokens
        if best is None:
            return None
        orders |= best
    return orders


def _split_gap(
    hosts: Sequence[Host], gap: LayerRange, split: int
) -> dict[str, LayerRange] | None:
    """Assign layers below *split* to the left neighbor, and others to the right."""
    option: dict[str, LayerRange] = {}
    if split > gap.first:
        left = [host for host in hosts if host.held and host.held.end == gap.first]
        if not left or left[0].held is None:
            return None
        option[left[0].id] = LayerRange(left[0].held.first, split)
    if split < gap.end:
        right = [host for host in hosts if host.held and host.held.first == gap.end]
        if not right or right[0].held is None:
            return None
        option[right[0].id] = LayerRange(split, right[0].held.end)
    return option


def _min_kv_capacity(
    hosts: Sequence[Host], layers: Mapping[str, LayerRange], engine: EngineSpec
) -> float:
    """Return the min KV cache capacity beside the assigned ranges, in tokens."""
    return min(
        kv_capacity_tokens(host, layers[host.id], engine)
        for host in hosts
        if host.id in layers
    )


def _gaps(hosts: Sequence[Host], engine: EngineSpec) -> list[LayerRange]:
    """Return the ranges without a holder."""
    covered = {layer for host in hosts if host.held for layer in range(*host.held)}
    gaps: list[LayerRange] = []
    for layer in range(engine.layer_count):
        if layer in covered:
            continue
        if gaps and gaps[-1].end == layer:
            gaps[-1] = LayerRange(gaps[-1].first, layer + 1)
        else:
            gaps.append(LayerRange(layer, layer + 1))
    return gaps
