# SPDX-License-Identifier: MIT
"""What servers say of themselves, as one instance hears it."""

from __future__ import annotations

from collections.abc import Callable

from . import events
from .backends import BackendServer
from .upstream import ServerWord


class WordGate:
    """Takes in what servers say of themselves, and logs it."""

    def __init__(self) -> None:
        #: Told of each word's kind: rest, leaving, unread.
        self.on_word: Callable[[str], None] = lambda _kind: None

    def heard(self, server: BackendServer, word: ServerWord, request_id: str) -> None:
        """Take a server's word in, as soon as an answer's head is there."""
        for kind, is_said in (
            ("rest", word.rest_s is not None),
            ("leaving", word.is_leaving),
            ("unread", bool(word.unread)),
        ):
            if is_said:
                self.on_word(kind)
        events.log(
            events.SERVER_WORD,
            request_id=request_id,
            server_id=server.id,
            lifetime=server.lifetime,
            status=word.status,
            asks_rest_s=word.rest_s,
            says_leaving=word.is_leaving,
            unread=word.unread,
            is_listed_leaving=server.is_leaving,
        )
