# SPDX-License-Identifier: MIT
"""The desired state: which calls go to which service, and for whom.

The types hold what operators declare, in the project's own words and units.
`DesiredState.admit` is the only place that decides between an answer of 401
or 404 and a service.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import enum
import hashlib

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from .engine_model import EngineSpec
from .errors import UnauthorizedError, UnknownTargetError


#: How many priorities a route or a workspace may declare, from 0 on.
_PRIORITIES = 10


class CallKind(enum.StrEnum):
    """What may be repeated.

    .. versionadded:: 26.1.0
    """

    #: May run more than once.
    SAFE = "safe"
    #: May run at most once.
    ONCE = "once"
    #: Answers with a series of events.
    STREAM = "stream"


class Split(NamedTuple):
    """A service's weight in a route."""

    service: str
    weight: float


class CallRoute(msgspec.Struct, frozen=True, gc=False):
    """What is declared for the calls of one host and path prefix.

    There may be thousands, which the garbage collector need not go through.

    .. versionadded:: 26.1.0
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    timeout_s: float
    target_latency_s: float
    priority: int
    splits: tuple[Split, ...]
    max_attempts: int
    is_key_exempt: bool
    is_resumable: bool
    gap_target_s: float

    @property
    def is_repeatable(self) -> bool:
        """Whether a call may be sent again after it may have run."""
        return self.kind is CallKind.SAFE or self.is_resumable

    def service_of(self, call_id: str) -> str:
        """Return the service that a call goes to, the same for each attempt."""
        if len(self.splits) == 1:
            return self.splits[0].service
        digest = hashlib.blake2b(call_id.encode(), digest_size=8).digest()
        total = sum(split.weight for split in self.splits)
        point = int.from_bytes(digest, "big") / 2**64 * total
        for split in self.splits:
            point -= split.weight
            if point < 0:
                return split.service
        return self.splits[-1].service


class ServiceSpec(NamedTuple):
    """A service; one with an engine serves a model.

    Attributes:
        health_path: Where its servers tell that they are well, or an empty text.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None
    health_path: str = ""


class CallLimits(NamedTuple):
    """Bounds on callers' requests."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class WorkspaceEntry(NamedTuple):
    """A workspace as its key names it."""

    name: str
    priority: int | None


class Admitted(NamedTuple):
    """What the desired state says of a call that it allows."""

    route: CallRoute
    service: ServiceSpec
    workspace: WorkspaceEntry | None

    @property
    def workspace_name(self) -> str | None:
        """The workspace that a backend server is told, if there is one."""
        return self.workspace.name if self.workspace else None

    @property
    def priority(self) -> int:
        """The call's priority, 0 first; the workspace's goes before the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def urgency(self) -> int:
        """What decides between calls under load, 0 first, 99 last.

        Routes decide between calls of workspaces with the same priority.
        """
        return _PRIORITIES * min(self.priority, _PRIORITIES - 1) + min(
            self.route.priority, _PRIORITIES - 1
        )


class DesiredState(NamedTuple):
    """One version of what the operator declares, whole.

    .. versionadded:: 26.1.0
    """

    version: int
    #: By host, then by path prefix; each prefix ends with a slash.
    routes: Mapping[str, Mapping[str, CallRoute]]
    services: Mapping[str, ServiceSpec]
    limits: CallLimits
    #: Whether calls need a key, except on exempt routes.  Workspaces that have lost all
    #: their keys still require one.
    requires_key: bool
    workspaces_by_key: Mapping[str, WorkspaceEntry]

    def route_of(self, host: str, path: str) -> CallRoute | None:
        """Return the host's route with the longest prefix of *path*."""
        by_prefix = self.routes.get(host)
        if by_prefix is None:
            return None
        end = len(path.partition("?")[0])
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def stream_routes(self) -> dict[str, list[CallRoute]]:
        """Return, by service with an engine, the stream routes that lead to it."""
        found: dict[str, list[CallRoute]] = {}
        for routes in self.routes.values():
            for route in routes.values():
                if route.kind is not CallKind.STREAM:
                    continue
                for split in route.splits:
                    service = self.services.get(split.service)
                    if service is not None and service.engine is not None:
                        found.setdefault(service.name, []).append(route)
        return found

    def admit(self, *, host: str, path: str, key: str | None, call_id: str) -> Admitted:
        """Tell where a call goes.

        Args:
            host: The host that the caller named, without a port.
            path: The path as it was sent, with its query.
            key: The caller's key, if it sent one.
            call_id: Decides between the services of a split route.

        Raises:
            UnknownTargetError: No route fits.
            UnauthorizedError: The key is missing or unknown.
        """
        route = self.route_of(host, path)
        if route is None:
            msg = "no route for this host and path"
            raise UnknownTargetError(msg)
        workspace = self.workspaces_by_key.get(key) if key is not None else None
        if self.requires_key and not route.is_key_exempt and workspace is None:
            msg = "key missing or unknown"
            raise UnauthorizedError(msg)
        service = self.services.get(route.service_of(call_id))
        if service is None:
            msg = "the route's service isn't declared"
            raise UnknownTargetError(msg)
        return Admitted(route, service, workspace)
