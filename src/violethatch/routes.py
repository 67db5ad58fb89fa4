# SPDX-License-Identifier: MIT
"""Route selection: runners whose layer ranges tile the model.

The layer boundaries of a model are the nodes of a graph and each runner is an edge from
its first layer to the end of its range; a route is a path from 0 to the number of
layers.  `MarginalCost` selects the cheapest path; the other policies are baselines for
comparison.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import random

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple, Protocol

from .layers import LayerRange


class Candidate(NamedTuple):
    """A runner with the figures that route selection uses.

    Attributes:
        runner_id: The runner's id.
        layers: The layers it holds.
        peak_tokens_per_s: Its rate with full batches.
        quickest_s: The fastest recent step, links included, in seconds.
        own: This instance's streams on it.
        others: The estimated number of other instances' streams on it.

    .. versionadded:: 26.1.0
    """

    runner_id: str
    layers: LayerRange
    peak_tokens_per_s: float
    quickest_s: float
    own: int
    others: int


class RoutePolicy(Protocol):
    """Selects routes.

    .. versionadded:: 26.1.0
    """

    def choose(
        self, candidates: Sequence[Candidate], *, layer_count: int
    ) -> tuple[Candidate, ...] | None:
        """Return a route over *candidates*, or None if there is none."""


def cheapest_path(
    candidates: Iterable[Candidate],
    *,
    layer_count: int,
    cost: Callable[[Candidate], float],
    first_layer: int = 0,
) -> tuple[Candidate, ...] | None:
    """Return the path of minimum total cost, or None if there is no path.

    Args:
        candidates: The runners that may be used.
        layer_count: The layer boundary at which the path ends.
        cost: Returns the cost of a runner, not negative.
        first_layer: The layer at which the path starts.

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
    return _trace_path(best, layer_count=layer_count, first_layer=first_layer)


def _trace_path(
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
    """Return the cost that one more stream on the runner causes, in seconds.

    With n streams on a saturated runner each gets a token every n / peak seconds.
    Another one waits (n + 1) / peak itself and delays each of the n others by 1 / peak;
    the link time is added.

    .. versionadded:: 26.1.0
    """
    streams = candidate.own + candidate.others
    peak = max(candidate.peak_tokens_per_s, 1e-6)
    return candidate.quickest_s + (2 * streams + 1) / peak


class MarginalCost:
    """Selects the path with the minimum marginal cost.

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
        """Return the cheapest route, or None if there is none."""
        return cheapest_path(candidates, layer_count=layer_count, cost=self._cost_s)

    def _cost_s(self, candidate: Candidate) -> float:
        """Return a runner's cost, limited to the enabled components."""
        if not self._sees_others:
            candidate = candidate._replace(others=0)
        if not self._sees_links:
            candidate = candidate._replace(quickest_s=0.0)
        return marginal_cost_s(candidate)


class _HopByHop:
    """Selects hop by hop among the runners from which the last layer is reachable."""

    def choose(
        self, candidates: Sequence[Candidate], *, layer_count: int
    ) -> tuple[Candidate, ...] | None:
        """Return a route, or None if there is none."""
        usable = _group_reachable(candidates, layer_count=layer_count)
        path: list[Candidate] = []
        boundary = 0
        while boundary != layer_count:
            options = usable.get(boundary)
            if not options:
                return None
            chosen = self._select(boundary, options)
            path.append(chosen)
            boundary = chosen.layers.end
        return tuple(path)

    def _select(self, boundary: int, options: Sequence[Candidate]) -> Candidate:
        """Return one of the runners that start at *boundary*."""
        raise NotImplementedError


class RandomHops(_HopByHop):
    """Baseline: selects a runner uniformly at random.

    .. versionadded:: 26.1.0
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def _select(self, boundary: int, options: Sequence[Candidate]) -> Candidate:
        return self._rng.choice(options)


class RoundRobinHops(_HopByHop):
    """Baseline: selects runners in round-robin order.

    .. versionadded:: 26.1.0
    """

    def __init__(self) -> None:
        self._counts: defaultdict[int, int] = defaultdict(int)

    def _select(self, boundary: int, options: Sequence[Candidate]) -> Candidate:
        turn = self._counts[boundary]
        self._counts[boundary] += 1
        return options[turn % len(options)]


class MinInFlightHops(_HopByHop):
    """Baseline: selects the runner with the fewest streams of this instance.

    .. versionadded:: 26.1.0
    """

    def _select(self, boundary: int, options: Sequence[Candidate]) -> Candidate:
        return min(options, key=lambda item: (item.own, item.runner_id))


def _group_reachable(
    candidates: Collection[Candidate], *, layer_count: int
) -> dict[int, list[Candidate]]:
    """Group the runners on some path to the last layer by their first layer."""
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
