# SPDX-License-Identifier: MIT
"""What the tool that adds up lost worth makes of log lines."""

from __future__ import annotations

import importlib.util
import pathlib

import pytest


TOOL = pathlib.Path(__file__).parents[1] / "bench" / "lost_worth.py"


@pytest.fixture(name="outcome_of", scope="module")
def load_outcome_of():
    """Return the tool's function."""
    spec = importlib.util.spec_from_file_location("lost_worth", TOOL)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.outcome_of


def line(name, **fields):
    """Return a log line."""
    return {"message_type": f"violethatch:{name}", **fields}


class TestOutcome:
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
