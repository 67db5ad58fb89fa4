# SPDX-License-Identifier: MIT
"""The capacity of an engine's usable runners, for streams that stay within target.

Load pattern: groups of runners are lost while demand surges.  How much the rest
serves follows from who holds which layers, and has to be known at once, before
any stream is late.

The streams of a zone are bounded by the layers with the least KV cache.  They are
laid onto the zone's runners in strands, each of which passes the same runners; the
engine's formulas then give a strand's first event and gaps by how full it is.
What zones hold beyond their own bound is joined across zones as far as the pipe
between them carries it.

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
#: Halvings in the search for a strand's fill; 10 leave a thousandth.
_FILL_HALVINGS = 10
#: A zone's strands are bounded by this or by the number of runners, if that is larger:
#: the work stays linear where ranges overlap in many ways.  The widest are kept; the
#: reference fleets have up to 36 with 99 runners.
_LEAST_STRANDS = 16
#: Below this number of streams a strand is what rounding has left over.
_ROUNDING = 1e-6


class Targets(NamedTuple):
    """What callers need of a stream.

    Attributes:
        first_event_s: The time to the first event, in seconds.
        gap_s: The time between events, in seconds; 0 if the routes declare none.

    .. versionadded:: 26.5.0
    """

    first_event_s: float
    gap_s: float


class Room(NamedTuple):
    """What usable runners can hold and start, with all streams within target.

    Attributes:
        streams: Concurrent streams.
        starts_per_s: Streams per second, in steady state.
        tokens_per_s: Tokens of answers per second.
        stream_s: The duration of a typical stream at that fill, in seconds; 0 if
            there is no room.

    .. versionadded:: 26.5.0
    """

    streams: float
    starts_per_s: float
    tokens_per_s: float
    stream_s: float


class _Runner(NamedTuple):
    """A usable runner; times are for one layer."""

    id: str
    zone: str
    first: int
    end: int
    slots: float
    #: Streams whose KV cache it holds over its whole range.
    streams: float
    step_ms: float
    writer_ms: float
    read_ms: float


class _Column(NamedTuple):
    """A segment, and by runner's id the streams that it can still take there."""

    layers: LayerRange
    free: dict[str, float]

    @property
    def width(self) -> float:
        """All streams that it can still take."""
        return sum(self.free.values())


class _Visit(NamedTuple):
    """A runner that streams have come to, at their first layer there."""

    runner_id: str
    first_layer: int
    before: _Visit | None


class _Flow(NamedTuple):
    """Streams that have come through some segments on the same runners."""

    streams: float
    last: _Visit | None


#: A runner, and how many layers a strand's streams pass there.
_Part = tuple[_Runner, int]


class _Strand(NamedTuple):
    """Streams that pass the same runners, first layer to last."""

    streams: float
    parts: tuple[_Part, ...]


class _Times(NamedTuple):
    """A strand's times when it is filled to some part."""

    first_event_ms: float
    token_ms: float
    stream_ms: float


class _Cost(NamedTuple):
    """What a strand's times are made of.

    Attributes:
        streams: Concurrent streams when it is full.
        hop_ms: Hops of one token.
        step_ms: Steps of one token without other writers.
        writers_ms: What the writers of a full strand add to them.
        read_ms: Reading a usual prompt.
        reading_ms: Reading by a stream's runners for all their streams, during a
            stream's time.
        pipe_ms: How long a usual prompt takes up the pipe between zones.
    """

    streams: float
    hop_ms: float
    step_ms: float
    writers_ms: float
    read_ms: float
    reading_ms: float
    pipe_ms: float


def estimate_capacity(
    layer_map: LayerMap,
    *,
    excluded: Collection[str],
    slowdowns: Mapping[str, float],
    targets: Targets,
) -> Room:
    """Return how many streams the usable runners hold and start within target.

    Args:
        layer_map: The runners of the service, in all zones.
        excluded: Ids of runners that are not usable.
        slowdowns: By id, how many times longer slow runners take for a step.
        targets: What callers need; a time that is not positive bounds nothing.

    .. versionadded:: 26.5.0
    """
    engine = layer_map.engine
    usable = [one for one in layer_map.holders.values() if one.id not in excluded]
    runners = {one.id: one for one in _runners(usable, engine, slowdowns)}
    by_zone: defaultdict[str, list[_Runner]] = defaultdict(list)
    for runner in runners.values():
        by_zone[runner.zone].append(runner)
    zones = [_columns(held, engine.layer_count) for _, held in sorted(by_zone.items())]
    strands = [strand for columns in zones for strand in _fill(columns, runners)]
    if len(zones) > 1:
        across = _fill(_across(zones), runners)
        strands += _limited_by_pipe(across, engine, targets)
    rates = [_strand_room(cost, engine, targets) for cost in _costs(strands, engine)]
    streams = sum(count for count, _ in rates)
    starts_per_s = sum(starts for _, starts in rates)
    if starts_per_s <= 0:
        return Room(0.0, 0.0, 0.0, 0.0)
    tokens_per_s = starts_per_s * engine.usual_answer_tokens
    return Room(streams, starts_per_s, tokens_per_s, streams / starts_per_s)


def _runners(
    servers: Iterable[BackendServer], engine: EngineSpec, paces: Mapping[str, float]
) -> list[_Runner]:
    """Return runners with their times, the quickest first."""
    # A stream holds its prompt and on average half of its answer.
    held_tokens = engine.usual_prompt_tokens + engine.usual_answer_tokens / 2
    layer_ms = {
        name: (
            engine.step_time_ms(kind, 1, batch_size=0.0),
            engine.step_time_ms(kind, 1),
            engine.usual_prefill_ms(kind, 1),
        )
        for name, kind in engine.kinds.items()
    }
    runners = []
    for one in servers:
        assert one.layers is not None
        step_ms, step_of_one_ms, read_ms = layer_ms[one.kind]
        pace = paces.get(one.id, 1.0)
        kv_tokens = engine.kv_capacity_tokens(engine.kinds[one.kind], one.layers.size)
        runners.append(
            _Runner(
                id=one.id,
                zone=one.availability_zone,
                first=one.layers.first,
                end=one.layers.end,
                slots=float(max(1, one.slots)),
                streams=kv_tokens / max(1.0, held_tokens),
                step_ms=step_ms * pace,
                writer_ms=(step_of_one_ms - step_ms) * pace,
                read_ms=read_ms * pace,
            )
        )
    return sorted(runners, key=lambda one: (one.step_ms, one.id))


def _columns(runners: Sequence[_Runner], layer_count: int) -> list[_Column]:
    """Return a zone's segments with their free streams, first layer to last."""
    ends = itertools.chain.from_iterable((one.first, one.end) for one in runners)
    cuts = sorted({0, layer_count, *ends})
    columns = [_Column(LayerRange(*pair), {}) for pair in itertools.pairwise(cuts)]
    index = {column.layers.first: n for n, column in enumerate(columns)}
    for one in runners:
        for column in columns[index[one.first] : index.get(one.end)]:
            column.free[one.id] = one.streams
    begun = (one for one in runners if not one.first)
    columns[0].free.update((one.id, min(one.streams, one.slots)) for one in begun)
    return columns


def _fill(columns: Sequence[_Column], runners: Mapping[str, _Runner]) -> list[_Strand]:
    """Take as many streams as fit from columns; return them as strands."""
    most = max(_LEAST_STRANDS, len(runners))
    amount = min(column.width for column in columns)
    flows = [_Flow(amount, None)] if amount > _ROUNDING else []
    for column in columns:
        flows = _go_on(flows, column)
        if len(flows) > most:
            flows = heapq.nlargest(most, flows, key=_streams_of)
    layer_count = columns[-1].layers.end
    return [
        _Strand(streams, _parts(last, runners, layer_count)) for streams, last in flows
    ]


def _streams_of(flow: _Flow) -> float:
    """Sort key of flows."""
    return flow.streams


def _go_on(flows: Iterable[_Flow], column: _Column) -> list[_Flow]:
    """Lead flows through a column; what can't stay goes to the quickest runners."""
    free = column.free
    gone_on: list[_Flow] = []
    moving: list[_Flow] = []
    for flow in flows:
        streams, last = flow
        left = free.get(last.runner_id, 0.0) if last else 0.0
        if last and streams <= left:
            free[last.runner_id] = left - streams
            gone_on.append(flow)
        elif last and left > _ROUNDING:
            free[last.runner_id] = 0.0
            gone_on.append(_Flow(left, last))
            moving.append(_Flow(streams - left, last))
        else:
            moving.append(flow)
    if moving:
        gone_on += _moved(moving, column)
    return gone_on


def _moved(moving: list[_Flow], column: _Column) -> list[_Flow]:
    """Return flows on the quickest runners that have streams free."""
    moved: list[_Flow] = []
    first_layer = column.layers.first
    for runner_id, left in column.free.items():
        while left > _ROUNDING and moving:
            streams, last = moving.pop()
            taken = min(streams, left)
            left -= taken
            column.free[runner_id] = left
            moved.append(_Flow(taken, _Visit(runner_id, first_layer, last)))
            if streams - taken > _ROUNDING:
                moving.append(_Flow(streams - taken, last))
        if not moving:
            break
    return moved


def _across(zones: Sequence[Sequence[_Column]]) -> list[_Column]:
    """Return, by segment, what the zone has left that crossing streams pass there.

    They are as many as the zones allow, and change zone as late as they can.
    """
    cuts = sorted({one.layers.first for columns in zones for one in columns})
    cuts.append(zones[0][-1].layers.end)
    held = [_by_cut(columns, cuts) for columns in zones]
    widths = [[width for _, width in one] for one in held]
    most = min(map(max, zip(*widths, strict=True)))
    chosen: list[_Column] = []
    while len(chosen) < len(cuts) - 1:
        start = len(chosen)
        ends = [_stretch_end(one, start, most) for one in widths]
        zone = held[ends.index(max(ends))]
        chosen += [
            _Column(LayerRange(cuts[n], cuts[n + 1]), dict(zone[n][0].free))
            for n in range(start, max(ends))
        ]
    return chosen


def _by_cut(
    columns: Sequence[_Column], cuts: Sequence[int]
) -> list[tuple[_Column, float]]:
    """Return a zone's column and its width for each segment between cuts."""
    held = []
    for column in columns:
        first, end = (bisect.bisect_left(cuts, layer) for layer in column.layers)
        held += [(column, column.width)] * (end - first)
    return held


def _stretch_end(widths: Sequence[float], start: int, least: float) -> int:
    """Return the first segment from some one on that is narrower than the least."""
    narrow = (n for n in range(start, len(widths)) if widths[n] < least)
    return next(narrow, len(widths))


def _parts(
    last: _Visit | None, runners: Mapping[str, _Runner], layer_count: int
) -> tuple[_Part, ...]:
    """Return the parts of a strand, first to last, from its last visit."""
    parts: list[_Part] = []
    end = layer_count
    while last is not None:
        parts.append((runners[last.runner_id], end - last.first_layer))
        end = last.first_layer
        last = last.before
    return tuple(reversed(parts))


def _costs(strands: Sequence[_Strand], engine: EngineSpec) -> list[_Cost]:
    """Return what strands cost when all of them are full."""
    writers: defaultdict[str, float] = defaultdict(float)
    reading_ms: defaultdict[str, float] = defaultdict(float)
    steps_ms = [sum([n * r.step_ms for r, n in parts]) for _, parts in strands]
    for (streams, parts), step_ms in zip(strands, steps_ms, strict=True):
        for runner, layers in parts:
            # A stream is at one runner at a time: it writes there for its part of
            # the token time.
            writers[runner.id] += streams * layers * runner.step_ms / step_ms
            reading_ms[runner.id] += streams * layers * runner.read_ms
    costs = []
    for (streams, parts), step_ms in zip(strands, steps_ms, strict=True):
        zones = [runner.zone for runner, _ in parts]
        changes = [pair for pair in itertools.pairwise(zones) if pair[0] != pair[1]]
        delay_ms = sum(engine.delay_ms(*pair) for pair in changes)
        reading = sum([n * r.step_ms * reading_ms[r.id] for r, n in parts])
        costs.append(
            _Cost(
                streams=streams,
                hop_ms=len(parts) * HOP_MS + delay_ms,
                step_ms=step_ms,
                writers_ms=sum([n * r.writer_ms * writers[r.id] for r, n in parts]),
                read_ms=sum([n * r.read_ms for r, n in parts]),
                reading_ms=reading / step_ms,
                pipe_ms=len(changes) * engine.zone_transfer_ms,
            )
        )
    return costs


def _times(cost: _Cost, fill: float, engine: EngineSpec) -> _Times:
    """Return a strand's times when it is filled to some part.

    A runner reads prompts in chunks between steps: reading delays steps by its part
    of the time, and each chunk waits for one step.  An event holds a stride of tokens.
    """
    chunks = math.ceil(engine.usual_prompt_tokens / max(1, engine.chunk_tokens))
    passes = chunks + engine.usual_answer_tokens
    steps_ms = cost.step_ms + fill * cost.writers_ms
    busy_ms = passes * steps_ms + cost.read_ms
    idle_ms = passes * cost.hop_ms + cost.pipe_ms
    slowness = 1.0 / (1.0 - _reading(fill * cost.reading_ms, busy_ms, idle_ms))
    token_ms = slowness * steps_ms + cost.hop_ms
    read_ms = slowness * cost.read_ms + chunks * token_ms + cost.pipe_ms
    first_event_ms = read_ms + engine.tokens_per_step * token_ms
    stream_ms = read_ms + engine.usual_answer_tokens * token_ms
    return _Times(first_event_ms, token_ms, stream_ms)


def _reading(reading_ms: float, busy_ms: float, idle_ms: float) -> float:
    """Return the part of runners' time that reading takes.

    It is the part p for which all reading during a stream is p times the stream's
    time: p * (busy / (1 - p) + idle) = reading.  It is below 1.

    Args:
        reading_ms: Reading by a stream's runners during its time, for all streams.
        busy_ms: The part of a stream's time that reading delays.
        idle_ms: The part that it doesn't.
    """
    total_ms = busy_ms + idle_ms + reading_ms
    root_ms = math.sqrt(total_ms * total_ms - 4.0 * idle_ms * reading_ms)
    return 2.0 * reading_ms / (total_ms + root_ms)


def _is_in_target(times: _Times, engine: EngineSpec, targets: Targets) -> bool:
    """Tell whether first events and gaps are within target."""
    gap_ms = engine.tokens_per_step * times.token_ms
    return _is_within(times.first_event_ms, targets.first_event_s) and _is_within(
        gap_ms, targets.gap_s
    )


def _is_within(time_ms: float, target_s: float) -> bool:
    """Tell whether a time is within a target, if there is one."""
    return target_s <= 0 or time_ms <= target_s * _MS_PER_S


def _strand_fill(
    cost: _Cost, full: _Times, engine: EngineSpec, targets: Targets
) -> float:
    """Return the largest part to which a strand fills with its times in target.

    The headroom follows from the targets: both times grow with the fill, so that a
    strand is full where the first of them reaches its target.
    """
    if _is_in_target(full, engine, targets):
        return 1.0
    low, high = 0.0, 1.0
    for _ in range(_FILL_HALVINGS):
        fill = (low + high) / 2
        if _is_in_target(_times(cost, fill, engine), engine, targets):
            low = fill
        else:
            high = fill
    return low


def _strand_room(
    cost: _Cost, engine: EngineSpec, targets: Targets
) -> tuple[float, float]:
    """Return a strand's concurrent streams, and its starts per second."""
    times = _times(cost, 1.0, engine)
    fill = _strand_fill(cost, times, engine, targets)
    if fill < 1.0:
        times = _times(cost, fill, engine)
    streams = fill * cost.streams
    return streams, streams * _MS_PER_S / times.stream_ms


def _limited_by_pipe(
    strands: Sequence[_Strand], engine: EngineSpec, targets: Targets
) -> list[_Strand]:
    """Return strands that cross zones, as wide as the pipe between zones allows.

    The pipe may be used up to where prompts wait for it (as in an M/D/1 queue) as
    long as their strand's target for the first event leaves.
    """
    taken_ms_per_s = 0.0
    limited = []
    costs = zip(_costs(strands, engine), strands, strict=True)
    for cost, strand in sorted(costs, key=lambda one: one[0].pipe_ms):
        streams, starts_per_s = _strand_room(cost, engine, targets)
        if starts_per_s <= 0:
            continue
        if cost.pipe_ms > 0:
            fill = streams / cost.streams
            first_ms = _times(cost, fill, engine).first_event_ms
            most = _pipe_part(targets, first_ms, cost.pipe_ms) * _MS_PER_S
            left = max(0.0, most - taken_ms_per_s) / (starts_per_s * cost.pipe_ms)
            starts_per_s *= min(1.0, left)
            taken_ms_per_s += starts_per_s * cost.pipe_ms
            # Fewer streams than it has space for are also over sooner.
            stream_ms = _times(cost, fill * min(1.0, left), engine).stream_ms
            streams = starts_per_s * stream_ms / _MS_PER_S
        if streams > _ROUNDING:
            limited.append(_Strand(streams, strand.parts))
    return limited


def _pipe_part(targets: Targets, first_ms: float, pipe_ms: float) -> float:
    """Return the part of the pipe's time at which waits use up the target."""
    if targets.first_event_s <= 0:
        return 1.0
    slack_ms = max(0.0, targets.first_event_s * _MS_PER_S - first_ms)
    waits = 2.0 * slack_ms / pipe_ms
    return waits / (1.0 + waits)
