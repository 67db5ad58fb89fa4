# SPDX-License-Identifier: MIT
"""What an instance needs in order to read tables from another one.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

from typing import Protocol

from .instances import InstanceEntry
from .store_era import NO_ERA
from .upstream import TableView


class PeerSilentError(Exception):
    """Another instance gave no answer, or has no newer proof.

    .. versionadded:: 26.1.0
    """


class NoUpdateError(PeerSilentError):
    """Another instance has nothing newer than what was known.

    .. versionadded:: 26.1.0
    """


class PeerRefusedError(PeerSilentError):
    """The store refuses another instance too.

    Args:
        message: What happened.
        unavailable_s: When the store was last known to be unavailable, by its own
            clock; None if unknown.

    .. versionadded:: 26.2.0
    """

    def __init__(self, message: str, *, unavailable_s: float | None = None) -> None:
        super().__init__(message)
        self.unavailable_s = unavailable_s


class PeerTokenRefusedError(PeerSilentError):
    """Another process than the entry's has an instance's address by now.

    .. versionadded:: 26.13.0
    """


class PeerLostError(PeerSilentError):
    """The connection to another instance broke or fell silent; it may be well.

    .. versionadded:: 26.7.0
    """


class PeerReads(Protocol):
    """Asks other instances.

    .. versionadded:: 26.1.0
    """

    async def changes(
        self,
        peer: InstanceEntry,
        table: str,
        *,
        after: int,
        known_s: float,
        wait_s: float,
        margin_s: float,
        era: int = NO_ERA,
        is_patient: bool = False,
    ) -> TableView:
        """Return a table's changes with a newer proof than *known_s*.

        Args:
            peer: Who is asked.
            table: The table's name.
            after: The version that is known.
            known_s: The newest proof that is known.
            wait_s: How long the instance may wait for an update, in seconds.
            margin_s: How much longer its answer may take, in seconds.
            era: The store's era of *after* and *known_s*.
            is_patient: Whether it should wait also while the store is unavailable.

        Raises:
            NoUpdateError: There was none in time.
            PeerRefusedError: The store refuses it.
            PeerTokenRefusedError: It has started again since its entry was written.
            PeerLostError: The connection broke or fell silent.
            PeerSilentError: It gave no answer.
        """
