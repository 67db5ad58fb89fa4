# SPDX-License-Identifier: MIT
"""The choice of paths: the own zone first, shared out among its instances."""

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
from .local_paths import FULL, NearFirst
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


#: The part of its slots from which a first runner counts as having none left: what is
#: known of it is up to a second old, in which a seventh of its streams begin anew.
_NO_SLOT = 0.85
#: Into how many parts moves are laid: each stream of an instance that has to move
#: costs as many searches, and waits for them.
_MOVE_PARTS = 4
#: From how many first runners a path is searched for a request that may end one.
_MOST_FIRSTS = 3
#: To how many seconds rests are rounded up where the path is searched whose rests are
#: over first, and for how long that counts: callers are told times that are spread by
#: more, and it takes some searches, which all that are refused at once would ask for.
_REST_STEP_S = 0.25


def _rounded_up_s(left_s: float) -> float:
    """Return a rest's time rounded up to a step."""
    return math.ceil(left_s / _REST_STEP_S) * _REST_STEP_S


class _Maps(NamedTuple):
    """Who holds which layers, by the list of one revision."""

    revision: int
    #: All runners.
    whole: LayerMap
    #: By zone, its runners.
    zones: Mapping[str, LayerMap]


class _Shares(NamedTuple):
    """The parts of a service's streams, and when they were laid."""

    maps: _Maps
    paths: Sequence[Path]
    laid_s: float

    def is_of(self, maps: _Maps, *, now_s: float) -> bool:
        """Tell whether the parts are of these maps, and new enough."""
        return self.maps is maps and now_s - self.laid_s < SHARES_TTL_S


class _View(NamedTuple):
    """What a search leaves out, and what else it goes by."""

    left_out: frozenset[str]
    #: The path that a request moves from, if it moves.
    kept: Path | None
    paces: Mapping[str, float]
    pipe_fullness: float


class _KnownRoom(NamedTuple):
    """A service's room, and what it was worked out from."""

    maps: _Maps
    gone: frozenset[str]
    paces: Mapping[str, float]
    targets: Targets
    room: Room

    def is_of(
        self,
        maps: _Maps,
        gone: frozenset[str],
        paces: Mapping[str, float],
        targets: Targets,
    ) -> bool:
        """Tell whether nothing of that has changed."""
        is_same = self.maps is maps and self.gone == gone
        return is_same and self.paces == paces and self.targets == targets


class _FreeFirst(NamedTuple):
    """The path whose rests are over first, who rested then, and when that was."""

    maps: _Maps
    resting: frozenset[str]
    path: Path | None
    found_s: float

    def is_of(self, maps: _Maps, rests_s: Mapping[str, float], *, now_s: float) -> bool:
        """Tell whether it counts: the same servers rest, by a list that stands."""
        is_new = now_s - self.found_s < _REST_STEP_S
        return is_new and self.maps is maps and self.resting == rests_s.keys()


class BlockedTime(NamedTuple):
    """How long rests block the path that is free soonest, in seconds.

    Attributes:
        remaining_s: By what was seen and by what servers have asked for.
        requested_s: By what servers have asked for alone.
    """

    remaining_s: float
    requested_s: float


class PathSelector:
    """Chooses paths for one instance.

    Args:
        zone: The instance's availability zone.
        backends: The listed runners.
        health: Who is left alone.
        flow_control: Who has asked for rest.
        paces: Who is slow.
        loads: How full runners are.
        zone_link: Which requests may cross between zones.
        instances: Tells how many instances are known to serve; 0 where none is.
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
        self._gate = flow_control
        self._paces = paces
        self._loads = loads
        self._pipe = zone_link
        self._instances = instances
        self._unseen = UnreportedStreams()
        self._maps: dict[str, _Maps] = {}
        self._shares: dict[str, _Shares] = {}
        self._free_first: dict[str, _FreeFirst] = {}
        self._rooms: dict[str, _KnownRoom] = {}
        #: Tells the own place among the zone's instances.
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
        """Return the path to send along; see `Routing.path`."""
        if service.engine is None:
            return None
        now_s = clocks.now_s()
        maps = self._maps_of(service, service.engine)
        # What is under way at runners that rest stays there.
        stays = current_path.server_ids if current_path is not None else frozenset()
        steps = self._left_out(
            excluded,
            stays=stays,
            may_doubt=include_possibly_full,
            priority=priority,
            now_s=now_s,
        )
        if first_server is None:
            full = self._full_firsts(maps.whole, now_s=now_s)
            steps = list(dict.fromkeys([steps[0] | full, *steps]))
        for left_out in steps:
            view = self._view(left_out, current_path, now_s=now_s)
            if first_server is None:
                path = self._shared_path(service.name, maps, view, now_s=now_s)
            else:
                path = self._path_after(first_server, maps, view, now_s=now_s)
            if path is not None:
                return self._within_pipe(path, maps, view, first_server, now_s=now_s)
        return None

    def isolated_path(
        self, service: ServiceSpec, *, excluded: frozenset[str], key: str
    ) -> Path | None:
        """Return a path for a request under which a server has ended.

        It begins at one of the emptier first runners, which the request's key chooses:
        what it may end has few requests, and what was in its company is elsewhere.
        """
        if service.engine is None:
            return None
        now_s = clocks.now_s()
        left_out = (
            excluded
            | self._health.in_cooldown(now_s=now_s)
            | self._gate.avoided(now_s=now_s)
        )
        engine = service.engine
        firsts = [
            one
            for one in self._backends.usable(service.name)
            if one.layers is not None
            and one.layers.first == 0
            and one.id not in left_out
        ]
        firsts.sort(key=lambda one: self._loads.utilization(one, engine, now_s=now_s))
        emptier = {one.id: one for one in firsts[: max(2, len(firsts) // 2)]}
        for server_id in rendezvous(key, emptier, count=_MOST_FIRSTS):
            path = self.path(
                service, excluded=excluded, first_server=emptier[server_id]
            )
            if path is not None:
                return path
        return None

    def blocked_time(
        self, service: ServiceSpec, *, priority: int = 0
    ) -> BlockedTime | None:
        """Return how long rests and limits block all paths for a priority.

        None where some layer has no holder, whether it rests or not.
        """
        if service.engine is None:
            return None
        maps = self._maps_of(service, service.engine)
        now_s = clocks.now_s()
        asked_s = self._gate.blocked_s(priority=priority, now_s=now_s)
        rests_s = self._health.cooldowns_s(now_s=now_s)
        for server_id, left_s in asked_s.items():
            rests_s[server_id] = max(left_s, rests_s.get(server_id, 0.0))
        known = self._free_first.get(service.name)
        if known is None or not known.is_of(maps, rests_s, now_s=now_s):
            path = self._first_free(maps.whole, rests_s)
            known = _FreeFirst(maps, frozenset(rests_s), path, now_s)
            self._free_first[service.name] = known
        if known.path is None:
            return None
        return BlockedTime(
            max(rests_s.get(one, 0.0) for one in known.path.server_ids),
            max(asked_s.get(one, 0.0) for one in known.path.server_ids),
        )

    def _first_free(
        self, layer_map: LayerMap, rests_s: Mapping[str, float]
    ) -> Path | None:
        """Return the path whose rests are over first, or None if there is no path."""
        ends_s = sorted({_rounded_up_s(left_s) for left_s in rests_s.values()} | {0.0})
        earliest, latest = 0, len(ends_s) - 1
        found = layer_map.find(zone=self._zone)
        while found is not None and earliest < latest:
            middle = (earliest + latest) // 2
            left_out = {one for one, s in rests_s.items() if s > ends_s[middle]}
            path = layer_map.find(zone=self._zone, excluded=left_out)
            if path is None:
                earliest = middle + 1
            else:
                found, latest = path, middle
        return found

    def room(self, service: ServiceSpec, targets: Targets) -> Room:
        """Return what the runners that are there can take; full ones count.

        Args:
            service: A service with an engine.
            targets: What its callers wait for.
        """
        assert service.engine is not None
        now_s = clocks.now_s()
        maps = self._maps_of(service, service.engine)
        gone = self._health.excluded(now_s=now_s)
        paces = self._paces.slow(now_s=now_s)
        known = self._rooms.get(service.name)
        if known is None or not known.is_of(maps, gone, paces, targets):
            found = estimate_capacity(
                maps.whole, excluded=gone, slowdowns=paces, targets=targets
            )
            known = _KnownRoom(maps, gone, paces, targets, found)
            self._rooms[service.name] = known
        return known.room

    def running(self, service: ServiceSpec) -> int:
        """Return the streams of all instances at the runners that are there."""
        assert service.engine is not None
        now_s = clocks.now_s()
        gone = self._health.excluded(now_s=now_s)
        return sum(
            self._loads.totals_at(one.id, now_s=now_s).streams
            for one in self._maps_of(service, service.engine).whole.first_servers
            if one.id not in gone
        )

    def first_server_utilization(self, service: ServiceSpec, path: Path) -> float:
        """Return the part of a path's first runner that is taken."""
        assert service.engine is not None
        return self._loads.utilization(path.first, service.engine, now_s=clocks.now_s())

    def record_stream_start(self) -> None:
        """Count a stream that this instance begins."""
        self._unseen.record_start(now_s=clocks.now_s())

    def _left_out(
        self,
        avoided: frozenset[str],
        *,
        stays: frozenset[str],
        may_doubt: bool,
        priority: int,
        now_s: float,
    ) -> list[frozenset[str]]:
        """Return whom to leave out, and whom if that leaves no path.

        Args:
            avoided: Runners to leave alone in any case.
            stays: Runners that the request is on already.
            may_doubt: Whether runners that may only be full are used.
            priority: The request's.
            now_s: The current monotonic time, in seconds.
        """
        closed = self._gate.blocked_s(priority=priority, now_s=now_s).keys()
        bound = avoided | (closed - stays)
        resting = self._health.in_cooldown(now_s=now_s) | bound
        wished = self._gate.avoided(now_s=now_s) - stays
        steps = [resting | wished, resting]
        if may_doubt:
            steps.append(self._health.excluded(now_s=now_s) | bound)
        return list(dict.fromkeys(steps))

    def _full_firsts(self, layer_map: LayerMap, *, now_s: float) -> frozenset[str]:
        """Return the runners with no slot for a stream that begins there.

        Such a stream waits for another one to end, which takes longer than its first
        event may, whatever its path's steps take.
        """
        return frozenset(
            one.id
            for one in layer_map.first_servers
            if self._loads.slot_utilization(one, now_s=now_s) >= _NO_SLOT
        )

    def _view(
        self, left_out: frozenset[str], kept: Path | None, *, now_s: float
    ) -> _View:
        """Return what searches go by now."""
        return _View(
            left_out,
            kept,
            self._paces.slow(now_s=now_s),
            self._loads.zone_link_utilization(now_s=now_s),
        )

    def _shared_path(
        self, service: str, maps: _Maps, view: _View, *, now_s: float
    ) -> Path | None:
        """Return the path of this instance's share of new streams."""
        position = self.zone_position().position
        shares = self._shares.get(service)
        if shares is not None and shares.is_of(maps, now_s=now_s):
            path = select_path(shares.paths, position, excluded=view.left_out)
            if path is not None and not self._is_full(path.first, maps, now_s=now_s):
                return path
        parts = part_count(maps.zones[self._zone].chains)
        paths = self._lay(maps, view, parts=parts, now_s=now_s)
        self._shares[service] = _Shares(maps, paths, now_s)
        return select_path(paths, position, excluded=view.left_out)

    def _is_full(self, first: BackendServer, maps: _Maps, *, now_s: float) -> bool:
        """Tell whether a first runner has filled up since parts were laid."""
        fullness = self._loads.utilization(first, maps.whole.engine, now_s=now_s)
        return fullness >= FULL

    def _lay(
        self,
        maps: _Maps,
        view: _View,
        *,
        first: BackendServer | None = None,
        parts: int,
        now_s: float,
    ) -> list[Path]:
        """Lay what the zone's instances may begin, or move, onto paths."""
        unseen = self._unseen.expected(
            instances=self.zone_position().instances,
            report_age_s=self._loads.others_age_s(now_s=now_s),
            now_s=now_s,
        )
        engine = maps.whole.engine
        zone = first.availability_zone if first is not None else self._zone
        # The first runner's zone may have no other listed runner any more.
        near = maps.zones.get(zone, maps.whole)
        added = functools.partial(self._added, engine=engine, streams=unseen / parts)
        search = NearFirst(
            functools.partial(self._find, near, view, first=first),
            functools.partial(self._find, maps.whole, view, first=first),
            # A request that moves stays where its KV cache is, if it can.
            is_quick=True if first is not None else None,
        )
        fullness = self._loads.utilization_by_server(maps.whole, now_s=now_s)
        return assign_paths(search.find, fullness, added_utilization=added, parts=parts)

    def _added(
        self, path: Path, *, engine: EngineSpec, streams: float
    ) -> Mapping[str, float]:
        """Return, by runner, how much fuller a part makes a path's runners.

        What is quickest of all is quickest for the other zones too, which lay their
        streams there as well: after a return of all, one quick chain had twice what
        it has room for.
        """
        if path.first.availability_zone != self._zone:
            streams *= max(1.0, self._instances() / self.zone_position().instances)
        return added_utilization(path, engine, streams=streams)

    def _path_after(
        self, first: BackendServer, maps: _Maps, view: _View, *, now_s: float
    ) -> Path | None:
        """Return the path of this instance's share of moves that begin at a runner.

        When a group of runners goes dark, all instances move their streams in the
        same moment, each past the same ones.
        """
        paths = self._lay(maps, view, first=first, parts=_MOVE_PARTS, now_s=now_s)
        return select_path(paths, self.zone_position().position, excluded=view.left_out)

    def _within_pipe(
        self,
        path: Path,
        maps: _Maps,
        view: _View,
        first: BackendServer | None,
        *,
        now_s: float,
    ) -> Path | None:
        """Return a path, or one without the hops that the pipe has no room for."""
        if not path.zone_hops or self._may_cross(path, maps, now_s=now_s):
            return path
        fullness = self._loads.utilization_by_server(maps.whole, now_s=now_s)
        return self._find(maps.whole, view, fullness, first=first, may_cross=False)

    def _may_cross(self, path: Path, maps: _Maps, *, now_s: float) -> bool:
        """Tell whether a path's hops between zones are this instance's to take."""
        crossing_ms = maps.whole.engine.zone_transfer_ms
        cost_ms = path.zone_hops * crossing_ms * max(1, self._instances())
        return self._pipe.may_cross(cost_ms, now_s=now_s)

    def _find(
        self,
        layer_map: LayerMap,
        view: _View,
        fullness: Mapping[str, float],
        *,
        first: BackendServer | None = None,
        may_cross: bool = True,
    ) -> Path | None:
        """Search for the best path over some runners."""
        return layer_map.find(
            zone=self._zone,
            excluded=view.left_out,
            utilization=fullness,
            slowdowns=view.paces,
            first_server=first,
            current_path=view.kept,
            zone_link_utilization=view.pipe_fullness,
            allow_zone_hops=may_cross,
        )

    def _maps_of(self, service: ServiceSpec, engine: EngineSpec) -> _Maps:
        """Return who holds which layers, made anew when the list has changed.

        Engines are compared by value: each desired state has its own objects.
        """
        known = self._maps.get(service.name)
        revision = self._backends.revision
        if (
            known is not None
            and known.revision == revision
            and known.whole.engine == engine
        ):
            return known
        servers = self._backends.usable(service.name)
        zones = {one.availability_zone for one in servers} | {self._zone}
        by_zone = {
            zone: LayerMap(
                [one for one in servers if one.availability_zone == zone], engine
            )
            for zone in zones
        }
        maps = _Maps(revision, LayerMap(servers, engine), by_zone)
        self._maps[service.name] = maps
        return maps
