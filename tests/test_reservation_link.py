# SPDX-License-Identifier: MIT
"""Replicated reservations of starts, and the retries that claim them."""

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
#: The maximum duration of a claim, in seconds.
CLAIM_TIMEOUT_S = 0.03
DUE, EARLY, UNKNOWN = ClaimOutcome.DUE, ClaimOutcome.EARLY, ClaimOutcome.UNKNOWN


def work_id(number):
    """Return the work id with a number."""
    return f"{number:032x}"


class Zones:
    """Instances of three zones, connected by datagrams.

    Args:
        count: The number of instances.
        lost_part: The fraction of datagrams lost, and the fraction duplicated.
    """

    def __init__(self, count, *, lost_part=0.0, seed=1):
        rng = random.Random(seed)
        self.network = Network(rng, lost_part=lost_part)
        entries = {
            entry.id: entry._replace(availability_zone=f"z{number % 3}")
            for number, entry in enumerate(instance_entries(count).values())
        }
        self.datagrams = {
            entry.id: self.network.join(entry, entries) for entry in entries.values()
        }
        self.links = {
            id_: ReservationLink(datagrams, rng=rng)
            for id_, datagrams in self.datagrams.items()
        }
        self.entries = entries
        self.zone = [id_ for id_ in entries if int(id_[1:]) % 3 == 0]

    def replicas(self, work=WORK):
        """Return the ids of the replicas of a reservation in the first zone."""
        return [entry.id for entry in self.links[self.zone[0]]._replicas(work)]

    def non_replicas(self, work=WORK):
        """Return the ids of the other instances of that zone."""
        replicas = self.replicas(work)
        return [id_ for id_ in self.zone if id_ not in replicas]

    def reject(self, at, work=WORK):
        """Reject a work at an instance; return the retry delay in seconds."""
        slot = self.links[at].schedule_retry(
            "chat", work, 0, starts_per_s=40.0, max_delay_s=3.0
        )
        assert slot.is_reserved
        return slot.at_s - clocks.now_s()

    async def reject_and_wait(self, at, work=WORK):
        """Reject a work at an instance, and wait until its retry time."""
        await asyncio.sleep(self.reject(at, work))

    def disconnect(self, *ids):
        """Disconnect instances from the network in both directions."""
        for id_ in ids:
            self.datagrams[id_]._transport.is_cut = True
            host, port = self.entries[id_].address.split(":")
            self.network.receivers.pop((host, int(port)), None)

    def send(self, sender, to, message):
        """Send a message that an instance itself would not send."""
        self.datagrams[sender].send(self.entries[to], message)


@pytest.fixture
def run(monkeypatch):
    """Return a function that runs a coroutine function in virtual time."""
    return lambda scenario: virtual_time.run(scenario, monkeypatch)


class TestReplicas:
    @pytest.mark.parametrize("count", [8, 72, 350])
    def test_retry_at_any_instance_of_the_zone(self, count, run):
        """For any instances: claims are early, then due once, then unknown."""

        async def scenario():
            zones = Zones(count)
            rng = random.Random(count)
            for number in range(50):
                work = work_id(number)
                left_s = zones.reject(rng.choice(zones.zone), work)
                await asyncio.sleep(0.05)
                claims = [
                    await zones.links[rng.choice(zones.zone)].claim(work)
                    for _ in range(2)
                ]
                assert [claim.outcome for claim in claims] == [EARLY, EARLY]
                assert claims[0].left_s == pytest.approx(left_s - 0.05, abs=0.01)
                await asyncio.sleep(left_s - 0.05)
                for outcome in (DUE, UNKNOWN):
                    claim = await zones.links[rng.choice(zones.zone)].claim(work)
                    assert claim.outcome is outcome
                    await asyncio.sleep(0.005)
            assert not any(link._pending for link in zones.links.values())

        run(scenario)

    def test_two_replicas(self, run):
        """Replicas are in the own zone; metrics count own and stored reservations."""

        async def scenario():
            zones = Zones(9)
            zones.reject(zones.zone[0])
            await asyncio.sleep(0.01)
            holders = {id_ for id_, link in zones.links.items() if link.kept()}
            assert holders == set(zones.replicas())
            assert holders <= set(zones.zone)
            assert zones.links[zones.zone[0]].reserved("chat") == 1
            assert zones.links[zones.zone[0]].reserved("other") == 0

        run(scenario)

    @pytest.mark.parametrize("is_open", [True, False])
    def test_single_instance(self, is_open, run):
        """An instance without peers stores and claims locally, and sends nothing."""

        async def scenario():
            zones = Zones(1)
            if not is_open:
                zones.datagrams["i0"].connection_lost(None)
            left_s = zones.reject("i0")
            link = zones.links["i0"]
            assert (await link.claim(WORK)).outcome is EARLY
            await asyncio.sleep(left_s)
            assert (await link.claim(WORK)).outcome is DUE
            assert (await link.claim(WORK)).outcome is UNKNOWN
            assert zones.network.sent == 0

        run(scenario)

    def test_retry_time_without_reservation(self, run):
        """A retry time without a reserved start is not replicated."""

        async def scenario():
            zones = Zones(9)
            link = zones.links["i0"]
            slot = link.schedule_retry(
                "chat", WORK, 0, starts_per_s=0.0, max_delay_s=3.0
            )
            assert not slot.is_reserved
            assert zones.network.sent == 0

        run(scenario)


class TestFailures:
    @pytest.mark.parametrize("number", [0, 1])
    def test_killed_replica(self, number, run):
        """The other replica responds within the timeout of the claim."""

        async def scenario():
            zones = Zones(24)
            await zones.reject_and_wait(zones.non_replicas()[0])
            zones.disconnect(zones.replicas()[number])
            started_s = clocks.now_s()
            claim = await zones.links[zones.non_replicas()[1]].claim(WORK)
            assert claim.outcome is DUE
            assert clocks.now_s() - started_s <= CLAIM_TIMEOUT_S + 1e-6

        run(scenario)

    def test_early_result_of_single_replica(self, run):
        """An early result is returned after the timeout if the other has none."""

        async def scenario():
            zones = Zones(24)
            zones.reject(zones.non_replicas()[0])
            await asyncio.sleep(0.01)
            zones.disconnect(zones.replicas()[0])
            claim = await zones.links[zones.non_replicas()[1]].claim(WORK)
            assert claim.outcome is EARLY
            assert claim.left_s > 0.0

        run(scenario)

    def test_paused_replica(self, run):
        """A response that is seconds late does not delay a retry or start it twice."""

        async def scenario():
            zones = Zones(24)
            await zones.reject_and_wait(zones.non_replicas()[0])
            paused = zones.datagrams[zones.replicas()[0]]
            late = []
            receive = paused.datagram_received
            paused.datagram_received = lambda data, to: late.append((data, to))
            link = zones.links[zones.non_replicas()[1]]
            assert (await link.claim(WORK)).outcome is DUE
            await asyncio.sleep(1.0)
            paused.datagram_received = receive
            for data, to in late:
                receive(data, to)
            await asyncio.sleep(0.1)
            assert late
            assert link._pending == {}
            assert (await link.claim(WORK)).outcome is UNKNOWN

        run(scenario)

    def test_both_replicas_unavailable(self, run):
        """The retry counts as a new request after the timeout."""

        async def scenario():
            zones = Zones(24)
            await zones.reject_and_wait(zones.non_replicas()[0])
            zones.disconnect(*zones.replicas())
            started_s = clocks.now_s()
            claim = await zones.links[zones.non_replicas()[1]].claim(WORK)
            assert claim.outcome is UNKNOWN
            assert clocks.now_s() - started_s <= CLAIM_TIMEOUT_S + 1e-6

        run(scenario)

    def test_rejecting_instance_unavailable(self, run):
        """Its reservations remain valid."""

        async def scenario():
            zones = Zones(24)
            rejecting = zones.non_replicas()[0]
            left_s = zones.reject(rejecting)
            await asyncio.sleep(0.01)
            zones.disconnect(rejecting)
            await asyncio.sleep(left_s)
            claim = await zones.links[zones.non_replicas()[1]].claim(WORK)
            assert claim.outcome is DUE

        run(scenario)

    def test_isolated_zone(self, run):
        """Other zones are not needed."""

        async def scenario():
            zones = Zones(24)
            zones.disconnect(*(id_ for id_ in zones.entries if id_ not in zones.zone))
            await zones.reject_and_wait(zones.non_replicas()[0])
            claim = await zones.links[zones.non_replicas()[1]].claim(WORK)
            assert claim.outcome is DUE

        run(scenario)

    @pytest.mark.parametrize("seed", range(5))
    def test_lost_and_duplicate_datagrams(self, seed, run):
        """With a tenth lost and a tenth duplicated, few retries lose their start."""

        async def scenario():
            zones = Zones(72, lost_part=0.1, seed=seed)
            rng = random.Random(seed)
            counts = []
            for number in range(200):
                work = work_id(number)
                await zones.reject_and_wait(rng.choice(zones.zone), work)
                claims = [
                    await zones.links[rng.choice(zones.zone)].claim(work)
                    for _ in range(4)
                ]
                counts.append(sum(claim.outcome is DUE for claim in claims))
                await asyncio.sleep(0.05)
            # Lost at both replicas: at most (1 - 0.9 ** 3) ** 2 of the first claims.
            assert sum(not count for count in counts) <= 0.08 * len(counts)
            assert max(counts) <= 2
            assert sum(count == 2 for count in counts) <= 0.4 * len(counts)

        run(scenario)

    def test_duplicate_datagrams_of_claim(self, run):
        """A duplicate of a claim does not get an unknown result."""

        async def scenario():
            zones = Zones(72)
            zones.network.rng = random.Random(1)
            for number in range(50):
                work = work_id(number)
                await zones.reject_and_wait(zones.non_replicas(work)[0], work)
                claimant = zones.datagrams[zones.non_replicas(work)[1]]
                send = claimant.send
                claimant.send = lambda *args, send=send: (send(*args), send(*args))
                claim = await zones.links[zones.non_replicas(work)[1]].claim(work)
                claimant.send = send
                assert claim.outcome is DUE

        run(scenario)

    @pytest.mark.parametrize("seed", range(20))
    def test_simultaneous_claims(self, seed, run):
        """In any order of arrival, at least one claim and at most two are due."""

        async def scenario():
            zones = Zones(72, seed=seed)
            await zones.reject_and_wait(zones.non_replicas()[0])
            claims = await asyncio.gather(
                *(zones.links[id_].claim(WORK) for id_ in zones.zone)
            )
            assert 1 <= sum(claim.outcome is DUE for claim in claims) <= 2

        run(scenario)


class TestBounds:
    def test_claims_in_flight(self, run):
        """Claims above the limit are unknown immediately; later claims are sent."""

        async def scenario():
            zones = Zones(24)
            work = next(
                work_id(n)
                for n in range(99)
                if zones.zone[0] in zones.non_replicas(work_id(n))
            )
            zones.disconnect(*zones.replicas(work))
            link = zones.links[zones.zone[0]]
            limit = _reservation_link._MAX_PENDING_CLAIMS
            claims = [asyncio.ensure_future(link.claim(work)) for _ in range(2 * limit)]
            await asyncio.sleep(0.01)
            assert len(link._pending) == limit
            assert sum(claim.done() for claim in claims) == limit
            await asyncio.gather(*claims)
            assert link._pending == {}

        run(scenario)

    def test_cached_results(self, run):
        """The number of cached results is bounded."""

        async def scenario():
            zones = Zones(24)
            sender, receiver = zones.zone[:2]
            for number in range(3 * _reservation_link._MAX_CACHED_RESULTS):
                token = zones.entries[receiver].token
                zones.send(sender, receiver, ClaimDatagram(token, sender, number, WORK))
            await asyncio.sleep(0.1)
            link = zones.links[receiver]
            assert len(link._results) == _reservation_link._MAX_CACHED_RESULTS

        run(scenario)

    def test_disconnected_caller(self, run):
        """A cancelled claim leaves no state."""

        async def scenario():
            zones = Zones(24)
            link = zones.links[zones.non_replicas()[0]]
            claim = asyncio.ensure_future(link.claim(WORK))
            await asyncio.sleep(0.0)
            assert link._pending
            claim.cancel()
            await asyncio.sleep(0.05)
            assert link._pending == {}

        run(scenario)


class TestInvalidMessages:
    @pytest.mark.parametrize("token", ["", "t1", "other"])
    def test_wrong_token(self, token, run):
        """A sender without the receiver's token can neither reserve nor claim."""

        async def scenario():
            zones = Zones(24)
            claimant, replica = zones.non_replicas()[0], zones.replicas()[0]
            zones.send(
                claimant, replica, ReservedDatagram(token, claimant, work_id(7), 100)
            )
            zones.reject(claimant)
            await asyncio.sleep(0.01)
            assert zones.links[replica].kept() == 1
            await asyncio.sleep(3.0)
            zones.send(claimant, replica, ClaimDatagram(token, claimant, 1, WORK))
            await asyncio.sleep(0.01)
            assert zones.links[replica]._results == {}

        run(scenario)

    def test_unsolicited_result(self, run):
        """A result from an instance without the claim is ignored."""

        async def scenario():
            zones = Zones(24)
            claimant, intruder = zones.non_replicas()[:2]
            zones.disconnect(*zones.replicas())
            link = zones.links[claimant]
            claim = asyncio.ensure_future(link.claim(WORK))
            await asyncio.sleep(0.0)
            (number,) = link._pending
            token = zones.entries[claimant].token
            zones.send(
                intruder, claimant, ClaimedDatagram(token, intruder, number, DUE, 0)
            )
            assert (await claim).outcome is UNKNOWN

        run(scenario)

    def test_claim_from_other_zone(self, run):
        """An instance of another zone consumes no reservation."""

        async def scenario():
            zones = Zones(24)
            replica = zones.replicas()[0]
            await zones.reject_and_wait(zones.non_replicas()[0])
            token = zones.entries[replica].token
            zones.send("i1", replica, ClaimDatagram(token, "i1", 1, WORK))
            await asyncio.sleep(0.01)
            assert zones.links[replica].kept() == 1

        run(scenario)

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"noise",
            b"\x93\xa1v\xa2t0\xa2i3",
            *(
                msgspec.msgpack.encode(message)
                for message in (
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
    def test_malformed_datagrams(self, data, run):
        """Malformed datagrams are rejected, and the next datagram is processed."""

        async def scenario():
            zones = Zones(9)
            link = zones.links["i0"]
            zones.datagrams["i0"].datagram_received(data, None)
            assert link.kept() == 0
            assert link._results == {}
            zones.send("i3", "i0", ReservedDatagram("t0", "i3", WORK, 100))
            await asyncio.sleep(0.01)
            assert link.kept() == 1

        run(scenario)


class TestSockets:
    async def test_loopback(self, monkeypatch):
        """Real datagrams: early, then due despite a dead replica, then unknown.

        The timeout is tested in virtual time; here it is longer, for busy machines.
        """
        monkeypatch.setattr(_reservation_link, "_RESPONSE_TIMEOUT_S", 1.0)
        entries = {
            f"i{n}": entry._replace(address=f"127.0.0.1:{port}")
            for (n, port), entry in zip(
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
        replicas = [entry.id for entry in links["i0"]._replicas(WORK)]
        first, second = (id_ for id_ in links if id_ not in replicas)
        slot = links[first].schedule_retry(
            "chat", WORK, 0, starts_per_s=40.0, max_delay_s=3.0
        )
        async with asyncio.timeout(5):
            while not all(links[id_].kept() for id_ in replicas):
                await asyncio.sleep(0.005)
        assert (await links[second].claim(WORK)).outcome is EARLY
        sockets[replicas[0]]._transport.close()
        await asyncio.sleep(clocks.left_s(slot.at_s))
        assert (await links[second].claim(WORK)).outcome is DUE
        assert (await links[second].claim(WORK)).outcome is UNKNOWN
        for datagrams in sockets.values():
            if datagrams.is_open:
                datagrams._transport.close()
