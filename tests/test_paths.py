# SPDX-License-Identifier: MIT
"""Paths over runners with overlapping layers."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from routing_samples import engine, runner
from violethatch.layers import LayerRange, tiles
from violethatch.paths import MAX_STAGES, LayerMap, Path, Stage, find_path


def stages(path):
    """Return a path's runners with their layers."""
    return [(stage.server.id, *stage.layers) for stage in path.stages]


class TestFindPath:
    def test_chain(self):
        """Runners whose ranges meet make a path."""
        servers = [runner("b", 30, 80), runner("a", 0, 30)]
        path = find_path(servers, engine(), zone="z1")
        assert stages(path) == [("a", 0, 30), ("b", 30, 80)]

    def test_part_of_a_range_stands_in(self):
        """A lost range is covered by a part of what another runner holds."""
        servers = [runner("a", 0, 30), runner("c", 20, 60), runner("d", 40, 80)]
        path = find_path(servers, engine(), zone="z1")
        assert [name for name, *_ in stages(path)] == ["a", "c", "d"]
        assert tiles([stage.layers for stage in path.stages], layer_count=80)

    def test_missing_layers(self):
        """Without a holder for some layer there is no path."""
        servers = [runner("a", 0, 30), runner("b", 31, 80)]
        assert find_path(servers, engine(), zone="z1") is None
        assert find_path([], engine(), zone="z1") is None

    def test_fast_runner_is_preferred(self):
        """Of two holders the faster kind is taken."""
        servers = [
            runner("slow", 0, 80, kind="small"),
            runner("fast", 0, 80, kind="large"),
        ]
        assert find_path(servers, engine(), zone="z1").first.id == "fast"

    def test_full_runner_is_avoided(self):
        """A runner that is nearly full loses to a slower one."""
        servers = [
            runner("full", 0, 80, kind="large"),
            runner("free", 0, 80, kind="medium"),
        ]
        path = find_path(servers, engine(), zone="z1", utilization={"full": 0.9})
        assert path.first.id == "free"

    def test_own_zone_between_equals(self):
        """Of equal runners the zone's own is taken."""
        servers = [runner("far", 0, 80, zone="z2"), runner("near", 0, 80)]
        assert find_path(servers, engine(), zone="z1").first.id == "near"

    def test_whole_path_elsewhere_beats_two_crossings(self):
        """The pipe between zones is spared where the request can go whole."""
        near = [runner("n1", 0, 30), runner("n3", 40, 80)]
        far = [runner("f1", 0, 30, zone="z2"), runner("f2", 30, 80, zone="z2")]
        path = find_path([*near, *far], engine(), zone="z1", zone_link_utilization=0.8)
        assert path.zone_hops == 0
        assert path.first.id == "f1"

    def test_crossing_where_there_is_no_other_way(self):
        """A hole in each zone is covered by the other."""
        servers = [runner("n1", 0, 40), runner("f2", 40, 80, zone="z2")]
        assert find_path(servers, engine(), zone="z1").zone_hops == 1

    def test_full_pipe_is_not_crossed(self):
        """Where it may not be crossed, only whole zones make paths."""
        servers = [runner("n1", 0, 40), runner("f2", 40, 80, zone="z2")]
        layer_map = LayerMap(servers, engine())
        assert layer_map.find(zone="z1", allow_zone_hops=False) is None
        whole = LayerMap([*servers, runner("f1", 0, 40, zone="z2")], engine())
        path = whole.find(zone="z1", allow_zone_hops=False)
        assert (path.first.id, path.zone_hops) == ("f1", 0)

    def test_given_first_runner(self):
        """A request that runs already keeps its first runner."""
        servers = [
            runner("fast", 0, 80, kind="large"),
            runner("kept", 0, 30),
            runner("rest", 30, 80),
        ]
        path = find_path(servers, engine(), zone="z1", first_server=servers[1])
        assert stages(path)[0] == ("kept", 0, 30)

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 79),
                st.integers(1, 40),
                st.sampled_from(["large", "medium", "small"]),
                st.sampled_from(["z1", "z2"]),
                st.floats(0, 1),
            ),
            max_size=14,
        )
    )
    def test_every_path_is_proper(self, ranges):
        """Each layer once and in order, each runner once, within what it holds."""
        servers = [
            runner(f"r{n}", first, min(80, first + size), kind=kind, zone=zone)
            for n, (first, size, kind, zone, _) in enumerate(ranges)
        ]
        full = {f"r{n}": one[-1] for n, one in enumerate(ranges)}
        path = find_path(servers, engine(), zone="z1", utilization=full)
        if path is None:
            held = {layer for one in servers for layer in range(*one.layers)}
            assert held != set(range(80))
            return
        assert tiles([stage.layers for stage in path.stages], layer_count=80)
        names = [stage.server.id for stage in path.stages]
        assert len(names) == len(set(names)) <= MAX_STAGES
        for stage in path.stages:
            assert stage.server.layers.first <= stage.layers.first
            assert stage.layers.end <= stage.server.layers.end


class TestMoves:
    """Load pattern: a group of runners goes dark, and all its streams move at once.

    Each runner that is new on a path reads the request's tokens before the next
    event; callers allow a pause of some 200 ms, of which the silence takes most.
    """

    CHAIN = [runner(f"c{n}", 20 * n, 20 * n + 20) for n in range(4)]
    OTHER = [runner(f"o{n}", 20 * n, 20 * n + 20) for n in range(4)]

    def moved(self, **options):
        """Return the path past the second runner of a chain."""
        layer_map = LayerMap([*self.CHAIN, *self.OTHER], engine())
        path = find_path(self.CHAIN, engine(), zone="z1")
        return layer_map.find(
            zone="z1",
            first_server=self.CHAIN[0],
            excluded={"c1"},
            current_path=path,
            **options,
        )

    def test_only_the_lost_runner_is_replaced(self):
        """The others keep the request's KV cache, also where they are fuller."""
        fullness = {one.id: 0.3 for one in self.CHAIN}
        ids = [stage.server.id for stage in self.moved(utilization=fullness).stages]
        assert ids == ["c0", "o1", "c2", "c3"]

    def test_stream_that_stays_needs_no_room(self):
        """A full runner on the path has the request's KV cache already."""
        ids = [stage.server.id for stage in self.moved(utilization={"c2": 0.95}).stages]
        assert ids == ["c0", "o1", "c2", "c3"]

    def test_slow_runners_are_left_all_the_same(self):
        """A runner that takes ten times as long holds each token up."""
        ids = [stage.server.id for stage in self.moved(slowdowns={"c2": 10.0}).stages]
        assert ids == ["c0", "o1", "o2", "c3"]

    @given(st.integers(1, 39), st.integers(20, 60))
    def test_first_part_stays_as_it_is(self, ran, held):
        """Engines take no other first part: not more of it, and not less."""
        first = runner("first", 0, max(ran, held))
        tail = runner("tail", ran, 80)
        spares = [runner(f"s{end}", end, 80) for end in (1, 10, 20, 30, 45)]
        stages = (
            Stage(first, LayerRange(0, ran)),
            Stage(tail, LayerRange(ran, 80)),
        )
        path = LayerMap([first, *spares], engine()).find(
            zone="z1", first_server=first, current_path=Path(stages, 1.0)
        )
        assert path.stages[0] == stages[0]

    def test_without_a_path_nothing_is_kept(self):
        """New requests go where runners are emptiest."""
        layer_map = LayerMap([*self.CHAIN, *self.OTHER], engine())
        path = layer_map.find(
            zone="z1", utilization={one.id: 0.3 for one in self.CHAIN}
        )
        assert {stage.server.id for stage in path.stages} == {
            one.id for one in self.OTHER
        }
