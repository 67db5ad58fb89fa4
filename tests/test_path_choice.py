# SPDX-License-Identifier: MIT
"""Which paths an instance chooses among its zone's and all others."""

from __future__ import annotations

import collections
import random

import pytest

from router_fakes import FakeClient, admitted, make_routing
from routing_samples import engine, runner
from violethatch import _path_choice, clocks
from violethatch.load_sums import LoadTotals, ServerTotals, server_number
from violethatch.path_shares import ZonePosition
from violethatch.runner_health import ServerFault
from violethatch.upstream import ServerLoad, ServerSignals


ZONE = "heredia"
#: Three chains alike in each of two zones.
NEAR = [
    runner(f"n{chain}-{stage}", stage * 20, stage * 20 + 20, zone=ZONE)
    for chain in range(3)
    for stage in range(4)
]
FAR = [
    runner(f"f{chain}-{stage}", stage * 20, stage * 20 + 20, zone="cartago")
    for chain in range(3)
    for stage in range(4)
]
#: Requests are so small that a chain has room for 160.
SERVICE = admitted().service._replace(engine=engine(kv_token_bytes=200_000.0))


def routings(count, *servers):
    """Return the views of instances that make up a zone."""
    made = []
    for rank in range(count):
        routing = make_routing(FakeClient(), *servers, rng=random.Random(rank))
        place = ZonePosition((rank + 0.5) / count, count)
        routing.set_instance_sources(
            count=lambda: count, place=lambda place=place: place
        )
        made.append(routing)
    return made


def spread_of(firsts):
    """Return how often the most used is used, in means."""
    counts = collections.Counter(firsts)
    return max(counts.values()) / (sum(counts.values()) / len(counts))


class TestNewStreams:
    @pytest.mark.parametrize("count", [6, 39, 50])
    def test_instances_that_know_nothing_spread(self, count):
        """From an empty fleet each begins a stream in the same moment."""
        made = routings(count, *NEAR, *FAR)
        firsts = [one.path(SERVICE).first.id for one in made]
        assert set(firsts) == {"n0-0", "n1-0", "n2-0"}
        assert spread_of(firsts) <= 1.3

    def test_same_old_news_doesn_t_gather_them(self):
        """All have heard that one chain is empty; not all go there."""
        made = routings(39, *NEAR)
        taken = ServerTotals(30, 30_000.0 * 20)
        news = {server_number(f"n{n}-{s}"): taken for n in (0, 1) for s in range(4)}
        for one in made:
            one.loads.update_others(
                LoadTotals(38, 0.0, news, age_s=1.2), now_s=clocks.now_s()
            )
        counts = collections.Counter(one.path(SERVICE).first.id for one in made)
        assert counts["n2-0"] >= max(counts["n0-0"], counts["n1-0"])
        assert counts["n2-0"] < 39

    def test_own_zone_comes_first(self):
        """While the zone has room nothing depends on another."""
        (one,) = routings(1, *NEAR, *FAR)
        zones = {s.server.availability_zone for s in one.path(SERVICE).stages}
        assert zones == {ZONE}

    def test_full_zone_sends_elsewhere(self):
        """Callers are not kept waiting while other zones have room."""
        (one,) = routings(1, *NEAR, *FAR)
        now_s = clocks.now_s()
        for chain in range(3):
            one.loads.record_report(f"n{chain}-0", ServerLoad(96, 20, 96), now_s=now_s)
        assert one.path(SERVICE).first.availability_zone == "cartago"

    def test_quick_first_runner_without_slots_is_passed_over(self):
        """A quick one kept 102 to 115 streams on its 96 slots, slower ones had free."""
        quick = [runner(f"q{n}", 40 * n, 40 * n + 40, kind="large") for n in (0, 1)]
        slow = [runner(f"s{n}", 10 * n, 10 * n + 10, kind="small") for n in range(8)]
        (one,) = routings(1, *quick, *slow)
        now_s = clocks.now_s()
        one.loads.record_report("q0", ServerLoad(50, 0, 96), now_s=now_s)
        assert one.path(SERVICE).first.id == "q0"
        one.loads.record_report("q0", ServerLoad(90, 0, 96), now_s=now_s)
        assert one.path(SERVICE).first.id == "s0"
        one.loads.record_report("s0", ServerLoad(90, 0, 96), now_s=now_s)
        assert one.path(SERVICE) is not None

    def test_zone_that_lacks_layers_sends_elsewhere(self):
        """A broken zone's callers are served along whole chains."""
        (one,) = routings(1, *NEAR[:3], *FAR)
        assert one.path(SERVICE).first.availability_zone == "cartago"

    def test_runner_that_rests_is_gone_around_at_once(self):
        """Parts that were laid before are not used over it."""
        (one,) = routings(1, *NEAR)
        first = one.path(SERVICE).first
        one.record_fault(first, ServerFault.SILENT, "c1", "gives no report")
        assert one.path(SERVICE).first.id != first.id


class TestMoves:
    def test_streams_of_a_dark_runner_spread(self):
        """All instances move their streams past the same runner at once."""
        made = routings(40, *NEAR)
        first = NEAR[0]
        seconds = []
        for one in made:
            path = one.path(SERVICE, avoided=frozenset({"n0-1"}), first=first)
            assert path.first.id == first.id
            seconds.append(path.stages[1].server.id)
        assert set(seconds) == {"n1-1", "n2-1"}
        assert spread_of(seconds) <= 1.3

    def test_first_runner_of_a_zone_that_is_gone(self):
        """A move past the last listed runner of a zone finds nothing, and ends well."""
        (one,) = routings(1, *NEAR)
        gone = FAR[0]
        assert one.path(SERVICE, first=gone, avoided=frozenset({"f0-1"})) is None


class TestBlocked:
    def test_rests_on_the_best_path_tell_how_long(self):
        """Callers are told of the rests that block them, not of all."""
        (one,) = routings(1, *NEAR[:8])
        now_s = clocks.now_s()
        for server in NEAR[:4]:
            one.health.record_fault(server.id, ServerFault.SILENT, now_s=now_s)
        one.health.record_fault("n1-2", ServerFault.FULL, now_s=now_s)
        assert one.blocked_time(SERVICE).remaining_s <= 0.3
        assert one.blocked_time(SERVICE).remaining_s > 0.0

    def test_path_that_is_free_first(self):
        """Not the one of the quickest runners, nor that of the fewest that rest."""
        (one,) = routings(1, *NEAR[:8])
        now_s = clocks.now_s()
        for server, rest_s in ((NEAR[0], 9.0), (NEAR[4], 2.0), (NEAR[5], 1.9)):
            word = ServerSignals(status=503, backoff_s=rest_s, is_binding=True)
            one.flow_control.record_signals(server, word, "c1")
        for _ in range(2):
            blocked = one.blocked_time(SERVICE)
            assert 1.8 <= blocked.requested_s <= 2.0
            assert blocked.remaining_s == blocked.requested_s
        one.flow_control.record_signals(
            NEAR[1], ServerSignals(status=503, backoff_s=1.0, is_binding=True), "c2"
        )
        assert one.blocked_time(SERVICE).requested_s <= 2.0
        for server in (NEAR[3], NEAR[7]):
            one.health.record_fault(server.id, ServerFault.SILENT, now_s=now_s)
        assert 2.0 <= one.blocked_time(SERVICE).remaining_s <= 3.0

    def test_lacking_layers_are_not_waited_for(self):
        """Nobody knows when a layer without a holder comes back."""
        (one,) = routings(1, *NEAR[:3])
        assert one.blocked_time(SERVICE) is None


class TestQuickChainOfAnotherZone:
    """Load pattern: all zones return at once, and one has a chain that is far quicker.

    Nobody knows anything of loads then.
    """

    QUICK = [
        runner(f"q{stage}", stage * 20, stage * 20 + 20, kind="large", zone="cartago")
        for stage in range(4)
    ]
    SLOW = [
        runner(f"{zone}{chain}-{n}", n * 8, n * 8 + 8, kind="small", zone=zone)
        for zone in ("heredia", "alajuela")
        for chain in range(2)
        for n in range(10)
    ]

    def test_zones_leave_room_for_each_other(self):
        """What two zones lay onto it together does not overfill it."""
        room = 96
        made = routings(60, *self.QUICK, *self.SLOW)
        for one in made:
            one.instance_count = lambda: 180
        quick = sum(one.path(SERVICE).first.id == "q0" for one in made)
        assert 0 < quick * 2 <= 0.6 * room * 180 / 60


class TestApart:
    """Load pattern: a server ends under many; one of them may have ended it."""

    def test_it_begins_where_few_are(self):
        """What it may end has fewer requests than where the others go."""
        (one,) = routings(1, *NEAR, *FAR)
        usual = one.path(SERVICE)
        for _ in range(20):
            one.loads.started(usual, 900.0, crossing_ms=0.0, now_s=clocks.now_s())
        for number in range(30):
            apart = one.isolated_path(SERVICE, avoided=frozenset(), trait=f"w{number}")
            assert apart.first.id != usual.first.id

    def test_several_are_not_at_the_same_server(self):
        """They would stay each other's company."""
        (one,) = routings(1, *NEAR, *FAR)
        firsts = {
            one.isolated_path(SERVICE, avoided=frozenset(), trait=f"w{number}").first.id
            for number in range(30)
        }
        assert len(firsts) == 3

    def test_instances_choose_the_same_for_a_work(self):
        """It does not go to another server at each instance."""
        firsts = {
            one.isolated_path(SERVICE, avoided=frozenset(), trait="w").first.id
            for one in routings(6, *NEAR, *FAR)
        }
        assert len(firsts) == 1

    def test_avoided_servers_are_left_alone(self):
        """With nobody else left, there is no such path."""
        (one,) = routings(1, *NEAR)
        firsts = frozenset(f"n{chain}-0" for chain in range(3))
        assert one.isolated_path(SERVICE, avoided=firsts, trait="w") is None


class TestNewDesiredStates:
    def test_maps_made_anew_although_nothing_of_the_engine_changed(self, monkeypatch):
        """Streams of the older state and of the newer one ask in turn."""
        (one,) = routings(1, *NEAR, *FAR)
        newer = SERVICE._replace(engine=engine(kv_token_bytes=200_000.0))
        assert newer.engine is not SERVICE.engine
        first = one.path(SERVICE)
        made = []
        whole_map = _path_choice.LayerMap
        monkeypatch.setattr(
            _path_choice,
            "LayerMap",
            lambda *args: made.append(args) or whole_map(*args),
        )
        assert [one.path(newer), one.path(SERVICE)] == [first, first]
        assert made == []
        one.path(newer._replace(engine=engine(kv_token_bytes=100_000.0)))
        assert made
