# SPDX-License-Identifier: MIT
"""Distribution of unreported streams over paths."""

from __future__ import annotations

import collections
import statistics

import pytest

from hypothesis import given
from hypothesis import strategies as st

from routing_samples import engine, runner
from violethatch.instances import InstanceDirectory, InstanceEntry
from violethatch.path_shares import (
    ARRIVAL_MARGIN,
    INITIAL_STREAMS_PER_INSTANCE,
    MIN_PARTS,
    MIN_STREAMS_PER_INSTANCE,
    RATE_WINDOW_S,
    SHARES_TTL_S,
    UnreportedStreams,
    ZonePosition,
    assign_paths,
    select_path,
)
from violethatch.paths import LayerMap
from violethatch.stream_loads import added_utilization


#: Three equal chains.
CHAINS = [
    runner(f"c{chain}-{stage}", stage * 20, stage * 20 + 20, zone="z1")
    for chain in range(3)
    for stage in range(4)
]
MAP = LayerMap(CHAINS, engine())


def assigned(streams, *, utilization=None, excluded=frozenset()):
    """Assign unreported streams to the chains."""
    return assign_paths(
        lambda projected: MAP.find(zone="z1", utilization=projected, excluded=excluded),
        utilization or {},
        added_utilization=lambda path: added_utilization(
            path, engine(), streams=streams / MIN_PARTS
        ),
    )


def directory(name, count, *, zone="z1"):
    """Return a directory of instances in one zone, and one in another zone."""
    entries = {
        f"i{n}": InstanceEntry(f"i{n}", zone, "", "", 100.0, 0.0) for n in range(count)
    }
    entries["far"] = InstanceEntry("far", "z2", "", "", 100.0, 0.0)
    instances = InstanceDirectory(entries[name])
    instances.take(entries, is_whole=True)
    return instances


class TestAssignPaths:
    def test_idle_chains_get_equal_parts(self):
        """Without load reports no chain gets the majority of the parts."""
        firsts = collections.Counter(path.first.id for path in assigned(120.0))
        assert len(firsts) == 3
        assert max(firsts.values()) <= 3

    def test_full_chain_gets_no_parts(self):
        """A chain with reported load gets no new streams until it drains."""
        paths = assigned(40.0, utilization={"c0-0": 0.95})
        assert {path.first.id for path in paths} == {"c1-0", "c2-0"}

    def test_parts_are_sorted_by_first_runner(self):
        """Instances at adjacent positions use the same connections."""
        firsts = [path.first.id for path in assigned(120.0)]
        assert firsts == sorted(firsts)

    def test_no_parts_without_a_path(self):
        """There are no parts if a layer has no holder."""
        excluded = frozenset(
            server.id for server in CHAINS if server.layers.first == 20
        )
        assert assigned(40.0, excluded=excluded) == []

    @given(st.integers(1, 400), st.integers(0, 95))
    def test_no_chain_is_filled_while_another_is_idle(self, streams, percent):
        """Parts even out the reported load, within the size of a part."""
        reported = {"c0-0": percent / 100}
        paths = assigned(float(streams), utilization=reported)
        projected = collections.Counter(
            {"c0-0": percent / 100, "c1-0": 0.0, "c2-0": 0.0}
        )
        for path in paths:
            added = added_utilization(path, engine(), streams=streams / MIN_PARTS)
            added_to_first = added[path.first.id]
            projected[path.first.id] += added_to_first
        if "c0-0" in {path.first.id for path in paths}:
            lowest = min(projected["c1-0"], projected["c2-0"])
            assert projected["c0-0"] <= lowest + 1.01 * added_to_first


class TestSelectPath:
    def test_instances_of_a_zone_use_all_parts(self):
        """195 instances in five zones, 39 each, use all parts evenly."""
        paths = assigned(120.0)
        counts = collections.Counter(
            select_path(
                paths, directory(f"i{n}", 39).place().position, excluded=()
            ).first.id
            for n in range(39)
        )
        assert max(counts.values()) / statistics.mean(counts.values()) <= 1.3

    def test_part_with_an_excluded_runner_is_skipped(self):
        """The next usable part is selected."""
        path = select_path(assigned(120.0), 0.0, excluded={"c0-1", "c0-0"})
        assert path.first.id == "c1-0"

    def test_no_path_without_a_usable_part(self):
        """All parts may contain excluded runners."""
        firsts = {"c0-0", "c1-0", "c2-0"}
        assert select_path(assigned(120.0), 0.4, excluded=firsts) is None
        assert select_path([], 0.4, excluded=()) is None


class TestUnreportedStreams:
    def test_each_instance_may_have_started_a_stream(self):
        """A new instance without reports includes all others of its zone."""
        unreported = UnreportedStreams()
        estimate = unreported.expected(instances=39, report_age_s=None, now_s=0.0)
        assert estimate == INITIAL_STREAMS_PER_INSTANCE * 39 == 78

    def test_other_instances_are_assumed_to_have_the_own_rate(self):
        """They start streams at this rate until the reports arrive."""
        unreported = UnreportedStreams()
        for n in range(8):
            unreported.record_start(now_s=n * 0.2)
        estimate = unreported.expected(instances=10, report_age_s=1.2, now_s=1.6)
        rate = 8 / RATE_WINDOW_S
        assert estimate == pytest.approx(
            ARRIVAL_MARGIN * rate * (9 * 1.2 + 10 * SHARES_TTL_S / 2)
        )
        estimate = unreported.expected(instances=10, report_age_s=1.2, now_s=9.0)
        assert estimate == pytest.approx(MIN_STREAMS_PER_INSTANCE * 10)

    def test_few_instances_with_recent_reports_miss_few_streams(self):
        """Two busy instances with recent reports don't overestimate the load."""
        unreported = UnreportedStreams()
        for n in range(20):
            unreported.record_start(now_s=n * 0.1)
        estimate = unreported.expected(instances=2, report_age_s=0.3, now_s=2.0)
        assert estimate <= ARRIVAL_MARGIN * 10 * (0.3 + SHARES_TTL_S)


class TestZonePosition:
    def test_positions_of_a_zone_are_evenly_spaced(self):
        """No two instances of a zone have the same position."""
        positions = sorted(directory(f"i{n}", 8).place() for n in range(8))
        assert positions == [ZonePosition((n + 0.5) / 8, 8) for n in range(8)]

    def test_position_changes_little_when_an_instance_stops(self):
        """Streams stay at their runners when an instance of the zone stops."""
        before = directory("i3", 30).place()
        after = directory("i3", 29).place()
        assert abs(before.position - after.position) < 0.05

    def test_position_without_known_peers(self):
        """Until the entries are read an instance assumes that it is the only one."""
        instances = InstanceDirectory(InstanceEntry("i0", "z1", "", "", 100.0, 0.0))
        assert instances.place() == ZonePosition(0.0, 1)
