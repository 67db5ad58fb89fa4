# SPDX-License-Identifier: MIT
"""Admission control: admit, queue or reject streams by priority and workspace.

Load pattern: for seconds, the demand exceeds the capacity of the runners, after a group
of runners has failed or while the most urgent callers surge.  Without admission
control, streams of every priority would fill the runners in order of arrival and miss
their targets.
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
    NullAdmissionObserver,
    PeerDemand,
    RetryScheduler,
    StartRequest,
)
from ._background import FailureGuard
from ._service_admission import ServiceAdmission
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
    "RetryScheduler",
    "StartRequest",
]


#: The interval between plans, in seconds; it equals that of the sums that they use.
PLAN_INTERVAL_S = 0.25


class Admission:
    """Admits the streams of one instance.

    Args:
        section: The settings.
        capacity: Provides the capacity and load of the runners.
        peers: Provides the demand at other instances.
        returns: Reserves starts for retries.
        phase: The initial value of the admitter's remainders, 0 to 1.  It differs
            between instances, as hundreds with the same phase would admit their first
            requests simultaneously.
        failures: Contains errors of a service's plan.
    """

    def __init__(
        self,
        section: AdmissionSection,
        *,
        capacity: Capacity,
        peers: PeerDemand,
        returns: RetryScheduler,
        phase: float,
        failures: FailureGuard | None = None,
    ) -> None:
        self._failures = failures or FailureGuard()
        self.section = section
        self.capacity = capacity
        self.peers = peers
        self.returns = returns
        self.phase = phase
        self.observer: AdmissionObserver = NullAdmissionObserver()
        self.counter = DemandCounter()
        self._desired: DesiredState | None = None
        self._services: dict[str, ServiceAdmission] = {}

    def apply_settings(self, section: AdmissionSection) -> None:
        """Apply changed settings."""
        self.section = section
        for service in self._services.values():
            service.apply_settings(section)
        self._update_services()

    def apply_desired_state(self, desired: DesiredState) -> None:
        """Apply a desired state, which determines the governed services."""
        self._desired = desired
        self._update_services()

    def _update_services(self) -> None:
        """Add and remove governed services."""
        if self._desired is None:
            return
        governed = {
            name: routes
            for name, routes in self._desired.stream_routes().items()
            if self._routes_are_governed(routes)
        }
        for name, routes in governed.items():
            spec = self._desired.services[name]
            service = self._services.get(name)
            if service is None:
                service = self._services[name] = ServiceAdmission(self, spec)
            service.set_routes(spec, routes)
        for name in self._services.keys() - governed.keys():
            self._services.pop(name).release_waiting()

    def _routes_are_governed(self, routes: Iterable[CallRoute]) -> bool:
        """Return whether a service with these routes is governed."""
        return self.section.governs(route.priority for route in routes)

    async def run(self) -> None:
        """Update the plans periodically, until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            self.refresh()

    def refresh(self) -> None:
        """Update the plan of each governed service; keep those that can't be."""
        for name, service in self._services.items():
            work = f"admission plan of {name}"
            if not self._failures.is_paused(work):
                with self._failures.contain(work):
                    service.refresh(now_s=clocks.now_s())

    def demand(self) -> Demand:
        """Return the demand at this instance."""
        if not self._services:
            return NO_DEMAND
        running = {
            DemandKey(service.number, RUNNING): float(service.own_running)
            for service in self._services.values()
            if service.own_running
        }
        counted = self.counter.demand(now_s=clocks.now_s())
        return total_demand([counted, Demand(running, {})])

    def is_governed(self, service: str) -> bool:
        """Return whether admission control applies to a service."""
        return service in self._services

    async def admit(self, service: str, request: StartRequest) -> bool:
        """Admit a stream, or reject it immediately.

        Returns:
            Whether it uses a reserved start, which precedes waiting streams.

        Raises:
            NotAdmittedError: The stream is rejected; nothing has run.
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
        """Return a path for a stream's first send, after a short wait if necessary.

        Args:
            service: The service's name.
            request: The stream.
            find: Searches for a path.
            is_blocked: Returns whether no path will be available within a number of
                seconds.
            is_reserved: Whether the stream uses a reserved start.
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
        """Return the retry delay of a caller without a path, in seconds.

        None if its service is not governed, or if it is blocked for longer than starts
        can be reserved in advance.
        """
        governed = self._services.get(service)
        if governed is None or blocked_s >= MAX_RETRY_S:
            return None
        retry_s = governed.retry_delay_s(request, reason="no_path")
        return max(retry_s, blocked_s)

    def stream_started(self, service: str) -> None:
        """Add an admitted stream to the running streams."""
        governed = self._services.get(service)
        if governed is not None:
            governed.own_running += 1

    def stream_finished(self, service: str) -> None:
        """Remove an admitted stream from the running streams, whatever its outcome."""
        governed = self._services.get(service)
        if governed is not None:
            governed.own_running = max(0, governed.own_running - 1)

    def record_outcome(self, service: str, *, is_in_target: bool) -> None:
        """Record whether a stream of this instance met its targets."""
        governed = self._services.get(service)
        if governed is not None:
            governed.record_outcome(is_in_target=is_in_target, now_s=clocks.now_s())

    def states(self) -> dict[str, AdmissionState]:
        """Return the state of each governed service, for metrics."""
        return {name: service.state() for name, service in self._services.items()}

    def dump(self) -> dict[str, Any]:
        """Return the state of each governed service, for the state dump."""
        return {name: service.dump() for name, service in self._services.items()}

    def workspace_names(self) -> dict[int, str]:
        """Return the names of the declared workspaces by `server_number`."""
        if self._desired is None:
            return {}
        names = {
            workspace.name for workspace in self._desired.workspaces_by_key.values()
        }
        return {server_number(name): name for name in names}
