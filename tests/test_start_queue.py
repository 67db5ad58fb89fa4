# SPDX-License-Identifier: MIT
"""The queue of requests for a start, under overload."""

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


#: The planned capacity of fleet A (docs/design/overload.md), and the load factor.
STARTS_PER_S = 300.0
LOAD_FACTOR = 1.5
ARRIVALS_S = 5.0
TARGETS_S = (0.5, 0.5, 1.0)
MAX_REQUESTS = 64
MAX_BYTES = 2_048 * 1_024
#: Bounds of requests and bytes, and seeds: the configured bounds, and bounds that are
#: reached (12 requests, or about 12 of mean size).  The order balances test workers.
CASES = [
    (MAX_REQUESTS, MAX_BYTES, range(25)),
    (12, MAX_BYTES, range(15)),
    (MAX_REQUESTS, MAX_BYTES, range(25, 50)),
    (MAX_REQUESTS, 60_000, range(15)),
]


def make_request(
    name: str, priority: int = 0, read_s: float = 0.0, **kwargs
) -> QueuedRequest:
    """Return a request with a target of 0.5 s."""
    times = {"read_s": read_s, "limit_s": read_s + 0.125, "target_s": read_s + 0.5}
    fields = {"tokens": 900.0, "size_bytes": 1_000, **times, **kwargs}
    return QueuedRequest(name, priority, **fields)


def make_arrivals(rng: random.Random) -> list[tuple[QueuedRequest, float]]:
    """Return requests with prompt tokens of a heavy-tailed distribution."""
    requests = []
    now_s = rng.expovariate(LOAD_FACTOR * STARTS_PER_S)
    while now_s < ARRIVALS_S:
        (priority,) = rng.choices((0, 1, 2), (8, 4, 3))
        target_s = TARGETS_S[priority]
        # The means of the bounded draws are 760 and 170 tokens.
        prompt = min(2_280.0, rng.lognormvariate(6.38, 0.8))
        tokens = prompt + min(600.0, rng.expovariate(1 / 177))
        request = QueuedRequest(
            str(len(requests)),
            priority,
            tokens,
            400 + int(6 * prompt),
            now_s,
            now_s + target_s / 4,
            now_s + target_s,
        )
        requests.append((request, prompt))
        now_s += rng.expovariate(LOAD_FACTOR * STARTS_PER_S)
    return requests


class ReplayResult(NamedTuple):
    """The results of a replay; `outcomes` are kinds and times by request."""

    offered: list[tuple[QueuedRequest, float]]
    outcomes: dict[str, list[tuple[str, float]]]
    peak_requests: int
    peak_bytes: int
    #: Starts while a more urgent request was queued.
    overtaken: int
    #: Queued requests that could not start in time even without later arrivals.
    late: int

    def started_fraction(
        self, priority: int | None = None, fraction: float = 1.0
    ) -> float:
        """Return the started fraction of the given fraction of largest prompts."""
        selected = [
            (prompt, self.outcomes[request.id][0][0] == "started")
            for request, prompt in self.offered
            if priority is None or request.priority == priority
        ]
        selected.sort(key=lambda item: -item[0])
        return statistics.fmean(
            item[1] for item in selected[: int(fraction * len(selected))]
        )


def starts_in_time(queue: StartQueue, request: QueuedRequest, now_s: float) -> bool:
    """Return whether a request starts by its limit without further arrivals."""
    queue = pickle.loads(pickle.dumps(queue))
    while True:
        now_s += 1 / STARTS_PER_S
        started = queue.next(now_s=now_s)
        if started is None or started.id == request.id:
            return started is not None


def replay(seed: int, max_requests: int, max_bytes: int) -> ReplayResult:
    """Replay arrivals, starts with jitter, and `expire` calls every 25 ms."""
    rng = random.Random(seed)
    offered = make_arrivals(rng)
    events = [(request.read_s, 0, request) for request, _ in offered]
    now_s = 0.0
    while now_s < ARRIVALS_S + 1.0:
        now_s += rng.uniform(0.5, 1.5) / STARTS_PER_S
        events.append((now_s, 1, None))
    phase_s = EXPIRE_INTERVAL_S * rng.random()
    ticks = range(int((ARRIVALS_S + 1.0) / EXPIRE_INTERVAL_S))
    events += [(phase_s + EXPIRE_INTERVAL_S * tick, 2, None) for tick in ticks]
    events.sort(key=lambda event: event[:2])

    queue = StartQueue(max_requests=max_requests, max_bytes=max_bytes)
    waiting: dict[str, QueuedRequest] = {}
    outcomes = collections.defaultdict(list)
    free_starts = peak_requests = peak_bytes = overtaken = late = 0

    def finish(request: QueuedRequest, outcome: str) -> None:
        waiting.pop(request.id, None)
        outcomes[request.id].append((outcome, now_s))

    for now_s, kind, request in events:
        if request is not None:
            offer = queue.offer(request, starts_per_s=STARTS_PER_S, now_s=now_s)
            if offer.displaced is not None:
                finish(offer.displaced, "displaced")
            if not offer.is_queued:
                finish(request, "refused")
            else:
                waiting[request.id] = request
                # Every 200th, since the copy of the queue takes a millisecond.
                if int(request.id) % 200 == 0:
                    late += not starts_in_time(queue, request, now_s)
        elif kind == 1:
            free_starts = min(2, free_starts + 1)
        else:
            for expired in queue.expire(now_s=now_s):
                finish(expired, "expired")
        peak_requests = max(peak_requests, len(queue), len(waiting))
        peak_bytes = max(peak_bytes, queue.size_bytes)
        while free_starts and (started := queue.next(now_s=now_s)) is not None:
            free_starts -= 1
            overtaken += any(
                other.priority < started.priority and other.limit_s >= now_s
                for other in waiting.values()
            )
            finish(started, "started")
    return ReplayResult(offered, outcomes, peak_requests, peak_bytes, overtaken, late)


def check(result: ReplayResult, max_requests: int, max_bytes: int) -> None:
    """Check the results of one replay."""
    assert len(result.outcomes) == len(result.offered)
    for request, _ in result.offered:
        ((_, finished_s),) = result.outcomes[request.id]
        assert finished_s - request.read_s <= TARGETS_S[request.priority] / 4 + 1e-9
    assert result.late == 0
    assert result.overtaken == 0
    assert result.peak_requests <= max_requests
    assert result.peak_bytes <= max_bytes
    assert result.started_fraction(fraction=0.1) >= 0.8 * result.started_fraction()
    # Two thirds can start; the most urgent requests, 0.8 of the capacity, all fit.
    assert result.started_fraction() >= 0.95 / LOAD_FACTOR
    assert result.started_fraction(0) >= 0.95


@pytest.mark.parametrize(("max_requests", "max_bytes", "seeds"), CASES)
def test_overload(max_requests: int, max_bytes: int, seeds: range):
    """Guards against late rejections, useless waits, lost requests and size bias."""
    results = {seed: replay(seed, max_requests, max_bytes) for seed in seeds}
    failed = {}
    for seed, result in results.items():
        try:
            check(result, max_requests, max_bytes)
        except AssertionError as error:
            failed[seed] = str(error)
    assert not failed
    for priority in range(3):
        large = statistics.fmean(
            result.started_fraction(priority, 0.1) for result in results.values()
        )
        total = statistics.fmean(
            result.started_fraction(priority) for result in results.values()
        )
        assert large >= 0.8 * total
    # Without subtracting the starts of more urgent requests from the available rate,
    # 0.32 of all requests waited until their limits.
    outcomes = [
        outcome
        for result in results.values()
        for ((outcome, _),) in result.outcomes.values()
    ]
    assert outcomes.count("expired") <= 0.1 * len(outcomes)


class TestOffer:
    def test_displaces_last_of_least_urgent(self):
        """Guards against rejecting urgent requests while others are queued."""
        queue = StartQueue(max_requests=3, max_bytes=10_000)
        for name, priority, read_s in (("a", 5, 0), ("b", 5, 0.01), ("c", 3, 0.02)):
            request = make_request(name, priority, read_s)
            assert queue.offer(request, starts_per_s=300.0, now_s=0.02).is_queued
        request = make_request("d", 1, 0.02)
        offer = queue.offer(request, starts_per_s=300.0, now_s=0.02)
        assert offer == Offer(True, make_request("b", 5, 0.01))
        same = queue.offer(make_request("e", 5, 0.02), starts_per_s=300.0, now_s=0.02)
        assert same == Offer(False, None)
        assert [queue.next(now_s=0.03).id for _ in range(3)] == ["d", "c", "a"]

    def test_no_useless_displacement(self):
        """Guards against displacing a request that frees too little memory."""
        queue = StartQueue(max_requests=9, max_bytes=10_000)
        for name in "ab":
            request = make_request(name, 5, size_bytes=2_000)
            assert queue.offer(request, starts_per_s=300.0, now_s=0.0).is_queued
        huge = make_request("c", 0, size_bytes=9_000)
        refused = queue.offer(huge, starts_per_s=300.0, now_s=0.0)
        assert refused == Offer(False, None)
        assert len(queue) == 2

    @pytest.mark.parametrize("starts_per_s", [0.0, -1.0, float("nan")])
    def test_no_starts(self, starts_per_s: float):
        """Guards against queueing requests without available runners."""
        queue = StartQueue(max_requests=9, max_bytes=10_000)
        offer = queue.offer(make_request("a"), starts_per_s=starts_per_s, now_s=0.0)
        assert offer == Offer(False, None)

    def test_duplicate_id(self):
        """Guards against losing the first of two requests with the same id."""
        queue = StartQueue(max_requests=9, max_bytes=10_000)
        assert queue.offer(make_request("a"), starts_per_s=300.0, now_s=0.0).is_queued
        assert not queue.offer(
            make_request("a"), starts_per_s=300.0, now_s=0.0
        ).is_queued
        assert len(queue) == 1

    @pytest.mark.parametrize("elapsed_s", [0.0, 5.0, 16.0, 1_000.0])
    def test_available_rate(self, elapsed_s: float):
        """Guards against ignoring recent urgent starts, and counting old ones."""
        queue = StartQueue(max_requests=9, max_bytes=100_000)
        now_s = 0.0
        for number in range(600):
            now_s = number / 300.0
            request = make_request(f"u{number}", 0, now_s)
            queue.offer(request, starts_per_s=300.0, now_s=now_s)
            assert queue.next(now_s=now_s) == request
        now_s += elapsed_s
        offers = [
            queue.offer(make_request(name, 1, now_s), starts_per_s=300.0, now_s=now_s)
            for name in "ab"
        ]
        assert [offer.is_queued for offer in offers] == [True, elapsed_s > 0.0]

    def test_rates_decay_at_reset(self):
        """Guards against keeping old rates when a start resets their scale."""
        queue = StartQueue(max_requests=9, max_bytes=100_000)
        for number in range(600):
            now_s = 12.99 + number / 300.0
            queue.offer(
                make_request(f"u{number}", 0, now_s), starts_per_s=300, now_s=now_s
            )
            if number < 599:
                assert queue.next(now_s=now_s) is not None
        # The scale is reset after 15 s.
        assert queue.next(now_s=15.02) is not None
        for name in "ab":
            request = make_request(name, 1, 17.02)
            assert queue.offer(request, starts_per_s=300.0, now_s=17.02).is_queued

    @pytest.mark.parametrize("tokens", [[900.0] * 200, [100.0, 2_000.0] * 100])
    def test_equal_sizes(self, tokens: list[float]):
        """Guards against a wrong order if no largest tenth can be distinguished."""
        queue = StartQueue(max_requests=99, max_bytes=100_000)
        for number, count in enumerate(tokens):
            now_s = 0.01 * number
            offered = make_request(str(number), 0, now_s, tokens=count)
            assert queue.offer(offered, starts_per_s=300.0, now_s=now_s).is_queued
            if number:
                assert queue.next(now_s=now_s).id == str(number - 1)

    @pytest.mark.parametrize("priority", [-1, 100])
    def test_priority_out_of_range(self, priority: int):
        """Guards against unbounded state per priority."""
        queue = StartQueue(max_requests=9, max_bytes=10_000)
        with pytest.raises(ValueError, match="priority"):
            queue.offer(make_request("a", priority), starts_per_s=300.0, now_s=0.0)


class TestOperations:
    def test_process_pause(self):
        """Guards against starting or keeping expired requests after a pause of 10 s."""
        queue = StartQueue(max_requests=30, max_bytes=100_000)
        for number in range(30):
            request = make_request(str(number), number % 3)
            assert queue.offer(request, starts_per_s=300.0, now_s=0.0).is_queued
        assert queue.next(now_s=10.0) is None
        expired = queue.expire(now_s=10.0)
        assert sorted(int(request.id) for request in expired) == list(range(30))
        assert (len(queue), queue.size_bytes, queue.expire(now_s=10.0)) == (0, 0, [])

    def test_limit_order(self):
        """Guards against starting in the order of arrival within a priority."""
        queue = StartQueue(max_requests=9, max_bytes=100_000)
        for name, read_s in (("a", 0.02), ("b", 0.0), ("c", 0.01)):
            queue.offer(make_request(name, 0, read_s), starts_per_s=300.0, now_s=0.02)
        assert [queue.next(now_s=0.03).id for _ in range(3)] == ["b", "c", "a"]

    def test_resize(self):
        """Guards against keeping excess requests, or rejecting urgent ones."""
        queue = StartQueue(max_requests=9, max_bytes=100_000)
        for name, priority in (("a", 2), ("b", 0), ("c", 2), ("d", 1)):
            queue.offer(make_request(name, priority), starts_per_s=300.0, now_s=0.0)
        refused = queue.resize(max_requests=3, max_bytes=2_000)
        assert [request.id for request in refused] == ["c", "a"]
        assert (len(queue), queue.size_bytes) == (2, 2_000)
        with pytest.raises(ValueError, match="at least 1"):
            queue.resize(max_requests=0, max_bytes=1)

    def test_oldest_wait(self):
        """Guards against counting a request that was removed from the queue."""
        queue = StartQueue(max_requests=9, max_bytes=100_000)
        assert queue.oldest_wait_s(1.0) == 0.0
        for name, read_s in (("a", 0.0), ("b", 0.02)):
            queue.offer(make_request(name, 0, read_s), starts_per_s=300.0, now_s=0.02)
        queue.remove("a")
        queue.remove("a")
        assert queue.oldest_wait_s(0.1) == pytest.approx(0.08)

    def test_cost_by_queue_length(self):
        """Guards against decisions whose number of calls grows with the queue."""
        counts = {waiting: calls_per_decision(waiting) for waiting in (64, 1_000)}
        assert counts[1_000] <= 1.5 * counts[64]
        assert counts[64] <= 120


def calls_per_decision(waiting: int) -> float:
    """Return the mean number of calls in next, offer and expire together."""
    queue = StartQueue(max_requests=waiting, max_bytes=10**9)
    rng = random.Random(1)
    count = 0

    def count_call(_frame: object, event: str, _argument: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    for number in range(2 * waiting):
        fields = {"tokens": rng.expovariate(1.0), "limit_s": rng.uniform(1, 2)}
        request = make_request(str(number), number % 3, target_s=2.0, **fields)
        if number >= waiting:
            sys.setprofile(count_call)
        if len(queue) == waiting:
            queue.next(now_s=0.0)
        queue.offer(request, starts_per_s=1e5, now_s=0.0)
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
        self.finished: dict[str, str] = {}
        self.offers = 0
        self.now_s = 0.0

    def finish(self, request: QueuedRequest, outcome: str) -> None:
        assert self.waiting.pop(request.id) == request
        assert request.id not in self.finished
        self.finished[request.id] = outcome

    @rule(
        priority=st.integers(0, 4),
        tokens=st.floats(1, 3_000),
        size_bytes=st.integers(1, 3_000),
        age_s=st.floats(0, 0.2),
        starts_per_s=st.sampled_from([0.0, 4.0, 40.0, 400.0]),
    )
    def offer(self, priority, tokens, size_bytes, age_s, starts_per_s):
        read_s = self.now_s - age_s
        request = make_request(
            str(self.offers), priority, read_s, tokens=tokens, size_bytes=size_bytes
        )
        self.offers += 1
        self.waiting[request.id] = request
        offer = self.queue.offer(request, starts_per_s=starts_per_s, now_s=self.now_s)
        if not offer.is_queued:
            self.finish(request, "refused")
            assert offer.displaced is None
        if offer.displaced is not None:
            assert offer.displaced.priority > priority
            self.finish(offer.displaced, "displaced")

    @rule()
    def next(self):
        request = self.queue.next(now_s=self.now_s)
        startable = [
            other for other in self.waiting.values() if other.limit_s >= self.now_s
        ]
        assert (request is not None) == bool(startable)
        if request is not None:
            assert request.limit_s >= self.now_s
            assert request.priority == min(other.priority for other in startable)
            self.finish(request, "started")

    @rule()
    def expire(self):
        for request in self.queue.expire(now_s=self.now_s):
            self.finish(request, "expired")
        next_call_s = self.now_s + EXPIRE_INTERVAL_S
        assert all(other.limit_s >= next_call_s for other in self.waiting.values())

    @rule(data=st.data())
    def remove(self, data):
        name = str(data.draw(st.integers(0, self.offers)))
        self.queue.remove(name)
        if name in self.waiting:
            self.finish(self.waiting[name], "removed")

    @rule(max_requests=st.integers(1, 6), max_bytes=st.integers(1, 6_000))
    def resize(self, max_requests, max_bytes):
        self.bounds = (max_requests, max_bytes)
        rejected = self.queue.resize(max_requests=max_requests, max_bytes=max_bytes)
        priorities = [request.priority for request in rejected]
        assert priorities == sorted(priorities, reverse=True)
        for request in rejected:
            self.finish(request, "refused")
        remaining = [other.priority for other in self.waiting.values()]
        assert not rejected or max(remaining, default=0) <= priorities[-1]

    @rule(step_s=st.sampled_from([0.001, 0.02, 0.1, 10.0]))
    def wait(self, step_s):
        self.now_s += step_s

    @invariant()
    def counts(self):
        waiting = self.waiting.values()
        assert len(self.queue) == len(waiting) <= self.bounds[0]
        total_bytes = sum(other.size_bytes for other in waiting)
        assert self.queue.size_bytes == total_bytes <= self.bounds[1]
        oldest_s = max((self.now_s - other.read_s for other in waiting), default=0.0)
        assert self.queue.oldest_wait_s(self.now_s) == max(0.0, oldest_s)
        assert len(waiting) + len(self.finished) == self.offers

    def teardown(self):
        self.now_s += 10.0
        for request in self.queue.expire(now_s=self.now_s):
            self.finish(request, "expired")
        assert not self.waiting
        assert len(self.finished) == self.offers


TestAccounting = Accounting.TestCase
TestAccounting.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
