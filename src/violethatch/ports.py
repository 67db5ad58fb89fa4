# SPDX-License-Identifier: MIT
"""What the decision logic needs of the world, as `Protocol` types.

Adapters implement these; nothing outside an adapter knows a URL, a header or
a status.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, Protocol, TypedDict


#: The version of a row that must not exist yet.
ABSENT = 0


class Row(NamedTuple):
    """A row of the platform's table; an absent one has version `ABSENT`."""

    key: str
    version: int
    value: dict[str, Any]


class Put(NamedTuple):
    """A conditional write: it takes effect only if the row has this version."""

    key: str
    value: Mapping[str, Any]
    if_version: int


class AnswerLostError(Exception):
    """A write may or may not have taken effect: its answer never came."""


class Table(Protocol):
    """The platform's transactional table."""

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist.

        Raises:
            TableUnavailableError: The table does not answer.
        """

    async def transact(self, puts: Sequence[Put]) -> list[Row]:
        """Write all of *puts* or nothing.

        Returns:
            The rows whose version did not match; empty if all was written.

        Raises:
            TableUnavailableError: Nothing was written.
            AnswerLostError: All was written, or nothing; it can't be told.
        """


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, key: str, data: bytes) -> None:
        """Store an object.  Storing it again is harmless."""

    async def get(self, key: str) -> bytes:
        """Return an object."""


class ListedInstance(TypedDict):
    """An instance or backend server in the platform's list."""

    id: str
    role: str
    availability_zone: str
    address: str
    service: str
    leaving: bool


class InstanceList(Protocol):
    """The platform's list of live and leaving instances, which lags."""

    async def instances(self) -> list[ListedInstance]:
        """Return the list."""
