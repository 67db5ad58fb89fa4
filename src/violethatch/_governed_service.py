# SPDX-License-Identifier: MIT
"""One service whose streams are admitted by priority: its plan, queue and refusals."""

from __future__ import annotations

import asyncio
import collections
import math

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from . import clocks, events
from ._admission_types import AdmissionShared, AdmissionState, StartRequest
from .admission_plan import OPEN, STALE_S, Admitter, Plan, Planner, WorkspacePolicy
from .capacity import Room, Targets
from .demand import RUNNING, DemandKey, total_demand
from .desired import CallRoute, ServiceSpec
from .errors import NotAdmittedError
from .load_sums import server_number
from .paths import Path
from .router_settings import AdmissionSection
from .start_queue import QueuedRequest, StartQueue
from .start_reservations import MAX_RETRY_S, ClaimOutcome, RetrySlot


#: The part of a stream's target for which it may wait: the rest is for its first event.
_WAIT_PART = 0.25
#: How often waiting streams are checked, in seconds; a tenth of the shortest wait.
_QUEUE_TICK_S = 0.0125
#: The part of the time that a caller has left after which it does not come back.
_RETURN_PART = 1 / 3
#: Over how long own streams are counted as in target or not, in seconds.
_OUTCOME_SPAN_S = 2.0
#: The fewest own streams in that time that say anything.
_MIN_OUTCOMES = 5
#: The least time between two lines on a service's plan, in seconds.
_LOG_PAUSE_S = 1.0
#: What a waiting stream takes beside its body, in bytes: its task and connection.
_REQUEST_BYTES = 16_384
#: The part of the wait that streams queued at a runner may add to a first event.
_RUNNER_QUEUE_PART = 0.5


class _Waiter(NamedTuple):
    """A waiting stream, and how a path for it is found."""

    found: asyncio.Future[Path | None]
    find: Callable[[], Path | None]


class GovernedService:
    """One service whose streams are admitted by priority."""

    def __init__(self, admission: AdmissionShared, spec: ServiceSpec) -> None:
        self._admission = admission
        self._spec = spec
        self.number = server_number(spec.name)
        #: Admitted streams of this instance that are not over yet.
        self.own_running = 0
        self._targets = Targets(0.0, 0.0)
        self._route_priorities: list[int] = []
        policy = WorkspacePolicy.named(
            admission.section.weights, admission.section.workspace_floor_part
        )
        self._planner = Planner(policy=policy)
        self._admitter = Admitter(policy=policy, phase=admission.phase)
        self._queue = StartQueue(
            max_requests=admission.section.queue_requests,
            max_bytes=admission.section.queue_kb * 1024,
        )
        self._waiters: dict[str, _Waiter] = {}
        self._pump: asyncio.Task[None] | None = None
        self._plan = OPEN
        self._planned_s: float | None = None
        self._logged: tuple[Plan, float] | None = None
        self._room: Room | None = None
        self._running = 0
        self._demand: Mapping[int, float] = {}
        self._heaviest: Mapping[tuple[int, int], float] = {}
        self._age_s: float | None = None
        #: When own streams ended, and whether they were in target.
        self._outcomes: collections.deque[tuple[float, bool]] = collections.deque()

    def take_section(self, section: AdmissionSection) -> None:
        """Take changed settings in."""
        policy = WorkspacePolicy.named(section.weights, section.workspace_floor_part)
        self._planner.take_policy(policy)
        self._admitter.take_policy(policy)
        dropped = self._queue.resize(
            max_requests=section.queue_requests, max_bytes=section.queue_kb * 1024
        )
        self._give_up(dropped)

    def take_routes(self, spec: ServiceSpec, routes: Iterable[CallRoute]) -> None:
        """Take in the routes that lead to the service: the tightest targets count."""
        self._spec = spec
        routes = tuple(routes)
        self._route_priorities = sorted({route.priority for route in routes})
        gaps_s = [route.gap_target_s for route in routes if route.gap_target_s]
        self._targets = Targets(
            first_event_s=min(route.target_latency_s for route in routes),
            gap_s=min(gaps_s, default=0.0),
        )

    def release(self) -> None:
        """Let all that waits look for a path as if nothing were governed."""
        for one in self._queue.expire(now_s=math.inf):
            try:
                path = self._waiters[one.id].find()
            except Exception as error:
                self._end_wait(one.id, error)
            else:
                self._end_wait(one.id, path)

    def refresh(self, *, now_s: float) -> None:
        """Make the plan anew from what is known now."""
        admission = self._admission
        peers = admission.peers
        both = total_demand([admission.demand(), peers.demand()])
        self._demand = {
            key.priority: rate
            for key, rate in both.offers_per_s.items()
            if key.service == self.number and key.priority != RUNNING
        }
        summed = both.offers_per_s.get(DemandKey(self.number, RUNNING), 0.0)
        self._heaviest = {
            (key.priority, workspace): rate
            for (key, workspace), rate in both.heaviest_per_s.items()
            if key.service == self.number
        }
        self._room = admission.capacity.room(self._spec, self._targets)
        self._running = max(admission.capacity.running(self._spec), round(summed))
        self._age_s = peers.age_s() if peers.has_peers() else 0.0
        in_target_part = self._in_target_part(now_s=now_s)
        is_stale = self._age_s is None or self._age_s > STALE_S
        has_room = self._room.streams > 0.0
        if not has_room and in_target_part is None:
            # No list has been read, no runner is left, or none meets the targets.
            # Searches for paths tell these apart; without any, they are refused.
            plan = OPEN
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
        """Admit a stream, or refuse it at once; tell whether its start is reserved.

        Raises:
            NotAdmittedError: It is refused; nothing has run.
        """
        now_s = clocks.now_s()
        if self._planned_s is None or now_s - self._planned_s > STALE_S:
            self.refresh(now_s=now_s)  # the process was suspended
        plan = self._plan
        if plan.level is None or plan.part_of(request.priority) >= 1.0:
            self._count(request, now_s=now_s)
            return False
        claim = await self._admission.returns.claim(request.work)
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
            raise self._refusal(request, claim.left_s, reason="early", is_kept=True)
        now_s = clocks.now_s()
        self._count(request, now_s=now_s)
        workspace = server_number(request.workspace or "")
        is_admitted = self._admitter.admits(
            plan,
            request.priority,
            workspace,
            workspace_offers_per_s=self._heaviest.get((request.priority, workspace)),
        )
        if not is_admitted:
            slot = self._slot(request)
            raise self._refusal(
                request,
                slot.at_s - clocks.now_s(),
                reason="level",
                is_kept=slot.is_reserved,
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
        """Return a path with room, or None after a short wait for one."""
        now_s = clocks.now_s()
        call = request.call
        limit_s = call.received_s + _WAIT_PART * request.target_s
        goes_first = is_reserved or not len(self._queue)
        if goes_first:
            path = find()
            if self._with_room(request.target_s, path) is not None:
                return path
            if path is None and is_blocked(limit_s - now_s):
                return None
        elif is_blocked(limit_s - now_s) and find() is None:
            return None
        offer = self._queue.offer(
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
        if offer.displaced is not None:
            self._give_up([offer.displaced])
        if not offer.is_queued:
            return None
        waiter = _Waiter(asyncio.get_running_loop().create_future(), find)
        self._waiters[call.id] = waiter
        if self._pump is None or self._pump.done():
            self._pump = asyncio.create_task(self._start_waiting())
        try:
            path = await waiter.found
        finally:
            # Once it is woken, another call of the same id may wait.
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

    def slot_s(self, request: StartRequest, *, reason: str) -> float:
        """Return in how many seconds a caller should come back, and count it."""
        self._admission.observer.record_refusal(request.priority, reason)
        slot = self._slot(request)
        left_s = max(0.0, slot.at_s - clocks.now_s())
        if slot.is_reserved:
            events.log(
                events.START_RESERVED,
                request_id=request.call.id,
                service=self._spec.name,
                priority=request.priority,
                workspace=request.workspace,
                reason=reason,
                left_s=round(left_s, 3),
            )
        return left_s

    def ended(self, *, is_in_target: bool, now_s: float) -> None:
        """Note whether an own stream came within its targets."""
        self._outcomes.append((now_s, is_in_target))
        self._drop_outcomes(now_s=now_s)

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
        """Return the state, for a person or a tool."""
        names = self._admission.workspace_names()
        plan = self._plan._asdict()
        plan["parts"] = {str(p): part for p, part in self._plan.parts.items()}
        if not math.isfinite(self._plan.admitted_per_s):
            plan["admitted_per_s"] = None  # JSON has no infinity
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

    def _count(self, request: StartRequest, *, now_s: float) -> None:
        """Count an offer."""
        self._admission.counter.record_offer(
            DemandKey(self.number, request.priority),
            server_number(request.workspace or ""),
            now_s=now_s,
        )

    def _with_room(self, target_s: float, path: Path | None) -> Path | None:
        """Return a path if its first runner starts a stream within the target."""
        if path is None:
            return None
        fullness = self._admission.capacity.first_server_utilization(self._spec, path)
        stream_s = self._room.stream_s if self._room is not None else 0.0
        queued_part = _RUNNER_QUEUE_PART * target_s / max(stream_s, 1.0)
        return path if fullness < 1.0 + queued_part else None

    async def _start_waiting(self) -> None:
        """Start or refuse waiting streams until none is left."""
        while len(self._queue):
            await asyncio.sleep(_QUEUE_TICK_S)
            self._give_up(self._queue.expire(now_s=clocks.now_s()))
            is_started = True
            while is_started:
                is_started = self._start_one()
                await asyncio.sleep(0)  # the stream counts itself in

    def _start_one(self) -> bool:
        """Start the most urgent stream that finds a path; tell whether there is one.

        Limits of servers may close paths to some priorities only, so that the next
        stream of each is tried.  Room beyond the target of a more urgent stream is left
        to that stream.
        """
        now_s = clocks.now_s()
        least_target_s = math.inf
        for one in self._queue.firsts(now_s=now_s):
            waiter = self._waiters[one.id]
            least_target_s = min(least_target_s, one.target_s - one.read_s)
            try:
                path = self._with_room(least_target_s, waiter.find())
            except Exception as error:
                self._queue.remove(one.id)
                self._end_wait(one.id, error)
                return True
            if path is not None:
                self._queue.next(now_s=now_s, priority=one.priority)
                self._end_wait(one.id, path)
                return True
        return False

    def _end_wait(self, call_id: str, outcome: Path | Exception | None) -> None:
        """Let a waiting stream go on."""
        waiter = self._waiters.pop(call_id, None)
        if waiter is None or waiter.found.done():
            return
        if isinstance(outcome, Exception):
            waiter.found.set_exception(outcome)
        else:
            waiter.found.set_result(outcome)

    def _give_up(self, waiting: Iterable[QueuedRequest]) -> None:
        """Let streams go on without a path; they are refused."""
        for one in waiting:
            self._end_wait(one.id, None)

    def _slot(self, request: StartRequest) -> RetrySlot:
        """Reserve a start for a refused caller."""
        left_s = clocks.left_s(request.call.deadline_s)
        return self._admission.returns.schedule_retry(
            self._spec.name,
            request.work,
            request.priority,
            starts_per_s=self._own_starts_per_s(),
            max_delay_s=min(MAX_RETRY_S, _RETURN_PART * left_s),
        )

    def _own_starts_per_s(self) -> float:
        """Return this instance's part of the starts that the runners can take."""
        if self._room is None:
            return 0.0
        return self._room.starts_per_s / (1 + self._admission.peers.instance_count())

    def _refusal(
        self, request: StartRequest, retry_after_s: float, *, reason: str, is_kept: bool
    ) -> NotAdmittedError:
        """Return a refusal, and log what decided it."""
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
            part=round(self._plan.part_of(request.priority), 3),
            workspace_starts_per_s=self._plan.workspace_starts_per_s,
            age_s=self._age_s,
            is_fallback=self._plan.is_fallback,
            retry_after_s=retry_after_s,
            is_reserved=is_kept,
        )
        msg = f"priority {request.priority} is not admitted ({reason})"
        return NotAdmittedError(msg, retry_after_s=retry_after_s)

    def _in_target_part(self, *, now_s: float) -> float | None:
        """Return the part of own streams that ended in target lately."""
        self._drop_outcomes(now_s=now_s)
        if len(self._outcomes) < _MIN_OUTCOMES:
            return None
        return sum(one for _, one in self._outcomes) / len(self._outcomes)

    def _drop_outcomes(self, *, now_s: float) -> None:
        """Drop the outcomes that are older than their span."""
        while self._outcomes and now_s - self._outcomes[0][0] > _OUTCOME_SPAN_S:
            self._outcomes.popleft()

    def _log_plan(self, *, now_s: float) -> None:
        """Log a plan whose level has changed, once a second at the most."""
        known, logged_s = self._logged or (OPEN, float("-inf"))
        is_same = known.level == self._plan.level
        is_same = is_same and known.is_fallback == self._plan.is_fallback
        if is_same or now_s - logged_s < _LOG_PAUSE_S:
            return
        self._logged = (self._plan, now_s)
        room = self._room
        events.log(
            events.ADMISSION_CHANGED,
            service=self._spec.name,
            level=self._plan.level,
            parts={str(one): round(p, 3) for one, p in self._plan.parts.items()},
            workspace_starts_per_s=self._plan.workspace_starts_per_s,
            admitted_per_s=round(self._plan.admitted_per_s, 1),
            room_streams=round(room.streams, 1) if room else None,
            room_starts_per_s=round(room.starts_per_s, 1) if room else None,
            running=self._running,
            demand_per_s={str(one): round(r, 1) for one, r in self._demand.items()},
            age_s=self._age_s,
            is_fallback=self._plan.is_fallback,
        )
