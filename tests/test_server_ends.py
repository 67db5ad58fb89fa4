# SPDX-License-Identifier: MIT
"""Telling a server that has ended from one that broke an answer off."""

from __future__ import annotations

import asyncio
import random

from router_fakes import FakeClient, make_routing
from routing_samples import runner
from test_crash_suspects import end, work
from violethatch.forwarding import LinkState
from violethatch.suspicion import ServerEnds


A, B = runner("a", 0, 80), runner("b", 0, 80)


def ends(client, *listed):
    """Return a fresh view of ends, with servers listed."""
    by_id = {one.id: one for one in listed}
    return ServerEnds(client, listed=by_id.get)


class TestEnds:
    async def test_server_that_refuses_connections_has_ended(self):
        """Nobody listens where its process was; it is asked once."""
        client = FakeClient()
        client.refusing_ids = {"a"}
        found = ends(client, A)
        assert await found.has_ended(A)
        assert await found.has_ended(A)
        assert client.checked_ids == ["a"]

    async def test_server_that_takes_connections_goes_on(self):
        """A broken answer alone says nothing of its server."""
        client = FakeClient()
        assert not await ends(client, A).has_ended(A)

    async def test_server_that_takes_a_connection_while_it_ends(self):
        """Its end is noted under all requests whose answers had broken off."""
        found, proven = ends(client := FakeClient(), A), []
        found.on_proven = lambda *told: proven.append(told)
        for number in (1, 2):
            assert not await found.has_ended(A)
            found.doubt(A, [end("a", of=work(number))])
        client.refusing_ids = {"a"}
        await asyncio.sleep(0.2)
        ended = [end("a", of=work(1)), end("a", of=work(2))]
        assert proven == [(A, ended, "recheck")]
        assert await found.has_ended(A)

    async def test_server_that_breaks_many_answers_off_is_asked_twice_again(self):
        """Each recheck is a new connection."""
        found, proven = ends(client := FakeClient(), A), []
        found.on_proven = lambda *told: proven.append(told)
        for number in range(20):
            assert not await found.has_ended(A)
            found.doubt(A, [end("a", of=work(number))])
        await asyncio.sleep(0.5)
        assert (len(client.checked_ids), proven) == (3, [])

    async def test_end_while_links_are_lost_is_proven_at_their_return(self):
        """Nobody answers at first, as where all servers have ended."""
        state = LinkState.LOST

        async def link_state(_server):
            return state

        client = FakeClient()
        client.refusing_ids = {"a"}
        found = ServerEnds(client, listed={"a": A}.get, link_state=link_state)
        proven = []
        found.on_proven = lambda *told: proven.append(told)
        assert not await found.has_ended(A)
        found.doubt(A, [end("a")])
        await asyncio.sleep(0.1)
        state = LinkState.SOUND
        await asyncio.sleep(0.3)
        assert proven == [(A, [end("a")], "recheck")]

    async def test_end_while_links_are_lost_is_proven_by_its_entry(self):
        """A server that only leaves the list refuses no connections."""

        async def link_state(_server):
            return LinkState.LOST

        client = FakeClient()
        listed = {"a": A, "b": B}
        found = ServerEnds(client, listed=listed.get, link_state=link_state)
        proven = []
        found.on_proven = lambda *told: proven.append(told)
        client.refusing_ids = {"a"}
        for one in (A, B):
            assert not await found.has_ended(one)
            found.doubt(one, [end(one.id)])
        found.take_unlisted(("b",))
        assert proven == []
        found.take_unlisted(("a",))
        assert proven == [(A, [end("a")], "entry gone")]

    async def test_entry_that_lapsed_while_the_store_was_away_proves_no_end(self):
        """Servers can't renew their entries then, and go on."""
        client = FakeClient()
        client.refusing_ids = {"a"}
        routing = make_routing(client, A, rng=random.Random(1))
        routing.link_watch.is_active = True
        assert not await routing.ends.has_ended(A)
        proven = []
        routing.ends.on_proven = lambda *told: proven.append(told)
        routing.ends.doubt(A, [end("a")])
        routing.backends.expire = lambda now_s: ("a",)
        routing.expire()
        assert proven == []

    async def test_requests_that_break_together_share_a_look(self):
        """A server's end breaks all its requests at once."""
        client = FakeClient()
        client.refusing_ids = {"a"}
        found = ends(client, A)
        told = await asyncio.gather(*(found.has_ended(A) for _ in range(50)))
        assert all(told)
        assert client.checked_ids == ["a"]

    async def test_planned_ends_are_none(self):
        """Who is leaving, or listed no more, ends as planned."""
        client = FakeClient()
        client.refusing_ids = {"a"}
        assert not await ends(client).has_ended(A)
        assert not await ends(client, A._replace(is_leaving=True)).has_ended(A)
        assert client.checked_ids == []

    async def test_new_start_is_another_lifetime(self):
        """The same id, started again, is looked at anew."""
        client = FakeClient()
        client.refusing_ids = {"a"}
        found = ends(client, A)
        assert await found.has_ended(A._replace(started_ms=1))
        client.refusing_ids = set()
        assert not await found.has_ended(A._replace(started_ms=2))

    async def test_listed_new_start_is_the_end_of_the_one_before(self):
        """It may be back before anybody is refused a connection."""
        client = FakeClient()
        again = A._replace(started_ms=2)
        assert await ends(client, again).has_ended(A._replace(started_ms=1))
        assert client.checked_ids == []

    async def test_planned_new_start_is_no_end(self):
        """It had said before that it leaves."""
        client = FakeClient()
        found = ends(client, A._replace(started_ms=2))
        before = A._replace(started_ms=1)
        found.note_planned(before.lifetime)
        assert not await found.has_ended(before)
