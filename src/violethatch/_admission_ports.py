# SPDX-License-Identifier: MIT
"""The demand at other instances and jittered retries, for the admission control."""

from __future__ import annotations

import random

from collections.abc import Callable

from . import clocks
from .demand import Demand
from .retry_delay import retry_delay_s
from .start_reservations import Claim, ClaimOutcome, RetrySlot
from .stream_loads import StreamLoads


class AggregatedPeerDemand:
    """The demand at other instances, from their aggregated load reports.

    Args:
        loads: Provides the sums.
        instances: Returns the number of known active instances, possibly 0.
    """

    def __init__(self, loads: StreamLoads, *, instances: Callable[[], int]) -> None:
        self._loads = loads
        self._instances = instances

    def demand(self) -> Demand:
        """Return the sum over the other instances that report."""
        return self._loads.others.demand

    def age_s(self) -> float | None:
        """Return the age of the sum in seconds, or None without a sum."""
        return self._loads.others_age_s(now_s=clocks.now_s())

    def has_peers(self) -> bool:
        """Return whether other active instances are known."""
        return self._instances() > 1

    def instance_count(self) -> int:
        """Return the number of other instances in the sum."""
        return self._loads.others.instances


class JitteredRetryScheduler:
    """Adds jitter to the retries of rejected callers, without reservations.

    Args:
        rng: The source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def schedule_retry(
        self,
        _service: str,
        _work: str,
        _priority: int,
        *,
        starts_per_s: float,
        max_delay_s: float,
    ) -> RetrySlot:
        """Return the time of a caller's retry."""
        delay_s = retry_delay_s(max_delay_s if not starts_per_s else 0.0, rng=self._rng)
        return RetrySlot(clocks.now_s() + delay_s, is_reserved=False)

    async def claim(self, _work: str) -> Claim:
        """Return an unknown claim, as nothing is reserved."""
        return Claim(ClaimOutcome.UNKNOWN, 0.0)

    def reserved(self, _service: str) -> int:
        """Return 0, as nothing is reserved."""
        return 0

    def kept(self) -> int:
        """Return 0, as no reservation is stored."""
        return 0
