# SPDX-License-Identifier: MIT
"""Time goes on while a machine is suspended."""

from __future__ import annotations

import asyncio
import random
import sys
import time

import pytest

from router_fakes import (
    FakeAnswer,
    FakeClient,
    FakeResponder,
    admitted,
    events,
    make_call,
    make_routing,
    settings,
)
from routing_samples import desired_state, runner
from test_placement_controller import FLEET, FakeStore, make_duty, quick
from violethatch import clocks
from violethatch._router import Router
from violethatch.errors import DeadlineError, UnprovenStateError
from violethatch.runner_health import ServerFault
from violethatch.streams import StreamCall


A = runner("a", 0, 80)
#: How long the proof of the desired state counts, in seconds; see the sample settings.
PROOF_S = 4.25


@pytest.fixture
def suspend(monkeypatch):
    """Provide what lets time pass that only a suspension's clock counts."""
    real = clocks.now_s
    slept = [0.0]
    monkeypatch.setattr(clocks, "now_s", lambda: real() + slept[0])

    def suspend(for_s):
        slept[0] += for_s

    return suspend


class TestClock:
    @pytest.mark.skipif(sys.platform != "linux", reason="no such clock elsewhere")
    def test_it_counts_suspensions(self):
        """It is the clock that the platform names for that."""
        before_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        now_s = clocks.now_s()
        assert before_s <= now_s <= time.clock_gettime(time.CLOCK_BOOTTIME)

    def test_time_left_is_never_below_nothing(self):
        """A deadline that is past leaves no time."""
        assert clocks.left_s(clocks.now_s() - 9.0) == 0.0
        assert 0.0 < clocks.left_s(clocks.now_s() + 9.0) <= 9.0

    def test_calls_cost_little(self):
        """Each request makes some dozens; one takes below a microsecond or so."""
        started_s = time.process_time()
        for _ in range(10_000):
            clocks.now_s()
        assert time.process_time() - started_s < 0.1


class TestProof:
    def router(self):
        """Return a router whose desired state is proven now."""
        made = Router(
            settings(),
            client=FakeClient(FakeAnswer(events(1))),
            decoder=None,
            rng=random.Random(1),
        )
        made.routing.backends.apply_changes([A], [], now_s=clocks.now_s())
        made.desired = desired_state()
        made.freshness.proven(clocks.now_s())
        return made

    async def test_key_is_not_taken_on_a_proof_from_before_a_long_suspension(
        self, suspend
    ):
        """It may have been removed meanwhile; nothing was read since."""
        made = self.router()
        suspend(PROOF_S)
        assert not made.is_ready
        with pytest.raises(UnprovenStateError) as caught:
            await made.serve(make_call(), FakeResponder())
        assert caught.value.ran == "no"

    async def test_short_suspension_leaves_the_proof(self, suspend):
        """Its age is what it is."""
        made = self.router()
        suspend(PROOF_S / 4)
        responder = FakeResponder()
        await made.serve(make_call(), responder)
        assert responder.end == "whole"

    async def test_newer_proof_counts_after_waking(self, suspend):
        """The first read after it is what it goes by."""
        made = self.router()
        suspend(60.0)
        made.freshness.proven(clocks.now_s())
        responder = FakeResponder()
        await made.serve(make_call(), responder)
        assert responder.end == "whole"


@pytest.mark.usefixtures(quick.__name__)
class TestLease:
    async def test_no_order_under_a_lease_that_ran_out_meanwhile(self, suspend):
        """Others may hold it by now."""
        duty, client, _ = make_duty(FakeStore(), *FLEET)
        await duty._update()
        assert duty.is_holder
        suspend(4.0)
        assert not duty.is_holder
        assert len(client.placed) == 3

    async def test_suspended_between_the_check_and_the_order(self, suspend):
        """The runner's report is the last thing that is waited for before it."""
        duty, client, _ = make_duty(FakeStore(), *FLEET)
        real = client.report

        async def slow_report(server):
            suspend(4.0)
            return await real(server)

        client.report = slow_report
        await duty._update()
        assert client.placed == []
        client.report = real
        await duty._update()
        assert len(client.placed) == 3  # by a new lease, its epoch one higher
        assert {order[2] for order in client.placed} == {2}


class TestCallers:
    async def test_caller_whose_time_ran_out_is_not_served(self, suspend):
        """It has left; a send would be for nobody."""
        client = FakeClient(asyncio.Event())
        routing = make_routing(client, A, rng=random.Random(1))
        stream = StreamCall(routing, make_call(timeout_s=5.0), admitted())
        serving = asyncio.create_task(stream.serve(FakeResponder()))
        await asyncio.sleep(0.01)
        suspend(60.0)
        with pytest.raises(DeadlineError):
            await serving
        assert len(client.sends) == 1

    async def test_stream_goes_on_after_waking(self, suspend):
        """What came meanwhile is read; nobody is left for a silence of one's own."""
        waking = asyncio.Event()
        client = FakeClient(FakeAnswer(events(1), waking, events(2)))
        routing = make_routing(client, A, rng=random.Random(1), gap_limit_s="0.2")
        call = make_call(timeout_s=60.0)
        stream = StreamCall(routing, call, admitted())
        responder = FakeResponder()
        serving = asyncio.create_task(stream.serve(responder))
        await asyncio.sleep(0.01)
        suspend(3.0)
        waking.set()
        await serving
        assert (responder.end, len(client.sends)) == ("whole", 1)

    async def test_rests_end_while_suspended(self, suspend):
        """Servers are not left alone for longer than was meant."""
        routing = make_routing(FakeClient(), A, rng=random.Random(1))
        routing.health.record_fault("a", ServerFault.SILENT, now_s=clocks.now_s())
        suspend(3.0)
        assert routing.path(admitted().service) is not None
