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

from violethatch.suspicion import PROBE_S, CrashSuspects, End
from violethatch.work_ids import prompt_part_id, work_id


#: How long a request waits for its first event, and how long its answer takes, in
#: seconds.
FIRST_S = (0.05, 0.15)
ANSWER_S = 2.0
SOUND_AFTER_S = 0.25
#: How long an ended server is away, in seconds.
BACK_S = 3.0
MAX_SENDS = 3
#: How often a request that waits for another one looks again, in seconds.
LOOK_S = 0.02
CALLERS = 10
DEADLY = "dead"
#: Sends with the part that the users' pages allow later than 3 s after five ends.
ENDS = 5
KNOWN_S = 1.0
SERVED_S = 2.0
#: The same for a part that was answered before it ended servers: how long knowing it
#: may take, in seconds, the sends that may come later, and the share of sound requests
#: that may be held back after twice that time.
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
MAX_HELD_SHARE = 0.5


class Request:
    """A request of one caller, no two alike."""

    _numbers = itertools.count()

    def __init__(self, caller, parts):
        self.parts = parts
        #: The number of the hold that it may pass.
        self.trial = 0
        body = b"%d" % next(self._numbers)
        work = work_id(caller=caller, method="POST", host="h", target="/", body=body)
        self.work = work
        self.part_ids = [prompt_part_id(one) for one in parts]
        self.part_ids += [prompt_part_id(one, caller=caller) for one in parts]

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
        back_s: How long an ended server is away, in seconds.
        first_s: How long a request waits for its first event, in seconds.
    """

    def __init__(self, *, servers, seed, back_s=BACK_S, first_s=FIRST_S):
        self.back_s = back_s
        self.first_s = first_s
        self.env = simpy.Environment()
        self.rng = random.Random(seed)
        self.suspects = CrashSuspects()
        #: Whether requests with the part end servers.
        self.is_mortal = True
        self.starts = dict.fromkeys(range(servers), 0)
        self.ended = {one: self.env.event() for one in range(servers)}
        self.away = set()
        #: How long requests waited at the most for another one with their parts.
        self.waited_s = 0.0
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
        yield self.env.timeout(self.back_s)
        self.away.discard(server)
        self.starts[server] += 1
        self.ended[server] = self.env.event()

    def serve(self, request):
        """Send a request until it is answered, held back or sent too often."""
        patience_s = PROBE_S
        for _ in range(MAX_SENDS):
            if self._has_server():
                patience_s = yield from self._wait(request, patience_s)
            if self._is_held(request):
                if not request.is_deadly:
                    self.held_s.append(self.env.now)
                return
            if not self._has_server():
                return
            there = [one for one in self.starts if one not in self.away]
            if (yield from self._run(request, self.rng.choice(there))):
                return

    def _is_held(self, request):
        """Tell whether a request is held back, and isn't the one that tries."""
        hold = self.suspects.hold_for(request.traits, now_s=self.env.now)
        if hold is None or request.trial == hold.number:
            return False
        if hold.left_s:
            return True
        if not self.suspects.begin_trial(hold.trait, now_s=self.env.now):
            return True
        request.trial = hold.number
        return False

    def _has_server(self):
        """Tell whether any server is there."""
        return len(self.away) < len(self.starts)

    def _wait(self, request, patience_s):
        """Wait for another request with a part in doubt; return the patience left."""
        begin_s = self.env.now
        while patience_s > 0.0 and not self._is_held(request):
            left_s = self.suspects.begin_probe(
                request.part_ids, by=request.work, now_s=self.env.now
            )
            if left_s <= 0.0:
                break
            wait_s = min(left_s, patience_s, LOOK_S)
            yield self.env.timeout(wait_s)
            patience_s -= wait_s
        if not request.is_deadly:
            self.waited_s = max(self.waited_s, self.env.now - begin_s)
        return patience_s

    def _run(self, request, server):
        """Run a request at a server; return whether it was answered."""
        env = self.env
        (self.deadly_s if request.is_deadly else self.sound_s).append(env.now)
        lifetime, ended = f"{server}/{self.starts[server]}", self.ended[server]
        yield env.timeout(self.rng.uniform(*self.first_s)) | ended
        if not ended.triggered and request.is_deadly and self.is_mortal:
            self.ends_s.append(env.now)
            self.end(server)
            yield env.timeout(0.0)
        if ended.triggered:
            self._note(request, lifetime, has_begun=False, is_sound=False)
            return False
        begun_s = env.now
        self.suspects.note_begun(request.part_ids)
        yield env.timeout(SOUND_AFTER_S) | ended
        if ended.triggered:
            self._note(request, lifetime, has_begun=True, is_sound=False)
            return False
        left = env.timeout(ANSWER_S)
        while not left.processed and not ended.triggered:
            self._clear(request.part_ids, begun_s)
            yield left | ended | env.timeout(0.2)
        if not left.processed:
            self._note(request, lifetime, has_begun=True, is_sound=True)
            return False
        self._clear(request.traits, begun_s)
        return True

    def _note(self, request, lifetime, *, has_begun, is_sound):
        now_s = self.env.now
        self.suspects.note(End(request.work, lifetime, has_begun, "i"), now_s=now_s)
        for part in () if is_sound else request.part_ids:
            self.suspects.note(End(part, lifetime, False, "i"), now_s=now_s)

    def held_share(self, since_s):
        """Return which share of the sound requests since a time was held back."""
        sound = sum(at_s > since_s for at_s in self.sound_s)
        held = sum(at_s > since_s for at_s in self.held_s)
        return held / (sound + held)

    def _clear(self, traits, begun_s):
        for trait in traits:
            self.suspects.clear(trait, now_s=self.env.now, begun_s=begun_s)

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

    def end_all(self):
        """End all servers within a fraction of a second."""
        for server in self.rng.sample(list(self.starts), len(self.starts)):
            self.end(server)
            yield self.env.timeout(self.rng.uniform(0.0, 0.6 / len(self.starts)))

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


def play_turned(parts, *, callers, back_s, seed):
    """Play requests with a part that is answered until it ends servers.

    Returns:
        How many of them were sent late, and the share of sound ones held back then.
    """
    replay = Replay(servers=12, back_s=back_s, seed=seed)
    replay.is_mortal = False
    replay.env.process(replay.send_sound(60.0, parts))
    replay.env.process(replay.send_deadly(6.0, parts, callers=callers))
    replay.env.run(until=4.0)
    replay.is_mortal = True
    replay.env.run(until=20.0)
    known_s = replay.ends_s[ENDS - 1]
    late = [at_s for at_s in replay.deadly_s if at_s > known_s + CONTACT_S]
    return len(late), replay.held_share(known_s + 2 * CONTACT_S)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("parts", [two_parts, one_of_60, one_of_2000])
@pytest.mark.parametrize("back_s", [1.0, 2.0])
@pytest.mark.parametrize("callers", [1, CALLERS])
def test_part_that_turns_deadly_is_found(back_s, parts, callers, seed):
    """It is answered until then, and again and again nearly all servers end."""
    late, held = play_turned(parts, callers=callers, back_s=back_s, seed=seed)
    assert late <= MAX_LATE_SENDS
    assert held <= MAX_HELD_SHARE


def test_part_that_turns_deadly_where_servers_are_away_for_long():
    """All servers have ended, and are back only when the part has to be known."""
    plays = [
        play_turned(parts, callers=callers, back_s=CONTACT_S, seed=seed)
        for parts in (two_parts, one_of_60, one_of_2000)
        for callers in (1, CALLERS)
        for seed in range(2)
    ]
    assert max(late for late, _ in plays) <= MAX_LATE_SENDS
    assert max(held for _, held in plays) <= MAX_HELD_SHARE


def play_two_outages(parts, *, again_s, first_s=FIRST_S):
    """Play two ends of all servers, the second one shortly after their return.

    Returns:
        The replay, and when servers were back the second time.
    """
    replay = Replay(servers=12, seed=0, first_s=first_s)
    replay.env.process(replay.send_sound(60.0, parts))
    replay.env.run(until=8.0)
    replay.env.process(replay.end_all())
    replay.env.run(until=8.0 + BACK_S + again_s)
    replay.env.process(replay.end_all())
    back_s = 8.0 + again_s + 2 * BACK_S
    replay.env.run(until=back_s + 10.0)
    return replay, back_s


@pytest.mark.parametrize("parts", [two_parts, one_of_60, one_of_2000])
@pytest.mark.parametrize("again_s", [0.6, 1.2])
def test_sound_parts_where_all_servers_end_twice(again_s, parts):
    """Hardly anything is answered between the two times."""
    replay, back_s = play_two_outages(parts, again_s=again_s)
    assert replay.waited_s <= PROBE_S
    assert replay.held_share(back_s + SERVED_S) <= 0.05


@pytest.mark.parametrize("parts", [two_parts, one_of_60, one_of_2000])
@pytest.mark.parametrize("again_s", [0.6, 1.2, 2.0])
def test_sound_parts_where_all_slow_servers_end_twice(again_s, parts):
    """Nothing is answered between, and each caller's trial kept others' from theirs."""
    replay, back_s = play_two_outages(parts, again_s=again_s, first_s=(1.0, 2.0))
    assert replay.held_share(back_s + SERVED_S) <= MAX_HELD_SHARE


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
