# SPDX-License-Identifier: MIT
"""What the platform's servers say of themselves, in the product's words."""

from __future__ import annotations

from collections.abc import Iterable

import aiohttp

from .. import clocks
from ..retry_after import RetryAfter, read_retry_after
from ..upstream import ServerWord
from . import _headers


#: Statuses with which a figure says for how long the server wants nothing, and the one
#: of them with which that is a promise to keep.
_TURNED_AWAY = (429, 503)
_UNAVAILABLE = 503
#: The only value that says that a server leaves, and the one that says the contrary.
_IS_LEAVING = "1"
_IS_STAYING = "0"
#: How much of a value that can't be understood is kept, in characters.
_MOST_CHARACTERS = 64


def server_word(answer: aiohttp.ClientResponse) -> ServerWord:
    """Return what a server says of itself in an answer's head."""
    headers = answer.headers
    asked = RetryAfter()
    if answer.status in _TURNED_AWAY:
        asked = read_retry_after(
            headers.getall(_headers.RETRY_AFTER, ()),
            server_time=headers.get("Date"),
            wall_s=clocks.wall_s(),
        )
    leaving = [value.strip() for value in headers.getall(_headers.LEAVING, ())]
    is_cut = [f"{asked.length_s:g} s at the most"] if asked.is_cut else []
    unread = [*filter(None, (asked.unread,)), *is_cut, *_unread_leaving(leaving)]
    return ServerWord(
        status=answer.status,
        rest_s=asked.length_s,
        is_binding=answer.status == _UNAVAILABLE,
        is_leaving=_IS_LEAVING in leaving,
        unread="; ".join(unread),
    )


def _unread_leaving(values: Iterable[str]) -> list[str]:
    """Return values that say neither that a server leaves nor that it stays."""
    return [
        value[:_MOST_CHARACTERS] or "(empty)"
        for value in values
        if value not in (_IS_LEAVING, _IS_STAYING)
    ][:1]
