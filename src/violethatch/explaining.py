# SPDX-License-Identifier: MIT
"""Putting a request's log lines from several instances in order.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import json
import pathlib

from collections.abc import Iterable, Iterator
from typing import Any


#: What eliot adds, and what every line shown has in common.
_LEFT_OUT = ("number", "message_type", "timestamp", "task_uuid", "request_id")


def explain_request(logs: Iterable[str], *, request_id: str) -> list[str]:
    """Return a request's lines, as a person reads them, in order of time.

    Args:
        logs: Files with log lines; what is before a line's first brace, such
            as an instance's name, is shown with it.
        request_id: The request.

    Raises:
        OSError: A file can't be read.

    .. versionadded:: 26.1.0
    """
    found = [
        (float(message.get("timestamp", 0.0)), _shown(source, message))
        for log in logs
        for source, message in log_messages(log)
        if message.get("request_id") == request_id
    ]
    found.sort()
    return [line for _, line in found]


def log_messages(log: str) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield a file's messages with what stands before each.

    .. versionadded:: 26.2.0
    """
    with pathlib.Path(log).open(encoding="utf-8", errors="replace") as lines:
        for line in lines:
            before, brace, rest = line.partition("{")
            if not brace:
                continue
            try:
                message = json.loads(brace + rest)
            except ValueError:
                continue  # a line of another program, or one that was cut
            yield before.strip() or pathlib.Path(log).name, message


def _shown(source: str, message: dict[str, Any]) -> str:
    """Return a message as a line."""
    name = str(message.get("message_type", "")).removeprefix("violethatch:")
    fields = " ".join(
        f"{key}={value}"
        for key, value in message.items()
        if key not in _LEFT_OUT and value is not None
    )
    return f"{source} {message.get('number')} {name} {fields}"
