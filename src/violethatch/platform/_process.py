# SPDX-License-Identifier: MIT
"""The router's process on the platform: start, run, planned stop."""

from __future__ import annotations

import asyncio
import os
import signal
import time

from collections.abc import Callable

import uvloop

from .. import clocks, events
from .._background import BackgroundTask
from .._loop_pauses import watch_pauses
from .._resident_memory import resident_mb
from .._router import Router
from ..errors import SettingsError
from ..event_loop import EventLoop
from ..log_output import LogOutput
from ..router_settings import RouterSettings, load_router_settings
from ..start_slots import TurnWait
from ..start_steps import Step, StepTimes
from ._listener import CallersListener, ReadinessListener
from ._parts import Parts, make_parts
from ._sessions import make_session
from ._variables import SETTINGS_VARIABLE


#: What changes when a file does: its time of change, its size and its number.
_FileState = tuple[int, int, int]
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
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        msg = f"{SETTINGS_VARIABLE} is not set"
        raise SettingsError(msg)
    return path


def run(
    path: str,
    *,
    began_s: float,
    turn_s: float | None = None,
    turn: TurnWait | None = None,
    on_imported: Callable[[], None] = lambda: None,
) -> None:
    """Run the router until it is asked to stop.

    Args:
        path: The settings file.
        began_s: When the process began, in monotonic seconds.
        turn_s: When its imports began, if they had to wait for other processes.
        turn: That wait.
        on_imported: Called when little processor time is left to do.

    Raises:
        SettingsError: The settings file is not valid.
        AddressError: An address can't be listened on.
    """
    file_state = _file_state(path)
    settings = load_router_settings(path)
    times = StepTimes(began_s=began_s, turn=turn)
    times.note(Step.TURN, now_s=began_s if turn_s is None else turn_s)
    times.note(Step.IMPORTED, now_s=clocks.now_s(), processor_s=time.process_time())
    process = _Process(
        settings,
        path,
        file_state=file_state,
        start_times=times,
        on_imported=on_imported,
    )
    uvloop.run(process.run(), loop_factory=EventLoop)


class _Process:
    """One router process.

    Args:
        settings: Validated settings.
        path: Where they were read, for reloads.
        file_state: The file's state before that.
        start_times: When it reached the steps so far; it begins now if omitted.
        on_imported: Called when little processor time is left to do.
    """

    def __init__(
        self,
        settings: RouterSettings,
        path: str,
        *,
        file_state: _FileState | None,
        start_times: StepTimes | None = None,
        on_imported: Callable[[], None] = lambda: None,
    ) -> None:
        self._start_times = start_times or StepTimes(began_s=clocks.now_s())
        self._on_imported = on_imported
        self._settings = settings
        self._file_state = file_state
        self._path = path
        self._output = LogOutput()
        self._tasks: list[asyncio.Task[None]] = []
        #: What takes changed settings in.
        self._takers: list[Callable[[RouterSettings], None]] = []

    async def run(self) -> None:
        """Serve until a stop was asked for and all is done."""
        self._output.start()
        kept = make_session(is_kept=True)
        fresh = make_session(is_kept=False)
        parts = make_parts(self._settings, kept=kept, fresh=fresh)
        parts.router.resume_start(self._start_times)
        self._takers = parts.takers()
        self._on_imported()
        await parts.following.listen()
        self._start_tasks(parts)
        callers = await self._listen(parts.router)
        resting_mb = resident_mb()
        if resting_mb is not None:
            parts.router.routing.set_resting_memory(resting_mb)
        stop = self._watch_signals(parts.router)
        parts.router.record_start_step(Step.LISTENING)
        events.log(events.STARTED, id=self._settings.instance.id)
        await stop.wait()
        await self._drain(parts)
        await callers.close()
        events.log(events.STOPPED, id=self._settings.instance.id)
        for task in self._tasks:
            task.cancel()
        await kept.close()
        await fresh.close()
        self._output.flush()

    def _start_tasks(self, parts: Parts) -> None:
        """Start all that runs until the process ends.

        None of it ends the process: the input that fails here fails on all instances,
        and after each start.
        """
        failures = parts.router.routing.failures
        for task in (
            *parts.following.tasks(),
            BackgroundTask("placement", parts.duty.run),
            BackgroundTask("health checks", parts.health_checks.run),
            BackgroundTask("settings file", self._watch_file),
            BackgroundTask(
                "loop pauses",
                lambda: watch_pauses(parts.router.metrics.record_loop_pause),
            ),
        ):
            self._tasks.append(asyncio.create_task(failures.keep_running(task)))

    async def _listen(self, router: Router) -> CallersListener:
        """Listen for callers and for the balancer; return the callers' listener."""
        callers = CallersListener(router)
        readiness = ReadinessListener(router, has_room=callers.has_room)
        listen = self._settings.listen
        await callers.start(listen.callers)
        await readiness.start(listen.readiness, listen.metrics_port)
        return callers

    async def _watch_file(self) -> None:
        """Take a changed settings file in, which may change without a signal."""
        while True:
            state = _file_state(self._path)
            if state is not None and state != self._file_state:
                self._file_state = state
                self._reload()
            await asyncio.sleep(_FILE_LOOK_S)

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

    async def _drain(self, parts: Parts) -> None:
        """Finish what was taken, as long as there is time."""
        router = parts.router
        router.stop_plan.request_stop(now_s=clocks.now_s())
        events.log(events.DRAINING, in_flight=router.in_flight)
        started_s = clocks.now_s()
        await asyncio.gather(parts.duty.resign(), parts.following.leave())
        while router.stop_plan.left_s(now_s=clocks.now_s()) > 0:
            is_known = clocks.now_s() - started_s >= _STOP_STAY_S
            if is_known and not router.in_flight:
                return
            await asyncio.sleep(_STOP_LOOK_S)


def _file_state(path: str) -> _FileState | None:
    """Return what changes when a file does, or None while it can't be seen."""
    try:
        stat = os.stat(path)
    except OSError:
        return None  # it is being replaced; the next look sees it
    return stat.st_mtime_ns, stat.st_size, stat.st_ino
