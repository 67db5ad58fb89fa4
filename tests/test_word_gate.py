# SPDX-License-Identifier: MIT
"""All ways to a server keep to what it has said of itself."""

from __future__ import annotations

import asyncio
import math
import random

import pytest

from mortal_fleet import Fleet, Servers
from router_fakes import (
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
from routing_samples import runner
from signaling_servers import (
    LEAVING_S,
    measure_loop_lag,
    preferred_servers,
    servers_and_instances,
    slow_connects,
)
from violethatch import clocks
from violethatch import events as log_events
from violethatch.errors import OverloadedError
from violethatch.layers import LayerRange
from violethatch.limit_permits import Permit
from violethatch.paths import Path, Stage
from violethatch.runner_health import ServerFault
from violethatch.streams import StreamCall
from violethatch.upstream import (
    KeptBackError,
    OrderAnswer,
    OrderOutcome,
    Refusal,
    Send,
    SendKind,
    ServerSignals,
)


REST = ServerSignals(status=503, backoff_s=30.0, is_binding=True)
LEAVES = ServerSignals(status=200, is_leaving=True)
WAYS = ["call", "report", "move", "order"]


@pytest.fixture
def lines(monkeypatch):
    """Provide the lines that are logged, by their event."""
    logged = []
    monkeypatch.setattr(
        log_events, "log", lambda event, **fields: logged.append((event, fields))
    )
    return logged


def lines_of(lines, event):
    """Return the fields of an event's lines."""
    return [fields for one, fields in lines if one is event]


def path_of(server):
    """Return a path over one server."""
    return Path((Stage(server, LayerRange(0, 80)),), 1.0)


def send_to(server, *, call_id="c1", is_fresh=False):
    """Return a send of the sample call to a server."""
    call = make_call(id=call_id, headers=(("Violethatch-Attempt-Id", call_id),))
    return Send(call, server, path_of(server), call.deadline_s, 1, None, None, is_fresh)


async def try_way(client, server, how):
    """Try one of the ways to a server; tell whether it was kept back."""
    try:
        if how == "call":
            (await client.send(send_to(server))).close(is_whole=False)
            return False
        if how == "report":
            await client.report(server)
            return False
    except KeptBackError:
        return True
    if how == "move":
        order = await client.repath(server, "c1", path_of(server))
    else:
        layers = LayerRange(0, 2)
        order = await client.place(server, layers, fence=1, expected_sequence=0)
    return order.outcome is OrderOutcome.KEPT_BACK


class TestEveryWay:
    @pytest.mark.parametrize("how", WAYS)
    async def test_keeps_to_a_rest(self, how):
        """Nothing is written, and the caller of it learns that."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            one = servers[0].listed
            made[0].router.routing.flow_control.record_signals(one, REST, "c0")
            assert await try_way(made[0].client, one, how)
            assert servers[0].arrived == []

    @pytest.mark.parametrize("how", WAYS)
    async def test_is_open_without_a_word(self, how):
        """What is tested above reaches the server otherwise."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            assert not await try_way(made[0].client, servers[0].listed, how)
            assert len(servers[0].arrived) == 1

    @pytest.mark.parametrize(
        ("how", "at_once", "later"),
        [
            ("call", True, True),
            ("order", True, True),
            ("move", False, True),
            ("report", False, False),
        ],
    )
    async def test_to_a_server_that_leaves(self, how, at_once, later):
        """New work ends at once, moves with the bound; questions are no work."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            one = servers[0].listed
            made[0].router.routing.flow_control.record_signals(one, LEAVES, "c0")
            assert await try_way(made[0].client, one, how) is at_once
            await asyncio.sleep(LEAVING_S)
            assert await try_way(made[0].client, one, how) is later

    async def test_to_a_server_that_is_gone(self):
        """A send that was decided before the entry went is not written."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            one = servers[0].listed
            made[0].list({one.id: None})
            assert await try_way(made[0].client, one, "call")
            assert servers[0].arrived == []

    async def test_connection_is_used_on(self):
        """What is kept back right before the write costs no connection."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            one, client = servers[0].listed, made[0].client
            (await client.send(send_to(one))).close(is_whole=True)
            await asyncio.sleep(0.05)
            gate = client.gate
            looks = iter([None, KeptBackError("rest", 1.0)])
            client.gate = _Scripted(looks)
            with pytest.raises(KeptBackError):
                await client.send(send_to(one, call_id="c2"))
            client.gate = gate
            (await client.send(send_to(one, call_id="c3"))).close(is_whole=True)
            assert [what for what, _ in servers[0].arrived] == ["c1", "c3"]
            assert servers[0].connections == 1

    async def test_rests_of_a_new_start(self):
        """A server that has started again is free; who is listed decides."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            one = servers[0].listed._replace(started_ms=5)
            made[0].list({one.id: one})
            made[0].router.routing.flow_control.record_signals(one, REST, "c0")
            assert await try_way(made[0].client, one, "call")
            made[0].list({one.id: one._replace(started_ms=9)})
            assert not await try_way(made[0].client, one, "call")

    async def test_entry_that_goes_and_comes_back(self):
        """A rest and a departure stand, whatever the list does meanwhile."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            one, two = servers[0].listed, servers[1].listed
            made[0].router.routing.flow_control.record_signals(one, REST, "c0")
            made[0].router.routing.flow_control.record_signals(two, LEAVES, "c0")
            made[0].list({one.id: None, two.id: None})
            made[0].list({one.id: one, two.id: two})
            assert await try_way(made[0].client, one, "call")
            assert await try_way(made[0].client, two, "call")


class _Scripted:
    """A gate that lets through, or keeps back, as its script says."""

    def __init__(self, looks):
        self.looks = looks

    async def admit(self, _server, _sending, _request_id, *, priority):
        return None

    def release_permit(self, _server, _permit, *, was_written):
        assert not was_written

    def check_send(self, _server, _sending, _request_id, _permit):
        error = next(self.looks)
        if error is not None:
            raise error

    def record_signals(self, _server, _word, _request_id):
        pass


class TestCallers:
    @pytest.mark.parametrize("path", ["/draft/1", "/label/1"])
    async def test_all_rest(self, path, lines):
        """The answer comes at once: not run, and when the first rest ends."""
        async with servers_and_instances(preferred_servers(path)) as (servers, made):
            gate = made[0].router.routing.flow_control
            for number, server in enumerate(servers):
                word = REST._replace(backoff_s=20.0 - number)
                gate.record_signals(server.listed, word, f"c{number}")
            async with measure_loop_lag() as lag:
                started_s = clocks.now_s()
                error = await made[0].ask(path=path)
                took_s = clocks.now_s() - started_s
            assert took_s < 0.1 + lag.max_s
            assert (error.code, error.ran) == (OverloadedError.code, "no")
            first_s = 20.0 - (len(servers) - 1)
            assert first_s - 0.2 <= error.retry_after_s <= first_s + 1.5
            assert all(server.arrived == [] for server in servers)
            (line,) = lines_of(lines, log_events.SERVERS_REST)
            assert line["resting"] == len(servers)
            assert {rest["said_to"] for rest in line["rests"]} == {
                f"c{n}" for n in range(len(servers))
            }

    @pytest.mark.parametrize("path", ["/draft/1", "/label/1"])
    async def test_who_does_not_rest_serves(self, path):
        """Nobody is turned away, and no retry spent, while one has room."""
        async with servers_and_instances(preferred_servers(path)) as (servers, made):
            for server in servers[:-1]:
                made[0].router.routing.flow_control.record_signals(
                    server.listed, REST, "c0"
                )
            got = await made[0].send_repeatedly(every_s=0.01, for_s=0.3, path=path)
            assert all(one.end == "whole" for one in got)
            assert all(server.arrived == [] for server in servers[:-1])

    async def test_guess_gives_way_to_a_promise(self):
        """A server that was slow is used rather than one that asked for rest."""
        async with servers_and_instances(preferred_servers("/label/1")) as (
            servers,
            made,
        ):
            routing = made[0].router.routing
            routing.flow_control.record_signals(servers[0].listed, REST, "c0")
            routing.health.record_fault("s2", ServerFault.SILENT, now_s=clocks.now_s())
            assert (await made[0].ask(path="/label/1")).end == "whole"
            assert servers[0].arrived == []

    async def test_who_has_refused_is_not_asked_again(self):
        """Without a figure a call is still not sent to the same server twice."""
        async with servers_and_instances(preferred_servers("/label/1")) as (
            servers,
            made,
        ):
            for server in servers:
                server.retry_after = "0"
            error = await made[0].ask(path="/label/1")
            assert error.ran == "no"
            assert [len(server.arrived) for server in servers] == [1, 1]

    async def test_wish_gives_way(self):
        """A server that limits what it gets is used where there is no other."""
        wish = ServerSignals(status=429, backoff_s=1.0)
        async with servers_and_instances(preferred_servers("/label/1")) as (
            servers,
            made,
        ):
            routing = made[0].router.routing
            routing.flow_control.record_signals(servers[0].listed, wish, "c0")
            await made[0].ask(path="/label/1")
            assert [len(server.arrived) for server in servers] == [0, 1]
            routing.flow_control.record_signals(servers[1].listed, REST, "c0")
            await made[0].ask(path="/label/1")
            assert [len(server.arrived) for server in servers] == [1, 1]

    async def test_retry_of_a_send_that_was_kept_back_is_returned(self):
        """Only what reaches a server is paid for."""
        a, b = runner("a", 0, 80, kind="large"), runner("b", 0, 80)
        client = FakeClient(
            refused_answer(), KeptBackError("rest", 1.0), FakeAnswer(events(1))
        )
        routing = make_routing(client, a, b, rng=random.Random(1), retry_reserve="5")
        before = routing.retries.budget("model").own_budget.balance
        responder = FakeResponder()
        stream = StreamCall(routing, make_call(), admitted())
        await stream.serve(responder)
        assert responder.end == "whole"
        assert stream.sends == 2
        assert routing.retries.budget("model").own_budget.balance == pytest.approx(
            before - 1.0
        )

    async def test_sends_that_are_kept_back_end(self):
        """A gate that keeps all back makes no endless loop."""
        a = runner("a", 0, 80, kind="large")
        client = FakeClient(*(KeptBackError("rest", 1.0) for _ in range(20)))
        routing = make_routing(client, a, rng=random.Random(1))
        with pytest.raises(OverloadedError):
            await StreamCall(routing, make_call(), admitted()).serve(FakeResponder())
        assert len(client.sends) <= 5


class TestPaths:
    def test_later_servers_rest_is_kept_too(self):
        """The first one has answered for it: both are left alone."""
        head, tail = runner("head", 0, 40), runner("tail", 40, 80)
        all_ = runner("all", 0, 80, kind="small")
        routing = make_routing(FakeClient(), head, tail, all_, rng=random.Random(1))
        routing.flow_control.record_signals(head, REST, "c0")
        refusal = Refusal(tail.address, False, REST)
        routing.record_refusal("tail", refusal, "c0", is_reported_by_peer=True)
        assert set(routing.flow_control.blocked_s(now_s=clocks.now_s())) == {
            "head",
            "tail",
        }
        assert routing.path(admitted().service).server_ids == {"all"}

    def test_what_is_under_way_at_a_resting_server_stays(self):
        """A move around another runner doesn't leave it: it has the request."""
        head, tail = runner("head", 0, 40), runner("tail", 60, 80)
        lost, spare = runner("lost", 40, 60), runner("spare", 40, 60)
        other = runner("other", 40, 80, kind="small")
        routing = make_routing(
            FakeClient(), head, tail, lost, spare, other, rng=random.Random(1)
        )
        service = admitted().service
        kept = routing.path(service, avoided=frozenset({"spare", "other"}))
        routing.flow_control.record_signals(tail, REST, "c0")
        moved = routing.path(
            service, avoided=frozenset({"lost"}), first=head, current_path=kept
        )
        assert moved.server_ids == {"head", "spare", "tail"}

    async def test_stream_behind_a_resting_first_runner_goes_on_elsewhere(self):
        """Its move may not be asked for there: another run goes on, without waiting."""
        head = runner("head", 0, 40, kind="large")
        tail = runner("tail", 40, 80, kind="large")
        spare = runner("spare", 40, 80, kind="small")
        other = runner("other", 0, 80, kind="small")
        client = FakeClient(
            FakeAnswer(events(1), asyncio.Event()), FakeAnswer(events(2))
        )
        routing = make_routing(
            client, head, tail, spare, other, rng=random.Random(1), silence_limit_s="5"
        )
        client.reports = {
            "head": report(stalled={"c1": tail.address}),
            "spare": report(),
            "other": report(),
        }
        client.repath = _kept_back_moves(routing, client)
        responder = FakeResponder()
        stream = StreamCall(routing, make_call(), admitted())
        asyncio.get_running_loop().call_later(
            0.01, routing.flow_control.record_signals, head, REST, "c0"
        )
        async with asyncio.timeout(2):
            await stream.serve(responder)
        assert responder.end == "whole"
        assert client.sends[1].server.id == "other"
        assert client.repaths == []

    def test_leaving_runner_is_on_no_new_path(self):
        """Its layers have to be made up for by others."""
        a, b = runner("a", 0, 80, kind="large"), runner("b", 0, 80)
        routing = make_routing(FakeClient(), a, b, rng=random.Random(1))
        service = admitted().service
        assert routing.path(service).first.id == "a"
        routing.flow_control.record_signals(a, LEAVES, "c0")
        assert routing.path(service).first.id == "b"
        assert [one.id for one in routing.usable("model")] == ["b"]


def _kept_back_moves(routing, client):
    """Return moves that look at the gate first, as the adapter's do."""
    move = client.repath

    async def repath(server, call_id, path):
        try:
            routing.flow_control.check_send(server, SendKind.MOVE, call_id)
        except KeptBackError:
            return OrderAnswer(OrderOutcome.KEPT_BACK)
        return await move(server, call_id, path)

    return repath


class TestToldToOthers:
    async def test_departure_reaches_the_other_instances(self):
        """They send nothing there either, without having been told by the server."""
        servers = Servers(lambda name: runner(name, 0, 80, kind="large"), count=2)
        fleet = Fleet(3, servers)
        told = servers.by_id["s1"].listed
        fleet.routers[0].routing.flow_control.record_signals(told, LEAVES, "c0")
        async with asyncio.timeout(5):
            while any(len(one.routing.usable("model")) > 1 for one in fleet.routers):
                await asyncio.sleep(0.01)
        for router in fleet.routers:
            assert [one.id for one in router.routing.usable("model")] == ["s2"]

    async def test_rest_stays_with_who_was_asked(self):
        """The server speaks to one instance, and may have room for the others."""
        servers = Servers(lambda name: runner(name, 0, 80, kind="large"), count=2)
        fleet = Fleet(3, servers)
        fleet.routers[0].routing.flow_control.record_signals(
            servers.by_id["s1"].listed, REST, "c0"
        )
        await asyncio.sleep(0.1)
        now_s = clocks.now_s()
        bound = [
            router.routing.flow_control.blocked_s(now_s=now_s)
            for router in fleet.routers
        ]
        assert [set(one) for one in bound] == [{"s1"}, set(), set()]


class TestLines:
    def test_refusal_tells_for_how_long(self, lines):
        """What was asked for counts where it is longer than the guess."""
        a = runner("a", 0, 80)
        routing = make_routing(FakeClient(), a, rng=random.Random(1))
        routing.record_refusal("a", Refusal(None, False), "c1")
        routing.flow_control.record_signals(a, REST, "c2")
        routing.record_refusal("a", Refusal(None, False, REST), "c2")
        first, second = lines_of(lines, log_events.SERVER_REFUSED)
        assert (first["rest_s"], first["rested_s"]) == (0.3, 0.0)
        assert second["rest_s"] == pytest.approx(30.0, abs=0.1)
        assert 0.0 < second["rested_s"] <= 0.3
        assert (second["status"], second["asks_rest_s"]) == (503, 30.0)

    def test_words_and_what_they_keep_back(self, lines):
        """From a request's id to the word that decided, and who had it."""
        a = runner("a", 0, 80)
        routing = make_routing(FakeClient(), a, rng=random.Random(1))
        kept = []
        routing.flow_control.on_send_rejected = lambda what, why: kept.append(
            (what, why)
        )
        routing.flow_control.record_signals(a, REST, "c1")
        with pytest.raises(KeptBackError):
            routing.flow_control.check_send(a, SendKind.CALL, "c2")
        (word,) = lines_of(lines, log_events.SERVER_WORD)
        assert (word["request_id"], word["asks_rest_s"], word["is_longer"]) == (
            "c1",
            30.0,
            True,
        )
        (line,) = lines_of(lines, log_events.SEND_KEPT_BACK)
        assert (line["request_id"], line["reason"], line["said_to"]) == (
            "c2",
            "rest",
            "c1",
        )
        assert kept == [(SendKind.CALL, "rest")]


LIMITED = ServerSignals(status=200, limit_per_s=0.5)
#: A limit under which a permit is due at once, as far as a test can wait.
WIDE = ServerSignals(status=200, limit_per_s=50.0)


def hear(machine, server, word, request_id="c0"):
    """Let an instance hear a server's word, just asked for."""
    now_s = clocks.now_s()
    machine.router.routing.flow_control.record_signals(
        server.listed, word._replace(sent_s=now_s), request_id
    )


class TestLimits:
    @pytest.mark.parametrize("how", WAYS)
    async def test_every_way_needs_a_permit(self, how):
        """Nothing is written without one, and the caller of it learns that."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            hear(made[0], servers[0], LIMITED)
            assert await try_way(made[0].client, servers[0].listed, how)
            assert servers[0].arrived == []

    @pytest.mark.parametrize("how", WAYS)
    async def test_every_way_uses_a_permit_up(self, how):
        """It is counted with what all send."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            servers[0].limit_a_s = "50"
            hear(made[0], servers[0], WIDE)
            await try_way(made[0].client, servers[0].listed, "report")
            gate = made[0].router.routing.flow_control
            await asyncio.sleep(1.0)
            gate.limits.permits.discard("s1")
            before = len(servers[0].arrived)
            assert not await try_way(made[0].client, servers[0].listed, how)
            arrived = len(servers[0].arrived) - before
            (state,) = gate.limits.state().values()
            assert state.sent == arrived
            assert state.given >= arrived

    async def test_permit_lapses_while_a_connection_is_waited_for(self):
        """What was decided long before is not written; no connection is lost."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            gate = made[0].router.routing.flow_control
            hear(made[0], servers[0], WIDE)
            lapsed = Permit(clocks.now_s() - 0.01)
            with pytest.raises(KeptBackError):
                gate.check_send(servers[0].listed, SendKind.CALL, "c1", lapsed)
            slow_connects(made[0].kept, lambda _address: 0.3)
            gate.limits.permits.give_back("s1", Permit(clocks.now_s() + 0.1))
            with pytest.raises(KeptBackError):
                await made[0].client.send(send_to(servers[0].listed))
            assert servers[0].arrived == []

    async def test_word_that_comes_while_a_connection_is_waited_for(self):
        """What was decided without a permit is not written then."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            slow_connects(made[0].kept, lambda _address: 0.2)
            sending = asyncio.create_task(
                made[0].client.send(send_to(servers[0].listed))
            )
            await asyncio.sleep(0.05)
            hear(made[0], servers[0], LIMITED)
            with pytest.raises(KeptBackError):
                await sending
            assert servers[0].arrived == []

    async def test_permit_that_is_not_used_is_kept(self):
        """The next send uses it, while it is good."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            gate = made[0].router.routing.flow_control
            hear(made[0], servers[0], LIMITED)
            permit = Permit(clocks.now_s() + 5.0)
            gate.release_permit(servers[0].listed, permit, was_written=False)
            assert await gate.admit(servers[0].listed, SendKind.CALL, "c1") == permit
            with pytest.raises(KeptBackError):
                await gate.admit(servers[0].listed, SendKind.CALL, "c2")

    async def test_no_permit_is_asked_for_a_server_that_rests(self):
        """It would be spent in vain."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            gate = made[0].router.routing.flow_control
            hear(made[0], servers[0], LIMITED)
            gate.record_signals(servers[0].listed, REST, "c0")
            with pytest.raises(KeptBackError) as caught:
                await gate.admit(servers[0].listed, SendKind.CALL, "c1")
            assert caught.value.reason == "rest"
            assert len(gate.limits.keepers) == 0

    @pytest.mark.parametrize("path", ["/draft/1", "/label/1"])
    async def test_all_are_limited(self, path, lines):
        """At once: not run, when a permit is due, and which limits decided."""
        async with servers_and_instances(preferred_servers(path)) as (servers, made):
            for number, server in enumerate(servers):
                hear(made[0], server, LIMITED, f"c{number}")
            async with measure_loop_lag() as lag:
                started_s = clocks.now_s()
                error = await made[0].ask(path=path)
                took_s = clocks.now_s() - started_s
            assert took_s < 0.1 + lag.max_s
            assert (error.code, error.ran) == (OverloadedError.code, "no")
            assert 1.5 <= error.retry_after_s <= 7.0
            assert all(server.arrived == [] for server in servers)
            line = lines_of(lines, log_events.SERVERS_REST)[-1]
            assert line["limited"] == len(servers)
            assert {one["limit_a_s"] for one in line["limits"]} == {0.5}
            assert {one["limit_said_to"] for one in line["limits"]} == {
                f"c{n}" for n in range(len(servers))
            }

    async def test_urgent_request_asks_where_another_was_refused(self):
        """It is on a path that is closed to less urgent ones."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            routing = made[0].router.routing
            hear(made[0], servers[0], LIMITED)
            with pytest.raises(KeptBackError):
                await routing.flow_control.admit(
                    servers[0].listed, SendKind.CALL, "c1", priority=2
                )
            now_s = clocks.now_s()
            assert set(routing.flow_control.blocked_s(priority=2, now_s=now_s)) == {
                "s1"
            }
            assert routing.flow_control.blocked_s(priority=1, now_s=now_s) == {}
            others = frozenset({"s2", "s3"})
            service = admitted().service
            assert routing.path(service, avoided=others, priority=2) is None
            assert routing.path(service, avoided=others, priority=1).first.id == "s1"

    async def test_no_retry_is_spent(self):
        """A send whose refusal is known costs nothing."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            routing = made[0].router.routing
            for server in servers[:-1]:
                hear(made[0], server, LIMITED)
            before = routing.retries.budget("model").own_budget.balance
            got = [await made[0].ask() for _ in range(5)]
            assert all(one.end == "whole" for one in got)
            assert routing.retries.budget("model").own_budget.balance >= before

    async def test_limit_is_over(self):
        """The first answer that names none ends it; its server is left for a while."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            gate = made[0].router.routing.flow_control
            hear(made[0], servers[0], LIMITED)
            assert await try_way(made[0].client, servers[0].listed, "call")
            await asyncio.sleep(0.01)
            hear(made[0], servers[0], ServerSignals(status=200, limit_per_s=math.inf))
            now_s = clocks.now_s()
            assert "s1" not in gate.blocked_s(now_s=now_s)
            assert gate.avoided(now_s=now_s) == {"s1"}
            assert gate.avoided(now_s=now_s + 1.0) == set()
            assert not await try_way(made[0].client, servers[0].listed, "call")

    async def test_new_start_is_free(self):
        """Its limit goes with a start, as its rests do."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            one = servers[0].listed._replace(started_ms=5)
            made[0].list({one.id: one})
            servers[0].listed = one
            hear(made[0], servers[0], LIMITED._replace(sent_ms=6))
            assert await try_way(made[0].client, one, "call")
            made[0].list({one.id: None})
            made[0].list({one.id: one})
            assert await try_way(made[0].client, one, "call")
            made[0].list({one.id: one._replace(started_ms=9)})
            assert not await try_way(made[0].client, one, "call")

    async def test_beside_a_rest(self):
        """Both words of one answer count."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            made,
        ):
            gate = made[0].router.routing.flow_control
            hear(made[0], servers[0], REST._replace(limit_per_s=2.4))
            assert set(gate.rests(now_s=clocks.now_s())) == {"s1"}
            assert gate.limits.limit_of("s1").per_s == 2.4

    def test_words_that_nothing_reads(self, lines):
        """One line each, a bounded number of them, and all are counted."""
        a = runner("a", 0, 80)
        routing = make_routing(FakeClient(), a, rng=random.Random(1))
        counted = []
        routing.flow_control.on_signal = counted.append
        for number in range(100):
            word = ServerSignals(
                status=200, unknown_headers=(f"server-{number}", "server-x")
            )
            routing.flow_control.record_signals(a, word, "c1")
        named = [one["word"] for one in lines_of(lines, log_events.WORD_UNKNOWN)]
        assert len(named) == len(set(named)) == 32
        assert counted == ["unknown"] * 200
