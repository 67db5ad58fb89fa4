# SPDX-License-Identifier: MIT
"""Calls for an instance that has started again, once its new entry is known."""

from __future__ import annotations

import random

import pytest

from router_fakes import make_call
from test_forwarding_choice import entry
from test_silent_peers import TakenAnswer
from violethatch import clocks
from violethatch.errors import LinksLostError
from violethatch.forwarding import AnnouncedLinks, Forwarding, PeerChoice
from violethatch.forwarding._client import TokenRefusedError
from violethatch.memory_budget import MemoryBudget


PEER = entry(1, "z1")
STARTED = PEER._replace(token="another")
SERVICE = "model"


class RestartedClient:
    """Hands requests to an instance that refuses its former process's token."""

    async def send(self, _peer, _request, *, is_repeatable, on_silent):
        raise TokenRefusedError("status 403")


def test_new_process_rests_for_the_silence_before_it():
    """Guards against an instance that is back and not asked for seconds."""
    choice = PeerChoice("z1", AnnouncedLinks(), rng=random.Random(1))
    for now_s in (1.0, 2.0, 4.0):
        choice.note_silent(PEER, now_s=now_s)
    assert choice.choose([PEER], SERVICE, now_s=4.1) is None
    assert choice.choose([STARTED], SERVICE, now_s=4.2) == STARTED
    choice.note_silent(PEER, now_s=4.3)
    assert choice.choose([STARTED], SERVICE, now_s=5.0) == STARTED


async def send(forwarding):
    """Hand a call over; return who serves it, and the answer."""
    return await forwarding.send(
        make_call(),
        SERVICE,
        deadline_s=clocks.now_s() + 5.0,
        is_repeatable=True,
        waits_out_silence=False,
        runs=0,
        last_event_id=None,
    )


async def test_refused_token_is_taken_for_a_silence():
    """Guards against a pause after the entry by which the instance can be asked."""
    peers = [PEER]
    forwarding = Forwarding(
        RestartedClient(),
        own_id="i0",
        peers=lambda: peers,
        choice=PeerChoice("z1", AnnouncedLinks(), rng=random.Random(1)),
        state_version=lambda: 1,
        retry_after_s=lambda: 1.0,
        memory=MemoryBudget(1_000_000),
        max_answer_bytes=lambda: 1_000_000,
    )
    with pytest.raises(LinksLostError):
        await send(forwarding)
    peers[0] = STARTED
    assert forwarding.has_peer(SERVICE)


class FormerClient:
    """Hands requests to instances of which the first ones have started again.

    Args:
        former: How many of them.
    """

    def __init__(self, former):
        self.former = former
        self.peers = [entry(number, "z1") for number in range(former + 1)]

    async def send(self, peer, _request, *, is_repeatable, on_silent):
        if peer is not self.peers[-1]:
            self.peers.remove(peer)  # as the directory doesn't offer it any more
            raise TokenRefusedError("status 403")
        return TakenAnswer()


async def test_refused_tokens_use_up_what_is_asked_for_a_call():
    """They say nothing of links, and none is shown twice."""
    client = FormerClient(20)
    choice = PeerChoice("z1", AnnouncedLinks(), rng=random.Random(1))
    for peer in client.peers:
        in_flight = 50 if peer is client.peers[-1] else 0
        choice.note_load(peer.id, in_flight, now_s=clocks.now_s())
    forwarding = Forwarding(
        client,
        own_id="i0",
        peers=lambda: client.peers,
        choice=choice,
        state_version=lambda: 1,
        retry_after_s=lambda: 1.0,
        memory=MemoryBudget(1_000_000),
        max_answer_bytes=lambda: 1_000_000,
    )
    await send(forwarding)
    assert len(client.peers) == 1
