# SPDX-License-Identifier: MIT
"""Cooldowns of servers after faults."""

from __future__ import annotations

from violethatch.runner_health import RunnerHealth, ServerFault


class TestRunnerHealth:
    def test_cooldown_expires(self):
        """A faulty server is avoided, and then tried again."""
        health = RunnerHealth()
        health.record_fault("a", ServerFault.SILENT, now_s=0.0)
        assert health.in_cooldown(now_s=2.9) == {"a"}
        assert not health.is_in_cooldown("a", now_s=3.1)

    def test_success_ends_cooldown(self):
        """A server that succeeds is used immediately."""
        health = RunnerHealth()
        health.record_fault("a", ServerFault.NAMED, now_s=0.0)
        health.record_success("a")
        assert not health.is_in_cooldown("a", now_s=0.1)

    def test_same_fault_counts_once(self):
        """Requests that observe the same fault don't extend the cooldown."""
        health = RunnerHealth()
        for n in range(20):
            health.record_fault("a", ServerFault.SILENT, now_s=n * 0.01)
        assert not health.is_in_cooldown("a", now_s=3.1)

    def test_repeated_fault_doubles_cooldown(self):
        """A server that fails again gets a longer cooldown, up to a maximum."""
        health = RunnerHealth()
        health.record_fault("a", ServerFault.SILENT, now_s=0.0)
        health.record_fault("a", ServerFault.SILENT, now_s=3.5)
        assert health.is_in_cooldown("a", now_s=9.0)
        for n in range(2, 10):
            health.record_fault("a", ServerFault.SILENT, now_s=n * 20.0)
        assert not health.is_in_cooldown("a", now_s=9 * 20.0 + 12.1)

    def test_full_server_has_short_cooldown(self):
        """The cooldown doesn't grow, since capacity is soon available again."""
        health = RunnerHealth()
        for n in range(5):
            health.record_fault("a", ServerFault.FULL, now_s=n * 0.5)
        assert not health.is_in_cooldown("a", now_s=2.4)

    def test_full_does_not_shorten_cooldown(self):
        """A silent server stays in cooldown regardless of other faults."""
        health = RunnerHealth()
        health.record_fault("a", ServerFault.SILENT, now_s=0.0)
        health.record_fault("a", ServerFault.FULL, now_s=0.1)
        assert health.is_in_cooldown("a", now_s=2.0)

    def test_silent_server_cooldown_is_stall_limit(self):
        """The site's stall limit is the cooldown of a silent server."""
        health = RunnerHealth(stall_s=5.0)
        health.record_fault("a", ServerFault.SILENT, now_s=0.0)
        assert health.is_in_cooldown("a", now_s=4.9)
        assert not health.is_in_cooldown("a", now_s=5.1)

    def test_absent_server_cooldown_grows(self):
        """A runner whose layers are repeatedly unavailable is likely to be dead."""
        health = RunnerHealth(stall_s=3.0)
        cooldowns = [
            health.record_fault("a", ServerFault.ABSENT, now_s=n * 10.0)
            for n in range(6)
        ]
        assert cooldowns == [0.3, 0.6, 1.2, 2.4, 3.0, 3.0]
        health.record_success("a")
        assert health.record_fault("a", ServerFault.ABSENT, now_s=90.0) == 0.3

    def test_transient_fault_does_not_exclude(self):
        """A server that may only be full is not excluded."""
        health = RunnerHealth()
        health.record_fault("full", ServerFault.FULL, now_s=0.0)
        health.record_fault("absent", ServerFault.ABSENT, now_s=0.0)
        health.record_fault("silent", ServerFault.SILENT, now_s=0.0)
        assert health.in_cooldown(now_s=0.1) == {"full", "absent", "silent"}
        assert health.excluded(now_s=0.1) == {"silent"}

    def test_transient_fault_does_not_end_exclusion(self):
        """While a silent server is excluded, a transient fault has no effect."""
        health = RunnerHealth(stall_s=3.0)
        for n in range(5):
            health.record_fault("a", ServerFault.ABSENT, now_s=n * 10.0)
        health.record_fault("a", ServerFault.FAILED, now_s=60.0)
        assert health.record_fault("a", ServerFault.ABSENT, now_s=60.1) is None
        assert not health.start_cooldown("a", ServerFault.ABSENT, 9.0, now_s=60.1)
        assert health.excluded(now_s=60.2) == {"a"}
