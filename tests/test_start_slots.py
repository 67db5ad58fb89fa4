# SPDX-License-Identifier: MIT
"""Turns of processes that start together."""

from __future__ import annotations

import asyncio
import os
import sys
import time

from own_ports import free_ports
from test_router_settings import filled_here
from violethatch import start_slots
from violethatch.start_slots import StartSlot


PROCESSES = 6
HOLD = """
import sys, time
from violethatch.start_slots import StartSlot
slot = StartSlot(folder=sys.argv[1], count=1)
print(slot.acquire(), flush=True)
time.sleep(60)
"""


async def holder(folder):
    """Return a process that holds the only slot."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", HOLD, str(folder), stdout=asyncio.subprocess.PIPE
    )
    assert await process.stdout.readline() == b"True\n"
    return process


class TestSlots:
    def test_as_many_as_there_are(self, tmp_path, monkeypatch):
        """One more process than slots has none."""
        monkeypatch.setattr(start_slots, "STALL_S", 0.2)
        slots = [StartSlot(folder=str(tmp_path), count=2) for _ in range(3)]
        assert [one.acquire() for one in slots] == [True, True, False]

    def test_released_slot_is_taken(self, tmp_path):
        """A slot is free once its holder listens."""
        first, second = (StartSlot(folder=str(tmp_path), count=1) for _ in range(2))
        assert first.acquire()
        first.release()
        assert second.acquire()

    async def test_slot_of_a_killed_process_is_free(self, tmp_path):
        """Guards against a start that waits for a process that is gone."""
        process = await holder(tmp_path)
        process.kill()
        await process.wait()
        began_s = time.monotonic()
        assert StartSlot(folder=str(tmp_path), count=1).acquire()
        assert time.monotonic() - began_s < start_slots.STALL_S

    async def test_holder_that_stands_still_is_not_waited_for(
        self, tmp_path, monkeypatch
    ):
        """Guards against one frozen process that keeps all others from starting."""
        monkeypatch.setattr(start_slots, "STALL_S", 0.3)
        process = await holder(tmp_path)
        try:
            began_s = time.monotonic()
            assert not StartSlot(folder=str(tmp_path), count=1).acquire()
            assert 0.3 <= time.monotonic() - began_s < 2.0
        finally:
            process.kill()
            await process.wait()

    def test_folder_that_is_not_there(self, tmp_path):
        """A process starts where nothing can be locked."""
        assert not StartSlot(folder=str(tmp_path / "none"), count=2).acquire()

    def test_no_file_stays_open(self, tmp_path, monkeypatch):
        """Guards against descriptors that a waiting process keeps."""
        monkeypatch.setattr(start_slots, "STALL_S", 0.2)
        before = len(os.listdir("/proc/self/fd"))
        held = StartSlot(folder=str(tmp_path), count=1)
        held.acquire()
        StartSlot(folder=str(tmp_path), count=1).acquire()
        held.release()
        assert len(os.listdir("/proc/self/fd")) == before


async def start_router(folder, number):
    """Start a router process; return it."""
    *ports, store = free_ports(5)
    settings = folder / f"router-{number}.ini"
    settings.write_text(
        filled_here(ports, {"Node": f"edge-{number}"}, store=f"127.0.0.1:{store}")
    )
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "violethatch.platform"),
        env=os.environ | {"VIOLETHATCH_BOOT": str(settings), "TMPDIR": str(folder)},
        stdout=asyncio.subprocess.PIPE,
    )


async def first_line_s(process):
    """Return when a process wrote its first line: it listens then."""
    assert await process.stdout.readline()
    return time.monotonic()


async def test_processes_on_one_processor_start_in_turn(tmp_path):
    """Guards against instances that all answer as late as the last one starts."""
    all_processors = os.sched_getaffinity(0)
    os.sched_setaffinity(0, sorted(all_processors)[:1])
    began_s = time.monotonic()
    try:
        processes = await asyncio.gather(
            *(start_router(tmp_path, number) for number in range(PROCESSES))
        )
    finally:
        os.sched_setaffinity(0, all_processors)
    try:
        async with asyncio.timeout(60):
            lines_s = await asyncio.gather(*(first_line_s(one) for one in processes))
        after_s = sorted(line_s - began_s for line_s in lines_s)
        assert after_s[0] <= after_s[-1] / 2
    finally:
        for process in processes:
            process.kill()
            await process.wait()
