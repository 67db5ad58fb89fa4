# SPDX-License-Identifier: MIT
"""The platform's row of the desired state, decoded into the product's types."""

from __future__ import annotations

import functools
import sys

from collections import defaultdict
from typing import Any

import msgspec

from .._decoding import decoded
from ..desired import (
    CallKind,
    CallLimits,
    CallRoute,
    DesiredState,
    ServiceSpec,
    Split,
    WorkspaceEntry,
)
from ..engine_model import AcceleratorKind, EngineSpec
from ..slices import Steps


#: How many routes are read in one step: a fraction of a millisecond.
_ROUTES_A_STEP = 32
#: How many services' splits are kept to be shared.
_MOST_SPLITS = 1_024
_MS_PER_S = 1000.0
_KINDS = {
    "safe": CallKind.SAFE,
    "non_idempotent": CallKind.ONCE,
    "streaming": CallKind.STREAM,
}


class PascalBody(msgspec.Struct, rename="pascal"):
    """A body of the platform; unknown fields are left out."""


class _Split(PascalBody):
    service: str
    weight: float


@functools.lru_cache(maxsize=_MOST_SPLITS)
def _whole(service: str) -> tuple[Split, ...]:
    """Return the split that leads to one service, shared by its routes."""
    return (Split(service, 1.0),)


class _Route(PascalBody, gc=False):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    priority: int = 5
    service: str | None = None
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    auth_exempt: bool = False
    stream_resume: bool = False
    gap_aim_ms: float = msgspec.field(name="gap_aim_ms", default=0.0)

    def decoded(self) -> CallRoute:
        """Return the route in the product's words."""
        splits = tuple(Split(one.service, one.weight) for one in self.traffic_split)
        if not splits and self.service is not None:
            splits = _whole(self.service)
        return CallRoute(
            name=self.name,
            host=sys.intern(self.host.lower()),
            path_prefix=self.path_prefix,
            kind=_KINDS.get(self.kind, CallKind.ONCE),
            timeout_s=self.timeout_ms / _MS_PER_S,
            target_latency_s=self.target_latency_ms / _MS_PER_S,
            priority=self.priority,
            splits=splits,
            max_attempts=self.max_attempts,
            is_key_exempt=self.auth_exempt,
            is_resumable=self.stream_resume,
            gap_target_s=self.gap_aim_ms / _MS_PER_S,
        )


_ROUTE = msgspec.json.Decoder(_Route)


def _route(number: int, row: msgspec.Raw) -> CallRoute:
    """Return a route in the product's words.

    Raises:
        ValueError: It can't be understood.
    """
    try:
        return decoded(_ROUTE, row).decoded()
    except ValueError as error:
        msg = f"route {number}: {error}"
        raise ValueError(msg) from error


class _Kind(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    mb: float
    # Above 1 is slower, although the name says otherwise.
    pace: float
    read_x: float


class _Model(msgspec.Struct):
    load_s: float = 0.0


class _Delay(msgspec.Struct):
    start: str = msgspec.field(name="From")
    # The wire's word for any upper end, here the other zone.
    end: str = msgspec.field(name="TargetVersion")
    delay_ms: float = 0.0


class _Usual(msgspec.Struct):
    prompt: float
    answer: float


class _Engine(msgspec.Struct):
    step_ms: float
    per_seq_ms: float
    context_per_k: float
    read_per_s: float
    layers: int
    layer_mb: float
    kinds: list[_Kind]
    usual: _Usual
    slots: int = msgspec.field(name="Slots")
    kv_token_bytes: float = msgspec.field(name="KvTokenBytes")
    models: list[_Model] = msgspec.field(name="Models", default_factory=list)
    pairs_per_m: float = 0.0
    chunk: int = 512
    delays: list[_Delay] = []
    act_bytes: float = 0.0
    pipe_mbps: float = 0.0
    stride: float = 1.0
    loads_at_once: int = 0

    def decoded(self) -> EngineSpec:
        """Return the engine's figures in the product's words."""
        return EngineSpec(
            slots=self.slots,
            layer_count=self.layers,
            layer_mb=self.layer_mb,
            kv_token_bytes=self.kv_token_bytes,
            step_ms=self.step_ms,
            per_sequence_ms=self.per_seq_ms,
            context_per_k_ms=self.context_per_k,
            prefill_tokens_per_s=self.read_per_s,
            attention_ms_per_m_pairs=self.pairs_per_m,
            chunk_tokens=self.chunk,
            usual_prompt_tokens=self.usual.prompt,
            usual_answer_tokens=self.usual.answer,
            load_s=max((model.load_s for model in self.models), default=0.0),
            kinds={
                one.name: AcceleratorKind(one.mb, one.pace, one.read_x)
                for one in self.kinds
            },
            activation_bytes=self.act_bytes,
            zone_link_mbps=self.pipe_mbps,
            zone_delay_ms={(one.start, one.end): one.delay_ms for one in self.delays},
            tokens_per_step=self.stride,
            max_concurrent_loads=max(0, self.loads_at_once),
        )


class _Service(PascalBody):
    name: str
    max_connections: int = 0
    health_path: str = ""
    engine: dict[str, Any] | None = None

    def decoded(self) -> ServiceSpec:
        """Return the service in the product's words."""
        engine = None
        if self.engine is not None and self.engine.get("layers"):
            engine = msgspec.convert(self.engine, _Engine).decoded()
        return ServiceSpec(
            self.name, self.max_connections, engine, health_path=self.health_path
        )


class _Limits(PascalBody):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0

    def decoded(self) -> CallLimits:
        """Return the limits in the product's words."""
        return CallLimits(
            header_bytes=self.max_header_bytes,
            body_bytes=self.max_body_bytes,
            header_timeout_s=self.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=self.idle_timeout_ms / _MS_PER_S,
        )


class _Tenant(PascalBody):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class Config(PascalBody):
    """The whole row; `decoded` gives it in the product's words.

    Routes may be thousands: they are left to its steps.
    """

    version: int
    routes: list[msgspec.Raw] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []

    def decoded(self) -> Steps[DesiredState]:
        """Return the desired state in the product's words.

        Raises:
            ValueError: It can't be understood.
        """
        routes: defaultdict[str, dict[str, CallRoute]] = defaultdict(dict)
        for number, row in enumerate(self.routes):
            if number % _ROUTES_A_STEP == 0:
                yield
            route = _route(number, row)
            routes[route.host][route.path_prefix] = route
        yield
        return DesiredState(
            version=self.version,
            routes=routes,
            services={one.name: one.decoded() for one in self.services},
            limits=self.limits.decoded(),
            workspaces_by_key={
                key: WorkspaceEntry(tenant.name, tenant.priority)
                for tenant in self.tenants
                for key in tenant.api_keys
            },
        )
