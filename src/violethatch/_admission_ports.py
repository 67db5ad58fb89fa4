# SPDX-License-Identifier: MIT
"""What admission learns of other instances, and how it spreads refused callers."""

from __future__ import annotations

import random

from collections.abc import Callable

from . import clocks
from .demand import Demand
from .retry_delay import retry_delay_s
from .start_reservations import Claim, ClaimOutcome, RetrySlot
from .stream_loads import StreamLoads


class AggregatedPeerDemand:
    """What other instances are asked for, as their sums of loads tell it.

    Args:
        loads: Has the sums.
        instances: Tells how many instances are known to serve; 0 where none is.
    """

    def __init__(self, loads: StreamLoads, *, instances: Callable[[], int]) -> None:
        self._loads = loads
        self._instances = instances

    def demand(self) -> Demand:
        """Return the sum over all other instances that are heard."""
        return self._loads.others.demand

    def age_s(self) -> float | None:
        """Return the age of that sum in seconds, or None without any."""
        return self._loads.others_age_s(now_s=clocks.now_s())

    def has_peers(self) -> bool:
        """Tell whether other instances are known to serve."""
        return self._instances() > 1

    def instance_count(self) -> int:
        """Return how many other instances are in the sum."""
        return self._loads.others.instances


class JitteredRetryScheduler:
    """Spreads refused callers over time, with nothing reserved.

    Args:
        rng: Draws.
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
        """Return when a caller should come back."""
        back_s = retry_delay_s(max_delay_s if not starts_per_s else 0.0, rng=self._rng)
        return RetrySlot(clocks.now_s() + back_s, is_reserved=False)

    async def claim(self, _work: str) -> Claim:
        """Return that nothing is reserved."""
        return Claim(ClaimOutcome.UNKNOWN, 0.0)

    def reserved(self, _service: str) -> int:
        """Return that nothing is reserved."""
        return 0

    def kept(self) -> int:
        """Return that nothing is kept."""
        return 0
