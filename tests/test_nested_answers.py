# SPDX-License-Identifier: MIT
"""Answers that are nested too deeply to be read."""

from __future__ import annotations

import pytest

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from test_foreign_entries import DEEP
from violethatch._connection_choice import ConnectionChoice
from violethatch._peer_wire import read_puts
from violethatch._platform import _rows
from violethatch._router_metrics import RouterMetrics
from violethatch.errors import PeerRefusedError, TableUnavailableError
from violethatch.platform._store import Store
from violethatch.router_settings import StoreSection


class TestAnswers:
    """Whole answers that another writer has spoilt."""

    @pytest.mark.parametrize("depth", [2_000, 100_000])
    def test_nested_row_of_the_own_table_ends_its_reader(self, depth):
        """It is a malformed answer, as any other."""
        nested = b"[" * depth + b"]" * depth
        row = b'{"key":"a","version":1,"value":{"x":%s}}' % nested
        assert _rows(b'{"rows":[%s]}' % row, "rows") is None

    def test_nested_writes_of_a_peer_end_its_reader(self):
        """The peer is refused."""
        with pytest.raises(PeerRefusedError):
            read_puts(b"[" * 100_000 + b"]" * 100_000)

    async def test_nested_answer_of_the_store_ends_its_reader(self):
        """The store counts as unavailable until it answers well."""

        async def answer(_request):
            return web.Response(body=DEEP)

        app = web.Application()
        app.router.add_get("/api/rows-get", answer)
        async with TestServer(app) as server, ClientSession() as session:
            store = Store(
                StoreSection(f"{server.host}:{server.port}"),
                ConnectionChoice(session, session, max_idle_s=4.0),
                RouterMetrics(),
            )
            with pytest.raises(TableUnavailableError):
                await store.read_table("op")
