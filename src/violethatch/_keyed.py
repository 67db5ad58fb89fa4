# SPDX-License-Identifier: MIT
"""Calls with idempotency keys: claim, send and store the outcome, or replay it."""

from __future__ import annotations

import asyncio
import base64
import functools
import random

from collections.abc import Awaitable, Callable, Coroutine
from typing import NamedTuple, TypeVar

from . import clocks, events
from ._claim_writer import RowWriter
from .claims import Claim, ClaimState, Outcome, Verdict
from .errors import (
    ClaimRefusedError,
    KeyReusedError,
    MayHaveRunError,
    Ran,
    TableUnavailableError,
    VioletHatchError,
)
from .ports import ABSENT, AnswerLostError, ObjectStore, Row, Table


#: Larger bodies are written to the object store.
_INLINE_BODY_BYTES = 16_384
_POLL_INITIAL_S = 0.1
_POLL_MAX_S = 1.0
_RETRY_INITIAL_S = 0.2
_RETRY_MAX_S = 5.0

T = TypeVar("T")


class Answer(NamedTuple):
    """A complete, non-streamed response of a service."""

    status: int
    content_type: str
    body: bytes


class KeyedCalls:
    """Runs calls with idempotency keys at most once across all instances.

    Args:
        table: The table to read claims from.
        writer: Writes claims and outcomes.
        objects: Stores large response bodies.
        outcome_wait_s: How long to wait for another claimant's outcome, in seconds.
        is_instance_gone: Returns whether a claim's owner is known to be terminated.
        spawn: Starts a background task.
    """

    def __init__(
        self,
        table: Table,
        writer: RowWriter,
        objects: ObjectStore,
        *,
        outcome_wait_s: float,
        is_instance_gone: Callable[[str], bool],
        spawn: Callable[[Coroutine[None, None, None]], object],
    ) -> None:
        self._table = table
        self._writer = writer
        self._objects = objects
        self._outcome_wait_s = outcome_wait_s
        self._is_instance_gone = is_instance_gone
        self._spawn = spawn
        #: This process's operations whose outcome is not stored yet.
        self._unsettled: set[str] = set()

    async def run(self, claim: Claim, send: Callable[[], Awaitable[Answer]]) -> Answer:
        """Run *send* under *claim*, or return the outcome of another run.

        The call continues when the client disconnects: a client that timed out
        retries with the same key, and needs the outcome then.

        Raises:
            ClaimRefusedError: The claim can't be written now; the call was not run.
            KeyReusedError: The key was used with another request.
            MayHaveRunError: The outcome of an earlier call is unavailable.
            VioletHatchError: The call itself failed.
        """
        answer = asyncio.get_running_loop().create_future()
        self._spawn(self._run_and_resolve(answer, claim, send))
        result: Answer = await answer
        return result

    async def _run_and_resolve(
        self,
        answer: asyncio.Future[Answer],
        claim: Claim,
        send: Callable[[], Awaitable[Answer]],
    ) -> None:
        """Run the call and set its result unless *answer* was cancelled."""
        try:
            result = await self._run(claim, send)
        except Exception as error:
            if not answer.done():
                answer.set_exception(error)
            return
        if not answer.done():
            answer.set_result(result)

    async def _run(self, claim: Claim, send: Callable[[], Awaitable[Answer]]) -> Answer:
        """Claim, send, and store the outcome in the background."""
        # Set first: a retry may read the claim before its write's response arrives.
        self._unsettled.add(claim.op_id)
        row = await self._claim(claim)
        if row is not None:
            self._unsettled.discard(claim.op_id)
            return await self._await_outcome(claim, row)
        try:
            answer = await send()
        except VioletHatchError as error:
            if error.ran is Ran.NO:
                self._spawn(self._release(claim))
            else:
                self._unsettled.discard(claim.op_id)
            raise
        except BaseException:
            self._unsettled.discard(claim.op_id)
            raise
        self._spawn(self._record(claim, answer))
        return answer

    async def _claim(self, claim: Claim) -> Row | None:
        """Write the claim; return the conflicting row, if any."""
        put = claim.insert()
        while True:
            try:
                row = await self._writer.write(put)
            except TableUnavailableError as error:
                self._unsettled.discard(claim.op_id)
                raise ClaimRefusedError(str(error), retry_after_s=2.0) from error
            except AnswerLostError as error:
                # It may still be written, but nothing will be sent under it.
                events.log(events.CLAIM_UNSETTLED, operation=claim.op_id)
                self._spawn(self._release(claim))
                raise ClaimRefusedError(str(error), retry_after_s=2.0) from error
            if row is None or claim.judge(row) is not Verdict.RECLAIM:
                return row
            put = claim.insert(over=row)

    async def _await_outcome(self, claim: Claim, row: Row) -> Answer:
        """Return another operation's outcome, waiting for it if necessary."""
        deadline_s = clocks.now_s() + self._outcome_wait_s
        pause_s = _POLL_INITIAL_S
        while True:
            verdict = claim.judge(row)
            if verdict is Verdict.MISMATCH:
                raise KeyReusedError
            if verdict is Verdict.REPLAY:
                return await self._load_answer(row)
            if verdict is Verdict.RECLAIM:
                msg = "an earlier call with this key was not run; ask again"
                raise ClaimRefusedError(msg, retry_after_s=0.0)
            if self._is_abandoned(row):
                msg = "the instance that ran the earlier call is gone"
                raise MayHaveRunError(msg)
            if clocks.now_s() > deadline_s:
                raise MayHaveRunError(retry_after_s=2.0)
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
            pause_s = min(_POLL_MAX_S, pause_s * 2)
            row = await self._read(row)

    def _is_abandoned(self, row: Row) -> bool:
        """Return whether the claim's owner terminated before storing an outcome."""
        return row.value["op_id"] not in self._unsettled and self._is_instance_gone(
            row.value["owner"]
        )

    @property
    def unsettled_count(self) -> int:
        """The number of operations whose outcome is not stored yet."""
        return len(self._unsettled)

    async def _read(self, row: Row) -> Row:
        """Reread a claim; return the old row if the table is unavailable."""
        try:
            rows = await self._table.read([row.key])
        except TableUnavailableError:
            return row
        return rows.get(row.key, row)

    async def _load_answer(self, row: Row) -> Answer:
        """Return the stored response.

        Raises:
            MayHaveRunError: The call was run, but the object store is unavailable.
        """
        outcome: Outcome = row.value["outcome"]
        if outcome["object_key"]:
            try:
                body = await self._objects.get(outcome["object_key"])
            except TableUnavailableError as error:
                msg = f"the stored answer can't be read: {error}"
                raise MayHaveRunError(msg, retry_after_s=2.0) from error
        else:
            body = base64.b64decode(outcome["body"])
        return Answer(outcome["status"], outcome["content_type"], body)

    async def _record(self, claim: Claim, answer: Answer) -> None:
        """Store the outcome, retrying while the table is unavailable."""
        outcome = Outcome(
            status=answer.status,
            content_type=answer.content_type,
            body=base64.b64encode(answer.body).decode(),
            object_key="",
        )
        if len(answer.body) > _INLINE_BODY_BYTES:
            object_key = f"outcomes/{claim.op_id}"
            await _retry_until_written(
                lambda: self._objects.put(object_key, answer.body)
            )
            outcome["body"], outcome["object_key"] = "", object_key
        await self._write_conclusion(claim, outcome)

    async def _release(self, claim: Claim) -> None:
        """Release a claim under which nothing was or will be sent."""
        await self._write_conclusion(claim, None)

    async def _write_conclusion(self, claim: Claim, outcome: Outcome | None) -> None:
        """Replace this operation's row, but not a row of another operation.

        A release may find the claim unwritten, or a released row that it was meant
        to replace.  It then writes its own released row, so that a delayed write of
        the claim conflicts.  An outcome whose row no longer exists (the
        table was restored) is stored again.
        """
        version = ABSENT
        while True:
            put = (
                claim.release(version=version)
                if outcome is None
                else claim.finish(outcome, version=version)
            )
            row = await _retry_until_written(functools.partial(self._writer.write, put))
            if row is None or not _may_replace(claim, row):
                self._unsettled.discard(claim.op_id)
                return
            version = row.version


def _may_replace(claim: Claim, row: Row) -> bool:
    """Return whether an outcome or a release may replace the conflicting row."""
    if row.version == ABSENT or row.value["op_id"] == claim.op_id:
        return True
    return ClaimState(row.value["state"]) is ClaimState.RELEASED


async def _retry_until_written(call: Callable[[], Awaitable[T]]) -> T:
    """Retry a call until the platform confirms it."""
    pause_s = _RETRY_INITIAL_S
    while True:
        try:
            return await call()
        except (TableUnavailableError, AnswerLostError) as error:
            events.log(events.OUTCOME_UNRECORDED, error=str(error))
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
        pause_s = min(_RETRY_MAX_S, pause_s * 2)
