# SPDX-License-Identifier: MIT
"""What the platform's servers say of themselves, in the product's words."""

from __future__ import annotations

import math

from collections.abc import Iterable

import aiohttp

from .. import clocks
from ..limit_header import MAX_LIMIT_PER_S, ParsedLimit, parse_limit
from ..retry_after import RetryAfter, parse_retry_after
from ..upstream import ServerSignals
from . import _headers


#: Statuses with which a figure says for how long the server wants nothing, and the one
#: of them with which that is a promise to keep.
_TURNED_AWAY = (429, 503)
_UNAVAILABLE = 503
#: Says that the request came to another server than it was for.
_MISDIRECTED = 421
#: The only value that says that a server leaves, and the one that says the contrary.
_IS_LEAVING = "1"
_IS_STAYING = "0"
#: How much of a value that can't be understood is kept, in characters.
_MOST_CHARACTERS = 64
#: How many names that nobody knows an answer tells of at the most.
_MOST_UNKNOWN = 4


def server_word(answer: aiohttp.ClientResponse) -> ServerSignals:
    """Return what a server says of itself in an answer's head."""
    headers = answer.headers
    asked = RetryAfter()
    if answer.status in _TURNED_AWAY:
        asked = parse_retry_after(
            headers.getall(_headers.RETRY_AFTER, ()),
            server_time=headers.get("Date"),
            wall_s=clocks.wall_s(),
        )
    leaving = [value.strip() for value in headers.getall(_headers.LEAVING, ())]
    limit = parse_limit(headers.getall(_headers.LIMIT, ()))
    is_cut = [f"{asked.delay_s:g} s at the most"] if asked.exceeds_max else []
    unread = [
        *filter(None, (asked.invalid,)),
        *is_cut,
        *_unread_leaving(leaving),
        *_unread_limit(limit),
    ]
    return ServerSignals(
        status=answer.status,
        backoff_s=asked.delay_s,
        is_binding=answer.status == _UNAVAILABLE,
        is_leaving=_IS_LEAVING in leaving,
        limit_per_s=_limit_a_s(limit, answer.status),
        invalid="; ".join(unread),
        unknown_headers=tuple(
            name[:_MOST_CHARACTERS]
            for name in _headers.unknown_of_platform(headers)[:_MOST_UNKNOWN]
        ),
    )


def _limit_a_s(limit: ParsedLimit, status: int) -> float | None:
    """Return the limit that a server names, or None if its answer tells of none.

    Whoever is not the server that was meant can't tell that its limit is over.
    """
    if limit.per_s == math.inf and status == _MISDIRECTED:
        return None
    return limit.per_s


def _unread_limit(limit: ParsedLimit) -> list[str]:
    """Return what of a limit can't be understood, or is no limit here."""
    if limit.exceeds_max:
        return [f"a limit beyond {MAX_LIMIT_PER_S:g} a second is none"]
    return [f"limit {limit.invalid}"] if limit.invalid else []


def _unread_leaving(values: Iterable[str]) -> list[str]:
    """Return values that say neither that a server leaves nor that it stays."""
    return [
        value[:_MOST_CHARACTERS] or "(empty)"
        for value in values
        if value not in (_IS_LEAVING, _IS_STAYING)
    ][:1]
