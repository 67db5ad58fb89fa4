# SPDX-License-Identifier: MIT
"""Assignment of model layers to runners.

Empty fleets are divided into chains: the runners of one availability zone
(or of several, where a single zone can't hold the model) are partitioned into
groups, each of which tiles the model (`_chains`, `_tiers`).

Later changes are incremental: an unassigned runner gets layers that are missing
in its zone (`_layer_needs`), and a zone that stays incomplete is repaired with
its existing runners (`_zone_repair`).

.. versionadded:: 26.1.0
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from ._chains import group_by_zone
from ._hosts import Host, apply_orders
from ._layer_needs import layers_to_copy, missing_layers, replica_counts
from ._spare_layers import extend_ranges
from ._tiers import tiered_chains
from ._zone_repair import extend_neighbors, redistribute_zones
from .engine_model import EngineSpec
from .layers import LayerRange


__all__ = ["Host", "divide", "plan_placement"]


def plan_placement(
    hosts: Sequence[Host],
    engine: EngineSpec,
    *,
    copy_candidates: Collection[str] = (),
    allow_repair: bool = True,
) -> dict[str, LayerRange]:
    """Compute the layer ranges to assign to runners.

    Args:
        hosts: All usable runners of the service.
        engine: The engine specification of the service.
        copy_candidates: Unassigned runners that may get redundant copies of layers.
            Others are reserved as replacements, which start before the runner
            that they replace terminates.
        allow_repair: Whether runners that hold layers may be reassigned to
            complete a zone.

    Returns:
        The new range by runner ID; unchanged runners are omitted.

    .. versionadded:: 26.1.0
    """
    known = sorted((host for host in hosts if host.kind in engine.kinds), key=_host_id)
    if not any(host.held for host in known):
        return divide(known, engine)
    orders = _assign_unassigned(known, engine, copy_candidates=copy_candidates)
    orders |= _move_copies(known, orders, engine, require_full_copy=True)
    if allow_repair:
        orders |= extend_neighbors(apply_orders(known, orders), engine)
        orders |= _move_copies(known, orders, engine, require_full_copy=False)
        orders |= redistribute_zones(apply_orders(known, orders), engine)
    return orders


def _host_id(host: Host) -> str:
    """Sort key for hosts."""
    return host.id


def divide(hosts: Sequence[Host], engine: EngineSpec) -> dict[str, LayerRange]:
    """Divide an empty fleet into chains.

    .. versionadded:: 26.1.0
    """
    orders: dict[str, LayerRange] = {}
    for group in group_by_zone(hosts, engine):
        for chain in tiered_chains(group, engine):
            orders.update(chain.layers)
    if not orders:
        return orders
    orders = extend_ranges(hosts, orders, engine)
    placed = [host._replace(held=orders.get(host.id)) for host in hosts]
    ids = {host.id for host in hosts}
    return orders | _assign_unassigned(placed, engine, copy_candidates=ids)


def _assign_unassigned(
    hosts: Sequence[Host], engine: EngineSpec, *, copy_candidates: Collection[str]
) -> dict[str, LayerRange]:
    """Assign layers to empty hosts in a partially assigned fleet."""
    orders: dict[str, LayerRange] = {}
    held = [host for host in hosts if host.held]
    for host in hosts:
        if host.held:
            continue
        layers = missing_layers(host, held, engine)
        if layers is None and host.id in copy_candidates:
            layers = layers_to_copy(host, held, engine)
        if layers is not None:
            orders[host.id] = layers
            held.append(host._replace(held=layers))
    return orders


def _move_copies(
    hosts: Sequence[Host],
    orders: Mapping[str, LayerRange],
    engine: EngineSpec,
    *,
    require_full_copy: bool,
) -> dict[str, LayerRange]:
    """Move runners with redundant copies to layers that are missing in their zone.

    Args:
        hosts: All runners.
        orders: Orders planned so far; their runners are not moved.
        engine: The engine specification.
        require_full_copy: Whether a single other runner has to hold all layers
            that a runner drops.  Otherwise paths get longer and replicas fewer.
    """
    held = apply_orders(hosts, orders)
    holders = replica_counts(held, engine)
    moves: dict[str, LayerRange] = {}
    for host in held:
        if host.held is None or host.id in orders:
            continue
        in_zone = holders[host.availability_zone]
        if all(in_zone) or any(in_zone[layer] < 2 for layer in range(*host.held)):
            continue  # zone is complete, or needs this host where it is
        others = [other for other in held if other.id != host.id]
        if require_full_copy and not _has_full_copy(host, others):
            continue
        layers = missing_layers(host, others, engine)
        if layers is not None:
            moves[host.id] = layers
            held = [*others, host._replace(held=layers)]
            holders = replica_counts(held, engine)
    return moves


def _has_full_copy(host: Host, others: Sequence[Host]) -> bool:
    """Whether another runner in the zone holds all layers of a runner."""
    assert host.held is not None
    return any(
        other.held is not None
        and other.availability_zone == host.availability_zone
        and other.held.covers(host.held)
        for other in others
    )
