# SPDX-License-Identifier: MIT
"""Requests retries from other instances and grants them some."""

from __future__ import annotations

import asyncio
import functools
import itertools
import random

from typing import NamedTuple, Protocol

from . import clocks, events, running_time
from ._peer_datagrams import PeerDatagrams, RetryAskDatagram, RetryGiftDatagram
from .instances import InstanceEntry
from .running_time import LATE_S


#: Number of instances in one request, those of the own zone first.  Each grants up to
#: half of its share: six of 64 grant about eight retries, six of 350 one or two.
_MAX_PEERS = 6
#: Response timeout, in seconds: a round trip between zones and the event-loop delays
#: of small instances.  The stream is delayed by it.
_TIMEOUT_S = 0.05
#: Retries per request.
_REQUESTED_RETRIES = 8.0


class Account(Protocol):
    """An instance's retry budgets by service."""

    def grant_retries(self, service: str, requested: float) -> float:
        """Withdraw and return the amount granted to another instance."""

    def receive_retries(self, service: str, amount: float) -> None:
        """Add an amount that another instance has granted."""


class _PendingRequest(NamedTuple):
    """A pending request: peers yet to respond, and futures to resolve."""

    service: str
    peers: set[str]
    waiters: list[asyncio.Future[None]]


class RetryLink:
    """Transfers retries between instances.

    Args:
        datagrams: The transport.
        account: This instance's retry budgets.
        rng: Selects the peers.
    """

    def __init__(
        self, datagrams: PeerDatagrams, account: Account, *, rng: random.Random
    ) -> None:
        self._datagrams = datagrams
        self._account = account
        self._rng = rng
        self._numbers = itertools.count(rng.getrandbits(31))
        self._pending: dict[int, _PendingRequest] = {}
        #: By service, the request that concurrent callers share.
        self._shared: dict[str, _PendingRequest] = {}
        datagrams.on(RetryAskDatagram, self._handle_request)
        datagrams.on(RetryGiftDatagram, self._handle_grant)

    async def request(self, service: str) -> bool:
        """Request retries from peers; return whether any were granted in time.

        Grants that arrived during a stall of the event loop may be too old, so that
        the request is repeated after a stall.
        """
        started_s = clocks.now_s()
        if await self._request_once(service):
            return True
        has_stalled = clocks.now_s() - started_s > _TIMEOUT_S + LATE_S
        return has_stalled and await self._request_once(service)

    async def _request_once(self, service: str) -> bool:
        """Send or join one request; return whether a grant arrived in time."""
        pending = self._shared.get(service) or self._send(service)
        if pending is None:
            return False
        granted = asyncio.get_running_loop().create_future()
        pending.waiters.append(granted)
        # The caller logs a failed request.
        return await running_time.wait((granted,), limit_s=_TIMEOUT_S)

    def _send(self, service: str) -> _PendingRequest | None:
        """Send a request to selected peers; return None without peers."""
        peers = self._select_peers()
        if not peers:
            return None
        number = next(self._numbers)
        pending = _PendingRequest(service, {peer.id for peer in peers}, [])
        self._pending[number] = pending
        self._shared[service] = pending
        running_time.call_later(_TIMEOUT_S, functools.partial(self._expire, number))
        own_id = self._datagrams.directory.own.id
        for peer in peers:
            message = RetryAskDatagram(
                peer.token, own_id, number, service, _REQUESTED_RETRIES
            )
            self._datagrams.send(peer, message)
        return pending

    def _select_peers(self) -> list[InstanceEntry]:
        """Return the peers to query: some of the own zone, and some of any zone."""
        directory = self._datagrams.directory
        others = directory.others()
        if not self._datagrams.is_open or not others:
            return []
        zone = directory.own.availability_zone
        local = [peer for peer in others if peer.availability_zone == zone]
        selected = self._rng.sample(local, min(len(local), _MAX_PEERS // 2))
        remaining = [peer for peer in others if peer not in selected]
        return selected + self._rng.sample(
            remaining, min(len(remaining), _MAX_PEERS - len(selected))
        )

    def _expire(self, number: int) -> None:
        """Discard a request; later grants are ignored."""
        self._stop_sharing(self._pending.pop(number))

    def _stop_sharing(self, pending: _PendingRequest) -> None:
        """Stop sharing a request, so that the next one selects new peers."""
        if self._shared.get(pending.service) is pending:
            del self._shared[pending.service]

    def _handle_request(self, message: RetryAskDatagram) -> None:
        """Grant retries to another instance, if available."""
        amount = self._account.grant_retries(message.service, message.wanted)
        if not amount:
            return
        directory = self._datagrams.directory
        peer = next(
            (entry for entry in directory.others() if entry.id == message.sender), None
        )
        if peer is None:
            return  # unknown sender; the withdrawn retries are lost
        grant = RetryGiftDatagram(peer.token, directory.own.id, message.number, amount)
        self._datagrams.send(peer, grant)

    def _handle_grant(self, message: RetryGiftDatagram) -> None:
        """Add granted retries, once per queried peer."""
        pending = self._pending.get(message.number)
        if pending is None or message.sender not in pending.peers:
            return  # expired request or duplicate datagram
        pending.peers.discard(message.sender)
        self._account.receive_retries(pending.service, message.amount)
        events.log(
            events.RETRIES_GIVEN,
            service=pending.service,
            giver=message.sender,
            amount=round(message.amount, 2),
        )
        if not pending.peers:
            self._stop_sharing(pending)
        for waiter in pending.waiters:
            if not waiter.done():
                waiter.set_result(None)
        pending.waiters.clear()
