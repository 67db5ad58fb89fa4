# SPDX-License-Identifier: MIT
"""Keeping the configuration: reading, applying, confirming, repairing."""

from __future__ import annotations

import asyncio
import random
import secrets

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, cast

import msgspec

from . import events
from ._decoding import decoded
from .errors import ConfirmUnknownError, StalePlanError, TableUnavailableError
from .ports import ABSENT, AnswerLostError, Put, Row, Table
from .revisions import (
    NO_REVISION,
    Confirmation,
    Intent,
    Offer,
    Plan,
    Revision,
    accept,
    compare,
    document_digest,
    make_plan,
    parse_revision,
)


#: The row with the whole revision, and a small one that tells which it is.
#: They are only written together, so their versions are the same.
HEAD_KEY = "config/head"
MARK_KEY = "config/mark"
_ANYTHING: msgspec.json.Decoder[Any] = msgspec.json.Decoder()
_CONFIRM_TRIES = 5
_CONFIRM_PAUSE_S = 0.2


class ConfigKeeper:
    """The configuration in force on this instance.

    Only a higher revision than the one in force is applied, wherever it
    comes from, so that a restored table can't take an accepted one back.  An
    instance that finds the table behind writes the revision there again.

    Args:
        table: Where revisions are agreed.
        poll_interval_s: Between reads of the head, in seconds.
        rng: Spreads the reads of many instances.
        on_applied: Called after a revision came into force.
        push: Offers a revision to the peers.
        fetch: Gets a revision that is ahead from a peer.
    """

    def __init__(
        self,
        table: Table,
        *,
        poll_interval_s: float,
        rng: random.Random,
        on_applied: Callable[[Revision], None],
        push: Callable[[bytes], Awaitable[None]],
        fetch: Callable[[], Awaitable[bytes | None]],
    ) -> None:
        self.current = NO_REVISION
        self._table = table
        self._poll_interval_s = poll_interval_s
        self._rng = rng
        self._on_applied = on_applied
        self._push = push
        self._fetch = fetch
        self._is_table_reachable = True

    @property
    def revision(self) -> int:
        """The revision in force, zero if none is known."""
        return self.current["revision"]

    def encoded(self) -> bytes:
        """Return the revision in force as JSON."""
        return msgspec.json.encode(self.current)

    async def run(self) -> None:
        """Follow the table and the peers until cancelled."""
        while True:
            await self._follow_table()
            await self._follow_peers()
            pause_s = self._poll_interval_s * self._rng.uniform(0.5, 1.0)
            await asyncio.sleep(pause_s)

    async def take_encoded(self, encoded: bytes) -> None:
        """Take a revision that a peer offers; ignore what is malformed."""
        try:
            offered = parse_revision(decoded(_ANYTHING, encoded))
        except ValueError as error:
            events.log(events.TASK_FAILED, task="take_revision", error=str(error))
            return
        if document_digest(offered["document"]) != offered["digest"]:
            events.log(events.TASK_FAILED, task="take_revision", error="digest differs")
            return
        self._take(offered, source="peer")

    def plan(self, intent: Intent) -> Plan:
        """Return what an intent would change.

        Raises:
            BadIntentError: It does not fit.
        """
        return make_plan(self.current, intent)

    async def confirm(self, confirmation: Confirmation) -> Revision:
        """Bring a plan into force.

        Raises:
            StalePlanError: The configuration has moved on.
            TableUnavailableError: The table can't be reached; nothing changed.
            ConfirmUnknownError: The table may have taken it; state will show.
        """
        head = await self._read_head()
        revision = accept(self.current, confirmation, op_id=secrets.token_hex(8))
        version = ABSENT if head is None else head.version
        await self._write_head(revision, version=version)
        events.log(events.REVISION_ACCEPTED, revision=revision["revision"])
        self._take(revision, source="operator")
        await self._push(self.encoded())
        return revision

    async def _write_head(self, revision: Revision, *, version: int) -> None:
        """Write the head, settling lost answers by writing again."""
        is_answer_lost = False
        for _ in range(_CONFIRM_TRIES):
            try:
                conflicts = await self._table.transact(_puts(revision, version))
            except AnswerLostError:
                is_answer_lost = True
            except TableUnavailableError:
                if not is_answer_lost:
                    raise
            else:
                self._check_winner(conflicts, revision, is_answer_lost)
                return
            await asyncio.sleep(_CONFIRM_PAUSE_S)
        raise _unknown(revision)

    def _check_winner(
        self, conflicts: list[Row], revision: Revision, is_answer_lost: bool
    ) -> None:
        """Tell whether the write won, or the row in its way is itself.

        After a lost answer a row of a later revision proves nothing: ours may
        have been accepted and then followed by that one.
        """
        for row in conflicts:
            if row.key != HEAD_KEY or row.value.get("op_id") == revision["op_id"]:
                continue
            if row.version != ABSENT:
                stored = parse_revision(row.value)
                self._take(stored, source="table")
                if is_answer_lost and stored["revision"] > revision["revision"]:
                    raise _unknown(revision)
            msg = f"revision {revision['revision']} was taken by another change"
            raise StalePlanError(msg)

    async def _read_head(self) -> Row | None:
        """Read the head, apply it if newer, repair it if older."""
        row = (await self._table.read([HEAD_KEY])).get(HEAD_KEY)
        offered = NO_REVISION if row is None else parse_revision(row.value)
        self._take(offered, source="table")
        if compare(self.current, offered) is not Offer.OLDER:
            return row
        return await self._repair(row)

    async def _repair(self, row: Row | None) -> Row | None:
        """Write the revision in force over an older head."""
        version = ABSENT if row is None else row.version
        if await self._table.transact(_puts(self.current, version)):
            return row
        events.log(events.TABLE_REPAIRED, revision=self.revision)
        return Row(HEAD_KEY, version + 1, cast("dict[str, Any]", self.current))

    async def _follow_table(self) -> None:
        """Look at the mark; say once when the table goes or comes back."""
        try:
            mark = (await self._table.read([MARK_KEY])).get(MARK_KEY)
            if not self._is_in_force(mark):
                await self._read_head()
        except (TableUnavailableError, AnswerLostError) as error:
            if self._is_table_reachable:
                events.log(events.TABLE_UNREACHABLE, error=str(error))
            self._is_table_reachable = False
            return
        except msgspec.ValidationError as error:
            events.log(events.TASK_FAILED, task="follow_table", error=str(error))
            return
        if not self._is_table_reachable:
            events.log(events.TABLE_REACHABLE)
        self._is_table_reachable = True

    def _is_in_force(self, mark: Row | None) -> bool:
        """Tell whether the table's revision is the one in force."""
        if mark is None:
            return self.revision == 0
        return (mark.value["revision"], mark.value["digest"]) == (
            self.revision,
            self.current["digest"],
        )

    async def _follow_peers(self) -> None:
        """Get the revision of a peer that is ahead."""
        encoded = await self._fetch()
        if encoded is not None:
            await self.take_encoded(encoded)

    def _take(self, offered: Revision, *, source: str) -> None:
        """Apply a revision if it is newer than the one in force."""
        offer = compare(self.current, offered)
        if offer is Offer.FORKED:
            events.log(events.REVISION_FORKED, revision=self.revision, source=source)
        if offer is not Offer.NEWER:
            return
        self.current = offered
        events.log(events.REVISION_APPLIED, revision=offered["revision"], source=source)
        self._on_applied(offered)


def _puts(revision: Revision, version: int) -> list[Put]:
    """Return the writes that store a revision over rows of that version."""
    mark = {name: revision[name] for name in ("revision", "digest", "op_id")}
    return [
        Put(HEAD_KEY, cast("Mapping[str, Any]", revision), version),
        Put(MARK_KEY, mark, version),
    ]


def _unknown(revision: Revision) -> ConfirmUnknownError:
    """Return the error for a confirmation whose outcome can't be told."""
    msg = f"the table's answer to revision {revision['revision']} was lost"
    return ConfirmUnknownError(msg, retry_after_s=2.0)
