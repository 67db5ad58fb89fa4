# SPDX-License-Identifier: MIT
"""Reading how many requests a second a server takes from all instances together.

A figure that can't be understood says nothing: it neither ends a limit that is known
nor sets one, and is told to whoever logs it.

.. versionadded:: 26.6.0
"""

from __future__ import annotations

import math
import re

from collections.abc import Iterable
from typing import NamedTuple


#: The highest limit that binds, in requests a second.  The largest fleet that is
#: planned for gets 6,300 before hundreds of servers: a higher one limits nothing.
MAX_LIMIT_PER_S = 1_000.0
#: The longest figure that is read, in characters.
_MOST_CHARACTERS = 64
_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


class ParsedLimit(NamedTuple):
    """What a server's figures come to.

    Attributes:
        per_s: The requests that it takes a second; infinite if it names no limit, None
            if that can't be told.
        invalid: A figure that can't be understood, shortened; empty if there is none.
        exceeds_max: Whether it named more than is kept as a limit.

    .. versionadded:: 26.6.0
    """

    per_s: float | None = math.inf
    invalid: str = ""
    exceeds_max: bool = False


def parse_limit(values: Iterable[str]) -> ParsedLimit:
    """Read an answer's figures; of several the lowest counts.

    Args:
        values: The header's values as they came; a relay may have joined some with a
            comma.

    .. versionadded:: 26.6.0
    """
    parts = [
        part.strip() for value in values for part in value[:_MOST_CHARACTERS].split(",")
    ]
    if not parts:
        return ParsedLimit()
    figures = [float(part) for part in parts if _NUMBER.fullmatch(part)]
    unread = [part or "(empty)" for part in parts if not _NUMBER.fullmatch(part)]
    lowest = min(figures, default=None)
    if lowest is not None and lowest > MAX_LIMIT_PER_S:
        return ParsedLimit(math.inf, "".join(unread[:1]), exceeds_max=True)
    return ParsedLimit(lowest, "".join(unread[:1]))
