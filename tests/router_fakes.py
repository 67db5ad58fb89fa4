# SPDX-License-Identifier: MIT
"""Fakes at the router's interfaces: backend servers and callers."""

from __future__ import annotations

import asyncio

from routing_samples import desired_state
from test_router_settings import filled
from violethatch import clocks
from violethatch._routing import Routing
from violethatch.router_settings import parse_router_settings
from violethatch.upstream import (
    AnswerLostError,
    Call,
    ConnectionBrokenError,
    OrderAnswer,
    OrderOutcome,
    ReachOutcome,
    Refusal,
    RunnerReport,
    Send,
)


def events(*numbers):
    """Return the bytes of server-sent events."""
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in numbers)


def report(*, stalled=None, layers=None, sequence=0, is_busy=False, slowness=1.0):
    """Return a runner's report."""
    return RunnerReport(
        sequence=sequence,
        is_busy=is_busy,
        waiting=0,
        running=0,
        kv_used_part=0.0,
        slowness=slowness,
        layers=layers,
        stalled=stalled or {},
    )


class FakeAnswer:
    """A scripted response: bytes, delays, awaited events or a final error."""

    #: The number of sends that an instance reports by default.
    sends = 1
    #: The declared length of the body.
    length = None

    def __init__(
        self,
        *script,
        status=200,
        refusal=None,
        is_framed=True,
        load=None,
        headers=(("Proof", "one"),),
    ):
        self.script = script
        self.status = status
        self.refusal = refusal
        self.is_framed = is_framed
        self.load = load
        self.headers = headers
        self.closed = None

    async def parts(self):
        for step in self.script:
            if isinstance(step, bytes):
                yield step
            elif isinstance(step, asyncio.Event):
                await step.wait()
            elif isinstance(step, Exception):
                raise step
            else:
                await asyncio.sleep(step)

    def close(self, *, is_whole):
        self.closed = is_whole


def refused_answer(*, address=None, is_misdirected=False):
    """Return a rejection of a call that was not executed."""
    return FakeAnswer(status=503, refusal=Refusal(address, is_misdirected))


ANSWER_LOST = AnswerLostError("lost")


def broken_connection():
    """Return the error of a broken connection."""
    return ConnectionBrokenError("broken")


class FakeClient:
    """Returns scripted responses, and records all calls."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.sends = []
        self.repaths = []
        self.placed = []
        self.reports = {}
        self.refusing_ids = set()
        self.checked_ids = []
        self.repath_outcome = OrderAnswer(OrderOutcome.DONE)
        self.place_outcome = OrderAnswer(OrderOutcome.BEGUN)
        self.on_repath = None

    async def send(self, send):
        self.sends.append(send)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, asyncio.Event):
            await answer.wait()
        return await answer() if callable(answer) else answer

    async def is_refusing(self, server):
        self.checked_ids.append(server.id)
        return server.id in self.refusing_ids

    async def reach(self, server, *, health_path):
        return (
            ReachOutcome.SILENT
            if server.id in self.refusing_ids
            else ReachOutcome.ANSWERED
        )

    async def report(self, server):
        return self.reports.get(server.id)

    async def repath(self, server, call_id, path):
        self.repaths.append((server.id, call_id, path))
        if self.on_repath is not None:
            self.on_repath()
        return self.repath_outcome

    async def place(self, server, layers, *, fence, expected_sequence):
        self.placed.append((server.id, layers, fence, expected_sequence))
        return self.place_outcome


class FakeResponder:
    """Records the response that a caller gets."""

    def __init__(self):
        self.status = None
        self.headers = ()
        self.body = b""
        self.end = None
        self.is_framed = None

    async def answer(self, status, headers, body, *, is_framed=True):
        await self.start(status, headers, is_framed=is_framed)
        await self.write(body)
        await self.finish()

    async def start(self, status, headers, *, is_framed=True, length=None):
        self.status = status
        self.headers = headers
        self.is_framed = is_framed

    async def write(self, data):
        assert self.status is not None
        self.body += data

    async def finish(self):
        self.end = "whole"

    def abort(self):
        self.end = "cut"


SHORT_LIMITS = {
    "first_event_limit_s": "0.05",
    "gap_limit_s": "0.05",
    "silence_limit_s": "0.1",
}


def settings(**policy):
    """Return the router's settings with short limits."""
    lines = [f"{key} = {value}" for key, value in (SHORT_LIMITS | policy).items()]
    return parse_router_settings(filled() + "\n[policy]\n" + "\n".join(lines))


def make_routing(client, *servers, rng, **policy):
    """Return the shared state of calls, with servers listed."""
    routing = Routing(settings(**policy), client, rng)
    routing.backends.apply_changes(servers, [], now_s=clocks.now_s())
    return routing


def make_call(*, path="/draft/1", timeout_s=5.0, **changes):
    """Return a caller's request."""
    now_s = clocks.now_s()
    call = Call(
        id="c1",
        method="POST",
        host="menu.example",
        target=path,
        headers=(),
        body=b"a menu",
        key="key-1",
        received_s=now_s,
        deadline_s=now_s + timeout_s,
        last_event_id=None,
        prompt_tokens=800,
    )
    return call._replace(**changes)


def send_to(server, *, method="POST", is_new=True):
    """Return a send of a call to a server, over a new connection or a kept one."""
    return Send(
        call=make_call(method=method, headers=[("Violethatch-Attempt-Id", "c1")]),
        server=server,
        path=None,
        deadline_s=1e9,
        priority=1,
        workspace=None,
        last_event_id=None,
        needs_new_connection=is_new,
    )


def admitted(*routes):
    """Return the sample call as a desired state admits it."""
    state = desired_state(*routes)
    return state.admit(host="menu.example", path="/draft/1", key="key-1", call_id="c1")
