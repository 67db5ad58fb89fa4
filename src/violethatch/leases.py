# SPDX-License-Identifier: MIT
"""Leases with epochs, timed by each process's own monotonic clock.

A lease is a row of the platform's table.  Its epoch increases monotonically and is
the fencing token of every order that its holder issues.  Wall clocks aren't compared:
an observer takes a lease over once it has seen the row unchanged for the lease's whole
duration, and the holder stops a margin earlier, counted from before it sent
the write that renewed it.

A store that is restored from a backup may have lost grants.  The row contains the
store's era in which it was written; an observer that takes over a row of an older era
waits for the max duration of a lost grant, and skips more epochs than can have been
lost.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any, NotRequired, TypedDict, cast

import msgspec

from .ports import ABSENT, Put, Row
from .store_era import NO_ERA


#: Max duration of a valid lease, in seconds; a row with a longer one is invalid.
_MAX_DURATION_S = 600.0
#: Epochs skipped for each restore of the store, more than its backup can be behind:
#: a grant takes some tenths of a second, and a backup is some seconds old.
EPOCHS_PER_RESTORE = 1000


class LeaseValue(TypedDict):
    """The value of a lease's row; `era` is set if the store reports one."""

    holder: str
    epoch: int
    renewal: int
    duration_s: float
    era: NotRequired[int]


class _LeaseShape(msgspec.Struct):
    """Validation schema of a lease's row."""

    holder: str
    epoch: Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
    renewal: Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
    duration_s: Annotated[float, msgspec.Meta(ge=0)]
    era: Annotated[int, msgspec.Meta(ge=0, lt=2**40)] = 0


class Lease:
    """A lease as a single process sees it.

    Args:
        row_key: The row's key.
        holder: This process's id.
        duration_s: The validity of a renewal, in seconds.
        margin_s: How long before expiry the holder stops, in seconds.

    .. versionadded:: 26.1.0
    """

    __slots__ = (
        "_confirmed_s",
        "_is_restored",
        "_observed_s",
        "_pending_write",
        "_row",
        "duration_s",
        "era",
        "holder",
        "margin_s",
        "row_key",
    )

    def __init__(
        self, *, row_key: str, holder: str, duration_s: float, margin_s: float
    ) -> None:
        if not 0 < margin_s < duration_s:
            msg = f"need 0 < margin_s < duration_s, not {margin_s} and {duration_s}"
            raise ValueError(msg)
        self.row_key = row_key
        self.holder = holder
        self.duration_s = duration_s
        self.margin_s = margin_s
        #: The store's era; has to be set before a row of that era is observed.
        self.era = NO_ERA
        self._is_restored = False
        self._row = Row(row_key, ABSENT, {})
        self._observed_s: float | None = None
        self._confirmed_s: float | None = None
        #: The latest write without a known result, and its start in monotonic seconds.
        self._pending_write: tuple[Put, float] | None = None

    def restored(self, era: int) -> None:
        """Discard the state observed before the store was restored from a backup.

        The lease stays held if the next row that is read has the latest renewal.
        """
        self.era = era
        self._is_restored = True
        if self._confirmed_s is not None:
            renewal = Put(self.row_key, dict(self._row.value), ABSENT)
            self._pending_write = (renewal, self._confirmed_s)
        self._confirmed_s = self._observed_s = None

    def observe(self, row: Row | None, *, now_s: float) -> None:
        """Update the state from the row that was read at *now_s*.

        If the row is this process's own write, whose response was lost, the lease
        starts at the time of :meth:`wanted_write`.
        """
        observed = row or Row(self.row_key, ABSENT, {})
        if self._pending_write is not None and _is_row_of(
            self._pending_write[0], observed
        ):
            put, sent_s = self._pending_write
            self.written(put, sent_s=sent_s, version=observed.version)
            return
        if self._observed_s is None or observed.version != self._row.version:
            self._row = self._normalized(observed)
            self._observed_s = now_s
            self._confirmed_s = None

    def _normalized(self, row: Row) -> Row:
        """Return a row, or a replacement for a row that isn't a valid lease.

        The replacement's epoch is the row's version: each epoch took a write, so
        that no earlier epoch is higher, and orders under the next epoch are accepted.
        """
        if row.version == ABSENT or _is_lease(row.value):
            return row
        value = LeaseValue(
            holder="", epoch=row.version, renewal=0, duration_s=self.duration_s
        )
        return row._replace(value=cast("dict[str, Any]", value))

    def wanted_write(self, *, now_s: float) -> Put | None:
        """Return the write that renews or acquires the lease, if a write is due.

        It has to be sent immediately: the lease starts at *now_s*.
        """
        put = self._due_write(now_s)
        if put is not None:
            self._pending_write = (put, now_s)
        return put

    def _due_write(self, now_s: float) -> Put | None:
        """Return the write that is due, if any."""
        if self._observed_s is None:
            return None
        row = self._row
        if self.held_epoch(now_s=now_s) is not None:
            renewal = int(row.value["renewal"]) + 1
            return self._put(epoch=int(row.value["epoch"]), renewal=renewal)
        if now_s - self._observed_s < self._takeover_delay_s():
            return None
        epoch = 0 if row.version == ABSENT else int(row.value["epoch"])
        return self._put(epoch=epoch + self._skipped_epochs() + 1, renewal=0)

    def _takeover_delay_s(self) -> float:
        """Return how long the row has to be unchanged before a takeover, in seconds."""
        if self._row.version == ABSENT:
            return self.duration_s if self._is_restored else 0.0
        duration_s = float(self._row.value["duration_s"])
        is_older = self._row_era() < self.era
        return max(duration_s, self.duration_s) if is_older else duration_s

    def _skipped_epochs(self) -> int:
        """Return how many epochs to skip for grants that a restore may have lost."""
        return EPOCHS_PER_RESTORE * max(0, self.era - max(0, self._row_era()))

    def _row_era(self) -> int:
        """Return the store's era in which the row was written, or `NO_ERA`."""
        return int(self._row.value.get("era", NO_ERA))

    def written(self, put: Put, *, sent_s: float, version: int | None = None) -> None:
        """Record that *put*, sent at *sent_s*, has succeeded.

        Args:
            put: The write.
            sent_s: When it was sent, in monotonic seconds.
            version: The row's new version; the next number if omitted.
        """
        self._pending_write = None
        new_version = put.if_version + 1 if version is None else version
        self._row = Row(self.row_key, new_version, dict(put.value))
        self._observed_s = sent_s
        self._confirmed_s = sent_s

    def held_epoch(self, *, now_s: float) -> int | None:
        """Return the epoch under which orders may be issued now, if any."""
        if self._confirmed_s is None:
            return None
        # Observers use the row's duration, which may differ from current settings.
        duration_s = float(self._row.value["duration_s"])
        if now_s - self._confirmed_s >= duration_s - self.margin_s:
            return None
        return int(self._row.value["epoch"])

    @property
    def is_confirmed(self) -> bool:
        """Whether the latest known row is this process's own write."""
        return self._confirmed_s is not None

    def age_s(self, *, now_s: float) -> float:
        """Return the age of the latest renewal, or infinity without a renewal."""
        if self._confirmed_s is None:
            return float("inf")
        return now_s - self._confirmed_s

    def resigned(self) -> Put | None:
        """Return the write that releases the lease for immediate takeover, if held."""
        if self._confirmed_s is None:
            return None
        self._confirmed_s = self._pending_write = None
        value = dict(self._row.value) | {"duration_s": 0.0}
        return Put(self.row_key, value, self._row.version)

    def _put(self, *, epoch: int, renewal: int) -> Put:
        """Return a write that makes this process the holder."""
        value = LeaseValue(
            holder=self.holder,
            epoch=epoch,
            renewal=renewal,
            duration_s=self.duration_s,
        )
        if self.era != NO_ERA:
            value["era"] = self.era
        return Put(self.row_key, cast("dict[str, Any]", value), self._row.version)


def _is_row_of(put: Put, row: Row) -> bool:
    """Return whether *row* is the result of *put*.

    Versions may increase by more than 1 where all rows share a counter; a value
    contains its holder and renewal number, so that it is written only once.
    """
    return row.version > put.if_version and row.value == dict(put.value)


def _is_lease(value: Mapping[str, Any]) -> bool:
    """Return whether a row's value is a valid lease."""
    try:
        lease = msgspec.convert(dict(value), _LeaseShape)
    except msgspec.ValidationError:
        return False
    return lease.duration_s <= _MAX_DURATION_S


class Fence:
    """Rejects orders of superseded holders at the receiver.

    .. versionadded:: 26.1.0
    """

    __slots__ = ("known_epoch",)

    def __init__(self) -> None:
        self.known_epoch = 0

    def admit(self, epoch: int) -> bool:
        """Return whether an order under *epoch* may be executed."""
        if epoch < self.known_epoch:
            return False
        self.known_epoch = epoch
        return True
