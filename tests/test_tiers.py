# SPDX-License-Identifier: MIT
"""Tiers of fast and slow accelerators."""

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


#: Several kinds of accelerators: a few are five times as fast as the others.
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


def total_rate(chains):
    """Return the total throughput of chains, in requests per second."""
    return sum(chain.requests_per_s for chain in chains)


def stream_s(chains, load, *, spec=SPEC):
    """Return the mean duration of streams at a load, in seconds."""
    return usual_token_ms(chains, load) * spec.usual_answer_tokens / 1000.0


class TestTiers:
    def test_streams_are_shorter_at_usual_load(self):
        """Guards against long streams, of which more are in flight at a failure."""
        load = 0.4 * total_rate(best_chains(ZONE, SPEC))
        even = stream_s(best_chains(ZONE, SPEC), load)
        tiers = stream_s(tiered_chains(ZONE, SPEC), load)
        assert tiers < 0.6 * even

    def test_fast_accelerators_share_a_chain(self):
        """The fastest chain has all of the fastest accelerators."""
        fastest = min(tiered_chains(ZONE, SPEC), key=lambda chain: chain.token_ms)
        large = {host.id for host in ZONE if host.kind == "large"}
        assert large <= fastest.layers.keys()

    def test_equal_accelerators_lose_no_throughput(self):
        """Tiers have no benefit without faster accelerators."""
        fleet = hosts("z1", medium=24)
        assert total_rate(tiered_chains(fleet, SPEC)) >= total_rate(
            best_chains(fleet, SPEC)
        )

    @pytest.mark.parametrize("counts", [(1, 3, 8), (1, 6, 5), (2, 2, 5)])
    def test_spares_take_precedence_over_small_gains(self, counts):
        """Spare runners are replicas, which a zone needs at the loss of a runner."""
        large, medium, small = counts
        fleet = hosts("z1", large=large, medium=medium, small=small)
        assert tiered_chains(fleet, engine()) == best_chains(fleet, engine())

    @settings(max_examples=25, deadline=None)
    @given(st.integers(0, 6), st.integers(0, 14), st.integers(0, 14))
    def test_throughput_is_not_reduced(self, large, medium, small):
        """Guards against lower throughput, and a runner in two chains."""
        fleet = hosts("z1", large=large, medium=medium, small=small)
        random.Random(large).shuffle(fleet)
        chains = tiered_chains(fleet, SPEC)
        assert total_rate(chains) >= total_rate(best_chains(fleet, SPEC))
        used = [host_id for chain in chains for host_id in chain.layers]
        assert len(used) == len(set(used))


class TestUsualTokenTime:
    def test_fast_chains_are_used_first(self):
        """The excess of the fast chains has the token time of the others."""
        chains = [Chain({}, 50.0, 16.0, 90.0), Chain({}, 50.0, 4.0, 90.0)]
        assert usual_token_ms(chains, 30.0) == pytest.approx(4.0)
        assert usual_token_ms(chains, 60.0) == pytest.approx(10.0)

    def test_excess_load_has_slowest_token_time(self):
        """Guards against an underestimated token time in overload."""
        chains = [Chain({}, 10.0, 4.0, 90.0)]
        assert usual_token_ms(chains, 1000.0) == pytest.approx(4.0)
