# SPDX-License-Identifier: MIT
"""Leases with epochs, judged by each side's own monotonic clock.

A lease is a row of the platform's table.  Its epoch only grows and is the
fence of every order that its holder gives.  No wall clock is compared: an
observer takes a lease over once it has seen the row unchanged for its whole
duration, and the holder stops a margin earlier, counted from before it sent
the write that renewed it.

A store that is restored from a copy may have lost grants.  The row names the store's
era in which it was written; an observer that takes over a row of an older era waits for
as long as a lost grant may last, and leaves out more epochs than can have been lost.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any, NotRequired, TypedDict, cast

import msgspec

from .ports import ABSENT, Put, Row
from .store_era import NO_ERA


#: No lease lasts longer, in seconds; a row that says so is no lease.
_LONGEST_S = 600.0
#: The epochs left out for each restore of the store, more than its copy can be behind:
#: a grant takes some tenths of a second, and a copy is some seconds old.
EPOCHS_PER_RESTORE = 1000


class LeaseValue(TypedDict):
    """The value of a lease's row; `era` stands in it where the store names one."""

    holder: str
    epoch: int
    renewal: int
    duration_s: float
    era: NotRequired[int]


class _LeaseShape(msgspec.Struct):
    """What a lease's row has to look like."""

    holder: str
    epoch: Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
    renewal: Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
    duration_s: Annotated[float, msgspec.Meta(ge=0)]
    era: Annotated[int, msgspec.Meta(ge=0, lt=2**40)] = 0


class Lease:
    """One process's view of one lease.

    Args:
        row_key: The row's key.
        holder: This process's id.
        duration_s: How long a renewal lasts, in seconds.
        margin_s: How much earlier the holder stops, in seconds.

    .. versionadded:: 26.1.0
    """

    __slots__ = (
        "_asked",
        "_confirmed_s",
        "_is_restored",
        "_row",
        "_seen_s",
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
        #: The store's era; set before a row of it is observed.
        self.era = NO_ERA
        self._is_restored = False
        self._row = Row(row_key, ABSENT, {})
        self._seen_s: float | None = None
        self._confirmed_s: float | None = None
        #: The latest write that was wanted, and when.
        self._asked: tuple[Put, float] | None = None

    def restored(self, era: int) -> None:
        """Forget what was seen before the store was restored from a copy.

        The lease is held on if the copy has the latest renewal, which the next row
        shows.
        """
        self.era = era
        self._is_restored = True
        if self._confirmed_s is not None:
            renewal = Put(self.row_key, dict(self._row.value), ABSENT)
            self._asked = (renewal, self._confirmed_s)
        self._confirmed_s = self._seen_s = None

    def observe(self, row: Row | None, *, now_s: float) -> None:
        """Take note of the row as it was read at *now_s*.

        A row that is one's own write, whose answer was lost, counts from when
        that write was wanted.
        """
        seen = row or Row(self.row_key, ABSENT, {})
        if self._asked is not None and _is_row_of(self._asked[0], seen):
            put, sent_s = self._asked
            self.written(put, sent_s=sent_s, version=seen.version)
            return
        if self._seen_s is None or seen.version != self._row.version:
            self._row = self._understood(seen)
            self._seen_s = now_s
            self._confirmed_s = None

    def _understood(self, row: Row) -> Row:
        """Return a row, or what is gone by where another writer has left no lease.

        Its version counts as its epoch: each epoch was a write, so that none so far
        is higher, and orders under the next one are taken.
        """
        if row.version == ABSENT or _is_lease(row.value):
            return row
        value = LeaseValue(
            holder="", epoch=row.version, renewal=0, duration_s=self.duration_s
        )
        return row._replace(value=cast("dict[str, Any]", value))

    def wanted_write(self, *, now_s: float) -> Put | None:
        """Return the write that renews or takes the lease, if one is due.

        It has to be sent at once: the lease counts from *now_s*.
        """
        put = self._due_write(now_s)
        if put is not None:
            self._asked = (put, now_s)
        return put

    def _due_write(self, now_s: float) -> Put | None:
        """Return the write that is due, if any."""
        if self._seen_s is None:
            return None
        row = self._row
        if self.held_epoch(now_s=now_s) is not None:
            renewal = int(row.value["renewal"]) + 1
            return self._put(epoch=int(row.value["epoch"]), renewal=renewal)
        if now_s - self._seen_s < self._wait_s():
            return None
        epoch = 0 if row.version == ABSENT else int(row.value["epoch"])
        return self._put(epoch=epoch + self._lost_epochs() + 1, renewal=0)

    def _wait_s(self) -> float:
        """Return for how long the row has to stay as it is before a takeover."""
        if self._row.version == ABSENT:
            return self.duration_s if self._is_restored else 0.0
        duration_s = float(self._row.value["duration_s"])
        is_older = self._row_era() < self.era
        return max(duration_s, self.duration_s) if is_older else duration_s

    def _lost_epochs(self) -> int:
        """Return how many epochs to leave out for grants that a restore has lost."""
        return EPOCHS_PER_RESTORE * max(0, self.era - max(0, self._row_era()))

    def _row_era(self) -> int:
        """Return the store's era in which the row was written, if it tells."""
        return int(self._row.value.get("era", NO_ERA))

    def written(self, put: Put, *, sent_s: float, version: int | None = None) -> None:
        """Note that *put*, sent at *sent_s*, has taken effect.

        Args:
            put: The write.
            sent_s: When it was sent, in monotonic seconds.
            version: The version that the row got; the next one if omitted.
        """
        self._asked = None
        got = put.if_version + 1 if version is None else version
        self._row = Row(self.row_key, got, dict(put.value))
        self._seen_s = sent_s
        self._confirmed_s = sent_s

    def held_epoch(self, *, now_s: float) -> int | None:
        """Return the epoch under which orders may be given now, if any."""
        if self._confirmed_s is None:
            return None
        # Others go by the row, whatever the settings say by now.
        duration_s = float(self._row.value["duration_s"])
        if now_s - self._confirmed_s >= duration_s - self.margin_s:
            return None
        return int(self._row.value["epoch"])

    @property
    def is_confirmed(self) -> bool:
        """Whether the latest known row is one's own renewal."""
        return self._confirmed_s is not None

    def age_s(self, *, now_s: float) -> float:
        """Return the age of the latest renewal; infinite without one."""
        if self._confirmed_s is None:
            return float("inf")
        return now_s - self._confirmed_s

    def resigned(self) -> Put | None:
        """Return the write that lets others take over at once, if held."""
        if self._confirmed_s is None:
            return None
        self._confirmed_s = self._asked = None
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
    """Tell whether *row* is what *put* has written.

    Versions may rise by more than one, where one counter serves all rows; a
    value names its holder and its renewal, so that it is written only once.
    """
    return row.version > put.if_version and row.value == dict(put.value)


def _is_lease(value: Mapping[str, Any]) -> bool:
    """Tell whether a row's value is a lease's."""
    try:
        lease = msgspec.convert(dict(value), _LeaseShape)
    except msgspec.ValidationError:
        return False
    return lease.duration_s <= _LONGEST_S


class Fence:
    """The receiving end: refuses orders of a superseded holder.

    .. versionadded:: 26.1.0
    """

    __slots__ = ("known_epoch",)

    def __init__(self) -> None:
        self.known_epoch = 0

    def admit(self, epoch: int) -> bool:
        """Tell whether an order under *epoch* may be carried out."""
        if epoch < self.known_epoch:
            return False
        self.known_epoch = epoch
        return True
