# SPDX-License-Identifier: MIT
"""The platform's row of the desired state, decoded into the product's types."""

from __future__ import annotations

import functools
import sys

from collections import defaultdict
from typing import Annotated, Any

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


#: More layers than any model has: each plan keeps a figure of each.
_MOST_LAYERS = 65_536
_Positive = Annotated[float, msgspec.Meta(gt=0.0)]
_Amount = Annotated[float, msgspec.Meta(ge=0.0)]


class PascalBody(msgspec.Struct, rename="pascal"):
    """A body of the platform; unknown fields are left out."""


class _Split(PascalBody):
    service: str
    weight: _Amount


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
        """Return the route in the product's words.

        Raises:
            ValueError: It leads nowhere.
        """
        splits = tuple(Split(one.service, one.weight) for one in self.traffic_split)
        if splits and not any(split.weight for split in splits):
            msg = "its split has no weight"
            raise ValueError(msg)
        if not splits and self.service is not None:
            splits = _whole(self.service)
        if not splits:
            msg = "it names no service"
            raise ValueError(msg)
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
    mb: _Amount
    # Above 1 is slower, although the name says otherwise.
    pace: _Positive
    read_x: _Positive


class _Model(msgspec.Struct):
    load_s: _Amount = 0.0


class _Delay(msgspec.Struct):
    start: str = msgspec.field(name="From")
    # The wire's word for any upper end, here the other zone.
    end: str = msgspec.field(name="TargetVersion")
    delay_ms: _Amount = 0.0


class _Usual(msgspec.Struct):
    prompt: _Positive
    answer: _Positive


class _Engine(msgspec.Struct):
    step_ms: _Amount
    per_seq_ms: _Amount
    context_per_k: _Amount
    read_per_s: _Positive
    layers: Annotated[int, msgspec.Meta(ge=1, le=_MOST_LAYERS)]
    layer_mb: _Positive
    kinds: list[_Kind]
    usual: _Usual
    slots: Annotated[int, msgspec.Meta(ge=1)] = msgspec.field(name="Slots")
    kv_token_bytes: _Positive = msgspec.field(name="KvTokenBytes")
    models: list[_Model] = msgspec.field(name="Models", default_factory=list)
    pairs_per_m: _Amount = 0.0
    chunk: Annotated[int, msgspec.Meta(ge=1)] = 512
    delays: list[_Delay] = []
    act_bytes: _Amount = 0.0
    pipe_mbps: _Amount = 0.0
    stride: _Positive = 1.0
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
        """Return the service in the product's words.

        Raises:
            ValueError: Its engine can't be understood, or has impossible figures.
        """
        engine = None
        if self.engine is not None and "layers" in self.engine:
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
    # Missing where callers aren't told apart; an empty list lets nobody in.
    tenants: list[_Tenant] | None = None

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
            requires_key=self.tenants is not None,
            workspaces_by_key={
                key: WorkspaceEntry(tenant.name, tenant.priority)
                for tenant in self.tenants or ()
                for key in tenant.api_keys
            },
        )
