# SPDX-License-Identifier: MIT
"""Retry delays of callers that are rejected at the same time."""

from __future__ import annotations

import collections
import random

from violethatch.retry_delay import MAX_DELAY_S, MIN_DELAY_S, retry_delay_s


class TestRetryDelay:
    def test_delay_covers_expected_duration(self):
        """Guards against a caller's only retry during the cooldown of runners."""
        rng = random.Random(1)
        assert all(retry_delay_s(2.0, rng=rng) >= 2.0 for _ in range(100))

    def test_delay_is_short_without_known_cause(self):
        """If runners are only full, some requests end soon."""
        rng = random.Random(1)
        assert MIN_DELAY_S <= retry_delay_s(0.0, rng=rng) <= 1.5 * MIN_DELAY_S

    def test_long_estimates_are_capped(self):
        """Guards against delays beyond the time to update the list of servers."""
        assert retry_delay_s(60.0, rng=random.Random(1)) <= 1.5 * MAX_DELAY_S

    def test_simultaneous_callers_are_spread(self):
        """195 instances reject two callers each as a group of runners fails."""
        rngs = [random.Random(seed) for seed in range(195)]
        delays_s = [retry_delay_s(3.0, rng=rng) for rng in rngs for _ in range(2)]
        counts = collections.Counter(int(10 * delay_s) for delay_s in delays_s)
        assert max(counts.values()) <= 0.15 * len(delays_s)
