# SPDX-License-Identifier: MIT
"""The `BackendServer` type; `backends` re-exports it."""

from __future__ import annotations

from typing import NamedTuple

from .layers import LayerRange


#: Separates a server's id from its start time.
START_SEPARATOR = "/"
_MAX_START_DIGITS = 15


class BackendServer(NamedTuple):
    """A backend server of a service.

    Attributes:
        id: The server's id, which it keeps across restarts.
        layers: The layers that a runner holds; None for a runner without layers and for
            servers without an engine.
        kind: The accelerator kind of a runner, or an empty string.
        started_ms: When the server started, by its own wall clock; 0 if not reported.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_leaving: bool
    layers: LayerRange | None = None
    kind: str = ""
    weights_version: int = 0
    started_ms: int = 0

    @property
    def lifetime(self) -> str:
        """Identifies this start of the server, unlike its id."""
        return format_lifetime(self.id, self.started_ms)


def format_lifetime(server_id: str, started_ms: int) -> str:
    """Return the identifier of a server's start; its id if the start is unknown."""
    return f"{server_id}{START_SEPARATOR}{started_ms}" if started_ms else server_id


def parse_lifetime(lifetime: str) -> tuple[str, int]:
    """Split the identifier of a server's start into the server's id and start, or 0."""
    server_id, _, start = lifetime.rpartition(START_SEPARATOR)
    if server_id and start.isdecimal() and len(start) <= _MAX_START_DIGITS:
        return server_id, int(start)
    return lifetime, 0
