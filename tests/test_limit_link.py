# SPDX-License-Identifier: MIT
"""Distribution of rate limits between instances, and selection of permit issuers."""

from __future__ import annotations

import asyncio
import math
import random

import pytest

from mortal_fleet import Network, instance_entries
from routing_samples import runner
from signaling_servers import max_within
from standstill import bytes_that_come
from violethatch import _limit_link, clocks
from violethatch._flow_control import FlowController
from violethatch._limit_link import LimitLink
from violethatch._peer_datagrams import PermitDatagram
from violethatch.backends import BackendTable
from violethatch.event_loop import EventLoop
from violethatch.limit_permits import WINDOW_S
from violethatch.server_limits import Limit
from violethatch.upstream import ServerSignals


#: The rate-limited server, in the zone of every third instance.
SERVER = runner("s1", 0, 80, zone="z0")
#: Time within which all instances must enforce a limit, in seconds.
NOTIFIED_WITHIN_S = 1.0


class Member:
    """One instance with its limits and its link to the others."""

    def __init__(self, network, own, entries, rng):
        self.own = own
        self.datagrams = network.join(own, entries)
        backends = BackendTable()
        backends.apply_changes([SERVER], [], now_s=clocks.now_s())
        self.flow_controller = FlowController(backends, rng=rng)
        self.limits = self.flow_controller.limits
        self.is_leaving = False
        self.link = LimitLink(
            self.datagrams,
            self.limits,
            rng=rng,
            is_leaving=lambda: self.is_leaving,
        )
        self.link._started_s -= 2 * WINDOW_S
        self.limits.request_permit = self.link.request_permit
        self.limits.announce = self.link.announce

    def receive(self, limit_per_s):
        """Receive a response from the server with a limit, or without one."""
        now_s = clocks.now_s()
        signals = ServerSignals(status=200, limit_per_s=limit_per_s, sent_s=now_s)
        self.flow_controller.record_signals(SERVER, signals, "c1")

    def limit_per_s(self):
        """Return the known limit, or None."""
        limit = self.limits.active_limit(SERVER.id)
        return limit.per_s if limit else None

    def issuer_id(self):
        """Return the id of the server's issuer, according to this instance."""
        issuer = self.link._issuer(SERVER.id)
        return issuer.id if issuer else self.own.id

    async def request(self):
        """Request a permit."""
        return await self.link.request_permit(
            SERVER, self.limits.active_limit(SERVER.id), 0
        )

    def list(self, entries):
        """Update the list of instances."""
        self.datagrams.directory.take(entries, is_whole=True)


class Members:
    """Instances in three zones, connected by datagrams.

    Args:
        count: Number of instances.
        lost_part: Fraction of datagrams that are lost, and of those duplicated.
    """

    def __init__(self, count, *, lost_part=0.0, seed=1):
        rng = random.Random(seed)
        self.network = Network(rng, lost_part=lost_part)
        self.entries = {
            member.id: member._replace(availability_zone=f"z{number % 3}")
            for number, member in enumerate(instance_entries(count).values())
        }
        self.all = [
            Member(self.network, own, self.entries, rng)
            for own in self.entries.values()
        ]

    async def notify(self, limit_per_s):
        """Have one receive a limit; wait until all know it."""
        self.all[0].receive(limit_per_s)
        async with asyncio.timeout(NOTIFIED_WITHIN_S):
            while any(one.limit_per_s() != limit_per_s for one in self.all):
                await asyncio.sleep(0.01)

    def issuer(self):
        """Return the issuer that all instances agree on."""
        (issuer_id,) = {member.issuer_id() for member in self.all}
        return next(member for member in self.all if member.own.id == issuer_id)

    def partition(self, member):
        """Partition a member from the network."""
        member.datagrams._transport.is_cut = True
        for address, datagrams in list(self.network.receivers.items()):
            if datagrams is member.datagrams:
                del self.network.receivers[address]


class TestDistribution:
    @pytest.mark.parametrize("count", [1, 8, 64, 350])
    async def test_all_are_notified_within_a_second(self, count):
        """Whichever receives the limit first; the issuer sends it to each one twice."""
        members = Members(count)
        members.all[-1].receive(2.4)
        await asyncio.sleep(NOTIFIED_WITHIN_S)
        assert [member.limit_per_s() for member in members.all] == [2.4] * count
        assert members.network.sent <= 2 * count

    @pytest.mark.parametrize("seed", range(5))
    async def test_lost_and_duplicated_datagrams(self, seed):
        """Nearly all instances get the limit; the others get it from the server."""
        members = Members(64, lost_part=0.05, seed=seed)
        for member in members.all[:3]:
            member.receive(2.4)
        await asyncio.sleep(NOTIFIED_WITHIN_S)
        assert sum(member.limit_per_s() == 2.4 for member in members.all) >= 62

    @pytest.mark.parametrize("limit_per_s", [50.0, 0.5, math.inf])
    async def test_limit_changes(self, limit_per_s):
        """The latest limit applies on all instances."""
        members = Members(8)
        members.all[0].receive(4.9)
        await asyncio.sleep(0.1)
        members.all[1].receive(limit_per_s)
        await asyncio.sleep(0.1)
        known = None if math.isinf(limit_per_s) else limit_per_s
        assert [member.limit_per_s() for member in members.all] == [known] * 8

    @pytest.mark.parametrize("count", [8, 350])
    async def test_traffic_is_resumed_with_jitter(self, count):
        """All learn that the limit is lifted at once, and resume over a second."""
        members = Members(count)
        members.all[0].receive(2.4)
        await asyncio.sleep(0.1)
        now_s = clocks.now_s()
        members.all[0].receive(math.inf)
        await asyncio.sleep(0.1)
        resumed = [
            sum(
                "s1" not in member.flow_controller.avoided(now_s=now_s + s)
                for member in members.all
            )
            for s in (0.25, 0.5, 0.75, 1.2)
        ]
        assert resumed[-1] == count
        assert resumed[0] <= max(4, 0.4 * count)
        assert resumed == sorted(resumed)

    async def test_concurrent_broadcasts(self):
        """Hundreds that receive a limit at the same time don't all broadcast it."""
        members = Members(350)
        for member in members.all:
            member.receive(2.4)
        await asyncio.sleep(NOTIFIED_WITHIN_S)
        assert members.network.sent <= 4 * 350

    async def test_new_instance_is_notified(self):
        """A new instance gets the limit before it sends requests."""
        members = Members(8)
        new_instance = members.all[-1]
        before = dict(members.entries)
        del before[new_instance.own.id]
        for member in members.all[:-1]:
            member.list(before)
            member.link._announce_to_new_instances()
        members.all[0].receive(2.4)
        await asyncio.sleep(0.05)
        assert new_instance.limit_per_s() is None
        for member in members.all[:-1]:
            member.list(members.entries)
            member.link._announce_to_new_instances()
        await asyncio.sleep(0.05)
        assert new_instance.limit_per_s() == 2.4

    async def test_instance_that_missed_the_lift(self):
        """The issuer notifies it, and grants its request."""
        members = Members(8)
        members.all[0].receive(2.4)
        await asyncio.sleep(0.05)
        member = next(
            member for member in members.all if member is not members.issuer()
        )
        now_s = clocks.now_s()
        members.issuer().limits.server_limits.update(
            "s1", Limit(math.inf, 0, 0, now_s, now_s + 0.001)
        )
        assert (await member.request()).is_granted
        await asyncio.sleep(0.05)
        assert member.limit_per_s() is None


class TestIssuer:
    async def test_issuer_is_in_the_servers_zone(self):
        """All agree; an instance partitioned from the zone can't reach the server."""
        assert Members(64).issuer().own.availability_zone == "z0"

    async def test_zone_without_instances(self):
        """Then all instances are candidates."""
        members = Members(2)
        for member in members.all:
            member.limits._backends.apply_changes(
                [SERVER._replace(availability_zone="z9")], [], now_s=0.0
            )
        members.issuer()

    async def test_issuer_that_fails(self):
        """The next candidate is used after several requests without a reply."""
        members = Members(8)
        members.all[0].receive(4.9)
        await asyncio.sleep(0.05)
        failed = members.issuer()
        others = [member for member in members.all if member is not failed]
        members.partition(failed)
        started_s = clocks.now_s()
        for _ in range(6):
            replies = await asyncio.gather(*(member.request() for member in others))
            assert not any(reply.is_granted for reply in replies)
        assert clocks.now_s() - started_s < 1.5
        assert {member.issuer_id() for member in others}.isdisjoint({failed.own.id})

    async def test_concurrent_missed_replies_count_once(self):
        """An issuer that stalls during many concurrent requests is not excluded."""
        members = Members(8)
        issuer = members.issuer()
        member = next(member for member in members.all if member is not issuer)
        for _ in range(5 * _limit_link._MAX_MISSED_REPLIES):
            member.link._record_missed_reply(issuer.own.id)
        assert member.issuer_id() == issuer.own.id

    async def test_issuer_that_recovers(self, monkeypatch):
        """It is used again after the cooldown."""
        monkeypatch.setattr(_limit_link, "_ISSUER_COOLDOWN_S", 0.1)
        members = Members(8)
        members.all[0].receive(4.9)
        await asyncio.sleep(0.05)
        issuer = members.issuer()
        member = next(member for member in members.all if member is not issuer)
        for _ in range(_limit_link._MAX_MISSED_REPLIES):
            member.link._record_missed_reply(issuer.own.id)
            member.link._record_missed_reply(issuer.own.id)
            await asyncio.sleep(_limit_link._REPLY_TIMEOUT_S)
        assert member.issuer_id() != issuer.own.id
        await asyncio.sleep(0.11)
        assert member.issuer_id() == issuer.own.id

    async def test_partitioned_instance_uses_an_equal_part(self):
        """No candidate replies, and they issue permits to the others meanwhile."""
        members = Members(9)
        members.all[0].receive(9.0)
        await asyncio.sleep(0.05)
        candidates = members.all[0].link._candidates(SERVER.id)
        isolated = next(
            member for member in members.all if member.own.id not in candidates
        )
        members.partition(isolated)
        for _ in range(18):
            await isolated.request()
        granted_at_s = []
        until_s = clocks.now_s() + 2.5
        while clocks.now_s() < until_s:
            if (await isolated.request()).is_granted:
                granted_at_s.append(clocks.now_s())
            await asyncio.sleep(0.02)
        assert 1 <= len(granted_at_s) <= 4

    @pytest.mark.parametrize("why", ["started", "leaving"])
    async def test_starting_or_leaving_instance_is_no_issuer(self, why):
        """Other lists don't contain it yet, or no longer; it forwards requests."""
        members = Members(9)
        await members.notify(50.0)
        issuer = members.issuer()
        if why == "started":
            issuer.link._started_s = clocks.now_s()
        else:
            issuer.is_leaving = True
        for _ in range(30):
            await asyncio.gather(*(member.request() for member in members.all))
        issuers = [member for member in members.all if len(member.limits.issuers)]
        assert len(issuers) == 1
        assert issuers[0] is not issuer

    @pytest.mark.parametrize("uptime_s", [0.0, 2 * WINDOW_S])
    async def test_all_instances_have_just_started(self, uptime_s):
        """They still agree on one issuer, which is stable while the limit holds."""
        members = Members(9)
        for member in members.all:
            member.link._started_s = clocks.now_s()
        await members.notify(50.0)
        for number in range(30):
            await asyncio.gather(*(member.request() for member in members.all))
            if number == 10:
                for member in members.all:
                    member.link._started_s -= uptime_s
        assert sum(len(member.limits.issuers) for member in members.all) == 1

    async def test_delegation_ends_with_the_limit(self):
        """The next limit uses the first candidate again."""
        members = Members(9)
        issuer = members.issuer()
        issuer.link._started_s = clocks.now_s()
        await members.notify(50.0)
        assert issuer.issuer_id() != issuer.own.id
        issuer.link._started_s -= 2 * WINDOW_S
        assert issuer.issuer_id() != issuer.own.id
        members.all[0].receive(math.inf)
        await asyncio.sleep(0.05)
        assert issuer.issuer_id() == issuer.own.id

    async def test_different_lists(self):
        """Some don't list the issuer yet: the instance they use forwards to it."""
        members = Members(9)
        await members.notify(50.0)
        issuer = members.issuer()
        partial_list = dict(members.entries)
        del partial_list[issuer.own.id]
        others = [member for member in members.all if member is not issuer]
        second = {
            member.own.id for member in others if member.link._issuer(SERVER.id) is None
        }
        assert not second
        for member in others[:4]:
            member.list(partial_list)
        requesters = [member for member in others[:4] if member.link._issuer(SERVER.id)]
        next_id = requesters[0].issuer_id()
        if next_id in {member.own.id for member in others[:4]}:
            members.all[int(next_id[1:])].list(members.entries)
        for _ in range(30):
            await asyncio.gather(*(member.request() for member in requesters))
        issuers = [member for member in members.all if len(member.limits.issuers)]
        assert issuers == [issuer]


class TestStall:
    @pytest.mark.parametrize("loop_class", [EventLoop, asyncio.SelectorEventLoop])
    @pytest.mark.parametrize("hold_s", [0.07, 0.3])
    def test_permit_that_is_received_during_a_stall(self, loop_class, hold_s):
        """The reply waits in the socket, and is read before the timeout expires."""

        async def request():
            members = Members(6)
            for member in members.all:
                member.receive(5.0)
            issuer = members.issuer()
            requester = next(member for member in members.all if member is not issuer)
            members.partition(issuer)
            request_task = asyncio.create_task(requester.request())
            await asyncio.sleep(0.001)
            (number,) = requester.link._pending
            permit = PermitDatagram("t", issuer.own.id, number, True, 0, False)
            with bytes_that_come(
                lambda: requester.link._on_permit_reply(permit), for_s=hold_s
            ):
                return (await request_task).is_granted

        with asyncio.Runner(loop_factory=loop_class) as runner:
            assert runner.run(request())


class TestPermits:
    @pytest.mark.parametrize("lost_part", [0.0, 0.1])
    @pytest.mark.parametrize("count", [8, 64])
    async def test_total_stays_within_the_limit(self, count, lost_part):
        """Also if datagrams are lost and duplicated."""
        members = Members(count, lost_part=lost_part)
        for member in members.all:
            member.receive(4.9)
        await asyncio.sleep(0.05)
        granted_at_s = []
        until_s = clocks.now_s() + 2 * WINDOW_S

        async def generate_load(member):
            rng = random.Random(member.own.id)
            while clocks.now_s() < until_s:
                await asyncio.sleep(rng.expovariate(5.0))
                if not member.limits.permits.blocked_s(now_s=clocks.now_s()):
                    reply = await member.request()
                    now_s = clocks.now_s()
                    if reply.is_granted:
                        granted_at_s.append(now_s)
                    else:
                        member.limits.permits.block(
                            SERVER.id, reply.wait_s, now_s=now_s
                        )

        await asyncio.gather(*(generate_load(member) for member in members.all))
        assert max_within(granted_at_s, WINDOW_S) <= WINDOW_S * 4.9
        if not lost_part:
            assert len(granted_at_s) >= 0.9 * 4.9 * 2 * WINDOW_S - 2

    async def test_duplicated_or_late_reply(self):
        """A reply is processed once, from the issuer, while its request is pending."""
        members = Members(8)
        members.all[0].receive(50.0)
        await asyncio.sleep(0.1)
        member = next(
            member for member in members.all if member is not members.issuer()
        )
        members.network.lost_part = 0.0
        members.network.latest_s = 1.0
        await member.request()
        await asyncio.sleep(1.1)
        assert member.link._pending == {}
