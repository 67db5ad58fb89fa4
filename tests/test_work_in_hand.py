# SPDX-License-Identifier: MIT
"""Digests, crash suspicion and quarantine of a single call."""

from __future__ import annotations

import random

from router_fakes import FakeClient, make_call, make_routing
from routing_samples import runner
from violethatch import clocks, upstream
from violethatch.suspicion import End, WorkInHand
from violethatch.work_ids import prompt_part_id


A = runner("a", 0, 80)


def work_in_hand(routing, **changes):
    """Return a call's crash record."""
    return WorkInHand(routing, make_call(**changes), "clinic")


def record_crashes(routing, *lifetimes, has_begun=False):
    """Record crashes of servers under the sample request."""
    work = work_in_hand(routing).id
    for lifetime in lifetimes:
        routing.suspects.note(End(work, lifetime, has_begun, "i"), now_s=clocks.now_s())


class TestDigest:
    def test_body_is_digested_only_if_a_trait_is_suspected(self, monkeypatch):
        """A large body isn't digested without need, and only once otherwise."""
        digests = []
        real = upstream.work_id
        monkeypatch.setattr(
            upstream, "work_id", lambda **parts: digests.append(1) or real(**parts)
        )
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        work = work_in_hand(routing)
        assert not work.is_held
        assert work.suspected_trait is None
        assert work.held_back() is None
        work.answered()
        assert digests == []
        routing.suspects.note(End("0" * 32, "s", False, "i"), now_s=clocks.now_s())
        for _ in range(3):
            assert not work.is_held
            assert work.held_back() is None
        assert digests == [1]


class TestQuarantine:
    def test_retry_of_a_caller_has_the_same_id(self):
        """Ids and deadlines differ each time a caller retries."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        record_crashes(routing, "a", "b", "c")
        assert work_in_hand(routing, id="other", timeout_s=1.0).is_held
        assert not work_in_hand(routing, body=b"other").is_held

    def test_error_does_not_contain_the_body(self, capsys):
        """The error names works, servers and witnesses, but not the prompt."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        record_crashes(routing, "a", "b", "c")
        error = work_in_hand(routing).held_back()
        assert error.code == 1206
        assert "a menu" not in error.detail

    def test_short_retry_after_for_a_recently_suspected_part(self):
        """Responses to other requests clear an innocent part within a second."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        now_s = clocks.now_s()
        for name in "abc":
            end = End(prompt_part_id("5c1e07a2"), name, False, "i")
            routing.suspects.note(end, now_s=now_s)
        work = work_in_hand(routing, prompt_parts=("5c1e07a2",))
        assert work.held_back().retry_after_s == 1.0
        work_in_hand(routing, prompt_parts=("5c1e07a2",)).went_on()
        assert work.held_back() is None

    def test_only_one_trial_request_per_part(self, monkeypatch):
        """A trial starts after the quarantine has expired, and at one instance only."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        crashed_s = clocks.now_s() - 40.0
        for name in "abc":
            end = End(prompt_part_id("5c1e07a2"), name, False, "i")
            routing.suspects.note(end, now_s=crashed_s)
        first, second = (
            work_in_hand(routing, body=body, prompt_parts=("5c1e07a2",))
            for body in (b"1", b"2")
        )
        routing.may_try = lambda _trait: False
        assert first.held_back().retry_after_s == 10.0
        routing.may_try = lambda _trait: True
        assert not first.is_held
        assert not first.is_held
        assert second.is_held
        routing.suspects.note(
            End(prompt_part_id("5c1e07a2"), "d", False, "i"), now_s=clocks.now_s()
        )
        assert first.is_held

    async def test_crash_is_attributed_to_the_request(self):
        """A crash counts only if the server refuses connections."""
        client = FakeClient()
        routing = make_routing(client, A, rng=random.Random(1))
        assert not await work_in_hand(routing).lost(A, has_begun=False)
        assert not routing.suspects
        client.refusing_ids = {"a"}
        routing.ends._connected_s.clear()
        assert await work_in_hand(routing).lost(A, has_begun=False)
        assert work_in_hand(routing).suspected_trait is not None
        work_in_hand(routing).answered()
        assert not routing.suspects

    async def test_simultaneous_crashes_count_once(self):
        """Guards against a quarantine after one failure that affects a whole path.

        A request crashes one server at a time.  On two of ten days with faults, all six
        and seven runners of a path crashed at the same moment, and the request that was
        there was quarantined for that.
        """
        runners = [runner(f"r{n}", 10 * n, 10 * n + 10) for n in range(8)]
        client = FakeClient()
        client.refusing_ids = {server.id for server in runners}
        routing = make_routing(client, *runners, rng=random.Random(1))
        work = work_in_hand(routing)
        now_s = clocks.now_s()
        assert await work.lost_on_path(runners, since_s=now_s, has_begun=False)
        assert [end.lifetime for end in routing.suspects.ends(work.id)] == ["r0"]

    async def test_earlier_crash_is_not_attributed_to_the_request(self):
        """The request was sent along a path that was broken already."""
        client = FakeClient()
        client.refusing_ids = {"a"}
        routing = make_routing(client, A, rng=random.Random(1))
        assert await routing.ends.has_ended(A)
        work = work_in_hand(routing)
        since_s = clocks.now_s()
        assert await work.lost_on_path([A], since_s=since_s, has_begun=False)
        assert not routing.suspects

    async def test_server_restarts_before_it_is_probed(self):
        """The restart shows the crash, a heartbeat later."""
        before = A._replace(started_ms=1)
        routing = make_routing(FakeClient(), before, rng=random.Random(1))
        work = work_in_hand(routing)
        assert not await work.lost(before, has_begun=False)
        assert not routing.suspects
        routing.handle_restarts([before])
        assert [end.lifetime for end in routing.suspects.ends(work.id)] == ["a/1"]

    async def test_planned_restart_is_not_attributed(self):
        """The server had advertised its shutdown before it dropped the response."""
        before = A._replace(started_ms=1)
        routing = make_routing(FakeClient(), before, rng=random.Random(1))
        assert not await work_in_hand(routing).lost(before, has_begun=False)
        routing.handle_restarts([before._replace(is_leaving=True)])
        assert not routing.suspects

    async def test_late_restart_is_not_attributed(self, monkeypatch):
        """The response broke off then for another reason."""
        before = A._replace(started_ms=1)
        routing = make_routing(FakeClient(), before, rng=random.Random(1))
        assert not await work_in_hand(routing).lost(before, has_begun=False)
        now_s = clocks.now_s()
        monkeypatch.setattr(clocks, "now_s", lambda: now_s + 60.0)
        routing.handle_restarts([before])
        assert not routing.suspects

    def test_only_quarantined_traits_are_stored_again(self):
        """A suspected trait that was never quarantined costs no store call."""
        stored = []
        for lifetimes in ("ab", "abc"):
            routing = make_routing(FakeClient(), A, rng=random.Random(1))
            routing.store_hold = stored.append
            record_crashes(routing, *lifetimes)
            work_in_hand(routing).answered()
            assert not routing.suspects
        assert stored == [work_in_hand(routing).id]

    def test_advanced_response_is_not_suspected(self):
        """A request whose response was well under way at a crash continues normally."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        record_crashes(routing, "a", has_begun=True)
        assert work_in_hand(routing).suspected_trait is None
