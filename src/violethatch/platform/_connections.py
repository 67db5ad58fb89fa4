# SPDX-License-Identifier: MIT
"""Callers' connections, within the limits that the desired state gives."""

from __future__ import annotations

import asyncio

from collections.abc import Callable
from typing import Any

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

from .. import events
from ..desired import CallLimits


#: How much longer than callers may rest a connection is kept, in seconds: a
#: request that was sent in the last moment is still on its way.
_REST_MARGIN_S = 1.0
_INTERNAL_ERROR = 500


class CallerConnection(RequestHandler):
    """One caller's connection; a request's head has to come in time."""

    __slots__ = ("_head_handle", "_head_limit_s", "_may_connect", "_on_bad_head")

    def __init__(
        self,
        *args: Any,
        head_limit_s: float,
        on_bad_head: Callable[[str], None],
        may_connect: Callable[[], bool],
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self._may_connect = may_connect
        self._head_limit_s = head_limit_s
        self._on_bad_head = on_bad_head
        self._head_handle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, or close it with nothing read."""
        super().connection_made(transport)
        if not self._may_connect():
            self.force_close()

    def data_received(self, data: bytes) -> None:
        """Take bytes in; those of a head that is not whole start its time."""
        super().data_received(data)
        if not data:
            return
        if not self._waits_for_head():
            self._stop_head_time()
        elif self._head_handle is None:
            self._head_handle = self._loop.call_later(
                self._head_limit_s, self._head_is_late
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Let go of everything."""
        self._stop_head_time()
        super().connection_lost(exc)

    def handle_error(
        self,
        request: BaseRequest,
        status: int = _INTERNAL_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Answer an error of HTTP itself; note one that is the caller's."""
        if status < _INTERNAL_ERROR:
            # The message may quote a key.
            self._on_bad_head(type(exc).__name__)
        return super().handle_error(request, status, exc, message)

    @property
    def is_serving(self) -> bool:
        """Whether a request is under way, or read and not begun."""
        return self._request_in_progress or bool(self._messages)

    def _waits_for_head(self) -> bool:
        """Tell whether no request is whole nor under way."""
        if self._request_count == 0:
            return True  # its task may not wait yet
        return self._waiter is not None and not self._waiter.done()

    def _process_keepalive(self) -> None:
        """Close the connection as idle, unless a request's head has begun to come."""
        if self._head_handle is not None:
            self._keepalive_handle = None
            return
        super()._process_keepalive()

    def _stop_head_time(self) -> None:
        """Stop waiting for a head."""
        if self._head_handle is not None:
            self._head_handle.cancel()
            self._head_handle = None

    def _head_is_late(self) -> None:
        """Close the connection: nothing was taken of what it began to send."""
        self._head_handle = None
        if self._waits_for_head():
            events.log(events.HEAD_LATE, limit_s=self._head_limit_s)
            self.force_close()


class CallerServer(Server):
    """Makes callers' connections by the limits in force when they come.

    Args:
        handle: Serves one request.
        limits: Returns the limits in force.
        on_bad_head: Is told why a request could not be understood.
        may_connect: Tells whether a new connection is taken.
        options: What else aiohttp's server takes.
    """

    def __init__(
        self,
        handle: Any,
        *,
        limits: Callable[[], CallLimits],
        on_bad_head: Callable[[str], None],
        may_connect: Callable[[], bool],
        **options: Any,
    ) -> None:
        super().__init__(handle, handler_cancellation=True)
        self._may_connect = may_connect
        self._limits = limits
        self._on_bad_head = on_bad_head
        self._options = options

    @property
    def callers(self) -> list[CallerConnection]:
        """The connections that are open."""
        return [one for one in self.connections if isinstance(one, CallerConnection)]

    def close_idle(self) -> None:
        """Close the connections on which no request is under way, at once.

        Left to `shutdown`, they would take bytes and drop them until its timeout.
        """
        for one in self.callers:
            if not one.is_serving:
                one.force_close()

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        limits = self._limits()
        return CallerConnection(
            self,
            loop=self._loop,
            access_log=None,
            head_limit_s=limits.header_timeout_s,
            on_bad_head=self._on_bad_head,
            may_connect=self._may_connect,
            keepalive_timeout=limits.idle_timeout_s + _REST_MARGIN_S,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            **self._options,
        )
