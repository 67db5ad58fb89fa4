# SPDX-License-Identifier: MIT
"""The memory for requests."""

from __future__ import annotations

import heapq
import random

import pytest

from violethatch.memory_budget import MemoryBudget, request_budget_bytes


MB = 1_000_000


class TestSize:
    @pytest.mark.parametrize("memory_mb", [64, 128, 200, 300, 552])
    def test_budget_leaves_a_margin_below_the_limit(self, memory_mb):
        budget_mb = request_budget_bytes(memory_mb=memory_mb, resting_mb=50.0) / MB
        assert 0.09 * memory_mb < budget_mb < 0.8 * memory_mb
        if memory_mb >= 128:
            assert budget_mb + 50.0 < 0.8 * memory_mb


class TestReservations:
    def test_released_at_the_end_of_the_block(self):
        budget = MemoryBudget(10 * MB)
        with pytest.raises(ZeroDivisionError), budget.open() as reservation:
            assert reservation.grow(5 * MB)
            assert budget.in_use_bytes == 5 * MB
            _ = 1 / 0
        assert (budget.in_use_bytes, budget.peak_bytes) == (0, 5 * MB)

    def test_large_ones_leave_room_for_small_ones(self):
        budget = MemoryBudget(10 * MB)
        held = []
        while (one := budget.open()).grow(MB):
            held.append(one)
        assert len(held) == 8
        small = [budget.open() for _ in range(100)]
        assert sum(one.grow(20_000) for one in small) == 100

    def test_small_one_that_grows_counts_as_large(self):
        budget = MemoryBudget(MB)
        first = budget.open()
        assert first.grow(60_000)
        assert first.grow(700_000)
        assert not first.grow(100_000)
        first.release()
        assert budget.open().grow(800_000)

    def test_rejection_changes_nothing(self):
        budget = MemoryBudget(MB)
        rejected = []
        budget.on_rejected = rejected.append
        one = budget.open()
        assert not one.grow(2 * MB)
        assert (one.held_bytes, budget.in_use_bytes, rejected) == (0, 0, [2 * MB])

    @pytest.mark.parametrize("seed", range(20))
    def test_replay_of_large_bodies_beside_small_requests(self, seed):
        """Three times as many large bodies as fit, each held for as long as work is."""
        rng = random.Random(seed)
        budget = MemoryBudget(176 * MB)
        ends = []
        small_rejected = 0
        large_granted = 0
        now_s = 0.0
        for number in range(20_000):
            now_s += rng.expovariate(100.0)
            while ends and ends[0][0] <= now_s:
                heapq.heappop(ends)[2].release()
            is_large = rng.random() < 0.6
            one = budget.open()
            size = 4_194_304 if is_large else rng.randrange(33_000, 60_000)
            if one.grow(size):
                large_granted += is_large
                until_s = now_s + rng.uniform(1.0, 3.0)
                heapq.heappush(ends, (until_s, number, one))
            else:
                small_rejected += not is_large
            assert budget.in_use_bytes <= budget.total_bytes
        assert small_rejected == 0
        assert large_granted / now_s > 0.8 * 33 / 2.0
        for _, _, one in ends:
            one.release()
        assert budget.in_use_bytes == 0
