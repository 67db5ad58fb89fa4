# SPDX-License-Identifier: MIT
"""An instance's retry budgets by service."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from . import clocks, events
from .retries import RetryBudget
from .retry_shares import RetryShare
from .router_settings import RouterSettings


#: How long a request waits for granted retries, in seconds: a few round trips, as
#: concurrent requests may compete for the same grants.
_GRANT_TIMEOUT_S = 0.15
#: For how long retries count as exhausted after other instances granted none, in
#: seconds, unless the own budget has some again.
_EXHAUSTED_TTL_S = 0.2
#: Reserve after the start, until the number of instances is known.
_INITIAL_RESERVE = 1.0


class RetryBudgets:
    """Accounts for retries, including those granted by other instances.

    Args:
        settings: The router's settings.
        is_usable: Returns whether a service has servers that accept new requests.
    """

    def __init__(
        self, settings: RouterSettings, *, is_usable: Callable[[str], bool]
    ) -> None:
        self.settings = settings
        self._is_usable = is_usable
        #: Returns the number of known serving instances; None for a single instance.
        self.instance_count: Callable[[], int] | None = None
        #: Requests retries for a service from other instances.
        self.request_retries: Callable[[str], Awaitable[bool]] = _grant_nothing
        self._budgets: dict[str, RetryShare] = {}
        #: By service, until when its retries count as exhausted.
        self._exhausted_until_s: dict[str, float] = {}

    def count_request(self, service: str) -> None:
        """Count a caller's request, which adds a fraction of a retry."""
        budget = self.budget(service).own_budget
        budget.resize(self._reserve())
        budget.deposit()

    async def acquire_retry(self, service: str) -> bool:
        """Withdraw a retry of a service; return whether one was available."""
        budget = self.budget(service)
        deadline_s = clocks.now_s() + _GRANT_TIMEOUT_S
        while budget.available(now_s=clocks.now_s()) < 1.0:
            is_granted = await self.request_retries(service)
            if not is_granted or clocks.now_s() >= deadline_s:
                break
        is_available = budget.withdraw(now_s=clocks.now_s())
        if not is_available:
            self._exhausted_until_s[service] = clocks.now_s() + _EXHAUSTED_TTL_S
            events.log(events.RETRIES_SPENT, service=service)
        return is_available

    def is_exhausted(self, service: str) -> bool:
        """Return whether an attempt to acquire a retry just failed and would again."""
        now_s = clocks.now_s()
        if now_s >= self._exhausted_until_s.get(service, 0.0):
            return False
        return self.budget(service).available(now_s=now_s) < 1.0

    def return_retry(self, service: str) -> None:
        """Return a retry whose send was rejected before it started."""
        self.budget(service).own_budget.give_back()

    def grant_retries(self, service: str, requested: float) -> float:
        """Withdraw and return the retries of a service granted to another instance."""
        if service not in self._budgets and not self._is_usable(service):
            return 0.0
        return self.budget(service).grant(requested)

    def receive_retries(self, service: str, amount: float) -> None:
        """Add retries that another instance has granted."""
        self.budget(service).add_grant(amount, now_s=clocks.now_s())

    def budget(self, service: str) -> RetryShare:
        """Return this instance's share of a service's retries."""
        budget = self._budgets.get(service)
        if budget is None:
            ratio = self.settings.bounds.retry_ratio * self.settings.policy.retry_part
            budget = RetryShare(RetryBudget(ratio=ratio, reserve=self._reserve()))
            self._budgets[service] = budget
        return budget

    def _reserve(self) -> float:
        """Return this instance's share of the total retry reserve."""
        policy = self.settings.policy
        if self.instance_count is None:
            return policy.retry_reserve
        total = self.settings.bounds.retry_slack * policy.retry_slack_part
        instance_count = self.instance_count()
        return total / instance_count if instance_count else _INITIAL_RESERVE


async def _grant_nothing(_service: str) -> bool:
    """Return that nothing was granted: the default without other instances."""
    return False
