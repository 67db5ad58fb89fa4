# SPDX-License-Identifier: MIT
"""Sample engines, servers and desired states for the router's tests."""

from __future__ import annotations

from msgspec import structs

from violethatch.backends import BackendServer
from violethatch.desired import (
    CallKind,
    CallLimits,
    CallRoute,
    DesiredState,
    ServiceSpec,
    Split,
    WorkspaceEntry,
)
from violethatch.engine_model import AcceleratorKind, EngineSpec
from violethatch.layers import LayerRange


KINDS = {
    "large": AcceleratorKind(72_000.0, 2.4, 3.2),
    "medium": AcceleratorKind(43_200.0, 5.6, 2.7),
    "small": AcceleratorKind(21_600.0, 16.0, 8.2),
}


def engine(**changes):
    """Return an engine's figures, similar to those of a real engine."""
    spec = EngineSpec(
        slots=96,
        layer_count=80,
        layer_mb=1750.0,
        kv_token_bytes=1_836_000.0,
        step_ms=1.02,
        per_sequence_ms=0.01428,
        context_per_k_ms=0.01912,
        prefill_tokens_per_s=105_000.0,
        attention_ms_per_m_pairs=0.309,
        chunk_tokens=512,
        usual_prompt_tokens=774.0,
        usual_answer_tokens=200.0,
        load_s=14.0,
        kinds=KINDS,
        zone_delay_ms={("z1", "z2"): 0.75},
        activation_bytes=91_800.0,
        zone_link_mbps=26_000.0,
    )
    return spec._replace(**changes)


def runner(name, first=None, end=None, *, kind="medium", zone="z1", **changes):
    """Return a runner of the service `model`, without layers by default."""
    layers = None if first is None else LayerRange(first, end)
    server = BackendServer(
        id=name,
        service="model",
        address=f"10.0.0.1:{9000 + sum(name.encode())}",
        availability_zone=zone,
        slots=96,
        is_leaving=False,
        layers=layers,
        kind=kind,
    )
    return server._replace(**changes)


def plain_server(name, **changes):
    """Return a server of the service `labels`."""
    server = BackendServer(
        id=name,
        service="labels",
        address=f"10.0.0.2:{9000 + sum(name.encode())}",
        availability_zone="z1",
        slots=6,
        is_leaving=False,
    )
    return server._replace(**changes)


def call_route(**changes):
    """Return a route of streams."""
    route = CallRoute(
        name="r1",
        host="menu.example",
        path_prefix="/draft/",
        kind=CallKind.STREAM,
        timeout_s=20.0,
        target_latency_s=0.5,
        priority=1,
        splits=(Split("model", 1.0),),
        max_attempts=2,
        is_key_exempt=False,
        is_resumable=True,
        gap_target_s=0.2,
    )
    return structs.replace(route, **changes)


def plain_route(**changes):
    """Return a route of repeatable calls of the service `labels`."""
    route = call_route(
        name="r2",
        path_prefix="/label/",
        kind=CallKind.SAFE,
        is_resumable=False,
        splits=(Split("labels", 1.0),),
    )
    return structs.replace(route, **changes)


def desired_state(*routes, version=1, keys=("key-1",), workspace="clinic"):
    """Return a desired state with the services `model` and `labels`."""
    by_host = {}
    for route in routes or (call_route(),):
        by_host.setdefault(route.host, {})[route.path_prefix] = route
    return DesiredState(
        version=version,
        routes=by_host,
        services={
            "model": ServiceSpec("model", 1000, engine()),
            "labels": ServiceSpec("labels", 100, None),
        },
        limits=CallLimits(16_384, 1_048_576, 3.0, 15.0),
        requires_key=keys is not None,
        workspaces_by_key={key: WorkspaceEntry(workspace, 0) for key in keys or ()},
    )
