# SPDX-License-Identifier: MIT
"""Distributes rate limits between instances, and requests and issues permits.

A server's *issuer* issues the permits for it (`limit_permits`).  Each instance derives
the issuer from the instance list, without an agreement protocol.  It is an instance in
the server's own zone: an instance that is partitioned from that zone can reach neither
the server nor the issuer.  An instance that receives a request for a permit, but
considers another one the issuer, forwards the request, so that instances with different
lists still use the same issuer.  An issuer that doesn't reply is excluded for a while;
if no candidate replies, an instance issues an equal part of the limit to itself.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random

from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from . import clocks, events, running_time
from ._limit_enforcement import LimitEnforcer
from ._listed import format_lifetime, parse_lifetime
from ._peer_datagrams import (
    LimitDatagram,
    PeerDatagrams,
    PermitAskDatagram,
    PermitDatagram,
    SendAllowance,
)
from .backends import BackendServer
from .instances import InstanceEntry
from .limit_permits import GRANTED, WINDOW_S, PermitReply
from .membership import rendezvous
from .server_limits import Limit


#: Timeout of a reply, in seconds: a round trip between regions, and another one if the
#: request is forwarded.  The caller's request is delayed by it.
_REPLY_TIMEOUT_S = 0.06
#: Timeout of a forwarded request, in seconds; the original requester waits longer.
_FORWARDED_REPLY_TIMEOUT_S = 0.03
#: Number of attempts for a request without a reply: datagrams may be lost.
_MAX_ATTEMPTS = 2
#: Maximum delay of a timeout, in seconds.  After a longer one this instance itself was
#: stalled: the issuer may have replied, and other instances still use it.
_MAX_TIMER_DELAY_S = 0.02
#: Number of consecutive requests without a reply after which an issuer is excluded, and
#: for how long, in seconds.  Its successor doesn't know which permits it has issued, so
#: packet loss alone must not cause that: at a loss of 10% it does once in 20,000 times.
_MAX_MISSED_REPLIES = 6
_ISSUER_COOLDOWN_S = 5.0
#: Number of candidates for a server's issuer, in order of preference.
_CANDIDATE_COUNT = 3
#: Maximum number of pending requests for one server; others use another server.
_MAX_PENDING_PER_SERVER = 8
#: Retry delay after a request without a reply, in seconds.
_NO_REPLY_DELAY_S = 0.1
#: Interval between checks for new instances, in seconds: all instances must enforce a
#: limit within one second.
_POLL_INTERVAL_S = 0.5
#: Maximum number of broadcasts a second: with 350 instances and about 90 bytes for
#: each, 60 KB in a second in which two limits change.
_MAX_BROADCASTS_PER_S = 2
#: Delay before a broadcast is repeated, in seconds: longer than a burst of packet loss,
#: and short enough that all instances are notified within a second.
_REBROADCAST_DELAY_S = 0.4
_MS_PER_S = 1000
#: The lowest priority in a datagram.
_LOWEST_PRIORITY = 9
#: Reply to a requester that is itself the issuer in the list of the recipient.
_REQUESTER_IS_ISSUER = PermitReply(is_granted=False, wait_s=-1.0)
#: Maximum age in a datagram; higher ages are clamped.
_MAX_AGE_MS = 2**31 - 1


class _InstanceView(NamedTuple):
    """The instances of one list revision, and the issuer candidates by server, zone."""

    revision: int
    entries: Mapping[str, InstanceEntry]
    candidates: dict[tuple[str, str], Sequence[str]]


class LimitLink:
    """Requests and issues permits, and broadcasts rate limits.

    Args:
        datagrams: Transport between instances.
        limits: The known limits.
        rng: Selects the first request number.
        is_leaving: Returns whether this instance is shutting down, and issues no more
            permits.
    """

    def __init__(
        self,
        datagrams: PeerDatagrams,
        limits: LimitEnforcer,
        *,
        rng: random.Random,
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._datagrams = datagrams
        self._directory = datagrams.directory
        self._limits = limits
        self._is_leaving = is_leaving
        self._numbers = itertools.count(rng.getrandbits(30))
        #: By request number: the recipient, and the future for its reply.
        self._pending: dict[int, tuple[str, asyncio.Future[PermitReply]]] = {}
        #: By server id: the number of pending requests.
        self._pending_by_server: dict[str, int] = {}
        #: By instance id: the number of consecutive requests without a reply, and the
        #: time of the last one.
        self._missed_replies: dict[str, tuple[int, float]] = {}
        self._excluded_until_s: dict[str, float] = {}
        self._view = _InstanceView(-1, {}, {})
        self._started_s = clocks.now_s()
        #: Servers whose issuer would be this instance, but is the next candidate.
        self._delegated: set[str] = set()
        self._known_ids: set[str] = set()
        self._broadcast_budget = SendAllowance(most_a_second=_MAX_BROADCASTS_PER_S)
        self._tasks: set[asyncio.Task[None]] = set()
        datagrams.on(LimitDatagram, self._on_limit)
        datagrams.on(PermitAskDatagram, self._on_permit_request)
        datagrams.on(PermitDatagram, self._on_permit_reply)

    async def run(self) -> None:
        """Announce limits to new instances until cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            self._announce_to_new_instances()
            self._delegated = {
                server_id
                for server_id in self._delegated
                if self._limits.active_limit(server_id)
            }

    async def request_permit(
        self, server: BackendServer, limit: Limit, priority: int
    ) -> PermitReply:
        """Request a permit to send to a server, within a short timeout.

        Args:
            server: The recipient of the send.
            limit: The known limit of the server.
            priority: Priority of the send; 0 is the most urgent.
        """
        pending = self._pending_by_server.get(server.id, 0)
        if pending >= _MAX_PENDING_PER_SERVER:
            return PermitReply(is_granted=False, wait_s=_REPLY_TIMEOUT_S)
        self._pending_by_server[server.id] = pending + 1
        try:
            return await self._request(server, limit, priority)
        finally:
            self._pending_by_server[server.id] -= 1
            if not self._pending_by_server[server.id]:
                del self._pending_by_server[server.id]

    def announce(self, server_id: str, limit: Limit) -> None:
        """Announce a limit that this instance has received from the server."""
        issuer = self._issuer(server_id)
        if issuer is None:
            self._broadcast(server_id, limit)
        else:
            self._send_limit(issuer, server_id, limit, is_for_all=True)

    async def _request(
        self, server: BackendServer, limit: Limit, priority: int
    ) -> PermitReply:
        """Request a permit from the issuer, or from its successor without a reply."""
        own_id = self._directory.own.id
        for _ in range(_MAX_ATTEMPTS):
            issuer = self._issuer(server.id)
            if issuer is None:
                return self._issue(server.id, own_id, limit, priority)
            reply = await self._request_from(
                issuer,
                server.id,
                limit,
                priority,
                is_forwarded=self._has_delegated_to(server.id, issuer),
            )
            if reply is _REQUESTER_IS_ISSUER:
                return self._issue(server.id, own_id, limit, priority)
            if reply is not None:
                return reply
        return PermitReply(is_granted=False, wait_s=_NO_REPLY_DELAY_S)

    def _issuer(self, server_id: str) -> InstanceEntry | None:
        """Return the issuer of a server's permits; None for this instance."""
        if not self._datagrams.is_open:
            return None
        own_id = self._directory.own.id
        entries = self._entries()
        now_s = clocks.now_s()
        for candidate in self._candidates(server_id):
            if candidate == own_id:
                if self._may_issue(server_id, now_s=now_s):
                    return None
            elif now_s >= self._excluded_until_s.get(candidate, 0.0):
                return entries[candidate]
        return None

    def _may_issue(self, server_id: str, *, now_s: float) -> bool:
        """Return whether this instance issues the permits that it is selected for.

        An instance that has just started or is shutting down delegates them to the next
        candidate: the lists of other instances don't contain it yet, or no longer.  It
        does so until the limit is lifted, as a new issuer doesn't know which permits
        were issued.
        """
        if now_s - self._started_s < WINDOW_S or self._is_leaving():
            self._delegated.add(server_id)
        elif self._limits.active_limit(server_id) is None:
            self._delegated.discard(server_id)
        return server_id not in self._delegated

    def _has_delegated_to(self, server_id: str, issuer: InstanceEntry) -> bool:
        """Return whether this instance has delegated a server's permits to the issuer.

        That instance then issues them, whatever it considers the issuer: otherwise two
        instances that have both just started would forward to each other.
        """
        candidates = self._candidates(server_id)
        own_id = self._directory.own.id
        if own_id not in candidates:
            return False
        return candidates.index(own_id) < candidates.index(issuer.id)

    def _entries(self) -> Mapping[str, InstanceEntry]:
        """Return all instances by id, including this one."""
        if self._view.revision != self._directory.revision:
            own = self._directory.own
            entries = {entry.id: entry for entry in self._directory.others()}
            self._view = _InstanceView(
                self._directory.revision, entries | {own.id: own}, {}
            )
        return self._view.entries

    def _candidates(self, server_id: str) -> Sequence[str]:
        """Return the candidates for a server's issuer, in order of preference."""
        entries = self._entries()
        zone = self._limits.zone_of(server_id)
        candidates = self._view.candidates.get((server_id, zone))
        if candidates is None:
            zone_ids = [
                entry.id
                for entry in entries.values()
                if entry.availability_zone == zone
            ]
            candidates = rendezvous(
                server_id, zone_ids or entries, count=_CANDIDATE_COUNT
            )
            self._view.candidates[server_id, zone] = candidates
        return candidates

    def _issue(
        self, server_id: str, requester: str, limit: Limit, priority: int
    ) -> PermitReply:
        """Issue a permit as the issuer, or refuse it."""
        fraction = 1.0
        if self._directory.own.id not in self._candidates(server_id):
            # No candidate replies: each instance uses an equal part of the limit.
            fraction = 1.0 / len(self._entries())
        return self._limits.issue(
            server_id, requester, fraction * limit.per_s, priority=priority
        )

    async def _request_from(
        self,
        issuer: InstanceEntry,
        server_id: str,
        limit: Limit,
        priority: int,
        *,
        is_forwarded: bool = False,
    ) -> PermitReply | None:
        """Return the issuer's reply, or None after a timeout."""
        number = next(self._numbers)
        future: asyncio.Future[PermitReply]
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = (issuer.id, future)
        now_s = clocks.now_s()
        message = PermitAskDatagram(
            token=issuer.token,
            sender=self._directory.own.id,
            number=number,
            lifetime=format_lifetime(server_id, limit.started_ms),
            limit_a_s=limit.per_s,
            sent_ago_ms=_age_ms(limit.sent_s, now_s),
            heard_ago_ms=_age_ms(limit.received_s, now_s),
            priority=min(_LOWEST_PRIORITY, max(0, priority)),
            is_passed_on=is_forwarded,
        )
        self._datagrams.send(issuer, message)
        timeout_s = _FORWARDED_REPLY_TIMEOUT_S if is_forwarded else _REPLY_TIMEOUT_S
        try:
            async with running_time.timeout(timeout_s):
                reply = await future
        except TimeoutError:
            if clocks.now_s() - now_s < timeout_s + _MAX_TIMER_DELAY_S:
                self._record_missed_reply(issuer.id)
            return None
        finally:
            del self._pending[number]
        self._missed_replies.pop(issuer.id, None)
        return reply

    def _record_missed_reply(self, issuer_id: str) -> None:
        """Record a request without a reply; exclude the issuer after several.

        Concurrent requests count as one: the issuer may have been stalled for a moment.
        """
        now_s = clocks.now_s()
        previous, recorded_s = self._missed_replies.get(issuer_id, (0, -math.inf))
        if now_s - recorded_s < _REPLY_TIMEOUT_S:
            return
        missed = previous + 1
        self._missed_replies[issuer_id] = (missed, now_s)
        if missed < _MAX_MISSED_REPLIES:
            return
        self._excluded_until_s[issuer_id] = now_s + _ISSUER_COOLDOWN_S
        events.log(events.KEEPER_SILENT, instance_id=issuer_id, missed=missed)

    def _on_permit_request(self, message: PermitAskDatagram) -> None:
        """Reply to another instance's request, or forward it to the issuer."""
        requester = self._entries().get(message.sender)
        if requester is None:
            return  # its entry is not known here yet
        server_id, limit = _reported_limit(message, message.limit_a_s)
        if self._limits.update(server_id, limit) and self._issuer(server_id) is None:
            self._broadcast(server_id, limit, exclude=message.sender)
        known = self._limits.active_limit(server_id, started_ms=limit.started_ms)
        if known is None:
            self._reply(requester, message.number, GRANTED)
            latest = self._limits.server_limits.latest(server_id)
            if latest is not None and latest.is_lifted:
                self._send_limit(requester, server_id, latest)
            return
        issuer = None if message.is_passed_on else self._issuer(server_id)
        if issuer is None:
            reply = self._issue(server_id, requester.id, known, message.priority)
            self._reply(requester, message.number, reply)
        elif issuer.id == requester.id:
            self._reply(requester, message.number, _REQUESTER_IS_ISSUER)
        else:
            self._spawn(self._forward(requester, message, issuer, server_id, known))

    async def _forward(
        self,
        requester: InstanceEntry,
        message: PermitAskDatagram,
        issuer: InstanceEntry,
        server_id: str,
        limit: Limit,
    ) -> None:
        """Forward a request to the issuer, and its reply to the requester."""
        reply = await self._request_from(
            issuer, server_id, limit, message.priority, is_forwarded=True
        )
        if reply is not None:
            self._reply(requester, message.number, reply)

    def _reply(self, requester: InstanceEntry, number: int, reply: PermitReply) -> None:
        """Send a reply."""
        message = PermitDatagram(
            token=requester.token,
            sender=self._directory.own.id,
            number=number,
            is_given=reply.is_granted,
            wait_ms=max(0, math.ceil(reply.wait_s * _MS_PER_S)),
            is_yours=reply is _REQUESTER_IS_ISSUER,
        )
        self._datagrams.send(requester, message)

    def _on_permit_reply(self, message: PermitDatagram) -> None:
        """Process a reply, once and only from the recipient of the request."""
        recipient, future = self._pending.get(message.number, ("", None))
        if future is None or recipient != message.sender or future.done():
            return  # late or duplicated
        reply = PermitReply(message.is_given, message.wait_ms / _MS_PER_S)
        future.set_result(_REQUESTER_IS_ISSUER if message.is_yours else reply)

    def _on_limit(self, message: LimitDatagram) -> None:
        """Process a limit that another instance has received."""
        server_id, limit = _reported_limit(message, message.limit_a_s)
        is_new = self._limits.update(server_id, limit)
        if is_new and message.is_for_all:
            self._broadcast(server_id, limit, exclude=message.sender)

    def _broadcast(self, server_id: str, limit: Limit, *, exclude: str = "") -> None:
        """Send a limit to all other instances, and repeat it once."""
        if not self._broadcast_budget.take():
            return  # they get it from the server, or when they request a permit
        peers = [peer for peer in self._directory.others() if peer.id != exclude]
        self._send_to_peers(peers, server_id, limit)
        asyncio.get_running_loop().call_later(
            _REBROADCAST_DELAY_S, self._rebroadcast, peers, server_id
        )

    def _rebroadcast(self, peers: Sequence[InstanceEntry], server_id: str) -> None:
        """Send the limit that is now the latest to some instances."""
        latest = self._limits.server_limits.latest(server_id)
        if latest is not None:
            self._send_to_peers(peers, server_id, latest)

    def _send_to_peers(
        self, peers: Iterable[InstanceEntry], server_id: str, limit: Limit
    ) -> None:
        """Send a limit to some instances."""
        for peer in peers:
            self._send_limit(peer, server_id, limit)

    def _send_limit(
        self,
        peer: InstanceEntry,
        server_id: str,
        limit: Limit,
        *,
        is_for_all: bool = False,
    ) -> None:
        """Send a limit to one instance, which broadcasts it if it is for all."""
        now_s = clocks.now_s()
        message = LimitDatagram(
            token=peer.token,
            sender=self._directory.own.id,
            lifetime=format_lifetime(server_id, limit.started_ms),
            limit_a_s=None if limit.is_lifted else limit.per_s,
            sent_ago_ms=_age_ms(limit.sent_s, now_s),
            heard_ago_ms=_age_ms(limit.received_s, now_s),
            is_for_all=is_for_all,
        )
        self._datagrams.send(peer, message)

    def _announce_to_new_instances(self) -> None:
        """Send the limits that this instance issues permits for to new instances."""
        peers = {peer.id: peer for peer in self._directory.others()}
        new_peers = [
            peer for peer_id, peer in peers.items() if peer_id not in self._known_ids
        ]
        self._known_ids = set(peers)
        if not new_peers:
            return
        for server_id, limit in self._limits.server_limits.active().items():
            if self._issuer(server_id) is None:
                self._send_to_peers(new_peers, server_id, limit)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _age_ms(at_s: float, now_s: float) -> int:
    """Return the age of a time, as used in datagrams."""
    return min(_MAX_AGE_MS, max(0, int((now_s - at_s) * _MS_PER_S)))


def _reported_limit(
    message: LimitDatagram | PermitAskDatagram, limit_per_s: float | None
) -> tuple[str, Limit]:
    """Return the server and the limit that a datagram reports."""
    server_id, started_ms = parse_lifetime(message.lifetime)
    now_s = clocks.now_s()
    limit = Limit(
        math.inf if limit_per_s is None else limit_per_s,
        started_ms,
        0,
        now_s - message.sent_ago_ms / _MS_PER_S,
        now_s - message.heard_ago_ms / _MS_PER_S,
        reported_by=message.sender,
    )
    return server_id, limit
