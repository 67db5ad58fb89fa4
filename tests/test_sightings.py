# SPDX-License-Identifier: MIT
"""What instances tell each other of servers in trouble."""

from __future__ import annotations

import asyncio
import random

import pytest

from own_ports import free_ports
from test_instances import entry
from violethatch import _fault_report_link, clocks
from violethatch._fault_report_link import FaultReportLink
from violethatch._peer_datagrams import PeerDatagrams
from violethatch.fault_reports import FaultReport, FaultReportReceiver, should_broadcast
from violethatch.instances import InstanceDirectory
from violethatch.runner_health import RunnerHealth, ServerFault


def heard(health, sighting, *, witness="i1", now_s=0.0):
    """Let a fresh instance hear one sighting."""
    hearsay = FaultReportReceiver(health, rng=random.Random(1))
    return hearsay.receive(sighting, witness=witness, now_s=now_s)


class TestHearsay:
    @pytest.mark.parametrize("trouble", [ServerFault.NAMED, ServerFault.ABSENT])
    def test_runners_word_counts_at_once(self, trouble):
        """What a runner said of another holds for all instances."""
        health = RunnerHealth()
        assert heard(health, FaultReport("a", trouble, 2.0))
        assert health.in_cooldown(now_s=1.9) == {"a"}

    def test_own_view_needs_two_witnesses(self):
        """One instance's silence may be that of its own link."""
        health = RunnerHealth()
        hearsay = FaultReportReceiver(health, rng=random.Random(1))
        silent = FaultReport("a", ServerFault.SILENT, 3.0)
        assert not hearsay.receive(silent, witness="i1", now_s=0.0)
        assert not hearsay.receive(silent, witness="i1", now_s=0.5)
        assert not hearsay.receive(silent, witness="i2", now_s=9.0)
        assert hearsay.receive(silent, witness="i3", now_s=9.5)

    def test_rests_end_at_different_times(self):
        """Not all instances try a dead server again at the same moment."""
        ends = set()
        for seed in range(20):
            health = RunnerHealth()
            hearsay = FaultReportReceiver(health, rng=random.Random(seed))
            hearsay.receive(
                FaultReport("a", ServerFault.NAMED, 2.0), witness="w", now_s=0.0
            )
            ends.add(health.is_in_cooldown("a", now_s=2.5))
        assert ends == {True, False}

    def test_others_word_is_bounded(self):
        """Nobody can take a server out for long by one word."""
        health = RunnerHealth()
        heard(health, FaultReport("a", ServerFault.NAMED, 1e6))
        assert not health.is_in_cooldown("a", now_s=10.0)

    def test_shorter_word_changes_nothing(self):
        """A rest that is longer already stands."""
        health = RunnerHealth()
        health.record_fault("a", ServerFault.SILENT, now_s=0.0)
        assert not heard(health, FaultReport("a", ServerFault.ABSENT, 0.3))
        assert health.excluded(now_s=0.1) == {"a"}

    @pytest.mark.parametrize("is_news", [True, False])
    def test_departure_counts_at_once_and_is_no_rest(self, is_news):
        """One instance was told by the server itself."""
        health, told = RunnerHealth(), []
        hearsay = FaultReportReceiver(
            health,
            on_leaving=lambda sighting: told.append(sighting.server_id) or is_news,
            rng=random.Random(1),
        )
        leaving = FaultReport("a", ServerFault.LEAVING, 0.0)
        assert hearsay.receive(leaving, witness="i1", now_s=0.0) is is_news
        assert told == ["a"]
        assert not health.is_in_cooldown("a", now_s=0.0)
        assert should_broadcast(ServerFault.LEAVING)

    def test_full_servers_are_not_told_of(self):
        """Room is back before the word has gone round."""
        assert not should_broadcast(ServerFault.FULL)
        assert not should_broadcast(ServerFault.FAILED)
        assert should_broadcast(ServerFault.ABSENT)


class TestSightingLink:
    async def pair(self):
        """Return a sender, and the health of who hears it."""
        entries = [
            entry(f"i{n}")._replace(address=f"127.0.0.1:{port}", token=f"t{n}")
            for n, port in enumerate(free_ports(2))
        ]
        links, healths = [], []
        for own in entries:
            directory = InstanceDirectory(own)
            directory.take({one.id: one for one in entries}, is_whole=True)
            healths.append(RunnerHealth())
            hearsay = FaultReportReceiver(healths[-1], rng=random.Random(1))
            datagrams = PeerDatagrams(directory)
            links.append(FaultReportLink(datagrams, hearsay))
            await datagrams.start(own.address)
        return links, healths

    async def test_word_reaches_the_other(self):
        """A sighting is told to all others, and not to oneself."""
        links, (own, other) = await self.pair()
        links[0].broadcast(FaultReport("a", ServerFault.NAMED, 5.0))
        async with asyncio.timeout(5):
            while not other.in_cooldown(now_s=clocks.now_s()):
                await asyncio.sleep(0.01)
        assert not own.in_cooldown(now_s=clocks.now_s())

    async def test_entry_that_can_t_be_reached_stops_nobody(self):
        """The others are told, whatever one entry holds as its address."""
        links, (_, other) = await self.pair()
        broken = entry("i00")._replace(address="nowhere")
        directory = links[0]._datagrams.directory
        directory.take(
            {"i00": broken, **{one.id: one for one in directory.others()}},
            is_whole=True,
        )
        links[0].broadcast(FaultReport("a", ServerFault.NAMED, 5.0))
        async with asyncio.timeout(5):
            while not other.in_cooldown(now_s=clocks.now_s()):
                await asyncio.sleep(0.01)

    async def test_bounded_rate(self, monkeypatch):
        """Trouble everywhere doesn't fill the links."""
        monkeypatch.setattr(_fault_report_link, "_GATHER_S", 0.0)
        links, _ = await self.pair()
        sent = []
        links[0]._datagrams._transport = type(
            "Transport", (), {"sendto": lambda _, data, to: sent.append(to)}
        )()
        for n in range(300):
            links[0].broadcast(FaultReport(f"s{n}", ServerFault.NAMED, 1.0))
            await asyncio.sleep(0.001)
        assert len(sent) <= 2 * _fault_report_link._MOST_A_SECOND

    async def test_word_of_an_earlier_start_comes_late(self):
        """What another instance had met is over, and the new start is used."""
        links, (_, other) = await self.pair()
        links[1].started_ms = {"a": 200}.get
        links[0].broadcast(FaultReport("a", ServerFault.NAMED, 5.0, started_ms=100))
        links[0].broadcast(FaultReport("b", ServerFault.NAMED, 5.0, started_ms=100))
        async with asyncio.timeout(5):
            while not other.in_cooldown(now_s=clocks.now_s()):
                await asyncio.sleep(0.01)
        assert other.in_cooldown(now_s=clocks.now_s()) == {"b"}
