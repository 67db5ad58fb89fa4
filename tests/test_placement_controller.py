# SPDX-License-Identifier: MIT
"""The placement duty: who orders, under which fence, and when not."""

from __future__ import annotations

import asyncio
import random

import pytest

from router_fakes import FakeClient, make_routing, report
from routing_samples import desired_state, runner
from test_instances import directories, entry
from violethatch import (
    _delayed_orders,
    _fleet_watch,
    _placement_controller,
    _placement_lease,
    _placement_plans,
    clocks,
)
from violethatch._placement_controller import PlacementController
from violethatch._placement_lease import LeaseWrite
from violethatch.errors import TableUnavailableError
from violethatch.ports import AnswerLostError, Row
from violethatch.upstream import OrderAnswer, OrderOutcome


class FakeStore:
    """Keeps the lease's row; versions rise by more than one."""

    def __init__(self):
        self.row = None
        self.version = 100
        self.is_away = False
        self.lose_answers = 0
        self.reads = 0

    async def read_row(self, key):
        self.reads += 1
        if self.is_away:
            raise TableUnavailableError("away")
        return self.row

    async def write_row(self, put):
        if self.is_away:
            raise TableUnavailableError("away")
        if put.if_version != (self.row.version if self.row else 0):
            return LeaseWrite(False, self.version)
        self.version += 7
        self.row = Row(put.key, self.version, dict(put.value))
        if self.lose_answers:
            self.lose_answers -= 1
            raise AnswerLostError("lost")
        return LeaseWrite(True, self.version)


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    """Let nobody wait for long."""
    monkeypatch.setattr(_fleet_watch, "_SETTLE_S", 0.0)
    monkeypatch.setattr(_placement_lease, "_MAX_JITTER_S", 0.0)
    monkeypatch.setattr(_placement_controller, "_RESIGN_PAUSE_S", 0.0)
    monkeypatch.setattr(_fleet_watch, "_REPAIR_SETTLE_S", 0.0)


FLEET = [
    runner("a", kind="large"),
    runner("b", kind="large"),
    runner("c", kind="large"),
]


def make_duty(store, *servers, name="one", directory=None, **policy):
    """Return a duty over a fleet whose reports match the list, and its client."""
    client = FakeClient()
    client.reports = {one.id: report(layers=one.layers, sequence=4) for one in servers}
    routing = make_routing(client, *servers, rng=random.Random(1), **policy)
    duty = PlacementController(
        routing,
        store=store,
        holder=name,
        rng=random.Random(1),
        directory=directory,
    )
    duty.desired = desired_state()
    return duty, client, routing


class TestOrders:
    async def test_empty_fleet_is_divided(self):
        """Each runner gets one order, with the lease's epoch as its fence."""
        duty, client, _ = make_duty(FakeStore(), *FLEET)
        await duty._update()
        assert {order[0] for order in client.placed} == {"a", "b", "c"}
        assert {order[2:] for order in client.placed} == {(1, 4)}

    async def test_nothing_is_ordered_twice(self):
        """While an order is under way, it is not given again."""
        duty, client, _ = make_duty(FakeStore(), *FLEET)
        for _ in range(3):
            await duty._update()
        assert len(client.placed) == 3

    async def test_list_and_runner_have_to_agree(self):
        """An order from an older list is withheld."""
        duty, client, _ = make_duty(FakeStore(), *FLEET)
        layers = runner("x", 0, 9).layers
        client.reports["a"] = report(layers=layers)
        await duty._update()
        assert {order[0] for order in client.placed} == {"b", "c"}

    async def test_order_is_for_the_start_that_is_listed(self):
        """A runner that has started again since the list told of it gets none."""
        listed = [one._replace(started_ms=100) for one in FLEET]
        duty, client, _ = make_duty(FakeStore(), *listed)
        for one in listed:
            client.reports[one.id] = client.reports[one.id]._replace(started_ms=100)
        client.reports["a"] = client.reports["a"]._replace(started_ms=200)
        await duty._update()
        assert {order[0] for order in client.placed} == {"b", "c"}

    async def test_start_before_is_not_waited_for(self):
        """A runner that has started again knows nothing of its order."""
        duty, _, routing = make_duty(FakeStore(), *FLEET)
        await duty._update()
        assert "a" in duty._pending
        again = FLEET[0]._replace(started_ms=200)
        routing.backends.apply_changes([again], [], now_s=clocks.now_s())
        await duty._update()
        assert set(duty._pending) == {"b", "c"}

    @pytest.mark.parametrize("answer", [None, report(is_busy=True)])
    async def test_silent_or_busy_runner_waits(self, answer):
        """A runner that can't be asked, or is busy, gets no order now."""
        duty, client, _ = make_duty(FakeStore(), *FLEET)
        client.reports["a"] = answer
        await duty._update()
        assert "a" not in {order[0] for order in client.placed}

    async def test_refused_order_is_not_repeated_at_once(self):
        """A runner that refused rests before the next order."""
        duty, client, _ = make_duty(FakeStore(), *FLEET)
        client.place_outcome = OrderAnswer(OrderOutcome.CONFLICT)
        await duty._update()
        await duty._update()
        assert len(client.placed) == 3

    async def test_plan_is_made_once_for_a_situation(self, monkeypatch):
        """While nothing changes, looking costs no planning."""
        whole = [
            runner("a", 0, 40, kind="large"),
            runner("b", 40, 80, kind="large"),
        ]
        duty, _, routing = make_duty(FakeStore(), *whole)
        made = []
        plan = _placement_plans.plan_placement
        monkeypatch.setattr(
            _placement_plans,
            "plan_placement",
            lambda *args, **options: made.append(1) or plan(*args, **options),
        )
        for _ in range(5):
            await duty._update()
        assert len(made) == 1
        routing.backends.apply_changes([runner("c", kind="large")], [], now_s=0.0)
        await duty._update()
        assert len(made) == 2

    async def test_nothing_before_the_list_settles(self, monkeypatch):
        """An empty fleet is divided once its list rests."""
        monkeypatch.setattr(_fleet_watch, "_SETTLE_S", 60.0)
        duty, client, _ = make_duty(FakeStore(), *FLEET)
        await duty._update()
        assert client.placed == []


class TestTurns:
    async def test_few_plan_at_once(self):
        """When the fleet's state changes, most instances leave it to others."""
        made = directories([entry(f"i{n}") for n in range(20)])
        planned = []
        for directory in made.values():
            duty, client, _ = make_duty(FakeStore(), *FLEET, directory=directory)
            await duty._update()
            planned.append(bool(client.placed))
        assert planned.count(True) == 3

    async def test_others_follow_if_nothing_happens(self, monkeypatch):
        """Those whose turn is later plan if the first ones are gone."""
        monkeypatch.setattr(_placement_plans, "_RANK_DELAY_S", 0.001)
        made = directories([entry(f"i{n}") for n in range(20)])
        for directory in made.values():
            duty, client, _ = make_duty(FakeStore(), *FLEET, directory=directory)
            await duty._update()
            await asyncio.sleep(0.03)
            await duty._update()
            assert client.placed


class TestLease:
    async def test_one_holder_orders(self):
        """A second instance gives no orders while the first holds the lease."""
        store = FakeStore()
        first, _, _ = make_duty(store, *FLEET, name="one")
        second, client, _ = make_duty(store, *FLEET, name="two")
        await first._update()
        await second._update()
        assert client.placed == []

    async def test_done_duty_is_given_back(self):
        """When the list shows what was ordered, the lease is free at once."""
        store = FakeStore()
        duty, client, routing = make_duty(store, *FLEET)
        await duty._update()
        done = [
            runner(name, *layers, kind="large") for name, layers, _, _ in client.placed
        ]
        routing.backends.apply_changes(done, [], now_s=clocks.now_s())
        await duty._update()
        await duty._update()
        assert not duty.is_holder
        other, client, _ = make_duty(store, *FLEET, name="two")
        await other._update()
        assert {order[2] for order in client.placed} == {2}

    async def test_dead_holder_is_succeeded_with_a_higher_fence(self):
        """After the lease has run out another takes over."""
        store = FakeStore()
        policy = {"lease_duration_s": "0.2", "lease_margin_s": "0.1"}
        first, _, _ = make_duty(store, *FLEET, name="one", **policy)
        await first._update()
        second, client, _ = make_duty(store, *FLEET, name="two", **policy)
        async with asyncio.timeout(5):
            while not client.placed:
                await second._update()
                await asyncio.sleep(0.02)
        assert {order[2] for order in client.placed} == {2}

    async def test_paused_holder_gives_no_order(self):
        """A holder that wakes after its lease's end orders nothing."""
        store = FakeStore()
        policy = {"lease_duration_s": "0.1", "lease_margin_s": "0.05"}
        duty, client, _ = make_duty(store, *FLEET, **policy)
        assert await duty._lease.acquire(clocks.now_s())
        await asyncio.sleep(0.1)
        plans = duty._due_orders(clocks.now_s())
        await duty._send_orders(plans)
        assert client.placed == []

    async def test_lost_answer_is_found_by_reading(self):
        """A write whose answer was lost still makes its writer the holder."""
        store = FakeStore()
        store.lose_answers = 1
        duty, client, _ = make_duty(store, *FLEET)
        await duty._update()
        assert client.placed == []
        await duty._update()
        assert {order[2] for order in client.placed} == {1}

    async def test_no_orders_without_the_store(self):
        """While the store is away nobody orders."""
        store = FakeStore()
        store.is_away = True
        duty, client, _ = make_duty(store, *FLEET)
        with pytest.raises(TableUnavailableError):
            await duty._update()
        assert client.placed == []

    async def test_fleet_at_rest_costs_no_calls(self):
        """Without anything to order the store is not asked."""
        store = FakeStore()
        whole = [
            runner("a", 0, 30, kind="large"),
            runner("b", 30, 60, kind="large"),
            runner("c", 60, 80, kind="large"),
        ]
        duty, _, _ = make_duty(store, *whole)
        for _ in range(5):
            await duty._update()
        assert store.reads == 0


LOADING = desired_state()._replace(
    services={
        name: service._replace(engine=service.engine._replace(max_concurrent_loads=1))
        if service.engine
        else service
        for name, service in desired_state().services.items()
    }
)


def loaded(client, duty):
    """Have all runners hold what they were ordered to."""
    for name, layers, *_ in client.placed:
        client.reports[name] = report(layers=layers, sequence=5)


class TestLoads:
    async def test_loads_beyond_the_full_rate_wait(self):
        """Guards against loads that all slow each other down."""
        duty, client, _ = make_duty(FakeStore(), *FLEET)
        duty.desired = LOADING
        for _ in range(3):
            await duty._update()
        assert len(client.placed) == 1

    async def test_next_load_begins_once_one_has_ended(self):
        """A runner's report frees its place before the list shows it."""
        duty, client, _ = make_duty(FakeStore(), *FLEET)
        duty.desired = LOADING
        for count in (1, 2, 3):
            await duty._update()
            assert len(client.placed) == count
            loaded(client, duty)

    async def test_same_plan_is_carried_on(self):
        """Guards against a fleet that is planned anew from what was loaded first."""
        together, client, _ = make_duty(FakeStore(), *FLEET)
        await together._update()
        planned = {order[0]: order[1] for order in client.placed}
        duty, client, _ = make_duty(FakeStore(), *FLEET)
        duty.desired = LOADING
        for _ in range(3):
            await duty._update()
            loaded(client, duty)
        assert {order[0]: order[1] for order in client.placed} == planned

    async def test_lost_runner_has_the_others_planned_anew(self):
        """Guards against waiting orders that leave a gone runner's layers out."""
        duty, client, routing = make_duty(FakeStore(), *FLEET)
        duty.desired = LOADING
        await duty._update()
        waiting = next(iter(duty._delayed))
        routing.backends.apply_changes([], [waiting], now_s=clocks.now_s())
        loaded(client, duty)
        await duty._update()
        assert waiting not in duty._delayed
        assert all(waiting not in ids for ids in duty._delayed._planned_ids.values())

    async def test_orders_follow_the_list_that_the_lease_was_won_under(self):
        """Guards against orders of a plan that changed while the lease was awaited."""
        store = FakeStore()
        duty, client, routing = make_duty(store, *FLEET)
        read_row = store.read_row

        async def change_and_read(key):
            routing.backends.apply_changes([], ["a"], now_s=clocks.now_s())
            return await read_row(key)

        store.read_row = change_and_read
        await duty._update()
        assert "a" not in {order[0] for order in client.placed}

    async def test_order_that_fails_again_is_dropped(self):
        """Guards against orders that wait for a runner for good."""
        duty, client, _ = make_duty(FakeStore(), *FLEET)
        duty.desired = LOADING
        client.place_outcome = OrderAnswer(OrderOutcome.CONFLICT)
        for _ in range(_delayed_orders._MAX_FAILURES * len(FLEET)):
            await duty._update()
            duty._cooldown_until_s.clear()
        assert not duty._delayed


class TestEarlyObservation:
    async def test_gone_holders_time_runs_while_the_list_settles(self, monkeypatch):
        """Guards against a return that waits for the list and then for the lease."""
        monkeypatch.setattr(_fleet_watch, "_SETTLE_S", 60.0)
        monkeypatch.setattr(_placement_lease, "_RETRY_INTERVAL_S", 0.0)
        store = FakeStore()
        policy = {"lease_duration_s": "0.2", "lease_margin_s": "0.1"}
        gone, _, _ = make_duty(store, *FLEET, name="gone", **policy)
        assert await gone._lease.acquire(clocks.now_s())
        directory = directories([entry("i1"), entry("i2")])["i1"]
        duty, client, _ = make_duty(store, *FLEET, directory=directory, **policy)
        await duty._update()
        await asyncio.sleep(0.25)
        monkeypatch.setattr(_fleet_watch, "_SETTLE_S", 0.0)
        await duty._update()
        assert len(client.placed) == len(FLEET)

    async def test_row_is_read_once(self, monkeypatch):
        """Guards against a call of the store at each look."""
        monkeypatch.setattr(_fleet_watch, "_SETTLE_S", 60.0)
        store = FakeStore()
        directory = directories([entry("i1"), entry("i2")])["i1"]
        duty, _, _ = make_duty(store, *FLEET, directory=directory)
        for _ in range(5):
            await duty._update()
        assert store.reads == 1

    async def test_instances_that_start_together_do_not_all_read(self, monkeypatch):
        """While no other is known, each of them would be the first."""
        monkeypatch.setattr(_fleet_watch, "_SETTLE_S", 60.0)
        store = FakeStore()
        directory = directories([entry("i1")])["i1"]
        duty, _, _ = make_duty(store, *FLEET, directory=directory)
        await duty._update()
        assert store.reads == 0
