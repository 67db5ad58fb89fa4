# SPDX-License-Identifier: MIT
"""Placement controller: assigns layers to runners under a lease.

The lease is acquired only while orders are due, so that a stable fleet causes no
calls.  Its epoch fences each order.
"""

from __future__ import annotations

import asyncio
import random

from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from . import clocks, events
from ._delayed_orders import DelayedOrders, Order
from ._fleet_watch import FleetWatch
from ._placement_lease import LeaseStore, PlacementLease
from ._placement_plans import PlacementPlans, PlanInput
from ._routing import Routing
from .backends import BackendServer
from .desired import DesiredState, ServiceSpec
from .errors import TableUnavailableError
from .instances import InstanceDirectory
from .layers import LayerRange
from .load_order import loading_order
from .placement import Host
from .router_settings import RouterPolicySection
from .store_era import StoreEra
from .upstream import KeptBackError


#: Planning interval, in seconds.
_PLAN_INTERVAL_S = 0.4
#: Timeout of an order in addition to its load time, in seconds: the list is updated
#: after the next heartbeat of the runner and some lag.
_LIST_LAG_S = 3.0
#: Timeout of an order as a multiple of its expected load time.
_LOAD_TIMEOUT_FACTOR = 2
#: Cooldown of a runner after a failed order, in seconds.
_ORDER_COOLDOWN_S = 2.0
#: Time that the lease is held after the list shows all orders, in seconds: other
#: instances have received the same list by then and send no duplicate orders.
_RESIGN_PAUSE_S = 1.5
#: Planning interval while orders are delayed by concurrent loads, in seconds.
_LOADING_PLAN_INTERVAL_S = 0.1
#: Max orders in flight.
_MAX_CONCURRENT_ORDERS = 8


class _PendingOrder(NamedTuple):
    """An order in flight, with its deadline and the lifetime of its runner.

    Attributes:
        is_loading: Whether the runner may still be loading layers.
    """

    service: str
    layers: LayerRange
    deadline_s: float
    lifetime: str
    is_loading: bool

    def is_finished(self, server: BackendServer | None, *, now_s: float) -> bool:
        """Whether the order is complete, expired or lost.

        A restarted runner has lost its order.
        """
        if server is None or server.lifetime != self.lifetime:
            return True
        return server.layers == self.layers or now_s >= self.deadline_s


class PlacementController:
    """Keeps all layers of the models assigned, by orders under a lease.

    Args:
        routing: Shared routing state.
        store: Storage of the lease.
        holder: Unique ID of this process lifetime.
        rng: Randomizes the attempts of many instances.
        directory: Ranks instances for planning; without it, all plan immediately.
        era: The era of the store, for the lease.
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
        #: By runner, its order in flight.
        self._pending: dict[str, _PendingOrder] = {}
        self._delayed = DelayedOrders()
        self._cooldown_until_s: dict[str, float] = {}
        self._last_order_s = 0.0
        #: Whether a listed runner holds no layers: orders may soon be due.
        self._has_unassigned = False

    @property
    def is_holder(self) -> bool:
        """Whether this process holds the lease."""
        return self._lease.is_held

    def update_policy(self, policy: RouterPolicySection) -> None:
        """Apply changed lease durations."""
        self._lease.update_policy(policy)

    async def run(self) -> None:
        """Update the placement periodically until cancelled."""
        while True:
            has_delayed = self._delayed and self.is_holder
            await asyncio.sleep(
                _LOADING_PLAN_INTERVAL_S if has_delayed else _PLAN_INTERVAL_S
            )
            try:
                await self._update()
            except TableUnavailableError as error:
                self._lease.record_unavailable(error.detail)

    async def resign(self) -> None:
        """Release the lease if held."""
        await self._lease.resign()

    async def _update(self) -> None:
        """Send the orders that are due, if the lease can be held."""
        now_s = clocks.now_s()
        if self._delayed and self.is_holder:
            await self._check_loads()
        orders = self._due_orders(now_s)
        self._expire_pending(now_s)
        self._expire_cooldowns(now_s)
        if not orders:
            await self._renew_or_resign(now_s)
            if self._has_unassigned and self._plans.plans_immediately(now_s=now_s):
                await self._lease.observe_early()
            return
        if not self.is_holder and not self._lease.can_attempt(now_s=now_s):
            return
        was_holder = self.is_holder
        if not await self._lease.acquire(now_s):
            return
        # The list may have changed while the lease was acquired.
        await self._send_orders(
            orders if was_holder else self._due_orders(clocks.now_s())
        )

    async def _renew_or_resign(self, now_s: float) -> None:
        """Renew the lease while orders are in flight; release it some time later."""
        if self._pending:
            if self.is_holder:
                await self._lease.renew(now_s)
        elif now_s - self._last_order_s >= _RESIGN_PAUSE_S:
            await self.resign()

    def _due_orders(self, now_s: float) -> list[Order]:
        """Return the orders that are due by the plans."""
        if self.desired is None:
            return []
        self._delayed.drop_stale(self._routing.backends.get)
        services = {pending.service for pending in self._pending.values()}
        self._has_unassigned = False
        orders: list[Order] = []
        for service in self.desired.services.values():
            usable = {
                server.id: server for server in self._routing.usable(service.name)
            }
            self._delayed.drop_outdated(
                service.name, usable.keys(), has_ordered=service.name in services
            )
            work = f"placement of {service.name}"
            if not self._routing.failures.is_paused(work):
                with self._routing.failures.contain(work):
                    orders += self._ready_orders(service, usable, now_s)
        return orders

    def _ready_orders(
        self, service: ServiceSpec, usable: Mapping[str, BackendServer], now_s: float
    ) -> list[Order]:
        """Return the orders of a service that may be sent now; others are delayed.

        Loads beyond the full-rate limit would slow down those in progress.
        """
        orders = self._delayed.of_service(service.name)
        if not orders:
            orders = self._planned_orders(service, usable, now_s)
        ready = [
            order
            for order in orders
            if not self._is_in_cooldown(order.server.id, now_s)
        ]
        engine = service.engine
        if engine is None or not engine.max_concurrent_loads:
            return ready
        self._delayed.add(service.name, orders, usable.keys())
        free = engine.max_concurrent_loads - self._loading_count(service.name)
        loading = [order for order in ready if order.layers_to_load][: max(0, free)]
        return loading + [order for order in ready if not order.layers_to_load]

    def _is_in_cooldown(self, server_id: str, now_s: float) -> bool:
        """Whether a runner is in cooldown."""
        return now_s < self._cooldown_until_s.get(server_id, 0.0)

    def _loading_count(self, service: str) -> int:
        """Return the number of runners of a service that may be loading layers."""
        return sum(
            order.is_loading and order.service == service
            for order in self._pending.values()
        )

    async def _check_loads(self) -> None:
        """Poll the oldest load for completion, then all others once it is complete."""
        loading = [
            server_id for server_id, order in self._pending.items() if order.is_loading
        ]
        if not loading or not await self._has_loaded(loading[0]):
            return
        await asyncio.gather(
            *(self._has_loaded(server_id) for server_id in loading[1:])
        )

    async def _has_loaded(self, server_id: str) -> bool:
        """Return whether the load of a runner is complete, or its order obsolete."""
        server = self._routing.backends.get(server_id)
        if server is None:
            return True
        try:
            report = await self._routing.client.report(server)
        except KeptBackError:
            return False
        pending = self._pending.get(server_id)
        if pending is None:
            return True
        if report is None or report.is_busy or report.layers != pending.layers:
            return False
        self._pending[server_id] = pending._replace(is_loading=False)
        return True

    def _planned_orders(
        self, service: ServiceSpec, servers: Mapping[str, BackendServer], now_s: float
    ) -> list[Order]:
        """Return the orders of a service's current plan."""
        if service.engine is None or self._routing.link_watch.is_lost(service.name):
            return []
        watch = self._watches[service.name]
        self._has_unassigned |= any(
            server.layers is None for server in servers.values()
        )
        if not watch.is_settled(servers, ordered=self._pending, now_s=now_s):
            return []
        plan_input = PlanInput(
            hosts=tuple(self._host(server) for server in servers.values()),
            engine=service.engine,
            copy_candidates=watch.long_idle(servers, now_s=now_s).difference(
                self._pending, self._delayed
            ),
            allow_repair=watch.is_stable(servers, now_s=now_s),
        )
        plan = self._plans.plan(
            service.name, plan_input, is_holder=self.is_holder, now_s=now_s
        )
        server_ids = loading_order(
            plan, plan_input.hosts, layer_count=service.engine.layer_count
        )
        return [
            Order(service, servers[server_id], plan[server_id])
            for server_id in server_ids
        ]

    def _host(self, server: BackendServer) -> Host:
        """Return the placement input for a runner, including its order."""
        order = self._pending.get(server.id) or self._delayed.get(server.id)
        held = order.layers if order else server.layers
        return Host(server.id, server.availability_zone, server.kind, held)

    def _expire_cooldowns(self, now_s: float) -> None:
        """Remove expired cooldowns."""
        for server_id, until_s in list(self._cooldown_until_s.items()):
            if now_s >= until_s:
                del self._cooldown_until_s[server_id]

    def _expire_pending(self, now_s: float) -> None:
        """Remove orders that are complete, expired or lost."""
        for server_id, pending in list(self._pending.items()):
            server = self._routing.backends.get(server_id)
            if pending.is_finished(server, now_s=now_s):
                del self._pending[server_id]
                self._last_order_s = now_s

    async def _send_orders(self, orders: list[Order]) -> None:
        """Send orders with limited concurrency."""
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_ORDERS)

        async def send(order: Order) -> None:
            async with semaphore:
                await self._send_order(order)

        await asyncio.gather(*(send(order) for order in orders))

    async def _send_order(self, order: Order) -> None:
        """Send an order to a runner, if its report matches the list."""
        server = order.server
        try:
            report = await self._routing.client.report(server)
        except KeptBackError:
            # The runner requested a back-off, which flow control has logged.
            self._record_failed(order)
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
            self._record_failed(order)
            return
        is_same_start = (
            report.started_ms in (0, server.started_ms) or not server.started_ms
        )
        if report.layers != server.layers or not is_same_start:
            # The plan is based on an outdated list: a new holder of the lease
            # would revert orders of the previous holder.
            events.log(
                events.ORDER_WITHHELD,
                server_id=server.id,
                reason="list and report differ",
                listed=list(server.layers) if server.layers else None,
                reported=list(report.layers) if report.layers else None,
                is_same_start=is_same_start,
            )
            self._record_failed(order)
            return
        result = await self._routing.client.place(
            server, order.layers, fence=epoch, expected_sequence=report.sequence
        )
        events.log(
            events.ORDER_DONE if result.is_accepted else events.ORDER_REFUSED,
            server_id=server.id,
            layers=list(order.layers),
            epoch=epoch,
            outcome=result.outcome.value,
        )
        if result.is_accepted:
            self._record_accepted(order)
        else:
            self._record_failed(order)

    def _record_accepted(self, order: Order) -> None:
        """Track an accepted order until the list shows its outcome."""
        engine = order.service.engine
        assert engine is not None
        load_s = engine.expected_load_s(order.layers.size)
        wait_s = _LIST_LAG_S + _LOAD_TIMEOUT_FACTOR * load_s
        self._last_order_s = clocks.now_s()
        until_s = self._last_order_s + wait_s
        self._delayed.record_accepted(order)
        self._pending[order.server.id] = _PendingOrder(
            order.service.name,
            order.layers,
            until_s,
            order.server.lifetime,
            is_loading=order.layers_to_load > 0,
        )

    def _record_failed(self, order: Order) -> None:
        """Start the cooldown of a runner, and count the failure of its order."""
        self._cooldown_until_s[order.server.id] = clocks.now_s() + _ORDER_COOLDOWN_S
        self._delayed.record_failed(order)
