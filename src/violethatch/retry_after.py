# SPDX-License-Identifier: MIT
"""Parsing of ``Retry-After`` headers.

HTTP allows a number of seconds or a date (RFC 9110, 10.2.3); some servers send
fractions of a second. An invalid value has no effect other than being returned for
logging.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import email.utils
import re

from collections.abc import Iterable
from typing import NamedTuple


#: Maximum delay, in seconds. Planned delays are at most a day; a larger value, such as
#: a timestamp or a number of microseconds, is a mistake that would disable a healthy
#: server permanently. A server that needs a longer delay must be handled by an
#: operator.
MAX_RETRY_AFTER_S = 86_400.0
#: Maximum length of a value that is parsed; a date has 29 characters.
_MAX_HEADER_CHARS = 64
_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


class RetryAfter(NamedTuple):
    """The parsed values of a server's headers.

    Attributes:
        delay_s: The requested delay, in seconds; None if there is none.
        invalid: A value that could not be parsed, shortened; empty if there is none.
        exceeds_max: Whether a longer delay than the maximum was requested.

    .. versionadded:: 26.5.0
    """

    delay_s: float | None = None
    invalid: str = ""
    exceeds_max: bool = False


def parse_retry_after(
    values: Iterable[str], *, server_time: str | None, wall_s: float
) -> RetryAfter:
    """Parse a response's values; the largest of several counts.

    Args:
        values: The header's values as received, in order.
        server_time: The response's ``Date`` header. Dates are compared with it because
            the server's clock may differ from the local one.
        wall_s: The local wall-clock time, in seconds since 1970, to use without one.

    .. versionadded:: 26.5.0
    """
    delays_s: list[float] = []
    invalid = ""
    for value in values:
        for part in _split_values(value[:_MAX_HEADER_CHARS].strip()):
            delay_s = _parse_delay_s(part, server_time=server_time, wall_s=wall_s)
            if delay_s is None:
                invalid = invalid or part or "(empty)"
            else:
                delays_s.append(delay_s)
    if not delays_s:
        return RetryAfter(None, invalid)
    max_delay_s = max(delays_s)
    return RetryAfter(
        min(MAX_RETRY_AFTER_S, max_delay_s), invalid, max_delay_s > MAX_RETRY_AFTER_S
    )


def _split_values(value: str) -> list[str]:
    """Split a header's value; a proxy may have joined two with a comma."""
    parts = [part.strip() for part in value.split(",")]
    if all(_NUMBER.fullmatch(part) for part in parts):
        return parts
    return [value]


def _parse_delay_s(
    part: str, *, server_time: str | None, wall_s: float
) -> float | None:
    """Return the delay in seconds, or None if the value is invalid."""
    if _NUMBER.fullmatch(part):
        return float(part)
    until_s = _parse_date_s(part)
    if until_s is None:
        return None
    now_s = _parse_date_s(server_time) if server_time else None
    return max(0.0, until_s - (wall_s if now_s is None else now_s))


def _parse_date_s(date: str) -> float | None:
    """Return a date in seconds since 1970, or None if it is invalid."""
    try:
        return email.utils.parsedate_to_datetime(date).timestamp()
    except (ValueError, OverflowError, OSError):
        return None  # returned to the caller as invalid
