# SPDX-License-Identifier: MIT
"""What other admission settings would refuse at a dump's demand."""

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
#: At 90 running of a room of 100, 45 streams end in a second and none more fits.
ROOM = {"streams": 100.0, "starts_per_s": 50.0, "tokens_per_s": 1e4, "stream_s": 2.0}
OPEN = {
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
    """Return a workspace's demand."""
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
        "plan": OPEN,
    }
    state = {
        "state_version": 3,
        "admission": {"model": service | changes},
        "admission_settings": section._asdict(),
        "in_flight": 7,
    }
    return parse_state(msgspec.json.encode(state))


def refused(state, section):
    """Return the refusals per second by priority and workspace."""
    [service] = preview(state, section)
    return {
        (one.priority, workspace.workspace): workspace.refused_per_s
        for one in service.priorities
        for workspace in one.workspaces
    } | {(one.priority, "all"): one.refused_per_s for one in service.priorities}


class TestPreview:
    def test_less_urgent_streams_share_what_is_left(self):
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
        """Guards against weights that have no effect: 3 of 4 parts go to one."""
        weighted = AdmissionSection(workspace_weights="clinic=3")
        found = refused(dump(), weighted)
        assert found[2, "clinic"] == pytest.approx(25.0)
        assert found[2, "press"] == pytest.approx(15.0)

    def test_floor_limits_a_weight(self):
        """Guards against a weight of 0 that leaves a workspace nothing."""
        weighted = AdmissionSection(workspace_weights="press=0, clinic=1")
        found = refused(dump(), weighted)
        assert found[2, "press"] == pytest.approx(15.0)
        none = weighted._replace(workspace_floor_part=0.0)
        assert refused(dump(), none)[2, "press"] == pytest.approx(20.0)

    def test_workspaces_that_are_not_among_the_heaviest(self):
        """Guards against small workspaces that are lost from the sum."""
        state = dump(heaviest_per_s=[heavy("clinic", 50.0)])
        found = refused(state, ACTIVE)
        assert found[2, "clinic"] + found[2, None] == pytest.approx(40.0)
        assert found[2, None] < 10.0

    def test_room_for_all(self):
        """Guards against refusals that are shown while all demand fits."""
        [service] = preview(dump(running=10), ACTIVE)
        assert service.level is None
        assert [one.refused_per_s for one in service.priorities] == [0.0, 0.0]

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
        """Guards against a preview of services that the mode leaves ungoverned."""
        state = dump(route_priorities=priorities)
        [service] = preview(state, ACTIVE._replace(mode=mode))
        assert service.is_governed is is_governed
        assert (service.priorities[1].refused_per_s > 0) is is_governed

    @pytest.mark.parametrize(
        "change",
        [
            {"plan": OPEN | {"parts": {"2": 0.4}, "level": 2, "is_fallback": True}},
            {"plan": OPEN | {"parts": {"2": 0.4}, "level": 2}, "age_s": 2.5},
            {"plan": OPEN | {"parts": {"2": 0.4}, "level": 2}, "age_s": None},
        ],
    )
    def test_fallback_goes_by_the_plan(self, change):
        """Guards against a plan from sums that are too old or missing."""
        weighted = AdmissionSection(workspace_weights="clinic=3")
        state = dump(**change)
        [service] = preview(state, weighted)
        assert service.is_fallback
        assert service.priorities[1].refused_per_s == pytest.approx(36.0)

    @pytest.mark.parametrize("data", [b"", b"{}", b"[]", b'{"admission": {"m": 1}}'])
    def test_other_data_is_no_dump(self, data):
        """Guards against a traceback where an operator names the wrong file."""
        with pytest.raises(ValueError, match="no state dump"):
            parse_state(data)

    def test_active_settings_are_checked(self):
        """Guards against active settings that are taken unchecked from a dump."""
        state = dump(ACTIVE._replace(workspace_floor_part=2.0))
        with pytest.raises(ValueError, match="admission_settings"):
            active_section(state)


class TestLines:
    def test_both_settings_side_by_side(self):
        """Guards against columns that are exchanged."""
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

    def test_service_that_is_governed_no_more(self):
        """Guards against workspaces that are left out where one side has none."""
        off = ACTIVE._replace(mode=AdmissionMode.OFF)
        lines = preview_lines(dump(), active=ACTIVE, proposed=off)
        assert "  proposed: not governed, nothing is refused by priority" in lines
        assert ["clinic", "40.0", "30.0", "0.0"] in [one.split() for one in lines]
        back = preview_lines(dump(), active=off, proposed=ACTIVE)
        assert ["clinic", "40.0", "0.0", "30.0"] in [one.split() for one in back]
        assert lines[-1].startswith("mode auto -> off")

    def test_no_service(self):
        """Guards against silence where nothing is governed."""
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

    def test_prints_what_a_file_tells(self, monkeypatch, tmp_path, capsys):
        """Guards against a command that compares other settings than the file's."""
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
        """Guards against a dump that can be read from a file alone."""
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
            with pytest.raises(SystemExit) as ended:
                self.run(monkeypatch, *arguments, f"{url}/other")
            server.shutdown()
        assert ended.value.code == 1
        assert "404" in capsys.readouterr().err

    def test_wrong_file(self, monkeypatch, tmp_path):
        """Guards against a traceback for a file that is no dump."""
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
