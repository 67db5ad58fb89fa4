# SPDX-License-Identifier: MIT
"""How full runners are thought to be."""

from __future__ import annotations

import pytest

from routing_samples import engine, runner
from violethatch.demand import NO_DEMAND, Demand, DemandKey
from violethatch.load_sums import LoadTotals, ServerTotals, server_number
from violethatch.paths import find_path
from violethatch.stream_loads import StreamLoads, added_utilization
from violethatch.upstream import ServerLoad


A = runner("a", 0, 14)
B = runner("b", 14, 80, kind="large", zone="z2")
PATH = find_path(
    [A, B._replace(layers=B.layers._replace(end=54)), runner("c", 54, 80)],
    engine(),
    zone="z1",
)


class TestStreamLoads:
    def test_nothing_is_taken_at_first(self):
        """Without streams and words runners are empty."""
        assert StreamLoads().utilization(A, engine(), now_s=0.0) == 0.0

    def test_own_streams_count(self):
        """Each own stream takes its tokens on each of its layers."""
        loads = StreamLoads()
        room = engine().kv_capacity_tokens(engine().kinds["medium"], 14)
        loads.started(PATH, room / 4, now_s=0.0, crossing_ms=0.0)
        assert loads.utilization(A, engine(), now_s=0.0) == pytest.approx(0.25)
        loads.ended(PATH, room / 4)
        assert loads.utilization(A, engine(), now_s=0.0) == 0.0

    def test_first_runners_word_counts_for_a_while(self):
        """What a first runner says of its slots is believed while it is new."""
        loads = StreamLoads()
        loads.record_report("a", ServerLoad(running=72, waiting=0, slots=96), now_s=0.0)
        assert loads.utilization(A, engine(), now_s=1.0) == pytest.approx(0.75)
        assert loads.utilization(A, engine(), now_s=60.0) == 0.0

    def test_others_streams_count_like_own(self):
        """A runner is as full as all instances' streams make it."""
        loads = StreamLoads()
        room = engine().kv_capacity_tokens(engine().kinds["medium"], 14)
        loads.started(PATH, room / 4, now_s=0.0, crossing_ms=0.0)
        there = ServerTotals(3, room * 14 / 4)
        loads.update_others(LoadTotals(5, 0.0, {server_number("a"): there}), now_s=0.0)
        assert loads.utilization(A, engine(), now_s=0.0) == pytest.approx(0.5)

    def test_others_streams_take_slots(self):
        """Where runners tell nothing, slots are counted all the same."""
        loads = StreamLoads()
        loads.started(PATH, 1.0, now_s=0.0, crossing_ms=0.0)
        loads.update_others(
            LoadTotals(5, 0.0, {server_number("a"): ServerTotals(71, 1.0)}),
            now_s=0.0,
        )
        assert loads.utilization(A, engine(), now_s=0.0) == pytest.approx(0.75)

    def test_own_streams_are_not_taken_times_the_others(self):
        """What others may have begun meanwhile is laid out by `path_shares`."""
        loads = StreamLoads()
        loads.update_others(LoadTotals(5, 0.0, {}, age_s=1.0), now_s=0.0)
        loads.started(PATH, 1.0, now_s=0.1, crossing_ms=0.0)
        assert loads.utilization(A, engine(), now_s=0.2) == pytest.approx(1 / 96)
        assert loads.others_age_s(now_s=0.2) == pytest.approx(1.2)

    def test_added_streams_take_slots_and_kv_cache(self):
        """Usual streams fill the first runner's slots, and each one's KV cache."""
        added = added_utilization(PATH, engine(), streams=48.0)
        assert added["a"] >= 0.5
        room = engine().kv_capacity_tokens(engine().kinds["large"], 40)
        taken = 48.0 * engine().usual_tokens / room
        assert added["b"] == pytest.approx(taken)

    def test_fuller_word_counts(self):
        """The runner's own word and the others' sums are of different ages."""
        loads = StreamLoads()
        loads.record_report("a", ServerLoad(running=72, waiting=0, slots=96), now_s=0.0)
        loads.update_others(
            LoadTotals(5, 0.0, {server_number("a"): ServerTotals(24, 1.0)}),
            now_s=0.0,
        )
        assert loads.utilization(A, engine(), now_s=1.0) == pytest.approx(0.75)
        assert loads.utilization(A, engine(), now_s=60.0) == pytest.approx(0.25)

    def test_runner_with_a_queue_is_full(self):
        """With its memory full, one ran 75 streams on 96 slots while 48 waited."""
        loads = StreamLoads()
        loads.record_report("a", ServerLoad(75, 3, 96), now_s=0.0)
        assert loads.slot_utilization(A, now_s=0.0) < 0.85
        loads.record_report("a", ServerLoad(75, 48, 96), now_s=0.0)
        assert loads.slot_utilization(A, now_s=0.0) == pytest.approx(1.64)
        assert loads.slot_utilization(A, now_s=60.0) == 0.0

    def test_own_demand_is_told(self):
        """Guards against demand that is counted and not told, or told uncounted."""
        loads = StreamLoads()
        assert loads.own_totals(now_s=0.0).demand is NO_DEMAND
        offered = Demand({DemandKey(7, 1): 3.0}, {})
        loads.own_demand = lambda: offered
        assert loads.own_totals(now_s=0.0).demand == offered

    def test_own_totals_are_what_others_are_told(self):
        """Streams count at the first runner, KV cache at each."""
        loads = StreamLoads()
        loads.started(PATH, 100.0, now_s=0.0, crossing_ms=5.0)
        totals = loads.own_totals(now_s=0.0)
        assert totals.instances == 1
        assert totals.pipe_ms_per_s == pytest.approx(2.5 * PATH.zone_hops)
        assert totals.servers[server_number("a")] == ServerTotals(1, 1400.0)
        assert totals.servers[server_number("b")].streams == 0
        loads.ended(PATH, 100.0)
        assert loads.own_totals(now_s=60.0).servers == {}

    def test_pipe_fills_with_crossings(self):
        """Prompts that cross zones fill the pipe for a while, own and others'."""
        loads = StreamLoads()
        for _ in range(10):
            loads.started(PATH, 100.0, now_s=0.0, crossing_ms=7.0)
        loads.update_others(LoadTotals(5, 30.0, {}), now_s=0.0)
        expected = 10 * PATH.zone_hops * 7.0 / 2000 + 0.03
        assert loads.zone_link_utilization(now_s=1.0) == pytest.approx(expected)
        assert loads.zone_link_utilization(now_s=9.0) == pytest.approx(0.03)

    def test_others_streams_end_while_their_news_is_old(self):
        """Old news and what was begun since would count the same room twice."""
        loads = StreamLoads()
        number = server_number(PATH.first.id)
        others = LoadTotals(63, 0.0, {number: ServerTotals(48, 0.0)}, age_s=0.7)
        loads.update_others(others, now_s=0.0)
        assert loads.totals_at(PATH.first.id, now_s=0.3).streams == 48
        for _ in range(200):
            loads.record_duration(1.0)
        assert loads.totals_at(PATH.first.id, now_s=0.3).streams == 18

    def test_own_streams_are_known_exactly(self):
        """How old the others' news is says nothing of them."""
        loads = StreamLoads()
        loads.record_duration(1.0)
        loads.started(PATH, 100.0, crossing_ms=0.0, now_s=0.0)
        loads.update_others(LoadTotals(63, 0.0, {}, age_s=0.7), now_s=0.0)
        assert loads.totals_at(PATH.first.id, now_s=0.3).streams == 1
