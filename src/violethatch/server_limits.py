# SPDX-License-Identifier: MIT
"""Which limits servers have named, and whose word is the latest.

A server in need names in its answers how many requests a second it takes from all
instances together, for as long as it says so.  Answers overtake each other, and
instances tell each other what they have heard, so each word is kept with the time at
which the answered request was sent and the time at which the answer came: the server
spoke between the two.  A word replaces an earlier one if its request was sent after
that one had come; where nobody can tell which was first, the lower figure counts.  An
answer that names none ends the limit by the same order.

Limits are kept by a server's id and start, like rests (`server_backoffs`): an entry
that goes and comes back changes nothing, a new start is free.

.. versionadded:: 26.6.0
"""

from __future__ import annotations

import math

from collections.abc import Mapping
from typing import NamedTuple

from .server_backoffs import may_come_from_start, resolve_start


#: Limits that are kept; the one heard of longest ago goes first.  Five times the
#: servers of the largest fleet that is planned for (790), some 250 bytes each.
MOST_LIMITS = 4_000
#: How long an end is remembered, in seconds, so that words of before, which come late
#: from other instances, don't bring the limit back.
_END_REMEMBERED_S = 10.0


class Limit(NamedTuple):
    """A limit that a server has named.

    Attributes:
        per_s: The requests that it takes a second, of all instances together; infinite
            where it has named none since.
        started_ms: Which start of the server was listed; 0 where it tells none.
        sent_ms: When the request was sent that it answered, by the time of day; 0 where
            another instance has told.
        sent_s: The same by the steady clock, in seconds.
        heard_s: When the answer came, likewise.
        request_id: What it has answered with the word; empty if that was no call.
        teller: The instance that has passed the word on; empty where this one heard it.

    .. versionadded:: 26.6.0
    """

    per_s: float
    started_ms: int
    sent_ms: int
    sent_s: float
    heard_s: float
    request_id: str = ""
    teller: str = ""

    @property
    def is_lifted(self) -> bool:
        """Whether the server has said since that it takes any number."""
        return math.isinf(self.per_s)

    def is_of(self, started_ms: int) -> bool:
        """Tell whether it is the word of a start, as far as starts are told."""
        return may_come_from_start(
            started_ms, listed_ms=self.started_ms, sent_ms=self.sent_ms
        )

    def after(self, known: Limit) -> Limit | None:
        """Return what counts when it comes after a word that is known; None if that.

        Where nobody can tell which of both was said first, the lower figure counts for
        as long as either might: until an answer to what is sent when both have come.
        """
        if self.sent_s >= known.heard_s:
            return self
        if self.per_s < known.per_s and self.heard_s > known.sent_s:
            return self._replace(
                sent_s=max(self.sent_s, known.sent_s),
                heard_s=max(self.heard_s, known.heard_s),
            )
        return None


class ServerLimits:
    """The limits that one instance knows of.

    .. versionadded:: 26.6.0
    """

    def __init__(self) -> None:
        self._limits: dict[str, Limit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def update(self, server_id: str, limit: Limit, *, known_ms: int = 0) -> bool:
        """Take a word in; tell whether it changes what all have to keep to.

        Args:
            server_id: Whose word it is.
            limit: The word.
            known_ms: The latest start of the server that is known; 0 if none is told.
        """
        started_ms = resolve_start(
            limit.started_ms, known_ms=known_ms, sent_ms=limit.sent_ms
        )
        if started_ms is None:
            return False
        limit = limit._replace(started_ms=started_ms)
        known = self._limits.get(server_id)
        if known is not None and not known.is_of(limit.started_ms):
            if 0 < limit.started_ms < known.started_ms:
                return False
            known = None
        if known is None and limit.is_lifted:
            return False
        counting = limit if known is None else limit.after(known)
        if counting is None:
            return False
        self._keep(server_id, counting)
        return known is None or known.per_s != limit.per_s

    def get(self, server_id: str, *, started_ms: int = 0) -> Limit | None:
        """Return the limit of a start of a server, or None if it has named none."""
        limit = self._limits.get(server_id)
        if limit is None or limit.is_lifted or not limit.is_of(started_ms):
            return None
        return limit

    def latest(self, server_id: str) -> Limit | None:
        """Return the latest word on a server's limit, also one that it is over."""
        return self._limits.get(server_id)

    def known(self) -> Mapping[str, Limit]:
        """Return, by server, the limits that are not over."""
        return {
            one: limit for one, limit in self._limits.items() if not limit.is_lifted
        }

    def _keep(self, server_id: str, limit: Limit) -> None:
        """Keep a word, and no more than the bound of them."""
        self._limits.pop(server_id, None)
        over = [
            one
            for one, known in self._limits.items()
            if known.is_lifted and limit.heard_s - known.heard_s > _END_REMEMBERED_S
        ]
        for one in over:
            del self._limits[one]
        if len(self._limits) >= MOST_LIMITS:
            del self._limits[min(self._limits, key=self._heard_s)]
        self._limits[server_id] = limit

    def _heard_s(self, server_id: str) -> float:
        """Return when the word on a server's limit was heard."""
        return self._limits[server_id].heard_s
