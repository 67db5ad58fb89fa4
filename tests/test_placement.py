# SPDX-License-Identifier: MIT
"""Which runner holds which layers."""

from __future__ import annotations

import random

import pytest

from hypothesis import given, settings
from hypothesis import strategies as st

from routing_samples import KINDS, engine
from violethatch import _chains, placement
from violethatch._chains import best_chains, chain_requests_per_s, split_layers
from violethatch._layer_needs import layers_to_copy
from violethatch.layers import LayerRange
from violethatch.placement import Host, plan_placement


def hosts(zone, **counts):
    """Return empty hosts of a zone, so many of each kind."""
    return [
        Host(f"{zone}-{kind}-{number}", zone, kind, None)
        for kind, count in counts.items()
        for number in range(count)
    ]


SITE = (
    hosts("z1", large=1, medium=3, small=8)
    + hosts("z2", large=1, medium=6, small=5)
    + hosts("z3", large=2, medium=2, small=5)
)


def placed(fleet, plan):
    """Return hosts with a plan carried out."""
    return [host._replace(held=plan.get(host.id, host.held)) for host in fleet]


def lacking(fleet, zone):
    """Return the layers that a zone lacks."""
    held = {
        layer
        for host in fleet
        if host.held and host.availability_zone == zone
        for layer in range(*host.held)
    }
    return set(range(80)) - held


def sole_holder(fleet, zone):
    """Return the runner with the fewest layers that nobody else in its zone holds."""
    inside = [host for host in fleet if host.availability_zone == zone and host.held]
    return next(
        host
        for host in sorted(inside, key=lambda one: one.held.size)
        if lacking([one for one in fleet if one is not host], zone)
    )


def assert_fits(fleet):
    """No host holds more than its memory does."""
    for host in fleet:
        if host.held:
            size = host.held.end - host.held.first
            assert size * 1750.0 <= KINDS[host.kind].memory_mb
            assert 0 <= host.held.first < host.held.end <= 80


class TestEmptyFleet:
    def test_each_zone_gets_a_whole_model(self):
        """Zones that can hold the model do, so that each can serve when cut."""
        fleet = placed(SITE, plan_placement(SITE, engine()))
        assert_fits(fleet)
        for zone in ("z1", "z2", "z3"):
            assert lacking(fleet, zone) == set()

    def test_requests_have_room(self):
        """Each runner has KV cache for many usual requests."""
        fleet = placed(SITE, plan_placement(SITE, engine()))
        rooms = [
            engine().kv_capacity_tokens(
                KINDS[host.kind], host.held.end - host.held.first
            )
            for host in fleet
            if host.held
        ]
        assert min(rooms) > 30 * engine().usual_tokens

    def test_zones_too_small_go_together(self):
        """Zones that can't hold the model share one."""
        fleet = hosts("z1", medium=3) + hosts("z2", medium=3)
        fleet = placed(fleet, plan_placement(fleet, engine()))
        assert lacking(fleet, "z1")
        assert not lacking(fleet, "z1") & lacking(fleet, "z2")

    def test_too_little_memory_orders_nothing(self):
        """A fleet that can't hold the model is left alone."""
        assert plan_placement(hosts("z1", small=3), engine()) == {}

    def test_unknown_kinds_are_left_alone(self):
        """A kind that the engine doesn't state gets no layers."""
        fleet = [*SITE, Host("odd", "z1", "odd", None)]
        assert "odd" not in plan_placement(fleet, engine())

    @settings(max_examples=30, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from(["z1", "z2"]), st.sampled_from(sorted(KINDS))),
            max_size=24,
        )
    )
    def test_never_beyond_memory(self, runners):
        """Whatever the fleet, what is ordered fits."""
        fleet = [Host(f"h{n}", *one, None) for n, one in enumerate(runners)]
        assert_fits(placed(fleet, plan_placement(fleet, engine())))


class TestSpares:
    def test_memory_left_over_holds_copies(self):
        """A zone with twice the model's memory survives most losses by itself."""
        fleet = hosts("z1", large=2, medium=4, small=4)
        spec = engine(kv_token_bytes=1_180_000.0)
        whole = placed(fleet, plan_placement(fleet, spec))
        assert_fits(whole)
        alone = [
            host
            for host in whole
            if lacking([one for one in whole if one is not host], "z1")
        ]
        assert len(alone) <= len(whole) / 2

    def test_copies_take_no_room_from_chains(self):
        """No runner has less room for KV cache than the fullest of its chain."""
        fleet = hosts("z1", large=2, medium=4, small=4)
        spec = engine(kv_token_bytes=1_180_000.0)
        whole = [one for one in placed(fleet, plan_placement(fleet, spec)) if one.held]
        chain = best_chains(fleet, spec)[0]
        least = min(
            spec.kv_capacity_tokens(KINDS[host.kind], chain.layers[host.id].size)
            for host in fleet
            if host.id in chain.layers
        )
        for host in whole:
            assert (
                spec.kv_capacity_tokens(KINDS[host.kind], host.held.size)
                >= least * 0.999
            )

    def test_small_ranges_are_copied_first(self):
        """A copy that stands in for whole runners is worth most."""
        held = [
            Host("big", "z1", "large", LayerRange(0, 40)),
            Host("one", "z1", "small", LayerRange(40, 45)),
            Host("two", "z1", "small", LayerRange(45, 50)),
            Host("far", "z2", "small", LayerRange(40, 50)),
        ]
        spare = Host("spare", "z1", "small", None)
        copied = layers_to_copy(spare, held, engine())
        assert copied.first <= 40
        assert copied.end >= 50


class TestQuickTokens:
    def test_slow_runners_are_left_out_where_fast_ones_hold_all(self):
        """A token doesn't pass runners that gain it nothing."""
        fleet = hosts("z1", large=3, small=1)
        spec = engine(
            kv_token_bytes=300_000.0, per_sequence_ms=0.0, context_per_k_ms=0.0
        )
        chain = best_chains(fleet, spec)[0]
        assert all("large" in host_id for host_id in chain.layers)

    def test_few_requests_a_second_are_given_up(self):
        """Quicker tokens cost at most an eighth of what a chain could serve."""
        fleet = hosts("z1", large=2, medium=4, small=4)
        spec = engine(kv_token_bytes=1_180_000.0)
        kinds = [KINDS[host.kind] for host in fleet]
        most = max(
            chain_requests_per_s(kinds, counts, spec)
            for tokens in range(5_000, 120_000, 5_000)
            if (counts := split_layers(kinds, spec, kv_tokens=tokens))
        )
        assert best_chains(fleet, spec)[0].requests_per_s >= most * 7 / 8


class TestSplit:
    def test_split_is_whole_and_fits(self):
        """The counts add up to the model, within each runner's memory."""
        kinds = [KINDS["large"], KINDS["medium"], KINDS["medium"], KINDS["small"]]
        counts = split_layers(kinds, engine(), kv_tokens=5_000)
        assert sum(counts) == 80
        for kind, count in zip(kinds, counts, strict=True):
            assert count <= engine().max_layers(kind, kv_tokens=5_000)

    def test_fast_runners_hold_more(self):
        """Layers follow the speed where memory allows."""
        kinds = [KINDS["large"], KINDS["medium"], KINDS["small"]] * 4
        counts = split_layers(kinds, engine(), kv_tokens=1_000)
        assert counts[0] > counts[1] > counts[2]

    @given(
        kinds=st.lists(st.sampled_from(sorted(KINDS)), min_size=3, max_size=30),
        layer_mb=st.sampled_from([400.0, 1750.0]),
    )
    @settings(max_examples=40, deadline=None)
    def test_all_splits_are_weighed(self, kinds, layer_mb):
        """Each size of KV cache, power of speed and part left out counts."""
        spec = engine(layer_mb=layer_mb)
        chosen = sorted(
            (KINDS[kind] for kind in kinds), key=lambda one: one.step_factor
        )
        most_tokens = _chains._max_kv_tokens(chosen, spec)
        one_by_one = {
            tuple(counts)
            for left_out in _chains._EXCLUDED_FRACTIONS
            for power in _chains._SPEED_POWERS
            for part in _chains._KV_CACHE_FRACTIONS
            if (
                counts := split_layers(
                    chosen[: len(chosen) - int(left_out * len(chosen))],
                    spec,
                    kv_tokens=most_tokens * part,
                    speed_power=power,
                )
            )
        }
        weighed = _chains._candidate_splits(chosen, spec)
        assert {split.counts for split in weighed} == one_by_one
        for split in weighed:
            rate = chain_requests_per_s(chosen[: len(split.counts)], split.counts, spec)
            assert split.requests_per_s == rate

    def test_no_room(self):
        """Where the cache leaves too little, there is no split."""
        assert split_layers([KINDS["small"]] * 7, engine(), kv_tokens=50_000) is None


@pytest.fixture
def whole():
    """Provide the site with all layers held."""
    return placed(SITE, plan_placement(SITE, engine()))


class TestChanges:
    def test_whole_fleet_needs_no_orders(self, whole):
        """Nothing is ordered while nothing is missing."""
        assert plan_placement(whole, engine()) == {}

    def test_replacement_takes_the_place(self, whole):
        """An empty runner takes over what its zone lacks."""
        lost = next(host for host in whole if host.held and host.kind == "medium")
        rest = [host for host in whole if host.id != lost.id]
        new = lost._replace(id="new", held=None)
        plan = plan_placement([*rest, new], engine(), allow_repair=False)
        assert plan == {"new": lost.held}

    def test_replacement_waits_for_who_it_replaces(self, whole):
        """While nothing is lacking, an empty runner stays empty for a while."""
        new = Host("new", "z1", "medium", None)
        assert plan_placement([*whole, new], engine()) == {}
        plan = plan_placement([*whole, new], engine(), copy_candidates={"new"})
        assert plan.keys() == {"new"}
        assert_fits(placed([*whole, new], plan))

    def test_copies_move_to_a_hole(self, whole):
        """A runner that only holds copies takes over what is lacking."""
        copy = next(host for host in whole if host.held and host.kind == "medium")
        lost = sole_holder(whole, copy.availability_zone)
        fleet = [host for host in whole if host.id != lost.id]
        fleet.append(copy._replace(id="copy"))
        plan = plan_placement(fleet, engine(), allow_repair=False)
        assert len(plan) == 1
        assert lacking(placed(fleet, plan), copy.availability_zone) == set()

    def test_small_hole_is_taken_over_by_neighbours(self, whole):
        """Neighbours only add layers, so that nothing under way is disturbed."""
        lost = sole_holder(whole, "z1")
        fleet = [host for host in whole if host.id != lost.id]
        plan = plan_placement(fleet, engine())
        assert 1 <= len(plan) <= 2
        for host in fleet:
            if host.id in plan:
                assert set(range(*host.held)) <= set(range(*plan[host.id]))
        assert lacking(placed(fleet, plan), "z1") == set()
        assert_fits(placed(fleet, plan))

    def test_large_hole_divides_the_zone_anew(self, whole):
        """A zone without its largest runner is whole again all the same."""
        fleet = [host for host in whole if host.id != "z1-large-0"]
        plan = plan_placement(fleet, engine())
        assert all(host_id.startswith("z1") for host_id in plan)
        assert lacking(placed(fleet, plan), "z1") == set()
        assert_fits(placed(fleet, plan))

    def test_no_new_division_while_others_lack_layers(self, whole):
        """The last holders of layers are not taken away."""
        first = next(h for h in whole if h.availability_zone == "z2" and h.held)
        fleet = [h for h in whole if h.id not in ("z1-large-0", first.id)]
        fleet = [h for h in fleet if h.availability_zone != "z3"]
        held_before = set(range(80)) - lacking(fleet, "z1") - lacking(fleet, "z2")
        plan = plan_placement(fleet, engine())
        after = placed(fleet, plan)
        assert held_before <= set(range(80)) - (
            lacking(after, "z1") & lacking(after, "z2")
        )

    def test_one_round_of_losses_settles(self, whole):
        """Carried out, a plan asks for nothing more."""
        rng = random.Random(7)
        for _ in range(20):
            fleet = rng.sample(whole, len(whole) - 3)
            fleet = placed(fleet, plan_placement(fleet, engine()))
            fleet = placed(fleet, plan_placement(fleet, engine()))
            assert plan_placement(fleet, engine()) == {}

    def test_ranges_are_never_shrunk_for_a_hole_elsewhere(self, whole):
        """A zone that lacks nothing keeps its layers."""
        fleet = [host for host in whole if host.id != "z1-medium-0"]
        plan = plan_placement(fleet, engine())
        assert all(host_id.startswith("z1") for host_id in plan)
        assert LayerRange(0, 0) not in plan.values()


class TestLargeFleet:
    def test_whole_zones_are_not_gone_through_runner_by_runner(self, monkeypatch):
        """A list that changes doesn't hold an instance of 190 runners' zones up."""
        fleet = [
            host._replace(id=f"{n}-{host.id}", availability_zone=f"z{n}")
            for n in range(5)
            for host in hosts("z", large=4, medium=13, small=21)
        ]
        fleet = placed(fleet, plan_placement(fleet, engine()))
        asked = []
        monkeypatch.setattr(
            placement,
            "missing_layers",
            lambda host, *_: asked.append(host.id),
        )
        assert plan_placement(fleet, engine()) == {}
        assert asked == []
