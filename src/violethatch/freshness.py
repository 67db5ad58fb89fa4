# SPDX-License-Identifier: MIT
"""How old the newest proof is that a view of the store is current.

A proof counts from a moment at which the store has surely not yet answered,
so that its age is never underestimated.  The store's steady clock is mapped
to the local one by the bound that each call gives: the store read its clock
after the call was sent.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

from . import clocks
from .store_era import NO_ERA


class StoreClock:
    """Maps the store's steady clock to the local monotonic clock.

    .. versionadded:: 26.1.0
    """

    def __init__(self) -> None:
        self._offset_s: float | None = None
        self._era = NO_ERA

    def observe(self, store_s: float, *, sent_s: float, era: int = NO_ERA) -> None:
        """Learn from a call sent at *sent_s* that was answered at *store_s*.

        A newer era's clock replaces the one before, which may have shown another time.
        """
        offset_s = sent_s - store_s
        if self._offset_s is None or era > self._era or offset_s > self._offset_s:
            self._offset_s = offset_s
        self._era = max(era, self._era)

    @property
    def era(self) -> int:
        """The newest era of which a call was observed."""
        return self._era

    @property
    def is_known(self) -> bool:
        """Whether a call was observed."""
        return self._offset_s is not None

    def now_s(self) -> float | None:
        """Return about what the store's clock shows now; None if unknown."""
        return self.latest_store_s(clocks.now_s())

    def latest_store_s(self, local_s: float) -> float | None:
        """Return a time of the store that is not before *local_s*; None if unknown."""
        return None if self._offset_s is None else local_s - self._offset_s

    def past_local_s(self, store_s: float) -> float | None:
        """Return a local time that is not after the store's time *store_s*.

        There is none while the offset is unknown, or if it would be in the future: the
        time is then one of another era's clock.
        """
        if self._offset_s is None:
            return None
        local_s = self.earliest_local_s(store_s)
        return local_s if local_s <= clocks.now_s() else None

    def earliest_local_s(self, store_s: float) -> float:
        """Return a local time that is not after the store's time *store_s*."""
        if self._offset_s is None:
            msg = "no call was observed yet"
            raise ValueError(msg)
        return store_s + self._offset_s


class Freshness:
    """The age of a view's newest proof.

    Args:
        limit_s: From which age on the view is no longer proven, in seconds.

    .. versionadded:: 26.1.0
    """

    def __init__(self, *, limit_s: float) -> None:
        self.limit_s = limit_s
        self._proven_s: float | None = None
        self._is_doubted = False

    def proven(self, at_s: float) -> None:
        """Note that the view was current at local time *at_s*.

        A view that is doubted is not proven by a newer read either.
        """
        if self._is_doubted:
            return
        if self._proven_s is None or at_s > self._proven_s:
            self._proven_s = at_s

    def doubt(self) -> None:
        """Note that a newer view exists which can't be understood."""
        self._is_doubted = True

    def trust(self) -> None:
        """Note that the newest view was understood."""
        self._is_doubted = False

    def age_s(self, *, now_s: float) -> float:
        """Return the age of the newest proof; infinite without one."""
        return float("inf") if self._proven_s is None else now_s - self._proven_s

    def is_fresh(self, *, now_s: float) -> bool:
        """Tell whether the view counts as current."""
        return self.age_s(now_s=now_s) < self.limit_s
