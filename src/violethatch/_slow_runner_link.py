# SPDX-License-Identifier: MIT
"""Slow runners' words on their pace, passed on to all instances."""

from __future__ import annotations

from . import clocks
from ._peer_datagrams import PaceDatagram, PeerDatagrams, SendAllowance
from .slow_runners import SlowRunners


#: Datagrams in a second that an instance may send to all.
_MOST_A_SECOND = 5


class SlowRunnerLink:
    """Tells all instances what runners have said, and takes their words in.

    Args:
        datagrams: Carries them.
        paces: What is known of slow runners.
    """

    def __init__(self, datagrams: PeerDatagrams, paces: SlowRunners) -> None:
        self._datagrams = datagrams
        self._paces = paces
        self._allowance = SendAllowance(most_a_second=_MOST_A_SECOND)
        datagrams.on(PaceDatagram, self._take)

    def broadcast(self, server_id: str, slowness: float) -> None:
        """Tell all instances of a runner's word; too many are not told."""
        if not self._allowance.take():
            return
        directory = self._datagrams.directory
        for peer in directory.others():
            message = PaceDatagram(peer.token, directory.own.id, server_id, slowness)
            self._datagrams.send(peer, message)

    def _take(self, message: PaceDatagram) -> None:
        """Take another instance's word in."""
        self._paces.record(message.server_id, message.slowness, now_s=clocks.now_s())
