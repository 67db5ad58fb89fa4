# SPDX-License-Identifier: MIT
"""Demand: counted at an instance, packed, and summed along the tree."""

from __future__ import annotations

import collections
import random
import struct
import time
import tracemalloc

import pytest

from hypothesis import given
from hypothesis import strategies as st

from demand_replay import KEY, of_workspaces
from violethatch.demand import (
    COUNTS_KEPT,
    MAX_ENCODED_BYTES,
    MAX_SENT_KEYS,
    MAX_SENT_WORKSPACES,
    MAX_SUMMED_WORKSPACES,
    MOST_KEYS_KEPT,
    NO_DEMAND,
    Demand,
    DemandCounter,
    DemandFeed,
    DemandKey,
    decode_demand,
    encode_demand,
    total_demand,
)


rates = st.integers(1, 65535).map(lambda units: units / 8)
keys = st.builds(DemandKey, st.integers(0, 2**32 - 1), st.integers(0, 99))
demands = st.builds(
    Demand,
    st.dictionaries(keys, rates, max_size=MAX_SENT_KEYS),
    st.dictionaries(
        st.tuples(keys, st.integers(0, 2**32 - 1)), rates, max_size=MAX_SENT_WORKSPACES
    ),
)


class TestPacked:
    @given(demands)
    def test_packed_demand_comes_back(self, demand):
        """Guards against a rate that arrives under another key or workspace."""
        assert decode_demand(encode_demand(demand)) == demand

    @given(st.binary(max_size=400))
    def test_noise_is_a_value_error(self, data):
        """Guards against another exception, which would end the reader."""
        try:
            demand = decode_demand(data)
        except ValueError:
            return
        assert len(demand.offers_per_s) <= MAX_SENT_KEYS
        assert len(demand.heaviest_per_s) <= MAX_SENT_WORKSPACES

    def test_layout(self):
        """Guards against a change of the wire format between versions."""
        data = encode_demand(Demand({KEY: 2.5}, {(KEY, 9): 1.5}))
        assert data == b"\1" + struct.pack("<IBHIBIH", 7, 1, 20, 7, 1, 9, 12)

    def test_incomplete_bytes_are_refused(self):
        """Guards against a datagram cut short that is read as less demand."""
        data = encode_demand(of_workspaces({1: 3.0, 2: 5.0}))
        whole = {len(data), len(data) - 11, len(data) - 22, 0}
        for length in set(range(len(data))) - whole:
            with pytest.raises(ValueError, match="complete"):
                decode_demand(data[:length])

    def test_too_many_entries_are_refused(self):
        """Guards against a datagram that makes the sums large."""
        for data in (bytes([13]) + bytes(13 * 7), b"\0" + bytes(9 * 11)):
            with pytest.raises(ValueError, match="large"):
                decode_demand(data)

    def test_the_largest_go(self):
        """Guards against small keys or workspaces in the place of large ones."""
        offers = {DemandKey(7, priority): 1.0 + priority for priority in range(40)}
        heaviest = {(KEY, workspace): 1.0 + workspace for workspace in range(40)}
        data = encode_demand(Demand(offers, heaviest))
        assert len(data) == MAX_ENCODED_BYTES
        back = decode_demand(data)
        assert list(back.offers_per_s.values()) == [40.0 - n for n in range(12)]
        assert list(back.heaviest_per_s.values()) == [40.0 - n for n in range(8)]

    def test_the_largest_go_first(self):
        """Guards against an order of the keys that depends on when they were seen."""
        data = encode_demand(Demand({KEY: 1.0, DemandKey(9, 0): 2.0}, {}))
        assert list(decode_demand(data).offers_per_s) == [DemandKey(9, 0), KEY]

    @given(demands, st.integers(0, MAX_ENCODED_BYTES))
    def test_bytes_are_bounded(self, demand, most_bytes):
        """Guards against datagrams above their bytes; keys go before workspaces."""
        data = encode_demand(demand, max_bytes=most_bytes)
        assert len(data) <= most_bytes
        back = decode_demand(data)
        assert back.offers_per_s.items() <= demand.offers_per_s.items()
        if back.heaviest_per_s:
            assert back.offers_per_s == demand.offers_per_s

    def test_rates_beyond_the_field(self):
        """Guards against an overflow that ends the sender; what rounds to 0 is none."""
        assert decode_demand(encode_demand(Demand({KEY: 1e9}, {}))).offers_per_s == {
            KEY: 8191.875
        }
        assert encode_demand(Demand({KEY: 0.06}, {(KEY, 1): 0.06})) == b""
        assert encode_demand(NO_DEMAND) == b""


class TestTotalDemand:
    def test_rates_add_up(self):
        """Guards against a part that replaces another's rate."""
        both = total_demand([of_workspaces({1: 2.0, 2: 1.0}), of_workspaces({1: 3.0})])
        assert both == of_workspaces({1: 5.0, 2: 1.0})

    def test_nothing_is_no_demand(self):
        """Guards against work, or bytes, where no service is governed."""
        assert total_demand([NO_DEMAND] * 3) is NO_DEMAND

    def test_kept_entries_are_bounded(self):
        """Guards against sums that grow with what neighbours send."""
        parts = [
            Demand(
                {DemandKey(service, 0): 1.0 + service for service in numbers},
                {(KEY, workspace): 1.0 + workspace for workspace in numbers},
            )
            for numbers in (range(100), range(100, 200))
        ]
        kept = total_demand(parts)
        assert len(kept.offers_per_s) == MOST_KEYS_KEPT
        assert len(kept.heaviest_per_s) == MAX_SUMMED_WORKSPACES
        assert min(kept.heaviest_per_s.values()) == 200 - MAX_SUMMED_WORKSPACES + 1


class TestDemandCounter:
    def test_offers_count_for_a_second(self):
        """Guards against offers that are lost early or counted for longer."""
        counter = DemandCounter()
        for n in range(40):
            counter.record_offer(KEY, n % 2, now_s=100.0 + n / 40)
        assert counter.demand(now_s=101.0) == of_workspaces({0: 20.0, 1: 20.0})
        half = counter.demand(now_s=101.5).offers_per_s[KEY]
        assert half == pytest.approx(20.0)
        assert counter.demand(now_s=102.0) is NO_DEMAND

    def test_window_moves_smoothly(self):
        """Guards against a rate that jumps with the slices of the window."""
        counter = DemandCounter()
        for n in range(4000):
            now_s = 50.0 + n / 1000
            counter.record_offer(KEY, 1, now_s=now_s)
            if n >= 1000:
                rate = counter.demand(now_s=now_s).offers_per_s[KEY]
                assert rate == pytest.approx(1000.0, abs=2.0)

    def test_pause_leaves_nothing(self):
        """Guards against offers before a pause that count after it."""
        counter = DemandCounter()
        counter.record_offer(KEY, 1, now_s=5.0)
        counter.record_offer(KEY, 2, now_s=5000.0)
        assert counter.demand(now_s=5000.1) == of_workspaces({2: 1.0})

    @pytest.mark.parametrize("seed", range(50))
    def test_heavy_ones_are_right_among_many(self, seed):
        """Guards against a flood of names that hides heavy ones, or inflates them."""
        rng = random.Random(seed)
        counter = DemandCounter()
        right = collections.Counter()
        offers = 8000
        for n in range(offers):
            is_heavy = rng.random() < 0.5
            workspace = rng.randrange(10) if is_heavy else rng.randrange(10, 2**32)
            key = DemandKey(workspace if n % 2 else 7, 1)
            right[key] += 1
            right[key, workspace] += 1
            counter.record_offer(key, workspace, now_s=100.0 + n / offers)
        known = counter.demand(now_s=101.0)
        most_missing = offers / (COUNTS_KEPT + 1)
        for heavy in range(10):
            assert (DemandKey(7, 1), heavy) in known.heaviest_per_s
        for rates_per_s in known:
            for entry, rate in rates_per_s.items():
                assert right[entry] - most_missing <= rate <= right[entry]
        named = known.offers_per_s.keys() | known.heaviest_per_s.keys()
        kept = [entry for entry, count in right.items() if count > 4 * most_missing]
        assert named >= set(kept)

    def test_memory_is_bounded(self):
        """Guards against memory that grows with names that callers choose."""
        counter = DemandCounter()
        tracemalloc.start()
        try:
            for n in range(40_000):
                counter.record_offer(DemandKey(n, 1), n, now_s=100.0 + n / 20_000)
                if n == 20_000:
                    early_bytes, _ = tracemalloc.get_traced_memory()
            late_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert late_bytes < 2_000_000
        assert late_bytes < 1.5 * early_bytes

    def test_an_offer_is_cheap(self):
        """Guards against counting that takes a notable part of a request's time."""
        costs_s = []
        for spread in (24, 2**32):
            rng = random.Random(spread)
            names = [rng.randrange(spread) for _ in range(5000)]
            counter = DemandCounter()
            batches_s = []
            for batch in range(5):
                started_s = time.process_time()
                for n, name in enumerate(names):
                    counter.record_offer(KEY, name, now_s=batch + n / 5000)
                batches_s.append((time.process_time() - started_s) / len(names))
            costs_s.append(min(batches_s))
        assert max(costs_s) < 10e-6


class TestDemandFeed:
    def test_all_are_told_workspaces_in_turn(self):
        """Guards against a neighbour that never hears of the heaviest ones."""
        feed = DemandFeed()
        demand = of_workspaces({n: 10.0 + n for n in range(8)})
        named = collections.Counter()
        for _ in range(6):
            told = feed.pack(dict.fromkeys("abcde", demand), most_bytes=310)
            assert sum(map(len, told.values())) <= 310
            for one, data in told.items():
                back = decode_demand(data)
                assert back.offers_per_s == demand.offers_per_s
                named[one] += back.heaviest_per_s == demand.heaviest_per_s
        assert min(named[one] for one in "abcde") >= 2

    def test_who_came_back_is_told_first(self):
        """Guards against a neighbour that waits for those told more often."""
        feed = DemandFeed()
        demand = of_workspaces({n: 10.0 + n for n in range(8)})
        for _ in range(4):
            feed.pack(dict.fromkeys("abcd", demand), most_bytes=310)
        feed.forget("c")
        told = feed.pack(dict.fromkeys("abcd", demand), most_bytes=310)
        assert decode_demand(told["c"]).heaviest_per_s

    def test_nothing_offered_is_nothing_told(self):
        """Guards against bytes where no service is governed."""
        told = DemandFeed().pack({"a": NO_DEMAND, "b": NO_DEMAND}, most_bytes=510)
        assert told == {"a": b"", "b": b""}
        assert DemandFeed().pack({}, most_bytes=0) == {}
