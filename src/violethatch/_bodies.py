# SPDX-License-Identifier: MIT
"""Bodies of requests: read once into a single buffer, and written in pieces.

Each copy of a body is one that the process's memory has to hold for every request in
flight.  Large bodies are written in pieces, so that a connection's write buffer holds
little of them.
"""

from __future__ import annotations

import random

from collections.abc import AsyncIterator, Awaitable, Callable

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload

from .errors import BodyTooLargeError, OverloadedError
from .memory_budget import Reservation
from .upstream import Body


#: Size of a piece that is written at once, in bytes.
PIECE_BYTES = 65_536
#: Range of Retry-After where there is no memory, in seconds: callers that were rejected
#: together return one after another.
_RETRY_RANGE_S = (0.3, 0.9)
#: Step by which a body without a declared length is reserved, in bytes.
_STEP_BYTES = 262_144
#: A body without a declared length may be copied once when its buffer grows.
_GROWING_COPIES = 2


async def read_body(
    parts: AsyncIterator[bytes],
    *,
    declared_bytes: int | None,
    limit_bytes: int,
    reservation: Reservation,
    on_reserved: Callable[[], Awaitable[None]] | None = None,
) -> Body:
    """Read a body; reserve its memory before.

    Args:
        parts: The body as it comes.
        declared_bytes: Its length, if that is declared.
        limit_bytes: Its maximum length.
        reservation: Grows by the memory that the body takes.
        on_reserved: Called before anything is read.

    Raises:
        BodyTooLargeError: It is longer than the limit.
        OverloadedError: There is no memory for it.
    """
    if declared_bytes is not None:
        _check_length(declared_bytes, limit_bytes)
        reserve(reservation, declared_bytes)
    if on_reserved is not None:
        await on_reserved()
    if declared_bytes is None:
        return await _read_growing(parts, limit_bytes, reservation)
    buffer = bytearray(declared_bytes)
    end = 0
    async for part in parts:
        start, end = end, end + len(part)
        buffer[start:end] = part
    return buffer


def reserve(reservation: Reservation, size_bytes: int) -> None:
    """Reserve memory.

    Raises:
        OverloadedError: There is none.
    """
    if not reservation.grow(size_bytes):
        msg = f"no memory for {size_bytes} bytes more"
        retry_after_s = random.uniform(*_RETRY_RANGE_S)
        raise OverloadedError(msg, retry_after_s=retry_after_s)


async def _read_growing(
    parts: AsyncIterator[bytes], limit_bytes: int, reservation: Reservation
) -> Body:
    """Read a body of unknown length, reserving memory in steps.

    Raises:
        BodyTooLargeError: It is longer than the limit.
        OverloadedError: There is no memory for it.
    """
    buffer = bytearray()
    reserved_bytes = 0
    async for part in parts:
        _check_length(len(buffer) + len(part), limit_bytes)
        while reserved_bytes < len(buffer) + len(part):
            reserve(reservation, _GROWING_COPIES * _STEP_BYTES)
            reserved_bytes += _STEP_BYTES
        buffer += part
    return buffer


def _check_length(length_bytes: int, limit_bytes: int) -> None:
    """Check a body's length.

    Raises:
        BodyTooLargeError: It is longer than the limit.
    """
    if length_bytes > limit_bytes:
        msg = f"more than {limit_bytes} bytes"
        raise BodyTooLargeError(msg)


class BodyPayload(Payload):
    """A body that is written in pieces, without a copy of the whole.

    Args:
        body: The body.
    """

    _value: Body
    _autoclose = True

    def __init__(self, body: Body) -> None:
        super().__init__(body, content_type="application/octet-stream")
        self._size = len(body)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return self._value.decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body."""
        await write_in_pieces(writer, self._value)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body up to a length."""
        await write_in_pieces(writer, memoryview(self._value)[:content_length])


async def write_in_pieces(
    writer: AbstractStreamWriter, data: Body | memoryview
) -> None:
    """Write bytes piece by piece, waiting for the connection in between."""
    view = memoryview(data)
    for start in range(0, len(view), PIECE_BYTES):
        await writer.write(view[start : start + PIECE_BYTES])
