# SPDX-License-Identifier: MIT
"""When paths leave their zone."""

from __future__ import annotations

from routing_samples import runner
from violethatch.near_paths import MOST_FAR_SEARCHES, NearFirst
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
        assert search.find({"near": 0.5}) is NEAR
        assert far.count == 0

    def test_zone_that_fills_sends_some_elsewhere(self):
        """A part goes to the best of all; the rest waits for news of that."""
        far = Searches(*FAR)
        search = NearFirst(Searches(NEAR), far)
        found = [search.find({"near": 0.8}) for _ in range(8)]
        assert found == [*FAR, *[NEAR] * (8 - MOST_FAR_SEARCHES)]
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

    def test_move_of_a_far_stream_looks_at_all(self):
        """The own zone's runners can't stand behind a first runner elsewhere."""
        near = Searches(NEAR)
        search = NearFirst(near, Searches(*FAR), is_near=False)
        assert search.find({}) is FAR[0]
        assert near.count == 0
