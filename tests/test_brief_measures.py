# SPDX-License-Identifier: MIT
"""The brief's two measures, and what hardware bounds."""

from __future__ import annotations

import importlib.util
import pathlib
import sys

import pytest

from hypothesis import given, settings
from hypothesis import strategies as st

from routing_samples import engine
from test_placement import hosts
from violethatch._tiers import tiered_chains


BENCH = pathlib.Path(__file__).parents[1] / "bench"

#: What the users' bench prints of a day, shortened.
DAY = """
worth 0.7 = whole day 0.9 (weight 0.56)

from second          asked  in aim   late refused failed not owed  worth p50 ms p99 ms
0                      100     100      0       0      0        0  1.000 46.6 92.1
2                      100      98      2       0      0        0  0.990 46.6 92.1
4                      100      60     30       0     10        0  0.700 46.6 92.1
6                      100      80     10       5      5        0  0.850 46.6 92.1
8                      100       0      0       0      0      100  1.000 0.0 0.0

what happened
     4.1 s to      7.0 s  srv_crash (joined) 4 servers
     6.5 s to      6.6 s  herd_kill edge-1, edge-2
the core was not stable: 1.000 to 6.260
"""


@pytest.fixture(name="tool", scope="module")
def load_tool():
    """Return the tool's module; it stands beside the one with the bound."""
    sys.path.insert(0, str(BENCH))
    try:
        spec = importlib.util.spec_from_file_location(
            "brief_measures", BENCH / "brief_measures.py"
        )
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
    finally:
        sys.path.remove(str(BENCH))
    return module


class TestDay:
    def test_spans_are_read(self, tool):
        """Each span with what was asked and what it was worth."""
        spans = tool.read_spans(DAY)
        assert [span.at_s for span in spans] == [0, 2, 4, 6, 8]
        assert (spans[2].asked, spans[2].late, spans[2].worth) == (100, 30, 0.7)

    def test_faults_are_read(self, tool):
        """Each with its beginning; what follows the table is not one."""
        assert [fault.at_s for fault in tool.read_faults(DAY)] == [4.1, 6.5]

    def test_recovery_lasts_until_all_is_as_before(self, tool):
        """A span at which nothing was owed can't be worse than before."""
        felt = tool.recoveries(tool.read_spans(DAY), tool.read_faults(DAY))
        assert [one.after_s for one in felt] == [pytest.approx(3.9), pytest.approx(1.5)]

    def test_day_that_never_recovers_says_so(self, tool):
        """The end of the day is no recovery."""
        text = DAY.replace("0     100  1.000", "100     0  0.100")
        text = text.replace("100  1.000 0.0", "  0  0.000 0.0")
        felt = tool.recoveries(tool.read_spans(text), tool.read_faults(text))
        assert felt[0].after_s is None

    def test_nothing_to_read(self, tool):
        """Output without its tables has no measures."""
        assert tool.recoveries(tool.read_spans(""), tool.read_faults("")) == []


class TestBound:
    @settings(max_examples=20, deadline=None)
    @given(st.integers(0, 4), st.integers(0, 10), st.integers(0, 12))
    def test_no_plan_serves_more(self, tool, large, medium, small):
        """Whatever placement makes of the cards stays below."""
        counts = {"large": large, "medium": medium, "small": small}
        bound = tool.hardware_bound(counts, engine())
        fleet = hosts("z1", **counts)
        planned = sum(one.requests_per_s for one in tiered_chains(fleet, engine()))
        assert planned <= bound.requests_per_s + 1e-9

    def test_what_can_t_hold_the_model_serves_nothing(self, tool):
        """Memory for a part of the layers bounds all."""
        assert tool.hardware_bound({"small": 3}, engine()).requests_per_s == 0.0

    def test_more_cards_serve_more(self, tool):
        """Twice the cards have twice the time."""
        one = tool.hardware_bound({"large": 4}, engine())
        two = tool.hardware_bound({"large": 8}, engine())
        assert two.by_time_per_s == pytest.approx(2 * one.by_time_per_s)
        assert two.by_memory_per_s > 2 * one.by_memory_per_s
