# SPDX-License-Identifier: MIT
"""Adapters to the platform's table, object store and instance list."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, TypedDict

import aiohttp
import msgspec

from ._bounded_responses import MAX_BODY_BYTES, read_at_most
from ._decoding import decoded
from ._metrics import Metrics
from .errors import TableUnavailableError
from .ports import AnswerLostError, ListedInstance, Put, Row


_CONFLICT = 409
_NOT_MODIFIED = 304
#: Answers that say that nothing was written.
_REFUSALS = frozenset({400, 401, 403, 429, 503})


class HttpTable:
    """The table over HTTP.

    Args:
        session: Makes the calls.
        url: The table's address.
        timeout_s: How long a call may take, in seconds.
        metrics: Where to count.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        *,
        url: str,
        timeout_s: float,
        metrics: Metrics,
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._metrics = metrics

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist.

        Raises:
            TableUnavailableError: The table does not answer.
        """
        body = msgspec.json.encode({"keys": list(keys)})
        try:
            async with self._session.post(
                f"{self._url}/read", data=body, timeout=self._timeout
            ) as answer:
                data = await read_at_most(answer, MAX_BODY_BYTES)
                answer.raise_for_status()
        except (aiohttp.ClientError, TimeoutError) as error:
            self._count("read", "failed")
            raise TableUnavailableError(_describe(error), retry_after_s=2.0) from error
        rows = _rows(data, "rows")
        if rows is None:
            self._count("read", "failed")
            msg = "the table's answer is malformed"
            raise TableUnavailableError(msg, retry_after_s=2.0)
        self._count("read", "ok")
        return {row.key: row for row in rows}

    async def transact(self, puts: Sequence[Put]) -> list[Row]:
        """Write all of *puts* or nothing; return the conflicting rows.

        Raises:
            TableUnavailableError: Nothing was written.
            AnswerLostError: All was written, or nothing; it can't be told.
        """
        body = msgspec.json.encode({"puts": [put._asdict() for put in puts]})
        try:
            async with self._session.post(
                f"{self._url}/transact", data=body, timeout=self._timeout
            ) as answer:
                data = await read_at_most(answer, MAX_BODY_BYTES)
                status = answer.status
        except aiohttp.ClientConnectorError as error:
            self._count("write", "failed")
            raise TableUnavailableError(_describe(error), retry_after_s=2.0) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            self._count("write", "answer_lost")
            raise AnswerLostError(_describe(error)) from error
        if status in _REFUSALS:
            self._count("write", "failed")
            msg = f"table answered {status}"
            raise TableUnavailableError(msg, retry_after_s=2.0)
        conflicts = _rows(data, "conflicts") if status == _CONFLICT else None
        if conflicts:
            self._count("write", "conflict")
            return conflicts
        if status >= 300:
            # A conflict that can't be read is no better than no answer.
            self._count("write", "answer_lost")
            msg = f"table answered {status}"
            raise AnswerLostError(msg)
        self._count("write", "ok")
        return []

    def _count(self, call: str, outcome: str) -> None:
        self._metrics.table_calls.inc({"call": call, "outcome": outcome})


class HttpObjectStore:
    """The object store over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, *, url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def put(self, key: str, data: bytes) -> None:
        """Store an object.

        Raises:
            TableUnavailableError: The store does not answer.
        """
        await self._call("PUT", key, data)

    async def get(self, key: str) -> bytes:
        """Return an object.

        Raises:
            TableUnavailableError: The store does not answer.
        """
        return await self._call("GET", key, None)

    async def _call(self, method: str, key: str, data: bytes | None) -> bytes:
        try:
            async with self._session.request(
                method, f"{self._url}/{key}", data=data, timeout=self._timeout
            ) as answer:
                answer.raise_for_status()
                return await read_at_most(answer, MAX_BODY_BYTES)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise TableUnavailableError(_describe(error), retry_after_s=2.0) from error


class HttpInstanceList:
    """The instance list over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, *, url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._etag = ""
        self._listed: list[ListedInstance] = []

    async def instances(self) -> list[ListedInstance]:
        """Return the list; only a changed one is transferred.

        Raises:
            TableUnavailableError: The platform does not answer.
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            async with self._session.get(
                self._url, timeout=self._timeout, headers=headers
            ) as answer:
                answer.raise_for_status()
                if answer.status == _NOT_MODIFIED:
                    return self._listed
                data = await read_at_most(answer, MAX_BODY_BYTES)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise TableUnavailableError(_describe(error)) from error
        try:
            self._listed = decoded(_INSTANCES, data)["instances"]
        except (ValueError, KeyError) as error:
            msg = f"the list is malformed: {error}"
            raise TableUnavailableError(msg) from error
        self._etag = answer.headers.get("ETag", "")
        return self._listed


class _WireRow(TypedDict):
    """A row as the table sends it; NamedTuples don't decode from objects."""

    key: str
    version: int
    value: dict[str, Any]


_INSTANCES = msgspec.json.Decoder(dict[str, list[ListedInstance]])
_ROW_LISTS = msgspec.json.Decoder(dict[str, list[_WireRow]])


def _rows(data: bytes, name: str) -> list[Row] | None:
    """Decode a list of rows, None if it is malformed."""
    try:
        lists = decoded(_ROW_LISTS, data)
    except ValueError:
        return None
    return [
        Row(row["key"], row["version"], row["value"]) for row in lists.get(name, [])
    ]


def _describe(error: BaseException) -> str:
    """Return an error's text; a timeout has none of its own."""
    return str(error) or type(error).__name__
