# SPDX-License-Identifier: MIT
"""Dividing runners into chains that tile a model.

How many chains a group of runners makes, and how their layers are split, is
searched with the engine's own formula for the most requests a second.
"""

from __future__ import annotations

import collections
import itertools
import math

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from ._hosts import Host, can_hold
from .engine_model import HOP_MS, AcceleratorKind, EngineSpec
from .layers import LayerRange


#: The part of a runner's time that requests may take up; above it queues
#: grow without bound (M/D/1 waits double between 0.8 and 0.9).
_BUSY_LIMIT = 0.85
#: Sizes of KV cache that are tried, as parts of the most that fits.
_KV_PARTS = tuple(part / 20 for part in range(4, 20))
#: How much more fast runners get than slow ones: a runner's layers go with its speed
#: to the power of one of these.  At 1 all steps take equally long; above it tokens
#: come sooner, and slow runners are left over as spares.
_SPEED_POWERS = (1.0, 2.0)
#: How many of the slowest runners are left out of a chain, as parts of all.
_LEFT_OUT_PARTS = (0.0, 0.1, 0.2, 0.3, 0.4, 0.5)
#: The part of the most requests a second that a chain may give up for tokens that
#: come sooner: streams then end sooner, and fewer run when something fails.
_RATE_GIVEN_UP = 0.12
#: Halvings in the search for a split; 20 leave less than a thousandth of a layer.
_SPLIT_HALVINGS = 20
_MS_PER_S = 1000.0


class Chain(NamedTuple):
    """Runners that tile the model, with what they can serve."""

    layers: Mapping[str, LayerRange]
    requests_per_s: float
    token_ms: float
    #: Usual requests that there is room for at once.
    concurrent_requests: float


class _Split(NamedTuple):
    """Layers of the hosts of a chain, in its order, with what it can serve."""

    counts: tuple[int, ...]
    requests_per_s: float
    token_ms: float
    at_once: float


#: By the kinds of a chain's hosts, in its order, their best split, or None.
KnownSplits = dict[tuple[str, ...], _Split | None]


def group_by_zone(hosts: Sequence[Host], engine: EngineSpec) -> list[list[Host]]:
    """Group hosts by zone; zones that can't hold the model go together."""
    by_zone: defaultdict[str, list[Host]] = defaultdict(list)
    for host in hosts:
        by_zone[host.availability_zone].append(host)
    whole = []
    partial: list[Host] = []
    for _, group in sorted(by_zone.items()):
        if can_hold(group, engine):
            whole.append(group)
        else:
            partial.extend(group)
    if can_hold(partial, engine) or not whole:
        return [*whole, partial]
    return whole


def best_chains(
    hosts: Sequence[Host], engine: EngineSpec, *, split_cache: KnownSplits | None = None
) -> list[Chain]:
    """Return the chains of a group that serve the most requests a second.

    Args:
        hosts: The group.
        engine: The engine's figures.
        split_cache: Splits that were found before, for the same engine; it is added to.
    """
    splits = {} if split_cache is None else split_cache
    best: list[Chain] = []
    best_rate = 0.0
    for count in range(1, len(hosts) + 1):
        deals = _deal(hosts, engine, count)
        chains = [_known_split(deal, engine, splits) for deal in deals]
        made = [chain for chain in chains if chain is not None]
        if len(made) < count:
            break
        rate = sum(chain.requests_per_s for chain in made)
        if rate > best_rate:
            best, best_rate = made, rate
    return best


def _known_split(
    hosts: Sequence[Host], engine: EngineSpec, known: KnownSplits
) -> Chain | None:
    """Return the best split over hosts, searched once for the same kinds."""
    kinds = tuple(host.kind for host in hosts)
    if kinds not in known:
        known[kinds] = _best_split([engine.kinds[kind] for kind in kinds], engine)
    split = known[kinds]
    if split is None:
        return None
    layers = _tile(hosts, split.counts)
    return Chain(layers, *split[1:])


def _deal(hosts: Sequence[Host], engine: EngineSpec, count: int) -> list[list[Host]]:
    """Deal hosts into groups with about the same memory."""
    groups: list[list[Host]] = [[] for _ in range(count)]
    memory_mb = [0.0] * count
    for host in sorted(hosts, key=lambda one: speed_sort_key(one, engine)):
        least = memory_mb.index(min(memory_mb))
        groups[least].append(host)
        memory_mb[least] += engine.kinds[host.kind].memory_mb
    return groups


def speed_sort_key(host: Host, engine: EngineSpec) -> tuple[float, str]:
    """Sort key that puts fast hosts first."""
    return engine.kinds[host.kind].step_factor, host.id


def _best_split(kinds: Sequence[AcceleratorKind], engine: EngineSpec) -> _Split | None:
    """Return the best split of the model over hosts, or None if none fits.

    Of those that serve nearly the most requests, the one with the quickest tokens.
    """
    splits = _splits(kinds, engine)
    if not splits:
        return None
    enough = max(one.requests_per_s for one in splits) * (1.0 - _RATE_GIVEN_UP)
    good = [one for one in splits if one.requests_per_s >= enough]
    return min(good, key=lambda one: (one.token_ms, -one.requests_per_s))


def _splits(kinds: Sequence[AcceleratorKind], engine: EngineSpec) -> list[_Split]:
    """Return the splits of the model over hosts, fastest first, that are weighed."""
    most_tokens = _most_kv_tokens(kinds, engine)
    weighed: set[tuple[int, ...]] = set()
    # Sizes of KV cache that come to the same caps come to the same split: 14,800 splits
    # instead of 31,500 where 99 runners are divided.
    known: set[tuple[int, float, tuple[int, ...]]] = set()
    lengths = {len(kinds) - int(part * len(kinds)) for part in _LEFT_OUT_PARTS}
    for length, part in itertools.product(sorted(lengths), _KV_PARTS):
        used = collections.Counter(kinds[:length])
        caps = _caps(used, engine, kv_tokens=most_tokens * part)
        for power in _SPEED_POWERS:
            key = (length, power, tuple(caps.values()))
            if key in known:
                continue
            known.add(key)
            counts = _split(kinds[:length], used, caps, engine, speed_power=power)
            if counts is not None:
                weighed.add(tuple(counts))
    return [
        _Split(counts, *_measured(_holding(kinds[: len(counts)], counts), engine))
        for counts in sorted(weighed)
    ]


def _most_kv_tokens(kinds: Sequence[AcceleratorKind], engine: EngineSpec) -> float:
    """Return the KV cache that a chain could have if layers were divisible."""
    memory_mb = sum(kind.memory_mb for kind in kinds)
    left_mb = memory_mb - engine.layer_count * engine.layer_mb
    return max(0.0, left_mb) / (engine.layer_count * engine.kv_layer_token_mb)


def _tile(hosts: Sequence[Host], counts: Sequence[int]) -> dict[str, LayerRange]:
    """Give each host its layers, one after the other."""
    used = hosts[: len(counts)]
    ends = list(itertools.accumulate(counts))
    return {
        host.id: LayerRange(end - count, end)
        for host, count, end in zip(used, counts, ends, strict=True)
        if count
    }


def split_layers(
    kinds: Sequence[AcceleratorKind],
    engine: EngineSpec,
    *,
    kv_tokens: float,
    speed_power: float = 1.0,
) -> list[int] | None:
    """Split the model by the runners' speed, as far as their memory goes.

    Args:
        kinds: The runners' kinds, in the chain's order.
        engine: The engine's figures.
        kv_tokens: Tokens whose KV cache has to fit on each runner.
        speed_power: To which power of its speed a runner gets layers; at 1 all
            steps take equally long.

    Returns:
        How many layers each runner holds, or None if they don't fit.

    .. versionadded:: 26.1.0
    """
    used = collections.Counter(kinds)
    caps = _caps(used, engine, kv_tokens=kv_tokens)
    return _split(kinds, used, caps, engine, speed_power=speed_power)


def _caps(
    kinds: Iterable[AcceleratorKind], engine: EngineSpec, *, kv_tokens: float
) -> dict[AcceleratorKind, int]:
    """Return the most layers that a runner of each kind holds beside its KV cache."""
    return {kind: engine.max_layers(kind, kv_tokens=kv_tokens) for kind in kinds}


def _split(
    kinds: Sequence[AcceleratorKind],
    used: Mapping[AcceleratorKind, int],
    caps: Mapping[AcceleratorKind, int],
    engine: EngineSpec,
    *,
    speed_power: float,
) -> list[int] | None:
    """Split the model as `split_layers` does, each kind of runner looked at once.

    Args:
        kinds: The runners' kinds, in the chain's order.
        used: By kind, how many runners there are.
        caps: By kind, the most layers of a runner.
        engine: The engine's figures.
        speed_power: To which power of its speed a runner gets layers.
    """
    if sum(n * caps[kind] for kind, n in used.items()) < engine.layer_count:
        return None
    speeds = {kind: kind.step_factor**-speed_power for kind in used}
    alike: collections.Counter[tuple[float, int]] = collections.Counter()
    for kind, n in used.items():
        alike[speeds[kind], caps[kind]] += n
    level = _level(
        [(n, cap, speed) for (speed, cap), n in alike.items()], engine.layer_count
    )
    shares = {kind: min(float(caps[kind]), level * speeds[kind]) for kind in used}
    return _rounded(
        [shares[kind] for kind in kinds],
        [caps[kind] for kind in kinds],
        engine.layer_count,
    )


def _level(alike: Sequence[tuple[int, int, float]], layer_count: int) -> float:
    """Return how many layers a runner of speed 1 gets, so that all are held.

    Args:
        alike: How many runners have which cap and speed.
        layer_count: The model's layers.
    """
    low, high = 0.0, layer_count / min(speed for _, _, speed in alike)
    for _ in range(_SPLIT_HALVINGS):
        level = (low + high) / 2
        shared = sum([n * min(cap, level * speed) for n, cap, speed in alike])
        if shared < layer_count:
            low = level
        else:
            high = level
    return high


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
    return _measured(_holding(kinds, counts), engine).requests_per_s


class _Measures(NamedTuple):
    """What a chain can serve."""

    requests_per_s: float
    token_ms: float
    at_once: float


def _measured(
    parts: Sequence[tuple[AcceleratorKind, int]], engine: EngineSpec
) -> _Measures:
    """Return what a chain of kinds, with how many layers each holds, can serve."""
    at_once = _at_once(parts, engine)
    writers = max(1.0, at_once / len(parts))
    token_ms = sum(
        engine.step_time_ms(kind, layers, batch_size=writers) + HOP_MS
        for kind, layers in parts
    )
    if at_once < 1:
        return _Measures(0.0, token_ms, at_once)
    read_ms = sum(engine.usual_prefill_ms(kind, layers) for kind, layers in parts)
    by_time = at_once / (engine.usual_answer_tokens * token_ms + read_ms)
    busiest_ms = max(_busy_ms(engine, kind, layers) for kind, layers in set(parts))
    requests_per_s = _MS_PER_S * min(by_time, _BUSY_LIMIT / busiest_ms)
    return _Measures(requests_per_s, token_ms, at_once)


def _holding(
    kinds: Sequence[AcceleratorKind], counts: Sequence[int]
) -> list[tuple[AcceleratorKind, int]]:
    """Return the kinds that hold layers, with how many."""
    return [(kind, n) for kind, n in zip(kinds, counts, strict=True) if n]


def _at_once(parts: Sequence[tuple[AcceleratorKind, int]], engine: EngineSpec) -> float:
    """Return how many usual requests a chain has room for."""
    room_tokens = min(
        engine.kv_capacity_tokens(kind, layers) for kind, layers in set(parts)
    )
    return min(room_tokens / engine.usual_tokens, float(engine.slots))


def _busy_ms(engine: EngineSpec, kind: AcceleratorKind, layers: int) -> float:
    """Return a runner's time for a usual request beside a full batch, in ms."""
    one = engine.step_time_ms(kind, layers, batch_size=1.0)
    marginal_ms = engine.step_time_ms(kind, layers, batch_size=2.0) - one
    writing_ms = engine.usual_answer_tokens * marginal_ms
    return writing_ms + engine.usual_prefill_ms(kind, layers)
