# SPDX-License-Identifier: MIT
"""Ports of this test process alone, also where several runs share a machine."""

from __future__ import annotations

import contextlib
import itertools
import socket


#: Below the range that systems give out by themselves, so that no other socket takes a
#: port between its choice here and its use.
FIRST_PORT = 21_000
END_PORT = 32_000
#: A process takes a block of ports by listening on its first one until it ends.
BLOCK_PORTS = 500


def claimed_block(*, first_port=FIRST_PORT, end_port=END_PORT):
    """Return the socket that claims a block, and the block's other ports.

    Raises:
        RuntimeError: All blocks are claimed.
    """
    for first in range(first_port, end_port, BLOCK_PORTS):
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first))
            claim.listen()
        except OSError:
            claim.close()
            continue
        return claim, range(first + 1, first + BLOCK_PORTS)
    msg = "all blocks of ports are claimed"
    raise RuntimeError(msg)


_claim, _ports = claimed_block()
_next_ports = itertools.cycle(_ports)


def free_ports(count):
    """Return ports that nobody listens on, and that no other process is given."""
    found = []
    while len(found) < count:
        port = next(_next_ports)
        with socket.socket() as one, contextlib.suppress(OSError):
            one.bind(("127.0.0.1", port))
            found.append(port)
    return found
