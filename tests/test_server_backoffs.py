# SPDX-License-Identifier: MIT
"""Duration of requested back-offs, and resumption of traffic after them."""

from __future__ import annotations

import random

import pytest
import simpy

from violethatch.server_backoffs import (
    MAX_BACKOFFS,
    MAX_SPREAD_S,
    PROBE_TIMEOUT_S,
    SPREAD_FRACTION,
    ServerBackoffs,
)


def backing_off(duration_s=3.0, *, started_ms=0):
    """Return the back-offs of an instance that received one from a server."""
    backoffs = ServerBackoffs(random.Random(1))
    backoffs.record("s1", duration_s, started_ms=started_ms, request_id="c1", now_s=0.0)
    return backoffs


def is_blocked(backoffs, now_s, *, server="s1", started_ms=0):
    """Return whether sends to a server are blocked."""
    return backoffs.active(server, started_ms=started_ms, now_s=now_s) is not None


def is_avoided(backoffs, now_s):
    """Return whether a server is used only as a last resort."""
    backoff = backoffs.entries().get("s1")
    return backoff is not None and backoff.is_avoided(now_s=now_s)


class TestBackoffs:
    def test_blocks_for_the_requested_duration(self):
        """It is never shorter, and longer by the jitter at most."""
        backoffs = backing_off(3.0)
        assert is_blocked(backoffs, 0.0)
        assert is_blocked(backoffs, 2.999)
        assert not is_blocked(backoffs, 3.0)
        assert not is_avoided(backoffs, 3.0 + 3.0 * SPREAD_FRACTION)

    def test_zero_is_no_backoff(self):
        """A back-off of zero blocks nothing."""
        assert not backing_off(0.0).entries()

    def test_longer_backoff_applies(self):
        """A shorter back-off in the meantime doesn't shorten it."""
        backoffs = backing_off(3.0)
        assert not backoffs.record("s1", 1.0, request_id="c2", now_s=1.0)
        assert is_blocked(backoffs, 2.9)
        assert backoffs.record("s1", 5.0, request_id="c3", now_s=1.0)
        assert is_blocked(backoffs, 5.9)
        assert backoffs.active("s1", now_s=2.0).request_id == "c3"

    def test_response_in_flight_is_ignored(self):
        """A response to an earlier request doesn't end the back-off."""
        backoffs = backing_off(3.0)
        backoffs.record_response("s1", now_s=1.0)
        assert is_blocked(backoffs, 2.9)

    def test_other_servers_are_not_blocked(self):
        """A back-off applies to one server."""
        assert not is_blocked(backing_off(3.0), 1.0, server="s2")


class TestStarts:
    def test_new_start_is_not_blocked(self):
        """The back-off of a previous process doesn't apply to its successor."""
        backoffs = backing_off(3.0, started_ms=5)
        assert is_blocked(backoffs, 1.0, started_ms=5)
        assert not is_blocked(backoffs, 1.0, started_ms=9)

    def test_late_backoff_of_a_previous_start(self):
        """It neither replaces the new start's back-off nor blocks."""
        backoffs = backing_off(3.0, started_ms=9)
        assert not backoffs.record("s1", 60.0, started_ms=5, now_s=1.0)
        assert not is_blocked(backoffs, 3.5, started_ms=9)

    def test_backoff_of_a_start_that_is_not_listed_yet(self):
        """A response to a request after the restart comes from the new start."""
        backoffs = ServerBackoffs(random.Random(1))
        backoffs.record("s1", 3.0, started_ms=5, sent_ms=12, now_s=0.0)
        assert is_blocked(backoffs, 1.0, started_ms=5)
        assert is_blocked(backoffs, 1.0, started_ms=9)
        assert not is_blocked(backoffs, 1.0, started_ms=20)

    def test_shorter_backoff_of_a_start_that_is_not_listed_yet(self):
        """It remains valid behind a longer one of the previous start."""
        backoffs = ServerBackoffs(random.Random(1))
        backoffs.record("s1", 3.0, started_ms=5, sent_ms=7, now_s=0.0)
        assert not backoffs.record("s1", 1.0, started_ms=5, sent_ms=12, now_s=0.5)
        assert is_blocked(backoffs, 1.4, started_ms=9)

    def test_longer_late_backoff_of_the_previous_start(self):
        """It doesn't remove the one of the start that is not listed yet."""
        backoffs = ServerBackoffs(random.Random(1))
        backoffs.record("s1", 1.0, started_ms=5, sent_ms=12, now_s=0.0)
        assert backoffs.record("s1", 3.0, started_ms=5, sent_ms=7, now_s=0.1)
        assert is_blocked(backoffs, 0.9, started_ms=9)

    def test_backoff_that_is_processed_after_the_list_update(self):
        """It is the new start's if the request was sent after the restart."""
        backoffs = backing_off(1.0, started_ms=9)
        assert backoffs.record("s1", 3.0, started_ms=5, sent_ms=12, now_s=0.5)
        assert is_blocked(backoffs, 3.4, started_ms=9)

    def test_unknown_start(self):
        """Without a start time the back-off applies to the server's id."""
        backoffs = backing_off(3.0)
        assert is_blocked(backoffs, 1.0, started_ms=9)


class TestResumption:
    def test_one_probe_request(self):
        """Others use different servers until it is answered."""
        backoffs = backing_off(3.0)
        resumes_s = 3.0 + 3.0 * SPREAD_FRACTION
        assert not is_avoided(backoffs, resumes_s)
        backoffs.record_send("s1", now_s=resumes_s)
        assert is_avoided(backoffs, resumes_s + 0.1)
        backoffs.record_response("s1", now_s=resumes_s + 0.2)
        assert not backoffs.entries()

    def test_probe_request_that_is_lost(self):
        """After a timeout the next request is the probe."""
        backoffs = backing_off(3.0)
        backoffs.record_send("s1", now_s=4.0)
        assert is_avoided(backoffs, 4.0 + PROBE_TIMEOUT_S - 0.01)
        assert not is_avoided(backoffs, 4.0 + PROBE_TIMEOUT_S)
        backoffs.record_send("s1", now_s=6.0)
        assert is_avoided(backoffs, 6.5)

    def test_probe_request_that_is_rejected(self):
        """It starts the next back-off."""
        backoffs = backing_off(3.0)
        backoffs.record_send("s1", now_s=4.0)
        backoffs.record("s1", 3.0, request_id="c2", now_s=4.01)
        assert is_blocked(backoffs, 7.0)

    def test_jitter_is_bounded(self):
        """A back-off of an hour ends a few seconds after the hour at the latest."""
        assert not is_avoided(backing_off(3_600.0), 3_600.0 + MAX_SPREAD_S)


def test_max_backoffs():
    """The memory for back-offs is bounded; the first to expire are evicted."""
    backoffs = ServerBackoffs(random.Random(1))
    for n in range(MAX_BACKOFFS + 50):
        backoffs.record(f"s{n}", 10.0 + n, now_s=0.0)
    assert len(backoffs) == MAX_BACKOFFS
    assert "s0" not in backoffs.entries()
    assert f"s{MAX_BACKOFFS + 49}" in backoffs.entries()


def test_backoffs_without_a_probe_expire():
    """The back-off of a server that was removed doesn't leak."""
    backoffs = backing_off(3.0)
    backoffs.record("s2", 3.0, now_s=100.0)
    assert set(backoffs.entries()) == {"s2"}


class _RejectingServer:
    """A server that rejects all requests for some time, then up to its capacity.

    Args:
        env: The simulation.
        rejects_until_s: Time until which it rejects all requests, in seconds.
        capacity: Maximum number of concurrent requests.
    """

    def __init__(self, env, *, rejects_until_s, capacity):
        self.env = env
        self.rejects_until_s = rejects_until_s
        self.capacity = capacity
        self.running = 0
        self.arrivals_s = []
        self.rejections_s = []
        self.during_backoff = 0

    def accept(self):
        """Process a request; return whether it is accepted."""
        self.arrivals_s.append(self.env.now)
        if self.env.now < self.rejects_until_s or self.running >= self.capacity:
            self.rejections_s.append(self.env.now)
            return False
        self.running += 1
        return True


def _instance(env, server, backoffs, *, interval_s, rng):
    """Generate requests, and skip them while the server is avoided."""
    while True:
        yield env.timeout(rng.expovariate(1.0 / interval_s))
        backoff = backoffs.entries().get("s1")
        if backoff is not None and backoff.is_avoided(now_s=env.now):
            continue
        backoffs.record_send("s1", now_s=env.now)
        env.process(_request(env, server, backoffs))


def _request(env, server, backoffs):
    """Send a request to the server, and process the response."""
    yield env.timeout(0.002)
    server.during_backoff += backoffs.active("s1", now_s=env.now) is not None
    is_accepted = server.accept()
    yield env.timeout(0.002)
    if not is_accepted:
        backoffs.record("s1", 3.0, request_id="", now_s=env.now)
        return
    backoffs.record_response("s1", now_s=env.now)
    yield env.timeout(0.5)
    server.running -= 1


@pytest.mark.parametrize("instances", [8, 350])
@pytest.mark.parametrize("seed", range(3))
def test_replay_of_a_server_that_rejects_all_requests(instances, seed):
    """Load: a server rejects all requests for 7 s, then accepts the usual load.

    It is 40 requests a second in total at 8 instances, 1,750 at 350. Requests that
    arrive within a back-off were in flight when it was received, at most one request of
    each instance is rejected in each of two probe phases, and these are spread out.
    """
    env = simpy.Environment()
    rng = random.Random(seed)
    interval_s = 0.2
    server = _RejectingServer(
        env, rejects_until_s=7.0, capacity=int(instances / interval_s)
    )
    for _ in range(instances):
        backoffs = ServerBackoffs(random.Random(rng.random()))
        env.process(_instance(env, server, backoffs, interval_s=interval_s, rng=rng))
    env.run(until=14.0)
    first = [at_s for at_s in server.rejections_s if at_s < 2.0]
    repeated = [at_s for at_s in server.rejections_s if at_s >= 2.0]
    assert server.during_backoff <= 0.1 * len(first)
    # Probes are due from 3 s and from 6 s on; the last ones find free capacity.
    assert len(repeated) <= 2 * instances
    resumed = [at_s for at_s in server.arrivals_s if at_s >= 12.0]
    assert len(resumed) >= 0.7 * 2.0 * instances / interval_s
    max_arrivals = max(
        sum(start_s <= at_s < start_s + 0.25 for at_s in server.arrivals_s)
        for start_s in (2.5 + 0.05 * n for n in range(30))
    )
    assert max_arrivals <= 0.6 * instances + 5
