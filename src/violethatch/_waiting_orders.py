# SPDX-License-Identifier: MIT
"""Orders that wait until fewer runners load layers.

Load pattern: a fleet that returns empty has an order for each of its runners, hundreds
at once, of which some may load at a time; runners end and start again meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence, Set
from typing import NamedTuple

from .backends import BackendServer
from .desired import ServiceSpec
from .layers import LayerRange


#: How often a waiting order may fail before its runner is planned for anew.
_MAX_FAILURES = 3


class Order(NamedTuple):
    """A runner of a service, and the layers that it is to hold."""

    service: ServiceSpec
    server: BackendServer
    layers: LayerRange
    #: How often it was refused or withheld.
    failures: int = 0

    @property
    def loads(self) -> int:
        """How many layers the runner has to load for it."""
        held = self.server.layers
        if held is None:
            return self.layers.size
        kept = min(held.end, self.layers.end) - max(held.first, self.layers.first)
        return self.layers.size - max(0, kept)

    def is_void(self, server: BackendServer | None) -> bool:
        """Tell whether a runner is no longer as the order was planned for."""
        return (
            server is None
            or server.lifetime != self.server.lifetime
            or server.layers != self.server.layers
        )


class WaitingOrders:
    """The orders of all services that wait, those to be given first in front."""

    def __init__(self) -> None:
        #: By runner.
        self._orders: dict[str, Order] = {}
        #: By service, the runners that its waiting orders were planned for.
        self._planned_for: dict[str, frozenset[str]] = {}

    def __len__(self) -> int:
        return len(self._orders)

    def __iter__(self) -> Iterator[str]:
        return iter(self._orders)

    def get(self, server_id: str) -> Order | None:
        """Return a runner's order, if one waits."""
        return self._orders.get(server_id)

    def of_service(self, service: str) -> list[Order]:
        """Return a service's orders; forget their plan after the last."""
        waiting = [one for one in self._orders.values() if one.service.name == service]
        if not waiting:
            self._planned_for.pop(service, None)
        return waiting

    def add(self, service: str, orders: Sequence[Order], planned_for: Set[str]) -> None:
        """Let a service's orders wait, unless some of it wait already.

        Args:
            service: The service's name.
            orders: The orders, to be given in this order.
            planned_for: The ids of all runners that they were planned for.
        """
        if orders and service not in self._planned_for:
            self._orders |= {order.server.id: order for order in orders}
            self._planned_for[service] = frozenset(planned_for)

    def drop_void(self, listed: Callable[[str], BackendServer | None]) -> None:
        """Drop orders that a runner's new state has overtaken."""
        self._orders = {
            server_id: order
            for server_id, order in self._orders.items()
            if not order.is_void(listed(server_id))
        }

    def drop_outdated(
        self, service: str, usable: Set[str], *, has_ordered: bool
    ) -> None:
        """Drop a service's orders where others have to be planned.

        They belong together: without one of their runners some layers have no holder.
        Further runners are planned for afterwards, unless nothing was ordered so far.

        Args:
            service: The service's name.
            usable: The ids of its runners that may be ordered now.
            has_ordered: Whether some of its orders were given and are not over.
        """
        planned_for = self._planned_for.get(service, frozenset())
        if planned_for - usable or (not has_ordered and planned_for != usable):
            self._orders = {
                server_id: order
                for server_id, order in self._orders.items()
                if order.service.name != service
            }
            self._planned_for.pop(service, None)

    def note_taken(self, order: Order) -> None:
        """Note that a runner has taken its order."""
        self._orders.pop(order.server.id, None)

    def note_failed(self, order: Order) -> None:
        """Note that an order has failed; drop one that fails again and again."""
        server_id = order.server.id
        if server_id not in self._orders:
            return
        failures = order.failures + 1
        if failures < _MAX_FAILURES:
            self._orders[server_id] = order._replace(failures=failures)
        else:
            del self._orders[server_id]
