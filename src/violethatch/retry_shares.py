# SPDX-License-Identifier: MIT
"""Retries granted between instances, so that they share one retry budget.

Load pattern: failures affect few instances at once.  Each of many instances has a
small share of the allowed retries.  The few that encounter a failed group or failing
runners exhaust theirs immediately and abort streams that a retry would have saved,
while the other shares remain unused.

An instance without retries requests some from others, and each grants a fraction of
its balance.  A grant is withdrawn before it is sent, added only once, and expires soon.
With lost, delayed or duplicated datagrams, the total thus never exceeds the shares
and the retries earned by requests.  No consensus is required, and a partitioned
instance keeps its own share.

Rejected alternatives: totals of spent retries, aggregated along a tree (one second old,
so that either each instance may spend little within that second, or the total exceeds
the limit); larger shares (nothing enforces the limit of the total).

.. versionadded:: 26.3.0
"""

from __future__ import annotations

import collections

from .retries import RetryBudget


#: Fraction of its balance that an instance grants per request: the requesting instance
#: needs retries now, but the granting one may need some soon.
GRANT_FRACTION = 0.5
#: Lifetime of granted retries, in seconds: enough for a few more requests that wait for
#: a path.  Longer ones would add up with what the granting instance earns meanwhile.
GRANT_TTL_S = 2.0
#: Min grant; less is not worth a datagram.
_MIN_GRANT = 0.05


class RetryShare:
    """One instance's share of a service's retries.

    Args:
        budget: The instance's own budget.

    .. versionadded:: 26.3.0
    """

    def __init__(self, budget: RetryBudget) -> None:
        self.own_budget = budget
        #: Received grants: expiry time and remaining amount.
        self._grants: collections.deque[tuple[float, float]] = collections.deque()

    def available(self, *, now_s: float) -> float:
        """Return the available retries, including grants."""
        self._expire(now_s)
        return self.own_budget.balance + sum(amount for _, amount in self._grants)

    def withdraw(self, *, now_s: float) -> bool:
        """Withdraw one retry, first from grants; return whether one was available."""
        if self.available(now_s=now_s) < 1.0:
            return False
        remaining = 1.0
        while self._grants and remaining > 0.0:
            expiry_s, amount = self._grants.popleft()
            used = min(amount, remaining)
            remaining -= used
            if amount > used:
                self._grants.appendleft((expiry_s, amount - used))
        self.own_budget.balance -= remaining
        return True

    def grant(self, requested: float) -> float:
        """Withdraw and return the amount granted to another instance; 0 if too small.

        Received grants are excluded, so that they can't circulate.
        """
        granted = min(requested, GRANT_FRACTION * self.own_budget.balance)
        if granted < _MIN_GRANT:
            return 0.0
        self.own_budget.balance -= granted
        return granted

    def add_grant(self, amount: float, *, now_s: float) -> None:
        """Add an amount that another instance has granted."""
        self._grants.append((now_s + GRANT_TTL_S, amount))

    def _expire(self, now_s: float) -> None:
        """Discard expired grants."""
        while self._grants and self._grants[0][0] <= now_s:
            self._grants.popleft()
