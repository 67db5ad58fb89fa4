# SPDX-License-Identifier: MIT
"""Connections that go silent for good, without a reset, while new ones work."""

from __future__ import annotations

import asyncio
import math
import signal
import socket

import pytest

from signaling_servers import measure_loop_lag
from test_platform_process import Site, event_ids
from test_router_settings import FIELDS
from violethatch import clocks
from violethatch.platform._sessions import _make_socket
from violethatch_emulator.faults import FaultProxy


CHANGE_BOUND_S = int(FIELDS["Bounds.ConfigApplyMs"]) / 1000
#: How late a read's answer may begin, in seconds.
STORE_SILENCE_S = 0.4


class SilentSite(Site):
    """A site whose store and runners are reached through proxies."""

    def __init__(self, path):
        super().__init__(path)
        self.proxies = []

    async def _serve(self, application):
        port = await super()._serve(application)
        proxy = FaultProxy(port=port)
        self.proxies.append(proxy)
        return await proxy.start()

    async def stop(self):
        await super().stop()
        for proxy in self.proxies:
            await proxy.stop()

    def silence(self):
        """Let all open connections to the store and to runners go silent."""
        for proxy in self.proxies:
            proxy.silence()


class DeployedSite(SilentSite):
    """A site whose router has the deployed settings of the store and its bounds."""

    store_settings = ""

    async def start(self):
        await super().start(**{"Bounds.RevokeMs": FIELDS["Bounds.RevokeMs"]})

    async def wait_for_read(self):
        """Wait until the router has just begun to wait for changes."""
        begun = self.store.calls.count("rows-feed")
        async with asyncio.timeout(5):
            while self.store.calls.count("rows-feed") < begun + 2:
                await asyncio.sleep(0.01)


@pytest.fixture
async def site(tmp_path):
    """Provide a site that is started."""
    made = SilentSite(tmp_path)
    await made.start()
    yield made
    await made.stop()


@pytest.fixture
async def deployed_site(tmp_path):
    """Provide a site with deployed settings that is started."""
    made = DeployedSite(tmp_path)
    await made.start()
    yield made
    await made.stop()


class TestDeployedSettings:
    @pytest.mark.parametrize("silences", [1, 2])
    async def test_added_key_is_refused_behind_a_silent_read(
        self, deployed_site, silences
    ):
        """A read that has just begun to wait falls silent, and so may the next."""
        site = deployed_site
        await site.wait_for_read()
        for number in range(silences):
            await asyncio.sleep(0.6 * number)
            site.silence()
        site.configure(version=2, keys=("k1", "k2"))
        written_s = clocks.now_s()
        await site.wait_status(200, Authorization="Token k2")
        assert clocks.now_s() - written_s < CHANGE_BOUND_S

    @pytest.mark.parametrize("for_s", [0.6, 2.5])
    async def test_own_standstill_is_taken_for_a_lost_read(self, deployed_site, for_s):
        """The answer of the store, which lies in the socket, is read first.

        The store is in the test's process: what its own standstills lose is lost.
        """
        site = deployed_site
        async with measure_loop_lag() as lag:
            for _ in range(3):
                await site.wait_for_read()
                site.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(for_s)
                site.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.5)
        counters = (await site.fetch("/metrics")).decode()
        assert 'outcome="answered"' in counters
        has_stood_still = lag.last_stall_end_s(least_s=STORE_SILENCE_S) > -math.inf
        assert 'outcome="lost"' not in counters or has_stood_still


class TestSilentConnections:
    async def test_changes_still_come(self, site):
        """A read of the store that is never answered is given up on."""
        site.silence()
        site.configure(version=2, keys=("k2",))
        started_s = clocks.now_s()
        await site.wait_status(200, Authorization="Token k2")
        assert clocks.now_s() - started_s < CHANGE_BOUND_S

    async def test_stream_under_way_goes_on(self, site):
        """A stream whose connection falls silent is taken up over another."""
        for runner in site.runners.values():
            runner.pause_s = 0.1
        async with site.post(call_id="under-way") as answer:
            await answer.content.readuntil(b"data: 2\n\n")
            site.silence()
            rest = await answer.content.read()
        assert event_ids(rest) == list(range(3, 9))

    async def test_idle_connection_is_not_trusted(self, site):
        """A request that goes out on a connection that is silent is served."""
        assert await site.status_of(call_id="before") == 200
        site.silence()
        async with asyncio.timeout(3):
            assert await site.status_of(call_id="after") == 200

    async def test_runners_are_not_taken_for_silent(self, site):
        """A probe over a silent connection is made again over a new one."""
        calls = [site.status_of(call_id=f"c{number}") for number in range(6)]
        assert set(await asyncio.gather(*calls)) == {200}  # six connections rest
        site.silence()
        assert await site.status_of(call_id="after") == 200
        async with site.http.get(f"http://127.0.0.1:{site.metrics}/state") as answer:
            state = await answer.json(content_type=None)
        assert state["resting"] == []


def test_kernel_asks_after_idle_connections():
    """A resting connection whose peer says nothing ends within some seconds."""
    address = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", ())
    with _make_socket(address) as made:
        option = made.getsockopt
        assert option(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle_s = option(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        every_s = option(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        probes = option(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        assert idle_s + every_s * probes <= 3
        assert option(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) <= 3000
