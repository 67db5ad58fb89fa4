# SPDX-License-Identifier: MIT
"""The placement duty: ordering runners to hold layers, under a lease.

The lease is taken only while there is something to order, so that a fleet at
rest costs no calls.  Its epoch is the fence of each order.
"""

from __future__ import annotations

import asyncio
import random

from collections import defaultdict
from typing import NamedTuple

from . import clocks, events
from ._fleet_watch import FleetWatch
from ._placement_lease import LeaseStore, PlacementLease
from ._placement_plans import PlacementPlans, Situation
from ._routing import Routing
from .backends import BackendServer
from .desired import DesiredState, ServiceSpec
from .errors import TableUnavailableError
from .instances import InstanceDirectory
from .layers import LayerRange
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
#: Orders that are under way at one time.
_ORDERS_AT_ONCE = 8


class _Ordered(NamedTuple):
    """What a runner was ordered, until when that is waited for, and in which life."""

    layers: LayerRange
    until_s: float
    lifetime: str

    def is_over(self, server: BackendServer | None, *, now_s: float) -> bool:
        """Tell whether nothing is waited for any more.

        A runner that has started again knows nothing of it.
        """
        if server is None or server.lifetime != self.lifetime:
            return True
        return server.layers == self.layers or now_s >= self.until_s


class _Order(NamedTuple):
    """A runner of a service, and the layers that it is to hold."""

    service: ServiceSpec
    server: BackendServer
    layers: LayerRange


class PlacementDuty:
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
        self._rest_until_s: dict[str, float] = {}
        self._last_order_s = 0.0

    @property
    def is_holder(self) -> bool:
        """Whether orders may be given now."""
        return self._lease.is_held

    def take_policy(self, policy: RouterPolicySection) -> None:
        """Take changed times of the lease in."""
        self._lease.take_policy(policy)

    async def run(self) -> None:
        """Look at the plan from time to time, until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
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
        orders = self._due_orders(now_s)
        self._forget_done(now_s)
        self._forget_rests(now_s)
        if not orders:
            await self._renew_or_resign(now_s)
            return
        if not self.is_holder and not self._lease.may_try(now_s=now_s):
            return
        if not await self._lease.hold(now_s):
            return
        await self._give(orders)

    async def _renew_or_resign(self, now_s: float) -> None:
        """Keep the lease while orders are waited for; let it go some time after."""
        if self._ordered:
            if self.is_holder:
                await self._lease.renew(now_s)
        elif now_s - self._last_order_s >= _RESIGN_PAUSE_S:
            await self.resign()

    def _due_orders(self, now_s: float) -> list[_Order]:
        """Return the orders that the plans ask for and nobody waits for."""
        if self.desired is None:
            return []
        return [
            order
            for service in self.desired.services.values()
            for order in self._planned_orders(service, now_s)
            if now_s >= self._rest_until_s.get(order.server.id, 0.0)
        ]

    def _planned_orders(self, service: ServiceSpec, now_s: float) -> list[_Order]:
        """Return the orders that a service's plan asks for now."""
        if service.engine is None or self._routing.link_watch.is_lost(service.name):
            return []
        servers = {one.id: one for one in self._routing.usable(service.name)}
        watch = self._watches[service.name]
        if not watch.is_settled(servers, ordered=self._ordered, now_s=now_s):
            return []
        situation = Situation(
            hosts=tuple(self._host(server) for server in servers.values()),
            engine=service.engine,
            copying=watch.idle_for_long(servers, now_s=now_s),
            is_repairing=watch.is_at_rest(servers, now_s=now_s),
        )
        plan = self._plans.plan(
            service.name, situation, is_holder=self.is_holder, now_s=now_s
        )
        return [
            _Order(service, servers[server_id], layers)
            for server_id, layers in plan.items()
        ]

    def _host(self, server: BackendServer) -> Host:
        """Return a runner as placement sees it, with what it was ordered."""
        ordered = self._ordered.get(server.id)
        held = ordered.layers if ordered else server.layers
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

    async def _give(self, orders: list[_Order]) -> None:
        """Give orders, some at a time."""
        gate = asyncio.Semaphore(_ORDERS_AT_ONCE)

        async def one(order: _Order) -> None:
            async with gate:
                await self._give_one(order)

        await asyncio.gather(*(one(order) for order in orders))

    async def _give_one(self, order: _Order) -> None:
        """Order one runner to hold a range, if the list is right about it."""
        server = order.server
        try:
            report = await self._routing.client.report(server)
        except KeptBackError:
            self._rest(server.id)  # it has asked for rest, which the gate has logged
            return
        epoch = self._lease.epoch
        if epoch is None:
            return
        if report is None or report.is_busy:
            self._rest(server.id)
            return
        is_same_start = report.born_ms in (0, server.born_ms) or not server.born_ms
        if report.layers != server.layers or not is_same_start:
            # The plan was made from an older list: a newer holder of the
            # lease would undo what the one before has ordered.
            events.log(
                events.ORDER_WITHHELD,
                server_id=server.id,
                listed=list(server.layers) if server.layers else None,
                reported=list(report.layers) if report.layers else None,
                is_same_start=is_same_start,
            )
            self._rest(server.id)
            return
        answer = await self._routing.client.place(
            server, order.layers, fence=epoch, expected_sequence=report.sequence
        )
        events.log(
            events.ORDER_DONE if answer.is_taken else events.ORDER_REFUSED,
            server_id=server.id,
            layers=list(order.layers),
            epoch=epoch,
            outcome=answer.outcome.value,
        )
        if answer.is_taken:
            self._note_taken(order)
        else:
            self._rest(server.id)

    def _note_taken(self, order: _Order) -> None:
        """Wait for the list to show an order's outcome."""
        engine = order.service.engine
        assert engine is not None
        share = order.layers.size / engine.layer_count
        wait_s = _LIST_LAG_S + _LOAD_PATIENCE * engine.load_s * share
        self._last_order_s = clocks.now_s()
        until_s = self._last_order_s + wait_s
        self._ordered[order.server.id] = _Ordered(
            order.layers, until_s, order.server.lifetime
        )

    def _rest(self, server_id: str) -> None:
        """Leave a runner without orders for a while."""
        self._rest_until_s[server_id] = clocks.now_s() + _ORDER_REST_S
