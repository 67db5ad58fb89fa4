# SPDX-License-Identifier: MIT
"""Load balancing over a plain service's servers."""

from __future__ import annotations

import random

from routing_samples import plain_server
from violethatch.server_choice import ServerChoice
from violethatch.upstream import ServerLoad


SERVERS = [plain_server("a"), plain_server("b"), plain_server("c")]


def choose(choice, *, avoided=(), now_s=0.0, servers=SERVERS, zone="z1"):
    """Return the id of the chosen server."""
    return choice.choose(servers, zone=zone, avoided=avoided, now_s=now_s).id


class TestServerChoice:
    def test_own_calls_are_distributed(self):
        """Calls in flight are distributed over the servers."""
        choice = ServerChoice(random.Random(1))
        chosen = []
        for _ in range(6):
            chosen.append(choose(choice))
            choice.started(chosen[-1])
        assert sorted(chosen) == ["a", "a", "b", "b", "c", "c"]

    def test_reported_load_expires(self):
        """A server that reported a high load is avoided for a while."""
        choice = ServerChoice(random.Random(1))
        for name in ("a", "b"):
            choice.started(name)
            choice.ended(name, ServerLoad(running=5, waiting=1, slots=6), now_s=0.0)
        assert {choose(choice, now_s=0.1) for _ in range(9)} == {"c"}
        assert {choose(choice, now_s=5.0) for _ in range(50)} == {"a", "b", "c"}

    def test_load_is_proportional_to_slots(self):
        """Load is proportional to the number of slots."""
        choice = ServerChoice(random.Random(1))
        servers = [plain_server("big", slots=12), plain_server("small", slots=3)]
        for _ in range(10):
            choice.started(choose(choice, servers=servers))
        assert choice._own_calls["big"] == 8

    def test_avoided_server_is_last_resort(self):
        """An avoided server is used if there is no other."""
        choice = ServerChoice(random.Random(1))
        assert choose(choice, avoided={"a", "b"}) == "c"
        assert choose(choice, avoided={"a", "b", "c"}) in "abc"
        assert choice.choose([], zone="z1", avoided=(), now_s=0.0) is None

    def test_local_zone_is_preferred(self):
        """Links between zones are only used if that reduces the load."""
        choice = ServerChoice(random.Random(1))
        servers = [SERVERS[0], plain_server("remote", availability_zone="z2")]
        for _ in range(2):
            assert choose(choice, servers=servers) == "a"
            choice.started("a")
        choice.started("a")
        assert choose(choice, servers=servers) == "remote"
        assert choose(choice, servers=servers, avoided={"a"}) == "remote"
