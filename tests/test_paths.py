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
        """Adjacent layer ranges make a path."""
        servers = [runner("b", 30, 80), runner("a", 0, 30)]
        path = find_path(servers, engine(), zone="z1")
        assert stages(path) == [("a", 0, 30), ("b", 30, 80)]

    def test_overlapping_range_replaces_a_lost_one(self):
        """A lost range is covered by a part of another runner's layers."""
        servers = [runner("a", 0, 30), runner("c", 20, 60), runner("d", 40, 80)]
        path = find_path(servers, engine(), zone="z1")
        assert [name for name, *_ in stages(path)] == ["a", "c", "d"]
        assert tiles([stage.layers for stage in path.stages], layer_count=80)

    def test_missing_layers(self):
        """There is no path if a layer has no holder."""
        servers = [runner("a", 0, 30), runner("b", 31, 80)]
        assert find_path(servers, engine(), zone="z1") is None
        assert find_path([], engine(), zone="z1") is None

    def test_fast_runner_is_preferred(self):
        """Of two holders the faster kind is used."""
        servers = [
            runner("slow", 0, 80, kind="small"),
            runner("fast", 0, 80, kind="large"),
        ]
        assert find_path(servers, engine(), zone="z1").first.id == "fast"

    def test_loaded_runner_is_avoided(self):
        """A nearly full runner has a higher cost than a slower idle one."""
        servers = [
            runner("full", 0, 80, kind="large"),
            runner("free", 0, 80, kind="medium"),
        ]
        path = find_path(servers, engine(), zone="z1", utilization={"full": 0.9})
        assert path.first.id == "free"

    def test_local_zone_is_preferred_among_equals(self):
        """Of equal runners the one in the local zone is used."""
        servers = [runner("far", 0, 80, zone="z2"), runner("near", 0, 80)]
        assert find_path(servers, engine(), zone="z1").first.id == "near"

    def test_remote_path_is_preferred_to_two_zone_hops(self):
        """The zone link is avoided if another zone has a complete path."""
        local = [runner("n1", 0, 30), runner("n3", 40, 80)]
        remote = [runner("f1", 0, 30, zone="z2"), runner("f2", 30, 80, zone="z2")]
        path = find_path(
            [*local, *remote], engine(), zone="z1", zone_link_utilization=0.8
        )
        assert path.zone_hops == 0
        assert path.first.id == "f1"

    def test_zone_hop_without_alternative(self):
        """Zones with missing layers complement each other."""
        servers = [runner("n1", 0, 40), runner("f2", 40, 80, zone="z2")]
        assert find_path(servers, engine(), zone="z1").zone_hops == 1

    def test_full_zone_link_is_not_used(self):
        """Without zone hops only complete zones have paths."""
        servers = [runner("n1", 0, 40), runner("f2", 40, 80, zone="z2")]
        layer_map = LayerMap(servers, engine())
        assert layer_map.find(zone="z1", allow_zone_hops=False) is None
        complete = LayerMap([*servers, runner("f1", 0, 40, zone="z2")], engine())
        path = complete.find(zone="z1", allow_zone_hops=False)
        assert (path.first.id, path.zone_hops) == ("f1", 0)

    def test_required_first_runner(self):
        """A request in flight keeps its first runner."""
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
    def test_every_path_is_valid(self, ranges):
        """Each layer once and in order, each runner once, within its layers."""
        servers = [
            runner(f"r{n}", first, min(80, first + size), kind=kind, zone=zone)
            for n, (first, size, kind, zone, _) in enumerate(ranges)
        ]
        utilization = {f"r{n}": values[-1] for n, values in enumerate(ranges)}
        path = find_path(servers, engine(), zone="z1", utilization=utilization)
        if path is None:
            held = {layer for server in servers for layer in range(*server.layers)}
            assert held != set(range(80))
            return
        assert tiles([stage.layers for stage in path.stages], layer_count=80)
        names = [stage.server.id for stage in path.stages]
        assert len(names) == len(set(names)) <= MAX_STAGES
        for stage in path.stages:
            assert stage.server.layers.first <= stage.layers.first
            assert stage.layers.end <= stage.server.layers.end


class TestMoves:
    """Load pattern: a group of runners is lost, and all its streams move at once.

    Each new runner on a path needs a prefill of the request's tokens before the next
    event.  Callers tolerate a pause of about 200 ms, and most of it is spent on
    detecting the silence.
    """

    CHAIN = [runner(f"c{n}", 20 * n, 20 * n + 20) for n in range(4)]
    OTHER = [runner(f"o{n}", 20 * n, 20 * n + 20) for n in range(4)]

    def moved(self, **options):
        """Return the path without the second runner of a chain."""
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
        """The others hold the request's KV cache; their higher load is accepted."""
        utilization = {server.id: 0.3 for server in self.CHAIN}
        ids = [stage.server.id for stage in self.moved(utilization=utilization).stages]
        assert ids == ["c0", "o1", "c2", "c3"]

    def test_current_runner_needs_no_free_capacity(self):
        """A full runner on the path holds the request's KV cache already."""
        ids = [stage.server.id for stage in self.moved(utilization={"c2": 0.95}).stages]
        assert ids == ["c0", "o1", "c2", "c3"]

    def test_slow_runner_is_replaced_too(self):
        """A runner with a slowdown of ten delays each token."""
        ids = [stage.server.id for stage in self.moved(slowdowns={"c2": 10.0}).stages]
        assert ids == ["c0", "o1", "o2", "c3"]

    @given(st.integers(1, 39), st.integers(20, 60))
    def test_first_stage_is_unchanged(self, ran, held):
        """Engines accept no other first stage, with more layers or fewer."""
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

    def test_new_request_keeps_no_runners(self):
        """New requests use the runners with the lowest utilization."""
        layer_map = LayerMap([*self.CHAIN, *self.OTHER], engine())
        path = layer_map.find(
            zone="z1", utilization={server.id: 0.3 for server in self.CHAIN}
        )
        assert {stage.server.id for stage in path.stages} == {
            server.id for server in self.OTHER
        }
