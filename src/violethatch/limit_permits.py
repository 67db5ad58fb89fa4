# SPDX-License-Identifier: MIT
"""Permits for sends to a server whose rate limit all instances share.

Load: an overloaded first runner advertises how many requests a second it accepts from
all instances together: from less than one to about fifty, usually less than the demand.
The demand is spread evenly or arrives at a single instance, among 8 to 350 instances.

One instance, the *issuer*, counts for all: each send needs a permit from it, which is
valid for one send and for a short time.  An instance requests a permit when it has a
request to send.  If the permit is refused, the request is sent to another server at
once, and the instance requests no permit for a while.  That delay grows with the number
of requesters, so that the load on the issuer does not.  Instances accumulate no
permits, so there is no burst when a limit becomes known or after a start, a suspension
or a time without demand.

Alternatives, compared in a replay with 8, 64 and 350 instances
(`docs/design/platform.md`): equal parts for the listed instances; only a few instances,
by rank, that send to the server; parts in proportion to demand, reported along the tree
of loads.

Instances with more urgent requests retry sooner, so that the permits of a limit go
first to requests with a high workspace and route priority.  No permit is reserved for
them, and less urgent requests still get some.

The constants ensure that the sends of all instances stay within the limit over any
`WINDOW_S`, including the lifetime of permits.  They also spread permits over the
window, so that an overloaded server receives no bursts and a new issuer adds little to
what the previous one has issued.

.. versionadded:: 26.6.0
"""

from __future__ import annotations

import collections
import math
import random

from typing import NamedTuple


#: Length of the sliding window in which the limit is never exceeded, in seconds.
WINDOW_S = 4.0
#: Lifetime of a permit from when it was requested, in seconds: a round trip to the
#: issuer, and a new connection to the server.
PERMIT_LIFETIME_S = 0.1
#: Minimum rate of any limit, in requests a second: a server that receives no requests
#: has no way to lift its limit.
MIN_LIMIT_PER_S = 1.0 / 30.0
#: Maximum burst, in permits and as seconds of the rate; the larger applies.  It makes
#: up for permits that were not requested when they became due.
_MIN_BURST_PERMITS = 2.0
_BURST_S = 0.1
#: Time for which a requester is expected to retry, in seconds.
_REQUESTER_TTL_S = 30.0
#: Target rate of all retries together, as retries for each permit and as a maximum a
#: second; each takes about 100 bytes in both directions.
_RETRIES_PER_PERMIT = 8.0
_MAX_RETRIES_PER_S = 30.0
#: Factor on the retry delay of less urgent requests, and the time for which a more
#: urgent request causes it, in seconds: permits that become due meanwhile are left to
#: the more urgent ones.
_LOW_PRIORITY_DELAY_FACTOR = 8.0
_PRIORITY_DEMAND_TTL_S = 2.0
#: Maximum retry delay, in seconds: all demand may have moved to one instance by then.
_MAX_WAIT_S = 30.0
#: Maximum number of servers with an issuer, and the time without requests after which
#: an issuer is removed, in seconds: more than the window, which must not start anew.
_MAX_SERVERS = 1_000
_IDLE_TTL_S = 60.0


class PermitReply(NamedTuple):
    """An issuer's reply.

    Attributes:
        is_granted: Whether one request may be sent.
        wait_s: Delay before the next request for a permit if not, in seconds.

    .. versionadded:: 26.6.0
    """

    is_granted: bool
    wait_s: float = 0.0


GRANTED = PermitReply(is_granted=True)


class PermitIssuer:
    """Issues the permits of one server.

    Args:
        rng: Adds jitter to retry delays.
        now_s: The current monotonic time, in seconds.

    .. versionadded:: 26.6.0
    """

    def __init__(self, *, rng: random.Random, now_s: float) -> None:
        self._rng = rng
        self._granted_at_s: collections.deque[float] = collections.deque()
        self._per_s = 0.0
        #: Time when the next permit is due at an even pace.
        self._next_due_s = now_s
        self._requested_at_s: dict[str, float] = {}
        self._last_sweep_s = now_s
        #: Time of the last request for a permit, by priority.
        self._demand_at_s: dict[int, float] = {}

    def request(
        self, requester: str, per_s: float, *, priority: int = 0, now_s: float
    ) -> PermitReply:
        """Grant a permit, or return the delay before the next attempt.

        Args:
            requester: The instance that has a request for the server.
            per_s: The server's limit, in requests a second.
            priority: Priority of the request; 0 is the most urgent.
            now_s: The current monotonic time, in seconds.
        """
        self._set_rate(max(MIN_LIMIT_PER_S, per_s), now_s=now_s)
        self._record_requester(requester, now_s=now_s)
        self._demand_at_s[priority] = now_s
        next_grant_s = self._next_grant_s(now_s=now_s)
        if now_s >= next_grant_s:
            self._granted_at_s.append(now_s)
            self._next_due_s = max(self._next_due_s, now_s) + 1.0 / self._per_s
            return GRANTED
        delay_s = self._retry_delay_s(next_grant_s - now_s, priority, now_s=now_s)
        return PermitReply(is_granted=False, wait_s=delay_s)

    def granted_within(self, window_s: float, *, now_s: float) -> int:
        """Return how many permits were granted in the last seconds."""
        return sum(now_s - at_s < window_s for at_s in self._granted_at_s)

    def _set_rate(self, per_s: float, *, now_s: float) -> None:
        """Change the rate; no permit is due at once, as instances may have sent."""
        if per_s != self._per_s:
            self._per_s = per_s
            self._next_due_s = now_s + 1.0 / per_s + self._tolerance_s

    @property
    def _tolerance_s(self) -> float:
        """How far permits may be ahead of the even pace, in seconds."""
        burst = max(_MIN_BURST_PERMITS, _BURST_S * self._per_s)
        return (burst - 1.0) / self._per_s

    def _next_grant_s(self, *, now_s: float) -> float:
        """Return the earliest time at which a permit can be granted."""
        window_permits = WINDOW_S * self._per_s
        # Below one permit in a window, the window is as long as one permit takes.
        window_s = PERMIT_LIFETIME_S + max(WINDOW_S, 1.0 / self._per_s)
        max_permits = max(1, math.floor(window_permits + 1e-9))
        while self._granted_at_s and now_s - self._granted_at_s[0] >= window_s:
            self._granted_at_s.popleft()
        paced_s = self._next_due_s - self._tolerance_s
        if len(self._granted_at_s) < max_permits:
            return paced_s
        return max(paced_s, self._granted_at_s[-max_permits] + window_s)

    def _record_requester(self, requester: str, *, now_s: float) -> None:
        """Record a requester, and remove expired ones once a second."""
        self._requested_at_s[requester] = now_s
        if now_s - self._last_sweep_s > 1.0:
            self._last_sweep_s = now_s
            self._requested_at_s = {
                instance_id: requested_s
                for instance_id, requested_s in self._requested_at_s.items()
                if now_s - requested_s < _REQUESTER_TTL_S
            }

    def _retry_delay_s(
        self, next_grant_in_s: float, priority: int, *, now_s: float
    ) -> float:
        """Return the delay before a requester should retry, in seconds."""
        retries_per_s = min(_MAX_RETRIES_PER_S, _RETRIES_PER_PERMIT * self._per_s)
        mean_s = len(self._requested_at_s) / retries_per_s
        jitter_s = self._rng.uniform(0.0, 2.0 * mean_s)
        delay_s = max(next_grant_in_s, jitter_s)
        if any(
            other < priority and now_s - demand_s < _PRIORITY_DEMAND_TTL_S
            for other, demand_s in self._demand_at_s.items()
        ):
            delay_s = next_grant_in_s + _LOW_PRIORITY_DELAY_FACTOR * jitter_s
        return min(_MAX_WAIT_S, delay_s)


class PermitIssuers:
    """The servers for which one instance issues permits.

    Args:
        rng: Adds jitter to retry delays.

    .. versionadded:: 26.6.0
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._issuers: dict[str, tuple[PermitIssuer, float]] = {}

    def __len__(self) -> int:
        return len(self._issuers)

    def request(
        self,
        server_id: str,
        requester: str,
        per_s: float,
        *,
        priority: int = 0,
        now_s: float,
    ) -> PermitReply:
        """Grant a permit for a server, or return the delay before the next attempt.

        Args:
            server_id: The server that the request is for.
            requester: The instance that has the request.
            per_s: The server's limit, in requests a second.
            priority: Priority of the request; 0 is the most urgent.
            now_s: The current monotonic time, in seconds.
        """
        known = self._issuers.pop(server_id, None)
        issuer = known[0] if known else PermitIssuer(rng=self._rng, now_s=now_s)
        self._evict(now_s=now_s)
        self._issuers[server_id] = (issuer, now_s)
        return issuer.request(requester, per_s, priority=priority, now_s=now_s)

    def granted_within(self, window_s: float, *, now_s: float) -> dict[str, int]:
        """Return how many permits were granted in the last seconds, by server id."""
        return {
            server_id: issuer.granted_within(window_s, now_s=now_s)
            for server_id, (issuer, _) in self._issuers.items()
        }

    def _evict(self, *, now_s: float) -> None:
        """Remove idle issuers, and those above the maximum."""
        while self._issuers:
            oldest = next(iter(self._issuers))
            is_idle = now_s - self._issuers[oldest][1] >= _IDLE_TTL_S
            if not is_idle and len(self._issuers) < _MAX_SERVERS:
                return
            del self._issuers[oldest]


class Permit(NamedTuple):
    """Permission to send one request.

    Attributes:
        until_s: Monotonic time of its expiry, in seconds.

    .. versionadded:: 26.6.0
    """

    until_s: float


class PermitCache:
    """One instance's unused permits, and the servers for which it must not request any.

    A permit whose request was not written is used by the next one, until it expires.

    .. versionadded:: 26.6.0
    """

    def __init__(self) -> None:
        self._permits: dict[str, list[Permit]] = {}
        #: By server id and priority: the time until which requests of this priority,
        #: and less urgent ones, get no permit.
        self._blocked_until_s: dict[str, dict[int, float]] = {}
        #: By server id: the latest times at which requests were written with permits.
        self._used_at_s: dict[str, collections.deque[float]] = {}

    def pop(self, server_id: str, *, now_s: float) -> Permit | None:
        """Remove and return an unused permit that has not expired, or None."""
        permits = self._permits.pop(server_id, [])
        valid = [permit for permit in permits if now_s < permit.until_s]
        if len(valid) > 1:
            self._permits[server_id] = valid[1:]
        return valid[0] if valid else None

    def add(self, server_id: str, permit: Permit) -> None:
        """Store a permit whose request was not written."""
        self._permits.setdefault(server_id, []).append(permit)

    def record_use(self, server_id: str, *, now_s: float) -> None:
        """Record that a request was written with a permit."""
        used_at_s = self._used_at_s.setdefault(
            server_id, collections.deque(maxlen=_MAX_SERVERS)
        )
        used_at_s.append(now_s)

    def used_within(self, server_id: str, window_s: float, *, now_s: float) -> int:
        """Return how many requests were written in the last seconds."""
        used_at_s = self._used_at_s.get(server_id, ())
        return sum(now_s - at_s < window_s for at_s in used_at_s)

    def block(
        self, server_id: str, wait_s: float, *, priority: int = 0, now_s: float
    ) -> None:
        """Block requests to a server, and requests for its permits.

        Args:
            server_id: The server.
            wait_s: Duration, in seconds.
            priority: Priority of the refused request: more urgent ones aren't blocked.
            now_s: The current monotonic time, in seconds.
        """
        blocked = self._blocked_until_s.setdefault(server_id, {})
        blocked[priority] = max(now_s + wait_s, blocked.get(priority, 0.0))

    def blocked_s(self, *, priority: int = 0, now_s: float) -> dict[str, float]:
        """Return the remaining seconds of each server blocked for a priority, by id."""
        until_s = {
            server_id: max(
                (at_s for other, at_s in blocked.items() if other <= priority),
                default=0.0,
            )
            for server_id, blocked in self._blocked_until_s.items()
        }
        return {
            server_id: at_s - now_s
            for server_id, at_s in until_s.items()
            if now_s < at_s
        }

    def discard(self, server_id: str) -> None:
        """Remove the state of a server whose limit was lifted."""
        for state in (self._permits, self._blocked_until_s, self._used_at_s):
            state.pop(server_id, None)
