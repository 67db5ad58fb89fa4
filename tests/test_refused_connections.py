# SPDX-License-Identifier: MIT
"""Asking a server's address whether anybody listens there."""

from __future__ import annotations

import asyncio
import socket

import pytest

from own_ports import free_ports
from routing_samples import runner
from violethatch import clocks
from violethatch.platform import _runners
from violethatch.platform._runners import Runners


@pytest.fixture
def runners():
    """Provide calls to servers that need no session."""
    return Runners(kept=None, fresh=None)


def at(address):
    """Return a runner with an address."""
    return runner("a", 0, 80, address=address)


class TestRefusing:
    async def test_process_that_has_ended_refuses(self, runners):
        """Nobody listens where it was, and that is told at once."""
        (port,) = free_ports(1)
        started_s = clocks.now_s()
        assert await runners.is_refusing(at(f"127.0.0.1:{port}"))
        assert clocks.now_s() - started_s < _runners._CONNECT_S

    async def test_process_that_listens_does_not(self, runners):
        """However busy it is: nothing has to be answered."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            assert not await runners.is_refusing(at(f"127.0.0.1:{port}"))

    async def test_silence_is_no_refusal(self, runners, monkeypatch):
        """A cut on the way says nothing of the server, and holds nobody up."""

        async def silent(_host, _port):
            await asyncio.sleep(60.0)

        monkeypatch.setattr(asyncio, "open_connection", silent)
        started_s = clocks.now_s()
        assert not await runners.is_refusing(at("127.0.0.1:1"))
        assert clocks.now_s() - started_s < 1.0

    @pytest.mark.parametrize("address", ["", "nowhere", "127.0.0.1:x", "127.0.0.1:"])
    async def test_address_that_is_none_is_no_refusal(self, runners, address):
        """An entry that can't be read as an address says nothing."""
        assert not await runners.is_refusing(at(address))
