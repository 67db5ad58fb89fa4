# SPDX-License-Identifier: MIT
"""Load balancing over the backend servers of a plain service.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import random

from collections.abc import Collection, Sequence

from .backends import BackendServer
from .upstream import ServerLoad


#: For how long a reported load is used, in seconds; the duration of a few calls.
_LOAD_TTL_S = 0.5
#: How much higher the utilization of a server in the local zone may be than that of a
#: remote one: calls within a zone don't depend on links that may be lost.
_REMOTE_ZONE_PENALTY = 1 / 3


class ServerChoice:
    """One instance's view of the load of plain servers.

    This instance's own calls are counted. The calls of other instances are derived from
    the server's last report, less the own calls at that time.

    Args:
        rng: Breaks ties.

    .. versionadded:: 26.1.0
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._own_calls: dict[str, int] = {}
        self._other_calls: dict[str, tuple[int, float]] = {}

    def choose(
        self,
        servers: Sequence[BackendServer],
        *,
        zone: str,
        avoided: Collection[str],
        now_s: float,
    ) -> BackendServer | None:
        """Return the least loaded server; an avoided one only if there is no other.

        Args:
            servers: The servers to choose from.
            zone: The zone to prefer.
            avoided: Ids of servers not to use if there are others.
            now_s: The current monotonic time, in seconds.
        """
        preferred = [server for server in servers if server.id not in avoided]
        candidates = preferred or list(servers)
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda server: (self._cost(server, zone, now_s), self._rng.random()),
        )

    def started(self, server_id: str) -> None:
        """Count a call of this instance as in flight."""
        self._own_calls[server_id] = self._own_calls.get(server_id, 0) + 1

    def ended(self, server_id: str, load: ServerLoad | None, *, now_s: float) -> None:
        """Count a call as completed, and record the load that its server reported."""
        own = self._own_calls.get(server_id, 0) - 1
        if own > 0:
            self._own_calls[server_id] = own
        else:
            self._own_calls.pop(server_id, None)
        if load is not None:
            others = max(0, load.running + load.waiting - max(0, own) - 1)
            self._other_calls[server_id] = (others, now_s)

    def forget(self, server_id: str) -> None:
        """Remove a server that is no longer listed."""
        self._other_calls.pop(server_id, None)

    def _cost(self, server: BackendServer, zone: str, now_s: float) -> float:
        """Return the cost of choosing a server, as a fraction of its slots."""
        is_remote = server.availability_zone != zone
        return self._utilization(server, now_s) + is_remote * _REMOTE_ZONE_PENALTY

    def _utilization(self, server: BackendServer, now_s: float) -> float:
        """Return the estimated fraction of a server's slots that is in use."""
        others, reported_s = self._other_calls.get(server.id, (0, 0.0))
        if now_s - reported_s > _LOAD_TTL_S:
            others = 0
        return (self._own_calls.get(server.id, 0) + others) / max(1, server.slots)
