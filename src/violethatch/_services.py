# SPDX-License-Identifier: MIT
"""Passing calls through to plain services."""

from __future__ import annotations

import itertools

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import aiohttp

from ._keyed import Answer
from .errors import (
    Ran,
    ServerRefusedError,
    ServiceLostError,
    ServiceUnreachableError,
)
from .ports import ListedInstance
from .retries import RetryBudget


#: A backend server's word that it refused the call before starting it.
_NOT_STARTED_HEADER = "Not-Started"
_UNAVAILABLE = 503
_RETRY_AFTER_S = 1.0


class Call(NamedTuple):
    """A caller's call of a plain service."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class PlainServices:
    """Sends calls to the backend servers of plain services.

    Args:
        budget: Limits the retries.
        timeout_s: How long a call may take, in seconds.
    """

    def __init__(self, budget: RetryBudget, *, timeout_s: float) -> None:
        self._budget = budget
        self._timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=1.0)
        self._servers: dict[str, list[ListedInstance]] = {}
        self._turn = itertools.count()
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Prepare for calls."""
        # A connection kept open may be closed by the server just as a call is
        # sent on it, and then nobody knows whether the call ran.
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self._session = aiohttp.ClientSession(
            connector=connector, timeout=self._timeout, auto_decompress=False
        )
        # The library would send PUT, DELETE and GET a second time by itself
        # when a connection breaks; retries are ours alone.
        self._session._retry_connection = False

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def follow(
        self, listed: Iterable[ListedInstance], *, availability_zone: str
    ) -> None:
        """Take the servers from the instance list, those of the own zone first."""
        servers: dict[str, list[ListedInstance]] = {}
        for entry in listed:
            if entry["role"] == "service" and not entry["leaving"]:
                servers.setdefault(entry["service"], []).append(entry)
        for entries in servers.values():
            entries.sort(
                key=lambda item: item["availability_zone"] != availability_zone
            )
        self._servers = servers

    def counts(self) -> dict[str, int]:
        """Return how many servers each service has."""
        return {service: len(servers) for service, servers in self._servers.items()}

    async def send(self, service: str, call: Call, *, repeatable: bool) -> Answer:
        """Send a call; to another server only if that can't make it run twice.

        Raises:
            ServiceUnreachableError: No server could be connected to; not run.
            ServerRefusedError: All servers refused; not run.
            ServiceLostError: The answer was lost; it may have run.
        """
        error: ServiceUnreachableError | ServerRefusedError | ServiceLostError
        error = ServiceUnreachableError(
            f"service {service} has no servers", retry_after_s=_RETRY_AFTER_S
        )
        may_have_run = False
        for attempt, server in enumerate(self._in_turn(service)):
            if attempt and not self._budget.withdraw():
                break
            try:
                answer = await self._send_once(server, call)
            except (ServiceUnreachableError, ServerRefusedError) as refused:
                error = refused
                continue
            except ServiceLostError as lost:
                if not repeatable:
                    raise
                may_have_run, error = True, lost
                continue
            self._budget.deposit()
            return answer
        if may_have_run:
            error.ran = Ran.MAYBE
        raise error

    def _in_turn(self, service: str) -> list[ListedInstance]:
        """Return a service's servers, each time starting with another."""
        servers = self._servers.get(service, [])
        if not servers:
            return []
        # Servers of the own zone come first; only those take turns.
        own_zone = servers[0]["availability_zone"]
        near = [item for item in servers if item["availability_zone"] == own_zone]
        start = next(self._turn) % len(near)
        return near[start:] + near[:start] + servers[len(near) :]

    async def _send_once(self, server: ListedInstance, call: Call) -> Answer:
        """Send a call to one server."""
        assert self._session is not None
        url = f"http://{server['address']}{call.path}"
        try:
            async with self._session.request(
                call.method,
                url,
                data=call.body,
                headers=call.headers,
                allow_redirects=False,
            ) as answer:
                body = await answer.read()
        except aiohttp.ClientConnectorError as error:
            raise ServiceUnreachableError(
                f"{server['id']}: {error}", retry_after_s=_RETRY_AFTER_S
            ) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise ServiceUnreachableError(
                f"{server['id']}: no connection in time", retry_after_s=_RETRY_AFTER_S
            ) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            msg = f"{server['id']}: {error or type(error).__name__}"
            raise ServiceLostError(msg) from error
        if answer.status == _UNAVAILABLE and _NOT_STARTED_HEADER in answer.headers:
            raise ServerRefusedError(server["id"], retry_after_s=_RETRY_AFTER_S)
        content_type = answer.headers.get("Content-Type", "application/octet-stream")
        return Answer(answer.status, content_type, body)
