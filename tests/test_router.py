# SPDX-License-Identifier: MIT
"""When callers are sent to an instance."""

from __future__ import annotations

import random

import pytest

from router_fakes import FakeClient, settings
from routing_samples import desired_state
from violethatch import clocks
from violethatch._router import Router


def router(*, proof_age_s):
    """Return a router with a desired state whose proof is so old."""
    made = Router(settings(), client=FakeClient(), decoder=None, rng=random.Random(1))
    made.desired = desired_state()
    made.freshness.proven(clocks.now_s() - proof_age_s)
    return made


class TestReadiness:
    @pytest.mark.parametrize(
        ("proof_age_s", "is_ready"), [(0.0, True), (3.0, True), (3.5, False)]
    )
    def test_callers_are_sent_elsewhere_before_they_are_refused(
        self, proof_age_s, is_ready
    ):
        """The balancer takes some seconds; calls are taken up to 4.25 s."""
        made = router(proof_age_s=proof_age_s)
        assert made.is_ready is is_ready
        assert made.freshness.is_fresh(now_s=clocks.now_s())

    def test_known_loads_are_shown(self):
        """Operators see how many instances' loads are known, and how old that is."""
        made = router(proof_age_s=0.0)
        made.show_state()
        gauge = made.metrics.instances_summed
        assert gauge.get({}) == 1
        assert made.metrics.load_age_s.get({}) == -1.0
        assert made.state()["load_instances"] == 1
