# SPDX-License-Identifier: MIT
"""Tables that are followed through other instances."""

from __future__ import annotations

import asyncio
import tracemalloc

import aiohttp
import pytest

from own_ports import free_ports
from test_followers import ScriptedSource
from test_instances import directories, entry
from violethatch import _relay_http, clocks
from violethatch._connection_choice import ConnectionChoice
from violethatch._relay_http import RelayClient, RelayListener
from violethatch.errors import ReadLostError, TableUnavailableError
from violethatch.instances import LEAST_MEMBERS, LEAST_REGION
from violethatch.peer_reads import (
    NoUpdateError,
    PeerLostError,
    PeerRefusedError,
    PeerSilentError,
    PeerTokenRefusedError,
)
from violethatch.relayed_tables import RelayedTables
from violethatch.store_era import NO_ERA
from violethatch.table_cache import TableCache
from violethatch.upstream import HistoryGoneError, TableView


def view(version, *, store_s=None, **values):
    """Return an answer of the store."""
    return TableView(values, version, float(version if store_s is None else store_s))


class TestTableCache:
    def made(self):
        """Return a cache that was read whole and has seen two changes."""
        cache = TableCache()
        cache.take(view(5, a=b"1", b=b"1"), is_whole=True)
        cache.take(view(7, a=b"2"), is_whole=False)
        cache.take(view(9, b=None, c=b"3"), is_whole=False)
        return cache

    async def test_changes_since_a_version(self):
        """Who is behind gets what has changed, and from where to go on."""
        news = await self.made().updates(after=5, known_s=5.0, wait_s=0.0)
        assert news.values == {"a": b"2", "b": None, "c": b"3"}
        assert (news.version, news.is_whole, news.is_relayed) == (9, False, True)
        news = await self.made().updates(after=7, known_s=5.0, wait_s=0.0)
        assert news.values == {"b": None, "c": b"3"}

    async def test_version_within_a_change(self):
        """What came with a change is told again; nothing is left out."""
        news = await self.made().updates(after=6, known_s=5.0, wait_s=0.0)
        assert news.values == {"a": b"2", "b": None, "c": b"3"}
        assert not news.is_whole

    @pytest.mark.parametrize("after", [-1, 3])
    async def test_whole_table_for_who_is_far_behind(self, after):
        """A version that no change begins at gets the whole table."""
        news = await self.made().updates(after=after, known_s=0.0, wait_s=0.0)
        assert news.values == {"a": b"2", "c": b"3"}
        assert news.is_whole

    async def test_newer_proof_is_news(self):
        """Nothing has changed, and that is proven at a later time."""
        cache = self.made()
        assert await cache.updates(after=9, known_s=9.0, wait_s=0.01) is None
        cache.take(view(9, store_s=12.0), is_whole=False)
        news = await cache.updates(after=9, known_s=9.0, wait_s=0.0)
        assert (news.values, news.store_s) == ({}, 12.0)

    async def test_waits_for_a_change(self):
        """A question waits until there is something to tell."""
        cache = self.made()
        asking = asyncio.create_task(cache.updates(after=9, known_s=9.0, wait_s=5.0))
        await asyncio.sleep(0)
        cache.take(view(11, d=b"4"), is_whole=False)
        assert (await asking).values == {"d": b"4"}

    async def test_away_tells_at_once(self):
        """Who can't read the store itself lets its followers go at once."""
        cache = self.made()
        asking = asyncio.create_task(cache.updates(after=9, known_s=9.0, wait_s=5.0))
        await asyncio.sleep(0)
        cache.note_unavailable()
        async with asyncio.timeout(1):
            assert await asking is None

    async def test_patient_question_waits_for_the_return(self):
        """Who knows of the outage learns of its end at once."""
        cache = self.made()
        cache.note_unavailable()
        asking = asyncio.create_task(
            cache.updates(after=9, known_s=9.0, wait_s=5.0, is_patient=True)
        )
        await asyncio.sleep(0)
        cache.take(view(9, store_s=12.0), is_whole=False)
        async with asyncio.timeout(1):
            assert (await asking).store_s == 12.0

    async def test_never_back_to_an_older_version(self):
        """Who is ahead gets no older table."""
        assert await self.made().updates(after=20, known_s=20.0, wait_s=0.01) is None


class ScriptedPeers:
    """Answers for other instances from a script."""

    def __init__(self, *steps):
        self.steps = list(steps)
        self.asked = []
        self.waits = []

    async def changes(
        self,
        peer,
        table,
        *,
        after,
        known_s,
        wait_s,
        margin_s,
        era=NO_ERA,
        is_patient=False,
    ):
        self.asked.append((peer.id, after, known_s))
        self.waits.append((wait_s, is_patient))
        step = self.steps.pop(0)
        if isinstance(step, Exception):
            raise step
        return step


def follower_of(*, count=LEAST_MEMBERS):
    """Return the view of an instance that follows another, and who that is."""
    made = directories([entry(f"i{n}") for n in range(count)])
    directory = next(one for one in made.values() if one.source(now_s=0.0))
    return directory, directory.source(now_s=0.0).id


def reader_of(*, count=LEAST_MEMBERS):
    """Return the view of an instance that reads for others."""
    made = directories([entry(f"i{n}") for n in range(count)])
    return next(one for one in made.values() if one.is_reader(now_s=0.0))


AWAY = TableUnavailableError("away")


class TestRelayedTables:
    async def test_follower_asks_its_reader(self):
        """The store is not asked while the reader answers."""
        directory, reader = follower_of()
        store = ScriptedSource(view(5, a=b"1"))
        peers = ScriptedPeers(view(6, a=b"2"), view(6, store_s=8.0))
        tables = RelayedTables(store, peers, directory)
        await tables.read_table("op")
        assert (await tables.read_changes("op", after=5, wait_s=2.4)).version == 6
        await tables.read_changes("op", after=6, wait_s=2.4)
        assert peers.asked == [(reader, 5, 5.0), (reader, 6, 6.0)]
        assert len(store.asked) == 1

    async def test_reader_waits_only_briefly(self):
        """Its followers notice in time when it is cut off."""
        store = ScriptedSource(view(5))
        tables = RelayedTables(store, ScriptedPeers(), reader_of())
        await tables.read_changes("op", after=4, wait_s=2.4)
        assert store.asked[0][2] < 1.0

    @pytest.mark.parametrize(
        ("bound_s", "wait_s"), [(1.5, 0.6), (2.0, 0.8), (3.0, 0.8), (4.0, 0.8)]
    )
    async def test_waits_follow_the_sites_bound(self, bound_s, wait_s):
        """They are parts of it, and of 2 s at most."""
        store = ScriptedSource(view(5))
        tables = RelayedTables(store, ScriptedPeers(), reader_of(), bound_s=bound_s)
        await tables.read_changes("op", after=4, wait_s=2.4)
        assert store.asked[0][2] == pytest.approx(wait_s)

    async def test_reader_without_news_is_left(self):
        """Without a newer proof the store itself is asked, at once."""
        directory, reader = follower_of()
        store = ScriptedSource(view(6), view(6, store_s=7.0))
        peers = ScriptedPeers(NoUpdateError("no update"), view(7))
        tables = RelayedTables(store, peers, directory)
        await tables.read_changes("op", after=5, wait_s=2.4)
        assert store.asked == [("changes", 5, 0.0)]
        await tables.read_changes("op", after=6, wait_s=2.4)
        assert [one[0] for one in peers.asked[1:]] != [reader]

    async def test_followers_wait_while_the_store_refuses_their_readers(self):
        """A store that is away is not asked by all who follow."""
        directory, reader = follower_of(count=LEAST_REGION)
        store = ScriptedSource(view(6))
        peers = ScriptedPeers(*[PeerRefusedError("away")] * 5, view(7))
        tables = RelayedTables(store, peers, directory)
        with pytest.raises(TableUnavailableError):
            await tables.read_changes("op", after=5, wait_s=2.4)
        assert store.asked == []
        assert [one[0] for one in peers.asked].count(reader) == 1
        assert (await tables.read_changes("op", after=5, wait_s=0.0)).version == 7
        assert peers.waits[-1] == (1.0, True)

    async def test_reader_that_has_started_again_is_left_for_long(self):
        """Guards against a refused token that is taken for a silent instance."""
        directory, reader = follower_of(count=LEAST_REGION)
        peers = ScriptedPeers(
            *[PeerLostError("reset"), PeerTokenRefusedError("status 403")], view(7)
        )
        tables = RelayedTables(ScriptedSource(), peers, directory)
        await tables.read_changes("op", after=5, wait_s=2.4)
        assert reader not in {one.id for one in directory.askable()}
        old = next(one for one in directory.others() if one.id == reader)
        directory.take({reader: old._replace(token="t2")}, is_whole=False)
        assert directory.source(now_s=clocks.now_s()).id == reader

    async def test_second_reader_is_asked_before_the_store(self):
        """A reader that is cut off costs its followers no call of the store."""
        directory, reader = follower_of(count=LEAST_REGION)
        peers = ScriptedPeers(PeerSilentError("cut off"), view(7))
        tables = RelayedTables(ScriptedSource(), peers, directory)
        async with asyncio.timeout(1):
            assert (await tables.read_changes("op", after=5, wait_s=2.4)).version == 7
        assert peers.asked[1][0] != reader

    async def test_instance_that_the_store_refuses_asks_others(self):
        """A part of the instances may be refused while others are served."""
        directory = reader_of(count=LEAST_MEMBERS + 2)
        store = ScriptedSource(AWAY)
        peers = ScriptedPeers(PeerSilentError("gone"), view(8))
        tables = RelayedTables(store, peers, directory)
        async with asyncio.timeout(1):
            found = await tables.read_changes("op", after=5, wait_s=2.4)
        assert found.version == 8

    async def test_lost_read_is_taken_for_a_store_that_is_unavailable(self):
        """It is repeated without a wait before any instance is asked."""
        store = ScriptedSource(ReadLostError("no answer"), view(6))
        tables = RelayedTables(store, ScriptedPeers(), reader_of())
        with pytest.raises(HistoryGoneError):
            await tables.read_changes("op", after=5, wait_s=2.4)
        assert store.asked == [("changes", 5, 0.8), ("changes", 5, 0.0)]

    async def test_lost_whole_read_is_taken_for_a_store_that_is_unavailable(self):
        """It is repeated before any instance is asked."""
        store = ScriptedSource(ReadLostError("no answer"), view(6))
        tables = RelayedTables(store, ScriptedPeers(), reader_of())
        assert (await tables.read_table("op")).version == 6

    async def test_source_is_left_for_one_lost_answer(self):
        """Its connection may have gone silent while it is well."""
        directory, reader = follower_of()
        peers = ScriptedPeers(PeerLostError("no answer"), view(7))
        tables = RelayedTables(ScriptedSource(), peers, directory)
        assert (await tables.read_changes("op", after=5, wait_s=2.4)).version == 7
        assert [one[0] for one in peers.asked] == [reader, reader]

    async def test_instances_that_leave_the_store_alone_wait_for_each_other(self):
        """Two questions in series that each wait take longer than a change may."""
        store = ScriptedSource(AWAY, view(9))
        nothing = [NoUpdateError("no update")] * 2
        peers = ScriptedPeers(view(8), *nothing)
        directory = reader_of(count=LEAST_MEMBERS + 2)
        tables = RelayedTables(store, peers, directory)
        assert (await tables.read_changes("op", after=5, wait_s=2.4)).version == 8
        with pytest.raises(HistoryGoneError):
            await tables.read_changes("op", after=8, wait_s=2.4)
        assert [wait_s for wait_s, _ in peers.waits if wait_s > 0] == [1.2]

    async def test_nobody_knows(self):
        """With no newer proof anywhere the table is unavailable."""
        store = ScriptedSource(AWAY)
        peers = ScriptedPeers(*[NoUpdateError("no update")] * 3)
        tables = RelayedTables(store, peers, reader_of())
        with pytest.raises(TableUnavailableError):
            await tables.read_changes("op", after=5, wait_s=2.4)

    async def test_start_while_the_store_is_away(self):
        """A table can be had whole from another instance."""
        found = view(8, a=b"1")._replace(is_whole=True)
        peers = ScriptedPeers(found)
        directory = reader_of()
        tables = RelayedTables(ScriptedSource(AWAY), peers, directory)
        read = await tables.read_table("op")
        assert read == found._replace(source=peers.asked[0][0])

    async def test_older_table_is_not_taken(self):
        """An instance that lags doesn't take others back."""
        store = ScriptedSource(view(9, a=b"2"), AWAY)
        older = view(5, a=b"1")._replace(is_whole=True, is_relayed=True)
        tables = RelayedTables(store, ScriptedPeers(older, older), reader_of())
        await tables.read_table("op")
        with pytest.raises(TableUnavailableError):
            await tables.read_table("op")

    async def test_table_without_proofs(self):
        """No news of such a table says that nothing has changed."""
        directory, _ = follower_of()
        peers = ScriptedPeers(NoUpdateError("no update"))
        tables = RelayedTables(
            ScriptedSource(view(5), view(5)),
            peers,
            directory,
            unproven=("instances",),
        )
        await tables.read_table("instances")
        await tables.read_changes("instances", after=5, wait_s=2.4)
        assert peers.asked == []  # entries of instances that have started again
        found = await tables.read_changes("instances", after=5, wait_s=2.4)
        assert (found.values, found.version) == ({}, 5)


class TestKeptChanges:
    def test_older_values_of_a_large_row_kept(self):
        """64 desired states of 10,000 routes would have been 185 MB."""
        cache = TableCache()
        cache.take(view(1, a=bytes(1_000_000)), is_whole=True)
        tracemalloc.start()
        try:
            for version in range(2, 40):
                cache.take(view(version, a=bytes(1_000_000)), is_whole=False)
            kept, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert kept < 2_000_000

    async def test_changes_of_several_rows(self):
        """All that changed after a version comes, each row as it is now."""
        cache = TableCache()
        cache.take(view(1, a=b"1", b=b"1", c=b"1"), is_whole=True)
        cache.take(view(2, a=b"2", b=b"2"), is_whole=False)
        cache.take(view(3, a=None), is_whole=False)
        cache.take(view(4, d=b"4"), is_whole=False)
        expected = {
            1: {"a": None, "b": b"2", "d": b"4"},
            2: {"a": None, "d": b"4"},
            3: {"d": b"4"},
        }
        for after, values in expected.items():
            found = await cache.updates(after=after, known_s=0.0, wait_s=0.1)
            assert (found.values, found.is_whole) == (values, False)


class TestRelayOverHttp:
    async def ask(self, cache, *, token="secret", **options):
        """Ask an instance that listens."""
        (port,) = free_ports(1)
        listener = RelayListener({"op": cache}, token="secret")
        await listener.start(f"127.0.0.1:{port}")
        peer = entry("i1")._replace(address=f"127.0.0.1:{port}", token=token)
        asked = {"after": -1, "known_s": -1.0, "wait_s": 0.1, "margin_s": 0.5}
        asked |= options
        async with aiohttp.ClientSession() as session:
            connections = ConnectionChoice(session, session, max_idle_s=4.0)
            return await RelayClient(connections).changes(peer, "op", **asked)

    @pytest.mark.parametrize("size", [1, 300_000])
    async def test_news_come_as_they_are(self, size):
        """Small answers and large ones, which are packed."""
        cache = TableCache()
        cache.take(view(5, a=b"x" * size), is_whole=True)
        cache.record_outage(3.0)
        news = await self.ask(cache)
        assert news.values == {"a": b"x" * size}
        assert (news.version, news.store_s, news.is_whole) == (5, 5.0, True)
        assert (news.is_relayed, news.unavailable_s) == (True, 3.0)

    async def test_large_change_compressed_for_each_follower(self, monkeypatch):
        """All followers wait for the same change, and it took 11 ms for each."""
        compressed = []
        compress = _relay_http.zlib.compress
        monkeypatch.setattr(
            _relay_http.zlib,
            "compress",
            lambda *args: compressed.append(args) or compress(*args),
        )
        cache = TableCache()
        cache.take(view(5, a=b"x"), is_whole=True)
        (port,) = free_ports(1)
        await RelayListener({"op": cache}, token="secret").start(f"127.0.0.1:{port}")
        peer = entry("i1")._replace(address=f"127.0.0.1:{port}", token="secret")
        async with aiohttp.ClientSession() as session:
            client = RelayClient(ConnectionChoice(session, session, max_idle_s=4.0))
            for version in (6, 7):
                asked = {"after": version - 1, "known_s": version - 1.0}
                asked |= {"wait_s": 2.0, "margin_s": 0.5}
                changes = [client.changes(peer, "op", **asked) for _ in range(20)]
                asking = asyncio.gather(*changes)
                await asyncio.sleep(0.1)
                values = {"a": bytes([version]) * 300_000}
                cache.take(view(version, **values), is_whole=False)
                assert all(one.values == values for one in await asking)
                assert len(compressed) == version - 5

    async def test_small_answer_unpacks_to_any_size(self, monkeypatch):
        """An answer that unpacks to more than a table may have is refused."""
        monkeypatch.setattr(_relay_http, "_MAX_UNPACKED_BYTES", 200_000)
        cache = TableCache()
        cache.take(view(5, a=b"x" * 300_000), is_whole=True)
        with pytest.raises(PeerSilentError, match="200000"):
            await self.ask(cache)

    async def test_no_news(self):
        """An instance that knows nothing newer says so."""
        cache = TableCache()
        cache.take(view(5), is_whole=True)
        with pytest.raises(NoUpdateError):
            await self.ask(cache, after=5, known_s=5.0)

    async def test_away_is_told(self):
        """An instance that the store refuses says so, also of news that it has."""
        cache = TableCache()
        cache.take(view(5), is_whole=True)
        cache.note_unavailable()
        with pytest.raises(PeerRefusedError):
            await self.ask(cache)
        with pytest.raises(PeerRefusedError):
            await self.ask(cache, wait_s=0.01, is_patient=True)

    async def test_wrong_token(self):
        """Only who reads the store gets an answer."""
        with pytest.raises(PeerTokenRefusedError, match="403"):
            await self.ask(TableCache(), token="guessed")
