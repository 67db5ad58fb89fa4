# SPDX-License-Identifier: MIT
"""Estimates the capacity of an engine's usable runners for streams within target.

Load pattern: groups of runners are lost while demand surges.  The capacity of the
remaining runners depends on the layers that each holds, and is needed before any
stream is late.

The layers with the least KV cache bound the streams of a zone.  These are assigned
to the zone's runners in groups that pass the same runners; the engine model gives
the times of a group's first event and gaps at a utilization.  KV cache that zones
have in excess of their own bound is combined across zones, as far as the bandwidth
of the link between them allows.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import math

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from .backends import BackendServer
from .engine_model import HOP_MS, EngineSpec
from .layers import LayerRange
from .paths import LayerMap


_MS_PER_S = 1000.0
#: Steps of the binary search for a group's utilization; 10 are exact to a thousandth.
_SEARCH_STEPS = 10
#: A zone has at most this number of groups, or as many as runners if that is more:
#: the work stays linear where ranges overlap in many ways.  The largest are kept; the
#: reference fleets have up to 36 with 99 runners.
_MIN_GROUP_LIMIT = 16
#: Fewer streams than this are a rounding error.
_EPSILON = 1e-6


class Targets(NamedTuple):
    """The latency targets of a stream.

    Attributes:
        first_event_s: The time to the first event, in seconds.
        gap_s: The time between events, in seconds; 0 if the routes set no target.

    .. versionadded:: 26.5.0
    """

    first_event_s: float
    gap_s: float


class Room(NamedTuple):
    """The streams that usable runners can run and start within target.

    Attributes:
        streams: Concurrent streams.
        starts_per_s: Streams per second, in steady state.
        tokens_per_s: Generated tokens per second.
        stream_s: The duration of a typical stream at that utilization, in seconds;
            0 without capacity.

    .. versionadded:: 26.5.0
    """

    streams: float
    starts_per_s: float
    tokens_per_s: float
    stream_s: float


class _Runner(NamedTuple):
    """A usable runner, with its times per layer."""

    id: str
    zone: str
    first: int
    end: int
    slots: float
    #: Streams whose KV cache fits its whole range of layers.
    streams: float
    step_ms: float
    sequence_ms: float
    prefill_ms: float


class _SegmentCapacity(NamedTuple):
    """A segment, and its unassigned streams by the runner's id."""

    layers: LayerRange
    free: dict[str, float]

    @property
    def streams(self) -> float:
        """The unassigned streams of all runners."""
        return sum(self.free.values())


class _Hop(NamedTuple):
    """A runner on a path, and the first layer that it computes."""

    runner_id: str
    first_layer: int
    previous: _Hop | None


class _PartialGroup(NamedTuple):
    """Streams with the same runners in the segments assigned so far."""

    streams: float
    last_hop: _Hop | None


#: A runner, and the number of layers that it computes for a group.
_PathPart = tuple[_Runner, int]


class _StreamGroup(NamedTuple):
    """Streams that pass the same runners, first layer to last."""

    streams: float
    parts: tuple[_PathPart, ...]


class _Times(NamedTuple):
    """A group's times at some utilization."""

    first_event_ms: float
    token_ms: float
    stream_ms: float


class _Cost(NamedTuple):
    """The terms of a group's times.

    Attributes:
        streams: Concurrent streams at full utilization.
        hop_ms: Network time of one token.
        step_ms: Compute time of one token with an empty batch.
        batch_ms: Added compute time of one token in the batches of full utilization.
        prefill_ms: Prefill of a typical prompt.
        total_prefill_ms: Prefill by a stream's runners for all of their streams,
            during one stream.
        link_ms: Time for which a typical prompt occupies the link between zones.
    """

    streams: float
    hop_ms: float
    step_ms: float
    batch_ms: float
    prefill_ms: float
    total_prefill_ms: float
    link_ms: float


def estimate_capacity(
    layer_map: LayerMap,
    *,
    excluded: Collection[str],
    slowdowns: Mapping[str, float],
    targets: Targets,
) -> Room:
    """Return the streams that the usable runners can run and start within target.

    Args:
        layer_map: The runners of the service, in all zones.
        excluded: Ids of runners that are not usable.
        slowdowns: By id, the factor by which a slow runner's steps take longer.
        targets: The latency targets; a time that is not positive is no limit.

    .. versionadded:: 26.5.0
    """
    engine = layer_map.engine
    usable = [
        server for server in layer_map.holders.values() if server.id not in excluded
    ]
    runners = {runner.id: runner for runner in _runners(usable, engine, slowdowns)}
    by_zone: defaultdict[str, list[_Runner]] = defaultdict(list)
    for runner in runners.values():
        by_zone[runner.zone].append(runner)
    zones = [
        _segment_capacities(members, engine.layer_count)
        for _, members in sorted(by_zone.items())
    ]
    groups = [group for segments in zones for group in _assign(segments, runners)]
    if len(zones) > 1:
        cross_zone = _assign(_cross_zone_segments(zones), runners)
        groups += _limit_by_zone_link(cross_zone, engine, targets)
    rates = [_group_capacity(cost, engine, targets) for cost in _costs(groups, engine)]
    streams = sum(count for count, _ in rates)
    starts_per_s = sum(starts for _, starts in rates)
    if starts_per_s <= 0:
        return Room(0.0, 0.0, 0.0, 0.0)
    tokens_per_s = starts_per_s * engine.usual_answer_tokens
    return Room(streams, starts_per_s, tokens_per_s, streams / starts_per_s)


def _runners(
    servers: Iterable[BackendServer], engine: EngineSpec, slowdowns: Mapping[str, float]
) -> list[_Runner]:
    """Return runners with their times, the fastest first."""
    # A stream caches its prompt and on average half of its answer.
    cached_tokens = engine.usual_prompt_tokens + engine.usual_answer_tokens / 2
    layer_ms = {
        name: (
            engine.step_time_ms(kind, 1, batch_size=0.0),
            engine.step_time_ms(kind, 1),
            engine.usual_prefill_ms(kind, 1),
        )
        for name, kind in engine.kinds.items()
    }
    runners = []
    for server in servers:
        assert server.layers is not None
        step_ms, single_step_ms, prefill_ms = layer_ms[server.kind]
        slowdown = slowdowns.get(server.id, 1.0)
        kv_tokens = engine.kv_capacity_tokens(
            engine.kinds[server.kind], server.layers.size
        )
        runners.append(
            _Runner(
                id=server.id,
                zone=server.availability_zone,
                first=server.layers.first,
                end=server.layers.end,
                slots=float(max(1, server.slots)),
                streams=kv_tokens / max(1.0, cached_tokens),
                step_ms=step_ms * slowdown,
                sequence_ms=(single_step_ms - step_ms) * slowdown,
                prefill_ms=prefill_ms * slowdown,
            )
        )
    return sorted(runners, key=lambda runner: (runner.step_ms, runner.id))


def _segment_capacities(
    runners: Sequence[_Runner], layer_count: int
) -> list[_SegmentCapacity]:
    """Return a zone's segments with their unassigned streams, first layer to last."""
    edges = itertools.chain.from_iterable(
        (runner.first, runner.end) for runner in runners
    )
    boundaries = sorted({0, layer_count, *edges})
    segments = [
        _SegmentCapacity(LayerRange(*pair), {})
        for pair in itertools.pairwise(boundaries)
    ]
    index = {segment.layers.first: n for n, segment in enumerate(segments)}
    for runner in runners:
        for segment in segments[index[runner.first] : index.get(runner.end)]:
            segment.free[runner.id] = runner.streams
    entries = (runner for runner in runners if not runner.first)
    segments[0].free.update(
        (runner.id, min(runner.streams, runner.slots)) for runner in entries
    )
    return segments


def _assign(
    segments: Sequence[_SegmentCapacity], runners: Mapping[str, _Runner]
) -> list[_StreamGroup]:
    """Assign as many streams as fit to the segments' runners; return their groups."""
    max_groups = max(_MIN_GROUP_LIMIT, len(runners))
    amount = min(segment.streams for segment in segments)
    groups = [_PartialGroup(amount, None)] if amount > _EPSILON else []
    for segment in segments:
        groups = _assign_segment(groups, segment)
        if len(groups) > max_groups:
            groups = heapq.nlargest(max_groups, groups, key=_group_size)
    layer_count = segments[-1].layers.end
    return [
        _StreamGroup(streams, _path_parts(last_hop, runners, layer_count))
        for streams, last_hop in groups
    ]


def _group_size(group: _PartialGroup) -> float:
    """Sort key of groups."""
    return group.streams


def _assign_segment(
    groups: Iterable[_PartialGroup], segment: _SegmentCapacity
) -> list[_PartialGroup]:
    """Assign groups in a segment: to their last runner, the excess to the fastest."""
    free = segment.free
    assigned: list[_PartialGroup] = []
    excess: list[_PartialGroup] = []
    for group in groups:
        streams, last_hop = group
        available = free.get(last_hop.runner_id, 0.0) if last_hop else 0.0
        if last_hop and streams <= available:
            free[last_hop.runner_id] = available - streams
            assigned.append(group)
        elif last_hop and available > _EPSILON:
            free[last_hop.runner_id] = 0.0
            assigned.append(_PartialGroup(available, last_hop))
            excess.append(_PartialGroup(streams - available, last_hop))
        else:
            excess.append(group)
    if excess:
        assigned += _assign_to_fastest(excess, segment)
    return assigned


def _assign_to_fastest(
    pending: list[_PartialGroup], segment: _SegmentCapacity
) -> list[_PartialGroup]:
    """Assign groups to the fastest runners with unassigned streams."""
    assigned: list[_PartialGroup] = []
    first_layer = segment.layers.first
    for runner_id, available in segment.free.items():
        while available > _EPSILON and pending:
            streams, last_hop = pending.pop()
            amount = min(streams, available)
            available -= amount
            segment.free[runner_id] = available
            assigned.append(
                _PartialGroup(amount, _Hop(runner_id, first_layer, last_hop))
            )
            if streams - amount > _EPSILON:
                pending.append(_PartialGroup(streams - amount, last_hop))
        if not pending:
            break
    return assigned


def _cross_zone_segments(
    zones: Sequence[Sequence[_SegmentCapacity]],
) -> list[_SegmentCapacity]:
    """Return, by segment, the unassigned streams of the zone for cross-zone paths.

    Their number is the maximum that the zones allow; they change zone as late as
    possible.
    """
    boundaries = sorted(
        {segment.layers.first for segments in zones for segment in segments}
    )
    boundaries.append(zones[0][-1].layers.end)
    split_zones = [_split_at(segments, boundaries) for segments in zones]
    zone_streams = [[streams for _, streams in zone] for zone in split_zones]
    max_streams = min(map(max, zip(*zone_streams, strict=True)))
    chosen: list[_SegmentCapacity] = []
    while len(chosen) < len(boundaries) - 1:
        start = len(chosen)
        ends = [_run_end(counts, start, max_streams) for counts in zone_streams]
        zone = split_zones[ends.index(max(ends))]
        chosen += [
            _SegmentCapacity(
                LayerRange(boundaries[n], boundaries[n + 1]), dict(zone[n][0].free)
            )
            for n in range(start, max(ends))
        ]
    return chosen


def _split_at(
    segments: Sequence[_SegmentCapacity], boundaries: Sequence[int]
) -> list[tuple[_SegmentCapacity, float]]:
    """Return a zone's segment, and its streams, for each range between boundaries."""
    split = []
    for segment in segments:
        first, end = (bisect.bisect_left(boundaries, layer) for layer in segment.layers)
        split += [(segment, segment.streams)] * (end - first)
    return split


def _run_end(counts: Sequence[float], start: int, min_streams: float) -> int:
    """Return the index, from start on, of the first segment below the minimum."""
    below = (n for n in range(start, len(counts)) if counts[n] < min_streams)
    return next(below, len(counts))


def _path_parts(
    last_hop: _Hop | None, runners: Mapping[str, _Runner], layer_count: int
) -> tuple[_PathPart, ...]:
    """Return the parts of a path in order, from its last hop."""
    parts: list[_PathPart] = []
    end = layer_count
    while last_hop is not None:
        parts.append((runners[last_hop.runner_id], end - last_hop.first_layer))
        end = last_hop.first_layer
        last_hop = last_hop.previous
    return tuple(reversed(parts))


def _costs(groups: Sequence[_StreamGroup], engine: EngineSpec) -> list[_Cost]:
    """Return the costs of groups with all of them at full utilization."""
    batch_sizes: defaultdict[str, float] = defaultdict(float)
    prefill_ms: defaultdict[str, float] = defaultdict(float)
    steps_ms = [sum([n * r.step_ms for r, n in parts]) for _, parts in groups]
    for (streams, parts), step_ms in zip(groups, steps_ms, strict=True):
        for runner, layers in parts:
            # A stream is in the batch of one runner at a time, for the runner's
            # fraction of the token time.
            batch_sizes[runner.id] += streams * layers * runner.step_ms / step_ms
            prefill_ms[runner.id] += streams * layers * runner.prefill_ms
    costs = []
    for (streams, parts), step_ms in zip(groups, steps_ms, strict=True):
        zones = [runner.zone for runner, _ in parts]
        changes = [pair for pair in itertools.pairwise(zones) if pair[0] != pair[1]]
        delay_ms = sum(engine.delay_ms(*pair) for pair in changes)
        weighted_ms = sum([n * r.step_ms * prefill_ms[r.id] for r, n in parts])
        costs.append(
            _Cost(
                streams=streams,
                hop_ms=len(parts) * HOP_MS + delay_ms,
                step_ms=step_ms,
                batch_ms=sum([n * r.sequence_ms * batch_sizes[r.id] for r, n in parts]),
                prefill_ms=sum([n * r.prefill_ms for r, n in parts]),
                total_prefill_ms=weighted_ms / step_ms,
                link_ms=len(changes) * engine.zone_transfer_ms,
            )
        )
    return costs


def _times(cost: _Cost, utilization: float, engine: EngineSpec) -> _Times:
    """Return a group's times at some utilization.

    A runner prefills prompts in chunks between steps: this delays steps by its
    fraction of the time, and each chunk waits for one step.  An event has
    `tokens_per_step` tokens.
    """
    chunks = math.ceil(engine.usual_prompt_tokens / max(1, engine.chunk_tokens))
    passes = chunks + engine.usual_answer_tokens
    steps_ms = cost.step_ms + utilization * cost.batch_ms
    busy_ms = passes * steps_ms + cost.prefill_ms
    idle_ms = passes * cost.hop_ms + cost.link_ms
    slowdown = 1.0 / (
        1.0 - _prefill_fraction(utilization * cost.total_prefill_ms, busy_ms, idle_ms)
    )
    token_ms = slowdown * steps_ms + cost.hop_ms
    prefill_ms = slowdown * cost.prefill_ms + chunks * token_ms + cost.link_ms
    first_event_ms = prefill_ms + engine.tokens_per_step * token_ms
    stream_ms = prefill_ms + engine.usual_answer_tokens * token_ms
    return _Times(first_event_ms, token_ms, stream_ms)


def _prefill_fraction(prefill_ms: float, busy_ms: float, idle_ms: float) -> float:
    """Return the fraction of the runners' time that prefill takes.

    It is the p for which all prefill during a stream is p times the duration of the
    stream: p * (busy / (1 - p) + idle) = prefill.  It is below 1.

    Args:
        prefill_ms: Prefill by a stream's runners during the stream, for all streams.
        busy_ms: The part of a stream's time that prefill delays.
        idle_ms: The remaining part.
    """
    total_ms = busy_ms + idle_ms + prefill_ms
    root_ms = math.sqrt(total_ms * total_ms - 4.0 * idle_ms * prefill_ms)
    return 2.0 * prefill_ms / (total_ms + root_ms)


def _is_in_target(times: _Times, engine: EngineSpec, targets: Targets) -> bool:
    """Return whether first events and gaps are within target."""
    gap_ms = engine.tokens_per_step * times.token_ms
    return _is_within(times.first_event_ms, targets.first_event_s) and _is_within(
        gap_ms, targets.gap_s
    )


def _is_within(time_ms: float, target_s: float) -> bool:
    """Return whether a time is within a target, if there is one."""
    return target_s <= 0 or time_ms <= target_s * _MS_PER_S


def _max_utilization(
    cost: _Cost, full: _Times, engine: EngineSpec, targets: Targets
) -> float:
    """Return the maximum utilization of a group at which its times are in target.

    The headroom follows from the targets: both times grow with the utilization, so
    that the first of them to reach its target sets the maximum.
    """
    if _is_in_target(full, engine, targets):
        return 1.0
    low, high = 0.0, 1.0
    for _ in range(_SEARCH_STEPS):
        utilization = (low + high) / 2
        if _is_in_target(_times(cost, utilization, engine), engine, targets):
            low = utilization
        else:
            high = utilization
    return low


def _group_capacity(
    cost: _Cost, engine: EngineSpec, targets: Targets
) -> tuple[float, float]:
    """Return a group's concurrent streams, and its starts per second."""
    times = _times(cost, 1.0, engine)
    utilization = _max_utilization(cost, times, engine, targets)
    if utilization < 1.0:
        times = _times(cost, utilization, engine)
    streams = utilization * cost.streams
    return streams, streams * _MS_PER_S / times.stream_ms


def _limit_by_zone_link(
    groups: Sequence[_StreamGroup], engine: EngineSpec, targets: Targets
) -> list[_StreamGroup]:
    """Return groups that cross zones, reduced to what the link between zones allows.

    The link may be used up to the point where the queueing delay of prompts (as in
    an M/D/1 queue) takes up the slack of the group's first-event target.
    """
    used_ms_per_s = 0.0
    limited = []
    costs = zip(_costs(groups, engine), groups, strict=True)
    for cost, group in sorted(costs, key=lambda pair: pair[0].link_ms):
        streams, starts_per_s = _group_capacity(cost, engine, targets)
        if starts_per_s <= 0:
            continue
        if cost.link_ms > 0:
            utilization = streams / cost.streams
            first_ms = _times(cost, utilization, engine).first_event_ms
            max_ms_per_s = (
                _max_link_utilization(targets, first_ms, cost.link_ms) * _MS_PER_S
            )
            fraction = max(0.0, max_ms_per_s - used_ms_per_s) / (
                starts_per_s * cost.link_ms
            )
            starts_per_s *= min(1.0, fraction)
            used_ms_per_s += starts_per_s * cost.link_ms
            # Streams also take less time at a lower utilization.
            stream_ms = _times(cost, utilization * min(1.0, fraction), engine).stream_ms
            streams = starts_per_s * stream_ms / _MS_PER_S
        if streams > _EPSILON:
            limited.append(_StreamGroup(streams, group.parts))
    return limited


def _max_link_utilization(targets: Targets, first_ms: float, link_ms: float) -> float:
    """Return the link utilization whose queueing delay meets the target."""
    if targets.first_event_s <= 0:
        return 1.0
    slack_ms = max(0.0, targets.first_event_s * _MS_PER_S - first_ms)
    ratio = 2.0 * slack_ms / link_ms
    return ratio / (1.0 + ratio)
