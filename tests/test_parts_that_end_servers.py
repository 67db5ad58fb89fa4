# SPDX-License-Identifier: MIT
"""A part of a prompt ends each server that begins to answer a request with it.

On a day with 8 instances 19 servers ended under requests that shared one part and
nothing else: each was a new work, under which no server had ended yet.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from mortal_fleet import DEADLY_PART, ChainServers, Fleet, Servers, model_runner
from router_fakes import events
from signaling_servers import measure_loop_lag
from test_crash_suspects import PART, end, noted
from test_held_rows import held_rows, written
from test_registration import FakeStore
from violethatch import clocks
from violethatch.suspicion import CrashSuspects
from violethatch.work_ids import prompt_part_id


#: Requests a second, and for how long they come, in seconds.
SOUND_A_S = 60
DEADLY_A_S = 12
PLAYED_S = 4.5
#: For how long requests come after servers are back that have all ended, in seconds.
MEASURED_S = 1.7
#: Ends that are enough to know the part, and how long knowing it may take, in seconds.
ENDS = 5
KNOWN_S = 1.0
#: From when on after these ends sound requests are served again, in seconds.
SERVED_S = 2.0
MIN_SERVED_PART = 0.95
#: How long an ended server is away, in seconds.
BACK_S = 2.0
#: An answer of a sound request.
STREAM = [
    0.02,
    *(step for n in range(1, 10) for step in (events(n), 0.05)),
    events(10),
]
#: When a part turns deadly, in seconds.
TURNED_S = 1.5
#: The rule for it: so many sends later than this after so many ends, in seconds.
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
#: For how long its listener may outlast its connections, in seconds.
CLOSING_S = 0.03


class Traffic:
    """Requests at any instance, no two alike.

    Args:
        fleet: Whom they are sent to.
        sound_parts: Returns the parts of a sound request.
        deadly_parts: The parts of a deadly one.
    """

    def __init__(self, fleet, *, sound_parts, deadly_parts):
        self.fleet = fleet
        self.sound_parts = sound_parts
        self.deadly_parts = deadly_parts
        self.rng = random.Random(1)
        #: When sound requests were sent, and how they ended.
        self.sound = []
        self.deadly = []
        self.number = 0

    async def ask(self, outcomes, parts):
        """Send one request, and note what came of it."""
        self.number += 1
        number = self.number
        router = self.rng.choice(self.fleet.routers)
        sent_s = clocks.now_s()
        body = b"a menu %d" % number
        outcome = await self.fleet.ask(
            router, body=body, id=f"m{number}", prompt_parts=parts
        )
        outcomes.append((sent_s, getattr(outcome, "end", None), outcome))

    async def play(self, played_s=PLAYED_S):
        """Send requests for some time; wait for their ends."""
        tasks = []
        ends_s = clocks.now_s() + played_s
        tick = 0
        while clocks.now_s() < ends_s:
            tick += 1
            tasks.append(asyncio.create_task(self.ask(self.sound, self.sound_parts())))
            if self.deadly_parts and tick % (SOUND_A_S // DEADLY_A_S) == 0:
                tasks.append(
                    asyncio.create_task(self.ask(self.deadly, self.deadly_parts))
                )
            await asyncio.sleep(1 / SOUND_A_S)
        await asyncio.gather(*tasks)

    def served_part(self, since_s):
        """Return which part of the sound requests since a moment was served."""
        ends = [end for sent_s, end, _ in self.sound if sent_s >= since_s]
        return sum(end == "whole" for end in ends) / len(ends)


def popular_part(rng):
    """Return one of 60 parts, some far more popular than others."""
    return f"{min(59, int(rng.paretovariate(0.7)) - 1):x}"


def late_sends(servers, lag, *, known_s=KNOWN_S):
    """Return how many deadly sends came so long after the part could be known."""
    fifth_s = servers.ended_s[ENDS - 1]
    return sum(
        at_s > fifth_s + known_s + lag.stalled_s(fifth_s, at_s)
        for at_s in servers.arrived_s
    )


async def play_day(
    instances, sound_parts, deadly_parts, *, seed=1, rest=None, closing_s=0.0
):
    """Play some seconds; return the servers, the traffic and the loop's lag."""
    servers = Servers(model_runner, count=12, back_s=BACK_S)
    servers.unframed_rest = rest
    servers.closing_s = closing_s
    servers.script = STREAM
    fleet = Fleet(instances, servers, seed=seed)
    traffic = Traffic(fleet, sound_parts=sound_parts, deadly_parts=deadly_parts)
    async with measure_loop_lag() as lag:
        await traffic.play()
    return servers, traffic, lag


def check(servers, traffic, lag):
    """Check that the part is held back, and that others are served."""
    if len(servers.ended_s) >= ENDS:
        assert late_sends(servers, lag) == 0
    known_s = servers.ended_s[:ENDS][-1]
    assert traffic.served_part(known_s + SERVED_S) >= MIN_SERVED_PART


@pytest.mark.parametrize("instances", [1, 6])
@pytest.mark.parametrize(
    "deadly_parts",
    [(DEADLY_PART, "b"), ("a", DEADLY_PART)],
    ids=["first", "second"],
)
async def test_part_that_ends_servers_is_held_back(instances, deadly_parts):
    """Sound requests have all of its other parts, and its caller."""
    played = await play_day(instances, lambda: ("a", "b"), deadly_parts)
    check(*played)


@pytest.mark.parametrize("rest", [b"", b"id: 1\nda"], ids=["empty", "within_event"])
async def test_part_that_ends_answers_without_a_length_is_held_back(rest):
    """Such an answer ends with its connection, and a server's end closes it."""
    played = await play_day(1, lambda: ("a", "b"), ("a", DEADLY_PART), rest=rest)
    check(*played)


@pytest.mark.parametrize("instances", [1, 6])
async def test_part_that_ends_later_runners_is_held_back(instances):
    """The first runner of a path goes on; it only passes the requests on."""
    servers = ChainServers(count=6, back_s=BACK_S)
    fleet = Fleet(instances, servers)
    for number in range(12):
        router = fleet.routers[number % instances]
        await fleet.ask(
            router,
            body=b"a menu %d" % number,
            id=f"c{number}",
            prompt_parts=("a", DEADLY_PART),
        )
        await asyncio.sleep(0.2)
    assert len(servers.ended_s) <= ENDS
    assert (await fleet.ask(fleet.routers[0], prompt_parts=("a",))).end == "whole"


@pytest.mark.parametrize("instances", [1, 6])
async def test_part_is_held_back_where_listeners_close_after_connections(instances):
    """A process that ends may take a connection after the first one has broken."""
    played = await play_day(
        instances, lambda: ("a", "b"), ("a", DEADLY_PART), closing_s=CLOSING_S
    )
    check(*played)


async def test_hold_is_stored_where_its_last_witness_knew_of_no_other_end():
    """Instances that start later would learn of it from nobody."""
    fleet = Fleet(6, Servers(model_runner))
    stored = set()
    for router in fleet.routers:
        router.routing.store_hold = stored.add
    for number, router in enumerate(fleet.routers[:2]):
        router.routing.note_end(end(f"s{number}", of=PART))
    await asyncio.sleep(0.1)
    started = fleet.join(fleet.entries["i5"])
    started.routing.store_hold = stored.add
    started.routing.note_end(end("s2", of=PART))
    await asyncio.sleep(1.0)
    now_s = clocks.now_s()
    running = [*fleet.routers[:5], started]
    assert all(one.routing.suspects.hold(PART, now_s=now_s) for one in running)
    assert PART in stored


@pytest.mark.parametrize("instances", [1, 6])
@pytest.mark.parametrize("count", [1, 2])
async def test_part_that_ends_all_servers_there_are_is_held_back(count, instances):
    """None is left to show that the links are sound; the entries of ended ones go."""
    servers = Servers(model_runner, count=count, back_s=0.5)
    fleet = Fleet(instances, servers)
    for number in range(50):
        await fleet.ask(
            fleet.routers[number % instances],
            body=b"a menu %d" % number,
            id=f"c{number}",
            prompt_parts=("a", DEADLY_PART),
        )
        await asyncio.sleep(0.1)
    assert len(servers.ended_s) <= ENDS
    assert (await fleet.ask(fleet.routers[0], prompt_parts=("a",))).end == "whole"


async def test_held_request_gets_a_true_answer_at_every_instance():
    """It has not run, and no instance sends it to a server first."""
    servers = Servers(model_runner, count=6, back_s=BACK_S)
    fleet = Fleet(6, servers)
    parts = ("a", DEADLY_PART)
    for number in range(3):
        await fleet.ask(
            fleet.routers[0], body=b"%d" % number, id=f"c{number}", prompt_parts=parts
        )
    await asyncio.sleep(0.1)
    arrived = len(servers.arrived_s)
    for number, router in enumerate(fleet.routers):
        error = await fleet.ask(router, body=b"m%d" % number, prompt_parts=parts)
        assert (error.code, error.ran, error.status) == (1206, "no", 503)
    assert len(servers.arrived_s) == arrived


async def test_starting_instance_reads_held_parts():
    """All datagrams went out before it was there."""
    held = noted(*[end(name, of=PART) for name in "abc"], now_s=clocks.now_s())
    store = FakeStore()
    rows = held_rows(held, store=store)
    rows.keep(PART)
    ((_, put, _),) = await written(rows, store)
    started = CrashSuspects()
    now_s = clocks.now_s()
    held_rows(started, store_s=1100.0).take(put, now_s=now_s)
    # Its time is over, and it is still tried by one request alone.
    assert started.hold_for((PART,), now_s=now_s).left_s == 0.0


@pytest.mark.parametrize("instances", [1, 6])
async def test_deadly_part_among_many_is_held_back(instances):
    """Each sound request has one of 60 shared parts."""
    rng = random.Random(1)
    played = await play_day(instances, lambda: (popular_part(rng),), (DEADLY_PART,))
    check(*played)


@pytest.mark.parametrize("instances", [1, 6])
async def test_part_that_turns_deadly_is_held_back(instances):
    """It was answered until then, and sound requests have all of its other parts."""
    servers = Servers(model_runner, count=12, back_s=BACK_S)
    servers.script = STREAM
    servers.is_mortal = False
    fleet = Fleet(instances, servers)
    traffic = Traffic(
        fleet, sound_parts=lambda: ("a", "b"), deadly_parts=("a", DEADLY_PART)
    )
    async with measure_loop_lag() as lag:
        playing = asyncio.create_task(traffic.play(TURNED_S + CONTACT_S + 3.0))
        await asyncio.sleep(TURNED_S)
        servers.is_mortal = True
        await playing
    late = late_sends(servers, lag, known_s=CONTACT_S)
    assert late <= MAX_LATE_SENDS
    known_s = servers.ended_s[:ENDS][-1]
    assert traffic.served_part(known_s + CONTACT_S) >= MIN_SERVED_PART


async def test_requests_with_a_part_in_doubt_are_sent_beside_each_other():
    """The second one waits until the first one's answer begins, and all are served."""
    servers = Servers(model_runner)
    servers.script = [0.1, events(1), 0.02, events(2)]
    fleet = Fleet(1, servers)
    router = fleet.routers[0]
    part, begin_s = prompt_part_id("a"), clocks.now_s()
    router.routing.suspects.clear(part, now_s=begin_s)
    for name in "ab":
        router.routing.suspects.note(end(name, of=part), now_s=begin_s)
    asked = (
        fleet.ask(router, body=b"%d" % n, id=f"p{n}", prompt_parts=("a",))
        for n in range(3)
    )
    assert {one.end for one in await asyncio.gather(*asked)} == {"whole"}
    assert clocks.now_s() - begin_s >= 0.2


@pytest.mark.parametrize("instances", [1, 6])
async def test_popular_parts_when_all_servers_end_together(instances):
    """No request ended them, and nothing is answered that would clear the parts."""
    servers = Servers(model_runner, count=12, back_s=1.0)
    servers.script = STREAM
    fleet = Fleet(instances, servers)
    traffic = Traffic(fleet, sound_parts=lambda: ("a", "b"), deadly_parts=())
    playing = asyncio.create_task(traffic.play())
    await asyncio.sleep(1.0)
    for server in list(servers.by_id.values()):
        servers.end(server)
        await asyncio.sleep(0.02)
    back_s = clocks.now_s() + 1.5
    await playing
    await traffic.play(back_s + MEASURED_S - clocks.now_s())  # if the loop stood still
    held = [one for _, _, one in traffic.sound if getattr(one, "code", 0) == 1206]
    assert not held
    assert traffic.served_part(back_s) >= MIN_SERVED_PART
