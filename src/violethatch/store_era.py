# SPDX-License-Identifier: MIT
"""The store's era: the history that a version belongs to.

A store that is restored from a copy starts a new era.  Versions fall and are given out
again for other contents, so that versions of two eras can't be compared.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from . import events


#: The era of an answer that names none.
NO_ERA = -1


class Position(NamedTuple):
    """A place in the store's history; positions compare by era first.

    .. versionadded:: 26.7.0
    """

    era: int
    version: int


class ProofTime(NamedTuple):
    """A time of the store's steady clock, which may be set back by a restore.

    .. versionadded:: 26.7.0
    """

    era: int
    store_s: float


class TableState(NamedTuple):
    """What one instance's view of a table rests on.

    Attributes:
        era: The store's era.
        version: The version up to which changes are known.
        source: The instance that the newest proof came from; `store` for the store.
        proof_age_s: The age of the newest proof, in seconds; None without one.

    .. versionadded:: 26.7.0
    """

    era: int
    version: int | None
    source: str | None
    proof_age_s: float | None


#: The state of a table that was not read yet.
UNREAD = TableState(NO_ERA, None, None, None)


class StoreEra:
    """The newest era that one instance has seen in any answer.

    .. versionadded:: 26.7.0
    """

    def __init__(self) -> None:
        self.current = NO_ERA
        self._listeners: list[Callable[[], None]] = []

    def on_restore(self, listener: Callable[[], None]) -> None:
        """Call *listener* whenever a newer era replaces a known one."""
        self._listeners.append(listener)

    def observe(self, era: int, *, source: str) -> bool:
        """Record the era of an answer; return whether it is the newest one.

        Args:
            era: The era that the answer names, or `NO_ERA`.
            source: The instance that answered; `store` for the store itself.
        """
        if era < self.current:
            events.log(
                events.STORE_ERA_OLD, era=era, current_era=self.current, source=source
            )
            return False
        before, self.current = self.current, era
        if before not in (era, NO_ERA):
            events.log(events.STORE_RESTORED, era=era, era_before=before, source=source)
            for listener in self._listeners:
                listener()
        return True
