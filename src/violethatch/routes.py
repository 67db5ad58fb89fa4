# SPDX-License-Identifier: MIT
"""Choosing a route: runners whose layer ranges tile the model.

The layer boundaries of a model are the nodes of a graph and each runner is an
edge from its first layer to the end of its range; a route is a path from 0 to
the number of layers.  `MarginalCost` takes the cheapest path, the other
policies are the baselines it is measured against.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import random

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple, Protocol

from .layers import LayerRange


class Candidate(NamedTuple):
    """A runner as a route's choice sees it.

    Attributes:
        runner_id: Identifies the runner.
        layers: The layers it holds.
        peak_tokens_per_s: Its rate with full batches.
        quickest_s: The quickest step of late, links included, in seconds.
        own: Streams that this instance has on it.
        others: Streams that other instances are thought to have on it.

    .. versionadded:: 26.1.0
    """

    runner_id: str
    layers: LayerRange
    peak_tokens_per_s: float
    quickest_s: float
    own: int
    others: int


class RoutePolicy(Protocol):
    """Chooses routes.

    .. versionadded:: 26.1.0
    """

    def choose(
        self, candidates: Sequence[Candidate], *, layer_count: int
    ) -> tuple[Candidate, ...] | None:
        """Return a route over *candidates*, or None where there is none."""


def cheapest_path(
    candidates: Iterable[Candidate],
    *,
    layer_count: int,
    cost: Callable[[Candidate], float],
    first_layer: int = 0,
) -> tuple[Candidate, ...] | None:
    """Return the path of least total cost, or None if there is no path.

    Args:
        candidates: The runners that may be used.
        layer_count: Where the path has to end.
        cost: The cost of a runner, not negative.
        first_layer: Where the path has to start.

    .. versionadded:: 26.1.0
    """
    # Edges only lead to higher boundaries, so one pass in their order is enough.
    best: dict[int, tuple[float, Candidate | None]] = {first_layer: (0.0, None)}
    for candidate in sorted(candidates, key=lambda item: item.layers):
        reached = best.get(candidate.layers.first)
        if reached is None:
            continue
        total = reached[0] + cost(candidate)
        known = best.get(candidate.layers.end)
        if known is None or total < known[0]:
            best[candidate.layers.end] = (total, candidate)
    return _walk_back(best, layer_count=layer_count, first_layer=first_layer)


def _walk_back(
    best: dict[int, tuple[float, Candidate | None]],
    *,
    layer_count: int,
    first_layer: int,
) -> tuple[Candidate, ...] | None:
    """Follow the best edges from the last layer back to the first."""
    path: list[Candidate] = []
    boundary = layer_count
    while boundary != first_layer:
        edge = best.get(boundary, (0.0, None))[1]
        if edge is None:
            return None
        path.append(edge)
        boundary = edge.layers.first
    return tuple(reversed(path))


def marginal_cost_s(candidate: Candidate) -> float:
    """Return what one more stream on the runner costs all streams, in seconds.

    With n streams on a saturated runner each gets a token every n / peak
    seconds.  One more waits (n + 1) / peak itself and makes each of the n
    others wait 1 / peak longer; the links come on top.

    .. versionadded:: 26.1.0
    """
    streams = candidate.own + candidate.others
    peak = max(candidate.peak_tokens_per_s, 1e-6)
    return candidate.quickest_s + (2 * streams + 1) / peak


class MarginalCost:
    """Takes the path with the least marginal cost.

    Args:
        sees_others: Whether other instances' streams count.
        sees_links: Whether the time on links counts.

    .. versionadded:: 26.1.0
    """

    def __init__(self, *, sees_others: bool = True, sees_links: bool = True) -> None:
        self._sees_others = sees_others
        self._sees_links = sees_links

    def choose(
        self, candidates: Sequence[Candidate], *, layer_count: int
    ) -> tuple[Candidate, ...] | None:
        """Return the cheapest route, or None where there is none."""
        return cheapest_path(candidates, layer_count=layer_count, cost=self._cost_s)

    def _cost_s(self, candidate: Candidate) -> float:
        """Return a runner's cost with the parts that count."""
        if not self._sees_others:
            candidate = candidate._replace(others=0)
        if not self._sees_links:
            candidate = candidate._replace(quickest_s=0.0)
        return marginal_cost_s(candidate)


class _PerHop:
    """Chooses hop by hop among the runners that still lead to the end."""

    def choose(
        self, candidates: Sequence[Candidate], *, layer_count: int
    ) -> tuple[Candidate, ...] | None:
        """Return a route, or None where there is none."""
        usable = _leading_to_end(candidates, layer_count=layer_count)
        path: list[Candidate] = []
        boundary = 0
        while boundary != layer_count:
            options = usable.get(boundary)
            if not options:
                return None
            chosen = self._pick(boundary, options)
            path.append(chosen)
            boundary = chosen.layers.end
        return tuple(path)

    def _pick(self, boundary: int, options: Sequence[Candidate]) -> Candidate:
        """Return one of the runners that start at *boundary*."""
        raise NotImplementedError


class RandomHops(_PerHop):
    """Baseline: any runner, with equal chances.

    .. versionadded:: 26.1.0
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def _pick(self, boundary: int, options: Sequence[Candidate]) -> Candidate:
        return self._rng.choice(options)


class RoundRobinHops(_PerHop):
    """Baseline: each runner in turn.

    .. versionadded:: 26.1.0
    """

    def __init__(self) -> None:
        self._turns: defaultdict[int, int] = defaultdict(int)

    def _pick(self, boundary: int, options: Sequence[Candidate]) -> Candidate:
        turn = self._turns[boundary]
        self._turns[boundary] += 1
        return options[turn % len(options)]


class MinInFlightHops(_PerHop):
    """Baseline: the runner with the fewest streams of this instance.

    .. versionadded:: 26.1.0
    """

    def _pick(self, boundary: int, options: Sequence[Candidate]) -> Candidate:
        return min(options, key=lambda item: (item.own, item.runner_id))


def _leading_to_end(
    candidates: Collection[Candidate], *, layer_count: int
) -> dict[int, list[Candidate]]:
    """Group the runners that lie on some path to the end by their first layer."""
    reaching = {layer_count}
    usable: defaultdict[int, list[Candidate]] = defaultdict(list)
    for candidate in sorted(candidates, key=lambda item: -item.layers.end):
        if candidate.layers.end in reaching:
            reaching.add(candidate.layers.first)
            usable[candidate.layers.first].append(candidate)
    return {
        boundary: sorted(options, key=lambda item: item.runner_id)
        for boundary, options in usable.items()
    }
