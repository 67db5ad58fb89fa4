# SPDX-License-Identifier: MIT
"""Reading a table: from the store, or from an instance that reads it for others.

What an instance has read it keeps for others in a `TableCache`.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import math
import time

from collections.abc import Collection
from typing import Protocol

from . import events
from .errors import TableUnavailableError
from .instances import InstanceDirectory, InstanceEntry
from .table_cache import NEVER
from .upstream import TableSource, TableView


#: The bound on how late a change may be in force that is assumed unless a site
#: states another, in seconds.
CHANGE_BOUND_S = 2.0
#: The part of that bound for which a read of the store waits whose reader others
#: follow.
_READER_PART = 0.4
#: The part of it for which the others let their reader wait for its next proof:
#: that takes a read, the pause after one that brought changes, and a slow answer.
_FOLLOW_PART = 0.6
#: The part of it for which they then still wait for the answer, so that they
#: notice a reader that is cut off after three quarters of the bound.
_MARGIN_PART = 0.15
#: For how long peers are asked before the store after it gave no answer, in
#: seconds.
_STORE_REST_S = 2.0
#: How many helpers are asked in one try.
_MOST_HELPERS = 2


class PeerSilentError(Exception):
    """Another instance gave no answer, or has no newer proof.

    .. versionadded:: 26.1.0
    """


class NoNewsError(PeerSilentError):
    """Another instance has nothing newer than what was known.

    .. versionadded:: 26.1.0
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
    ) -> TableView:
        """Return a table's changes with a newer proof than *known_s*.

        Args:
            peer: Who is asked.
            table: The table's name.
            after: The version that is known.
            known_s: The newest proof that is known.
            wait_s: How long the instance may wait for news, in seconds.
            margin_s: How much longer its answer may take, in seconds.

        Raises:
            NoNewsError: There was none in time.
            PeerSilentError: It gave no answer.
        """


class RelayedTables:
    """Reads tables from the store, or from who reads it for others.

    Args:
        store: Reads the store itself.
        peers: Asks other instances.
        directory: Who they are.
        unproven: Tables of which only changes count, and no proof that there
            were none.
        bound_s: How late a change may be in force, in seconds.

    .. versionadded:: 26.1.0
    """

    def __init__(
        self,
        store: TableSource,
        peers: PeerReads,
        directory: InstanceDirectory,
        *,
        unproven: Collection[str] = (),
        bound_s: float = CHANGE_BOUND_S,
    ) -> None:
        self.bound_s = bound_s
        self._store = store
        self._peers = peers
        self._directory = directory
        self._unproven = unproven
        self._known_s: dict[str, float] = {}
        self._sources: dict[str, str] = {}
        self._store_rests_until_s = 0.0

    async def read_table(self, table: str) -> TableView:
        """Return a whole table.

        Raises:
            TableUnavailableError: Neither the store nor any instance answers.
        """
        try:
            return self._noted(table, await self._store.read_table(table))
        except TableUnavailableError as error:
            view = await self._ask_helpers(table, after=NEVER, wait_s=0.0)
            if view is None:
                raise
            self._note_source(table, "peers", error.detail)
            return view

    async def read_changes(self, table: str, *, after: int, wait_s: float) -> TableView:
        """Return changes as soon as there are any, or a newer proof.

        Raises:
            HistoryGoneError: Changes since *after* are no longer known.
            TableUnavailableError: Neither the store nor any instance answers.
        """
        now_s = time.monotonic()
        source = self._directory.source(now_s=now_s)
        if source is not None and wait_s > 0:
            view = await self._follow(source, table, after=after, wait_s=wait_s)
            if view is not None:
                return view
            wait_s = 0.0
        elif self._directory.is_reader(now_s=now_s) and self._is_proven(table):
            wait_s = min(wait_s, self.bound_s * _READER_PART)
        if now_s < self._store_rests_until_s:
            view = await self._ask_helpers(table, after=after, wait_s=self._follow_s)
            if view is not None:
                return view
            wait_s = 0.0
        return await self._read_store(table, after=after, wait_s=wait_s)

    async def _follow(
        self, source: InstanceEntry, table: str, *, after: int, wait_s: float
    ) -> TableView | None:
        """Ask the instance that reads for this one; None if it is of no help."""
        is_proven = self._is_proven(table)
        if is_proven:
            wait_s = self._follow_s
        try:
            view = await self._ask(source, table, after=after, wait_s=wait_s)
        except NoNewsError as error:
            if not is_proven:
                return TableView({}, after, self._known_s[table], is_relayed=True)
            self._leave(source, table, error)
            return None
        except PeerSilentError as error:
            self._leave(source, table, error)
            return None
        self._note_source(table, source.id, "follows it")
        return view

    def _leave(self, source: InstanceEntry, table: str, error: PeerSilentError) -> None:
        """Follow another instance, or none, for a while."""
        self._directory.note_down(source.id, now_s=time.monotonic())
        self._note_source(table, "store", f"{source.id}: {error}")

    async def _read_store(self, table: str, *, after: int, wait_s: float) -> TableView:
        """Read the store itself; ask other instances if it gives no answer.

        Raises:
            HistoryGoneError: Changes since *after* are no longer known.
            TableUnavailableError: Neither the store nor any instance answers.
        """
        try:
            view = await self._store.read_changes(table, after=after, wait_s=wait_s)
        except TableUnavailableError as error:
            helped = await self._ask_helpers(table, after=after, wait_s=0.0)
            if helped is None:
                raise
            self._store_rests_until_s = time.monotonic() + _STORE_REST_S
            self._note_source(table, "peers", error.detail)
            return helped
        self._note_source(table, "store", "reads it")
        return self._noted(table, view)

    async def _ask_helpers(
        self, table: str, *, after: int, wait_s: float
    ) -> TableView | None:
        """Ask some instances for a newer proof; None if nobody has one."""
        now_s = time.monotonic()
        for helper in self._directory.helpers(now_s=now_s)[:_MOST_HELPERS]:
            try:
                return await self._ask(helper, table, after=after, wait_s=wait_s)
            except PeerSilentError as error:
                self._directory.note_down(helper.id, now_s=time.monotonic())
                events.log(
                    events.HELPER_SILENT,
                    table=table,
                    instance_id=helper.id,
                    reason=str(error),
                )
        return None

    async def _ask(
        self, peer: InstanceEntry, table: str, *, after: int, wait_s: float
    ) -> TableView:
        """Ask an instance.

        Raises:
            PeerSilentError: It has no newer proof, or gives no answer.
        """
        view = await self._peers.changes(
            peer,
            table,
            after=after,
            known_s=self._outdated_s(table),
            wait_s=wait_s,
            margin_s=self.bound_s * _MARGIN_PART,
        )
        if view.store_s < self._known_s.get(table, float(NEVER)):
            msg = "older than what is known"
            raise PeerSilentError(msg)
        return self._noted(table, view)

    @property
    def _follow_s(self) -> float:
        """How long another instance may wait for its next proof, in seconds."""
        return self.bound_s * _FOLLOW_PART

    def _is_proven(self, table: str) -> bool:
        """Tell whether also a proof counts that nothing has changed."""
        return table not in self._unproven

    def _outdated_s(self, table: str) -> float:
        """Return the store's time up to which a proof is of no use."""
        if not self._is_proven(table):
            return math.inf
        return self._known_s.get(table, float(NEVER))

    def _noted(self, table: str, view: TableView) -> TableView:
        """Remember the newest proof of a table."""
        self._known_s[table] = max(self._known_s.get(table, float(NEVER)), view.store_s)
        return view

    def _note_source(self, table: str, source: str, reason: str) -> None:
        """Log where a table's news comes from, if that has changed."""
        before = self._sources.get(table)
        self._sources[table] = source
        if before is not None and before != source:
            events.log(
                events.SOURCE_CHANGED,
                table=table,
                source=source,
                before=before,
                reason=reason,
            )
