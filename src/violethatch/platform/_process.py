# SPDX-License-Identifier: MIT
"""The router's process on the platform: start, run, planned stop."""

from __future__ import annotations

import asyncio
import os
import random
import secrets
import signal

from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from .. import events
from .._placing import PlacementDuty
from .._router import Router
from ..errors import SettingsError
from ..instances import InstanceDirectory, InstanceEntry
from ..log_output import LogOutput
from ..router_settings import RouterSettings, load_router_settings
from ._following import Following
from ._listener import CallersListener, ReadinessListener
from ._runners import Runners
from ._sessions import make_session
from ._store import Store
from ._wire import WireDecoder


#: Where the platform says the path of the settings file.
_SETTINGS_VARIABLE = "VIOLETHATCH_BOOT"
#: How often to look whether the settings file has changed, in seconds; half of
#: the bound on a desired state, which is the nearest the platform states.
_FILE_LOOK_S = 1.0
#: How often a stopping process looks whether all is done, in seconds.
_STOP_LOOK_S = 0.05
#: How long a stopping process stays for the balancer's questions, in seconds.
_STOP_STAY_S = 3.0


def settings_path() -> str:
    """Return the path of the settings file that the platform has written.

    Raises:
        SettingsError: The platform doesn't say where.
    """
    path = os.environ.get(_SETTINGS_VARIABLE)
    if not path:
        msg = f"{_SETTINGS_VARIABLE} is not set"
        raise SettingsError(msg)
    return path


def run(path: str) -> None:
    """Run the router until it is asked to stop.

    Raises:
        SettingsError: The settings file is not valid.
    """
    settings = load_router_settings(path)
    uvloop.run(_Process(settings, path).run())


class _Process:
    """One router process.

    Args:
        settings: Validated settings.
        path: Where they were read, for reloads.
    """

    def __init__(self, settings: RouterSettings, path: str) -> None:
        self._settings = settings
        self._path = path
        self._output = LogOutput()
        self._tasks: list[asyncio.Task[None]] = []
        #: What takes changed settings in.
        self._takers: list[Callable[[RouterSettings], None]] = []

    async def run(self) -> None:
        """Serve until a stop was asked for and all is done."""
        self._output.start()
        rng = random.Random()
        kept = make_session(is_kept=True)
        fresh = make_session(is_kept=False)
        router = Router(
            self._settings,
            client=Runners(kept, fresh),
            decoder=WireDecoder(),
            rng=rng,
        )
        store = Store(self._settings.store, kept, router.metrics)
        directory = InstanceDirectory(_own_entry(self._settings))
        duty = PlacementDuty(
            router.routing,
            store=store,
            holder=f"{self._settings.instance.id}/{secrets.token_hex(4)}",
            rng=rng,
            directory=directory,
        )
        following = Following(
            self._settings,
            store=store,
            session=kept,
            directory=directory,
            router=router,
            duty=duty,
            rng=rng,
        )
        self._takers = [
            router.take_settings,
            lambda settings: store.take_settings(settings.store),
            lambda settings: duty.take_policy(settings.policy),
            following.take_settings,
        ]
        await following.listen()
        for work in (*following.work(), duty.run(), self._watch_file()):
            self._tasks.append(asyncio.create_task(_keep_running(work)))
        callers = CallersListener(router)
        readiness = ReadinessListener(router)
        listen = self._settings.listen
        await callers.start(listen.callers)
        await readiness.start(listen.readiness, listen.metrics_port)
        stop = self._watch_signals(router)
        events.log(events.STARTED, id=self._settings.instance.id)
        await stop.wait()
        await self._drain(router, duty, following)
        events.log(events.STOPPED, id=self._settings.instance.id)
        for task in self._tasks:
            task.cancel()
        await callers.close()
        await kept.close()
        await fresh.close()
        self._output.flush()

    async def _watch_file(self) -> None:
        """Take a changed settings file in, which may change without a signal."""
        known = _file_state(self._path)
        while True:
            await asyncio.sleep(_FILE_LOOK_S)
            state = _file_state(self._path)
            if state is not None and state != known:
                known = state
                self._reload()

    def _watch_signals(self, router: Router) -> asyncio.Event:
        """Take signals in; return the event of a stop."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        loop.add_signal_handler(
            signal.SIGUSR1,
            lambda: events.log(events.STATE_DUMPED, state=router.state()),
        )
        return stop

    def _reload(self) -> None:
        """Take changed settings in; bad ones leave all as it is."""
        try:
            settings = load_router_settings(self._path)
        except SettingsError as error:
            events.log(events.RELOAD_REFUSED, reason=error.detail)
            return
        for take in self._takers:
            take(settings)
        events.log(events.RELOADED, id=settings.instance.id)

    async def _drain(
        self, router: Router, duty: PlacementDuty, following: Following
    ) -> None:
        """Finish what was taken, as long as there is time."""
        loop = asyncio.get_running_loop()
        router.stop_plan.ask(now_s=loop.time())
        events.log(events.DRAINING, in_flight=router.in_flight)
        started_s = loop.time()
        await asyncio.gather(duty.resign(), following.leave())
        while router.stop_plan.left_s(now_s=loop.time()) > 0:
            is_known = loop.time() - started_s >= _STOP_STAY_S
            if is_known and not router.in_flight:
                return
            await asyncio.sleep(_STOP_LOOK_S)


def _own_entry(settings: RouterSettings) -> InstanceEntry:
    """Return the instance's entry; it is dated when it is written."""
    return InstanceEntry(
        id=settings.instance.id,
        availability_zone=settings.instance.availability_zone,
        address=settings.listen.peers or "",
        token=secrets.token_hex(8),
        link_mbps=settings.limits.link_mbps,
        written_s=0.0,
    )


def _file_state(path: str) -> tuple[int, int, int] | None:
    """Return what changes when a file does, or None while it can't be seen."""
    try:
        stat = os.stat(path)
    except OSError:
        return None  # it is being replaced; the next look sees it
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


async def _keep_running(work: Coroutine[Any, Any, None]) -> None:
    """Run work that never ends; an error in it ends the process.

    The platform starts the process again, with nothing believed.
    """
    try:
        await work
    except Exception as error:
        events.log(events.TASK_FAILED, error=repr(error))
        signal.raise_signal(signal.SIGTERM)
