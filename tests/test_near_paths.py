# SPDX-License-Identifier: MIT
"""When paths leave their zone."""

from __future__ import annotations

from routing_samples import runner
from violethatch.local_paths import MOST_FAR_SEARCHES, NearFirst
from violethatch.paths import Path, Stage


def path(name):
    """Return a path through one runner."""
    server = runner(name, 0, 80)
    return Path((Stage(server, server.layers),), 1.0)


NEAR = path("near")
FAR = [path(f"far-{n}") for n in range(MOST_FAR_SEARCHES)]


class Searches:
    """Finds paths from a list, and counts what was asked."""

    def __init__(self, *paths):
        self.paths = list(paths)
        self.count = 0

    def __call__(self, _fullness):
        self.count += 1
        return self.paths[(self.count - 1) % len(self.paths)]


class TestNearFirst:
    def test_zone_with_room_is_not_left(self):
        """No search goes over all runners while the zone has room."""
        far = Searches(*FAR)
        search = NearFirst(Searches(NEAR), far)
        assert [search.find({"near": 0.5}) for _ in range(8)] == [NEAR] * 8
        assert far.count == 1  # to compare

    def test_zone_that_fills_sends_some_elsewhere(self):
        """A part goes to the best of all; the rest waits for news of that."""
        far = Searches(*FAR)
        search = NearFirst(Searches(NEAR), far)
        found = [search.find({"near": 0.8}) for _ in range(8)]
        assert found[0] in FAR
        assert found[1:] == [NEAR] * 7
        assert far.count == MOST_FAR_SEARCHES

    def test_full_zone_sends_all_elsewhere(self):
        """What was found over all runners is used in turn."""
        far = Searches(*FAR)
        search = NearFirst(Searches(NEAR), far)
        found = {search.find({"near": 1.2}).first.id for _ in range(8)}
        assert found == {one.first.id for one in FAR}
        assert far.count == MOST_FAR_SEARCHES

    def test_broken_zone_sends_all_elsewhere(self):
        """Without a path of its own a zone uses others'."""
        search = NearFirst(Searches(None), Searches(*FAR))
        assert all(search.find({}) in FAR for _ in range(8))

    def test_full_zone_is_used_where_there_is_no_other(self):
        """A zone that is cut off serves what it can."""
        search = NearFirst(Searches(NEAR), Searches(None))
        assert all(search.find({"near": 1.2}) is NEAR for _ in range(8))

    def test_slow_zone_is_no_better_than_others(self):
        """A chain of slow runners doesn't get all that comes in its zone."""
        slow = NEAR._replace(token_ms=2.0)
        search = NearFirst(Searches(slow), Searches(*FAR))
        assert all(search.find({"near": 0.1}) in FAR for _ in range(8))

    def test_slow_zone_is_used_once_others_are_slower(self):
        """Full runners elsewhere take longer than slow ones that are free."""
        slow = NEAR._replace(token_ms=2.0)
        full = FAR[0]._replace(token_ms=1.6)
        search = NearFirst(Searches(slow), Searches(FAR[0], full))
        assert search.find({"near": 0.1}) is slow

    def test_other_zones_are_not_filled_by_a_slow_one(self):
        """What is laid out there already leaves the rest to the own zone."""
        slow = NEAR._replace(token_ms=2.0)
        search = NearFirst(Searches(slow), Searches(FAR[0]))
        assert search.find({"far-0": 0.7}) is slow

    def test_full_slow_zone_uses_partly_full_runners_elsewhere(self):
        """A slow chain kept 135 streams on 96 slots while others were 0.65 full."""
        slow = NEAR._replace(token_ms=2.0)
        search = NearFirst(Searches(slow), Searches(*FAR))
        fullness = {"near": 1.4, "far-0": 0.65, "far-1": 0.65}
        assert all(search.find(fullness) in FAR for _ in range(8))

    def test_fuller_runners_elsewhere_are_no_way_out(self):
        """With every zone full, the emptiest runners are used."""
        search = NearFirst(Searches(NEAR), Searches(*FAR))
        fullness = {"near": 1.0, "far-0": 1.3, "far-1": 1.3}
        assert all(search.find(fullness) is NEAR for _ in range(8))

    def test_zones_alike_are_compared_without_what_is_laid_out(self):
        """Parts fill the own zone only in thought; others fill theirs likewise."""
        near = Searches(NEAR, *[NEAR._replace(token_ms=1.9)] * 7)
        search = NearFirst(near, Searches(*FAR))
        found = [search.find({"near": n / 20}) for n in range(8)]
        assert all(one.first.id == "near" for one in found)

    def test_move_is_not_compared_with_other_zones(self):
        """A request stays in the zone of its first runner, where its KV cache is."""
        slow = path("near")._replace(token_ms=20.0)
        far = Searches(*FAR)
        search = NearFirst(Searches(slow), far, is_quick=True)
        assert search.find({"near": 0.1}) is slow
        assert far.count == 0
