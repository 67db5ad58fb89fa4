# SPDX-License-Identifier: MIT
"""Fault reports between instances."""

from __future__ import annotations

import asyncio
import random

from types import SimpleNamespace

import pytest

from own_ports import free_ports
from test_instances import entry
from violethatch import _fault_report_link, clocks
from violethatch._fault_report_link import FaultReportLink
from violethatch._health_checks import HealthCheckLoop
from violethatch._peer_datagrams import PeerDatagrams
from violethatch.fault_reports import FaultReport, FaultReportReceiver, should_broadcast
from violethatch.instances import InstanceDirectory
from violethatch.runner_health import RunnerHealth, ServerFault


def receive(health, report, *, reporter="i1", now_s=0.0):
    """Process a report on a new instance."""
    receiver = FaultReportReceiver(health, rng=random.Random(1))
    return receiver.receive(report, reporter=reporter, now_s=now_s)


class TestFaultReportReceiver:
    @pytest.mark.parametrize("fault", [ServerFault.NAMED, ServerFault.ABSENT])
    def test_runner_report_takes_effect_immediately(self, fault):
        """A fault that one runner reports of another takes effect on all instances."""
        health = RunnerHealth()
        assert receive(health, FaultReport("a", fault, 2.0))
        assert health.in_cooldown(now_s=1.9) == {"a"}

    def test_instance_report_needs_confirmation(self):
        """Silence that one instance observes may be caused by its own link."""
        health = RunnerHealth()
        receiver = FaultReportReceiver(health, rng=random.Random(1))
        silent = FaultReport("a", ServerFault.SILENT, 3.0)
        assert not receiver.receive(silent, reporter="i1", now_s=0.0)
        assert not receiver.receive(silent, reporter="i1", now_s=0.5)
        assert not receiver.receive(silent, reporter="i2", now_s=9.0)
        assert receiver.receive(silent, reporter="i3", now_s=9.5)

    def test_cooldowns_have_jitter(self):
        """Instances don't retry a dead server at the same time."""
        outcomes = set()
        for seed in range(20):
            health = RunnerHealth()
            receiver = FaultReportReceiver(health, rng=random.Random(seed))
            receiver.receive(
                FaultReport("a", ServerFault.NAMED, 2.0), reporter="w", now_s=0.0
            )
            outcomes.add(health.is_in_cooldown("a", now_s=2.5))
        assert outcomes == {True, False}

    def test_reported_cooldown_is_bounded(self):
        """A single report can't disable a server for long."""
        health = RunnerHealth()
        receive(health, FaultReport("a", ServerFault.NAMED, 1e6))
        assert not health.is_in_cooldown("a", now_s=10.0)

    def test_shorter_cooldown_has_no_effect(self):
        """A longer cooldown remains in effect."""
        health = RunnerHealth()
        health.record_fault("a", ServerFault.SILENT, now_s=0.0)
        assert not receive(health, FaultReport("a", ServerFault.ABSENT, 0.3))
        assert health.excluded(now_s=0.1) == {"a"}

    @pytest.mark.parametrize("is_new", [True, False])
    def test_shutdown_takes_effect_immediately_without_cooldown(self, is_new):
        """The server itself reported its shutdown to the other instance."""
        health, reported = RunnerHealth(), []
        receiver = FaultReportReceiver(
            health,
            on_leaving=lambda report: reported.append(report.server_id) or is_new,
            rng=random.Random(1),
        )
        leaving = FaultReport("a", ServerFault.LEAVING, 0.0)
        assert receiver.receive(leaving, reporter="i1", now_s=0.0) is is_new
        assert reported == ["a"]
        assert not health.is_in_cooldown("a", now_s=0.0)
        assert should_broadcast(ServerFault.LEAVING)

    def test_full_servers_are_not_reported(self):
        """Capacity is available again before the report would be received."""
        assert not should_broadcast(ServerFault.FULL)
        assert not should_broadcast(ServerFault.FAILED)
        assert should_broadcast(ServerFault.ABSENT)


class TestFaultReportLink:
    async def linked_pair(self):
        """Return two linked instances, and the health of each."""
        entries = [
            entry(f"i{n}")._replace(address=f"127.0.0.1:{port}", token=f"t{n}")
            for n, port in enumerate(free_ports(2))
        ]
        links, healths = [], []
        for own in entries:
            directory = InstanceDirectory(own)
            directory.take(
                {instance.id: instance for instance in entries}, is_whole=True
            )
            healths.append(RunnerHealth())
            receiver = FaultReportReceiver(healths[-1], rng=random.Random(1))
            datagrams = PeerDatagrams(directory)
            links.append(FaultReportLink(datagrams, receiver))
            await datagrams.start(own.address)
        return links, healths

    async def test_report_is_received(self):
        """A report is sent to all other instances, and not to the sender."""
        links, (own, other) = await self.linked_pair()
        links[0].broadcast(FaultReport("a", ServerFault.NAMED, 5.0))
        async with asyncio.timeout(5):
            while not other.in_cooldown(now_s=clocks.now_s()):
                await asyncio.sleep(0.01)
        assert not own.in_cooldown(now_s=clocks.now_s())

    async def test_unreachable_instance(self):
        """An invalid address of one instance doesn't affect the others."""
        links, (_, other) = await self.linked_pair()
        broken = entry("i00")._replace(address="nowhere")
        directory = links[0]._datagrams.directory
        directory.take(
            {
                "i00": broken,
                **{instance.id: instance for instance in directory.others()},
            },
            is_whole=True,
        )
        links[0].broadcast(FaultReport("a", ServerFault.NAMED, 5.0))
        async with asyncio.timeout(5):
            while not other.in_cooldown(now_s=clocks.now_s()):
                await asyncio.sleep(0.01)

    async def test_bounded_rate(self, monkeypatch):
        """Widespread faults don't saturate the links."""
        monkeypatch.setattr(_fault_report_link, "_BATCH_DELAY_S", 0.0)
        links, _ = await self.linked_pair()
        sent = []
        links[0]._datagrams._transport = type(
            "Transport", (), {"sendto": lambda _, data, to: sent.append(to)}
        )()
        for n in range(300):
            links[0].broadcast(FaultReport(f"s{n}", ServerFault.NAMED, 1.0))
            await asyncio.sleep(0.001)
        assert len(sent) <= 2 * _fault_report_link._MAX_DATAGRAMS_PER_S

    async def test_late_report_of_earlier_start(self):
        """A report of an earlier start doesn't affect the new one."""
        links, (_, other) = await self.linked_pair()
        links[1].started_ms = {"a": 200}.get
        links[0].broadcast(FaultReport("a", ServerFault.NAMED, 5.0, started_ms=100))
        links[0].broadcast(FaultReport("b", ServerFault.NAMED, 5.0, started_ms=100))
        async with asyncio.timeout(5):
            while not other.in_cooldown(now_s=clocks.now_s()):
                await asyncio.sleep(0.01)
        assert other.in_cooldown(now_s=clocks.now_s()) == {"b"}


#: How long a replay lasts and its step, in seconds.
REPLAY_S = 20.0
STEP_S = 0.01
#: Between two calls of an instance that meet a server out of its reach, in seconds.
CALL_PAUSE_S = 0.5
CHECK_PAUSE_S = 0.2
#: For which part of the time a server in reach may be left out.
MAX_EXCLUDED = 0.25


@pytest.mark.parametrize("instances", [8, 72, 120, 350])
def test_two_instances_exclude_a_server_that_all_others_reach(instances):
    """Two lose their link to it, and not those to the other servers of its service."""
    rng = random.Random(instances)
    health = RunnerHealth()
    receiver = FaultReportReceiver(health, rng=rng)
    routing = SimpleNamespace(instance_count=lambda: instances)
    checks = HealthCheckLoop(routing, rng=rng)
    reporters = {"i1": RunnerHealth(), "i2": RunnerHealth()}
    excluded_s = 0.0
    for step in range(round(REPLAY_S / STEP_S)):
        now_s = step * STEP_S
        for reporter, own in reporters.items():
            if step % round(CALL_PAUSE_S / STEP_S):
                continue
            cooldown_s = own.record_fault("a", ServerFault.SILENT, now_s=now_s)
            if cooldown_s is not None:
                report = FaultReport("a", ServerFault.SILENT, cooldown_s)
                receiver.receive(report, reporter=reporter, now_s=now_s)
        if not step % round(CHECK_PAUSE_S / STEP_S):
            left_s = health.silent_cooldowns_s(now_s=now_s).get("a")
            if left_s is None:
                checks._probed_at_s.clear()
            elif checks._is_due("a", left_s, now_s):
                health.record_success("a")
                checks._probed_at_s.clear()
        excluded_s += STEP_S * ("a" in health.excluded(now_s=now_s))
    assert excluded_s <= MAX_EXCLUDED * REPLAY_S
