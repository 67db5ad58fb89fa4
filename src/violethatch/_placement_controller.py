# SPDX-License-Identifier: MIT
"""The placement duty: ordering runners to hold layers, under a lease.

The lease is taken only while there is something to order, so that a fleet at
rest costs no calls.  Its epoch is the fence of each order.
"""

from __future__ import annotations

import asyncio
import random

from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from . import clocks, events
from ._fleet_watch import FleetWatch
from ._placement_lease import LeaseStore, PlacementLease
from ._placement_plans import PlacementPlans, Situation
from ._routing import Routing
from ._waiting_orders import Order, WaitingOrders
from .backends import BackendServer
from .desired import DesiredState, ServiceSpec
from .errors import TableUnavailableError
from .instances import InstanceDirectory
from .layers import LayerRange
from .load_waves import loading_order
from .placement import Host
from .router_settings import RouterPolicySection
from .store_era import StoreEra
from .upstream import KeptBackError


#: How often the plan is looked at, in seconds.
_LOOK_S = 0.4
#: How long an order is waited for beside its load, in seconds: the list tells
#: of it with the runner's next beat and some lag.
_LIST_LAG_S = 3.0
#: How many times its stated load an order is waited for.
_LOAD_PATIENCE = 2
#: How long to leave a runner alone whose order failed, in seconds.
_ORDER_REST_S = 2.0
#: How long the lease is kept after the list shows all orders, in seconds:
#: others see the same list by then, and don't order anew.
_RESIGN_PAUSE_S = 1.5
#: How often the plan is looked at while orders wait for others' loads, in seconds.
_LOADING_LOOK_S = 0.1
#: Orders that are under way at one time.
_ORDERS_AT_ONCE = 8


class _Ordered(NamedTuple):
    """What a runner was ordered, until when that is waited for, and in which life.

    Attributes:
        is_loading: Whether it may still load layers, as far as is known.
    """

    service: str
    layers: LayerRange
    until_s: float
    lifetime: str
    is_loading: bool

    def is_over(self, server: BackendServer | None, *, now_s: float) -> bool:
        """Tell whether nothing is waited for any more.

        A runner that has started again knows nothing of it.
        """
        if server is None or server.lifetime != self.lifetime:
            return True
        return server.layers == self.layers or now_s >= self.until_s


class PlacementController:
    """Keeps the model's layers held, by orders under a lease.

    Args:
        routing: The shared views.
        store: Keeps the lease.
        holder: Names this process's lifetime.
        rng: Spreads tries of many instances.
        directory: Says whose turn it is to plan; without it, everybody's.
        era: The store's era, for the lease.
    """

    def __init__(
        self,
        routing: Routing,
        *,
        store: LeaseStore,
        holder: str,
        rng: random.Random,
        directory: InstanceDirectory | None = None,
        era: StoreEra | None = None,
    ) -> None:
        self._routing = routing
        self.desired: DesiredState | None = None
        self._lease = PlacementLease(
            store, holder=holder, policy=routing.settings.policy, rng=rng, era=era
        )
        self._plans = PlacementPlans(directory)
        self._watches: defaultdict[str, FleetWatch] = defaultdict(FleetWatch)
        #: By runner, what it was ordered and until when that is waited for.
        self._ordered: dict[str, _Ordered] = {}
        self._waiting = WaitingOrders()
        self._rest_until_s: dict[str, float] = {}
        self._last_order_s = 0.0
        #: Whether a runner is listed that holds nothing: orders may soon be due.
        self._has_empty = False

    @property
    def is_holder(self) -> bool:
        """Whether orders may be given now."""
        return self._lease.is_held

    def update_policy(self, policy: RouterPolicySection) -> None:
        """Take changed times of the lease in."""
        self._lease.take_policy(policy)

    async def run(self) -> None:
        """Look at the plan from time to time, until cancelled."""
        while True:
            is_pressing = self._waiting and self.is_holder
            await asyncio.sleep(_LOADING_LOOK_S if is_pressing else _LOOK_S)
            try:
                await self._look()
            except TableUnavailableError as error:
                self._lease.note_unreachable(error.detail)

    async def resign(self) -> None:
        """Let others take over at once, if the lease is held."""
        await self._lease.resign()

    async def _look(self) -> None:
        """Give the orders that are due, if this process may."""
        now_s = clocks.now_s()
        if self._waiting and self.is_holder:
            await self._check_loads()
        orders = self._due_orders(now_s)
        self._forget_done(now_s)
        self._forget_rests(now_s)
        if not orders:
            await self._renew_or_resign(now_s)
            if self._has_empty and self._plans.is_first(now_s=now_s):
                await self._lease.observe_early()
            return
        if not self.is_holder and not self._lease.may_try(now_s=now_s):
            return
        was_holder = self.is_holder
        if not await self._lease.hold(now_s):
            return
        # The list may have changed while the lease was waited for.
        await self._give(orders if was_holder else self._due_orders(clocks.now_s()))

    async def _renew_or_resign(self, now_s: float) -> None:
        """Keep the lease while orders are waited for; let it go some time after."""
        if self._ordered:
            if self.is_holder:
                await self._lease.renew(now_s)
        elif now_s - self._last_order_s >= _RESIGN_PAUSE_S:
            await self.resign()

    def _due_orders(self, now_s: float) -> list[Order]:
        """Return the orders that the plans ask for and nobody waits for."""
        if self.desired is None:
            return []
        self._waiting.drop_void(self._routing.backends.get)
        ordered = {one.service for one in self._ordered.values()}
        self._has_empty = False
        orders: list[Order] = []
        for service in self.desired.services.values():
            usable = {one.id: one for one in self._routing.usable(service.name)}
            self._waiting.drop_outdated(
                service.name, usable.keys(), has_ordered=service.name in ordered
            )
            orders += self._startable(service, usable, now_s)
        return orders

    def _startable(
        self, service: ServiceSpec, usable: Mapping[str, BackendServer], now_s: float
    ) -> list[Order]:
        """Return a service's orders that may be given now; the others wait.

        Orders beyond the loads that run at full rate would only delay those before.
        """
        waiting = self._waiting.of_service(service.name)
        if not waiting:
            waiting = self._planned_orders(service, usable, now_s)
        startable = [one for one in waiting if not self._rests(one.server.id, now_s)]
        engine = service.engine
        if engine is None or not engine.max_concurrent_loads:
            return startable
        self._waiting.add(service.name, waiting, usable.keys())
        free = engine.max_concurrent_loads - self._loading_count(service.name)
        loading = [one for one in startable if one.loads][: max(0, free)]
        return loading + [one for one in startable if not one.loads]

    def _rests(self, server_id: str, now_s: float) -> bool:
        """Tell whether a runner gets no orders for a while."""
        return now_s < self._rest_until_s.get(server_id, 0.0)

    def _loading_count(self, service: str) -> int:
        """Return how many of a service's runners may be loading layers."""
        return sum(
            one.is_loading and one.service == service for one in self._ordered.values()
        )

    async def _check_loads(self) -> None:
        """Ask whether loads have ended: the one begun first, and all once it has."""
        loading = [one for one, ordered in self._ordered.items() if ordered.is_loading]
        if not loading or not await self._has_loaded(loading[0]):
            return
        await asyncio.gather(*(self._has_loaded(one) for one in loading[1:]))

    async def _has_loaded(self, server_id: str) -> bool:
        """Ask a runner whether it holds what it was ordered to."""
        server = self._routing.backends.get(server_id)
        if server is None:
            return True
        try:
            report = await self._routing.client.report(server)
        except KeptBackError:
            return False
        ordered = self._ordered.get(server_id)
        if ordered is None:
            return True
        if report is None or report.is_busy or report.layers != ordered.layers:
            return False
        self._ordered[server_id] = ordered._replace(is_loading=False)
        return True

    def _planned_orders(
        self, service: ServiceSpec, servers: Mapping[str, BackendServer], now_s: float
    ) -> list[Order]:
        """Return the orders that a service's plan asks for now."""
        if service.engine is None or self._routing.link_watch.is_lost(service.name):
            return []
        watch = self._watches[service.name]
        self._has_empty |= any(one.layers is None for one in servers.values())
        if not watch.is_settled(servers, ordered=self._ordered, now_s=now_s):
            return []
        situation = Situation(
            hosts=tuple(self._host(server) for server in servers.values()),
            engine=service.engine,
            copying=watch.long_idle(servers, now_s=now_s).difference(
                self._ordered, self._waiting
            ),
            is_repairing=watch.is_stable(servers, now_s=now_s),
        )
        plan = self._plans.plan(
            service.name, situation, is_holder=self.is_holder, now_s=now_s
        )
        order = loading_order(
            plan, situation.hosts, layer_count=service.engine.layer_count
        )
        return [
            Order(service, servers[server_id], plan[server_id]) for server_id in order
        ]

    def _host(self, server: BackendServer) -> Host:
        """Return a runner as placement sees it, with what it was ordered."""
        expected = self._ordered.get(server.id) or self._waiting.get(server.id)
        held = expected.layers if expected else server.layers
        return Host(server.id, server.availability_zone, server.kind, held)

    def _forget_rests(self, now_s: float) -> None:
        """Forget the rests that are over."""
        for server_id, until_s in list(self._rest_until_s.items()):
            if now_s >= until_s:
                del self._rest_until_s[server_id]

    def _forget_done(self, now_s: float) -> None:
        """Forget orders that the list shows or that took too long."""
        for server_id, ordered in list(self._ordered.items()):
            server = self._routing.backends.get(server_id)
            if ordered.is_over(server, now_s=now_s):
                del self._ordered[server_id]
                self._last_order_s = now_s

    async def _give(self, orders: list[Order]) -> None:
        """Give orders, some at a time."""
        gate = asyncio.Semaphore(_ORDERS_AT_ONCE)

        async def one(order: Order) -> None:
            async with gate:
                await self._give_one(order)

        await asyncio.gather(*(one(order) for order in orders))

    async def _give_one(self, order: Order) -> None:
        """Order one runner to hold a range, if the list is right about it."""
        server = order.server
        try:
            report = await self._routing.client.report(server)
        except KeptBackError:
            self._note_failed(order)  # it has asked for rest, as the gate has logged
            return
        epoch = self._lease.epoch
        if epoch is None:
            return
        if report is None or report.is_busy:
            events.log(
                events.ORDER_WITHHELD,
                server_id=server.id,
                reason="no report" if report is None else "busy",
            )
            self._note_failed(order)
            return
        is_same_start = (
            report.started_ms in (0, server.started_ms) or not server.started_ms
        )
        if report.layers != server.layers or not is_same_start:
            # The plan was made from an older list: a newer holder of the
            # lease would undo what the one before has ordered.
            events.log(
                events.ORDER_WITHHELD,
                server_id=server.id,
                reason="list and report differ",
                listed=list(server.layers) if server.layers else None,
                reported=list(report.layers) if report.layers else None,
                is_same_start=is_same_start,
            )
            self._note_failed(order)
            return
        answer = await self._routing.client.place(
            server, order.layers, fence=epoch, expected_sequence=report.sequence
        )
        events.log(
            events.ORDER_DONE if answer.is_accepted else events.ORDER_REFUSED,
            server_id=server.id,
            layers=list(order.layers),
            epoch=epoch,
            outcome=answer.outcome.value,
        )
        if answer.is_accepted:
            self._note_taken(order)
        else:
            self._note_failed(order)

    def _note_taken(self, order: Order) -> None:
        """Wait for the list to show an order's outcome."""
        engine = order.service.engine
        assert engine is not None
        load_s = engine.expected_load_s(order.layers.size)
        wait_s = _LIST_LAG_S + _LOAD_PATIENCE * load_s
        self._last_order_s = clocks.now_s()
        until_s = self._last_order_s + wait_s
        self._waiting.note_taken(order)
        self._ordered[order.server.id] = _Ordered(
            order.service.name,
            order.layers,
            until_s,
            order.server.lifetime,
            is_loading=order.loads > 0,
        )

    def _note_failed(self, order: Order) -> None:
        """Leave a runner without orders for a while, and drop one that fails again."""
        self._rest_until_s[order.server.id] = clocks.now_s() + _ORDER_REST_S
        self._waiting.note_failed(order)
