# SPDX-License-Identifier: MIT
"""Retry budgets and learnt stall limits.

.. versionadded:: 26.1.0
"""

from __future__ import annotations


class RetryBudget:
    """Lets retries through only in proportion to the work that succeeds.

    A dying availability zone then can't turn into a storm of retries: once
    the reserve is spent, retries are limited to *ratio* of the successes.

    Args:
        ratio: Retries earned by each success.
        reserve: The most retries that may be saved up; also the start value.

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
        """Note a success."""
        self.balance = min(self.reserve, self.balance + self.ratio)

    def resize(self, reserve: float) -> None:
        """Change the most that may be saved up; what is gained is there at once.

        Args:
            reserve: The most retries that may be saved up from now on.
        """
        self.balance = min(reserve, self.balance + max(0.0, reserve - self.reserve))
        self.reserve = reserve

    def withdraw(self) -> bool:
        """Take one retry; tell whether there was one."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True

    def give_back(self) -> None:
        """Take one retry back that was not used."""
        self.balance = min(self.reserve, self.balance + 1.0)


class StallLimit:
    """Learns how long a runner's step may take before it counts as hung.

    The limit is the mean plus some deviations of the step times seen, as TCP
    does for its retransmission timer (RFC 6298), never below a floor, and
    grows with the number of positions of a step.

    Args:
        initial_s: The limit before anything was seen, in seconds.
        floor_s: The least limit, in seconds.
        deviations: How many mean deviations to allow.

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
        """Learn from a single-position step that took *elapsed_s*."""
        if self.mean_s == 0.0:
            self.mean_s = elapsed_s
            self.deviation_s = elapsed_s / 2
            return
        self.deviation_s += (abs(elapsed_s - self.mean_s) - self.deviation_s) / 4
        self.mean_s += (elapsed_s - self.mean_s) / 8

    def limit_s(self, *, positions: int = 1) -> float:
        """Return the limit for a step of so many positions, in seconds."""
        if self.mean_s == 0.0 or positions > 1:
            return max(self.initial_s, self._learnt_s() * positions / 8)
        return max(self.floor_s, self._learnt_s())

    def _learnt_s(self) -> float:
        """Return the learnt limit of a single-position step, in seconds."""
        return self.mean_s + self.deviations * self.deviation_s
