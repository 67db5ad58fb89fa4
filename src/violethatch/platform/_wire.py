# SPDX-License-Identifier: MIT
"""The platform's rows, decoded once into the product's types."""

from __future__ import annotations

import base64

from collections import defaultdict
from typing import Any

import msgspec

from ..backends import BackendServer
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
from ..layers import LayerRange


_MS_PER_S = 1000.0
_KINDS = {
    "safe": CallKind.SAFE,
    "non_idempotent": CallKind.ONCE,
    "streaming": CallKind.STREAM,
}
_LEAVING = "draining"


class _Wire(msgspec.Struct, rename="pascal"):
    """A body of the platform; unknown fields are left out."""


class _Split(_Wire):
    service: str
    weight: float


class _Route(_Wire):
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
            splits = (Split(self.service, 1.0),)
        return CallRoute(
            name=self.name,
            host=self.host.lower(),
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
            read_tokens_per_s=self.read_per_s,
            pairs_per_m_ms=self.pairs_per_m,
            chunk_tokens=self.chunk,
            usual_prompt_tokens=self.usual.prompt,
            usual_answer_tokens=self.usual.answer,
            load_s=max((model.load_s for model in self.models), default=0.0),
            kinds={
                one.name: AcceleratorKind(one.mb, one.pace, one.read_x)
                for one in self.kinds
            },
            activation_bytes=self.act_bytes,
            pipe_mbps=self.pipe_mbps,
            zone_delay_ms={(one.start, one.end): one.delay_ms for one in self.delays},
        )


class _Service(_Wire):
    name: str
    max_connections: int = 0
    engine: dict[str, Any] | None = None

    def decoded(self) -> ServiceSpec:
        """Return the service in the product's words."""
        engine = None
        if self.engine is not None and self.engine.get("layers"):
            engine = msgspec.convert(self.engine, _Engine).decoded()
        return ServiceSpec(self.name, self.max_connections, engine)


class _Limits(_Wire):
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


class _Tenant(_Wire):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(_Wire):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class LayersHeld(msgspec.Struct):
    """Layers that a runner holds."""

    first: int = msgspec.field(name="From")
    # The first layer that is no longer held; no version of anything.
    end: int = msgspec.field(name="TargetVersion")
    version: int = msgspec.field(name="Version", default=0)


class _Server(_Wire):
    service: str
    address: str
    zone: str
    slots: int = 1
    state: str = "ready"
    kind: str = ""
    layers: LayersHeld | None = msgspec.field(name="layers", default=None)


class Row(_Wire):
    """A row as the store tells it."""

    key: str
    value: str | None = None
    ver: int = msgspec.field(name="ver", default=0)
    gone: bool = msgspec.field(name="gone", default=False)

    @property
    def content(self) -> bytes | None:
        """The row's value, or None if it is gone."""
        if self.gone or self.value is None:
            return None
        return base64.b64decode(self.value)


class Rows(msgspec.Struct):
    """The store's answer to reads and to failed conditions."""

    rows: list[Row] = msgspec.field(name="Rows", default_factory=list)
    ver: int = 0
    now_ms: float = 0.0
    more: bool = False


class Report(msgspec.Struct):
    """A runner's report, as far as it is used."""

    sequence: int = msgspec.field(name="Sequence", default=0)
    busy: bool = msgspec.field(name="Busy", default=False)
    waiting: int = msgspec.field(name="Waiting", default=0)
    running: int = msgspec.field(name="Running", default=0)
    # Both are counted in tokens times layers.
    kv_used: float = msgspec.field(name="KvUsed", default=0.0)
    kv_total: float = msgspec.field(name="KvTotal", default=0.0)
    pace: float = 1.0
    layers: LayersHeld | None = None
    stalled: list[Stalled] = []


class Stalled(msgspec.Struct):
    """A request that waits for a runner."""

    id: str = msgspec.field(name="Id")
    address: str = msgspec.field(name="Address")


class WireDecoder:
    """Reads the store's rows into the product's types."""

    def __init__(self) -> None:
        self._config = msgspec.json.Decoder(_Config)
        self._server = msgspec.json.Decoder(_Server)

    def desired_state(self, value: bytes) -> DesiredState:
        """Read a desired state.

        Raises:
            ValueError: It can't be understood.
        """
        config = self._config.decode(value)
        routes: defaultdict[str, dict[str, CallRoute]] = defaultdict(dict)
        for route in map(_Route.decoded, config.routes):
            routes[route.host][route.path_prefix] = route
        return DesiredState(
            version=config.version,
            routes=routes,
            services={one.name: one.decoded() for one in config.services},
            limits=config.limits.decoded(),
            workspaces_by_key={
                key: WorkspaceEntry(tenant.name, tenant.priority)
                for tenant in config.tenants
                for key in tenant.api_keys
            },
        )

    def backend_server(self, server_id: str, value: bytes) -> BackendServer:
        """Read a listed server.

        Raises:
            ValueError: It can't be understood.
        """
        server = self._server.decode(value)
        return BackendServer(
            id=server_id,
            service=server.service,
            address=server.address,
            availability_zone=server.zone,
            slots=server.slots,
            is_leaving=server.state == _LEAVING,
            layers=held_range(server.layers),
            kind=server.kind,
            weights_version=server.layers.version if server.layers else 0,
        )


def held_range(layers: LayersHeld | None) -> LayerRange | None:
    """Return the layers held, or None if there are none."""
    if layers is None or layers.end <= layers.first:
        return None
    return LayerRange(layers.first, layers.end)
