# SPDX-License-Identifier: MIT
"""A server that answers requests with given bytes, and closes or resets at once.

It has a thread and blocking sockets of its own, so that a reset follows the last bytes
before the client's event loop has read them.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time

from typing import NamedTuple


ID = b"violethatch-attempt-id"
LAST_EVENT_ID = b"last-event-id"


class RawAnswer(NamedTuple):
    """What is sent, and how the connection ends.

    Attributes:
        parts: The bytes, a write each.
        pause_s: How long to wait after each write, in seconds.
        is_reset: Whether the connection is reset rather than closed.
    """

    parts: tuple[bytes, ...] = ()
    pause_s: float = 0.0
    is_reset: bool = False


class RawServer:
    """Gives each request the next answer, and the last one from then on.

    Args:
        answers: The answers.
        choose: Returns the answer to a request with a given head, in their place.
    """

    def __init__(self, *answers, choose=None):
        self.answers = answers
        self._choose = choose or self._next
        #: The heads of the requests that were read.
        self.requests = []
        self._listening = socket.create_server(("127.0.0.1", 0))
        port = self._listening.getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def __enter__(self):
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_):
        # Wakes the thread that accepts.
        with contextlib.suppress(OSError):
            self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                taken, _ = self._listening.accept()
                threading.Thread(target=self._serve, args=(taken,), daemon=True).start()

    def _serve(self, taken):
        with contextlib.suppress(OSError):
            taken.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            head = self._read_request(taken)
            if head:
                self.requests.append(head)
                self._answer(taken, self._choose(head), head)
        taken.close()

    def _next(self, _head):
        """Return the next answer."""
        return self.answers[min(len(self.requests), len(self.answers)) - 1]

    def _read_request(self, taken):
        """Read a request whole; return its head."""
        data = b""
        while b"\r\n\r\n" not in data:
            more = taken.recv(65_536)
            if not more:
                return b""
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        _, has_length, rest = head.lower().partition(b"content-length:")
        length = int(rest.split(b"\r\n")[0]) if has_length else 0
        while len(body) < length:
            more = taken.recv(65_536)
            if not more:
                return b""
            body += more
        return head

    def _answer(self, taken, answer, head):
        """Write an answer; `%ID%` in it stands for the request's id."""
        for part in answer.parts:
            taken.sendall(part.replace(b"%ID%", header(head, ID)))
            if answer.pause_s:
                time.sleep(answer.pause_s)
        if answer.is_reset:
            linger = struct.pack("ii", 1, 0)
            taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def header(head, name):
    """Return a header of a request; empty if it has none."""
    for line in head.split(b"\r\n"):
        found, _, value = line.partition(b":")
        if found.lower() == name:
            return value.strip()
    return b""
