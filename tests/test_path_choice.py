# SPDX-License-Identifier: MIT
"""Path selection of an instance among its own zone and other zones."""

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
#: Three equal chains in each of two zones.
LOCAL = [
    runner(f"n{chain}-{stage}", stage * 20, stage * 20 + 20, zone=ZONE)
    for chain in range(3)
    for stage in range(4)
]
REMOTE = [
    runner(f"f{chain}-{stage}", stage * 20, stage * 20 + 20, zone="cartago")
    for chain in range(3)
    for stage in range(4)
]
#: Requests are so small that a chain has capacity for 160.
SERVICE = admitted().service._replace(engine=engine(kv_token_bytes=200_000.0))


def make_routings(count, *servers):
    """Return the routings of all instances of a zone."""
    routings = []
    for rank in range(count):
        routing = make_routing(FakeClient(), *servers, rng=random.Random(rank))
        position = ZonePosition((rank + 0.5) / count, count)
        routing.set_instance_sources(
            count=lambda: count, place=lambda position=position: position
        )
        routings.append(routing)
    return routings


def max_to_mean(firsts):
    """Return the ratio between the max and the mean number of uses."""
    counts = collections.Counter(firsts)
    return max(counts.values()) / (sum(counts.values()) / len(counts))


class TestNewStreams:
    @pytest.mark.parametrize("count", [6, 39, 50])
    def test_instances_without_reports_spread(self, count):
        """With an empty fleet each instance starts a stream at the same moment."""
        routings = make_routings(count, *LOCAL, *REMOTE)
        firsts = [routing.path(SERVICE).first.id for routing in routings]
        assert set(firsts) == {"n0-0", "n1-0", "n2-0"}
        assert max_to_mean(firsts) <= 1.3

    def test_instances_with_the_same_old_report_spread(self):
        """A chain is reported as idle; only some instances select it."""
        routings = make_routings(39, *LOCAL)
        load = ServerTotals(30, 30_000.0 * 20)
        report = {server_number(f"n{n}-{s}"): load for n in (0, 1) for s in range(4)}
        for routing in routings:
            routing.loads.update_others(
                LoadTotals(38, 0.0, report, age_s=1.2), now_s=clocks.now_s()
            )
        counts = collections.Counter(
            routing.path(SERVICE).first.id for routing in routings
        )
        assert counts["n2-0"] >= max(counts["n0-0"], counts["n1-0"])
        assert counts["n2-0"] < 39

    def test_local_zone_is_preferred(self):
        """While the zone has capacity no path depends on another zone."""
        (routing,) = make_routings(1, *LOCAL, *REMOTE)
        zones = {s.server.availability_zone for s in routing.path(SERVICE).stages}
        assert zones == {ZONE}

    def test_full_zone_uses_remote_paths(self):
        """Callers don't wait while other zones have capacity."""
        (routing,) = make_routings(1, *LOCAL, *REMOTE)
        now_s = clocks.now_s()
        for chain in range(3):
            routing.loads.record_report(
                f"n{chain}-0", ServerLoad(96, 20, 96), now_s=now_s
            )
        assert routing.path(SERVICE).first.availability_zone == "cartago"

    def test_fast_first_runner_without_slots_is_skipped(self):
        """A fast runner kept 102 to 115 streams on 96 slots beside idle ones."""
        fast = [runner(f"q{n}", 40 * n, 40 * n + 40, kind="large") for n in (0, 1)]
        slow = [runner(f"s{n}", 10 * n, 10 * n + 10, kind="small") for n in range(8)]
        (routing,) = make_routings(1, *fast, *slow)
        now_s = clocks.now_s()
        routing.loads.record_report("q0", ServerLoad(50, 0, 96), now_s=now_s)
        assert routing.path(SERVICE).first.id == "q0"
        routing.loads.record_report("q0", ServerLoad(90, 0, 96), now_s=now_s)
        assert routing.path(SERVICE).first.id == "s0"
        routing.loads.record_report("s0", ServerLoad(90, 0, 96), now_s=now_s)
        assert routing.path(SERVICE) is not None

    def test_zone_with_missing_layers_uses_remote_paths(self):
        """Callers of an incomplete zone are served by complete chains."""
        (routing,) = make_routings(1, *LOCAL[:3], *REMOTE)
        assert routing.path(SERVICE).first.availability_zone == "cartago"

    def test_runner_in_cooldown_is_excluded_at_once(self):
        """Parts that were assigned before the failure are not used."""
        (routing,) = make_routings(1, *LOCAL)
        first = routing.path(SERVICE).first
        routing.record_fault(first, ServerFault.SILENT, "c1", "gives no report")
        assert routing.path(SERVICE).first.id != first.id


class TestMoves:
    def test_streams_of_an_unreachable_runner_spread(self):
        """All instances move their streams from the same runner at once."""
        routings = make_routings(40, *LOCAL)
        first = LOCAL[0]
        seconds = []
        for routing in routings:
            path = routing.path(SERVICE, avoided=frozenset({"n0-1"}), first=first)
            assert path.first.id == first.id
            seconds.append(path.stages[1].server.id)
        assert set(seconds) == {"n1-1", "n2-1"}
        assert max_to_mean(seconds) <= 1.3

    def test_first_runner_of_an_unlisted_zone(self):
        """A move from the last listed runner of a zone has no path and no error."""
        (routing,) = make_routings(1, *LOCAL)
        unlisted = REMOTE[0]
        assert (
            routing.path(SERVICE, first=unlisted, avoided=frozenset({"f0-1"})) is None
        )


class TestBlockedTime:
    def test_only_cooldowns_of_the_best_path_count(self):
        """The reported time doesn't include cooldowns of other paths."""
        (routing,) = make_routings(1, *LOCAL[:8])
        now_s = clocks.now_s()
        for server in LOCAL[:4]:
            routing.health.record_fault(server.id, ServerFault.SILENT, now_s=now_s)
        routing.health.record_fault("n1-2", ServerFault.FULL, now_s=now_s)
        assert routing.blocked_time(SERVICE).remaining_s <= 0.3
        assert routing.blocked_time(SERVICE).remaining_s > 0.0

    def test_earliest_available_path(self):
        """It is neither the fastest path nor the one with the fewest cooldowns."""
        (routing,) = make_routings(1, *LOCAL[:8])
        now_s = clocks.now_s()
        for server, backoff_s in ((LOCAL[0], 9.0), (LOCAL[4], 2.0), (LOCAL[5], 1.9)):
            signals = ServerSignals(status=503, backoff_s=backoff_s, is_binding=True)
            routing.flow_control.record_signals(server, signals, "c1")
        for _ in range(2):
            blocked = routing.blocked_time(SERVICE)
            assert 1.8 <= blocked.requested_s <= 2.0
            assert blocked.remaining_s == blocked.requested_s
        routing.flow_control.record_signals(
            LOCAL[1], ServerSignals(status=503, backoff_s=1.0, is_binding=True), "c2"
        )
        assert routing.blocked_time(SERVICE).requested_s <= 2.0
        for server in (LOCAL[3], LOCAL[7]):
            routing.health.record_fault(server.id, ServerFault.SILENT, now_s=now_s)
        assert 2.0 <= routing.blocked_time(SERVICE).remaining_s <= 3.0

    def test_no_time_for_missing_layers(self):
        """The return of a layer without a holder can't be predicted."""
        (routing,) = make_routings(1, *LOCAL[:3])
        assert routing.blocked_time(SERVICE) is None


class TestFastChainOfAnotherZone:
    """Load pattern: all zones recover at once, and one has a much faster chain.

    No instance has load reports at that time.
    """

    FAST = [
        runner(f"q{stage}", stage * 20, stage * 20 + 20, kind="large", zone="cartago")
        for stage in range(4)
    ]
    SLOW = [
        runner(f"{zone}{chain}-{n}", n * 8, n * 8 + 8, kind="small", zone=zone)
        for zone in ("heredia", "alajuela")
        for chain in range(2)
        for n in range(10)
    ]

    def test_zones_reserve_capacity_for_each_other(self):
        """The parts of two zones together don't exceed the chain's capacity."""
        capacity = 96
        routings = make_routings(60, *self.FAST, *self.SLOW)
        for routing in routings:
            routing.instance_count = lambda: 180
        fast = sum(routing.path(SERVICE).first.id == "q0" for routing in routings)
        assert 0 < fast * 2 <= 0.6 * capacity * 180 / 60


class TestIsolatedPath:
    """Load pattern: a server crashes under many requests; one may be the cause."""

    def test_it_begins_at_a_server_with_few_requests(self):
        """Another crash affects fewer requests than on the usual path."""
        (routing,) = make_routings(1, *LOCAL, *REMOTE)
        usual = routing.path(SERVICE)
        for _ in range(20):
            routing.loads.started(usual, 900.0, crossing_ms=0.0, now_s=clocks.now_s())
        for number in range(30):
            isolated = routing.isolated_path(
                SERVICE, avoided=frozenset(), trait=f"w{number}"
            )
            assert isolated.first.id != usual.first.id

    def test_several_requests_use_different_servers(self):
        """On the same server they could not be distinguished after another crash."""
        (routing,) = make_routings(1, *LOCAL, *REMOTE)
        firsts = {
            routing.isolated_path(
                SERVICE, avoided=frozenset(), trait=f"w{number}"
            ).first.id
            for number in range(30)
        }
        assert len(firsts) == 3

    def test_instances_select_the_same_server_for_a_trait(self):
        """Repeats at other instances don't affect more servers."""
        firsts = {
            routing.isolated_path(SERVICE, avoided=frozenset(), trait="w").first.id
            for routing in make_routings(6, *LOCAL, *REMOTE)
        }
        assert len(firsts) == 1

    def test_excluded_servers_are_not_used(self):
        """There is no isolated path if all first runners are excluded."""
        (routing,) = make_routings(1, *LOCAL)
        firsts = frozenset(f"n{chain}-0" for chain in range(3))
        assert routing.isolated_path(SERVICE, avoided=firsts, trait="w") is None


class TestNewDesiredStates:
    def test_maps_are_kept_for_an_equal_engine(self, monkeypatch):
        """Guards against a rebuild per request while two states alternate."""
        (routing,) = make_routings(1, *LOCAL, *REMOTE)
        newer = SERVICE._replace(engine=engine(kv_token_bytes=200_000.0))
        assert newer.engine is not SERVICE.engine
        first = routing.path(SERVICE)
        built = []
        layer_map_class = _path_choice.LayerMap
        monkeypatch.setattr(
            _path_choice,
            "LayerMap",
            lambda *args: built.append(args) or layer_map_class(*args),
        )
        assert [routing.path(newer), routing.path(SERVICE)] == [first, first]
        assert built == []
        routing.path(newer._replace(engine=engine(kv_token_bytes=100_000.0)))
        assert built
