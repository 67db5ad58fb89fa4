# SPDX-License-Identifier: MIT
"""What the platform's servers say of themselves, in whichever answer it stands."""

from __future__ import annotations

import asyncio
import math
import time

import pytest

from aiohttp import web
from multidict import CIMultiDict

from router_fakes import make_call
from routing_samples import runner
from violethatch.layers import LayerRange
from violethatch.paths import Path, Stage
from violethatch.upstream import AnswerLostError, Send


class Server:
    """Gives each request the same answer."""

    def __init__(self):
        self.status = 200
        self.headers = []
        self.call_id = "c1"
        self.address = ""

    async def answer(self, _request):
        headers = CIMultiDict([("Violethatch-Attempt-Id", self.call_id)])
        headers.extend(self.headers)
        return web.Response(status=self.status, headers=headers, body=b"{}")


class Heard:
    """Notes what servers say of themselves."""

    def __init__(self):
        self.words = []

    def record_signals(self, server, word, request_id):
        if (
            word.has_signals
            or word.finite_limit_per_s is not None
            or word.unknown_headers
        ):
            self.words.append((server.id, word, request_id))

    async def admit(self, _server, _sending, _request_id, *, priority):
        return None

    def check_send(self, _server, _sending, _request_id, _permit):
        pass

    def release_permit(self, _server, _permit, *, was_written):
        pass


@pytest.fixture
async def server():
    """Provide a server that listens."""
    made = Server()
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", made.answer)
    serving = web.AppRunner(app)
    await serving.setup()
    await web.TCPSite(serving, "127.0.0.1", 0).start()
    made.address = f"127.0.0.1:{serving.addresses[0][1]}"
    yield made
    await serving.cleanup()


@pytest.fixture
async def runners(runners):
    """Provide the client of servers, and what it heard."""
    runners.gate = Heard()
    return runners


async def ask(runners, server, how):
    """Ask a server in one of the ways there are.

    A report that takes over 20 ms is asked for on a second connection as well.
    """
    one = runner("s1", 0, 80, address=server.address)
    path = Path((Stage(one, LayerRange(0, 80)),), 1.0)
    call = make_call()
    if how == "report":
        return await runners.report(one)
    if how == "move":
        return await runners.repath(one, "c1", path)
    if how == "order":
        return await runners.place(one, LayerRange(0, 2), fence=1, expected_sequence=0)
    send = Send(call, one, path, call.deadline_s, 1, None, None, False)
    answer = await runners.send(send)
    answer.close(is_whole=False)
    return answer


@pytest.mark.parametrize("how", ["call", "report", "move", "order"])
@pytest.mark.parametrize("status", [200, 404, 500, 503])
async def test_leaving_is_heard_in_every_answer(runners, server, how, status):
    """Success, error or refusal, of a call or of anything else."""
    server.status = status
    server.headers = [("Server-Leaving", "1")]
    await ask(runners, server, how)
    ((server_id, word, _),) = set(runners.gate.words)
    assert (server_id, word.is_leaving, word.backoff_s, word.invalid) == (
        "s1",
        True,
        None,
        "",
    )


@pytest.mark.parametrize("how", ["call", "report", "move", "order"])
async def test_rest_is_heard_in_every_answer_that_turns_away(runners, server, how):
    """Whatever was turned away, with the call's id where it was a call."""
    server.status = 503
    server.headers = [("Retry-After", "2.5"), ("Violethatch-Not-Executed", "1")]
    await ask(runners, server, how)
    ((_, word, request_id),) = set(runners.gate.words)
    assert (word.backoff_s, word.status) == (2.5, 503)
    assert request_id == ("" if how in ("report", "order") else "c1")


@pytest.mark.parametrize("turns", [1, 4, 8])
@pytest.mark.parametrize("hold_s", [0.03, 0.1])
async def test_word_is_heard_twice_where_the_loop_stood_still(
    runners, server, turns, hold_s
):
    """A report is not asked for on another connection for that."""
    server.status = 503
    server.headers = [("Retry-After", "2.5")]
    asking = asyncio.ensure_future(ask(runners, server, "report"))
    for _ in range(turns):
        await asyncio.sleep(0)
    time.sleep(hold_s)
    await asking
    assert len(runners.gate.words) == 1


async def test_refusal_carries_the_word(runners, server):
    """What is done about a refusal knows what the server asks for."""
    server.status = 503
    server.headers = [("Retry-After", "2"), ("Violethatch-Not-Executed", "1")]
    answer = await ask(runners, server, "call")
    assert answer.refusal.signals.backoff_s == 2.0


async def test_two_figures(runners, server):
    """The longer of two headers counts."""
    server.status = 503
    server.headers = [("Retry-After", "1"), ("Retry-After", "3")]
    await ask(runners, server, "call")
    assert runners.gate.words[0][1].backoff_s == 3.0


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (200, []),
        (503, []),
        (200, [("Retry-After", "3")]),
        (200, [("Server-Leaving", "0")]),
    ],
)
async def test_nothing_is_said(runners, server, status, headers):
    """Without a word, or with a figure beside an answer that turns nothing away."""
    server.status = status
    server.headers = headers
    await ask(runners, server, "call")
    assert runners.gate.words == []


@pytest.mark.parametrize(
    ("status", "header"),
    [
        (503, ("Retry-After", "soon")),
        (503, ("Retry-After", "-1")),
        (200, ("Server-Leaving", "yes")),
        (200, ("Server-Leaving", "")),
    ],
)
async def test_garbled_words_are_told(runners, server, status, header):
    """They count for nothing, and are passed on for the log."""
    server.status = status
    server.headers = [header]
    await ask(runners, server, "call")
    ((_, word, _),) = runners.gate.words
    assert word.invalid
    assert (word.backoff_s, word.is_leaving) == (None, False)


async def test_word_beside_another_calls_answer(runners, server):
    """An answer that belongs to another call is still that server's."""
    server.call_id = "c9"
    server.headers = [("Server-Leaving", "1")]
    with pytest.raises(AnswerLostError):
        await ask(runners, server, "call")
    assert runners.gate.words[0][1].is_leaving


@pytest.mark.parametrize("how", ["call", "report", "move", "order"])
@pytest.mark.parametrize("status", [200, 404, 421, 429, 500, 503])
async def test_limit_is_heard_in_every_answer(runners, server, how, status):
    """Also beside a rest, and beside a refusal; with when it was asked."""
    server.status = status
    server.headers = [("Server-Limit", "2.4"), ("Retry-After", "1")]
    await ask(runners, server, how)
    ((_, word, _),) = set(runners.gate.words)
    assert word.limit_per_s == 2.4
    assert word.sent_s > 0


@pytest.mark.parametrize(
    ("status", "limit_a_s"), [(200, math.inf), (500, math.inf), (421, None)]
)
async def test_answer_without_a_limit(runners, server, status, limit_a_s):
    """It says that there is none, unless it may be another server's."""
    server.status = status
    server.headers = [("Server-Leaving", "1")]
    await ask(runners, server, "call")
    assert runners.gate.words[0][1].limit_per_s == limit_a_s


async def test_limit_beside_another_calls_answer(runners, server):
    """It was given at any time before, and is no later than what is known."""
    server.call_id = "c9"
    server.headers = [("Server-Limit", "2.4")]
    with pytest.raises(AnswerLostError):
        await ask(runners, server, "call")
    ((_, word, _),) = runners.gate.words
    assert (word.limit_per_s, word.sent_s) == (2.4, 0.0)


async def test_garbled_limit_is_told(runners, server):
    """It neither sets a limit nor ends one, and is passed on for the log."""
    server.headers = [("Server-Limit", "few")]
    await ask(runners, server, "call")
    ((_, word, _),) = runners.gate.words
    assert (word.limit_per_s, word.invalid) == (None, "limit few")


async def test_words_that_nothing_reads(runners, server):
    """Headers of the platform's that aren't known are told, few and shortened."""
    names = ["Violethatch-New-Word", "Server-Mood", "X-Other", "Server", "Date"]
    names += [f"Server-{'long' * 40}-{n}" for n in range(9)]
    server.headers = [(name, "1") for name in names]
    await ask(runners, server, "call")
    ((_, word, _),) = runners.gate.words
    assert len(word.unknown_headers) == 4
    assert max(map(len, word.unknown_headers)) == 64
    server.headers = [(name, "1") for name in names[:5]]
    await ask(runners, server, "call")
    assert runners.gate.words[1][1].unknown_headers == (
        "server-mood",
        "violethatch-new-word",
    )
