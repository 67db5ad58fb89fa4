# SPDX-License-Identifier: MIT
"""Reading what others have written: what can't be understood is a ValueError."""

from __future__ import annotations

from typing import Protocol, TypeVar


T_co = TypeVar("T_co", covariant=True)


class _Decoder(Protocol[T_co]):
    """Reads bytes into a type."""

    def decode(self, data: bytes | bytearray, /) -> T_co:
        """Read bytes."""


def decoded(decoder: _Decoder[T_co], data: bytes | bytearray) -> T_co:
    """Read bytes that another writer may have written.

    Nesting without end is a RecursionError in msgspec, which ended the reader.

    Raises:
        ValueError: They can't be understood.
    """
    try:
        return decoder.decode(data)
    except RecursionError as error:
        msg = "nested too deeply"
        raise ValueError(msg) from error
