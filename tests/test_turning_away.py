# SPDX-License-Identifier: MIT
"""When callers come back who were turned away together."""

from __future__ import annotations

import collections
import random

from violethatch.retry_delay import LEAST_S, MOST_S, retry_delay_s


class TestComeBack:
    def test_not_before_the_block_ends(self):
        """A caller has one retry: it is not spent on runners that still rest."""
        rng = random.Random(1)
        assert all(retry_delay_s(2.0, rng=rng) >= 2.0 for _ in range(100))

    def test_room_is_waited_for_briefly(self):
        """Where nothing is known to block, some requests end soon."""
        rng = random.Random(1)
        assert LEAST_S <= retry_delay_s(0.0, rng=rng) <= 1.5 * LEAST_S

    def test_long_rests_are_a_guess(self):
        """Nobody is sent away for longer than the list takes to tell."""
        assert retry_delay_s(60.0, rng=random.Random(1)) <= 1.5 * MOST_S

    def test_callers_of_one_moment_come_back_spread(self):
        """195 instances refuse two callers each in the moment a group goes dark."""
        rngs = [random.Random(seed) for seed in range(195)]
        returns_s = [retry_delay_s(3.0, rng=rng) for rng in rngs for _ in range(2)]
        tenths = collections.Counter(int(10 * one) for one in returns_s)
        assert max(tenths.values()) <= 0.15 * len(returns_s)
