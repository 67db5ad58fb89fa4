# SPDX-License-Identifier: MIT
"""Groups fast accelerators in chains of few stages, and the others in further chains.

Load pattern: a fleet with several kinds of accelerators at less than half of its
capacity, the rest of which is reserved for the loss of a zone or a burst.  With an even
distribution, each chain has its part of the fast accelerators and waits for its slow
ones at each token.  Grouped, the fast ones serve the usual load alone: streams are
shorter, fewer are in flight at a failure, and fewer stages fail less often.  The others
serve the excess, and hold the same layers in the same zone for moves of streams.

The number of the fastest hosts to group is searched.  Throughput is never reduced for
it: a set of hosts that serves fewer requests per second in tiers, or is hardly faster,
is distributed evenly.
"""

from __future__ import annotations

from collections.abc import Sequence

from ._chains import Chain, KnownSplits, best_chains, speed_sort_key
from ._hosts import Host
from .engine_model import EngineSpec


#: The sizes of the first tier, in multiples of the minimum for a chain.  Each takes a
#: search of chains; between them throughput differs by a few percent.
_TIER_SIZES = (1.0, 1.25, 1.5, 2.0, 2.5, 3.0)
#: The fraction of the maximum throughput for which token time is optimized: at this
#: load, two of three zones stay below their maximum if the third is lost while traffic
#: is a fifth above its mean.
_USUAL_LOAD_FRACTION = 0.4
#: The fraction of a chain's throughput that is used before other chains are as fast:
#: requests avoid a path with more load (`local_paths.ZONE_FULLNESS`).
_FILL_FRACTION = 0.6
#: The minimum number of typical requests that a chain has to run concurrently.  The
#: hosts of a smaller chain are worth more as replicas: a burst from one instance fills
#: it, and the runners of the zone then extend their layers until they run as few.
_MIN_CONCURRENT_REQUESTS = 30.0
#: The fraction by which token time has to improve for tiers to be used.  Evenly
#: distributed chains leave more spare runners for replicas: a fleet with tokens 1%
#: faster in one zone of 12, and one spare fewer, scored 0.06 less on a day.
_MIN_GAIN = 0.1


def tiered_chains(hosts: Sequence[Host], engine: EngineSpec) -> list[Chain]:
    """Return the chains of a group with the lowest token time at the usual load.

    Args:
        hosts: The group, such as the hosts of a zone.
        engine: The engine's specification.
    """
    split_cache: KnownSplits = {}
    even = best_chains(hosts, engine, split_cache=split_cache)
    if not even:
        return []
    options = [even]
    ordered = sorted(hosts, key=lambda host: speed_sort_key(host, engine))
    for size in _first_tier_sizes(ordered, engine, split_cache):
        first = best_chains(ordered[:size], engine, split_cache=split_cache)
        others = best_chains(ordered[size:], engine, split_cache=split_cache)
        options.append(
            [
                chain
                for chain in (*first, *others)
                if chain.concurrent_requests >= _MIN_CONCURRENT_REQUESTS
            ]
        )
    min_rate = _total_rate(even)
    load = min_rate * _USUAL_LOAD_FRACTION
    sufficient = [chains for chains in options if _total_rate(chains) >= min_rate]
    best = min(sufficient, key=lambda chains: usual_token_ms(chains, load))
    max_token_ms = (1.0 - _MIN_GAIN) * usual_token_ms(even, load)
    return best if usual_token_ms(best, load) <= max_token_ms else even


def usual_token_ms(chains: Sequence[Chain], requests_per_s: float) -> float:
    """Return the mean token time at some load, in ms.

    The fastest chains are used first, each up to the load at which requests avoid it;
    the excess has the token time of the slowest.

    Args:
        chains: The chains, at least one.
        requests_per_s: The load, above zero.
    """
    remaining = requests_per_s
    total_ms = 0.0
    slowest_ms = 0.0
    for chain in sorted(chains, key=lambda chain: chain.token_ms):
        assigned = min(remaining, _FILL_FRACTION * chain.requests_per_s)
        total_ms += assigned * chain.token_ms
        remaining -= assigned
        slowest_ms = chain.token_ms
    return (total_ms + remaining * slowest_ms) / requests_per_s


def _first_tier_sizes(
    ordered: Sequence[Host], engine: EngineSpec, split_cache: KnownSplits
) -> list[int]:
    """Return the numbers of the fastest hosts to try as the first tier."""
    for min_size in range(1, len(ordered)):
        if best_chains(ordered[:min_size], engine, split_cache=split_cache):
            sizes = {round(min_size * factor) for factor in _TIER_SIZES}
            return sorted(size for size in sizes if size < len(ordered))
    return []


def _total_rate(chains: Sequence[Chain]) -> float:
    """Return the total throughput of chains, in requests per second."""
    return sum(chain.requests_per_s for chain in chains)
