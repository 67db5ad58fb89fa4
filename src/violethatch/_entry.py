# SPDX-License-Identifier: MIT
"""An entry instance: the parts put together, started, drained and stopped."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import signal
import ssl
import time

from collections.abc import Callable, Coroutine
from typing import Any, TypedDict

import aiohttp

from . import clocks, events
from ._callers import CallerLimits, Callers
from ._claim_writer import ClaimWriter, ZoneClaimWriter, write_for_peer
from ._config import ConfigKeeper
from ._driver import Driver
from ._engine_link import EngineLink
from ._fleet import Fleet, RunnerState
from ._jobs import AdapterLoader, LeaseHolder
from ._keyed import KeyedCalls
from ._listener import Listener
from ._metrics import Metrics
from ._operators import Operators
from ._peers import Peers
from ._platform import HttpInstanceList, HttpObjectStore, HttpTable
from ._response_handlers import check_responses
from ._services import PlainServices
from .attempts import RetainedInputPool
from .errors import TableUnavailableError
from .gossip import Gossip
from .leases import Lease
from .membership import rendezvous
from .ports import ListedInstance
from .retries import RetryBudget
from .revisions import Revision
from .settings import ListenSection, Settings


#: Before a background task that met an error starts again, in seconds.
_RESTART_PAUSE_S = 0.5
#: The job of giving orders to a zone's runners.
_ORDERS_JOB = "orders"
#: The job of writing a zone's claims.
_CLAIMS_JOB = "claims"


class ProcessState(TypedDict):
    """The dump of a process's state; it holds no secret."""

    instance_id: str
    availability_zone: str
    process_id: int
    uptime_s: float
    draining: bool
    revision: int
    config_digest: str
    in_flight: int
    outcomes_unsettled: int
    zone_members: list[str]
    orders_epoch: int | None
    runners: list[RunnerState]
    service_servers: dict[str, int]
    retained_bytes: int
    retry_budget: float
    cpu_s: float
    resident_kb: int


class Entry:
    """One entry instance.

    Args:
        settings: Its settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        policy, limits = settings.policy, settings.limits
        self._rng = random.Random(settings.instance.id)
        self._started_s = clocks.now_s()
        self._incarnation = time.time_ns() // 1_000_000
        self._tasks: set[asyncio.Task[None]] = set()
        self._stop = asyncio.Event()
        self._listeners: list[Listener] = []
        self._metrics = Metrics()
        self._budget = RetryBudget()
        self._retained = RetainedInputPool(limits.retain_bytes)
        self._fleet = Fleet(policy, settings.instance, rng=self._rng)
        self._services = PlainServices(
            self._budget, timeout_s=policy.request_deadline_s
        )
        self._driver = Driver(
            self._fleet,
            budget=self._budget,
            metrics=self._metrics,
            recovery=policy.recovery,
            recovery_wait_s=policy.recovery_wait_s,
            retained=self._retained,
        )
        silence_limit_s = policy.heartbeat_interval_s * policy.heartbeat_misses
        self._gossip = Gossip(
            instance_id=settings.instance.id,
            availability_zone=settings.instance.availability_zone,
            incarnation=self._incarnation,
            silence_limit_s=silence_limit_s,
            rng=self._rng,
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        platform, policy = self._settings.platform, self._settings.policy
        timeout = aiohttp.ClientTimeout(total=platform.timeout_s)
        connector = aiohttp.TCPConnector()
        check_responses(connector)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            self._build(session)
            await self._fleet.start()
            await self._services.start()
            ports = await self._listen()
            for loop in (
                self._local_writer.run,
                self._writer.run,
                self._config.run,
                lambda: self._peers.run(lambda: self._config.revision),
                lambda: self._follow_list(session),
                self._lease.run,
                self._adapters.run,
            ):
                self._spawn(self._keep_running(loop))
            self._handle_signals()
            events.log(events.STARTED, **ports)
            # Whoever started the process learns the free ports from here.
            print(json.dumps(ports), flush=True)
            await self._stop.wait()
            await self._drain()
            await self._close()
        events.log(events.STOPPED, policy=policy.route_policy)

    def _build(self, session: aiohttp.ClientSession) -> None:
        """Make the parts that need the platform."""
        settings = self._settings
        platform, policy = settings.platform, settings.policy
        table = HttpTable(
            session,
            url=platform.table_url,
            timeout_s=platform.timeout_s,
            metrics=self._metrics,
        )
        objects = HttpObjectStore(
            session, url=platform.objects_url, timeout_s=platform.timeout_s
        )
        self._local_writer = ClaimWriter(
            table,
            interval_s=policy.table_write_interval_s,
            retry_timeout_s=platform.timeout_s,
        )
        self._writer = ZoneClaimWriter(
            self._local_writer,
            writer_id=lambda: self._chosen_for(_CLAIMS_JOB),
            own_id=settings.instance.id,
            forward=lambda peer_id, puts: self._peers.forward(peer_id, puts),
        )
        keyed = KeyedCalls(
            table,
            self._writer,
            objects,
            outcome_wait_s=policy.outcome_wait_s,
            is_instance_gone=self._is_gone,
            spawn=self._spawn,
        )
        self._keyed = keyed
        self._callers = Callers(
            driver=self._driver,
            services=self._services,
            keyed=keyed,
            metrics=self._metrics,
            limits=CallerLimits(
                requests=settings.limits.requests,
                body_bytes=settings.limits.body_bytes,
                deadline_s=policy.request_deadline_s,
            ),
            owner=self._owner(self._incarnation),
        )
        self._config = ConfigKeeper(
            table,
            poll_interval_s=policy.poll_interval_s,
            rng=self._rng,
            on_applied=self._apply,
            push=lambda encoded: self._peers.push(encoded),
            fetch=lambda: self._peers.fetch_revision(),
        )
        self._peers = Peers(
            self._gossip,
            key=settings.keys.peers_key,
            interval_s=policy.heartbeat_interval_s,
            rng=self._rng,
            encoded_revision=self._config.encoded,
            take_revision=self._config.take_encoded,
            write=lambda put: write_for_peer(self._local_writer, put),
            connections=settings.limits.connections,
        )
        self._lease = LeaseHolder(
            table,
            Lease(
                row_key=f"lease/{settings.instance.availability_zone}/{_ORDERS_JOB}",
                holder=settings.instance.id,
                duration_s=policy.lease_duration_s,
                margin_s=policy.lease_margin_s,
            ),
            is_chosen=lambda: self._has_job(_ORDERS_JOB),
        )
        self._adapters = AdapterLoader(
            self._lease,
            links=self._zone_links,
            adapters=self._declared_adapters,
            interval_s=policy.heartbeat_interval_s,
        )
        self._operators = Operators(
            config=self._config,
            metrics=self._metrics,
            key=settings.keys.operators_key,
            state=self.state,
            body_bytes=settings.limits.body_bytes,
        )

    async def _listen(self) -> dict[str, int]:
        """Open all listeners; return their ports."""
        listen = self._settings.listen
        context = _server_context(listen)
        applications = {
            "callers_port": (self._callers.application(), listen.callers_port),
            "operators_port": (self._operators.application(), listen.operators_port),
        }
        ports = {}
        for name, (application, port) in applications.items():
            listener = Listener(
                application, connections=self._settings.limits.connections
            )
            self._listeners.append(listener)
            ports[name] = await listener.start(listen.address, port, context)
        ports["peers_port"] = await self._peers.start(listen.address, listen.peers_port)
        return ports

    def _apply(self, revision: Revision) -> None:
        """Put a configuration into force."""
        self._callers.follow(revision)
        self._follow_operators()
        self._metrics.revision.set({}, revision["revision"])

    def _chosen_for(self, job: str) -> str:
        """Return the id of the instance that has one of the zone's jobs."""
        return rendezvous(job, self._gossip.zone_members())[0]

    def _has_job(self, job: str) -> bool:
        """Tell whether this instance has one of the zone's jobs."""
        if self._callers.is_draining:
            return False
        return self._chosen_for(job) == self._settings.instance.id

    def _zone_links(self) -> list[EngineLink]:
        """Return the connections to the own zone's runners."""
        zone = self._settings.instance.availability_zone
        return [link for link in self._fleet.links() if link.availability_zone == zone]

    def _declared_adapters(self) -> dict[str, list[str]]:
        """Return the adapters that each model should have loaded."""
        models = self._config.current["document"]["models"]
        return {name: spec["adapters"] for name, spec in models.items()}

    def _follow_operators(self) -> None:
        """Take out the runners that operators want out."""
        runners = self._config.current["document"]["runners"]
        leaving = {name for name, spec in runners.items() if spec["leaving"]}
        self._fleet.update_operator_marks(leaving)

    async def _follow_list(self, session: aiohttp.ClientSession) -> None:
        """Follow the platform's instance list until cancelled."""
        platform = self._settings.platform
        instance_list = HttpInstanceList(
            session, url=platform.instances_url, timeout_s=platform.timeout_s
        )
        while True:
            # While the list can't be read, what is known stays in use.
            with contextlib.suppress(TableUnavailableError):
                listed = await instance_list.instances()
                if _is_plausible(listed):
                    self._take_list(listed)
            pause_s = self._settings.policy.poll_interval_s
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))

    def _take_list(self, listed: list[ListedInstance]) -> None:
        """Follow a list that was read."""
        zone = self._settings.instance.availability_zone
        self._fleet.update_runners(listed)
        self._services.follow(listed, availability_zone=zone)
        self._peers.follow(listed)
        self._follow_operators()
        share = 1.0 / self._peers.instance_count()
        self._callers.set_share(share)
        self._services.set_share(share)

    async def _drain(self) -> None:
        """Leave: be unready, finish what is in progress, cut nothing off."""
        limits = self._settings.limits
        events.log(events.DRAINING, in_flight=self._callers.in_flight)
        self._callers.is_draining = True
        await self._peers.announce_leaving()
        await self._lease.resign()
        # The balancer needs a while to notice; until then requests are served.
        await asyncio.sleep(limits.drain_grace_s)
        self._callers.is_closed = True
        await self._callers.wait_idle(limits.drain_limit_s)

    async def _close(self) -> None:
        """Close everything."""
        for listener in self._listeners:
            await listener.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peers.stop()
        await self._fleet.stop()
        await self._services.stop()

    def state(self) -> ProcessState:
        """Return the process's state."""
        instance = self._settings.instance
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return ProcessState(
            instance_id=instance.id,
            availability_zone=instance.availability_zone,
            process_id=os.getpid(),
            uptime_s=round(clocks.now_s() - self._started_s, 3),
            draining=self._callers.is_draining,
            revision=self._config.revision,
            config_digest=self._config.current["digest"],
            in_flight=self._callers.in_flight,
            outcomes_unsettled=self._keyed.unsettled_count,
            zone_members=self._gossip.zone_members(),
            orders_epoch=self._lease.epoch(),
            runners=self._fleet.state(),
            service_servers=self._services.counts(),
            retained_bytes=self._retained.used_bytes,
            retry_budget=round(self._budget.balance, 2),
            cpu_s=round(usage.ru_utime + usage.ru_stime, 3),
            resident_kb=usage.ru_maxrss,
        )

    def _owner(self, incarnation: int) -> str:
        """Return what claims call this process."""
        instance = self._settings.instance
        return f"{instance.availability_zone}/{instance.id}/{incarnation}"

    def _is_gone(self, owner: str) -> bool:
        """Tell whether a claim's owner is known to be gone.

        Only peers of the own zone are known well enough to say so.
        """
        zone, instance_id, incarnation = owner.split("/")
        instance = self._settings.instance
        if zone != instance.availability_zone:
            return False
        if instance_id == instance.id:
            # Its own claims in progress were looked for before.
            return True
        return not self._gossip.is_live(instance_id, incarnation=int(incarnation))

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGUSR1, self._dump_state)

    def _dump_state(self) -> None:
        events.log(events.STATE_DUMPED, state=self.state())

    async def _keep_running(
        self, loop: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        """Run a loop, and again after an error: the instance needs them all."""
        while True:
            try:
                await loop()
            except Exception as error:
                events.log(events.TASK_FAILED, task=repr(loop), error=repr(error))
            await asyncio.sleep(_RESTART_PAUSE_S)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a background task; a failure is logged and ends only the task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            events.log(events.TASK_FAILED, task=str(task.get_coro()), error=repr(error))


def _is_plausible(listed: list[ListedInstance]) -> bool:
    """Tell whether a list can be right.

    One without any instance can't: it would have to hold this one.  Following
    it would take all runners out of service at once.
    """
    return any(entry["role"] == "entry" for entry in listed)


def _server_context(listen: ListenSection) -> ssl.SSLContext | None:
    """Return the TLS context that the settings ask for, if any."""
    if not listen.certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(listen.certificate_file, listen.certificate_key_file)
    return context


async def serve(settings: Settings) -> Any:
    """Run an entry instance until it is told to stop."""
    await Entry(settings).run()
