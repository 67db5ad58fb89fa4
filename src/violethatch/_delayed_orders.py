# SPDX-License-Identifier: MIT
"""Orders delayed by the limit on concurrent loads.

Load pattern: a fleet that restarts empty has an order for each of its runners, hundreds
at once, with few concurrent loads; runners restart in the meantime.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence, Set
from typing import NamedTuple

from .backends import BackendServer
from .desired import ServiceSpec
from .layers import LayerRange


#: Max failures of a delayed order before its runner is replanned.
_MAX_FAILURES = 3


class Order(NamedTuple):
    """An order for a runner of a service to hold a range of layers."""

    service: ServiceSpec
    server: BackendServer
    layers: LayerRange
    #: Number of rejected or withheld attempts.
    failures: int = 0

    @property
    def layers_to_load(self) -> int:
        """Number of layers that the runner has to load."""
        held = self.server.layers
        if held is None:
            return self.layers.size
        overlap = min(held.end, self.layers.end) - max(held.first, self.layers.first)
        return self.layers.size - max(0, overlap)

    def is_stale(self, server: BackendServer | None) -> bool:
        """Whether the state of the runner has changed since planning."""
        return (
            server is None
            or server.lifetime != self.server.lifetime
            or server.layers != self.server.layers
        )


class DelayedOrders:
    """Delayed orders of all services, in the order of sending."""

    def __init__(self) -> None:
        #: By runner.
        self._orders: dict[str, Order] = {}
        #: By service, the runners included in the plan of its delayed orders.
        self._planned_ids: dict[str, frozenset[str]] = {}

    def __len__(self) -> int:
        return len(self._orders)

    def __iter__(self) -> Iterator[str]:
        return iter(self._orders)

    def get(self, server_id: str) -> Order | None:
        """Return the delayed order of a runner, if any."""
        return self._orders.get(server_id)

    def of_service(self, service: str) -> list[Order]:
        """Return the orders of a service; discard their plan if none is left."""
        delayed = [
            order for order in self._orders.values() if order.service.name == service
        ]
        if not delayed:
            self._planned_ids.pop(service, None)
        return delayed

    def add(self, service: str, orders: Sequence[Order], planned_ids: Set[str]) -> None:
        """Add orders of a service, unless some are delayed already.

        Args:
            service: The service's name.
            orders: The orders, in the order of sending.
            planned_ids: The IDs of all runners included in the plan.
        """
        if orders and service not in self._planned_ids:
            self._orders |= {order.server.id: order for order in orders}
            self._planned_ids[service] = frozenset(planned_ids)

    def drop_stale(self, lookup: Callable[[str], BackendServer | None]) -> None:
        """Drop orders whose runner has changed."""
        self._orders = {
            server_id: order
            for server_id, order in self._orders.items()
            if not order.is_stale(lookup(server_id))
        }

    def drop_outdated(
        self, service: str, usable: Set[str], *, has_ordered: bool
    ) -> None:
        """Drop the orders of a service if its plan is outdated.

        All orders of a plan are interdependent: without any of their runners, layers
        lack a holder.  Additional runners are planned afterwards, unless no order was
        sent so far.

        Args:
            service: The service's name.
            usable: The IDs of its usable runners.
            has_ordered: Whether some of its orders are in flight.
        """
        planned_ids = self._planned_ids.get(service, frozenset())
        if planned_ids - usable or (not has_ordered and planned_ids != usable):
            self._orders = {
                server_id: order
                for server_id, order in self._orders.items()
                if order.service.name != service
            }
            self._planned_ids.pop(service, None)

    def record_accepted(self, order: Order) -> None:
        """Remove an accepted order."""
        self._orders.pop(order.server.id, None)

    def record_failed(self, order: Order) -> None:
        """Count a failure of an order; drop it at the limit."""
        server_id = order.server.id
        if server_id not in self._orders:
            return
        failures = order.failures + 1
        if failures < _MAX_FAILURES:
            self._orders[server_id] = order._replace(failures=failures)
        else:
            del self._orders[server_id]
