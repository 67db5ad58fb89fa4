# SPDX-License-Identifier: MIT
"""Replays of servers that end, by a prompt's part or by themselves.

The replay knows which part is at fault, and what one instance that is told of all ends
at once makes of it.
"""

from __future__ import annotations

import itertools
import random

import pytest
import simpy

from violethatch.suspicion import CrashSuspects, End
from violethatch.work_ids import part_id, work_id


#: How long a request waits for its first event, and how long its answer takes, in
#: seconds.
FIRST_S = (0.05, 0.15)
ANSWER_S = 2.0
SOUND_AFTER_S = 0.25
#: How long an ended server is away, in seconds.
BACK_S = 3.0
MAX_SENDS = 3
CALLERS = 10
DEADLY = "dead"
#: Sends with the part that the users' pages allow later than 3 s after five ends.
ENDS = 5
KNOWN_S = 1.0
SERVED_S = 2.0


class Request:
    """A request of one caller, no two alike."""

    _numbers = itertools.count()

    def __init__(self, caller, parts):
        self.parts = parts
        body = b"%d" % next(self._numbers)
        work = work_id(caller=caller, method="POST", host="h", target="/", body=body)
        self.work = work
        self.part_ids = [part_id(one) for one in parts]
        self.part_ids += [part_id(one, caller=caller) for one in parts]

    @property
    def is_deadly(self):
        return DEADLY in self.parts

    @property
    def traits(self):
        return (self.work, *self.part_ids)


class Replay:
    """Servers, requests and what is made of the ends.

    Args:
        servers: How many servers there are.
        seed: Of all draws.
    """

    def __init__(self, *, servers, seed):
        self.env = simpy.Environment()
        self.rng = random.Random(seed)
        self.suspects = CrashSuspects()
        self.starts = dict.fromkeys(range(servers), 0)
        self.ended = {one: self.env.event() for one in range(servers)}
        self.away = set()
        #: When servers ended by the part, when requests with it were sent, and when
        #: sound requests were sent and held back.
        self.ends_s = []
        self.deadly_s = []
        self.sound_s = []
        self.held_s = []

    def end(self, server):
        """End a server; it is back after a while."""
        if server in self.away:
            return
        self.away.add(server)
        self.ended[server].succeed()
        self.env.process(self._back(server))

    def _back(self, server):
        yield self.env.timeout(BACK_S)
        self.away.discard(server)
        self.starts[server] += 1
        self.ended[server] = self.env.event()

    def serve(self, request):
        """Send a request until it is answered, held back or sent too often."""
        for _ in range(MAX_SENDS):
            hold = self.suspects.hold_for(request.traits, now_s=self.env.now)
            if hold is not None:
                if not request.is_deadly:
                    self.held_s.append(self.env.now)
                return
            there = [one for one in self.starts if one not in self.away]
            if not there:
                return
            if (yield from self._run(request, self.rng.choice(there))):
                return

    def _run(self, request, server):
        """Run a request at a server; return whether it was answered."""
        env = self.env
        (self.deadly_s if request.is_deadly else self.sound_s).append(env.now)
        lifetime, ended = f"{server}/{self.starts[server]}", self.ended[server]
        yield env.timeout(self.rng.uniform(*FIRST_S)) | ended
        if not ended.triggered and request.is_deadly:
            self.ends_s.append(env.now)
            self.end(server)
            yield env.timeout(0.0)
        if ended.triggered:
            self._note(request, lifetime, has_begun=False, is_sound=False)
            return False
        yield env.timeout(SOUND_AFTER_S) | ended
        if ended.triggered:
            self._note(request, lifetime, has_begun=True, is_sound=False)
            return False
        left = env.timeout(ANSWER_S)
        while not left.processed and not ended.triggered:
            self._clear(request.part_ids)
            yield left | ended | env.timeout(0.2)
        if not left.processed:
            self._note(request, lifetime, has_begun=True, is_sound=True)
            return False
        self._clear(request.traits)
        return True

    def _note(self, request, lifetime, *, has_begun, is_sound):
        now_s = self.env.now
        self.suspects.note(End(request.work, lifetime, has_begun, "i"), now_s=now_s)
        for part in () if is_sound else request.part_ids:
            self.suspects.note(End(part, lifetime, False, "i"), now_s=now_s)

    def _clear(self, traits):
        for trait in traits:
            self.suspects.clear(trait, now_s=self.env.now)

    def send_sound(self, rate_a_s, parts):
        """Send sound requests at a mean rate."""
        while True:
            yield self.env.timeout(self.rng.expovariate(rate_a_s))
            caller = f"c{self.rng.randrange(CALLERS)}"
            self.env.process(self.serve(Request(caller, parts(self.rng))))

    def send_deadly(self, rate_a_s, parts, *, callers):
        """Send requests with the part at a mean rate."""
        while True:
            yield self.env.timeout(self.rng.expovariate(rate_a_s))
            caller = f"c{self.rng.randrange(callers)}"
            self.env.process(self.serve(Request(caller, (*parts(self.rng), DEADLY))))

    def crash(self, every_s):
        """End servers that nothing is at fault for, some alone and some together."""
        while True:
            yield self.env.timeout(self.rng.expovariate(1 / every_s))
            for server in self.rng.sample(list(self.starts), self.rng.choice((1, 3))):
                self.end(server)
                yield self.env.timeout(self.rng.uniform(0.0, 0.3))


def two_parts(_rng):
    """Return the parts that all requests share."""
    return ("a", "b")


def one_of_60(rng):
    """Return one of 60 parts, some far more popular than others."""
    return (f"{min(59, int(rng.paretovariate(0.7)) - 1):x}",)


def one_of_2000(rng):
    """Return a popular part, and one that is hardly ever seen again."""
    return ("a", f"{rng.randrange(2000):x}")


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("parts", [two_parts, one_of_60, one_of_2000])
@pytest.mark.parametrize("company", [1, 20, 96])
@pytest.mark.parametrize("callers", [1, CALLERS])
def test_deadly_part_is_found(company, parts, callers, seed):
    """Few servers end, no sound request is held back for long."""
    servers = 12
    replay = Replay(servers=servers, seed=seed)
    rate_a_s = company * servers / ANSWER_S
    replay.env.process(replay.send_sound(rate_a_s, parts))
    replay.env.run(until=4.0)
    replay.env.process(replay.send_deadly(6.0, parts, callers=callers))
    replay.env.run(until=14.0)
    known_s = replay.ends_s[:ENDS][-1]
    assert not [at_s for at_s in replay.deadly_s if at_s > known_s + KNOWN_S]
    sound = [at_s for at_s in replay.sound_s if at_s > known_s + SERVED_S]
    held = [at_s for at_s in replay.held_s if at_s > known_s + SERVED_S]
    assert len(held) <= 0.05 * (len(sound) + len(held))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("parts", [two_parts, one_of_60, one_of_2000])
def test_servers_that_end_by_themselves_hold_no_part_back(parts, seed):
    """Not even with an end each 0.7 s for a minute."""
    replay = Replay(servers=33, seed=seed)
    replay.env.process(replay.send_sound(40.0, parts))
    replay.env.process(replay.crash(1.4))
    replay.env.run(until=60.0)
    assert len(replay.sound_s) > 2_000
    assert not replay.held_s
