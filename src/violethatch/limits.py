# SPDX-License-Identifier: MIT
"""Rate and concurrency limits of workspaces, divided between instances.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .errors import RateLimitedError


class WorkspaceLimits(NamedTuple):
    """Limits of a workspace, over all instances together.

    .. versionadded:: 26.1.0
    """

    requests_per_s: float
    concurrent: int


class WorkspaceLimiter:
    """Admits one workspace's requests on one instance.

    The instance enforces its share of the workspace's limits.  The share
    follows the demand that peers report (see `demand_shares`) and is an
    equal split while no reports are available.

    Args:
        limits: The workspace's limits over all instances.
        share: This instance's share of them, from 0 to 1.
        now_s: The current monotonic time, in seconds.

    .. versionadded:: 26.1.0
    """

    __slots__ = ("_refilled_s", "_tokens", "in_flight", "limits", "share")

    def __init__(
        self, limits: WorkspaceLimits, *, share: float = 1.0, now_s: float
    ) -> None:
        self.limits = limits
        self.share = share
        self.in_flight = 0
        self._refilled_s = now_s
        self._tokens = self._burst()

    def admit(self, now_s: float) -> None:
        """Admit a request.

        Raises:
            RateLimitedError: The share is exhausted; `retry_after_s` is set.
        """
        self._refill(now_s)
        allowed = max(1, round(self.limits.concurrent * self.share))
        if self.in_flight >= allowed:
            msg = f"{self.in_flight} requests in flight, {allowed} allowed here"
            raise RateLimitedError(msg, retry_after_s=1.0)
        if self._tokens < 1.0:
            wait_s = (1.0 - self._tokens) / self._rate()
            msg = f"rate of {self._rate():.3g} requests/s reached here"
            raise RateLimitedError(msg, retry_after_s=wait_s)
        self._tokens -= 1.0
        self.in_flight += 1

    def release(self) -> None:
        """Record the end of an admitted request."""
        self.in_flight -= 1

    def _rate(self) -> float:
        """Return this instance's share of the rate, in requests a second."""
        return max(1e-3, self.limits.requests_per_s * self.share)

    def _burst(self) -> float:
        """Return the capacity of the token bucket: one second of the rate."""
        return max(1.0, self._rate())

    def _refill(self, now_s: float) -> None:
        """Add the tokens accrued since the last refill."""
        accrued = (now_s - self._refilled_s) * self._rate()
        self._tokens = min(self._burst(), self._tokens + accrued)
        self._refilled_s = now_s


def demand_shares(
    demand_by_instance: Mapping[str, float], *, floor: float = 0.2
) -> dict[str, float]:
    """Split a limit between instances by the demand that each reports.

    A fraction, *floor*, is always split equally, so that an instance whose
    demand rises can admit requests before the next report.

    Args:
        demand_by_instance: Requests a second received by each instance.
        floor: The fraction that is split equally, from 0 to 1.

    .. versionadded:: 26.1.0
    """
    count = len(demand_by_instance)
    total = sum(demand_by_instance.values())
    if not count:
        return {}
    if total <= 0:
        return dict.fromkeys(demand_by_instance, 1.0 / count)
    return {
        instance: floor / count + (1.0 - floor) * demand / total
        for instance, demand in demand_by_instance.items()
    }
