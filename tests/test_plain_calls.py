# SPDX-License-Identifier: MIT
"""Calls to plain services: whole answers, and no second run."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

import virtual_time

from router_fakes import (
    ANSWER_LOST,
    FakeAnswer,
    FakeClient,
    FakeResponder,
    admitted,
    make_call,
    make_routing,
    refused_answer,
)
from routing_samples import call_route, plain_server
from signaling_servers import measure_loop_lag
from violethatch import clocks
from violethatch._plain_calls import PlainCall
from violethatch.desired import CallKind, Split
from violethatch.errors import (
    DeadlineError,
    OverloadedError,
    ServiceLostError,
    ServiceUnreachableError,
)
from violethatch.forwarding import MustForwardError
from violethatch.upstream import NotSentError


SERVERS = (plain_server("a"), plain_server("b"), plain_server("c"))
#: Tries of what a standstill of this machine may hide.
MAX_TRIES = 5


def ready_after(answer, wait_s):
    """Return an answer that comes over a socket, also while the loop stands still."""

    async def come():
        await asyncio.to_thread(time.sleep, wait_s)
        return answer

    return come


def stand_still(*, after_s, for_s):
    """Let the event loop stand still."""
    asyncio.get_running_loop().call_later(after_s, time.sleep, for_s)


class NoForwarding:
    """Stands in for handing calls to other instances."""

    def __init__(self, *, has_peer):
        self._has_peer = has_peer

    def has_peer(self, _service):
        return self._has_peer


def iter_answers(*answers, wait_s=0.0):
    """Return a check of links with these answers, the last one time after time."""
    left = list(answers)

    async def settled(_service):
        if len(left) == 1:
            await asyncio.sleep(wait_s)
        return left.pop(0) if len(left) > 1 else left[0]

    return settled


async def no_retry(_service):
    """Stand in for a retry budget that is spent."""
    return False


async def serve(
    client,
    *,
    kind=CallKind.SAFE,
    servers=SERVERS,
    wait_s=5.0,
    target_s=0.05,
    may_retry=None,
    **changes,
):
    """Serve a call; return what the caller got."""
    route = call_route(
        kind=kind,
        is_resumable=False,
        splits=(Split("labels", 1.0),),
        target_latency_s=target_s,
        **changes,
    )
    routing = make_routing(client, *servers, rng=random.Random(1))
    routing.retries.acquire_retry = may_retry or routing.retries.acquire_retry
    call = PlainCall(routing, make_call(timeout_s=wait_s), admitted(route))
    responder = FakeResponder()
    async with asyncio.timeout(10):
        await call.serve(responder)
    return responder


def unanswered_call(*, target_s, wait_s, kind=CallKind.ONCE):
    """Return a call that gets no answer, and its routing."""
    routing = make_routing(FakeClient(asyncio.Event()), *SERVERS, rng=random.Random(1))
    route = call_route(
        kind=kind,
        is_resumable=False,
        splits=(Split("labels", 1.0),),
        target_latency_s=target_s,
    )
    return PlainCall(routing, make_call(timeout_s=wait_s), admitted(route)), routing


class TestSafe:
    async def test_answer_passes_unchanged(self):
        """Status, headers and body are the server's."""
        got = await serve(FakeClient(FakeAnswer(b"ab", b"c", status=201)))
        assert (got.status, got.body, got.headers) == (201, b"abc", (("Proof", "one"),))

    async def test_lost_answer_is_asked_for_elsewhere(self):
        """A call that may run twice goes to another server."""
        client = FakeClient(FakeAnswer(b"a", ANSWER_LOST), FakeAnswer(b"abc"))
        got = await serve(client)
        assert got.body == b"abc"
        assert len({send.server.id for send in client.sends}) == 2

    async def test_failure_is_tried_again_and_then_passed_on(self):
        """The last failure reaches the caller with its proof."""
        client = FakeClient(
            FakeAnswer(b"one", status=500), FakeAnswer(b"two", status=500)
        )
        got = await serve(client)
        assert (got.status, got.body, len(client.sends)) == (500, b"two", 2)

    async def test_slow_server_is_given_up_on(self):
        """Once the answer would be late anyway, another server is asked."""
        client = FakeClient(asyncio.Event(), FakeAnswer(b"abc"))
        got = await serve(client, wait_s=0.5)
        assert got.body == b"abc"

    async def test_silent_server_is_left_alone_by_others(self):
        """Also where the call may run once only, and its caller's time ends first."""
        call, routing = unanswered_call(target_s=0.05, wait_s=0.3)
        serving = asyncio.create_task(call.serve(FakeResponder()))
        await asyncio.sleep(0.2)
        assert len(routing.health.in_cooldown(now_s=clocks.now_s())) == 1
        with pytest.raises(DeadlineError):
            await serving
        assert len(routing.health.in_cooldown(now_s=clocks.now_s())) == 1

    async def test_server_that_is_silent_past_its_target_is_sent_to(self):
        """The caller's time ends between the target and twice as much."""
        for _ in range(MAX_TRIES):
            call, routing = unanswered_call(target_s=0.1, wait_s=0.15)
            began_s = clocks.now_s()
            async with measure_loop_lag() as lag:
                with pytest.raises(DeadlineError):
                    await call.serve(FakeResponder())
            # The target counts running time, the caller's limit doesn't.
            if lag.stalled_s(began_s, clocks.now_s()) < 0.04:
                break
        assert len(routing.health.in_cooldown(now_s=clocks.now_s())) == 1

    async def test_standstill_is_no_silence_of_the_server(self):
        """The target is not over where the loop stood still for most of the time."""
        call, routing = unanswered_call(target_s=0.1, wait_s=0.15)
        asyncio.get_running_loop().call_later(0.02, time.sleep, 0.12)
        with pytest.raises(DeadlineError):
            await call.serve(FakeResponder())
        assert not routing.health.in_cooldown(now_s=clocks.now_s())

    async def test_caller_s_short_time_says_nothing(self):
        """A server that had less time than its target is not left alone."""
        call, routing = unanswered_call(target_s=0.5, wait_s=0.05)
        with pytest.raises(DeadlineError):
            await call.serve(FakeResponder())
        assert not routing.health.in_cooldown(now_s=clocks.now_s())

    async def test_refusals_cost_no_attempt(self):
        """Servers that have not run the call don't use up its attempts."""
        client = FakeClient(refused_answer(), refused_answer(), FakeAnswer(b"abc"))
        assert (await serve(client)).body == b"abc"

    async def test_unframed_answer_is_not_called_whole(self):
        """An answer without a length is passed on without one."""
        got = await serve(FakeClient(FakeAnswer(b"abc", is_framed=False)))
        assert got.is_framed is False

    async def test_answer_that_stalls_counts_once(self):
        """A body that doesn't end uses up one attempt, not two."""
        client = FakeClient(
            FakeAnswer(b"a", asyncio.Event()),
            FakeAnswer(b"b", asyncio.Event()),
            FakeAnswer(b"abc"),
        )
        got = await serve(client, wait_s=2.0, max_attempts=3)
        assert (got.body, len(client.sends)) == (b"abc", 3)


class TestOnce:
    async def test_lost_answer_is_not_sent_again(self):
        """A call that may have run is not repeated, nor said not to have run."""
        client = FakeClient(FakeAnswer(ANSWER_LOST))
        with pytest.raises(ServiceLostError) as caught:
            await serve(client, kind=CallKind.ONCE)
        assert (len(client.sends), caught.value.ran) == (1, "maybe")

    async def test_refused_call_goes_elsewhere(self):
        """A server's word that nothing ran allows another send."""
        client = FakeClient(refused_answer(), NotSentError("no"), FakeAnswer(b"abc"))
        got = await serve(client, kind=CallKind.ONCE, max_attempts=1)
        assert got.body == b"abc"

    async def test_connections_are_fresh(self):
        """No rested connection is used, whose close would leave it open."""
        client = FakeClient(FakeAnswer(b"abc"))
        await serve(client, kind=CallKind.ONCE)
        assert client.sends[0].needs_new_connection

    async def test_failure_is_passed_on_at_once(self):
        """A failure is the answer."""
        got = await serve(FakeClient(FakeAnswer(b"no", status=500)), kind=CallKind.ONCE)
        assert got.status == 500

    @pytest.mark.parametrize("status", [408, 429, 503])
    async def test_failure_that_would_say_not_run(self, status):
        """A server's status that means "not run" isn't passed on for a run."""
        client = FakeClient(FakeAnswer(b"no", status=status))
        with pytest.raises(ServiceLostError) as caught:
            await serve(client, kind=CallKind.ONCE)
        assert caught.value.ran == "maybe"
        assert str(status) in caught.value.detail

    async def test_deadline_says_maybe(self):
        """Out of time, it is not said that nothing ran."""
        with pytest.raises(DeadlineError) as caught:
            await serve(FakeClient(asyncio.Event()), kind=CallKind.ONCE, wait_s=0.1)
        assert caught.value.ran == "maybe"


class TestSilence:
    """The first send is silent past the route's target; its server goes on."""

    async def test_answer_is_dropped_without_budget_for_another(self):
        """Without a second send there is only the first to wait for."""
        client = FakeClient(ready_after(FakeAnswer(b"abc"), 0.4))
        got = await serve(client, wait_s=1.0, may_retry=no_retry)
        assert (got.body, len(client.sends)) == (b"abc", 1)

    async def test_answer_is_dropped_without_another_server(self):
        """The only server that is listed refuses the second send."""
        client = FakeClient(ready_after(FakeAnswer(b"abc"), 0.4), refused_answer())
        got = await serve(client, wait_s=1.0, servers=SERVERS[:1])
        assert got.body == b"abc"

    @pytest.mark.parametrize(
        "second",
        [
            asyncio.Event(),
            ANSWER_LOST,
            FakeAnswer(b"no", status=500),
            NotSentError("no"),
        ],
    )
    async def test_answer_is_dropped_for_one_that_does_not_come(self, second):
        """A second send that fails or is silent leaves the first one's answer."""
        client = FakeClient(
            ready_after(FakeAnswer(b"abc"), 0.6), second, ANSWER_LOST, ANSWER_LOST
        )
        got = await serve(client, wait_s=1.0)
        assert (got.status, got.body) == (200, b"abc")

    @pytest.mark.parametrize("has_peer", [True, False])
    async def test_answer_is_dropped_without_an_instance_to_forward_to(self, has_peer):
        """The links are believed lost while the first server still works."""
        call, routing = unanswered_call(target_s=0.05, wait_s=1.0, kind=CallKind.SAFE)
        routing.client.answers = [ready_after(FakeAnswer(b"abc"), 0.6)]
        routing.forwarding = NoForwarding(has_peer=has_peer)
        routing.link_watch.settled = iter_answers(False, True)
        responder = FakeResponder()
        if has_peer:
            with pytest.raises(MustForwardError):
                await call.serve(responder)
            assert call.runs == 1
        else:
            await call.serve(responder)
            assert responder.body == b"abc"

    async def test_answer_is_dropped_that_comes_during_a_check_of_the_links(self):
        """It is there when the links are found lost."""
        call, routing = unanswered_call(target_s=0.05, wait_s=0.6, kind=CallKind.SAFE)
        routing.client.answers = [ready_after(FakeAnswer(b"abc"), 0.3)]
        routing.forwarding = NoForwarding(has_peer=True)
        routing.link_watch.settled = iter_answers(False, True, wait_s=0.2)
        responder = FakeResponder()
        await call.serve(responder)
        assert responder.body == b"abc"

    async def test_slower_send_goes_on_after_the_answer(self):
        """Once one server has answered, the other one's work is broken off."""
        slow = FakeAnswer(b"a", asyncio.Event())
        await serve(FakeClient(slow, FakeAnswer(b"abc")), wait_s=0.5)
        await asyncio.sleep(0)
        assert slow.closed is False

    async def test_sends_go_on_after_the_caller_left(self):
        """Both servers' work is broken off."""
        answers = [FakeAnswer(b"a", asyncio.Event()) for _ in range(2)]
        client = FakeClient(*answers)
        serving = asyncio.create_task(serve(client, wait_s=0.5))
        while len(client.sends) < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        serving.cancel()
        await asyncio.wait([serving])
        await asyncio.sleep(0)
        assert [one.closed for one in answers] == [False, False]

    async def test_answer_that_came_in_the_last_moment_is_dropped(self):
        """Two sends end at once: the answer counts, not the failure."""
        come = asyncio.Event()

        async def answered():
            await come.wait()
            return FakeAnswer(b"abc")

        async def failed():
            await come.wait()
            return FakeAnswer(b"no", status=500)

        asyncio.get_running_loop().call_later(0.4, come.set)
        got = await serve(FakeClient(answered, failed), wait_s=1.0)
        assert got.body == b"abc"


class TestStandstill:
    """The instance stands still while an answer comes."""

    @pytest.mark.parametrize("for_s", [0.6, 2.5])
    async def test_own_standstill_is_taken_for_silence(self, for_s):
        """Nothing is sent again, and no server is reported as silent."""
        call, routing = unanswered_call(target_s=0.3, wait_s=4.0, kind=CallKind.SAFE)
        routing.client.answers = [ready_after(FakeAnswer(b"abc"), 0.2), ANSWER_LOST]
        told = []
        routing.broadcast_fault_report = told.append
        responder = FakeResponder()
        stand_still(after_s=0.1, for_s=for_s)
        await call.serve(responder)
        assert (responder.body, len(routing.client.sends)) == (b"abc", 1)
        assert not told

    @pytest.mark.parametrize("kind", [CallKind.ONCE, CallKind.SAFE])
    async def test_answer_is_dropped_at_a_deadline_in_a_standstill(self, kind):
        """What came before the deadline is read and given."""
        client = FakeClient(ready_after(FakeAnswer(b"abc"), 0.1))
        stand_still(after_s=0.05, for_s=0.6)
        got = await serve(client, kind=kind, wait_s=0.3, target_s=0.2)
        assert (got.body, len(client.sends)) == (b"abc", 1)

    async def test_standstill_prolongs_the_deadline(self):
        """Without an answer the call ends soon after the instance goes on."""
        began_s = clocks.now_s()
        stand_still(after_s=0.05, for_s=0.6)
        with pytest.raises(DeadlineError):
            await serve(FakeClient(asyncio.Event()), kind=CallKind.ONCE, wait_s=0.3)
        assert clocks.now_s() - began_s < 0.8


class TestDeadline:
    @pytest.fixture
    def late_clock(self, monkeypatch):
        """Return a function that runs a test's work on a clock 0.4 ms behind timers."""

        async def with_late_clock(work):
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            monkeypatch.setattr(
                clocks, "now_s", lambda: began_s + (loop.time() - began_s) * 0.999
            )
            await work()

        return lambda work: virtual_time.run(lambda: with_late_clock(work), monkeypatch)

    def test_time_limit_is_reported_as_lost_answer(self, late_clock):
        """A timer that ends within the clock's last millisecond is the deadline's."""

        async def work():
            with pytest.raises(DeadlineError):
                await serve(FakeClient(asyncio.Event()), kind=CallKind.ONCE, wait_s=0.4)

        late_clock(work)

    @pytest.mark.parametrize(
        ("wait_s", "limit"),
        [(0.1, "the caller's time limit"), (5.0, "the route's timeout of 0.2 s")],
    )
    async def test_line_does_not_tell_whose_limit_it_was(self, wait_s, limit):
        """A short timeout of the route and an impatient caller look alike."""
        with pytest.raises(DeadlineError) as caught:
            await serve(
                FakeClient(asyncio.Event()),
                kind=CallKind.ONCE,
                wait_s=wait_s,
                timeout_s=0.2,
            )
        assert limit in caught.value.detail

    def test_call_is_sent_again_at_its_deadline(self, late_clock):
        """No server gets a call that has no time left."""
        client = FakeClient(asyncio.Event(), asyncio.Event())

        async def work():
            with pytest.raises(DeadlineError):
                await serve(client, wait_s=0.4, target_s=0.5)

        late_clock(work)
        assert len(client.sends) == 1


class TestRefused:
    async def test_all_full(self):
        """The caller hears that nothing ran, and when to come back."""
        with pytest.raises(OverloadedError) as caught:
            await serve(FakeClient(*(refused_answer() for _ in range(4))))
        assert caught.value.ran == "no"
        assert caught.value.retry_after_s is not None

    async def test_nobody_listed(self):
        """Without any server the refusal says so."""
        with pytest.raises(ServiceUnreachableError) as caught:
            await serve(FakeClient(), servers=())
        assert caught.value.ran == "no"
