# SPDX-License-Identifier: MIT
"""How full runners are, as far as one instance can tell without asking.

An instance knows its own streams exactly.  What all others have comes as a sum
from its neighbours (`load_sums`), some ticks old; and some services' runners tell
with their answers how full they are, for nothing.  What says that a runner is
fuller counts.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import collections
import math

from collections.abc import Callable
from typing import NamedTuple

from .backends import BackendServer
from .demand import NO_DEMAND, Demand
from .engine_model import EngineSpec
from .load_sums import EMPTY_LOAD, LoadTotals, ServerTotals, server_number
from .paths import LayerMap, Path, Stage
from .upstream import ServerLoad


#: Over how long crossings between zones are counted, in seconds.
_PIPE_SPAN_S = 2.0
_MS_PER_S = 1000.0
#: Below this a runner's tokens times layers are what rounding has left over.
_ROUNDING = 1e-6
#: From how many waiting streams on, at least and for each running one, a first runner
#: is full: fewer wait for their turn in its next passes.
_MIN_QUEUE = 4
_QUEUE_PART = 0.125
#: How long a first runner's report counts, in seconds; some requests' time.
_REPORT_LIFE_S = 2.0
_NO_STREAMS = ServerTotals(0, 0.0)
#: How fast the usual time of a stream follows what is seen, per stream.
_GAIN = 0.05


def _no_demand() -> Demand:
    """Return what is offered where no service is governed."""
    return NO_DEMAND


class _Report(NamedTuple):
    """The load that a first runner has reported, and when it came."""

    load: ServerLoad
    received_s: float


class StreamLoads:
    """One instance's view of the streams on runners.

    Attributes:
        own_demand: Returns what this instance is offered, of governed services, which
            is sent to others with its totals.

    .. versionadded:: 26.1.0
    """

    def __init__(self) -> None:
        self.own_demand: Callable[[], Demand] = _no_demand
        self._own_token_layers: dict[str, float] = {}
        self._own_by_first: dict[str, int] = {}
        #: When own streams crossed between zones, and for how long, in ms.
        self._crossings: collections.deque[tuple[float, float]] = collections.deque()
        self._reports_by_first: dict[str, _Report] = {}
        self._others: LoadTotals = EMPTY_LOAD
        self._others_taken_s = 0.0
        #: How long own streams last, in seconds; None before one has ended.
        self._stream_s: float | None = None

    @property
    def others(self) -> LoadTotals:
        """What all other instances have, as they last reported."""
        return self._others

    def update_others(self, others: LoadTotals, *, now_s: float) -> None:
        """Take in what all other instances have."""
        self._others = others
        self._others_taken_s = now_s

    def others_age_s(self, *, now_s: float) -> float | None:
        """Return the age of the others' sum in seconds, or None without any."""
        if not self._others.instances:
            return None
        return self._others.age_s + now_s - self._others_taken_s

    def mean_of_others(self) -> float | None:
        """Return the streams of each other instance on average, if they are known."""
        if not self._others.instances:
            return None
        streams = sum(one.streams for one in self._others.servers.values())
        return streams / self._others.instances

    def record_duration(self, stream_s: float) -> None:
        """Take in how long a stream of this instance has lasted, in seconds."""
        if self._stream_s is None:
            self._stream_s = stream_s
        self._stream_s += _GAIN * (stream_s - self._stream_s)

    def own_totals(self, *, now_s: float) -> LoadTotals:
        """Return what this instance has itself."""
        servers = {
            server_number(server_id): ServerTotals(
                self._own_by_first.get(server_id, 0), token_layers
            )
            for server_id, token_layers in self._own_token_layers.items()
        }
        return LoadTotals(
            instances=1,
            pipe_ms_per_s=self._own_pipe_ms_per_s(now_s=now_s),
            servers=servers,
            demand=self.own_demand(),
        )

    def started(
        self, path: Path, tokens: float, *, crossing_ms: float, now_s: float
    ) -> None:
        """Count a stream in on each runner of its path.

        Args:
            path: The runners.
            tokens: The tokens whose KV cache it needs.
            crossing_ms: How long it takes the pipe at each crossing, in ms.
            now_s: The current monotonic time, in seconds.
        """
        self._crossings.extend([(now_s, crossing_ms)] * path.zone_hops)
        first_id = path.first.id
        self._own_by_first[first_id] = self._own_by_first.get(first_id, 0) + 1
        for stage in path.stages:
            self._add(stage, tokens)

    def ended(self, path: Path, tokens: float) -> None:
        """Count a stream out again."""
        first_id = path.first.id
        own = self._own_by_first.get(first_id, 0) - 1
        if own > 0:
            self._own_by_first[first_id] = own
        else:
            self._own_by_first.pop(first_id, None)
        for stage in path.stages:
            self._add(stage, -tokens)

    def record_report(self, first_id: str, load: ServerLoad, *, now_s: float) -> None:
        """Take in what a first runner reports of the streams it has from all."""
        self._reports_by_first[first_id] = _Report(load, now_s)

    def utilization_by_server(
        self, layer_map: LayerMap, *, now_s: float
    ) -> dict[str, float]:
        """Return, by runner, how full it is."""
        return {
            server_id: self.utilization(server, layer_map.engine, now_s=now_s)
            for server_id, server in layer_map.holders.items()
        }

    def utilization(
        self, server: BackendServer, engine: EngineSpec, *, now_s: float
    ) -> float:
        """Return the part of a runner's room that is thought to be taken.

        Its room is its KV cache, and its slots for streams that begin there.
        """
        known = self.totals_at(server.id, now_s=now_s)
        slots_taken = self._slots_taken(server, known.streams, now_s=now_s)
        return max(slots_taken, _kv_cache_taken(server, engine, known.token_layers))

    def slot_utilization(self, server: BackendServer, *, now_s: float) -> float:
        """Return the part of a runner's slots that streams which begin there take.

        Above 1 where streams wait there, for a slot or for memory: then what it runs
        is all that it has room for.
        """
        known = self.totals_at(server.id, now_s=now_s)
        return self._slots_taken(server, known.streams, now_s=now_s)

    def _slots_taken(
        self, server: BackendServer, streams: int, *, now_s: float
    ) -> float:
        """Return the part of a runner's slots that some known streams take."""
        slots = max(1, server.slots)
        report = self._reports_by_first.get(server.id)
        if report is None or now_s - report.received_s >= _REPORT_LIFE_S:
            return streams / slots
        running, waiting = report.load.running, report.load.waiting
        taken = max(streams, running + waiting) / slots
        if waiting < max(_MIN_QUEUE, _QUEUE_PART * running):
            return taken
        return max(taken, 1.0 + waiting / max(1, running))

    def forget(self, server_id: str) -> None:
        """Forget a runner that is no longer listed."""
        self._reports_by_first.pop(server_id, None)

    def zone_link_utilization(self, *, now_s: float) -> float:
        """Return the part of the time that the pipe between zones is taken."""
        own_ms_per_s = self._own_pipe_ms_per_s(now_s=now_s)
        return (own_ms_per_s + self._others.pipe_ms_per_s) / _MS_PER_S

    def _own_pipe_ms_per_s(self, *, now_s: float) -> float:
        """Return how long own streams take the pipe, in ms a second."""
        while self._crossings and now_s - self._crossings[0][0] > _PIPE_SPAN_S:
            self._crossings.popleft()
        return sum(took_ms for _, took_ms in self._crossings) / _PIPE_SPAN_S

    def totals_at(self, server_id: str, *, now_s: float) -> ServerTotals:
        """Return what all instances are thought to have at a server.

        Of the others' streams those have ended since that last about as long as the
        news is old.
        """
        reported = self._others.servers.get(server_number(server_id), _NO_STREAMS)
        left = self._part_left(now_s=now_s)
        return ServerTotals(
            round(left * reported.streams) + self._own_by_first.get(server_id, 0),
            left * reported.token_layers + self._own_token_layers.get(server_id, 0.0),
        )

    def _part_left(self, *, now_s: float) -> float:
        """Return the part of the others' streams that has not ended since the news."""
        age_s = self.others_age_s(now_s=now_s)
        if age_s is None or not self._stream_s:
            return 1.0
        return math.exp(-age_s / self._stream_s)

    def _add(self, stage: Stage, tokens: float) -> None:
        """Add to a runner's tokens times layers."""
        added = tokens * stage.layers.size
        own = self._own_token_layers.get(stage.server.id, 0.0) + added
        if own > _ROUNDING:
            self._own_token_layers[stage.server.id] = own
        else:
            self._own_token_layers.pop(stage.server.id, None)


def added_utilization(
    path: Path, engine: EngineSpec, *, streams: float
) -> dict[str, float]:
    """Return, by runner, how much fuller some usual streams make a path's runners.

    .. versionadded:: 26.2.0
    """
    tokens = streams * engine.usual_tokens
    added = {
        stage.server.id: _kv_cache_taken(
            stage.server, engine, tokens * stage.layers.size
        )
        for stage in path.stages
    }
    slots_taken = streams / max(1, path.first.slots)
    added[path.first.id] = max(added[path.first.id], slots_taken)
    return added


def _kv_cache_taken(
    server: BackendServer, engine: EngineSpec, token_layers: float
) -> float:
    """Return the part of a runner's KV cache that is taken."""
    kind = engine.kinds.get(server.kind)
    if not token_layers or server.layers is None or kind is None:
        return 0.0
    size = server.layers.size
    room = engine.kv_capacity_tokens(kind, size) * size
    return token_layers / max(room, 1.0)
