# SPDX-License-Identifier: MIT
"""What servers have asked of one instance, and how long it binds.

Load pattern: a first runner turns all away for seconds and asks each instance that it
refuses for rest.  Many requests come within that time at each instance, some were
decided before the word came and wait for a connection.  Each that goes there all the
same costs a retry and a way there and back, and the server what it asked to be spared.

*A rest is a promise*, not a wish: while it lasts nothing is sent, whatever else there
is.  It binds the instance that was asked, no other: the server speaks to one instance,
and may have room for the others.  A longer rest outlasts a shorter one, and a success
that was under way ends none.

*Its end.*  Where a server has refused many instances at once, their rests end at once
as well.  So each takes the server up again a little later, by chance, and with one
request first: until that one's answer is there the others go elsewhere where they can.
Both are wishes: a request that has nowhere else to go is not held up by them.

Rests are kept by a server's id and start, so that an entry of the list which goes and
comes back changes nothing and a new start under the id is free.  The list tells late of
a new start: what has answered a request that was sent after its birth was that start
already, and its word stands when the list tells.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import random

from collections.abc import Mapping
from typing import NamedTuple


#: Rests that are kept; the next one to end goes first.  Five times the servers of the
#: largest fleet that is planned for (790), some 200 bytes each.
MOST_RESTS = 4_000
#: By which part of its length, and by how much at the most, in seconds, an instance
#: takes a server up later than it may.  Simulated, 350 instances of 5 requests a
#: second each after a rest of 3 s: 105 arrivals in the busiest quarter of a second for
#: 159, and 433 refused again in all for 656.
SPREAD_PART = 0.25
MOST_SPREAD_S = 3.0
#: How long the first request after a rest is waited for, in seconds: heads of plain
#: answers and first events come within half of that where all is well.  Simulated, 64
#: instances of 50 requests a second each: 64 refused in the first second after a rest
#: of 3 s for 78.
TRIAL_S = 1.0
#: How long after its end a rest that nobody has tried is remembered, in seconds.
_REMEMBERED_S = 30.0


def may_come_from_start(started_ms: int, *, listed_ms: int, sent_ms: int) -> bool:
    """Tell whether a word may be that of a start of its server.

    A clock that differs from the server's, or jumps, may take a word for the next
    start's, or for the one before: by as much as the clocks differ around its birth.

    Args:
        started_ms: When the start was; 0 where it doesn't tell.
        listed_ms: Which start was listed when the server was asked; 0 likewise.
        sent_ms: When it was asked, by the own time of day; 0 where that is not known.

    .. versionadded:: 26.5.0
    """
    if not (started_ms and listed_ms) or started_ms == listed_ms:
        return True
    return listed_ms < started_ms <= sent_ms


def resolve_start(listed_ms: int, *, known_ms: int, sent_ms: int) -> int | None:
    """Return which start a word is kept for, or None if it is over.

    Args:
        listed_ms: Which start was listed when the server was asked; 0 if none is told.
        known_ms: The latest start that is known; 0 likewise.
        sent_ms: When the server was asked, by the own time of day.

    .. versionadded:: 26.5.0
    """
    if not 0 < listed_ms < known_ms:
        return listed_ms
    return known_ms if sent_ms >= known_ms else None


class Backoff(NamedTuple):
    """A rest that a server has asked this instance for.

    Attributes:
        started_ms: Which start of the server was listed; 0 where it tells none.
        sent_ms: When the request was sent that it answered, by the time of day.
        requested_s: For how long it has asked, in seconds.
        until_s: Until when nothing is sent.
        returns_s: From when on it is taken up again where there are others.
        request_id: What it has answered with the word; empty if that was no call.
        trial_s: When the first request after it was sent, if one was.

    .. versionadded:: 26.5.0
    """

    started_ms: int
    sent_ms: int
    requested_s: float
    until_s: float
    returns_s: float
    request_id: str
    trial_s: float | None = None

    def binds(self, started_ms: int, *, now_s: float) -> bool:
        """Tell whether nothing may be sent to a start of the server now."""
        return now_s < self.until_s and self.is_of(started_ms)

    def is_of(self, started_ms: int) -> bool:
        """Tell whether it is the word of a start, as far as starts are told."""
        return may_come_from_start(
            started_ms, listed_ms=self.started_ms, sent_ms=self.sent_ms
        )

    def is_avoided(self, *, now_s: float) -> bool:
        """Tell whether others than the first request go elsewhere where they can."""
        if now_s < self.returns_s:
            return True
        return self.trial_s is not None and now_s < self.trial_s + TRIAL_S


class ServerBackoffs:
    """The rests that one instance was asked for.

    Args:
        rng: Spreads the returns.

    .. versionadded:: 26.5.0
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rests: dict[str, Backoff] = {}

    def __len__(self) -> int:
        return len(self._rests)

    def record(
        self,
        server_id: str,
        length_s: float,
        *,
        started_ms: int = 0,
        sent_ms: int = 0,
        request_id: str = "",
        now_s: float,
    ) -> bool:
        """Take in that a server asks for rest; tell whether that is longer than before.

        Args:
            server_id: Who asks.
            length_s: For how long it wants nothing, in seconds; 0 is nothing asked.
            started_ms: Which start of it was listed; 0 where it tells none.
            sent_ms: When the request was sent that it answered, by the time of day.
            request_id: What it has answered with that.
            now_s: The current monotonic time, in seconds.
        """
        known = self._rests.get(server_id)
        known_ms = known.started_ms if known is not None else 0
        start_ms = resolve_start(started_ms, known_ms=known_ms, sent_ms=sent_ms)
        if start_ms is None or length_s <= 0.0:
            return False
        until_s = now_s + length_s
        if known is not None and known.is_of(start_ms):
            # Either word may be that of a start which is not listed yet.
            sent_ms = max(known.sent_ms, sent_ms)
            if known.until_s >= until_s:
                self._rests[server_id] = known._replace(sent_ms=sent_ms)
                return False
        spread_s = min(MOST_SPREAD_S, SPREAD_PART * length_s) * self._rng.random()
        self._rests[server_id] = Backoff(
            start_ms, sent_ms, length_s, until_s, until_s + spread_s, request_id
        )
        self._forget_some(now_s)
        return True

    def active(
        self, server_id: str, *, started_ms: int = 0, now_s: float
    ) -> Backoff | None:
        """Return the rest that binds towards a start of a server, if one does."""
        known = self._rests.get(server_id)
        if known is None or not known.binds(started_ms, now_s=now_s):
            return None
        return known

    def record_send(self, server_id: str, *, now_s: float) -> None:
        """Note that a request goes to a server: the first after a rest is its trial."""
        known = self._rests.get(server_id)
        if known is not None and not known.is_avoided(now_s=now_s):
            self._rests[server_id] = known._replace(trial_s=now_s)

    def record_response(self, server_id: str, *, now_s: float) -> None:
        """Note that a server has answered without asking for rest: it is back."""
        known = self._rests.get(server_id)
        if known is not None and now_s >= known.until_s:
            del self._rests[server_id]

    def known(self) -> Mapping[str, Backoff]:
        """Return, by server's id, the rests that bind or are not tried yet."""
        return self._rests

    def _forget_some(self, now_s: float) -> None:
        """Forget rests that nobody tries, and those over the bound."""
        old = [
            one
            for one, rest in self._rests.items()
            if now_s >= rest.returns_s + _REMEMBERED_S
        ]
        for one in old:
            del self._rests[one]
        if len(self._rests) > MOST_RESTS:
            del self._rests[min(self._rests, key=lambda one: self._rests[one].until_s)]
