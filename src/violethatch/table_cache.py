# SPDX-License-Identifier: MIT
"""A table of the store as one instance knows it, kept for other instances.

Each answer tells at which time of the store's steady clock it was current, so
that nobody has to trust another instance's clock, and so that two instances
that follow each other prove nothing.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import asyncio
import collections

from typing import NamedTuple

from .store_era import NO_ERA, Position, ProofTime
from .upstream import TableView


#: A version and a time that are older than any.
NEVER = -1
#: How many changes are kept for others, each the keys of its rows.
_MOST_CHANGES = 64


class _Change(NamedTuple):
    """The keys of rows that have changed between two versions of one era."""

    after: int
    version: int
    keys: tuple[str, ...]


class TableCache:
    """A table as one instance knows it, for others to follow.

    .. versionadded:: 26.1.0
    """

    def __init__(self) -> None:
        self.is_unavailable = True
        self._values: dict[str, bytes] = {}
        self._position = Position(NO_ERA, NEVER)
        self._proof = ProofTime(NO_ERA, float(NEVER))
        #: When a whole table replaced another one last.
        self._replaced_at = ProofTime(NO_ERA, float(NEVER))
        self._unavailable_s: float | None = None
        self._changes: collections.deque[_Change] = collections.deque(
            maxlen=_MOST_CHANGES
        )
        self._updated = asyncio.Event()

    @property
    def version(self) -> int:
        """The version up to which changes are known, or `NEVER`."""
        return self._position.version

    def take(self, view: TableView, *, is_whole: bool) -> None:
        """Take in what was read.

        A whole table may be older than what was known, where the store was restored
        from a copy: its own position counts then.
        """
        if is_whole:
            if self.version != NEVER:
                self._replaced_at = view.proof
            self._values.clear()
            self._changes.clear()
        elif view.version > self._position.version:
            self._changes.append(
                _Change(self._position.version, view.version, tuple(view.values))
            )
        for key, value in view.values.items():
            if value is None:
                self._values.pop(key, None)
            else:
                self._values[key] = value
        self._position = view.position
        self._proof = max(self._proof, view.proof)
        self.is_unavailable = False
        self._tell()

    @property
    def unavailable_s(self) -> float | None:
        """When the store was last known to be unavailable, by its own clock."""
        return self._unavailable_s

    def record_outage(self, unavailable_s: float) -> None:
        """Note when the store was unavailable, by its own clock."""
        self._unavailable_s = unavailable_s

    def note_unavailable(self) -> None:
        """Note that nothing is known any more of how the table goes on."""
        self.is_unavailable = True
        self._tell()

    async def updates(
        self,
        *,
        after: int,
        known_s: float,
        wait_s: float,
        era: int | None = None,
        is_patient: bool = False,
    ) -> TableView | None:
        """Return what has changed, or a newer proof; None if there is neither.

        Args:
            after: The version that is known.
            known_s: The newest proof that is known, by the store's clock.
            wait_s: How long to wait for an update, in seconds.
            era: The store's era of *after* and *known_s*; this cache's if omitted.
            is_patient: Whether to wait also while the store can't be read: the
                asker knows of that, and wants to learn of the return.
        """
        try:
            async with asyncio.timeout(wait_s):
                while is_patient or not self.is_unavailable:
                    asked_era = self._position.era if era is None else era
                    known = ProofTime(asked_era, known_s)
                    if self._is_newer(Position(asked_era, after), known):
                        return self._since(Position(asked_era, after), known)
                    await self._updated.wait()
        except TimeoutError:
            return None
        return None

    def _is_newer(self, after: Position, known: ProofTime) -> bool:
        """Tell whether there is something newer, and from a store that answers."""
        if self.is_unavailable or self._position.era < after.era:
            return False
        return self._position > after or self._proof > known

    def _tell(self) -> None:
        """Wake every question that waits for an update."""
        self._updated.set()
        self._updated = asyncio.Event()

    def _since(self, after: Position, known: ProofTime) -> TableView:
        """Return the changes after a position, or the whole table."""
        # An older view may have rows that the store has undone.
        is_replaced = known < self._replaced_at
        changes = None if is_replaced else self._changes_since(after)
        return TableView(
            dict(self._values) if changes is None else changes,
            self._position.version,
            self._proof.store_s,
            is_whole=changes is None,
            is_relayed=True,
            unavailable_s=self._unavailable_s,
            era=self._position.era,
        )

    def _changes_since(self, after: Position) -> dict[str, bytes | None] | None:
        """Return the rows changed after a position, or None if they aren't kept."""
        if after == self._position:
            return {}
        # A later proof at a lower version is that of a store that went back.
        if after.era != self._position.era or after.version > self._position.version:
            return None
        later = [one for one in self._changes if one.version > after.version]
        if not later or later[0].after > after.version:
            return None
        # Of a row that has changed several times only its newest value counts.
        return {key: self._values.get(key) for one in later for key in one.keys}
