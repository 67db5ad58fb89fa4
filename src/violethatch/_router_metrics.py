# SPDX-License-Identifier: MIT
"""The router's metrics, as Prometheus reads them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry

from ._admission import AdmissionState
from ._limit_enforcement import LimitState
from .desired import Admitted
from .load_sums import LoadTotals
from .store_era import StoreEra, TableState


_WAIT_BUCKETS_S = [0.01, 0.03, 0.06, 0.12, 0.25]
_TAKING_BUCKETS_S = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0]
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
        self.refusal_proof_age_s = Histogram(
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
        self.table_ages_s = Gauge(
            "violethatch_router_table_proof_age_seconds",
            "The age of a table's newest proof; -1 without one.",
            registry=self.registry,
        )
        self.server_ends = Counter(
            "violethatch_router_server_ends_total",
            "Servers found to have ended while they had requests of this instance.",
            registry=self.registry,
        )
        self.refusals = Counter(
            "violethatch_router_refusals_total",
            "Sends that servers refused, by trouble and whether they were left alone.",
            registry=self.registry,
        )
        self.silent_runs = Counter(
            "violethatch_router_silent_runs_total",
            "Runs of streams that counted as silent, by finding and what came then.",
            registry=self.registry,
        )
        self.streams_cut = Counter(
            "violethatch_router_streams_cut_total",
            "Streams that had begun and could not be finished, by reason.",
            registry=self.registry,
        )
        self.server_words = Counter(
            "violethatch_router_server_words_total",
            "What servers said of themselves; unknown is what nothing reads.",
            registry=self.registry,
        )
        self.sends_kept_back = Counter(
            "violethatch_router_sends_kept_back_total",
            "What was decided and not written to a server, by what it was and why.",
            registry=self.registry,
        )
        self.servers_resting = Gauge(
            "violethatch_router_servers_resting",
            "Servers that have asked this instance for rest.",
            registry=self.registry,
        )
        self.forwards = Counter(
            "violethatch_router_forwards_total",
            "Requests handed to other instances, by what came of it.",
            registry=self.registry,
        )
        self.link_checks = Counter(
            "violethatch_router_link_checks_total",
            "Checks of the links to a service's servers, by outcome.",
            registry=self.registry,
        )
        self.links_lost = Gauge(
            "violethatch_router_links_lost",
            "1 for each service none of whose servers can be reached from here.",
            registry=self.registry,
        )
        self.limit_permits = Counter(
            "violethatch_router_limit_permits_total",
            "Answers to what was asked before sends to limited servers.",
            registry=self.registry,
        )
        self.limits_a_s = Gauge(
            "violethatch_router_server_limit",
            "Requests a second that a server takes of all instances, by server.",
            registry=self.registry,
        )
        self.limits_used = Gauge(
            "violethatch_router_server_limit_used",
            "Of a limited server's last four seconds: sent here, given here to all.",
            registry=self.registry,
        )
        self.state_taken_s = Histogram(
            "violethatch_router_state_taken_seconds",
            "How long a desired state took to be taken in, by part: all, longest_hold.",
            buckets=_TAKING_BUCKETS_S,
            registry=self.registry,
        )
        self.rows_refused = Counter(
            "violethatch_router_rows_refused_total",
            "Rows of the store that could not be understood, by table.",
            registry=self.registry,
        )
        self.suspected_works = Gauge(
            "violethatch_router_suspected_works",
            "Works and prompt parts that servers end under, and those held back.",
            registry=self.registry,
        )
        self.instances_summed = Gauge(
            "violethatch_router_load_instances",
            "Instances whose loads this one knows, itself included.",
            registry=self.registry,
        )
        self.admission_room = Gauge(
            "violethatch_router_admission_room_streams",
            "Streams that a service's usable runners can take at once.",
            registry=self.registry,
        )
        self.admission_running = Gauge(
            "violethatch_router_admission_running_streams",
            "Streams of all instances at a service's usable runners.",
            registry=self.registry,
        )
        self.admission_parts = Gauge(
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
        self.admission_refusals = Counter(
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
        self.streams_known = Gauge(
            "violethatch_router_load_streams",
            "Streams by whose they are, as this instance knows them.",
            registry=self.registry,
        )

    def count_restores(self, era: StoreEra) -> None:
        """Count the store's restores."""
        era.on_restore(lambda: self.store_restores.inc({}))

    def admission(self, states: Mapping[str, AdmissionState]) -> None:
        """Show the governed services' admission, and theirs alone."""
        for gauge in (
            self.admission_room,
            self.admission_running,
            self.admission_parts,
            self.admission_queue,
            self.admission_reserved,
        ):
            gauge.values.clear()
        for service, state in states.items():
            labels = {"service": service}
            if state.room is not None:
                self.admission_room.set(labels, state.room.streams)
            self.admission_running.set(labels, state.running)
            self.admission_queue.set(labels, state.waiting)
            self.admission_reserved.set(labels, state.reserved)
            for priority, part in state.plan.parts.items():
                self.admission_parts.set(labels | {"priority": str(priority)}, part)

    def record_loop_pause(self, pause_s: float) -> None:
        """Count a pause of the event loop."""
        self.loop_pause_s.observe({}, pause_s)

    def record_refusal(self, priority: int, reason: str) -> None:
        """Count a stream that was not admitted."""
        self.admission_refusals.inc({"priority": str(priority), "reason": reason})

    def record_wait(self, wait_s: float) -> None:
        """Count how long a stream waited for a path with room."""
        self.admission_wait_s.observe({}, wait_s)

    def tables(self, states: Mapping[str, TableState]) -> None:
        """Show what this instance's views of the tables rest on."""
        for table, state in states.items():
            labels = {"table": table}
            age_s = state.proof_age_s
            self.table_eras.set(labels, state.era)
            self.table_versions.set(
                labels, -1 if state.version is None else state.version
            )
            self.table_ages_s.set(labels, -1.0 if age_s is None else age_s)

    def loads(self, own: LoadTotals, others: LoadTotals, age_s: float | None) -> None:
        """Show what is known of loads."""
        self.instances_summed.set({}, own.instances + others.instances)
        self.load_age_s.set({}, -1.0 if age_s is None else age_s)
        for whose, totals in (("own", own), ("others", others)):
            streams = sum(one.streams for one in totals.servers.values())
            self.streams_known.set({"whose": whose}, streams)

    def refused(self, trouble: str, was_left_alone: bool) -> None:
        """Count a send that a server refused."""
        rests = "yes" if was_left_alone else "no"
        self.refusals.inc({"trouble": trouble, "left_alone": rests})

    def silent_run(self, finding: str, outcome: str) -> None:
        """Count a run of a stream that counted as silent."""
        self.silent_runs.inc({"finding": finding, "outcome": outcome})

    def stream_cut(self, reason: str) -> None:
        """Count a stream that had begun and could not be finished."""
        self.streams_cut.inc({"reason": reason})

    def heard(self, kind: str) -> None:
        """Count what a server said of itself."""
        self.server_words.inc({"word": kind})

    def kept_back(self, sending: str, reason: str) -> None:
        """Count what was not written to a server."""
        self.sends_kept_back.inc({"sending": sending, "reason": reason})

    def forwarded(self, outcome: str) -> None:
        """Count a request that was handed to another instance."""
        self.forwards.inc({"outcome": outcome})

    def checked_links(self, outcome: str) -> None:
        """Count a check of links."""
        self.link_checks.inc({"outcome": outcome})

    def lost_links(self, services: Iterable[str]) -> None:
        """Show the services whose links are lost, and them alone."""
        self.links_lost.values.clear()
        for service in services:
            self.links_lost.set({"service": service}, 1)

    def permit(self, outcome: str) -> None:
        """Count an answer to a question for a permit."""
        self.limit_permits.inc({"outcome": outcome})

    def limits(self, state: Mapping[str, LimitState]) -> None:
        """Show the limits of servers, and of them alone."""
        self.limits_a_s.values.clear()
        self.limits_used.values.clear()
        for server_id, one in state.items():
            self.limits_a_s.set({"server": server_id}, one.limit_a_s)
            for what, count in (("sent", one.sent), ("given", one.given)):
                self.limits_used.set({"server": server_id, "what": what}, count)

    def state_taken(self, took_s: float, longest_hold_s: float) -> None:
        """Note a desired state that was taken in, and how it held the event loop."""
        self.state_taken_s.observe({"part": "all"}, took_s)
        self.state_taken_s.observe({"part": "longest_hold"}, longest_hold_s)

    def suspects(self, suspected: int, held: int) -> None:
        """Show how many traits are suspected, and how many are held back."""
        self.suspected_works.set({"state": "suspected"}, suspected)
        self.suspected_works.set({"state": "held"}, held)

    def served(
        self,
        admitted: Admitted,
        status: int,
        took_s: float,
        first_event_s: float | None,
    ) -> None:
        """Count a request that got its answer."""
        self.requests.inc({"outcome": str(status)})
        labels = {"kind": admitted.route.kind.value}
        self.answer_s.observe(labels, took_s)
        if first_event_s is not None:
            self.first_event_s.observe(labels, first_event_s)
