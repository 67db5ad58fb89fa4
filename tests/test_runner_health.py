# SPDX-License-Identifier: MIT
"""Which servers are left alone, and for how long."""

from __future__ import annotations

from violethatch.runner_health import RunnerHealth, ServerFault


class TestRunnerHealth:
    def test_rest_ends_by_itself(self):
        """A server in trouble is left alone and then tried again."""
        health = RunnerHealth()
        health.record_fault("a", ServerFault.SILENT, now_s=0.0)
        assert health.in_cooldown(now_s=2.9) == {"a"}
        assert not health.is_in_cooldown("a", now_s=3.1)

    def test_work_ends_the_rest(self):
        """A server that works is used at once."""
        health = RunnerHealth()
        health.record_fault("a", ServerFault.NAMED, now_s=0.0)
        health.record_success("a")
        assert not health.is_in_cooldown("a", now_s=0.1)

    def test_one_trouble_seen_by_many_counts_once(self):
        """Requests that see the same trouble don't lengthen the rest."""
        health = RunnerHealth()
        for n in range(20):
            health.record_fault("a", ServerFault.SILENT, now_s=n * 0.01)
        assert not health.is_in_cooldown("a", now_s=3.1)

    def test_trouble_again_doubles_the_rest(self):
        """Who fails again after a rest rests longer, within a limit."""
        health = RunnerHealth()
        health.record_fault("a", ServerFault.SILENT, now_s=0.0)
        health.record_fault("a", ServerFault.SILENT, now_s=3.5)
        assert health.is_in_cooldown("a", now_s=9.0)
        for n in range(2, 10):
            health.record_fault("a", ServerFault.SILENT, now_s=n * 20.0)
        assert not health.is_in_cooldown("a", now_s=9 * 20.0 + 12.1)

    def test_full_server_rests_briefly(self):
        """Room comes back soon, however often it was full."""
        health = RunnerHealth()
        for n in range(5):
            health.record_fault("a", ServerFault.FULL, now_s=n * 0.5)
        assert not health.is_in_cooldown("a", now_s=2.4)

    def test_full_does_not_shorten_a_longer_rest(self):
        """A silent server stays alone, whatever else was seen."""
        health = RunnerHealth()
        health.record_fault("a", ServerFault.SILENT, now_s=0.0)
        health.record_fault("a", ServerFault.FULL, now_s=0.1)
        assert health.is_in_cooldown("a", now_s=2.0)

    def test_silent_server_rests_as_long_as_engines_wait(self):
        """The site's own bound says how long a silent server is left alone."""
        health = RunnerHealth(stall_s=5.0)
        health.record_fault("a", ServerFault.SILENT, now_s=0.0)
        assert health.is_in_cooldown("a", now_s=4.9)
        assert not health.is_in_cooldown("a", now_s=5.1)

    def test_absent_server_rests_longer_each_time(self):
        """Whose part can't be had again and again is likely to be dead."""
        health = RunnerHealth(stall_s=3.0)
        rests = [
            health.record_fault("a", ServerFault.ABSENT, now_s=n * 10.0)
            for n in range(6)
        ]
        assert rests == [0.3, 0.6, 1.2, 2.4, 3.0, 3.0]
        health.record_success("a")
        assert health.record_fault("a", ServerFault.ABSENT, now_s=90.0) == 0.3

    def test_doubt_is_no_certainty(self):
        """A server that may only be full is not shunned."""
        health = RunnerHealth()
        health.record_fault("full", ServerFault.FULL, now_s=0.0)
        health.record_fault("absent", ServerFault.ABSENT, now_s=0.0)
        health.record_fault("silent", ServerFault.SILENT, now_s=0.0)
        assert health.in_cooldown(now_s=0.1) == {"full", "absent", "silent"}
        assert health.excluded(now_s=0.1) == {"silent"}

    def test_doubt_doesn_t_lift_a_certainty(self):
        """While a silent server is shunned, a milder trouble changes nothing."""
        health = RunnerHealth(stall_s=3.0)
        for n in range(5):
            health.record_fault("a", ServerFault.ABSENT, now_s=n * 10.0)
        health.record_fault("a", ServerFault.FAILED, now_s=60.0)
        assert health.record_fault("a", ServerFault.ABSENT, now_s=60.1) is None
        assert not health.start_cooldown("a", ServerFault.ABSENT, 9.0, now_s=60.1)
        assert health.excluded(now_s=60.2) == {"a"}
