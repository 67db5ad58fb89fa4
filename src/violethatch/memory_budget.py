# SPDX-License-Identifier: MIT
"""Memory that the requests of one process hold together, in bytes.

Load pattern: many callers send large bodies at once, each for as long as a backend
server works, while small requests go on.  A body is reserved before it is read, so that
what does not fit is rejected unread.  A part of the budget is kept for small
reservations, which large ones would otherwise crowd out.

.. versionadded:: 26.8.0
"""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType


__all__ = ["MemoryBudget", "Reservation", "request_budget_bytes"]

#: Max size of a small reservation, in bytes.
_MAX_SMALL_BYTES = 65_536
#: Fraction of the budget that only small reservations may use.
_SMALL_FRACTION = 0.2
#: Fraction of a process's memory limit for everything that it holds at rest and for
#: requests.  The remainder is for tables that grow, for unread bytes, and for memory
#: that the allocator can't reuse.
_USABLE_FRACTION = 0.75
#: Min fraction of a process's memory limit for requests.
_MIN_FRACTION = 0.1
_BYTES_PER_MB = 1_000_000


def request_budget_bytes(*, memory_mb: float, resting_mb: float) -> int:
    """Return the memory for requests that a process's limit leaves, in bytes.

    Args:
        memory_mb: The memory limit of the process, in MB.
        resting_mb: The memory of the process without requests, in MB.

    .. versionadded:: 26.8.0
    """
    free_mb = _USABLE_FRACTION * memory_mb - resting_mb
    return int(_BYTES_PER_MB * max(free_mb, _MIN_FRACTION * memory_mb))


class Reservation:
    """A part of the budget, released at the end of a ``with`` block.

    Attributes:
        held_bytes: Its present size.
    """

    __slots__ = ("_budget", "held_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.held_bytes = 0

    def __enter__(self) -> Reservation:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def grow(self, by_bytes: int) -> bool:
        """Reserve more; return whether it is granted."""
        return self._budget.grow(self, by_bytes)

    def release(self) -> None:
        """Return everything that is held."""
        self._budget.release(self)


class MemoryBudget:
    """The memory for requests of one process.

    Args:
        total_bytes: The size of the budget.

    Attributes:
        in_use_bytes: The size of all reservations.
        peak_bytes: The max size so far.
        on_rejected: Called with the number of bytes that were not granted.

    .. versionadded:: 26.8.0
    """

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.in_use_bytes = 0
        self.peak_bytes = 0
        self.on_rejected: Callable[[int], None] = lambda _bytes: None
        self._large_bytes = 0

    def open(self) -> Reservation:
        """Return an empty reservation."""
        return Reservation(self)

    def grow(self, reservation: Reservation, by_bytes: int) -> bool:
        """Enlarge a reservation if there is room; see `Reservation.grow`."""
        size = reservation.held_bytes + by_bytes
        added_large = _large_part(size) - _large_part(reservation.held_bytes)
        max_large = (1.0 - _SMALL_FRACTION) * self.total_bytes
        is_granted = self.in_use_bytes + by_bytes <= self.total_bytes and (
            not added_large or self._large_bytes + added_large <= max_large
        )
        if not is_granted:
            self.on_rejected(by_bytes)
            return False
        reservation.held_bytes = size
        self._large_bytes += added_large
        self.in_use_bytes += by_bytes
        self.peak_bytes = max(self.peak_bytes, self.in_use_bytes)
        return True

    def release(self, reservation: Reservation) -> None:
        """Return everything that a reservation holds; see `Reservation.release`."""
        self.in_use_bytes -= reservation.held_bytes
        self._large_bytes -= _large_part(reservation.held_bytes)
        reservation.held_bytes = 0


def _large_part(size_bytes: int) -> int:
    """Return the size of a large reservation; 0 for a small one."""
    return size_bytes if size_bytes > _MAX_SMALL_BYTES else 0
