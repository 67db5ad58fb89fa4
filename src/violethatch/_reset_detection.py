# SPDX-License-Identifier: MIT
"""Tells a response whose connection was reset from one that is complete.

A response without a length ends when its connection is closed.  uvloop reports a reset
that arrives together with the last bytes as an orderly close, and the HTTP library
takes such a response for complete in any case.
"""

from __future__ import annotations

import errno
import socket

from typing import Any

import aiohttp

from aiohttp.client_proto import ResponseHandler


#: Errors of a socket whose peer had closed the connection before they occurred: all
#: that the peer sent has arrived.
_AFTER_CLOSE = (0, errno.EPIPE)


class ResetDetectingHandler(ResponseHandler):
    """A client's connection that fails the response in progress if it is reset."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._hidden_error: OSError | None = None

    def eof_received(self) -> None:
        """Record the error of a connection that the event loop reports as closed."""
        if self.transport is not None:
            connection = self.transport.get_extra_info("socket")
            code = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code not in _AFTER_CLOSE:
                self._hidden_error = OSError(code, errno.errorcode.get(code, ""))
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the response in progress if the connection was not closed."""
        error = exc or self._hidden_error
        payload = self._payload
        if error is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"))
        super().connection_lost(error)
