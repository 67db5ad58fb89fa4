# SPDX-License-Identifier: MIT
"""Aggregation of loads along the tree of instances."""

from __future__ import annotations

import random

import pytest

from hypothesis import given, settings
from hypothesis import strategies as st

from test_instances import entry
from violethatch.demand import MAX_SENT_WORKSPACES, NO_DEMAND, Demand, DemandKey
from violethatch.instances import InstanceDirectory
from violethatch.load_sums import (
    EMPTY_LOAD,
    FAN_OUT,
    INITIAL_SUSPECTED_S,
    MAX_SUSPECTED_S,
    REPORT_TTL_S,
    UNLISTED_TTL_S,
    WORKSPACES_TTL_S,
    Direction,
    LoadSums,
    LoadTotals,
    ServerTotals,
    server_number,
    total,
)


TICK_S = 0.25
KEY = DemandKey(7, 1)


def own(streams):
    """Return an instance's own load: streams at one server."""
    return LoadTotals(1, 2.0, {7: ServerTotals(streams, streams * 100.0)})


class Fleet:
    """Instances in zones that exchange sums once per tick; some may have crashed."""

    def __init__(self, zone_sizes, *, loss=lambda sender, receiver: False):
        self.entries = [
            entry(f"{zone}-{n}", zone=f"z{zone}")
            for zone, size in enumerate(zone_sizes)
            for n in range(size)
        ]
        self.sums = {}
        for own_entry in self.entries:
            directory = InstanceDirectory(own_entry)
            directory.take({e.id: e for e in self.entries}, is_whole=True)
            self.sums[own_entry.id] = LoadSums(directory)
        self.streams = {e.id: n + 1 for n, e in enumerate(self.entries)}
        self.crashed = set()
        self.loss = loss
        self.now_s = 0.0
        self.max_neighbours = 0

    def tick(self, times=1):
        """Let all instances report to their neighbours."""
        for _ in range(times):
            self.now_s += TICK_S
            reports = []
            for sender, sums in self.sums.items():
                if sender in self.crashed:
                    continue
                sums.refresh(now_s=self.now_s)
                neighbours = sums.neighbours(now_s=self.now_s)
                self.max_neighbours = max(self.max_neighbours, len(neighbours))
                for to, direction in neighbours.items():
                    totals = sums.sum_for(
                        to, direction, own(self.streams[sender]), now_s=self.now_s
                    )
                    reports.append((sender, to, direction, totals))
            for sender, to, direction, totals in reports:
                if to not in self.crashed and not self.loss(sender, to):
                    self.sums[to].update(sender, direction, totals, now_s=self.now_s)
        for sums in self.sums.values():
            sums.refresh(now_s=self.now_s)

    def known_streams(self, instance_id):
        """Return the number of streams known to an instance, including its own."""
        others = self.sums[instance_id].others
        return (
            others.servers.get(7, ServerTotals(0, 0)).streams
            + self.streams[instance_id]
        )

    def running(self):
        """Return the instances that have not crashed."""
        return [
            instance_id for instance_id in self.sums if instance_id not in self.crashed
        ]

    def expected_streams(self):
        """Return the number of streams of all running instances."""
        return sum(self.streams[instance_id] for instance_id in self.running())


class TestTotals:
    def test_sum_of_all_fields(self):
        """Instances, link time and the totals of each server are summed."""
        both = total([own(2), own(3), EMPTY_LOAD])
        assert both == LoadTotals(2, 4.0, {7: ServerTotals(5, 500.0)})
        assert both.demand is NO_DEMAND

    def test_demand_is_summed(self):
        """Guards against a sum without the demand."""
        load = own(2)._replace(demand=Demand({KEY: 3.0}, {(KEY, 5): 2.0}))
        assert total([load, own(1), load]).demand == Demand({KEY: 6.0}, {(KEY, 5): 4.0})

    def test_server_numbers_are_stable(self):
        """A server's number doesn't depend on the process."""
        assert server_number("123456789") == 0xCBF43926  # the CRC-32 check value


class TestLoadSums:
    @settings(deadline=None, max_examples=40)
    @given(st.lists(st.integers(1, 30), min_size=1, max_size=7))
    def test_instances_converge_to_total(self, zone_sizes):
        """Each instance counts each other instance once, for any zone sizes."""
        fleet = Fleet(zone_sizes)
        fleet.tick(12)
        assert {fleet.known_streams(instance_id) for instance_id in fleet.sums} == {
            fleet.expected_streams()
        }
        counts = {sums.others.instances for sums in fleet.sums.values()}
        assert counts == {len(fleet.sums) - 1}

    def test_neighbours_are_bounded(self):
        """Recipients are the parent and children, or the roots of the other zones."""
        fleet = Fleet([50] * 7)
        fleet.tick(12)
        assert fleet.max_neighbours <= FAN_OUT + 6

    @settings(deadline=None, max_examples=30)
    @given(st.data())
    def test_crashed_instances_are_removed(self, data):
        """The remaining instances converge to their total after crashes."""
        fleet = Fleet(data.draw(st.lists(st.integers(1, 14), min_size=1, max_size=3)))
        fleet.tick(12)
        fleet.crashed = data.draw(
            st.sets(st.sampled_from(sorted(fleet.sums)), max_size=len(fleet.sums) - 1)
        )
        # Several crashed ancestors may have to be skipped, one after the other.
        for _ in range(40):
            fleet.tick(5)
            if {
                fleet.known_streams(instance_id) for instance_id in fleet.running()
            } == {fleet.expected_streams()}:
                return
        pytest.fail("the sums did not converge")

    def test_sums_converge_soon_after_root_crash(self):
        """The sums converge within 4 s after the crash of a zone's root."""
        fleet = Fleet([8, 8, 8])
        fleet.tick(12)
        root = next(
            instance_id
            for instance_id, sums in fleet.sums.items()
            if Direction.ACROSS in sums.neighbours(now_s=fleet.now_s).values()
        )
        fleet.crashed = {root}
        fleet.tick(round(4 / TICK_S))
        assert {
            fleet.known_streams(instance_id) for instance_id in fleet.running()
        } == {fleet.expected_streams()}

    @pytest.mark.parametrize("zone_sizes", [(24, 24, 24), (45, 35, 40)])
    def test_sums_exclude_survivors_while_many_dead_are_retried(self, zone_sizes):
        """Guards against leaving a neighbour that answers for those that don't."""
        fleet = Fleet(zone_sizes)
        fleet.tick(40)
        crashed = round(0.85 * len(fleet.sums))
        fleet.crashed = set(random.Random(0).sample(list(fleet.sums), crashed))
        fleet.tick(round(MAX_SUSPECTED_S / TICK_S))
        assert {
            fleet.known_streams(instance_id) for instance_id in fleet.running()
        } == {fleet.expected_streams()}

    def test_partitioned_instances_sum_their_own_side(self):
        """Zones that can't reach each other have their own load only."""
        fleet = Fleet([3, 3], loss=lambda sender, to: sender[0] != to[0])
        fleet.tick(20)
        for instance_id in fleet.sums:
            side = [
                streams
                for other, streams in fleet.streams.items()
                if other[0] == instance_id[0]
            ]
            assert fleet.known_streams(instance_id) == sum(side)

    def test_restarted_parent_is_used_at_once(self):
        """A new entry clears the suspicion of a crashed instance."""
        fleet = Fleet([2])
        fleet.tick(4)
        to_parent = dict.fromkeys(fleet.sums, Direction.UP)
        child, root = sorted(
            fleet.sums,
            key=lambda instance_id: (
                fleet.sums[instance_id].neighbours(now_s=fleet.now_s).items()
                <= to_parent.items()
            ),
            reverse=True,
        )
        fleet.crashed = {root}
        fleet.tick(12)
        assert not fleet.sums[child].neighbours(now_s=fleet.now_s)
        restarted = next(e for e in fleet.entries if e.id == root)
        directory = fleet.sums[child]._directory
        directory.take({root: restarted._replace(token="new")}, is_whole=False)
        assert fleet.sums[child].neighbours(now_s=fleet.now_s) == {root: Direction.UP}

    def test_sums_converge_after_partition_heals(self):
        """The sums have all instances again after the end of a partition."""
        is_partitioned = True
        fleet = Fleet(
            [3, 3], loss=lambda sender, to: is_partitioned and sender[0] != to[0]
        )
        fleet.tick(20)
        is_partitioned = False
        fleet.tick(round((INITIAL_SUSPECTED_S + 3) / TICK_S))
        assert {fleet.known_streams(instance_id) for instance_id in fleet.sums} == {
            fleet.expected_streams()
        }

    def test_ended_streams_are_removed(self):
        """A server without streams has no load at any instance."""
        fleet = Fleet([4, 4])
        fleet.tick(12)
        fleet.streams = dict.fromkeys(fleet.streams, 0)
        fleet.tick(12)
        assert {fleet.known_streams(instance_id) for instance_id in fleet.sums} == {0}

    def test_old_reports_expire(self):
        """An instance without current reports has no load of others."""
        fleet = Fleet([2])
        fleet.tick(4)
        sums = fleet.sums["0-0"]
        assert sums.others.instances == 1
        later_s = fleet.now_s + REPORT_TTL_S + 0.1
        sums.refresh(now_s=later_s)
        assert sums.others == EMPTY_LOAD

    def test_age_is_bounded_by_path_length(self):
        """The mean age of a sum has the delay of each level of the tree."""
        fleet = Fleet([20])
        fleet.tick(20)
        ages_s = [sums.others.age_s for sums in fleet.sums.values()]
        assert min(ages_s) > 0
        assert max(ages_s) <= 6 * TICK_S

    def test_report_of_other_sender_is_ignored(self):
        """Only reports of the parent, children and roots are summed."""
        sums = Fleet([5, 2]).sums["0-0"]
        assert not sums.update("0-9", Direction.UP, own(3), now_s=0.0)


class TestReportedDemand:
    """Demand in consecutive reports of a neighbour."""

    def rates(self, *reports, now_s):
        """Return the rates by workspace after reports, each with its time."""
        sums = Fleet([1, 1]).sums["0-0"]
        for at_s, heaviest in reports:
            demand = Demand({KEY: 90.0}, {(KEY, n): r for n, r in heaviest.items()})
            change = own(1)._replace(demand=demand)
            assert sums.update("1-0", Direction.ACROSS, change, now_s=at_s)
        sums.refresh(now_s=now_s)
        heaviest_per_s = sums.others.demand.heaviest_per_s
        return {workspace: rate for (_, workspace), rate in heaviest_per_s.items()}

    def test_offers_without_workspaces_leave_workspaces_unchanged(self):
        """Guards against workspaces that are present in some ticks only."""
        listed = {1: 4.0, 2: 3.0}
        assert self.rates((0.0, listed), (0.25, {}), (0.5, {}), now_s=0.5) == listed

    def test_workspaces_expire(self):
        """Guards against outdated workspaces that are no longer reported."""
        ticks = [(n * 1.0, {}) for n in range(1, 8)]
        assert WORKSPACES_TTL_S < 7.0
        assert self.rates((0.0, {1: 4.0}), *ticks, now_s=7.0) == {}

    def test_short_list_is_complete(self):
        """Guards against a workspace that is counted after its last offers."""
        first, second = {1: 4.0, 2: 3.0}, {2: 5.0}
        assert self.rates((0.0, first), (0.5, second), now_s=0.5) == second

    def test_full_list_may_omit_workspaces(self):
        """Guards against workspaces that fluctuate at the end of full lists."""
        full = {n: 9.0 + n for n in range(MAX_SENT_WORKSPACES)}
        first = {**full, 99: 20.0}
        del first[0]
        rates = self.rates((0.0, first), (0.5, full), now_s=0.5)
        assert rates == {**full, 99: 9.0}
        repeated = [(0.5 * n, full) for n in range(1, 5)]
        assert UNLISTED_TTL_S < 2.0
        assert self.rates((0.0, first), *repeated, now_s=2.0) == full
