# SPDX-License-Identifier: MIT
"""Streams that wait for a start while more arrive than can start."""

from __future__ import annotations

import collections
import pickle
import random
import statistics
import sys

from typing import NamedTuple

import pytest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from violethatch.start_queue import EXPIRE_INTERVAL_S, Offer, QueuedRequest, StartQueue


#: The planned capacity of fleet A (docs/design/overload.md), and the overload.
STARTS_PER_S = 300.0
OVERLOAD = 1.5
ARRIVALS_S = 5.0
TARGETS_S = (0.5, 0.5, 1.0)
MOST_REQUESTS = 64
MOST_BYTES = 2_048 * 1_024
#: Requests and bytes, and seeds: the bounds of the settings, and ones that are reached
#: (12 requests, or about 12 of mean size).  In this order workers share them evenly.
CASES = [
    (MOST_REQUESTS, MOST_BYTES, range(25)),
    (12, MOST_BYTES, range(15)),
    (MOST_REQUESTS, MOST_BYTES, range(25, 50)),
    (MOST_REQUESTS, 60_000, range(15)),
]


def request(
    name: str, priority: int = 0, read_s: float = 0.0, **kwargs
) -> QueuedRequest:
    """Return a request with a target of 0.5 s."""
    times = {"read_s": read_s, "limit_s": read_s + 0.125, "target_s": read_s + 0.5}
    fields = {"tokens": 900.0, "size_bytes": 1_000, **times, **kwargs}
    return QueuedRequest(name, priority, **fields)


def arrivals(rng: random.Random) -> list[tuple[QueuedRequest, float]]:
    """Return requests with their prompts' tokens, which have a heavy tail."""
    found = []
    now_s = rng.expovariate(OVERLOAD * STARTS_PER_S)
    while now_s < ARRIVALS_S:
        (priority,) = rng.choices((0, 1, 2), (8, 4, 3))
        target_s = TARGETS_S[priority]
        # The means of the bounded draws are 760 and 170 tokens.
        prompt = min(2_280.0, rng.lognormvariate(6.38, 0.8))
        tokens = prompt + min(600.0, rng.expovariate(1 / 177))
        one = QueuedRequest(
            str(len(found)),
            priority,
            tokens,
            400 + int(6 * prompt),
            now_s,
            now_s + target_s / 4,
            now_s + target_s,
        )
        found.append((one, prompt))
        now_s += rng.expovariate(OVERLOAD * STARTS_PER_S)
    return found


class Played(NamedTuple):
    """What a replay has shown; `fates` are outcomes and their times by request."""

    offered: list[tuple[QueuedRequest, float]]
    fates: dict[str, list[tuple[str, float]]]
    top_requests: int
    top_bytes: int
    #: Starts while a more urgent request waited.
    overtaken: int
    #: Requests that could not start in time, with no arrivals after them.
    hopeless: int

    def started(self, priority: int | None = None, part: float = 1.0) -> float:
        """Return the started part of the largest part of prompts."""
        chosen = [
            (prompt, self.fates[one.id][0][0] == "started")
            for one, prompt in self.offered
            if priority is None or one.priority == priority
        ]
        chosen.sort(key=lambda it: -it[0])
        return statistics.fmean(it[1] for it in chosen[: int(part * len(chosen))])


def starts_in_time(queue: StartQueue, one: QueuedRequest, now_s: float) -> bool:
    """Tell whether a request starts by its limit if no more arrive."""
    queue = pickle.loads(pickle.dumps(queue))
    while True:
        now_s += 1 / STARTS_PER_S
        started = queue.next(now_s=now_s)
        if started is None or started.id == one.id:
            return started is not None


def played(seed: int, most_requests: int, most_bytes: int) -> Played:
    """Replay arrivals, starts with jitter, and `expire` every 25 ms."""
    rng = random.Random(seed)
    offered = arrivals(rng)
    events = [(one.read_s, 0, one) for one, _ in offered]
    now_s = 0.0
    while now_s < ARRIVALS_S + 1.0:
        now_s += rng.uniform(0.5, 1.5) / STARTS_PER_S
        events.append((now_s, 1, None))
    phase_s = EXPIRE_INTERVAL_S * rng.random()
    ticks = range(int((ARRIVALS_S + 1.0) / EXPIRE_INTERVAL_S))
    events += [(phase_s + EXPIRE_INTERVAL_S * tick, 2, None) for tick in ticks]
    events.sort(key=lambda event: event[:2])

    queue = StartQueue(max_requests=most_requests, max_bytes=most_bytes)
    waiting: dict[str, QueuedRequest] = {}
    fates = collections.defaultdict(list)
    free = top_requests = top_bytes = overtaken = hopeless = 0

    def end(one: QueuedRequest, outcome: str) -> None:
        waiting.pop(one.id, None)
        fates[one.id].append((outcome, now_s))

    for now_s, kind, one in events:
        if one is not None:
            offer = queue.offer(one, starts_per_s=STARTS_PER_S, now_s=now_s)
            if offer.displaced is not None:
                end(offer.displaced, "displaced")
            if not offer.is_queued:
                end(one, "refused")
            else:
                waiting[one.id] = one
                # Each 200th, since the copy of the queue takes a millisecond.
                if int(one.id) % 200 == 0:
                    hopeless += not starts_in_time(queue, one, now_s)
        elif kind == 1:
            free = min(2, free + 1)
        else:
            for late in queue.expire(now_s=now_s):
                end(late, "expired")
        top_requests = max(top_requests, len(queue), len(waiting))
        top_bytes = max(top_bytes, queue.size_bytes)
        while free and (started := queue.next(now_s=now_s)) is not None:
            free -= 1
            overtaken += any(
                it.priority < started.priority and it.limit_s >= now_s
                for it in waiting.values()
            )
            end(started, "started")
    return Played(offered, fates, top_requests, top_bytes, overtaken, hopeless)


def check(play: Played, most_requests: int, most_bytes: int) -> None:
    """Check the figures of one replay."""
    assert len(play.fates) == len(play.offered)
    for one, _ in play.offered:
        ((_, ended_s),) = play.fates[one.id]
        assert ended_s - one.read_s <= TARGETS_S[one.priority] / 4 + 1e-9
    assert play.hopeless == 0
    assert play.overtaken == 0
    assert play.top_requests <= most_requests
    assert play.top_bytes <= most_bytes
    assert play.started(part=0.1) >= 0.8 * play.started()
    # Two thirds can start; the most urgent ones, 0.8 of the capacity, all fit.
    assert play.started() >= 0.95 / OVERLOAD
    assert play.started(0) >= 0.95


@pytest.mark.parametrize(("most_requests", "most_bytes", "seeds"), CASES)
def test_overload(most_requests: int, most_bytes: int, seeds: range):
    """Guards against late refusals, vain waits, lost requests and unfair sizes."""
    plays = {seed: played(seed, most_requests, most_bytes) for seed in seeds}
    failed = {}
    for seed, play in plays.items():
        try:
            check(play, most_requests, most_bytes)
        except AssertionError as error:
            failed[seed] = str(error)
    assert not failed
    for priority in range(3):
        large = statistics.fmean(it.started(priority, 0.1) for it in plays.values())
        every = statistics.fmean(it.started(priority) for it in plays.values())
        assert large >= 0.8 * every
    # With only those ahead counted, and not the starts that more urgent requests take,
    # 0.32 of all requests waited until their limits.
    fates = [fate for it in plays.values() for ((fate, _),) in it.fates.values()]
    assert fates.count("expired") <= 0.1 * len(fates)


class TestOffer:
    def test_displaces_the_last_of_the_least_urgent(self):
        """Guards against urgent requests being refused while others wait."""
        queue = StartQueue(max_requests=3, max_bytes=10_000)
        for name, priority, read_s in (("a", 5, 0), ("b", 5, 0.01), ("c", 3, 0.02)):
            one = request(name, priority, read_s)
            assert queue.offer(one, starts_per_s=300.0, now_s=0.02).is_queued
        one = request("d", 1, 0.02)
        offer = queue.offer(one, starts_per_s=300.0, now_s=0.02)
        assert offer == Offer(True, request("b", 5, 0.01))
        same = queue.offer(request("e", 5, 0.02), starts_per_s=300.0, now_s=0.02)
        assert same == Offer(False, None)
        assert [queue.next(now_s=0.03).id for _ in range(3)] == ["d", "c", "a"]

    def test_displaces_nobody_in_vain(self):
        """Guards against refusing two where one displaced frees too little."""
        queue = StartQueue(max_requests=9, max_bytes=10_000)
        for name in "ab":
            one = request(name, 5, size_bytes=2_000)
            assert queue.offer(one, starts_per_s=300.0, now_s=0.0).is_queued
        huge = request("c", 0, size_bytes=9_000)
        refused = queue.offer(huge, starts_per_s=300.0, now_s=0.0)
        assert refused == Offer(False, None)
        assert len(queue) == 2

    @pytest.mark.parametrize("starts_per_s", [0.0, -1.0, float("nan")])
    def test_nothing_starts(self, starts_per_s: float):
        """Guards against holding requests while no runner is left."""
        queue = StartQueue(max_requests=9, max_bytes=10_000)
        offer = queue.offer(request("a"), starts_per_s=starts_per_s, now_s=0.0)
        assert offer == Offer(False, None)

    def test_same_id(self):
        """Guards against losing the first of two requests with one id."""
        queue = StartQueue(max_requests=9, max_bytes=10_000)
        assert queue.offer(request("a"), starts_per_s=300.0, now_s=0.0).is_queued
        assert not queue.offer(request("a"), starts_per_s=300.0, now_s=0.0).is_queued
        assert len(queue) == 1

    @pytest.mark.parametrize("passed_s", [0.0, 5.0, 16.0, 1_000.0])
    def test_counts_on_starts_that_are_left(self, passed_s: float):
        """Guards against queueing behind a stream of urgent starts, or an old one."""
        queue = StartQueue(max_requests=9, max_bytes=100_000)
        now_s = 0.0
        for number in range(600):
            now_s = number / 300.0
            one = request(f"u{number}", 0, now_s)
            queue.offer(one, starts_per_s=300.0, now_s=now_s)
            assert queue.next(now_s=now_s) == one
        now_s += passed_s
        taken = [
            queue.offer(request(name, 1, now_s), starts_per_s=300.0, now_s=now_s)
            for name in "ab"
        ]
        assert [one.is_queued for one in taken] == [True, passed_s > 0.0]

    def test_old_starts_are_forgotten_at_a_start(self):
        """Guards against keeping old rates where a start renews their scale."""
        queue = StartQueue(max_requests=9, max_bytes=100_000)
        for number in range(600):
            now_s = 12.99 + number / 300.0
            queue.offer(request(f"u{number}", 0, now_s), starts_per_s=300, now_s=now_s)
            if number < 599:
                assert queue.next(now_s=now_s) is not None
        # The scale starts anew after 15 s.
        assert queue.next(now_s=15.02) is not None
        for name in "ab":
            one = request(name, 1, 17.02)
            assert queue.offer(one, starts_per_s=300.0, now_s=17.02).is_queued

    @pytest.mark.parametrize("tokens", [[900.0] * 200, [100.0, 2_000.0] * 100])
    def test_sizes_that_tie(self, tokens: list[float]):
        """Guards against misorder where no tenth can be told from the others."""
        queue = StartQueue(max_requests=99, max_bytes=100_000)
        for number, one in enumerate(tokens):
            now_s = 0.01 * number
            offered = request(str(number), 0, now_s, tokens=one)
            assert queue.offer(offered, starts_per_s=300.0, now_s=now_s).is_queued
            if number:
                assert queue.next(now_s=now_s).id == str(number - 1)

    @pytest.mark.parametrize("priority", [-1, 100])
    def test_priority_out_of_range(self, priority: int):
        """Guards against unbounded state by priority."""
        queue = StartQueue(max_requests=9, max_bytes=10_000)
        with pytest.raises(ValueError, match="priority"):
            queue.offer(request("a", priority), starts_per_s=300.0, now_s=0.0)


class TestOperations:
    def test_pause_of_the_process(self):
        """Guards against starting or holding what is past its limit after 10 s."""
        queue = StartQueue(max_requests=30, max_bytes=100_000)
        for number in range(30):
            one = request(str(number), number % 3)
            assert queue.offer(one, starts_per_s=300.0, now_s=0.0).is_queued
        assert queue.next(now_s=10.0) is None
        expired = queue.expire(now_s=10.0)
        assert sorted(int(one.id) for one in expired) == list(range(30))
        assert (len(queue), queue.size_bytes, queue.expire(now_s=10.0)) == (0, 0, [])

    def test_order_of_limits(self):
        """Guards against starting in the order of arrival within a priority."""
        queue = StartQueue(max_requests=9, max_bytes=100_000)
        for name, read_s in (("a", 0.02), ("b", 0.0), ("c", 0.01)):
            queue.offer(request(name, 0, read_s), starts_per_s=300.0, now_s=0.02)
        assert [queue.next(now_s=0.03).id for _ in range(3)] == ["b", "c", "a"]

    def test_resize(self):
        """Guards against keeping what no longer fits, or refusing urgent ones."""
        queue = StartQueue(max_requests=9, max_bytes=100_000)
        for name, priority in (("a", 2), ("b", 0), ("c", 2), ("d", 1)):
            queue.offer(request(name, priority), starts_per_s=300.0, now_s=0.0)
        refused = queue.resize(max_requests=3, max_bytes=2_000)
        assert [one.id for one in refused] == ["c", "a"]
        assert (len(queue), queue.size_bytes) == (2, 2_000)
        with pytest.raises(ValueError, match="at least 1"):
            queue.resize(max_requests=0, max_bytes=1)

    def test_oldest_wait(self):
        """Guards against a figure of a request that has left the queue."""
        queue = StartQueue(max_requests=9, max_bytes=100_000)
        assert queue.oldest_wait_s(1.0) == 0.0
        for name, read_s in (("a", 0.0), ("b", 0.02)):
            queue.offer(request(name, 0, read_s), starts_per_s=300.0, now_s=0.02)
        queue.remove("a")
        queue.remove("a")
        assert queue.oldest_wait_s(0.1) == pytest.approx(0.08)

    def test_cost_hardly_grows_with_the_queue(self):
        """Guards against decisions that take more calls the more requests wait."""
        counts = {waiting: calls_of_a_turn(waiting) for waiting in (64, 1_000)}
        assert counts[1_000] <= 1.5 * counts[64]
        assert counts[64] <= 120


def calls_of_a_turn(waiting: int) -> float:
    """Return the mean number of calls of next, offer and expire together."""
    queue = StartQueue(max_requests=waiting, max_bytes=10**9)
    rng = random.Random(1)
    count = 0

    def note(_frame: object, event: str, _argument: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    for number in range(2 * waiting):
        fields = {"tokens": rng.expovariate(1.0), "limit_s": rng.uniform(1, 2)}
        one = request(str(number), number % 3, target_s=2.0, **fields)
        if number >= waiting:
            sys.setprofile(note)
        if len(queue) == waiting:
            queue.next(now_s=0.0)
        queue.offer(one, starts_per_s=1e5, now_s=0.0)
        queue.expire(now_s=0.0)
        sys.setprofile(None)
    assert len(queue) == waiting
    return count / waiting


class Accounting(RuleBasedStateMachine):
    """Guards against requests that are lost or reported twice."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = StartQueue(max_requests=6, max_bytes=6_000)
        self.bounds = (6, 6_000)
        self.waiting: dict[str, QueuedRequest] = {}
        self.ended: dict[str, str] = {}
        self.offers = 0
        self.now_s = 0.0

    def end(self, one: QueuedRequest, outcome: str) -> None:
        assert self.waiting.pop(one.id) == one
        assert one.id not in self.ended
        self.ended[one.id] = outcome

    @rule(
        priority=st.integers(0, 4),
        tokens=st.floats(1, 3_000),
        size_bytes=st.integers(1, 3_000),
        age_s=st.floats(0, 0.2),
        starts_per_s=st.sampled_from([0.0, 4.0, 40.0, 400.0]),
    )
    def offer(self, priority, tokens, size_bytes, age_s, starts_per_s):
        read_s = self.now_s - age_s
        one = request(
            str(self.offers), priority, read_s, tokens=tokens, size_bytes=size_bytes
        )
        self.offers += 1
        self.waiting[one.id] = one
        offer = self.queue.offer(one, starts_per_s=starts_per_s, now_s=self.now_s)
        if not offer.is_queued:
            self.end(one, "refused")
            assert offer.displaced is None
        if offer.displaced is not None:
            assert offer.displaced.priority > priority
            self.end(offer.displaced, "displaced")

    @rule()
    def next(self):
        one = self.queue.next(now_s=self.now_s)
        startable = [it for it in self.waiting.values() if it.limit_s >= self.now_s]
        assert (one is not None) == bool(startable)
        if one is not None:
            assert one.limit_s >= self.now_s
            assert one.priority == min(it.priority for it in startable)
            self.end(one, "started")

    @rule()
    def expire(self):
        for one in self.queue.expire(now_s=self.now_s):
            self.end(one, "expired")
        ends_s = self.now_s + EXPIRE_INTERVAL_S
        assert all(it.limit_s >= ends_s for it in self.waiting.values())

    @rule(data=st.data())
    def remove(self, data):
        name = str(data.draw(st.integers(0, self.offers)))
        self.queue.remove(name)
        if name in self.waiting:
            self.end(self.waiting[name], "removed")

    @rule(most_requests=st.integers(1, 6), most_bytes=st.integers(1, 6_000))
    def resize(self, most_requests, most_bytes):
        self.bounds = (most_requests, most_bytes)
        refused = self.queue.resize(max_requests=most_requests, max_bytes=most_bytes)
        priorities = [one.priority for one in refused]
        assert priorities == sorted(priorities, reverse=True)
        for one in refused:
            self.end(one, "refused")
        kept = [it.priority for it in self.waiting.values()]
        assert not refused or max(kept, default=0) <= priorities[-1]

    @rule(step_s=st.sampled_from([0.001, 0.02, 0.1, 10.0]))
    def wait(self, step_s):
        self.now_s += step_s

    @invariant()
    def counts(self):
        ones = self.waiting.values()
        assert len(self.queue) == len(ones) <= self.bounds[0]
        held_bytes = sum(it.size_bytes for it in ones)
        assert self.queue.size_bytes == held_bytes <= self.bounds[1]
        oldest_s = max((self.now_s - it.read_s for it in ones), default=0.0)
        assert self.queue.oldest_wait_s(self.now_s) == max(0.0, oldest_s)
        assert len(ones) + len(self.ended) == self.offers

    def teardown(self):
        self.now_s += 10.0
        for one in self.queue.expire(now_s=self.now_s):
            self.end(one, "expired")
        assert not self.waiting
        assert len(self.ended) == self.offers


TestAccounting = Accounting.TestCase
TestAccounting.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
