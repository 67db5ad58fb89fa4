# SPDX-License-Identifier: MIT
"""The backend servers that the platform lists, as tracked by an instance.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import math

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from ._listed import BackendServer
from .departures import Departures
from .server_backoffs import may_come_from_start, resolve_start
from .server_starts import ServerStarts


__all__ = (
    "EXPIRY_GRACE_S",
    "EXPIRY_WINDOW_S",
    "LEAVING_S",
    "MIN_EXPIRY_S",
    "REWRITE_GRACE_S",
    "BackendServer",
    "BackendTable",
    "ListChange",
    "StoreOutage",
)


#: For how long after an outage of the store expired entries may be missing, in seconds;
#: the platform states about 2 s.
EXPIRY_WINDOW_S = 2.5
#: An outage in which entries expire is longer, in seconds: they do after several
#: heartbeats.
MIN_EXPIRY_S = 2.0
#: Default limit for work on a server that is shutting down, in seconds.
LEAVING_S = 2.0
#: The fraction of that limit for which an expired entry is still used; the remainder
#: covers the network latency of a request that is sent at the last moment.
_EXPIRY_FRACTION = 0.75
#: Maximum number of servers that are remembered as having reported their shutdown; the
#: most recent are kept. Five times the planned maximum fleet size of 790 servers.
_MAX_REPORTED_LEAVING = 4_000
EXPIRY_GRACE_S = LEAVING_S * _EXPIRY_FRACTION
#: For how long a server that a restored store lacks stays listed, in seconds; servers
#: rewrite their entries within about 2 s.
REWRITE_GRACE_S = 2.5


class StoreOutage(NamedTuple):
    """A time in which an instance could not read the store.

    Attributes:
        proven_s: The latest time for which the list was known, in monotonic seconds;
            minus infinity without one.
        unavailable_s: The latest time at which the store was known to be unavailable,
            in monotonic seconds. It may have recovered at any time since.
    """

    proven_s: float
    unavailable_s: float


class ListChange(NamedTuple):
    """The effect of a change to the list."""

    found: tuple[str, ...]
    lost: tuple[str, ...]
    leaving: tuple[str, ...]
    #: Servers that restarted under the same id, in their previous state.
    restarted: tuple[BackendServer, ...] = ()
    #: By server id, the faults of entries that are no longer used, or not from the
    #: start, because their service can't have such a server.
    faults: Mapping[str, str] = MappingProxyType({})


_NO_CHANGE = ListChange((), (), ())


class BackendTable:
    """The listed backend servers.

    An entry that is removed soon after the store has recovered may only have expired
    during the outage, so that it is used for a grace period.  Its server may as well
    have left, also before the outage was over for this instance, so that the grace
    period is limited by when the store was last unavailable rather than by when this
    instance learns of its recovery.

    Args:
        leaving_s: The limit for work on a server that is shutting down, in seconds.

    .. versionadded:: 26.1.0
    """

    def __init__(self, *, leaving_s: float = LEAVING_S) -> None:
        self.leaving_s = leaving_s
        #: Incremented with each change, so that derived data can be cached.
        self.revision = 0
        #: Returns why a server can't belong to its service, or None if it can.
        self.find_fault: Callable[[BackendServer], str | None] = lambda _server: None
        self._servers: dict[str, BackendServer] = {}
        #: Entries with such a fault, which may fit a later version of their service.
        self._faulty: dict[str, BackendServer] = {}
        self._starts = ServerStarts()
        self._grace_until_s: dict[str, float] = {}
        #: By server id and start, the wall-clock time of the latest request whose
        #: response reported the shutdown; the most recently reported come last.
        self._reported_leaving: dict[tuple[str, int], int] = {}
        self._leaving_since_s: dict[str, float] = {}
        #: When entries may still be missing that expired in an outage.
        self._expiry_until_s = -math.inf
        #: By server id, when an entry was found to be missing that may have expired.
        self._expired_s: dict[str, float] = {}
        self._departures = Departures()

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, server_id: str) -> BackendServer | None:
        """Return a server, or None if it is not listed."""
        return self._servers.get(server_id)

    def record_store_recovery(self, outage: StoreOutage, *, now_s: float) -> None:
        """Record that the store has recovered from an outage.

        Args:
            outage: The outage.
            now_s: The current monotonic time, in seconds.
        """
        is_known = now_s < self._expiry_until_s
        if now_s - outage.proven_s < MIN_EXPIRY_S and not is_known:
            return
        until_s = outage.unavailable_s + EXPIRY_WINDOW_S
        self._expiry_until_s = max(self._expiry_until_s, until_s)

    def apply_changes(
        self,
        present: Iterable[BackendServer],
        removed: Iterable[str],
        *,
        refused: Iterable[str] = (),
        now_s: float,
    ) -> ListChange:
        """Apply changed entries.

        Args:
            present: Entries that were added or updated.
            removed: The ids of entries that were removed.
            refused: The ids of entries that don't describe a usable server, such as
                those of another writer.
            now_s: The current monotonic time, in seconds.
        """
        self._starts.expire(now_s=now_s)
        found = []
        leaving = []
        restarted = []
        faults = {}
        for entry in present:
            known = self._servers.get(entry.id)
            if not self._starts.is_current(entry, known, now_s=now_s):
                continue  # an earlier start, possibly a delayed write
            fault = self.find_fault(entry)
            if fault is not None:
                if entry.id not in self._faulty:
                    faults[entry.id] = fault
                self._faulty[entry.id] = entry
                continue
            self._faulty.pop(entry.id, None)
            self._departures.discard(entry.id)
            if known is not None and _is_new_start(known, entry):
                restarted.append(known)
                self._leaving_since_s.pop(entry.id, None)
                self._carry_over_report(known, entry)
            server = self._with_reported_state(_keep_leaving(known, entry))
            if known is None:
                found.append(server.id)
            if server.is_leaving and not (known is not None and known.is_leaving):
                leaving.append(server.id)
            self._update_leaving_since(server, now_s=now_s)
            self._grace_until_s.pop(server.id, None)
            self._expired_s.pop(server.id, None)
            self._servers[server.id] = server
        lost = [server_id for server_id in faults if self._forget(server_id)]
        for server_id in removed:
            self._faulty.pop(server_id, None)
            known = self._servers.get(server_id)
            if known is not None:
                self._departures.record(known, now_s=now_s)
            if self._remove(server_id, now_s=now_s):
                lost.append(server_id)
        for server_id in refused:
            self._faulty.pop(server_id, None)
            if self._forget(server_id):
                lost.append(server_id)
        self.revision += 1
        return ListChange(
            tuple(found), tuple(lost), tuple(leaving), tuple(restarted), faults
        )

    def recheck(self, *, now_s: float) -> ListChange:
        """Check all entries again, after a change of their services."""
        changed = [
            *(one for one in self._faulty.values() if self.find_fault(one) is None),
            *filter(self.find_fault, self._servers.values()),
        ]
        return self.apply_changes(changed, [], now_s=now_s) if changed else _NO_CHANGE

    def mark_leaving(
        self, server_id: str, started_ms: int, *, sent_ms: int = 0, now_s: float
    ) -> bool:
        """Record a server's own report of its shutdown; return whether it is new.

        The report applies to that start of the server regardless of its entry, even if
        the entry is only received later.

        Args:
            server_id: The server that reported it.
            started_ms: The start that was listed; 0 if unknown.
            sent_ms: When the request was sent, in wall-clock time; 0 if unknown.
            now_s: The current monotonic time, in seconds.
        """
        known = self._servers.get(server_id)
        known_ms = known.started_ms if known is not None else 0
        start_ms = resolve_start(started_ms, known_ms=known_ms, sent_ms=sent_ms)
        if start_ms is None:
            return False
        start = (server_id, start_ms)
        is_new = start not in self._reported_leaving
        self._reported_leaving[start] = max(
            sent_ms, self._reported_leaving.pop(start, 0)
        )
        while len(self._reported_leaving) > _MAX_REPORTED_LEAVING:
            del self._reported_leaving[next(iter(self._reported_leaving))]
        if (
            known is None
            or known.is_leaving
            or self._with_reported_state(known) is known
        ):
            return is_new
        self._servers[server_id] = known._replace(is_leaving=True)
        self._update_leaving_since(self._servers[server_id], now_s=now_s)
        self.revision += 1
        return True

    def leaving_for_s(self, server_id: str, *, now_s: float) -> float:
        """Return for how long a server has been leaving, in seconds; 0 if it isn't."""
        since_s = self._leaving_since_s.get(server_id)
        return 0.0 if since_s is None else now_s - since_s

    def apply_deferred(self, *, now_s: float) -> ListChange:
        """Apply deferred entries of earlier starts that were not superseded."""
        due = self._starts.pop_due(now_s=now_s)
        return self.apply_changes(due, [], now_s=now_s) if due else _NO_CHANGE

    def replace(
        self,
        present: Sequence[BackendServer],
        *,
        refused: Collection[str] = (),
        is_restored: bool = False,
        now_s: float,
    ) -> ListChange:
        """Apply the full list.

        Args:
            present: The listed servers.
            refused: The ids of entries that don't describe a usable server.
            is_restored: Whether the store was restored from a backup: its list must not
                bring back removed servers, and servers that it lacks may write again.
            now_s: The current monotonic time, in seconds.
        """
        listed = {server.id for server in present} | {*refused}
        removed = self._servers.keys() - listed
        for server_id in self._faulty.keys() - listed:
            del self._faulty[server_id]
        if is_restored:
            self._departures.record_restore(now_s=now_s)
        present = [
            server
            for server in present
            if not self._departures.is_resurrected(server, now_s=now_s)
        ]
        if is_restored:
            removed = {
                server_id
                for server_id in removed
                if not self._retain_until_rewritten(server_id, now_s=now_s)
            }
        return self.apply_changes(
            present, sorted(removed), refused=refused, now_s=now_s
        )

    def _retain_until_rewritten(self, server_id: str, *, now_s: float) -> bool:
        """Retain a server that a backup lacks for a while; return whether it is."""
        if self._servers[server_id].is_leaving:
            return False
        until_s = now_s + REWRITE_GRACE_S
        self._grace_until_s.setdefault(server_id, until_s)
        return True

    def expire(self, *, now_s: float) -> tuple[str, ...]:
        """Remove expired entries that were not written again; return their ids."""
        grace_s = self.leaving_s * _EXPIRY_FRACTION
        expired = (
            *(key for key, until_s in self._grace_until_s.items() if now_s >= until_s),
            *(
                key
                for key, missing_s in self._expired_s.items()
                if now_s >= min(missing_s + grace_s, self._expiry_until_s)
            ),
        )
        for server_id in expired:
            self._forget(server_id)
            self.revision += 1
        return expired

    def services(self) -> frozenset[str]:
        """Return the services that have listed servers."""
        return frozenset(server.service for server in self._servers.values())

    def usable(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that may receive new work."""
        return [
            server
            for server in self._servers.values()
            if server.service == service and not server.is_leaving
        ]

    def entry_servers(self, service: str) -> list[BackendServer]:
        """Return the usable servers to which a service's calls are sent.

        These are the runners that can be first on a path, if there are any.
        """
        usable = self.usable(service)
        first_runners = [
            server for server in usable if server.layers and server.layers.first == 0
        ]
        return first_runners or usable

    def leaving(self, service: str) -> list[str]:
        """Return the ids of a service's listed servers that are shutting down."""
        return [
            server.id
            for server in self._servers.values()
            if server.service == service and server.is_leaving
        ]

    def _remove(self, server_id: str, *, now_s: float) -> bool:
        """Remove an entry or mark it as expired; return whether it was removed."""
        self._starts.discard_deferred(server_id)
        known = self._servers.get(server_id)
        if known is None:
            return False
        if now_s < self._expiry_until_s and not known.is_leaving:
            self._expired_s.setdefault(server_id, now_s)
            return False
        return self._forget(server_id)

    def _update_leaving_since(self, server: BackendServer, *, now_s: float) -> None:
        """Update since when a server has been shutting down."""
        if server.is_leaving:
            self._leaving_since_s.setdefault(server.id, now_s)
        else:
            self._leaving_since_s.pop(server.id, None)

    def _carry_over_report(self, before: BackendServer, server: BackendServer) -> None:
        """Attribute a shutdown report to a new start if requested after that start."""
        sent_ms = self._reported_leaving.get((before.id, before.started_ms), 0)
        if may_come_from_start(
            server.started_ms, listed_ms=before.started_ms, sent_ms=sent_ms
        ):
            self._reported_leaving[server.id, server.started_ms] = sent_ms

    def _with_reported_state(self, server: BackendServer) -> BackendServer:
        """Return an entry, marked as leaving if its server reported its shutdown."""
        starts = {(server.id, server.started_ms), (server.id, 0)}
        if starts.isdisjoint(self._reported_leaving):
            return server
        return server._replace(is_leaving=True)

    def _forget(self, server_id: str) -> bool:
        """Remove a server; return whether it was listed."""
        self._grace_until_s.pop(server_id, None)
        self._expired_s.pop(server_id, None)
        self._leaving_since_s.pop(server_id, None)
        return self._servers.pop(server_id, None) is not None


def _keep_leaving(known: BackendServer | None, entry: BackendServer) -> BackendServer:
    """Return an entry, marked as leaving if that start was leaving before.

    A server that is shutting down doesn't become ready again: only an outdated read
    lists that start as ready.
    """
    if known is None or not known.is_leaving or _is_new_start(known, entry):
        return entry
    return entry._replace(is_leaving=True)


def _is_new_start(known: BackendServer, server: BackendServer) -> bool:
    """Return whether an entry belongs to another start than the known one."""
    return bool(
        known.started_ms and server.started_ms and known.started_ms != server.started_ms
    )
