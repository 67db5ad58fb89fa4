# SPDX-License-Identifier: MIT
"""The platform's tables, followed and passed on to other instances."""

from __future__ import annotations

import random

from collections.abc import Awaitable, Callable

from .._background import BackgroundTask
from .._connection_choice import ConnectionChoice
from .._followers import TableFollower
from .._peer_datagrams import PeerDatagrams
from .._peer_links import PeerLinks
from .._placement_controller import PlacementController
from .._registration import INSTANCES_TABLE, Registration
from .._relay_http import RelayClient, RelayListener
from .._router import Router
from ..backends import StoreOutage
from ..forwarding import FORWARD_PATH, ForwardListener
from ..freshness import Freshness, StoreClock
from ..instances import InstanceDirectory
from ..relayed_tables import RelayedTables
from ..router_settings import RouterSettings, StoreSection
from ..store_era import TableState
from ..suspicion import HeldRows
from ..table_cache import TableCache
from ..upstream import TableView
from ._store import Store


_DESIRED_TABLE = "op"
_SERVERS_TABLE = "servers"
#: How long a read of the instances' table waits, in seconds: nothing is bound to
#: learn soon of another instance.
_INSTANCES_WAIT_S = 20.0
#: How long after its first read of that table an instance reads it again, in
#: seconds: when all start at once, the second read finds all.
_INSTANCES_PAUSE_S = 1.2
#: The reads a second by which all instances together read that table sooner once tokens
#: are refused, and the shortest time over which they are spread, in seconds.
_EARLY_READS_A_S = 300.0
_MIN_EARLY_SPREAD_S = 0.4
#: The part of the bound on changes for which an instance waits after its first read
#: of the other tables, so as to follow others then: that took an instance 13 calls
#: of the store at its start, and takes 5.
_FIRST_PAUSE_PART = 0.4


class Following:
    """Follows the platform's tables for one router.

    Args:
        settings: Validated settings.
        store: The store itself.
        connections: Ask other instances.
        directory: The instance's view of all others.
        router: Takes the desired state and the servers.
        duty: Takes the desired state.
        rng: Spreads the calls of many instances.
    """

    def __init__(
        self,
        settings: RouterSettings,
        *,
        store: Store,
        connections: ConnectionChoice,
        directory: InstanceDirectory,
        router: Router,
        duty: PlacementController,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._router = router
        self._duty = duty
        self._clock = StoreClock()
        self._rng = rng
        self._directory = directory
        self._held = HeldRows(
            store, INSTANCES_TABLE, router.routing.suspects, clock=self._clock
        )
        self._registration = Registration(
            store, directory, clock=self._clock, held=self._held, rng=rng
        )
        self._caches = {
            table: TableCache()
            for table in (_DESIRED_TABLE, _SERVERS_TABLE, INSTANCES_TABLE)
        }
        self._relay = RelayListener(
            self._caches,
            token=directory.own.token,
            handlers={FORWARD_PATH: ForwardListener(router).handle},
        )
        self._tables = RelayedTables(
            store,
            RelayClient(connections),
            directory,
            unproven=(INSTANCES_TABLE,),
            bound_s=settings.bounds.change_s,
            era=store.era,
            clock=self._clock,
            rng=rng,
        )
        router.sources = lambda: self._tables.sources
        router.tables = self.states
        self._datagrams = PeerDatagrams(directory)
        self._links = PeerLinks(self._datagrams, router, rng=rng)
        self._followers = self._make_followers()
        self._instances_follower = self._make_instances_follower()
        directory.on_token_refused = self._read_instances_soon
        desired, servers = self._followers
        router.desired_table = desired.state
        router.routing.list_state = servers.state

    @property
    def _is_relaying(self) -> bool:
        """Whether instances ask each other."""
        return self._settings.listen.peers is not None

    async def listen(self) -> None:
        """Listen for other instances.

        Raises:
            AddressError: The address can't be listened on.
        """
        if self._settings.listen.peers is not None:
            await self._relay.start(self._settings.listen.peers)
            await self._datagrams.start(self._settings.listen.peers)
            self._links.open()
            self._router.routing.store_hold = self._held.keep

    def tasks(self) -> list[BackgroundTask]:
        """Return all that has to run until the process ends."""
        followers = list(self._followers)
        if self._is_relaying:
            followers.append(self._instances_follower)
        tasks = [
            BackgroundTask(f"table {follower.table}", follower.run)
            for follower in followers
        ]
        if not self._is_relaying:
            # Where instances tell each other of loads, each tick makes plans anew.
            return [
                *tasks,
                BackgroundTask("admission", self._router.routing.admission.run),
            ]
        return [
            *tasks,
            BackgroundTask("registration", self._registration.run),
            BackgroundTask("held works", self._held.run),
            BackgroundTask("loads", self._links.loads.run),
            BackgroundTask("limits", self._links.limits.run),
            BackgroundTask("lost links", self._links.lost_links.run),
        ]

    async def leave(self) -> None:
        """Let other instances know that this one goes."""
        if self._is_relaying:
            await self._registration.remove()

    def states(self) -> dict[str, TableState]:
        """Return, by table, what this instance's view of it rests on."""
        followers = [*self._followers, self._instances_follower]
        return {follower.table: follower.state() for follower in followers}

    def take_settings(self, settings: RouterSettings) -> None:
        """Take changed settings in; addresses stay until the next start."""
        for follower in self._followers:
            follower.settings = settings.store
        self._instances_follower.settings = _patient(settings.store)
        self._tables.take_bound(settings.bounds.change_s)

    @property
    def _first_pause_s(self) -> float:
        """How long to wait after the first read of a table, in seconds."""
        if not self._is_relaying:
            return 0.0
        return self._settings.bounds.change_s * _FIRST_PAUSE_PART

    def _read_instances_soon(self) -> None:
        """Read the instances' table sooner: an instance has started again."""
        spread_s = max(_MIN_EARLY_SPREAD_S, len(self._directory) / _EARLY_READS_A_S)
        self._instances_follower.read_soon(within_s=spread_s)

    def _make_followers(self) -> list[TableFollower]:
        """Return the followers of the platform's own tables."""
        return [
            self._follower(
                _DESIRED_TABLE,
                freshness=self._router.freshness,
                take=self._take_desired,
                first_pause_s=self._first_pause_s,
            ),
            self._follower(
                _SERVERS_TABLE,
                freshness=Freshness(limit_s=self._settings.proof_limit_s),
                take=self._router.apply_server_list,
                on_recovery=self._router.handle_store_recovery,
                first_pause_s=self._first_pause_s,
            ),
        ]

    def _make_instances_follower(self) -> TableFollower:
        """Return the follower of the instances' table."""
        follower = self._follower(
            INSTANCES_TABLE,
            freshness=Freshness(limit_s=self._settings.proof_limit_s),
            take=self._registration.take,
            first_pause_s=_INSTANCES_PAUSE_S,
        )
        follower.settings = _patient(follower.settings)
        return follower

    def _follower(
        self,
        table: str,
        *,
        freshness: Freshness,
        take: Callable[[TableView, bool], Awaitable[None] | None],
        on_recovery: Callable[[StoreOutage], None] = lambda _outage: None,
        first_pause_s: float = 0.0,
    ) -> TableFollower:
        """Return the follower of one table."""
        return TableFollower(
            table,
            source=self._tables,
            settings=self._settings.store,
            clock=self._clock,
            freshness=freshness,
            take=take,
            on_recovery=on_recovery,
            rng=self._rng,
            cache=self._caches[table],
            first_pause_s=first_pause_s,
        )

    async def _take_desired(self, view: TableView, is_whole: bool) -> None:
        """Take the desired state in, for calls and for placement."""
        await self._router.apply_desired_state_in_slices(view, is_whole)
        self._duty.desired = self._router.desired


def _patient(settings: StoreSection) -> StoreSection:
    """Return settings for the instances' table."""
    return settings._replace(
        change_wait_s=_INSTANCES_WAIT_S, change_pause_s=_INSTANCES_PAUSE_S
    )
