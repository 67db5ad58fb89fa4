# SPDX-License-Identifier: MIT
"""Load order of layers that makes complete chains available early.

Load pattern: many runners start empty simultaneously, and read their layers from a
shared weight store.  Beyond the number of loads at full rate, load times increase
proportionally, and all loads complete at the time of the last.  With chains loaded in
sequence at full rate, the last load completes no later, and the first chain serves
requests much earlier.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ._hosts import Host
from .layers import LayerRange


__all__ = ["loading_order"]

#: Zone name for orders of zones that don't tile the model on their own.
_ACROSS_ZONES = ""


class _Chain(NamedTuple):
    """Orders that tile the model, or remaining orders.

    Attributes:
        copy: Number of preceding chains in the same zone.
        is_complete: Whether it tiles the model.
        max_layers: Max layers that a runner of the chain loads.
        total_layers: Total layers that its runners load.
    """

    copy: int
    is_complete: bool
    max_layers: int
    total_layers: int
    zone: str
    ids: tuple[str, ...]

    def sort_key(self) -> tuple[bool, int, int, int, str]:
        """Return the sort key: complete chains, zones in turn, short loads first."""
        return (
            not self.is_complete,
            self.copy,
            self.max_layers,
            self.total_layers,
            self.zone,
        )


def loading_order(
    orders: Mapping[str, LayerRange], hosts: Sequence[Host], *, layer_count: int
) -> list[str]:
    """Return runner IDs in load order, complete chains first.

    Args:
        orders: The range to load, by runner ID.
        hosts: All runners of the service.
        layer_count: Number of layers of the model.

    .. versionadded:: 26.5.0
    """
    by_zone: defaultdict[str, dict[str, LayerRange]] = defaultdict(dict)
    for host in hosts:
        if host.id in orders:
            by_zone[host.availability_zone][host.id] = orders[host.id]
    held: defaultdict[str, list[LayerRange]] = defaultdict(list)
    for host in hosts:
        if host.held is not None and host.id not in orders:
            held[host.availability_zone].append(host.held)
    chains: list[_Chain] = []
    remaining: dict[str, LayerRange] = {}
    for zone, ranges in by_zone.items():
        zone_chains = _chains(ranges, held[zone], zone, layer_count)
        chains.extend(chain for chain in zone_chains if chain.is_complete)
        for chain in zone_chains:
            if not chain.is_complete:
                remaining |= {server_id: ranges[server_id] for server_id in chain.ids}
    all_held = [layers for ranges in held.values() for layers in ranges]
    chains.extend(_chains(remaining, all_held, _ACROSS_ZONES, layer_count))
    return [
        server_id
        for chain in sorted(chains, key=_Chain.sort_key)
        for server_id in chain.ids
    ]


def _chains(
    ranges: Mapping[str, LayerRange],
    held: Sequence[LayerRange],
    zone: str,
    layer_count: int,
) -> list[_Chain]:
    """Divide ranges into chains with as few runners as possible.

    Args:
        ranges: The range to load, by runner ID.
        held: Ranges held by other runners in the zone, usable by each chain.
        zone: The availability zone, for the sort key.
        layer_count: Number of layers of the model.
    """
    pending = dict(sorted(ranges.items()))
    chains: list[_Chain] = []
    while pending:
        ids = _next_chain(pending, held, layer_count)
        is_complete = bool(ids)
        chosen = ids or list(pending)
        sizes = {server_id: pending.pop(server_id).size for server_id in chosen}
        chosen.sort(key=lambda server_id: -sizes[server_id])
        chains.append(
            _Chain(
                copy=len(chains),
                is_complete=is_complete,
                max_layers=max(sizes.values()),
                total_layers=sum(sizes.values()),
                zone=zone,
                ids=tuple(chosen),
            )
        )
    return chains


def _next_chain(
    ranges: Mapping[str, LayerRange], held: Sequence[LayerRange], layer_count: int
) -> list[str]:
    """Return runner IDs that cover all layers along with held ranges, or none."""
    chain: list[str] = []
    covered_end = 0
    while covered_end < layer_count:
        held_end = max(
            (layers.end for layers in held if layers.first <= covered_end), default=0
        )
        if held_end > covered_end:
            covered_end = held_end
            continue
        candidates = [
            server_id
            for server_id, layers in ranges.items()
            if layers.first <= covered_end
        ]
        best = max(
            candidates, key=lambda server_id: ranges[server_id].end, default=None
        )
        if best is None or ranges[best].end <= covered_end:
            return []
        chain.append(best)
        covered_end = ranges[best].end
    return chain
