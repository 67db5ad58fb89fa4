# SPDX-License-Identifier: MIT
"""Admission control of one service: its plan, queue and rejections."""

from __future__ import annotations

import asyncio
import collections
import math

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from . import clocks, events
from ._admission_types import AdmissionContext, AdmissionState, StartRequest
from .admission_plan import (
    MAX_SUM_AGE_S,
    UNLIMITED,
    Admitter,
    Plan,
    Planner,
    WorkspacePolicy,
)
from .capacity import Room, Targets
from .demand import RUNNING, DemandKey, total_demand
from .desired import CallRoute, ServiceSpec
from .errors import NotAdmittedError
from .load_sums import server_number
from .paths import Path
from .router_settings import AdmissionSection
from .start_queue import QueuedRequest, StartQueue
from .start_reservations import MAX_RETRY_S, ClaimOutcome, RetrySlot


#: The fraction of a stream's target for which it may wait; the remainder is for its
#: first event.
_MAX_WAIT_FRACTION = 0.25
#: The interval between checks of waiting streams, in seconds: a tenth of the shortest
#: wait.
_QUEUE_CHECK_INTERVAL_S = 0.0125
#: The maximum retry delay, as a fraction of the time to the caller's deadline.
_MAX_RETRY_FRACTION = 1 / 3
#: The window over which the outcomes of local streams are counted, in seconds.
_OUTCOME_WINDOW_S = 2.0
#: The minimum number of local streams in the window for a significant fraction.
_MIN_OUTCOMES = 5
#: The minimum time between two log lines about a service's plan, in seconds.
_MIN_LOG_INTERVAL_S = 1.0
#: The memory for a waiting stream's task and connection, in bytes, in addition to its
#: body.
_REQUEST_BYTES = 16_384
#: The fraction of the target that streams queued at a runner may add to the time to
#: the first event.
_RUNNER_QUEUE_FRACTION = 0.5


class _WaitingStream(NamedTuple):
    """A waiting stream: the future of its path, and the search for a path."""

    path_future: asyncio.Future[Path | None]
    find_path: Callable[[], Path | None]


class ServiceAdmission:
    """Admits, queues and rejects the streams of one service."""

    def __init__(self, admission: AdmissionContext, spec: ServiceSpec) -> None:
        self._admission = admission
        self._spec = spec
        self.number = server_number(spec.name)
        #: The number of admitted streams of this instance that are running.
        self.own_running = 0
        self._targets = Targets(0.0, 0.0)
        self._route_priorities: list[int] = []
        policy = WorkspacePolicy.from_names(
            admission.section.weights, admission.section.workspace_floor_part
        )
        self._planner = Planner(policy=policy)
        self._admitter = Admitter(policy=policy, phase=admission.phase)
        self._queue = StartQueue(
            max_requests=admission.section.queue_requests,
            max_bytes=admission.section.queue_kb * 1024,
        )
        self._waiters: dict[str, _WaitingStream] = {}
        self._queue_task: asyncio.Task[None] | None = None
        self._plan = UNLIMITED
        self._planned_s: float | None = None
        self._last_logged: tuple[Plan, float] | None = None
        self._room: Room | None = None
        self._running = 0
        self._demand: Mapping[int, float] = {}
        self._heaviest: Mapping[tuple[int, int], float] = {}
        self._age_s: float | None = None
        #: The end times of local streams, and whether they met their targets.
        self._outcomes: collections.deque[tuple[float, bool]] = collections.deque()

    def apply_settings(self, section: AdmissionSection) -> None:
        """Apply changed settings."""
        policy = WorkspacePolicy.from_names(
            section.weights, section.workspace_floor_part
        )
        self._planner.set_policy(policy)
        self._admitter.set_policy(policy)
        removed = self._queue.resize(
            max_requests=section.queue_requests, max_bytes=section.queue_kb * 1024
        )
        self._finish_without_path(removed)

    def set_routes(self, spec: ServiceSpec, routes: Iterable[CallRoute]) -> None:
        """Set the routes to the service; the strictest of their targets apply."""
        self._spec = spec
        routes = tuple(routes)
        self._route_priorities = sorted({route.priority for route in routes})
        gaps_s = [route.gap_target_s for route in routes if route.gap_target_s]
        self._targets = Targets(
            first_event_s=min(route.target_latency_s for route in routes),
            gap_s=min(gaps_s, default=0.0),
        )

    def release_waiting(self) -> None:
        """Finish each wait with a path search, as without admission control."""
        for stream in self._queue.expire(now_s=math.inf):
            try:
                path = self._waiters[stream.id].find_path()
            except Exception as error:
                self._finish_wait(stream.id, error)
            else:
                self._finish_wait(stream.id, path)

    def refresh(self, *, now_s: float) -> None:
        """Update the plan from the current demand and capacity."""
        admission = self._admission
        peers = admission.peers
        total = total_demand([admission.demand(), peers.demand()])
        self._demand = {
            key.priority: rate
            for key, rate in total.offers_per_s.items()
            if key.service == self.number and key.priority != RUNNING
        }
        summed_running = total.offers_per_s.get(DemandKey(self.number, RUNNING), 0.0)
        self._heaviest = {
            (key.priority, workspace): rate
            for (key, workspace), rate in total.heaviest_per_s.items()
            if key.service == self.number
        }
        self._room = admission.capacity.room(self._spec, self._targets)
        self._running = max(
            admission.capacity.running(self._spec), round(summed_running)
        )
        self._age_s = peers.age_s() if peers.has_peers() else 0.0
        in_target_part = self._in_target_fraction(now_s=now_s)
        is_stale = self._age_s is None or self._age_s > MAX_SUM_AGE_S
        has_room = self._room.streams > 0.0
        if not has_room and in_target_part is None:
            # No server list has been read, no runner is available, or no runner meets
            # the targets.  The path search distinguishes these cases and rejects
            # streams that have no path.
            plan = UNLIMITED
        elif is_stale or not has_room:
            plan = self._planner.plan_from_local_load(
                self._demand, in_target_part=in_target_part, now_s=now_s
            )
        else:
            plan = self._planner.plan(
                self._demand,
                self._heaviest,
                self._room,
                self._running,
                age_s=self._age_s or 0.0,
                now_s=now_s,
            )
        self._plan = plan
        self._planned_s = now_s
        self._log_plan(now_s=now_s)

    async def admit(self, request: StartRequest) -> bool:
        """Admit or immediately reject a stream; return whether its start is reserved.

        Raises:
            NotAdmittedError: The stream is rejected; nothing has run.
        """
        now_s = clocks.now_s()
        if self._planned_s is None or now_s - self._planned_s > MAX_SUM_AGE_S:
            self.refresh(now_s=now_s)  # the process was suspended
        plan = self._plan
        if plan.level is None or plan.admitted_fraction(request.priority) >= 1.0:
            self._count_offer(request, now_s=now_s)
            return False
        claim = await self._admission.returns.claim(request.work_id)
        if claim.outcome is not ClaimOutcome.UNKNOWN:
            events.log(
                events.START_CLAIMED,
                request_id=request.call.id,
                service=self._spec.name,
                outcome=claim.outcome.value,
                left_s=round(claim.left_s, 3),
            )
        if claim.outcome is ClaimOutcome.DUE:
            return True
        if claim.outcome is ClaimOutcome.EARLY:
            raise self._make_refusal(
                request, claim.left_s, reason="early", is_start_reserved=True
            )
        now_s = clocks.now_s()
        self._count_offer(request, now_s=now_s)
        workspace = server_number(request.workspace or "")
        is_admitted = self._admitter.admits(
            plan,
            request.priority,
            workspace,
            workspace_offers_per_s=self._heaviest.get((request.priority, workspace)),
        )
        if not is_admitted:
            slot = self._schedule_retry(request)
            raise self._make_refusal(
                request,
                slot.at_s - clocks.now_s(),
                reason="level",
                is_start_reserved=slot.is_reserved,
            )
        return False

    async def path(
        self,
        request: StartRequest,
        find: Callable[[], Path | None],
        *,
        is_blocked: Callable[[float], bool],
        is_reserved: bool,
    ) -> Path | None:
        """Return a path with free capacity, or None after a short wait."""
        now_s = clocks.now_s()
        call = request.call
        limit_s = call.received_s + _MAX_WAIT_FRACTION * request.target_s
        skips_queue = is_reserved or not len(self._queue)
        if skips_queue:
            path = find()
            if self._path_within_target(request.target_s, path) is not None:
                return path
            if path is None and is_blocked(limit_s - now_s):
                return None
        elif is_blocked(limit_s - now_s) and find() is None:
            return None
        queue_result = self._queue.offer(
            QueuedRequest(
                id=call.id,
                priority=request.priority,
                tokens=request.tokens,
                size_bytes=len(call.body) + _REQUEST_BYTES,
                read_s=call.received_s,
                limit_s=limit_s,
                target_s=call.received_s + request.target_s,
            ),
            starts_per_s=self._own_starts_per_s(),
            now_s=now_s,
        )
        if queue_result.displaced is not None:
            self._finish_without_path([queue_result.displaced])
        if not queue_result.is_queued:
            return None
        waiter = _WaitingStream(asyncio.get_running_loop().create_future(), find)
        self._waiters[call.id] = waiter
        if self._queue_task is None or self._queue_task.done():
            self._queue_task = asyncio.create_task(self._process_queue())
        try:
            path = await waiter.path_future
        finally:
            # After the future has completed, another call with the same id may wait.
            if self._waiters.get(call.id) is waiter:
                self._queue.remove(call.id)
                del self._waiters[call.id]
        waited_s = clocks.now_s() - now_s
        self._admission.observer.record_wait(waited_s)
        events.log(
            events.START_DELAYED,
            request_id=call.id,
            service=self._spec.name,
            priority=request.priority,
            waited_s=round(waited_s, 4),
            is_started=path is not None,
            waiting=len(self._queue),
        )
        return path

    def retry_delay_s(self, request: StartRequest, *, reason: str) -> float:
        """Record a rejection, and return the caller's retry delay in seconds."""
        self._admission.observer.record_refusal(request.priority, reason)
        slot = self._schedule_retry(request)
        delay_s = max(0.0, slot.at_s - clocks.now_s())
        if slot.is_reserved:
            events.log(
                events.START_RESERVED,
                request_id=request.call.id,
                service=self._spec.name,
                priority=request.priority,
                workspace=request.workspace,
                reason=reason,
                left_s=round(delay_s, 3),
            )
        return delay_s

    def record_outcome(self, *, is_in_target: bool, now_s: float) -> None:
        """Record whether a local stream met its targets."""
        self._outcomes.append((now_s, is_in_target))
        self._expire_outcomes(now_s=now_s)

    def state(self) -> AdmissionState:
        """Return the state, for metrics."""
        return AdmissionState(
            self._plan,
            self._room,
            self._running,
            len(self._queue),
            self._admission.returns.reserved(self._spec.name),
        )

    def dump(self) -> dict[str, Any]:
        """Return the state, for the state dump."""
        names = self._admission.workspace_names()
        plan = self._plan._asdict()
        plan["parts"] = {str(p): part for p, part in self._plan.parts.items()}
        if not math.isfinite(self._plan.admitted_per_s):
            plan["admitted_per_s"] = None  # JSON can't represent infinity
        return {
            "route_priorities": self._route_priorities,
            "room": self._room._asdict() if self._room else None,
            "running": self._running,
            "demand_per_s": {str(p): r for p, r in sorted(self._demand.items())},
            "heaviest_per_s": [
                {
                    "priority": priority,
                    "workspace": names.get(number, str(number)),
                    "number": number,
                    "offers_per_s": rate,
                }
                for (priority, number), rate in sorted(self._heaviest.items())
            ],
            "age_s": self._age_s,
            "plan": plan,
            "queue_requests": len(self._queue),
            "queue_bytes": self._queue.size_bytes,
            "reserved_starts": self._admission.returns.reserved(self._spec.name),
        }

    def _count_offer(self, request: StartRequest, *, now_s: float) -> None:
        """Add an offer to the demand counter."""
        self._admission.counter.record_offer(
            DemandKey(self.number, request.priority),
            server_number(request.workspace or ""),
            now_s=now_s,
        )

    def _path_within_target(self, target_s: float, path: Path | None) -> Path | None:
        """Return a path if its first runner can start a stream within the target."""
        if path is None:
            return None
        utilization = self._admission.capacity.first_server_utilization(
            self._spec, path
        )
        stream_s = self._room.stream_s if self._room is not None else 0.0
        queue_allowance = _RUNNER_QUEUE_FRACTION * target_s / max(stream_s, 1.0)
        return path if utilization < 1.0 + queue_allowance else None

    async def _process_queue(self) -> None:
        """Start or reject waiting streams until the queue is empty."""
        while len(self._queue):
            await asyncio.sleep(_QUEUE_CHECK_INTERVAL_S)
            self._finish_without_path(self._queue.expire(now_s=clocks.now_s()))
            is_started = True
            while is_started:
                is_started = self._start_next()
                await asyncio.sleep(0)  # lets the stream update the counters

    def _start_next(self) -> bool:
        """Start the most urgent stream that has a path; return whether one started.

        Server limits may block paths for some priorities only, so the next stream of
        each priority is tried.  A less urgent stream with a longer target may not use
        capacity that does not meet the target of a more urgent stream.
        """
        now_s = clocks.now_s()
        min_target_s = math.inf
        for stream in self._queue.firsts(now_s=now_s):
            waiter = self._waiters[stream.id]
            min_target_s = min(min_target_s, stream.target_s - stream.read_s)
            try:
                path = self._path_within_target(min_target_s, waiter.find_path())
            except Exception as error:
                self._queue.remove(stream.id)
                self._finish_wait(stream.id, error)
                return True
            if path is not None:
                self._queue.next(now_s=now_s, priority=stream.priority)
                self._finish_wait(stream.id, path)
                return True
        return False

    def _finish_wait(self, call_id: str, outcome: Path | Exception | None) -> None:
        """Complete a stream's wait with a path or an error."""
        waiter = self._waiters.pop(call_id, None)
        if waiter is None or waiter.path_future.done():
            return
        if isinstance(outcome, Exception):
            waiter.path_future.set_exception(outcome)
        else:
            waiter.path_future.set_result(outcome)

    def _finish_without_path(self, waiting: Iterable[QueuedRequest]) -> None:
        """Complete the waits of streams without a path; they are rejected."""
        for stream in waiting:
            self._finish_wait(stream.id, None)

    def _schedule_retry(self, request: StartRequest) -> RetrySlot:
        """Reserve a start for a rejected caller's retry."""
        remaining_s = clocks.left_s(request.call.deadline_s)
        return self._admission.returns.schedule_retry(
            self._spec.name,
            request.work_id,
            request.priority,
            starts_per_s=self._own_starts_per_s(),
            max_delay_s=min(MAX_RETRY_S, _MAX_RETRY_FRACTION * remaining_s),
        )

    def _own_starts_per_s(self) -> float:
        """Return this instance's share of the runners' start rate."""
        if self._room is None:
            return 0.0
        return self._room.starts_per_s / (1 + self._admission.peers.instance_count())

    def _make_refusal(
        self,
        request: StartRequest,
        retry_after_s: float,
        *,
        reason: str,
        is_start_reserved: bool,
    ) -> NotAdmittedError:
        """Log and return a rejection."""
        retry_after_s = round(max(0.0, retry_after_s), 2)
        self._admission.observer.record_refusal(request.priority, reason)
        events.log(
            events.START_REFUSED,
            request_id=request.call.id,
            service=self._spec.name,
            priority=request.priority,
            workspace=request.workspace,
            reason=reason,
            room_streams=round(self._room.streams, 1) if self._room else None,
            running=self._running,
            level=self._plan.level,
            part=round(self._plan.admitted_fraction(request.priority), 3),
            workspace_starts_per_s=self._plan.workspace_starts_per_s,
            age_s=self._age_s,
            is_fallback=self._plan.is_fallback,
            retry_after_s=retry_after_s,
            is_reserved=is_start_reserved,
        )
        msg = f"priority {request.priority} is not admitted ({reason})"
        return NotAdmittedError(msg, retry_after_s=retry_after_s)

    def _in_target_fraction(self, *, now_s: float) -> float | None:
        """Return the fraction of recent local streams that met their targets."""
        self._expire_outcomes(now_s=now_s)
        if len(self._outcomes) < _MIN_OUTCOMES:
            return None
        return sum(is_met for _, is_met in self._outcomes) / len(self._outcomes)

    def _expire_outcomes(self, *, now_s: float) -> None:
        """Remove the outcomes that are older than the window."""
        while self._outcomes and now_s - self._outcomes[0][0] > _OUTCOME_WINDOW_S:
            self._outcomes.popleft()

    def _log_plan(self, *, now_s: float) -> None:
        """Log changes of the plan's level, at most once per second."""
        logged_plan, logged_s = self._last_logged or (UNLIMITED, float("-inf"))
        is_unchanged = logged_plan.level == self._plan.level
        is_unchanged = (
            is_unchanged and logged_plan.is_fallback == self._plan.is_fallback
        )
        if is_unchanged or now_s - logged_s < _MIN_LOG_INTERVAL_S:
            return
        self._last_logged = (self._plan, now_s)
        room = self._room
        events.log(
            events.ADMISSION_CHANGED,
            service=self._spec.name,
            level=self._plan.level,
            parts={str(key): round(p, 3) for key, p in self._plan.parts.items()},
            workspace_starts_per_s=self._plan.workspace_starts_per_s,
            admitted_per_s=round(self._plan.admitted_per_s, 1),
            room_streams=round(room.streams, 1) if room else None,
            room_starts_per_s=round(room.starts_per_s, 1) if room else None,
            running=self._running,
            demand_per_s={str(key): round(r, 1) for key, r in self._demand.items()},
            age_s=self._age_s,
            is_fallback=self._plan.is_fallback,
        )
