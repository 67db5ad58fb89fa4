# SPDX-License-Identifier: MIT
"""Admission control of streams that compete for capacity at one instance."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

import virtual_time

from router_fakes import (
    FakeAnswer,
    FakeClient,
    FakeResponder,
    events,
    make_call,
    make_routing,
)
from routing_samples import call_route, desired_state, runner
from violethatch import _service_admission, clocks
from violethatch._admission import Admission, StartRequest
from violethatch.admission_preview import active_section, parse_state, preview
from violethatch.capacity import Room
from violethatch.demand import NO_DEMAND, RUNNING, Demand, DemandKey
from violethatch.errors import NotAdmittedError
from violethatch.load_sums import server_number
from violethatch.paths import Path, Stage
from violethatch.router_settings import AdmissionMode, AdmissionSection
from violethatch.start_reservations import Claim, ClaimOutcome, RetrySlot
from violethatch.streams import StreamCall


URGENT = call_route(priority=0, path_prefix="/urgent/")
LATER = call_route(priority=2, path_prefix="/later/")
STATE = desired_state(URGENT, LATER)
_SERVER = runner("a", 0, 80)
PATH = Path((Stage(_SERVER, _SERVER.layers),), 1.0)
NO_ROOM = Room(0.0, 0.0, 0.0, 0.0)
FREE = Room(streams=100.0, starts_per_s=50.0, tokens_per_s=1e4, stream_s=2.0)
MODEL = server_number("model")
#: The priorities of calls on the two routes, for a workspace of priority 0.
URGENT_PRIORITY, LATER_PRIORITY = 0, 2


class Runners:
    """A capacity and load that the test sets."""

    def __init__(self):
        self.capacity = FREE
        self.streams = 0
        self.first_utilization = 0.0

    def room(self, _service, _targets):
        return self.capacity

    def running(self, _service):
        return self.streams

    def first_server_utilization(self, _service, _path):
        return self.first_utilization


class Peers:
    """A demand at other instances that the test sets."""

    def __init__(self):
        self.sum = NO_DEMAND
        self.sum_age_s = 0.3

    def demand(self):
        return self.sum

    def age_s(self):
        return self.sum_age_s

    def has_peers(self):
        return True

    def instance_count(self):
        return 7


class FakeRetryScheduler:
    """Reserved starts that the test sets."""

    def __init__(self):
        self.claims = {}
        self.slots = []

    def schedule_retry(self, _service, work, priority, *, starts_per_s, max_delay_s):
        self.slots.append((work, priority, starts_per_s, max_delay_s))
        return RetrySlot(clocks.now_s() + 1.0, is_reserved=True)

    async def claim(self, work):
        return self.claims.get(work, Claim(ClaimOutcome.UNKNOWN, 0.0))

    def reserved(self, _service):
        return len(self.slots)

    def kept(self):
        return 3


class AdmissionHarness:
    """The admission control of an instance with fake dependencies."""

    def __init__(self, state=STATE, **section):
        self.runners, self.peers, self.retry_scheduler = (
            Runners(),
            Peers(),
            FakeRetryScheduler(),
        )
        self.admission = Admission(
            AdmissionSection(**section),
            capacity=self.runners,
            peers=self.peers,
            returns=self.retry_scheduler,
            phase=0.5,
        )
        self.admission.apply_desired_state(state)

    def overload(self):
        """Fill the runners, with a demand of twice the rate of completions."""
        self.runners.streams = 95
        rates = {
            DemandKey(MODEL, URGENT_PRIORITY): 20.0,
            DemandKey(MODEL, LATER_PRIORITY): 80.0,
        }
        self.peers.sum = Demand(rates, {})
        self.admission.refresh()

    async def admits(self, priority, **call):
        """Return whether a stream is admitted."""
        try:
            await self.admission.admit("model", request(priority, **call))
        except NotAdmittedError:
            return False
        return True

    async def path(self, find, priority=URGENT_PRIORITY, **call):
        """Return the path for a first send."""
        return await self.admission.path(
            "model", request(priority, **call), find, is_blocked=lambda _s: False
        )


def request(priority, **call):
    """Return a request to start a stream."""
    made = make_call(**call)
    return StartRequest(made, priority, "clinic", 900.0, 0.5)


class TestGoverned:
    @pytest.mark.parametrize(
        ("mode", "routes", "expected"),
        [
            (AdmissionMode.AUTO, (URGENT, LATER), True),
            (AdmissionMode.AUTO, (URGENT,), False),
            (AdmissionMode.ON, (URGENT,), True),
            (AdmissionMode.OFF, (URGENT, LATER), False),
        ],
    )
    def test_mode_and_routes_decide(self, mode, routes, expected):
        harness = AdmissionHarness(desired_state(*routes), mode=mode)
        assert harness.admission.is_governed("model") is expected
        assert not harness.admission.is_governed("labels")

    async def test_service_with_one_priority_is_served_as_before(self):
        """Guards against demand, waits or rejections for services not governed."""
        harness = AdmissionHarness(desired_state(URGENT))
        harness.overload()
        assert await harness.admits(LATER_PRIORITY)
        assert harness.admission.demand() == NO_DEMAND
        assert await harness.path(lambda: None) is None
        assert harness.admission.retry_after_s("model", request(0), blocked_s=0) is None

    async def test_waiting_streams_finish_when_control_is_disabled(self):
        harness = AdmissionHarness()
        harness.runners.first_utilization = 2.0
        waiting = asyncio.create_task(harness.path(lambda: PATH))
        await asyncio.sleep(0)
        harness.admission.apply_settings(AdmissionSection(mode=AdmissionMode.OFF))
        async with asyncio.timeout(1):
            assert await waiting is PATH or waiting.result() is None
        assert not harness.admission.is_governed("model")


class TestAdmission:
    async def test_everything_is_admitted_with_free_capacity(self):
        harness = AdmissionHarness()
        harness.admission.refresh()
        assert all([await harness.admits(LATER_PRIORITY) for _ in range(20)])
        assert harness.retry_scheduler.slots == []

    async def test_less_urgent_streams_are_refused_first(self):
        harness = AdmissionHarness()
        harness.overload()
        assert all([await harness.admits(URGENT_PRIORITY) for _ in range(20)])
        admitted = [await harness.admits(LATER_PRIORITY) for _ in range(50)]
        assert 0 < sum(admitted) < 40

    async def test_priority_without_demand_is_not_preferred(self):
        """Without capacity, a priority with no demand yet was admitted completely."""
        harness = AdmissionHarness()
        harness.runners.streams = 1000
        harness.peers.sum = Demand({DemandKey(MODEL, URGENT_PRIORITY): 90.0}, {})
        harness.admission.refresh()
        assert not any([await harness.admits(LATER_PRIORITY) for _ in range(10)])

    async def test_refusal_has_a_retry_delay(self):
        """Guards against a delay above a third of the caller's remaining time."""
        harness = AdmissionHarness()
        harness.overload()
        for _ in range(20):
            try:
                await harness.admission.admit(
                    "model", request(LATER_PRIORITY, timeout_s=3.0)
                )
            except NotAdmittedError as error:
                assert error.ran == "no"
                assert error.retry_after_s == pytest.approx(1.0, abs=0.05)
        ((_, priority, starts_per_s, max_delay_s), *_) = harness.retry_scheduler.slots
        assert priority == LATER_PRIORITY
        assert starts_per_s == FREE.starts_per_s / 8
        assert max_delay_s == pytest.approx(1.0, abs=0.05)

    async def test_reserved_start_is_always_admitted(self):
        harness = AdmissionHarness()
        harness.overload()
        harness.runners.streams = 1000  # the least urgent streams are rejected
        harness.admission.refresh()
        assert not await harness.admits(LATER_PRIORITY)
        work = request(LATER_PRIORITY).work_id
        harness.retry_scheduler.claims[work] = Claim(ClaimOutcome.DUE, 0.0)
        assert await harness.admits(LATER_PRIORITY)

    async def test_early_retry_has_the_same_delay(self):
        """Guards against early retries being admitted, or reserved another start."""
        harness = AdmissionHarness()
        harness.overload()
        work = request(LATER_PRIORITY).work_id
        harness.retry_scheduler.claims[work] = Claim(ClaimOutcome.EARLY, 0.7)
        for _ in range(20):
            with pytest.raises(NotAdmittedError) as caught:
                await harness.admission.admit("model", request(LATER_PRIORITY))
            assert caught.value.retry_after_s == 0.7
        assert harness.retry_scheduler.slots == []

    async def test_priority_without_offers_is_limited_by_the_level(self):
        """The first streams of a route were all admitted until the next plan."""
        harness = AdmissionHarness()
        harness.runners.streams = 95
        harness.peers.sum = Demand({DemandKey(MODEL, URGENT_PRIORITY): 200.0}, {})
        harness.admission.refresh()
        assert not any([await harness.admits(LATER_PRIORITY) for _ in range(20)])

    async def test_outcomes_expire(self, monkeypatch):
        """While sums were available, outcomes accumulated until the process ended."""
        harness = AdmissionHarness()
        now_s = clocks.now_s()
        for number in range(2000):
            monkeypatch.setattr(clocks, "now_s", lambda n=number: now_s + n / 100)
            harness.admission.record_outcome("model", is_in_target=True)
        assert len(harness.admission._services["model"]._outcomes) <= 201

    async def test_reload_keeps_fallback_fractions(self, monkeypatch):
        """Each reload reset the fallback to 0.95 of each priority."""
        harness = AdmissionHarness()
        harness.peers.sum_age_s = None
        harness.peers.sum = Demand({DemandKey(MODEL, key): 9.0 for key in (0, 2)}, {})
        now_s = clocks.now_s()
        for number in range(40):
            monkeypatch.setattr(clocks, "now_s", lambda n=number: now_s + n / 4)
            for _ in range(5):
                harness.admission.record_outcome("model", is_in_target=False)
            harness.admission.refresh()
        before = harness.admission.states()["model"].plan.parts[LATER_PRIORITY]
        assert before == pytest.approx(0.2)
        harness.admission.apply_settings(AdmissionSection(queue_requests=8))
        harness.admission.refresh()
        assert harness.admission.states()["model"].plan.parts[LATER_PRIORITY] == before

    async def test_missing_sums_admit_a_fraction(self):
        harness = AdmissionHarness()
        harness.peers.sum_age_s = 5.0
        for _ in range(20):
            harness.admission.record_outcome("model", is_in_target=False)
        for _ in range(60):
            assert await harness.admits(LATER_PRIORITY)  # counted as demand
            break
        for _ in range(40):
            harness.admission.refresh()
        admitted = [await harness.admits(LATER_PRIORITY) for _ in range(100)]
        assert all([await harness.admits(URGENT_PRIORITY) for _ in range(10)])
        assert 10 <= sum(admitted) <= 100

    async def test_unknown_runners_cause_no_refusal(self):
        """A new instance rejected requests with 1207 until it read its first list."""
        harness = AdmissionHarness()
        harness.runners.capacity = NO_ROOM
        harness.peers.sum = Demand({DemandKey(MODEL, LATER_PRIORITY): 80.0}, {})
        harness.admission.refresh()
        assert all([await harness.admits(LATER_PRIORITY) for _ in range(20)])
        assert await harness.path(lambda: PATH) is PATH

    async def test_unreachable_targets_admit_a_fraction(self):
        """Targets that the engine can't meet result in a capacity of 0."""
        harness = AdmissionHarness()
        harness.runners.capacity = NO_ROOM
        rates = {
            DemandKey(MODEL, URGENT_PRIORITY): 20.0,
            DemandKey(MODEL, LATER_PRIORITY): 80.0,
        }
        harness.peers.sum = Demand(rates, {})
        for _ in range(20):
            harness.admission.record_outcome("model", is_in_target=False)
        harness.admission.refresh()
        admitted = [await harness.admits(LATER_PRIORITY) for _ in range(100)]
        assert all([await harness.admits(URGENT_PRIORITY) for _ in range(10)])
        assert 10 <= sum(admitted) <= 99

    async def test_missing_sums_without_overload_cause_no_refusal(self):
        """An instance that had just started rejected one stream in twenty."""
        harness = AdmissionHarness()
        harness.peers.sum_age_s = None
        for _ in range(20):
            harness.admission.record_outcome("model", is_in_target=True)
        harness.admission.refresh()
        assert all([await harness.admits(LATER_PRIORITY) for _ in range(60)])

    def test_resumed_instance_updates_its_plan_first(self, monkeypatch):
        """A plan that was 10 s old rejected streams in spite of free capacity."""

        async def replay():
            harness = AdmissionHarness()
            harness.overload()
            harness.runners.streams = 0
            harness.peers.sum = NO_DEMAND
            await asyncio.sleep(10)
            return [await harness.admits(LATER_PRIORITY) for _ in range(20)]

        assert all(virtual_time.run(replay, monkeypatch))

    async def test_running_streams_are_summed_with_offers(self):
        """Sums by server lag: of 449 running streams, instances counted 77 to 250."""
        harness = AdmissionHarness()
        for _ in range(3):
            harness.admission.stream_started("model")
        harness.admission.stream_finished("model")
        running = DemandKey(MODEL, RUNNING)
        assert harness.admission.demand().offers_per_s == {running: 2.0}
        harness.peers.sum = Demand({running: 300.0}, {})
        harness.admission.refresh()
        state = harness.admission.states()["model"]
        assert state.running == 302
        assert harness.admission.dump()["model"]["demand_per_s"] == {}


class TestWaiting:
    def test_waits_for_a_path(self, monkeypatch):
        async def replay():
            harness = AdmissionHarness()
            harness.admission.refresh()
            started_s = clocks.now_s()
            free_s = started_s + 0.06
            path = await harness.path(
                lambda: PATH if clocks.now_s() >= free_s else None
            )
            return path, clocks.now_s() - started_s

        path, waited_s = virtual_time.run(replay, monkeypatch)
        assert path is PATH
        assert 0.06 <= waited_s <= 0.09

    def test_wait_is_limited_to_a_quarter_of_the_target(self, monkeypatch):
        async def replay():
            harness = AdmissionHarness()
            harness.admission.refresh()
            started_s = clocks.now_s()
            path = await harness.path(lambda: None)
            return path, clocks.now_s() - started_s

        path, waited_s = virtual_time.run(replay, monkeypatch)
        assert path is None
        assert waited_s <= 0.5 / 4 + 0.015

    async def test_blocked_stream_does_not_wait(self):
        """A caller was delayed by a server's back-off of several seconds."""
        harness = AdmissionHarness()
        harness.admission.refresh()
        path = await harness.admission.path(
            "model", request(URGENT_PRIORITY), lambda: None, is_blocked=lambda _s: True
        )
        assert path is None

    async def test_full_first_runner_has_no_capacity(self):
        harness = AdmissionHarness()
        harness.admission.refresh()
        harness.runners.first_utilization = 1.5
        assert await harness.path(lambda: PATH) is None
        harness.runners.first_utilization = 0.9
        assert await harness.path(lambda: PATH) is PATH

    def test_urgent_streams_start_first(self, monkeypatch):
        async def replay():
            harness = AdmissionHarness()
            harness.runners.capacity = FREE._replace(starts_per_s=800.0)
            harness.admission.refresh()
            free_s = clocks.now_s() + 0.05
            starts, order = [0], []

            def find():
                is_free = clocks.now_s() >= free_s and starts[0] < 3
                return PATH if is_free else None

            async def start(number, priority):
                if await harness.path(find, priority, id=f"c{number}") is not None:
                    starts[0] += 1
                    order.append(priority)

            priorities = [
                LATER_PRIORITY,
                LATER_PRIORITY,
                URGENT_PRIORITY,
                LATER_PRIORITY,
                URGENT_PRIORITY,
                URGENT_PRIORITY,
            ]
            await asyncio.gather(*(start(n, p) for n, p in enumerate(priorities)))
            return order

        assert virtual_time.run(replay, monkeypatch) == [URGENT_PRIORITY] * 3

    def test_failed_search_does_not_block_others(self, monkeypatch):
        """An error in a path search terminated the task that processes the queue."""

        async def replay():
            harness = AdmissionHarness()
            harness.admission.refresh()
            start_s = clocks.now_s()

            def fail():
                if clocks.now_s() > start_s:
                    raise RuntimeError("broken")

            failing = asyncio.create_task(harness.path(fail, id="c1"))
            await asyncio.sleep(0)
            waiting = asyncio.create_task(
                harness.path(lambda: None, LATER_PRIORITY, id="c2")
            )
            done, pending = await asyncio.wait([failing, waiting], timeout=1.0)
            for task in pending:
                task.cancel()
            return [task in done and task.exception() for task in (failing, waiting)]

        failure, others_failure = virtual_time.run(replay, monkeypatch)
        assert isinstance(failure, RuntimeError)
        assert others_failure is None

    def test_capacity_for_longer_targets_causes_no_early_refusal(self, monkeypatch):
        """Urgent streams were rejected immediately if only a longer target had room."""

        async def replay():
            harness = AdmissionHarness()
            harness.runners.capacity = FREE._replace(starts_per_s=800.0)
            harness.admission.refresh()
            harness.runners.first_utilization = 1.5
            start_s = clocks.now_s()

            async def wait(priority, target_s):
                start = request(priority, id=f"c{priority}")._replace(target_s=target_s)
                path = await harness.admission.path(
                    "model", start, lambda: PATH, is_blocked=lambda _s: False
                )
                return path, clocks.now_s() - start_s

            later = asyncio.create_task(wait(LATER_PRIORITY, 1.0))
            await asyncio.sleep(0)
            urgent = asyncio.create_task(wait(URGENT_PRIORITY, 0.5))
            await asyncio.sleep(0.03)
            harness.runners.first_utilization = (
                1.2  # room within 1 s, but not within 0.5 s
            )
            await asyncio.sleep(0.03)
            # The free capacity is reserved for the more urgent stream.
            assert not urgent.done()
            assert not later.done()
            harness.runners.first_utilization = 0.9
            return await urgent, await later

        (urgent, waited_s), (later, _) = virtual_time.run(replay, monkeypatch)
        assert urgent is PATH
        assert later is PATH
        assert waited_s <= 0.09

    def test_stream_without_a_path_does_not_block_priorities(self, monkeypatch):
        """Server limits may permit paths for more urgent streams only."""

        async def replay():
            harness = AdmissionHarness()
            harness.runners.capacity = FREE._replace(starts_per_s=800.0)
            harness.admission.refresh()
            free_s = clocks.now_s() + 0.03
            later = asyncio.create_task(
                harness.path(lambda: None, LATER_PRIORITY, id="c1")
            )
            await asyncio.sleep(0)
            path = await harness.path(
                lambda: PATH if clocks.now_s() >= free_s else None, id="c2"
            )
            return path, await later

        path, later = virtual_time.run(replay, monkeypatch)
        assert path is PATH
        assert later is None

    async def test_reused_call_id_is_answered(self):
        """The first call's clean-up removed the second, which was never answered."""
        harness = AdmissionHarness()
        harness.admission.refresh()
        first = asyncio.create_task(harness.path(lambda: None))
        await asyncio.sleep(0)
        service = harness.admission._services["model"]
        second = asyncio.create_task(harness.path(lambda: None))
        service._finish_without_path(service._queue.expire(now_s=clocks.now_s() + 1.0))
        await asyncio.wait([first, second], timeout=1.0)
        assert second.done()

    async def test_reserved_start_precedes_the_queue(self):
        """A caller that retried in time was rejected behind waiting streams."""
        harness = AdmissionHarness()
        harness.overload()
        waiting = asyncio.create_task(harness.path(lambda: None, id="c1"))
        await asyncio.sleep(0)
        start = request(LATER_PRIORITY, id="c2")
        harness.retry_scheduler.claims[start.work_id] = Claim(ClaimOutcome.DUE, 0.0)
        is_reserved = await harness.admission.admit("model", start)
        path = await harness.admission.path(
            "model",
            start,
            lambda: PATH,
            is_blocked=lambda _s: False,
            is_reserved=is_reserved,
        )
        assert is_reserved
        assert path is PATH
        assert not waiting.done()
        assert await waiting is None

    async def test_blocked_stream_does_not_wait_behind_others(self):
        """With a queue, blocked callers were delayed although they had no path."""
        harness = AdmissionHarness()
        harness.runners.capacity = FREE._replace(starts_per_s=800.0)
        harness.admission.refresh()
        waiting = asyncio.create_task(harness.path(lambda: None, id="c1"))
        await asyncio.sleep(0)
        start_s = clocks.now_s()
        path = await harness.admission.path(
            "model",
            request(URGENT_PRIORITY, id="c2"),
            lambda: None,
            is_blocked=lambda _s: True,
        )
        assert path is None
        assert clocks.now_s() - start_s < 0.05
        assert await waiting is None

    def test_reduced_queue_rejects_excess_streams(self, monkeypatch):
        async def replay():
            harness = AdmissionHarness()
            harness.admission.refresh()
            waits = [
                asyncio.create_task(harness.path(lambda: None, id=f"c{n}"))
                for n in range(4)
            ]
            await asyncio.sleep(0.01)
            harness.admission.apply_settings(AdmissionSection(queue_requests=1))
            await asyncio.sleep(0.001)
            return [task.done() for task in waits]

        assert sum(virtual_time.run(replay, monkeypatch)) == 3

    async def test_disconnected_caller_is_removed_from_the_queue(self):
        harness = AdmissionHarness()
        harness.admission.refresh()
        waiting = asyncio.create_task(harness.path(lambda: None))
        await asyncio.sleep(0.02)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert harness.admission.states()["model"].waiting == 0


def overloaded(client):
    """Return the routing of a full instance, and a call of the least urgent route."""
    routing = make_routing(client, runner("a", 0, 80), rng=random.Random(1))
    routing.admission.apply_desired_state(STATE)
    routing.admission.capacity = runners = Runners()
    runners.streams = 1000
    routing.admission.peers = peers = Peers()
    peers.sum = Demand({DemandKey(MODEL, LATER_PRIORITY): 90.0}, {})
    routing.admission.refresh()
    admitted = STATE.admit(
        host="menu.example", path="/later/1", key="key-1", call_id="c1"
    )
    return routing, admitted


class TestStreams:
    async def test_refused_stream_is_not_sent(self):
        client = FakeClient(FakeAnswer(events(1)))
        routing, admitted = overloaded(client)
        call = make_call(path="/later/1")
        with pytest.raises(NotAdmittedError):
            await StreamCall(routing, call, admitted).serve(FakeResponder())
        assert client.sends == []

    async def test_resumed_stream_continues(self):
        """Guards against rejections of resumed streams under overload."""
        client = FakeClient(FakeAnswer(events(8)))
        routing, admitted = overloaded(client)
        call = make_call(path="/later/1", last_event_id=7)
        responder = FakeResponder()
        await StreamCall(routing, call, admitted).serve(responder)
        assert responder.end == "whole"

    async def test_no_path_reserves_a_start(self):
        routing = make_routing(FakeClient(), rng=random.Random(1))
        routing.admission.apply_desired_state(STATE)
        routing.admission.returns = scheduler = FakeRetryScheduler()
        admitted = STATE.admit(
            host="menu.example", path="/urgent/1", key="key-1", call_id="c1"
        )
        call = make_call(path="/urgent/1")
        with pytest.raises(Exception) as caught:
            await StreamCall(routing, call, admitted).serve(FakeResponder())
        assert caught.value.code == 1201
        assert caught.value.retry_after_s == pytest.approx(1.0, abs=0.1)
        assert len(scheduler.slots) == 1

    async def test_start_reserved_without_a_path_is_logged(self, monkeypatch):
        """Guards against a reservation that is not logged."""
        logged = []
        monkeypatch.setattr(
            _service_admission.events,
            "log",
            lambda event, **fields: logged.append((event, fields)),
        )
        harness = AdmissionHarness()
        retry_s = harness.admission.retry_after_s(
            "model", request(URGENT_PRIORITY), blocked_s=0.2
        )
        [(event, fields)] = logged
        assert event.number == 2223
        assert fields["left_s"] == pytest.approx(retry_s, abs=0.01)
        assert (fields["priority"], fields["reason"]) == (URGENT_PRIORITY, "no_path")
        assert fields["workspace"] == "clinic"


class TestDump:
    def test_overload_can_be_previewed(self):
        """Guards against a dump that the preview can't parse, or misinterprets."""
        harness = AdmissionHarness()
        harness.overload()
        state = {
            "admission": harness.admission.dump(),
            "admission_settings": harness.admission.section._asdict(),
        }
        dump = parse_state(msgspec.json.encode(state))
        [service] = preview(dump, active_section(dump))
        assert (
            service.level
            == harness.admission.states()["model"].plan.level
            == LATER_PRIORITY
        )
        assert [row.priority for row in service.priorities] == [
            URGENT_PRIORITY,
            LATER_PRIORITY,
        ]
        assert service.priorities[0].refused_per_s == 0.0
        assert 0.0 < service.priorities[1].refused_per_s <= 80.0
        assert dump["admission"]["model"]["route_priorities"] == [0, 2]
