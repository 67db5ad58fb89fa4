# SPDX-License-Identifier: MIT
"""Detection of servers that refuse connections."""

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
    """Provide a client for calls that need no session."""
    return Runners(kept=None, fresh=None)


def runner_at(address):
    """Return a runner with an address."""
    return runner("a", 0, 80, address=address)


class TestIsRefusing:
    async def test_closed_port_refuses(self, runners):
        """A closed port refuses connections immediately."""
        (port,) = free_ports(1)
        started_s = clocks.now_s()
        assert await runners.is_refusing(runner_at(f"127.0.0.1:{port}"))
        assert clocks.now_s() - started_s < _runners._CONNECT_S

    async def test_open_port_does_not_refuse(self, runners):
        """A busy process accepts connections; no response is required."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            assert not await runners.is_refusing(runner_at(f"127.0.0.1:{port}"))

    async def test_timeout_is_no_refusal(self, runners, monkeypatch):
        """A network partition is no refusal, and doesn't block the caller."""

        async def silent(_host, _port):
            await asyncio.sleep(60.0)

        monkeypatch.setattr(asyncio, "open_connection", silent)
        started_s = clocks.now_s()
        assert not await runners.is_refusing(runner_at("127.0.0.1:1"))
        assert clocks.now_s() - started_s < 1.0

    @pytest.mark.parametrize("address", ["", "nowhere", "127.0.0.1:x", "127.0.0.1:"])
    async def test_invalid_address_is_no_refusal(self, runners, address):
        """An entry without a valid address is no refusal."""
        assert not await runners.is_refusing(runner_at(address))
