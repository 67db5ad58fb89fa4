# SPDX-License-Identifier: MIT
"""An instance that serves a forwarded stream stands still for a while."""

from __future__ import annotations

import asyncio
import contextlib
import random

from router_fakes import FakeAnswer, FakeResponder, admitted, events, make_call
from test_forwarding_choice import entry
from violethatch import clocks
from violethatch._stream_output import StreamOutput
from violethatch.errors import ServiceUnreachableError
from violethatch.forwarding import (
    AnnouncedLinks,
    ForwardedCall,
    Forwarding,
    PeerChoice,
)
from violethatch.forwarding._client import NotTakenError, PeerRefusalError
from violethatch.forwarding._wire import Refusal
from violethatch.memory_budget import MemoryBudget
from violethatch.upstream import AnswerLostError


SERVING, OTHER = entry(1, "z1"), entry(2, "z1")


class FrozenAnswer:
    """A stream whose instance says nothing after some events, and goes on then."""

    status = 200
    is_framed = True
    headers = ()
    in_flight = 1
    sends = 1

    def __init__(self, on_silent):
        self.on_silent = on_silent

    async def parts(self):
        yield events(1, 2)
        await asyncio.sleep(0.01)
        if not self.on_silent():
            raise AnswerLostError("silent")
        yield events(3)

    def close(self, *, is_whole):
        pass


class SilentAnswer(FakeAnswer):
    """A stream whose instance says nothing after some events until it is let go of.

    Args:
        on_silent: Called at its silence.
        after_s: When it goes on, if it is not let go of, in seconds.
    """

    in_flight = 1

    def __init__(self, on_silent, *, after_s, sends=1):
        self.sends = sends
        super().__init__(events(1, 2))
        self.on_silent = on_silent
        self.after_s = after_s
        self.is_closed = asyncio.Event()

    async def parts(self):
        yield events(1, 2)
        assert self.on_silent()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.is_closed.wait(), self.after_s)
            raise AnswerLostError("closed")
        yield events(3)
        await asyncio.sleep(0.05)
        yield events(4)

    def close(self, *, is_whole):
        self.is_closed.set()


class TakenAnswer(FakeAnswer):
    """What another instance gives."""

    in_flight = 1
    is_closed = False

    def close(self, *, is_whole):
        self.is_closed = not is_whole


class Client:
    """One instance takes the call, the other one has just started and knows nobody."""

    async def send(self, peer, _request, *, is_repeatable, on_silent):
        if peer.id == OTHER.id:
            raise NotTakenError("status 403")
        return FrozenAnswer(on_silent)


class TakingClient:
    """One instance falls silent, the other one takes what is left.

    Args:
        taken: What the other one gives.
        taken_s: How long it takes to give its head, in seconds.
        after_s: When the silent one goes on, in seconds.
        sends: How often the silent one has sent the call.
    """

    def __init__(self, taken, *, taken_s, after_s, sends=1):
        self.sends = sends
        self.taken = taken
        self.taken_s = taken_s
        self.after_s = after_s
        self.requests = []

    async def send(self, peer, request, *, is_repeatable, on_silent):
        self.requests.append((peer.id, request.last_event_id, request.runs))
        if peer.id == OTHER.id:
            await asyncio.sleep(self.taken_s)
            return self.taken
        return SilentAnswer(on_silent, after_s=self.after_s, sends=self.sends)


async def test_stream_is_cut_at_an_instances_standstill_that_no_other_takes_over():
    """The instance goes on; nobody else has taken the stream meanwhile."""
    responder, _ = await forwarded(Client())
    assert responder.end == "whole"
    assert responder.body == events(1, 2, 3)


async def test_stream_is_taken_over_from_a_silent_instance():
    """The other instance goes on after the caller's last event."""
    taken = TakenAnswer(events(3), 0.01, events(4))
    client = TakingClient(taken, taken_s=0.02, after_s=5.0)
    responder, call = await forwarded(client)
    assert (responder.end, responder.body) == ("whole", events(1, 2, 3, 4))
    assert client.requests == [(SERVING.id, None, 0), (OTHER.id, 2, 1)]
    assert call.runs == 1


async def test_stream_that_a_silent_instance_has_sent_twice_is_not_taken_over():
    """A third runner would have it, and two are allowed."""
    taken = TakenAnswer(events(3), events(4))
    client = TakingClient(taken, taken_s=0.0, after_s=0.03, sends=2)
    responder, call = await forwarded(client)
    assert (responder.end, responder.body) == ("whole", events(1, 2, 3, 4))
    assert client.requests == [(SERVING.id, None, 0)]
    assert call.served_by == SERVING.id


class BrokenClient:
    """Each instance has sent the stream twice, and its answer ends within an event."""

    def __init__(self):
        self.asked = 0

    async def send(self, _peer, _request, *, is_repeatable, on_silent):
        self.asked += 1
        answer = TakenAnswer(events(1, 2)[:-3], is_framed=False)
        answer.sends = 2
        return answer


async def test_broken_answer_of_a_stream_that_was_sent_twice_counts_as_one_send():
    """Another instance would have sent it to a third runner."""
    client = BrokenClient()
    responder, call = await forwarded(client)
    assert responder.end != "whole"
    assert (client.asked, call.runs) == (1, 2)


async def test_silent_instance_that_goes_on_is_not_replaced():
    """The other one has not taken the stream yet; each event comes once."""
    taken = TakenAnswer(events(3), events(4))
    client = TakingClient(taken, taken_s=0.1, after_s=0.03)
    responder, call = await forwarded(client)
    assert (responder.end, responder.body) == ("whole", events(1, 2, 3, 4))
    assert call.served_by == SERVING.id


class UnreachingClient:
    """The first instance that is asked reaches no server; the second one serves."""

    def __init__(self):
        self.asked = []

    async def send(self, peer, _request, **_options):
        self.asked.append(peer.id)
        if len(self.asked) > 1:
            return TakenAnswer(events(1, 2, 3, 4))
        error = ServiceUnreachableError()
        refusal = Refusal(error.code, error.detail, error.ran.value, 1.0, 0)
        raise PeerRefusalError(error, refusal)


async def test_instance_that_reaches_no_server_answers_for_all():
    """Its links to some servers may be lost; another instance has its own."""
    client = UnreachingClient()
    responder, call = await forwarded(client)
    assert client.asked == [SERVING.id, OTHER.id]
    assert responder.end == "whole"
    assert call.served_by == OTHER.id


async def forwarded(client):
    """Serve a stream through other instances; return the caller's end and the call."""
    choice = PeerChoice("z1", AnnouncedLinks(), rng=random.Random(1))
    for peer, in_flight in ((SERVING, 0), (OTHER, 50)):
        choice.note_load(peer.id, in_flight, now_s=clocks.now_s())
    forwarding = Forwarding(
        client,
        own_id="i0",
        peers=lambda: [SERVING, OTHER],
        choice=choice,
        state_version=lambda: 1,
        retry_after_s=lambda: 1.0,
        memory=MemoryBudget(1_000_000),
        max_answer_bytes=lambda: 1_000_000,
    )
    call = make_call()
    rights = admitted()
    output = StreamOutput(call, rights.route)
    served = ForwardedCall(forwarding, call, rights, runs=0, output=output)
    responder = FakeResponder()
    async with asyncio.timeout(5):
        await served.serve(responder)
    return responder, served
