# SPDX-License-Identifier: MIT
"""Heads that come in any pieces, and interim responses without number."""

from __future__ import annotations

import asyncio

import pytest

from violethatch._bounded_responses import BoundedResponseHandler, EndlessResponseError


INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"


class Connection(asyncio.Transport):
    """A connection that notes whether it was aborted."""

    is_aborted = False

    def abort(self):
        self.is_aborted = True

    def is_closing(self):
        return self.is_aborted


class Handler(BoundedResponseHandler):
    """Counts the heads that were parsed."""

    def __init__(self):
        super().__init__(asyncio.get_running_loop())
        self.heads = []
        self.connection = Connection()
        self.connection_made(self.connection)
        self.set_response_params(read_until_eof=True, read_bufsize=65_536)

    def feed_data(self, data, size=0):
        self.heads.append(data)
        super().feed_data(data, size)


@pytest.mark.parametrize("interim", [0, 1, 3])
async def test_heads_in_pieces_of_any_length(interim):
    """Guards against a response whose head ends across two reads being missed."""
    data = interim * INTERIM + RESPONSE
    for piece_bytes in range(1, len(data) + 1):
        handler = Handler()
        for start in range(0, len(data), piece_bytes):
            handler.data_received(data[start : start + piece_bytes])
        message, payload = handler.heads[-1]
        assert (message.code, len(handler.heads)) == (200, interim + 1)
        assert await payload.read() == b"abc"
        assert not handler.connection.is_aborted


async def test_interim_responses_without_number_take_no_time():
    """Guards against a loop that parses interim responses instead of serving calls."""
    handler = Handler()
    for _ in range(3):
        handler.data_received(10_000 * INTERIM)
    assert len(handler.heads) <= 101
    assert handler.connection.is_aborted
    assert isinstance(handler.exception(), EndlessResponseError)


async def test_many_interim_responses_are_legal():
    """Guards against a bound that legal responses meet."""
    handler = Handler()
    handler.data_received(50 * INTERIM + RESPONSE)
    assert not handler.connection.is_aborted
    assert handler.heads[-1][0].code == 200
