# SPDX-License-Identifier: MIT
"""Shortest-path search over runners that hold layer ranges.

A stage of a path may run any part of its runner's layers, so that runners with
overlapping ranges can replace each other.  A `LayerMap` is built once per list of
runners; a search processes its segments from the first layer to the last and returns
the path with the lowest cost per token.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import itertools
import math

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from ._segments import Segment, split_into_segments
from .backends import BackendServer
from .engine_model import HOP_MS, EngineSpec
from .layers import LayerRange, tiles


#: Cost per token of sending the request to a runner in another zone, in ms.  No
#: activations are transferred there, so that this is only a tie-breaker.
_REMOTE_ENTRY_MS = 0.3
#: Weight of the time that a prompt's activations occupy the link between zones, which
#: all requests share.
_ZONE_LINK_WEIGHT = 10.0
#: Utilization at which a runner is full.  Beyond it the queueing factor is extrapolated
#: linearly, so that of two full runners the one with less load is preferred.
_MAX_UTILIZATION = 0.95
#: Exponent of the utilization in the queueing factor: 3 gives a factor of 1.14 at 0.5
#: and 2 at 0.8.  The formula of a single server (2 at 0.5) moves streams from fast
#: chains to slow ones of three times the token time (simulated, 59 to 64 instances:
#: streams of 1.52 and 1.63 s for 1.50 and 1.54 s).
_QUEUEING_EXPONENT = 3
#: Weight of the prefill time when a request moves: its caller waits for all of it at
#: once, and so do the runners' other streams.
_PREFILL_WEIGHT = 4.0
#: Max number of stages of a path (the engines' limit).
MAX_STAGES = 32


class Stage(NamedTuple):
    """A runner on a path, with the layers that it runs.

    .. versionadded:: 26.1.0
    """

    server: BackendServer
    layers: LayerRange


class Path(NamedTuple):
    """Stages that cover the model in order, with their cost per token.

    .. versionadded:: 26.1.0
    """

    stages: tuple[Stage, ...]
    token_ms: float

    @property
    def first(self) -> BackendServer:
        """The runner that receives the request."""
        return self.stages[0].server

    @property
    def zone_hops(self) -> int:
        """The number of hops between stages in different zones."""
        zones = [stage.server.availability_zone for stage in self.stages]
        return sum(zone != following for zone, following in itertools.pairwise(zones))

    @property
    def server_ids(self) -> frozenset[str]:
        """The ids of all runners on the path."""
        return frozenset(stage.server.id for stage in self.stages)

    def server_at(self, address: str | None) -> BackendServer | None:
        """Return the runner on the path with an address, or None."""
        servers = (stage.server for stage in self.stages)
        return next((server for server in servers if server.address == address), None)


class _PathNode(NamedTuple):
    """A runner on a partial path, with its first layer there."""

    server: BackendServer
    first_layer: int
    previous: _PathNode | None


class _PartialPath(NamedTuple):
    """The cheapest partial path to a runner or a zone."""

    cost_ms: float
    last_node: _PathNode | None


class _SearchContext(NamedTuple):
    """Constraints and costs of runners in one search."""

    #: Ids of the runners that must not be used.
    excluded: Collection[str]
    #: Factor on the step time due to load, by runner id; 1 if missing.
    queueing_factors: Mapping[str, float]
    #: Factor on the step time of slow runners, by runner id; 1 if missing.
    slowdowns: Mapping[str, float]
    #: Layers for which a runner has the request's KV cache, by runner id.
    cached_layers: Mapping[str, LayerRange]
    #: Cost per token of a layer without that cache, in ms, by kind.
    prefill_ms: Mapping[str, float]

    def cost_ms(
        self, server: BackendServer, layers: LayerRange, step_ms: float
    ) -> float:
        """Return the cost per token of running some layers on a runner, in ms.

        The queueing factor does not apply to runners that serve the request already.
        """
        step_ms *= self.slowdowns.get(server.id, 1.0)
        cached = self.cached_layers.get(server.id)
        if cached is not None and cached.covers(layers):
            return step_ms
        step_ms *= self.queueing_factors.get(server.id, 1.0)
        if not self.cached_layers:
            return step_ms
        return step_ms + layers.size * self.prefill_ms[server.kind]


class _PathPrefix(NamedTuple):
    """The required first stage of a path.

    Engines accept a move only if the first runner and its layers stay the same: with
    more or fewer layers of the same runner they report a conflict.
    """

    server_id: str
    #: The layers that it runs, if these are required too.
    layers: LayerRange | None

    def allows(self, server: BackendServer, layers: LayerRange) -> bool:
        """Return whether a runner may run some layers."""
        is_first = server.id == self.server_id
        if self.layers is None:
            return is_first or layers.first > 0
        return is_first == (layers.first < self.layers.end)


class LayerMap:
    """Index of runners by layers, shared by many searches.

    Args:
        servers: The usable runners.
        engine: The engine's cost model.

    .. versionadded:: 26.1.0
    """

    def __init__(self, servers: Iterable[BackendServer], engine: EngineSpec) -> None:
        self.engine = engine
        holders = [
            server
            for server in servers
            if server.layers and server.kind in engine.kinds
        ]
        self.holders = {holder.id: holder for holder in holders}
        #: The runners at which a path may begin.
        self.first_servers = [
            holder for holder in holders if holder.layers and holder.layers.first == 0
        ]
        self._zones = sorted({holder.availability_zone for holder in holders})
        self._segments = split_into_segments(holders, engine)
        self._prefill_ms = {
            name: _PREFILL_WEIGHT
            * engine.usual_prefill_ms(kind, 1)
            / _remaining_tokens(engine)
            for name, kind in engine.kinds.items()
        }
        self._delay_ms = {
            (zone, other): engine.delay_ms(zone, other)
            for zone in self._zones
            for other in self._zones
        }

    @property
    def first_server_count(self) -> int:
        """The number of runners at which a path may begin."""
        return len(self._segments[0].runners) if self._segments else 0

    def find(
        self,
        *,
        zone: str,
        excluded: Collection[str] = frozenset(),
        utilization: Mapping[str, float] | None = None,
        slowdowns: Mapping[str, float] | None = None,
        first_server: BackendServer | None = None,
        current_path: Path | None = None,
        zone_link_utilization: float = 0.0,
        allow_zone_hops: bool = True,
    ) -> Path | None:
        """Return the path with the lowest cost, or None if no path covers all layers.

        Args:
            zone: The preferred zone.
            excluded: Ids of runners that must not be used.
            utilization: Utilization by runner id; it increases a runner's cost.
            slowdowns: Factor on the step time of slow runners, by runner id.
            first_server: The required first runner, if any.
            current_path: The path that the request is on, if any; other runners need
                a prefill of its tokens.
            zone_link_utilization: Utilization of the link between zones.
            allow_zone_hops: Whether consecutive stages may be in different zones.
        """
        queueing_factors = {
            server_id: _queueing_factor(part)
            for server_id, part in (utilization or {}).items()
        }
        cached_layers = (
            {stage.server.id: stage.layers for stage in current_path.stages}
            if current_path
            else {}
        )
        context = _SearchContext(
            excluded,
            queueing_factors,
            slowdowns or {},
            cached_layers,
            self._prefill_ms,
        )
        zone_link_ms = (
            _zone_link_ms(self.engine, zone_link_utilization)
            if allow_zone_hops
            else math.inf
        )
        entries = self._initial_entries(zone)
        prefix = (
            _PathPrefix(
                first_server.id, current_path.stages[0].layers if current_path else None
            )
            if first_server
            else None
        )
        partial_paths: dict[str, _PartialPath] = {}
        for segment in _split_at_prefix(self._segments, prefix):
            partial_paths = _extend(segment, partial_paths, entries, context, prefix)
            if not partial_paths:
                return None
            entries = self._entries(partial_paths.values(), zone_link_ms)
        reachable = [path for path in partial_paths.values() if path.cost_ms < math.inf]
        return _best_path(reachable, self.engine)

    def _initial_entries(self, zone: str) -> dict[str, _PartialPath]:
        """Return the cost of sending the request to each zone."""
        return {
            other: _PartialPath(
                HOP_MS if other == zone else HOP_MS + _REMOTE_ENTRY_MS, None
            )
            for other in self._zones
        }

    def _entries(
        self, partial_paths: Iterable[_PartialPath], zone_link_ms: float
    ) -> dict[str, _PartialPath]:
        """Return the cheapest partial path with a hop into each zone."""
        best = _cheapest_by_zone(partial_paths)
        entries = {}
        for zone in self._zones:
            cost_ms, _, last_node = min(
                (
                    path.cost_ms + self._hop_ms(other, zone, zone_link_ms),
                    other,
                    path.last_node,
                )
                for other, path in best.items()
            )
            entries[zone] = _PartialPath(cost_ms, last_node)
        return entries

    def _hop_ms(self, zone: str, other: str, zone_link_ms: float) -> float:
        """Return the cost of a hop per token, in ms."""
        if zone == other:
            return HOP_MS
        return HOP_MS + zone_link_ms + self._delay_ms[zone, other]


def find_path(
    servers: Sequence[BackendServer],
    engine: EngineSpec,
    *,
    zone: str,
    utilization: Mapping[str, float] | None = None,
    first_server: BackendServer | None = None,
    zone_link_utilization: float = 0.0,
) -> Path | None:
    """Run a single search over some runners; see `LayerMap.find`.

    .. versionadded:: 26.1.0
    """
    return LayerMap(servers, engine).find(
        zone=zone,
        utilization=utilization,
        first_server=first_server,
        zone_link_utilization=zone_link_utilization,
    )


def _split_at_prefix(
    parts: Sequence[Segment], prefix: _PathPrefix | None
) -> Sequence[Segment]:
    """Return the segments, split at the last layer of a required first stage."""
    if prefix is None or prefix.layers is None:
        return parts
    split: list[Segment] = []
    for segment in parts:
        split.extend(segment.split(prefix.layers.end))
    return split


def _extend(
    segment: Segment,
    partial_paths: Mapping[str, _PartialPath],
    entries: Mapping[str, _PartialPath],
    context: _SearchContext,
    prefix: _PathPrefix | None,
) -> dict[str, _PartialPath]:
    """Return the cheapest partial path through a segment to each of its runners.

    Args:
        segment: The segment to add.
        partial_paths: The cheapest partial paths to the segment's first layer, by
            runner id.
        entries: The cheapest partial paths with a hop into a zone, by zone.
        context: Constraints and costs of runners.
        prefix: The required first stage, if any.
    """
    extended: dict[str, _PartialPath] = {}
    for server, step_ms in segment.runners:
        if server.id in context.excluded:
            continue
        if prefix is not None and not prefix.allows(server, segment.layers):
            continue
        cost_ms, node = entries[server.availability_zone]
        same_server = partial_paths.get(server.id)
        if same_server is not None and same_server.cost_ms <= cost_ms:
            cost_ms, node = same_server
        else:
            node = _PathNode(server, segment.layers.first, node)
        cost_ms += context.cost_ms(server, segment.layers, step_ms)
        extended[server.id] = _PartialPath(cost_ms, node)
    return extended


def _cheapest_by_zone(partial_paths: Iterable[_PartialPath]) -> dict[str, _PartialPath]:
    """Return the cheapest partial path to each zone."""
    cheapest: dict[str, _PartialPath] = {}
    for path in partial_paths:
        assert path.last_node is not None
        zone = path.last_node.server.availability_zone
        other = cheapest.get(zone)
        if other is None or path.cost_ms < other.cost_ms:
            cheapest[zone] = path
    return cheapest


def _queueing_factor(utilization: float) -> float:
    """Return the factor on a runner's step time at some utilization.

    A runner serves many requests concurrently, so that waiting times are short up to
    a high utilization and grow quickly above it, as in a multi-server queue.
    """
    part = min(_MAX_UTILIZATION, utilization)
    free = 1.0 - part**_QUEUEING_EXPONENT
    excess = max(0.0, utilization - _MAX_UTILIZATION)
    slope: float = _QUEUEING_EXPONENT * part ** (_QUEUEING_EXPONENT - 1) / (free * free)
    return 1.0 / free + excess * slope


def _single_server_queueing_factor(utilization: float) -> float:
    """Return the factor on the service time of a single-server queue."""
    free = 1.0 - min(_MAX_UTILIZATION, utilization)
    excess = max(0.0, utilization - _MAX_UTILIZATION)
    return 1.0 / free + excess / (free * free)


def _remaining_tokens(engine: EngineSpec) -> float:
    """Return the mean number of tokens that a request in flight still generates."""
    return max(1.0, engine.usual_answer_tokens / 2)


def _zone_link_ms(engine: EngineSpec, utilization: float) -> float:
    """Return the cost per token of a hop between zones beside its delay, in ms."""
    transfer_ms = engine.zone_transfer_ms / max(1.0, engine.usual_answer_tokens)
    return _ZONE_LINK_WEIGHT * transfer_ms * _single_server_queueing_factor(utilization)


def _best_path(
    partial_paths: Iterable[_PartialPath], engine: EngineSpec
) -> Path | None:
    """Return the cheapest valid path, or None."""
    for partial_path in sorted(partial_paths, key=lambda path: path.cost_ms):
        stages = _merge_revisits(_stages(partial_path, engine.layer_count))
        is_complete = tiles(
            [stage.layers for stage in stages], layer_count=engine.layer_count
        )
        if is_complete and len(stages) <= MAX_STAGES:
            return Path(tuple(stages), partial_path.cost_ms)
    return None


def _stages(partial_path: _PartialPath, layer_count: int) -> list[Stage]:
    """Return the stages of a partial path, first to last."""
    stages: list[Stage] = []
    node = partial_path.last_node
    end_layer = layer_count
    while node is not None:
        layers = LayerRange(node.first_layer, end_layer)
        stages.append(Stage(node.server, layers))
        end_layer = node.first_layer
        node = node.previous
    return stages[::-1]


def _merge_revisits(stages: Sequence[Stage]) -> list[Stage]:
    """Merge the stages from a runner's first occurrence to its last one.

    The runner's layer range is contiguous, so that it holds the layers in between.
    """
    merged: list[Stage] = []
    for stage in stages:
        earlier = next(
            (
                index
                for index, other in enumerate(merged)
                if other.server.id == stage.server.id
            ),
            None,
        )
        if earlier is None:
            merged.append(stage)
            continue
        first = merged[earlier].layers.first
        del merged[earlier:]
        merged.append(Stage(stage.server, LayerRange(first, stage.layers.end)))
    return merged
