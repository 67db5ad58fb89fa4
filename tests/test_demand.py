# SPDX-License-Identifier: MIT
"""Demand: counting, encoding, and sums along the tree."""

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
    MAX_ENCODED_BYTES,
    MAX_SENT_KEYS,
    MAX_SENT_WORKSPACES,
    MAX_SUMMED_KEYS,
    MAX_SUMMED_WORKSPACES,
    MIN_COUNTERS,
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


class TestEncoding:
    @given(demands)
    def test_round_trip(self, demand):
        """Guards against a rate that arrives under another key or workspace."""
        assert decode_demand(encode_demand(demand)) == demand

    @given(st.binary(max_size=400))
    def test_invalid_bytes_raise_value_error(self, data):
        """Guards against another exception, which would terminate the receiver."""
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

    def test_incomplete_bytes_are_rejected(self):
        """Guards against a truncated datagram that is decoded as less demand."""
        data = encode_demand(of_workspaces({1: 3.0, 2: 5.0}))
        valid_lengths = {len(data), len(data) - 11, len(data) - 22, 0}
        for length in set(range(len(data))) - valid_lengths:
            with pytest.raises(ValueError, match="complete"):
                decode_demand(data[:length])

    def test_too_many_entries_are_rejected(self):
        """Guards against a datagram that makes the sums large."""
        for data in (bytes([13]) + bytes(13 * 7), b"\0" + bytes(9 * 11)):
            with pytest.raises(ValueError, match="large"):
                decode_demand(data)

    def test_largest_entries_are_sent(self):
        """Guards against small keys or workspaces that displace large ones."""
        offers = {DemandKey(7, priority): 1.0 + priority for priority in range(40)}
        heaviest = {(KEY, workspace): 1.0 + workspace for workspace in range(40)}
        data = encode_demand(Demand(offers, heaviest))
        assert len(data) == MAX_ENCODED_BYTES
        decoded = decode_demand(data)
        assert list(decoded.offers_per_s.values()) == [40.0 - n for n in range(12)]
        assert list(decoded.heaviest_per_s.values()) == [40.0 - n for n in range(8)]

    def test_largest_keys_are_first(self):
        """Guards against an order of the keys that depends on insertion order."""
        data = encode_demand(Demand({KEY: 1.0, DemandKey(9, 0): 2.0}, {}))
        assert list(decode_demand(data).offers_per_s) == [DemandKey(9, 0), KEY]

    @given(demands, st.integers(0, MAX_ENCODED_BYTES))
    def test_bytes_are_bounded(self, demand, max_bytes):
        """Guards against datagrams above their limit; keys precede workspaces."""
        data = encode_demand(demand, max_bytes=max_bytes)
        assert len(data) <= max_bytes
        decoded = decode_demand(data)
        assert decoded.offers_per_s.items() <= demand.offers_per_s.items()
        if decoded.heaviest_per_s:
            assert decoded.offers_per_s == demand.offers_per_s

    def test_rates_outside_field_range(self):
        """Guards against an overflow in the sender; rates rounded to 0 are omitted."""
        assert decode_demand(encode_demand(Demand({KEY: 1e9}, {}))).offers_per_s == {
            KEY: 8191.875
        }
        assert encode_demand(Demand({KEY: 0.06}, {(KEY, 1): 0.06})) == b""
        assert encode_demand(NO_DEMAND) == b""


class TestTotalDemand:
    def test_rates_are_summed(self):
        """Guards against a demand that replaces the rate of another."""
        both = total_demand([of_workspaces({1: 2.0, 2: 1.0}), of_workspaces({1: 3.0})])
        assert both == of_workspaces({1: 5.0, 2: 1.0})

    def test_sum_of_no_demand(self):
        """Guards against work and bytes without admission control."""
        assert total_demand([NO_DEMAND] * 3) is NO_DEMAND

    def test_entries_of_sum_are_bounded(self):
        """Guards against sums that grow with the neighbours' datagrams."""
        parts = [
            Demand(
                {DemandKey(service, 0): 1.0 + service for service in numbers},
                {(KEY, workspace): 1.0 + workspace for workspace in numbers},
            )
            for numbers in (range(100), range(100, 200))
        ]
        summed = total_demand(parts)
        assert len(summed.offers_per_s) == MAX_SUMMED_KEYS
        assert len(summed.heaviest_per_s) == MAX_SUMMED_WORKSPACES
        assert min(summed.heaviest_per_s.values()) == 200 - MAX_SUMMED_WORKSPACES + 1


class TestDemandCounter:
    def test_offers_count_for_one_second(self):
        """Guards against offers that expire too early or too late."""
        counter = DemandCounter()
        for n in range(40):
            counter.record_offer(KEY, n % 2, now_s=100.0 + n / 40)
        assert counter.demand(now_s=101.0) == of_workspaces({0: 20.0, 1: 20.0})
        half = counter.demand(now_s=101.5).offers_per_s[KEY]
        assert half == pytest.approx(20.0)
        assert counter.demand(now_s=102.0) is NO_DEMAND

    def test_window_slides_smoothly(self):
        """Guards against a rate that jumps with the slices of the window."""
        counter = DemandCounter()
        for n in range(4000):
            now_s = 50.0 + n / 1000
            counter.record_offer(KEY, 1, now_s=now_s)
            if n >= 1000:
                rate = counter.demand(now_s=now_s).offers_per_s[KEY]
                assert rate == pytest.approx(1000.0, abs=2.0)

    def test_offers_expire_during_pause(self):
        """Guards against offers from before a pause that are counted after it."""
        counter = DemandCounter()
        counter.record_offer(KEY, 1, now_s=5.0)
        counter.record_offer(KEY, 2, now_s=5000.0)
        assert counter.demand(now_s=5000.1) == of_workspaces({2: 1.0})

    @pytest.mark.parametrize("seed", range(50))
    def test_heavy_workspaces_are_accurate_among_many(self, seed):
        """Guards against many distinct workspaces that hide or inflate heavy ones."""
        rng = random.Random(seed)
        counter = DemandCounter()
        expected = collections.Counter()
        offers = 8000
        for n in range(offers):
            is_heavy = rng.random() < 0.5
            workspace = rng.randrange(10) if is_heavy else rng.randrange(10, 2**32)
            key = DemandKey(workspace if n % 2 else 7, 1)
            expected[key] += 1
            expected[key, workspace] += 1
            counter.record_offer(key, workspace, now_s=100.0 + n / offers)
        measured = counter.demand(now_s=101.0)
        max_error = offers / (MIN_COUNTERS + 1)
        for heavy in range(10):
            assert (DemandKey(7, 1), heavy) in measured.heaviest_per_s
        for rates_per_s in measured:
            for entry, rate in rates_per_s.items():
                assert expected[entry] - max_error <= rate <= expected[entry]
        reported = measured.offers_per_s.keys() | measured.heaviest_per_s.keys()
        frequent = [entry for entry, count in expected.items() if count > 4 * max_error]
        assert reported >= set(frequent)

    def test_memory_is_bounded(self):
        """Guards against memory that grows with the number of workspaces of callers."""
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

    def test_counting_cost_is_bounded(self):
        """Guards against counting that takes a noticeable part of a request's time."""
        costs_s = []
        for spread in (24, 2**32):
            rng = random.Random(spread)
            workspaces = [rng.randrange(spread) for _ in range(5000)]
            counter = DemandCounter()
            batches_s = []
            for batch in range(5):
                started_s = time.process_time()
                for n, workspace in enumerate(workspaces):
                    counter.record_offer(KEY, workspace, now_s=batch + n / 5000)
                batches_s.append((time.process_time() - started_s) / len(workspaces))
            costs_s.append(min(batches_s))
        assert max(costs_s) < 10e-6


class TestDemandFeed:
    def test_neighbours_receive_workspaces_in_turn(self):
        """Guards against a neighbour that never receives the heaviest workspaces."""
        feed = DemandFeed()
        demand = of_workspaces({n: 10.0 + n for n in range(8)})
        reported = collections.Counter()
        for _ in range(6):
            encoded = feed.pack(dict.fromkeys("abcde", demand), max_bytes=310)
            assert sum(map(len, encoded.values())) <= 310
            for neighbour, data in encoded.items():
                decoded = decode_demand(data)
                assert decoded.offers_per_s == demand.offers_per_s
                reported[neighbour] += decoded.heaviest_per_s == demand.heaviest_per_s
        assert min(reported[neighbour] for neighbour in "abcde") >= 2

    def test_returning_neighbour_is_first(self):
        """Guards against a neighbour that waits for those that were sent more."""
        feed = DemandFeed()
        demand = of_workspaces({n: 10.0 + n for n in range(8)})
        for _ in range(4):
            feed.pack(dict.fromkeys("abcd", demand), max_bytes=310)
        feed.forget("c")
        encoded = feed.pack(dict.fromkeys("abcd", demand), max_bytes=310)
        assert decode_demand(encoded["c"]).heaviest_per_s

    def test_no_demand_has_no_bytes(self):
        """Guards against bytes without admission control."""
        encoded = DemandFeed().pack({"a": NO_DEMAND, "b": NO_DEMAND}, max_bytes=510)
        assert encoded == {"a": b"", "b": b""}
        assert DemandFeed().pack({}, max_bytes=0) == {}
