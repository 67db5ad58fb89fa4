# SPDX-License-Identifier: MIT
"""Jobs that one instance performs on behalf of its availability zone.

The instance is selected by rendezvous hashing, so that the others don't contend
for the lease.  The lease's epoch is the fencing token of its orders.
"""

from __future__ import annotations

import asyncio
import itertools

from collections.abc import Callable, Mapping
from typing import NamedTuple

from . import clocks, events, wire
from ._engine_link import EngineLink
from .errors import TableUnavailableError
from .leases import Lease
from .ports import AnswerLostError, Table


_ORDER_TIMEOUT_S = 5.0
#: The number of renewal attempts per lease duration.
_RENEWALS_PER_LEASE = 3.0


class LeaseHolder:
    """Acquires and renews a job's lease while this instance is selected for the job.

    Args:
        table: The table that stores the lease.
        lease: This instance's view of the lease.
        is_chosen: Returns whether this instance should hold the lease.
    """

    def __init__(
        self, table: Table, lease: Lease, *, is_chosen: Callable[[], bool]
    ) -> None:
        self._table = table
        self._lease = lease
        self._is_selected = is_chosen
        self._was_held = False

    def epoch(self) -> int | None:
        """Return the current fencing token, or None if the lease is not held."""
        return self._lease.held_epoch(now_s=clocks.now_s())

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            try:
                if self._is_selected():
                    await self._renew()
                else:
                    await self.resign()
            except (TableUnavailableError, AnswerLostError):
                # If only the response was lost, the next read finds the write;
                # until then, the lease is based on the last confirmed renewal.
                pass
            self._log_change()
            await asyncio.sleep(self._lease.duration_s / _RENEWALS_PER_LEASE)

    async def resign(self) -> None:
        """Release the lease immediately, if it is held."""
        put = self._lease.resigned()
        if put is None:
            return
        try:
            await self._table.transact([put])
        except (TableUnavailableError, AnswerLostError):
            return  # the lease expires

    async def _renew(self) -> None:
        """Read the row, and acquire or renew the lease if that is due."""
        key = self._lease.row_key
        rows = await self._table.read([key])
        self._lease.observe(rows.get(key), now_s=clocks.now_s())
        sent_s = clocks.now_s()
        put = self._lease.wanted_write(now_s=sent_s)
        if put is not None and not await self._table.transact([put]):
            self._lease.written(put, sent_s=sent_s)

    def _log_change(self) -> None:
        """Log that the lease was acquired or lost."""
        epoch = self.epoch()
        is_held = epoch is not None
        if is_held != self._was_held:
            event = events.LEASE_WON if is_held else events.LEASE_LOST
            events.log(event, lease=self._lease.row_key, epoch=epoch)
        self._was_held = is_held


class _PendingOrder(NamedTuple):
    """An order to be sent to a runner."""

    link: EngineLink
    adapter: str


class AdapterLoader:
    """Orders the zone's runners to load the declared adapters of their models.

    Loading an adapter is idempotent and safe when delayed, so the order may also be
    sent to servers that don't check the fencing token.  The runner's next load report
    confirms the loaded adapters.

    Args:
        lease: Provides the fencing token while this instance may send orders.
        links: Returns the connections to the zone's runners.
        adapters: Returns the adapters of each model.
        interval_s: The interval between orders, in seconds.
    """

    def __init__(
        self,
        lease: LeaseHolder,
        *,
        links: Callable[[], list[EngineLink]],
        adapters: Callable[[], Mapping[str, list[str]]],
        interval_s: float,
    ) -> None:
        self._lease = lease
        self._links = links
        self._adapters = adapters
        self._interval_s = interval_s
        self._order_ids = itertools.count(1)

    async def run(self) -> None:
        """Send orders sequentially, until cancelled."""
        while True:
            pending = self._next_order()
            if pending is not None:
                await self._send_order(pending)
            await asyncio.sleep(self._interval_s)

    def _next_order(self) -> _PendingOrder | None:
        """Return the next required order, if any."""
        adapters = self._adapters()
        for link in self._links():
            if link.hello is None:
                continue
            for adapter in adapters.get(link.hello.model, ()):
                if adapter not in link.load.adapters:
                    return _PendingOrder(link, adapter)
        return None

    async def _send_order(self, pending: _PendingOrder) -> None:
        """Send an order with the current fencing token, if the lease is held."""
        fence = self._lease.epoch()
        if fence is None:
            return
        order = wire.Order(
            next(self._order_ids), fence, "load_adapter", pending.adapter
        )
        runner = pending.link.runner_id
        try:
            answer = await pending.link.order(order, timeout_s=_ORDER_TIMEOUT_S)
        except TimeoutError:
            return  # repeating the order is safe
        event = events.ORDER_DONE if answer.accepted else events.ORDER_REFUSED
        events.log(event, runner=runner, adapter=pending.adapter, fence=fence)
