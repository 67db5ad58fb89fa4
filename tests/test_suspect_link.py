# SPDX-License-Identifier: MIT
"""What instances tell each other of ends under works."""

from __future__ import annotations

import asyncio
import random

import pytest

from mortal_fleet import Network, instance_entries
from test_crash_suspects import OWN_PART, PART, WORK, work
from violethatch import clocks
from violethatch._peer_datagrams import EndsDatagram
from violethatch.suspicion import CrashSuspects, End, SuspectLink, _link
from violethatch.work_ids import prompt_part_id
from virtual_time import in_virtual_time


class Told:
    """Instances that tell each other of ends.

    Args:
        count: How many there are.
        lost_part: Which part of the datagrams is lost.
    """

    def __init__(self, count, *, lost_part=0.0, seed=1):
        self.network = Network(random.Random(seed), lost_part=lost_part)
        entries = instance_entries(count)
        self.suspects, self.links, self.datagrams = [], [], []
        for own in entries.values():
            datagrams = self.network.join(own, entries)
            self.suspects.append(CrashSuspects())
            self.links.append(SuspectLink(datagrams, self.suspects[-1]))
            self.datagrams.append(datagrams)

    def see(self, instance, lifetime, *, of=WORK):
        """Let an instance see an end."""
        end = End(of, lifetime, False, f"i{instance}")
        self.suspects[instance].note(end, now_s=clocks.now_s())
        self.links[instance].tell(end)

    def who_holds(self, trait=WORK):
        """Return how many instances hold the trait back."""
        now_s = clocks.now_s()
        return sum(one.hold(trait, now_s=now_s) is not None for one in self.suspects)


async def told_of_three(count, *, lost_part, seed, of=WORK):
    """Let three instances see an end each; return all, a second later."""
    told = Told(count, lost_part=lost_part, seed=seed)
    rng = random.Random(seed)
    for number, instance in enumerate(rng.sample(range(count), 3)):
        told.see(instance, f"s{number}", of=of)
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    return told


class TestAllKnow:
    @pytest.mark.parametrize("count", [6, 70, 200, 350])
    @in_virtual_time
    async def test_three_witnesses_are_enough(self, count):
        """Whoever saw the ends, all hold the work back a second later."""
        told = await told_of_three(count, lost_part=0.0, seed=count)
        assert told.who_holds() == count

    @pytest.mark.parametrize("seed", range(12))
    @in_virtual_time
    async def test_lost_and_doubled_datagrams(self, seed):
        """One in ten is lost, one in ten comes twice; nearly all know by datagrams.

        The rest reads it in the store.
        """
        told = await told_of_three(70, lost_part=0.1, seed=seed)
        assert told.who_holds() >= 67

    @in_virtual_time
    async def test_late_datagrams(self):
        """They come up to a second late, in any order."""
        told = Told(70)
        told.network.latest_s = 1.0
        for number, instance in enumerate((3, 30, 60)):
            told.see(instance, f"s{number}")
            await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)
        assert told.who_holds() == 70

    @in_virtual_time
    async def test_first_ends_are_told_to_few(self):
        """A server's end doesn't make all instances tell all others of its company."""
        told = Told(350)
        for number in range(96):
            told.see(number, "s1", of=work(number))
        await asyncio.sleep(1.0)
        # Each word to three, twice; those that share a datagram are fewer.
        assert told.network.sent <= 96 * 3 * 2

    @in_virtual_time
    async def test_cleared_work_is_cleared_everywhere(self):
        """Also where a copy of the word is still on its way."""
        told = Told(6)
        told.see(0, "s1")
        told.see(1, "s2")
        await asyncio.sleep(0.1)
        told.suspects[2].clear(WORK, now_s=clocks.now_s())
        told.links[2].tell_cleared(WORK, 2)
        await asyncio.sleep(1.0)
        assert not any(one.ends(WORK) for one in told.suspects)


class TestStored:
    @pytest.mark.parametrize("count", [2, 8, 350])
    @in_virtual_time
    async def test_hold_that_others_ends_decide_is_stored_by_few(self, count):
        """An instance that saw only the last end doesn't know that it decides."""
        told = Told(count)
        stored = [[] for _ in told.links]
        for link, kept in zip(told.links, stored, strict=True):
            link.keep_hold = kept.append
        for number in range(3):
            told.see(number % count, f"s{number}")
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        assert 1 <= sum(bool(kept) for kept in stored) <= 3

    @in_virtual_time
    async def test_cleared_trait_is_removed_by_those_that_stored_it(self):
        """The removal may reach the store before the row does."""
        told = Told(8)
        for number in range(3):
            told.see(number, f"s{number}")
        await asyncio.sleep(0.2)
        stored = [[] for _ in told.links]
        for link, kept in zip(told.links, stored, strict=True):
            link.keep_hold = kept.append
        told.suspects[4].clear(WORK, now_s=clocks.now_s())
        told.links[4].tell_cleared(WORK, 3)
        await asyncio.sleep(0.2)
        assert 2 <= sum(kept == [WORK] for kept in stored) <= 3


class TestParts:
    @pytest.mark.parametrize("count", [8, 72, 350])
    @in_virtual_time
    async def test_all_hold_a_part_back_and_one_tries_it(self, count):
        """Whoever saw the ends."""
        told = await told_of_three(count, lost_part=0.1, seed=count, of=PART)
        assert told.who_holds(PART) >= 0.95 * count
        assert sum(link.may_try(PART) for link in told.links) == 1
        assert [link.may_try(OWN_PART) for link in told.links] == [
            link.may_try(PART) for link in told.links
        ]

    @in_virtual_time
    async def test_cut_off_instance_is_told_with_the_next_end(self):
        """And one that stood still reads what waits in its socket."""
        told = Told(8)
        cut = told.network.receivers.pop(("10.0.0.1", 8))
        for number in range(3):
            told.see(number, f"s{number}", of=PART)
        await asyncio.sleep(1.0)
        assert told.who_holds(PART) == 7
        told.network.receivers["10.0.0.1", 8] = cut
        told.see(0, "s9", of=PART)
        await asyncio.sleep(0.2)
        assert told.who_holds(PART) == 8

    @in_virtual_time
    async def test_cleared_part_is_cleared_where_its_first_end_was_told(self):
        """Else its ends of a whole hour would add up."""
        told = Told(8)
        told.see(0, "s1", of=PART)
        await asyncio.sleep(1.0)
        assert sum(bool(one) for one in told.suspects) > 1
        told.suspects[0].clear(PART, now_s=clocks.now_s())
        told.links[0].tell_cleared(PART, 1)
        await asyncio.sleep(0.1)
        assert not any(told.suspects)

    @in_virtual_time
    async def test_instance_that_has_just_started_suspects_a_popular_part(self):
        """The others know that it is sound, and say so."""
        told = Told(8)
        for one in told.suspects[1:]:
            one.clear(PART, now_s=clocks.now_s())
        for number in range(3):
            told.see(0, f"s{number}", of=PART)
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.1)
        assert told.who_holds(PART) == 0

    @in_virtual_time
    async def test_popular_parts_of_an_end_are_told_to_few(self):
        """All instances have requests with them, which ended together."""
        told = Told(350)
        for number in range(96):
            for part in range(3):
                told.see(number, "s1", of=prompt_part_id(f"{part}"))
        await asyncio.sleep(1.0)
        assert told.network.sent <= 96 * 3 * 3 * 2


class TestBounds:
    @in_virtual_time
    async def test_what_waits_is_bounded(self, monkeypatch):
        """Ends without number neither fill memory nor the link."""
        monkeypatch.setattr(_link, "_MAX_WAITING", 50)
        told = Told(2)
        for number in range(200):
            told.see(0, "s1", of=work(number))
        assert len(told.links[0]._waiting["i1"]) == 50

    @pytest.mark.parametrize("text", ["", "x" * 32, "A" * 32, "0" * 31, "0" * 9_000])
    @in_virtual_time
    async def test_word_of_no_work_is_dropped(self, text):
        """Nothing of it is kept, and the next datagram is taken."""
        told = Told(2)
        for ends in ([(text, "s", False, "i0")], [(WORK, "s", False, "i0")]):
            told.datagrams[0].send(
                told.datagrams[0].directory.others()[0],
                EndsDatagram("t1", "i0", ends),
            )
        await asyncio.sleep(0.05)
        assert len(told.suspects[1]) == 1
