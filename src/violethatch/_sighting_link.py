# SPDX-License-Identifier: MIT
"""Sightings between instances: datagrams, sent once and never answered.

A datagram that is lost costs its receiver one more failed try.
"""

from __future__ import annotations

import asyncio
import hmac
import time

from typing import Any, cast

import msgspec

from . import events
from ._serving import host_and_port
from .instances import InstanceDirectory
from .runner_health import Trouble
from .sightings import Hearsay, Sighting


#: How long sightings are gathered for one datagram, in seconds.
_GATHER_S = 0.02
#: The most sightings in a datagram, of some 40 bytes each: it fits a packet.
_DATAGRAM_SIGHTINGS = 25
#: Datagrams in a second that an instance may send to all: with 70 instances 7 KB
#: each, so that trouble everywhere doesn't fill the slowest links (10 Mbit/s).
_MOST_A_SECOND = 10
_MS_PER_S = 1000


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
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=host_and_port(endpoint)
        )

    def tell(self, sighting: Sighting) -> None:
        """Tell all instances of a sighting, soon."""
        if self._transport is None:
            return
        if not self._gathered:
            asyncio.get_running_loop().call_later(_GATHER_S, self._send)
        if len(self._gathered) < _DATAGRAM_SIGHTINGS:
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
            sightings = _sightings(message)
        except ValueError as error:
            events.log(events.SIGHTING_LOST, reason=str(error))
            return
        token = self._directory.own.token
        if not hmac.compare_digest(message.token.encode(), token.encode()):
            events.log(events.SIGHTING_LOST, reason="wrong token")
            return
        self._hear(sightings, message.witness)

    def _hear(self, sightings: list[Sighting], witness: str) -> None:
        """Leave servers alone on another instance's word, and log which."""
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
        if self._transport is None or not self._count_datagram():
            return  # the others meet the trouble by themselves
        seen = [
            (one.server_id, one.trouble.value, int(one.rest_s * _MS_PER_S))
            for one in gathered
        ]
        for peer in self._directory.others():
            message = _Datagram(peer.token, self._directory.own.id, seen)
            body = msgspec.msgpack.encode(message)
            try:
                self._transport.sendto(body, host_and_port(peer.address))
            except (OSError, ValueError) as error:
                events.log(events.SIGHTING_LOST, instance_id=peer.id, reason=str(error))

    def _count_datagram(self) -> bool:
        """Count a datagram to all, if one more may be sent in this second."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._sent_in_second = 0
        if self._sent_in_second >= _MOST_A_SECOND:
            return False
        self._sent_in_second += 1
        return True


def _sightings(message: _Datagram) -> list[Sighting]:
    """Return the sightings in a datagram.

    Raises:
        ValueError: A kind of trouble is not known.
    """
    return [
        Sighting(server_id, Trouble(trouble), rest_ms / _MS_PER_S)
        for server_id, trouble, rest_ms in message.seen
    ]
