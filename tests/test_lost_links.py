# SPDX-License-Identifier: MIT
"""Instances that have lost their links to all backend servers; others have theirs."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import statistics

from typing import NamedTuple

import pytest

from linked_fleet import (
    ONCE_PATH,
    PLAIN_PATH,
    RESET,
    STREAM_PATH,
    WAYS,
    LinkedFleet,
    Try,
)
from signaling_servers import measure_loop_lag
from test_platform_process import HEADERS, ID, event_ids
from violethatch import clocks


#: From how long after the links were lost callers are served as elsewhere, in seconds.
LOST_S = 1.0
#: How long a check of links waits, in seconds, and for how long of that the servers
#: have to stand still for an instance to lose its links: an answer takes several turns.
CHECK_S = 0.25
STANDSTILL_S = 0.1
#: The least tries that are compared of each side, and how often it is played for them.
MIN_TRIES = 30
MOST_ROUNDS = 12
#: How often, compared with elsewhere, and how much later at the median.
LEAST_SHARE = 0.95
MOST_LATER_S = 0.010
#: How often a request waits for a processor at each end of its way through one more
#: instance: as it comes, and with the end of its answer.
HOP_WAITS = 2
#: Until how long after their return an instance uses its links again, in seconds.
BACK_S = 1.0
CUT_S = 4.0
#: The line that names the instance that serves a forwarded request.
FORWARD_TAKEN = 2241
#: Between requests to each instance, in seconds: while links are lost more are under
#: way than before, so that open connections don't do.
PAUSE_S = 0.03


@pytest.fixture
async def fleet(tmp_path):
    """Provide a fleet that is started."""
    made = LinkedFleet(tmp_path)
    await made.start()
    yield made
    await made.stop()


def served(tries):
    """Return which part of some tries was served."""
    return sum(one.status == 200 for one in tries) / len(tries)


def median_s(tries):
    """Return the median time of those that were served, in seconds."""
    return statistics.median(one.took_s for one in tries if one.status == 200)


class Played(NamedTuple):
    """Tries while some instances have no links.

    Attributes:
        there: At these instances.
        elsewhere: At the others.
        served_by: By call's id, the instance that it was forwarded to.
        waits_s: By instance, how long it waited for a processor at a time, in seconds.
    """

    there: list[Try]
    elsewhere: list[Try]
    served_by: dict[str, str]
    waits_s: dict[str, float]

    @property
    def later_s(self):
        """How much later those there are served than others at the same instance.

        That is the median, but for waits for a processor.
        """
        later_s = []
        for one in self.there:
            server = self.served_by.get(one.call_id)
            if server is None or one.status != 200:
                continue
            own = min(
                (other for other in self.elsewhere if other.instance == server),
                key=lambda other: abs(other.sent_s - one.sent_s),
            )
            wait_s = self.waits_s[one.instance] + self.waits_s[server]
            later_s.append(one.took_s - own.took_s - HOP_WAITS * wait_s)
        assert len(later_s) >= MIN_TRIES
        return statistics.median(later_s)


async def play(fleet, count, way, *, path):
    """Cut the first instances; return the tries there and at the others meanwhile.

    The servers share the test's loop: where it stands still, the others lose their
    links too, so that what is under way then or comes shortly after is left out.
    """
    cut = fleet.instances[:count]
    warm = [fleet.call_steadily(one, path=path, for_s=0.5) for one in fleet.instances]
    await asyncio.gather(*warm)
    for one in cut:
        one.cut(way)
    names = {one.name for one in cut}
    there, elsewhere = [], []
    async with measure_loop_lag() as lag:
        await call_all(fleet, path=path, for_s=LOST_S)
        before = [one.waits() for one in fleet.instances]
        for _ in range(MOST_ROUNDS):
            tries = await call_all(fleet, path=path, for_s=CUT_S)
            standstills = lag.stalls(least_s=STANDSTILL_S, within_s=CHECK_S)
            for one in tries:
                if not is_disturbed(one, standstills):
                    (there if one.instance in names else elsewhere).append(one)
            if min(len(there), len(elsewhere)) >= MIN_TRIES:
                break
    assert min(len(there), len(elsewhere)) >= MIN_TRIES
    after = [one.waits() for one in fleet.instances]
    taken = [line for one in cut for line in one.lines(FORWARD_TAKEN)]
    return Played(
        there,
        elsewhere,
        {line["request_id"]: line["instance_id"] for line in taken},
        {
            one.name: wait_s(*waits)
            for one, *waits in zip(fleet.instances, before, after, strict=True)
        },
    )


async def call_all(fleet, *, path, for_s):
    """Call all instances side by side; return what came of each request."""
    calls = [
        fleet.call_steadily(one, path=path, for_s=for_s, pause_s=PAUSE_S)
        for one in fleet.instances
    ]
    return [one for part in await asyncio.gather(*calls) for one in part]


def is_disturbed(one, standstills):
    """Tell whether a try was under way at a standstill, or came shortly after one."""
    end_s = one.sent_s + one.took_s
    return any(
        from_s <= end_s and one.sent_s <= until_s + LOST_S
        for from_s, until_s in standstills
    )


def wait_s(before, after):
    """Return how long an instance waited for a processor at a time, in seconds."""
    (waited_before_s, times_before), (waited_s, times) = before, after
    return (waited_s - waited_before_s) / max(1, times - times_before)


@pytest.mark.parametrize("path", [STREAM_PATH, PLAIN_PATH])
@pytest.mark.parametrize("way", WAYS)
async def test_instance_without_links_to_servers_refuses_callers(fleet, way, path):
    """Its callers are served through other instances, about as soon as elsewhere."""
    played = await play(fleet, 1, way, path=path)
    assert served(played.elsewhere) == 1.0
    assert served(played.there) >= LEAST_SHARE * served(played.elsewhere)
    assert played.later_s <= MOST_LATER_S


async def test_last_instance_with_links_is_alone(fleet):
    """All but one instance have lost their links: that one serves for all."""
    played = await play(fleet, 2, WAYS[0], path=STREAM_PATH)
    assert served(played.there) >= LEAST_SHARE * served(played.elsewhere)


def arrivals(fleet, call_id):
    """Return how often a request has reached a server."""
    seen = [one for runner in fleet.runners.values() for one in runner.seen]
    return sum(one.call_id == call_id for one in seen)


async def find_lost(fleet, instance, way=RESET):
    """Cut an instance, and wait until it knows that its links are lost."""
    instance.cut(way)
    async with asyncio.timeout(5):
        while True:
            await fleet.try_once(instance, f"found-{clocks.now_s():.3f}")
            if (await fleet.state_of(instance))["lost_links"]:
                return
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def stream(fleet, instance, call_id):
    """Send a stream's request; provide the answer when two events have come."""
    async with fleet.http.post(
        f"http://127.0.0.1:{instance.front}{STREAM_PATH}",
        data=b"a menu",
        headers=HEADERS | {ID: call_id},
    ) as answer:
        await answer.content.readuntil(b"data: 2\n\n")
        yield answer


def slow(fleet, *, pause_s=0.15):
    """Let servers take their time."""
    for runner in fleet.runners.values():
        runner.pause_s = pause_s


async def test_instance_goes_around_links_that_are_back(fleet):
    """Callers are served over the own links within a second of their return."""
    cut = fleet.instances[0]
    await find_lost(fleet, cut)
    await fleet.call_steadily(cut, for_s=1.0)
    cut.heal()
    await asyncio.sleep(BACK_S)
    forwarded = len(cut.lines(2225))
    tries = await fleet.call_steadily(cut, for_s=1.0)
    assert served(tries) == 1.0
    assert len(cut.lines(2225)) == forwarded > 0


async def test_instance_without_links_counts_as_ready(fleet):
    """Its callers are served, so that the balancer may go on sending them."""
    cut = fleet.instances[0]
    await find_lost(fleet, cut)
    async with fleet.http.get(f"http://127.0.0.1:{cut.ready}/") as answer:
        assert answer.status == 200


async def test_lost_links_are_reported_as_silent_servers(fleet):
    """Others neither leave servers alone nor blame requests for their end."""
    cut, *others = fleet.instances
    calls = [fleet.call_steadily(one, for_s=2.0) for one in fleet.instances]
    calls.append(fleet.call_steadily(cut, path=PLAIN_PATH, for_s=2.0))
    playing = asyncio.gather(*calls)
    await asyncio.sleep(0.5)
    cut.cut(RESET)
    await playing
    assert cut.lines(2125)
    for one in others:
        assert one.lines(2109) == []
        assert one.lines(2116) == []
        assert (await fleet.state_of(one))["resting"] == []


@pytest.mark.parametrize("way", WAYS[:2])
async def test_stream_under_way_ends_with_the_links(fleet, way):
    """It goes on through another instance after the last event that was given."""
    slow(fleet)
    cut = fleet.instances[0]
    async with stream(fleet, cut, "under-way") as answer:
        cut.cut(way)
        rest = await answer.content.read()
    assert event_ids(rest) == list(range(3, 9))


async def test_caller_of_a_forwarded_stream_leaves(fleet):
    """The run at the server ends within half a second."""
    slow(fleet)
    cut = fleet.instances[0]
    await find_lost(fleet, cut)
    async with stream(fleet, cut, "left") as answer:
        answer.close()
        left_s = clocks.now_s()
    async with asyncio.timeout(5):
        while not any("left" in one.dropped for one in fleet.runners.values()):
            await asyncio.sleep(0.01)
    assert clocks.now_s() - left_s < 0.5


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
async def test_instance_dies_under_a_forwarded_stream(fleet, number):
    """Its stream goes on through the next one."""
    slow(fleet)
    cut, *others = fleet.instances
    await find_lost(fleet, cut)
    async with stream(fleet, cut, "taken-over") as answer:
        serving = [one for one in others if (await fleet.state_of(one))["in_flight"]]
        serving[0].signal(number)
        rest = await answer.content.read()
    assert event_ids(rest) == list(range(3, 9))


async def test_request_that_may_not_be_repeated_is_lost_between_instances(fleet):
    """It isn't sent again, and its caller isn't told that it has not run."""
    slow(fleet)
    cut, *others = fleet.instances
    await find_lost(fleet, cut)
    call = asyncio.create_task(fleet.try_once(cut, "once", path=ONCE_PATH))
    async with asyncio.timeout(5):
        while not arrivals(fleet, "once"):
            await asyncio.sleep(0.01)
    for one in others:
        one.signal(signal.SIGKILL)
    assert (await call).status == 502
    assert arrivals(fleet, "once") == 1


async def test_nobody_reaches_a_server(fleet):
    """Callers are told at once that nothing ran, and when to come back."""
    for one in fleet.instances:
        await find_lost(fleet, one)
    first = fleet.instances[0]
    tries = await fleet.call_steadily(first, for_s=1.0)
    assert {one.status for one in tries} == {503}
    assert statistics.median(one.took_s for one in tries) < 0.05
    refused = [one for one in first.lines(2206) if one["code"] == 1208]
    assert refused
    assert all(one["retry_after_s"] > 0 for one in refused)


async def test_forwarded_request_carries_an_old_key(fleet):
    """The instance that takes it over checks the key itself."""
    cut = fleet.instances[0]
    await find_lost(fleet, cut)
    key = {"Authorization": "Token k2"}
    assert (await fleet.try_once(cut, "unknown", **key)).status == 401
    fleet.put_state(2, keys=("k2",))
    async with asyncio.timeout(2):
        while (await fleet.try_once(cut, f"{clocks.now_s()}", **key)).status != 200:
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.2)
    assert (await fleet.try_once(cut, "old")).status == 401


async def test_last_key_taken_away_lets_nobody_in_anywhere(fleet):
    """Also at instances that other instances relay the table to, or forward to."""
    cut = fleet.instances[0]
    await find_lost(fleet, cut)
    fleet.put_state(2, keys=())
    async with asyncio.timeout(3):
        for one in fleet.instances:
            while (await fleet.try_once(one, f"{clocks.now_s()}")).status != 401:
                await asyncio.sleep(0.02)
    for one in fleet.instances:
        for key in ("Token k1", "Token never", ""):
            given = await fleet.try_once(one, f"{clocks.now_s()}", Authorization=key)
            assert given.status == 401
