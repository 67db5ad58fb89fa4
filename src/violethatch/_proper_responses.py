# SPDX-License-Identifier: MIT
"""Checks that responses are proper HTTP/1.

The HTTP library parses responses leniently: it accepts statuses and versions that do
not exist, control bytes, and codings of a body that it does not decode.  It doesn't
tell the reader of a body that its framing can't be parsed.
"""

from __future__ import annotations

import re

from typing import Any

import aiohttp

from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpVersion10, HttpVersion11, RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader


_MIN_STATUS = 100
_MAX_STATUS = 599
#: No request of ours asks for another protocol.
_SWITCHING_PROTOCOLS = 101
_VERSIONS = (HttpVersion10, HttpVersion11)
#: Names of headers, each followed by a colon.
_NAMES = re.compile(rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:)*")
_CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class ImproperResponseError(aiohttp.ClientPayloadError):
    """A response is not proper HTTP/1."""


def find_head_fault(message: RawResponseMessage) -> str | None:
    """Return why a parsed head is not proper, or None if it is.

    See RFC 9110 (5.5, 5.6.2, 15) and RFC 9112 (2.3, 4, 6).
    """
    if not _MIN_STATUS <= message.code <= _MAX_STATUS:
        return f"status {message.code:03d}"
    if message.code == _SWITCHING_PROTOCOLS:
        return "a switch of protocols that was not asked for"
    if message.version not in _VERSIONS:
        return f"version {message.version.major}.{message.version.minor}"
    if _CONTROL_CHARACTER.search(message.reason):
        return "a control byte in the reason"
    names = b"".join(name + b":" for name, _ in message.raw_headers)
    if not _NAMES.fullmatch(names):
        return "a byte that no name of a header has"
    if _CONTROL_BYTE.search(b"".join(value for _, value in message.raw_headers)):
        return "a control byte in a header"
    return _find_framing_fault(message)


def _find_framing_fault(message: RawResponseMessage) -> str | None:
    """Return why it can't be told where a body ends, or None if it can."""
    codings = message.headers.getall("Transfer-Encoding", ())
    lengths = message.headers.getall("Content-Length", ())
    if codings:
        is_chunked = len(codings) == 1 and codings[0].strip().lower() == "chunked"
        if not is_chunked or not message.chunked:
            return "an unknown coding of the body"
        if message.version < HttpVersion11:
            return "chunks in a version without them"
        if lengths:
            return "a length beside chunks"
    if lengths and not (len(lengths) == 1 and _is_number(lengths[0])):
        return "a length that is no number"
    return None


def _is_number(text: str) -> bool:
    """Return whether a text consists of digits."""
    return text.isascii() and text.isdecimal()


class ProperResponseHandler(ResponseHandler):
    """A client's connection that is closed where a response is not proper."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._has_improper_head = False

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take a parsed head in; fail the response if it is not proper."""
        if self._has_improper_head:
            return
        fault = find_head_fault(data[0])
        if fault is None:
            super().feed_data(data, size)
            return
        self._has_improper_head = True
        self.set_exception(ImproperResponseError(fault))
        if self.transport is not None:
            self.transport.abort()

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Fail the response, and the body in progress if it can't be parsed."""
        super().set_exception(exc, *cause)
        payload = self._payload
        is_parsing = isinstance(exc, HttpProcessingError)
        if is_parsing and payload is not None and not payload.is_eof():
            payload.set_exception(ImproperResponseError(str(exc)))
