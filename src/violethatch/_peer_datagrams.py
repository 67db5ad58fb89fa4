# SPDX-License-Identifier: MIT
"""Datagrams between instances, sent once and never answered."""

from __future__ import annotations

import asyncio
import hmac

from collections.abc import Callable
from typing import Annotated, Any, cast

import msgspec

from . import clocks, events
from ._decoding import decoded
from ._serving import host_and_port, when_free
from .instances import InstanceDirectory, InstanceEntry
from .start_reservations import ClaimOutcome


#: Numbers that mean something: no sum may become infinite, or no number at all.
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
#: No start is reserved for later, in ms: three times the latest retry that is told.
LONGEST_LEFT_MS = 9_000
#: No word on links counts longer, in ms: at 1,000 instances they are told each 37 s.
LONGEST_LINKS_LIFE_MS = 120_000
#: The most services that one datagram names.
MAX_LOST_SERVICES = 32
LeftMs = Annotated[int, msgspec.Meta(ge=0, le=LONGEST_LEFT_MS)]
#: A work's id; what is longer is not read, see `work_ids.check_work_id`.
WorkId = Annotated[str, msgspec.Meta(max_length=32)]


class SightingsDatagram(msgspec.Struct, array_like=True, tag="s"):
    """Servers' troubles; the token is the receiver's own."""

    token: str
    sender: str
    #: A server, its trouble and the rest in ms, each.
    seen: list[tuple[str, str, int]]


class _PlainLoadDatagram(msgspec.Struct, array_like=True, tag="l"):
    """A sum of loads where nothing is governed; the token is the receiver's own."""

    token: str
    sender: str
    direction: str
    instances: Count
    pipe_ms_per_s: Amount
    age_ms: Count
    #: Packed changes, see `_load_link`.
    servers: bytes


class LoadDatagram(_PlainLoadDatagram, tag="l"):
    """A sum of loads; the token is the receiver's own."""

    #: What is offered, packed, see `demand`; instances before 26.5.0 don't send it.
    demand: bytes = b""


class PaceDatagram(msgspec.Struct, array_like=True, tag="p"):
    """A runner's word on its pace; the token is the receiver's own."""

    token: str
    sender: str
    server_id: str
    slowness: Amount


class RetryAskDatagram(msgspec.Struct, array_like=True, tag="r"):
    """A question for retries; the token is the receiver's own."""

    token: str
    sender: str
    number: int
    service: str
    wanted: Amount


class RetryGiftDatagram(msgspec.Struct, array_like=True, tag="g"):
    """Retries that the sender has taken off its part; the token is the receiver's."""

    token: str
    sender: str
    #: That of the question.
    number: int
    amount: Amount


class EndsDatagram(msgspec.Struct, array_like=True, tag="e"):
    """Ends of servers under traits; the token is the receiver's own."""

    token: str
    sender: str
    #: A trait, a server's lifetime, whether the answer had begun, and who saw it.
    ends: list[tuple[str, str, bool, str]]


class LimitDatagram(msgspec.Struct, array_like=True, tag="w"):
    """A server's word on its limit; the token is the receiver's own."""

    token: str
    sender: str
    #: The server's start.
    lifetime: str
    #: Requests a second; None where the limit is over.
    limit_a_s: Amount | None
    #: How long ago the answered request was sent, and its answer came.
    sent_ago_ms: Count
    heard_ago_ms: Count
    #: Whether the receiver is to tell all others.
    is_for_all: bool


class PermitAskDatagram(msgspec.Struct, array_like=True, tag="k"):
    """A question for a permit; the token is the receiver's own."""

    token: str
    sender: str
    number: int
    lifetime: str
    limit_a_s: Amount
    sent_ago_ms: Count
    heard_ago_ms: Count
    priority: Count
    #: Whether the sender asks for another, who took it for the keeper.
    is_passed_on: bool


class PermitDatagram(msgspec.Struct, array_like=True, tag="m"):
    """An answer to a question for a permit; the token is the receiver's own."""

    token: str
    sender: str
    #: That of the question.
    number: int
    is_given: bool
    wait_ms: Count
    #: Whether the receiver is the keeper itself, by the sender's list.
    is_yours: bool


class ClearedDatagram(msgspec.Struct, array_like=True, tag="c"):
    """A trait that an answer has cleared; the token is the receiver's own."""

    token: str
    sender: str
    trait: str


class ReservedDatagram(msgspec.Struct, array_like=True, tag="v"):
    """A start that is reserved for a work; the token is the receiver's own."""

    token: str
    sender: str
    work: WorkId
    left_ms: LeftMs


class ClaimDatagram(msgspec.Struct, array_like=True, tag="q"):
    """A claim of a work's reservation; the token is the receiver's own."""

    token: str
    sender: str
    number: Count
    work: WorkId


class ClaimedDatagram(msgspec.Struct, array_like=True, tag="a"):
    """An answer to a claim; the token is the receiver's own."""

    token: str
    sender: str
    #: That of the claim.
    number: Count
    outcome: ClaimOutcome
    left_ms: LeftMs


class LostLinksDatagram(msgspec.Struct, array_like=True, tag="n"):
    """The services that the sender reaches no server of; the token is the receiver's.

    Instances before 26.13.0 don't know it.
    """

    token: str
    sender: str
    #: The sender's process, and which of its changes this is.
    lifetime: Count
    number: Count
    #: How long it counts without being sent again.
    life_ms: Annotated[int, msgspec.Meta(ge=0, le=LONGEST_LINKS_LIFE_MS)]
    services: Annotated[list[str], msgspec.Meta(max_length=MAX_LOST_SERVICES)]


#: How many lines of lost datagrams are written in a second.
_MAX_LINES_PER_S = 5

Datagram = (
    SightingsDatagram
    | LoadDatagram
    | PaceDatagram
    | RetryAskDatagram
    | RetryGiftDatagram
    | EndsDatagram
    | ClearedDatagram
    | LimitDatagram
    | PermitAskDatagram
    | PermitDatagram
    | ReservedDatagram
    | ClaimDatagram
    | ClaimedDatagram
    | LostLinksDatagram
)


def encoded(message: Datagram) -> bytes:
    """Return a datagram's bytes.

    Sums of loads without demand are encoded without that field: msgspec writes
    defaults of arrays out, which would add two bytes where nothing is governed.
    """
    if isinstance(message, LoadDatagram) and not message.demand:
        plain = [
            getattr(message, name) for name in _PlainLoadDatagram.__struct_fields__
        ]
        return msgspec.msgpack.encode(_PlainLoadDatagram(*plain))
    return msgspec.msgpack.encode(message)


class SendAllowance:
    """How often something may be sent to all instances.

    Args:
        most_a_second: The most sends in each second of the monotonic clock.
    """

    def __init__(self, *, most_a_second: int) -> None:
        self._most_a_second = most_a_second
        self._second = 0
        self._sent = 0

    def take(self) -> bool:
        """Take one send; tell whether it was left."""
        second = int(clocks.now_s())
        if second != self._second:
            self._second = second
            self._sent = 0
        if self._sent >= self._most_a_second:
            return False
        self._sent += 1
        return True


class PeerDatagrams(asyncio.DatagramProtocol):
    """One socket for all datagrams between instances.

    Args:
        directory: Who the others are.
    """

    def __init__(self, directory: InstanceDirectory) -> None:
        self.directory = directory
        self._transport: asyncio.DatagramTransport | None = None
        self._decoder = msgspec.msgpack.Decoder(Datagram)
        self._takers: dict[type[Datagram], Callable[[Any], None]] = {}
        self._lines = SendAllowance(most_a_second=_MAX_LINES_PER_S)
        #: Lost datagrams without a line since the last one that has a line.
        self._lost_unlogged = 0

    @property
    def is_open(self) -> bool:
        """Whether datagrams can be sent."""
        return self._transport is not None

    def on(self, kind: type[Datagram], take: Callable[[Any], None]) -> None:
        """Have datagrams of a kind taken in; what can't be is a ValueError."""
        self._takers[kind] = take

    async def start(self, endpoint: str) -> None:
        """Listen on an address.

        Raises:
            AddressError: The address can't be listened on.
        """
        loop = asyncio.get_running_loop()
        address = host_and_port(endpoint)
        await when_free(
            endpoint,
            lambda: loop.create_datagram_endpoint(lambda: self, local_addr=address),
        )

    def send(self, peer: InstanceEntry, message: Datagram) -> None:
        """Send a datagram; one that can't be sent is lost."""
        if self._transport is None:
            return
        body = encoded(message)
        try:
            self._transport.sendto(body, host_and_port(peer.address))
        except (OSError, ValueError) as error:
            self._log_lost(str(error), instance_id=peer.id)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Let go of the transport."""
        self._transport = None

    def error_received(self, exc: Exception) -> None:
        """Go on: the datagram is lost, as others are."""
        self._log_lost(repr(exc))

    def datagram_received(self, data: bytes, _address: Any) -> None:
        """Take another instance's datagram in."""
        try:
            message = decoded(self._decoder, data)
            self._check(message)
            take = self._takers.get(type(message))
            if take is not None:
                take(message)
        except ValueError as error:
            self._log_lost(str(error))

    def _log_lost(self, reason: str, **fields: str) -> None:
        """Log a lost datagram; after a return of all instances most are lost."""
        if not self._lines.take():
            self._lost_unlogged += 1
            return
        events.log(
            events.DATAGRAM_LOST, reason=reason, unlogged=self._lost_unlogged, **fields
        )
        self._lost_unlogged = 0

    def _check(self, message: Datagram) -> None:
        """Check who sent a datagram.

        Raises:
            ValueError: The sender has not read this instance's entry.
        """
        token = self.directory.own.token
        if not hmac.compare_digest(message.token.encode(), token.encode()):
            msg = "wrong token"
            raise ValueError(msg)
