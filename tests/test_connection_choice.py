# SPDX-License-Identifier: MIT
"""Choice between pooled and new connections."""

from __future__ import annotations

from violethatch import clocks
from violethatch._connection_choice import ConnectionChoice


def test_pooled_connections_after_lost_response(monkeypatch):
    """Idle connections may be unresponsive too; those opened later are pooled again."""
    now_s = 100.0
    monkeypatch.setattr(clocks, "now_s", lambda: now_s)
    choice = ConnectionChoice("pooled", "unpooled", max_idle_s=4.0)
    assert choice.session == "pooled"
    choice.record_lost_response()
    now_s += 3.9
    assert choice.session == "unpooled"
    now_s += 0.2
    assert choice.session == "pooled"
