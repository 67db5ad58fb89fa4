# SPDX-License-Identifier: MIT
"""Errors as problem documents (RFC 9457), for all listeners.

Only aiohttp's responses are imported here: its web applications would cost memory, and
the router doesn't need them.
"""

from __future__ import annotations

import math

import msgspec

from aiohttp.web_response import Response

from .errors import VioletHatchError


def problem_response(error: VioletHatchError) -> Response:
    """Return an error as a problem document."""
    headers = {}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    return Response(
        body=msgspec.json.encode(error.problem()),
        status=error.status,
        content_type="application/problem+json",
        headers=headers,
    )
