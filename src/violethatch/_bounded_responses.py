# SPDX-License-Identifier: MIT
"""Bounds on what a peer may send in response to a request.

A peer may send bytes without end that are no part of a body: interim responses, chunk
extensions, or what follows a body.  The HTTP library bounds each line of a head and
their number, but not these.
"""

from __future__ import annotations

from typing import Any

import aiohttp

from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader


#: Bytes beside a response's body that are accepted: several reads of the event loop, of
#: 256 KB at most, as one may hold the unparsed rest of a paused body.
_MAX_FRAMING_BYTES = 1_048_576
#: Further bytes for each byte of the body.  Chunks of one byte take five, and a lot of
#: time to parse.
_MAX_FRAMING_RATIO = 1
#: Interim responses that are accepted before a response; each takes time to parse.
_MAX_INTERIM_RESPONSES = 100
#: The longest body of a response that is read whole, unless its reader knows better.
MAX_BODY_BYTES = 67_108_864
_HEAD_END = b"\r\n\r\n"
_FINAL_STATUS = 200


class EndlessResponseError(aiohttp.ClientPayloadError):
    """A peer sends more bytes than belong to any response."""


class BoundedResponseHandler(ResponseHandler):
    """A client's connection that is closed where a response exceeds its bounds."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._received_bytes = 0
        self._has_head = False
        self._interim_responses = 0
        #: The last bytes of a head that is incomplete.
        self._head_rest = b""

    def set_response_params(self, **options: Any) -> None:
        """Begin to read the response to the next request."""
        self._received_bytes = 0
        self._has_head = False
        self._interim_responses = 0
        self._head_rest = b""
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse bytes; close the connection if they exceed the bounds."""
        self._received_bytes += len(data)
        if self._has_head:
            super().data_received(data)
        else:
            self._parse_heads(data)
        self._check_bounds()

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take a parsed head in."""
        message, _ = data
        if message.code < _FINAL_STATUS:
            self._interim_responses += 1
        else:
            self._has_head = True
        super().feed_data(data, size)

    def _parse_heads(self, data: bytes) -> None:
        """Parse heads and the beginning of a body one by one.

        Otherwise the parser would drop a whole response if bytes that are none follow
        it in the same read.
        """
        rest_bytes = len(self._head_rest)
        heads = self._head_rest + data
        start = searched = 0
        while not self._has_head and not self._is_flooded:
            found = heads.find(_HEAD_END, searched)
            if found < 0:
                self._head_rest = heads[searched:][1 - len(_HEAD_END) :]
                break
            searched = found + len(_HEAD_END)
            end = searched - rest_bytes
            super().data_received(data[start:end])
            start = end
        if start < len(data) and not self._is_flooded:
            super().data_received(data[start:])

    @property
    def _is_flooded(self) -> bool:
        """Whether there were too many interim responses."""
        return self._interim_responses > _MAX_INTERIM_RESPONSES

    def _check_bounds(self) -> None:
        """Close the connection if what was received exceeds the bounds."""
        payload = self._payload if self._has_head else None
        body_bytes = payload.total_bytes if payload is not None else 0
        max_bytes = _MAX_FRAMING_BYTES + (1 + _MAX_FRAMING_RATIO) * body_bytes
        is_within = self._received_bytes <= max_bytes and not self._is_flooded
        if is_within or self.transport is None:
            return
        error = EndlessResponseError(
            f"{self._received_bytes} bytes with a body of {body_bytes}, "
            f"after {self._interim_responses} interim responses"
        )
        self.set_exception(error)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        self.transport.abort()


async def read_at_most(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return a response's body.

    Args:
        response: The response, its body still to come.
        max_bytes: The max length of its body.

    Raises:
        EndlessResponseError: It is longer; its connection is closed.
        aiohttp.ClientError: It broke off.
    """
    parts = []
    size = response.content_length or 0
    if size <= max_bytes:
        size = 0
        async for part in response.content.iter_any():
            parts.append(part)
            size += len(part)
            if size > max_bytes:
                break
        else:
            return b"".join(parts)
    response.close()
    msg = f"a body of more than {max_bytes} bytes"
    raise EndlessResponseError(msg)
