# SPDX-License-Identifier: MIT
"""When a fleet's list is at rest."""

from __future__ import annotations

from routing_samples import runner
from violethatch._fleet_watch import _SETTLE_LIMIT_S, _SETTLE_S, FleetWatch


def by_id(*servers):
    """Return servers by their ids."""
    return {one.id: one for one in servers}


NEW = by_id(runner("new-1", kind="large"), runner("new-2", kind="large"))
ENDED = by_id(runner("old", 0, 80, kind="large"))


class TestSettled:
    def test_empty_fleet_has_to_rest(self):
        """Runners come one by one."""
        watch = FleetWatch()
        assert not watch.is_settled(NEW, ordered=(), now_s=10.0)
        assert watch.is_settled(NEW, ordered=(), now_s=10.0 + _SETTLE_S)

    def test_list_that_never_rests_is_divided_at_last(self):
        """A new runner at each look delays the plan up to a limit."""
        watch = FleetWatch()
        servers = {}
        for step in range(int(_SETTLE_LIMIT_S)):
            servers = servers | by_id(runner(f"n{step}", kind="large"))
            assert not watch.is_settled(servers, ordered=(), now_s=10.0 + step)
        servers = servers | by_id(runner("last", kind="large"))
        assert watch.is_settled(servers, ordered=(), now_s=10.0 + _SETTLE_LIMIT_S)

    def test_entries_that_lapse_begin_no_new_wait(self):
        """Guards against a wait after the last entry of runners that ended."""
        watch = FleetWatch()
        watch.is_settled(NEW | ENDED, ordered=(), now_s=10.0)
        assert watch.is_settled(NEW, ordered=(), now_s=10.0 + _SETTLE_S)

    def test_second_return_waits_as_the_first(self):
        """Guards against a second empty fleet that is divided before it is listed."""
        watch = FleetWatch()
        watch.is_settled(NEW, ordered=(), now_s=10.0)
        held = by_id(runner("new-1", 0, 80, kind="large"))
        assert watch.is_settled(held, ordered=(), now_s=20.0)
        again = by_id(runner("again", kind="large"))
        assert not watch.is_settled(again, ordered=(), now_s=100.0)
