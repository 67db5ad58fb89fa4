# SPDX-License-Identifier: MIT
"""Sightings between instances: datagrams, sent once and never answered.

One that is lost costs the receiver no more than it did before there were any.
"""

from __future__ import annotations

import asyncio
import hmac
import time

from typing import Any, cast

import msgspec

from . import events
from .instances import InstanceDirectory
from .runner_health import Trouble
from .sightings import Hearsay, Sighting


#: How long sightings are gathered for one datagram, in seconds.
_GATHER_S = 0.02
#: The most sightings in a datagram, of some 40 bytes each: it fits a packet.
_MOST_IN_ONE = 25
#: Datagrams in a second that an instance may send to all: with 70 instances 7 KB
#: each, so that trouble everywhere doesn't fill the slowest links (10 Mbit/s).
_MOST_A_SECOND = 10


class _Datagram(msgspec.Struct, array_like=True):
    """What is sent; the token is the receiver's own."""

    token: str
    witness: str
    #: A server, its trouble and the rest in ms, each.
    seen: list[tuple[str, str, int]]


class SightingLink(asyncio.DatagramProtocol):
    """Sends own sightings to all instances, and takes theirs in.

    Args:
        directory: Who the others are.
        hearsay: Takes what they tell.
    """

    def __init__(self, directory: InstanceDirectory, hearsay: Hearsay) -> None:
        self._directory = directory
        self._hearsay = hearsay
        self._transport: asyncio.DatagramTransport | None = None
        self._decoder = msgspec.msgpack.Decoder(_Datagram)
        self._gathered: list[Sighting] = []
        self._second = 0
        self._sent_in_second = 0

    async def start(self, endpoint: str) -> None:
        """Listen on an address.

        Raises:
            OSError: The address can't be listened on.
        """
        address, _, port = endpoint.partition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address, int(port))
        )

    def tell(self, sighting: Sighting) -> None:
        """Tell all instances of a sighting, soon."""
        if self._transport is None:
            return
        if not self._gathered:
            asyncio.get_running_loop().call_later(_GATHER_S, self._send)
        if len(self._gathered) < _MOST_IN_ONE:
            self._gathered.append(sighting)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Let go of the transport."""
        self._transport = None

    def error_received(self, exc: Exception) -> None:
        """Go on: the datagram is lost, as others are."""
        events.log(events.SIGHTING_LOST, reason=repr(exc))

    def datagram_received(self, data: bytes, _address: Any) -> None:
        """Take another instance's sightings in."""
        try:
            message = self._decoder.decode(data)
            sightings = [
                Sighting(server_id, Trouble(trouble), rest_ms / 1000)
                for server_id, trouble, rest_ms in message.seen
            ]
        except ValueError as error:
            events.log(events.SIGHTING_LOST, reason=str(error))
            return
        token = self._directory.own.token
        if not hmac.compare_digest(message.token.encode(), token.encode()):
            events.log(events.SIGHTING_LOST, reason="wrong token")
            return
        self._take(sightings, message.witness)

    def _take(self, sightings: list[Sighting], witness: str) -> None:
        """Leave alone whom others have trouble with."""
        now_s = time.monotonic()
        believed = [
            one.server_id
            for one in sightings
            if self._hearsay.heard(one, witness=witness, now_s=now_s)
        ]
        if believed:
            events.log(events.SIGHTING_HEARD, witness=witness, server_ids=believed)

    def _send(self) -> None:
        """Send what was gathered to all instances."""
        gathered, self._gathered = self._gathered, []
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._sent_in_second = 0
        if self._transport is None or self._sent_in_second >= _MOST_A_SECOND:
            return  # the others meet it by themselves
        self._sent_in_second += 1
        seen = [
            (one.server_id, one.trouble.value, int(one.rest_s * 1000))
            for one in gathered
        ]
        for peer in self._directory.others():
            message = _Datagram(peer.token, self._directory.own.id, seen)
            address, _, port = peer.address.partition(":")
            self._transport.sendto(
                msgspec.msgpack.encode(message), (address, int(port))
            )
