# SPDX-License-Identifier: MIT
"""Streams that are kept going, or cut so that it shows."""

from __future__ import annotations

import asyncio
import random
import socket
import time

import pytest

from router_fakes import (
    ANSWER_LOST,
    FakeAnswer,
    FakeClient,
    FakeResponder,
    admitted,
    events,
    make_call,
    make_routing,
    refused_answer,
    report,
)
from routing_samples import call_route, runner
from routing_samples import engine as routing_engine
from violethatch import clocks
from violethatch.errors import (
    NoRouteError,
    OverloadedError,
    PipelineFailedError,
)
from violethatch.runner_health import ServerFault
from violethatch.streams import StreamCall
from violethatch.upstream import (
    NotSentError,
    OrderAnswer,
    OrderOutcome,
    ServerLoad,
)


A = runner("a", 0, 80, kind="large")
B = runner("b", 0, 80, kind="medium")
HEAD = runner("head", 0, 40, kind="large")
TAIL = runner("tail", 40, 80, kind="large")
SPARE = runner("spare", 30, 80, kind="small")


async def serve(client, *servers, route=None, call=None, **policy):
    """Serve a stream; return the caller's answer and the routing."""
    routing = make_routing(client, *servers, rng=random.Random(1), **policy)
    stream = StreamCall(
        routing, call or make_call(), admitted(*([route] if route else []))
    )
    responder = FakeResponder()
    async with asyncio.timeout(10):
        await stream.serve(responder)
    return responder, routing


class TestWhole:
    async def test_events_pass_with_the_head(self):
        """The caller gets the runner's head and each event."""
        client = FakeClient(FakeAnswer(events(1), events(2, 3)))
        got, routing = await serve(client, A)
        assert (got.status, got.headers, got.end) == (200, (("Proof", "one"),), "whole")
        assert got.body == events(1, 2, 3)
        assert routing.loads.utilization(A, admitted().service.engine, now_s=0) == 0

    async def test_send_names_path_and_rest_of_time(self):
        """What is sent names the path, the workspace and the deadline."""
        client = FakeClient(FakeAnswer(events(1)))
        await serve(client, HEAD, TAIL)
        send = client.sends[0]
        assert [stage.server.id for stage in send.path.stages] == ["head", "tail"]
        assert (send.workspace, send.last_event_id) == ("clinic", None)
        assert send.deadline_s <= send.call.received_s + 20.0

    async def test_runners_failure_is_passed_on(self):
        """A failure of the last attempt reaches the caller as it is."""
        failure = FakeAnswer(b"sorry", status=500)
        got, _ = await serve(
            FakeClient(failure), A, route=call_route(is_resumable=False)
        )
        assert (got.status, got.body, got.end) == (500, b"sorry", "whole")

    async def test_unframed_stream_stays_unframed(self):
        """A stream that ends with its connection isn't called whole by a frame."""
        client = FakeClient(FakeAnswer(events(1), is_framed=False))
        got, _ = await serve(client, A)
        assert got.is_framed is False

    async def test_first_runners_load_is_taken_in(self):
        """What the first runner tells of its load counts at once."""
        load = ServerLoad(running=90, waiting=0, slots=96)
        _, routing = await serve(FakeClient(FakeAnswer(events(1), load=load)), A, B)
        # Layers so small that whole models leave room for requests.
        service = admitted().service._replace(engine=routing_engine(layer_mb=400.0))
        assert routing.path(service).first.id == "b"


class TestResumed:
    async def test_cut_stream_goes_on_elsewhere(self):
        """After a cut the next run starts after the last whole event."""
        client = FakeClient(
            FakeAnswer(events(1, 2) + b"id: 3\nda", ANSWER_LOST),
            FakeAnswer(events(3, 4), headers=(("Proof", "two"),)),
        )
        got, _ = await serve(client, A, B)
        assert got.body == events(1, 2, 3, 4)
        assert (got.end, got.headers) == ("whole", (("Proof", "one"),))
        assert client.sends[1].last_event_id == 2

    async def test_missing_event_is_never_passed_over(self):
        """A run that skips an event counts as lost."""
        client = FakeClient(FakeAnswer(events(1, 3)), FakeAnswer(events(2, 3)))
        got, _ = await serve(client, A, B)
        assert got.body == events(1, 2, 3)

    async def test_stream_that_may_not_be_resumed_is_cut(self):
        """Without leave to resume, the caller sees the cut."""
        client = FakeClient(FakeAnswer(events(1), ANSWER_LOST))
        got, _ = await serve(client, A, B, route=call_route(is_resumable=False))
        assert (got.end, len(client.sends)) == ("cut", 1)

    async def test_attempts_are_bounded(self):
        """No more runs than the route allows."""
        client = FakeClient(*(FakeAnswer(events(n), ANSWER_LOST) for n in (1, 2, 3)))
        got, _ = await serve(client, A, B)
        assert (got.end, len(client.sends)) == ("cut", 2)

    @pytest.mark.parametrize("rest", [b"", b"id: 1\nda"])
    async def test_unframed_stream_that_ends_too_soon_is_broken_off(self, rest):
        """Without a whole event, or within one: its connection was lost."""
        client = FakeClient(
            FakeAnswer(rest, is_framed=False), FakeAnswer(events(1), is_framed=False)
        )
        got, _ = await serve(client, A, B)
        assert (got.body, got.end) == (events(1), "whole")

    async def test_unframed_end_of_a_resumed_run_is_no_end(self):
        """A framed answer is not called whole by a run whose end is unsure."""
        client = FakeClient(
            FakeAnswer(events(1), ANSWER_LOST), FakeAnswer(events(2), is_framed=False)
        )
        got, _ = await serve(client, A, B)
        assert got.end == "cut"

    async def test_budget_is_asked(self):
        """Without a retry in the budget the stream is cut."""
        client = FakeClient(FakeAnswer(events(1), ANSWER_LOST), FakeAnswer(events(2)))
        got, _ = await serve(client, A, B, retry_reserve=1, retry_part=0)
        assert got.end == "whole"
        routing = make_routing(client, A, B, rng=random.Random(1), retry_part=0)
        while await routing.retries.acquire_retry("model"):
            pass
        client.answers = [FakeAnswer(events(1), ANSWER_LOST), FakeAnswer(events(2))]
        responder = FakeResponder()
        await StreamCall(routing, make_call(), admitted()).serve(responder)
        assert responder.end == "cut"


class TestRefused:
    async def test_refusal_goes_to_another_runner(self):
        """A refused request has not run and is sent elsewhere."""
        client = FakeClient(refused_answer(), FakeAnswer(events(1)))
        got, _ = await serve(client, A, B)
        assert (got.end, [s.server.id for s in client.sends]) == ("whole", ["a", "b"])

    async def test_begun_stream_waits_for_room(self):
        """A stream under way is not cut for one refusal."""
        client = FakeClient(
            FakeAnswer(events(1), ANSWER_LOST),
            refused_answer(),
            refused_answer(),
            FakeAnswer(events(2)),
        )
        got, _ = await serve(client, A, B)
        assert (got.end, got.body) == ("whole", events(1, 2))

    async def test_named_runner_is_left_alone(self):
        """The runner at fault rests, not the one that was asked."""
        client = FakeClient(refused_answer(address=TAIL.address), FakeAnswer(events(1)))
        got, routing = await serve(client, HEAD, TAIL, SPARE)
        assert got.end == "whole"
        ids = [stage.server.id for stage in client.sends[1].path.stages]
        assert ids == ["head", "spare"]
        assert "head" not in routing.health.in_cooldown(now_s=0.0)

    async def test_refused_by_all_is_a_true_refusal(self):
        """The caller hears that nothing ran, and when to come back."""
        client = FakeClient(*(refused_answer() for _ in range(9)))
        with pytest.raises(OverloadedError) as caught:
            await serve(client, A, B)
        assert caught.value.ran == "no"
        assert 0.5 <= caught.value.retry_after_s <= 0.75

    async def test_resting_runners_say_when_to_come_back(self):
        """A caller is not sent back before the only runners are used again."""
        client = FakeClient(NotSentError("refused"), NotSentError("refused"))
        with pytest.raises(OverloadedError) as caught:
            await serve(client, A)
        assert caught.value.ran == "no"
        assert caught.value.retry_after_s >= 2.9  # a silent runner rests for 3 s

    async def test_lost_first_run_waits_for_a_path(self):
        """Its caller could not be told that it has not run, and to come back."""
        client = FakeClient(ANSWER_LOST, FakeAnswer(events(1)))
        routing = make_routing(client, A, B, rng=random.Random(1))
        routing.health.record_fault("b", ServerFault.SILENT, now_s=clocks.now_s() - 2.7)
        responder = FakeResponder()
        await StreamCall(routing, make_call(), admitted()).serve(responder)
        assert (responder.end, responder.body) == ("whole", events(1))
        assert [send.server.id for send in client.sends] == ["a", "b"]

    async def test_no_path(self):
        """With a layer lacking, the refusal says so."""
        with pytest.raises(NoRouteError) as caught:
            await serve(FakeClient(), HEAD)
        assert caught.value.retry_after_s is not None

    async def test_refusal_after_a_run_is_no_refusal(self):
        """Once a run may have begun, it is not said that nothing ran."""
        client = FakeClient(ANSWER_LOST, *(refused_answer() for _ in range(9)))
        with pytest.raises(PipelineFailedError) as caught:
            await serve(client, A, B, retry_reserve=20)
        assert caught.value.ran == "maybe"

    async def test_unreachable_first_runner(self):
        """A connection that doesn't come about has not run anything."""
        client = FakeClient(NotSentError("refused"), FakeAnswer(events(1)))
        got, routing = await serve(client, A, B)
        assert got.end == "whole"
        assert routing.health.in_cooldown(now_s=0.0) == {"a"}


class TestSilence:
    async def test_request_is_moved_around_a_stalled_runner(self):
        """The first runner names who it waits for; the request goes around."""
        moved = asyncio.Event()
        client = FakeClient(FakeAnswer(events(1), moved, events(2)))
        client.reports["head"] = report(stalled={"c1": TAIL.address})
        client.on_repath = moved.set
        got, routing = await serve(client, HEAD, TAIL, SPARE)
        assert (got.end, got.body) == ("whole", events(1, 2))
        assert len(client.sends) == 1
        _, call_id, path = client.repaths[0]
        assert call_id == "c1"
        assert [stage.server.id for stage in path.stages] == ["head", "spare"]
        assert "tail" in routing.health.in_cooldown(now_s=0.0)

    async def test_silent_first_runner_is_left(self):
        """A first runner without even a report is given up on."""
        client = FakeClient(
            FakeAnswer(events(1), asyncio.Event()), FakeAnswer(events(2))
        )
        got, _ = await serve(client, A, B)
        assert (got.end, got.body) == ("whole", events(1, 2))
        assert client.sends[1].server.id == "b"

    async def test_failed_move_resumes_elsewhere(self):
        """If the order is refused, the stream goes on by a new run."""
        client = FakeClient(
            FakeAnswer(events(1), asyncio.Event()), FakeAnswer(events(2))
        )
        client.reports["head"] = report(stalled={"c1": TAIL.address})
        client.repath_outcome = OrderAnswer(OrderOutcome.REFUSED)
        got, _ = await serve(client, HEAD, TAIL, SPARE, B)
        assert got.body == events(1, 2)

    async def test_runner_that_gives_no_report_is_gone_around(self):
        """A dead runner is found by asking, before anyone names it."""
        moved = asyncio.Event()
        client = FakeClient(FakeAnswer(events(1), moved, events(2)))
        client.reports["head"] = report()
        client.on_repath = moved.set
        # A loop that is held up for 0.1 s would use a shorter limit up.
        got, routing = await serve(client, HEAD, TAIL, SPARE, silence_limit_s="0.9")
        assert (got.end, len(client.sends)) == ("whole", 1)
        assert [s.server.id for s in client.repaths[0][2].stages] == ["head", "spare"]
        assert "tail" in routing.health.excluded(now_s=clocks.now_s())

    async def test_runner_that_is_slow_to_report_is_gone_around(self):
        """The stream doesn't wait for the end of a probe."""
        moved = asyncio.Event()

        class DarkClient(FakeClient):
            async def report(self, server):
                if server.id == "tail":
                    await asyncio.sleep(1.0)
                return report()

        client = DarkClient(FakeAnswer(events(1), moved, events(2)))
        client.on_repath = moved.set
        started_s = clocks.now_s()
        got, _ = await serve(client, HEAD, TAIL, SPARE, silence_limit_s="0.9")
        assert (got.end, len(client.repaths)) == ("whole", 1)
        assert clocks.now_s() - started_s < 0.5

    async def test_slow_runner_is_gone_around(self):
        """One that says it is slow is left for another that holds its layers."""
        moved = asyncio.Event()
        client = FakeClient(FakeAnswer(events(1), moved, events(2)))
        client.reports["head"] = report()
        client.reports["tail"] = report(slowness=12.0)
        client.on_repath = moved.set
        got, routing = await serve(client, HEAD, TAIL, SPARE)
        assert (got.end, len(client.sends)) == ("whole", 1)
        assert [s.server.id for s in client.repaths[0][2].stages] == ["head", "spare"]
        assert not routing.health.in_cooldown(now_s=clocks.now_s())

    async def test_slow_runner_without_another_is_waited_for(self):
        """Nothing is given up for it."""
        client = FakeClient(FakeAnswer(events(1), 0.12, events(2)))
        client.reports["head"] = report()
        client.reports["tail"] = report(slowness=12.0)
        got, _ = await serve(client, HEAD, TAIL)
        assert (got.end, client.repaths, len(client.sends)) == ("whole", [], 1)

    async def test_zone_that_is_silent_is_left_out(self):
        """Where several runners of a zone are dark, its others are not tried."""
        moved = asyncio.Event()
        client = FakeClient(FakeAnswer(events(1), moved, events(2)))
        far = [
            runner(name, first, end, kind="large", zone="z2")
            for name, first, end in (("f1", 40, 60), ("f2", 60, 80), ("f3", 40, 80))
        ]
        client.reports["head"] = report()
        client.on_repath = moved.set
        routing = make_routing(client, HEAD, *far[:2], rng=random.Random(1))
        stream = StreamCall(routing, make_call(), admitted())
        task = asyncio.create_task(stream.serve(FakeResponder()))
        async with asyncio.timeout(5):
            while not client.sends:
                await asyncio.sleep(0.001)
            routing.backends.apply_changes([far[2], SPARE], [], now_s=clocks.now_s())
            await task
        assert [s.server.id for s in client.repaths[0][2].stages] == ["head", "spare"]

    async def test_streams_that_go_on_clear_a_path(self):
        """While others' events come by the same runners, nobody is asked."""
        asked = []

        class AskedClient(FakeClient):
            async def report(self, server):
                asked.append(server.id)
                return report()

        script = [step for n in range(2, 30) for step in (0.01, events(n))]
        client = AskedClient(
            FakeAnswer(events(1), 0.2, events(2)), FakeAnswer(events(1), *script)
        )
        routing = make_routing(client, A, rng=random.Random(1))
        calls = [
            StreamCall(routing, make_call(), admitted()).serve(FakeResponder())
            for _ in range(2)
        ]
        await asyncio.gather(*calls)
        assert asked == []

    async def test_runner_in_trouble_elsewhere_is_gone_around(self):
        """A silent request learns from what others had trouble with."""
        moved = asyncio.Event()
        client = FakeClient(FakeAnswer(moved, events(1)))
        client.reports["head"] = report()
        client.on_repath = moved.set
        routing = make_routing(client, HEAD, TAIL, SPARE, rng=random.Random(1))
        stream = StreamCall(routing, make_call(), admitted())
        responder = FakeResponder()
        task = asyncio.create_task(stream.serve(responder))
        async with asyncio.timeout(5):
            while not client.sends:
                await asyncio.sleep(0.001)
            routing.record_fault(TAIL, ServerFault.NAMED, "another", "waits")
            await task
        assert [s.server.id for s in client.repaths[0][2].stages] == ["head", "spare"]

    async def test_long_pause_of_a_sound_path_is_waited_out(self):
        """While nothing is stalled, a pause is no reason to start again."""
        client = FakeClient(FakeAnswer(events(1), 0.1, events(2)))
        client.reports["a"] = report()
        got, _ = await serve(client, A, B)
        assert (got.end, len(client.sends)) == ("whole", 1)

    async def test_endless_silence_ends(self):
        """A sound report does not keep a silent stream for ever."""
        client = FakeClient(
            FakeAnswer(events(1), asyncio.Event()), FakeAnswer(events(2))
        )
        client.reports["a"] = report()
        got, _ = await serve(client, A, B)
        assert got.body == events(1, 2)

    async def test_no_head_in_time(self):
        """A runner that never answers is given up on before any event."""
        client = FakeClient(asyncio.Event(), FakeAnswer(events(1)))
        got, _ = await serve(client, A, B)
        assert got.end == "whole"

    async def test_head_that_comes_too_late_is_closed(self):
        """An answer that comes after another run's first event is broken off."""
        late = FakeAnswer(events(1))
        head = asyncio.Event()

        class LateClient(FakeClient):
            async def send(self, send):
                self.sends.append(send)
                if len(self.sends) == 1:
                    await head.wait()
                    return late
                head.set()
                return FakeAnswer(events(1), 0.05, events(2))

        got, _ = await serve(LateClient(), A, B)
        assert (got.end, got.body) == ("whole", events(1, 2))
        assert late.closed is False


class TestSilentRunIsKept:
    """Load pattern: runners stand still for a while and then go on."""

    @pytest.mark.parametrize("is_resumable", [True, False])
    @pytest.mark.parametrize("told", [None, report()])
    async def test_stall_cuts_the_only_run(self, is_resumable, told):
        """Whether the stalled runner gives reports, and whether others could run it."""
        client = FakeClient(FakeAnswer(events(1), 0.6, events(2)))
        client.reports["a"] = told
        route = call_route(is_resumable=is_resumable)
        got, _ = await serve(client, A, route=route)
        assert (got.end, got.body) == ("whole", events(1, 2))

    async def test_second_stall_cuts_the_last_run(self):
        """As many runs as the route allows have begun, and each of them stalls."""
        client = FakeClient(
            FakeAnswer(events(1), asyncio.Event()),
            FakeAnswer(0.3, events(2), 0.3, events(3)),
        )
        got, _ = await serve(client, A, B)
        assert (got.end, got.body) == ("whole", events(1, 2, 3))
        assert len(client.sends) == 2

    async def test_first_run_goes_on_before_the_second_begins_to(self):
        """The caller gets the first one's events, and the second one is broken off."""
        second = FakeAnswer(asyncio.Event())
        client = FakeClient(FakeAnswer(events(1), 0.3, events(2)), second)
        got, _ = await serve(client, A, B)
        assert (got.end, got.body, len(client.sends)) == ("whole", events(1, 2), 2)
        assert second.closed is False

    async def test_first_run_goes_on_after_the_second_has(self):
        """Nothing of the first one reaches the caller any more."""
        first = FakeAnswer(events(1), 0.3, events(2), events(3))
        client = FakeClient(first, FakeAnswer(events(2), 0.4, events(3)))
        got, _ = await serve(client, A, B)
        assert (got.end, got.body) == ("whole", events(1, 2, 3))
        assert first.closed is False

    @pytest.mark.parametrize(
        "second",
        [
            refused_answer(),
            ANSWER_LOST,
            NotSentError("refused"),
            FakeAnswer(status=500),
        ],
    )
    async def test_failed_second_run_cuts_the_first(self, second):
        """The first one is there all the time."""
        client = FakeClient(FakeAnswer(events(1), 0.6, events(2)), second)
        client.answers += [refused_answer()] * 4
        got, _ = await serve(client, A, B)
        assert (got.end, got.body) == ("whole", events(1, 2))

    async def test_stall_without_a_retry_cuts_the_stream(self):
        """The retry budget is used up."""
        client = FakeClient(FakeAnswer(events(1), 0.6, events(2)))
        routing = make_routing(client, A, B, rng=random.Random(1), retry_part=0)
        while await routing.retries.acquire_retry("model"):
            pass
        responder = FakeResponder()
        await StreamCall(routing, make_call(), admitted()).serve(responder)
        assert (responder.end, len(client.sends)) == ("whole", 1)

    async def test_ended_runner_is_waited_for(self):
        """Who refuses connections can't go on: the stream is taken up elsewhere."""
        client = FakeClient(
            FakeAnswer(events(1), asyncio.Event()),
            FakeAnswer(events(2), asyncio.Event()),
        )
        client.refusing_ids = {"a", "b"}
        started_s = clocks.now_s()
        got, _ = await serve(client, A, B, call=make_call(timeout_s=8.0))
        assert (got.end, got.body) == ("cut", events(1, 2))
        assert clocks.now_s() - started_s < 2.0

    async def test_deadline_is_over(self):
        """A silent run is not waited for beyond the caller's time."""
        client = FakeClient(FakeAnswer(events(1), asyncio.Event()))
        got, _ = await serve(client, A, call=make_call(timeout_s=0.5))
        assert got.end == "cut"

    async def test_forwarded_run_counts_for_no_further_one(self, monkeypatch):
        """The kept run goes on and stalls again while another instance has run it."""
        handed_over = []

        class Forwarded:
            runs = 1
            served_by = "i2"

            async def serve_beside(self, responder, *, on_event):
                await asyncio.Event().wait()

        def forward(_stream):
            handed_over.append(Forwarded())
            return handed_over[-1]

        async def must_forward(_call, _service):
            return bool(client.sends)

        client = FakeClient(FakeAnswer(events(1), 0.5, events(2), 0.5, events(3)))
        routing = make_routing(client, A, B, rng=random.Random(1))
        monkeypatch.setattr(routing, "must_forward", must_forward)
        stream = StreamCall(routing, make_call(), admitted(), forward=forward)
        responder = FakeResponder()
        await stream.serve(responder)
        assert (responder.end, responder.body) == ("whole", events(1, 2, 3))
        assert (len(handed_over), stream.runs) == (1, 2)

    async def test_own_standstill_is_taken_for_the_runners(self):
        """What has arrived while the loop stood still is read before anything else."""
        loop = asyncio.get_running_loop()

        class ArrivedAnswer(FakeAnswer):
            async def parts(self):
                yield events(1)
                ours, theirs = socket.socketpair()
                reader, writer = await asyncio.open_connection(sock=ours)
                loop.call_later(0.01, self.stand_still, theirs)
                yield await reader.readuntil(b"\n\n")
                writer.close()

            def stand_still(self, theirs):
                theirs.sendall(events(2))
                time.sleep(1.0)
                theirs.close()

        client = FakeClient(ArrivedAnswer())
        got, routing = await serve(client, A, B)
        assert (got.end, got.body, len(client.sends)) == ("whole", events(1, 2), 1)
        assert not routing.health.in_cooldown(now_s=clocks.now_s())


class TestFailingRunner:
    @pytest.mark.parametrize("status", [500, 502])
    async def test_next_streams_go_elsewhere(self, status):
        """A first runner that says it is well and fails is left alone by all calls."""
        client = FakeClient(FakeAnswer(b"sorry", status=status), FakeAnswer(events(1)))
        got, routing = await serve(client, A, B)
        assert got.end == "whole"
        assert routing.path(admitted().service).first.id == "b"

    @pytest.mark.parametrize("status", [400, 404, 504])
    async def test_answer_about_the_call_says_nothing_of_the_runner(self, status):
        """A call's own fault, or its time that is over, rests nobody."""
        client = FakeClient(FakeAnswer(b"no", status=status), FakeAnswer(events(1)))
        _, routing = await serve(client, A, B)
        assert routing.path(admitted().service).first.id == "a"

    async def test_rest_is_short_and_grows(self):
        """Runners that fail a part of their streams come back soon; dead ones don't."""
        client = FakeClient(FakeAnswer(b"no", status=500), FakeAnswer(events(1)))
        _, routing = await serve(client, A, B)
        now_s = clocks.now_s()
        assert not routing.health.is_in_cooldown("a", now_s=now_s + 0.6)
        rests = []
        for _ in range(6):
            now_s += 20.0
            rests.append(
                routing.health.record_fault("a", ServerFault.FAILED, now_s=now_s)
            )
        assert rests == [1.0, 2.0, 4.0, 8.0, 12.0, 12.0]


class TestObstacles:
    async def test_runner_in_the_way_is_left_by_all_streams(self):
        """What a conflict tells holds for the instance's next streams at once."""
        moved = asyncio.Event()
        spares = [runner(name, 40, 80, kind="small") for name in ("spare", "last")]
        client = FakeClient(FakeAnswer(events(1), moved, events(2)))
        client.reports["head"] = report(stalled={"c1": TAIL.address})

        def on_repath():
            is_first = len(client.repaths) == 1
            client.repath_outcome = (
                OrderAnswer(
                    OrderOutcome.CONFLICT, client.repaths[0][2].stages[1].server.address
                )
                if is_first
                else OrderAnswer(OrderOutcome.DONE)
            )
            if not is_first:
                moved.set()

        client.on_repath = on_repath
        got, routing = await serve(client, HEAD, TAIL, *spares)
        assert got.end == "whole"
        first, second = (path.stages[1].server.id for _, _, path in client.repaths)
        assert first != second
        assert routing.health.is_in_cooldown(first, now_s=clocks.now_s())


class TestCallerLeaves:
    async def test_run_is_broken_off(self):
        """When the caller goes, the runner's answer is closed as cut."""
        answer = FakeAnswer(events(1), asyncio.Event())
        client = FakeClient(answer)
        client.reports["a"] = report()
        routing = make_routing(client, A, rng=random.Random(1), silence_limit_s=9)
        stream = StreamCall(routing, make_call(), admitted())
        responder = FakeResponder()
        task = asyncio.create_task(stream.serve(responder))
        async with asyncio.timeout(5):
            while not responder.body:
                await asyncio.sleep(0.001)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert answer.closed is False
        assert responder.end is None


class TestDoubt:
    async def test_first_send_may_go_to_who_seemed_full(self):
        """A refusal of a moment ago is no reason to refuse all that come."""
        client = FakeClient(FakeAnswer(events(1)))
        routing = make_routing(client, A, rng=random.Random(1))
        routing.health.record_fault(A.id, ServerFault.ABSENT, now_s=clocks.now_s())
        got = FakeResponder()
        await StreamCall(routing, make_call(), admitted()).serve(got)
        assert got.end == "whole"

    async def test_repeated_send_goes_to_none_of_them(self):
        """Retries are not spent on who has just refused."""
        client = FakeClient(refused_answer(), FakeAnswer(events(1)))
        with pytest.raises(OverloadedError):
            await serve(client, A)
        assert len(client.sends) == 1


class TestProbes:
    async def test_silent_runner_of_a_path_is_found(self):
        """Before a request has begun, nobody tells that a later runner is dead."""
        moved = asyncio.Event()
        client = FakeClient(FakeAnswer(moved, events(1)))
        client.reports["head"] = report()
        client.on_repath = moved.set
        got, routing = await serve(client, HEAD, TAIL, SPARE)
        assert got.end == "whole"
        assert [path.stages[1].server.id for _, _, path in client.repaths] == ["spare"]
        assert routing.health.excluded(now_s=clocks.now_s()) == {"tail"}

    async def test_runners_that_answer_are_not_left(self):
        """A slow request on a path that is well goes on."""
        client = FakeClient(FakeAnswer(0.08, events(1)))
        for name in ("head", "tail"):
            client.reports[name] = report()
        got, routing = await serve(client, HEAD, TAIL)
        assert got.end == "whole"
        assert client.repaths == []
        assert not routing.health.in_cooldown(now_s=clocks.now_s())


class TestLostAnswer:
    """Load pattern: runners run requests and a part of the answers never comes."""

    async def test_another_run_begins_within_the_target(self):
        """All runners are well and nobody waits: the caller is not kept waiting."""
        client = FakeClient(asyncio.Event(), FakeAnswer(events(1)))
        for name in ("a", "b"):
            client.reports[name] = report()
        started_s = clocks.now_s()
        got, _ = await serve(client, A, B, silence_limit_s=5.0)
        assert (got.end, got.body) == ("whole", events(1))
        assert [send.server.id for send in client.sends] == ["a", "b"]
        assert clocks.now_s() - started_s < 0.5

    @pytest.mark.parametrize(
        "told",
        [
            report()._replace(waiting=1),
            report(slowness=4.0),
            report()._replace(kv_used_part=0.99),
        ],
    )
    async def test_request_that_waits_at_its_runner_goes_on(self, told):
        """What is only full or slow is not sent a second time."""
        client = FakeClient(FakeAnswer(0.3, events(1)))
        for name in ("a", "b"):
            client.reports[name] = told
        got, _ = await serve(client, A, B, silence_limit_s=5.0)
        assert (got.end, len(client.sends)) == ("whole", 1)

    async def test_last_run_is_waited_for(self):
        """Where no further run is allowed, late is better than never."""
        client = FakeClient(ANSWER_LOST, FakeAnswer(0.3, events(1)))
        for name in ("a", "b"):
            client.reports[name] = report()
        got, _ = await serve(client, A, B, silence_limit_s=5.0)
        assert (got.end, len(client.sends)) == ("whole", 2)


class TestFullPipe:
    async def test_what_the_pipe_does_not_take_is_refused_at_once(self):
        """A path over a full pipe would make all requests late."""
        far = TAIL._replace(availability_zone="z2")
        client = FakeClient()
        slow = routing_engine(zone_link_mbps=10.0)
        service = admitted().service._replace(engine=slow)
        routing = make_routing(client, HEAD, far, rng=random.Random(1))
        allowed = admitted()._replace(service=service)
        with pytest.raises(OverloadedError) as caught:
            await StreamCall(routing, make_call(), allowed).serve(FakeResponder())
        assert (caught.value.ran, client.sends) == ("no", [])
        assert caught.value.retry_after_s


class TestNewStart:
    """Load pattern: runners crash and are back under their ids within a heartbeat."""

    async def test_stream_leaves_a_runner_that_started_again_at_once(self):
        """No gap in the list, no broken connection: the new start is all that shows."""
        moved = asyncio.Event()
        client = FakeClient(FakeAnswer(events(1), moved, events(2)))
        client.on_repath = moved.set
        routing = make_routing(
            client, HEAD, TAIL, SPARE, rng=random.Random(1), gap_limit_s="5.0"
        )
        stream = StreamCall(routing, make_call(), admitted())
        responder = FakeResponder()
        serving = asyncio.create_task(stream.serve(responder))
        await asyncio.sleep(0.02)
        again = TAIL._replace(started_ms=7, layers=None)
        started_s = clocks.now_s()
        routing.handle_restarts([TAIL])
        routing.backends.apply_changes([again], [], now_s=started_s)
        async with asyncio.timeout(2):
            await serving
        assert (responder.end, responder.body) == ("whole", events(1, 2))
        assert clocks.now_s() - started_s < 0.2
        assert [s.server.id for s in client.repaths[0][2].stages] == ["head", "spare"]

    async def test_stream_elsewhere_goes_on(self):
        """It is not on the runner that started again."""
        client = FakeClient(FakeAnswer(events(1), 0.05, events(2)))
        routing = make_routing(
            client, HEAD, TAIL, SPARE, rng=random.Random(1), gap_limit_s="5.0"
        )
        stream = StreamCall(routing, make_call(), admitted())
        responder = FakeResponder()
        serving = asyncio.create_task(stream.serve(responder))
        await asyncio.sleep(0.02)
        routing.handle_restarts([SPARE])
        await serving
        assert (responder.end, client.repaths) == ("whole", [])

    async def test_what_was_learnt_of_the_start_before_is_forgotten(self):
        """Its troubles and its pace were not the new one's."""
        routing = make_routing(FakeClient(), A, B, rng=random.Random(1))
        now_s = clocks.now_s()
        routing.health.record_fault("a", ServerFault.SILENT, now_s=now_s)
        routing.slow_runners.record("a", 9.0, now_s=now_s)
        routing.handle_restarts([A])
        assert not routing.health.in_cooldown(now_s=now_s)
        assert not routing.slow_runners.slow(now_s=now_s)
