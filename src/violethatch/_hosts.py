# SPDX-License-Identifier: MIT
"""Runners as placement sees them, and what fits on them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .engine_model import EngineSpec
from .layers import LayerRange


#: The fewest usual requests whose KV cache a runner has to have room for.
_LEAST_REQUESTS = 6


class Host(NamedTuple):
    """A runner as placement sees it.

    .. versionadded:: 26.1.0
    """

    id: str
    availability_zone: str
    kind: str
    held: LayerRange | None


def apply_orders(hosts: Sequence[Host], orders: Mapping[str, LayerRange]) -> list[Host]:
    """Return hosts as they are once orders are carried out."""
    return [host._replace(held=orders.get(host.id, host.held)) for host in hosts]


def min_kv_tokens(engine: EngineSpec) -> float:
    """Return the tokens whose KV cache each runner has to have room for."""
    return _LEAST_REQUESTS * engine.usual_tokens


def kv_capacity_tokens(host: Host, layers: LayerRange, engine: EngineSpec) -> float:
    """Return the tokens whose KV cache fits on a host beside *layers*."""
    return engine.kv_capacity_tokens(engine.kinds[host.kind], layers.size)


def can_hold(hosts: Sequence[Host], engine: EngineSpec) -> bool:
    """Tell whether hosts together hold the model and some requests."""
    tokens = min_kv_tokens(engine)
    kinds = (engine.kinds[host.kind] for host in hosts)
    room = sum(engine.max_layers(kind, kv_tokens=tokens) for kind in kinds)
    return room >= engine.layer_count
