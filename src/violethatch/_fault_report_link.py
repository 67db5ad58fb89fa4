# SPDX-License-Identifier: MIT
"""Sightings between instances; one that is lost costs its receiver a failed try."""

from __future__ import annotations

import asyncio

from collections.abc import Callable

from . import clocks, events
from ._listed import format_lifetime, parse_lifetime
from ._peer_datagrams import PeerDatagrams, SendAllowance, SightingsDatagram
from .fault_reports import FaultReport, FaultReportReceiver
from .runner_health import ServerFault


#: How long sightings are gathered for one datagram, in seconds.
_GATHER_S = 0.02
#: The most sightings in a datagram, of some 40 bytes each: it fits a packet.
_DATAGRAM_SIGHTINGS = 25
#: Datagrams in a second that an instance may send to all: with 70 instances 7 KB
#: each, so that trouble everywhere doesn't fill the slowest links (10 Mbit/s).
_MOST_A_SECOND = 10
_MS_PER_S = 1000


class FaultReportLink:
    """Sends own sightings to all instances, and takes theirs in.

    Args:
        datagrams: Carries them.
        hearsay: Takes what others tell.
    """

    def __init__(self, datagrams: PeerDatagrams, hearsay: FaultReportReceiver) -> None:
        self._datagrams = datagrams
        self._hearsay = hearsay
        #: Tells when a server's known start was, if it is known.
        self.started_ms: Callable[[str], int | None] = lambda _server_id: None
        self._gathered: list[FaultReport] = []
        self._allowance = SendAllowance(most_a_second=_MOST_A_SECOND)
        datagrams.on(SightingsDatagram, self._take)

    def broadcast(self, sighting: FaultReport) -> None:
        """Tell all instances of a sighting, soon."""
        if not self._datagrams.is_open:
            return
        if not self._gathered:
            asyncio.get_running_loop().call_later(_GATHER_S, self._send)
        if len(self._gathered) < _DATAGRAM_SIGHTINGS:
            self._gathered.append(sighting)

    def _take(self, message: SightingsDatagram) -> None:
        """Leave servers alone on another instance's word, and log which.

        Raises:
            ValueError: A kind of trouble is not known.
        """
        now_s = clocks.now_s()
        believed = [
            one.server_id
            for one in _sightings(message)
            if not self._is_over(one)
            and self._hearsay.receive(one, witness=message.sender, now_s=now_s)
        ]
        if believed:
            events.log(
                events.SIGHTING_HEARD, witness=message.sender, server_ids=believed
            )

    def _is_over(self, sighting: FaultReport) -> bool:
        """Tell whether a sighting is of a start before the one that is known."""
        known_ms = self.started_ms(sighting.server_id) or 0
        return 0 < sighting.started_ms < known_ms

    def _send(self) -> None:
        """Send what was gathered to all instances."""
        gathered, self._gathered = self._gathered, []
        if not self._allowance.take():
            return  # the others meet the trouble by themselves
        seen = [
            (
                format_lifetime(one.server_id, one.started_ms),
                one.trouble.value,
                int(one.cooldown_s * _MS_PER_S),
            )
            for one in gathered
        ]
        directory = self._datagrams.directory
        for peer in directory.others():
            message = SightingsDatagram(peer.token, directory.own.id, seen)
            self._datagrams.send(peer, message)


def _sightings(message: SightingsDatagram) -> list[FaultReport]:
    """Return the sightings in a datagram.

    Raises:
        ValueError: A kind of trouble is not known.
    """
    return [
        FaultReport(server_id, ServerFault(trouble), rest_ms / _MS_PER_S, started_ms)
        for lifetime, trouble, rest_ms in message.seen
        for server_id, started_ms in (parse_lifetime(lifetime),)
    ]
