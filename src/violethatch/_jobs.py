# SPDX-License-Identifier: MIT
"""Jobs that one instance of an availability zone does for all of them.

The instance is chosen by rendezvous hash, so that the others don't contend
for the lease; the lease's epoch is the fence of every order that it gives.
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
#: How often a lease is looked after, as a part of its duration.
_RENEWALS_PER_LEASE = 3.0


class LeaseHolder:
    """Holds one job's lease while this instance is chosen for the job.

    Args:
        table: Where the lease is.
        lease: This instance's view of it.
        is_chosen: Tells whether this instance should hold it.
    """

    def __init__(
        self, table: Table, lease: Lease, *, is_chosen: Callable[[], bool]
    ) -> None:
        self._table = table
        self._lease = lease
        self._is_chosen = is_chosen
        self._was_held = False

    def epoch(self) -> int | None:
        """Return the fence for orders given now, None while not the holder."""
        return self._lease.held_epoch(now_s=clocks.now_s())

    async def run(self) -> None:
        """Take and renew the lease until cancelled."""
        while True:
            try:
                if self._is_chosen():
                    await self._renew()
                else:
                    await self.resign()
            except (TableUnavailableError, AnswerLostError):
                # A write whose answer was lost is found at the next look;
                # until then the lease counts from the last certain renewal.
                pass
            self._log_change()
            await asyncio.sleep(self._lease.duration_s / _RENEWALS_PER_LEASE)

    async def resign(self) -> None:
        """Give the lease up at once, if held."""
        put = self._lease.resigned()
        if put is None:
            return
        try:
            await self._table.transact([put])
        except (TableUnavailableError, AnswerLostError):
            return  # it runs out by itself

    async def _renew(self) -> None:
        """Look at the row; take or renew the lease if that is due."""
        key = self._lease.row_key
        rows = await self._table.read([key])
        self._lease.observe(rows.get(key), now_s=clocks.now_s())
        sent_s = clocks.now_s()
        put = self._lease.wanted_write(now_s=sent_s)
        if put is not None and not await self._table.transact([put]):
            self._lease.written(put, sent_s=sent_s)

    def _log_change(self) -> None:
        """Say when the lease was won or lost."""
        epoch = self.epoch()
        is_held = epoch is not None
        if is_held != self._was_held:
            event = events.LEASE_WON if is_held else events.LEASE_LOST
            events.log(event, lease=self._lease.row_key, epoch=epoch)
        self._was_held = is_held


class _WantedOrder(NamedTuple):
    """An order that some runner should get."""

    link: EngineLink
    adapter: str


class AdapterLoader:
    """Orders the zone's runners to load the adapters that models declare.

    Loading an adapter is harmless when repeated or late, so it may also be
    ordered from servers that don't check the fence; what was loaded is read
    back from the runner's next load report.

    Args:
        lease: Says whether this instance may give orders, and under which fence.
        links: Returns the connections to the zone's runners.
        adapters: Returns each model's adapters.
        interval_s: Between rounds, in seconds.
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
        """Give orders, one at a time, until cancelled."""
        while True:
            wanted = self._next()
            if wanted is not None:
                await self._give(wanted)
            await asyncio.sleep(self._interval_s)

    def _next(self) -> _WantedOrder | None:
        """Return an order that is due, if any."""
        adapters = self._adapters()
        for link in self._links():
            if link.hello is None:
                continue
            for adapter in adapters.get(link.hello.model, ()):
                if adapter not in link.load.adapters:
                    return _WantedOrder(link, adapter)
        return None

    async def _give(self, wanted: _WantedOrder) -> None:
        """Give one order under the current fence, if there is one."""
        fence = self._lease.epoch()
        if fence is None:
            return
        order = wire.Order(next(self._order_ids), fence, "load_adapter", wanted.adapter)
        runner = wanted.link.runner_id
        try:
            answer = await wanted.link.order(order, timeout_s=_ORDER_TIMEOUT_S)
        except TimeoutError:
            return  # ordering it again is harmless
        event = events.ORDER_DONE if answer.accepted else events.ORDER_REFUSED
        events.log(event, runner=runner, adapter=wanted.adapter, fence=fence)
