# SPDX-License-Identifier: MIT
"""What the tool that adds up lost worth makes of log lines."""

from __future__ import annotations

import importlib.util
import pathlib

import pytest


TOOL = pathlib.Path(__file__).parents[1] / "bench" / "lost_worth.py"


@pytest.fixture(name="tool", scope="module")
def load_tool():
    """Return the tool's module."""
    spec = importlib.util.spec_from_file_location("lost_worth", TOOL)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.fixture(name="outcome_of", scope="module")
def outcome_of_tool(tool):
    """Return the function that tells how a request ended."""
    return tool.outcome_of


def line(name, **fields):
    """Return a log line."""
    return {"message_type": f"violethatch:{name}", **fields}


class TestOutcome:
    @pytest.mark.parametrize("name", ["caller_left", "stream_cut", "answer_cut"])
    def test_early_end(self, outcome_of, name):
        """Guards against ends that count as requests without one."""
        assert outcome_of([line(name)]) == (name, "nothing told")

    def test_stream_in_target(self, outcome_of):
        """Nothing was lost."""
        served = line("request_served", status=200, is_in_target=True)
        assert outcome_of([served]) == ("in target", "nothing told")

    def test_late_by_a_gap(self, outcome_of):
        """The first trouble told is the cause."""
        lines = [
            line("silence_seen", waits_for=["a"]),
            line("run_given_up"),
            line(
                "request_served",
                status=200,
                is_in_target=False,
                first_event_s=0.1,
                longest_gap_s=0.7,
            ),
        ]
        assert outcome_of(lines) == ("late, a gap", "silence, named")

    def test_refused(self, outcome_of):
        """The code says how it ended, the reason why."""
        lines = [line("request_refused", code=1202, reason="no path has room")]
        assert outcome_of(lines) == ("request_refused 1202", "no path has room")

    def test_request_that_has_not_ended(self, outcome_of):
        """It counts for nothing."""
        assert outcome_of([line("silence_seen", waits_for=[])]) is None


class TestSheds:
    def test_sends_and_servers_are_counted_by_second(self, tool):
        """Many sends refused at one server, while others serve, are a herd."""
        refused = [
            line("server_refused", trouble="full", server_id="a", timestamp=4.1 + n / 9)
            for n in range(3)
        ]
        served = line("request_served", status=200, timestamp=4.8)
        absent = line("server_refused", trouble="absent", server_id="b", timestamp=4.2)
        assert tool.sheds([*refused, served, absent]) == {4: (3, 1, 1)}

    def test_seconds_without_any_are_left_out(self, tool):
        """Nothing is told of a second in which nothing was shed."""
        served = line("request_served", status=200, timestamp=4.8)
        assert tool.sheds([served]) == {}
