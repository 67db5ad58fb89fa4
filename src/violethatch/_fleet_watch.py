# SPDX-License-Identifier: MIT
"""What has changed in a fleet's list, and how long ago.

Plans wait for the list to rest: runners come and go one by one, and a plan
made halfway would move layers for nothing.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from .backends import BackendServer


#: How long the list has to rest before an empty fleet is divided, in seconds:
#: runners come in one by one, some 0.1 s apart at today's sites.
_SETTLE_S = 1.5
#: How long after the first runner an empty fleet is divided at the latest,
#: in seconds; the list is whole after some 5 s.
_SETTLE_LIMIT_S = 6.0
#: How long a runner stays empty before it gets copies of layers that others
#: hold, in seconds: replacements come some seconds before who they replace.
_IDLE_S = 6.0
#: How long the list has to rest before held layers are moved, in seconds.
_REPAIR_REST_S = 1.0


class FleetWatch:
    """Remembers when a fleet's list has changed."""

    def __init__(self) -> None:
        self._empty_ids: frozenset[str] = frozenset()
        self._empty_changed_s = 0.0
        #: Since when no runner holds layers, in monotonic seconds.
        self._unheld_since_s: float | None = None
        self._empty_since_s: dict[str, float] = {}
        self._last_ids: frozenset[str] = frozenset()
        self._last_ids_s = 0.0

    def is_settled(
        self,
        servers: Mapping[str, BackendServer],
        *,
        ordered: Collection[str],
        now_s: float,
    ) -> bool:
        """Tell whether the plan may be made: an empty fleet has to be whole.

        Args:
            servers: By id, the runners that may be used.
            ordered: Ids of runners that were ordered to hold layers.
            now_s: The current monotonic time, in seconds.
        """
        if not servers:
            self._unheld_since_s = None
            return False
        # Empty runners count while entries of others that ended are still listed.
        empty_ids = frozenset(one.id for one in servers.values() if not one.layers)
        if empty_ids != self._empty_ids:
            self._empty_ids = empty_ids
            self._empty_changed_s = now_s
        if len(empty_ids) < len(servers) or any(one in ordered for one in servers):
            self._unheld_since_s = None
            return True
        if self._unheld_since_s is None:
            self._unheld_since_s = now_s
        is_at_rest = now_s - self._empty_changed_s >= _SETTLE_S
        return is_at_rest or now_s - self._unheld_since_s >= _SETTLE_LIMIT_S

    def is_stable(self, servers: Mapping[str, BackendServer], *, now_s: float) -> bool:
        """Tell whether the list has not changed for a while."""
        ids = frozenset(servers)
        if ids != self._last_ids:
            self._last_ids = ids
            self._last_ids_s = now_s
        return now_s - self._last_ids_s >= _REPAIR_REST_S

    def long_idle(
        self, servers: Mapping[str, BackendServer], *, now_s: float
    ) -> frozenset[str]:
        """Return the runners that nobody has needed for a while."""
        empty = {one.id for one in servers.values() if not one.layers}
        self._empty_since_s = {
            server_id: self._empty_since_s.get(server_id, now_s) for server_id in empty
        }
        return frozenset(
            server_id
            for server_id, since_s in self._empty_since_s.items()
            if now_s - since_s >= _IDLE_S
        )
