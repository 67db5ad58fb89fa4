# SPDX-License-Identifier: MIT
"""Log lines to standard output, bounded and never blocking.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import asyncio
import collections
import os

from typing import Any

import eliot
import msgspec


#: Lines that may wait for their reader; some 250 bytes each.
_MOST_LINES = 2_000
#: How often lines are written, in seconds: many in one system call.
_FLUSH_S = 0.25
#: What eliot adds to each message and nobody here reads.
_UNREAD = ("task_level",)


class LogOutput:
    """Writes eliot's messages without ever waiting for the reader.

    Lines beyond the bound are counted and left out; the next line that fits
    says how many.

    Args:
        descriptor: The file descriptor to write to.

    .. versionadded:: 26.1.0
    """

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._encoder = msgspec.json.Encoder(enc_hook=repr)
        self._dropped = 0
        self._rest = b""
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        """Take eliot's messages from now on; call it in the running loop."""
        os.set_blocking(self._descriptor, False)
        self._loop = asyncio.get_running_loop()
        eliot.add_destinations(self)
        self._loop.call_later(_FLUSH_S, self._tick)

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message."""
        if len(self._lines) >= _MOST_LINES:
            self._dropped += 1
            return
        if self._dropped:
            message = message | {"lines_left_out": self._dropped}
            self._dropped = 0
        kept = {name: value for name, value in message.items() if name not in _UNREAD}
        self._lines.append(self._encoder.encode(kept) + b"\n")

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = b"".join(self._lines)
                self._lines.clear()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone: there is nobody left to tell.
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _tick(self) -> None:
        """Write from time to time."""
        self.flush()
        if self._loop is not None:
            self._loop.call_later(_FLUSH_S, self._tick)
