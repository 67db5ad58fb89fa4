# SPDX-License-Identifier: MIT
"""The backend servers that an instance temporarily avoids, and the reasons.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import enum

from typing import NamedTuple


class ServerFault(enum.StrEnum):
    """A fault that was observed on a server.

    .. versionadded:: 26.1.0
    """

    #: The server could not be connected to or stopped responding.
    SILENT = "silent"
    #: The runner was reported as faulty by another one on the same path.
    NAMED = "named"
    #: The server rejected a request for lack of capacity.
    FULL = "full"
    #: Another runner reported that the runner's layers are unavailable: it may be full,
    #: shutting down or dead.
    ABSENT = "absent"
    #: The server failed or returned a corrupt response.
    FAILED = "failed"
    #: The server reported its shutdown, which is permanent and has no cooldown.
    LEAVING = "leaving"


#: Faults of unknown duration: affected servers are still used if there is no
#: alternative.
_TRANSIENT_FAULTS = frozenset((ServerFault.FULL, ServerFault.ABSENT))
#: Faults that a lost network link can cause.
_LINK_FAULTS = frozenset((ServerFault.SILENT, ServerFault.FAILED))
_MIN_SERVER_ERROR = 500
#: A gateway timeout reports that the call's time ran out, not that its server failed.
_GATEWAY_TIMEOUT = 504
#: Default time after which engines abort requests that depend on a dead runner, in
#: seconds; the list of servers reflects its failure by then.
STALL_S = 3.0
#: The initial cooldown for transient faults, in seconds: capacity is available again
#: within a few requests.
_TRANSIENT_COOLDOWN_S = 0.3
#: The initial cooldown of a server that failed, in seconds.
_FAILED_COOLDOWN_S = 0.5
#: Repeated faults double the cooldown up to this, in seconds.
_MAX_COOLDOWN_S = 12.0


class _Cooldown(NamedTuple):
    """A server's cooldown."""

    fault: ServerFault
    until_s: float
    length_s: float
    recorded_s: float


class RunnerHealth:
    """The faults of backend servers that one instance has observed.

    Args:
        stall_s: After how many seconds engines abort requests that depend on a dead
            runner; also the cooldown of a silent server.

    .. versionadded:: 26.1.0
    """

    def __init__(self, *, stall_s: float = STALL_S) -> None:
        self.stall_s = stall_s
        self._cooldowns: dict[str, _Cooldown] = {}

    def record_fault(
        self, server_id: str, fault: ServerFault, *, now_s: float
    ) -> float | None:
        """Record a fault of a server.

        Returns:
            The length of the resulting cooldown, in seconds, or None if the server was
            already in cooldown.
        """
        length_s = self._initial_cooldown_s(fault)
        known = self._cooldowns.get(server_id)
        if _has_precedence(known, fault, now_s=now_s):
            return None
        if known is not None and fault is not ServerFault.FULL:
            if now_s < known.until_s and known.fault is fault:
                return None  # the same fault, observed by another request
            length_s = min(
                self._max_cooldown_s(fault), max(length_s, 2 * known.length_s)
            )
        if known is not None and known.until_s > now_s + length_s:
            return None
        self._cooldowns[server_id] = _Cooldown(fault, now_s + length_s, length_s, now_s)
        return length_s

    def start_cooldown(
        self, server_id: str, fault: ServerFault, length_s: float, *, now_s: float
    ) -> bool:
        """Start a reported cooldown; return whether it extends the current one."""
        known = self._cooldowns.get(server_id)
        if _has_precedence(known, fault, now_s=now_s):
            return False
        if known is not None and known.until_s >= now_s + length_s:
            return False
        initial_s = self._initial_cooldown_s(fault)
        base_s = known.length_s if known is not None else initial_s
        self._cooldowns[server_id] = _Cooldown(fault, now_s + length_s, base_s, now_s)
        return True

    def cooldowns_s(self, *, now_s: float) -> dict[str, float]:
        """Return the remaining cooldowns by server, in seconds."""
        return {
            server_id: cooldown.until_s - now_s
            for server_id, cooldown in self._cooldowns.items()
            if now_s < cooldown.until_s
        }

    def silent_cooldowns_s(self, *, now_s: float) -> dict[str, float]:
        """Return the remaining cooldowns of silent servers, in seconds."""
        return {
            server_id: remaining_s
            for server_id, remaining_s in self.cooldowns_s(now_s=now_s).items()
            if self._cooldowns[server_id].fault is ServerFault.SILENT
        }

    def extend_cooldown(self, server_id: str, *, now_s: float) -> None:
        """Restart a silent server's cooldown after it failed to respond to a probe."""
        known = self._cooldowns.get(server_id)
        if known is not None and known.fault is ServerFault.SILENT:
            until_s = max(known.until_s, now_s + self.stall_s)
            self._cooldowns[server_id] = known._replace(until_s=until_s)

    def record_success(self, server_id: str) -> None:
        """End a server's cooldown after a successful request."""
        self._cooldowns.pop(server_id, None)

    def is_in_cooldown(self, server_id: str, *, now_s: float) -> bool:
        """Return whether a server is in cooldown."""
        cooldown = self._cooldowns.get(server_id)
        return cooldown is not None and now_s < cooldown.until_s

    def in_cooldown(self, *, now_s: float) -> frozenset[str]:
        """Return all servers in cooldown."""
        return frozenset(self.cooldowns_s(now_s=now_s))

    def excluded(self, *, now_s: float) -> frozenset[str]:
        """Return the servers not to use even if there is no alternative."""
        return frozenset(
            server_id
            for server_id, cooldown in self._cooldowns.items()
            if now_s < cooldown.until_s and cooldown.fault not in _TRANSIENT_FAULTS
        )

    def forget_recent(self, server_id: str, since_s: float) -> None:
        """Discard a recent fault that this instance's own links may have caused.

        Args:
            server_id: The server.
            since_s: Faults recorded earlier are kept, in monotonic seconds.
        """
        cooldown = self._cooldowns.get(server_id)
        is_recent = cooldown is not None and cooldown.recorded_s >= since_s
        if is_recent and cooldown is not None and cooldown.fault in _LINK_FAULTS:
            del self._cooldowns[server_id]

    def forget(self, server_id: str) -> None:
        """Remove a server that is no longer listed."""
        self._cooldowns.pop(server_id, None)

    def _initial_cooldown_s(self, fault: ServerFault) -> float:
        """Return the length of a first cooldown, in seconds."""
        if fault in _TRANSIENT_FAULTS:
            return _TRANSIENT_COOLDOWN_S
        return _FAILED_COOLDOWN_S if fault is ServerFault.FAILED else self.stall_s

    def _max_cooldown_s(self, fault: ServerFault) -> float:
        """Return the maximum length of a cooldown after repeated faults, in seconds."""
        return self.stall_s if fault in _TRANSIENT_FAULTS else _MAX_COOLDOWN_S


def is_server_failure(status: int) -> bool:
    """Return whether a response's status code indicates a failure of its server.

    Other errors concern the call: its path, size or deadline.

    .. versionadded:: 26.3.0
    """
    return status >= _MIN_SERVER_ERROR and status != _GATEWAY_TIMEOUT


def _has_precedence(
    known: _Cooldown | None, fault: ServerFault, *, now_s: float
) -> bool:
    """Return whether an active cooldown takes precedence over a further fault."""
    if known is None or now_s >= known.until_s:
        return False
    return fault in _TRANSIENT_FAULTS and known.fault not in _TRANSIENT_FAULTS
