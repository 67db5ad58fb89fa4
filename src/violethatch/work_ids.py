# SPDX-License-Identifier: MIT
"""Digests that identify repeated requests (works) and common parts of their prompts.

A caller that retries sends a new request with another request id.  Requests are the
same work if caller, method, host, target and body are equal.  Requests of different
works may have prompt parts in common, within one caller or across callers.  Ids of
works and of prompt parts have the same format and reveal nothing of their input.

.. versionadded:: 26.4.0
"""

from __future__ import annotations

import hashlib


#: Digest size for the caller, in bytes: the prefix of a work id, so that state about
#: works can be bounded per caller.
CALLER_BYTES = 4
#: Digest size for the work itself, in bytes: makes collisions negligible.
_WORK_BYTES = 12
#: Digest size for a prompt part, and for the caller in its id, in bytes.
_PART_BYTES = 6
_HEX_DIGITS = frozenset("0123456789abcdef")
#: Prefix of prompt part ids, in place of a work id's caller.  The hashed text has a
#: zero byte, which no workspace name has.
_PART_PREFIX = hashlib.blake2b(b"\0part", digest_size=CALLER_BYTES).hexdigest()
_ANY_CALLER = "0" * (2 * _PART_BYTES)


def work_id(
    *, caller: str | None, method: str, host: str, target: str, body: bytes | bytearray
) -> str:
    """Return the id of a request's work, which reveals nothing of the body.

    Args:
        caller: The workspace, or None if callers are not distinguished.
        method: The request method.
        host: The requested host.
        target: Path and query as received.
        body: The complete body.

    .. versionadded:: 26.4.0
    """
    caller_name = caller or ""
    caller_digest = hashlib.blake2b(caller_name.encode(), digest_size=CALLER_BYTES)
    work_digest = hashlib.blake2b(digest_size=_WORK_BYTES)
    for part in (caller_name, method, host, target):
        encoded = part.encode("utf-8", "surrogateescape")
        work_digest.update(len(encoded).to_bytes(4, "big") + encoded)
    work_digest.update(body)
    return caller_digest.hexdigest() + work_digest.hexdigest()


def prompt_part_id(part: str, *, caller: str | None = None) -> str:
    """Return the id of a prompt part.

    Args:
        part: The caller's name of the part.
        caller: The workspace that the id is limited to, or None for requests of any
            caller with that part.

    .. versionadded:: 26.7.0
    """
    part_digest = hashlib.blake2b(part.encode(), digest_size=_PART_BYTES).hexdigest()
    if caller is None:
        return _PART_PREFIX + part_digest + _ANY_CALLER
    caller_digest = hashlib.blake2b(
        caller.encode(), digest_size=_PART_BYTES
    ).hexdigest()
    return _PART_PREFIX + part_digest + caller_digest


def is_prompt_part(trait: str) -> bool:
    """Return whether an id identifies a prompt part.

    .. versionadded:: 26.7.0
    """
    return trait.startswith(_PART_PREFIX)


def prompt_part_prefix(trait: str) -> str:
    """Return the prefix that the ids of a prompt part have for any caller.

    .. versionadded:: 26.7.0
    """
    return trait[: 2 * (CALLER_BYTES + _PART_BYTES)]


def caller_prefix(work: str) -> str:
    """Return the prefix of a work id that identifies the caller.

    Prompt part ids have a common prefix instead.

    .. versionadded:: 26.4.0
    """
    return work[: 2 * CALLER_BYTES]


def check_work_id(text: str) -> None:
    """Validate an untrusted id of a work or a prompt part.

    Raises:
        ValueError: The id is malformed.

    .. versionadded:: 26.4.0
    """
    if len(text) != 2 * (CALLER_BYTES + _WORK_BYTES) or not set(text) <= _HEX_DIGITS:
        msg = f"{text[:40]!r} is no work's id"
        raise ValueError(msg)
