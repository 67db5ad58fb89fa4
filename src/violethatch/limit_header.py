# SPDX-License-Identifier: MIT
"""Parser of the header with a server's rate limit for all instances together.

A value that can't be parsed neither lifts a known limit nor sets one, and is returned
to the caller for logging.

.. versionadded:: 26.6.0
"""

from __future__ import annotations

import math
import re

from collections.abc import Iterable
from typing import NamedTuple


#: Maximum limit that is enforced, in requests a second.  The largest planned fleet
#: receives 6,300 for hundreds of servers: a higher limit has no effect.
MAX_LIMIT_PER_S = 1_000.0
#: Maximum length of a value, in characters.
_MAX_VALUE_LENGTH = 64
_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


class ParsedLimit(NamedTuple):
    """The limit in a response's headers.

    Attributes:
        per_s: Requests a second that the server accepts; infinite if it advertises no
            limit, None if the headers are invalid.
        invalid: A value that can't be parsed, truncated; empty if there is none.
        exceeds_max: Whether the limit is ignored because it exceeds the maximum.

    .. versionadded:: 26.6.0
    """

    per_s: float | None = math.inf
    invalid: str = ""
    exceeds_max: bool = False


def parse_limit(values: Iterable[str]) -> ParsedLimit:
    """Parse a response's limit headers; the lowest of several limits applies.

    Args:
        values: The raw header values; a proxy may have joined several with a comma.

    .. versionadded:: 26.6.0
    """
    parts = [
        part.strip()
        for value in values
        for part in value[:_MAX_VALUE_LENGTH].split(",")
    ]
    if not parts:
        return ParsedLimit()
    limits = [float(part) for part in parts if _DECIMAL.fullmatch(part)]
    invalid = [part or "(empty)" for part in parts if not _DECIMAL.fullmatch(part)]
    lowest = min(limits, default=None)
    if lowest is not None and lowest > MAX_LIMIT_PER_S:
        return ParsedLimit(math.inf, "".join(invalid[:1]), exceeds_max=True)
    return ParsedLimit(lowest, "".join(invalid[:1]))
