# SPDX-License-Identifier: MIT
"""Conditions under which paths leave the local zone."""

from __future__ import annotations

from routing_samples import runner
from violethatch.local_paths import MAX_GLOBAL_SEARCHES, LocalFirstSearch
from violethatch.paths import Path, Stage


def path(name):
    """Return a path through one runner."""
    server = runner(name, 0, 80)
    return Path((Stage(server, server.layers),), 1.0)


LOCAL = path("near")
GLOBAL = [path(f"far-{n}") for n in range(MAX_GLOBAL_SEARCHES)]


class FakeSearch:
    """Returns the paths of a list in rotation, and counts calls."""

    def __init__(self, *paths):
        self.paths = list(paths)
        self.count = 0

    def __call__(self, _utilization):
        self.count += 1
        return self.paths[(self.count - 1) % len(self.paths)]


class TestLocalFirstSearch:
    def test_zone_with_capacity_is_used(self):
        """No search covers all runners while the zone has capacity."""
        find_global = FakeSearch(*GLOBAL)
        search = LocalFirstSearch(FakeSearch(LOCAL), find_global)
        assert [search.find({"near": 0.5}) for _ in range(8)] == [LOCAL] * 8
        assert find_global.count == 1  # to compare

    def test_loaded_zone_moves_some_parts_elsewhere(self):
        """Only some parts use global paths before the next load reports."""
        find_global = FakeSearch(*GLOBAL)
        search = LocalFirstSearch(FakeSearch(LOCAL), find_global)
        found = [search.find({"near": 0.8}) for _ in range(8)]
        assert found[0] in GLOBAL
        assert found[1:] == [LOCAL] * 7
        assert find_global.count == MAX_GLOBAL_SEARCHES

    def test_full_zone_moves_all_parts_elsewhere(self):
        """The results of the global searches are used in rotation."""
        find_global = FakeSearch(*GLOBAL)
        search = LocalFirstSearch(FakeSearch(LOCAL), find_global)
        found = {search.find({"near": 1.2}).first.id for _ in range(8)}
        assert found == {global_path.first.id for global_path in GLOBAL}
        assert find_global.count == MAX_GLOBAL_SEARCHES

    def test_zone_without_a_path_moves_all_parts_elsewhere(self):
        """Without a local path only global paths are used."""
        search = LocalFirstSearch(FakeSearch(None), FakeSearch(*GLOBAL))
        assert all(search.find({}) in GLOBAL for _ in range(8))

    def test_full_zone_is_used_without_alternative(self):
        """A partitioned zone keeps serving at full utilization."""
        search = LocalFirstSearch(FakeSearch(LOCAL), FakeSearch(None))
        assert all(search.find({"near": 1.2}) is LOCAL for _ in range(8))

    def test_slow_zone_is_not_preferred(self):
        """A slow local chain doesn't receive all streams of its zone."""
        slow = LOCAL._replace(token_ms=2.0)
        search = LocalFirstSearch(FakeSearch(slow), FakeSearch(*GLOBAL))
        assert all(search.find({"near": 0.1}) in GLOBAL for _ in range(8))

    def test_slow_zone_is_used_once_others_are_slower(self):
        """Full runners elsewhere have a higher cost than idle slow ones."""
        slow = LOCAL._replace(token_ms=2.0)
        full = GLOBAL[0]._replace(token_ms=1.6)
        search = LocalFirstSearch(FakeSearch(slow), FakeSearch(GLOBAL[0], full))
        assert search.find({"near": 0.1}) is slow

    def test_slow_zone_does_not_overload_other_zones(self):
        """Parts assigned to other zones already leave later parts in the zone."""
        slow = LOCAL._replace(token_ms=2.0)
        search = LocalFirstSearch(FakeSearch(slow), FakeSearch(GLOBAL[0]))
        assert search.find({"far-0": 0.7}) is slow

    def test_full_slow_zone_uses_partly_loaded_runners_elsewhere(self):
        """A slow chain kept 135 streams on 96 slots with others at 0.65."""
        slow = LOCAL._replace(token_ms=2.0)
        search = LocalFirstSearch(FakeSearch(slow), FakeSearch(*GLOBAL))
        utilization = {"near": 1.4, "far-0": 0.65, "far-1": 0.65}
        assert all(search.find(utilization) in GLOBAL for _ in range(8))

    def test_runners_elsewhere_with_more_load_are_not_used(self):
        """With all zones full, the runners with the lowest utilization are used."""
        search = LocalFirstSearch(FakeSearch(LOCAL), FakeSearch(*GLOBAL))
        utilization = {"near": 1.0, "far-0": 1.3, "far-1": 1.3}
        assert all(search.find(utilization) is LOCAL for _ in range(8))

    def test_equal_zones_are_compared_without_assigned_parts(self):
        """Assigned parts only project load, and other zones assign parts as well."""
        find_local = FakeSearch(LOCAL, *[LOCAL._replace(token_ms=1.9)] * 7)
        search = LocalFirstSearch(find_local, FakeSearch(*GLOBAL))
        found = [search.find({"near": n / 20}) for n in range(8)]
        assert all(result.first.id == "near" for result in found)

    def test_move_is_not_compared_with_other_zones(self):
        """A request stays in the zone of its first runner and its KV cache."""
        slow = path("near")._replace(token_ms=20.0)
        find_global = FakeSearch(*GLOBAL)
        search = LocalFirstSearch(FakeSearch(slow), find_global, is_local_fast=True)
        assert search.find({"near": 0.1}) is slow
        assert find_global.count == 0
