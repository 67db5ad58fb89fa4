# SPDX-License-Identifier: MIT
"""Permits for what is sent to a server that limits all instances together.

Load pattern: a first runner in need names how many requests a second it takes from
all instances together: from less than one to some fifty, mostly less than comes for it.
The demand may be even or come at one instance alone, and 8 or 350 instances have it.

One instance, the *keeper*, counts for all: each send needs a permit of it, which is
good for one send and a moment.  Who has the request asks; who gets none sends elsewhere
at once and asks no more for a while, which grows with those who ask, so that the
keeper's work does not.  Nothing is saved up by instances, so that nothing adds up: not
when a limit becomes known, nor after a start, a suspension, or a time without demand.

Ways weighed, by a replay at 8, 64 and 350 instances (`docs/design/platform.md`): equal
parts of the instances that are listed; a few instances, by rank, that alone send there;
parts by demand, told along the tree of loads.

Who has a more urgent request asks again sooner, so that the places which a limit
leaves go to what workspaces and routes put first; no permit is held back for that, and
what is less urgent gets some.

The limits' reasons: what all send stays within the figure over any `WINDOW_S`, counted
with the life of permits; and permits come spread over the span, so that a server in
need gets no bursts, and a keeper that takes over from another adds little to what that
one has given.

.. versionadded:: 26.6.0
"""

from __future__ import annotations

import collections
import math
import random

from typing import NamedTuple


#: Over any span so long, in seconds, no more is sent than the limit allows.
WINDOW_S = 4.0
#: How long a permit is good for, in seconds, from when it was asked for: a way there
#: and back, and a new connection to the server.
PERMIT_LIFE_S = 0.1
#: The fewest requests a second that any limit comes to: a server whose limit lets
#: nothing through would never be heard to end it.
LEAST_A_S = 1.0 / 30.0
#: What may be caught up on at once, in requests, and as a part of a second's: permits
#: that nobody asked for in their moment.
_LEAST_BURST = 2.0
_BURST_S = 0.1
#: For how long who has asked counts as one who will ask again, in seconds.
_ASKER_LIFE_S = 30.0
#: How often all that were refused should ask again together: so many times for each
#: permit, and so many times a second at the most, of some 100 bytes there and back.
_ASKS_A_PERMIT = 8.0
_MOST_ASKS_A_S = 30.0
#: How many times longer who has a less urgent request waits, and for how long after a
#: more urgent one was asked for, in seconds: those take what comes free meanwhile.
_LESS_URGENT = 8.0
_URGENT_LIFE_S = 2.0
#: The longest that anybody is told to wait, in seconds: the demand of all may have gone
#: to one by then.
_LONGEST_WAIT_S = 30.0
#: The most servers whose permits an instance keeps, and how long without a question it
#: keeps one, in seconds: longer than the span, which must not begin anew.
_MOST_KEPT = 1_000
_KEPT_S = 60.0


class PermitReply(NamedTuple):
    """What a keeper answers.

    Attributes:
        is_granted: Whether one request may be sent.
        wait_s: When to ask again if not, in seconds.

    .. versionadded:: 26.6.0
    """

    is_granted: bool
    wait_s: float = 0.0


GIVEN = PermitReply(is_granted=True)


class PermitIssuer:
    """Gives the permits of one server.

    Args:
        rng: Spreads the times at which others ask again.
        now_s: The current monotonic time, in seconds.

    .. versionadded:: 26.6.0
    """

    def __init__(self, *, rng: random.Random, now_s: float) -> None:
        self._rng = rng
        self._given_s: collections.deque[float] = collections.deque()
        self._per_s = 0.0
        #: When the next permit is due, by an even pace.
        self._due_s = now_s
        self._asked_s: dict[str, float] = {}
        self._swept_s = now_s
        #: By priority, when a request of it was last asked for.
        self._wanted_s: dict[int, float] = {}

    def request(
        self, asker: str, per_s: float, *, priority: int = 0, now_s: float
    ) -> PermitReply:
        """Give a permit, or tell when to ask again.

        Args:
            asker: The instance that has a request for the server.
            per_s: The server's limit.
            priority: The request's; 0 is the most urgent.
            now_s: The current monotonic time, in seconds.
        """
        self._take_rate(max(LEAST_A_S, per_s), now_s=now_s)
        self._note_asker(asker, now_s=now_s)
        self._wanted_s[priority] = now_s
        free_s = self._free_s(now_s=now_s)
        if now_s >= free_s:
            self._given_s.append(now_s)
            self._due_s = max(self._due_s, now_s) + 1.0 / self._per_s
            return GIVEN
        wait_s = self._wait_s(free_s - now_s, priority, now_s=now_s)
        return PermitReply(is_granted=False, wait_s=wait_s)

    def given_within(self, span_s: float, *, now_s: float) -> int:
        """Return how many permits were given of late."""
        return sum(now_s - at_s < span_s for at_s in self._given_s)

    def _take_rate(self, per_s: float, *, now_s: float) -> None:
        """Go on at another pace; nothing is due at once, as others may have sent."""
        if per_s != self._per_s:
            self._per_s = per_s
            self._due_s = now_s + 1.0 / per_s + self._tolerance_s

    @property
    def _tolerance_s(self) -> float:
        """How far permits may be ahead of the even pace, in seconds."""
        burst = max(_LEAST_BURST, _BURST_S * self._per_s)
        return (burst - 1.0) / self._per_s

    def _free_s(self, *, now_s: float) -> float:
        """Return from when on a permit can be given."""
        whole = WINDOW_S * self._per_s
        # Less than one in a span: one in as long as one takes.
        span_s = PERMIT_LIFE_S + max(WINDOW_S, 1.0 / self._per_s)
        most = max(1, math.floor(whole + 1e-9))
        while self._given_s and now_s - self._given_s[0] >= span_s:
            self._given_s.popleft()
        paced_s = self._due_s - self._tolerance_s
        if len(self._given_s) < most:
            return paced_s
        return max(paced_s, self._given_s[-most] + span_s)

    def _note_asker(self, asker: str, *, now_s: float) -> None:
        """Note who has demand; forget now and then who had it long ago."""
        self._asked_s[asker] = now_s
        if now_s - self._swept_s > 1.0:
            self._swept_s = now_s
            self._asked_s = {
                one: asked_s
                for one, asked_s in self._asked_s.items()
                if now_s - asked_s < _ASKER_LIFE_S
            }

    def _wait_s(self, free_in_s: float, priority: int, *, now_s: float) -> float:
        """Return when one of those who ask should ask again, in seconds."""
        asks_a_s = min(_MOST_ASKS_A_S, _ASKS_A_PERMIT * self._per_s)
        mean_s = len(self._asked_s) / asks_a_s
        spread_s = self._rng.uniform(0.0, 2.0 * mean_s)
        wait_s = max(free_in_s, spread_s)
        if any(
            one < priority and now_s - wanted_s < _URGENT_LIFE_S
            for one, wanted_s in self._wanted_s.items()
        ):
            wait_s = free_in_s + _LESS_URGENT * spread_s
        return min(_LONGEST_WAIT_S, wait_s)


class PermitIssuers:
    """The servers whose permits one instance gives.

    Args:
        rng: Spreads the times at which others ask again.

    .. versionadded:: 26.6.0
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._kept: dict[str, tuple[PermitIssuer, float]] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def request(
        self,
        server_id: str,
        asker: str,
        per_s: float,
        *,
        priority: int = 0,
        now_s: float,
    ) -> PermitReply:
        """Give a permit for a server, or tell when to ask again.

        Args:
            server_id: Whom the request is for.
            asker: The instance that has it.
            per_s: The server's limit.
            priority: The request's; 0 is the most urgent.
            now_s: The current monotonic time, in seconds.
        """
        known = self._kept.pop(server_id, None)
        keeper = known[0] if known else PermitIssuer(rng=self._rng, now_s=now_s)
        self._forget_old(now_s=now_s)
        self._kept[server_id] = (keeper, now_s)
        return keeper.request(asker, per_s, priority=priority, now_s=now_s)

    def given_within(self, span_s: float, *, now_s: float) -> dict[str, int]:
        """Return, by server, how many permits were given of late."""
        return {
            server_id: keeper.given_within(span_s, now_s=now_s)
            for server_id, (keeper, _) in self._kept.items()
        }

    def _forget_old(self, *, now_s: float) -> None:
        """Forget servers that nobody asks for any more, and those over the bound."""
        while self._kept:
            first = next(iter(self._kept))
            is_old = now_s - self._kept[first][1] >= _KEPT_S
            if not is_old and len(self._kept) < _MOST_KEPT:
                return
            del self._kept[first]


class Permit(NamedTuple):
    """What one request may be sent with.

    Attributes:
        until_s: Until when, in monotonic seconds.

    .. versionadded:: 26.6.0
    """

    until_s: float


class PermitCache:
    """One instance's permits, and the servers that it may not ask for now.

    A permit whose request was not written in the end is used by the next one, while it
    is good.

    .. versionadded:: 26.6.0
    """

    def __init__(self) -> None:
        self._permits: dict[str, list[Permit]] = {}
        #: By server and priority, until when nothing of it or less urgent is asked for.
        self._closed_until_s: dict[str, dict[int, float]] = {}
        #: When requests were written with permits, the latest of each server.
        self._used_s: dict[str, collections.deque[float]] = {}

    def take(self, server_id: str, *, now_s: float) -> Permit | None:
        """Return a permit that is left and good, if there is one."""
        permits = self._permits.pop(server_id, [])
        good = [one for one in permits if now_s < one.until_s]
        if len(good) > 1:
            self._permits[server_id] = good[1:]
        return good[0] if good else None

    def give_back(self, server_id: str, permit: Permit) -> None:
        """Keep a permit whose request was not written."""
        self._permits.setdefault(server_id, []).append(permit)

    def used(self, server_id: str, *, now_s: float) -> None:
        """Note that a request was written with a permit."""
        used_s = self._used_s.setdefault(
            server_id, collections.deque(maxlen=_MOST_KEPT)
        )
        used_s.append(now_s)

    def used_within(self, server_id: str, span_s: float, *, now_s: float) -> int:
        """Return how many requests were written of late."""
        used_s = self._used_s.get(server_id, ())
        return sum(now_s - at_s < span_s for at_s in used_s)

    def block(
        self, server_id: str, wait_s: float, *, priority: int = 0, now_s: float
    ) -> None:
        """Send nothing to a server, and ask for nothing, for a while.

        Args:
            server_id: The server.
            wait_s: For how long, in seconds.
            priority: Of what was refused: more urgent requests may still ask.
            now_s: The current monotonic time, in seconds.
        """
        closed = self._closed_until_s.setdefault(server_id, {})
        closed[priority] = max(now_s + wait_s, closed.get(priority, 0.0))

    def blocked_s(self, *, priority: int = 0, now_s: float) -> dict[str, float]:
        """Return, by server, for how long nothing of a priority may be asked for."""
        until_s = {
            server_id: max(
                (at_s for one, at_s in closed.items() if one <= priority), default=0.0
            )
            for server_id, closed in self._closed_until_s.items()
        }
        return {one: at_s - now_s for one, at_s in until_s.items() if now_s < at_s}

    def discard(self, server_id: str) -> None:
        """Forget a server whose limit is over."""
        for known in (self._permits, self._closed_until_s, self._used_s):
            known.pop(server_id, None)
