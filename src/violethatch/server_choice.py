# SPDX-License-Identifier: MIT
"""Choosing a backend server of a plain service by its load.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import random

from collections.abc import Collection, Sequence

from .backends import BackendServer
from .upstream import ServerLoad


#: How long a server's word on its load counts, in seconds; some calls' work.
_LOAD_LIFE_S = 0.5
#: How much fuller a server in the own zone may be than one elsewhere, as a part of
#: its slots: what stays in its zone doesn't depend on links that may be cut.
_OWN_ZONE_PART = 1 / 3


class ServerChoice:
    """One instance's view of plain servers' loads.

    Its own calls are known exactly; what others have there only from the
    server's last word, less the own calls of that moment.

    Args:
        rng: Decides between equals.

    .. versionadded:: 26.1.0
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._own: dict[str, int] = {}
        self._others: dict[str, tuple[int, float]] = {}

    def choose(
        self,
        servers: Sequence[BackendServer],
        *,
        zone: str,
        avoided: Collection[str],
        now_s: float,
    ) -> BackendServer | None:
        """Return the least loaded server; an avoided one only without others.

        Args:
            servers: The servers that may be used.
            zone: The zone to stay in where it has room.
            avoided: Ids of servers to leave alone where possible.
            now_s: The current monotonic time, in seconds.
        """
        wanted = [server for server in servers if server.id not in avoided]
        options = wanted or list(servers)
        if not options:
            return None
        return min(
            options,
            key=lambda one: (self._cost(one, zone, now_s), self._rng.random()),
        )

    def started(self, server_id: str) -> None:
        """Count one of this instance's calls in."""
        self._own[server_id] = self._own.get(server_id, 0) + 1

    def ended(self, server_id: str, load: ServerLoad | None, *, now_s: float) -> None:
        """Count a call out and take in the server's word on its load."""
        own = self._own.get(server_id, 0) - 1
        if own > 0:
            self._own[server_id] = own
        else:
            self._own.pop(server_id, None)
        if load is not None:
            others = max(0, load.running + load.waiting - max(0, own) - 1)
            self._others[server_id] = (others, now_s)

    def forget(self, server_id: str) -> None:
        """Forget a server that is no longer listed."""
        self._others.pop(server_id, None)

    def _cost(self, server: BackendServer, zone: str, now_s: float) -> float:
        """Return what choosing a server costs, as a part of its slots."""
        is_away = server.availability_zone != zone
        return self._fullness(server, now_s) + is_away * _OWN_ZONE_PART

    def _fullness(self, server: BackendServer, now_s: float) -> float:
        """Return the part of a server's slots that is thought to be taken."""
        others, told_s = self._others.get(server.id, (0, 0.0))
        if now_s - told_s > _LOAD_LIFE_S:
            others = 0
        return (self._own.get(server.id, 0) + others) / max(1, server.slots)
