# SPDX-License-Identifier: MIT
"""Retries that instances give each other, so that all share one budget.

Load pattern: what fails, fails at few instances at once.  Many instances have a small
part each of the retries that are allowed; the few that meet a dead group or failing
runners spend theirs in a moment, and cut streams that another run would have saved,
while the others' parts lie unused.

An instance without retries asks some others, and each gives away a part of what it
has.  What is given is taken off first and added only once, and only for a short time:
whatever is lost, delayed or doubled on the way, all together never have more than
their parts and what their requests have earned.  Nothing has to be agreed, and who is
cut off has its own part.

Ways weighed: sums of what all have spent, told along a tree (a second old, so that
either each may spend little within that second, or all together too much); a larger
part each (nothing keeps all within the rule's limit).

.. versionadded:: 26.3.0
"""

from __future__ import annotations

import collections

from .retries import RetryBudget


#: The part of what it has that an instance gives away when it is asked: the one who
#: asks has trouble now, but so may the one who gives in a moment.
GIVEN_PART = 0.5
#: How long retries that were given count, in seconds: some more requests that wait for
#: a path.  Kept for longer they would add up with what the giver has earned anew.
GIFT_LIFE_S = 2.0
#: Less than this is not given, as it would not pay its datagram.
_LEAST_GIVEN = 0.05


class RetryShare:
    """One instance's part of a service's retries.

    Args:
        budget: Its own part.

    .. versionadded:: 26.3.0
    """

    def __init__(self, budget: RetryBudget) -> None:
        self.own_budget = budget
        #: What others have given: until when it counts, and how much is left.
        self._given: collections.deque[tuple[float, float]] = collections.deque()

    def available(self, *, now_s: float) -> float:
        """Return how many retries there are, gifts included."""
        self._expire(now_s)
        return self.own_budget.balance + sum(amount for _, amount in self._given)

    def withdraw(self, *, now_s: float) -> bool:
        """Take one retry, gifts first; tell whether there was one."""
        if self.available(now_s=now_s) < 1.0:
            return False
        wanted = 1.0
        while self._given and wanted > 0.0:
            until_s, amount = self._given.popleft()
            taken = min(amount, wanted)
            wanted -= taken
            if amount > taken:
                self._given.appendleft((until_s, amount - taken))
        self.own_budget.balance -= wanted
        return True

    def grant(self, wanted: float) -> float:
        """Take off and return what another instance gets; 0 if it is too little.

        Only of the own part: what was given is not passed on, so that it can't go
        round.
        """
        given = min(wanted, GIVEN_PART * self.own_budget.balance)
        if given < _LEAST_GIVEN:
            return 0.0
        self.own_budget.balance -= given
        return given

    def add_grant(self, amount: float, *, now_s: float) -> None:
        """Take in what another instance has taken off its part."""
        self._given.append((now_s + GIFT_LIFE_S, amount))

    def _expire(self, now_s: float) -> None:
        """Let go of what was given too long ago."""
        while self._given and self._given[0][0] <= now_s:
            self._given.popleft()
