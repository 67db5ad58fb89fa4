# SPDX-License-Identifier: MIT
"""A call's work, its digest and its refusal."""

from __future__ import annotations

import random

from router_fakes import FakeClient, make_call, make_routing
from routing_samples import runner
from violethatch import clocks, upstream
from violethatch.suspicion import End, WorkInHand
from violethatch.work_ids import prompt_part_id


A = runner("a", 0, 80)


def work_in_hand(routing, **changes):
    """Return a call's work."""
    return WorkInHand(routing, make_call(**changes), "clinic")


def noted(routing, *lifetimes, has_begun=False):
    """Let servers end under the sample work."""
    work = work_in_hand(routing).id
    for one in lifetimes:
        routing.suspects.note(End(work, one, has_begun, "i"), now_s=clocks.now_s())


class TestDigest:
    def test_no_body_is_digested_while_nothing_is_suspected(self, monkeypatch):
        """A large body costs nothing then, and is digested once afterwards."""
        made = []
        real = upstream.work_id
        monkeypatch.setattr(
            upstream, "work_id", lambda **parts: made.append(1) or real(**parts)
        )
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        work = work_in_hand(routing)
        assert not work.is_held
        assert work.suspected_trait is None
        assert work.held_back() is None
        work.answered()
        assert made == []
        routing.suspects.note(End("0" * 32, "s", False, "i"), now_s=clocks.now_s())
        for _ in range(3):
            assert not work.is_held
            assert work.held_back() is None
        assert made == [1]


class TestHeld:
    def test_new_attempt_is_the_same_work(self):
        """Ids and deadlines are new each time a caller comes back."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        noted(routing, "a", "b", "c")
        assert work_in_hand(routing, id="other", timeout_s=1.0).is_held
        assert not work_in_hand(routing, body=b"other").is_held

    def test_lines_tell_nothing_of_the_body(self, capsys):
        """The refusal's line names works, servers and witnesses."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        noted(routing, "a", "b", "c")
        error = work_in_hand(routing).held_back()
        assert error.code == 1206
        assert "a menu" not in error.detail

    def test_caller_with_a_young_suspected_part_comes_back_soon(self):
        """Answers to others clear a part that was in bad company within a second."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        now_s = clocks.now_s()
        for name in "abc":
            end = End(prompt_part_id("5c1e07a2"), name, False, "i")
            routing.suspects.note(end, now_s=now_s)
        work = work_in_hand(routing, prompt_parts=("5c1e07a2",))
        assert work.held_back().retry_after_s == 1.0
        work_in_hand(routing, prompt_parts=("5c1e07a2",)).went_on()
        assert work.held_back() is None

    def test_part_is_tried_by_one_request(self, monkeypatch):
        """Once its time is over, and at one instance only."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        then_s = clocks.now_s() - 40.0
        for name in "abc":
            end = End(prompt_part_id("5c1e07a2"), name, False, "i")
            routing.suspects.note(end, now_s=then_s)
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

    async def test_ended_server_is_put_down_to_the_work(self):
        """Only if it refuses connections."""
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

    async def test_servers_that_end_together_count_once(self):
        """A request ends one server at a time.

        On two of ten days with troubles all of a path's six and seven runners ended at
        the same moment, and the request that was there was held back for that.
        """
        runners = [runner(f"r{n}", 10 * n, 10 * n + 10) for n in range(8)]
        client = FakeClient()
        client.refusing_ids = {one.id for one in runners}
        routing = make_routing(client, *runners, rng=random.Random(1))
        work = work_in_hand(routing)
        now_s = clocks.now_s()
        assert await work.lost_on_path(runners, since_s=now_s, has_begun=False)
        assert [end.lifetime for end in routing.suspects.ends(work.id)] == ["r0"]

    async def test_server_that_had_ended_before_is_put_down_to_others(self):
        """It came to a path that was broken already."""
        client = FakeClient()
        client.refusing_ids = {"a"}
        routing = make_routing(client, A, rng=random.Random(1))
        assert await routing.ends.has_ended(A)
        work = work_in_hand(routing)
        since_s = clocks.now_s()
        assert await work.lost_on_path([A], since_s=since_s, has_begun=False)
        assert not routing.suspects

    async def test_server_that_is_back_before_it_is_asked(self):
        """Its new start shows that it had ended, a heartbeat later."""
        before = A._replace(started_ms=1)
        routing = make_routing(FakeClient(), before, rng=random.Random(1))
        work = work_in_hand(routing)
        assert not await work.lost(before, has_begun=False)
        assert not routing.suspects
        routing.handle_restarts([before])
        assert [end.lifetime for end in routing.suspects.ends(work.id)] == ["a/1"]

    async def test_planned_new_start_is_put_down_to_nobody(self):
        """It had said that it leaves when it broke the rest off."""
        before = A._replace(started_ms=1)
        routing = make_routing(FakeClient(), before, rng=random.Random(1))
        assert not await work_in_hand(routing).lost(before, has_begun=False)
        routing.handle_restarts([before._replace(is_leaving=True)])
        assert not routing.suspects

    async def test_new_start_long_after_is_put_down_to_nobody(self, monkeypatch):
        """The answer that broke off then had another cause."""
        before = A._replace(started_ms=1)
        routing = make_routing(FakeClient(), before, rng=random.Random(1))
        assert not await work_in_hand(routing).lost(before, has_begun=False)
        now_s = clocks.now_s()
        monkeypatch.setattr(clocks, "now_s", lambda: now_s + 60.0)
        routing.handle_restarts([before])
        assert not routing.suspects

    def test_only_what_was_held_is_stored_again(self):
        """A work that was in bad company twice costs no call of the store."""
        kept = []
        for lifetimes in ("ab", "abc"):
            routing = make_routing(FakeClient(), A, rng=random.Random(1))
            routing.store_hold = kept.append
            noted(routing, *lifetimes)
            work_in_hand(routing).answered()
            assert not routing.suspects
        assert kept == [work_in_hand(routing).id]

    def test_begun_elsewhere_is_no_suspect(self):
        """What was well on its way goes on like the rest."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        noted(routing, "a", has_begun=True)
        assert work_in_hand(routing).suspected_trait is None
