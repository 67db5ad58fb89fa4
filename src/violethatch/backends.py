# SPDX-License-Identifier: MIT
"""The backend servers that the platform lists, as one instance knows them.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from ._listed import BackendServer
from .departures import Departures
from .server_backoffs import may_come_from_start, resolve_start
from .server_starts import ServerStarts


__all__ = (
    "LAPSE_GRACE_S",
    "LAPSE_WINDOW_S",
    "LEAVING_S",
    "REWRITE_GRACE_S",
    "BackendServer",
    "BackendTable",
    "ListChange",
)


#: How long after the store's return entries may be gone and come back
#: (the platform states some 2 s), in seconds.
LAPSE_WINDOW_S = 3.0
#: The bound on work for a server that is leaving, at today's sites, in seconds.
LEAVING_S = 2.0
#: The part of that bound for which an entry that lapsed is still used; the rest
#: is the way of a request that was sent in the last moment.
_LAPSE_PART = 0.75
#: Servers whose own word that they leave is remembered, the latest ones: five times
#: those of the largest fleet that is planned for (790).
_MOST_SAID_LEAVING = 4_000
LAPSE_GRACE_S = LEAVING_S * _LAPSE_PART
#: How long a server stays listed that a restored store lacks, in seconds: entries are
#: written again within about two.
REWRITE_GRACE_S = 2.5


class ListChange(NamedTuple):
    """What a change of the list comes to."""

    found: tuple[str, ...]
    lost: tuple[str, ...]
    leaving: tuple[str, ...]
    #: Servers that have started again under their ids, as they were before.
    restarted: tuple[BackendServer, ...] = ()


_NO_CHANGE = ListChange((), (), ())


class BackendTable:
    """The listed backend servers.

    An entry that goes soon after the store's return may only have lapsed
    while the store was away; it is used for a while longer.

    Args:
        leaving_s: The bound on work for a server that is leaving, in seconds.

    .. versionadded:: 26.1.0
    """

    def __init__(self, *, leaving_s: float = LEAVING_S) -> None:
        self.leaving_s = leaving_s
        #: Grows with each change, so that what is derived can be cached.
        self.revision = 0
        self._servers: dict[str, BackendServer] = {}
        self._starts = ServerStarts()
        self._lapsed_until_s: dict[str, float] = {}
        #: By start, when it was asked that has said that it leaves, the latest last;
        #: and by id since when a server is known to leave.
        self._said_leaving: dict[tuple[str, int], int] = {}
        self._leaving_since_s: dict[str, float] = {}
        self._store_returned_s: float | None = None
        self._departures = Departures()

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, server_id: str) -> BackendServer | None:
        """Return a server, if it is listed."""
        return self._servers.get(server_id)

    def record_store_recovery(self, *, now_s: float) -> None:
        """Note that the store answers again after it had not."""
        self._store_returned_s = now_s

    def apply_changes(
        self,
        present: Iterable[BackendServer],
        gone: Iterable[str],
        *,
        refused: Iterable[str] = (),
        now_s: float,
    ) -> ListChange:
        """Take changed entries in.

        Args:
            present: Entries as they are now.
            gone: The ids of entries that are gone.
            refused: The ids of entries that name no server to use: another writer's.
            now_s: The current monotonic time, in seconds.
        """
        self._starts.forget_old(now_s=now_s)
        found = []
        leaving = []
        restarted = []
        for entry in present:
            known = self._servers.get(entry.id)
            if not self._starts.admits(entry, known, now_s=now_s):
                continue  # an earlier start's, which may have come late
            self._departures.listed_again(entry.id)
            if known is not None and _is_new_start(known, entry):
                restarted.append(known)
                self._leaving_since_s.pop(entry.id, None)
                self._carry_word(known, entry)
            server = self._as_said(_still_leaving(known, entry))
            if known is None:
                found.append(server.id)
            if server.is_leaving and not (known is not None and known.is_leaving):
                leaving.append(server.id)
            self._note_since(server, now_s=now_s)
            self._lapsed_until_s.pop(server.id, None)
            self._servers[server.id] = server
        lost = []
        for server_id in gone:
            known = self._servers.get(server_id)
            if known is not None:
                self._departures.note(known, now_s=now_s)
            if self._remove(server_id, now_s=now_s):
                lost.append(server_id)
        lost += [one for one in refused if self._forget(one)]
        self.revision += 1
        return ListChange(tuple(found), tuple(lost), tuple(leaving), tuple(restarted))

    def mark_leaving(
        self, server_id: str, started_ms: int, *, sent_ms: int = 0, now_s: float
    ) -> bool:
        """Take a server's own word in that it leaves; tell whether that is news.

        It stands for that start of it, whatever its entry says, and also if the entry
        comes only later.

        Args:
            server_id: Who has said so.
            started_ms: Which start of it was listed; 0 where it tells none.
            sent_ms: When the server was asked, by the time of day; 0 if not known.
            now_s: The current monotonic time, in seconds.
        """
        known = self._servers.get(server_id)
        known_ms = known.started_ms if known is not None else 0
        start_ms = resolve_start(started_ms, known_ms=known_ms, sent_ms=sent_ms)
        if start_ms is None:
            return False
        start = (server_id, start_ms)
        is_news = start not in self._said_leaving
        self._said_leaving[start] = max(sent_ms, self._said_leaving.pop(start, 0))
        while len(self._said_leaving) > _MOST_SAID_LEAVING:
            del self._said_leaving[next(iter(self._said_leaving))]
        if known is None or known.is_leaving or self._as_said(known) is known:
            return is_news
        self._servers[server_id] = known._replace(is_leaving=True)
        self._note_since(self._servers[server_id], now_s=now_s)
        self.revision += 1
        return True

    def leaving_for_s(self, server_id: str, *, now_s: float) -> float:
        """Return for how long a server is known to leave, in seconds; 0 if it isn't."""
        since_s = self._leaving_since_s.get(server_id)
        return 0.0 if since_s is None else now_s - since_s

    def apply_deferred(self, *, now_s: float) -> ListChange:
        """Take in entries of earlier starts that have stayed the newest ones."""
        due = self._starts.due(now_s=now_s)
        return self.apply_changes(due, [], now_s=now_s) if due else _NO_CHANGE

    def replace(
        self,
        present: Sequence[BackendServer],
        *,
        refused: Collection[str] = (),
        is_restored: bool = False,
        now_s: float,
    ) -> ListChange:
        """Take the whole list in.

        Args:
            present: The listed servers.
            refused: The ids of entries that name no server to use.
            is_restored: Whether the store was restored from a copy: its list undoes no
                departure, and a server that it lacks may write again.
            now_s: The current monotonic time, in seconds.
        """
        gone = self._servers.keys() - {server.id for server in present} - {*refused}
        if is_restored:
            self._departures.restored(now_s=now_s)
        present = [
            one for one in present if not self._departures.is_undone(one, now_s=now_s)
        ]
        if is_restored:
            gone = {one for one in gone if not self._await_rewrite(one, now_s=now_s)}
        return self.apply_changes(present, sorted(gone), refused=refused, now_s=now_s)

    def _await_rewrite(self, server_id: str, *, now_s: float) -> bool:
        """Keep a server that a copy lacks for a while; return whether it is kept."""
        if self._servers[server_id].is_leaving:
            return False
        until_s = now_s + REWRITE_GRACE_S
        self._lapsed_until_s.setdefault(server_id, until_s)
        return True

    def expire(self, *, now_s: float) -> tuple[str, ...]:
        """Forget lapsed entries that did not come back; return their ids."""
        expired = tuple(
            server_id
            for server_id, until_s in self._lapsed_until_s.items()
            if now_s >= until_s
        )
        for server_id in expired:
            self._forget(server_id)
            self.revision += 1
        return expired

    def services(self) -> frozenset[str]:
        """Return the services that have listed servers."""
        return frozenset(server.service for server in self._servers.values())

    def usable(self, service: str) -> list[BackendServer]:
        """Return a service's servers that may get new work."""
        return [
            server
            for server in self._servers.values()
            if server.service == service and not server.is_leaving
        ]

    def entry_servers(self, service: str) -> list[BackendServer]:
        """Return the usable servers that calls of a service are sent to.

        Those are the runners that a path may begin at, where there are any.
        """
        usable = self.usable(service)
        firsts = [one for one in usable if one.layers and one.layers.first == 0]
        return firsts or usable

    def leaving(self, service: str) -> list[str]:
        """Return the ids of a service's listed servers that leave."""
        return [
            server.id
            for server in self._servers.values()
            if server.service == service and server.is_leaving
        ]

    def _remove(self, server_id: str, *, now_s: float) -> bool:
        """Remove an entry, or mark it as lapsed; tell whether it was removed."""
        self._starts.gone(server_id)
        known = self._servers.get(server_id)
        if known is None:
            return False
        returned_s = self._store_returned_s
        is_lapse = (
            returned_s is not None
            and now_s - returned_s < LAPSE_WINDOW_S
            and not known.is_leaving
        )
        if is_lapse:
            until_s = now_s + self.leaving_s * _LAPSE_PART
            self._lapsed_until_s.setdefault(server_id, until_s)
            return False
        return self._forget(server_id)

    def _note_since(self, server: BackendServer, *, now_s: float) -> None:
        """Note since when a server leaves, or that it doesn't."""
        if server.is_leaving:
            self._leaving_since_s.setdefault(server.id, now_s)
        else:
            self._leaving_since_s.pop(server.id, None)

    def _carry_word(self, before: BackendServer, server: BackendServer) -> None:
        """Take for a new start's word what was asked for after its birth."""
        sent_ms = self._said_leaving.get((before.id, before.started_ms), 0)
        if may_come_from_start(
            server.started_ms, listed_ms=before.started_ms, sent_ms=sent_ms
        ):
            self._said_leaving[server.id, server.started_ms] = sent_ms

    def _as_said(self, server: BackendServer) -> BackendServer:
        """Return an entry with its server's own word that it leaves, if that stands."""
        starts = {(server.id, server.started_ms), (server.id, 0)}
        if starts.isdisjoint(self._said_leaving):
            return server
        return server._replace(is_leaving=True)

    def _forget(self, server_id: str) -> bool:
        """Forget a server; tell whether it was known."""
        self._lapsed_until_s.pop(server_id, None)
        self._leaving_since_s.pop(server_id, None)
        return self._servers.pop(server_id, None) is not None


def _still_leaving(known: BackendServer | None, entry: BackendServer) -> BackendServer:
    """Return an entry as draining if that start of its server drained before.

    A server that drains ends: only an older read lists the start as ready again.
    """
    if known is None or not known.is_leaving or _is_new_start(known, entry):
        return entry
    return entry._replace(is_leaving=True)


def _is_new_start(known: BackendServer, server: BackendServer) -> bool:
    """Tell whether an entry is of another start than the one that is known."""
    return bool(
        known.started_ms and server.started_ms and known.started_ms != server.started_ms
    )
