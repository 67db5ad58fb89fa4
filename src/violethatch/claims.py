# SPDX-License-Identifier: MIT
"""Claims: at most one run for each idempotency key, over all instances.

A claim is a row of the platform's table.  It is inserted, on the condition
that it is absent, before the first byte is sent to a backend server, and contains
the claimant's operation id, so that a lost response to the insert is resolved by
retrying the write: a conflict with the same operation id is a success.
Only the claimant sends.  The outcome is stored in the row afterwards; a claim
whose call was certainly not run is released and may be claimed again.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import enum
import hashlib

from typing import Any, NamedTuple, TypedDict, cast

from .ports import ABSENT, Put, Row


class ClaimState(enum.StrEnum):
    """State of a claimed call.

    .. versionadded:: 26.1.0
    """

    #: The claimant may send the call, or has sent it.
    RUNNING = "running"
    #: The outcome is known and stored.
    DONE = "done"
    #: The call was not run and won't be under this operation id.
    RELEASED = "released"


class Outcome(TypedDict):
    """A response as stored for retries with the same key."""

    status: int
    content_type: str
    body: str
    object_key: str


class ClaimValue(TypedDict):
    """The value of a claim's row."""

    op_id: str
    state: str
    request_digest: str
    owner: str
    outcome: Outcome | None


class Verdict(enum.Enum):
    """Next step of an instance, depending on the claim's row.

    .. versionadded:: 26.1.0
    """

    #: This operation owns the claim: send the call.
    SEND = enum.auto()
    #: Another operation owns the claim: wait for its outcome.
    WAIT = enum.auto()
    #: The outcome is stored: return it.
    REPLAY = enum.auto()
    #: The claim was released: try to claim again.
    RECLAIM = enum.auto()
    #: The key was used with another request.
    MISMATCH = enum.auto()


class Claim(NamedTuple):
    """An operation's claim to run a call with an idempotency key.

    .. versionadded:: 26.1.0
    """

    row_key: str
    op_id: str
    request_digest: str
    owner: str

    def insert(self, *, over: Row | None = None) -> Put:
        """Return the write that inserts the claim.

        Args:
            over: A released claim to replace.
        """
        version = ABSENT if over is None else over.version
        return Put(self.row_key, self._value(ClaimState.RUNNING, None), version)

    def finish(self, outcome: Outcome, *, version: int) -> Put:
        """Return the write that stores the outcome."""
        return Put(self.row_key, self._value(ClaimState.DONE, outcome), version)

    def release(self, *, version: int) -> Put:
        """Return the write that releases a claim whose call was not run."""
        return Put(self.row_key, self._value(ClaimState.RELEASED, None), version)

    def judge(self, row: Row) -> Verdict:
        """Return the next step for the row that is in the table."""
        if row.value["request_digest"] != self.request_digest:
            return Verdict.MISMATCH
        state = ClaimState(row.value["state"])
        if state is ClaimState.RELEASED:
            return Verdict.RECLAIM
        if state is ClaimState.DONE:
            return Verdict.REPLAY
        return Verdict.SEND if row.value["op_id"] == self.op_id else Verdict.WAIT

    def _value(self, state: ClaimState, outcome: Outcome | None) -> dict[str, Any]:
        """Return the row's value in *state*."""
        value = ClaimValue(
            op_id=self.op_id,
            state=state.value,
            request_digest=self.request_digest,
            owner=self.owner,
            outcome=outcome,
        )
        return cast("dict[str, Any]", value)


def claim_row_key(workspace: str, idempotency_key: str) -> str:
    """Return the key of the row that claims a workspace's idempotency key.

    .. versionadded:: 26.1.0
    """
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"claim/{workspace}/{digest}"


def is_own_write(put: Put, row: Row) -> bool:
    """Return whether the row that *put* conflicts with was written by *put* itself.

    Detects that a write whose response was lost has succeeded.

    .. versionadded:: 26.1.0
    """
    return all(row.value.get(name) == put.value[name] for name in ("op_id", "state"))
