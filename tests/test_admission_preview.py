# SPDX-License-Identifier: MIT
"""Previews of rejections under other admission settings, from a state dump."""

from __future__ import annotations

import http.server
import sys
import threading

import msgspec
import pytest

from violethatch import cli
from violethatch.admission_preview import (
    active_section,
    parse_state,
    preview,
    preview_lines,
)
from violethatch.load_sums import server_number
from violethatch.router_settings import AdmissionMode, AdmissionSection


ACTIVE = AdmissionSection()
#: With 90 of 100 streams running, 45 streams end per second and no more are admitted.
ROOM = {"streams": 100.0, "starts_per_s": 50.0, "tokens_per_s": 1e4, "stream_s": 2.0}
UNLIMITED_PLAN = {
    "parts": {},
    "level": None,
    "workspace_starts_per_s": None,
    "admitted_per_s": None,
    "is_fallback": False,
}
SETTINGS = """
[instance]
id = i
availability_zone = z
[listen]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
[store]
address = 127.0.0.1:3
[bounds]
key_removal_ms = 5000
grace_s = 10
stall_ms = 1000
leaving_ms = 4000
config_apply_ms = 4000
retry_ratio = 0.1
retry_slack = 10
[limits]
memory_mb = 152
[admission]
"""


def heavy(workspace, rate, priority=2):
    """Return the dumped demand of a workspace."""
    number = server_number(workspace)
    return {
        "priority": priority,
        "workspace": workspace,
        "number": number,
        "offers_per_s": rate,
    }


def dump(section=ACTIVE, **changes):
    """Return a state dump with 25 urgent and 60 less urgent offers for 45 starts."""
    service = {
        "route_priorities": [0, 2],
        "room": ROOM,
        "running": 90,
        "demand_per_s": {"0": 25.0, "2": 60.0},
        "heaviest_per_s": [heavy("clinic", 40.0), heavy("press", 20.0)],
        "age_s": 0.3,
        "plan": UNLIMITED_PLAN,
    }
    state = {
        "state_version": 3,
        "admission": {"model": service | changes},
        "admission_settings": section._asdict(),
        "in_flight": 7,
    }
    return parse_state(msgspec.json.encode(state))


def refused(state, section):
    """Return the rejections per second by priority and workspace."""
    [service] = preview(state, section)
    return {
        (row.priority, workspace.workspace): workspace.refused_per_s
        for row in service.priorities
        for workspace in row.workspaces
    } | {(row.priority, "all"): row.refused_per_s for row in service.priorities}


class TestPreview:
    def test_less_urgent_streams_share_the_remaining_capacity(self):
        """Guards against a preview that differs from the plan: 20 starts for 60."""
        state = dump()
        assert active_section(state) == ACTIVE
        assert refused(state, ACTIVE) == pytest.approx(
            {
                (0, "all"): 0.0,
                (2, "clinic"): 30.0,
                (2, "press"): 10.0,
                (2, "all"): 40.0,
            }
        )

    def test_weights_shift_refusals(self):
        """Guards against weights without effect: one workspace is granted 3/4."""
        weighted = AdmissionSection(workspace_weights="clinic=3")
        result = refused(dump(), weighted)
        assert result[2, "clinic"] == pytest.approx(25.0)
        assert result[2, "press"] == pytest.approx(15.0)

    def test_floor_limits_a_weight(self):
        """Guards against a weight of 0 that overrides the floor."""
        weighted = AdmissionSection(workspace_weights="press=0, clinic=1")
        result = refused(dump(), weighted)
        assert result[2, "press"] == pytest.approx(15.0)
        none = weighted._replace(workspace_floor_part=0.0)
        assert refused(dump(), none)[2, "press"] == pytest.approx(20.0)

    def test_workspaces_that_are_not_among_the_heaviest(self):
        """Guards against light workspaces that are missing from the sum."""
        state = dump(heaviest_per_s=[heavy("clinic", 50.0)])
        result = refused(state, ACTIVE)
        assert result[2, "clinic"] + result[2, None] == pytest.approx(40.0)
        assert result[2, None] < 10.0

    def test_demand_within_capacity(self):
        """Guards against rejections in the preview while the demand fits."""
        [service] = preview(dump(running=10), ACTIVE)
        assert service.level is None
        assert [row.refused_per_s for row in service.priorities] == [0.0, 0.0]

    @pytest.mark.parametrize(
        ("mode", "priorities", "is_governed"),
        [
            (AdmissionMode.AUTO, [0, 2], True),
            (AdmissionMode.AUTO, [0], False),
            (AdmissionMode.ON, [0], True),
            (AdmissionMode.OFF, [0, 2], False),
        ],
    )
    def test_mode_decides(self, mode, priorities, is_governed):
        """Guards against previewed rejections for services that are not governed."""
        state = dump(route_priorities=priorities)
        [service] = preview(state, ACTIVE._replace(mode=mode))
        assert service.is_governed is is_governed
        assert (service.priorities[1].refused_per_s > 0) is is_governed

    @pytest.mark.parametrize(
        "change",
        [
            {
                "plan": UNLIMITED_PLAN
                | {"parts": {"2": 0.4}, "level": 2, "is_fallback": True}
            },
            {"plan": UNLIMITED_PLAN | {"parts": {"2": 0.4}, "level": 2}, "age_s": 2.5},
            {"plan": UNLIMITED_PLAN | {"parts": {"2": 0.4}, "level": 2}, "age_s": None},
        ],
    )
    def test_fallback_uses_the_dumped_plan(self, change):
        """Guards against a plan based on outdated or missing sums."""
        weighted = AdmissionSection(workspace_weights="clinic=3")
        state = dump(**change)
        [service] = preview(state, weighted)
        assert service.is_fallback
        assert service.priorities[1].refused_per_s == pytest.approx(36.0)

    @pytest.mark.parametrize("data", [b"", b"{}", b"[]", b'{"admission": {"m": 1}}'])
    def test_invalid_dump(self, data):
        """Guards against a traceback if an operator passes the wrong file."""
        with pytest.raises(ValueError, match="no state dump"):
            parse_state(data)

    def test_active_settings_are_validated(self):
        """Guards against active settings of a dump that are not validated."""
        state = dump(ACTIVE._replace(workspace_floor_part=2.0))
        with pytest.raises(ValueError, match="admission_settings"):
            active_section(state)


class TestLines:
    def test_both_settings_side_by_side(self):
        """Guards against swapped columns."""
        weighted = AdmissionSection(workspace_weights="clinic=3")
        lines = preview_lines(dump(), active=ACTIVE, proposed=weighted)
        assert lines[0] == "model: room 100.0 streams, running 90, age of sums 0.30 s"
        assert lines[1:3] == ["  active: level 2", "  proposed: level 2"]
        assert [line.split() for line in lines[4:]] == [
            ["0", "all", "25.0", "0.0", "0.0"],
            ["2", "all", "60.0", "40.0", "40.0"],
            ["clinic", "40.0", "30.0", "25.0"],
            ["press", "20.0", "10.0", "15.0"],
        ]

    def test_service_that_is_no_longer_governed(self):
        """Guards against workspaces that are omitted if only one side lists them."""
        off = ACTIVE._replace(mode=AdmissionMode.OFF)
        lines = preview_lines(dump(), active=ACTIVE, proposed=off)
        assert "  proposed: not governed, nothing is refused by priority" in lines
        assert ["clinic", "40.0", "30.0", "0.0"] in [line.split() for line in lines]
        reverse = preview_lines(dump(), active=off, proposed=ACTIVE)
        assert ["clinic", "40.0", "0.0", "30.0"] in [line.split() for line in reverse]
        assert lines[-1].startswith("mode auto -> off")

    def test_no_service(self):
        """Guards against an empty output if no service is governed."""
        state = dump()
        state["admission"] = {}
        assert preview_lines(state, active=ACTIVE, proposed=ACTIVE) == [
            "no service is governed in this state"
        ]


class TestCommand:
    def run(self, monkeypatch, *arguments):
        """Run the command line."""
        monkeypatch.setattr(sys, "argv", ["violethatch", *arguments])
        cli.main()

    def test_reads_a_file(self, monkeypatch, tmp_path, capsys):
        """Guards against a command that ignores the settings file."""
        state, settings = tmp_path / "state.json", tmp_path / "router.ini"
        state.write_bytes(msgspec.json.encode(dump()))
        settings.write_text(SETTINGS + "workspace_weights = clinic=3\n")
        self.run(
            monkeypatch,
            "preview-admission",
            "--settings",
            str(settings),
            "--state",
            str(state),
        )
        shown = [line.split() for line in capsys.readouterr().out.splitlines()]
        assert ["clinic", "40.0", "30.0", "25.0"] in shown

    def test_reads_a_url(self, monkeypatch, tmp_path, capsys):
        """Guards against a command that can read the dump from files only."""
        data = msgspec.json.encode(dump())

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                self.send_response(200 if self.path == "/state" else 404)
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *_arguments):
                pass

        settings = tmp_path / "router.ini"
        settings.write_text(SETTINGS)
        with http.server.HTTPServer(("127.0.0.1", 0), Handler) as server:
            threading.Thread(target=server.serve_forever, daemon=True).start()
            url = f"http://127.0.0.1:{server.server_port}"
            arguments = ["preview-admission", "--settings", str(settings), "--state"]
            self.run(monkeypatch, *arguments, f"{url}/state")
            shown = [line.split() for line in capsys.readouterr().out.splitlines()]
            assert ["clinic", "40.0", "30.0", "30.0"] in shown
            with pytest.raises(SystemExit) as exit_info:
                self.run(monkeypatch, *arguments, f"{url}/other")
            server.shutdown()
        assert exit_info.value.code == 1
        assert "404" in capsys.readouterr().err

    def test_wrong_file(self, monkeypatch, tmp_path):
        """Guards against a traceback for a file that is not a dump."""
        state, settings = tmp_path / "state.json", tmp_path / "router.ini"
        state.write_text("no dump")
        settings.write_text(SETTINGS)
        with pytest.raises(SystemExit, match="no state dump"):
            self.run(
                monkeypatch,
                "preview-admission",
                "--settings",
                str(settings),
                "--state",
                str(state),
            )
