# SPDX-License-Identifier: MIT
"""A standstill of the loop in which something comes over a socket."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time


@contextlib.contextmanager
def bytes_that_come(take, *, for_s):
    """Let the loop stand still; what is taken afterwards has come meanwhile.

    Args:
        take: Called once the loop reads what has come.
        for_s: How long the loop stands still, in seconds.
    """
    loop = asyncio.get_running_loop()
    own, other = socket.socketpair()

    def read():
        own.recv(1)
        take()

    loop.add_reader(own, read)
    other.send(b"x")
    time.sleep(for_s)
    yield
    loop.remove_reader(own)
    own.close()
    other.close()
