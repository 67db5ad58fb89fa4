# SPDX-License-Identifier: MIT
"""A seeded soak of desired states: real processes, faults from outside, and callers.

Two router processes with the deployed settings read a store through proxies.  Desired
states follow each other, each with a key of its own, while connections go silent or are
reset, the store refuses or forgets, and processes are reloaded, frozen, stopped and
killed, in series and overlapping.  Callers keep their connections until a process is
gone, and check every answer against the acknowledged states.
`CHANGE_SOAK_SEEDS` sets how many seeds are played.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import random
import re
import signal
import sys

from typing import NamedTuple

import aiohttp
import pytest

from own_ports import free_ports
from signaling_servers import measure_loop_lag
from test_platform_process import HEADERS, ID, Site
from test_router_settings import FIELDS, filled_here
from test_silent_connections import SilentSite
from violethatch import clocks
from violethatch_emulator.faults import FaultProxy


SEEDS = int(os.environ.get("CHANGE_SOAK_SEEDS", "2"))
ROUTERS = 2
TURBULENT_S = 8.0
CALM_S = 6.0
#: How long it may take until each instance has answered in touch what it has to.
COVER_S = 15.0
#: The platform's bounds: until when a change is in force and a removed key is refused
#: anywhere, and how long nothing may be disturbed for the first to hold.
CHANGE_S = int(FIELDS["Bounds.ConfigApplyMs"]) / 1000
REMOVAL_S = int(FIELDS["Bounds.RevokeMs"]) / 1000
CONTACT_S = 3.0
#: For how long the test's process, which holds the store and the servers, stands still
#: where that disturbs them, in seconds: a check of links waits for so long.
STANDSTILL_S = 0.25
#: How long a process takes to listen.
START_S = 1.0
#: For how many versions a key is there.
KEY_LIFE = 4
ALLOWED, REFUSED = 200, (401, 403, 404)


class State(NamedTuple):
    """A desired state that was acknowledged."""

    acked_s: float
    keys: frozenset[str]


class Disturbances:
    """What disturbs an instance, or the store, and until when."""

    def __init__(self):
        self.ended_s = 0.0
        self._under_way = 0

    @contextlib.contextmanager
    def one(self):
        """Count a disturbance that lasts as long as the context."""
        self._under_way += 1
        try:
            yield
        finally:
            self._under_way -= 1
            self.ended_s = clocks.now_s()

    def is_quiet(self, at_s):
        """Return whether there is none, and was none for some time before."""
        return not self._under_way and at_s - self.ended_s >= CONTACT_S


class Instance:
    """One router process, and its way to the store."""

    def __init__(self, proxy, settings, front):
        self.proxy = proxy
        self.settings = settings
        self.front = front
        self.log = settings.with_suffix(".log")
        self.process = None
        self.restarting = asyncio.Lock()
        self.disturbances = Disturbances()

    async def start(self):
        """Start the process; its lines go on in its log."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "violethatch.platform",
                env=os.environ | {"VIOLETHATCH_BOOT": str(self.settings)},
                stdout=log,
            )

    def signal(self, number):
        """Send a signal to the process, if it is there."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    def heeds(self, number):
        """Return whether the process has a say in what a signal does to it.

        One whose interpreter is starting has none, whatever its program.
        """
        if self.process.returncode is not None:
            return False
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        heeded = re.findall(r"^Sig(?:Ign|Cgt):\s*(\w+)$", status, re.MULTILINE)
        return any(int(mask, 16) >> (number - 1) & 1 for mask in heeded)


class Fleet(SilentSite):
    """Instances that share a store and two runners, all behind proxies."""

    def __init__(self, path):
        super().__init__(path)
        self.instances = []
        self.states = []

    async def start(self):
        """Start everything, and wait until each instance serves."""
        store_port = await Site._serve(self, self.store.application())
        for name, runner in self.runners.items():
            runner.layers = (0, 80)
            port = await self._serve(runner.application())
            self.addresses[name] = f"127.0.0.1:{port}"
            self.list_server(name)
        self.change()
        for number in range(ROUTERS):
            proxy = FaultProxy(port=store_port)
            self.proxies.append(proxy)
            store_address = f"127.0.0.1:{await proxy.start()}"
            ports = free_ports(4)
            text = filled_here(
                ports,
                {"Node": f"edge-{number}", "Bounds.GraceS": "4"},
                store=store_address,
            )
            settings = self.path / f"router-{number}.ini"
            settings.write_text(text)
            self.instances.append(Instance(proxy, settings, ports[0]))
            await self.instances[-1].start()

    async def stop(self):
        """End what was started."""
        for one in self.instances:
            one.signal(signal.SIGKILL)
            await one.process.wait()
        await super().stop()

    def change(self):
        """Write the next desired state: a key is added, the oldest one removed."""
        version = len(self.states) + 1
        keys = [f"k{n}" for n in range(max(1, version - KEY_LIFE + 1), version + 1)]
        self.configure(version=version, keys=("base", *keys))
        self.states.append(State(clocks.now_s(), frozenset(("base", *keys))))

    def may_be_in_force(self, sent_s, answered_s):
        """Return the states that a request may be handled by."""
        before = [one for one in self.states if one.acked_s <= sent_s - CHANGE_S]
        after = [one for one in self.states if sent_s - CHANGE_S < one.acked_s]
        return before[-1:] + [one for one in after if one.acked_s <= answered_s]

    def was_removed(self, key, sent_s):
        """Return whether a key was taken away long before a request was sent."""
        known = [one for one in self.states if one.acked_s <= sent_s - REMOVAL_S]
        return any(key in one.keys for one in known) and key not in known[-1].keys


class Soak:
    """One play of the soak."""

    def __init__(self, fleet, seed, lag):
        self.fleet = fleet
        self.lag = lag
        self.rng = random.Random(seed)
        self.faults = []
        self.checked = 0
        #: By instance, the statuses that it gave while nothing was disturbed.
        self.seen_in_touch = set()
        self.calls = 0
        self.store = Disturbances()

    async def play(self):
        """Play to the end; return what was broken."""
        await asyncio.sleep(CONTACT_S)
        tasks = [asyncio.create_task(self._change())]
        tasks += [
            asyncio.create_task(self._call(one)) for one in self.fleet.instances * 2
        ]
        for _ in range(2):
            await self._disturb(clocks.now_s() + TURBULENT_S)
            await asyncio.sleep(CALM_S)
        await asyncio.gather(*(self._see_both(one) for one in self.fleet.instances))
        for task in tasks:
            task.cancel()
        for ended in await asyncio.gather(*tasks, return_exceptions=True):
            if not isinstance(ended, asyncio.CancelledError):
                raise ended
        return self.faults

    async def _change(self):
        """Change the desired state again and again."""
        while True:
            await asyncio.sleep(self.rng.choice((0.1, 0.3, 1.0, 2.5)))
            self.fleet.change()

    async def _call(self, instance):
        """Send requests with keys old and new, over connections that are kept."""
        timeout = aiohttp.ClientTimeout(total=5.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.sleep(self.rng.uniform(0.01, 0.06))
                newest = len(self.fleet.states)
                key = f"k{max(1, newest - self.rng.choice((0, 0, 1, 2, 3, 5, 9)))}"
                sent_s = clocks.now_s()
                is_quiet = self._is_quiet(instance, sent_s)
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    status = await self._status(session, instance, key)
                    is_quiet = is_quiet and self._is_quiet(instance, sent_s)
                    self._check(instance, key, sent_s, status, in_touch=is_quiet)

    async def _see_both(self, instance):
        """Ask for the newest and the oldest key until both were answered in touch.

        What the callers ask for while nothing is disturbed is left to chance.
        """
        wanted = {(instance.front, ALLOWED), (instance.front, 401)}
        timeout = aiohttp.ClientTimeout(total=5.0)
        async with (
            asyncio.timeout(COVER_S),
            aiohttp.ClientSession(timeout=timeout) as session,
        ):
            while not wanted <= self.seen_in_touch:
                for key in ("base", "k1"):
                    sent_s = clocks.now_s()
                    is_quiet = self._is_quiet(instance, sent_s)
                    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                        status = await self._status(session, instance, key)
                        is_quiet = is_quiet and self._is_quiet(instance, sent_s)
                        self._check(instance, key, sent_s, status, in_touch=is_quiet)
                await asyncio.sleep(0.05)

    def _is_quiet(self, instance, at_s):
        """Return whether nothing disturbs an instance, the servers or the store."""
        is_running = at_s - self.lag.last_stall_end_s(least_s=STANDSTILL_S) >= CONTACT_S
        is_quiet = instance.disturbances.is_quiet(at_s) and self.store.is_quiet(at_s)
        return is_quiet and is_running

    async def _status(self, session, instance, key):
        """Return the status that a request with a key gets."""
        self.calls += 1
        call_id = f"{key}-{self.calls}"
        headers = HEADERS | {ID: call_id, "Authorization": f"Token {key}"}
        url = f"http://127.0.0.1:{instance.front}/draft/1"
        async with session.post(url, data=b"a menu", headers=headers) as answer:
            await answer.read()
            return answer.status

    def _check(self, instance, key, sent_s, status, *, in_touch):
        """Check an answer against the states that were acknowledged."""
        self.checked += 1
        if in_touch:
            self.seen_in_touch.add((instance.front, status))
        states = self.fleet.may_be_in_force(sent_s, clocks.now_s())
        is_allowed = all(key in one.keys for one in states)
        if status in REFUSED and is_allowed:
            self._fault(instance, key, sent_s, f"refused with {status}")
        if status == ALLOWED and self.fleet.was_removed(key, sent_s):
            self._fault(instance, key, sent_s, "a removed key was served")
        if in_touch and is_allowed and status != ALLOWED:
            self._fault(instance, key, sent_s, f"{status} in touch")
        if (
            in_touch
            and status == ALLOWED
            and not any(key in one.keys for one in states)
        ):
            self._fault(instance, key, sent_s, "an older state in touch")

    def _fault(self, instance, key, sent_s, what):
        number = self.fleet.instances.index(instance)
        newest = len(self.fleet.states)
        self.faults.append(
            f"{sent_s:.2f}: {number}: {what}, {key}, newest {newest}, call {self.calls}"
        )

    async def _disturb(self, end_s):
        """Disturb instances and the store until a time; wait for what is under way."""
        under_way = []
        while clocks.now_s() < end_s:
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
            kinds = (
                self._silence,
                self._reset,
                self._refuse,
                self._forget,
                self._reload,
            )
            kinds += (self._silence, self._freeze, self._restart)
            chosen = self.rng.choice(kinds)
            instance = self.rng.choice(self.fleet.instances)
            under_way.append(asyncio.create_task(chosen(instance)))
        await asyncio.gather(*under_way)

    async def _silence(self, instance):
        """Let all open connections go silent, or those of one instance to the store."""
        if self.rng.random() < 0.5:
            with instance.disturbances.one():
                instance.proxy.silence()
            return
        with self.store.one():
            self.fleet.silence()

    async def _reset(self, _instance):
        """Reset all connections to the store."""
        with self.store.one():
            for one in self.fleet.instances:
                one.proxy.drop_connections()

    async def _refuse(self, _instance):
        """Let the store refuse everybody for a while."""
        with self.store.one():
            self.fleet.store.refuse_with = 503
            await asyncio.sleep(self.rng.uniform(0.1, 2.0))
            self.fleet.store.refuse_with = 0

    async def _forget(self, _instance):
        """Let the store forget its history."""
        with self.store.one():
            self.fleet.store.forget_history()

    async def _reload(self, instance):
        """Have an instance read its settings again."""
        if instance.heeds(signal.SIGHUP):
            instance.signal(signal.SIGHUP)

    async def _freeze(self, instance):
        """Let an instance stand still."""
        with instance.disturbances.one():
            instance.signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
            instance.signal(signal.SIGCONT)

    async def _restart(self, instance):
        """Stop or kill an instance, and start it again."""
        if instance.restarting.locked():
            return  # a second start would find the address in use
        async with instance.restarting:
            with instance.disturbances.one():
                instance.signal(signal.SIGCONT)
                instance.signal(self.rng.choice((signal.SIGTERM, signal.SIGKILL)))
                await instance.process.wait()
                await instance.start()
                await asyncio.sleep(START_S)


@pytest.mark.parametrize("seed", range(SEEDS))
async def test_answers_contradict_acknowledged_states(seed, tmp_path):
    """Callers are refused, or served, as an older desired state says."""
    fleet = Fleet(tmp_path)
    try:
        await fleet.start()
        async with measure_loop_lag() as lag:
            soak = Soak(fleet, seed, lag)
            faults = await soak.play()
        print(f"seed {seed}: {soak.checked} answers, {len(fleet.states)} states")
    finally:
        await fleet.stop()
    assert faults == []
    # Keys that are there and keys that are gone were asked for at each instance.
    for one in fleet.instances:
        assert {(one.front, ALLOWED), (one.front, 401)} <= soak.seen_in_touch
