# SPDX-License-Identifier: MIT
"""Sums of load along the tree of instances."""

from __future__ import annotations

import pytest

from hypothesis import given, settings
from hypothesis import strategies as st

from test_instances import entry
from violethatch.demand import MAX_SENT_WORKSPACES, NO_DEMAND, Demand, DemandKey
from violethatch.instances import InstanceDirectory
from violethatch.load_sums import (
    EMPTY_LOAD,
    FAN_OUT,
    HEAVIEST_LIFE_S,
    SUSPECTED_S,
    TOLD_LIFE_S,
    UNNAMED_LIFE_S,
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
    """Return an instance's own totals: streams at one server."""
    return LoadTotals(1, 2.0, {7: ServerTotals(streams, streams * 100.0)})


class Fleet:
    """Instances in zones that tell each other once a tick, some of them dead."""

    def __init__(self, zone_sizes, *, loss=lambda sender, receiver: False):
        self.entries = [
            entry(f"{zone}-{n}", zone=f"z{zone}")
            for zone, size in enumerate(zone_sizes)
            for n in range(size)
        ]
        self.sums = {}
        for one in self.entries:
            directory = InstanceDirectory(one)
            directory.take({e.id: e for e in self.entries}, is_whole=True)
            self.sums[one.id] = LoadSums(directory)
        self.own = {one.id: n + 1 for n, one in enumerate(self.entries)}
        self.dead = set()
        self.loss = loss
        self.now_s = 0.0
        self.most_told = 0

    def tick(self, times=1):
        """Let all tell their neighbours."""
        for _ in range(times):
            self.now_s += TICK_S
            words = []
            for one, sums in self.sums.items():
                if one in self.dead:
                    continue
                sums.refresh(now_s=self.now_s)
                neighbours = sums.neighbours(now_s=self.now_s)
                self.most_told = max(self.most_told, len(neighbours))
                for to, direction in neighbours.items():
                    said = sums.sum_for(
                        to, direction, own(self.own[one]), now_s=self.now_s
                    )
                    words.append((one, to, direction, said))
            for one, to, direction, said in words:
                if to not in self.dead and not self.loss(one, to):
                    self.sums[to].update(one, direction, said, now_s=self.now_s)
        for sums in self.sums.values():
            sums.refresh(now_s=self.now_s)

    def streams_known(self, one):
        """Return the streams that an instance knows of, its own included."""
        others = self.sums[one].others
        return others.servers.get(7, ServerTotals(0, 0)).streams + self.own[one]

    def alive(self):
        """Return who is not dead."""
        return [one for one in self.sums if one not in self.dead]

    def right(self):
        """Return the streams of all that live."""
        return sum(self.own[one] for one in self.alive())


class TestTotals:
    def test_sum_adds_everything(self):
        """Instances, the pipe's time and each server's totals add up."""
        both = total([own(2), own(3), EMPTY_LOAD])
        assert both == LoadTotals(2, 4.0, {7: ServerTotals(5, 500.0)})
        assert both.demand is NO_DEMAND

    def test_demand_adds_up(self):
        """Guards against a sum that leaves demand out."""
        one = own(2)._replace(demand=Demand({KEY: 3.0}, {(KEY, 5): 2.0}))
        assert total([one, own(1), one]).demand == Demand({KEY: 6.0}, {(KEY, 5): 4.0})

    def test_numbers_are_the_same_everywhere(self):
        """A server's number doesn't depend on the process."""
        assert server_number("123456789") == 0xCBF43926  # the CRC-32 check value


class TestLoadSums:
    @settings(deadline=None, max_examples=40)
    @given(st.lists(st.integers(1, 30), min_size=1, max_size=7))
    def test_everyone_learns_the_sum_of_all(self, zone_sizes):
        """Whatever the zones: each instance is counted once, by each."""
        fleet = Fleet(zone_sizes)
        fleet.tick(12)
        assert {fleet.streams_known(one) for one in fleet.sums} == {fleet.right()}
        counts = {sums.others.instances for sums in fleet.sums.values()}
        assert counts == {len(fleet.sums) - 1}

    def test_neighbours_don_t_grow_with_the_fleet(self):
        """An instance tells its parent and children, or the other zones' roots."""
        fleet = Fleet([50] * 7)
        fleet.tick(12)
        assert fleet.most_told <= FAN_OUT + 6

    @settings(deadline=None, max_examples=30)
    @given(st.data())
    def test_the_dead_drop_out(self, data):
        """Whoever dies, the others soon know what all that live have."""
        fleet = Fleet(data.draw(st.lists(st.integers(1, 14), min_size=1, max_size=3)))
        fleet.tick(12)
        fleet.dead = data.draw(
            st.sets(st.sampled_from(sorted(fleet.sums)), max_size=len(fleet.sums) - 1)
        )
        # The way up may lead past several that are dead, one after the other.
        for _ in range(40):
            fleet.tick(5)
            if {fleet.streams_known(one) for one in fleet.alive()} == {fleet.right()}:
                return
        pytest.fail("the sums did not come right")

    def test_one_dead_root_costs_little(self):
        """With a zone's root gone the sums are right again within 4 s."""
        fleet = Fleet([8, 8, 8])
        fleet.tick(12)
        root = next(
            one
            for one, sums in fleet.sums.items()
            if Direction.ACROSS in sums.neighbours(now_s=fleet.now_s).values()
        )
        fleet.dead = {root}
        fleet.tick(round(4 / TICK_S))
        assert {fleet.streams_known(one) for one in fleet.alive()} == {fleet.right()}

    def test_who_is_cut_off_knows_its_own_side(self):
        """Zones that don't reach each other sum up themselves only."""
        cut = Fleet([3, 3], loss=lambda one, to: one[0] != to[0])
        cut.tick(20)
        for one in cut.sums:
            side = [own for other, own in cut.own.items() if other[0] == one[0]]
            assert cut.streams_known(one) == sum(side)

    def test_who_starts_again_is_told_at_once(self):
        """An entry that was written anew ends the suspicion of a dead instance."""
        fleet = Fleet([2])
        fleet.tick(4)
        to_parent = dict.fromkeys(fleet.sums, Direction.UP)
        child, root = sorted(
            fleet.sums,
            key=lambda one: (
                fleet.sums[one].neighbours(now_s=fleet.now_s).items()
                <= to_parent.items()
            ),
            reverse=True,
        )
        fleet.dead = {root}
        fleet.tick(12)
        assert not fleet.sums[child].neighbours(now_s=fleet.now_s)
        anew = next(one for one in fleet.entries if one.id == root)
        directory = fleet.sums[child]._directory
        directory.take({root: anew._replace(token="new")}, is_whole=False)
        assert fleet.sums[child].neighbours(now_s=fleet.now_s) == {root: Direction.UP}

    def test_zone_that_comes_back_is_counted_again(self):
        """After a cut has ended the sums are those of all."""
        is_cut = True
        fleet = Fleet([3, 3], loss=lambda one, to: is_cut and one[0] != to[0])
        fleet.tick(20)
        is_cut = False
        fleet.tick(round((SUSPECTED_S + 3) / TICK_S))
        assert {fleet.streams_known(one) for one in fleet.sums} == {fleet.right()}

    def test_what_has_ended_is_forgotten(self):
        """A server that nobody uses any more is empty for all."""
        fleet = Fleet([4, 4])
        fleet.tick(12)
        fleet.own = dict.fromkeys(fleet.own, 0)
        fleet.tick(12)
        assert {fleet.streams_known(one) for one in fleet.sums} == {0}

    def test_old_words_don_t_count(self):
        """An instance that hears of nobody is on its own, and says so."""
        fleet = Fleet([2])
        fleet.tick(4)
        one = fleet.sums["0-0"]
        assert one.others.instances == 1
        later_s = fleet.now_s + TOLD_LIFE_S + 0.1
        one.refresh(now_s=later_s)
        assert one.others == EMPTY_LOAD

    def test_age_grows_with_the_way(self):
        """A sum says how old it is on average, by who told it and when."""
        fleet = Fleet([20])
        fleet.tick(20)
        ages_s = [sums.others.age_s for sums in fleet.sums.values()]
        assert min(ages_s) > 0
        assert max(ages_s) <= 6 * TICK_S

    def test_stranger_s_word_is_not_summed(self):
        """What comes from elsewhere than parent, children or roots is left out."""
        sums = Fleet([5, 2]).sums["0-0"]
        assert not sums.update("0-9", Direction.UP, own(3), now_s=0.0)


class TestToldDemand:
    """What a neighbour's datagrams say of demand, one after the other."""

    def known(self, *words, now_s):
        """Return the demand known after words, each with its moment."""
        sums = Fleet([1, 1]).sums["0-0"]
        for at_s, heaviest in words:
            demand = Demand({KEY: 90.0}, {(KEY, n): r for n, r in heaviest.items()})
            change = own(1)._replace(demand=demand)
            assert sums.update("1-0", Direction.ACROSS, change, now_s=at_s)
        sums.refresh(now_s=now_s)
        heaviest_per_s = sums.others.demand.heaviest_per_s
        return {workspace: rate for (_, workspace), rate in heaviest_per_s.items()}

    def test_offers_alone_leave_workspaces_as_they_are(self):
        """Guards against workspaces that are known in some ticks only."""
        told = {1: 4.0, 2: 3.0}
        assert self.known((0.0, told), (0.25, {}), (0.5, {}), now_s=0.5) == told

    def test_workspaces_are_not_known_forever(self):
        """Guards against old workspaces where no news of them comes."""
        ticks = [(n * 1.0, {}) for n in range(1, 8)]
        assert HEAVIEST_LIFE_S < 7.0
        assert self.known((0.0, {1: 4.0}), *ticks, now_s=7.0) == {}

    def test_short_list_is_all(self):
        """Guards against a workspace that counts after it has ended."""
        first, second = {1: 4.0, 2: 3.0}, {2: 5.0}
        assert self.known((0.0, first), (0.5, second), now_s=0.5) == second

    def test_full_list_leaves_some_out(self):
        """Guards against workspaces that come and go at the end of full lists."""
        full = {n: 9.0 + n for n in range(MAX_SENT_WORKSPACES)}
        first = {**full, 99: 20.0}
        del first[0]
        known = self.known((0.0, first), (0.5, full), now_s=0.5)
        assert known == {**full, 99: 9.0}
        again = [(0.5 * n, full) for n in range(1, 5)]
        assert UNNAMED_LIFE_S < 2.0
        assert self.known((0.0, first), *again, now_s=2.0) == full
