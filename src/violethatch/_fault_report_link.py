# SPDX-License-Identifier: MIT
"""Exchange of fault reports between instances; a loss costs the receiver a retry."""

from __future__ import annotations

import asyncio

from collections.abc import Callable

from . import clocks, events
from ._listed import format_lifetime, parse_lifetime
from ._peer_datagrams import PeerDatagrams, SendAllowance, SightingsDatagram
from .fault_reports import FaultReport, FaultReportReceiver
from .runner_health import ServerFault


#: For how long reports are collected into one datagram, in seconds.
_BATCH_DELAY_S = 0.02
#: Reports have about 40 bytes, so that a datagram fits into a packet.
_MAX_REPORTS_PER_DATAGRAM = 25
#: Maximum number of datagrams that an instance broadcasts per second: with 70 instances
#: 7 KB each, so that widespread faults don't saturate the slowest links (10 Mbit/s).
_MAX_DATAGRAMS_PER_S = 10
_MS_PER_S = 1000


class FaultReportLink:
    """Broadcasts this instance's fault reports and receives those of others.

    Args:
        datagrams: The transport.
        receiver: Processes the reports of other instances.
    """

    def __init__(self, datagrams: PeerDatagrams, receiver: FaultReportReceiver) -> None:
        self._datagrams = datagrams
        self._receiver = receiver
        #: Returns a server's known start, or None if the server is unknown.
        self.started_ms: Callable[[str], int | None] = lambda _server_id: None
        self._batch: list[FaultReport] = []
        self._allowance = SendAllowance(most_a_second=_MAX_DATAGRAMS_PER_S)
        datagrams.on(SightingsDatagram, self._receive)

    def broadcast(self, report: FaultReport) -> None:
        """Broadcast a report to all instances, with a short delay."""
        if not self._datagrams.is_open:
            return
        if not self._batch:
            asyncio.get_running_loop().call_later(_BATCH_DELAY_S, self._flush)
        if len(self._batch) < _MAX_REPORTS_PER_DATAGRAM:
            self._batch.append(report)

    def _receive(self, message: SightingsDatagram) -> None:
        """Process another instance's reports, and log the ones that take effect.

        Raises:
            ValueError: The kind of a fault is unknown.
        """
        now_s = clocks.now_s()
        accepted = [
            report.server_id
            for report in _parse_reports(message)
            if not self._is_outdated(report)
            and self._receiver.receive(report, reporter=message.sender, now_s=now_s)
        ]
        if accepted:
            events.log(
                events.SIGHTING_HEARD, witness=message.sender, server_ids=accepted
            )

    def _is_outdated(self, report: FaultReport) -> bool:
        """Return whether a report concerns an earlier start than the known one."""
        known_ms = self.started_ms(report.server_id) or 0
        return 0 < report.started_ms < known_ms

    def _flush(self) -> None:
        """Send the collected reports to all instances."""
        reports, self._batch = self._batch, []
        if not self._allowance.take():
            return  # the other instances detect the faults on their own
        rows = [
            (
                format_lifetime(report.server_id, report.started_ms),
                report.fault.value,
                int(report.cooldown_s * _MS_PER_S),
            )
            for report in reports
        ]
        directory = self._datagrams.directory
        for peer in directory.others():
            message = SightingsDatagram(peer.token, directory.own.id, rows)
            self._datagrams.send(peer, message)


def _parse_reports(message: SightingsDatagram) -> list[FaultReport]:
    """Parse the reports in a datagram.

    Raises:
        ValueError: The kind of a fault is unknown.
    """
    return [
        FaultReport(server_id, ServerFault(fault), cooldown_ms / _MS_PER_S, started_ms)
        for lifetime, fault, cooldown_ms in message.seen
        for server_id, started_ms in (parse_lifetime(lifetime),)
    ]
