# SPDX-License-Identifier: MIT
"""Retries granted between instances, within the limit of their total."""

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
from violethatch.retry_shares import GRANT_TTL_S, RetryShare
from violethatch.router_settings import RouterPolicySection


#: Limit of the platform on the retries of all instances together, in any window of ten
#: seconds: a constant number plus a fraction of the requests.
SLACK, RATIO, WINDOW_S = 312.0, 0.2, 10.0
POLICY = RouterPolicySection()


def share(instances):
    """Return an instance's share of the retries."""
    return RetryShare(
        RetryBudget(
            ratio=RATIO * POLICY.retry_part,
            reserve=SLACK * POLICY.retry_slack_part / instances,
        )
    )


class TestShare:
    def test_grants_are_used_first(self):
        """Grants are spent before the own budget, as they expire soon."""
        instance_share = share(64)
        instance_share.add_grant(1.0, now_s=0.0)
        balance = instance_share.own_budget.balance
        assert instance_share.withdraw(now_s=0.1)
        assert instance_share.own_budget.balance == balance

    def test_fractional_grants_add_up(self):
        """Several grants of less than 1.0 add up to a retry."""
        instance_share = share(350)
        assert not instance_share.withdraw(now_s=0.0)
        for _ in range(3):
            instance_share.add_grant(0.25, now_s=0.0)
        assert instance_share.withdraw(now_s=0.1)
        assert not instance_share.withdraw(now_s=0.1)

    def test_grants_expire(self):
        """Expired grants can't be used in addition to what the granter earns."""
        instance_share = share(64)
        instance_share.own_budget.balance = 0.0
        instance_share.add_grant(5.0, now_s=0.0)
        assert not instance_share.withdraw(now_s=GRANT_TTL_S)

    def test_grant_is_withdrawn(self):
        """A grant is withdrawn from the granting instance's balance."""
        instance_share = share(64)
        before = instance_share.own_budget.balance
        assert instance_share.grant(8.0) == pytest.approx(before / 2)
        assert instance_share.own_budget.balance == pytest.approx(before / 2)

    def test_received_grants_are_not_granted(self):
        """Received grants can't be granted again and so circulate."""
        instance_share = share(64)
        instance_share.own_budget.balance = 0.0
        instance_share.add_grant(5.0, now_s=0.0)
        assert instance_share.grant(8.0) == 0.0


class Fleet:
    """A model of instances, their retry shares and the link between them."""

    def __init__(self, count, rng):
        self.shares = [share(count) for _ in range(count)]
        self.rng = rng
        self.requests = []
        self.retries = []
        self.restarted = set()

    def request(self, at_s, index):
        """Record a request at an instance."""
        self.requests.append(at_s)
        self.shares[index].own_budget.deposit()

    def retry(self, at_s, index, partitioned):
        """Attempt a retry; without budget, request grants, of which some are lost."""
        own = self.shares[index]
        if own.available(now_s=at_s) < 1.0 and index not in partitioned:
            for other in self.rng.sample(range(len(self.shares)), k=6):
                if other == index or other in partitioned:
                    continue
                granted = self.shares[other].grant(8.0)
                if granted and self.rng.random() < 0.9:
                    own.add_grant(granted, now_s=at_s)
        if own.withdraw(now_s=at_s):
            self.retries.append(at_s)
            return True
        return False

    def restart(self, index):
        """Restart an instance with a new share, at most once per window."""
        if index not in self.restarted:
            self.restarted.add(index)
            self.shares[index] = share(len(self.shares))

    def assert_bounded(self):
        """Check that no window exceeds the limit by its, or the previous, requests."""
        times = sorted(self.retries)
        for start_s in times:
            end_s = start_s + WINDOW_S
            spent = sum(start_s <= at_s < end_s for at_s in times)
            current = sum(start_s <= at_s < end_s for at_s in self.requests)
            previous = sum(
                start_s - WINDOW_S <= at_s < start_s for at_s in self.requests
            )
            assert spent <= SLACK + RATIO * max(current, previous)


class TestBound:
    @settings(max_examples=40, deadline=None)
    @given(
        st.sampled_from([6, 23, 64, 195, 350]),
        st.integers(0, 2**32),
        st.sampled_from([0, 20, 200, 1500]),
        st.booleans(),
    )
    def test_total_is_within_the_platform_limit(self, count, seed, rate, restarts):
        """For any distribution of failures, partitions and restarts."""
        rng = random.Random(seed)
        fleet = Fleet(count, rng)
        partitioned = set(rng.sample(range(count), k=rng.randrange(count)))
        failing = rng.sample(range(count), k=rng.randint(1, count))
        for tick in range(120):
            at_s = tick / 10
            for _ in range(rate // 10):
                fleet.request(at_s, rng.randrange(count))
            for _ in range(rng.choice([0, 3, 60])):
                fleet.retry(at_s, rng.choice(failing), partitioned)
            if restarts and 40 <= tick < 44:
                for index in range(count):
                    fleet.restart(index)
        fleet.assert_bounded()

    @pytest.mark.parametrize("count", [6, 64, 350])
    def test_failing_instance_gets_unused_retries(self, count):
        """A single failing instance may use far more than its own share."""
        fleet = Fleet(count, random.Random(1))
        served = sum(fleet.retry(n / 100, 0, set()) for n in range(40))
        assert served >= 20
        isolated = share(count)
        assert (
            sum(isolated.withdraw(now_s=0.0) for _ in range(40)) < served or count == 6
        )


class Wire:
    """Carries datagrams between links within the process."""

    def __init__(self, count):
        self.is_open = True
        self.entries = {
            f"i{n}": entry(f"i{n}")._replace(token=f"t{n}") for n in range(count)
        }
        self.handlers = {}
        self.sent = []

    def endpoint(self, name):
        """Return an instance's endpoint."""
        wire = self

        class Endpoint:
            is_open = True
            directory = InstanceDirectory(wire.entries[name])

            def on(self, kind, handler):
                wire.handlers[name, kind] = handler

            def send(self, peer, message):
                wire.sent.append((peer.id, message))

        Endpoint.directory.take(self.entries, is_whole=True)
        return Endpoint()

    def deliver(self, *, times=1):
        """Deliver each sent datagram *times* times."""
        sent, self.sent = self.sent, []
        for name, message in sent:
            for _ in range(times):
                self.handlers[name, type(message)](message)


class Account:
    """Grants and receives retries, and records the amounts."""

    def __init__(self, balance=0.0):
        self.balance = balance
        self.received = 0.0

    def grant_retries(self, _service, requested):
        granted = min(requested, self.balance / 2)
        self.balance -= granted
        return granted

    def receive_retries(self, _service, amount):
        self.received += amount


async def request_retries(wire, *, times=1):
    """Request retries for instance i0; return the accounts by instance."""
    accounts = {name: Account(2.0) for name in wire.entries}
    links = {
        name: RetryLink(wire.endpoint(name), account, rng=random.Random(7))
        for name, account in accounts.items()
    }
    task = asyncio.create_task(links["i0"].request("model"))
    await asyncio.sleep(0)
    wire.deliver(times=times)
    wire.deliver(times=times)
    await task
    return accounts


class TestLink:
    async def test_peers_grant_retries(self):
        """The received amount equals what the peers have withdrawn."""
        accounts = await request_retries(Wire(20))
        granted = sum(2.0 - account.balance for account in accounts.values())
        assert accounts["i0"].received == pytest.approx(granted)
        assert granted == pytest.approx(6.0)

    async def test_duplicate_grants_are_ignored(self):
        """A duplicated grant is added once."""
        accounts = await request_retries(Wire(20), times=3)
        granted = sum(2.0 - account.balance for account in accounts.values())
        assert accounts["i0"].received <= granted

    async def test_next_request_goes_to_other_peers(self):
        """Consecutive requests go to different peers.

        Otherwise several streams that fail at once get too few retries.
        """
        wire = Wire(40)
        accounts = {name: Account(2.0) for name in wire.entries}
        links = {
            name: RetryLink(wire.endpoint(name), account, rng=random.Random(7))
            for name, account in accounts.items()
        }
        for _ in range(3):
            task = asyncio.create_task(links["i0"].request("model"))
            await asyncio.sleep(0)
            wire.deliver()
            wire.deliver()
            assert await task
        assert accounts["i0"].received > 12.0

    @pytest.mark.parametrize("loop_class", [EventLoop, asyncio.SelectorEventLoop])
    @pytest.mark.parametrize("hold_s", [0.06, 0.3])
    def test_grant_during_a_stall_is_received(self, loop_class, hold_s):
        """A grant received during a stall is read before the request times out.

        Otherwise a stream is aborted for lack of a retry.
        """

        async def scenario():
            wire = Wire(3)
            account = Account()
            link = RetryLink(wire.endpoint("i0"), account, rng=random.Random(7))
            task = asyncio.create_task(link.request("model"))
            await asyncio.sleep(0.001)
            number = wire.sent[0][1].number
            grant = RetryGiftDatagram("t0", "i1", number, 3.0)
            handle = functools.partial(wire.handlers["i0", RetryGiftDatagram], grant)
            with bytes_that_come(handle, for_s=hold_s):
                return await task, account.received

        with asyncio.Runner(loop_factory=loop_class) as runner:
            assert runner.run(scenario()) == (True, 3.0)

    async def test_request_is_repeated_after_a_stall(self):
        """A request is repeated after a stall, as earlier grants may be too old."""
        wire = Wire(20)
        links = {
            name: RetryLink(wire.endpoint(name), Account(2.0), rng=random.Random(7))
            for name in wire.entries
        }
        task = asyncio.create_task(links["i0"].request("model"))
        await asyncio.sleep(0)
        wire.sent.clear()
        time.sleep(0.6)
        async with asyncio.timeout(1):
            while not wire.sent:
                await asyncio.sleep(0.001)
        wire.deliver()
        wire.deliver()
        assert await task

    async def test_late_grant_is_ignored(self):
        """A grant that arrives after the timeout is ignored."""
        wire = Wire(3)
        account = Account()
        link = RetryLink(wire.endpoint("i0"), account, rng=random.Random(7))
        await link.request("model")
        number = wire.sent[0][1].number
        await asyncio.sleep(0.01)
        wire.handlers["i0", RetryGiftDatagram](
            RetryGiftDatagram("t0", "i1", number, 3.0)
        )
        assert account.received == 0.0

    async def test_no_peers(self):
        """A single instance does not wait."""
        wire = Wire(1)
        await RetryLink(wire.endpoint("i0"), Account(), rng=random.Random(7)).request(
            "model"
        )
        assert wire.sent == []

    async def test_unknown_sender(self):
        """A request from an unknown instance gets no response."""
        wire = Wire(2)
        account = Account(2.0)
        RetryLink(wire.endpoint("i1"), account, rng=random.Random(7))
        wire.handlers["i1", RetryAskDatagram](
            RetryAskDatagram("t1", "stranger", 1, "model", 8.0)
        )
        assert wire.sent == []
