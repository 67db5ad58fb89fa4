# SPDX-License-Identifier: MIT
"""Random back-offs, rate limits, shutdowns and restarts of servers under load.

A few seeds run by default; ``SEEDS=50 pytest tests/test_words_soak.py`` runs more.
"""

from __future__ import annotations

import asyncio
import os
import random

import pytest

from routing_samples import plain_server, runner
from signaling_servers import (
    ID,
    IN_FLIGHT_S,
    LEAVING_S,
    join_instances,
    max_within,
    measure_loop_lag,
    servers_and_instances,
    slow_connects,
)
from violethatch import clocks
from violethatch._send_checks import CheckedRequest


DURATION_S = 4.0
INSTANCES = 2
RETRY_AFTER_VALUES = ("0.3", "1", "1.5", "0", "2, 1", "soon", "-1")
BACKOFFS_S = {"0.3": 0.3, "1": 1.0, "1.5": 1.5, "2, 1": 2.0}


#: Maximum time to connect, in seconds, and the fraction of slow connections.
SLOW_CONNECT_S = 0.9
SLOW_CONNECTS = 0.3
#: Maximum processing time, in seconds; it continues while a server rejects requests.
WORK_S = 0.4


class SignalChanges:
    """Changes one server's signals at random.

    Args:
        server: The server.
        instances: The instances that have it in their lists.
        rng: Source of random choices.
    """

    def __init__(self, server, instances, rng):
        self.server = server
        self.instances = instances
        self.rng = rng

    async def run(self, end_s):
        """Change the signals until a time."""
        while clocks.now_s() < end_s:
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
            change = self.rng.random()
            if change < 0.45:
                self.server.retry_after = self.rng.choice(RETRY_AFTER_VALUES)
            elif change < 0.85:
                self.server.retry_after = None
            elif change < 0.93:
                self.server.is_leaving = True
            else:
                self.restart()

    def restart(self):
        """Restart the server under its id, without its earlier signals."""
        self.server.restart(int(clocks.wall_s() * 1000))
        entry = {self.server.listed.id: self.server.listed}
        for instance in self.instances:
            # The list update reaches each instance after a delay.
            delay_s = self.rng.uniform(0.0, LIST_LAG_S)
            asyncio.get_running_loop().call_later(delay_s, instance.list, entry)


async def reject_all(servers, rng, end_s):
    """Make all servers of a service reject requests from time to time."""
    while clocks.now_s() < end_s:
        await asyncio.sleep(rng.uniform(0.2, 0.6))
        for server in servers:
            server.retry_after = rng.choice(list(BACKOFFS_S))


#: Maximum delay of the list update for a new start, in seconds.
LIST_LAG_S = 0.8


class Recorder:
    """Records signals and writes of instances, with their exact times.

    Args:
        monkeypatch: Installs the recording.
        instances: The instances.
    """

    def __init__(self, monkeypatch, instances):
        self.received_backoffs = []
        self.writes = []
        write = CheckedRequest.send

        async def recorded_send(request, connection):
            # The check runs between the two times, without waiting.
            before_s = clocks.now_s()
            answer = await write(request, connection)
            address = f"{request.host}:{request.port}"
            call_id = request.headers.get(ID, "")
            self.writes.append((call_id, address, before_s, clocks.now_s()))
            return answer

        monkeypatch.setattr(CheckedRequest, "send", recorded_send)
        for instance in instances:
            self.attach(instance)

    def attach(self, instance):
        """Record the signals that an instance receives."""
        flow_control = instance.client.gate
        original = flow_control.record_signals

        def record_signals(server, signals, request_id):
            before_s = clocks.now_s()
            original(server, signals, request_id)
            if signals.backoff_s and signals.is_binding:
                until_s = before_s + signals.backoff_s
                received = (request_id, server.address, clocks.now_s(), until_s)
                self.received_backoffs.append(received)

        flow_control.record_signals = record_signals

    def violations(self, servers):
        """Return writes within a back-off of the same start that the instance received.

        A call may reach a server twice, at different starts.
        """
        arrivals = {
            (call_id, server.listed.address): []
            for server in servers
            for call_id, _, _ in server.arrivals_by_start
        }
        for server in servers:
            for call_id, arrived_s, started_ms in server.arrivals_by_start:
                arrivals[call_id, server.listed.address].append((arrived_s, started_ms))

        def signalling_start(call_id, address, received_s):
            before = [
                arrival
                for arrival in arrivals[call_id, address]
                if arrival[0] <= received_s
            ]
            return before[-1][1]

        def receiving_start(call_id, address, written_s):
            after = [
                arrival
                for arrival in arrivals.get((call_id, address), ())
                if arrival[0] >= written_s
            ]
            return after[0][1] if after else None

        return [
            (
                signalled_call,
                call_id,
                f"received {received_s:.4f} until {until_s:.4f}, sent {before_s:.4f}",
            )
            for signalled_call, address, received_s, until_s in self.received_backoffs
            for call_id, written_to, before_s, after_s in self.writes
            if call_id.partition("-")[0] == signalled_call.partition("-")[0]
            and written_to == address
            and received_s <= before_s
            and after_s < until_s
            and receiving_start(call_id, address, before_s)
            == signalling_start(signalled_call, address, received_s)
        ]


def backoff_violations(server, lag_s):
    """Return arrivals at a server within the back-off that it sent to the instance."""
    return [
        (instance, round(arrived_s - sent_s, 3), value)
        for instance, sent_s, value, started_ms in server.backoff_requests
        for arrived_id, arrived_s, arrived_ms in server.arrivals_by_start
        if arrived_id.startswith(instance)
        and arrived_ms == started_ms
        and sent_s + IN_FLIGHT_S + lag_s
        <= arrived_s
        < sent_s + BACKOFFS_S.get(value, 0.0)
    ]


def late_arrivals(server, lag_s):
    """Return arrivals at a start that had reported its shutdown to the instance."""
    return [
        (instance, round(arrived_s - sent_s, 3))
        for instance, sent_s, started_ms in server.shutdown_reports
        for arrived_id, arrived_s, arrived_ms in server.arrivals_by_start
        if arrived_id.startswith(instance)
        and arrived_ms == started_ms
        and arrived_s >= sent_s + LEAVING_S + lag_s
    ]


def connect_s(rng, *, max_s=SLOW_CONNECT_S):
    """Return the additional time to connect, in seconds."""
    is_slow = rng.random() < SLOW_CONNECTS
    return rng.uniform(0.0, max_s) if is_slow else 0.0


def is_refusal(outcome):
    """Return whether the caller was informed that nothing has run."""
    return getattr(outcome, "ran", "") == "no"


@pytest.mark.parametrize("seed", range(int(os.environ.get("SEEDS", "3"))))
async def test_signals_are_followed(seed, monkeypatch):
    """Instances follow all signals in any order, and callers get responses."""
    rng = random.Random(seed)
    listed = [
        *(runner(f"s{n}", 0, 80, kind="large", started_ms=1) for n in range(3)),
        *(plain_server(f"p{n}", started_ms=1) for n in range(2)),
    ]
    async with (
        servers_and_instances(listed, instance_count=INSTANCES, seed=seed) as (
            servers,
            instances,
        ),
        measure_loop_lag() as lag,
    ):
        recorder = Recorder(monkeypatch, instances)
        end_s = clocks.now_s() + DURATION_S
        for server in servers:
            server.work_s = lambda: rng.uniform(0.0, WORK_S)
        for instance in instances:
            for session in (instance.kept, instance.fresh):
                slow_connects(session, lambda _address: connect_s(rng))
        changers = [SignalChanges(server, instances, rng) for server in servers]
        running = [changer.run(end_s) for changer in changers]
        running += [
            reject_all(group, rng, end_s) for group in (servers[:3], servers[3:])
        ]
        load = [
            instance.send_repeatedly(every_s=0.02, for_s=DURATION_S, path=path)
            for instance in instances
            for path in ("/draft/1", "/label/1")
        ]
        *outcomes, _ = await asyncio.gather(*load, asyncio.gather(*running))
    assert recorder.violations(servers) == []
    none = [[]] * len(servers)
    assert [backoff_violations(server, lag.max_s) for server in servers] == none
    assert [late_arrivals(server, lag.max_s) for server in servers] == none
    rejected = [
        outcome for group in outcomes for outcome in group if is_refusal(outcome)
    ]
    ran = {call_id for server in servers for call_id in server.accepted}
    assert all(error.retry_after_s > 0 for error in rejected)
    assert {error.call_id for error in rejected}.isdisjoint(ran)
    assert sum(len(server.backoff_requests) for server in servers) > 0


#: Duration of the test of limits, in seconds, and its number of instances.
LIMITS_DURATION_S = 9.0
LIMIT_INSTANCES = 4
#: Header values of servers: limits, none, and an invalid one.
LIMIT_VALUES = ("0.5", "2.4", "4.9", "12", None, "some", "0")
#: Duration of a limit, in seconds: shorter and longer than a window.
LIMIT_DURATION_S = (0.5, 6.0)
#: Time within which all instances must enforce a limit, and its window, in seconds.
NOTIFIED_WITHIN_S = 1.0
WINDOW_S = 4.0
#: Maximum time to connect in the test of limits, in seconds: well above a permit's
#: lifetime, and within a stream's timeout even if the loop stalls for half a second.
LIMIT_CONNECT_S = 0.4
#: Maximum delay of the loop at which all callers must get responses, in seconds.
MAX_LOOP_DELAY_S = 0.1
#: Fraction of datagrams between instances that are lost, and of those duplicated.
LOST_FRACTION = 0.03


class LimitChanges:
    """Changes one server's limit at random, and records it.

    Args:
        server: The server.
        rng: Source of random choices.
    """

    def __init__(self, server, rng):
        self.server = server
        self.rng = rng
        #: Times and values of changes; None is no limit.
        self.changes = [(clocks.now_s(), None)]

    async def run(self, end_s):
        """Change the limit until a time."""
        while clocks.now_s() < end_s:
            self.server.limit_a_s = self.rng.choice(LIMIT_VALUES)
            self.changes.append((clocks.now_s(), self.server.limit_a_s))
            await asyncio.sleep(self.rng.uniform(*LIMIT_DURATION_S))

    def violations(self, lag_s):
        """Return the exceeded limits, with the actual and permitted arrivals."""
        violations = []
        ends_s = [since_s for since_s, _ in self.changes[1:]] + [clocks.now_s()]
        for (since_s, value), end_s in zip(self.changes, ends_s, strict=True):
            if value is None or value == "some":
                continue
            notified_s = self.notified_s(since_s, end_s)
            if notified_s is None:
                continue
            arrivals_s = [
                arrived_s
                for _, arrived_s in self.server.arrived
                if notified_s + NOTIFIED_WITHIN_S + lag_s <= arrived_s < end_s
            ]
            allowed = max(1, int(WINDOW_S * float(value)))
            max_arrivals = max_within(arrivals_s, WINDOW_S - lag_s)
            if max_arrivals > allowed:
                violations.append((value, max_arrivals, allowed))
        return violations

    def notified_s(self, since_s, end_s):
        """Return when the first request in an interval arrives, to get the limit."""
        arrivals_s = [
            arrived_s
            for _, arrived_s in self.server.arrived
            if since_s <= arrived_s < end_s
        ]
        return min(arrivals_s, default=None)


@pytest.mark.parametrize("seed", range(int(os.environ.get("SEEDS", "2"))))
async def test_limits_are_enforced(seed):
    """All instances together stay within the limits, and callers get responses.

    Datagrams are lost and duplicated, and connections are slow.
    """
    rng = random.Random(seed)
    listed = [
        *(runner(f"s{n}", 0, 80, kind="large") for n in range(3)),
        *(plain_server(f"p{n}") for n in range(2)),
    ]
    async with (
        servers_and_instances(listed, instance_count=LIMIT_INSTANCES, seed=seed) as (
            servers,
            instances,
        ),
        measure_loop_lag() as lag,
    ):
        join_instances(instances, seed=seed).lost_part = LOST_FRACTION
        end_s = clocks.now_s() + LIMITS_DURATION_S
        for instance in instances:
            for session in (instance.kept, instance.fresh):
                slow_connects(
                    session, lambda _address: connect_s(rng, max_s=LIMIT_CONNECT_S)
                )
        changers = [LimitChanges(server, rng) for server in servers]
        load = [
            instance.send_repeatedly(every_s=0.05, for_s=LIMITS_DURATION_S, path=path)
            for instance in instances
            for path in ("/draft/1", "/label/1")
        ]
        changing = asyncio.gather(*(changer.run(end_s) for changer in changers))
        *outcomes, _ = await asyncio.gather(*load, changing)
        violations = [changer.violations(lag.max_s) for changer in changers]
    assert violations == [[]] * len(changers)
    rejected = [
        outcome for group in outcomes for outcome in group if is_refusal(outcome)
    ]
    ran = {call_id for server in servers for call_id in server.accepted}
    assert all(error.retry_after_s > 0 for error in rejected)
    assert {error.call_id for error in rejected}.isdisjoint(ran)
    others = [
        outcome for group in outcomes for outcome in group if not is_refusal(outcome)
    ]
    failed = [outcome for outcome in others if getattr(outcome, "end", "") != "whole"]
    # A stalled loop consumes the callers' deadlines and the streams' timeouts.
    if lag.max_s < MAX_LOOP_DELAY_S:
        assert [getattr(outcome, "detail", outcome) for outcome in failed] == []
