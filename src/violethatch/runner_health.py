# SPDX-License-Identifier: MIT
"""Which backend servers an instance leaves alone for a while, and why.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import enum

from typing import NamedTuple


class ServerFault(enum.StrEnum):
    """What was seen of a server.

    .. versionadded:: 26.1.0
    """

    #: It can't be connected to, or went silent.
    SILENT = "silent"
    #: A runner on a path was named as the one at fault.
    NAMED = "named"
    #: It refused for want of room.
    FULL = "full"
    #: Another runner says that its part can't be had: it may be full, leaving or
    #: dead, which only time tells.
    ABSENT = "absent"
    #: It failed or spoilt an answer.
    FAILED = "failed"
    #: It has said that it leaves, which is for good and no rest.
    LEAVING = "leaving"


#: The troubles that say little of how long they last: such a server is still used
#: where there is no other.
_MILD = frozenset((ServerFault.FULL, ServerFault.ABSENT))
#: The troubles that lost links show as.
_OF_LINKS = frozenset((ServerFault.SILENT, ServerFault.FAILED))
_SERVER_ERROR = 500
#: A server's own word that the call's time was over, which says nothing of itself.
_TIME_OVER = 504
#: After how long engines cut what depends on a dead runner, at today's sites,
#: in seconds; the list tells of it by then.
STALL_S = 3.0
#: How long a server is left alone that had no room, in seconds: room is back
#: within some requests.
_FULL_REST_S = 0.3
#: How long a server is left alone that spoilt an answer, in seconds.
_FAILED_REST_S = 0.5
#: Repeated trouble doubles the rest up to this, in seconds.
_LONGEST_REST_S = 12.0


class _Rest(NamedTuple):
    """A server's rest."""

    trouble: ServerFault
    until_s: float
    length_s: float
    noted_s: float


class RunnerHealth:
    """What one instance has seen of backend servers.

    Args:
        stall_s: After how long engines cut what depends on a dead runner, in
            seconds; a silent one is left alone for as long.

    .. versionadded:: 26.1.0
    """

    def __init__(self, *, stall_s: float = STALL_S) -> None:
        self.stall_s = stall_s
        self._rests: dict[str, _Rest] = {}

    def record_fault(
        self, server_id: str, trouble: ServerFault, *, now_s: float
    ) -> float | None:
        """Note trouble with a server.

        Returns:
            For how long the server is left alone because of it, in seconds, or
            None if it was left alone already.
        """
        length_s = self._first_rest_s(trouble)
        known = self._rests.get(server_id)
        if _outweighs(known, trouble, now_s=now_s):
            return None
        if known is not None and trouble is not ServerFault.FULL:
            if now_s < known.until_s and known.trouble is trouble:
                return None  # the same trouble, seen by another request
            length_s = min(
                self._longest_rest_s(trouble), max(length_s, 2 * known.length_s)
            )
        if known is not None and known.until_s > now_s + length_s:
            return None
        self._rests[server_id] = _Rest(trouble, now_s + length_s, length_s, now_s)
        return length_s

    def start_cooldown(
        self, server_id: str, trouble: ServerFault, length_s: float, *, now_s: float
    ) -> bool:
        """Leave a server alone on another's word; tell whether that is longer."""
        known = self._rests.get(server_id)
        if _outweighs(known, trouble, now_s=now_s):
            return False
        if known is not None and known.until_s >= now_s + length_s:
            return False
        first_s = self._first_rest_s(trouble)
        known_s = known.length_s if known is not None else first_s
        self._rests[server_id] = _Rest(trouble, now_s + length_s, known_s, now_s)
        return True

    def cooldowns_s(self, *, now_s: float) -> dict[str, float]:
        """Return, by server that is left alone, for how much longer, in seconds."""
        return {
            server_id: rest.until_s - now_s
            for server_id, rest in self._rests.items()
            if now_s < rest.until_s
        }

    def silent_cooldowns_s(self, *, now_s: float) -> dict[str, float]:
        """Return the silent servers that rest, and for how much longer, in seconds."""
        return {
            server_id: left_s
            for server_id, left_s in self.cooldowns_s(now_s=now_s).items()
            if self._rests[server_id].trouble is ServerFault.SILENT
        }

    def extend_cooldown(self, server_id: str, *, now_s: float) -> None:
        """Let a silent server rest for as long again: it was asked in vain."""
        known = self._rests.get(server_id)
        if known is not None and known.trouble is ServerFault.SILENT:
            until_s = max(known.until_s, now_s + self.stall_s)
            self._rests[server_id] = known._replace(until_s=until_s)

    def record_success(self, server_id: str) -> None:
        """Note that a server did its work."""
        self._rests.pop(server_id, None)

    def is_in_cooldown(self, server_id: str, *, now_s: float) -> bool:
        """Tell whether a server is left alone now."""
        rest = self._rests.get(server_id)
        return rest is not None and now_s < rest.until_s

    def in_cooldown(self, *, now_s: float) -> frozenset[str]:
        """Return all servers that are left alone now."""
        return frozenset(self.cooldowns_s(now_s=now_s))

    def excluded(self, *, now_s: float) -> frozenset[str]:
        """Return the servers not to use even where there is no other."""
        return frozenset(
            server_id
            for server_id, rest in self._rests.items()
            if now_s < rest.until_s and rest.trouble not in _MILD
        )

    def forget_recent(self, server_id: str, since_s: float) -> None:
        """Forget what this instance's own links may be the reason for.

        Args:
            server_id: The server.
            since_s: What was noted earlier stands, in monotonic seconds.
        """
        rest = self._rests.get(server_id)
        is_due = rest is not None and rest.noted_s >= since_s
        if is_due and rest is not None and rest.trouble in _OF_LINKS:
            del self._rests[server_id]

    def forget(self, server_id: str) -> None:
        """Forget a server that is no longer listed."""
        self._rests.pop(server_id, None)

    def _first_rest_s(self, trouble: ServerFault) -> float:
        """Return how long a server is left alone at first, in seconds."""
        if trouble in _MILD:
            return _FULL_REST_S
        return _FAILED_REST_S if trouble is ServerFault.FAILED else self.stall_s

    def _longest_rest_s(self, trouble: ServerFault) -> float:
        """Return how long repeated trouble lets a server rest at most."""
        return self.stall_s if trouble in _MILD else _LONGEST_REST_S


def is_server_failure(status: int) -> bool:
    """Tell whether an answer's status says that its server fails.

    Others speak of the call: its path, its size, its time.

    .. versionadded:: 26.3.0
    """
    return status >= _SERVER_ERROR and status != _TIME_OVER


def _outweighs(known: _Rest | None, trouble: ServerFault, *, now_s: float) -> bool:
    """Tell whether a rest that lasts says more than a further trouble."""
    if known is None or now_s >= known.until_s:
        return False
    return trouble in _MILD and known.trouble not in _MILD
