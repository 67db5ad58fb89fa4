# SPDX-License-Identifier: MIT
"""Quick cards together in chains of few stages, and the others in chains behind them.

Load pattern: a fleet of unlike cards that carries less than half of what it could
serve, so that it holds out when a zone is lost or a burst comes.  Dealt out evenly,
each chain has its share of the quick cards and waits at each token for its slow ones.
Together, the quick ones serve the usual load alone: streams end sooner, fewer are
under way when something fails, and fewer stages fail less often.  The others take
what goes beyond, and hold the same layers in the same zone for moves.

How many of the quickest hosts go together is searched.  No request a second is given
up for it: a group that serves fewer in tiers, or hardly quicker, is dealt out evenly.
"""

from __future__ import annotations

from collections.abc import Sequence

from ._chains import Chain, KnownSplits, best_chains, speed_sort_key
from ._hosts import Host
from .engine_model import EngineSpec


#: How many hosts the first tier gets, in multiples of the fewest that make a chain.
#: Each costs a search of chains; between them the rates differ by some hundredths.
_TIER_SIZES = (1.0, 1.25, 1.5, 2.0, 2.5, 3.0)
#: The part of the most requests a second for which tokens should be quick: what is
#: left when a zone of three goes, and traffic is a fifth above its mean, stays below.
_USUAL_LOAD_PART = 0.4
#: The part of a chain's requests a second that it gets before others are as quick: a
#: fuller path is left for others (`local_paths.ZONE_FULLNESS`).
_FILLED_PART = 0.6
#: The fewest usual requests that a chain has to have room for at once.  What a smaller
#: one takes is worth more as copies: one instance's burst fills it, and each runner of
#: the zone then widens its range down to the same room.
_LEAST_ROOM = 30.0
#: How much quicker tokens have to be, as a part, for tiers to be used.  Chains dealt
#: out evenly leave more runners over that hold copies: a fleet of which one zone of 12
#: had tokens a hundredth quicker, and one spare less, was worth 0.06 less on a day.
_LEAST_GAIN = 0.1


def tiered_chains(hosts: Sequence[Host], engine: EngineSpec) -> list[Chain]:
    """Return the chains of a group with the quickest tokens at the usual load.

    Args:
        hosts: The group, such as the hosts of a zone.
        engine: The engine's figures.
    """
    known: KnownSplits = {}
    dealt = best_chains(hosts, engine, split_cache=known)
    if not dealt:
        return []
    options = [dealt]
    ordered = sorted(hosts, key=lambda one: speed_sort_key(one, engine))
    for size in _first_tier_sizes(ordered, engine, known):
        first = best_chains(ordered[:size], engine, split_cache=known)
        behind = best_chains(ordered[size:], engine, split_cache=known)
        options.append(
            [one for one in (*first, *behind) if one.concurrent_requests >= _LEAST_ROOM]
        )
    enough = _rate(dealt)
    load = enough * _USUAL_LOAD_PART
    good = [one for one in options if _rate(one) >= enough]
    best = min(good, key=lambda one: usual_token_ms(one, load))
    least_ms = (1.0 - _LEAST_GAIN) * usual_token_ms(dealt, load)
    return best if usual_token_ms(best, load) <= least_ms else dealt


def usual_token_ms(chains: Sequence[Chain], requests_per_s: float) -> float:
    """Return how long a token takes on average at some load, in ms.

    Quick chains are filled first, each up to where paths are left for others; what is
    beyond that takes as long as in the slowest.

    Args:
        chains: At least one.
        requests_per_s: The load, above zero.
    """
    left = requests_per_s
    total_ms = 0.0
    slowest_ms = 0.0
    for chain in sorted(chains, key=lambda one: one.token_ms):
        taken = min(left, _FILLED_PART * chain.requests_per_s)
        total_ms += taken * chain.token_ms
        left -= taken
        slowest_ms = chain.token_ms
    return (total_ms + left * slowest_ms) / requests_per_s


def _first_tier_sizes(
    ordered: Sequence[Host], engine: EngineSpec, known: KnownSplits
) -> list[int]:
    """Return how many of the quickest hosts to try as the first tier."""
    for least in range(1, len(ordered)):
        if best_chains(ordered[:least], engine, split_cache=known):
            sizes = {round(least * part) for part in _TIER_SIZES}
            return sorted(size for size in sizes if size < len(ordered))
    return []


def _rate(chains: Sequence[Chain]) -> float:
    """Return the requests a second of all chains."""
    return sum(chain.requests_per_s for chain in chains)
