# SPDX-License-Identifier: MIT
"""Reading how long a server asks to be left alone.

HTTP allows a number of seconds or a date (RFC 9110, 10.2.3); some servers send
fractions of a second.  A figure that can't be understood says nothing, and is told to
whoever logs it: nothing may be lost by it.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import email.utils
import re

from collections.abc import Iterable
from typing import NamedTuple


#: The longest time that is kept, in seconds.  A server that wants more is one to look
#: after by hand: a day covers what is planned, and a figure beyond it (a time of day,
#: microseconds) is a mistake that would leave a sound server alone for good.
MAX_RETRY_AFTER_S = 86_400.0
#: The longest figure that is read, in characters: a date has 29.
_MOST_CHARACTERS = 64
_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


class RetryAfter(NamedTuple):
    """What a server's figures come to.

    Attributes:
        delay_s: For how long it wants nothing, in seconds; None if it doesn't tell.
        invalid: A figure that can't be understood, shortened; empty if there is none.
        exceeds_max: Whether it asked for more than is kept.

    .. versionadded:: 26.5.0
    """

    delay_s: float | None = None
    invalid: str = ""
    exceeds_max: bool = False


def parse_retry_after(
    values: Iterable[str], *, server_time: str | None, wall_s: float
) -> RetryAfter:
    """Read an answer's figures; of several the longest counts.

    Args:
        values: The header's values as they came, in order.
        server_time: The answer's own ``Date``, by which a date among them is read:
            the server's clock may differ from the own one.
        wall_s: The own time of day, in seconds since 1970, where it tells none.

    .. versionadded:: 26.5.0
    """
    lengths_s: list[float] = []
    unread = ""
    for value in values:
        for part in _parts(value[:_MOST_CHARACTERS].strip()):
            length_s = _length_s(part, server_time=server_time, wall_s=wall_s)
            if length_s is None:
                unread = unread or part or "(empty)"
            else:
                lengths_s.append(length_s)
    if not lengths_s:
        return RetryAfter(None, unread)
    longest_s = max(lengths_s)
    return RetryAfter(
        min(MAX_RETRY_AFTER_S, longest_s), unread, longest_s > MAX_RETRY_AFTER_S
    )


def _parts(value: str) -> list[str]:
    """Return a header's figures; a relay may have joined two with a comma."""
    parts = [part.strip() for part in value.split(",")]
    if all(_NUMBER.fullmatch(part) for part in parts):
        return parts
    return [value]


def _length_s(part: str, *, server_time: str | None, wall_s: float) -> float | None:
    """Return the seconds that a figure tells, or None if it can't be understood."""
    if _NUMBER.fullmatch(part):
        return float(part)
    until_s = _wall_s(part)
    if until_s is None:
        return None
    now_s = _wall_s(server_time) if server_time else None
    return max(0.0, until_s - (wall_s if now_s is None else now_s))


def _wall_s(date: str) -> float | None:
    """Return a date's seconds since 1970, or None if it is none."""
    try:
        return email.utils.parsedate_to_datetime(date).timestamp()
    except (ValueError, OverflowError, OSError):
        return None  # the caller tells that it can't be understood
