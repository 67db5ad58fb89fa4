# SPDX-License-Identifier: MIT
"""Which runner holds which layers of a model.

Empty fleets are divided into chains: the runners of one availability zone
(or of several, where one can't hold the model) are dealt into groups, each of
which tiles the model (`_chains`, `_tiers`).

Later changes are small: a runner that comes empty takes over what its zone
lacks (`_layer_needs`), and a zone that stays incomplete is mended with what
it has (`_zone_repair`).

.. versionadded:: 26.1.0
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from ._chains import group_by_zone
from ._hosts import Host, apply_orders
from ._layer_needs import copied_layers, holders_by_layer, lacking_layers
from ._spare_layers import widened
from ._tiers import tiered_chains
from ._zone_repair import divide_zones, stretch_zones
from .engine_model import EngineSpec
from .layers import LayerRange


__all__ = ["Host", "divide", "plan_placement"]


def plan_placement(
    hosts: Sequence[Host],
    engine: EngineSpec,
    *,
    copying: Collection[str] = (),
    is_repairing: bool = True,
) -> dict[str, LayerRange]:
    """Return the layers that runners have to be ordered to hold.

    Args:
        hosts: All runners of the service that may get work.
        engine: What the service states of its engine.
        copying: Empty runners that may hold further copies of layers.  The
            others wait for a runner to leave, since replacements start before
            that one does.
        is_repairing: Whether runners that hold layers may be given others, so
            that a zone is whole again.

    Returns:
        By runner, the range to be ordered; runners that stay are left out.

    .. versionadded:: 26.1.0
    """
    known = sorted((host for host in hosts if host.kind in engine.kinds), key=_by_id)
    if not any(host.held for host in known):
        return divide(known, engine)
    orders = _fill_empty(known, engine, copying=copying)
    orders |= _move_copies(known, orders, engine, is_whole=True)
    if is_repairing:
        orders |= stretch_zones(apply_orders(known, orders), engine)
        orders |= _move_copies(known, orders, engine, is_whole=False)
        orders |= divide_zones(apply_orders(known, orders), engine)
    return orders


def _by_id(host: Host) -> str:
    """Sort key of hosts."""
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
    orders = widened(hosts, orders, engine)
    placed = [host._replace(held=orders.get(host.id)) for host in hosts]
    ids = {host.id for host in hosts}
    return orders | _fill_empty(placed, engine, copying=ids)


def _fill_empty(
    hosts: Sequence[Host], engine: EngineSpec, *, copying: Collection[str]
) -> dict[str, LayerRange]:
    """Return what empty hosts take over, where others hold layers already."""
    orders: dict[str, LayerRange] = {}
    held = [host for host in hosts if host.held]
    for host in hosts:
        if host.held:
            continue
        layers = lacking_layers(host, held, engine)
        if layers is None and host.id in copying:
            layers = copied_layers(host, held, engine)
        if layers is not None:
            orders[host.id] = layers
            held.append(host._replace(held=layers))
    return orders


def _move_copies(
    hosts: Sequence[Host],
    orders: Mapping[str, LayerRange],
    engine: EngineSpec,
    *,
    is_whole: bool,
) -> dict[str, LayerRange]:
    """Move runners that only hold copies to layers that their zone lacks.

    Args:
        hosts: All runners.
        orders: What is ordered already; these runners are not moved.
        engine: The engine's figures.
        is_whole: Whether one other runner has to hold all that a runner gives up.
            Where several do, paths get longer and copies fewer.
    """
    held = apply_orders(hosts, orders)
    holders = holders_by_layer(held, engine)
    moves: dict[str, LayerRange] = {}
    for host in held:
        if host.held is None or host.id in orders:
            continue
        in_zone = holders[host.availability_zone]
        if all(in_zone) or any(in_zone[layer] < 2 for layer in range(*host.held)):
            continue  # the zone lacks nothing, or lacks it without this one
        others = [one for one in held if one.id != host.id]
        if is_whole and not _has_double(host, others):
            continue
        layers = lacking_layers(host, others, engine)
        if layers is not None:
            moves[host.id] = layers
            held = [*others, host._replace(held=layers)]
            holders = holders_by_layer(held, engine)
    return moves


def _has_double(host: Host, others: Sequence[Host]) -> bool:
    """Tell whether one other runner of the zone holds all that a runner holds."""
    assert host.held is not None
    return any(
        other.held is not None
        and other.availability_zone == host.availability_zone
        and other.held.covers(host.held)
        for other in others
    )
