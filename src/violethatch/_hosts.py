# SPDX-License-Identifier: MIT
"""Runners as seen by placement, and their capacity."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .engine_model import EngineSpec
from .layers import LayerRange


#: The minimum number of typical requests whose KV cache must fit on each runner.
_MIN_REQUESTS = 6


class Host(NamedTuple):
    """A runner as seen by placement.

    .. versionadded:: 26.1.0
    """

    id: str
    availability_zone: str
    kind: str
    held: LayerRange | None


def apply_orders(hosts: Sequence[Host], orders: Mapping[str, LayerRange]) -> list[Host]:
    """Return the hosts as they are once the orders have been executed."""
    return [host._replace(held=orders.get(host.id, host.held)) for host in hosts]


def min_kv_tokens(engine: EngineSpec) -> float:
    """Return the number of tokens whose KV cache must fit on each runner."""
    return _MIN_REQUESTS * engine.usual_tokens


def kv_capacity_tokens(host: Host, layers: LayerRange, engine: EngineSpec) -> float:
    """Return the number of tokens whose KV cache fits on a host next to *layers*."""
    return engine.kv_capacity_tokens(engine.kinds[host.kind], layers.size)


def can_hold(hosts: Sequence[Host], engine: EngineSpec) -> bool:
    """Return whether the hosts together can hold the model and the minimum KV cache."""
    tokens = min_kv_tokens(engine)
    kinds = (engine.kinds[host.kind] for host in hosts)
    capacity = sum(engine.max_layers(kind, kv_tokens=tokens) for kind in kinds)
    return capacity >= engine.layer_count
