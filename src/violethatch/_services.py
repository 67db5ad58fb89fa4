# SPDX-License-Identifier: MIT
"""Passing calls through to plain services."""

from __future__ import annotations

import functools
import itertools
import random

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import aiohttp

from . import clocks, events
from ._bounded_responses import MAX_BODY_BYTES, read_at_most
from ._keyed import Answer
from ._response_handlers import check_responses
from ._send_checks import CheckedRequest, send_check
from .errors import (
    Ran,
    ServerRefusedError,
    ServiceLostError,
    ServiceUnreachableError,
)
from .limit_header import parse_limit
from .limit_permits import PermitCache, PermitIssuers
from .ports import ListedInstance
from .retries import RetryBudget
from .retry_after import parse_retry_after
from .server_backoffs import ServerBackoffs
from .server_limits import Limit, ServerLimits


#: A backend server's word that it refused the call before starting it.
_NOT_STARTED_HEADER = "Not-Started"
#: How many calls a second the server takes of all instances together.
_LIMIT_HEADER = "Server-Limit"
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
        rng = random.Random()
        self._words = ServerBackoffs(rng)
        self._limits = ServerLimits()
        self._keepers = PermitIssuers(rng)
        self._permits = PermitCache()
        #: This instance's part of what servers take of all.
        self._share = 1.0
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Prepare for calls."""
        # A connection kept open may be closed by the server just as a call is
        # sent on it, and then nobody knows whether the call ran.
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        check_responses(connector)
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=self._timeout,
            auto_decompress=False,
            request_class=CheckedRequest,
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

    def set_share(self, share: float) -> None:
        """Take in which part of all instances' calls is this one's.

        Args:
            share: Above 0, 1 at the most.
        """
        self._share = share

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
        sends = 0
        for server in self._in_turn(service):
            try:
                self._check_send(server)
            except ServerRefusedError as resting:
                error = _sooner(error, resting) if not may_have_run else error
                continue
            if sends and not self._budget.withdraw():
                break
            sends += 1
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
        sent_s = clocks.now_s()
        try:
            with send_check(
                functools.partial(self._check_send, server),
                before_write=functools.partial(self._take_part, server),
            ):
                async with self._session.request(
                    call.method,
                    url,
                    data=call.body,
                    headers=call.headers,
                    allow_redirects=False,
                ) as answer:
                    self._hear(server, answer)
                    self._hear_limit(server, answer, sent_s)
                    body = await read_at_most(answer, MAX_BODY_BYTES)
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
            rest = self._words.active(server["id"], now_s=clocks.now_s())
            rest_s = rest.requested_s if rest is not None else _RETRY_AFTER_S
            raise ServerRefusedError(server["id"], retry_after_s=rest_s)
        content_type = answer.headers.get("Content-Type", "application/octet-stream")
        return Answer(answer.status, content_type, body)

    def _hear(self, server: ListedInstance, answer: aiohttp.ClientResponse) -> None:
        """Take in how long a server that turns a call away wants to be left alone."""
        if answer.status != _UNAVAILABLE:
            return
        asked = parse_retry_after(
            answer.headers.getall("Retry-After", ()),
            server_time=answer.headers.get("Date"),
            wall_s=clocks.wall_s(),
        )
        if asked.delay_s is None and not asked.invalid:
            return
        is_longer = self._words.record(
            server["id"], asked.delay_s or 0.0, now_s=clocks.now_s()
        )
        events.log(
            events.SERVER_WORD,
            server_id=server["id"],
            status=answer.status,
            asks_rest_s=asked.delay_s,
            is_longer=is_longer,
            unread=asked.invalid,
        )

    def _hear_limit(
        self, server: ListedInstance, answer: aiohttp.ClientResponse, sent_s: float
    ) -> None:
        """Take in how many calls a second a server takes of all instances."""
        figure = parse_limit(answer.headers.getall(_LIMIT_HEADER, ()))
        if figure.per_s is None:
            return
        limit = Limit(figure.per_s, 0, 0, sent_s, clocks.now_s())
        if not self._limits.update(server["id"], limit):
            return
        if limit.is_lifted:
            self._permits.discard(server["id"])
        events.log(
            events.SERVER_LIMIT,
            server_id=server["id"],
            limit_a_s=None if limit.is_lifted else limit.per_s,
            share=self._share,
        )

    def _check_send(self, server: ListedInstance) -> None:
        """Look whether a server may be sent to.

        Raises:
            ServerRefusedError: It has asked for rest, or this instance has had its part
                of what the server takes.
        """
        now_s = clocks.now_s()
        rest = self._words.active(server["id"], now_s=now_s)
        if rest is not None:
            msg = f"{server['id']} has asked for rest"
            raise ServerRefusedError(msg, retry_after_s=rest.until_s - now_s)
        left_s = self._permits.blocked_s(now_s=now_s).get(server["id"])
        if left_s is not None:
            msg = f"{server['id']} takes no more of this instance now"
            raise ServerRefusedError(msg, retry_after_s=left_s)

    def _take_part(self, server: ListedInstance) -> None:
        """Look once more, right before the write, and count it if a limit is known.

        Each instance keeps an equal part: these tell each other of no calls.

        Raises:
            ServerRefusedError: It may not be written.
        """
        self._check_send(server)
        limit = self._limits.get(server["id"])
        if limit is None:
            return
        now_s = clocks.now_s()
        part_a_s = self._share * limit.per_s
        reply = self._keepers.request(server["id"], "", part_a_s, now_s=now_s)
        if not reply.is_granted:
            self._permits.block(server["id"], reply.wait_s, now_s=now_s)
            self._check_send(server)


def _sooner(
    error: ServiceUnreachableError | ServerRefusedError | ServiceLostError,
    resting: ServerRefusedError,
) -> ServiceUnreachableError | ServerRefusedError | ServiceLostError:
    """Return which refusal a caller is told of: of two rests that which ends first."""
    if isinstance(error, ServerRefusedError):
        both = (error.retry_after_s or 0.0, resting.retry_after_s or 0.0)
        return error if both[0] <= both[1] else resting
    return resting
