# SPDX-License-Identifier: MIT
"""Servers that ask for rest, name limits, leave and start again at random, under load.

Some seeds run here; ``SEEDS=50 pytest tests/test_words_soak.py`` runs more by hand.
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


LASTS_S = 4.0
MACHINES = 2
FIGURES = ("0.3", "1", "1.5", "0", "2, 1", "soon", "-1")
LENGTHS_S = {"0.3": 0.3, "1": 1.0, "1.5": 1.5, "2, 1": 2.0}


#: Connections take up to so long, in seconds, one in so many of them.
SLOW_CONNECT_S = 0.9
SLOW_CONNECTS = 0.3
#: What servers run takes up to so long, in seconds: it goes on while they turn away.
WORK_S = 0.4


class Trouble:
    """Turns one server's words on and off at random; notes what they allow.

    Args:
        server: The server.
        machines: The instances that have it in their lists.
        rng: Decides.
    """

    def __init__(self, server, machines, rng):
        self.server = server
        self.machines = machines
        self.rng = rng

    async def run(self, end_s):
        """Change what the server says, until a time."""
        while clocks.now_s() < end_s:
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
            change = self.rng.random()
            if change < 0.45:
                self.server.retry_after = self.rng.choice(FIGURES)
            elif change < 0.85:
                self.server.retry_after = None
            elif change < 0.93:
                self.server.is_leaving = True
            else:
                self.start_again()

    def start_again(self):
        """Let the server start again under its id, free of all it has said."""
        self.server.restart(int(clocks.wall_s() * 1000))
        entry = {self.server.listed.id: self.server.listed}
        for machine in self.machines:
            # The list tells each instance late.
            late_s = self.rng.uniform(0.0, LIST_LAG_S)
            asyncio.get_running_loop().call_later(late_s, machine.list, entry)


async def all_ask(servers, rng, end_s):
    """Let all servers of a service turn everything away from time to time."""
    while clocks.now_s() < end_s:
        await asyncio.sleep(rng.uniform(0.2, 0.6))
        for server in servers:
            server.retry_after = rng.choice(list(LENGTHS_S))


#: How late the list tells of a new start, in seconds.
LIST_LAG_S = 0.8


class Ledger:
    """What instances have heard, and when they have written: no time lies between.

    Args:
        monkeypatch: Puts the notes in place.
        machines: The instances.
    """

    def __init__(self, monkeypatch, machines):
        self.heard = []
        self.writes = []
        write = CheckedRequest.send

        async def noted(request, connection):
            # The look lies between the two times, and nothing waits there.
            before_s = clocks.now_s()
            answer = await write(request, connection)
            address = f"{request.host}:{request.port}"
            call_id = request.headers.get(ID, "")
            self.writes.append((call_id, address, before_s, clocks.now_s()))
            return answer

        monkeypatch.setattr(CheckedRequest, "send", noted)
        for machine in machines:
            self.listen(machine)

    def listen(self, machine):
        """Note what a machine hears."""
        gate = machine.client.gate
        hear = gate.record_signals

        def heard(server, word, request_id):
            before_s = clocks.now_s()
            hear(server, word, request_id)
            if word.backoff_s and word.is_binding:
                until_s = before_s + word.backoff_s
                told = (request_id, server.address, clocks.now_s(), until_s)
                self.heard.append(told)

        gate.record_signals = heard

    def broken(self, servers):
        """Return writes within rests of the same start that the instance had heard.

        A call may come to a server twice, each time to another start of it.
        """
        arrivals = {
            (call_id, server.listed.address): []
            for server in servers
            for call_id, _, _ in server.arrivals_by_start
        }
        for server in servers:
            for call_id, at_s, started_ms in server.arrivals_by_start:
                arrivals[call_id, server.listed.address].append((at_s, started_ms))

        def start_told(call_id, address, heard_s):
            before = [one for one in arrivals[call_id, address] if one[0] <= heard_s]
            return before[-1][1]

        def start_written_to(call_id, address, written_s):
            after = [
                one
                for one in arrivals.get((call_id, address), ())
                if one[0] >= written_s
            ]
            return after[0][1] if after else None

        return [
            (
                told_to,
                call_id,
                f"told {heard_s:.4f} until {until_s:.4f}, written {before_s:.4f}",
            )
            for told_to, address, heard_s, until_s in self.heard
            for call_id, written_to, before_s, after_s in self.writes
            if call_id.partition("-")[0] == told_to.partition("-")[0]
            and written_to == address
            and heard_s <= before_s
            and after_s < until_s
            and start_written_to(call_id, address, before_s)
            == start_told(told_to, address, heard_s)
        ]


def broken_rests(server, lag_s):
    """Return arrivals at a server within rests that it had asked that machine for."""
    return [
        (machine, round(at_s - said_s, 3), figure)
        for machine, said_s, figure, started_ms in server.backoff_requests
        for what, at_s, arrived_ms in server.arrivals_by_start
        if what.startswith(machine)
        and arrived_ms == started_ms
        and said_s + IN_FLIGHT_S + lag_s <= at_s < said_s + LENGTHS_S.get(figure, 0.0)
    ]


def late_arrivals(server, lag_s):
    """Return arrivals at a start that had said to a machine that it leaves."""
    return [
        (machine, round(at_s - said_s, 3))
        for machine, said_s, started_ms in server.shutdown_reports
        for what, at_s, arrived_ms in server.arrivals_by_start
        if what.startswith(machine)
        and arrived_ms == started_ms
        and at_s >= said_s + LEAVING_S + lag_s
    ]


def connect_s(rng, *, most_s=SLOW_CONNECT_S):
    """Return how long a connection takes beside its usual time, in seconds."""
    is_slow = rng.random() < SLOW_CONNECTS
    return rng.uniform(0.0, most_s) if is_slow else 0.0


def is_refusal(outcome):
    """Tell whether a caller was told that nothing has run."""
    return getattr(outcome, "ran", "") == "no"


@pytest.mark.parametrize("seed", range(int(os.environ.get("SEEDS", "3"))))
async def test_words_are_kept(seed, monkeypatch):
    """Whatever servers say, in whatever order, it is kept, and callers get answers."""
    rng = random.Random(seed)
    listed = [
        *(runner(f"s{n}", 0, 80, kind="large", started_ms=1) for n in range(3)),
        *(plain_server(f"p{n}", started_ms=1) for n in range(2)),
    ]
    async with (
        servers_and_instances(listed, instance_count=MACHINES, seed=seed) as (
            servers,
            machines,
        ),
        measure_loop_lag() as lag,
    ):
        ledger = Ledger(monkeypatch, machines)
        end_s = clocks.now_s() + LASTS_S
        for one in servers:
            one.work_s = lambda: rng.uniform(0.0, WORK_S)
        for machine in machines:
            for session in (machine.kept, machine.fresh):
                slow_connects(session, lambda _address: connect_s(rng))
        troubles = [Trouble(one, machines, rng) for one in servers]
        work = [one.run(end_s) for one in troubles]
        work += [all_ask(some, rng, end_s) for some in (servers[:3], servers[3:])]
        asking = [
            one.send_repeatedly(every_s=0.02, for_s=LASTS_S, path=path)
            for one in machines
            for path in ("/draft/1", "/label/1")
        ]
        *outcomes, _ = await asyncio.gather(*asking, asyncio.gather(*work))
    assert ledger.broken(servers) == []
    nothing = [[]] * len(servers)
    assert [broken_rests(server, lag.max_s) for server in servers] == nothing
    assert [late_arrivals(server, lag.max_s) for server in servers] == nothing
    unrun = [one for some in outcomes for one in some if is_refusal(one)]
    ran = {call_id for server in servers for call_id in server.accepted}
    assert all(one.retry_after_s > 0 for one in unrun)
    assert {one.call_id for one in unrun}.isdisjoint(ran)
    assert sum(len(server.backoff_requests) for server in servers) > 0


#: How long servers that name limits are watched, in seconds, and by how many instances.
LIMITS_LAST_S = 9.0
LIMIT_MACHINES = 4
#: What servers name: limits, none, and what can't be understood.
LIMITS = ("0.5", "2.4", "4.9", "12", None, "some", "0")
#: How long a limit stays, in seconds: some spans end within it, some don't.
STAYS_S = (0.5, 6.0)
#: From when on after a word all keep to it, and over any span so long, in seconds.
KNOWN_S = 1.0
SPAN_S = 4.0
#: How long connections take there at the most, in seconds: well over a permit's life,
#: and with a loop that is held up for half a second still within a stream's patience.
LIMIT_CONNECT_S = 0.4
#: How late the loop may be for all callers to get answers, in seconds.
HELD_UP_S = 0.1
#: Which part of the datagrams between instances is lost, and comes twice.
LOST_PART = 0.03


class LimitTrouble:
    """Changes one server's limit at random; notes what it allows.

    Args:
        server: The server.
        rng: Decides.
    """

    def __init__(self, server, rng):
        self.server = server
        self.rng = rng
        #: Since when it names what, or names nothing.
        self.named = [(clocks.now_s(), None)]

    async def run(self, end_s):
        """Change the limit, until a time."""
        while clocks.now_s() < end_s:
            self.server.limit_a_s = self.rng.choice(LIMITS)
            self.named.append((clocks.now_s(), self.server.limit_a_s))
            await asyncio.sleep(self.rng.uniform(*STAYS_S))

    def broken(self, lag_s):
        """Return the limits beyond which requests came, and by how many."""
        found = []
        ends_s = [since_s for since_s, _ in self.named[1:]] + [clocks.now_s()]
        for (since_s, figure), end_s in zip(self.named, ends_s, strict=True):
            if figure is None or figure == "some":
                continue
            told_s = self.told_s(since_s, end_s)
            if told_s is None:
                continue
            came_s = [
                at_s
                for _, at_s in self.server.arrived
                if told_s + KNOWN_S + lag_s <= at_s < end_s
            ]
            allowed = max(1, int(SPAN_S * float(figure)))
            most = max_within(came_s, SPAN_S - lag_s)
            if most > allowed:
                found.append((figure, most, allowed))
        return found

    def told_s(self, since_s, end_s):
        """Return when the first request of a time came: its answer names the limit."""
        came_s = [at_s for _, at_s in self.server.arrived if since_s <= at_s < end_s]
        return min(came_s, default=None)


@pytest.mark.parametrize("seed", range(int(os.environ.get("SEEDS", "2"))))
async def test_limits_are_kept(seed):
    """Whatever servers name, all instances together send no more; callers get answers.

    Datagrams are lost and come twice, connections take long.
    """
    rng = random.Random(seed)
    listed = [
        *(runner(f"s{n}", 0, 80, kind="large") for n in range(3)),
        *(plain_server(f"p{n}") for n in range(2)),
    ]
    async with (
        servers_and_instances(listed, instance_count=LIMIT_MACHINES, seed=seed) as (
            servers,
            machines,
        ),
        measure_loop_lag() as lag,
    ):
        join_instances(machines, seed=seed).lost_part = LOST_PART
        end_s = clocks.now_s() + LIMITS_LAST_S
        for machine in machines:
            for session in (machine.kept, machine.fresh):
                slow_connects(
                    session, lambda _address: connect_s(rng, most_s=LIMIT_CONNECT_S)
                )
        troubles = [LimitTrouble(one, rng) for one in servers]
        asking = [
            one.send_repeatedly(every_s=0.05, for_s=LIMITS_LAST_S, path=path)
            for one in machines
            for path in ("/draft/1", "/label/1")
        ]
        changing = asyncio.gather(*(one.run(end_s) for one in troubles))
        *outcomes, _ = await asyncio.gather(*asking, changing)
        broken = [one.broken(lag.max_s) for one in troubles]
    assert broken == [[]] * len(troubles)
    unrun = [one for some in outcomes for one in some if is_refusal(one)]
    ran = {call_id for server in servers for call_id in server.accepted}
    assert all(one.retry_after_s > 0 for one in unrun)
    assert {one.call_id for one in unrun}.isdisjoint(ran)
    others = [one for some in outcomes for one in some if not is_refusal(one)]
    cut = [one for one in others if getattr(one, "end", "") != "whole"]
    # A loop that is held up uses callers' deadlines and streams' patience up.
    if lag.max_s < HELD_UP_S:
        assert [getattr(one, "detail", one) for one in cut] == []
