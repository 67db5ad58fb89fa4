# SPDX-License-Identifier: MIT
"""Calls to plain services: complete responses, retries, hedging and deadlines."""

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
#: Max tries of a check that a stall of the test machine can invalidate.
MAX_TRIES = 5


def delayed_response(answer, wait_s):
    """Return a delayed response that arrives also while the event loop is stalled."""

    async def respond():
        await asyncio.to_thread(time.sleep, wait_s)
        return answer

    return respond


def stall_loop(*, after_s, for_s):
    """Stall the event loop."""
    asyncio.get_running_loop().call_later(after_s, time.sleep, for_s)


class FakeForwarding:
    """Fake forwarding to other instances."""

    def __init__(self, *, has_peer):
        self._has_peer = has_peer

    def has_peer(self, _service):
        return self._has_peer


def link_check_results(*answers, wait_s=0.0):
    """Return a link check with these results, repeating the last one."""
    results = list(answers)

    async def settled(_service):
        if len(results) == 1:
            await asyncio.sleep(wait_s)
        return results.pop(0) if len(results) > 1 else results[0]

    return settled


async def reject_retry(_service):
    """Fake an exhausted retry budget."""
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
    """Serve a call; return the caller's responder."""
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


def call_without_response(*, target_s, wait_s, kind=CallKind.ONCE):
    """Return a call without a response, and its routing."""
    routing = make_routing(FakeClient(asyncio.Event()), *SERVERS, rng=random.Random(1))
    route = call_route(
        kind=kind,
        is_resumable=False,
        splits=(Split("labels", 1.0),),
        target_latency_s=target_s,
    )
    return PlainCall(routing, make_call(timeout_s=wait_s), admitted(route)), routing


class TestRepeatableCalls:
    async def test_response_is_forwarded_unchanged(self):
        """Status, headers and body are forwarded as received."""
        got = await serve(FakeClient(FakeAnswer(b"ab", b"c", status=201)))
        assert (got.status, got.body, got.headers) == (201, b"abc", (("Proof", "one"),))

    async def test_lost_response_is_retried(self):
        """A repeatable call is retried on another server."""
        client = FakeClient(FakeAnswer(b"a", ANSWER_LOST), FakeAnswer(b"abc"))
        got = await serve(client)
        assert got.body == b"abc"
        assert len({send.server.id for send in client.sends}) == 2

    async def test_server_error_is_retried_then_forwarded(self):
        """After the last attempt the caller receives the server's error response."""
        client = FakeClient(
            FakeAnswer(b"one", status=500), FakeAnswer(b"two", status=500)
        )
        got = await serve(client)
        assert (got.status, got.body, len(client.sends)) == (500, b"two", 2)

    async def test_slow_send_is_hedged(self):
        """A send without a response in time is hedged on another server."""
        client = FakeClient(asyncio.Event(), FakeAnswer(b"abc"))
        got = await serve(client, wait_s=0.5)
        assert got.body == b"abc"

    async def test_late_server_is_in_cooldown(self):
        """A non-repeatable call past twice the target puts the server into cooldown."""
        call, routing = call_without_response(target_s=0.05, wait_s=0.3)
        serving = asyncio.create_task(call.serve(FakeResponder()))
        await asyncio.sleep(0.2)
        assert len(routing.health.in_cooldown(now_s=clocks.now_s())) == 1
        with pytest.raises(DeadlineError):
            await serving
        assert len(routing.health.in_cooldown(now_s=clocks.now_s())) == 1

    async def test_server_past_target_at_deadline_is_in_cooldown(self):
        """A deadline between the target and twice the target starts the cooldown."""
        for _ in range(MAX_TRIES):
            call, routing = call_without_response(target_s=0.1, wait_s=0.15)
            started_s = clocks.now_s()
            async with measure_loop_lag() as lag:
                with pytest.raises(DeadlineError):
                    await call.serve(FakeResponder())
            # Stalls extend the target but not the caller's deadline.
            if lag.stalled_s(started_s, clocks.now_s()) < 0.04:
                break
        assert len(routing.health.in_cooldown(now_s=clocks.now_s())) == 1

    async def test_stall_starts_no_cooldown(self):
        """Time in which the event loop is stalled does not count towards the target."""
        call, routing = call_without_response(target_s=0.1, wait_s=0.15)
        asyncio.get_running_loop().call_later(0.02, time.sleep, 0.12)
        with pytest.raises(DeadlineError):
            await call.serve(FakeResponder())
        assert not routing.health.in_cooldown(now_s=clocks.now_s())

    async def test_short_deadline_starts_no_cooldown(self):
        """A deadline below the target starts no cooldown of the server."""
        call, routing = call_without_response(target_s=0.5, wait_s=0.05)
        with pytest.raises(DeadlineError):
            await call.serve(FakeResponder())
        assert not routing.health.in_cooldown(now_s=clocks.now_s())

    async def test_refusals_use_no_attempt(self):
        """Refusals do not count towards the route's max attempts."""
        client = FakeClient(refused_answer(), refused_answer(), FakeAnswer(b"abc"))
        assert (await serve(client)).body == b"abc"

    async def test_unframed_response_stays_unframed(self):
        """A response without a length is forwarded without one."""
        got = await serve(FakeClient(FakeAnswer(b"abc", is_framed=False)))
        assert got.is_framed is False

    async def test_stalled_response_uses_one_attempt(self):
        """A body that stalls uses one attempt, not two."""
        client = FakeClient(
            FakeAnswer(b"a", asyncio.Event()),
            FakeAnswer(b"b", asyncio.Event()),
            FakeAnswer(b"abc"),
        )
        got = await serve(client, wait_s=2.0, max_attempts=3)
        assert (got.body, len(client.sends)) == (b"abc", 3)


class TestNonRepeatableCalls:
    async def test_lost_response_is_not_retried(self):
        """A call that may have run is neither retried nor reported as not run."""
        client = FakeClient(FakeAnswer(ANSWER_LOST))
        with pytest.raises(ServiceLostError) as caught:
            await serve(client, kind=CallKind.ONCE)
        assert (len(client.sends), caught.value.ran) == (1, "maybe")

    async def test_refused_call_is_retried(self):
        """A call that a server reports as not run is sent to another one."""
        client = FakeClient(refused_answer(), NotSentError("no"), FakeAnswer(b"abc"))
        got = await serve(client, kind=CallKind.ONCE, max_attempts=1)
        assert got.body == b"abc"

    async def test_new_connection_is_used(self):
        """An idle connection may be closed on send, so that the outcome is unknown."""
        client = FakeClient(FakeAnswer(b"abc"))
        await serve(client, kind=CallKind.ONCE)
        assert client.sends[0].needs_new_connection

    async def test_server_error_is_forwarded(self):
        """A server error is forwarded without a retry."""
        got = await serve(FakeClient(FakeAnswer(b"no", status=500)), kind=CallKind.ONCE)
        assert got.status == 500

    @pytest.mark.parametrize("status", [408, 429, 503])
    async def test_status_for_not_run_is_not_forwarded(self, status):
        """A status that means "not run" is not forwarded for a call that has run."""
        client = FakeClient(FakeAnswer(b"no", status=status))
        with pytest.raises(ServiceLostError) as caught:
            await serve(client, kind=CallKind.ONCE)
        assert caught.value.ran == "maybe"
        assert str(status) in caught.value.detail

    async def test_deadline_reports_possible_run(self):
        """After its deadline, a call in flight is reported as possibly run."""
        with pytest.raises(DeadlineError) as caught:
            await serve(FakeClient(asyncio.Event()), kind=CallKind.ONCE, wait_s=0.1)
        assert caught.value.ran == "maybe"


class TestHedging:
    """The response to the first send arrives after the route's target latency."""

    async def test_first_response_without_retry_budget(self):
        """Without retry budget for a hedge, the first response is awaited."""
        client = FakeClient(delayed_response(FakeAnswer(b"abc"), 0.4))
        got = await serve(client, wait_s=1.0, may_retry=reject_retry)
        assert (got.body, len(client.sends)) == (b"abc", 1)

    async def test_first_response_without_another_server(self):
        """A hedge that the only server refuses does not cancel the first send."""
        client = FakeClient(delayed_response(FakeAnswer(b"abc"), 0.4), refused_answer())
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
    async def test_first_response_after_failed_hedge(self, second):
        """A hedge that fails or gets no response does not cancel the first send."""
        client = FakeClient(
            delayed_response(FakeAnswer(b"abc"), 0.6), second, ANSWER_LOST, ANSWER_LOST
        )
        got = await serve(client, wait_s=1.0)
        assert (got.status, got.body) == (200, b"abc")

    @pytest.mark.parametrize("has_peer", [True, False])
    async def test_lost_links_with_send_in_flight(self, has_peer):
        """The links are found lost while the first send is in flight.

        It is abandoned only if another instance can serve the call.
        """
        call, routing = call_without_response(
            target_s=0.05, wait_s=5.0, kind=CallKind.SAFE
        )
        late = delayed_response(FakeAnswer(b"abc"), 0.6)
        routing.client.answers = [asyncio.Event() if has_peer else late]
        routing.forwarding = FakeForwarding(has_peer=has_peer)
        routing.link_watch.settled = link_check_results(False, True)
        responder = FakeResponder()
        if has_peer:
            with pytest.raises(MustForwardError):
                await call.serve(responder)
            assert call.runs == 1
        else:
            await call.serve(responder)
            assert responder.body == b"abc"

    async def test_response_during_link_check(self):
        """A response received during the link check is used, even if links are lost."""
        call, routing = call_without_response(
            target_s=0.05, wait_s=0.6, kind=CallKind.SAFE
        )
        routing.client.answers = [delayed_response(FakeAnswer(b"abc"), 0.3)]
        routing.forwarding = FakeForwarding(has_peer=True)
        routing.link_watch.settled = link_check_results(False, True, wait_s=0.2)
        responder = FakeResponder()
        await call.serve(responder)
        assert responder.body == b"abc"

    async def test_slower_send_is_cancelled(self):
        """The remaining send is cancelled after the first response."""
        slow = FakeAnswer(b"a", asyncio.Event())
        await serve(FakeClient(slow, FakeAnswer(b"abc")), wait_s=0.5)
        await asyncio.sleep(0)
        assert slow.closed is False

    async def test_sends_are_cancelled_on_disconnect(self):
        """Sends in flight are cancelled when the caller disconnects."""
        answers = [FakeAnswer(b"a", asyncio.Event()) for _ in range(2)]
        client = FakeClient(*answers)
        serving = asyncio.create_task(serve(client, wait_s=0.5))
        while len(client.sends) < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        serving.cancel()
        await asyncio.wait([serving])
        await asyncio.sleep(0)
        assert [answer.closed for answer in answers] == [False, False]

    async def test_simultaneous_success_and_failure(self):
        """Of two sends completed at once, the successful response is forwarded."""
        ready = asyncio.Event()

        async def succeed():
            await ready.wait()
            return FakeAnswer(b"abc")

        async def fail():
            await ready.wait()
            return FakeAnswer(b"no", status=500)

        asyncio.get_running_loop().call_later(0.4, ready.set)
        got = await serve(FakeClient(succeed, fail), wait_s=1.0)
        assert got.body == b"abc"


class TestEventLoopStall:
    """The event loop stalls while a response arrives."""

    @pytest.mark.parametrize("for_s", [0.6, 2.5])
    async def test_stall_causes_no_hedge(self, for_s):
        """A stall of the event loop causes no hedge and no fault report."""
        call, routing = call_without_response(
            target_s=0.3, wait_s=4.0, kind=CallKind.SAFE
        )
        routing.client.answers = [
            delayed_response(FakeAnswer(b"abc"), 0.2),
            ANSWER_LOST,
        ]
        reports = []
        routing.broadcast_fault_report = reports.append
        responder = FakeResponder()
        stall_loop(after_s=0.1, for_s=for_s)
        await call.serve(responder)
        assert (responder.body, len(routing.client.sends)) == (b"abc", 1)
        assert not reports

    @pytest.mark.parametrize("kind", [CallKind.ONCE, CallKind.SAFE])
    async def test_response_before_deadline_in_stall(self, kind):
        """A response received before a deadline within a stall is forwarded."""
        client = FakeClient(delayed_response(FakeAnswer(b"abc"), 0.1))
        stall_loop(after_s=0.05, for_s=0.6)
        got = await serve(client, kind=kind, wait_s=0.3, target_s=0.2)
        assert (got.body, len(client.sends)) == (b"abc", 1)

    async def test_deadline_after_stall(self):
        """Without a response, the call fails soon after the stall."""
        started_s = clocks.now_s()
        stall_loop(after_s=0.05, for_s=0.6)
        with pytest.raises(DeadlineError):
            await serve(FakeClient(asyncio.Event()), kind=CallKind.ONCE, wait_s=0.3)
        assert clocks.now_s() - started_s < 0.8


class TestDeadline:
    @pytest.fixture
    def late_clock(self, monkeypatch):
        """Return a function that runs a coroutine on a clock 0.4 ms behind timers."""

        async def with_late_clock(scenario):
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            monkeypatch.setattr(
                clocks, "now_s", lambda: started_s + (loop.time() - started_s) * 0.999
            )
            await scenario()

        return lambda scenario: virtual_time.run(
            lambda: with_late_clock(scenario), monkeypatch
        )

    def test_early_timer_counts_as_deadline(self, late_clock):
        """A timer that fires less than a millisecond early counts as the deadline."""

        async def scenario():
            with pytest.raises(DeadlineError):
                await serve(FakeClient(asyncio.Event()), kind=CallKind.ONCE, wait_s=0.4)

        late_clock(scenario)

    @pytest.mark.parametrize(
        ("wait_s", "limit"),
        [(0.1, "the caller's time limit"), (5.0, "the route's timeout of 0.2 s")],
    )
    async def test_error_names_the_limit(self, wait_s, limit):
        """The error names the limit: the route's timeout or the caller's."""
        with pytest.raises(DeadlineError) as caught:
            await serve(
                FakeClient(asyncio.Event()),
                kind=CallKind.ONCE,
                wait_s=wait_s,
                timeout_s=0.2,
            )
        assert limit in caught.value.detail

    def test_no_retry_at_deadline(self, late_clock):
        """A call whose deadline has passed is not retried."""
        client = FakeClient(asyncio.Event(), asyncio.Event())

        async def scenario():
            with pytest.raises(DeadlineError):
                await serve(client, wait_s=0.4, target_s=0.5)

        late_clock(scenario)
        assert len(client.sends) == 1


class TestUnavailable:
    async def test_servers_at_capacity(self):
        """The error reports that the call was not run, and when to retry."""
        with pytest.raises(OverloadedError) as caught:
            await serve(FakeClient(*(refused_answer() for _ in range(4))))
        assert caught.value.ran == "no"
        assert caught.value.retry_after_s is not None

    async def test_no_server_listed(self):
        """Without a listed server, the call is reported as not run."""
        with pytest.raises(ServiceUnreachableError) as caught:
            await serve(FakeClient(), servers=())
        assert caught.value.ran == "no"
