# SPDX-License-Identifier: MIT
"""The platform's rows in the product's types."""

from __future__ import annotations

import base64
import gc
import json

import pytest

from routing_samples import runner
from violethatch.desired import CallKind
from violethatch.layers import LayerRange
from violethatch.paths import Path, Stage
from violethatch.platform import _headers
from violethatch.platform._wire import Row, WireDecoder, contents


ENGINE = {
    "Slots": 96,
    "KvTokenBytes": 1836000,
    "Models": [{"Name": "m", "pace": 1.0, "load_s": 14.0, "WarmS": 1.0}],
    "step_ms": 1.02,
    "per_seq_ms": 0.01428,
    "context_per_k": 0.01912,
    "read_per_s": 105000.0,
    "pairs_per_m": 0.309,
    "chunk": 512,
    "delays": [{"From": "z1", "TargetVersion": "z2", "delay_ms": 0.75}],
    "usual": {"prompt": 774, "answer": 200},
    "layers": 80,
    "layer_mb": 1750.0,
    "act_bytes": 91800,
    "pipe_mbps": 26000.0,
    "kinds": [{"Name": "large", "mb": 72000.0, "pace": 2.4, "read_x": 3.2}],
}
CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r1",
            "Host": "Menu.Example",
            "PathPrefix": "/draft/",
            "Kind": "streaming",
            "TimeoutMs": 20000,
            "TargetLatencyMs": 500,
            "Priority": 1,
            "TrafficSplit": [
                {"Service": "model", "Weight": 90},
                {"Service": "labels", "Weight": 10},
            ],
            "MaxAttempts": 2,
            "AuthExempt": False,
            "SessionAffinity": True,
            "StreamResume": True,
            "gap_aim_ms": 200,
        },
        {
            "Name": "r2",
            "Host": "menu.example",
            "PathPrefix": "/print/",
            "Kind": "non_idempotent",
            "TimeoutMs": 1500,
            "TargetLatencyMs": 400,
            "Priority": 0,
            "Service": "labels",
            "MaxAttempts": 1,
            "AuthExempt": True,
        },
    ],
    "Services": [
        {"Name": "model", "MaxConnections": 1138, "Engine": ENGINE},
        {"Name": "labels", "MaxConnections": 110, "Protocol": "h1", "Tls": False},
    ],
    "Limits": {"MaxBodyBytes": 1000, "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "clinic", "ApiKeys": ["k1", "k2"], "Priority": 1}],
}


#: An empty runner's entry.
ENTRY = {
    "Service": "model",
    "Address": "10.1.0.2:8000",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 96,
    "State": "ready",
    "Sequence": 3,
    "ColdRemainingMs": 0,
    "Kind": "large",
    "layers": None,
}


class TestRowContent:
    @pytest.mark.parametrize("size", [0, 1, 2, 98_303, 98_304, 98_305, 300_000])
    def test_rows_of_all_sizes(self, size):
        value = bytes(n % 251 for n in range(size))
        row = Row("config", base64.b64encode(value).decode())
        assert row.content == value

    @pytest.mark.parametrize("at", [0, 4, 131_068, 131_072, 262_140])
    def test_row_that_is_no_base64(self, at):
        """Also where it would be, part by part."""
        value = base64.b64encode(bytes(300_000)).decode()
        for wrong in ("AA==", "AA.A", "AAA"):
            row = Row("config", value[:at] + wrong + value[at + 4 :])
            assert row.content == b""

    def test_loop_held_while_a_large_row_is_decoded(self):
        rows = [Row(f"r{n}", base64.b64encode(bytes(300_000)).decode()) for n in (1, 2)]
        steps = contents(rows)
        assert len(list(steps)) >= 6


def decode(config):
    """Decode a desired state."""
    return WireDecoder().desired_state(json.dumps(config).encode())


class TestDesiredState:
    def test_garbage_collector_goes_through_all_routes(self):
        """It took 50 ms with two states of 10,000 routes."""
        routes = [CONFIG["Routes"][1] | {"PathPrefix": f"/{n}/"} for n in range(500)]
        gc.collect()
        before = len(gc.get_objects())
        state = decode(CONFIG | {"Routes": routes})
        gc.collect()
        assert len(state.routes["menu.example"]) == 500
        assert len(gc.get_objects()) - before < 100

    def test_routes(self):
        """Kinds, splits and times come in the product's words and units."""
        state = decode(CONFIG)
        route = state.route_of("menu.example", "/draft/x")
        assert (route.kind, route.timeout_s, route.gap_target_s) == (
            CallKind.STREAM,
            20.0,
            0.2,
        )
        assert [tuple(split) for split in route.splits] == [
            ("model", 90.0),
            ("labels", 10.0),
        ]
        once = state.route_of("menu.example", "/print/x")
        assert (once.kind, once.is_repeatable) == (CallKind.ONCE, False)
        assert once.splits[0].service == "labels"

    def test_engine(self):
        """The engine's figures come whole; plain services have none."""
        services = decode(CONFIG).services
        engine = services["model"].engine
        assert (engine.layer_count, engine.load_s) == (80, 14.0)
        assert engine.kinds["large"].memory_mb == 72000.0
        assert engine.delay_ms("z2", "z1") == 0.75
        assert services["labels"].engine is None

    def test_stride(self):
        """An engine that states no stride makes one token in a pass."""

        def stride(**changes):
            service = {"Name": "model", "Engine": {**ENGINE, **changes}}
            return (
                decode({**CONFIG, "Services": [service]})
                .services["model"]
                .engine.tokens_per_step
            )

        assert stride() == 1.0
        assert stride(stride=5) == 5.0

    def test_keys_name_their_workspace(self):
        """Each key leads to its workspace and its priority."""
        workspaces = decode(CONFIG).workspaces_by_key
        assert {key: entry.name for key, entry in workspaces.items()} == {
            "k1": "clinic",
            "k2": "clinic",
        }
        assert workspaces["k1"].priority == 1

    @pytest.mark.parametrize(
        ("tenants", "requires_key"),
        [
            (..., False),
            (None, False),
            ([], True),
            ([{"Name": "clinic"}], True),
            ([{"Name": "clinic", "ApiKeys": []}], True),
            ([{"Name": "clinic", "ApiKeys": ["k1"]}], True),
        ],
    )
    def test_missing_tenants_are_not_tenants_without_keys(self, tenants, requires_key):
        config = CONFIG | {"Tenants": tenants}
        if tenants is ...:
            del config["Tenants"]
        assert decode(config).requires_key == requires_key

    def test_keys_that_are_null_are_not_understood(self):
        with pytest.raises(ValueError, match="ApiKeys"):
            decode(CONFIG | {"Tenants": [{"Name": "clinic", "ApiKeys": None}]})

    def test_route_without_a_service_is_not_understood(self):
        """Its calls ended as an internal error."""
        route = dict(CONFIG["Routes"][1], Service=None)
        with pytest.raises(ValueError, match="names no service"):
            decode(CONFIG | {"Routes": [route]})

    @pytest.mark.parametrize("text", [b"", b"{}", b'{"Version": "x"}'])
    def test_spoilt_state(self, text):
        """What can't be understood is a ValueError, and nothing else."""
        with pytest.raises(ValueError, match=r"."):
            WireDecoder().desired_state(text)


class TestBackendServer:
    def decode(self, **changes):
        """Decode a listed server."""
        value = json.dumps(ENTRY | changes).encode()
        return WireDecoder().backend_server("i-1", value)

    def test_empty_runner(self):
        """A runner without layers is an empty one."""
        server = self.decode()
        assert (server.layers, server.kind, server.is_leaving) == (None, "large", False)

    def test_layers(self):
        """The range's end is not held."""
        server = self.decode(layers={"From": 4, "TargetVersion": 9, "Version": 2})
        assert (server.layers, server.weights_version) == (LayerRange(4, 9), 2)

    def test_leaving(self):
        """A draining server is one that leaves."""
        assert self.decode(State="draining").is_leaving


class TestRow:
    def test_value_that_is_no_base64(self):
        """A spoilt value can't be understood, and does no more harm."""
        row = Row(key="i-1", value="%%%", ver=3)
        with pytest.raises(ValueError, match=r"."):
            WireDecoder().backend_server("i-1", row.content)


class TestHeaders:
    def test_what_is_passed_on(self):
        """A connection's headers, the key and what we set stay behind."""
        headers = [
            ("Host", "menu.example"),
            ("Connection", "close, X-Private"),
            ("X-Private", "1"),
            ("Authorization", "Token k1"),
            ("Violethatch-Tenant", "other"),
            ("Violethatch-Model", "m"),
            ("Transfer-Encoding", "chunked"),
            ("Path", "10.0.0.1:1=0-80"),
        ]
        assert _headers.passed_on(headers) == [
            ("Host", "menu.example"),
            ("Violethatch-Model", "m"),
        ]

    def test_path(self):
        """Stages are told in order, with the layers that each runs."""
        a = runner("a", 0, 30, address="10.0.0.1:1")
        b = runner("b", 20, 80, address="10.0.0.2:2")
        path = Path((Stage(a, LayerRange(0, 30)), Stage(b, LayerRange(30, 80))), 1.0)
        assert _headers.path_header(path) == "10.0.0.1:1=0-30,10.0.0.2:2=30-80"
