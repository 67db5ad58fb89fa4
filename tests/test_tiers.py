# SPDX-License-Identifier: MIT
"""Quick cards together, the others behind them."""

from __future__ import annotations

import random

import pytest

from hypothesis import given, settings
from hypothesis import strategies as st

from routing_samples import engine
from test_placement import hosts
from violethatch._chains import Chain, best_chains
from violethatch._tiers import tiered_chains, usual_token_ms
from violethatch.engine_model import AcceleratorKind


#: A site of unlike cards: few that are five times as quick as the others.
KINDS = {
    "large": AcceleratorKind(36_000.0, 3.1, 3.2),
    "medium": AcceleratorKind(21_600.0, 16.0, 8.2),
    "small": AcceleratorKind(14_400.0, 15.0, 15.0),
}
SPEC = engine(
    kinds=KINDS,
    kv_token_bytes=656_000.0,
    step_ms=0.85,
    per_sequence_ms=0.00424,
    context_per_k_ms=0.0057,
    prefill_tokens_per_s=353_000.0,
    usual_prompt_tokens=761.0,
    usual_answer_tokens=138.0,
)
ZONE = hosts("z1", large=4, medium=9, small=14)


def rate(chains):
    """Return the requests a second of all chains."""
    return sum(chain.requests_per_s for chain in chains)


def stream_s(chains, load, *, spec=SPEC):
    """Return how long streams take on average at a load, quick chains first."""
    return usual_token_ms(chains, load) * spec.usual_answer_tokens / 1000.0


class TestTiers:
    def test_few_are_under_way_when_something_fails(self):
        """At the load that the zone usually has streams end in half of the time."""
        load = 0.4 * rate(best_chains(ZONE, SPEC))
        dealt = stream_s(best_chains(ZONE, SPEC), load)
        tiers = stream_s(tiered_chains(ZONE, SPEC), load)
        assert tiers < 0.6 * dealt

    def test_quick_cards_stand_together(self):
        """The quickest chain has all of the quickest cards."""
        quickest = min(tiered_chains(ZONE, SPEC), key=lambda one: one.token_ms)
        large = {host.id for host in ZONE if host.kind == "large"}
        assert large <= quickest.layers.keys()

    def test_alike_cards_are_dealt_as_before(self):
        """Where no card is quicker than others nothing is won by tiers."""
        fleet = hosts("z1", medium=24)
        assert rate(tiered_chains(fleet, SPEC)) >= rate(best_chains(fleet, SPEC))

    @pytest.mark.parametrize("counts", [(1, 3, 8), (1, 6, 5), (2, 2, 5)])
    def test_spares_are_not_given_for_hardly_quicker_tokens(self, counts):
        """Runners left over hold copies, which a zone needs when one is lost."""
        large, medium, small = counts
        fleet = hosts("z1", large=large, medium=medium, small=small)
        assert tiered_chains(fleet, engine()) == best_chains(fleet, engine())

    @settings(max_examples=25, deadline=None)
    @given(st.integers(0, 6), st.integers(0, 14), st.integers(0, 14))
    def test_no_request_a_second_is_given_up(self, large, medium, small):
        """Whatever the cards: no fewer requests, no runner in two chains."""
        fleet = hosts("z1", large=large, medium=medium, small=small)
        random.Random(large).shuffle(fleet)
        chains = tiered_chains(fleet, SPEC)
        assert rate(chains) >= rate(best_chains(fleet, SPEC))
        used = [host_id for chain in chains for host_id in chain.layers]
        assert len(used) == len(set(used))


class TestUsualTokenTime:
    def test_quick_chains_are_filled_first(self):
        """What the quick ones have no room for takes the others' time."""
        chains = [Chain({}, 50.0, 16.0, 90.0), Chain({}, 50.0, 4.0, 90.0)]
        assert usual_token_ms(chains, 30.0) == pytest.approx(4.0)
        assert usual_token_ms(chains, 60.0) == pytest.approx(10.0)

    def test_load_beyond_all_takes_the_slowest(self):
        """An overload is not made to look quick."""
        chains = [Chain({}, 10.0, 4.0, 90.0)]
        assert usual_token_ms(chains, 1000.0) == pytest.approx(4.0)
