# SPDX-License-Identifier: MIT
"""What the callers' and the operators' listeners have in common."""

from __future__ import annotations

import asyncio
import hashlib
import hmac

from collections.abc import Awaitable, Callable

import aiohttp

from aiohttp import web

from . import events
from ._problems import problem_response
from .errors import BodyTooLargeError, UnauthorizedError, VioletHatchError


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_BEARER = "Bearer "


@web.middleware
async def problems(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn errors into problem documents; never show a traceback."""
    try:
        return await handler(request)
    except VioletHatchError as error:
        return problem_response(error)
    except web.HTTPRequestEntityTooLarge as error:
        return problem_response(BodyTooLargeError(error.text or ""))
    except (web.HTTPException, asyncio.CancelledError, ConnectionError):
        raise
    except aiohttp.ClientConnectionResetError:
        raise  # the caller went away
    except Exception as error:
        events.log(
            events.REQUEST_FAILED, path=request.path, error=repr(error), code=1000
        )
        return problem_response(VioletHatchError("internal error"))


def bearer_digest(request: web.Request) -> str:
    """Return the digest of the request's bearer key.

    Raises:
        UnauthorizedError: There is none.
    """
    header = request.headers.get("Authorization", "")
    if not header.startswith(_BEARER):
        msg = "send 'Authorization: Bearer' with a key"
        raise UnauthorizedError(msg)
    return key_digest(header.removeprefix(_BEARER).strip())


def key_digest(key: str) -> str:
    """Return the digest under which a key is known."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def same_digest(left: str, right: str) -> bool:
    """Compare digests in constant time."""
    return hmac.compare_digest(left, right)
