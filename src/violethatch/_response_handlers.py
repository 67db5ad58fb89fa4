# SPDX-License-Identifier: MIT
"""The checks of responses that every client's connection makes."""

from __future__ import annotations

import functools

import aiohttp

from aiohttp.client_proto import ResponseHandler

from ._bounded_responses import BoundedResponseHandler
from ._proper_responses import ProperResponseHandler
from ._reset_detection import ResetDetectingHandler


class SoundResponseHandler(
    ProperResponseHandler, BoundedResponseHandler, ResetDetectingHandler
):
    """Fails responses that are not proper, exceed their bounds or are reset."""


def check_responses(connector: aiohttp.BaseConnector) -> None:
    """Have all connections of a connector check their responses."""
    handler: type[ResponseHandler] = SoundResponseHandler
    connector._factory = functools.partial(handler, loop=connector._loop)
