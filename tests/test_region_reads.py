# SPDX-License-Identifier: MIT
"""A region's instances read a store through two of them, within the bounds."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from test_instances import directories, entry
from violethatch import clocks
from violethatch._followers import TableFollower
from violethatch.errors import ReadLostError, TableUnavailableError
from violethatch.freshness import Freshness, StoreClock
from violethatch.peer_reads import NoUpdateError, PeerLostError, PeerRefusedError
from violethatch.relayed_tables import RelayedTables
from violethatch.router_settings import StoreSection
from violethatch.store_era import NO_ERA
from violethatch.table_cache import TableCache
from violethatch.upstream import TableView


#: How late a change may be, in seconds, and what a busy machine may add.
BOUND_S = 2.0
SLACK_S = 0.4
#: The zone of each instance.
ZONES = [f"z{n % 5}" for n in range(40)]
TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.6


class Store:
    """One table, for many instances."""

    def __init__(self):
        self.version = 1
        self.changed = asyncio.Event()
        #: Ids that get no answer, and ids that are refused.
        self.cut, self.refused = set(), set()
        self.calls = []

    def write(self):
        """Change the table."""
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()


class Reads:
    """One instance's way to the store."""

    def __init__(self, store, instance_id):
        self.store = store
        self.id = instance_id

    async def read_table(self, _table, *, answer_s=None):
        await self._called()
        return self._view(self.store.version)

    async def read_changes(
        self, _table, *, after, wait_s, era=NO_ERA, is_direct=True, answer_s=None
    ):
        await self._called()
        if self.store.version <= after:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.store.changed.wait()
        if self.id in self.store.cut:
            await asyncio.sleep(TIMEOUT_S if answer_s is None else answer_s)
            raise ReadLostError("no answer")
        self._require_served()
        return self._view(after)

    async def _called(self):
        self.store.calls.append((clocks.now_s(), self.id))
        if self.id in self.store.cut:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise TableUnavailableError("no connection")
        self._require_served()

    def _require_served(self):
        if self.id in self.store.refused:
            raise TableUnavailableError("status 429")

    def _view(self, after):
        version = self.store.version
        values = {"config": b"%d" % version} if version > after else {}
        return TableView(values, version, clocks.now_s())


class Peers:
    """What instances say to each other, without a network."""

    def __init__(self, region, own_id):
        self.region = region
        self.own_id = own_id

    async def changes(
        self, peer, _table, *, after, known_s, wait_s, margin_s, era, is_patient=False
    ):
        if self.region.store.cut & {peer.id, self.own_id}:
            await asyncio.sleep(wait_s + margin_s)
            raise PeerLostError("no answer")
        cache = self.region.caches[peer.id]
        view = await cache.updates(
            after=after,
            known_s=known_s,
            wait_s=wait_s,
            era=era,
            is_patient=is_patient,
        )
        if view is None:
            if cache.is_unavailable:
                raise PeerRefusedError("unavailable", unavailable_s=cache.unavailable_s)
            raise NoUpdateError("no update")
        return view


class Region:
    """Instances of some zones that follow one table."""

    def __init__(self, zones=ZONES):
        self.store = Store()
        self.directories = directories(
            [entry(f"i{n}", zone=zone) for n, zone in enumerate(zones)]
        )
        self.caches = {name: TableCache() for name in self.directories}
        self.freshness = {name: Freshness(limit_s=10.0) for name in self.directories}
        self.seen = dict.fromkeys(self.directories, 0)
        self.readers = {
            name
            for name, one in self.directories.items()
            if one.is_reader(now_s=clocks.now_s())
        }
        self._tasks = [asyncio.create_task(self._follow(n)) for n in self.directories]

    def readers_and_substitutes(self):
        """Return those who read for all, and those who stand in for them."""
        now_s = clocks.now_s()
        directory = next(iter(self.directories.values()))
        first = set(directory._region_readers(now_s=now_s))
        for one in first:
            directory.note_refused(one, now_s=now_s)
        ids = set(first)
        while not first & (more := set(directory._region_readers(now_s=now_s))):
            ids |= more
            for one in more:
                directory.note_refused(one, now_s=now_s)
        directory._refused_until_s.clear()
        return ids

    def store_reads(self, name):
        """Return an instance's way to the store."""
        return Reads(self.store, name)

    def peer_reads(self, name):
        """Return an instance's way to the others."""
        return Peers(self, name)

    async def _follow(self, name):
        await TableFollower(
            "op",
            source=RelayedTables(
                self.store_reads(name),
                self.peer_reads(name),
                self.directories[name],
                bound_s=BOUND_S,
            ),
            settings=StoreSection("127.0.0.1:1"),
            clock=StoreClock(),
            freshness=self.freshness[name],
            take=lambda view, _is_whole: self.seen.update({name: view.version}),
            on_recovery=lambda _outage: None,
            rng=random.Random(name),
            cache=self.caches[name],
        ).run()

    def behind(self):
        """Return who does not know the newest version, the cut ones aside."""
        return {
            name
            for name, version in self.seen.items()
            if version < self.store.version and name not in self.store.cut
        }

    async def all_know(self, within_s):
        """Wait until everybody knows the newest version."""
        async with asyncio.timeout(within_s):
            while self.behind():
                await asyncio.sleep(0.01)

    async def calls_a_second(self, seconds):
        """Return how many calls the store gets a second."""
        before = len(self.store.calls)
        await asyncio.sleep(seconds)
        return (len(self.store.calls) - before) / seconds

    async def stop(self):
        """End all."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@pytest.fixture
async def region():
    """Provide a region whose instances have all read the table."""
    made = Region()
    await made.all_know(5.0)
    await asyncio.sleep(1.0)
    yield made
    await made.stop()


class TestRest:
    async def test_two_instances_call_the_store(self, region):
        """Calls don't grow with the instances: two reads each 0.6 s."""
        region.store.calls.clear()
        assert await region.calls_a_second(3.0) <= 2 / (0.3 * BOUND_S) + 1
        assert {name for _, name in region.store.calls} == region.readers

    async def test_change_is_known_at_once(self, region):
        """It passes a reader and a relay, and waits for nobody."""
        region.store.write()
        await region.all_know(0.5 + SLACK_S)


class TestCut:
    async def test_change_is_known_within_the_bound(self, region):
        """Those who followed a reader that is cut off hear from another."""
        region.store.cut.add(min(region.readers))
        await asyncio.sleep(0.05)
        region.store.write()
        await region.all_know(BOUND_S + SLACK_S)

    async def test_both_readers_cut(self, region):
        """Relays ask the store themselves rather than be late."""
        region.store.cut |= region.readers
        await asyncio.sleep(0.05)
        region.store.write()
        await region.all_know(BOUND_S + SLACK_S)

    async def test_no_proof_of_what_is_not_known(self, region):
        """An instance that is cut off counts its last proof older and older."""
        name = min(region.readers)
        region.store.cut.add(name)
        await asyncio.sleep(1.5)
        assert region.freshness[name].age_s(now_s=clocks.now_s()) >= 1.4


class TestRefused:
    async def test_readers_are_stood_in_for(self, region):
        """Three instances in ten are turned away, both readers among them."""
        others = sorted(set(region.seen) - region.readers)
        region.store.refused |= region.readers | set(others[::4])
        region.store.write()
        await region.all_know(BOUND_S + SLACK_S)

    async def test_dark_store_is_not_pressed(self, region):
        """All are refused: few ask again, and these at growing pauses."""
        region.store.refused |= set(region.seen)
        await asyncio.sleep(2.0)
        assert await region.calls_a_second(4.0) <= 10.0

    async def test_return_is_known_soon(self, region):
        """Two seconds after its return everybody has a proof of the table."""
        region.store.refused |= set(region.seen)
        await asyncio.sleep(4.0)
        region.store.refused.clear()
        region.store.write()
        await region.all_know(2.0 + SLACK_S)


class TestZonesRefused:
    @pytest.fixture
    async def large_zones(self):
        """Provide a region of three zones whose instances have all read the table."""
        made = Region(["a"] * 45 + ["b"] * 35 + ["c"] * 40)
        await made.all_know(10.0)
        await asyncio.sleep(1.0)
        yield made
        await made.stop()

    async def test_refused_substitutes_are_not_taken_for_all(self, large_zones):
        """Guards against a served zone that learns nothing, as others are refused."""
        refused = {
            name
            for name, one in large_zones.directories.items()
            if one.own.availability_zone != "c"
        }
        assert large_zones.readers_and_substitutes() <= refused
        large_zones.store.refused |= refused
        # A first try of each instance takes as long.
        await asyncio.sleep(3.0)
        large_zones.store.write()
        async with asyncio.timeout(BOUND_S + SLACK_S):
            while large_zones.behind() - refused:
                await asyncio.sleep(0.01)
