# SPDX-License-Identifier: MIT
"""Path selection with preference for the local zone, shared among its instances."""

from __future__ import annotations

import functools
import math

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from . import clocks
from ._flow_control import FlowController
from .backends import BackendServer, BackendTable
from .capacity import Room, Targets, estimate_capacity
from .desired import ServiceSpec
from .engine_model import EngineSpec
from .local_paths import FULL_UTILIZATION, LocalFirstSearch
from .membership import rendezvous
from .path_shares import (
    SHARES_TTL_S,
    SOLE_INSTANCE,
    UnreportedStreams,
    ZonePosition,
    assign_paths,
    part_count,
    select_path,
)
from .paths import LayerMap, Path
from .pipe_share import PipeShare
from .runner_health import RunnerHealth
from .slow_runners import SlowRunners
from .stream_loads import StreamLoads, added_utilization


#: Fraction of its slots from which a first runner counts as having none left.  Its load
#: report is up to a second old, in which a seventh of its streams are replaced.
_SLOTS_EXHAUSTED = 0.85
#: Number of parts for moves.  Each move of an instance costs as many searches, and
#: waits for them.
_MOVE_PARTS = 4
#: Max number of first runners to try for a request that may crash one.
_MAX_ISOLATED_FIRST_SERVERS = 3
#: Cooldowns are rounded up to this step in the search for the earliest available path,
#: whose result is cached for as long, in seconds.  The retry times of callers are
#: spread by more, and each search would otherwise be repeated for every rejection.
_COOLDOWN_STEP_S = 0.25


def _rounded_up_s(remaining_s: float) -> float:
    """Return the remaining time of a cooldown, rounded up to a step."""
    return math.ceil(remaining_s / _COOLDOWN_STEP_S) * _COOLDOWN_STEP_S


class _LayerMaps(NamedTuple):
    """Layer maps of one revision of the server list."""

    revision: int
    all_zones: LayerMap
    by_zone: Mapping[str, LayerMap]


class _AssignedPaths(NamedTuple):
    """The parts of a service's streams, and the time of their assignment."""

    maps: _LayerMaps
    paths: Sequence[Path]
    assigned_s: float

    def is_valid(self, maps: _LayerMaps, *, now_s: float) -> bool:
        """Return whether the parts use these maps and have not expired."""
        return self.maps is maps and now_s - self.assigned_s < SHARES_TTL_S


class _SearchInput(NamedTuple):
    """Constraints and state for a search."""

    excluded: frozenset[str]
    #: The path that a request moves from, if it moves.
    current_path: Path | None
    slowdowns: Mapping[str, float]
    zone_link_utilization: float


class _CachedRoom(NamedTuple):
    """A service's capacity, and the inputs that it was computed from."""

    maps: _LayerMaps
    unavailable: frozenset[str]
    slowdowns: Mapping[str, float]
    targets: Targets
    room: Room

    def is_valid(
        self,
        maps: _LayerMaps,
        unavailable: frozenset[str],
        slowdowns: Mapping[str, float],
        targets: Targets,
    ) -> bool:
        """Return whether all inputs are unchanged."""
        is_same = self.maps is maps and self.unavailable == unavailable
        return is_same and self.slowdowns == slowdowns and self.targets == targets


class _EarliestPath(NamedTuple):
    """The path whose cooldowns end first, and the servers in cooldown at that time."""

    maps: _LayerMaps
    cooling_down: frozenset[str]
    path: Path | None
    found_s: float

    def is_valid(
        self, maps: _LayerMaps, cooldowns_s: Mapping[str, float], *, now_s: float
    ) -> bool:
        """Return whether maps and servers in cooldown are unchanged and recent."""
        is_recent = now_s - self.found_s < _COOLDOWN_STEP_S
        return (
            is_recent and self.maps is maps and self.cooling_down == cooldowns_s.keys()
        )


class BlockedTime(NamedTuple):
    """Time until the earliest path is available again, in seconds.

    Attributes:
        remaining_s: By cooldowns, back-offs and limits.
        requested_s: By back-offs and limits that servers requested only.
    """

    remaining_s: float
    requested_s: float


class PathSelector:
    """Selects paths for one instance.

    Args:
        zone: The instance's availability zone.
        backends: The listed runners.
        health: Cooldowns of runners after failures.
        flow_control: Back-offs and limits that runners requested.
        paces: Slowdowns of runners.
        loads: Utilization of runners.
        zone_link: Decides which requests may use the link between zones.
        instances: Returns the number of known serving instances; 0 if none is known.
    """

    def __init__(
        self,
        zone: str,
        *,
        backends: BackendTable,
        health: RunnerHealth,
        flow_control: FlowController,
        paces: SlowRunners,
        loads: StreamLoads,
        zone_link: PipeShare,
        instances: Callable[[], int],
    ) -> None:
        self._zone = zone
        self._backends = backends
        self._health = health
        self._flow_control = flow_control
        self._slow_runners = paces
        self._loads = loads
        self._zone_link = zone_link
        self._instances = instances
        self._unreported = UnreportedStreams()
        self._maps: dict[str, _LayerMaps] = {}
        self._assigned: dict[str, _AssignedPaths] = {}
        self._earliest_paths: dict[str, _EarliestPath] = {}
        self._rooms: dict[str, _CachedRoom] = {}
        #: Returns this instance's position among the instances of the zone.
        self.zone_position: Callable[[], ZonePosition] = lambda: SOLE_INSTANCE

    def path(
        self,
        service: ServiceSpec,
        *,
        excluded: frozenset[str] = frozenset(),
        first_server: BackendServer | None = None,
        current_path: Path | None = None,
        include_possibly_full: bool = False,
        priority: int = 0,
    ) -> Path | None:
        """Return the path for a request; see `Routing.path`."""
        if service.engine is None:
            return None
        now_s = clocks.now_s()
        maps = self._layer_maps(service, service.engine)
        # A request in flight stays at its runners during their cooldown.
        current_servers = (
            current_path.server_ids if current_path is not None else frozenset()
        )
        steps = self._exclusion_steps(
            excluded,
            current_servers=current_servers,
            include_possibly_full=include_possibly_full,
            priority=priority,
            now_s=now_s,
        )
        if first_server is None:
            saturated = self._saturated_first_servers(maps.all_zones, now_s=now_s)
            steps = list(dict.fromkeys([steps[0] | saturated, *steps]))
        for step in steps:
            search_input = self._search_input(step, current_path, now_s=now_s)
            if first_server is None:
                path = self._shared_path(service.name, maps, search_input, now_s=now_s)
            else:
                path = self._path_from(first_server, maps, search_input, now_s=now_s)
            if path is not None:
                return self._limit_zone_hops(
                    path, maps, search_input, first_server, now_s=now_s
                )
        return None

    def isolated_path(
        self, service: ServiceSpec, *, excluded: frozenset[str], key: str
    ) -> Path | None:
        """Return a path for a request that may have crashed a server.

        It begins at one of the first runners with low utilization, selected by the
        request's key: another crash affects few requests, and the requests that were
        in flight with it before use other runners.
        """
        if service.engine is None:
            return None
        now_s = clocks.now_s()
        step = (
            excluded
            | self._health.in_cooldown(now_s=now_s)
            | self._flow_control.avoided(now_s=now_s)
        )
        engine = service.engine
        firsts = [
            server
            for server in self._backends.usable(service.name)
            if server.layers is not None
            and server.layers.first == 0
            and server.id not in step
        ]
        firsts.sort(
            key=lambda server: self._loads.utilization(server, engine, now_s=now_s)
        )
        candidates = {
            server.id: server for server in firsts[: max(2, len(firsts) // 2)]
        }
        for server_id in rendezvous(key, candidates, count=_MAX_ISOLATED_FIRST_SERVERS):
            path = self.path(
                service, excluded=excluded, first_server=candidates[server_id]
            )
            if path is not None:
                return path
        return None

    def blocked_time(
        self, service: ServiceSpec, *, priority: int = 0
    ) -> BlockedTime | None:
        """Return the time for which all paths are blocked for a priority.

        None if a layer has no holder, with or without cooldown.
        """
        if service.engine is None:
            return None
        maps = self._layer_maps(service, service.engine)
        now_s = clocks.now_s()
        requested_s = self._flow_control.blocked_s(priority=priority, now_s=now_s)
        cooldowns_s = self._health.cooldowns_s(now_s=now_s)
        for server_id, remaining_s in requested_s.items():
            cooldowns_s[server_id] = max(remaining_s, cooldowns_s.get(server_id, 0.0))
        cached = self._earliest_paths.get(service.name)
        if cached is None or not cached.is_valid(maps, cooldowns_s, now_s=now_s):
            path = self._find_earliest_path(maps.all_zones, cooldowns_s)
            cached = _EarliestPath(maps, frozenset(cooldowns_s), path, now_s)
            self._earliest_paths[service.name] = cached
        if cached.path is None:
            return None
        return BlockedTime(
            max(
                cooldowns_s.get(server_id, 0.0) for server_id in cached.path.server_ids
            ),
            max(
                requested_s.get(server_id, 0.0) for server_id in cached.path.server_ids
            ),
        )

    def _find_earliest_path(
        self, layer_map: LayerMap, cooldowns_s: Mapping[str, float]
    ) -> Path | None:
        """Return the path whose cooldowns end first, or None without a path."""
        ends_s = sorted(
            {_rounded_up_s(remaining_s) for remaining_s in cooldowns_s.values()} | {0.0}
        )
        earliest, latest = 0, len(ends_s) - 1
        found = layer_map.find(zone=self._zone)
        while found is not None and earliest < latest:
            middle = (earliest + latest) // 2
            excluded = {
                server_id
                for server_id, remaining_s in cooldowns_s.items()
                if remaining_s > ends_s[middle]
            }
            path = layer_map.find(zone=self._zone, excluded=excluded)
            if path is None:
                earliest = middle + 1
            else:
                found, latest = path, middle
        return found

    def room(self, service: ServiceSpec, targets: Targets) -> Room:
        """Return the capacity of the available runners, including full ones.

        Args:
            service: A service with an engine.
            targets: The latency targets of its callers.
        """
        assert service.engine is not None
        now_s = clocks.now_s()
        maps = self._layer_maps(service, service.engine)
        unavailable = self._health.excluded(now_s=now_s)
        slowdowns = self._slow_runners.slow(now_s=now_s)
        cached = self._rooms.get(service.name)
        if cached is None or not cached.is_valid(maps, unavailable, slowdowns, targets):
            computed = estimate_capacity(
                maps.all_zones,
                excluded=unavailable,
                slowdowns=slowdowns,
                targets=targets,
            )
            cached = _CachedRoom(maps, unavailable, slowdowns, targets, computed)
            self._rooms[service.name] = cached
        return cached.room

    def running(self, service: ServiceSpec) -> int:
        """Return the streams of all instances at the available runners."""
        assert service.engine is not None
        now_s = clocks.now_s()
        unavailable = self._health.excluded(now_s=now_s)
        return sum(
            self._loads.totals_at(server.id, now_s=now_s).streams
            for server in self._layer_maps(
                service, service.engine
            ).all_zones.first_servers
            if server.id not in unavailable
        )

    def first_server_utilization(self, service: ServiceSpec, path: Path) -> float:
        """Return the utilization of a path's first runner."""
        assert service.engine is not None
        return self._loads.utilization(path.first, service.engine, now_s=clocks.now_s())

    def record_stream_start(self) -> None:
        """Record a stream that this instance starts."""
        self._unreported.record_start(now_s=clocks.now_s())

    def _exclusion_steps(
        self,
        excluded: frozenset[str],
        *,
        current_servers: frozenset[str],
        include_possibly_full: bool,
        priority: int,
        now_s: float,
    ) -> list[frozenset[str]]:
        """Return the sets of runners to exclude, from the strictest to the weakest.

        Each set is used only if no path exists with the one before.

        Args:
            excluded: Runners to exclude in any case.
            current_servers: Runners that serve the request already.
            include_possibly_full: Whether runners that may only be full are used.
            priority: The request's priority.
            now_s: The current monotonic time, in seconds.
        """
        limited = self._flow_control.blocked_s(priority=priority, now_s=now_s).keys()
        required = excluded | (limited - current_servers)
        cooling_down = self._health.in_cooldown(now_s=now_s) | required
        optional = self._flow_control.avoided(now_s=now_s) - current_servers
        steps = [cooling_down | optional, cooling_down]
        if include_possibly_full:
            steps.append(self._health.excluded(now_s=now_s) | required)
        return list(dict.fromkeys(steps))

    def _saturated_first_servers(
        self, layer_map: LayerMap, *, now_s: float
    ) -> frozenset[str]:
        """Return the first runners without a free slot.

        A new stream would wait there for the end of another one, which takes longer
        than the limit for its first event, independent of the path's step times.
        """
        return frozenset(
            server.id
            for server in layer_map.first_servers
            if self._loads.slot_utilization(server, now_s=now_s) >= _SLOTS_EXHAUSTED
        )

    def _search_input(
        self, excluded: frozenset[str], current_path: Path | None, *, now_s: float
    ) -> _SearchInput:
        """Return the present input of searches."""
        return _SearchInput(
            excluded,
            current_path,
            self._slow_runners.slow(now_s=now_s),
            self._loads.zone_link_utilization(now_s=now_s),
        )

    def _shared_path(
        self,
        service: str,
        maps: _LayerMaps,
        search_input: _SearchInput,
        *,
        now_s: float,
    ) -> Path | None:
        """Return the path of this instance's part of the new streams."""
        position = self.zone_position().position
        assigned = self._assigned.get(service)
        if assigned is not None and assigned.is_valid(maps, now_s=now_s):
            path = select_path(assigned.paths, position, excluded=search_input.excluded)
            if path is not None and not self._is_full(path.first, maps, now_s=now_s):
                return path
        parts = part_count(maps.by_zone[self._zone].first_server_count)
        paths = self._assign_paths(maps, search_input, parts=parts, now_s=now_s)
        self._assigned[service] = _AssignedPaths(maps, paths, now_s)
        return select_path(paths, position, excluded=search_input.excluded)

    def _is_full(
        self, first_server: BackendServer, maps: _LayerMaps, *, now_s: float
    ) -> bool:
        """Return whether a first runner has become full since the assignment."""
        utilization = self._loads.utilization(
            first_server, maps.all_zones.engine, now_s=now_s
        )
        return utilization >= FULL_UTILIZATION

    def _assign_paths(
        self,
        maps: _LayerMaps,
        search_input: _SearchInput,
        *,
        first_server: BackendServer | None = None,
        parts: int,
        now_s: float,
    ) -> list[Path]:
        """Assign the streams that the zone's instances may start or move to paths."""
        unreported = self._unreported.expected(
            instances=self.zone_position().instances,
            report_age_s=self._loads.others_age_s(now_s=now_s),
            now_s=now_s,
        )
        engine = maps.all_zones.engine
        zone = (
            first_server.availability_zone if first_server is not None else self._zone
        )
        # The list may contain no other runner of the first runner's zone any more.
        local_map = maps.by_zone.get(zone, maps.all_zones)
        added_utilization = functools.partial(
            self._added_utilization, engine=engine, streams=unreported / parts
        )
        search = LocalFirstSearch(
            functools.partial(
                self._find, local_map, search_input, first_server=first_server
            ),
            functools.partial(
                self._find, maps.all_zones, search_input, first_server=first_server
            ),
            # A request that moves stays in the zone of its KV cache if possible.
            is_local_fast=True if first_server is not None else None,
        )
        utilization = self._loads.utilization_by_server(maps.all_zones, now_s=now_s)
        return assign_paths(
            search.find, utilization, added_utilization=added_utilization, parts=parts
        )

    def _added_utilization(
        self, path: Path, *, engine: EngineSpec, streams: float
    ) -> Mapping[str, float]:
        """Return the utilization that a part adds to a path's runners, by id.

        The fastest chain is the best one for other zones too, which assign their
        streams to it as well: after a recovery of all zones, a fast chain had twice
        the load of its capacity.
        """
        if path.first.availability_zone != self._zone:
            streams *= max(1.0, self._instances() / self.zone_position().instances)
        return added_utilization(path, engine, streams=streams)

    def _path_from(
        self,
        first_server: BackendServer,
        maps: _LayerMaps,
        search_input: _SearchInput,
        *,
        now_s: float,
    ) -> Path | None:
        """Return the path of this instance's part of the moves from a first runner.

        When a group of runners becomes unreachable, all instances move their streams
        at the same moment and exclude the same runners.
        """
        paths = self._assign_paths(
            maps,
            search_input,
            first_server=first_server,
            parts=_MOVE_PARTS,
            now_s=now_s,
        )
        return select_path(
            paths, self.zone_position().position, excluded=search_input.excluded
        )

    def _limit_zone_hops(
        self,
        path: Path,
        maps: _LayerMaps,
        search_input: _SearchInput,
        first_server: BackendServer | None,
        *,
        now_s: float,
    ) -> Path | None:
        """Return the path, or one without zone hops if the link has no capacity."""
        if not path.zone_hops or self._may_use_zone_link(path, maps, now_s=now_s):
            return path
        utilization = self._loads.utilization_by_server(maps.all_zones, now_s=now_s)
        return self._find(
            maps.all_zones,
            search_input,
            utilization,
            first_server=first_server,
            allow_zone_hops=False,
        )

    def _may_use_zone_link(self, path: Path, maps: _LayerMaps, *, now_s: float) -> bool:
        """Return whether this instance's share of the zone link permits a path."""
        transfer_ms = maps.all_zones.engine.zone_transfer_ms
        cost_ms = path.zone_hops * transfer_ms * max(1, self._instances())
        return self._zone_link.may_cross(cost_ms, now_s=now_s)

    def _find(
        self,
        layer_map: LayerMap,
        search_input: _SearchInput,
        utilization: Mapping[str, float],
        *,
        first_server: BackendServer | None = None,
        allow_zone_hops: bool = True,
    ) -> Path | None:
        """Search for the best path in a layer map."""
        return layer_map.find(
            zone=self._zone,
            excluded=search_input.excluded,
            utilization=utilization,
            slowdowns=search_input.slowdowns,
            first_server=first_server,
            current_path=search_input.current_path,
            zone_link_utilization=search_input.zone_link_utilization,
            allow_zone_hops=allow_zone_hops,
        )

    def _layer_maps(self, service: ServiceSpec, engine: EngineSpec) -> _LayerMaps:
        """Return the layer maps, rebuilt after a change of the server list.

        Engines are compared by value: each desired state has its own objects.
        """
        cached = self._maps.get(service.name)
        revision = self._backends.revision
        if (
            cached is not None
            and cached.revision == revision
            and cached.all_zones.engine == engine
        ):
            return cached
        servers = self._backends.usable(service.name)
        zones = {server.availability_zone for server in servers} | {self._zone}
        by_zone = {
            zone: LayerMap(
                [server for server in servers if server.availability_zone == zone],
                engine,
            )
            for zone in zones
        }
        maps = _LayerMaps(revision, LayerMap(servers, engine), by_zone)
        self._maps[service.name] = maps
        return maps
