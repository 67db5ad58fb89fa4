# SPDX-License-Identifier: MIT
"""Listening on an address that another socket may still hold."""

from __future__ import annotations

import asyncio
import socket

import pytest

from aiohttp.web_server import Server

from own_ports import free_ports
from test_platform_process import Site
from violethatch import _serving
from violethatch._serving import listen
from violethatch.errors import AddressError


async def answer(_request):
    """Serve nothing."""


@pytest.fixture
def holder():
    """Provide a socket that holds an address."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", free_ports(1)[0]))
        one.listen()
        yield one


def endpoint_of(holder):
    """Return the address that a socket holds."""
    host, port = holder.getsockname()
    return f"{host}:{port}"


class TestListen:
    async def test_address_that_is_given_up_soon(self, holder):
        """Guards against an instance that ends while its predecessor does."""
        endpoint = endpoint_of(holder)
        asyncio.get_running_loop().call_later(0.3, holder.close)
        server = await listen(Server(answer), endpoint)
        server.close()

    async def test_address_that_stays_held(self, holder, monkeypatch):
        """Guards against an instance that waits for good."""
        monkeypatch.setattr(_serving, "_ADDRESS_WAIT_S", 0.2)
        with pytest.raises(AddressError, match=endpoint_of(holder)):
            await listen(Server(answer), endpoint_of(holder))

    async def test_address_that_is_not_allowed(self):
        """What cannot change is told at once."""
        async with asyncio.timeout(1.0):
            with pytest.raises(AddressError):
                await listen(Server(answer), "256.0.0.1:80")


async def test_process_that_cannot_listen_says_so(tmp_path, holder, capfd):
    """Guards against a start that ends with a traceback and no numbered error."""
    site = Site(tmp_path)
    port = holder.getsockname()[1]
    try:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(9):
                await site.start(**{"Listen.Front": f"127.0.0.1:{port}"})
        assert await site.process.wait() == 2
        lines = await site.process.stdout.read()
        assert b'"number":2012' in lines
        assert "violethatch error 1602" in capfd.readouterr().err
    finally:
        await site.stop()
