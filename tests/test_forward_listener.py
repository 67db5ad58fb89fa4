# SPDX-License-Identifier: MIT
"""Forwarded requests whose answers end early, at the instance that serves them."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from own_ports import free_ports
from routing_samples import runner
from test_callers_listener import (
    LingeringClient,
    Site,
    SlowClient,
    StreamingClient,
    lines_of,
)
from violethatch import clocks, events
from violethatch._relay_http import RelayListener
from violethatch.errors import Ran
from violethatch.forwarding import FORWARD_PATH, ForwardClient, ForwardListener
from violethatch.forwarding._client import PeerRefusalError, TokenRefusedError
from violethatch.forwarding._wire import ForwardedRequest
from violethatch.instances import InstanceEntry
from violethatch.upstream import AnswerLostError


TOKEN = "secret"


class ServingInstance(Site):
    """An instance that takes forwarded requests."""

    async def start(self):
        await super().start()
        (port,) = free_ports(1)
        self.address = f"127.0.0.1:{port}"
        handlers = {FORWARD_PATH: ForwardListener(self.router).handle}
        relay = RelayListener({}, token=TOKEN, handlers=handlers)
        await relay.start(self.address)

    async def forward(self, session, call_id, *, path, runs=0, token=TOKEN, **options):
        """Hand a request over; return the answer once its head is there."""
        entry = InstanceEntry("i2", "z1", self.address, token, 1000.0, 0.0)
        request = ForwardedRequest(
            call_id=call_id,
            method="POST",
            host="menu.example",
            target=path,
            headers=[],
            body=b"a menu",
            key="key-1",
            age_ms=250.0,
            left_ms=30_000.0,
            last_event_id=None,
            prompt_tokens=None,
            state_version=1,
            runs=runs,
            sender="i1",
        )
        client = ForwardClient(session, session, **options)
        return await client.send(
            entry, request, is_repeatable=True, on_silent=lambda: False
        )


@pytest.fixture
def lines(monkeypatch):
    """Provide the lines that are logged, with their event."""
    logged = []
    monkeypatch.setattr(
        events, "log", lambda event, **fields: logged.append((event, fields))
    )
    return logged


@pytest.fixture
async def session():
    """Provide the sender's connections."""
    async with aiohttp.ClientSession() as made:
        yield made


async def serving(client):
    """Return an instance that is started."""
    site = ServingInstance(0, client=client)
    await site.start()
    return site


async def test_refused_token_is_not_told(session):
    """Guards against a sender that goes on showing the token of an earlier process."""
    site = await serving(StreamingClient(0.1))
    refused = []
    options = {"token": "earlier", "on_token_refused": refused.append}
    with pytest.raises(TokenRefusedError):
        await site.forward(session, "c1", path="/draft/1", **options)
    assert [one.token for one in refused] == ["earlier"]


async def test_forwarded_stream_cut_by_a_stop_has_a_line(lines, session):
    """The process ended under it, without a line at the instance that cut it."""
    site = await serving(StreamingClient(30.0))
    answer = await site.forward(session, "c1", path="/draft/1")
    parts = answer.parts()
    got = await anext(parts)
    site.stop_in(0.2)
    await site.listener.close()
    with pytest.raises(AnswerLostError):
        await anext(parts)
    assert got.endswith(b"id: 2\ndata: 2\n\n")
    (cut,) = lines_of(lines, events.ANSWER_CUT)
    assert (cut["request_id"], cut["forwarded_by"]) == ("c1", "i1")
    assert (cut["reason"], cut["is_begun"], cut["ran"]) == ("stopping", True, "maybe")
    assert cut["age_s"] >= 0.25
    # The instance that took it from its caller counts it.
    assert site.count("cut") == 0
    assert lines_of(lines, events.SENDER_LEFT) == []


async def test_stream_that_was_sent_twice_counts_as_one_send(lines, session):
    """The sender had it sent to a third runner, where two are allowed."""
    site = await serving(StreamingClient(0.1, error=AnswerLostError("lost")))
    site.router.routing.backends.apply_changes([runner("r2", 0, 80)], [], now_s=0.0)
    answer = await site.forward(session, "c1", path="/draft/1")
    with pytest.raises(AnswerLostError) as lost:
        async for _ in answer.parts():
            pass
    assert len(site.client.sends) == 2
    assert lost.value.sends == 2


async def test_forwarded_call_without_an_answer_may_go_elsewhere(lines, session):
    """A refusal that it may have run would have ended it at the sender."""
    site = await serving(SlowClient(30.0))
    asking = asyncio.create_task(site.forward(session, "c1", path="/label/1"))
    await asyncio.sleep(0.1)
    site.stop_in(0.2)
    await site.listener.close()
    with pytest.raises(AnswerLostError):
        await asking
    (cut,) = lines_of(lines, events.ANSWER_CUT)
    assert (cut["is_begun"], cut["ran"]) == (False, "maybe")


async def test_forwarded_call_that_is_slow_to_end(lines, session):
    """Cancelled a second time, it was blamed on its sender after all."""
    site = await serving(LingeringClient(30.0))
    asking = asyncio.create_task(site.forward(session, "c1", path="/label/1"))
    await asyncio.sleep(0.1)
    site.stop_in(0.1)
    await site.listener.close()
    asking.cancel()
    async with asyncio.timeout(1):
        while not lines_of(lines, events.ANSWER_CUT, events.SENDER_LEFT):
            await asyncio.sleep(0.01)
    assert lines_of(lines, events.SENDER_LEFT) == []
    (cut,) = lines_of(lines, events.ANSWER_CUT)
    assert (cut["request_id"], cut["forwarded_by"]) == ("c1", "i1")


async def test_forwarded_call_ends_before_the_process_closes(session):
    """The close looked at callers' connections alone."""
    site = await serving(SlowClient(0.3))
    asking = asyncio.create_task(site.forward(session, "c1", path="/label/1"))
    await asyncio.sleep(0.1)
    site.stop_in(2.0)
    began_s = clocks.now_s()
    await site.listener.close()
    assert 0.1 < clocks.now_s() - began_s < 1.0
    answer = await asking
    assert answer.status == 200
    assert [part async for part in answer.parts()] == [b"done"]


@pytest.mark.parametrize(
    ("runs", "event", "ran"),
    [(0, events.REQUEST_REFUSED, "no"), (1, events.REQUEST_FAILED, "maybe")],
)
async def test_refusal_of_what_has_run_elsewhere(lines, session, runs, event, ran):
    """Its line said that the request was refused unrun, after its answer was cut.

    The sender is told that nothing ran here, so that it may ask another instance.
    """
    site = await serving(StreamingClient(0.1))
    site.stop_in(0.0)
    with pytest.raises(PeerRefusalError) as refusal:
        await site.forward(session, "c1", path="/draft/1", runs=runs)
    assert refusal.value.error.ran is Ran.NO
    (refused,) = lines_of(lines, events.REQUEST_REFUSED, events.REQUEST_FAILED)
    assert lines_of(lines, event) == [refused]
    assert (refused["code"], refused["ran"]) == (1203, ran)
    assert refused["forwarded_by"] == "i1"
    assert refused["runs_before"] == runs


async def test_sender_that_leaves_has_a_line(lines, session):
    """The end of its connection broke the run off, and no line told why."""
    site = await serving(StreamingClient(30.0))
    answer = await site.forward(session, "c1", path="/draft/1")
    await anext(answer.parts())
    answer.close(is_whole=False)
    async with asyncio.timeout(1):
        while not lines_of(lines, events.SENDER_LEFT):
            await asyncio.sleep(0.01)
    (left,) = lines_of(lines, events.SENDER_LEFT)
    assert (left["request_id"], left["forwarded_by"]) == ("c1", "i1")
    assert lines_of(lines, events.CALLER_LEFT) == []
    assert site.count("caller_left") == 0
