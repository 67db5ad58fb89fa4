# SPDX-License-Identifier: MIT
"""One instance's retry budgets, one for each service."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from . import clocks, events
from .retries import RetryBudget
from .retry_shares import RetryShare
from .router_settings import RouterSettings


#: How long a request waits for retries that others give, in seconds: some ways there
#: and back, as many may want the same ones.
_RETRY_WAIT_S = 0.15
#: Retries that an instance saves up in the moment after its start, until it has read
#: how many others there are.
_UNKNOWN_RESERVE = 1.0


class RetryBudgets:
    """Pays for second sends, with what other instances give where there are any.

    Args:
        settings: The router's.
        is_usable: Tells whether a service has servers that may get new work.
    """

    def __init__(
        self, settings: RouterSettings, *, is_usable: Callable[[str], bool]
    ) -> None:
        self.settings = settings
        self._is_usable = is_usable
        #: Tells how many instances are known to serve; None where none is told of.
        self.instance_count: Callable[[], int] | None = None
        #: Asks other instances for a service's retries, where there are any.
        self.request_retries: Callable[[str], Awaitable[bool]] = _ask_nobody
        self._budgets: dict[str, RetryShare] = {}

    def count_request(self, service: str) -> None:
        """Note a caller's request, which earns a part of a retry."""
        budget = self.budget(service).own_budget
        budget.resize(self._reserve())
        budget.deposit()

    async def acquire_retry(self, service: str) -> bool:
        """Take a retry from the service's budget; tell whether there was one."""
        budget = self.budget(service)
        give_up_s = clocks.now_s() + _RETRY_WAIT_S
        while budget.available(now_s=clocks.now_s()) < 1.0:
            is_given = await self.request_retries(service)
            if not is_given or clocks.now_s() >= give_up_s:
                break
        is_paid = budget.withdraw(now_s=clocks.now_s())
        if not is_paid:
            events.log(events.RETRIES_SPENT, service=service)
        return is_paid

    def return_retry(self, service: str) -> None:
        """Take back a retry that was paid for a send which was kept back."""
        self.budget(service).own_budget.give_back()

    def grant_retries(self, service: str, wanted: float) -> float:
        """Take off and return what another instance gets of a service's retries."""
        if service not in self._budgets and not self._is_usable(service):
            return 0.0
        return self.budget(service).grant(wanted)

    def receive_retries(self, service: str, amount: float) -> None:
        """Take in what another instance has taken off its part."""
        self.budget(service).add_grant(amount, now_s=clocks.now_s())

    def budget(self, service: str) -> RetryShare:
        """Return this instance's part of a service's retries."""
        budget = self._budgets.get(service)
        if budget is None:
            ratio = self.settings.bounds.retry_ratio * self.settings.policy.retry_part
            budget = RetryShare(RetryBudget(ratio=ratio, reserve=self._reserve()))
            self._budgets[service] = budget
        return budget

    def _reserve(self) -> float:
        """Return this instance's part of the retries that all may save up."""
        policy = self.settings.policy
        if self.instance_count is None:
            return policy.retry_reserve
        part = self.settings.bounds.retry_slack * policy.retry_slack_part
        instances = self.instance_count()
        return part / instances if instances else _UNKNOWN_RESERVE


async def _ask_nobody(_service: str) -> bool:
    """Stand in for other instances where there are none."""
    return False
