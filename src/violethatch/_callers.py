# SPDX-License-Identifier: MIT
"""The listener for callers: completions, and plain services passed through."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import secrets

from collections.abc import AsyncGenerator, Iterator
from typing import NamedTuple

from aiohttp import web

from . import clocks, events
from ._driver import Driver, Generation, Piece
from ._http import bearer_digest, problems, same_digest
from ._keyed import Answer, KeyedCalls
from ._metrics import Metrics
from ._openai import ChatShape, CompletionBody, Shape, TextShape, parse_body, sse
from ._problems import problem_response
from ._services import Call, PlainServices
from .claims import Claim, claim_row_key
from .errors import (
    BadRequestError,
    DrainingError,
    NotConfiguredError,
    OverloadedError,
    UnauthorizedError,
    UnknownTargetError,
    VioletHatchError,
)
from .limits import WorkspaceLimiter, WorkspaceLimits
from .revisions import NO_REVISION, Revision, WorkspaceSpec


_MAX_KEY_CHARS = 255
_DEFAULT_MAX_TOKENS = 64
_FORWARDED_HEADERS = ("Content-Type", "Accept")
_RETRY_AFTER_S = 1.0
_DONE = b"data: [DONE]\n\n"


class Caller(NamedTuple):
    """Who calls."""

    workspace: str
    spec: WorkspaceSpec


class CallerLimits(NamedTuple):
    """What one instance takes on.

    Attributes:
        requests: Requests in progress at the same time.
        body_bytes: A body's size.
        deadline_s: How long a generation may take, in seconds.
    """

    requests: int
    body_bytes: int
    deadline_s: float


class Callers:
    """Serves callers.

    Args:
        driver: Runs generations.
        services: Sends calls to plain services.
        keyed: Runs keyed calls at most once.
        metrics: Where to count.
        limits: What to take on.
        owner: What claims call this process.
    """

    def __init__(
        self,
        *,
        driver: Driver,
        services: PlainServices,
        keyed: KeyedCalls,
        metrics: Metrics,
        limits: CallerLimits,
        owner: str,
    ) -> None:
        self._driver = driver
        self._services = services
        self._keyed = keyed
        self._metrics = metrics
        self._limits = limits
        self._owner = owner
        self._revision: Revision = NO_REVISION
        self._workspace_by_digest: dict[str, str] = {}
        self._limiters: dict[str, WorkspaceLimiter] = {}
        self._share = 1.0
        self.in_flight = 0
        self.is_draining = False
        self.is_closed = False

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            middlewares=[problems], client_max_size=self._limits.body_bytes
        )
        app.router.add_post("/v1/chat/completions", self._serve_chat)
        app.router.add_post("/v1/completions", self._serve_completion)
        app.router.add_get("/v1/models", self._serve_models)
        app.router.add_route("*", "/services/{name}/{path:.*}", self._serve_service)
        app.router.add_get("/healthz", self._serve_health)
        app.router.add_get("/readyz", self._serve_readiness)
        app.router.add_route("*", "/{path:.*}", self._serve_unknown)
        return app

    def follow(self, revision: Revision) -> None:
        """Apply a configuration."""
        self._revision = revision
        workspaces = revision["document"]["workspaces"]
        self._workspace_by_digest = {
            spec["key_sha256"]: name for name, spec in workspaces.items()
        }
        for name in set(self._limiters) - set(workspaces):
            del self._limiters[name]
        for name, limiter in self._limiters.items():
            limiter.limits = _limits_of(workspaces[name])

    def set_share(self, share: float) -> None:
        """Set this instance's share of all workspaces' limits."""
        self._share = share
        for limiter in self._limiters.values():
            limiter.share = share

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress; tell whether that came."""
        give_up_s = clocks.now_s() + timeout_s
        while self.in_flight or self._keyed.unsettled_count:
            if clocks.now_s() > give_up_s:
                return False
            await asyncio.sleep(0.02)
        return True

    async def _serve_health(self, request: web.Request) -> web.Response:
        return web.json_response({"alive": True})

    async def _serve_readiness(self, request: web.Request) -> web.Response:
        """Tell the balancer whether to send requests here."""
        ready = not self.is_draining and self._revision["revision"] > 0
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _serve_unknown(self, request: web.Request) -> web.Response:
        raise UnknownTargetError(request.path)

    async def _serve_models(self, request: web.Request) -> web.Response:
        """List the models, as ordinary clients expect it."""
        self._authenticate(request)
        models = [
            {"id": name, "object": "model", "owned_by": "violethatch"}
            for name in sorted(self._revision["document"]["models"])
        ]
        return web.json_response({"object": "list", "data": models})

    async def _serve_chat(self, request: web.Request) -> web.StreamResponse:
        return await self._serve_generation(request, ChatShape)

    async def _serve_completion(self, request: web.Request) -> web.StreamResponse:
        return await self._serve_generation(request, TextShape)

    async def _serve_generation(
        self, request: web.Request, shape_class: type[Shape]
    ) -> web.StreamResponse:
        """Serve one completion, streamed or whole."""
        caller = self._authenticate(request)
        with self._admitted(caller, "generation"):
            body = parse_body(await request.read())
            if "Idempotency-Key" in request.headers:
                msg = "completions are repeatable and take no Idempotency-Key"
                raise BadRequestError(msg)
            job = self._job(body, caller, shape_class)
            shape = shape_class(job.request_id, job.model)
            if body.get("stream"):
                return await self._stream(request, job, shape)
            pieces = [piece async for piece in self._pieces(job)]
            return web.Response(
                body=shape.whole(pieces), content_type="application/json"
            )

    async def _stream(
        self, request: web.Request, job: Generation, shape: Shape
    ) -> web.StreamResponse:
        """Write the answer as server-sent events."""
        # The first piece decides whether there is an error to answer with.
        pieces = self._pieces(job)
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        )
        try:
            async for piece in pieces:
                if not response.prepared:
                    await response.prepare(request)
                await response.write(shape.chunk(piece))
            await response.write(_DONE)
        except VioletHatchError as error:
            if not response.prepared:
                return problem_response(error)
            # The status line is gone; the error travels in the stream, and
            # the missing [DONE] shows that the answer is not whole.
            await response.write(sse({"error": error.problem()}))
        finally:
            await pieces.aclose()
        await response.write_eof()
        return response

    async def _pieces(self, job: Generation) -> AsyncGenerator[Piece, None]:
        """Yield a generation's pieces, measuring the first."""
        started_s = clocks.now_s()
        generation = self._driver.generate(job)
        is_first = True
        try:
            async for piece in generation:
                if is_first:
                    elapsed_s = clocks.now_s() - started_s
                    self._metrics.first_token_s.observe({"model": job.model}, elapsed_s)
                    is_first = False
                yield piece
        except VioletHatchError as error:
            events.log(
                events.REQUEST_FAILED,
                request=job.request_id,
                code=error.code,
                ran=error.ran.value,
                detail=error.detail,
            )
            raise
        finally:
            await generation.aclose()

    def _job(
        self, body: CompletionBody, caller: Caller, shape_class: type[Shape]
    ) -> Generation:
        """Return the generation that a body asks for."""
        name = body.get("model", "")
        model = self._revision["document"]["models"].get(name)
        if model is None:
            msg = f"no model {name!r}"
            raise UnknownTargetError(msg)
        wanted = body.get("max_completion_tokens") or body.get("max_tokens")
        return Generation(
            request_id=secrets.token_hex(8),
            model=name,
            version=model["version"],
            layer_count=model["layer_count"],
            prompt=shape_class.prompt(body),
            max_tokens=wanted or _DEFAULT_MAX_TOKENS,
            priority=caller.spec["priority"],
            deadline_s=clocks.now_s() + self._limits.deadline_s,
        )

    async def _serve_service(self, request: web.Request) -> web.Response:
        """Pass a call through to a plain service."""
        caller = self._authenticate(request)
        name = request.match_info["name"]
        spec = self._revision["document"]["services"].get(name)
        if spec is None:
            msg = f"no service {name!r}"
            raise UnknownTargetError(msg)
        with self._admitted(caller, "service"):
            call = await self._call(request)
            idempotency_key = request.headers.get("Idempotency-Key")
            if idempotency_key is None:
                answer = await self._services.send(
                    name, call, repeatable=spec["repeatable"]
                )
            else:
                claim = self._claim(caller, name, call, idempotency_key)
                # Under a claim a call is sent at most once, whatever its kind.
                answer = await self._keyed.run(
                    claim, lambda: self._services.send(name, call, repeatable=False)
                )
        return _answer_response(answer)

    async def _call(self, request: web.Request) -> Call:
        """Return the call as it is sent on."""
        headers = {
            name: request.headers[name]
            for name in _FORWARDED_HEADERS
            if name in request.headers
        }
        path = "/" + request.raw_path.split("/", 3)[3]
        return Call(request.method, path, headers, await request.read())

    def _claim(
        self, caller: Caller, service: str, call: Call, idempotency_key: str
    ) -> Claim:
        """Return the claim of a keyed call.

        Raises:
            BadRequestError: The key is empty or too long.
        """
        if not 1 <= len(idempotency_key) <= _MAX_KEY_CHARS:
            msg = f"Idempotency-Key needs 1 to {_MAX_KEY_CHARS} characters"
            raise BadRequestError(msg)
        digest = hashlib.sha256()
        for part in (service, call.method, call.path):
            digest.update(part.encode("utf-8", "surrogateescape") + b"\0")
        digest.update(call.body)
        return Claim(
            row_key=claim_row_key(caller.workspace, idempotency_key),
            op_id=secrets.token_hex(8),
            request_digest=digest.hexdigest(),
            owner=self._owner,
        )

    def _authenticate(self, request: web.Request) -> Caller:
        """Return who calls.

        Raises:
            NotConfiguredError: No configuration is known yet.
            UnauthorizedError: The key is missing or unknown.
        """
        if self._revision["revision"] == 0:
            raise NotConfiguredError(retry_after_s=_RETRY_AFTER_S)
        digest = bearer_digest(request)
        name = self._workspace_by_digest.get(digest)
        if name is None:
            raise UnauthorizedError
        spec = self._revision["document"]["workspaces"][name]
        if not same_digest(spec["key_sha256"], digest):
            raise UnauthorizedError
        return Caller(name, spec)

    @contextlib.contextmanager
    def _admitted(self, caller: Caller, kind: str) -> Iterator[None]:
        """Count a request in and out, within all limits.

        Raises:
            DrainingError: The instance is leaving.
            OverloadedError: Too many requests are in progress here.
            RateLimitedError: The workspace's limits are reached.
        """
        if self.is_closed:
            raise DrainingError(retry_after_s=0.0)
        if self.in_flight >= self._limits.requests:
            msg = f"{self.in_flight} requests in progress"
            raise OverloadedError(msg, retry_after_s=_RETRY_AFTER_S)
        limiter = self._limiter(caller)
        limiter.admit(clocks.now_s())
        self.in_flight += 1
        self._metrics.in_flight.set({}, self.in_flight)
        outcome = "failed"
        try:
            yield
            outcome = "ok"
        finally:
            limiter.release()
            self.in_flight -= 1
            self._metrics.in_flight.set({}, self.in_flight)
            self._metrics.requests.inc({"kind": kind, "outcome": outcome})

    def _limiter(self, caller: Caller) -> WorkspaceLimiter:
        """Return the workspace's limiter on this instance."""
        limiter = self._limiters.get(caller.workspace)
        if limiter is None:
            limits = _limits_of(caller.spec)
            limiter = WorkspaceLimiter(limits, share=self._share, now_s=clocks.now_s())
            self._limiters[caller.workspace] = limiter
        return limiter


def _limits_of(spec: WorkspaceSpec) -> WorkspaceLimits:
    """Return a workspace's limits."""
    return WorkspaceLimits(spec["requests_per_s"], spec["concurrent"])


def _answer_response(answer: Answer) -> web.Response:
    """Return a plain service's answer to the caller."""
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers={"Content-Type": answer.content_type},
    )
