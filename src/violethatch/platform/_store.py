# SPDX-License-Identifier: MIT
"""The platform's store: reads, changes and conditional writes."""

from __future__ import annotations

import base64
import contextlib
import json

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import msgspec

from .. import clocks, deadlines, events
from .._bounded_responses import read_at_most
from .._call_errors import CALL_ERRORS, NOT_CONNECTED
from .._connection_choice import ConnectionChoice
from .._decoding import decoded
from .._placement_lease import LeaseWrite
from .._router_metrics import RouterMetrics
from ..errors import ReadLostError, TableUnavailableError
from ..ports import ABSENT, AnswerLostError, Put
from ..ports import Row as TableRow
from ..router_settings import StoreSection
from ..slices import Slices
from ..store_era import NO_ERA, StoreEra
from ..upstream import HistoryGoneError, TableView
from ._wire import Row, Rows, contents


_OK = 200
_HISTORY_GONE = 410
_CONDITION_FAILED = 412
#: Statuses by which the store says that nothing was done.
_REFUSALS = (429, 503)
#: The longest answer that is read, in bytes; the platform states 1 MB.
_MAX_ANSWER_BYTES = 16_000_000
_MS_PER_S = 1000.0
#: The product's own table.
_OWN_TABLE = "violethatch"
#: The header that names the store's era, in all its answers.
_ERA_HEADER = "Store-Era"
#: Longer numbers are not read as an era.
_MAX_ERA_DIGITS = 15


class _Reply(NamedTuple):
    """An answer of the store.

    Attributes:
        is_current: Whether no answer of a newer era was seen before it.
    """

    status: int
    rows: Rows
    era: int
    is_current: bool


class Store:
    """Calls the store; one call a connection at a time.

    Args:
        settings: Where the store is.
        connections: Make the calls.
        metrics: Counts them.
        era: The newest era seen; each answer's is recorded there.
    """

    def __init__(
        self,
        settings: StoreSection,
        connections: ConnectionChoice,
        metrics: RouterMetrics,
        *,
        era: StoreEra | None = None,
    ) -> None:
        self.era = era or StoreEra()
        self.take_settings(settings)
        self._connections = connections
        self._metrics = metrics
        self._rows = msgspec.json.Decoder(Rows)

    def take_settings(self, settings: StoreSection) -> None:
        """Take the store's address and times in, also while it is used."""
        self._base = f"http://{settings.address}/api"
        self._timeout_s = settings.call_timeout_s

    async def read_table(
        self, table: str, *, answer_s: float | None = None
    ) -> TableView:
        """Return a whole table, as of a moment not before the first page.

        Args:
            table: The table's name.
            answer_s: How long each page's answer may take to begin, in seconds; as long
                as any call's if omitted.

        Raises:
            ReadLostError: The connection broke or fell silent.
            TableUnavailableError: The store refuses or is silent.
        """
        values: dict[str, bytes | None] = {}
        start = ""
        first: _Reply | None = None
        answer_s = self._timeout_s if answer_s is None else answer_s
        while True:
            params = {"table": table} | ({"From": start} if start else {})
            reply = await self._read("rows-get", params, answer_s)
            if reply.status != _OK:
                raise self._unavailable("rows-get", f"status {reply.status}")
            # Changes go on from the first page, so that none falls between.
            first = first or reply
            if reply.era != first.era:
                raise self._unavailable("rows-get", "restored between two pages")
            page = reply.rows
            values |= await Slices().run(contents(page.rows))
            if not page.more or not page.rows:
                return _view(values, first)
            start = page.rows[-1].key + "\0"

    async def read_changes(
        self,
        table: str,
        *,
        after: int,
        wait_s: float,
        answer_s: float | None = None,
        era: int = NO_ERA,
        is_direct: bool = True,
    ) -> TableView:
        """Return changes as soon as there are any, or none after *wait_s*.

        Raises:
            HistoryGoneError: Changes since *after* can't be had any more.
            TableUnavailableError: The store refuses or is silent.
        """
        params = {
            "table": table,
            "StartAfter": str(after),
            "WaitMs": str(int(wait_s * _MS_PER_S)),
        }
        answer_s = self._timeout_s if answer_s is None else answer_s
        reply = await self._read("rows-feed", params, wait_s + answer_s)
        # A restored store may have given the version out again already.
        if reply.status == _HISTORY_GONE or reply.era != era:
            raise HistoryGoneError
        values = await Slices().run(contents(reply.rows.rows))
        view = _view(values, reply)
        return view._replace(version=max(after, view.version))

    async def read_row(self, key: str) -> TableRow | None:
        """Return a row of the product's own table, or None if there is none.

        Raises:
            TableUnavailableError: The store refuses or is silent.
        """
        params = {"table": _OWN_TABLE, "From": key, "limit": "1"}
        reply = await self._read("rows-get", params, self._timeout_s)
        for row in reply.rows.rows:
            if row.key == key:
                return table_row(row)
        return None

    async def write_row(self, put: Put) -> LeaseWrite:
        """Write a row of the product's own table under its condition.

        Raises:
            TableUnavailableError: Nothing was written.
            AnswerLostError: It was written, or not; it can't be told.
        """
        place = {"table": _OWN_TABLE, "part": "", "Key": put.key}
        value = base64.b64encode(json.dumps(put.value).encode()).decode()
        body = {
            "ExpectedRevision": [place | {"ver": put.if_version}],
            "put": [place | {"Value": value}],
            "Remove": [],
        }
        reply = await self._write(body)
        return LeaseWrite(reply.status == _OK, reply.rows.ver)

    async def write_entries(
        self, table: str, put: Mapping[str, bytes], remove: Sequence[str]
    ) -> None:
        """Write and remove rows of a table, whatever they hold.

        Raises:
            TableUnavailableError: Nothing was written.
            AnswerLostError: It was written, or not; it can't be told.
        """
        place = {"table": table, "part": ""}
        body = {
            "ExpectedRevision": [],
            "put": [
                place | {"Key": key, "Value": base64.b64encode(value).decode()}
                for key, value in put.items()
            ],
            "Remove": [place | {"Key": key} for key in remove],
        }
        await self._write(body)

    async def _write(self, body: dict[str, Any]) -> _Reply:
        """Write rows; return the answer.

        Raises:
            TableUnavailableError: Nothing was written.
            AnswerLostError: It was written, or not; it can't be told.
        """
        try:
            reply = await self._call("POST", "rows-tx", self._timeout_s, json=body)
        except NOT_CONNECTED as error:
            raise self._unavailable("rows-tx", repr(error)) from error
        except (TimeoutError, *CALL_ERRORS) as error:
            self._note_lost("rows-tx")
            msg = f"rows-tx: {error!r}"
            raise AnswerLostError(msg) from error
        if reply.status in _REFUSALS:
            raise self._unavailable("rows-tx", f"status {reply.status}")
        if not reply.is_current:
            self._metrics.store_calls.inc({"call": "rows-tx", "outcome": "lost"})
            msg = "rows-tx: an answer of an older era"
            raise AnswerLostError(msg)
        return reply

    async def _read(
        self, call: str, params: dict[str, str], timeout_s: float
    ) -> _Reply:
        """Make a reading call.

        Raises:
            ReadLostError: The connection broke or fell silent.
            TableUnavailableError: The store refuses or is silent.
        """
        try:
            reply = await self._call("GET", call, timeout_s, params=params)
        except (*NOT_CONNECTED, ValueError) as error:
            raise self._unavailable(call, repr(error)) from error
        except (TimeoutError, *CALL_ERRORS) as error:
            self._note_lost(call)
            msg = f"{call}: {error!r}"
            is_timeout = isinstance(error, TimeoutError)
            raise ReadLostError(msg, is_timeout=is_timeout) from error
        if reply.status not in (_OK, _HISTORY_GONE):
            raise self._unavailable(call, f"status {reply.status}")
        if not reply.is_current:
            raise self._unavailable(call, "an answer of an older era")
        return reply

    async def _call(
        self, method: str, call: str, timeout_s: float, **options: Any
    ) -> _Reply:
        """Make a call; one that is given up on takes its connection with it.

        Args:
            method: The call's HTTP method.
            call: The call's name.
            timeout_s: How long its answer may take to begin, in seconds; the rest of
                the answer has the usual limit of a call.
            options: What else aiohttp takes.
        """
        request = self._connections.session.request(
            method, f"{self._base}/{call}", **options
        )
        async with contextlib.AsyncExitStack() as open_answer:
            async with deadlines.until(clocks.now_s() + timeout_s):
                answer = await open_answer.enter_async_context(request)
            async with deadlines.until(clocks.now_s() + self._timeout_s):
                body = await read_at_most(answer, _MAX_ANSWER_BYTES)
        is_read = answer.status in (_OK, _CONDITION_FAILED)
        if is_read or answer.status == _HISTORY_GONE:
            self._metrics.store_calls.inc({"call": call, "outcome": "answered"})
        era = _era(answer.headers.get(_ERA_HEADER))
        is_current = self.era.observe(era, source="store")
        rows = decoded(self._rows, body) if is_read else Rows()
        return _Reply(answer.status, rows, era, is_current)

    def _note_lost(self, call: str) -> None:
        """Count a call whose answer was lost; use no idle connection for a while."""
        self._connections.record_lost_response()
        self._metrics.store_calls.inc({"call": call, "outcome": "lost"})

    def _unavailable(self, call: str, reason: str) -> TableUnavailableError:
        """Count a call that came to nothing; return its error."""
        self._metrics.store_calls.inc({"call": call, "outcome": "unavailable"})
        return TableUnavailableError(f"{call}: {reason}")


def _era(text: str | None) -> int:
    """Return the era that a header names, or `NO_ERA`."""
    if text is None or not text.isdecimal() or len(text) > _MAX_ERA_DIGITS:
        return NO_ERA
    return int(text)


def _view(values: dict[str, bytes | None], reply: _Reply) -> TableView:
    """Return rows as the view that an answer gives of their table."""
    store_s = reply.rows.now_ms / _MS_PER_S
    return TableView(values, reply.rows.ver, store_s, era=reply.era)


def table_row(row: Row) -> TableRow | None:
    """Return a row in the product's words, or None if it is gone."""
    content = row.content
    if content is None:
        return None
    try:
        value = json.loads(content)
    except (ValueError, RecursionError) as error:
        events.log(events.STATE_REFUSED, table=_OWN_TABLE, reason=repr(error))
        value = None
    return TableRow(row.key, row.ver or ABSENT, value if type(value) is dict else {})
