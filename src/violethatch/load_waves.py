# SPDX-License-Identifier: MIT
"""In which order layers are loaded, so that requests can be served before all are.

Load pattern: many runners start empty together, and read their layers from one store of
weights.  Beyond the number of loads that it serves at full rate, each load takes longer
in proportion, so that all end together, as late as the last one would alone.  Loaded
chain by chain at full rate, the last one ends no later, and the first chain serves long
before.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ._hosts import Host
from .layers import LayerRange


__all__ = ["loading_order"]

#: Stands for the orders of zones that don't tile the model by themselves.
_ACROSS_ZONES = ""


class _Chain(NamedTuple):
    """Orders that tile the model, or what is left over.

    Attributes:
        copy: How many chains of the same zone come before it.
        is_whole: Whether it tiles the model.
        longest: The most layers that one of its runners loads.
        total: The layers that its runners load together.
    """

    copy: int
    is_whole: bool
    longest: int
    total: int
    zone: str
    ids: tuple[str, ...]

    def rank(self) -> tuple[bool, int, int, int, str]:
        """Return the sort key: whole chains, one of each zone, quick ones first."""
        return not self.is_whole, self.copy, self.longest, self.total, self.zone


def loading_order(
    orders: Mapping[str, LayerRange], hosts: Sequence[Host], *, layer_count: int
) -> list[str]:
    """Return the ids of runners to be ordered, those of whole chains first.

    Args:
        orders: By runner, the range that it is to hold.
        hosts: All runners of the service.
        layer_count: The model's layers.

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
    left_over: dict[str, LayerRange] = {}
    for zone, ranges in by_zone.items():
        of_zone = _chains(ranges, held[zone], zone, layer_count)
        chains.extend(one for one in of_zone if one.is_whole)
        for chain in of_zone:
            if not chain.is_whole:
                left_over |= {one: ranges[one] for one in chain.ids}
    all_held = [one for ranges in held.values() for one in ranges]
    chains.extend(_chains(left_over, all_held, _ACROSS_ZONES, layer_count))
    return [one for chain in sorted(chains, key=_Chain.rank) for one in chain.ids]


def _chains(
    ranges: Mapping[str, LayerRange],
    held: Sequence[LayerRange],
    zone: str,
    layer_count: int,
) -> list[_Chain]:
    """Divide ranges into chains, each with as few runners as it needs.

    Args:
        ranges: By runner, what it is to hold.
        held: What others of the zone hold already; each chain may use it.
        zone: The availability zone, for the chains' order.
        layer_count: The model's layers.
    """
    left = dict(sorted(ranges.items()))
    chains: list[_Chain] = []
    while left:
        ids = _next_chain(left, held, layer_count)
        is_whole = bool(ids)
        chosen = ids or list(left)
        sizes = {one: left.pop(one).size for one in chosen}
        chosen.sort(key=lambda one: -sizes[one])
        chains.append(
            _Chain(
                copy=len(chains),
                is_whole=is_whole,
                longest=max(sizes.values()),
                total=sum(sizes.values()),
                zone=zone,
                ids=tuple(chosen),
            )
        )
    return chains


def _next_chain(
    ranges: Mapping[str, LayerRange], held: Sequence[LayerRange], layer_count: int
) -> list[str]:
    """Return the ids of ranges that, with what is held, cover all layers, or none."""
    chain: list[str] = []
    reached = 0
    while reached < layer_count:
        covered = max((one.end for one in held if one.first <= reached), default=0)
        if covered > reached:
            reached = covered
            continue
        fitting = [one for one, layers in ranges.items() if layers.first <= reached]
        best = max(fitting, key=lambda one: ranges[one].end, default=None)
        if best is None or ranges[best].end <= reached:
            return []
        chain.append(best)
        reached = ranges[best].end
    return chain
