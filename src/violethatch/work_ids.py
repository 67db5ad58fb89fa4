# SPDX-License-Identifier: MIT
"""What requests may have in common: their work, and parts of their prompts.

A caller who comes back sends a new request with an id of its own.  The work is the
same where the caller, the method, the place and the body are.  Requests of different
works may share parts of their prompts, within one caller or among all.  Ids of works
and of parts have the same form, and tell nothing of what they stand for.

.. versionadded:: 26.4.0
"""

from __future__ import annotations

import hashlib


#: How many bytes of a digest name the caller; the first ones of a work's id, so that
#: what is kept of works can be bounded for each caller.
CALLER_BYTES = 4
#: How many bytes name the work itself: no two of them are ever alike.
_WORK_BYTES = 12
#: How many bytes name a prompt's part, and how many the caller who sent it.
_PART_BYTES = 6
_HEX_DIGITS = frozenset("0123456789abcdef")
#: What the ids of parts begin with, where works' ids name their caller.  No workspace's
#: name has a zero byte.
_PART_PREFIX = hashlib.blake2b(b"\0part", digest_size=CALLER_BYTES).hexdigest()
_ALL_CALLERS = "0" * (2 * _PART_BYTES)


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


def prompt_part_id(part: str, *, caller: str | None = None) -> str:
    """Return the id of a prompt's part.

    Args:
        part: What the caller names it.
        caller: The workspace whose requests are meant, or None for all requests with
            that part.

    .. versionadded:: 26.7.0
    """
    named = hashlib.blake2b(part.encode(), digest_size=_PART_BYTES).hexdigest()
    if caller is None:
        return _PART_PREFIX + named + _ALL_CALLERS
    whose = hashlib.blake2b(caller.encode(), digest_size=_PART_BYTES).hexdigest()
    return _PART_PREFIX + named + whose


def is_prompt_part(trait: str) -> bool:
    """Tell whether an id is that of a prompt's part.

    .. versionadded:: 26.7.0
    """
    return trait.startswith(_PART_PREFIX)


def prompt_part_prefix(trait: str) -> str:
    """Return what the ids of one part have in common for all callers.

    .. versionadded:: 26.7.0
    """
    return trait[: 2 * (CALLER_BYTES + _PART_BYTES)]


def caller_prefix(work: str) -> str:
    """Return the start of a work's id, which names its caller.

    The ids of prompts' parts all begin alike.

    .. versionadded:: 26.4.0
    """
    return work[: 2 * CALLER_BYTES]


def check_work_id(text: str) -> None:
    """Check that a text that came from elsewhere is the id of a work or a part.

    Raises:
        ValueError: It is none.

    .. versionadded:: 26.4.0
    """
    if len(text) != 2 * (CALLER_BYTES + _WORK_BYTES) or not set(text) <= _HEX_DIGITS:
        msg = f"{text[:40]!r} is no work's id"
        raise ValueError(msg)
