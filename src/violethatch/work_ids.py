# SPDX-License-Identifier: MIT
"""What makes two requests the same piece of work.

A caller who comes back sends a new request with an id of its own.  The work is the
same where the caller, the method, the place and the body are.

.. versionadded:: 26.4.0
"""

from __future__ import annotations

import hashlib


#: How many bytes of a digest name the caller; the first ones of a work's id, so that
#: what is kept of works can be bounded for each caller.
CALLER_BYTES = 4
#: How many bytes name the work itself: no two of them are ever alike.
_WORK_BYTES = 12
_HEX_DIGITS = frozenset("0123456789abcdef")


def work_id(
    *, caller: str | None, method: str, host: str, target: str, body: bytes
) -> str:
    """Return a work's id, which tells nothing of the body.

    Args:
        caller: The workspace, or None where callers are not told apart.
        method: How it is asked for.
        host: The host that the caller named.
        target: Path and query as they were sent.
        body: The whole body.

    .. versionadded:: 26.4.0
    """
    caller_part = caller or ""
    whose = hashlib.blake2b(caller_part.encode(), digest_size=CALLER_BYTES)
    what = hashlib.blake2b(digest_size=_WORK_BYTES)
    for part in (caller_part, method, host, target):
        encoded = part.encode("utf-8", "surrogateescape")
        what.update(len(encoded).to_bytes(4, "big") + encoded)
    what.update(body)
    return whose.hexdigest() + what.hexdigest()


def caller_of(work: str) -> str:
    """Return the part of a work's id that names its caller.

    .. versionadded:: 26.4.0
    """
    return work[: 2 * CALLER_BYTES]


def check_work_id(text: str) -> None:
    """Check that a text that came from elsewhere is a work's id.

    Raises:
        ValueError: It is none.

    .. versionadded:: 26.4.0
    """
    if len(text) != 2 * (CALLER_BYTES + _WORK_BYTES) or not set(text) <= _HEX_DIGITS:
        msg = f"{text[:40]!r} is no work's id"
        raise ValueError(msg)
