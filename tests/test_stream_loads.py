# SPDX-License-Identifier: MIT
"""The estimated utilization of runners."""

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
    def test_initially_empty(self):
        """Without streams and reports the utilization is zero."""
        assert StreamLoads().utilization(A, engine(), now_s=0.0) == 0.0

    def test_own_streams(self):
        """An own stream uses KV cache for its tokens on each of its layers."""
        loads = StreamLoads()
        capacity = engine().kv_capacity_tokens(engine().kinds["medium"], 14)
        loads.started(PATH, capacity / 4, now_s=0.0, crossing_ms=0.0)
        assert loads.utilization(A, engine(), now_s=0.0) == pytest.approx(0.25)
        loads.ended(PATH, capacity / 4)
        assert loads.utilization(A, engine(), now_s=0.0) == 0.0

    def test_report_of_first_runner_expires(self):
        """A report of a first runner is used until it expires."""
        loads = StreamLoads()
        loads.record_report("a", ServerLoad(running=72, waiting=0, slots=96), now_s=0.0)
        assert loads.utilization(A, engine(), now_s=1.0) == pytest.approx(0.75)
        assert loads.utilization(A, engine(), now_s=60.0) == 0.0

    def test_streams_of_others(self):
        """The streams of all instances add to the utilization."""
        loads = StreamLoads()
        capacity = engine().kv_capacity_tokens(engine().kinds["medium"], 14)
        loads.started(PATH, capacity / 4, now_s=0.0, crossing_ms=0.0)
        reported = ServerTotals(3, capacity * 14 / 4)
        loads.update_others(
            LoadTotals(5, 0.0, {server_number("a"): reported}), now_s=0.0
        )
        assert loads.utilization(A, engine(), now_s=0.0) == pytest.approx(0.5)

    def test_streams_of_others_use_slots(self):
        """Slots in use are counted without reports of runners as well."""
        loads = StreamLoads()
        loads.started(PATH, 1.0, now_s=0.0, crossing_ms=0.0)
        loads.update_others(
            LoadTotals(5, 0.0, {server_number("a"): ServerTotals(71, 1.0)}),
            now_s=0.0,
        )
        assert loads.utilization(A, engine(), now_s=0.0) == pytest.approx(0.75)

    def test_own_streams_are_not_extrapolated(self):
        """Unreported streams of others are estimated by `path_shares`, not here."""
        loads = StreamLoads()
        loads.update_others(LoadTotals(5, 0.0, {}, age_s=1.0), now_s=0.0)
        loads.started(PATH, 1.0, now_s=0.1, crossing_ms=0.0)
        assert loads.utilization(A, engine(), now_s=0.2) == pytest.approx(1 / 96)
        assert loads.others_age_s(now_s=0.2) == pytest.approx(1.2)

    def test_added_utilization(self):
        """Typical streams use slots of the first runner, and KV cache of each."""
        added = added_utilization(PATH, engine(), streams=48.0)
        assert added["a"] >= 0.5
        capacity = engine().kv_capacity_tokens(engine().kinds["large"], 40)
        used = 48.0 * engine().usual_tokens / capacity
        assert added["b"] == pytest.approx(used)

    def test_maximum_estimate(self):
        """The maximum of the runner's report and the totals is used."""
        loads = StreamLoads()
        loads.record_report("a", ServerLoad(running=72, waiting=0, slots=96), now_s=0.0)
        loads.update_others(
            LoadTotals(5, 0.0, {server_number("a"): ServerTotals(24, 1.0)}),
            now_s=0.0,
        )
        assert loads.utilization(A, engine(), now_s=1.0) == pytest.approx(0.75)
        assert loads.utilization(A, engine(), now_s=60.0) == pytest.approx(0.25)

    def test_queue_at_runner(self):
        """A runner with full memory ran 75 streams on 96 slots while 48 waited."""
        loads = StreamLoads()
        loads.record_report("a", ServerLoad(75, 3, 96), now_s=0.0)
        assert loads.slot_utilization(A, now_s=0.0) < 0.85
        loads.record_report("a", ServerLoad(75, 48, 96), now_s=0.0)
        assert loads.slot_utilization(A, now_s=0.0) == pytest.approx(1.64)
        assert loads.slot_utilization(A, now_s=60.0) == 0.0

    def test_own_demand(self):
        """Guards against counted demand that is not sent, and vice versa."""
        loads = StreamLoads()
        assert loads.own_totals(now_s=0.0).demand is NO_DEMAND
        offered = Demand({DemandKey(7, 1): 3.0}, {})
        loads.own_demand = lambda: offered
        assert loads.own_totals(now_s=0.0).demand == offered

    def test_own_totals(self):
        """Streams are counted at the first runner, KV cache at each runner."""
        loads = StreamLoads()
        loads.started(PATH, 100.0, now_s=0.0, crossing_ms=5.0)
        totals = loads.own_totals(now_s=0.0)
        assert totals.instances == 1
        assert totals.pipe_ms_per_s == pytest.approx(2.5 * PATH.zone_hops)
        assert totals.servers[server_number("a")] == ServerTotals(1, 1400.0)
        assert totals.servers[server_number("b")].streams == 0
        loads.ended(PATH, 100.0)
        assert loads.own_totals(now_s=60.0).servers == {}

    def test_zone_link(self):
        """Transfers of all instances use the link between zones within the window."""
        loads = StreamLoads()
        for _ in range(10):
            loads.started(PATH, 100.0, now_s=0.0, crossing_ms=7.0)
        loads.update_others(LoadTotals(5, 30.0, {}), now_s=0.0)
        expected = 10 * PATH.zone_hops * 7.0 / 2000 + 0.03
        assert loads.zone_link_utilization(now_s=1.0) == pytest.approx(expected)
        assert loads.zone_link_utilization(now_s=9.0) == pytest.approx(0.03)

    def test_reported_streams_decay(self):
        """An old report plus the streams started since would count capacity twice."""
        loads = StreamLoads()
        number = server_number(PATH.first.id)
        others = LoadTotals(63, 0.0, {number: ServerTotals(48, 0.0)}, age_s=0.7)
        loads.update_others(others, now_s=0.0)
        assert loads.totals_at(PATH.first.id, now_s=0.3).streams == 48
        for _ in range(200):
            loads.record_duration(1.0)
        assert loads.totals_at(PATH.first.id, now_s=0.3).streams == 18

    def test_own_streams_do_not_decay(self):
        """Own streams don't decay with the age of the others' report."""
        loads = StreamLoads()
        loads.record_duration(1.0)
        loads.started(PATH, 100.0, crossing_ms=0.0, now_s=0.0)
        loads.update_others(LoadTotals(63, 0.0, {}, age_s=0.7), now_s=0.0)
        assert loads.totals_at(PATH.first.id, now_s=0.3).streams == 1
