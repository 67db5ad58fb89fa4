# SPDX-License-Identifier: MIT
"""A listed server, as everything else speaks of it; `backends` exports it."""

from __future__ import annotations

from typing import NamedTuple

from .layers import LayerRange


#: Stands between a server's id and its start.
START_MARK = "/"
#: How many digits a server's start has at most.
_START_DIGITS = 15


class BackendServer(NamedTuple):
    """A backend server of some service.

    Attributes:
        id: Names the server; it may start again under the same one.
        layers: The layers a runner holds; None for an empty runner and for
            servers without an engine.
        kind: The accelerator kind of a runner, or an empty text.
        started_ms: When it started, by its own time of day; 0 where it doesn't tell.
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
        """What names this start of the server, and none before or after it."""
        return format_lifetime(self.id, self.started_ms)


def format_lifetime(server_id: str, started_ms: int) -> str:
    """Return what names one start of a server; its id where it tells no start."""
    return f"{server_id}{START_MARK}{started_ms}" if started_ms else server_id


def parse_lifetime(lifetime: str) -> tuple[str, int]:
    """Return a server's id, and its start or 0, from what names both."""
    server_id, _, born = lifetime.rpartition(START_MARK)
    if server_id and born.isdecimal() and len(born) <= _START_DIGITS:
        return server_id, int(born)
    return lifetime, 0
