# SPDX-License-Identifier: MIT
"""Reservations that two instances keep, and the retries that claim them."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

import virtual_time

from mortal_fleet import Network, instance_entries
from own_ports import free_ports
from violethatch import _reservation_link, clocks
from violethatch._peer_datagrams import (
    ClaimDatagram,
    ClaimedDatagram,
    PeerDatagrams,
    ReservedDatagram,
)
from violethatch._reservation_link import ReservationLink
from violethatch.instances import InstanceDirectory
from violethatch.start_reservations import ClaimOutcome


WORK = "0" * 31 + "1"
#: How long a claim takes at the most, in seconds.
ANSWER_S = 0.03
DUE, EARLY, UNKNOWN = ClaimOutcome.DUE, ClaimOutcome.EARLY, ClaimOutcome.UNKNOWN


def work(number):
    """Return the id of one of many works."""
    return f"{number:032x}"


class Zones:
    """Instances of three zones, joined by datagrams.

    Args:
        count: How many there are.
        lost_part: Which part of the datagrams is lost, and which comes twice.
    """

    def __init__(self, count, *, lost_part=0.0, seed=1):
        rng = random.Random(seed)
        self.network = Network(rng, lost_part=lost_part)
        entries = {
            one.id: one._replace(availability_zone=f"z{number % 3}")
            for number, one in enumerate(instance_entries(count).values())
        }
        self.datagrams = {
            one.id: self.network.join(one, entries) for one in entries.values()
        }
        self.links = {
            one: ReservationLink(datagrams, rng=rng)
            for one, datagrams in self.datagrams.items()
        }
        self.own = entries
        self.zone = [one for one in entries if int(one[1:]) % 3 == 0]

    def keepers(self, of=WORK):
        """Return the ids of a work's keepers in the first zone."""
        return [one.id for one in self.links[self.zone[0]]._keepers(of)]

    def rest(self, of=WORK):
        """Return the others of that zone."""
        keepers = self.keepers(of)
        return [one for one in self.zone if one not in keepers]

    def refuse(self, at, of=WORK):
        """Let an instance refuse a work; return the time told, from now."""
        slot = self.links[at].schedule_retry(
            "chat", of, 0, starts_per_s=40.0, max_delay_s=3.0
        )
        assert slot.is_reserved
        return slot.at_s - clocks.now_s()

    async def refuse_and_wait(self, at, of=WORK):
        """The same, until the retry."""
        await asyncio.sleep(self.refuse(at, of))

    def cut(self, *ids):
        """Let nothing come from some instances any more, nor to them."""
        for one in ids:
            self.datagrams[one]._transport.is_cut = True
            host, port = self.own[one].address.split(":")
            self.network.receivers.pop((host, int(port)), None)

    def send(self, sender, to, message):
        """Send what an instance would not."""
        self.datagrams[sender].send(self.own[to], message)


@pytest.fixture
def play(monkeypatch):
    """Provide a way to run a coroutine function in virtual time."""
    return lambda part: virtual_time.run(part, monkeypatch)


class TestKeepers:
    @pytest.mark.parametrize("count", [8, 72, 350])
    def test_retry_at_any_instance_of_the_zone(self, count, play):
        """Whoever refused, whoever is asked: early, due once, then used up."""

        async def part():
            zones = Zones(count)
            rng = random.Random(count)
            for number in range(50):
                of = work(number)
                left_s = zones.refuse(rng.choice(zones.zone), of)
                await asyncio.sleep(0.05)
                claims = [
                    await zones.links[rng.choice(zones.zone)].claim(of)
                    for _ in range(2)
                ]
                assert [one.outcome for one in claims] == [EARLY, EARLY]
                assert claims[0].left_s == pytest.approx(left_s - 0.05, abs=0.01)
                await asyncio.sleep(left_s - 0.05)
                for outcome in (DUE, UNKNOWN):
                    claim = await zones.links[rng.choice(zones.zone)].claim(of)
                    assert claim.outcome is outcome
                    await asyncio.sleep(0.005)
            assert not any(one._asked for one in zones.links.values())

        play(part)

    def test_two_keep_it(self, play):
        """They are of the own zone; metrics count what is made and kept."""

        async def part():
            zones = Zones(9)
            zones.refuse(zones.zone[0])
            await asyncio.sleep(0.01)
            kept = {one for one, link in zones.links.items() if link.kept()}
            assert kept == set(zones.keepers())
            assert kept <= set(zones.zone)
            assert zones.links[zones.zone[0]].reserved("chat") == 1
            assert zones.links[zones.zone[0]].reserved("other") == 0

        play(part)

    @pytest.mark.parametrize("is_open", [True, False])
    def test_alone(self, is_open, play):
        """Without peers an instance keeps and claims by itself, and sends nothing."""

        async def part():
            zones = Zones(1)
            if not is_open:
                zones.datagrams["i0"].connection_lost(None)
            left_s = zones.refuse("i0")
            link = zones.links["i0"]
            assert (await link.claim(WORK)).outcome is EARLY
            await asyncio.sleep(left_s)
            assert (await link.claim(WORK)).outcome is DUE
            assert (await link.claim(WORK)).outcome is UNKNOWN
            assert zones.network.sent == 0

        play(part)

    def test_nothing_is_kept_that_is_not_reserved(self, play):
        """A told time without a start is not sent around."""

        async def part():
            zones = Zones(9)
            link = zones.links["i0"]
            slot = link.schedule_retry(
                "chat", WORK, 0, starts_per_s=0.0, max_delay_s=3.0
            )
            assert not slot.is_reserved
            assert zones.network.sent == 0

        play(part)


class TestFailures:
    @pytest.mark.parametrize("number", [0, 1])
    def test_keeper_is_killed(self, number, play):
        """The other one answers; the retry waits no longer than for answers."""

        async def part():
            zones = Zones(24)
            await zones.refuse_and_wait(zones.rest()[0])
            zones.cut(zones.keepers()[number])
            began_s = clocks.now_s()
            claim = await zones.links[zones.rest()[1]].claim(WORK)
            assert claim.outcome is DUE
            assert clocks.now_s() - began_s <= ANSWER_S + 1e-6

        play(part)

    def test_early_answer_of_one_keeper(self, play):
        """It counts where the other is silent, after the time for answers."""

        async def part():
            zones = Zones(24)
            zones.refuse(zones.rest()[0])
            await asyncio.sleep(0.01)
            zones.cut(zones.keepers()[0])
            claim = await zones.links[zones.rest()[1]].claim(WORK)
            assert claim.outcome is EARLY
            assert claim.left_s > 0.0

        play(part)

    def test_keeper_is_paused(self, play):
        """It answers seconds later: nobody waits, and nothing starts twice."""

        async def part():
            zones = Zones(24)
            await zones.refuse_and_wait(zones.rest()[0])
            paused = zones.datagrams[zones.keepers()[0]]
            late = []
            receive = paused.datagram_received
            paused.datagram_received = lambda data, to: late.append((data, to))
            link = zones.links[zones.rest()[1]]
            assert (await link.claim(WORK)).outcome is DUE
            await asyncio.sleep(1.0)
            paused.datagram_received = receive
            for data, to in late:
                receive(data, to)
            await asyncio.sleep(0.1)
            assert late
            assert link._asked == {}
            assert (await link.claim(WORK)).outcome is UNKNOWN

        play(part)

    def test_both_keepers_are_gone(self, play):
        """The retry is a new request, after the time for answers."""

        async def part():
            zones = Zones(24)
            await zones.refuse_and_wait(zones.rest()[0])
            zones.cut(*zones.keepers())
            began_s = clocks.now_s()
            claim = await zones.links[zones.rest()[1]].claim(WORK)
            assert claim.outcome is UNKNOWN
            assert clocks.now_s() - began_s <= ANSWER_S + 1e-6

        play(part)

    def test_refusing_instance_is_gone(self, play):
        """What it has reserved remains valid."""

        async def part():
            zones = Zones(24)
            gone = zones.rest()[0]
            left_s = zones.refuse(gone)
            await asyncio.sleep(0.01)
            zones.cut(gone)
            await asyncio.sleep(left_s)
            claim = await zones.links[zones.rest()[1]].claim(WORK)
            assert claim.outcome is DUE

        play(part)

    def test_zone_is_cut_off(self, play):
        """Nothing of another zone is needed."""

        async def part():
            zones = Zones(24)
            zones.cut(*(one for one in zones.own if one not in zones.zone))
            await zones.refuse_and_wait(zones.rest()[0])
            claim = await zones.links[zones.rest()[1]].claim(WORK)
            assert claim.outcome is DUE

        play(part)

    @pytest.mark.parametrize("seed", range(5))
    def test_lost_and_doubled_datagrams(self, seed, play):
        """One in ten is lost, one in ten comes twice: few lose their start."""

        async def part():
            zones = Zones(72, lost_part=0.1, seed=seed)
            rng = random.Random(seed)
            counts = []
            for number in range(200):
                of = work(number)
                await zones.refuse_and_wait(rng.choice(zones.zone), of)
                claims = [
                    await zones.links[rng.choice(zones.zone)].claim(of)
                    for _ in range(4)
                ]
                counts.append(sum(one.outcome is DUE for one in claims))
                await asyncio.sleep(0.05)
            # Lost at both keepers: at most (1 - 0.9 ** 3) ** 2 of the first claims.
            assert sum(not one for one in counts) <= 0.08 * len(counts)
            assert max(counts) <= 2
            assert sum(one == 2 for one in counts) <= 0.4 * len(counts)

        play(part)

    def test_doubled_datagrams_of_a_claim(self, play):
        """The copy of a claim doesn't answer that the reservation is unknown."""

        async def part():
            zones = Zones(72)
            zones.network.rng = random.Random(1)
            for number in range(50):
                of = work(number)
                await zones.refuse_and_wait(zones.rest(of)[0], of)
                asker = zones.datagrams[zones.rest(of)[1]]
                send = asker.send
                asker.send = lambda *told, send=send: (send(*told), send(*told))
                claim = await zones.links[zones.rest(of)[1]].claim(of)
                asker.send = send
                assert claim.outcome is DUE

        play(part)

    @pytest.mark.parametrize("seed", range(20))
    def test_claims_at_the_same_moment(self, seed, play):
        """However they reach the keepers, at least one starts and at most two do."""

        async def part():
            zones = Zones(72, seed=seed)
            await zones.refuse_and_wait(zones.rest()[0])
            claims = await asyncio.gather(
                *(zones.links[one].claim(WORK) for one in zones.zone)
            )
            assert 1 <= sum(one.outcome is DUE for one in claims) <= 2

        play(part)


class TestBounds:
    def test_claims_in_flight(self, play):
        """Further ones are unknown at once; later ones are asked again."""

        async def part():
            zones = Zones(24)
            of = next(
                work(n) for n in range(99) if zones.zone[0] in zones.rest(work(n))
            )
            zones.cut(*zones.keepers(of))
            link = zones.links[zones.zone[0]]
            most = _reservation_link._MOST_ASKED
            claims = [asyncio.ensure_future(link.claim(of)) for _ in range(2 * most)]
            await asyncio.sleep(0.01)
            assert len(link._asked) == most
            assert sum(one.done() for one in claims) == most
            await asyncio.gather(*claims)
            assert link._asked == {}

        play(part)

    def test_answers_are_forgotten(self, play):
        """Questions without number fill no memory."""

        async def part():
            zones = Zones(24)
            one, other = zones.zone[:2]
            for number in range(3 * _reservation_link._MOST_ANSWERS):
                token = zones.own[other].token
                zones.send(one, other, ClaimDatagram(token, one, number, WORK))
            await asyncio.sleep(0.1)
            link = zones.links[other]
            assert len(link._answers) == _reservation_link._MOST_ANSWERS

        play(part)

    def test_caller_that_has_gone(self, play):
        """A claim that is cancelled leaves nothing behind."""

        async def part():
            zones = Zones(24)
            link = zones.links[zones.rest()[0]]
            claim = asyncio.ensure_future(link.claim(WORK))
            await asyncio.sleep(0.0)
            assert link._asked
            claim.cancel()
            await asyncio.sleep(0.05)
            assert link._asked == {}

        play(part)


class TestForeign:
    @pytest.mark.parametrize("token", ["", "t1", "other"])
    def test_wrong_token(self, token, play):
        """Who has not read the entry neither reserves nor uses reservations up."""

        async def part():
            zones = Zones(24)
            asker, keeper = zones.rest()[0], zones.keepers()[0]
            zones.send(asker, keeper, ReservedDatagram(token, asker, work(7), 100))
            zones.refuse(asker)
            await asyncio.sleep(0.01)
            assert zones.links[keeper].kept() == 1
            await asyncio.sleep(3.0)
            zones.send(asker, keeper, ClaimDatagram(token, asker, 1, WORK))
            await asyncio.sleep(0.01)
            assert zones.links[keeper]._answers == {}

        play(part)

    def test_answer_of_who_was_not_asked(self, play):
        """It starts nothing."""

        async def part():
            zones = Zones(24)
            asker, liar = zones.rest()[:2]
            zones.cut(*zones.keepers())
            link = zones.links[asker]
            claim = asyncio.ensure_future(link.claim(WORK))
            await asyncio.sleep(0.0)
            (number,) = link._asked
            token = zones.own[asker].token
            zones.send(liar, asker, ClaimedDatagram(token, liar, number, DUE, 0))
            assert (await claim).outcome is UNKNOWN

        play(part)

    def test_claim_of_another_zone(self, play):
        """Whoever is not of the zone uses nothing up."""

        async def part():
            zones = Zones(24)
            keeper = zones.keepers()[0]
            await zones.refuse_and_wait(zones.rest()[0])
            token = zones.own[keeper].token
            zones.send("i1", keeper, ClaimDatagram(token, "i1", 1, WORK))
            await asyncio.sleep(0.01)
            assert zones.links[keeper].kept() == 1

        play(part)

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"noise",
            b"\x93\xa1v\xa2t0\xa2i3",
            *(
                msgspec.msgpack.encode(one)
                for one in (
                    ["v", "t0", "i3", "x" * 32, 100],
                    ["v", "t0", "i3", "A" * 32, 100],
                    ["v", "t0", "i3", "0" * 33, 100],
                    ["v", "t0", "i3", "0" * 9_000, 100],
                    ["v", "t0", "i3", WORK, -1],
                    ["v", "t0", "i3", WORK, 9_001],
                    ["v", "t0", "i3", WORK, 1.5],
                    ["v", "t0", "i3", WORK, float("nan")],
                    ["q", "t0", "i3", -1, WORK],
                    ["q", "t0", "i3", 2**31, WORK],
                    ["q", "t0", "i3", 1, ""],
                    ["a", "t0", "i3", 1, "whole", 0],
                    ["a", "t0", "i3", 1, "due", 2**40],
                )
            ),
        ],
    )
    def test_foreign_bytes(self, data, play):
        """They are refused, and the next datagram is taken."""

        async def part():
            zones = Zones(9)
            link = zones.links["i0"]
            zones.datagrams["i0"].datagram_received(data, None)
            assert link.kept() == 0
            assert link._answers == {}
            zones.send("i3", "i0", ReservedDatagram("t0", "i3", WORK, 100))
            await asyncio.sleep(0.01)
            assert link.kept() == 1

        play(part)


class TestSockets:
    async def test_over_loopback(self, monkeypatch):
        """Real datagrams: early, then due where a keeper is dead, then used up.

        The time for answers is tested in virtual time; here the machine may be busy.
        """
        monkeypatch.setattr(_reservation_link, "_ANSWER_S", 1.0)
        entries = {
            f"i{n}": one._replace(address=f"127.0.0.1:{port}")
            for (n, port), one in zip(
                enumerate(free_ports(4)), instance_entries(4).values(), strict=True
            )
        }
        links, sockets = {}, {}
        for own in entries.values():
            directory = InstanceDirectory(own)
            directory.take(entries, is_whole=True)
            sockets[own.id] = PeerDatagrams(directory)
            await sockets[own.id].start(own.address)
            links[own.id] = ReservationLink(sockets[own.id], rng=random.Random(own.id))
        keepers = [one.id for one in links["i0"]._keepers(WORK)]
        first, second = (one for one in links if one not in keepers)
        slot = links[first].schedule_retry(
            "chat", WORK, 0, starts_per_s=40.0, max_delay_s=3.0
        )
        async with asyncio.timeout(5):
            while not all(links[one].kept() for one in keepers):
                await asyncio.sleep(0.005)
        assert (await links[second].claim(WORK)).outcome is EARLY
        sockets[keepers[0]]._transport.close()
        await asyncio.sleep(clocks.left_s(slot.at_s))
        assert (await links[second].claim(WORK)).outcome is DUE
        assert (await links[second].claim(WORK)).outcome is UNKNOWN
        for one in sockets.values():
            if one.is_open:
                one._transport.close()
