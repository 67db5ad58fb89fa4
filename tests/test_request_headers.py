# SPDX-License-Identifier: MIT
"""Every header of a caller, over every way that a call can go."""

from __future__ import annotations

import asyncio
import random

import pytest

from multidict import CIMultiDict

from router_fakes import (
    FakeAnswer,
    FakeClient,
    FakeResponder,
    broken_connection,
    events,
    make_call,
    make_routing,
)
from routing_samples import call_route, desired_state, plain_route, plain_server, runner
from violethatch._plain_calls import PlainCall
from violethatch.desired import CallKind, Split
from violethatch.forwarding._forwarding import Forwarding
from violethatch.forwarding._listener import _call
from violethatch.forwarding._wire import decoded_request, encoded
from violethatch.memory_budget import MemoryBudget
from violethatch.platform import _headers
from violethatch.platform._requests import _last_event_id
from violethatch.platform._runners import _request_headers
from violethatch.streams import StreamCall


PASSED = object()
REMOVED = object()
#: By header, what a caller sends and what a server gets; PASSED where it is the same.
TABLE = {
    "Violethatch-Attempt-Id": ("c1", PASSED),
    "Violethatch-Model": ("daka", PASSED),
    "Violethatch-Token-Count": ("800,80", PASSED),
    "Violethatch-Prompt-Prefix": ("5c1e:800,91bd:410", PASSED),
    "Length-Hint": ("80", PASSED),
    "X-Own": ("one", PASSED),
    "Content-Type": ("text/plain", PASSED),
    "Last-Event-Id": ("2", PASSED),
    "Authorization": ("Token key-1", REMOVED),
    "Expect-Version": ("7", REMOVED),
    "Connection": ("X-Hop", REMOVED),
    "X-Hop": ("one", REMOVED),
    "Keep-Alive": ("9", REMOVED),
    "TE": ("trailers", REMOVED),
    "Violethatch-Tenant": ("another", "clinic"),
    "Violethatch-Target-Instance": ("another", "the server's"),
    "Violethatch-Deadline-Ms": ("5000", "what is left"),
    "Priority": ("9", "the call's"),
    "Path": ("10.0.0.1:1=0-80", "the path"),
}
PLAIN_STREAM = call_route(splits=(Split("labels", 1.0),), max_attempts=3)
MODEL_STREAM = call_route(max_attempts=3)
SAFE = plain_route(max_attempts=3, path_prefix="/draft/")
ONCE = plain_route(kind=CallKind.ONCE, path_prefix="/draft/")


class _Request:
    """What is read of a request besides its body."""

    def __init__(self, headers):
        self.headers = CIMultiDict(headers)


def caller_call(last_event_id):
    """Return a call as it is read of its caller's headers."""
    headers = {name: value for name, (value, _) in TABLE.items()}
    headers["Last-Event-Id"] = last_event_id
    if last_event_id is None:
        del headers["Last-Event-Id"]
    request = _Request(headers)
    return make_call(
        headers=_headers.passed_on(list(headers.items())),
        last_event_id=_last_event_id(request),
    )


def forwarded(call):
    """Return a call as another instance gets it."""
    forwarding = Forwarding(
        None,
        own_id="i1",
        peers=list,
        choice=None,
        state_version=lambda: 1,
        retry_after_s=lambda: 1.0,
        memory=MemoryBudget(1),
        max_answer_bytes=lambda: 1,
    )
    message = forwarding._request(
        call, deadline_s=call.deadline_s, runs=0, last_event_id=call.last_event_id
    )
    return _call(decoded_request(encoded(message)), now_s=call.received_s)


async def sends_of(route, answers, *, last_event_id, is_forwarded):
    """Serve a call; return its sends and the caller's response."""
    client = FakeClient(*answers)
    servers = [runner(name, 0, 80, kind="large") for name in "ab"]
    servers += [plain_server(name) for name in "cd"]
    routing = make_routing(client, *servers, rng=random.Random(1))
    call = caller_call(last_event_id)
    if is_forwarded:
        call = forwarded(call)
    admitted = desired_state(route).admit(
        host=call.host, path=call.target, key="key-1", call_id=call.id
    )
    kind = StreamCall if admitted.service.engine else PlainCall
    responder = FakeResponder()
    async with asyncio.timeout(10):
        await kind(routing, call, admitted).serve(responder)
    return client.sends, responder


def check(send, *, last_event_id):
    """Check a send's headers against the table."""
    headers = _request_headers(send)
    for name, (value, wanted) in TABLE.items():
        got = headers.getall(name, [])
        if name == "Last-Event-Id":
            assert got == ([] if last_event_id is None else [last_event_id])
        elif wanted is PASSED:
            assert got == [value], name
        elif wanted is REMOVED:
            assert got == [], name
        elif name == "Path":
            assert got == ([] if send.path is None else [got[0]])
            assert value not in got
        else:
            assert len(got) == 1, name
            assert got != [value], name
    assert headers["Violethatch-Tenant"] == "clinic"
    assert headers["Violethatch-Target-Instance"] == send.server.id


@pytest.mark.parametrize("is_forwarded", [False, True])
@pytest.mark.parametrize("last_event_id", [None, "2", "page-7", "", "-1", "9" * 30])
class TestSends:
    @pytest.mark.parametrize(
        "route", [SAFE, ONCE, PLAIN_STREAM], ids=["safe", "once", "stream"]
    )
    async def test_plain_call(self, route, last_event_id, is_forwarded):
        """The header was lost on each route to a service without an engine."""
        sends, _ = await sends_of(
            route,
            [FakeAnswer(events(3, 4))],
            last_event_id=last_event_id,
            is_forwarded=is_forwarded,
        )
        assert len(sends) == 1
        check(sends[0], last_event_id=last_event_id)

    @pytest.mark.parametrize("route", [SAFE, PLAIN_STREAM], ids=["safe", "stream"])
    async def test_second_send_of_a_plain_call(
        self, route, last_event_id, is_forwarded
    ):
        sends, _ = await sends_of(
            route,
            [FakeAnswer(events(3), broken_connection()), FakeAnswer(events(3, 4))],
            last_event_id=last_event_id,
            is_forwarded=is_forwarded,
        )
        assert len(sends) == 2
        for send in sends:
            check(send, last_event_id=last_event_id)

    async def test_model_stream(self, last_event_id, is_forwarded):
        first = 3 if last_event_id == "2" else 1
        sends, _ = await sends_of(
            MODEL_STREAM,
            [FakeAnswer(events(first, first + 1))],
            last_event_id=last_event_id,
            is_forwarded=is_forwarded,
        )
        check(sends[0], last_event_id=last_event_id)

    async def test_model_stream_that_is_resumed(self, last_event_id, is_forwarded):
        """The system's own resumption names the last event that the caller has."""
        first = 3 if last_event_id == "2" else 1
        sends, responder = await sends_of(
            MODEL_STREAM,
            [
                FakeAnswer(events(first), broken_connection()),
                FakeAnswer(events(first + 1, first + 2)),
            ],
            last_event_id=last_event_id,
            is_forwarded=is_forwarded,
        )
        check(sends[0], last_event_id=last_event_id)
        check(sends[1], last_event_id=str(first))
        assert responder.body == events(first, first + 1, first + 2)


class TestResumedStream:
    @pytest.mark.parametrize("first", [1, 3])
    async def test_stream_of_a_plain_service_has_no_event_twice(self, first):
        """Also where its server begins anew."""
        _, responder = await sends_of(
            PLAIN_STREAM,
            [FakeAnswer(events(*range(first, 6)))],
            last_event_id="2",
            is_forwarded=False,
        )
        assert responder.body == events(3, 4, 5)

    async def test_failure_of_a_plain_service_is_passed_on_as_it_is(self):
        route = call_route(splits=(Split("labels", 1.0),), max_attempts=1)
        _, responder = await sends_of(
            route,
            [FakeAnswer(events(1, 2), status=500)],
            last_event_id="2",
            is_forwarded=False,
        )
        assert (responder.status, responder.body) == (500, events(1, 2))
