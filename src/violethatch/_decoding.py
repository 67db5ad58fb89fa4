# SPDX-License-Identifier: MIT
"""Reading what others have written: what can't be understood is a ValueError."""

from __future__ import annotations

import functools
import re

from typing import Protocol, TypeVar


T_co = TypeVar("T_co", covariant=True)


#: An IP number and a port.
_ENDPOINT = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")
_LAST_BYTE = 255
_LAST_PORT = 65_535
#: Addresses whose check is remembered, which halves the time to read a list of 790.
_MOST_ENDPOINTS = 4_096


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


@functools.lru_cache(maxsize=_MOST_ENDPOINTS)
def is_endpoint(address: str) -> bool:
    """Tell whether an address is an IP number and a port."""
    match = _ENDPOINT.fullmatch(address)
    if match is None:
        return False
    *numbers, port = (int(part) for part in match.groups())
    return max(numbers) <= _LAST_BYTE and 0 < port <= _LAST_PORT
