# SPDX-License-Identifier: MIT
"""Which runner holds which layers of a model.

Empty fleets are divided into chains: the runners of one availability zone
(or of several, where one can't hold the model) are dealt into groups, each of
which tiles the model.  How many groups, and how their layers are split, is
searched with the engine's own formula for the most requests a second.

Later changes are small: a runner that comes empty takes over what its zone
lacks, and a zone that stays incomplete is mended with what it has.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import itertools
import math

from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from .engine_model import AcceleratorKind, EngineSpec
from .layers import LayerRange


#: A hop's share of a token's time within a zone, in ms (twice the one-way
#: delay of 0.1 ms that the sites state).
_HOP_MS = 0.2
#: The part of a runner's time that requests may take up; above it queues
#: grow without bound (M/D/1 waits double between 0.8 and 0.9).
_BUSY_LIMIT = 0.85
#: Sizes of KV cache that are tried, as parts of the most that fits.
_KV_PARTS = tuple(part / 20 for part in range(4, 20))
#: The fewest usual requests whose KV cache a runner has to have room for.
_LEAST_REQUESTS = 6
#: What layers lacking everywhere weigh against layers lacking in the zone.
_UNHELD_NEED = 16.0
_UNHELD_IN_ZONE_NEED = 4.0


class Host(NamedTuple):
    """A runner as placement sees it.

    .. versionadded:: 26.1.0
    """

    id: str
    availability_zone: str
    kind: str
    held: LayerRange | None


class Chain(NamedTuple):
    """Runners that tile the model, with what they can serve."""

    layers: Mapping[str, LayerRange]
    requests_per_s: float


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
    orders |= _move_copies(known, orders, engine)
    if is_repairing:
        held = _with_orders(known, orders)
        orders |= _repair_zones(held, engine)
    return orders


def _with_orders(hosts: Sequence[Host], orders: Mapping[str, LayerRange]) -> list[Host]:
    """Return hosts as they are once orders are carried out."""
    return [host._replace(held=orders.get(host.id, host.held)) for host in hosts]


def _by_id(host: Host) -> str:
    """Sort key of hosts."""
    return host.id


def divide(hosts: Sequence[Host], engine: EngineSpec) -> dict[str, LayerRange]:
    """Divide an empty fleet into chains.

    .. versionadded:: 26.1.0
    """
    orders: dict[str, LayerRange] = {}
    for group in _zone_groups(hosts, engine):
        for chain in _best_chains(group, engine):
            orders.update(chain.layers)
    placed = [host._replace(held=orders.get(host.id)) for host in hosts]
    if not orders:
        return orders
    ids = {host.id for host in hosts}
    return orders | _fill_empty(placed, engine, copying=ids)


def _zone_groups(hosts: Sequence[Host], engine: EngineSpec) -> list[list[Host]]:
    """Group hosts by zone; zones that can't hold the model go together."""
    by_zone: defaultdict[str, list[Host]] = defaultdict(list)
    for host in hosts:
        by_zone[host.availability_zone].append(host)
    whole = []
    partial: list[Host] = []
    for _, group in sorted(by_zone.items()):
        if _can_hold(group, engine):
            whole.append(group)
        else:
            partial.extend(group)
    if _can_hold(partial, engine) or not whole:
        return [*whole, partial]
    return whole


def _can_hold(hosts: Sequence[Host], engine: EngineSpec) -> bool:
    """Tell whether hosts together hold the model and some requests."""
    tokens = _LEAST_REQUESTS * engine.usual_tokens
    kinds = (engine.kinds[host.kind] for host in hosts)
    room = sum(engine.most_layers(kind, kv_tokens=tokens) for kind in kinds)
    return room >= engine.layer_count


def _best_chains(hosts: Sequence[Host], engine: EngineSpec) -> list[Chain]:
    """Return the chains of a group that serve the most requests a second."""
    best: list[Chain] = []
    best_rate = 0.0
    for count in range(1, len(hosts) + 1):
        chains = [_best_split(deal, engine) for deal in _deal(hosts, engine, count)]
        made = [chain for chain in chains if chain is not None]
        if len(made) < count:
            break
        rate = sum(chain.requests_per_s for chain in made)
        if rate > best_rate:
            best, best_rate = made, rate
    return best


def _deal(hosts: Sequence[Host], engine: EngineSpec, count: int) -> list[list[Host]]:
    """Deal hosts into groups with about the same memory."""
    groups: list[list[Host]] = [[] for _ in range(count)]
    memory_mb = [0.0] * count
    for host in sorted(hosts, key=lambda one: _speed_order(one, engine)):
        least = memory_mb.index(min(memory_mb))
        groups[least].append(host)
        memory_mb[least] += engine.kinds[host.kind].memory_mb
    return groups


def _speed_order(host: Host, engine: EngineSpec) -> tuple[float, str]:
    """Sort key that puts fast hosts first."""
    return engine.kinds[host.kind].step_factor, host.id


def _best_split(hosts: Sequence[Host], engine: EngineSpec) -> Chain | None:
    """Return the best split of the model over hosts, or None if none fits."""
    kinds = [engine.kinds[host.kind] for host in hosts]
    most_tokens = _most_kv_tokens(kinds, engine)
    best: Chain | None = None
    for part in _KV_PARTS:
        counts = split_layers(kinds, engine, kv_tokens=most_tokens * part)
        if counts is None:
            continue
        rate = chain_requests_per_s(kinds, counts, engine)
        if best is None or rate > best.requests_per_s:
            best = Chain(_tile(hosts, counts), rate)
    return best


def _most_kv_tokens(kinds: Sequence[AcceleratorKind], engine: EngineSpec) -> float:
    """Return the KV cache that a chain could have if layers were divisible."""
    memory_mb = sum(kind.memory_mb for kind in kinds)
    left_mb = memory_mb - engine.layer_count * engine.layer_mb
    return max(0.0, left_mb) / (engine.layer_count * engine.kv_layer_token_mb)


def _tile(hosts: Sequence[Host], counts: Sequence[int]) -> dict[str, LayerRange]:
    """Give each host its layers, one after the other."""
    ends = list(itertools.accumulate(counts))
    return {
        host.id: LayerRange(end - count, end)
        for host, count, end in zip(hosts, counts, ends, strict=True)
        if count
    }


def split_layers(
    kinds: Sequence[AcceleratorKind], engine: EngineSpec, *, kv_tokens: float
) -> list[int] | None:
    """Split the model so that no runner's steps take much longer than others'.

    Args:
        kinds: The runners' kinds, in the chain's order.
        engine: The engine's figures.
        kv_tokens: Tokens whose KV cache has to fit on each runner.

    Returns:
        How many layers each runner holds, or None if they don't fit.

    .. versionadded:: 26.1.0
    """
    caps = [engine.most_layers(kind, kv_tokens=kv_tokens) for kind in kinds]
    if sum(caps) < engine.layer_count:
        return None
    low, high = 0.0, engine.layer_count * max(kind.step_factor for kind in kinds)
    for _ in range(40):
        level = (low + high) / 2
        if sum(_shares(kinds, caps, level)) < engine.layer_count:
            low = level
        else:
            high = level
    return _rounded(_shares(kinds, caps, high), caps, engine.layer_count)


def _shares(
    kinds: Sequence[AcceleratorKind], caps: Sequence[int], level: float
) -> list[float]:
    """Return layers by speed, up to each runner's cap."""
    return [
        min(float(cap), level / kind.step_factor)
        for kind, cap in zip(kinds, caps, strict=True)
    ]


def _rounded(shares: Sequence[float], caps: Sequence[int], total: int) -> list[int]:
    """Round shares to whole layers with the given total."""
    counts = [math.floor(share) for share in shares]
    by_rest = sorted(
        range(len(shares)), key=lambda index: counts[index] - shares[index]
    )
    for index in itertools.cycle(by_rest):
        if sum(counts) >= total:
            return counts
        if counts[index] < caps[index]:
            counts[index] += 1
    return counts


def chain_requests_per_s(
    kinds: Sequence[AcceleratorKind], counts: Sequence[int], engine: EngineSpec
) -> float:
    """Return the usual requests a second that a chain can serve.

    KV memory bounds how many run at once, their tokens' time how long each
    takes, and the busiest runner how much goes through.

    .. versionadded:: 26.1.0
    """
    parts = [(kind, n) for kind, n in zip(kinds, counts, strict=True) if n]
    room_tokens = min(engine.kv_tokens(kind, layers) for kind, layers in parts)
    at_once = min(room_tokens / engine.usual_tokens, float(engine.slots))
    if at_once < 1:
        return 0.0
    writers = max(1.0, at_once / len(parts))
    token_ms = sum(
        engine.step_ms_of(kind, layers, writers=writers) + _HOP_MS
        for kind, layers in parts
    )
    read_ms = sum(_usual_read_ms(engine, kind, layers) for kind, layers in parts)
    by_time = at_once / (engine.usual_answer_tokens * token_ms + read_ms)
    busiest_ms = max(_busy_ms(engine, kind, layers) for kind, layers in parts)
    return 1000.0 * min(by_time, _BUSY_LIMIT / busiest_ms)


def _usual_read_ms(engine: EngineSpec, kind: AcceleratorKind, layers: int) -> float:
    """Return how long a usual prompt's reading takes, in ms."""
    return engine.read_ms_of(kind, layers, engine.usual_prompt_tokens)


def _busy_ms(engine: EngineSpec, kind: AcceleratorKind, layers: int) -> float:
    """Return a runner's time for a usual request beside a full batch, in ms."""
    one = engine.step_ms_of(kind, layers, writers=1.0)
    marginal_ms = engine.step_ms_of(kind, layers, writers=2.0) - one
    writing_ms = engine.usual_answer_tokens * marginal_ms
    return writing_ms + _usual_read_ms(engine, kind, layers)


def _fill_empty(
    hosts: Sequence[Host], engine: EngineSpec, *, copying: Collection[str]
) -> dict[str, LayerRange]:
    """Return what empty hosts take over, where others hold layers already."""
    orders: dict[str, LayerRange] = {}
    held = [host for host in hosts if host.held]
    for host in hosts:
        if host.held:
            continue
        layers = _lacking_layers(host, held, engine)
        if layers is None and host.id in copying:
            layers = _scarcest_layers(host, held, engine)
        if layers is not None:
            orders[host.id] = layers
            held.append(host._replace(held=layers))
    return orders


def _lacking_layers(
    host: Host, held: Sequence[Host], engine: EngineSpec
) -> LayerRange | None:
    """Return layers that a host's zone lacks, as far as they fit."""
    need = _need_by_layer(host.availability_zone, held, engine)
    window = _neediest_window(host, held, need, engine)
    lacking = [layer for layer in range(*window) if need[layer]]
    if not lacking:
        return None
    return LayerRange(lacking[0], lacking[-1] + 1)


def _scarcest_layers(
    host: Host, held: Sequence[Host], engine: EngineSpec
) -> LayerRange | None:
    """Return the layers whose holders have the least room for KV cache."""
    room_tokens = [0.0] * engine.layer_count
    for other in held:
        if other.held is None:
            continue
        tokens = engine.kv_tokens(engine.kinds[other.kind], _size(other.held))
        for layer in range(*other.held):
            room_tokens[layer] += tokens
    need = [1.0 / (1.0 + tokens) for tokens in room_tokens]
    window = _neediest_window(host, held, need, engine)
    return window if _size(window) else None


def _neediest_window(
    host: Host, held: Sequence[Host], need: Sequence[float], engine: EngineSpec
) -> LayerRange:
    """Return the range of as many layers as fit that is needed most."""
    most = engine.most_layers(
        engine.kinds[host.kind], kv_tokens=_zone_kv_tokens(host, held, engine)
    )
    starts = range(engine.layer_count - most + 1)
    first = max(starts, key=lambda start: (sum(need[start : start + most]), -start))
    return LayerRange(first, first + most)


def _size(layers: LayerRange) -> int:
    """Return how many layers a range has."""
    return layers.end - layers.first


def _move_copies(
    hosts: Sequence[Host], orders: Mapping[str, LayerRange], engine: EngineSpec
) -> dict[str, LayerRange]:
    """Move runners that only hold copies to layers that their zone lacks."""
    held = _with_orders(hosts, orders)
    moves: dict[str, LayerRange] = {}
    for host in held:
        if host.held is None or host.id in orders:
            continue
        others = [one for one in held if one.id != host.id]
        need = _need_by_layer(host.availability_zone, others, engine)
        if any(need[layer] for layer in range(*host.held)):
            continue
        layers = _lacking_layers(host, others, engine)
        if layers is not None:
            moves[host.id] = layers
            held = [*others, host._replace(held=layers)]
    return moves


def _zone_kv_tokens(host: Host, held: Sequence[Host], engine: EngineSpec) -> float:
    """Return the KV cache that the zone's holders have room for."""
    rooms = [
        engine.kv_tokens(engine.kinds[other.kind], _size(other.held))
        for other in held
        if other.held and other.availability_zone == host.availability_zone
    ]
    least = _LEAST_REQUESTS * engine.usual_tokens
    return max(least, min(rooms, default=least))


def _need_by_layer(zone: str, held: Sequence[Host], engine: EngineSpec) -> list[float]:
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


def _repair_zones(hosts: Sequence[Host], engine: EngineSpec) -> dict[str, LayerRange]:
    """Make zones whole that lack layers, with the runners they have.

    Neighbours of a hole take it over where they have the memory; layers are
    only added then.  Otherwise the zone is divided anew, if others hold the
    whole model meanwhile.
    """
    orders: dict[str, LayerRange] = {}
    for zone in sorted({host.availability_zone for host in hosts}):
        inside = [host for host in hosts if host.availability_zone == zone]
        holes = _holes(inside, engine)
        if not holes or not any(host.held for host in inside):
            continue
        stretched = _stretch_over(inside, holes, engine)
        if stretched is not None:
            orders |= stretched
            continue
        outside = [host for host in hosts if host.availability_zone != zone]
        if _can_hold(inside, engine) and not _holes(outside, engine):
            for chain in _best_chains(inside, engine):
                orders.update(chain.layers)
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
        best_tokens = _LEAST_REQUESTS * engine.usual_tokens
        for split in range(hole.first, hole.end + 1):
            option = _split_hole(_with_orders(hosts, orders), hole, split)
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
    kinds = {host.id: engine.kinds[host.kind] for host in hosts}
    return min(
        engine.kv_tokens(kinds[host_id], _size(each))
        for host_id, each in layers.items()
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
