# SPDX-License-Identifier: MIT
"""Changes of the settings file that a process has to see by itself."""

from __future__ import annotations

import asyncio

from test_router_settings import filled
from violethatch import events
from violethatch.platform._process import _file_state, _Process
from violethatch.router_settings import load_router_settings


async def reloads(process):
    """Let a process look at its file once; return how often it took settings in."""
    taken = []
    process._takers = [taken.append]
    watching = asyncio.create_task(process._watch_file())
    await asyncio.sleep(0.05)
    watching.cancel()
    return len(taken)


async def test_file_that_changes_while_the_process_starts(tmp_path, monkeypatch):
    """The signal that tells of it came too early to be heeded."""
    monkeypatch.setattr(events, "log", lambda _event, **_fields: None)
    path = tmp_path / "router.ini"
    path.write_text(filled())
    before = _file_state(str(path))
    settings = load_router_settings(str(path))
    process = _Process(settings, str(path), file_state=before)
    assert await reloads(process) == 0
    path.write_text(filled() + "\n")
    assert await reloads(process) == 1
