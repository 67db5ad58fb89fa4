# SPDX-License-Identifier: MIT
"""Entries that are valid on the wire and impossible for their service."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random

import pytest

from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from router_fakes import FakeClient
from router_fakes import settings as router_settings
from routing_samples import engine, runner
from test_platform_process import Site
from test_platform_wire import CONFIG, ENGINE, ENTRY
from violethatch import clocks
from violethatch._router import Router
from violethatch.capacity import Targets
from violethatch.entry_checks import entry_fault
from violethatch.load_order import loading_order
from violethatch.paths import LayerMap
from violethatch.placement import Host, plan_placement
from violethatch.platform._runners import Runners, _load
from violethatch.platform._sessions import make_session
from violethatch.platform._wire import WireDecoder
from violethatch.upstream import TableView
from violethatch_emulator.path_runner import PathRunner


KINDS = [
    {"Name": "large", "mb": 72000.0, "pace": 2.4, "read_x": 3.2},
    {"Name": "tiny", "mb": 100.0, "pace": 30.0, "read_x": 40.0},
]
NUMBERS = st.sampled_from([0, 1, 39, 40, 79, 80, 81, 96, 2**31 - 1])


def state(version=1, *, changes=None):
    """Return a desired state with two priorities, so that admission applies."""
    first = dict(CONFIG["Routes"][0], TrafficSplit=[], Service="model")
    second = dict(first, Name="r3", PathPrefix="/later/", Priority=5)
    spec = ENGINE | {"kinds": KINDS} | (changes or {})
    services = [
        {"Name": "model", "MaxConnections": 1138, "Engine": spec},
        {"Name": "labels", "MaxConnections": 110},
    ]
    return dict(CONFIG, Version=version, Routes=[first, second], Services=services)


def made_router():
    """Return a router without any state."""
    return Router(
        router_settings(),
        client=FakeClient(),
        decoder=WireDecoder(),
        rng=random.Random(1),
    )


def configure(router, config):
    """Put a desired state in force."""
    values = {"config": json.dumps(config).encode()}
    router.apply_desired_state(TableView(values, config["Version"], 0.0), False)


def listed(router, entries, *, version=1, is_whole=True):
    """Have a router read entries."""
    rows = {name: json.dumps(entry).encode() for name, entry in entries.items()}
    router.apply_server_list(TableView(rows, version, 0.0), is_whole)


def held(first, end):
    """Return the layers of a runner's entry."""
    return {"From": first, "TargetVersion": end, "Version": 1}


def entry(number, first=None, end=None, **changes):
    """Return a runner's entry."""
    layers = None if first is None else held(first, end)
    address = f"10.1.0.{number}:8000"
    return ENTRY | {"Address": address, "layers": layers} | changes


def usable(router):
    """Return the ids of the model's usable runners."""
    return {server.id for server in router.routing.usable("model")}


def drive_all_consumers(router):
    """Have everything that plans with the listed servers do so once."""
    routing = router.routing
    service = router.desired.services["model"]
    now_s = clocks.now_s()
    servers = routing.usable("model")
    hosts = [
        Host(one.id, one.availability_zone, one.kind, one.layers) for one in servers
    ]
    for copies in ((), {host.id for host in hosts}):
        for allow_repair in (False, True):
            plan = plan_placement(
                hosts, service.engine, copy_candidates=copies, allow_repair=allow_repair
            )
            order = loading_order(plan, hosts, layer_count=service.engine.layer_count)
            assert sorted(order) == sorted(plan)
            for layers in plan.values():
                assert 0 <= layers.first < layers.end <= service.engine.layer_count
    routing.path(service)
    routing.path(service, include_possibly_full=True, priority=9)
    routing.isolated_path(service, avoided=frozenset(), trait="t")
    routing.blocked_time(service)
    routing.loads.utilization_by_server(LayerMap(servers, service.engine), now_s=now_s)
    routing.loads.own_totals(now_s=now_s)
    routing._paths.room(service, Targets(0.5, 0.2))
    routing.admission.refresh()
    routing.admission.states()
    routing.backends.entry_servers("model")
    router.update_metrics()
    router.state()


@contextlib.asynccontextmanager
async def serving(handlers):
    """Serve paths with handlers; return the port."""
    app = web.Application()
    for path, handler in handlers.items():
        app.router.add_route("*", path, handler)
    server = web.AppRunner(app)
    await server.setup()
    await web.TCPSite(server, "127.0.0.1", 0).start()
    try:
        yield server.addresses[0][1]
    finally:
        await server.cleanup()


@contextlib.asynccontextmanager
async def sessions():
    """Provide the sessions that calls to servers use."""
    async with (
        make_session(is_kept=True) as kept,
        make_session(is_kept=False) as fresh,
    ):
        yield kept, fresh


@pytest.fixture
def failures(monkeypatch):
    """Collect the background work that fails, which is contained otherwise."""
    failed = []
    monkeypatch.setattr(
        "violethatch._background.FailureGuard.record",
        lambda _self, work, error: failed.append((work, error)) or 0.0,
    )
    return failed


class TestFault:
    @pytest.mark.parametrize(
        "server",
        [runner("a", 0, 80), runner("a", 79, 80), runner("a")],
        ids=["whole", "last layer", "empty"],
    )
    def test_server_of_the_service(self, server):
        assert entry_fault(server, engine()) is None

    @pytest.mark.parametrize("layers", [(0, 81), (0, 96), (80, 81), (90, 96)])
    def test_layers_beyond_the_model(self, layers):
        assert "layers" in entry_fault(runner("a", *layers), engine())

    def test_kind_that_the_engine_lacks(self):
        assert "kind" in entry_fault(runner("a", 0, 80, kind="x" * 99), engine())

    def test_service_without_an_engine(self):
        assert entry_fault(runner("a", 0, 96, kind="other"), None) is None


class TestRouter:
    GOOD = {"m1": entry(1, 0, 40), "m2": entry(2, 40, 80)}

    @pytest.mark.parametrize(
        "changes",
        [
            {"layers": held(0, 96)},
            {"layers": held(80, 96)},
            {"Kind": "unheard-of"},
            {"Kind": ""},
        ],
        ids=str,
    )
    @pytest.mark.parametrize("is_whole", [True, False])
    def test_impossible_entry_is_never_used(self, changes, is_whole, failures):
        router = made_router()
        configure(router, state())
        listed(router, self.GOOD)
        entries = {"x": entry(9) | changes}
        listed(router, entries | (self.GOOD if is_whole else {}), is_whole=is_whole)
        assert usable(router) == {"m1", "m2"}
        assert router.routing.backends.get("x") is None
        listed(router, {"empty": entry(3)}, is_whole=False)
        drive_all_consumers(router)
        assert failures == []

    def test_list_that_comes_before_the_desired_state(self, failures):
        router = made_router()
        listed(router, self.GOOD | {"x": entry(9, 0, 96)})
        configure(router, state())
        assert usable(router) == {"m1", "m2"}
        drive_all_consumers(router)
        assert failures == []

    def test_entry_that_a_version_makes_impossible_and_possible_again(self):
        router = made_router()
        configure(router, state())
        listed(router, self.GOOD)
        configure(router, state(2, changes={"layers": 60}))
        assert usable(router) == {"m1"}
        drive_all_consumers(router)
        configure(router, state(3))
        assert usable(router) == {"m1", "m2"}

    def test_impossible_entry_is_logged_once(self, monkeypatch):
        lines = []
        monkeypatch.setattr(
            "violethatch.events.eliot.log_message", lambda **line: lines.append(line)
        )
        router = made_router()
        configure(router, state())
        for version in range(1, 20):
            rows = {f"x{n}": entry(9, 0, 96, Sequence=version) for n in range(50)}
            listed(router, rows, version=version, is_whole=False)
        (line,) = [one for one in lines if one["number"] == 2128]
        assert line["count"] == 50
        assert len(line["server_ids"]) <= 10
        assert router.metrics.faulty_entries.get({}) == 50

    def test_removed_and_corrected_entries(self):
        router = made_router()
        configure(router, state())
        listed(router, self.GOOD | {"x": entry(9, 0, 96), "y": entry(8, 0, 96)})
        listed(router, {"x": entry(9, 0, 80)}, is_whole=False)
        router.apply_server_list(TableView({"y": None}, 2, 0.0), False)
        configure(router, state(2, changes={"layers": 96}))
        assert usable(router) == {"m1", "m2", "x"}

    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(
            st.tuples(
                NUMBERS,
                NUMBERS,
                st.sampled_from(["large", "tiny", "", "other"]),
                st.sampled_from(["z1", "z2"]),
                st.sampled_from(["model", "labels", "none"]),
                st.sampled_from([1, 96, 2**31 - 1]),
                st.booleans(),
            ),
            max_size=8,
        ),
        st.lists(
            st.fixed_dictionaries(
                {},
                optional={
                    "layers": st.sampled_from([1, 2, 40, 80, 96]),
                    "layer_mb": st.sampled_from([0.001, 1750.0, 1e9]),
                    "Slots": st.sampled_from([1, 96]),
                    "stride": st.sampled_from([0.001, 1.0, 1e6]),
                    "pipe_mbps": st.sampled_from([0.0, 1e-6, 26000.0]),
                    "step_ms": st.sampled_from([0.0, 1.02, 1e9]),
                    "KvTokenBytes": st.sampled_from([1e-3, 1836000.0, 1e12]),
                    "kinds": st.sampled_from([[], KINDS[:1], KINDS]),
                },
            ),
            min_size=1,
            max_size=3,
        ),
    )
    def test_no_consumer_fails_whatever_is_listed(self, drawn, versions):
        router = made_router()
        failed = []
        router.routing.failures.on_failure = failed.append
        entries = {
            f"s{number}": entry(
                number + 1,
                min(first, end) if is_loaded else None,
                max(first, end),
                Kind=kind,
                Zone=zone,
                Service=service,
                Slots=slots,
            )
            for number, (
                first,
                end,
                kind,
                zone,
                service,
                slots,
                is_loaded,
            ) in enumerate(drawn)
        }
        for number, changes in enumerate(versions):
            configure(router, state(number + 1, changes=changes))
            assert router.desired.version == number + 1
            listed(router, entries, version=number + 1)
            drive_all_consumers(router)
        assert failed == []


class TestEngine:
    @pytest.mark.parametrize(
        "changes",
        [
            {"layers": 0},
            {"layers": -1},
            {"layers": 2**31},
            {"layers": None},
            {"layer_mb": 0},
            {"KvTokenBytes": 0},
            {"chunk": 0},
            {"read_per_s": 0},
            {"stride": 0},
            {"Slots": 0},
            {"usual": {"prompt": 0, "answer": 0}},
            {"pipe_mbps": -1},
            {"kinds": [KINDS[0] | {"pace": 0}]},
            {"kinds": [KINDS[0] | {"mb": -1}]},
        ],
        ids=str,
    )
    def test_state_with_an_impossible_engine_is_not_taken(self, changes):
        router = made_router()
        configure(router, state())
        configure(router, state(2, changes=changes))
        assert router.desired.version == 1
        assert not router.freshness.is_fresh(now_s=clocks.now_s())

    def test_split_without_weight_is_not_taken(self):
        router = made_router()
        config = state()
        weights = [
            {"Service": "model", "Weight": 0},
            {"Service": "labels", "Weight": 0},
        ]
        config["Routes"][0]["TrafficSplit"] = weights
        configure(router, config)
        assert router.desired is None


class TestReports:
    @pytest.mark.parametrize(
        "report",
        [
            {"layers": {"From": 40, "TargetVersion": 0, "Version": 1}},
            {"layers": {"From": 0, "TargetVersion": 10**20}},
            {"KvUsed": 1.0, "KvTotal": -1.0},
            {"pace": 1e300},
            {"Sequence": -1},
        ],
        ids=str,
    )
    async def test_impossible_report_counts_as_none(self, report):
        """A reversed range ended the placement and the health checks."""

        async def answer(_request):
            return web.json_response(report)

        async with serving({"/api/report": answer}) as port, sessions() as both:
            server = runner("a", 0, 80)._replace(address=f"127.0.0.1:{port}")
            assert await Runners(*both).report(server) is None

    @pytest.mark.parametrize("load", ["9" * 400 + ",0,8", "-1,0,8", "1,2", "x,0,8"])
    def test_impossible_load_is_not_read(self, load):
        assert _load(load) is None


class TestProcess:
    async def test_impossible_entry_and_empty_runner_end_no_process(self, tmp_path):
        """Six times in 70 s, on each instance, while the entry stood."""
        site = Site(tmp_path)
        site.runners["i-3"] = PathRunner("i-3")
        try:
            await site.start()
            site.addresses["foreign"] = "127.0.0.1:9"
            site.list_server("foreign", layers=held(0, 96))
            site.runners["i-3"].layers = None
            site.list_server("i-3", layers=None)
            async with asyncio.timeout(20):
                while site.runners["i-3"].layers is None:
                    assert site.process.returncode is None
                    await asyncio.sleep(0.1)
            site.list_server("i-3", layers=held(*site.runners["i-3"].layers))
            await asyncio.sleep(1.0)
            assert site.process.returncode is None
            assert await site.status_of() == 200
            metrics = await site.fetch("/metrics")
            assert b"violethatch_router_task_failures_total{" not in metrics
        finally:
            await site.stop()
