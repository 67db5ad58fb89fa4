# SPDX-License-Identifier: MIT
"""Partitioning of runners into chains that each hold a whole model.

The number of chains and the layer split of each chain are searched for the highest
request throughput, computed with the engine's cost model.
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


#: Max utilization of a runner; queues grow without bound above it (M/D/1 waiting
#: times double between 0.8 and 0.9).
_MAX_UTILIZATION = 0.85
#: KV cache sizes to try, as fractions of the maximum that fits.
_KV_CACHE_FRACTIONS = tuple(part / 20 for part in range(4, 20))
#: Exponents of a runner's speed in its share of the layers.  With 1 the steps have
#: equal duration; higher values shorten the time per token and leave slow runners
#: unused as spares.
_SPEED_POWERS = (1.0, 2.0)
#: Fractions of a group, slowest runners first, to exclude from a chain.
_EXCLUDED_FRACTIONS = (0.0, 0.1, 0.2, 0.3, 0.4, 0.5)
#: Fraction of its max throughput that a chain may lose to a shorter time per token:
#: streams finish sooner, so a failure affects fewer of them.
_MAX_THROUGHPUT_LOSS = 0.12
#: Bisection steps of a layer split; 20 leave an error below 0.001 layers.
_BISECTION_STEPS = 20
_MS_PER_S = 1000.0


class Chain(NamedTuple):
    """Runners that together hold the model, with their capacity."""

    layers: Mapping[str, LayerRange]
    requests_per_s: float
    token_ms: float
    #: Max number of concurrent requests of usual size.
    concurrent_requests: float


class _Split(NamedTuple):
    """Layer counts of a chain's hosts in chain order, with the chain's capacity."""

    counts: tuple[int, ...]
    requests_per_s: float
    token_ms: float
    concurrent_requests: float


#: Best split (or None) by the kinds of a chain's hosts in chain order.
KnownSplits = dict[tuple[str, ...], _Split | None]


def group_by_zone(hosts: Sequence[Host], engine: EngineSpec) -> list[list[Host]]:
    """Group hosts by zone; merge the zones that can't hold the model alone."""
    by_zone: defaultdict[str, list[Host]] = defaultdict(list)
    for host in hosts:
        by_zone[host.availability_zone].append(host)
    complete = []
    partial: list[Host] = []
    for _, group in sorted(by_zone.items()):
        if can_hold(group, engine):
            complete.append(group)
        else:
            partial.extend(group)
    if can_hold(partial, engine) or not complete:
        return [*complete, partial]
    return complete


def best_chains(
    hosts: Sequence[Host], engine: EngineSpec, *, split_cache: KnownSplits | None = None
) -> list[Chain]:
    """Return the chains of a group with the highest total throughput.

    Args:
        hosts: The group.
        engine: The engine's cost model.
        split_cache: Cache of splits for the same engine; new splits are added to it.
    """
    splits = {} if split_cache is None else split_cache
    best: list[Chain] = []
    best_rate = 0.0
    for count in range(1, len(hosts) + 1):
        groups = _balanced_groups(hosts, engine, count)
        candidates = [_cached_split(group, engine, splits) for group in groups]
        chains = [chain for chain in candidates if chain is not None]
        if len(chains) < count:
            break
        rate = sum(chain.requests_per_s for chain in chains)
        if rate > best_rate:
            best, best_rate = chains, rate
    return best


def _cached_split(
    hosts: Sequence[Host], engine: EngineSpec, cache: KnownSplits
) -> Chain | None:
    """Return the best split over hosts, searched once per sequence of kinds."""
    kinds = tuple(host.kind for host in hosts)
    if kinds not in cache:
        cache[kinds] = _best_split([engine.kinds[kind] for kind in kinds], engine)
    split = cache[kinds]
    if split is None:
        return None
    layers = _assign_layers(hosts, split.counts)
    return Chain(layers, *split[1:])


def _balanced_groups(
    hosts: Sequence[Host], engine: EngineSpec, count: int
) -> list[list[Host]]:
    """Partition hosts into groups with about the same total memory."""
    groups: list[list[Host]] = [[] for _ in range(count)]
    memory_mb = [0.0] * count
    for host in sorted(hosts, key=lambda host: speed_sort_key(host, engine)):
        smallest = memory_mb.index(min(memory_mb))
        groups[smallest].append(host)
        memory_mb[smallest] += engine.kinds[host.kind].memory_mb
    return groups


def speed_sort_key(host: Host, engine: EngineSpec) -> tuple[float, str]:
    """Sort key that orders hosts from fast to slow."""
    return engine.kinds[host.kind].step_factor, host.id


def _best_split(kinds: Sequence[AcceleratorKind], engine: EngineSpec) -> _Split | None:
    """Return the best split of the model over hosts, or None if none fits.

    Among the splits with nearly the highest throughput, the one with the shortest
    time per token.
    """
    splits = _candidate_splits(kinds, engine)
    if not splits:
        return None
    min_rate = max(split.requests_per_s for split in splits) * (
        1.0 - _MAX_THROUGHPUT_LOSS
    )
    good = [split for split in splits if split.requests_per_s >= min_rate]
    return min(good, key=lambda split: (split.token_ms, -split.requests_per_s))


def _candidate_splits(
    kinds: Sequence[AcceleratorKind], engine: EngineSpec
) -> list[_Split]:
    """Return the candidate splits of the model over hosts, sorted from fast to slow."""
    max_tokens = _max_kv_tokens(kinds, engine)
    candidates: set[tuple[int, ...]] = set()
    # KV cache sizes with the same layer caps give the same split: 14,800 splits are
    # computed instead of 31,500 for 99 runners.
    visited: set[tuple[int, float, tuple[int, ...]]] = set()
    lengths = {len(kinds) - int(part * len(kinds)) for part in _EXCLUDED_FRACTIONS}
    for length, part in itertools.product(sorted(lengths), _KV_CACHE_FRACTIONS):
        runner_counts = collections.Counter(kinds[:length])
        caps = _layer_caps(runner_counts, engine, kv_tokens=max_tokens * part)
        for power in _SPEED_POWERS:
            key = (length, power, tuple(caps.values()))
            if key in visited:
                continue
            visited.add(key)
            counts = _split_by_speed(
                kinds[:length], runner_counts, caps, engine, speed_power=power
            )
            if counts is not None:
                candidates.add(tuple(counts))
    return [
        _Split(
            counts,
            *_chain_capacity(_layer_holdings(kinds[: len(counts)], counts), engine),
        )
        for counts in sorted(candidates)
    ]


def _max_kv_tokens(kinds: Sequence[AcceleratorKind], engine: EngineSpec) -> float:
    """Return the KV cache size of a chain if layers were divisible, in tokens."""
    memory_mb = sum(kind.memory_mb for kind in kinds)
    free_mb = memory_mb - engine.layer_count * engine.layer_mb
    return max(0.0, free_mb) / (engine.layer_count * engine.kv_layer_token_mb)


def _assign_layers(
    hosts: Sequence[Host], counts: Sequence[int]
) -> dict[str, LayerRange]:
    """Assign consecutive layer ranges to the hosts, by host id."""
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
    """Split the model by the runners' speed, within their memory.

    Args:
        kinds: The runners' kinds, in chain order.
        engine: The engine's cost model.
        kv_tokens: Tokens whose KV cache has to fit on each runner.
        speed_power: Exponent of a runner's speed in its share of the layers; with 1
            the steps have equal duration.

    Returns:
        The number of layers of each runner, or None if they don't fit.

    .. versionadded:: 26.1.0
    """
    runner_counts = collections.Counter(kinds)
    caps = _layer_caps(runner_counts, engine, kv_tokens=kv_tokens)
    return _split_by_speed(kinds, runner_counts, caps, engine, speed_power=speed_power)


def _layer_caps(
    kinds: Iterable[AcceleratorKind], engine: EngineSpec, *, kv_tokens: float
) -> dict[AcceleratorKind, int]:
    """Return the max number of layers that fit beside the KV cache, by kind."""
    return {kind: engine.max_layers(kind, kv_tokens=kv_tokens) for kind in kinds}


def _split_by_speed(
    kinds: Sequence[AcceleratorKind],
    runner_counts: Mapping[AcceleratorKind, int],
    caps: Mapping[AcceleratorKind, int],
    engine: EngineSpec,
    *,
    speed_power: float,
) -> list[int] | None:
    """Split the model as `split_layers` does, computed once per kind of runner.

    Args:
        kinds: The runners' kinds, in chain order.
        runner_counts: The number of runners, by kind.
        caps: The max number of layers of a runner, by kind.
        engine: The engine's cost model.
        speed_power: Exponent of a runner's speed in its share of the layers.
    """
    if sum(n * caps[kind] for kind, n in runner_counts.items()) < engine.layer_count:
        return None
    speeds = {kind: kind.step_factor**-speed_power for kind in runner_counts}
    group_sizes: collections.Counter[tuple[float, int]] = collections.Counter()
    for kind, n in runner_counts.items():
        group_sizes[speeds[kind], caps[kind]] += n
    layers_per_speed = _layers_per_speed(
        [(n, cap, speed) for (speed, cap), n in group_sizes.items()],
        engine.layer_count,
    )
    shares = {
        kind: min(float(caps[kind]), layers_per_speed * speeds[kind])
        for kind in runner_counts
    }
    return _round_shares(
        [shares[kind] for kind in kinds],
        [caps[kind] for kind in kinds],
        engine.layer_count,
    )


def _layers_per_speed(
    groups: Sequence[tuple[int, int, float]], layer_count: int
) -> float:
    """Return the number of layers per unit of speed at which all layers are assigned.

    Args:
        groups: Number of runners, layer cap and speed of each group of equal runners.
        layer_count: The number of layers of the model.
    """
    low, high = 0.0, layer_count / min(speed for _, _, speed in groups)
    for _ in range(_BISECTION_STEPS):
        middle = (low + high) / 2
        assigned = sum([n * min(cap, middle * speed) for n, cap, speed in groups])
        if assigned < layer_count:
            low = middle
        else:
            high = middle
    return high


def _round_shares(
    shares: Sequence[float], caps: Sequence[int], total: int
) -> list[int]:
    """Round shares to integer layer counts with the given total."""
    counts = [math.floor(share) for share in shares]
    by_remainder = sorted(
        range(len(shares)), key=lambda index: counts[index] - shares[index]
    )
    for index in itertools.cycle(by_remainder):
        if sum(counts) >= total:
            return counts
        if counts[index] < caps[index]:
            counts[index] += 1
    return counts


def chain_requests_per_s(
    kinds: Sequence[AcceleratorKind], counts: Sequence[int], engine: EngineSpec
) -> float:
    """Return the throughput of a chain, in requests of usual size per second.

    It is limited by the number of concurrent requests (KV cache memory), their
    duration (time per token) and the utilization of the busiest runner.

    .. versionadded:: 26.1.0
    """
    return _chain_capacity(_layer_holdings(kinds, counts), engine).requests_per_s


class _ChainCapacity(NamedTuple):
    """The capacity of a chain."""

    requests_per_s: float
    token_ms: float
    concurrent_requests: float


def _chain_capacity(
    holdings: Sequence[tuple[AcceleratorKind, int]], engine: EngineSpec
) -> _ChainCapacity:
    """Return the capacity of a chain, given as pairs of kind and number of layers."""
    concurrent_requests = _concurrent_requests(holdings, engine)
    batch_size = max(1.0, concurrent_requests / len(holdings))
    token_ms = sum(
        engine.step_time_ms(kind, layers, batch_size=batch_size) + HOP_MS
        for kind, layers in holdings
    )
    if concurrent_requests < 1:
        return _ChainCapacity(0.0, token_ms, concurrent_requests)
    prefill_ms = sum(engine.usual_prefill_ms(kind, layers) for kind, layers in holdings)
    requests_per_ms = concurrent_requests / (
        engine.usual_answer_tokens * token_ms + prefill_ms
    )
    occupancy_ms = max(
        _occupancy_ms(engine, kind, layers) for kind, layers in set(holdings)
    )
    requests_per_s = _MS_PER_S * min(requests_per_ms, _MAX_UTILIZATION / occupancy_ms)
    return _ChainCapacity(requests_per_s, token_ms, concurrent_requests)


def _layer_holdings(
    kinds: Sequence[AcceleratorKind], counts: Sequence[int]
) -> list[tuple[AcceleratorKind, int]]:
    """Return pairs of kind and number of layers, without empty runners."""
    return [(kind, n) for kind, n in zip(kinds, counts, strict=True) if n]


def _concurrent_requests(
    holdings: Sequence[tuple[AcceleratorKind, int]], engine: EngineSpec
) -> float:
    """Return the max number of concurrent requests of usual size in a chain."""
    capacity_tokens = min(
        engine.kv_capacity_tokens(kind, layers) for kind, layers in set(holdings)
    )
    return min(capacity_tokens / engine.usual_tokens, float(engine.slots))


def _occupancy_ms(engine: EngineSpec, kind: AcceleratorKind, layers: int) -> float:
    """Return a runner's time for a usual request beside a full batch, in ms."""
    base_ms = engine.step_time_ms(kind, layers, batch_size=1.0)
    marginal_ms = engine.step_time_ms(kind, layers, batch_size=2.0) - base_ms
    decode_ms = engine.usual_answer_tokens * marginal_ms
    return decode_ms + engine.usual_prefill_ms(kind, layers)
