# SPDX-License-Identifier: MIT
"""Admits streams by priority and workspace, queues them, and refuses the rest.

Load pattern: for seconds, runners can take less than is asked for, after a group of
them was lost or while the most urgent callers surge.  Without this, streams of all
priorities fill the runners in the order of their coming, and all become late.
"""

from __future__ import annotations

import asyncio

from collections.abc import Callable, Iterable
from typing import Any

from . import clocks
from ._admission_types import (
    AdmissionObserver,
    AdmissionState,
    Capacity,
    PeerDemand,
    Returns,
    StartRequest,
    Unobserved,
)
from ._governed_service import GovernedService
from .demand import NO_DEMAND, RUNNING, Demand, DemandCounter, DemandKey, total_demand
from .desired import CallRoute, DesiredState
from .load_sums import server_number
from .paths import Path
from .router_settings import AdmissionSection
from .start_reservations import MAX_RETRY_S


__all__ = [
    "Admission",
    "AdmissionObserver",
    "AdmissionState",
    "Capacity",
    "PeerDemand",
    "Returns",
    "StartRequest",
]


#: How often plans are made anew, in seconds; the sums that they use come as often.
TICK_S = 0.25


class Admission:
    """Admits the streams of one instance.

    Args:
        section: The settings.
        capacity: Knows the runners.
        peers: Knows what other instances are asked for.
        returns: Reserves starts.
        phase: Where the instance begins to spread what it admits, 0 to 1: hundreds that
            begin alike would admit their first requests together.
    """

    def __init__(
        self,
        section: AdmissionSection,
        *,
        capacity: Capacity,
        peers: PeerDemand,
        returns: Returns,
        phase: float,
    ) -> None:
        self.section = section
        self.capacity = capacity
        self.peers = peers
        self.returns = returns
        self.phase = phase
        self.observer: AdmissionObserver = Unobserved()
        self.counter = DemandCounter()
        self._desired: DesiredState | None = None
        self._services: dict[str, GovernedService] = {}

    def apply_settings(self, section: AdmissionSection) -> None:
        """Take changed settings in."""
        self.section = section
        for service in self._services.values():
            service.take_section(section)
        self._govern()

    def apply_desired_state(self, desired: DesiredState) -> None:
        """Take a desired state in: it says which services are governed."""
        self._desired = desired
        self._govern()

    def _govern(self) -> None:
        """Begin and end governing services."""
        if self._desired is None:
            return
        governed = {
            name: routes
            for name, routes in self._desired.stream_routes().items()
            if self._is_governed(routes)
        }
        for name, routes in governed.items():
            spec = self._desired.services[name]
            known = self._services.get(name)
            if known is None:
                known = self._services[name] = GovernedService(self, spec)
            known.take_routes(spec, routes)
        for name in self._services.keys() - governed.keys():
            self._services.pop(name).release()

    def _is_governed(self, routes: Iterable[CallRoute]) -> bool:
        """Tell whether a service's streams are admitted by priority."""
        return self.section.governs(route.priority for route in routes)

    async def run(self) -> None:
        """Make plans anew, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.refresh()

    def refresh(self) -> None:
        """Make each governed service's plan anew."""
        for service in self._services.values():
            service.refresh(now_s=clocks.now_s())

    def demand(self) -> Demand:
        """Return what this instance is asked for."""
        if not self._services:
            return NO_DEMAND
        running = {
            DemandKey(one.number, RUNNING): float(one.own_running)
            for one in self._services.values()
            if one.own_running
        }
        counted = self.counter.demand(now_s=clocks.now_s())
        return total_demand([counted, Demand(running, {})])

    def is_governed(self, service: str) -> bool:
        """Tell whether a service's streams are admitted by priority."""
        return service in self._services

    async def admit(self, service: str, request: StartRequest) -> bool:
        """Admit a stream, or refuse it at once.

        Returns:
            Whether it uses a reserved start, which goes ahead of those that wait.

        Raises:
            NotAdmittedError: It is refused; nothing has run.
        """
        governed = self._services.get(service)
        return governed is not None and await governed.admit(request)

    async def path(
        self,
        service: str,
        request: StartRequest,
        find: Callable[[], Path | None],
        *,
        is_blocked: Callable[[float], bool],
        is_reserved: bool = False,
    ) -> Path | None:
        """Return a path for a stream's first send, waiting briefly for one with room.

        Args:
            service: The service's name.
            request: The stream.
            find: Searches for a path.
            is_blocked: Tells whether there will be none for so many seconds.
            is_reserved: Whether it uses a reserved start.
        """
        governed = self._services.get(service)
        if governed is None:
            return find()
        return await governed.path(
            request, find, is_blocked=is_blocked, is_reserved=is_reserved
        )

    def retry_after_s(
        self, service: str, request: StartRequest, *, blocked_s: float
    ) -> float | None:
        """Return when a caller that found no path should come back, in seconds.

        None where its service is not governed, or where what blocks it lasts longer
        than starts are reserved ahead.
        """
        governed = self._services.get(service)
        if governed is None or blocked_s >= MAX_RETRY_S:
            return None
        slot_s = governed.slot_s(request, reason="no_path")
        return max(slot_s, blocked_s)

    def stream_started(self, service: str) -> None:
        """Count an admitted stream in, until it is over."""
        governed = self._services.get(service)
        if governed is not None:
            governed.own_running += 1

    def stream_finished(self, service: str) -> None:
        """Count an admitted stream out, however it has ended."""
        governed = self._services.get(service)
        if governed is not None:
            governed.own_running = max(0, governed.own_running - 1)

    def record_outcome(self, service: str, *, is_in_target: bool) -> None:
        """Note whether a stream of this instance came within its targets."""
        governed = self._services.get(service)
        if governed is not None:
            governed.ended(is_in_target=is_in_target, now_s=clocks.now_s())

    def states(self) -> dict[str, AdmissionState]:
        """Return each governed service's state, for metrics."""
        return {name: one.state() for name, one in self._services.items()}

    def dump(self) -> dict[str, Any]:
        """Return each governed service's state, for a person or a tool."""
        return {name: one.dump() for name, one in self._services.items()}

    def workspace_names(self) -> dict[int, str]:
        """Return the declared workspaces by the number that stands for them."""
        if self._desired is None:
            return {}
        names = {one.name for one in self._desired.workspaces_by_key.values()}
        return {server_number(name): name for name in names}
