# SPDX-License-Identifier: MIT
"""Exchange of lost links between instances: no call is handed to one in vain."""

from __future__ import annotations

import asyncio

from . import clocks, events
from ._peer_datagrams import MAX_LOST_SERVICES, LostLinksDatagram, PeerDatagrams
from .forwarding import (
    AnnouncedLinks,
    LinkAnnouncement,
    LinkAnnouncer,
    LinkWatch,
    lifetime_of,
)


#: How often it is looked whom to tell, in seconds, until all know.
_TICK_S = 0.1
#: For how long changes at other instances are collected into one log line, in seconds.
_LOG_DELAY_S = 0.25
_MS_PER_S = 1000


class LostLinksLink:
    """Announces this instance's lost links and receives those of others.

    Args:
        datagrams: The transport.
        watch: Knows this instance's links.
        announced: Is updated with the others'.
    """

    def __init__(
        self,
        datagrams: PeerDatagrams,
        watch: LinkWatch,
        announced: AnnouncedLinks,
    ) -> None:
        self._datagrams = datagrams
        self._watch = watch
        self._announced = announced
        self._announcer = LinkAnnouncer(lifetime_of(datagrams.directory.own))
        self._has_changed = asyncio.Event()
        self._log_timer: asyncio.TimerHandle | None = None
        watch.on_change = self._has_changed.set
        datagrams.on(LostLinksDatagram, self._receive)

    async def run(self) -> None:
        """Announce lost links until cancelled; nothing is sent while none are lost."""
        self._has_changed.set()  # the task may start anew while links are lost
        while True:
            await self._has_changed.wait()
            self._has_changed.clear()
            self._announcer.update(self._watch.links.lost())
            while not self._announcer.is_done:
                self._tell()
                await asyncio.sleep(_TICK_S)
                self._announcer.update(self._watch.links.lost())

    def _tell(self) -> None:
        """Announce to all instances that are due."""
        directory = self._datagrams.directory
        others = directory.others()
        due = self._announcer.select(others, now_s=clocks.now_s())
        message = self._announcer.announcement(instances=len(others))
        services = sorted(message.services)[:MAX_LOST_SERVICES]
        for peer in due:
            datagram = LostLinksDatagram(
                token=peer.token,
                sender=directory.own.id,
                lifetime=message.lifetime,
                number=message.number,
                life_ms=round(message.life_s * _MS_PER_S),
                services=services,
            )
            self._datagrams.send(peer, datagram)

    def _receive(self, message: LostLinksDatagram) -> None:
        """Take another instance's announcement in.

        Raises:
            ValueError: The sender is not known.
        """
        sender = self._datagrams.directory.find(message.sender)
        if sender is None:
            msg = f"lost links of an unknown instance: {message.sender}"
            raise ValueError(msg)
        announcement = LinkAnnouncement(
            lifetime=message.lifetime,
            number=message.number,
            services=frozenset(message.services),
            life_s=message.life_ms / _MS_PER_S,
        )
        if self._announced.take(sender, announcement, now_s=clocks.now_s()):
            self._log_soon()

    def _log_soon(self) -> None:
        """Log what other instances have announced, once for many changes."""
        if self._log_timer is None:
            loop = asyncio.get_running_loop()
            self._log_timer = loop.call_later(_LOG_DELAY_S, self._log)

    def _log(self) -> None:
        """Log how many other instances have lost their links to each service."""
        self._log_timer = None
        self._announced.forget_old(now_s=clocks.now_s())
        others = self._datagrams.directory.others()
        events.log(
            events.PEER_LINKS_CHANGED,
            lost=self._announced.counts(others, now_s=clocks.now_s()),
            peers=len(others),
        )
