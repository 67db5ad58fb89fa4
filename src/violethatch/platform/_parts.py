# SPDX-License-Identifier: MIT
"""The parts of the router's process on the platform, made and joined."""

from __future__ import annotations

import functools
import random
import secrets

from collections.abc import Callable
from typing import NamedTuple

import aiohttp

from .._connection_choice import ConnectionChoice
from .._health_checks import HealthCheckLoop
from .._placement_controller import PlacementController
from .._router import Router
from ..forwarding import ForwardClient
from ..instances import InstanceDirectory, InstanceEntry
from ..router_settings import RouterSettings
from ..store_era import StoreEra
from ._following import Following
from ._runners import Runners
from ._sessions import KEEP_S
from ._store import Store
from ._wire import WireDecoder


class Parts(NamedTuple):
    """The parts of one router process."""

    router: Router
    store: Store
    duty: PlacementController
    following: Following
    health_checks: HealthCheckLoop

    def takers(self) -> list[Callable[[RouterSettings], None]]:
        """Return what takes changed settings in."""
        return [
            self.router.apply_settings,
            lambda settings: self.store.take_settings(settings.store),
            lambda settings: self.duty.update_policy(settings.policy),
            self.following.take_settings,
        ]


def make_parts(
    settings: RouterSettings,
    *,
    kept: aiohttp.ClientSession,
    fresh: aiohttp.ClientSession,
) -> Parts:
    """Return the parts of a router process.

    Args:
        settings: Validated settings.
        kept: Makes calls on connections that are kept.
        fresh: Makes each call on a connection of its own.
    """
    rng = random.Random()
    router = Router(
        settings, client=Runners(kept, fresh), decoder=WireDecoder(), rng=rng
    )
    era = StoreEra()
    router.metrics.count_restores(era)
    connections = functools.partial(ConnectionChoice, kept, fresh, max_idle_s=KEEP_S)
    store = Store(settings.store, connections(), router.metrics, era=era)
    directory = InstanceDirectory(_own_entry(settings))
    if settings.listen.peers is not None:
        router.enable_forwarding(
            ForwardClient(kept, fresh, on_token_refused=directory.note_token_refused),
            peers=directory.askable,
            rng=rng,
        )
    duty = PlacementController(
        router.routing,
        store=store,
        holder=f"{settings.instance.id}/{secrets.token_hex(4)}",
        rng=rng,
        directory=directory,
        era=era,
    )
    following = Following(
        settings,
        store=store,
        connections=connections(),
        directory=directory,
        router=router,
        duty=duty,
        rng=rng,
    )
    watch = HealthCheckLoop(router.routing, rng=rng)
    return Parts(router, store, duty, following, watch)


def _own_entry(settings: RouterSettings) -> InstanceEntry:
    """Return the instance's entry; it is dated when it is written."""
    return InstanceEntry(
        id=settings.instance.id,
        availability_zone=settings.instance.availability_zone,
        address=settings.listen.peers or "",
        token=secrets.token_hex(8),
        link_mbps=settings.limits.link_mbps,
        written_s=0.0,
        region=settings.instance.region,
    )
