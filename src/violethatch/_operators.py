# SPDX-License-Identifier: MIT
"""The listener for operators: plans, confirmations, state and metrics."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import aioprometheus
import msgspec

from aiohttp import web

from ._config import ConfigKeeper
from ._http import Handler, bearer_digest, key_digest, problems, same_digest
from ._metrics import Metrics
from .errors import UnauthorizedError, UnknownTargetError
from .revisions import parse_confirmation, parse_intent


class Operators:
    """Serves operators.

    Args:
        config: The configuration.
        metrics: What to show at ``/metrics``.
        key: The operators' key.
        state: Returns the process's state.
        body_bytes: The most bytes of a body.
    """

    def __init__(
        self,
        *,
        config: ConfigKeeper,
        metrics: Metrics,
        key: str,
        state: Callable[[], Any],
        body_bytes: int,
    ) -> None:
        self._config = config
        self._metrics = metrics
        self._key_digest = key_digest(key)
        self._state = state
        self._body_bytes = body_bytes

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            middlewares=[problems, self._authenticated],
            client_max_size=self._body_bytes,
        )
        app.router.add_post("/plan", self._serve_plan)
        app.router.add_post("/confirm", self._serve_confirm)
        app.router.add_get("/config", self._serve_config)
        app.router.add_get("/state", self._serve_state)
        app.router.add_get("/metrics", self._serve_metrics)
        app.router.add_route("*", "/{path:.*}", self._serve_unknown)
        return app

    @property
    def _authenticated(self) -> Callable[..., Awaitable[web.StreamResponse]]:
        """The middleware that lets only operators through."""

        @web.middleware
        async def check(request: web.Request, handler: Handler) -> web.StreamResponse:
            if not same_digest(bearer_digest(request), self._key_digest):
                raise UnauthorizedError
            return await handler(request)

        return check

    async def _serve_plan(self, request: web.Request) -> web.Response:
        intent = parse_intent(await request.read())
        return _json(self._config.plan(intent))

    async def _serve_confirm(self, request: web.Request) -> web.Response:
        confirmation = parse_confirmation(await request.read())
        revision = await self._config.confirm(confirmation)
        return _json({"revision": revision["revision"], "digest": revision["digest"]})

    async def _serve_config(self, request: web.Request) -> web.Response:
        return _json(self._config.current)

    async def _serve_state(self, request: web.Request) -> web.Response:
        return _json(self._state())

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        accepts = request.headers.getall("Accept", [])
        content, headers = aioprometheus.render(self._metrics.registry, accepts)
        return web.Response(body=content, headers=headers)

    async def _serve_unknown(self, request: web.Request) -> web.Response:
        raise UnknownTargetError(request.path)


def _json(body: Any) -> web.Response:
    """Return a JSON answer."""
    return web.Response(body=msgspec.json.encode(body), content_type="application/json")
