# SPDX-License-Identifier: MIT
"""Paths of a request through runners that hold layers.

A stage of a path may run any part of what its runner holds, so that runners
with overlapping ranges can stand in for each other.  A `LayerMap` is made once
for a list of runners; each search goes over its segments, from the first layer
to the last, and takes the path with the least time for a token.

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


#: What sending the request to a runner in another zone costs a token, in ms;
#: no hidden states pass there, so that it need only decide between equals.
_ENTRY_MS = 0.3
#: How many times its time in the pipe between zones a prompt's hidden states
#: cost: all requests share the pipe, in turn.
_PIPE_WEIGHT = 10.0
#: From here on a runner counts as full: time grows on by the slope that it has there,
#: so that of two full runners the fuller one still counts as slower.
_FULL = 0.95
#: With which power of its fullness a runner's waiting grows: at 3 it counts as a
#: seventh slower when half full, and as twice as slow at 0.8.  As one server, twice
#: as slow when half full, quick chains were left for slow ones of three times the token
#: time (simulated, 59 to 64 instances: streams of 1.52 and 1.63 s for 1.50 and 1.54 s).
_WAITING_POWER = 3
#: How many times its time a runner's reading of a request's tokens counts, where the
#: request moves: its caller waits for all of it at once, and the runners' other streams
#: wait as well.
_READ_WEIGHT = 4.0
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
    def zone_hops(self) -> int:
        """How often hidden states pass from a zone to another."""
        zones = [stage.server.availability_zone for stage in self.stages]
        return sum(zone != after for zone, after in itertools.pairwise(zones))

    @property
    def server_ids(self) -> frozenset[str]:
        """The ids of all runners on the path."""
        return frozenset(stage.server.id for stage in self.stages)

    def server_at(self, address: str | None) -> BackendServer | None:
        """Return the runner on the path at an address, if there is one."""
        servers = (stage.server for stage in self.stages)
        return next((one for one in servers if one.address == address), None)


class _Visit(NamedTuple):
    """A runner that a way has come to, at its first layer there."""

    server: BackendServer
    first_layer: int
    before: _Visit | None


class _Way(NamedTuple):
    """The cheapest way so far that ends at some runner or in some zone."""

    cost_ms: float
    visit: _Visit | None


class _Usage(NamedTuple):
    """How runners may be used in one search."""

    #: Ids of those that may not be used.
    left_out: Collection[str]
    #: By id, how many times slower a runner counts for being full; 1 if it isn't there.
    slowness: Mapping[str, float]
    #: By id, how many times longer slow runners take for a step.
    paces: Mapping[str, float]
    #: By id, the layers for which a runner has the request's KV cache already.
    kept: Mapping[str, LayerRange]
    #: By kind, what a layer without that cache costs a token, in ms.
    read_ms: Mapping[str, float]

    def cost_ms(
        self, server: BackendServer, layers: LayerRange, step_ms: float
    ) -> float:
        """Return what a runner's work on some layers costs a token, in ms.

        A request that stays needs no more room than it has.
        """
        step_ms *= self.paces.get(server.id, 1.0)
        kept = self.kept.get(server.id)
        if kept is not None and kept.covers(layers):
            return step_ms
        step_ms *= self.slowness.get(server.id, 1.0)
        if not self.kept:
            return step_ms
        return step_ms + layers.size * self.read_ms[server.kind]


class _Head(NamedTuple):
    """What a path has to begin with.

    Engines move a request only onto paths that begin with the same runner and the same
    layers of it: where it held more than it ran, moves that let it run more or fewer
    were conflicts.
    """

    server_id: str
    #: The layers that it runs, if those are given too.
    layers: LayerRange | None

    def allows(self, server: BackendServer, layers: LayerRange) -> bool:
        """Tell whether a runner may run some layers."""
        is_head = server.id == self.server_id
        if self.layers is None:
            return is_head or layers.first > 0
        return is_head == (layers.first < self.layers.end)


class LayerMap:
    """Who holds which layers, prepared for many searches.

    Args:
        servers: The runners that may be used.
        engine: The engine's figures.

    .. versionadded:: 26.1.0
    """

    def __init__(self, servers: Iterable[BackendServer], engine: EngineSpec) -> None:
        self.engine = engine
        holders = [one for one in servers if one.layers and one.kind in engine.kinds]
        self.holders = {holder.id: holder for holder in holders}
        #: Those that a path may begin at.
        self.first_servers = [
            one for one in holders if one.layers and one.layers.first == 0
        ]
        self._zones = sorted({holder.availability_zone for holder in holders})
        self._segments = split_into_segments(holders, engine)
        self._read_ms = {
            name: _READ_WEIGHT * engine.usual_prefill_ms(kind, 1) / _left_tokens(engine)
            for name, kind in engine.kinds.items()
        }
        self._delay_ms = {
            (zone, other): engine.delay_ms(zone, other)
            for zone in self._zones
            for other in self._zones
        }

    @property
    def chains(self) -> int:
        """How many runners a path may begin at."""
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
        """Return the quickest path, or None if some layer can't be reached.

        Args:
            zone: The zone to stay in where possible.
            excluded: Ids of runners that may not be used.
            utilization: By runner's id, the part of its room that is taken; a full
                one counts as many times slower.
            slowdowns: By id, how many times longer slow runners take for a step.
            first_server: The runner that has to come first, if one has to.
            current_path: The path that the request is on, if it is on one; other
                runners than that path's would have to read its tokens first.
            zone_link_utilization: The part of the time that the pipe between zones is
                taken.
            allow_zone_hops: Whether hidden states may pass between zones.
        """
        slowness = {one: _slowness(part) for one, part in (utilization or {}).items()}
        held = (
            {one.server.id: one.layers for one in current_path.stages}
            if current_path
            else {}
        )
        usage = _Usage(excluded, slowness, slowdowns or {}, held, self._read_ms)
        pipe_ms = (
            _pipe_ms(self.engine, zone_link_utilization)
            if allow_zone_hops
            else math.inf
        )
        entries = self._start(zone)
        head = (
            _Head(
                first_server.id, current_path.stages[0].layers if current_path else None
            )
            if first_server
            else None
        )
        ways: dict[str, _Way] = {}
        for segment in _cut_at_head(self._segments, head):
            ways = _go_on(segment, ways, entries, usage, head)
            if not ways:
                return None
            entries = self._entries(ways.values(), pipe_ms)
        ends = [way for way in ways.values() if way.cost_ms < math.inf]
        return _best_path(ends, self.engine)

    def _start(self, zone: str) -> dict[str, _Way]:
        """Return, by zone, what sending the request there costs a token."""
        return {
            other: _Way(HOP_MS if other == zone else HOP_MS + _ENTRY_MS, None)
            for other in self._zones
        }

    def _entries(self, ways: Iterable[_Way], pipe_ms: float) -> dict[str, _Way]:
        """Return, by zone, the cheapest way to come to a runner there."""
        best = _best_by_zone(ways)
        entries = {}
        for zone in self._zones:
            cost_ms, _, visit = min(
                (way.cost_ms + self._hop_ms(other, zone, pipe_ms), other, way.visit)
                for other, way in best.items()
            )
            entries[zone] = _Way(cost_ms, visit)
        return entries

    def _hop_ms(self, zone: str, other: str, pipe_ms: float) -> float:
        """Return what a hop costs a token, in ms."""
        if zone == other:
            return HOP_MS
        return HOP_MS + pipe_ms + self._delay_ms[zone, other]


def find_path(
    servers: Sequence[BackendServer],
    engine: EngineSpec,
    *,
    zone: str,
    utilization: Mapping[str, float] | None = None,
    first_server: BackendServer | None = None,
    zone_link_utilization: float = 0.0,
) -> Path | None:
    """Search once over some runners; see `LayerMap.find`.

    .. versionadded:: 26.1.0
    """
    return LayerMap(servers, engine).find(
        zone=zone,
        utilization=utilization,
        first_server=first_server,
        zone_link_utilization=zone_link_utilization,
    )


def _cut_at_head(parts: Sequence[Segment], head: _Head | None) -> Sequence[Segment]:
    """Return segments cut where the layers of a path's given first runner end."""
    if head is None or head.layers is None:
        return parts
    cut: list[Segment] = []
    for segment in parts:
        cut.extend(segment.split(head.layers.end))
    return cut


def _go_on(
    segment: Segment,
    ways: Mapping[str, _Way],
    entries: Mapping[str, _Way],
    usage: _Usage,
    head: _Head | None,
) -> dict[str, _Way]:
    """Return, by runner, the cheapest way through a segment that ends there.

    Args:
        segment: The layers to go through.
        ways: By runner, the cheapest way to the segment's first layer.
        entries: By zone, the cheapest way to come to a runner there.
        usage: How runners may be used.
        head: Which part the path has to begin with, if that is given.
    """
    gone_on: dict[str, _Way] = {}
    for server, step_ms in segment.runners:
        if server.id in usage.left_out:
            continue
        if head is not None and not head.allows(server, segment.layers):
            continue
        cost_ms, visit = entries[server.availability_zone]
        stayed = ways.get(server.id)
        if stayed is not None and stayed.cost_ms <= cost_ms:
            cost_ms, visit = stayed
        else:
            visit = _Visit(server, segment.layers.first, visit)
        cost_ms += usage.cost_ms(server, segment.layers, step_ms)
        gone_on[server.id] = _Way(cost_ms, visit)
    return gone_on


def _best_by_zone(ways: Iterable[_Way]) -> dict[str, _Way]:
    """Return, by zone, the cheapest of the ways that end there."""
    best: dict[str, _Way] = {}
    for way in ways:
        assert way.visit is not None
        zone = way.visit.server.availability_zone
        known = best.get(zone)
        if known is None or way.cost_ms < known.cost_ms:
            best[zone] = way
    return best


def _slowness(fullness: float) -> float:
    """Return how much slower a runner counts for being full.

    A runner takes many requests at once: there is hardly any waiting before most of its
    room is taken (as in a queue with many servers), and then it grows fast.
    """
    part = min(_FULL, fullness)
    left = 1.0 - part**_WAITING_POWER
    beyond = max(0.0, fullness - _FULL)
    slope: float = _WAITING_POWER * part ** (_WAITING_POWER - 1) / (left * left)
    return 1.0 / left + beyond * slope


def _single_slowness(fullness: float) -> float:
    """Return how much slower what takes one after the other gets by being full."""
    left = 1.0 - min(_FULL, fullness)
    beyond = max(0.0, fullness - _FULL)
    return 1.0 / left + beyond / (left * left)


def _left_tokens(engine: EngineSpec) -> float:
    """Return how many tokens a usual request under way still makes."""
    return max(1.0, engine.usual_answer_tokens / 2)


def _pipe_ms(engine: EngineSpec, fullness: float) -> float:
    """Return what a hop between zones costs a token beside its delay, in ms."""
    share_ms = engine.zone_transfer_ms / max(1.0, engine.usual_answer_tokens)
    return _PIPE_WEIGHT * share_ms * _single_slowness(fullness)


def _best_path(ends: Iterable[_Way], engine: EngineSpec) -> Path | None:
    """Follow the cheapest end back to the first layer."""
    for end in sorted(ends, key=lambda one: one.cost_ms):
        stages = _without_returns(_stages(end, engine.layer_count))
        is_whole = tiles([s.layers for s in stages], layer_count=engine.layer_count)
        if is_whole and len(stages) <= MAX_STAGES:
            return Path(tuple(stages), end.cost_ms)
    return None


def _stages(end: _Way, layer_count: int) -> list[Stage]:
    """Return the stages of a way, first to last."""
    stages: list[Stage] = []
    visit = end.visit
    last_layer = layer_count
    while visit is not None:
        layers = LayerRange(visit.first_layer, last_layer)
        stages.append(Stage(visit.server, layers))
        last_layer = visit.first_layer
        visit = visit.before
    return stages[::-1]


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
