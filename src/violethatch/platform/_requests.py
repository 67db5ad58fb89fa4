# SPDX-License-Identifier: MIT
"""Callers' requests, read whole."""

from __future__ import annotations

import asyncio
import functools
import math

from collections.abc import Iterable

from aiohttp.web_request import BaseRequest

from .. import clocks
from .._bodies import read_body, reserve
from ..desired import CallLimits
from ..errors import BadRequestError, RequestLateError
from ..memory_budget import Reservation
from ..upstream import Body, Call
from . import _headers


_MS_PER_S = 1000.0
#: The most parts of a prompt that are read, and the longest id of one.
_MAX_PARTS = 64
_MAX_PART_ID_CHARS = 64
#: Longer numbers are no event's id.
_MAX_ID_DIGITS = 15
_HEX_DIGITS = frozenset("0123456789abcdef")
#: The memory for a request's head, its tasks and its connections' buffers, in bytes.
_REQUEST_BYTES = 32_768
#: How long a call without a deadline may take, in seconds.
_NO_DEADLINE_S = 60.0


async def read_call(
    request: BaseRequest,
    *,
    received_s: float,
    limits: CallLimits,
    reservation: Reservation,
) -> Call:
    """Read a request whole.

    Args:
        request: The request, its body still to come.
        received_s: When it came, in monotonic seconds.
        limits: The bounds on what callers send.
        reservation: Grows by the memory that the request takes.

    Raises:
        BadRequestError: Its headers can't be understood.
        BodyTooLargeError: Its body is too large.
        RequestLateError: Its body did not come before its deadline.
        OverloadedError: There is no memory for it.
    """
    deadline_s = received_s + _deadline_s(request)
    reserve(reservation, _REQUEST_BYTES)
    body: Body = b""
    if request.can_read_body:
        body = await _read_body(request, limits.body_bytes, deadline_s, reservation)
    return Call(
        id=request.headers.get(_headers.CALL_ID, ""),
        method=request.method,
        host=request.headers.get("Host", "").partition(":")[0].lower(),
        target=request.raw_path,
        headers=_headers.passed_on(_headers.decoded(request.raw_headers)),
        body=body,
        key=_key(request.headers.get("Authorization")),
        received_s=received_s,
        deadline_s=deadline_s,
        last_event_id=_last_event_id(request),
        prompt_tokens=_prompt_tokens(request),
        prompt_parts=_shared_parts(request.headers.getall(_headers.PROMPT_PARTS, ())),
    )


async def _read_body(
    request: BaseRequest, limit: int, deadline_s: float, reservation: Reservation
) -> Body:
    """Read a body within the limit, the time and the memory for requests.

    Raises:
        BodyTooLargeError: It is too large.
        RequestLateError: It did not come in time.
        OverloadedError: There is no memory for it.
    """
    try:
        async with asyncio.timeout(clocks.left_s(deadline_s)):
            return await read_body(
                request.content.iter_any(),
                declared_bytes=request.content_length,
                limit_bytes=limit,
                reservation=reservation,
                on_reserved=functools.partial(_invite_body, request),
            )
    except TimeoutError as error:
        msg = "the body did not come before the deadline"
        raise RequestLateError(msg) from error


async def _invite_body(request: BaseRequest) -> None:
    """Ask for the body if the caller waits to be asked."""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0


def _key(authorization: str | None) -> str | None:
    """Return the caller's key, if there is one."""
    if authorization is None or not authorization.startswith(_headers.KEY_SCHEME):
        return None
    return authorization.removeprefix(_headers.KEY_SCHEME).strip()


def _deadline_s(request: BaseRequest) -> float:
    """Return how long the caller waits, in seconds.

    Raises:
        BadRequestError: The header is no time.
    """
    text = request.headers.get(_headers.DEADLINE_MS)
    if text is None:
        return _NO_DEADLINE_S
    try:
        deadline_ms = float(text)
    except ValueError:
        deadline_ms = math.nan
    if not math.isfinite(deadline_ms) or deadline_ms < 0:
        msg = f"{_headers.DEADLINE_MS} is no time"
        raise BadRequestError(msg)
    return deadline_ms / _MS_PER_S


def _prompt_tokens(request: BaseRequest) -> int | None:
    """Return the size of the prompt, if the caller tells it."""
    prompt, _, _ = request.headers.get(_headers.TOKEN_COUNT, "").partition(",")
    return int(prompt) if prompt.isdecimal() else None


def _shared_parts(lines: Iterable[str]) -> tuple[str, ...]:
    """Return the ids of a prompt's parts but for the last one, each once.

    The last part belongs to the request or its session.  What is no id is left out.
    """
    named = ",".join(lines).split(",")[:-1][:_MAX_PARTS]
    ids = (one.partition(":")[0].strip().lower() for one in named)
    return tuple(dict.fromkeys(one for one in ids if _is_part_id(one)))


def _is_part_id(text: str) -> bool:
    """Tell whether a text is the id of a prompt's part."""
    return 0 < len(text) <= _MAX_PART_ID_CHARS and set(text) <= _HEX_DIGITS


def _last_event_id(request: BaseRequest) -> int | None:
    """Return the event after which the caller resumes a stream, if it names one.

    Other texts mean nothing here, and may mean something to the server.
    """
    text = request.headers.get(_headers.LAST_EVENT_ID, "").strip()
    is_number = text.isascii() and text.isdecimal() and len(text) <= _MAX_ID_DIGITS
    return int(text) if is_number else None
