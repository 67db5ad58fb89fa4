# SPDX-License-Identifier: MIT
"""Retries that instances give each other, within the bound of all."""

from __future__ import annotations

import asyncio
import functools
import random
import time

import pytest

from hypothesis import given, settings
from hypothesis import strategies as st

from standstill import bytes_that_come
from test_instances import entry
from violethatch._peer_datagrams import RetryAskDatagram, RetryGiftDatagram
from violethatch._retry_link import RetryLink
from violethatch.event_loop import EventLoop
from violethatch.instances import InstanceDirectory
from violethatch.retries import RetryBudget
from violethatch.retry_shares import GIFT_LIFE_S, RetryShare
from violethatch.router_settings import RouterPolicySection


#: What a platform allows in each span of ten seconds, over all instances: so many
#: retries, and a part of the requests.
SLACK, RATIO, SPAN_S = 312.0, 0.2, 10.0
POLICY = RouterPolicySection()


def share(instances):
    """Return an instance's part of the retries."""
    return RetryShare(
        RetryBudget(
            ratio=RATIO * POLICY.retry_part,
            reserve=SLACK * POLICY.retry_slack_part / instances,
        )
    )


class TestShare:
    def test_gifts_are_used_first(self):
        """They last a short time; the own part stays."""
        one = share(64)
        one.add_grant(1.0, now_s=0.0)
        own = one.own_budget.balance
        assert one.withdraw(now_s=0.1)
        assert one.own_budget.balance == own

    def test_parts_of_gifts_add_up(self):
        """Where each has less than one retry, several make one."""
        one = share(350)
        assert not one.withdraw(now_s=0.0)
        for _ in range(3):
            one.add_grant(0.25, now_s=0.0)
        assert one.withdraw(now_s=0.1)
        assert not one.withdraw(now_s=0.1)

    def test_gifts_end(self):
        """What was given is not saved up beside what the giver earns anew."""
        one = share(64)
        one.own_budget.balance = 0.0
        one.add_grant(5.0, now_s=0.0)
        assert not one.withdraw(now_s=GIFT_LIFE_S)

    def test_given_is_taken_off(self):
        """Giving moves retries, and makes none."""
        one = share(64)
        before = one.own_budget.balance
        assert one.grant(8.0) == pytest.approx(before / 2)
        assert one.own_budget.balance == pytest.approx(before / 2)

    def test_gifts_are_not_passed_on(self):
        """They could go round, and never end."""
        one = share(64)
        one.own_budget.balance = 0.0
        one.add_grant(5.0, now_s=0.0)
        assert one.grant(8.0) == 0.0


class Fleet:
    """Instances with their parts; a model of what the link does between them."""

    def __init__(self, count, rng):
        self.shares = [share(count) for _ in range(count)]
        self.rng = rng
        self.requests = []
        self.retries = []
        self.restarted = set()

    def request(self, at_s, who):
        """Note a request of an instance."""
        self.requests.append(at_s)
        self.shares[who].own_budget.deposit()

    def retry(self, at_s, who, cut):
        """Try a retry; without one, ask others, of whose answers some are lost."""
        one = self.shares[who]
        if one.available(now_s=at_s) < 1.0 and who not in cut:
            for other in self.rng.sample(range(len(self.shares)), k=6):
                if other == who or other in cut:
                    continue
                given = self.shares[other].grant(8.0)
                if given and self.rng.random() < 0.9:
                    one.add_grant(given, now_s=at_s)
        if one.withdraw(now_s=at_s):
            self.retries.append(at_s)
            return True
        return False

    def restart(self, who):
        """Start an instance again with a new part, once in a span."""
        if who not in self.restarted:
            self.restarted.add(who)
            self.shares[who] = share(len(self.shares))

    def assert_bounded(self):
        """No span has more retries than its requests, or the span before, allow."""
        times = sorted(self.retries)
        for start_s in times:
            end_s = start_s + SPAN_S
            spent = sum(start_s <= one < end_s for one in times)
            now = sum(start_s <= one < end_s for one in self.requests)
            before = sum(start_s - SPAN_S <= one < start_s for one in self.requests)
            assert spent <= SLACK + RATIO * max(now, before)


class TestBound:
    @settings(max_examples=40, deadline=None)
    @given(
        st.sampled_from([6, 23, 64, 195, 350]),
        st.integers(0, 2**32),
        st.sampled_from([0, 20, 200, 1500]),
        st.booleans(),
    )
    def test_all_together_keep_the_platforms_bound(self, count, seed, rate, restarts):
        """However failures fall, who is cut off and who starts again."""
        rng = random.Random(seed)
        fleet = Fleet(count, rng)
        cut = set(rng.sample(range(count), k=rng.randrange(count)))
        few = rng.sample(range(count), k=rng.randint(1, count))
        for tick in range(120):
            at_s = tick / 10
            for _ in range(rate // 10):
                fleet.request(at_s, rng.randrange(count))
            for _ in range(rng.choice([0, 3, 60])):
                fleet.retry(at_s, rng.choice(few), cut)
            if restarts and 40 <= tick < 44:
                for who in range(count):
                    fleet.restart(who)
        fleet.assert_bounded()

    @pytest.mark.parametrize("count", [6, 64, 350])
    def test_few_instances_get_what_others_leave(self, count):
        """What fails at one instance may use far more than its part."""
        fleet = Fleet(count, random.Random(1))
        served = sum(fleet.retry(n / 100, 0, set()) for n in range(40))
        assert served >= 20
        alone = share(count)
        assert sum(alone.withdraw(now_s=0.0) for _ in range(40)) < served or count == 6


class Wire:
    """Carries datagrams between links in one process, all or those wanted."""

    def __init__(self, count):
        self.is_open = True
        self.entries = {
            f"i{n}": entry(f"i{n}")._replace(token=f"t{n}") for n in range(count)
        }
        self.takers = {}
        self.sent = []

    def end(self, name):
        """Return one instance's end."""
        wire = self

        class End:
            is_open = True
            directory = InstanceDirectory(wire.entries[name])

            def on(self, kind, take):
                wire.takers[name, kind] = take

            def send(self, peer, message):
                wire.sent.append((peer.id, message))

        End.directory.take(self.entries, is_whole=True)
        return End()

    def deliver(self, *, times=1):
        """Deliver what was sent, each so many times."""
        sent, self.sent = self.sent, []
        for name, message in sent:
            for _ in range(times):
                self.takers[name, type(message)](message)


class Account:
    """Gives and takes, and notes it."""

    def __init__(self, left=0.0):
        self.left = left
        self.taken = 0.0

    def grant_retries(self, _service, wanted):
        given = min(wanted, self.left / 2)
        self.left -= given
        return given

    def receive_retries(self, _service, amount):
        self.taken += amount


async def asked(wire, *, times=1):
    """Let one instance ask the others; return all accounts."""
    accounts = {name: Account(2.0) for name in wire.entries}
    links = {
        name: RetryLink(wire.end(name), account, rng=random.Random(7))
        for name, account in accounts.items()
    }
    asking = asyncio.create_task(links["i0"].request("model"))
    await asyncio.sleep(0)
    wire.deliver(times=times)
    wire.deliver(times=times)
    await asking
    return accounts


class TestLink:
    async def test_others_give(self):
        """Some are asked, and what they take off arrives."""
        accounts = await asked(Wire(20))
        gone = sum(2.0 - one.left for one in accounts.values())
        assert accounts["i0"].taken == pytest.approx(gone)
        assert gone == pytest.approx(6.0)

    async def test_doubled_datagrams_make_no_retries(self):
        """A gift counts once, however often it comes."""
        accounts = await asked(Wire(20), times=3)
        gone = sum(2.0 - one.left for one in accounts.values())
        assert accounts["i0"].taken <= gone

    async def test_next_question_goes_to_others(self):
        """Several streams that fail at once are not told that nothing is left."""
        wire = Wire(40)
        accounts = {name: Account(2.0) for name in wire.entries}
        links = {
            name: RetryLink(wire.end(name), account, rng=random.Random(7))
            for name, account in accounts.items()
        }
        for _ in range(3):
            asking = asyncio.create_task(links["i0"].request("model"))
            await asyncio.sleep(0)
            wire.deliver()
            wire.deliver()
            assert await asking
        assert accounts["i0"].taken > 12.0

    @pytest.mark.parametrize("loop_class", [EventLoop, asyncio.SelectorEventLoop])
    @pytest.mark.parametrize("hold_s", [0.06, 0.3])
    def test_gift_that_came_in_a_standstill_is_lost(self, loop_class, hold_s):
        """It waits in the socket, and a stream is cut for the want of a retry."""

        async def work():
            wire = Wire(3)
            account = Account()
            link = RetryLink(wire.end("i0"), account, rng=random.Random(7))
            asking = asyncio.create_task(link.request("model"))
            await asyncio.sleep(0.001)
            number = wire.sent[0][1].number
            gift = RetryGiftDatagram("t0", "i1", number, 3.0)
            take = functools.partial(wire.takers["i0", RetryGiftDatagram], gift)
            with bytes_that_come(take, for_s=hold_s):
                return await asking, account.taken

        with asyncio.Runner(loop_factory=loop_class) as runner:
            assert runner.run(work()) == (True, 3.0)

    async def test_own_standstill_is_taken_for_a_refusal(self):
        """Gifts that came meanwhile are too old; others are asked for new ones."""
        wire = Wire(20)
        links = {
            name: RetryLink(wire.end(name), Account(2.0), rng=random.Random(7))
            for name in wire.entries
        }
        asking = asyncio.create_task(links["i0"].request("model"))
        await asyncio.sleep(0)
        wire.sent.clear()
        time.sleep(0.6)
        async with asyncio.timeout(1):
            while not wire.sent:
                await asyncio.sleep(0.001)
        wire.deliver()
        wire.deliver()
        assert await asking

    async def test_late_gift_is_lost(self):
        """What comes after the wait was taken off and counts no more."""
        wire = Wire(3)
        account = Account()
        link = RetryLink(wire.end("i0"), account, rng=random.Random(7))
        await link.request("model")
        number = wire.sent[0][1].number
        await asyncio.sleep(0.01)
        wire.takers["i0", RetryGiftDatagram](RetryGiftDatagram("t0", "i1", number, 3.0))
        assert account.taken == 0.0

    async def test_nobody_to_ask(self):
        """An instance alone goes on at once."""
        wire = Wire(1)
        await RetryLink(wire.end("i0"), Account(), rng=random.Random(7)).request(
            "model"
        )
        assert wire.sent == []

    async def test_unknown_asker_costs_its_retries(self):
        """Who is not known here can't be answered."""
        wire = Wire(2)
        account = Account(2.0)
        RetryLink(wire.end("i1"), account, rng=random.Random(7))
        wire.takers["i1", RetryAskDatagram](
            RetryAskDatagram("t1", "stranger", 1, "model", 8.0)
        )
        assert wire.sent == []
