# SPDX-License-Identifier: MIT
"""When callers are sent to an instance."""

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


def router(*, proof_age_s):
    """Return a router with a desired state whose proof is so old."""
    made = Router(settings(), client=FakeClient(), decoder=None, rng=random.Random(1))
    made.desired = desired_state()
    made.freshness.proven(clocks.now_s() - proof_age_s)
    return made


class TestReadiness:
    @pytest.mark.parametrize(
        ("proof_age_s", "is_ready"), [(0.0, True), (3.0, True), (3.5, False)]
    )
    def test_callers_are_sent_elsewhere_before_they_are_refused(
        self, proof_age_s, is_ready
    ):
        """The balancer takes some seconds; calls are taken up to 4.25 s."""
        made = router(proof_age_s=proof_age_s)
        assert made.is_ready is is_ready
        assert made.freshness.is_fresh(now_s=clocks.now_s())

    def test_known_loads_are_shown(self):
        """Operators see how many instances' loads are known, and how old that is."""
        made = router(proof_age_s=0.0)
        made.update_metrics()
        gauge = made.metrics.instances_summed
        assert gauge.get({}) == 1
        assert made.metrics.load_age_s.get({}) == -1.0
        assert made.state()["load_instances"] == 1


class TestRefusals:
    @pytest.mark.parametrize(
        ("changes", "error"),
        [
            ({"host": "new.example"}, UnknownTargetError),
            ({"key": "k2"}, UnauthorizedError),
        ],
    )
    async def test_refusal_for_good_rests_on_a_proof_older_than_changes_may_be(
        self, changes, error
    ):
        """A route or a key that was added 2 s ago may be missing here."""
        call = make_call()._replace(**changes)
        with pytest.raises(error):
            await router(proof_age_s=1.9).serve(call, FakeResponder())
        for proof_age_s in (2.0, 3.0, 4.0):
            with pytest.raises(UnprovenStateError) as caught:
                await router(proof_age_s=proof_age_s).serve(call, FakeResponder())
            assert caught.value.retry_after_s > 0


class TestState:
    def test_dump_is_valid_json(self):
        """Guards against figures that JSON does not have, such as an open plan's."""
        made = router(proof_age_s=0.0)
        made.routing.admission.section = AdmissionSection(mode=AdmissionMode.ON)
        made.routing.admission.apply_desired_state(made.desired)
        made.routing.admission.refresh()
        state = made.state()
        [service] = state["admission"].values()
        assert service["plan"]["admitted_per_s"] is None
        assert service["plan"]["level"] is None
        data = msgspec.json.encode(state)
        assert json.loads(data, parse_constant=pytest.fail) == state
        dump = parse_state(data)
        assert active_section(dump) == made.routing.admission.section

    def test_admission_is_shown(self):
        """Guards against reservations that neither metrics nor the dump show."""
        made = router(proof_age_s=0.0)
        admission = made.routing.admission
        admission.section = AdmissionSection(mode=AdmissionMode.ON)
        admission.apply_desired_state(made.desired)
        admission.returns = Reserved()
        made.update_metrics()
        gauge = made.metrics.admission_reserved
        [service] = made.state()["admission"]
        assert gauge.get({"service": service}) == 2
        assert made.state()["admission"][service]["reserved_starts"] == 2
        assert made.state()["admission_kept_starts"] == 5


class Reserved:
    """Reserved and kept starts."""

    def reserved(self, _service):
        return 2

    def kept(self):
        return 5


class CountingDecoder(WireDecoder):
    """Counts the desired states that it reads."""

    def __init__(self):
        super().__init__()
        self.reads = 0

    def desired_steps(self, value, *, above):
        self.reads += 1
        return super().desired_steps(value, above=above)


def config(version, *, routes=1, keys=("key-1",), **changes):
    """Return the row of a desired state; *changes* are of all its routes."""
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


def empty_router(decoder):
    """Return a router without a desired state."""
    return Router(
        settings(), client=FakeClient(), decoder=decoder, rng=random.Random(1)
    )


def view_of(value, version=1):
    """Return the table of the desired state."""
    return TableView({"config": value}, version, 0.0)


class TestDesiredStates:
    def test_state_in_force_decoded_anew_when_it_is_read_again(self):
        """A store that is back, or has lost its history, has the whole table read."""
        decoder = CountingDecoder()
        made = empty_router(decoder)
        made.apply_desired_state(view_of(config(3)), True)
        in_force = made.desired
        made.apply_desired_state(view_of(config(3)), True)
        assert made.desired is in_force
        assert decoder.reads == 1

    def test_state_in_force_is_proven_again_after_one_that_is_refused(self):
        """Guards against doubt that lasts once the row is as it was."""
        made = empty_router(WireDecoder())
        made.apply_desired_state(view_of(config(3)), True)
        made.apply_desired_state(view_of(b"{"), False)
        made.freshness.proven(clocks.now_s())
        assert not made.freshness.is_fresh(now_s=clocks.now_s())
        made.apply_desired_state(view_of(config(3)), False)
        made.freshness.proven(clocks.now_s())
        assert made.freshness.is_fresh(now_s=clocks.now_s())

    async def test_loop_held_while_a_large_state_is_taken_in(self, monkeypatch):
        """Others run meanwhile, and see the older state whole."""
        monkeypatch.setattr(slices, "SLICE_S", 0.0)
        made = empty_router(WireDecoder())
        made.apply_desired_state(view_of(config(1)), True)
        older = made.desired
        view = view_of(config(2, routes=1_000))
        taking = asyncio.create_task(made.apply_desired_state_in_slices(view, False))
        seen = []
        while not taking.done():
            seen.append(made.desired)
            await asyncio.sleep(0)
        assert seen.count(older) >= 30
        assert all(one is older or one is made.desired for one in seen)
        assert made.desired.version == 2
        assert len(made.desired.routes["menu.example"]) == 1_000

    async def test_route_that_cannot_be_read_late_in_a_state(self):
        """Guards against a state of which the first part is in force."""
        made = empty_router(WireDecoder())
        made.apply_desired_state(view_of(config(1)), True)
        older = made.desired
        state = json.loads(config(2, routes=500))
        state["Routes"][-1]["TimeoutMs"] = "soon"
        value = json.dumps(state).encode()
        await made.apply_desired_state_in_slices(view_of(value), False)
        assert made.desired is older
        assert made.metrics.rows_refused.get({"table": "desired state"}) == 1

    async def test_older_state_replaces_a_newer_one(self):
        """A removed key stays removed, whatever is read later."""
        made = empty_router(WireDecoder())
        made.apply_desired_state(view_of(config(2)), True)
        await made.apply_desired_state_in_slices(
            view_of(config(1, keys=("old",))), True
        )
        assert made.desired.version == 2
        assert set(made.desired.workspaces_by_key) == {"key-1"}

    async def test_line_does_not_tell_what_taking_in_cost(self, monkeypatch):
        """The loop's holds were seen in what they did to streams alone."""
        logged = []
        monkeypatch.setattr(
            "violethatch.events.eliot.log_message", lambda **line: logged.append(line)
        )
        monkeypatch.setattr(slices, "SLICE_S", 0.0)
        made = empty_router(WireDecoder())
        await made.apply_desired_state_in_slices(view_of(config(1, routes=320)), True)
        (line,) = [one for one in logged if one["number"] == 2401]
        # The row, its routes by 32, the end, and admission.
        assert line["slices"] == 13
        assert line["longest_hold_s"] <= line["took_s"]
        # The line rounds to 0.1 ms, which a quick machine's holds may be below.
        taken, hold = (
            made.metrics.state_taken_s.get({"part": part})
            for part in ("all", "longest_hold")
        )
        assert (taken["count"], hold["count"]) == (1, 1)
        assert 0.0 < hold["sum"] <= taken["sum"]

    async def test_older_state_freed_in_the_turn_of_the_newer_one(self, monkeypatch):
        """Both took some ms with 10,000 routes."""
        loop = asyncio.get_running_loop()
        seen = []

        class Freed(dict):
            def __del__(self):
                seen.append("freed")

        monkeypatch.setattr(
            "violethatch.events.eliot.log_message",
            lambda **_line: loop.call_soon(seen.append, "turn"),
        )
        made = empty_router(WireDecoder())
        made.desired = desired_state()._replace(version=1, routes=Freed())
        await made.apply_desired_state_in_slices(view_of(config(2)), True)
        assert seen == ["turn", "freed"]
