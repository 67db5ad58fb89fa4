# SPDX-License-Identifier: MIT
"""Streams that have two runs at once: which of them the caller hears, and the count."""

from __future__ import annotations

import asyncio
import random

from router_fakes import (
    FakeAnswer,
    FakeClient,
    FakeResponder,
    admitted,
    events,
    make_call,
    make_routing,
    report,
)
from routing_samples import runner
from test_instances import entry
from violethatch import clocks
from violethatch.forwarding import ForwardedCall
from violethatch.streams import StreamCall


A = runner("a", 0, 80, kind="large")
B = runner("b", 0, 80, kind="medium")
HEAD = runner("head", 0, 40, kind="large")
TAIL = runner("tail", 40, 80, kind="large")
SPARE = runner("spare", 30, 80, kind="small")


OTHER = entry("other")


class OtherInstance:
    """Takes calls, and answers them from a script."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.taken = []

    async def send(self, *_call, runs, **_fields):
        self.taken.append(runs)
        answer = self.answers.pop(0)
        if isinstance(answer, asyncio.Event):
            await answer.wait()
        return OTHER, answer

    def began(self, _peer_id):
        """Count nothing."""

    def ended(self, _peer_id):
        """Count nothing."""

    def note_lost(self, *_reason):
        """Note nothing."""


class SlowCaller(FakeResponder):
    """Takes the last bytes late, and notes each end and each head."""

    def __init__(self, *, finish_s=0.0, answer_s=0.0):
        super().__init__()
        self.finish_s = finish_s
        self.answer_s = answer_s
        self.finished = 0
        self.heads = []

    async def answer(self, status, headers, body, *, is_framed=True):
        await self.start(status, headers, is_framed=is_framed)
        await asyncio.sleep(self.answer_s)
        await self.write(body)
        await self.finish()

    async def start(self, status, headers, *, is_framed=True, length=None):
        self.heads.append(status)
        await super().start(status, headers, is_framed=is_framed)

    async def finish(self):
        self.finished += 1
        await asyncio.sleep(self.finish_s)
        await super().finish()


def forwarding_stream(routing, other, *, times):
    """Return a stream whose next runs go through another instance."""
    left = [False, *[False] * 1, *[True] * times]

    async def must_forward(_call, _service):
        return left.pop(0) if left else False

    routing.must_forward = must_forward

    def forward(stream):
        return ForwardedCall(
            other, call, target, runs=stream.runs, output=stream.output
        )

    call, target = make_call(), admitted()
    return StreamCall(routing, call, target, forward=forward)


async def serve(stream, responder):
    """Serve a stream."""
    async with asyncio.timeout(8):
        await stream.serve(responder)


class TestForwardedBeside:
    async def test_replaced_handover_is_counted_as_a_run(self):
        """The other instance has the call, and may have run it."""
        first = FakeAnswer(events(1), 0.4, events(2), 0.8, events(3))
        client = FakeClient(first, FakeAnswer(events(3)))
        routing = make_routing(client, A, B, rng=random.Random(1))
        other = OtherInstance(asyncio.Event())
        stream = forwarding_stream(routing, other, times=1)
        await serve(stream, FakeResponder())
        assert other.taken == [1]
        assert len(client.sends) + len(other.taken) <= 2

    async def test_failure_of_the_other_instance_ends_no_kept_run(self):
        """Beside a local run, a runner's failure doesn't end the kept run either."""
        client = FakeClient(FakeAnswer(0.6, events(1), events(2)))
        routing = make_routing(client, A, B, rng=random.Random(1))
        other = OtherInstance(FakeAnswer(b"sorry", status=500))
        stream = forwarding_stream(routing, other, times=1)
        got = FakeResponder()
        await serve(stream, got)
        assert (got.status, got.body, got.end) == (200, events(1, 2), "whole")

    async def test_failure_and_kept_run_are_not_mixed(self):
        """The kept run goes on while the other instance's failure is being written."""
        client = FakeClient(FakeAnswer(0.4, events(1), 0.02, events(2)))
        routing = make_routing(client, A, B, rng=random.Random(1))
        other = OtherInstance(FakeAnswer(b"sorry", status=500))
        stream = forwarding_stream(routing, other, times=1)
        got = SlowCaller(answer_s=1.0)
        await serve(stream, got)
        assert len(got.heads) == 1


class TestEndWhileSilent:
    async def stalled_at_its_end(self, second, *, finish_s):
        """Serve a stream whose only silence is before its end; no retry at first."""
        client = FakeClient(FakeAnswer(events(1, 2), 0.25), second)
        routing = make_routing(client, A, B, rng=random.Random(1))
        begun_s = asyncio.get_running_loop().time()

        async def may_retry(_service):
            return asyncio.get_running_loop().time() - begun_s > 0.35

        routing.retries.acquire_retry = may_retry
        got = SlowCaller(finish_s=finish_s)
        await serve(StreamCall(routing, make_call(), admitted()), got)
        assert (got.body, got.end) == (events(1, 2), "whole")
        return client, got

    async def test_whole_run_is_not_run_again(self):
        """All has come, and the caller takes the last bytes slowly."""
        second = FakeAnswer(asyncio.Event())
        client, _ = await self.stalled_at_its_end(second, finish_s=1.5)
        assert len(client.sends) == 1

    async def test_answer_is_finished_once(self):
        """The needless second run has nothing more to give, and ends at once."""
        _, got = await self.stalled_at_its_end(FakeAnswer(), finish_s=1.5)
        assert got.finished == 1


class TestEventsWithoutIds:
    async def test_kept_run_gives_all_its_events(self):
        """Another run that gave nothing takes no events away from the first one."""
        end = b"event: done\ndata: 2\n\n"
        client = FakeClient(
            FakeAnswer(events(1, 2), 0.4, end), FakeAnswer(asyncio.Event())
        )
        routing = make_routing(client, A, B, rng=random.Random(1))
        got = FakeResponder()
        await serve(StreamCall(routing, make_call(), admitted()), got)
        assert (got.end, got.body) == ("whole", events(1, 2) + end)


class TestSlowMove:
    """Load pattern: a later runner is silent, and the first is slow to take orders."""

    def slow_client(self, *script):
        """Return a client whose first runner takes a second for each order."""
        client = FakeClient(FakeAnswer(*script))
        client.reports["head"] = report(stalled={"c1": TAIL.address})
        send_order = client.repath

        async def repath(*order):
            await asyncio.sleep(1.0)
            return await send_order(*order)

        client.repath = repath
        return client

    async def test_deadline_holds_during_a_move(self):
        """An order that is under way does not keep the caller beyond the deadline."""
        client = self.slow_client(events(1), asyncio.Event())
        routing = make_routing(client, HEAD, TAIL, SPARE, rng=random.Random(1))
        stream = StreamCall(routing, make_call(timeout_s=0.4), admitted())
        began_s = clocks.now_s()
        await serve(stream, FakeResponder())
        assert clocks.now_s() - began_s < 0.9

    async def test_events_pass_during_a_move(self):
        """What comes while an order is under way is given at once."""
        client = self.slow_client(events(1), 0.3, events(2), 0.02, events(3))
        routing = make_routing(client, HEAD, TAIL, SPARE, rng=random.Random(1))
        stream = StreamCall(routing, make_call(), admitted())
        await serve(stream, FakeResponder())
        assert stream.output.longest_gap_s < 0.6


class TestCallerLeaves:
    async def test_both_runs_are_broken_off(self):
        """The caller goes while two runs are under way."""
        answers = [FakeAnswer(events(1), asyncio.Event()), FakeAnswer(asyncio.Event())]
        client = FakeClient(*answers)
        routing = make_routing(client, A, B, rng=random.Random(1))
        stream = StreamCall(routing, make_call(), admitted())
        before = asyncio.all_tasks()
        serving = asyncio.create_task(stream.serve(FakeResponder()))
        async with asyncio.timeout(5):
            while len(client.sends) < 2:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.02)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        assert [one.closed for one in answers] == [False, False]
        assert not routing.runs
        await asyncio.sleep(0.5)
        assert asyncio.all_tasks() == before
