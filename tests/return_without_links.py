# SPDX-License-Identifier: MIT
"""Runs a router process that reaches no backend server until a given time.

The arguments are how connections to the servers fail, and until when, by
`violethatch.clocks.now_s`.  The servers are told by their address, so that it doesn't
matter from whom the instance has the table.
"""

from __future__ import annotations

import asyncio
import errno
import os
import sys

from violethatch import clocks
from violethatch.platform import __main__ as program


#: Connections are refused.
REFUSED = "refused"
#: Connections don't come about until the links are back.
DROPPED = "dropped"
#: Where servers listen; nothing else does.
SERVERS_HOST = "127.0.0.1"


def lose_links(loop_class, *, way, until_s):
    """Let an event loop's connections to the servers fail."""
    sock_connect = loop_class.sock_connect
    create_connection = loop_class.create_connection

    async def pass_link(host):
        left_s = until_s - clocks.now_s()
        if host != SERVERS_HOST or left_s <= 0.0:
            return
        if way == REFUSED:
            raise ConnectionRefusedError(
                errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED)
            )
        await asyncio.sleep(left_s)

    async def sock_connect_over_link(loop, sock, address):
        await pass_link(address[0])
        await sock_connect(loop, sock, address)

    async def create_connection_over_link(
        loop, protocol_factory, host=None, port=None, **options
    ):
        await pass_link(host)
        return await create_connection(loop, protocol_factory, host, port, **options)

    loop_class.sock_connect = sock_connect_over_link
    loop_class.create_connection = create_connection_over_link


def main():
    """Run the process; return its status."""
    # The program prepares the environment for it.
    import uvloop

    way, until_s = sys.argv[1:]
    lose_links(uvloop.Loop, way=way, until_s=float(until_s))
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
