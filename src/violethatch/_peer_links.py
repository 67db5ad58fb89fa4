# SPDX-License-Identifier: MIT
"""All that an instance tells the others by datagrams."""

from __future__ import annotations

import random

from ._fault_report_link import FaultReportLink
from ._limit_link import LimitLink
from ._load_link import LoadLink
from ._lost_links_link import LostLinksLink
from ._peer_datagrams import PeerDatagrams
from ._reservation_link import ReservationLink
from ._retry_link import RetryLink
from ._router import Router
from ._slow_runner_link import SlowRunnerLink
from .suspicion import SuspectLink


class PeerLinks:
    """The links of one router to those of the other instances.

    Args:
        datagrams: Carries what they tell.
        router: Who tells, and takes in.
        rng: Chooses whom to ask.
    """

    def __init__(
        self, datagrams: PeerDatagrams, router: Router, *, rng: random.Random
    ) -> None:
        self._datagrams = datagrams
        self._router = router
        self._sightings = FaultReportLink(datagrams, router.routing.peer_fault_reports)
        self._sightings.started_ms = router.routing.started_ms
        self._paces = SlowRunnerLink(datagrams, router.routing.slow_runners)
        self._retries = RetryLink(datagrams, router.routing.retries, rng=rng)
        self._suspects = SuspectLink(datagrams, router.routing.suspects)
        self._returns = ReservationLink(datagrams, rng=rng)
        self.loads = LoadLink(datagrams, router.routing.loads)
        self.loads.on_tick = router.routing.admission.refresh
        self.lost_links = LostLinksLink(
            datagrams,
            router.routing.link_watch,
            router.routing.announced_links,
        )
        self.limits = LimitLink(
            datagrams,
            router.routing.flow_control.limits,
            rng=rng,
            is_leaving=lambda: router.stop_plan.is_stopping,
        )

    def open(self) -> None:
        """Let the router tell and ask the others from now on."""
        routing = self._router.routing
        directory = self._datagrams.directory
        routing.broadcast_fault_report = self._sightings.broadcast
        routing.broadcast_crash = self._suspects.tell
        routing.broadcast_cleared = self._suspects.tell_cleared
        routing.may_try = self._suspects.may_try
        self._suspects.keep_hold = lambda trait: routing.store_hold(trait)
        routing.broadcast_slowness = self._paces.broadcast
        routing.retries.request_retries = self._retries.request
        routing.flow_control.limits.request_permit = self.limits.request_permit
        routing.flow_control.limits.announce = self.limits.announce
        routing.admission.returns = self._returns
        routing.link_watch.is_active = True
        routing.set_instance_sources(count=directory.__len__, place=directory.place)
