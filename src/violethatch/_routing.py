# SPDX-License-Identifier: MIT
"""State, selection and budgets that are shared by all calls of one router."""

from __future__ import annotations

import functools
import random

from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Protocol

from . import clocks, events
from ._admission import Admission
from ._admission_ports import AggregatedPeerDemand, JitteredRetryScheduler
from ._background import FailureGuard
from ._flow_control import FlowController
from ._path_choice import BlockedTime, PathSelector
from ._probes import Probes
from ._retry_budgets import RetryBudgets
from .backends import BackendServer, BackendTable
from .desired import ServiceSpec
from .entry_checks import entry_fault
from .fault_reports import FaultReport, FaultReportReceiver, should_broadcast
from .forwarding import AnnouncedLinks, Forwarding, LinkWatch
from .memory_budget import MemoryBudget
from .path_shares import ZonePosition
from .paths import Path
from .pipe_share import PipeShare
from .retry_delay import retry_delay_s
from .router_settings import RouterSettings
from .runner_health import RunnerHealth, ServerFault
from .server_choice import ServerChoice
from .silence_detection import SilenceDetector
from .slow_runners import SlowRunners
from .store_era import UNREAD, TableState
from .stream_loads import StreamLoads
from .suspicion import CrashSuspects, End, ServerEnds
from .upstream import Call, ReachOutcome, Refusal, RunnerClient, RunnerReport


#: Server faults may be recorded this long before the loss of the links that caused them
#: is detected, in seconds.
_LOSS_DETECTION_DELAY_S = 1.0
#: Assumed memory of the process without requests until it is measured, in MB.
_RESTING_MB = 64.0


class RestartListener(Protocol):
    """Is notified of restarted servers."""

    def on_restarted(self, server_ids: frozenset[str]) -> None:
        """Handle the restart of servers, which have lost all their state."""


class Routing:
    """State that all calls of one router share."""

    def __init__(
        self, settings: RouterSettings, client: RunnerClient, rng: random.Random
    ) -> None:
        self.settings = settings
        self.client = client
        self._rng = rng
        self._resting_mb = _RESTING_MB
        #: The memory for the bodies of requests and answers.
        self.memory = MemoryBudget(
            settings.limits.request_memory_bytes(resting_mb=_RESTING_MB)
        )
        #: Contains unexpected errors of background work.
        self.failures = FailureGuard()
        self.backends = BackendTable(leaving_s=settings.bounds.leaving_s)
        self.backends.find_fault = self._find_entry_fault
        self.health = RunnerHealth(stall_s=settings.bounds.stall_s)
        self.peer_fault_reports = FaultReportReceiver(
            self.health, on_leaving=self._handle_leaving_report, rng=rng
        )
        #: Broadcasts a fault report to other instances, if there are any.
        self.broadcast_fault_report: Callable[[FaultReport], None] = lambda _report: (
            None
        )
        self.probes = Probes(
            client,
            on_silent=self._handle_silent_server,
            on_late=self._handle_late_server,
            on_report=self._handle_runner_report,
            # A separate generator, so that checks don't change other random choices.
            rng=random.Random(settings.instance.id),
        )
        #: Returns a service's specification in the desired state, if it has one.
        self.find_service: Callable[[str], ServiceSpec | None] = lambda _name: None
        self.link_watch = LinkWatch(
            self,
            listed=self.backends.entry_servers,
            usable=self.backends.usable,
            services=self.backends.services,
            zone=settings.instance.availability_zone,
            # A separate generator, so that link checks don't change other random
            # choices.
            rng=random.Random(settings.instance.id),
        )
        self.link_watch.on_return = self._end_cooldowns_since
        #: What other instances have said of their links.
        self.announced_links = AnnouncedLinks()
        #: Forwards calls to other instances, if there are any.
        self.forwarding: Forwarding | None = None
        self.flow_control = FlowController(self.backends, rng=rng)
        self.flow_control.on_advisory_backoff = self._apply_advisory_backoff
        self.flow_control.on_leaving = self._handle_leaving_signal
        client.gate = self.flow_control
        #: Called for each rejected send, with the fault and whether the server was in
        #: cooldown already.
        self.on_refusal: Callable[[ServerFault, bool], None] = (
            lambda _fault, _was_in_cooldown: None
        )
        #: Called for each run that counted as silent, with the finding and the outcome.
        self.on_silent_run: Callable[[str, str], None] = lambda _finding, _outcome: None
        #: Called with the reason when a stream that had started could not be finished.
        self.on_stream_cut: Callable[[str], None] = lambda _reason: None
        self.ends = ServerEnds(
            client, listed=self.backends.get, link_state=self.link_watch.state_for
        )
        self.ends.on_proven = self._record_confirmed_crashes
        #: Streams in flight, which have to move off servers that restart.
        self.runs: set[RestartListener] = set()
        self.suspects = CrashSuspects()
        #: Broadcast a server crash to other instances, and a cleared trait with the
        #: number of crashes that were known for it.
        self.broadcast_crash: Callable[[End], None] = lambda _crash: None
        self.broadcast_cleared: Callable[[str, int], None] = (
            lambda _trait, _crash_count: None
        )
        #: Returns whether this instance is the one that admits a trial request with a
        #: quarantined prompt part after the quarantine has expired.
        self.may_try: Callable[[str], bool] = lambda _trait: True
        #: Stores whether a trait is quarantined, if there is persistent storage.
        self.store_hold: Callable[[str], None] = lambda _trait: None
        self.slow_runners = SlowRunners()
        #: Broadcasts the slowness that a slow runner reported, if there are other
        #: instances.
        self.broadcast_slowness: Callable[[str, float], None] = lambda _id, _slowness: (
            None
        )
        self.silence_detector = SilenceDetector(
            max_silence_s=settings.policy.gap_limit_s
        )
        self.server_choice = ServerChoice(rng)
        #: Returns the source and age of this instance's server list.
        self.list_state: Callable[[], TableState] = lambda: UNREAD
        #: Returns how many serving instances are known; 0 if none is.
        self.instance_count: Callable[[], int] = lambda: 0
        self.loads = StreamLoads()
        self.retries = RetryBudgets(
            settings, is_usable=lambda service: bool(self.backends.usable(service))
        )
        self._paths = PathSelector(
            settings.instance.availability_zone,
            backends=self.backends,
            health=self.health,
            flow_control=self.flow_control,
            paces=self.slow_runners,
            loads=self.loads,
            zone_link=PipeShare(rng),
            instances=lambda: self.instance_count(),
        )
        self.admission = Admission(
            settings.admission,
            capacity=self._paths,
            peers=AggregatedPeerDemand(
                self.loads, instances=lambda: self.instance_count()
            ),
            returns=JitteredRetryScheduler(rng),
            phase=rng.random(),
            failures=self.failures,
        )
        self.loads.own_demand = self.admission.demand

    def set_resting_memory(self, resting_mb: float) -> None:
        """Set the memory of the process without requests, in MB."""
        self._resting_mb = resting_mb
        self.memory.total_bytes = self.settings.limits.request_memory_bytes(
            resting_mb=resting_mb
        )

    def apply_settings(self, settings: RouterSettings) -> None:
        """Apply changed settings."""
        self.settings = settings
        self.set_resting_memory(self._resting_mb)
        self.retries.settings = settings
        self.backends.leaving_s = settings.bounds.leaving_s
        self.health.stall_s = settings.bounds.stall_s
        self.silence_detector.max_silence_s = settings.policy.gap_limit_s
        self.admission.apply_settings(settings.admission)

    def path(
        self,
        service: ServiceSpec,
        *,
        avoided: frozenset[str] = frozenset(),
        first: BackendServer | None = None,
        current_path: Path | None = None,
        include_possibly_full: bool = False,
        priority: int = 0,
    ) -> Path | None:
        """Return the fastest path of a service over healthy runners.

        Args:
            service: A service with an engine.
            avoided: Runners to exclude besides those in cooldown.
            first: The runner that has to be first, if that is fixed.
            current_path: The request's current path, if it moves to another one.
            include_possibly_full: Whether to include runners that may only be full,
                if the others don't hold all layers.
            priority: The request's priority; 0 is the most urgent.
        """
        self.expire()
        return self._paths.path(
            service,
            excluded=avoided,
            first_server=first,
            current_path=current_path,
            include_possibly_full=include_possibly_full,
            priority=priority,
        )

    def isolated_path(
        self, service: ServiceSpec, *, avoided: frozenset[str], trait: str
    ) -> Path | None:
        """Return a path for requests that may crash servers, isolated from other paths.

        Requests with the same trait get the same path where possible.

        Returns None if no path has a different first server.
        """
        self.expire()
        return self._paths.isolated_path(service, excluded=avoided, key=trait)

    def blocked_time(
        self, service: ServiceSpec, *, priority: int = 0
    ) -> BlockedTime | None:
        """Return how long cooldowns and limits block all paths for a priority.

        Returns None if some layer isn't held by any runner, in cooldown or not.
        """
        self.expire()
        return self._paths.blocked_time(service, priority=priority)

    def retry_after_s(
        self, blocked_s: float = 0.0, *, requested_backoff_s: float = 0.0
    ) -> float:
        """Return the Retry-After delay for a rejected caller, in seconds.

        Args:
            blocked_s: The estimated duration of the cause, in seconds.
            requested_backoff_s: The back-off left that servers requested, in seconds.
        """
        return retry_delay_s(
            blocked_s, requested_backoff_s=requested_backoff_s, rng=self._rng
        )

    def record_stream_start(self) -> None:
        """Count a stream that this instance starts."""
        self._paths.record_stream_start()

    def set_instance_sources(
        self, *, count: Callable[[], int], place: Callable[[], ZonePosition]
    ) -> None:
        """Set the sources of information about other instances.

        Args:
            count: Returns the number of known serving instances; 0 if none is known.
            place: Returns this instance's position among those of its own zone.
        """
        self.instance_count = count
        self.retries.instance_count = count
        self._paths.zone_position = place

    def usable(self, service: str) -> list[BackendServer]:
        """Return a service's servers that may get new requests."""
        self.expire()
        return self.backends.usable(service)

    def expire(self) -> None:
        """Remove servers whose entries expired while the store was unavailable."""
        expired = self.backends.expire(now_s=clocks.now_s())
        if expired:
            events.log(events.SERVER_GONE, server_ids=list(expired), reason="lapsed")
            # An unavailable store may have dropped entries of servers that still run.
            self.forget(expired)
        deferred = self.backends.apply_deferred(now_s=clocks.now_s())
        if deferred.lost:
            self.remove_unlisted(deferred.lost)
        self.handle_restarts(deferred.restarted)

    def _find_entry_fault(self, server: BackendServer) -> str | None:
        """Return why a server can't belong to its service, or None if it can."""
        service = self.find_service(server.service)
        return entry_fault(server, service.engine) if service is not None else None

    def remove_unlisted(self, server_ids: Collection[str]) -> None:
        """Remove servers that are no longer listed."""
        self.ends.take_unlisted(server_ids)
        self.forget(server_ids)

    def handle_restarts(self, previous: Sequence[BackendServer]) -> None:
        """Handle the restart of servers that keep their ids.

        Args:
            previous: The servers' entries before the restart.
        """
        if not previous:
            return
        server_ids = frozenset(server.id for server in previous)
        events.log(
            events.SERVER_RESTARTED,
            server_ids=sorted(server_ids),
            lifetimes_before=sorted(server.lifetime for server in previous),
        )
        for server in previous:
            if server.is_leaving:
                self.ends.note_planned(server.lifetime)
            self._record_confirmed_crashes(
                server, self.ends.proven(server), "new start"
            )
        self.forget(server_ids)
        for run in tuple(self.runs):
            run.on_restarted(server_ids)

    def _record_confirmed_crashes(
        self, server: BackendServer, crashes: Iterable[End], confirmed_by: str
    ) -> None:
        """Record a server's crash for requests, confirmed after they had failed.

        Args:
            server: The server that crashed.
            crashes: Its crash, for each trait of the requests that it had.
            confirmed_by: What confirmed the crash.
        """
        for crash in crashes:
            events.log(
                events.SERVER_ENDED,
                trait=crash.trait,
                server_id=server.id,
                lifetime=crash.lifetime,
                has_begun=crash.has_begun,
                proven_by=confirmed_by,
            )
            self.note_end(crash)

    def forget(self, server_ids: Iterable[str]) -> None:
        """Discard the state of servers that are no longer listed."""
        for server_id in server_ids:
            self.health.forget(server_id)
            self.peer_fault_reports.forget(server_id)
            self.probes.forget(server_id)
            self.silence_detector.forget(server_id)
            self.slow_runners.forget(server_id)
            self.server_choice.forget(server_id)
            self.loads.forget(server_id)

    def note_end(self, crash: End) -> None:
        """Record a crash that this instance observed, and broadcast it."""
        now_s = clocks.now_s()
        if not self.suspects.note(crash, now_s=now_s):
            return
        self.broadcast_crash(crash)
        if self.suspects.hold(crash.trait, now_s=now_s) is not None:
            self.store_hold(crash.trait)

    def note_cleared(
        self, traits: Iterable[str], *, begun_s: float | None = None
    ) -> None:
        """Record that a response shows that traits crash no server.

        Args:
            traits: The request's traits.
            begun_s: When the response started, in monotonic seconds, if that is known.
        """
        for trait in traits:
            self._clear_trait(trait, begun_s)

    def _clear_trait(self, trait: str, begun_s: float | None) -> None:
        """Clear a trait's suspicion, and broadcast that if it was suspected."""
        crashes = self.suspects.ends(trait)
        was_quarantined = self.suspects.was_held(trait)
        if not self.suspects.clear(trait, now_s=clocks.now_s(), begun_s=begun_s):
            return
        events.log(
            events.TRAIT_CLEARED,
            trait=trait,
            ends=len(crashes),
            was_held=was_quarantined,
        )
        self.broadcast_cleared(trait, len(crashes))
        if was_quarantined:
            self.store_hold(trait)

    def started_ms(self, server_id: str) -> int:
        """Return a server's last known start time in ms; 0 if it is unknown."""
        server = self.backends.get(server_id)
        return server.started_ms if server is not None else 0

    async def must_forward(self, call: Call, service: str) -> bool:
        """Return whether another instance has to serve a call.

        That is so if the links to the service's servers are lost. Waits for a check of
        them that is in progress.
        """
        if self.forwarding is None or call.forwarded_by:
            return False
        return await self.link_watch.settled(service)

    def _end_cooldowns_since(self, server_ids: Collection[str], since_s: float) -> None:
        """End cooldowns of servers whose silence was caused by lost links."""
        for server_id in server_ids:
            self.health.forget_recent(server_id, since_s - _LOSS_DETECTION_DELAY_S)

    async def reach(self, server: BackendServer) -> ReachOutcome:
        """Probe a server over a new connection; any response counts."""
        service = self.find_service(server.service)
        health_path = service.health_path if service is not None else ""
        return await self.client.reach(server, health_path=health_path)

    def server_ids_in_zones(
        self, service: ServiceSpec, zones: Collection[str]
    ) -> frozenset[str]:
        """Return the ids of a service's servers in some zones."""
        return frozenset(
            server.id
            for server in self.usable(service.name)
            if server.availability_zone in zones
        )

    def _apply_advisory_backoff(self, server: BackendServer, duration_s: float) -> None:
        """Deprioritize a server that requests less load."""
        duration_s = min(duration_s, self.health.stall_s)
        self.health.start_cooldown(
            server.id, ServerFault.FULL, duration_s, now_s=clocks.now_s()
        )

    def _handle_leaving_signal(self, server: BackendServer) -> None:
        """Log that a server advertised its shutdown, and broadcast it."""
        events.log(events.RUNNER_LEAVING, server_ids=[server.id], reason="said so")
        self.broadcast_fault_report(
            FaultReport(server.id, ServerFault.LEAVING, 0.0, server.started_ms)
        )

    def _handle_leaving_report(self, report: FaultReport) -> bool:
        """Mark a server as leaving that another instance reported so."""
        is_new = self.backends.mark_leaving(
            report.server_id, report.started_ms, now_s=clocks.now_s()
        )
        if is_new:
            events.log(
                events.RUNNER_LEAVING, server_ids=[report.server_id], reason="told"
            )
        return is_new

    def _handle_silent_server(self, server: BackendServer) -> None:
        """Put a server into cooldown after a probe without a response."""
        self.record_fault(server, ServerFault.SILENT, "", "gives no report")

    def _handle_late_server(self, server: BackendServer) -> None:
        """Put a server into cooldown that accepts requests without responding."""
        self.record_fault(
            server, ServerFault.SILENT, "", "takes requests, gives no report"
        )

    def _handle_runner_report(
        self, server: BackendServer, report: RunnerReport
    ) -> None:
        """Record a runner's reported slowness; log each change to or from slow."""
        self.link_watch.note_answer(server.service)
        if 0 < report.started_ms < server.started_ms:
            return  # From an earlier process with this id.
        now_s = clocks.now_s()
        was_slow = server.id in self.slow_runners.slow(now_s=now_s)
        self.slow_runners.record(server.id, report.slowness, now_s=now_s)
        is_slow = server.id in self.slow_runners.slow(now_s=now_s)
        if is_slow or was_slow:
            self.broadcast_slowness(server.id, report.slowness)
        if is_slow != was_slow:
            events.log(
                events.SERVER_PACE, server_id=server.id, slowness=report.slowness
            )

    def record_fault(
        self, server: BackendServer, fault: ServerFault, request_id: str, reason: str
    ) -> None:
        """Put a server into cooldown, and log the reason."""
        self._start_cooldown(server.id, fault)
        if fault is ServerFault.SILENT:
            self.link_watch.suspect(server)
        events.log(
            events.SERVER_TROUBLE,
            request_id=request_id,
            server_id=server.id,
            trouble=fault.value,
            reason=reason,
            list_revision=self.backends.revision,
        )

    def record_refusal(
        self,
        server_id: str,
        refusal: Refusal,
        request_id: str,
        *,
        is_reported_by_peer: bool = False,
    ) -> None:
        """Record a call that was rejected without being executed.

        Args:
            server_id: The server at fault.
            refusal: The rejection, with the server's signals.
            request_id: The call's id.
            is_reported_by_peer: Whether another server sent the rejection.
        """
        fault = _fault_of(refusal, is_reported_by_peer=is_reported_by_peer)
        server = self.backends.get(server_id)
        if is_reported_by_peer and server is not None:
            self.flow_control.record_forwarded_backoff(
                server, refusal.signals, request_id
            )
        previous_cooldown_s = self.health.cooldowns_s(now_s=clocks.now_s()).get(
            server_id, 0.0
        )
        cooldown_s = self._start_cooldown(server_id, fault) or 0.0
        backoff_s = self.flow_control.blocked_s(now_s=clocks.now_s()).get(
            server_id, 0.0
        )
        self.on_refusal(fault, previous_cooldown_s > 0)
        events.log(
            events.SERVER_REFUSED,
            request_id=request_id,
            server_id=server_id,
            trouble=fault.value,
            status=refusal.signals.status,
            asks_rest_s=refusal.signals.backoff_s,
            rested_s=round(previous_cooldown_s, 3),
            rest_s=round(max(cooldown_s, backoff_s), 3),
            is_told_by_other=is_reported_by_peer,
        )

    def _start_cooldown(self, server_id: str, fault: ServerFault) -> float | None:
        """Put a server into cooldown, and broadcast the fault.

        Returns:
            The cooldown in seconds, or None if one was already in effect.
        """
        cooldown_s = self.health.record_fault(server_id, fault, now_s=clocks.now_s())
        if cooldown_s is None or not should_broadcast(fault):
            return cooldown_s
        report = FaultReport(server_id, fault, cooldown_s, self.started_ms(server_id))
        server = self.backends.get(server_id)
        if fault is ServerFault.SILENT and server is not None:
            self.link_watch.when_sound(
                server, functools.partial(self.broadcast_fault_report, report)
            )
        else:
            self.broadcast_fault_report(report)
        return cooldown_s


def _fault_of(refusal: Refusal, *, is_reported_by_peer: bool) -> ServerFault:
    """Return the fault that a rejection reports."""
    if refusal.is_misdirected:
        return ServerFault.NAMED
    return ServerFault.ABSENT if is_reported_by_peer else ServerFault.FULL
