# SPDX-License-Identifier: MIT
"""The router: admits calls by the desired state and serves them to completion."""

from __future__ import annotations

import asyncio
import functools
import random
import time

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from . import clocks, events
from ._open_answers import OpenAnswers
from ._plain_calls import PlainCall
from ._router_metrics import RouterMetrics
from ._routing import Routing
from .answer_times import AnswerTimes
from .backends import BackendServer, ListChange, StoreOutage
from .desired import Admitted, CallKind, DesiredState, ServiceSpec
from .draining import StopPlan
from .errors import (
    DrainingError,
    LinksLostError,
    NotConfiguredError,
    OverloadedError,
    Ran,
    UnauthorizedError,
    UnknownTargetError,
    UnprovenStateError,
    VioletHatchError,
)
from .forwarding import (
    ForwardedCall,
    Forwarding,
    MustForwardError,
    PeerChoice,
    PeerClient,
)
from .freshness import Freshness
from .instances import InstanceEntry
from .memory_budget import MemoryBudget
from .request_capacity import RequestCapacity, may_connect
from .router_settings import RouterSettings
from .slices import Slices, Steps
from .start_steps import LOGGED_STEPS, Step, StepTimes
from .store_era import UNREAD, TableState
from .streams import StreamCall
from .upstream import (
    Call,
    Decoder,
    OnSend,
    Responder,
    RunnerClient,
    TableView,
    ignore_sends,
)


_OK = 200
_MULTIPLE_CHOICES = 300
#: Retry-After for callers that other instances can serve, in seconds.
OTHER_INSTANCE_RETRY_S = 0.1
#: Retry-After of an instance that has just started, in seconds.
_STARTING_RETRY_S = 0.4
#: The expected remaining duration of a store outage, in seconds.
_STORE_OUTAGE_S = 1.0
#: The expected duration of a link loss that affects all instances, in seconds.
_LINK_LOSS_S = 0.5
#: The maximum number of undecodable rows that one log line names.
_MAX_LOGGED_ROWS = 10
#: Retry-After of a busy instance, in seconds: the duration of a few requests.
_BUSY_RETRY_S = 0.5


class Router:
    """Serves callers based on the store's tables and the state of backend servers.

    Args:
        settings: Validated settings.
        client: Calls backend servers.
        decoder: Decodes the store's rows.
        rng: The source of all random choices.
    """

    def __init__(
        self,
        settings: RouterSettings,
        *,
        client: RunnerClient,
        decoder: Decoder,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.routing = Routing(settings, client, rng)
        self.metrics = RouterMetrics()
        self.routing.ends.on_end = lambda: self.metrics.server_crashes.inc({})
        self.routing.find_service = self._find_service
        self.routing.link_watch.on_check = self.metrics.count_link_check
        self.routing.on_refusal = self.metrics.count_rejection
        self.routing.on_silent_run = self.metrics.count_silent_run
        self.routing.on_stream_cut = self.metrics.count_cut_stream
        self.routing.flow_control.on_signal = self.metrics.count_signal
        self.routing.flow_control.on_send_rejected = self.metrics.count_blocked_send
        self.routing.flow_control.limits.on_permit = self.metrics.count_permit
        self.routing.admission.observer = self.metrics
        self.routing.failures.on_failure = self.metrics.count_task_failure
        self.memory.on_rejected = lambda _size: self.metrics.memory_rejections.inc({})
        self.freshness = Freshness(limit_s=settings.proof_limit_s)
        self.stop_plan = StopPlan(grace_s=settings.bounds.grace_s)
        self._request_capacity = RequestCapacity()
        self.desired: DesiredState | None = None
        #: The encoded row of the desired state in force.
        self._desired_value: bytes | None = None
        self.start_times = StepTimes(began_s=clocks.now_s())
        self.in_flight = 0
        self.open_answers = OpenAnswers()
        self._response_times = AnswerTimes()
        #: Returns, by table, where this instance reads it from.
        self.sources: Callable[[], Mapping[str, str]] = dict
        #: Returns, by table, the version and age of this instance's view of it.
        self.tables: Callable[[], Mapping[str, TableState]] = dict
        #: Returns the version and age of the desired state's table.
        self.desired_table: Callable[[], TableState] = lambda: UNREAD
        self._decoder = decoder

    @property
    def max_body_bytes(self) -> int:
        """The maximum size of a request body, in bytes."""
        return self.desired.limits.body_bytes if self.desired else 0

    @property
    def memory(self) -> MemoryBudget:
        """The memory for the bodies of requests and answers."""
        return self.routing.memory

    @property
    def is_ready(self) -> bool:
        """Whether load balancers should send callers to this instance."""
        if self.stop_plan.is_stopping or self.desired is None:
            return False
        age_s = self.freshness.age_s(now_s=clocks.now_s())
        return age_s < min(self.settings.ready_limit_s, self.freshness.limit_s)

    def has_request_capacity(self) -> bool:
        """Return whether this instance will serve callers that connect next."""
        return self._request_capacity.check(
            self.in_flight,
            max_requests=self.settings.limits.most_requests,
            mean_of_others=self.routing.loads.mean_of_others(),
        )

    def may_connect(self) -> bool:
        """Return whether to accept a caller's new connection."""
        return may_connect(
            self.in_flight,
            max_requests=self.settings.limits.most_requests,
            mean_of_others=self.routing.loads.mean_of_others(),
        )

    def enable_forwarding(
        self,
        client: PeerClient,
        *,
        peers: Callable[[], Sequence[InstanceEntry]],
        rng: random.Random,
    ) -> None:
        """Forward calls to other instances if no server can be reached from here.

        Args:
            client: Sends requests to other instances.
            peers: Returns the other instances.
            rng: Chooses among them.
        """
        instance = self.settings.instance
        forwarding = Forwarding(
            client,
            own_id=instance.id,
            peers=peers,
            choice=PeerChoice(
                instance.availability_zone, self.routing.announced_links, rng=rng
            ),
            state_version=lambda: self.desired.version if self.desired else 0,
            retry_after_s=lambda: self.routing.retry_after_s(_LINK_LOSS_S),
            memory=self.routing.memory,
            max_answer_bytes=lambda: self.settings.limits.max_answer_bytes,
        )
        forwarding.on_outcome = self.metrics.count_forward
        self.routing.forwarding = forwarding

    async def serve(self, call: Call, responder: Responder) -> None:
        """Serve a call to completion.

        Raises:
            VioletHatchError: No part of a response was sent; the error tells whether
                the request may have been executed.
        """
        admitted = self._admit(call)
        self.routing.retries.count_request(admitted.service.name)
        self.in_flight += 1
        try:
            await self._serve_admitted(call, admitted, responder)
        finally:
            self.in_flight -= 1

    async def serve_forwarded(
        self,
        call: Call,
        responder: Responder,
        *,
        state_version: int,
        runs: int,
        on_send: OnSend,
    ) -> None:
        """Serve a call that another instance forwards; see `ForwardServer`.

        Raises:
            VioletHatchError: No part of a response was sent.
        """
        try:
            if self.desired is None or self.desired.version < state_version:
                msg = "an older configuration is in force here"
                raise NotConfiguredError(msg, retry_after_s=OTHER_INSTANCE_RETRY_S)
            admitted = self._admit(call)
            if await self.routing.link_watch.settled(admitted.service.name):
                raise self._links_lost(admitted.service.name)
            self.in_flight += 1
            try:
                await self._serve_admitted(
                    call, admitted, responder, runs=runs, on_send=on_send
                )
            finally:
                self.in_flight -= 1
        except VioletHatchError as error:
            age_s = clocks.now_s() - call.received_s
            self._log_error(
                call.id,
                error,
                age_s=age_s,
                runs_before=runs,
                forwarded_by=call.forwarded_by,
            )
            raise

    def _links_lost(self, service: str) -> LinksLostError:
        """Return the refusal of a forwarded call, with who else would refuse it."""
        forwarding = self.routing.forwarding
        lost = forwarding.lost_peers(service) if forwarding is not None else {}
        return LinksLostError(retry_after_s=OTHER_INSTANCE_RETRY_S, lost_peers=lost)

    def record_error(
        self, call_id: str, error: VioletHatchError, *, age_s: float
    ) -> None:
        """Log and count a request that ended with one of our own errors."""
        self.metrics.requests.inc({"outcome": str(error.code)})
        if isinstance(error, (UnknownTargetError, UnauthorizedError)):
            proof_age_s = self.freshness.age_s(now_s=clocks.now_s())
            self.metrics.rejection_proof_age_s.observe({}, proof_age_s)
        self._log_error(call_id, error, age_s=age_s)

    def _log_error(
        self,
        call_id: str,
        error: VioletHatchError,
        *,
        age_s: float,
        runs_before: int = 0,
        forwarded_by: str | None = None,
    ) -> None:
        """Log a request that ended with one of our own errors.

        Args:
            call_id: The request.
            error: The error.
            age_s: The time since the request was received, in seconds.
            runs_before: Sends that may have been executed before it was forwarded.
            forwarded_by: The instance that forwarded it, if one did.
        """
        ran = Ran.MAYBE if runs_before else error.ran
        forwarded = {"forwarded_by": forwarded_by, "runs_before": runs_before}
        events.log(
            events.REQUEST_REFUSED if ran is Ran.NO else events.REQUEST_FAILED,
            request_id=call_id,
            code=error.code,
            ran=ran.value,
            reason=error.detail,
            retry_after_s=error.retry_after_s,
            after_s=round(age_s, 4),
            **self._start_up_fields(),
            list_state=self.routing.list_state()._asdict(),
            state_version=self.desired.version if self.desired else None,
            desired_table=self.desired_table()._asdict(),
            proof_age_s=self._proof_age_s(),
            refusal_limit_s=self.settings.refusal_limit_s,
            **(forwarded if forwarded_by else {}),
        )

    def record_unexpected_error(self, call_id: str, error: Exception) -> None:
        """Log and count a request that failed with an unexpected exception."""
        code = VioletHatchError.code
        self.metrics.requests.inc({"outcome": str(code)})
        events.log(
            events.REQUEST_FAILED,
            request_id=call_id,
            code=code,
            ran=Ran.MAYBE.value,
            error=repr(error),
        )

    def record_disconnect(self, call_id: str, *, age_s: float) -> None:
        """Log and count a caller that disconnected."""
        self.metrics.requests.inc({"outcome": "caller_left"})
        events.log(events.CALLER_LEFT, request_id=call_id, after_s=round(age_s, 4))

    def answer_cut(
        self,
        call_id: str,
        *,
        age_s: float,
        is_begun: bool,
        ran: Ran,
        forwarded_by: str | None = None,
    ) -> None:
        """Log and count a response that this instance aborted at shutdown.

        Args:
            call_id: The caller's request.
            age_s: The time since the request was received, in seconds.
            is_begun: Whether the caller has a part of the response.
            ran: Whether the request was executed, as far as is known.
            forwarded_by: The instance that forwarded it and counts it, if one did.
        """
        if not forwarded_by:
            self.metrics.requests.inc({"outcome": "cut"})
        events.log(
            events.ANSWER_CUT,
            request_id=call_id,
            reason="stopping",
            age_s=round(age_s, 4),
            is_begun=is_begun,
            ran=ran.value,
            **({"forwarded_by": forwarded_by} if forwarded_by else {}),
        )

    def apply_desired_state(self, view: TableView, _is_whole: bool) -> None:
        """Apply the desired state without pausing, if it is newer."""
        slices = Slices()
        self._activate_state(
            view, slices.run_to_completion(self._decode_steps(view)), slices
        )

    async def apply_desired_state_in_slices(
        self, view: TableView, _is_whole: bool
    ) -> None:
        """Apply the desired state in slices, if it is newer.

        The older one stays in force meanwhile.
        """
        slices = Slices()
        state = await slices.run(self._decode_steps(view))
        previous = self.desired
        self._activate_state(view, state, slices)
        # Freeing a large state takes some ms: done in a separate iteration of the event
        # loop.
        await asyncio.sleep(0)
        del previous

    def _decode_steps(self, view: TableView) -> Steps[DesiredState | None]:
        """Decode the desired state in short steps; None if it is not newer."""
        value = view.values.get("config")
        if value is None:
            return None
        if value == self._desired_value:
            self.freshness.trust()
            return None
        current_version = self.desired.version if self.desired is not None else None
        try:
            state = yield from self._decoder.desired_steps(value, above=current_version)
        except ValueError as error:
            # It may have removed keys, so the older state is no longer proven current.
            self.freshness.doubt()
            self._record_invalid_rows("desired state", {"config": str(error)})
            return None
        self.freshness.trust()
        return state

    def _activate_state(
        self, view: TableView, state: DesiredState | None, slices: Slices
    ) -> None:
        """Put a decoded desired state in force, if there is one."""
        if state is None:
            return
        with slices.unsliced():
            self.desired = state
            self._desired_value = view.values["config"]
            # The services decide which of the listed servers can be theirs.
            change = self.routing.backends.recheck(now_s=clocks.now_s())
            self._handle_list_change(change, revision=state.version)
            self.routing.admission.apply_desired_state(state)
        self.metrics.record_state_applied(slices.elapsed_s, slices.max_slice_s)
        self.record_start_step(Step.DESIRED_STATE)
        events.log(
            events.REVISION_APPLIED,
            revision=state.version,
            routes=sum(len(routes) for routes in state.routes.values()),
            row_version=view.version,
            era=view.era,
            source=view.source,
            took_s=round(slices.elapsed_s, 4),
            slices=slices.count,
            longest_hold_s=round(slices.max_slice_s, 4),
        )

    def apply_server_list(self, view: TableView, is_whole: bool) -> None:
        """Apply the list of backend servers."""
        now_s = clocks.now_s()
        present, errors = self._decode_servers(view)
        backends = self.routing.backends
        if is_whole:
            self.record_start_step(Step.SERVERS)
            change = backends.replace(
                present, refused=errors, is_restored=view.is_restored, now_s=now_s
            )
        else:
            removed = [key for key, value in view.values.items() if value is None]
            change = backends.apply_changes(
                present, removed, refused=errors, now_s=now_s
            )
        self._handle_list_change(
            change, row_version=view.version, era=view.era, source=view.source
        )

    def _handle_list_change(self, change: ListChange, **cause: object) -> None:
        """Log a change of the usable servers, and update what depends on it.

        Args:
            change: The change.
            cause: Log fields that tell where it comes from.
        """
        for event, ids in (
            (events.SERVER_FOUND, change.found),
            (events.SERVER_GONE, change.lost),
            (events.RUNNER_LEAVING, change.leaving),
        ):
            if ids:
                events.log(event, server_ids=list(ids), **cause)
        if change.faults:
            self._record_faulty_entries(change.faults, cause)
        self.routing.remove_unlisted(change.lost)
        self.routing.handle_restarts(change.restarted)

    def _decode_servers(
        self, view: TableView
    ) -> tuple[list[BackendServer], dict[str, str]]:
        """Return the listed servers, and by id the reason for each undecodable row."""
        servers = []
        errors = {}
        for server_id, value in view.values.items():
            if value is None:
                continue
            try:
                servers.append(self._decoder.backend_server(server_id, value))
            except ValueError as error:
                errors[server_id] = str(error)
        if errors:
            self._record_invalid_rows("servers", errors)
        return servers, errors

    def _record_invalid_rows(self, table: str, errors: Mapping[str, str]) -> None:
        """Count undecodable rows, and log some of them in one line."""
        self.metrics.invalid_rows.add({"table": table}, len(errors))
        events.log(
            events.STATE_REFUSED,
            table=table,
            rows=list(errors)[:_MAX_LOGGED_ROWS],
            count=len(errors),
            reason=next(iter(errors.values())),
        )

    def _record_faulty_entries(
        self, faults: Mapping[str, str], cause: Mapping[str, object]
    ) -> None:
        """Count entries that their service can't have; log some of them in one line."""
        self.metrics.faulty_entries.add({}, len(faults))
        events.log(
            events.ENTRY_FAULTY,
            server_ids=list(faults)[:_MAX_LOGGED_ROWS],
            count=len(faults),
            reason=next(iter(faults.values())),
            **cause,
        )

    def handle_store_recovery(self, outage: StoreOutage) -> None:
        """Note that the server list may be incomplete after a store outage."""
        self.routing.backends.record_store_recovery(outage, now_s=clocks.now_s())

    def apply_settings(self, settings: RouterSettings) -> None:
        """Apply changed settings; own addresses stay until a restart."""
        self.settings = settings
        self.routing.apply_settings(settings)
        self.freshness.limit_s = settings.proof_limit_s
        self.stop_plan.grace_s = settings.bounds.grace_s

    def state(self) -> dict[str, Any]:
        """Return the process's state for a dump, without secrets."""
        now_s = clocks.now_s()
        return {
            "state_version": self.desired.version if self.desired else None,
            "proof_age_s": self._proof_age_s(),
            "start_after_s": self.start_times.after_s(),
            "start_waits_for": self.start_times.waits_for,
            "in_flight": self.in_flight,
            "request_memory": self._memory_state(),
            "is_stopping": self.stop_plan.is_stopping,
            "servers": len(self.routing.backends),
            "held_traits": self.routing.suspects.held(now_s=now_s),
            "suspected_traits": len(self.routing.suspects),
            "resting": sorted(self.routing.health.in_cooldown(now_s=now_s)),
            "lost_links": {
                service: lost._asdict()
                for service, lost in self.routing.link_watch.links.lost().items()
            },
            "peers_without_links": self._peers_without_links(),
            "asked_rest_s": self.routing.flow_control.state(),
            "server_limits": {
                server_id: limit._asdict()
                for server_id, limit in self.routing.flow_control.limits.state().items()
            },
            "sources": dict(self.sources()),
            "tables": {
                table: state._asdict() for table, state in self.tables().items()
            },
            "load_instances": 1 + self.routing.loads.others.instances,
            "admission": self.routing.admission.dump(),
            "admission_settings": self.routing.admission.section._asdict(),
            "admission_kept_starts": self.routing.admission.returns.kept(),
            "load_age_s": self.routing.loads.others_age_s(now_s=now_s),
        }

    def _peers_without_links(self) -> dict[str, int]:
        """Return how many other instances have announced lost links, by service."""
        forwarding = self.routing.forwarding
        return forwarding.count_lost_peers() if forwarding is not None else {}

    def _memory_state(self) -> dict[str, int]:
        """Return the memory that requests hold, in bytes."""
        return {
            "in_use_bytes": self.memory.in_use_bytes,
            "peak_bytes": self.memory.peak_bytes,
            "total_bytes": self.memory.total_bytes,
        }

    def update_metrics(self) -> None:
        """Update the gauges from the process's state."""
        now_s = clocks.now_s()
        loads = self.routing.loads
        self.metrics.set_loads(
            loads.own_totals(now_s=now_s),
            loads.others,
            loads.others_age_s(now_s=now_s),
        )
        self.metrics.set_tables(self.tables())
        self.metrics.set_request_memory(self._memory_state())
        suspects = self.routing.suspects
        self.metrics.set_admission(self.routing.admission.states())
        self.metrics.set_lost_links(self.routing.link_watch.links.lost())
        self.metrics.set_peers_without_links(self._peers_without_links())
        self.metrics.servers_in_backoff.set({}, len(self.routing.flow_control.state()))
        self.metrics.set_limits(self.routing.flow_control.limits.state())
        self.metrics.set_suspects(len(suspects), len(suspects.held(now_s=now_s)))

    def resume_start(self, times: StepTimes) -> None:
        """Continue with the start-up steps that the process has completed so far."""
        self.start_times = times
        for step, after_s in times.after_s().items():
            self.metrics.start_step_s.observe({"step": step}, after_s)

    def record_start_step(self, step: Step) -> None:
        """Record that the process has completed a start-up step."""
        # Each request and each of the balancer's questions comes here.
        if self.start_times.has_reached(step):
            return
        self.start_times.note(
            step, now_s=clocks.now_s(), processor_s=time.process_time()
        )
        turn = self.start_times.turn
        after_s = self.start_times.after_s()
        self.metrics.start_step_s.observe({"step": step.value}, after_s[step.value])
        if step not in LOGGED_STEPS:
            return
        events.log(
            events.START_STEP,
            step=step.value,
            after_s=after_s,
            processor_s=self.start_times.processor_s(),
            turn=turn._asdict() if turn else None,
            waits_for=self.start_times.waits_for,
        )

    def _start_up_fields(self) -> dict[str, str]:
        """Return the pending start-up step as a log field, if there is one."""
        waits_for = self.start_times.waits_for
        return {} if waits_for is None else {"start_waits_for": waits_for}

    def _find_service(self, service: str) -> ServiceSpec | None:
        """Return a service's specification in the desired state, if it has one."""
        return self.desired.services.get(service) if self.desired else None

    def _proof_age_s(self) -> float | None:
        """Return the age of the desired state's proof, for a log line."""
        age_s = self.freshness.age_s(now_s=clocks.now_s())
        return None if age_s == float("inf") else round(age_s, 3)

    def _admit(self, call: Call) -> Admitted:
        """Return the route, service and workspace of a call.

        Raises:
            VioletHatchError: It is rejected; nothing was executed.
        """
        now_s = clocks.now_s()
        if self.desired is None:
            raise NotConfiguredError(retry_after_s=_STARTING_RETRY_S)
        is_fresh = self.freshness.is_fresh(now_s=now_s)
        try:
            admitted = self.desired.admit(
                host=call.host, path=call.target, key=call.key, call_id=call.id
            )
        except (UnknownTargetError, UnauthorizedError):
            # A newer desired state may contain the missing route or key.
            if self.freshness.age_s(now_s=now_s) < self.settings.refusal_limit_s:
                raise
            raise self._make_unproven_error() from None
        if not is_fresh and admitted.workspace is not None:
            raise self._make_unproven_error()
        is_stream = admitted.route.kind is CallKind.STREAM
        refusal = self.stop_plan.refusal(
            is_stream=is_stream,
            now_s=now_s,
            recent_s=self._response_times.recent_s(admitted.route.name),
            oldest_s=self._response_times.oldest_s(admitted.route.name, now_s=now_s),
            limit_s=call.deadline_within_s(admitted.route.timeout_s) - now_s,
        )
        if refusal is not None:
            raise DrainingError(refusal, retry_after_s=OTHER_INSTANCE_RETRY_S)
        if self.in_flight >= self.settings.limits.most_requests:
            msg = f"{self.in_flight} requests in progress here"
            raise OverloadedError(msg, retry_after_s=_BUSY_RETRY_S)
        return admitted

    def _make_unproven_error(self) -> UnprovenStateError:
        """Return the error of an instance that can't reach the store."""
        msg = "the store could not be asked of late"
        retry_after_s = self.routing.retry_after_s(_STORE_OUTAGE_S)
        return UnprovenStateError(msg, retry_after_s=retry_after_s)

    async def _serve_admitted(
        self,
        call: Call,
        admitted: Admitted,
        responder: Responder,
        *,
        runs: int = 0,
        on_send: OnSend = ignore_sends,
    ) -> None:
        """Serve a call according to its route's kind, and log the outcome."""
        local_call = self._make_local_call(call, admitted, runs=runs, on_send=on_send)
        served_by = None
        route = admitted.route.name
        with self._response_times.track(route, began_s=call.received_s):
            try:
                status = await local_call.serve(responder)
            except MustForwardError:
                forwarded_call = self._make_forwarded_call(call, admitted, local_call)
                status = await forwarded_call.serve(responder)
                served_by = forwarded_call.served_by
        duration_s = clocks.now_s() - call.received_s
        if _OK <= status < _MULTIPLE_CHOICES:
            self.record_start_step(Step.FIRST_ANSWER)
            self._response_times.record(admitted.route.name, duration_s)
        first_event_s = local_call.output.first_event_s
        if not call.forwarded_by:
            self.metrics.record_response(admitted, status, duration_s, first_event_s)
        events.log(
            events.REQUEST_SERVED,
            request_id=call.id,
            route=admitted.route.name,
            service=admitted.service.name,
            workspace=admitted.workspace_name,
            status=status,
            sends=local_call.sends,
            moves=local_call.moves,
            first_event_s=round(first_event_s, 4) if first_event_s else None,
            took_s=round(duration_s, 4),
            **local_call.log_fields(),
            **({"served_by": served_by} if served_by else {}),
            **({"forwarded_by": call.forwarded_by} if call.forwarded_by else {}),
            list_state=local_call.list_state._asdict(),
            state_version=self.desired.version if self.desired else None,
            proof_age_s=self._proof_age_s(),
        )

    def _make_local_call(
        self,
        call: Call,
        admitted: Admitted,
        *,
        runs: int,
        on_send: OnSend,
    ) -> StreamCall | PlainCall:
        """Return a call to be served by this instance itself."""
        is_stream = admitted.route.kind is CallKind.STREAM
        if is_stream and admitted.service.engine:
            return StreamCall(
                self.routing,
                call,
                admitted,
                runs=runs,
                forward=functools.partial(self._make_forwarded_call, call, admitted),
                on_send=on_send,
            )
        return PlainCall(self.routing, call, admitted, runs=runs, on_send=on_send)

    def _make_forwarded_call(
        self, call: Call, admitted: Admitted, local_call: StreamCall | PlainCall
    ) -> ForwardedCall:
        """Return a call, or its remaining part, to be served by other instances."""
        assert self.routing.forwarding is not None
        link_loss = self.routing.link_watch.links.lost().get(admitted.service.name)
        events.log(
            events.REQUEST_FORWARDED,
            request_id=call.id,
            service=admitted.service.name,
            runs=local_call.runs,
            last_event_id=local_call.output.progress.last_id,
            lost_s=round(clocks.now_s() - link_loss.since_s, 3) if link_loss else None,
            silent=list(link_loss.silent) if link_loss else [],
        )
        return ForwardedCall(
            self.routing.forwarding,
            call,
            admitted,
            runs=local_call.runs,
            output=local_call.output,
        )
