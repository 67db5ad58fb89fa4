# SPDX-License-Identifier: MIT
"""How streams that nobody sees yet are shared out over paths."""

from __future__ import annotations

import collections
import statistics

import pytest

from hypothesis import given
from hypothesis import strategies as st

from routing_samples import engine, runner
from violethatch.instances import InstanceDirectory, InstanceEntry
from violethatch.path_shares import (
    BLIND_STREAMS,
    LEAST_STREAMS,
    MARGIN,
    PARTS,
    SHARES_TTL_S,
    SPAN_S,
    UnreportedStreams,
    ZonePosition,
    assign_paths,
    select_path,
)
from violethatch.paths import LayerMap
from violethatch.stream_loads import added_utilization


#: Three chains alike.
CHAINS = [
    runner(f"c{chain}-{stage}", stage * 20, stage * 20 + 20, zone="z1")
    for chain in range(3)
    for stage in range(4)
]
MAP = LayerMap(CHAINS, engine())


def laid(streams, *, fullness=None, left_out=frozenset()):
    """Lay unseen streams onto the chains."""
    return assign_paths(
        lambda full: MAP.find(zone="z1", utilization=full, excluded=left_out),
        fullness or {},
        added_utilization=lambda path: added_utilization(
            path, engine(), streams=streams / PARTS
        ),
    )


def directory(name, count, *, zone="z1"):
    """Return a directory of instances in one zone, and one elsewhere."""
    entries = {
        f"i{n}": InstanceEntry(f"i{n}", zone, "", "", 100.0, 0.0) for n in range(count)
    }
    entries["far"] = InstanceEntry("far", "z2", "", "", 100.0, 0.0)
    made = InstanceDirectory(entries[name])
    made.take(entries, is_whole=True)
    return made


class TestLayParts:
    def test_empty_chains_share_what_may_come(self):
        """Where nothing is known of any load, no chain gets most of the parts."""
        firsts = collections.Counter(path.first.id for path in laid(120.0))
        assert len(firsts) == 3
        assert max(firsts.values()) <= 3

    def test_full_chain_gets_none(self):
        """A chain that others have filled is left to empty first."""
        paths = laid(40.0, fullness={"c0-0": 0.95})
        assert {path.first.id for path in paths} == {"c1-0", "c2-0"}

    def test_same_first_runners_stand_side_by_side(self):
        """Neighbours in a zone use the same connections."""
        firsts = [path.first.id for path in laid(120.0)]
        assert firsts == sorted(firsts)

    def test_without_a_path_nothing_is_laid(self):
        """Layers without a holder leave no part."""
        left_out = frozenset(one.id for one in CHAINS if one.layers.first == 20)
        assert laid(40.0, left_out=left_out) == []

    @given(st.integers(1, 400), st.integers(0, 95))
    def test_no_chain_is_filled_while_another_is_empty(self, streams, taken):
        """Parts even out what is known; none goes onto a chain fuller by a part."""
        known = {"c0-0": taken / 100}
        paths = laid(float(streams), fullness=known)
        thought = collections.Counter({"c0-0": taken / 100, "c1-0": 0.0, "c2-0": 0.0})
        for path in paths:
            part = added_utilization(path, engine(), streams=streams / PARTS)
            part_of_one = part[path.first.id]
            thought[path.first.id] += part_of_one
        if "c0-0" in {path.first.id for path in paths}:
            least = min(thought["c1-0"], thought["c2-0"])
            assert thought["c0-0"] <= least + 1.01 * part_of_one


class TestPick:
    def test_instances_of_a_zone_take_all_parts(self):
        """195 instances in five zones, 39 each: all parts are in use, evenly."""
        paths = laid(120.0)
        taken = collections.Counter(
            select_path(
                paths, directory(f"i{n}", 39).place().position, excluded=()
            ).first.id
            for n in range(39)
        )
        assert max(taken.values()) / statistics.mean(taken.values()) <= 1.3

    def test_part_with_a_runner_left_out_is_passed_over(self):
        """The next part that can be used is taken."""
        path = select_path(laid(120.0), 0.0, excluded={"c0-1", "c0-0"})
        assert path.first.id == "c1-0"

    def test_without_a_usable_part_there_is_none(self):
        """All parts may lead over runners that are left alone."""
        firsts = {"c0-0", "c1-0", "c2-0"}
        assert select_path(laid(120.0), 0.4, excluded=firsts) is None
        assert select_path([], 0.4, excluded=()) is None


class TestUnseenStreams:
    def test_each_instance_may_have_begun_one(self):
        """One that has just started reckons with all others of its zone."""
        unseen = UnreportedStreams()
        got = unseen.expected(instances=39, report_age_s=None, now_s=0.0)
        assert got == BLIND_STREAMS * 39 == 78

    def test_own_beginnings_stand_for_the_others(self):
        """Others begin as many a second as this one while the news is on its way."""
        unseen = UnreportedStreams()
        for n in range(8):
            unseen.record_start(now_s=n * 0.2)
        got = unseen.expected(instances=10, report_age_s=1.2, now_s=1.6)
        rate = 8 / SPAN_S
        assert got == pytest.approx(MARGIN * rate * (9 * 1.2 + 10 * SHARES_TTL_S / 2))
        got = unseen.expected(instances=10, report_age_s=1.2, now_s=9.0)
        assert got == pytest.approx(LEAST_STREAMS * 10)

    def test_few_instances_with_new_news_lack_little(self):
        """Two busy instances that hear of each other at once fill no chain by doubt."""
        unseen = UnreportedStreams()
        for n in range(20):
            unseen.record_start(now_s=n * 0.1)
        got = unseen.expected(instances=2, report_age_s=0.3, now_s=2.0)
        assert got <= MARGIN * 10 * (0.3 + SHARES_TTL_S)


class TestPlace:
    def test_places_of_a_zone_are_spread_evenly(self):
        """No two instances of a zone stand at the same place."""
        places = sorted(directory(f"i{n}", 8).place() for n in range(8))
        assert places == [ZonePosition((n + 0.5) / 8, 8) for n in range(8)]

    def test_others_going_moves_a_place_little(self):
        """Streams stay at their runners when an instance of the zone goes."""
        before = directory("i3", 30).place()
        after = directory("i3", 29).place()
        assert abs(before.position - after.position) < 0.05

    def test_unknown_others_leave_it_alone(self):
        """Before the entries are read an instance takes itself for the only one."""
        made = InstanceDirectory(InstanceEntry("i0", "z1", "", "", 100.0, 0.0))
        assert made.place() == ZonePosition(0.0, 1)
