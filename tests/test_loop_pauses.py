# SPDX-License-Identifier: MIT
"""Lines and metrics of an event loop that stood still."""

from __future__ import annotations

import asyncio
import json
import signal
import time

import pytest

from test_platform_process import Site
from violethatch import events
from violethatch._loop_pauses import watch_pauses
from violethatch.event_loop import EventLoop


@pytest.fixture
def lines(monkeypatch):
    """Provide the lines that are logged."""
    logged = []
    monkeypatch.setattr(
        "violethatch.events.eliot.log_message", lambda **line: logged.append(line)
    )
    return logged


def paused_by(*holds):
    """Return the pauses that are counted while a loop is held up."""
    counted = []

    async def work():
        watching = asyncio.create_task(watch_pauses(counted.append))
        await asyncio.sleep(0.02)
        for hold in holds:
            hold()
            await asyncio.sleep(0.25)
        watching.cancel()

    with asyncio.Runner(loop_factory=EventLoop) as runner:
        runner.run(work())
    return [one for one in counted if one >= 0.1]


def be_busy():
    """Use the processor for 0.4 s."""
    until_s = time.process_time() + 0.4
    while time.process_time() < until_s:
        pass


def test_pause_is_logged_and_counted(lines):
    """Its length is told, less the time until the next check."""
    (paused_s,) = paused_by(lambda: time.sleep(0.4))
    assert paused_s >= 0.3
    (line,) = (one for one in lines if one["number"] == events.LOOP_PAUSED.number)
    assert line["paused_s"] == round(paused_s, 3)
    assert line["processor_s"] < 0.1


def test_each_pause_has_one_line(lines):
    """However long it was."""
    assert len(paused_by(*[lambda: time.sleep(0.3)] * 3)) == len(lines) == 3


def test_own_work_is_told_from_a_wait_for_the_processor(lines):
    """The line says how long the process was at work."""
    paused_by(be_busy)
    assert lines[0]["processor_s"] >= 0.3


def test_loop_that_runs_has_no_line(lines):
    """Turns of some ms are no pause."""
    paused_by(*[lambda: time.sleep(0.005)] * 4)
    assert [one for one in lines if one["paused_s"] >= 0.25] == []


async def test_process_that_was_stopped(tmp_path):
    """Its output and its metrics tell."""
    site = Site(tmp_path)
    await site.start()
    try:
        site.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.6)
        site.process.send_signal(signal.SIGCONT)
        async with asyncio.timeout(10):
            while True:
                line = json.loads(await site.process.stdout.readline())
                if line.get("number") == 2010 and line["paused_s"] >= 0.5:
                    break
        metrics = (await site.fetch("/metrics")).decode()
        assert "violethatch_router_loop_pause_seconds_count" in metrics
    finally:
        await site.stop()
