# SPDX-License-Identifier: MIT
"""What all calls of one router share: views, choices and budgets."""

from __future__ import annotations

import functools
import random

from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Protocol

from . import clocks, events
from ._admission import Admission
from ._admission_ports import AggregatedPeerDemand, JitteredRetryScheduler
from ._flow_control import FlowController
from ._path_choice import BlockedTime, PathSelector
from ._probes import Probes
from ._retry_budgets import RetryBudgets
from .backends import BackendServer, BackendTable
from .desired import ServiceSpec
from .fault_reports import FaultReport, FaultReportReceiver, should_broadcast
from .forwarding import Forwarding, LinkWatch
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


#: How long before links are found lost trouble with servers is due to that, in seconds.
_BEFORE_LOSS_S = 1.0


class RestartListener(Protocol):
    """Is told of servers that have started again."""

    def on_restarted(self, server_ids: frozenset[str]) -> None:
        """Note that servers have started again, with nothing of before."""


class Routing:
    """Shared by all calls of one router."""

    def __init__(
        self, settings: RouterSettings, client: RunnerClient, rng: random.Random
    ) -> None:
        self.settings = settings
        self.client = client
        self._rng = rng
        self.backends = BackendTable(leaving_s=settings.bounds.leaving_s)
        self.health = RunnerHealth(stall_s=settings.bounds.stall_s)
        self.peer_fault_reports = FaultReportReceiver(
            self.health, on_leaving=self._heard_leaving, rng=rng
        )
        #: Tells other instances of a sighting, where there are any.
        self.broadcast_fault_report: Callable[[FaultReport], None] = lambda _sighting: (
            None
        )
        self.probes = Probes(
            client, on_silent=self._note_silent, on_report=self._note_report
        )
        #: Returns what is declared for a service, if it is.
        self.service_of: Callable[[str], ServiceSpec | None] = lambda _name: None
        self.link_watch = LinkWatch(
            self,
            listed=self.backends.entry_servers,
            usable=self.backends.usable,
            services=self.backends.services,
            zone=settings.instance.availability_zone,
            # Checks leave the draws of everything else as they are.
            rng=random.Random(settings.instance.id),
        )
        self.link_watch.on_return = self._note_links_back
        #: Hands calls to other instances, where there are any.
        self.forwarding: Forwarding | None = None
        self.flow_control = FlowController(self.backends, rng=rng)
        self.flow_control.on_advisory_backoff = self._note_wish
        self.flow_control.on_leaving = self._note_leaving
        client.gate = self.flow_control
        #: Told of each refusal: its trouble, and whether the server rested already.
        self.on_refusal: Callable[[ServerFault, bool], None] = lambda _fault, _rests: (
            None
        )
        #: Told of each run that counted as silent: by what finding, and what came then.
        self.on_silent_run: Callable[[str, str], None] = lambda _finding, _outcome: None
        #: Told why a stream that had begun could not be finished.
        self.on_stream_cut: Callable[[str], None] = lambda _reason: None
        self.ends = ServerEnds(
            client, listed=self.backends.get, link_state=self.link_watch.state_for
        )
        self.ends.on_proven = self._note_proven
        #: The streams under way, which have to leave servers that start again.
        self.runs: set[RestartListener] = set()
        self.suspects = CrashSuspects()
        #: Tells other instances of an end; and of a trait that is cleared, with how
        #: many ends were known under it.
        self.broadcast_crash: Callable[[End], None] = lambda _end: None
        self.broadcast_cleared: Callable[[str, int], None] = lambda _trait, _ends: None
        #: Tells whether this instance is the one that lets a request with a held part
        #: through when its time is over.
        self.may_try: Callable[[str], bool] = lambda _trait: True
        #: Stores whether a trait is held back, where that lasts.
        self.store_hold: Callable[[str], None] = lambda _trait: None
        self.slow_runners = SlowRunners()
        #: Tells other instances what a slow runner has said, where there are any.
        self.broadcast_slowness: Callable[[str, float], None] = lambda _id, _slowness: (
            None
        )
        self.silence_detector = SilenceDetector(
            max_silence_s=settings.policy.gap_limit_s
        )
        self.server_choice = ServerChoice(rng)
        #: Returns what this instance's list of servers rests on.
        self.list_state: Callable[[], TableState] = lambda: UNREAD
        #: Tells how many instances are known to serve; 0 where none is.
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
        )
        self.loads.own_demand = self.admission.demand

    def apply_settings(self, settings: RouterSettings) -> None:
        """Take changed settings in."""
        self.settings = settings
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
        """Return the quickest path of a service over healthy runners.

        Args:
            service: A service with an engine.
            avoided: Runners to leave alone beside the resting ones.
            first: The runner that has to come first, if one has to.
            current_path: The path that the request is on, if it moves from one.
            include_possibly_full: Whether runners that may only be full are used where
                the others don't hold all layers.
            priority: The request's; 0 is the most urgent.
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
        """Return a path for requests that may end servers, away from others' paths.

        Requests with the same trait get the same path, as far as is possible.

        None where there is no path that begins elsewhere.
        """
        self.expire()
        return self._paths.isolated_path(service, excluded=avoided, key=trait)

    def blocked_time(
        self, service: ServiceSpec, *, priority: int = 0
    ) -> BlockedTime | None:
        """Return how long rests and limits block all paths for a priority.

        None where some layer has no holder, whether it rests or not.
        """
        self.expire()
        return self._paths.blocked_time(service, priority=priority)

    def retry_after_s(
        self, blocked_s: float = 0.0, *, requested_backoff_s: float = 0.0
    ) -> float:
        """Return when a caller who is turned away should come back, in seconds.

        Args:
            blocked_s: How long what blocks the caller is thought to last, in seconds.
            requested_backoff_s: Until when servers have asked for rest, in seconds.
        """
        return retry_delay_s(
            blocked_s, requested_backoff_s=requested_backoff_s, rng=self._rng
        )

    def record_stream_start(self) -> None:
        """Count a stream that this instance begins."""
        self._paths.record_stream_start()

    def set_instance_sources(
        self, *, count: Callable[[], int], place: Callable[[], ZonePosition]
    ) -> None:
        """Take in who tells of the other instances.

        Args:
            count: Tells how many are known to serve; 0 where none is.
            place: Tells the own place among those of the own zone.
        """
        self.instance_count = count
        self.retries.instance_count = count
        self._paths.zone_position = place

    def usable(self, service: str) -> list[BackendServer]:
        """Return a service's servers that may get new work."""
        self.expire()
        return self.backends.usable(service)

    def expire(self) -> None:
        """Let go of servers whose entries lapsed while the store was away."""
        expired = self.backends.expire(now_s=clocks.now_s())
        if expired:
            events.log(events.SERVER_GONE, server_ids=list(expired), reason="lapsed")
            # A store that was away may have dropped them while they go on.
            self.forget(expired)
        self.handle_restarts(
            self.backends.apply_deferred(now_s=clocks.now_s()).restarted
        )

    def remove_unlisted(self, server_ids: Collection[str]) -> None:
        """Take in that servers are no longer listed."""
        self.ends.take_unlisted(server_ids)
        self.forget(server_ids)

    def handle_restarts(self, before: Sequence[BackendServer]) -> None:
        """Take in that servers have started again under their ids.

        Args:
            before: The servers as they were before.
        """
        if not before:
            return
        ids = frozenset(one.id for one in before)
        events.log(
            events.SERVER_RESTARTED,
            server_ids=sorted(ids),
            lifetimes_before=sorted(one.lifetime for one in before),
        )
        for server in before:
            if server.is_leaving:
                self.ends.note_planned(server.lifetime)
            self._note_proven(server, self.ends.proven(server), "new start")
        self.forget(ids)
        for run in tuple(self.runs):
            run.on_restarted(ids)

    def _note_proven(self, server: BackendServer, ends: Iterable[End], by: str) -> None:
        """Note a server's ends under requests that were proven later.

        Args:
            server: The server that has ended.
            ends: Its end under each trait of the requests that it had.
            by: What has proven them.
        """
        for end in ends:
            events.log(
                events.SERVER_ENDED,
                trait=end.trait,
                server_id=server.id,
                lifetime=end.lifetime,
                has_begun=end.has_begun,
                proven_by=by,
            )
            self.note_end(end)

    def forget(self, server_ids: Iterable[str]) -> None:
        """Forget what was learnt of servers that are no longer listed."""
        for server_id in server_ids:
            self.health.forget(server_id)
            self.peer_fault_reports.forget(server_id)
            self.probes.forget(server_id)
            self.silence_detector.forget(server_id)
            self.slow_runners.forget(server_id)
            self.server_choice.forget(server_id)
            self.loads.forget(server_id)

    def note_end(self, end: End) -> None:
        """Note an end that this instance has seen, and tell the others."""
        now_s = clocks.now_s()
        if not self.suspects.note(end, now_s=now_s):
            return
        self.broadcast_crash(end)
        if self.suspects.hold(end.trait, now_s=now_s) is not None:
            self.store_hold(end.trait)

    def note_cleared(
        self, traits: Iterable[str], *, begun_s: float | None = None
    ) -> None:
        """Note that an answer shows traits to end no server.

        Args:
            traits: What it had.
            begun_s: When it began, in monotonic seconds, where that is known.
        """
        for trait in traits:
            self._note_cleared(trait, begun_s)

    def _note_cleared(self, trait: str, begun_s: float | None) -> None:
        """Note that a trait is suspected no more, and tell who suspects it."""
        ends = self.suspects.ends(trait)
        was_held = self.suspects.was_held(trait)
        if not self.suspects.clear(trait, now_s=clocks.now_s(), begun_s=begun_s):
            return
        events.log(events.TRAIT_CLEARED, trait=trait, ends=len(ends), was_held=was_held)
        self.broadcast_cleared(trait, len(ends))
        if was_held:
            self.store_hold(trait)

    def started_ms(self, server_id: str) -> int:
        """Return when a server's known start was; 0 where that is not known."""
        server = self.backends.get(server_id)
        return server.started_ms if server is not None else 0

    async def must_forward(self, call: Call, service: str) -> bool:
        """Tell whether another instance has to serve a call.

        The links to the service's servers are lost; a check of them that is under way
        is waited for.
        """
        if self.forwarding is None or call.forwarded_by:
            return False
        return await self.link_watch.settled(service)

    def _note_links_back(self, server_ids: Collection[str], since_s: float) -> None:
        """Use servers again whose silence was due to this instance's own links."""
        for server_id in server_ids:
            self.health.forget_recent(server_id, since_s - _BEFORE_LOSS_S)

    async def reach(self, server: BackendServer) -> ReachOutcome:
        """Ask a server over a new connection; any answer will do."""
        service = self.service_of(server.service)
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

    def _note_wish(self, server: BackendServer, length_s: float) -> None:
        """Send to a server that limits what it gets only where there is no other."""
        length_s = min(length_s, self.health.stall_s)
        self.health.start_cooldown(
            server.id, ServerFault.FULL, length_s, now_s=clocks.now_s()
        )

    def _note_leaving(self, server: BackendServer) -> None:
        """Log that a server has said that it leaves, and tell other instances."""
        events.log(events.RUNNER_LEAVING, server_ids=[server.id], reason="said so")
        self.broadcast_fault_report(
            FaultReport(server.id, ServerFault.LEAVING, 0.0, server.started_ms)
        )

    def _heard_leaving(self, sighting: FaultReport) -> bool:
        """Take in that a server has told another instance that it leaves."""
        is_news = self.backends.mark_leaving(
            sighting.server_id, sighting.started_ms, now_s=clocks.now_s()
        )
        if is_news:
            events.log(
                events.RUNNER_LEAVING, server_ids=[sighting.server_id], reason="told"
            )
        return is_news

    def _note_silent(self, server: BackendServer) -> None:
        """Leave a server alone that a probe found silent."""
        self.record_fault(server, ServerFault.SILENT, "", "gives no report")

    def _note_report(self, server: BackendServer, report: RunnerReport) -> None:
        """Take in how slow a runner says that it is; log one that has become so."""
        if 0 < report.started_ms < server.started_ms:
            return  # another process's, which has been there before
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
        self, server: BackendServer, trouble: ServerFault, request_id: str, reason: str
    ) -> None:
        """Leave a server alone for a while, and log why."""
        self._note(server.id, trouble)
        if trouble is ServerFault.SILENT:
            self.link_watch.suspect(server)
        events.log(
            events.SERVER_TROUBLE,
            request_id=request_id,
            server_id=server.id,
            trouble=trouble.value,
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
        """Take in that a call was refused without being run.

        Args:
            server_id: Who is at fault.
            refusal: The server's word.
            request_id: Names the call.
            is_reported_by_peer: Whether that word is another server's.
        """
        trouble = _trouble_of(refusal, is_told_by_other=is_reported_by_peer)
        server = self.backends.get(server_id)
        if is_reported_by_peer and server is not None:
            self.flow_control.record_forwarded_backoff(
                server, refusal.signals, request_id
            )
        rested_s = self.health.cooldowns_s(now_s=clocks.now_s()).get(server_id, 0.0)
        guessed_s = self._note(server_id, trouble) or 0.0
        asked_s = self.flow_control.blocked_s(now_s=clocks.now_s()).get(server_id, 0.0)
        self.on_refusal(trouble, rested_s > 0)
        events.log(
            events.SERVER_REFUSED,
            request_id=request_id,
            server_id=server_id,
            trouble=trouble.value,
            status=refusal.signals.status,
            asks_rest_s=refusal.signals.backoff_s,
            rested_s=round(rested_s, 3),
            rest_s=round(max(guessed_s, asked_s), 3),
            is_told_by_other=is_reported_by_peer,
        )

    def _note(self, server_id: str, trouble: ServerFault) -> float | None:
        """Leave a server alone for a while, and tell other instances.

        Returns:
            For how long, in seconds, or None if it was left alone already.
        """
        rest_s = self.health.record_fault(server_id, trouble, now_s=clocks.now_s())
        if rest_s is None or not should_broadcast(trouble):
            return rest_s
        sighting = FaultReport(server_id, trouble, rest_s, self.started_ms(server_id))
        server = self.backends.get(server_id)
        if trouble is ServerFault.SILENT and server is not None:
            self.link_watch.when_sound(
                server, functools.partial(self.broadcast_fault_report, sighting)
            )
        else:
            self.broadcast_fault_report(sighting)
        return rest_s


def _trouble_of(refusal: Refusal, *, is_told_by_other: bool) -> ServerFault:
    """Return the trouble that a refusal tells of."""
    if refusal.is_misdirected:
        return ServerFault.NAMED
    return ServerFault.ABSENT if is_told_by_other else ServerFault.FULL
