# SPDX-License-Identifier: MIT
"""Change detection on the list of a fleet's runners.

Layer placement waits until the list is stable: runners join and leave one by one,
and a plan for a partial list would move layers unnecessarily.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from .backends import BackendServer


#: Time without changes before layers are assigned to an empty fleet, in seconds:
#: runners join one by one, some 0.1 s apart at today's sites.
_SETTLE_S = 1.5
#: Max delay after the first runner before layers are assigned to an empty fleet,
#: in seconds; the list is complete after some 5 s.
_SETTLE_LIMIT_S = 6.0
#: Time without layers before a runner gets replicas of layers that other runners
#: hold, in seconds: a replacement joins some seconds before its predecessor leaves.
_IDLE_S = 6.0
#: Time without changes before loaded layers are moved, in seconds.
_REPAIR_SETTLE_S = 1.0


class FleetWatch:
    """Tracks when the list of a fleet's runners last changed."""

    def __init__(self) -> None:
        self._empty_ids: frozenset[str] = frozenset()
        self._empty_changed_s = 0.0
        #: When the runners were first seen without any layers, in monotonic seconds.
        self._without_layers_since_s: float | None = None
        self._empty_since_s: dict[str, float] = {}
        self._last_ids: frozenset[str] = frozenset()
        self._ids_changed_s = 0.0

    def is_settled(
        self,
        servers: Mapping[str, BackendServer],
        *,
        ordered: Collection[str],
        now_s: float,
    ) -> bool:
        """Return whether to plan now; an empty fleet has to be complete first.

        Args:
            servers: The usable runners by id.
            ordered: Ids of the runners with an order to load layers.
            now_s: The current monotonic time, in seconds.
        """
        if not servers:
            self._without_layers_since_s = None
            return False
        # Tracked even while entries of terminated runners are still listed.
        empty_ids = frozenset(
            server.id for server in servers.values() if not server.layers
        )
        if empty_ids != self._empty_ids:
            self._empty_ids = empty_ids
            self._empty_changed_s = now_s
        if len(empty_ids) < len(servers) or any(
            server_id in ordered for server_id in servers
        ):
            self._without_layers_since_s = None
            return True
        if self._without_layers_since_s is None:
            self._without_layers_since_s = now_s
        is_unchanged = now_s - self._empty_changed_s >= _SETTLE_S
        return is_unchanged or now_s - self._without_layers_since_s >= _SETTLE_LIMIT_S

    def is_stable(self, servers: Mapping[str, BackendServer], *, now_s: float) -> bool:
        """Return whether the list has been unchanged for long enough to move layers."""
        ids = frozenset(servers)
        if ids != self._last_ids:
            self._last_ids = ids
            self._ids_changed_s = now_s
        return now_s - self._ids_changed_s >= _REPAIR_SETTLE_S

    def long_idle(
        self, servers: Mapping[str, BackendServer], *, now_s: float
    ) -> frozenset[str]:
        """Return the ids of the runners that have been without layers for long."""
        empty = {server.id for server in servers.values() if not server.layers}
        self._empty_since_s = {
            server_id: self._empty_since_s.get(server_id, now_s) for server_id in empty
        }
        return frozenset(
            server_id
            for server_id, since_s in self._empty_since_s.items()
            if now_s - since_s >= _IDLE_S
        )
