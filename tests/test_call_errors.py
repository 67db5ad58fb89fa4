# SPDX-License-Identifier: MIT
"""Errors of a call's own machinery count as a call without an answer."""

from __future__ import annotations

import pytest

from router_fakes import make_call
from routing_samples import runner
from violethatch._connection_choice import ConnectionChoice
from violethatch._router_metrics import RouterMetrics
from violethatch.errors import TableUnavailableError
from violethatch.platform._runners import Runners
from violethatch.platform._store import Store
from violethatch.ports import AnswerLostError as WriteLostError
from violethatch.router_settings import StoreSection
from violethatch.upstream import AnswerLostError, Send


ERROR = RuntimeError("File descriptor 268 is used by transport")


class BrokenSession:
    """Meets an error of the event loop at each call."""

    def request(self, *_args, **_options):
        return self

    get = request

    def __await__(self):
        raise ERROR
        yield

    async def __aenter__(self):
        raise ERROR

    async def __aexit__(self, *_exc):
        return None


@pytest.fixture
def store():
    """Provide a store that can't be called."""
    connections = ConnectionChoice(BrokenSession(), BrokenSession(), max_idle_s=4.0)
    return Store(StoreSection("127.0.0.1:1"), connections, RouterMetrics())


class TestStore:
    async def test_read(self, store):
        """A read is tried again like one that the store refused."""
        with pytest.raises(TableUnavailableError, match="268"):
            await store.read_table("op")

    async def test_write(self, store):
        """A write may have been done; a planned stop goes on."""
        with pytest.raises(WriteLostError, match="268"):
            await store.write_entries("violethatch_instances", {}, ["i-1"])


class TestRunners:
    async def test_send(self):
        """The request may have run; its caller gets an answer."""
        runners = Runners(BrokenSession(), BrokenSession())
        send = Send(
            call=make_call(),
            server=runner("a", 0, 80),
            path=None,
            deadline_s=1e9,
            priority=1,
            workspace=None,
            last_event_id=None,
            needs_new_connection=False,
        )
        with pytest.raises(AnswerLostError, match="268"):
            await runners.send(send)

    async def test_report(self):
        """A probe finds nothing, and its watch goes on."""
        runners = Runners(BrokenSession(), BrokenSession())
        assert await runners.report(runner("a", 0, 80)) is None
