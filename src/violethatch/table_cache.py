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

from .upstream import TableView


#: A version and a time that are older than any.
NEVER = -1
#: How many changes are kept for others, each some KB.
_MOST_CHANGES = 64


class _Change(NamedTuple):
    """Rows that have changed between two versions."""

    after: int
    view: TableView


class TableCache:
    """A table as one instance knows it, for others to follow.

    .. versionadded:: 26.1.0
    """

    def __init__(self) -> None:
        self.is_away = True
        self._values: dict[str, bytes] = {}
        self._version = NEVER
        self._store_s = float(NEVER)
        self._returned_s: float | None = None
        self._changes: collections.deque[_Change] = collections.deque(
            maxlen=_MOST_CHANGES
        )
        self._news = asyncio.Event()

    @property
    def version(self) -> int:
        """The version up to which changes are known, or `NEVER`."""
        return self._version

    def take(self, view: TableView, *, is_whole: bool) -> None:
        """Take in what was read."""
        if is_whole:
            self._values.clear()
            self._changes.clear()
        elif view.version > self._version:
            self._changes.append(_Change(self._version, view))
        for key, value in view.values.items():
            if value is None:
                self._values.pop(key, None)
            else:
                self._values[key] = value
        self._version = max(self._version, view.version)
        self._store_s = max(self._store_s, view.store_s)
        self.is_away = False
        self._tell()

    def returned(self, store_s: float) -> None:
        """Note that the store answers again since its time *store_s*."""
        self._returned_s = store_s

    def note_away(self) -> None:
        """Note that nothing is known any more of how the table goes on."""
        self.is_away = True
        self._tell()

    async def news(
        self, *, after: int, known_s: float, wait_s: float, is_patient: bool = False
    ) -> TableView | None:
        """Return what has changed, or a newer proof; None if there is neither.

        Args:
            after: The version that is known.
            known_s: The newest proof that is known, by the store's clock.
            wait_s: How long to wait for news, in seconds.
            is_patient: Whether to wait also while the store can't be read: the
                asker knows of that, and wants to learn of the return.
        """
        try:
            async with asyncio.timeout(wait_s):
                while is_patient or not self.is_away:
                    if self._is_news(after, known_s):
                        return self._since(after)
                    await self._news.wait()
        except TimeoutError:
            return None
        return None

    def _is_news(self, after: int, known_s: float) -> bool:
        """Tell whether there is something newer, and from a store that answers."""
        is_newer = self._version > after or self._store_s > known_s
        return is_newer and not self.is_away

    def _tell(self) -> None:
        """Wake all who wait for news."""
        self._news.set()
        self._news = asyncio.Event()

    def _since(self, after: int) -> TableView:
        """Return the changes after a version, or the whole table."""
        values: dict[str, bytes | None] = {}
        is_whole = False
        if after < self._version:
            later = [one for one in self._changes if one.view.version > after]
            is_whole = not later or later[0].after > after
            for change in later:
                values.update(change.view.values)
            if is_whole:
                values = dict(self._values)
        return TableView(
            values,
            max(after, self._version),
            self._store_s,
            is_whole=is_whole,
            is_relayed=True,
            returned_s=self._returned_s,
        )
