# SPDX-License-Identifier: MIT
"""The placement duty: ordering runners to hold layers, under a lease.

The lease is taken only while there is something to order, so that a fleet at
rest costs no calls.  Its epoch is the fence of each order.
"""

from __future__ import annotations

import asyncio
import random
import time

from typing import NamedTuple, Protocol

from . import events
from ._routing import Routing
from .backends import BackendServer
from .desired import DesiredState, ServiceSpec
from .errors import TableUnavailableError
from .layers import LayerRange
from .leases import Lease
from .placement import Host, plan_placement
from .ports import AnswerLostError, Put, Row
from .upstream import OrderOutcome


#: How often the plan is looked at, in seconds.
_LOOK_S = 0.4
#: How long the list has to rest before an empty fleet is divided, in seconds:
#: runners come in one by one, some 0.1 s apart at today's sites.
_SETTLE_S = 1.5
#: How long after the first runner an empty fleet is divided at the latest,
#: in seconds; the list is whole after some 5 s.
_SETTLE_LIMIT_S = 6.0
#: Longest random pause before a try for the lease, in seconds.
_SPREAD_S = 0.8
#: How long an order is waited for beside its load, in seconds: the list tells
#: of it with the runner's next beat and some lag.
_LIST_LAG_S = 3.0
#: How long to leave a runner alone whose order failed, in seconds.
_ORDER_REST_S = 2.0
#: How long the lease is kept after the list shows all orders, in seconds:
#: others see the same list by then, and don't order anew.
_RESIGN_PAUSE_S = 1.5
#: How long a runner stays empty before it gets copies of layers that others
#: hold, in seconds: replacements come some seconds before who they replace.
_IDLE_S = 6.0
#: How long the list has to rest before held layers are moved, in seconds.
_REPAIR_REST_S = 1.0
#: Orders that are under way at one time.
_ORDERS_AT_ONCE = 8


class LeaseWrite(NamedTuple):
    """What came of a write of the lease's row."""

    is_written: bool
    version: int


class LeaseStore(Protocol):
    """Keeps the lease's row."""

    async def read_row(self, key: str) -> Row | None:
        """Return a row, or None if there is none.

        Raises:
            TableUnavailableError: The store refuses or is silent.
        """

    async def write_row(self, put: Put) -> LeaseWrite:
        """Write a row under its condition.

        Raises:
            TableUnavailableError: Nothing was written.
            AnswerLostError: It was written, or not; it can't be told.
        """


class PlacementDuty:
    """Keeps the model's layers held, by orders under a lease.

    Args:
        routing: The shared views.
        store: Keeps the lease.
        holder: Names this process's lifetime.
        rng: Spreads tries of many instances.
    """

    def __init__(
        self,
        routing: Routing,
        *,
        store: LeaseStore,
        holder: str,
        rng: random.Random,
    ) -> None:
        self._routing = routing
        self._store = store
        self._rng = rng
        self.desired: DesiredState | None = None
        policy = routing.settings.policy
        self._lease = Lease(
            row_key="placement",
            holder=holder,
            duration_s=policy.lease_duration_s,
            margin_s=policy.lease_margin_s,
        )
        #: By runner, what it was ordered and until when that is waited for.
        self._ordered: dict[str, tuple[LayerRange, float]] = {}
        self._rest_until_s: dict[str, float] = {}
        self._seen: frozenset[str] = frozenset()
        self._seen_changed_s = 0.0
        self._seen_first_s: float | None = None
        self._next_try_s = 0.0
        self._last_order_s = 0.0
        self._empty_since_s: dict[str, float] = {}
        self._last_ids: frozenset[str] = frozenset()
        self._last_ids_s = 0.0

    @property
    def is_holder(self) -> bool:
        """Whether orders may be given now."""
        return self._lease.held_epoch(now_s=time.monotonic()) is not None

    async def run(self) -> None:
        """Look at the plan from time to time, until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            try:
                await self._look()
            except TableUnavailableError as error:
                self._delay_try(self._lease.duration_s / 2)
                events.log(
                    events.LEASE_UNREACHABLE, job="placement", reason=error.detail
                )

    async def resign(self) -> None:
        """Let others take over at once, if the lease is held."""
        put = self._lease.resigned()
        if put is None:
            return
        events.log(events.LEASE_LOST, job="placement", reason="resigned")
        try:
            await self._store.write_row(put)
        except (TableUnavailableError, AnswerLostError) as error:
            # The lease then runs out by itself.
            events.log(events.LEASE_UNREACHABLE, job="placement", reason=str(error))

    async def _look(self) -> None:
        """Give the orders that are due, if this process may."""
        now_s = time.monotonic()
        plans = self._due_orders(now_s)
        self._forget_done(now_s)
        if not plans:
            if not self._ordered:
                if now_s - self._last_order_s >= _RESIGN_PAUSE_S:
                    await self.resign()
            elif self.is_holder:
                await self._renew(now_s)
            return
        if not self.is_holder and now_s < self._next_try_s:
            return
        if not await self._hold(now_s):
            return
        await self._give(plans)

    def _due_orders(
        self, now_s: float
    ) -> list[tuple[ServiceSpec, BackendServer, LayerRange]]:
        """Return the orders that the plan asks for and nobody waits for."""
        if self.desired is None:
            return []
        due = []
        for service in self.desired.services.values():
            if service.engine is None:
                continue
            servers = {
                one.id: one for one in self._routing.backends.usable(service.name)
            }
            if not self._is_settled(servers, now_s):
                continue
            hosts = [self._host(server) for server in servers.values()]
            plan = plan_placement(
                hosts,
                service.engine,
                copying=self._idle_for_long(servers, now_s),
                is_repairing=self._is_at_rest(servers, now_s),
            )
            for server_id, layers in plan.items():
                if now_s >= self._rest_until_s.get(server_id, 0.0):
                    due.append((service, servers[server_id], layers))
        return due

    def _is_at_rest(self, servers: dict[str, BackendServer], now_s: float) -> bool:
        """Tell whether the list has not changed for a while."""
        ids = frozenset(servers)
        if ids != self._last_ids:
            self._last_ids = ids
            self._last_ids_s = now_s
        return now_s - self._last_ids_s >= _REPAIR_REST_S

    def _idle_for_long(
        self, servers: dict[str, BackendServer], now_s: float
    ) -> frozenset[str]:
        """Return the runners that nobody has needed for a while."""
        empty = {one.id for one in servers.values() if not one.layers}
        self._empty_since_s = {
            server_id: self._empty_since_s.get(server_id, now_s) for server_id in empty
        }
        return frozenset(
            server_id
            for server_id, since_s in self._empty_since_s.items()
            if now_s - since_s >= _IDLE_S
        )

    def _host(self, server: BackendServer) -> Host:
        """Return a runner as placement sees it, with what it was ordered."""
        ordered = self._ordered.get(server.id)
        held = ordered[0] if ordered else server.layers
        return Host(server.id, server.availability_zone, server.kind, held)

    def _is_settled(self, servers: dict[str, BackendServer], now_s: float) -> bool:
        """Tell whether the plan may be made: an empty fleet has to be whole."""
        if not servers:
            return False
        if any(one.layers or one.id in self._ordered for one in servers.values()):
            return True
        ids = frozenset(servers)
        if ids != self._seen:
            self._seen = ids
            self._seen_changed_s = now_s
            self._seen_first_s = self._seen_first_s or now_s
        first_s = self._seen_first_s or now_s
        is_at_rest = now_s - self._seen_changed_s >= _SETTLE_S
        return is_at_rest or now_s - first_s >= _SETTLE_LIMIT_S

    def _forget_done(self, now_s: float) -> None:
        """Forget orders that the list shows or that took too long."""
        for server_id, (layers, until_s) in list(self._ordered.items()):
            server = self._routing.backends.get(server_id)
            if server is None or server.layers == layers or now_s >= until_s:
                del self._ordered[server_id]
                self._last_order_s = now_s

    async def _hold(self, now_s: float) -> bool:
        """Hold the lease; tell whether orders may be given."""
        if self.is_holder:
            await self._renew(now_s)
            return self.is_holder
        # All instances see the same need at the same time: one pause each.
        await asyncio.sleep(self._rng.uniform(0.0, _SPREAD_S))
        sent_s = time.monotonic()
        row = await self._store.read_row(self._lease.row_key)
        self._lease.observe(row, now_s=sent_s)
        self._delay_try(self._lease.duration_s / 2)
        return await self._write(self._lease.wanted_write(now_s=sent_s), sent_s)

    async def _renew(self, now_s: float) -> None:
        """Renew the lease in good time."""
        if self._lease.age_s(now_s=now_s) < self._lease.duration_s / 3:
            return
        await self._write(self._lease.wanted_write(now_s=now_s), now_s)

    async def _write(self, put: Put | None, sent_s: float) -> bool:
        """Write the lease's row; tell whether the lease is held."""
        if put is None:
            return False
        try:
            write = await self._store.write_row(put)
        except AnswerLostError as error:
            # The next read tells whether it is one's own.
            events.log(events.LEASE_UNREACHABLE, job="placement", reason=str(error))
            self._next_try_s = 0.0
            return False
        if not write.is_written:
            return False
        is_new = not self._lease.is_confirmed
        self._lease.written(put, sent_s=sent_s, version=write.version)
        if is_new:
            epoch = int(put.value["epoch"])
            events.log(events.LEASE_WON, job="placement", epoch=epoch)
        return True

    def _delay_try(self, pause_s: float) -> None:
        """Leave the lease alone for a while."""
        self._next_try_s = time.monotonic() + pause_s * self._rng.uniform(0.8, 1.3)

    async def _give(
        self, plans: list[tuple[ServiceSpec, BackendServer, LayerRange]]
    ) -> None:
        """Give orders, some at a time."""
        gate = asyncio.Semaphore(_ORDERS_AT_ONCE)

        async def one(
            service: ServiceSpec, server: BackendServer, layers: LayerRange
        ) -> None:
            async with gate:
                await self._order(service, server, layers)

        await asyncio.gather(*(one(*plan) for plan in plans))

    async def _order(
        self, service: ServiceSpec, server: BackendServer, layers: LayerRange
    ) -> None:
        """Order one runner to hold a range, if it is still the same runner."""
        report = await self._routing.client.report(server)
        epoch = self._lease.held_epoch(now_s=time.monotonic())
        if epoch is None:
            return
        if report is None or report.is_busy:
            self._rest(server.id)
            return
        if report.layers != server.layers:
            # The plan was made from an older list: a newer holder of the
            # lease would undo what the one before has ordered.
            events.log(
                events.ORDER_WITHHELD,
                server_id=server.id,
                listed=list(server.layers) if server.layers else None,
                reported=list(report.layers) if report.layers else None,
            )
            self._rest(server.id)
            return
        answer = await self._routing.client.place(
            server, layers, fence=epoch, expected_sequence=report.sequence
        )
        events.log(
            events.ORDER_DONE
            if answer.outcome in (OrderOutcome.DONE, OrderOutcome.BEGUN)
            else events.ORDER_REFUSED,
            server_id=server.id,
            layers=list(layers),
            epoch=epoch,
            outcome=answer.outcome.value,
        )
        if answer.outcome in (OrderOutcome.DONE, OrderOutcome.BEGUN):
            assert service.engine is not None
            share = layers.size / service.engine.layer_count
            wait_s = _LIST_LAG_S + 2 * service.engine.load_s * share
            self._last_order_s = time.monotonic()
            self._ordered[server.id] = (layers, self._last_order_s + wait_s)
            return
        self._rest(server.id)

    def _rest(self, server_id: str) -> None:
        """Leave a runner without orders for a while."""
        self._rest_until_s[server_id] = time.monotonic() + _ORDER_REST_S
