# SPDX-License-Identifier: MIT
"""When calls go out on new connections."""

from __future__ import annotations

from violethatch import clocks
from violethatch._connection_choice import ConnectionChoice


def test_idle_connections_are_used_after_a_lost_answer(monkeypatch):
    """They may have fallen silent too; those opened later are kept again."""
    now_s = 100.0
    monkeypatch.setattr(clocks, "now_s", lambda: now_s)
    choice = ConnectionChoice("kept", "fresh", max_idle_s=4.0)
    assert choice.session == "kept"
    choice.record_lost_response()
    now_s += 3.9
    assert choice.session == "fresh"
    now_s += 0.2
    assert choice.session == "kept"
