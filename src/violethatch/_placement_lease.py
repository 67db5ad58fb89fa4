# SPDX-License-Identifier: MIT
"""Lease for placement orders, with a fencing epoch."""

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
#: Max random delay before an attempt to acquire the lease, in seconds.
_MAX_JITTER_S = 0.8
#: Interval between attempts while another instance holds the lease, in seconds: it is
#: released soon after the last order, and missing layers should not wait for half a
#: lease duration.
_RETRY_INTERVAL_S = 0.7
#: Range of the random factor of that interval.
_JITTER_FACTORS = (0.8, 1.3)
#: Renewals per lease duration.
_RENEWALS_PER_LEASE = 3


class LeaseWrite(NamedTuple):
    """Result of a write to the lease row."""

    is_written: bool
    version: int


class LeaseStore(Protocol):
    """Storage of the lease row."""

    async def read_row(self, key: str) -> Row | None:
        """Return a row, or None if it does not exist.

        Raises:
            TableUnavailableError: The store rejects the call or does not respond.
        """

    async def write_row(self, put: Put) -> LeaseWrite:
        """Write a row if its version matches.

        Raises:
            TableUnavailableError: Nothing was written.
            AnswerLostError: The outcome of the write is unknown.
        """


class PlacementLease:
    """Lease state of this process.

    Args:
        store: Storage of the lease row.
        holder: Unique ID of this process lifetime.
        policy: Duration and margin of the lease.
        rng: Randomizes the attempts of many instances.
        era: The era of the store; after a change the lease must be observed again.
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
        self._next_attempt_s = 0.0
        self._is_observed = False
        self._era = era or StoreEra()
        self._era.on_restore(self._on_store_restored)

    def update_policy(self, policy: RouterPolicySection) -> None:
        """Apply changed durations; a lease that is held keeps those of its row."""
        self._lease.duration_s = policy.lease_duration_s
        self._lease.margin_s = policy.lease_margin_s

    @property
    def epoch(self) -> int | None:
        """Fencing epoch of orders, or None without a valid lease."""
        return self._lease.held_epoch(now_s=clocks.now_s())

    @property
    def is_held(self) -> bool:
        """Whether the lease is held."""
        return self.epoch is not None

    def can_attempt(self, *, now_s: float) -> bool:
        """Whether another attempt to acquire the lease is due."""
        return now_s >= self._next_attempt_s

    def record_unavailable(self, reason: str) -> None:
        """Delay the next attempt, since the store is unavailable."""
        self._delay_attempt()
        _log_unreachable(reason)

    async def observe_early(self) -> None:
        """Read the lease row once before the first order.

        The lease of a terminated holder can then expire while the list settles.
        """
        if self._is_observed or not self.can_attempt(now_s=clocks.now_s()):
            return
        self._delay_attempt()
        await self._observe()

    async def _observe(self) -> float:
        """Read the lease row; return the start of the read, in monotonic seconds."""
        sent_s = clocks.now_s()
        row = await self._store.read_row(self._lease.row_key)
        self._lease.era = self._era.current
        self._lease.observe(row, now_s=sent_s)
        self._is_observed = True
        return sent_s

    async def acquire(self, now_s: float) -> bool:
        """Acquire or renew the lease; return whether it is held."""
        if self.is_held:
            await self.renew(now_s)
            return self.is_held
        # All instances detect the same change at the same time: add jitter.
        await asyncio.sleep(self._rng.uniform(0.0, _MAX_JITTER_S))
        sent_s = await self._observe()
        self._delay_attempt()
        return await self._write(self._lease.wanted_write(now_s=sent_s), sent_s)

    async def renew(self, now_s: float) -> None:
        """Renew the lease if renewal is due."""
        if (
            self._lease.age_s(now_s=now_s)
            < self._lease.duration_s / _RENEWALS_PER_LEASE
        ):
            return
        await self._write(self._lease.wanted_write(now_s=now_s), now_s)

    async def resign(self) -> None:
        """Release the lease if held, so that others can acquire it immediately."""
        put = self._lease.resigned()
        if put is None:
            return
        events.log(events.LEASE_LOST, job=_JOB, reason="resigned")
        try:
            await self._store.write_row(put)
        except (TableUnavailableError, AnswerLostError) as error:
            # The lease then expires.
            _log_unreachable(str(error))

    async def _write(self, put: Put | None, sent_s: float) -> bool:
        """Write the lease row; return whether the lease is held."""
        if put is None:
            return False
        era = self._era.current
        try:
            result = await self._store.write_row(put)
        except AnswerLostError as error:
            # The next read shows whether the write succeeded.
            _log_unreachable(str(error))
            self._next_attempt_s = 0.0
            return False
        # In another era the condition may match a reused version number.
        if not result.is_written or self._era.current != era:
            return False
        is_new = not self._lease.is_confirmed
        self._lease.written(put, sent_s=sent_s, version=result.version)
        if is_new:
            epoch = int(put.value["epoch"])
            events.log(events.LEASE_WON, job=_JOB, epoch=epoch)
        return True

    def _on_store_restored(self) -> None:
        """Require a new observation of the lease after a restore of the store."""
        if self._lease.is_confirmed:
            events.log(events.LEASE_LOST, job=_JOB, reason="store restored from a copy")
        self._lease.restored(self._era.current)

    def _delay_attempt(self) -> None:
        """Schedule the next attempt."""
        delay_s = _RETRY_INTERVAL_S * self._rng.uniform(*_JITTER_FACTORS)
        self._next_attempt_s = clocks.now_s() + delay_s


def _log_unreachable(reason: str) -> None:
    """Log a failed read or write of the lease row."""
    events.log(events.LEASE_UNREACHABLE, job=_JOB, reason=reason)
