# SPDX-License-Identifier: MIT
"""Paths of a request through runners that hold layers.

A stage of a path may run any part of what its runner holds, so that runners
with overlapping ranges can stand in for each other.  The search goes over
layer boundaries and takes the path with the least time for a token.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import itertools
import math

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .backends import BackendServer
from .engine_model import EngineSpec
from .layers import LayerRange, tiles


#: The time that a hop within a zone costs each token, in ms.
_HOP_MS = 0.2
#: What sending the request to a runner in another zone costs a token, in ms;
#: no hidden states pass there, so that it need only decide between equals.
_ENTRY_MS = 0.3
#: How many times its time in the pipe between zones a prompt's hidden states
#: cost: all requests share the pipe, in turn.
_PIPE_WEIGHT = 10.0
#: From here on a runner counts as full.
_MOST_FULLNESS = 0.95
#: The most stages of a path (the engines' limit).
MAX_STAGES = 32


class Stage(NamedTuple):
    """A runner's part of a path.

    .. versionadded:: 26.1.0
    """

    server: BackendServer
    layers: LayerRange


class Path(NamedTuple):
    """Stages that tile the model, and the time they need for a token.

    .. versionadded:: 26.1.0
    """

    stages: tuple[Stage, ...]
    token_ms: float

    @property
    def first(self) -> BackendServer:
        """The runner that the request is sent to."""
        return self.stages[0].server

    @property
    def crossings(self) -> int:
        """How often hidden states pass from a zone to another."""
        zones = [stage.server.availability_zone for stage in self.stages]
        return sum(zone != after for zone, after in itertools.pairwise(zones))

    @property
    def server_ids(self) -> frozenset[str]:
        """The ids of all runners on the path."""
        return frozenset(stage.server.id for stage in self.stages)


class _Reached(NamedTuple):
    """The best way to a boundary that ends at some runner."""

    cost_ms: float
    stage: Stage
    before: _Reached | None


def find_path(
    servers: Sequence[BackendServer],
    engine: EngineSpec,
    *,
    zone: str,
    fullness: Mapping[str, float] | None = None,
    first: BackendServer | None = None,
    pipe_fullness: float = 0.0,
) -> Path | None:
    """Return the quickest path, or None if some layer can't be reached.

    Args:
        servers: The runners that may be used.
        engine: The engine's figures.
        zone: The zone to stay in where possible.
        fullness: By runner's id, the part of its room that is taken; a full
            one counts as many times slower.
        first: The runner that has to come first, if one has to.
        pipe_fullness: The part of the time that the pipe between zones is
            taken.

    .. versionadded:: 26.1.0
    """
    holders = [one for one in servers if one.layers and one.kind in engine.kinds]
    by_boundary = _holders_by_boundary(holders, engine)
    if first is not None:
        by_boundary[0] = [one for one in by_boundary[0] if one.id == first.id]
    search = _Search(
        engine,
        sorted(by_boundary),
        zone=zone,
        fullness=fullness or {},
        pipe_ms=_pipe_ms(engine, pipe_fullness),
    )
    for boundary in sorted(by_boundary):
        search.go_on(boundary, by_boundary[boundary])
    return _best_path(search.reached[engine.layer_count], engine)


def _holders_by_boundary(
    holders: Sequence[BackendServer], engine: EngineSpec
) -> dict[int, list[BackendServer]]:
    """Return, for each boundary of a range, who can go on from there."""
    boundaries = {0, engine.layer_count}
    for holder in holders:
        if holder.layers:
            boundaries.update(holder.layers)
    return {
        boundary: [
            holder
            for holder in holders
            if holder.layers and holder.layers.first <= boundary < holder.layers.end
        ]
        for boundary in boundaries
        if 0 <= boundary <= engine.layer_count
    }


class _Search:
    """One search over layer boundaries, from the first to the last.

    Args:
        engine: The engine's figures.
        boundaries: All boundaries, in rising order.
        zone: The zone to stay in where possible.
        fullness: By runner's id, the part of its room that is taken.
        pipe_ms: What a hop between zones costs beside its delay, in ms.
    """

    def __init__(
        self,
        engine: EngineSpec,
        boundaries: Sequence[int],
        *,
        zone: str,
        fullness: Mapping[str, float],
        pipe_ms: float,
    ) -> None:
        self._engine = engine
        self._boundaries = boundaries
        self._zone = zone
        self._fullness = fullness
        self._pipe_ms = pipe_ms
        #: By boundary and runner's id, the best way that ends there.
        self.reached: defaultdict[int, dict[str, _Reached]] = defaultdict(dict)

    def go_on(self, boundary: int, servers: Sequence[BackendServer]) -> None:
        """Go on from a boundary with each runner that can."""
        arrivals = list(self.reached[boundary].values())
        for server in servers:
            if boundary == 0:
                self._extend(server, boundary, None, self._start_ms(server))
                continue
            before, entry_ms = self._best_arrival(arrivals, server)
            if before is not None:
                self._extend(server, boundary, before, entry_ms)

    def _start_ms(self, server: BackendServer) -> float:
        """Return what sending the request to a first runner costs a token."""
        is_near = server.availability_zone == self._zone
        return _HOP_MS if is_near else _HOP_MS + _ENTRY_MS

    def _best_arrival(
        self, arrivals: Sequence[_Reached], server: BackendServer
    ) -> tuple[_Reached | None, float]:
        """Return the cheapest way into a runner, if any, and its cost so far."""
        best: _Reached | None = None
        best_ms = math.inf
        zone = server.availability_zone
        for arrival in arrivals:
            previous = arrival.stage.server
            if previous.id == server.id:
                continue
            cost_ms = arrival.cost_ms + _HOP_MS
            if previous.availability_zone != zone:
                cost_ms += self._pipe_ms + self._engine.delay_ms(
                    previous.availability_zone, zone
                )
            if cost_ms < best_ms:
                best, best_ms = arrival, cost_ms
        return best, best_ms

    def _extend(
        self,
        server: BackendServer,
        boundary: int,
        before: _Reached | None,
        entry_ms: float,
    ) -> None:
        """Note each boundary that a runner reaches from *boundary*."""
        if server.layers is None:
            return
        kind = self._engine.kinds[server.kind]
        slowness = _slowness(self._fullness.get(server.id, 0.0))
        for end in self._boundaries:
            if not boundary < end <= server.layers.end:
                continue
            step_ms = self._engine.step_ms_of(kind, end - boundary) * slowness
            cost_ms = entry_ms + step_ms
            known = self.reached[end].get(server.id)
            if known is None or cost_ms < known.cost_ms:
                stage = Stage(server, LayerRange(boundary, end))
                self.reached[end][server.id] = _Reached(cost_ms, stage, before)


def _slowness(fullness: float) -> float:
    """Return how much slower a runner counts for being full.

    As in a queue, time grows with what is taken of what is left.
    """
    return 1.0 / (1.0 - min(_MOST_FULLNESS, fullness))


def _pipe_ms(engine: EngineSpec, fullness: float) -> float:
    """Return what a hop between zones costs a token beside its delay, in ms."""
    share_ms = engine.crossing_ms / max(1.0, engine.usual_answer_tokens)
    return _PIPE_WEIGHT * share_ms * _slowness(fullness)


def _best_path(ends: Mapping[str, _Reached], engine: EngineSpec) -> Path | None:
    """Follow the cheapest end back to the first layer."""
    for end in sorted(ends.values(), key=lambda one: one.cost_ms):
        stages: list[Stage] = []
        at: _Reached | None = end
        while at is not None:
            stages.append(at.stage)
            at = at.before
        stages = _without_returns(stages[::-1])
        is_whole = tiles([s.layers for s in stages], layer_count=engine.layer_count)
        if is_whole and len(stages) <= MAX_STAGES:
            return Path(tuple(stages), end.cost_ms)
    return None


def _without_returns(stages: Sequence[Stage]) -> list[Stage]:
    """Let a runner that comes up twice run all that lies between as well.

    Its range has no gaps, so that it holds those layers too.
    """
    kept: list[Stage] = []
    for stage in stages:
        earlier = next(
            (i for i, one in enumerate(kept) if one.server.id == stage.server.id), None
        )
        if earlier is None:
            kept.append(stage)
            continue
        first = kept[earlier].layers.first
        del kept[earlier:]
        kept.append(Stage(stage.server, LayerRange(first, stage.layers.end)))
    return kept
