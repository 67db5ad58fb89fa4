# SPDX-License-Identifier: MIT
"""Streams that compete for room at one instance."""

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
from violethatch import _governed_service, clocks
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
#: Urgencies of calls of a workspace of priority 0 on the two routes.
MOST, LEAST = 0, 2


class Runners:
    """Room and streams that a test sets."""

    def __init__(self):
        self.now = FREE
        self.streams = 0
        self.first_fullness = 0.0

    def room(self, _service, _targets):
        return self.now

    def running(self, _service):
        return self.streams

    def first_server_utilization(self, _service, _path):
        return self.first_fullness


class Peers:
    """What other instances are asked for."""

    def __init__(self):
        self.sum = NO_DEMAND
        self.old_s = 0.3

    def demand(self):
        return self.sum

    def age_s(self):
        return self.old_s

    def has_peers(self):
        return True

    def instance_count(self):
        return 7


class Returns:
    """Reserved starts that a test sets."""

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


class Bench:
    """An instance's admission between fakes."""

    def __init__(self, state=STATE, **section):
        self.runners, self.peers, self.returns = Runners(), Peers(), Returns()
        self.admission = Admission(
            AdmissionSection(**section),
            capacity=self.runners,
            peers=self.peers,
            returns=self.returns,
            phase=0.5,
        )
        self.admission.apply_desired_state(state)

    def overload(self):
        """Fill the runners, and let all others ask for twice what ends."""
        self.runners.streams = 95
        rates = {DemandKey(MODEL, MOST): 20.0, DemandKey(MODEL, LEAST): 80.0}
        self.peers.sum = Demand(rates, {})
        self.admission.refresh()

    async def admits(self, priority, **call):
        """Tell whether a stream is admitted."""
        try:
            await self.admission.admit("model", request(priority, **call))
        except NotAdmittedError:
            return False
        return True

    async def path(self, find, priority=MOST, **call):
        """Return the path of a first send."""
        return await self.admission.path(
            "model", request(priority, **call), find, is_blocked=lambda _s: False
        )


def request(priority, **call):
    """Return a stream that asks to be started."""
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
        bench = Bench(desired_state(*routes), mode=mode)
        assert bench.admission.is_governed("model") is expected
        assert not bench.admission.is_governed("labels")

    async def test_service_with_one_priority_is_served_as_before(self):
        """No demand is sent, nothing waits and nothing is refused by it."""
        bench = Bench(desired_state(URGENT))
        bench.overload()
        assert await bench.admits(LEAST)
        assert bench.admission.demand() == NO_DEMAND
        assert await bench.path(lambda: None) is None
        assert bench.admission.retry_after_s("model", request(0), blocked_s=0) is None

    async def test_waiting_streams_go_on_when_governing_ends(self):
        bench = Bench()
        bench.runners.first_fullness = 2.0
        waiting = asyncio.create_task(bench.path(lambda: PATH))
        await asyncio.sleep(0)
        bench.admission.apply_settings(AdmissionSection(mode=AdmissionMode.OFF))
        async with asyncio.timeout(1):
            assert await waiting is PATH or waiting.result() is None
        assert not bench.admission.is_governed("model")


class TestAdmission:
    async def test_everything_is_admitted_while_there_is_room(self):
        bench = Bench()
        bench.admission.refresh()
        assert all([await bench.admits(LEAST) for _ in range(20)])
        assert bench.returns.slots == []

    async def test_less_urgent_streams_are_refused_first(self):
        bench = Bench()
        bench.overload()
        assert all([await bench.admits(MOST) for _ in range(20)])
        admitted = [await bench.admits(LEAST) for _ in range(50)]
        assert 0 < sum(admitted) < 40

    async def test_priority_without_demand_yet_is_not_put_first(self):
        """With no room, a priority that nobody had asked for was admitted whole."""
        bench = Bench()
        bench.runners.streams = 1000
        bench.peers.sum = Demand({DemandKey(MODEL, MOST): 90.0}, {})
        bench.admission.refresh()
        assert not any([await bench.admits(LEAST) for _ in range(10)])

    async def test_refusal_says_when_to_come_back(self):
        """The time is a third of the caller's at the most."""
        bench = Bench()
        bench.overload()
        for _ in range(20):
            try:
                await bench.admission.admit("model", request(LEAST, timeout_s=3.0))
            except NotAdmittedError as error:
                assert error.ran == "no"
                assert error.retry_after_s == pytest.approx(1.0, abs=0.05)
        ((_, priority, starts_per_s, max_delay_s), *_) = bench.returns.slots
        assert priority == LEAST
        assert starts_per_s == FREE.starts_per_s / 8
        assert max_delay_s == pytest.approx(1.0, abs=0.05)

    async def test_reserved_start_is_used_without_a_draw(self):
        bench = Bench()
        bench.overload()
        bench.runners.streams = 1000  # nothing of the least urgent is admitted
        bench.admission.refresh()
        assert not await bench.admits(LEAST)
        work = request(LEAST).work
        bench.returns.claims[work] = Claim(ClaimOutcome.DUE, 0.0)
        assert await bench.admits(LEAST)

    async def test_early_return_is_told_the_same_time(self):
        """Whoever doesn't wait gets neither a draw nor another reservation."""
        bench = Bench()
        bench.overload()
        work = request(LEAST).work
        bench.returns.claims[work] = Claim(ClaimOutcome.EARLY, 0.7)
        for _ in range(20):
            with pytest.raises(NotAdmittedError) as caught:
                await bench.admission.admit("model", request(LEAST))
            assert caught.value.retry_after_s == 0.7
        assert bench.returns.slots == []

    async def test_priority_without_offers_waits_for_its_level(self):
        """The first streams of a route were admitted whole until the next plan."""
        bench = Bench()
        bench.runners.streams = 95
        bench.peers.sum = Demand({DemandKey(MODEL, MOST): 200.0}, {})
        bench.admission.refresh()
        assert not any([await bench.admits(LEAST) for _ in range(20)])

    async def test_outcomes_are_kept_for_their_span_only(self, monkeypatch):
        """While sums came, each stream's outcome was kept until the process ended."""
        bench = Bench()
        now_s = clocks.now_s()
        for number in range(2000):
            monkeypatch.setattr(clocks, "now_s", lambda n=number: now_s + n / 100)
            bench.admission.record_outcome("model", is_in_target=True)
        assert len(bench.admission._services["model"]._outcomes) <= 201

    async def test_reload_keeps_what_own_observations_have_reduced(self, monkeypatch):
        """Any reload let the fallback begin anew at 0.95 of each priority."""
        bench = Bench()
        bench.peers.old_s = None
        bench.peers.sum = Demand({DemandKey(MODEL, one): 9.0 for one in (0, 2)}, {})
        now_s = clocks.now_s()
        for number in range(40):
            monkeypatch.setattr(clocks, "now_s", lambda n=number: now_s + n / 4)
            for _ in range(5):
                bench.admission.record_outcome("model", is_in_target=False)
            bench.admission.refresh()
        before = bench.admission.states()["model"].plan.parts[LEAST]
        assert before == pytest.approx(0.2)
        bench.admission.apply_settings(AdmissionSection(queue_requests=8))
        bench.admission.refresh()
        assert bench.admission.states()["model"].plan.parts[LEAST] == before

    async def test_missing_sums_admit_neither_all_nor_nothing(self):
        bench = Bench()
        bench.peers.old_s = 5.0
        for _ in range(20):
            bench.admission.record_outcome("model", is_in_target=False)
        for _ in range(60):
            assert await bench.admits(LEAST)  # counted as demand
            break
        for _ in range(40):
            bench.admission.refresh()
        admitted = [await bench.admits(LEAST) for _ in range(100)]
        assert all([await bench.admits(MOST) for _ in range(10)])
        assert 10 <= sum(admitted) <= 100

    async def test_unknown_runners_are_no_reason_to_refuse(self):
        """A new instance refused all with 1207 until it had read its first list."""
        bench = Bench()
        bench.runners.now = NO_ROOM
        bench.peers.sum = Demand({DemandKey(MODEL, LEAST): 80.0}, {})
        bench.admission.refresh()
        assert all([await bench.admits(LEAST) for _ in range(20)])
        assert await bench.path(lambda: PATH) is PATH

    async def test_targets_that_no_runner_meets_admit_neither_all_nor_nothing(self):
        """Targets below what the engine can do are no room at all, late or not."""
        bench = Bench()
        bench.runners.now = NO_ROOM
        rates = {DemandKey(MODEL, MOST): 20.0, DemandKey(MODEL, LEAST): 80.0}
        bench.peers.sum = Demand(rates, {})
        for _ in range(20):
            bench.admission.record_outcome("model", is_in_target=False)
        bench.admission.refresh()
        admitted = [await bench.admits(LEAST) for _ in range(100)]
        assert all([await bench.admits(MOST) for _ in range(10)])
        assert 10 <= sum(admitted) <= 99

    async def test_missing_sums_alone_refuse_nobody(self):
        """One stream in twenty was refused at an instance that had just started."""
        bench = Bench()
        bench.peers.old_s = None
        for _ in range(20):
            bench.admission.record_outcome("model", is_in_target=True)
        bench.admission.refresh()
        assert all([await bench.admits(LEAST) for _ in range(60)])

    def test_suspended_instance_plans_anew_before_it_decides(self, monkeypatch):
        """A plan that is 10 s old refused streams that had room."""

        async def replay():
            bench = Bench()
            bench.overload()
            bench.runners.streams = 0
            bench.peers.sum = NO_DEMAND
            await asyncio.sleep(10)
            return [await bench.admits(LEAST) for _ in range(20)]

        assert all(virtual_time.run(replay, monkeypatch))

    async def test_running_streams_are_summed_beside_offers(self):
        """Sums by server lag: with 449 streams running, instances knew of 77 to 250."""
        bench = Bench()
        for _ in range(3):
            bench.admission.stream_started("model")
        bench.admission.stream_finished("model")
        running = DemandKey(MODEL, RUNNING)
        assert bench.admission.demand().offers_per_s == {running: 2.0}
        bench.peers.sum = Demand({running: 300.0}, {})
        bench.admission.refresh()
        state = bench.admission.states()["model"]
        assert state.running == 302
        assert bench.admission.dump()["model"]["demand_per_s"] == {}


class TestWaiting:
    def test_path_that_comes_soon_is_waited_for(self, monkeypatch):
        async def replay():
            bench = Bench()
            bench.admission.refresh()
            started_s = clocks.now_s()
            free_s = started_s + 0.06
            path = await bench.path(lambda: PATH if clocks.now_s() >= free_s else None)
            return path, clocks.now_s() - started_s

        path, waited_s = virtual_time.run(replay, monkeypatch)
        assert path is PATH
        assert 0.06 <= waited_s <= 0.09

    def test_nobody_waits_longer_than_a_quarter_of_its_target(self, monkeypatch):
        async def replay():
            bench = Bench()
            bench.admission.refresh()
            started_s = clocks.now_s()
            path = await bench.path(lambda: None)
            return path, clocks.now_s() - started_s

        path, waited_s = virtual_time.run(replay, monkeypatch)
        assert path is None
        assert waited_s <= 0.5 / 4 + 0.015

    async def test_known_block_is_not_waited_for(self):
        """A server's rest of seconds is no reason to hold a caller."""
        bench = Bench()
        bench.admission.refresh()
        path = await bench.admission.path(
            "model", request(MOST), lambda: None, is_blocked=lambda _s: True
        )
        assert path is None

    async def test_full_first_runner_is_no_room(self):
        bench = Bench()
        bench.admission.refresh()
        bench.runners.first_fullness = 1.5
        assert await bench.path(lambda: PATH) is None
        bench.runners.first_fullness = 0.9
        assert await bench.path(lambda: PATH) is PATH

    def test_urgent_streams_start_first(self, monkeypatch):
        async def replay():
            bench = Bench()
            bench.runners.now = FREE._replace(starts_per_s=800.0)
            bench.admission.refresh()
            free_s = clocks.now_s() + 0.05
            starts, order = [0], []

            def find():
                is_free = clocks.now_s() >= free_s and starts[0] < 3
                return PATH if is_free else None

            async def start(number, priority):
                if await bench.path(find, priority, id=f"c{number}") is not None:
                    starts[0] += 1
                    order.append(priority)

            priorities = [LEAST, LEAST, MOST, LEAST, MOST, MOST]
            await asyncio.gather(*(start(n, p) for n, p in enumerate(priorities)))
            return order

        assert virtual_time.run(replay, monkeypatch) == [MOST] * 3

    def test_failed_search_holds_nobody_else(self, monkeypatch):
        """An error in one search ended the task that wakes and refuses all others."""

        async def replay():
            bench = Bench()
            bench.admission.refresh()
            began_s = clocks.now_s()

            def fail():
                if clocks.now_s() > began_s:
                    raise RuntimeError("broken")

            failing = asyncio.create_task(bench.path(fail, id="c1"))
            await asyncio.sleep(0)
            waiting = asyncio.create_task(bench.path(lambda: None, LEAST, id="c2"))
            done, pending = await asyncio.wait([failing, waiting], timeout=1.0)
            for one in pending:
                one.cancel()
            return [one in done and one.exception() for one in (failing, waiting)]

        failure, others_failure = virtual_time.run(replay, monkeypatch)
        assert isinstance(failure, RuntimeError)
        assert others_failure is None

    def test_room_for_longer_targets_refuses_nobody_early(self, monkeypatch):
        """Urgent streams were refused at once where a later route's target had room."""

        async def replay():
            bench = Bench()
            bench.runners.now = FREE._replace(starts_per_s=800.0)
            bench.admission.refresh()
            bench.runners.first_fullness = 1.5
            began_s = clocks.now_s()

            async def wait(priority, target_s):
                one = request(priority, id=f"c{priority}")._replace(target_s=target_s)
                path = await bench.admission.path(
                    "model", one, lambda: PATH, is_blocked=lambda _s: False
                )
                return path, clocks.now_s() - began_s

            later = asyncio.create_task(wait(LEAST, 1.0))
            await asyncio.sleep(0)
            urgent = asyncio.create_task(wait(MOST, 0.5))
            await asyncio.sleep(0.03)
            bench.runners.first_fullness = 1.2  # room within 1 s, but not within 0.5 s
            await asyncio.sleep(0.03)
            # The place that comes free is not for the less urgent one.
            assert not urgent.done()
            assert not later.done()
            bench.runners.first_fullness = 0.9
            return await urgent, await later

        (urgent, waited_s), (later, _) = virtual_time.run(replay, monkeypatch)
        assert urgent is PATH
        assert later is PATH
        assert waited_s <= 0.09

    def test_stream_without_a_path_holds_no_other_priority(self, monkeypatch):
        """Limits of servers may leave paths to the more urgent streams only."""

        async def replay():
            bench = Bench()
            bench.runners.now = FREE._replace(starts_per_s=800.0)
            bench.admission.refresh()
            free_s = clocks.now_s() + 0.03
            later = asyncio.create_task(bench.path(lambda: None, LEAST, id="c1"))
            await asyncio.sleep(0)
            path = await bench.path(
                lambda: PATH if clocks.now_s() >= free_s else None, id="c2"
            )
            return path, await later

        path, later = virtual_time.run(replay, monkeypatch)
        assert path is PATH
        assert later is None

    async def test_call_of_an_id_that_was_just_woken_is_answered(self):
        """The first one's clean-up took its place: it was never answered."""
        bench = Bench()
        bench.admission.refresh()
        first = asyncio.create_task(bench.path(lambda: None))
        await asyncio.sleep(0)
        governed = bench.admission._services["model"]
        second = asyncio.create_task(bench.path(lambda: None))
        governed._give_up(governed._queue.expire(now_s=clocks.now_s() + 1.0))
        await asyncio.wait([first, second], timeout=1.0)
        assert second.done()

    async def test_reserved_start_goes_ahead_of_the_queue(self):
        """A caller who had come back in time was refused behind those that waited."""
        bench = Bench()
        bench.overload()
        waiting = asyncio.create_task(bench.path(lambda: None, id="c1"))
        await asyncio.sleep(0)
        one = request(LEAST, id="c2")
        bench.returns.claims[one.work] = Claim(ClaimOutcome.DUE, 0.0)
        is_reserved = await bench.admission.admit("model", one)
        path = await bench.admission.path(
            "model",
            one,
            lambda: PATH,
            is_blocked=lambda _s: False,
            is_reserved=is_reserved,
        )
        assert is_reserved
        assert path is PATH
        assert not waiting.done()
        assert await waiting is None

    async def test_known_block_is_not_waited_for_behind_others(self):
        """Callers were held for what could not be served if others waited already."""
        bench = Bench()
        bench.runners.now = FREE._replace(starts_per_s=800.0)
        bench.admission.refresh()
        waiting = asyncio.create_task(bench.path(lambda: None, id="c1"))
        await asyncio.sleep(0)
        began_s = clocks.now_s()
        path = await bench.admission.path(
            "model", request(MOST, id="c2"), lambda: None, is_blocked=lambda _s: True
        )
        assert path is None
        assert clocks.now_s() - began_s < 0.05
        assert await waiting is None

    def test_smaller_queue_refuses_what_no_longer_fits(self, monkeypatch):
        async def replay():
            bench = Bench()
            bench.admission.refresh()
            waits = [
                asyncio.create_task(bench.path(lambda: None, id=f"c{n}"))
                for n in range(4)
            ]
            await asyncio.sleep(0.01)
            bench.admission.apply_settings(AdmissionSection(queue_requests=1))
            await asyncio.sleep(0.001)
            return [one.done() for one in waits]

        assert sum(virtual_time.run(replay, monkeypatch)) == 3

    async def test_caller_that_leaves_gives_its_place_up(self):
        bench = Bench()
        bench.admission.refresh()
        waiting = asyncio.create_task(bench.path(lambda: None))
        await asyncio.sleep(0.02)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert bench.admission.states()["model"].waiting == 0


def overloaded(client):
    """Return the views of a full instance, and a call of the least urgent route."""
    routing = make_routing(client, runner("a", 0, 80), rng=random.Random(1))
    routing.admission.apply_desired_state(STATE)
    routing.admission.capacity = runners = Runners()
    runners.streams = 1000
    routing.admission.peers = peers = Peers()
    peers.sum = Demand({DemandKey(MODEL, LEAST): 90.0}, {})
    routing.admission.refresh()
    admitted = STATE.admit(
        host="menu.example", path="/later/1", key="key-1", call_id="c1"
    )
    return routing, admitted


class TestStreams:
    async def test_refused_stream_is_sent_to_nobody(self):
        client = FakeClient(FakeAnswer(events(1)))
        routing, admitted = overloaded(client)
        call = make_call(path="/later/1")
        with pytest.raises(NotAdmittedError):
            await StreamCall(routing, call, admitted).serve(FakeResponder())
        assert client.sends == []

    async def test_resumed_stream_goes_on(self):
        """What has begun isn't refused for want of room."""
        client = FakeClient(FakeAnswer(events(8)))
        routing, admitted = overloaded(client)
        call = make_call(path="/later/1", last_event_id=7)
        responder = FakeResponder()
        await StreamCall(routing, call, admitted).serve(responder)
        assert responder.end == "whole"

    async def test_no_path_reserves_a_start(self):
        routing = make_routing(FakeClient(), rng=random.Random(1))
        routing.admission.apply_desired_state(STATE)
        routing.admission.returns = returns = Returns()
        admitted = STATE.admit(
            host="menu.example", path="/urgent/1", key="key-1", call_id="c1"
        )
        call = make_call(path="/urgent/1")
        with pytest.raises(Exception) as caught:
            await StreamCall(routing, call, admitted).serve(FakeResponder())
        assert caught.value.code == 1201
        assert caught.value.retry_after_s == pytest.approx(1.0, abs=0.1)
        assert len(returns.slots) == 1

    async def test_start_reserved_without_a_path_is_logged(self, monkeypatch):
        """Guards against a refusal whose reservation no line tells of."""
        seen = []
        monkeypatch.setattr(
            _governed_service.events,
            "log",
            lambda event, **fields: seen.append((event, fields)),
        )
        bench = Bench()
        told_s = bench.admission.retry_after_s("model", request(MOST), blocked_s=0.2)
        [(event, fields)] = seen
        assert event.number == 2223
        assert fields["left_s"] == pytest.approx(told_s, abs=0.01)
        assert (fields["priority"], fields["reason"]) == (MOST, "no_path")
        assert fields["workspace"] == "clinic"


class TestDump:
    def test_overload_can_be_previewed(self):
        """Guards against a dump that the preview can't read, or reads otherwise."""
        bench = Bench()
        bench.overload()
        state = {
            "admission": bench.admission.dump(),
            "admission_settings": bench.admission.section._asdict(),
        }
        dump = parse_state(msgspec.json.encode(state))
        [service] = preview(dump, active_section(dump))
        assert service.level == bench.admission.states()["model"].plan.level == LEAST
        assert [one.priority for one in service.priorities] == [MOST, LEAST]
        assert service.priorities[0].refused_per_s == 0.0
        assert 0.0 < service.priorities[1].refused_per_s <= 80.0
        assert dump["admission"]["model"]["route_priorities"] == [0, 2]
