# SPDX-License-Identifier: MIT
"""The router's Prometheus metrics."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry

from ._admission import AdmissionState
from ._limit_enforcement import LimitState
from .desired import Admitted
from .load_sums import LoadTotals
from .store_era import StoreEra, TableState


_WAIT_BUCKETS_S = [0.01, 0.03, 0.06, 0.12, 0.25]
_APPLY_BUCKETS_S = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0]
_PROOF_AGE_BUCKETS_S = [0.5, 1.0, 1.5, 2.0, 3.0, 4.0]
_PAUSE_BUCKETS_S = [0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5]
_START_BUCKETS_S = [0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0]
_LATENCY_BUCKETS_S = [0.03, 0.1, 0.2, 0.5, 1.0, 3.0, 10.0]


class RouterMetrics:
    """The metrics of one router."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = Counter(
            "violethatch_router_requests_total",
            "Requests by outcome: a status, an error's code, caller_left or cut.",
            registry=self.registry,
        )
        self.first_event_s = Histogram(
            "violethatch_router_first_event_seconds",
            "Time from a streamed request to its first event.",
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.answer_s = Histogram(
            "violethatch_router_answer_seconds",
            "Time from a request to the end of its answer.",
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.rejection_proof_age_s = Histogram(
            "violethatch_router_refusal_proof_age_seconds",
            "The desired state's proof age when it refused a route or a key for good.",
            buckets=_PROOF_AGE_BUCKETS_S,
            registry=self.registry,
        )
        self.loop_pause_s = Histogram(
            "violethatch_router_loop_pause_seconds",
            "How long the event loop stood still, from 0.01 s on.",
            buckets=_PAUSE_BUCKETS_S,
            registry=self.registry,
        )
        self.start_step_s = Histogram(
            "violethatch_router_start_step_seconds",
            "Time from the process's start to a step of it.",
            buckets=_START_BUCKETS_S,
            registry=self.registry,
        )
        self.store_calls = Counter(
            "violethatch_router_store_calls_total",
            "Calls of the platform's store, by outcome.",
            registry=self.registry,
        )
        self.store_restores = Counter(
            "violethatch_router_store_restores_total",
            "Newer eras of the store seen by this instance, after the first one.",
            registry=self.registry,
        )
        self.table_versions = Gauge(
            "violethatch_router_table_version",
            "The version up to which a table's changes are known here.",
            registry=self.registry,
        )
        self.table_eras = Gauge(
            "violethatch_router_table_era",
            "The store's era of a table's version; -1 where none is named.",
            registry=self.registry,
        )
        self.table_proof_ages_s = Gauge(
            "violethatch_router_table_proof_age_seconds",
            "The age of a table's newest proof; -1 without one.",
            registry=self.registry,
        )
        self.server_crashes = Counter(
            "violethatch_router_server_ends_total",
            "Servers found to have ended while they had requests of this instance.",
            registry=self.registry,
        )
        self.rejections = Counter(
            "violethatch_router_refusals_total",
            "Sends that servers refused, by trouble and whether they were left alone.",
            registry=self.registry,
        )
        self.silent_runs = Counter(
            "violethatch_router_silent_runs_total",
            "Runs of streams that counted as silent, by finding and what came then.",
            registry=self.registry,
        )
        self.cut_streams = Counter(
            "violethatch_router_streams_cut_total",
            "Streams that had begun and could not be finished, by reason.",
            registry=self.registry,
        )
        self.server_signals = Counter(
            "violethatch_router_server_words_total",
            "What servers said of themselves; unknown is what nothing reads.",
            registry=self.registry,
        )
        self.blocked_sends = Counter(
            "violethatch_router_sends_kept_back_total",
            "What was decided and not written to a server, by what it was and why.",
            registry=self.registry,
        )
        self.servers_in_backoff = Gauge(
            "violethatch_router_servers_resting",
            "Servers that have asked this instance for rest.",
            registry=self.registry,
        )
        self.forwarded_requests = Counter(
            "violethatch_router_forwards_total",
            "Requests handed to other instances, by what came of it.",
            registry=self.registry,
        )
        self.link_checks = Counter(
            "violethatch_router_link_checks_total",
            "Checks of the links to a service's servers, by outcome.",
            registry=self.registry,
        )
        self.lost_links = Gauge(
            "violethatch_router_links_lost",
            "1 for each service none of whose servers can be reached from here.",
            registry=self.registry,
        )
        self.peers_without_links = Gauge(
            "violethatch_router_peers_without_links",
            "Other instances that have announced lost links, by service.",
            registry=self.registry,
        )
        self.limit_permits = Counter(
            "violethatch_router_limit_permits_total",
            "Answers to what was asked before sends to limited servers.",
            registry=self.registry,
        )
        self.limits_per_s = Gauge(
            "violethatch_router_server_limit",
            "Requests a second that a server takes of all instances, by server.",
            registry=self.registry,
        )
        self.limit_usage = Gauge(
            "violethatch_router_server_limit_used",
            "Of a limited server's last four seconds: sent here, given here to all.",
            registry=self.registry,
        )
        self.state_apply_s = Histogram(
            "violethatch_router_state_taken_seconds",
            "How long a desired state took to be taken in, by part: all, longest_hold.",
            buckets=_APPLY_BUCKETS_S,
            registry=self.registry,
        )
        self.invalid_rows = Counter(
            "violethatch_router_rows_refused_total",
            "Rows of the store that could not be understood, by table.",
            registry=self.registry,
        )
        self.faulty_entries = Counter(
            "violethatch_router_faulty_entries_total",
            "Listed servers that their service can't have, which are not used.",
            registry=self.registry,
        )
        self.request_memory_bytes = Gauge(
            "violethatch_router_request_memory_bytes",
            "Memory for the bodies of requests and answers: in_use, peak, total.",
            registry=self.registry,
        )
        self.memory_rejections = Counter(
            "violethatch_router_request_memory_rejections_total",
            "Bodies, or parts of them, that there was no memory for.",
            registry=self.registry,
        )
        self.task_failures = Counter(
            "violethatch_router_task_failures_total",
            "Unexpected errors of background tasks, by task.",
            registry=self.registry,
        )
        self.suspected_traits = Gauge(
            "violethatch_router_suspected_works",
            "Works and prompt parts that servers end under, and those held back.",
            registry=self.registry,
        )
        self.known_instances = Gauge(
            "violethatch_router_load_instances",
            "Instances whose loads this one knows, itself included.",
            registry=self.registry,
        )
        self.admission_capacity = Gauge(
            "violethatch_router_admission_room_streams",
            "Streams that a service's usable runners can take at once.",
            registry=self.registry,
        )
        self.admission_running = Gauge(
            "violethatch_router_admission_running_streams",
            "Streams of all instances at a service's usable runners.",
            registry=self.registry,
        )
        self.admitted_ratios = Gauge(
            "violethatch_router_admission_part",
            "The part of a priority's streams that is admitted, where it is below 1.",
            registry=self.registry,
        )
        self.admission_queue = Gauge(
            "violethatch_router_admission_queue_requests",
            "Streams of a service that wait here for a path with room.",
            registry=self.registry,
        )
        self.admission_reserved = Gauge(
            "violethatch_router_admission_reserved_starts",
            "Starts of a service reserved by this instance that are not yet due.",
            registry=self.registry,
        )
        self.admission_rejections = Counter(
            "violethatch_router_admission_refusals_total",
            "Streams that were not admitted, by priority and reason.",
            registry=self.registry,
        )
        self.admission_wait_s = Histogram(
            "violethatch_router_admission_wait_seconds",
            "How long streams waited for a path with room.",
            buckets=_WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.load_age_s = Gauge(
            "violethatch_router_load_age_seconds",
            "Age of what it knows of the others' loads; -1 where nothing is known.",
            registry=self.registry,
        )
        self.known_streams = Gauge(
            "violethatch_router_load_streams",
            "Streams by whose they are, as this instance knows them.",
            registry=self.registry,
        )

    def count_restores(self, era: StoreEra) -> None:
        """Count the store's restores."""
        era.on_restore(lambda: self.store_restores.inc({}))

    def set_admission(self, states: Mapping[str, AdmissionState]) -> None:
        """Set the gauges of services under admission control; remove all others."""
        for gauge in (
            self.admission_capacity,
            self.admission_running,
            self.admitted_ratios,
            self.admission_queue,
            self.admission_reserved,
        ):
            gauge.values.clear()
        for service, state in states.items():
            labels = {"service": service}
            if state.room is not None:
                self.admission_capacity.set(labels, state.room.streams)
            self.admission_running.set(labels, state.running)
            self.admission_queue.set(labels, state.waiting)
            self.admission_reserved.set(labels, state.reserved)
            for priority, part in state.plan.parts.items():
                self.admitted_ratios.set(labels | {"priority": str(priority)}, part)

    def record_loop_pause(self, pause_s: float) -> None:
        """Record a pause of the event loop."""
        self.loop_pause_s.observe({}, pause_s)

    def record_refusal(self, priority: int, reason: str) -> None:
        """Count a stream that was not admitted."""
        self.admission_rejections.inc({"priority": str(priority), "reason": reason})

    def record_wait(self, wait_s: float) -> None:
        """Record how long a stream waited for a path with capacity."""
        self.admission_wait_s.observe({}, wait_s)

    def set_tables(self, states: Mapping[str, TableState]) -> None:
        """Set the gauges of this instance's views of the tables."""
        for table, state in states.items():
            labels = {"table": table}
            age_s = state.proof_age_s
            self.table_eras.set(labels, state.era)
            self.table_versions.set(
                labels, -1 if state.version is None else state.version
            )
            self.table_proof_ages_s.set(labels, -1.0 if age_s is None else age_s)

    def set_loads(
        self, own: LoadTotals, others: LoadTotals, age_s: float | None
    ) -> None:
        """Set the gauges of known loads."""
        self.known_instances.set({}, own.instances + others.instances)
        self.load_age_s.set({}, -1.0 if age_s is None else age_s)
        for whose, totals in (("own", own), ("others", others)):
            streams = sum(load.streams for load in totals.servers.values())
            self.known_streams.set({"whose": whose}, streams)

    def count_rejection(self, fault: str, was_in_cooldown: bool) -> None:
        """Count a send that a server rejected."""
        in_cooldown = "yes" if was_in_cooldown else "no"
        self.rejections.inc({"trouble": fault, "left_alone": in_cooldown})

    def count_silent_run(self, finding: str, outcome: str) -> None:
        """Count a run of a stream that counted as silent."""
        self.silent_runs.inc({"finding": finding, "outcome": outcome})

    def count_cut_stream(self, reason: str) -> None:
        """Count a stream that had started and could not be finished."""
        self.cut_streams.inc({"reason": reason})

    def count_signal(self, kind: str) -> None:
        """Count a signal in a server's response headers."""
        self.server_signals.inc({"word": kind})

    def count_blocked_send(self, kind: str, reason: str) -> None:
        """Count a send that was rejected before it was written."""
        self.blocked_sends.inc({"sending": kind, "reason": reason})

    def set_request_memory(self, state: Mapping[str, int]) -> None:
        """Set the gauges of the memory that requests hold."""
        for name, size_bytes in state.items():
            what = name.removesuffix("_bytes")
            self.request_memory_bytes.set({"what": what}, size_bytes)

    def count_task_failure(self, task: str) -> None:
        """Count an unexpected error of a background task."""
        self.task_failures.inc({"task": task})

    def count_forward(self, outcome: str) -> None:
        """Count a request that was forwarded to another instance."""
        self.forwarded_requests.inc({"outcome": outcome})

    def count_link_check(self, outcome: str) -> None:
        """Count a check of links."""
        self.link_checks.inc({"outcome": outcome})

    def set_lost_links(self, services: Iterable[str]) -> None:
        """Set the gauge of services whose links are lost; remove all others."""
        self.lost_links.values.clear()
        for service in services:
            self.lost_links.set({"service": service}, 1)

    def set_peers_without_links(self, counts: Mapping[str, int]) -> None:
        """Set the gauge of other instances without links; remove other services."""
        self.peers_without_links.values.clear()
        for service, count in counts.items():
            self.peers_without_links.set({"service": service}, count)

    def count_permit(self, outcome: str) -> None:
        """Count the response to a permit request."""
        self.limit_permits.inc({"outcome": outcome})

    def set_limits(self, state: Mapping[str, LimitState]) -> None:
        """Set the gauges of servers with a rate limit; remove all others."""
        self.limits_per_s.values.clear()
        self.limit_usage.values.clear()
        for server_id, limit in state.items():
            self.limits_per_s.set({"server": server_id}, limit.limit_a_s)
            for what, count in (("sent", limit.sent), ("given", limit.given)):
                self.limit_usage.set({"server": server_id, "what": what}, count)

    def record_state_applied(self, took_s: float, longest_hold_s: float) -> None:
        """Record how long a desired state took to apply, and its longest loop block."""
        self.state_apply_s.observe({"part": "all"}, took_s)
        self.state_apply_s.observe({"part": "longest_hold"}, longest_hold_s)

    def set_suspects(self, suspected: int, held: int) -> None:
        """Set the gauges of suspected and of quarantined traits."""
        self.suspected_traits.set({"state": "suspected"}, suspected)
        self.suspected_traits.set({"state": "held"}, held)

    def record_response(
        self,
        admitted: Admitted,
        status: int,
        took_s: float,
        first_event_s: float | None,
    ) -> None:
        """Count a request that got a response."""
        self.requests.inc({"outcome": str(status)})
        labels = {"kind": admitted.route.kind.value}
        self.answer_s.observe(labels, took_s)
        if first_event_s is not None:
            self.first_event_s.observe(labels, first_event_s)
