# SPDX-License-Identifier: MIT
"""Exchange of slow runners' reports between instances."""

from __future__ import annotations

from . import clocks
from ._peer_datagrams import PaceDatagram, PeerDatagrams, SendAllowance
from .slow_runners import SlowRunners


#: Maximum number of datagrams that an instance broadcasts per second.
_MAX_DATAGRAMS_PER_S = 5


class SlowRunnerLink:
    """Broadcasts the reports of slow runners and receives those of other instances.

    Args:
        datagrams: The transport.
        slow_runners: The known slow runners.
    """

    def __init__(self, datagrams: PeerDatagrams, slow_runners: SlowRunners) -> None:
        self._datagrams = datagrams
        self._slow_runners = slow_runners
        self._allowance = SendAllowance(most_a_second=_MAX_DATAGRAMS_PER_S)
        datagrams.on(PaceDatagram, self._receive)

    def broadcast(self, server_id: str, slowness: float) -> None:
        """Broadcast a runner's report to all instances, unless over the rate limit."""
        if not self._allowance.take():
            return
        directory = self._datagrams.directory
        for peer in directory.others():
            message = PaceDatagram(peer.token, directory.own.id, server_id, slowness)
            self._datagrams.send(peer, message)

    def _receive(self, message: PaceDatagram) -> None:
        """Record a report from another instance."""
        self._slow_runners.record(
            message.server_id, message.slowness, now_s=clocks.now_s()
        )
