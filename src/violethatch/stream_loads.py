# SPDX-License-Identifier: MIT
"""Estimates the utilization of runners without extra requests to them.

An instance has exact counts of its own streams.  The streams of all other instances
arrive as a sum from its neighbours (`load_sums`), some ticks old, and the runners of
some services report their load in response headers.  The maximum of these estimates
is used.

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


#: The window over which transfers between zones are counted, in seconds.
_ZONE_LINK_WINDOW_S = 2.0
_MS_PER_S = 1000.0
#: Smaller products of tokens and layers are rounding errors.
_ROUNDING_ERROR = 1e-6
#: The waiting streams from which on a first runner is full, as a minimum and as a
#: fraction of its running streams: fewer are scheduled within its next iterations.
_MIN_QUEUE = 4
_QUEUE_FRACTION = 0.125
#: How long a first runner's report is valid, in seconds: the time of a few requests.
_REPORT_TTL_S = 2.0
_NO_STREAMS = ServerTotals(0, 0.0)
#: The gain of the moving average of stream durations, per stream.
_DURATION_GAIN = 0.05


def _no_demand() -> Demand:
    """Return the demand without admission control."""
    return NO_DEMAND


class _Report(NamedTuple):
    """The load reported by a first runner, and when it was received."""

    load: ServerLoad
    received_s: float


class StreamLoads:
    """One instance's view of the streams on runners.

    Attributes:
        own_demand: Returns the demand at this instance for services under admission
            control, which is sent to other instances with the totals.

    .. versionadded:: 26.1.0
    """

    def __init__(self) -> None:
        self.own_demand: Callable[[], Demand] = _no_demand
        self._own_token_layers: dict[str, float] = {}
        self._own_streams: dict[str, int] = {}
        #: Times and durations in ms of own transfers between zones.
        self._crossings: collections.deque[tuple[float, float]] = collections.deque()
        self._reports: dict[str, _Report] = {}
        self._others: LoadTotals = EMPTY_LOAD
        self._others_updated_s = 0.0
        #: The mean duration of own streams, in seconds; None until a stream has ended.
        self._mean_stream_s: float | None = None

    @property
    def others(self) -> LoadTotals:
        """The last reported totals of all other instances."""
        return self._others

    def update_others(self, others: LoadTotals, *, now_s: float) -> None:
        """Update the totals of all other instances."""
        self._others = others
        self._others_updated_s = now_s

    def others_age_s(self, *, now_s: float) -> float | None:
        """Return the age of the others' totals in seconds; None without others."""
        if not self._others.instances:
            return None
        return self._others.age_s + now_s - self._others_updated_s

    def mean_of_others(self) -> float | None:
        """Return the mean number of streams per other instance; None without others."""
        if not self._others.instances:
            return None
        streams = sum(totals.streams for totals in self._others.servers.values())
        return streams / self._others.instances

    def record_duration(self, stream_s: float) -> None:
        """Update the mean duration with an own stream's, in seconds."""
        if self._mean_stream_s is None:
            self._mean_stream_s = stream_s
        self._mean_stream_s += _DURATION_GAIN * (stream_s - self._mean_stream_s)

    def own_totals(self, *, now_s: float) -> LoadTotals:
        """Return the totals of this instance."""
        servers = {
            server_number(server_id): ServerTotals(
                self._own_streams.get(server_id, 0), token_layers
            )
            for server_id, token_layers in self._own_token_layers.items()
        }
        return LoadTotals(
            instances=1,
            pipe_ms_per_s=self._own_zone_link_ms_per_s(now_s=now_s),
            servers=servers,
            demand=self.own_demand(),
        )

    def started(
        self, path: Path, tokens: float, *, crossing_ms: float, now_s: float
    ) -> None:
        """Add a stream to each runner of its path.

        Args:
            path: The runners.
            tokens: The tokens that it holds in the KV cache.
            crossing_ms: How long each of its transfers between zones occupies the
                link, in ms.
            now_s: The current monotonic time, in seconds.
        """
        self._crossings.extend([(now_s, crossing_ms)] * path.zone_hops)
        first_id = path.first.id
        self._own_streams[first_id] = self._own_streams.get(first_id, 0) + 1
        for stage in path.stages:
            self._add(stage, tokens)

    def ended(self, path: Path, tokens: float) -> None:
        """Remove a stream from each runner of its path."""
        first_id = path.first.id
        own = self._own_streams.get(first_id, 0) - 1
        if own > 0:
            self._own_streams[first_id] = own
        else:
            self._own_streams.pop(first_id, None)
        for stage in path.stages:
            self._add(stage, -tokens)

    def record_report(self, first_id: str, load: ServerLoad, *, now_s: float) -> None:
        """Record the load that a first runner reports for all instances."""
        self._reports[first_id] = _Report(load, now_s)

    def utilization_by_server(
        self, layer_map: LayerMap, *, now_s: float
    ) -> dict[str, float]:
        """Return the utilization by runner."""
        return {
            server_id: self.utilization(server, layer_map.engine, now_s=now_s)
            for server_id, server in layer_map.holders.items()
        }

    def utilization(
        self, server: BackendServer, engine: EngineSpec, *, now_s: float
    ) -> float:
        """Return the estimated fraction of a runner's capacity that is in use.

        Its capacity is its KV cache, and its slots for streams that start there.
        """
        totals = self.totals_at(server.id, now_s=now_s)
        used_slots = self._slot_utilization(server, totals.streams, now_s=now_s)
        return max(
            used_slots, _kv_cache_utilization(server, engine, totals.token_layers)
        )

    def slot_utilization(self, server: BackendServer, *, now_s: float) -> float:
        """Return the fraction of a runner's slots in use by streams that start there.

        It is above 1 while streams wait at the runner for a slot or for memory: the
        running streams are then its full capacity.
        """
        totals = self.totals_at(server.id, now_s=now_s)
        return self._slot_utilization(server, totals.streams, now_s=now_s)

    def _slot_utilization(
        self, server: BackendServer, streams: int, *, now_s: float
    ) -> float:
        """Return the fraction of a runner's slots in use, at least by *streams*."""
        slots = max(1, server.slots)
        report = self._reports.get(server.id)
        if report is None or now_s - report.received_s >= _REPORT_TTL_S:
            return streams / slots
        running, waiting = report.load.running, report.load.waiting
        used = max(streams, running + waiting) / slots
        if waiting < max(_MIN_QUEUE, _QUEUE_FRACTION * running):
            return used
        return max(used, 1.0 + waiting / max(1, running))

    def forget(self, server_id: str) -> None:
        """Discard the report of a runner that is no longer listed."""
        self._reports.pop(server_id, None)

    def zone_link_utilization(self, *, now_s: float) -> float:
        """Return the fraction of time that the link between zones is in use."""
        own_ms_per_s = self._own_zone_link_ms_per_s(now_s=now_s)
        return (own_ms_per_s + self._others.pipe_ms_per_s) / _MS_PER_S

    def _own_zone_link_ms_per_s(self, *, now_s: float) -> float:
        """Return how long own streams occupy the link between zones, in ms/s."""
        while self._crossings and now_s - self._crossings[0][0] > _ZONE_LINK_WINDOW_S:
            self._crossings.popleft()
        return sum(used_ms for _, used_ms in self._crossings) / _ZONE_LINK_WINDOW_S

    def totals_at(self, server_id: str, *, now_s: float) -> ServerTotals:
        """Return the estimated totals of all instances at a server.

        The others' streams are reduced by the fraction that has probably ended since
        the report.
        """
        reported = self._others.servers.get(server_number(server_id), _NO_STREAMS)
        remaining = self._remaining_fraction(now_s=now_s)
        return ServerTotals(
            round(remaining * reported.streams) + self._own_streams.get(server_id, 0),
            remaining * reported.token_layers
            + self._own_token_layers.get(server_id, 0.0),
        )

    def _remaining_fraction(self, *, now_s: float) -> float:
        """Return the fraction of the others' streams still running since the report."""
        age_s = self.others_age_s(now_s=now_s)
        if age_s is None or not self._mean_stream_s:
            return 1.0
        return math.exp(-age_s / self._mean_stream_s)

    def _add(self, stage: Stage, tokens: float) -> None:
        """Add to the product of tokens and layers at a runner."""
        added = tokens * stage.layers.size
        own = self._own_token_layers.get(stage.server.id, 0.0) + added
        if own > _ROUNDING_ERROR:
            self._own_token_layers[stage.server.id] = own
        else:
            self._own_token_layers.pop(stage.server.id, None)


def added_utilization(
    path: Path, engine: EngineSpec, *, streams: float
) -> dict[str, float]:
    """Return the utilization that typical streams add to the runners of a path.

    .. versionadded:: 26.2.0
    """
    tokens = streams * engine.usual_tokens
    added = {
        stage.server.id: _kv_cache_utilization(
            stage.server, engine, tokens * stage.layers.size
        )
        for stage in path.stages
    }
    used_slots = streams / max(1, path.first.slots)
    added[path.first.id] = max(added[path.first.id], used_slots)
    return added


def _kv_cache_utilization(
    server: BackendServer, engine: EngineSpec, token_layers: float
) -> float:
    """Return the fraction of a runner's KV cache that is in use."""
    kind = engine.kinds.get(server.kind)
    if not token_layers or server.layers is None or kind is None:
        return 0.0
    size = server.layers.size
    capacity = engine.kv_capacity_tokens(kind, size) * size
    return token_layers / max(capacity, 1.0)
