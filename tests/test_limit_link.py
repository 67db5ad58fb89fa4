# SPDX-License-Identifier: MIT
"""Instances that tell each other of limits, and who keeps the permits."""

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


#: The server in need; it stands in the zone of every third instance.
SERVER = runner("s1", 0, 80, zone="z0")
#: Within which time all are to keep to a limit, in seconds.
KNOWN_S = 1.0


class Member:
    """One instance: what it knows of limits, and its link to the others."""

    def __init__(self, network, own, entries, rng):
        self.own = own
        self.datagrams = network.join(own, entries)
        backends = BackendTable()
        backends.apply_changes([SERVER], [], now_s=clocks.now_s())
        self.words = FlowController(backends, rng=rng)
        self.flow_control = self.words.limits
        self.is_leaving = False
        self.link = LimitLink(
            self.datagrams,
            self.flow_control,
            rng=rng,
            is_leaving=lambda: self.is_leaving,
        )
        self.link._started_s -= 2 * WINDOW_S
        self.flow_control.request_permit = self.link.request_permit
        self.flow_control.announce = self.link.announce

    def hear(self, limit_a_s):
        """Let the server name a limit, or none, in an answer to this instance."""
        now_s = clocks.now_s()
        word = ServerSignals(status=200, limit_per_s=limit_a_s, sent_s=now_s)
        self.words.record_signals(SERVER, word, "c1")

    def limit_a_s(self):
        """Return the limit that it knows; None if there is none."""
        limit = self.flow_control.limit_of(SERVER.id)
        return limit.per_s if limit else None

    def keeper_id(self):
        """Return whom it takes for the server's keeper."""
        keeper = self.link._keeper(SERVER.id)
        return keeper.id if keeper else self.own.id

    async def ask(self):
        """Ask for a permit."""
        return await self.link.request_permit(
            SERVER, self.flow_control.limit_of(SERVER.id), 0
        )

    def list(self, entries):
        """Take a list of instances in."""
        self.datagrams.directory.take(entries, is_whole=True)


class Members:
    """Instances of three zones, joined by datagrams.

    Args:
        count: How many there are.
        lost_part: Which part of the datagrams is lost, and which comes twice.
    """

    def __init__(self, count, *, lost_part=0.0, seed=1):
        rng = random.Random(seed)
        self.network = Network(rng, lost_part=lost_part)
        self.entries = {
            one.id: one._replace(availability_zone=f"z{number % 3}")
            for number, one in enumerate(instance_entries(count).values())
        }
        self.all = [
            Member(self.network, own, self.entries, rng)
            for own in self.entries.values()
        ]

    def keeper(self):
        """Return the one whom all take for the keeper."""
        (keeper_id,) = {one.keeper_id() for one in self.all}
        return next(one for one in self.all if one.own.id == keeper_id)

    def cut(self, member):
        """Let nothing come from a member any more, nor to it."""
        member.datagrams._transport.is_cut = True
        for address, datagrams in list(self.network.receivers.items()):
            if datagrams is member.datagrams:
                del self.network.receivers[address]


class TestWhoKnows:
    @pytest.mark.parametrize("count", [1, 8, 64, 350])
    async def test_all_know_within_a_second(self, count):
        """Whoever the server tells first; each is told twice, by the keeper."""
        members = Members(count)
        members.all[-1].hear(2.4)
        await asyncio.sleep(KNOWN_S)
        assert [one.limit_a_s() for one in members.all] == [2.4] * count
        assert members.network.sent <= 2 * count

    @pytest.mark.parametrize("seed", range(5))
    async def test_lost_and_doubled_datagrams(self, seed):
        """Those who have not heard are told by the server itself."""
        members = Members(64, lost_part=0.05, seed=seed)
        for member in members.all[:3]:
            member.hear(2.4)
        await asyncio.sleep(KNOWN_S)
        assert sum(one.limit_a_s() == 2.4 for one in members.all) >= 62

    @pytest.mark.parametrize("limit_a_s", [50.0, 0.5, math.inf])
    async def test_changes_and_the_end(self, limit_a_s):
        """The latest word counts everywhere."""
        members = Members(8)
        members.all[0].hear(4.9)
        await asyncio.sleep(0.1)
        members.all[1].hear(limit_a_s)
        await asyncio.sleep(0.1)
        known = None if math.isinf(limit_a_s) else limit_a_s
        assert [one.limit_a_s() for one in members.all] == [known] * 8

    @pytest.mark.parametrize("count", [8, 350])
    async def test_server_is_taken_up_one_after_another(self, count):
        """All hear of the end together, and come back over a second."""
        members = Members(count)
        members.all[0].hear(2.4)
        await asyncio.sleep(0.1)
        now_s = clocks.now_s()
        members.all[0].hear(math.inf)
        await asyncio.sleep(0.1)
        back = [
            sum("s1" not in one.words.avoided(now_s=now_s + s) for one in members.all)
            for s in (0.25, 0.5, 0.75, 1.2)
        ]
        assert back[-1] == count
        assert back[0] <= max(4, 0.4 * count)
        assert back == sorted(back)

    async def test_all_are_told_at_once(self):
        """Hundreds that hear the word in the same moment don't all tell all."""
        members = Members(350)
        for member in members.all:
            member.hear(2.4)
        await asyncio.sleep(KNOWN_S)
        assert members.network.sent <= 4 * 350

    async def test_newcomer_is_told(self):
        """An instance that has just come knows before it sends."""
        members = Members(8)
        newcomer = members.all[-1]
        before = dict(members.entries)
        del before[newcomer.own.id]
        for member in members.all[:-1]:
            member.list(before)
            member.link._tell_newcomers()
        members.all[0].hear(2.4)
        await asyncio.sleep(0.05)
        assert newcomer.limit_a_s() is None
        for member in members.all[:-1]:
            member.list(members.entries)
            member.link._tell_newcomers()
        await asyncio.sleep(0.05)
        assert newcomer.limit_a_s() == 2.4

    async def test_who_missed_the_end(self):
        """The keeper tells it, and lets its request through."""
        members = Members(8)
        members.all[0].hear(2.4)
        await asyncio.sleep(0.05)
        one = next(one for one in members.all if one is not members.keeper())
        now_s = clocks.now_s()
        members.keeper().flow_control.known.update(
            "s1", Limit(math.inf, 0, 0, now_s, now_s + 0.001)
        )
        assert (await one.ask()).is_granted
        await asyncio.sleep(0.05)
        assert one.limit_a_s() is None


class TestWhoKeeps:
    async def test_one_of_the_servers_zone(self):
        """All agree, and who is cut off from the zone can't reach the server."""
        assert Members(64).keeper().own.availability_zone == "z0"

    async def test_where_the_zone_has_none(self):
        """Then it is one of all."""
        members = Members(2)
        for member in members.all:
            member.flow_control._backends.apply_changes(
                [SERVER._replace(availability_zone="z9")], [], now_s=0.0
            )
        members.keeper()

    async def test_keeper_that_is_gone(self):
        """The next one is asked after some questions without an answer."""
        members = Members(8)
        members.all[0].hear(4.9)
        await asyncio.sleep(0.05)
        gone = members.keeper()
        rest = [one for one in members.all if one is not gone]
        members.cut(gone)
        asked_s = clocks.now_s()
        for _ in range(6):
            replies = await asyncio.gather(*(one.ask() for one in rest))
            assert not any(one.is_granted for one in replies)
        assert clocks.now_s() - asked_s < 1.5
        assert {one.keeper_id() for one in rest}.isdisjoint({gone.own.id})

    async def test_questions_of_one_moment_are_one(self):
        """A keeper that stands still while many ask at once is not passed over."""
        members = Members(8)
        keeper = members.keeper()
        one = next(one for one in members.all if one is not keeper)
        for _ in range(5 * _limit_link._MOST_MISSED):
            one.link._note_missed(keeper.own.id)
        assert one.keeper_id() == keeper.own.id

    async def test_keeper_comes_back(self, monkeypatch):
        """It is asked again after a while."""
        monkeypatch.setattr(_limit_link, "_PASSED_OVER_S", 0.1)
        members = Members(8)
        members.all[0].hear(4.9)
        await asyncio.sleep(0.05)
        keeper = members.keeper()
        one = next(one for one in members.all if one is not keeper)
        for _ in range(_limit_link._MOST_MISSED):
            one.link._note_missed(keeper.own.id)
            one.link._note_missed(keeper.own.id)
            await asyncio.sleep(_limit_link._ANSWER_S)
        assert one.keeper_id() != keeper.own.id
        await asyncio.sleep(0.11)
        assert one.keeper_id() == keeper.own.id

    async def test_who_is_cut_off_has_an_equal_part(self):
        """Nobody who keeps permits answers, and others give them meanwhile."""
        members = Members(9)
        members.all[0].hear(9.0)
        await asyncio.sleep(0.05)
        keepers = members.all[0].link._candidates(SERVER.id)
        alone = next(one for one in members.all if one.own.id not in keepers)
        members.cut(alone)
        for _ in range(18):
            await alone.ask()
        given_s = []
        until_s = clocks.now_s() + 2.5
        while clocks.now_s() < until_s:
            if (await alone.ask()).is_granted:
                given_s.append(clocks.now_s())
            await asyncio.sleep(0.02)
        assert 1 <= len(given_s) <= 4

    @pytest.mark.parametrize("why", ["started", "leaving"])
    async def test_who_starts_or_leaves_keeps_nothing(self, why):
        """Others' lists don't tell it yet, or no longer; one that is asked asks on."""
        members = Members(9)
        members.all[0].hear(50.0)
        await asyncio.sleep(0.05)
        keeper = members.keeper()
        if why == "started":
            keeper.link._started_s = clocks.now_s()
        else:
            keeper.is_leaving = True
        for _ in range(30):
            await asyncio.gather(*(one.ask() for one in members.all))
        holders = [one for one in members.all if len(one.flow_control.keepers)]
        assert len(holders) == 1
        assert holders[0] is not keeper

    @pytest.mark.parametrize("then_s", [0.0, 2 * WINDOW_S])
    async def test_all_have_just_started(self, then_s):
        """They still agree on one, which stays it while the limit lasts."""
        members = Members(9)
        for member in members.all:
            member.link._started_s = clocks.now_s()
        members.all[0].hear(50.0)
        await asyncio.sleep(0.05)
        for number in range(30):
            await asyncio.gather(*(one.ask() for one in members.all))
            if number == 10:
                for member in members.all:
                    member.link._started_s -= then_s
        assert sum(len(one.flow_control.keepers) for one in members.all) == 1

    async def test_what_was_left_to_the_next_one_comes_back(self):
        """When the limit is over, so that the next one begins at the first again."""
        members = Members(9)
        keeper = members.keeper()
        keeper.link._started_s = clocks.now_s()
        members.all[0].hear(50.0)
        await asyncio.sleep(0.05)
        assert keeper.keeper_id() != keeper.own.id
        keeper.link._started_s -= 2 * WINDOW_S
        assert keeper.keeper_id() != keeper.own.id
        members.all[0].hear(math.inf)
        await asyncio.sleep(0.05)
        assert keeper.keeper_id() == keeper.own.id

    async def test_lists_that_differ(self):
        """Some don't list the keeper yet: whom they ask asks it."""
        members = Members(9)
        members.all[0].hear(50.0)
        await asyncio.sleep(0.05)
        keeper = members.keeper()
        less = dict(members.entries)
        del less[keeper.own.id]
        others = [one for one in members.all if one is not keeper]
        second = {
            member.own.id for member in others if member.link._keeper(SERVER.id) is None
        }
        assert not second
        for member in others[:4]:
            member.list(less)
        asked = [one for one in others[:4] if one.link._keeper(SERVER.id)]
        next_id = asked[0].keeper_id()
        if next_id in {one.own.id for one in others[:4]}:
            members.all[int(next_id[1:])].list(members.entries)
        for _ in range(30):
            await asyncio.gather(*(one.ask() for one in asked))
        holders = [one for one in members.all if len(one.flow_control.keepers)]
        assert holders == [keeper]


class TestStandstill:
    @pytest.mark.parametrize("loop_class", [EventLoop, asyncio.SelectorEventLoop])
    @pytest.mark.parametrize("hold_s", [0.07, 0.3])
    def test_permit_that_came_in_a_standstill_is_lost(self, loop_class, hold_s):
        """It waits in the socket, and the request is kept back."""

        async def ask():
            members = Members(6)
            for one in members.all:
                one.hear(5.0)
            keeper = members.keeper()
            asker = next(one for one in members.all if one is not keeper)
            members.cut(keeper)
            asking = asyncio.create_task(asker.ask())
            await asyncio.sleep(0.001)
            (number,) = asker.link._asked
            permit = PermitDatagram("t", keeper.own.id, number, True, 0, False)
            with bytes_that_come(lambda: asker.link._take_permit(permit), for_s=hold_s):
                return (await asking).is_granted

        with asyncio.Runner(loop_factory=loop_class) as runner:
            assert runner.run(ask())


class TestPermits:
    @pytest.mark.parametrize("lost_part", [0.0, 0.1])
    @pytest.mark.parametrize("count", [8, 64])
    async def test_all_together_keep_to_the_limit(self, count, lost_part):
        """Also where datagrams are lost and come twice."""
        members = Members(count, lost_part=lost_part)
        for member in members.all:
            member.hear(4.9)
        await asyncio.sleep(0.05)
        given_s = []
        until_s = clocks.now_s() + 2 * WINDOW_S

        async def want(member):
            rng = random.Random(member.own.id)
            while clocks.now_s() < until_s:
                await asyncio.sleep(rng.expovariate(5.0))
                if not member.flow_control.permits.blocked_s(now_s=clocks.now_s()):
                    reply = await member.ask()
                    now_s = clocks.now_s()
                    if reply.is_granted:
                        given_s.append(now_s)
                    else:
                        member.flow_control.permits.block(
                            SERVER.id, reply.wait_s, now_s=now_s
                        )

        await asyncio.gather(*(want(one) for one in members.all))
        assert max_within(given_s, WINDOW_S) <= WINDOW_S * 4.9
        if not lost_part:
            assert len(given_s) >= 0.9 * 4.9 * 2 * WINDOW_S - 2

    async def test_answer_that_comes_twice_or_late(self):
        """It is taken once, from who was asked, while somebody waits for it."""
        members = Members(8)
        members.all[0].hear(50.0)
        await asyncio.sleep(0.1)
        one = next(one for one in members.all if one is not members.keeper())
        members.network.lost_part = 0.0
        members.network.latest_s = 1.0
        await one.ask()
        await asyncio.sleep(1.1)
        assert one.link._asked == {}
