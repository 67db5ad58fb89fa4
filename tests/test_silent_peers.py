# SPDX-License-Identifier: MIT
"""An instance that serves a forwarded stream stands still for a while."""

from __future__ import annotations

import asyncio
import random

from router_fakes import FakeResponder, admitted, events, make_call
from test_forwarding_choice import entry
from violethatch._stream_output import StreamOutput
from violethatch.forwarding import ForwardedCall, Forwarding, PeerChoice
from violethatch.forwarding._client import NotTakenError
from violethatch.upstream import AnswerLostError


SERVING, OTHER = entry(1, "z1"), entry(2, "z1")


class FrozenAnswer:
    """A stream whose instance says nothing after some events, and goes on then."""

    status = 200
    is_framed = True
    headers = ()
    in_flight = 1

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


class Client:
    """One instance takes the call, the other one has just started and knows nobody."""

    async def send(self, peer, _request, *, is_repeatable, on_silent):
        if peer.id == OTHER.id:
            raise NotTakenError("status 403")
        return FrozenAnswer(on_silent)


async def test_stream_is_cut_at_an_instances_standstill_that_no_other_takes_over():
    """The instance goes on; nobody else has taken the stream meanwhile."""
    choice = PeerChoice("z1", rng=random.Random(1))
    choice.note_load(OTHER.id, 50, now_s=0.0)
    forwarding = Forwarding(
        Client(),
        own_id="i0",
        peers=lambda: [SERVING, OTHER],
        choice=choice,
        state_version=lambda: 1,
        retry_after_s=lambda: 1.0,
    )
    call = make_call()
    rights = admitted()
    output = StreamOutput(call, rights.route)
    forwarded = ForwardedCall(forwarding, call, rights, runs=0, output=output)
    responder = FakeResponder()
    await forwarded.serve(responder)
    assert responder.end == "whole"
    assert responder.body == events(1, 2, 3)
