# SPDX-License-Identifier: MIT
"""Retry budgets and adaptive stall limits.

.. versionadded:: 26.1.0
"""

from __future__ import annotations


class RetryBudget:
    """Limits retries to a fraction of the successful requests.

    This prevents a retry storm when an availability zone fails: once the
    reserve is used up, retries are limited to *ratio* of the successes.

    Args:
        ratio: Retries added per success.
        reserve: Max balance; also the initial one.

    .. versionadded:: 26.1.0
    """

    __slots__ = ("balance", "ratio", "reserve")

    def __init__(self, *, ratio: float = 0.1, reserve: float = 50.0) -> None:
        if ratio < 0 or reserve <= 0:
            msg = f"need ratio >= 0 and reserve > 0, not {ratio} and {reserve}"
            raise ValueError(msg)
        self.ratio = ratio
        self.reserve = reserve
        self.balance = reserve

    def deposit(self) -> None:
        """Add to the balance for a success."""
        self.balance = min(self.reserve, self.balance + self.ratio)

    def resize(self, reserve: float) -> None:
        """Set the max balance; an increase is added to the balance.

        Args:
            reserve: The new max balance.
        """
        self.balance = min(reserve, self.balance + max(0.0, reserve - self.reserve))
        self.reserve = reserve

    def withdraw(self) -> bool:
        """Withdraw one retry; return whether the balance allowed it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True

    def give_back(self) -> None:
        """Return one unused retry to the balance."""
        self.balance = min(self.reserve, self.balance + 1.0)


class StallLimit:
    """Estimates the time after which a runner's step is considered stalled.

    The limit is the mean of the observed step times plus a multiple of their
    mean deviation, as for TCP's retransmission timer (RFC 6298), with a lower
    bound.  It grows with the number of positions of a step.

    Args:
        initial_s: Limit before the first observation, in seconds.
        floor_s: Min limit, in seconds.
        deviations: Multiple of the mean deviation that is added to the mean.

    .. versionadded:: 26.1.0
    """

    __slots__ = ("deviation_s", "deviations", "floor_s", "initial_s", "mean_s")

    def __init__(
        self,
        *,
        initial_s: float = 2.0,
        floor_s: float = 0.25,
        deviations: float = 6.0,
    ) -> None:
        self.initial_s = initial_s
        self.floor_s = floor_s
        self.deviations = deviations
        self.mean_s = 0.0
        self.deviation_s = 0.0

    def observe(self, elapsed_s: float) -> None:
        """Update the estimate with a single-position step that took *elapsed_s*."""
        if self.mean_s == 0.0:
            self.mean_s = elapsed_s
            self.deviation_s = elapsed_s / 2
            return
        self.deviation_s += (abs(elapsed_s - self.mean_s) - self.deviation_s) / 4
        self.mean_s += (elapsed_s - self.mean_s) / 8

    def limit_s(self, *, positions: int = 1) -> float:
        """Return the limit for a step of *positions* positions, in seconds."""
        if self.mean_s == 0.0 or positions > 1:
            return max(self.initial_s, self._estimate_s() * positions / 8)
        return max(self.floor_s, self._estimate_s())

    def _estimate_s(self) -> float:
        """Return the estimated limit of a single-position step, in seconds."""
        return self.mean_s + self.deviations * self.deviation_s
