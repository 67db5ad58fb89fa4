# SPDX-License-Identifier: MIT
"""Readiness, rejections, state dumps and desired states of a router."""

from __future__ import annotations

import asyncio
import json
import random

import msgspec
import pytest

from router_fakes import FakeClient, FakeResponder, make_call, settings
from routing_samples import desired_state
from violethatch import clocks, slices
from violethatch._router import Router
from violethatch.admission_preview import active_section, parse_state
from violethatch.errors import (
    UnauthorizedError,
    UnknownTargetError,
    UnprovenStateError,
)
from violethatch.platform._wire import WireDecoder
from violethatch.router_settings import AdmissionMode, AdmissionSection
from violethatch.upstream import TableView


def make_router(*, proof_age_s):
    """Return a router with a desired state, given the age of its proof."""
    router = Router(settings(), client=FakeClient(), decoder=None, rng=random.Random(1))
    router.desired = desired_state()
    router.freshness.proven(clocks.now_s() - proof_age_s)
    return router


class TestReadiness:
    @pytest.mark.parametrize(
        ("proof_age_s", "is_ready"), [(0.0, True), (3.0, True), (3.5, False)]
    )
    def test_is_not_ready_before_requests_are_rejected(self, proof_age_s, is_ready):
        """The balancer reacts after some seconds; calls are accepted up to 4.25 s."""
        router = make_router(proof_age_s=proof_age_s)
        assert router.is_ready is is_ready
        assert router.freshness.is_fresh(now_s=clocks.now_s())

    def test_known_loads_are_reported(self):
        """Metrics and dump contain the number of known instances and the load's age."""
        router = make_router(proof_age_s=0.0)
        router.update_metrics()
        gauge = router.metrics.known_instances
        assert gauge.get({}) == 1
        assert router.metrics.load_age_s.get({}) == -1.0
        assert router.state()["load_instances"] == 1


class TestRejections:
    @pytest.mark.parametrize(
        ("changes", "error"),
        [
            ({"host": "new.example"}, UnknownTargetError),
            ({"key": "k2"}, UnauthorizedError),
        ],
    )
    async def test_final_rejection_needs_a_recent_proof(self, changes, error):
        """A route or a key that was added 2 s ago may be missing in this state."""
        call = make_call()._replace(**changes)
        with pytest.raises(error):
            await make_router(proof_age_s=1.9).serve(call, FakeResponder())
        for proof_age_s in (2.0, 3.0, 4.0):
            with pytest.raises(UnprovenStateError) as caught:
                await make_router(proof_age_s=proof_age_s).serve(call, FakeResponder())
            assert caught.value.retry_after_s > 0


class TestState:
    def test_dump_is_valid_json(self):
        """Guards against values that JSON lacks, such as an unlimited plan's."""
        router = make_router(proof_age_s=0.0)
        router.routing.admission.section = AdmissionSection(mode=AdmissionMode.ON)
        router.routing.admission.apply_desired_state(router.desired)
        router.routing.admission.refresh()
        state = router.state()
        [service] = state["admission"].values()
        assert service["plan"]["admitted_per_s"] is None
        assert service["plan"]["level"] is None
        data = msgspec.json.encode(state)
        assert json.loads(data, parse_constant=pytest.fail) == state
        dump = parse_state(data)
        assert active_section(dump) == router.routing.admission.section

    def test_admission_is_reported(self):
        """Guards against reservations that are missing in the metrics or the dump."""
        router = make_router(proof_age_s=0.0)
        admission = router.routing.admission
        admission.section = AdmissionSection(mode=AdmissionMode.ON)
        admission.apply_desired_state(router.desired)
        admission.returns = FakeReturns()
        router.update_metrics()
        gauge = router.metrics.admission_reserved
        [service] = router.state()["admission"]
        assert gauge.get({"service": service}) == 2
        assert router.state()["admission"][service]["reserved_starts"] == 2
        assert router.state()["admission_kept_starts"] == 5


class FakeReturns:
    """Fake start reservations."""

    def reserved(self, _service):
        return 2

    def kept(self):
        return 5


class CountingDecoder(WireDecoder):
    """Counts the desired states that it decodes."""

    def __init__(self):
        super().__init__()
        self.decode_count = 0

    def desired_steps(self, value, *, above):
        self.decode_count += 1
        return super().desired_steps(value, above=above)


def config(version, *, routes=1, keys=("key-1",), **changes):
    """Return the row of a desired state; *changes* apply to all its routes."""
    route = {
        "Host": "menu.example",
        "Kind": "streaming",
        "TimeoutMs": 20000,
        "TargetLatencyMs": 500,
        "Service": "labels",
    }
    state = {
        "Version": version,
        "Routes": [
            route | {"Name": f"r{n}", "PathPrefix": f"/{n}/"} | changes
            for n in range(routes)
        ],
        "Services": [{"Name": "labels"}],
        "Tenants": [{"Name": "clinic", "ApiKeys": list(keys)}],
    }
    return json.dumps(state).encode()


def make_empty_router(decoder):
    """Return a router without a desired state."""
    return Router(
        settings(), client=FakeClient(), decoder=decoder, rng=random.Random(1)
    )


def make_view(value, version=1):
    """Return a view of the desired state's table."""
    return TableView({"config": value}, version, 0.0)


class TestDesiredStates:
    def test_state_in_force_is_not_decoded_again(self):
        """After an outage or a loss of its history the store's whole table is read."""
        decoder = CountingDecoder()
        router = make_empty_router(decoder)
        router.apply_desired_state(make_view(config(3)), True)
        in_force = router.desired
        router.apply_desired_state(make_view(config(3)), True)
        assert router.desired is in_force
        assert decoder.decode_count == 1

    def test_state_in_force_is_proven_again_after_an_invalid_one(self):
        """Guards against doubt that persists after an invalid row was reverted."""
        router = make_empty_router(WireDecoder())
        router.apply_desired_state(make_view(config(3)), True)
        router.apply_desired_state(make_view(b"{"), False)
        router.freshness.proven(clocks.now_s())
        assert not router.freshness.is_fresh(now_s=clocks.now_s())
        router.apply_desired_state(make_view(config(3)), False)
        router.freshness.proven(clocks.now_s())
        assert router.freshness.is_fresh(now_s=clocks.now_s())

    async def test_large_state_does_not_block_the_event_loop(self, monkeypatch):
        """Other tasks run meanwhile, and see the older state complete."""
        monkeypatch.setattr(slices, "SLICE_S", 0.0)
        router = make_empty_router(WireDecoder())
        router.apply_desired_state(make_view(config(1)), True)
        previous = router.desired
        view = make_view(config(2, routes=1_000))
        task = asyncio.create_task(router.apply_desired_state_in_slices(view, False))
        seen = []
        while not task.done():
            seen.append(router.desired)
            await asyncio.sleep(0)
        assert seen.count(previous) >= 30
        assert all(state is previous or state is router.desired for state in seen)
        assert router.desired.version == 2
        assert len(router.desired.routes["menu.example"]) == 1_000

    async def test_undecodable_route_late_in_a_state(self):
        """Guards against a state that is put in force only in part."""
        router = make_empty_router(WireDecoder())
        router.apply_desired_state(make_view(config(1)), True)
        previous = router.desired
        state = json.loads(config(2, routes=500))
        state["Routes"][-1]["TimeoutMs"] = "soon"
        value = json.dumps(state).encode()
        await router.apply_desired_state_in_slices(make_view(value), False)
        assert router.desired is previous
        assert router.metrics.invalid_rows.get({"table": "desired state"}) == 1

    async def test_older_state_does_not_replace_a_newer_one(self):
        """Guards against a removed key that a later read of an old state restores."""
        router = make_empty_router(WireDecoder())
        router.apply_desired_state(make_view(config(2)), True)
        await router.apply_desired_state_in_slices(
            make_view(config(1, keys=("old",))), True
        )
        assert router.desired.version == 2
        assert set(router.desired.workspaces_by_key) == {"key-1"}

    async def test_log_line_contains_the_cost_of_applying(self, monkeypatch):
        """Guards against event loop blocks that are visible only as stream delays."""
        logged = []
        monkeypatch.setattr(
            "violethatch.events.eliot.log_message", lambda **line: logged.append(line)
        )
        monkeypatch.setattr(slices, "SLICE_S", 0.0)
        router = make_empty_router(WireDecoder())
        await router.apply_desired_state_in_slices(
            make_view(config(1, routes=320)), True
        )
        (line,) = [entry for entry in logged if entry["number"] == 2401]
        # The row, its routes in batches of 32, the completion, and admission.
        assert line["slices"] == 13
        assert line["longest_hold_s"] <= line["took_s"]
        # The log line rounds to 0.1 ms, which can exceed the block on a fast machine.
        applied, longest_block = (
            router.metrics.state_apply_s.get({"part": part})
            for part in ("all", "longest_hold")
        )
        assert (applied["count"], longest_block["count"]) == (1, 1)
        assert 0.0 < longest_block["sum"] <= applied["sum"]

    async def test_older_state_is_freed_in_a_later_loop_iteration(self, monkeypatch):
        """Applying one and freeing the other both take some ms with 10,000 routes."""
        loop = asyncio.get_running_loop()
        seen = []

        class Freed(dict):
            def __del__(self):
                seen.append("freed")

        monkeypatch.setattr(
            "violethatch.events.eliot.log_message",
            lambda **_line: loop.call_soon(seen.append, "turn"),
        )
        router = make_empty_router(WireDecoder())
        router.desired = desired_state()._replace(version=1, routes=Freed())
        await router.apply_desired_state_in_slices(make_view(config(2)), True)
        assert seen == ["turn", "freed"]
