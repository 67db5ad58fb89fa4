# SPDX-License-Identifier: MIT
"""Flow control applies to every kind of send to a server."""

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


BACKOFF = ServerSignals(status=503, backoff_s=30.0, is_binding=True)
LEAVING = ServerSignals(status=200, is_leaving=True)
SEND_KINDS = ["call", "report", "move", "order"]


@pytest.fixture
def log_lines(monkeypatch):
    """Provide the logged events and their fields."""
    logged = []
    monkeypatch.setattr(
        log_events, "log", lambda event, **fields: logged.append((event, fields))
    )
    return logged


def fields_of(log_lines, event):
    """Return the fields of each log line of an event."""
    return [fields for logged, fields in log_lines if logged is event]


def path_of(server):
    """Return a path over one server."""
    return Path((Stage(server, LayerRange(0, 80)),), 1.0)


def send_to(server, *, call_id="c1", is_fresh=False):
    """Return a send of the sample call to a server."""
    call = make_call(id=call_id, headers=(("Violethatch-Attempt-Id", call_id),))
    return Send(call, server, path_of(server), call.deadline_s, 1, None, None, is_fresh)


async def is_rejected(client, server, kind):
    """Send a request of some kind to a server; return whether it is rejected."""
    try:
        if kind == "call":
            (await client.send(send_to(server))).close(is_whole=False)
            return False
        if kind == "report":
            await client.report(server)
            return False
    except KeptBackError:
        return True
    if kind == "move":
        order = await client.repath(server, "c1", path_of(server))
    else:
        layers = LayerRange(0, 2)
        order = await client.place(server, layers, fence=1, expected_sequence=0)
    return order.outcome is OrderOutcome.KEPT_BACK


class TestAllSends:
    @pytest.mark.parametrize("kind", SEND_KINDS)
    async def test_backoff_blocks(self, kind):
        """Nothing is written, and the caller gets the rejection."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            server = servers[0].listed
            instances[0].router.routing.flow_control.record_signals(
                server, BACKOFF, "c0"
            )
            assert await is_rejected(instances[0].client, server, kind)
            assert servers[0].arrived == []

    @pytest.mark.parametrize("kind", SEND_KINDS)
    async def test_no_backoff(self, kind):
        """Without a back-off each kind of send reaches the server."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            assert not await is_rejected(instances[0].client, servers[0].listed, kind)
            assert len(servers[0].arrived) == 1

    @pytest.mark.parametrize(
        ("kind", "at_once", "later"),
        [
            ("call", True, True),
            ("order", True, True),
            ("move", False, True),
            ("report", False, False),
        ],
    )
    async def test_server_that_is_shutting_down(self, kind, at_once, later):
        """New work is rejected at once, moves after the grace period, reports never."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            server = servers[0].listed
            instances[0].router.routing.flow_control.record_signals(
                server, LEAVING, "c0"
            )
            assert await is_rejected(instances[0].client, server, kind) is at_once
            await asyncio.sleep(LEAVING_S)
            assert await is_rejected(instances[0].client, server, kind) is later

    async def test_server_that_is_no_longer_listed(self):
        """A send that was scheduled before the entry was removed is not written."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            server = servers[0].listed
            instances[0].list({server.id: None})
            assert await is_rejected(instances[0].client, server, "call")
            assert servers[0].arrived == []

    async def test_connection_is_reused(self):
        """A rejection right before the write doesn't close the connection."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            server, client = servers[0].listed, instances[0].client
            (await client.send(send_to(server))).close(is_whole=True)
            await asyncio.sleep(0.05)
            flow_control = client.gate
            outcomes = iter([None, KeptBackError("rest", 1.0)])
            client.gate = _ScriptedFlowControl(outcomes)
            with pytest.raises(KeptBackError):
                await client.send(send_to(server, call_id="c2"))
            client.gate = flow_control
            (await client.send(send_to(server, call_id="c3"))).close(is_whole=True)
            assert [call_id for call_id, _ in servers[0].arrived] == ["c1", "c3"]
            assert servers[0].connections == 1

    async def test_backoff_of_a_previous_start(self):
        """A back-off doesn't apply to a new start, once that is listed."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            server = servers[0].listed._replace(started_ms=5)
            instances[0].list({server.id: server})
            instances[0].router.routing.flow_control.record_signals(
                server, BACKOFF, "c0"
            )
            assert await is_rejected(instances[0].client, server, "call")
            instances[0].list({server.id: server._replace(started_ms=9)})
            assert not await is_rejected(instances[0].client, server, "call")

    async def test_entry_that_is_removed_and_added(self):
        """Back-offs and shutdowns stay in force when an entry is removed and added."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            server, second_server = servers[0].listed, servers[1].listed
            instances[0].router.routing.flow_control.record_signals(
                server, BACKOFF, "c0"
            )
            instances[0].router.routing.flow_control.record_signals(
                second_server, LEAVING, "c0"
            )
            instances[0].list({server.id: None, second_server.id: None})
            instances[0].list({server.id: server, second_server.id: second_server})
            assert await is_rejected(instances[0].client, server, "call")
            assert await is_rejected(instances[0].client, second_server, "call")


class _ScriptedFlowControl:
    """Flow control that accepts or rejects sends by a script."""

    def __init__(self, outcomes):
        self.outcomes = outcomes

    async def admit(self, _server, _sending, _request_id, *, priority):
        return None

    def release_permit(self, _server, _permit, *, was_written):
        assert not was_written

    def check_send(self, _server, _sending, _request_id, _permit):
        error = next(self.outcomes)
        if error is not None:
            raise error

    def record_signals(self, _server, _signals, _request_id):
        pass


class TestCallers:
    @pytest.mark.parametrize("path", ["/draft/1", "/label/1"])
    async def test_all_servers_back_off(self, path, log_lines):
        """The error is immediate: not run, retry when the first back-off expires."""
        async with servers_and_instances(preferred_servers(path)) as (
            servers,
            instances,
        ):
            flow_control = instances[0].router.routing.flow_control
            for number, server in enumerate(servers):
                signals = BACKOFF._replace(backoff_s=20.0 - number)
                flow_control.record_signals(server.listed, signals, f"c{number}")
            async with measure_loop_lag() as lag:
                started_s = clocks.now_s()
                error = await instances[0].ask(path=path)
                took_s = clocks.now_s() - started_s
            assert took_s < 0.1 + lag.max_s
            assert (error.code, error.ran) == (OverloadedError.code, "no")
            first_s = 20.0 - (len(servers) - 1)
            assert first_s - 0.2 <= error.retry_after_s <= first_s + 1.5
            assert all(server.arrived == [] for server in servers)
            (line,) = fields_of(log_lines, log_events.SERVERS_REST)
            assert line["resting"] == len(servers)
            assert {backoff["said_to"] for backoff in line["rests"]} == {
                f"c{n}" for n in range(len(servers))
            }

    @pytest.mark.parametrize("path", ["/draft/1", "/label/1"])
    async def test_available_server_is_used(self, path):
        """No caller is rejected, and no retry spent, while a server is available."""
        async with servers_and_instances(preferred_servers(path)) as (
            servers,
            instances,
        ):
            for server in servers[:-1]:
                instances[0].router.routing.flow_control.record_signals(
                    server.listed, BACKOFF, "c0"
                )
            responses = await instances[0].send_repeatedly(
                every_s=0.01, for_s=0.3, path=path
            )
            assert all(response.end == "whole" for response in responses)
            assert all(server.arrived == [] for server in servers[:-1])

    async def test_cooldown_is_preferred_to_a_backoff(self):
        """A server in cooldown is preferred to one that requested a back-off."""
        async with servers_and_instances(preferred_servers("/label/1")) as (
            servers,
            instances,
        ):
            routing = instances[0].router.routing
            routing.flow_control.record_signals(servers[0].listed, BACKOFF, "c0")
            routing.health.record_fault("s2", ServerFault.SILENT, now_s=clocks.now_s())
            assert (await instances[0].ask(path="/label/1")).end == "whole"
            assert servers[0].arrived == []

    async def test_rejecting_server_is_not_retried(self):
        """After a back-off of zero, too, a call is sent to each server only once."""
        async with servers_and_instances(preferred_servers("/label/1")) as (
            servers,
            instances,
        ):
            for server in servers:
                server.retry_after = "0"
            error = await instances[0].ask(path="/label/1")
            assert error.ran == "no"
            assert [len(server.arrived) for server in servers] == [1, 1]

    async def test_advisory_backoff(self):
        """A server with an advisory back-off is used as a last resort."""
        advisory = ServerSignals(status=429, backoff_s=1.0)
        async with servers_and_instances(preferred_servers("/label/1")) as (
            servers,
            instances,
        ):
            routing = instances[0].router.routing
            routing.flow_control.record_signals(servers[0].listed, advisory, "c0")
            await instances[0].ask(path="/label/1")
            assert [len(server.arrived) for server in servers] == [0, 1]
            routing.flow_control.record_signals(servers[1].listed, BACKOFF, "c0")
            await instances[0].ask(path="/label/1")
            assert [len(server.arrived) for server in servers] == [1, 1]

    async def test_retry_of_a_rejected_send_is_refunded(self):
        """Only sends that reach a server use the retry budget."""
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

    async def test_rejected_sends_terminate(self):
        """Permanent rejection doesn't cause an endless loop."""
        a = runner("a", 0, 80, kind="large")
        client = FakeClient(*(KeptBackError("rest", 1.0) for _ in range(20)))
        routing = make_routing(client, a, rng=random.Random(1))
        with pytest.raises(OverloadedError):
            await StreamCall(routing, make_call(), admitted()).serve(FakeResponder())
        assert len(client.sends) <= 5


class TestPaths:
    def test_backoff_of_a_later_server(self):
        """The first server relays its back-off, which blocks both."""
        head, tail = runner("head", 0, 40), runner("tail", 40, 80)
        full_path_runner = runner("all", 0, 80, kind="small")
        routing = make_routing(
            FakeClient(), head, tail, full_path_runner, rng=random.Random(1)
        )
        routing.flow_control.record_signals(head, BACKOFF, "c0")
        refusal = Refusal(tail.address, False, BACKOFF)
        routing.record_refusal("tail", refusal, "c0", is_reported_by_peer=True)
        assert set(routing.flow_control.blocked_s(now_s=clocks.now_s())) == {
            "head",
            "tail",
        }
        assert routing.path(admitted().service).server_ids == {"all"}

    def test_running_request_stays_on_a_blocked_server(self):
        """A move around another runner stays on it: it already runs the request."""
        head, tail = runner("head", 0, 40), runner("tail", 60, 80)
        lost, spare = runner("lost", 40, 60), runner("spare", 40, 60)
        other = runner("other", 40, 80, kind="small")
        routing = make_routing(
            FakeClient(), head, tail, lost, spare, other, rng=random.Random(1)
        )
        service = admitted().service
        current = routing.path(service, avoided=frozenset({"spare", "other"}))
        routing.flow_control.record_signals(tail, BACKOFF, "c0")
        moved = routing.path(
            service, avoided=frozenset({"lost"}), first=head, current_path=current
        )
        assert moved.server_ids == {"head", "spare", "tail"}

    async def test_stream_behind_a_blocked_first_runner_is_rerun(self):
        """The move can't be requested there: a second run continues without delay."""
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
        client.repath = _checked_moves(routing, client)
        responder = FakeResponder()
        stream = StreamCall(routing, make_call(), admitted())
        asyncio.get_running_loop().call_later(
            0.01, routing.flow_control.record_signals, head, BACKOFF, "c0"
        )
        async with asyncio.timeout(2):
            await stream.serve(responder)
        assert responder.end == "whole"
        assert client.sends[1].server.id == "other"
        assert client.repaths == []

    def test_leaving_runner_is_excluded_from_new_paths(self):
        """Other runners take over its layers."""
        a, b = runner("a", 0, 80, kind="large"), runner("b", 0, 80)
        routing = make_routing(FakeClient(), a, b, rng=random.Random(1))
        service = admitted().service
        assert routing.path(service).first.id == "a"
        routing.flow_control.record_signals(a, LEAVING, "c0")
        assert routing.path(service).first.id == "b"
        assert [server.id for server in routing.usable("model")] == ["b"]


def _checked_moves(routing, client):
    """Return a move method that checks flow control first, like the adapter's."""
    move = client.repath

    async def repath(server, call_id, path):
        try:
            routing.flow_control.check_send(server, SendKind.MOVE, call_id)
        except KeptBackError:
            return OrderAnswer(OrderOutcome.KEPT_BACK)
        return await move(server, call_id, path)

    return repath


class TestOtherInstances:
    async def test_shutdown_is_announced(self):
        """They stop sending without a response from the server."""
        servers = Servers(lambda name: runner(name, 0, 80, kind="large"), count=2)
        fleet = Fleet(3, servers)
        entry = servers.by_id["s1"].listed
        fleet.routers[0].routing.flow_control.record_signals(entry, LEAVING, "c0")
        async with asyncio.timeout(5):
            while any(
                len(router.routing.usable("model")) > 1 for router in fleet.routers
            ):
                await asyncio.sleep(0.01)
        for router in fleet.routers:
            assert [server.id for server in router.routing.usable("model")] == ["s2"]

    async def test_backoff_is_not_announced(self):
        """A back-off applies to one instance; the server may accept the others."""
        servers = Servers(lambda name: runner(name, 0, 80, kind="large"), count=2)
        fleet = Fleet(3, servers)
        fleet.routers[0].routing.flow_control.record_signals(
            servers.by_id["s1"].listed, BACKOFF, "c0"
        )
        await asyncio.sleep(0.1)
        now_s = clocks.now_s()
        blocked = [
            router.routing.flow_control.blocked_s(now_s=now_s)
            for router in fleet.routers
        ]
        assert [set(server_ids) for server_ids in blocked] == [{"s1"}, set(), set()]


class TestLogLines:
    def test_backoff_duration_of_a_refusal(self, log_lines):
        """The requested back-off applies if it exceeds the default cooldown."""
        a = runner("a", 0, 80)
        routing = make_routing(FakeClient(), a, rng=random.Random(1))
        routing.record_refusal("a", Refusal(None, False), "c1")
        routing.flow_control.record_signals(a, BACKOFF, "c2")
        routing.record_refusal("a", Refusal(None, False, BACKOFF), "c2")
        first, second = fields_of(log_lines, log_events.SERVER_REFUSED)
        assert (first["rest_s"], first["rested_s"]) == (0.3, 0.0)
        assert second["rest_s"] == pytest.approx(30.0, abs=0.1)
        assert 0.0 < second["rested_s"] <= 0.3
        assert (second["status"], second["asks_rest_s"]) == (503, 30.0)

    def test_signals_and_rejected_sends(self, log_lines):
        """Log lines lead from a rejected request to the response that caused it."""
        a = runner("a", 0, 80)
        routing = make_routing(FakeClient(), a, rng=random.Random(1))
        rejections = []
        routing.flow_control.on_send_rejected = lambda sending, reason: (
            rejections.append((sending, reason))
        )
        routing.flow_control.record_signals(a, BACKOFF, "c1")
        with pytest.raises(KeptBackError):
            routing.flow_control.check_send(a, SendKind.CALL, "c2")
        (signals,) = fields_of(log_lines, log_events.SERVER_WORD)
        assert (
            signals["request_id"],
            signals["asks_rest_s"],
            signals["is_longer"],
        ) == (
            "c1",
            30.0,
            True,
        )
        (line,) = fields_of(log_lines, log_events.SEND_KEPT_BACK)
        assert (line["request_id"], line["reason"], line["said_to"]) == (
            "c2",
            "rest",
            "c1",
        )
        assert rejections == [(SendKind.CALL, "rest")]


LIMITED = ServerSignals(status=200, limit_per_s=0.5)
#: A limit at which a permit is due within the time of a test.
HIGH_LIMIT = ServerSignals(status=200, limit_per_s=50.0)


def receive(instance, server, signals, request_id="c0"):
    """Make an instance receive a server's signals in response to a new request."""
    now_s = clocks.now_s()
    instance.router.routing.flow_control.record_signals(
        server.listed, signals._replace(sent_s=now_s), request_id
    )


class TestLimits:
    @pytest.mark.parametrize("kind", SEND_KINDS)
    async def test_every_send_needs_a_permit(self, kind):
        """Nothing is written without one, and the caller gets the rejection."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            receive(instances[0], servers[0], LIMITED)
            assert await is_rejected(instances[0].client, servers[0].listed, kind)
            assert servers[0].arrived == []

    @pytest.mark.parametrize("kind", SEND_KINDS)
    async def test_every_send_consumes_a_permit(self, kind):
        """Every send counts towards the shared limit."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            servers[0].limit_a_s = "50"
            receive(instances[0], servers[0], HIGH_LIMIT)
            await is_rejected(instances[0].client, servers[0].listed, "report")
            flow_control = instances[0].router.routing.flow_control
            await asyncio.sleep(1.0)
            flow_control.limits.permits.discard("s1")
            before = len(servers[0].arrived)
            assert not await is_rejected(instances[0].client, servers[0].listed, kind)
            arrived = len(servers[0].arrived) - before
            (state,) = flow_control.limits.state().values()
            assert state.sent == arrived
            assert state.given >= arrived

    async def test_permit_expires_during_connect(self):
        """A send with an expired permit is not written."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            flow_control = instances[0].router.routing.flow_control
            receive(instances[0], servers[0], HIGH_LIMIT)
            expired = Permit(clocks.now_s() - 0.01)
            with pytest.raises(KeptBackError):
                flow_control.check_send(servers[0].listed, SendKind.CALL, "c1", expired)
            slow_connects(instances[0].kept, lambda _address: 0.3)
            flow_control.limits.permits.add("s1", Permit(clocks.now_s() + 0.1))
            with pytest.raises(KeptBackError):
                await instances[0].client.send(send_to(servers[0].listed))
            assert servers[0].arrived == []

    async def test_limit_is_received_during_connect(self):
        """A send that was scheduled without a permit is not written."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            slow_connects(instances[0].kept, lambda _address: 0.2)
            send_task = asyncio.create_task(
                instances[0].client.send(send_to(servers[0].listed))
            )
            await asyncio.sleep(0.05)
            receive(instances[0], servers[0], LIMITED)
            with pytest.raises(KeptBackError):
                await send_task
            assert servers[0].arrived == []

    async def test_unused_permit_is_reused(self):
        """The next send uses it, until it expires."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            flow_control = instances[0].router.routing.flow_control
            receive(instances[0], servers[0], LIMITED)
            permit = Permit(clocks.now_s() + 5.0)
            flow_control.release_permit(servers[0].listed, permit, was_written=False)
            assert (
                await flow_control.admit(servers[0].listed, SendKind.CALL, "c1")
                == permit
            )
            with pytest.raises(KeptBackError):
                await flow_control.admit(servers[0].listed, SendKind.CALL, "c2")

    async def test_no_permit_is_requested_during_a_backoff(self):
        """The permit would be wasted."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            flow_control = instances[0].router.routing.flow_control
            receive(instances[0], servers[0], LIMITED)
            flow_control.record_signals(servers[0].listed, BACKOFF, "c0")
            with pytest.raises(KeptBackError) as caught:
                await flow_control.admit(servers[0].listed, SendKind.CALL, "c1")
            assert caught.value.reason == "rest"
            assert len(flow_control.limits.issuers) == 0

    @pytest.mark.parametrize("path", ["/draft/1", "/label/1"])
    async def test_all_servers_are_limited(self, path, log_lines):
        """The error is immediate: not run, with a retry time; the limits are logged."""
        async with servers_and_instances(preferred_servers(path)) as (
            servers,
            instances,
        ):
            for number, server in enumerate(servers):
                receive(instances[0], server, LIMITED, f"c{number}")
            async with measure_loop_lag() as lag:
                started_s = clocks.now_s()
                error = await instances[0].ask(path=path)
                took_s = clocks.now_s() - started_s
            assert took_s < 0.1 + lag.max_s
            assert (error.code, error.ran) == (OverloadedError.code, "no")
            assert 1.5 <= error.retry_after_s <= 7.0
            assert all(server.arrived == [] for server in servers)
            line = fields_of(log_lines, log_events.SERVERS_REST)[-1]
            assert line["limited"] == len(servers)
            assert {limit["limit_a_s"] for limit in line["limits"]} == {0.5}
            assert {limit["limit_said_to"] for limit in line["limits"]} == {
                f"c{n}" for n in range(len(servers))
            }

    async def test_urgent_request_is_not_blocked(self):
        """It may use a path that is blocked for less urgent ones."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            routing = instances[0].router.routing
            receive(instances[0], servers[0], LIMITED)
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

    async def test_no_retry_budget_is_used(self):
        """A send that is known to be rejected uses no retry budget."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            routing = instances[0].router.routing
            for server in servers[:-1]:
                receive(instances[0], server, LIMITED)
            before = routing.retries.budget("model").own_budget.balance
            responses = [await instances[0].ask() for _ in range(5)]
            assert all(response.end == "whole" for response in responses)
            assert routing.retries.budget("model").own_budget.balance >= before

    async def test_limit_is_lifted(self):
        """A response without a limit lifts it; traffic resumes after a delay."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            flow_control = instances[0].router.routing.flow_control
            receive(instances[0], servers[0], LIMITED)
            assert await is_rejected(instances[0].client, servers[0].listed, "call")
            await asyncio.sleep(0.01)
            receive(
                instances[0],
                servers[0],
                ServerSignals(status=200, limit_per_s=math.inf),
            )
            now_s = clocks.now_s()
            assert "s1" not in flow_control.blocked_s(now_s=now_s)
            assert flow_control.avoided(now_s=now_s) == {"s1"}
            assert flow_control.avoided(now_s=now_s + 1.0) == set()
            assert not await is_rejected(instances[0].client, servers[0].listed, "call")

    async def test_new_start_has_no_limit(self):
        """A limit applies to one start, like a back-off."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            server = servers[0].listed._replace(started_ms=5)
            instances[0].list({server.id: server})
            servers[0].listed = server
            receive(instances[0], servers[0], LIMITED._replace(sent_ms=6))
            assert await is_rejected(instances[0].client, server, "call")
            instances[0].list({server.id: None})
            instances[0].list({server.id: server})
            assert await is_rejected(instances[0].client, server, "call")
            instances[0].list({server.id: server._replace(started_ms=9)})
            assert not await is_rejected(instances[0].client, server, "call")

    async def test_limit_with_a_backoff(self):
        """Both signals of one response apply."""
        async with servers_and_instances(preferred_servers("/draft/1")) as (
            servers,
            instances,
        ):
            flow_control = instances[0].router.routing.flow_control
            receive(instances[0], servers[0], BACKOFF._replace(limit_per_s=2.4))
            assert set(flow_control.active_backoffs(now_s=clocks.now_s())) == {"s1"}
            assert flow_control.limits.active_limit("s1").per_s == 2.4

    def test_unknown_headers(self, log_lines):
        """Each is logged once, up to a maximum, and all are counted."""
        a = runner("a", 0, 80)
        routing = make_routing(FakeClient(), a, rng=random.Random(1))
        counted = []
        routing.flow_control.on_signal = counted.append
        for number in range(100):
            signals = ServerSignals(
                status=200, unknown_headers=(f"server-{number}", "server-x")
            )
            routing.flow_control.record_signals(a, signals, "c1")
        named = [line["word"] for line in fields_of(log_lines, log_events.WORD_UNKNOWN)]
        assert len(named) == len(set(named)) == 32
        assert counted == ["unknown"] * 200
