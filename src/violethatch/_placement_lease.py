# SPDX-License-Identifier: MIT
"""The lease of the placement duty: who may order, under which fence."""

from __future__ import annotations

import asyncio
import random

from typing import NamedTuple, Protocol

from . import clocks, events
from .errors import TableUnavailableError
from .leases import Lease
from .ports import AnswerLostError, Put, Row
from .router_settings import RouterPolicySection
from .store_era import StoreEra


_JOB = "placement"
#: Longest random pause before a try for the lease, in seconds.
_SPREAD_S = 0.8
#: The time between tries for a lease that another instance holds, in seconds: it is
#: given back soon after the last order, and a hole should not wait for half a lease.
_TRY_PAUSE_S = 0.7
#: Parts of that time that are drawn from.
_PAUSE_PARTS = (0.8, 1.3)
#: How many renewals there are in the time of a lease.
_RENEWALS = 3


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


class PlacementLease:
    """One process's part in the lease.

    Args:
        store: Keeps the lease's row.
        holder: Names this process's lifetime.
        policy: The lease's duration and margin.
        rng: Spreads tries of many instances.
        era: The store's era; in a newer one the lease has to be seen again.
    """

    def __init__(
        self,
        store: LeaseStore,
        *,
        holder: str,
        policy: RouterPolicySection,
        rng: random.Random,
        era: StoreEra | None = None,
    ) -> None:
        self._store = store
        self._rng = rng
        self._lease = Lease(
            row_key=_JOB,
            holder=holder,
            duration_s=policy.lease_duration_s,
            margin_s=policy.lease_margin_s,
        )
        self._next_try_s = 0.0
        self._is_observed = False
        self._era = era or StoreEra()
        self._era.on_restore(self._note_restored)

    def take_policy(self, policy: RouterPolicySection) -> None:
        """Take changed times in; a lease that is held keeps its row's."""
        self._lease.duration_s = policy.lease_duration_s
        self._lease.margin_s = policy.lease_margin_s

    @property
    def epoch(self) -> int | None:
        """The fence of orders, or None while none may be given."""
        return self._lease.held_epoch(now_s=clocks.now_s())

    @property
    def is_held(self) -> bool:
        """Whether orders may be given now."""
        return self.epoch is not None

    def may_try(self, *, now_s: float) -> bool:
        """Tell whether another try for the lease is due."""
        return now_s >= self._next_try_s

    def note_unreachable(self, reason: str) -> None:
        """Leave the lease alone for a while, since the store is away."""
        self._delay_try()
        _log_unreachable(reason)

    async def observe_early(self) -> None:
        """Read the lease's row once before there is an order to give.

        The time of a holder that is gone then runs out while the list settles.
        """
        if self._is_observed or not self.may_try(now_s=clocks.now_s()):
            return
        self._delay_try()
        await self._observe()

    async def _observe(self) -> float:
        """Read the lease's row; return when that was begun, in monotonic seconds."""
        sent_s = clocks.now_s()
        row = await self._store.read_row(self._lease.row_key)
        self._lease.era = self._era.current
        self._lease.observe(row, now_s=sent_s)
        self._is_observed = True
        return sent_s

    async def hold(self, now_s: float) -> bool:
        """Hold the lease; tell whether orders may be given."""
        if self.is_held:
            await self.renew(now_s)
            return self.is_held
        # All instances see the same need at the same time: one pause each.
        await asyncio.sleep(self._rng.uniform(0.0, _SPREAD_S))
        sent_s = await self._observe()
        self._delay_try()
        return await self._write(self._lease.wanted_write(now_s=sent_s), sent_s)

    async def renew(self, now_s: float) -> None:
        """Renew the lease in good time."""
        if self._lease.age_s(now_s=now_s) < self._lease.duration_s / _RENEWALS:
            return
        await self._write(self._lease.wanted_write(now_s=now_s), now_s)

    async def resign(self) -> None:
        """Let others take over at once, if the lease is held."""
        put = self._lease.resigned()
        if put is None:
            return
        events.log(events.LEASE_LOST, job=_JOB, reason="resigned")
        try:
            await self._store.write_row(put)
        except (TableUnavailableError, AnswerLostError) as error:
            # The lease then runs out by itself.
            _log_unreachable(str(error))

    async def _write(self, put: Put | None, sent_s: float) -> bool:
        """Write the lease's row; tell whether the lease is held."""
        if put is None:
            return False
        era = self._era.current
        try:
            write = await self._store.write_row(put)
        except AnswerLostError as error:
            # The next read tells whether it is one's own.
            _log_unreachable(str(error))
            self._next_try_s = 0.0
            return False
        # In another era the condition may have met a version that was given out again.
        if not write.is_written or self._era.current != era:
            return False
        is_new = not self._lease.is_confirmed
        self._lease.written(put, sent_s=sent_s, version=write.version)
        if is_new:
            epoch = int(put.value["epoch"])
            events.log(events.LEASE_WON, job=_JOB, epoch=epoch)
        return True

    def _note_restored(self) -> None:
        """Have the lease seen again, now that the store was restored from a copy."""
        if self._lease.is_confirmed:
            events.log(events.LEASE_LOST, job=_JOB, reason="store restored from a copy")
        self._lease.restored(self._era.current)

    def _delay_try(self) -> None:
        """Leave the lease alone for a while."""
        pause_s = _TRY_PAUSE_S * self._rng.uniform(*_PAUSE_PARTS)
        self._next_try_s = clocks.now_s() + pause_s


def _log_unreachable(reason: str) -> None:
    """Log that the lease's row can't be read or written."""
    events.log(events.LEASE_UNREACHABLE, job=_JOB, reason=reason)
