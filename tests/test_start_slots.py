# SPDX-License-Identifier: MIT
"""Turns of processes that start together."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import sys
import threading
import time

import pytest

from own_ports import free_ports
from processor_shares import limit, start_limiter
from test_router_settings import filled_here
from violethatch import start_slots
from violethatch.start_slots import (
    MAX_WAIT_S,
    STALL_S,
    StartSlot,
    TurnWait,
    slot_count,
)


PROCESSES = 6
HOLD = """
import sys, time
from violethatch.start_slots import StartSlot
slot = StartSlot(host=sys.argv[1], count=1)
print(slot.acquire().has_slot, flush=True)
time.sleep(60)
"""


@pytest.fixture
def host():
    """Return a loopback address that no other test uses."""
    return "127." + ".".join(str(random.randrange(1, 255)) for _ in range(3))


async def holder(host):
    """Return a process that holds the only slot."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", HOLD, host, stdout=asyncio.subprocess.PIPE
    )
    assert await process.stdout.readline() == b"True\n"
    return process


class Processors:
    """A meter of processors that are always in use as much."""

    def __init__(self, busy_fraction):
        self._busy_fraction = busy_fraction

    def busy_fraction(self):
        return self._busy_fraction


BUSY = Processors(1.0)
UNKNOWN = Processors(None)


def replay_starts(processes, *, processors, share, start_s, has_turns=True):
    """Return when processes listen that start together, in seconds.

    Args:
        processes: How many there are.
        processors: The processors that they share evenly.
        share: The most of a processor that each may use.
        start_s: The processor time of a start, in seconds.
        has_turns: Whether they take turns.
    """
    step_s = 0.05
    slots = slot_count(processors=processors, share=share)
    waiting = processes
    left_s, ready_s = [], []
    now_s = 0.0
    while len(ready_s) < processes:
        allowed = slots + start_slots._spare_slots(now_s) if has_turns else processes
        begun = min(waiting, max(0, allowed - len(left_s)))
        waiting -= begun
        left_s += [start_s] * begun
        used_s = step_s * min(share, processors / len(left_s))
        now_s += step_s
        left_s = [left - used_s for left in left_s]
        ready_s += [now_s for left in left_s if left <= 1e-9]
        left_s = [left for left in left_s if left > 1e-9]
    return ready_s


class TestSlotCount:
    @pytest.mark.parametrize("processors", [1, 2, 4, 8])
    @pytest.mark.parametrize("processes", [8, 40, 120, 350])
    @pytest.mark.parametrize("share", [0.05, 0.084, 0.361, 0.72])
    def test_shares_of_a_processor(self, processes, processors, share):
        """Guards against turns that leave processors idle while processes wait."""
        plan = {"processors": processors, "share": share, "start_s": 0.5}
        ready_s = replay_starts(processes, **plan)
        without_s = replay_starts(processes, has_turns=False, **plan)
        own_s = plan["start_s"] / share
        assert ready_s[0] <= min(without_s[0], 2.0 * own_s) + 0.1
        # The last ones may be alone with their shares.
        assert ready_s[-1] <= without_s[-1] + own_s + 0.1

    @pytest.mark.parametrize("share", [0.084, 0.361])
    def test_deployment_on_eight_processors(self, share):
        """The last of 120 listens no later than without turns."""
        plan = {"processors": 8, "share": share, "start_s": 0.5}
        ready_s = replay_starts(120, **plan)
        without_s = replay_starts(120, has_turns=False, **plan)
        assert ready_s[-1] <= MAX_LATENESS * without_s[-1]

    @pytest.mark.parametrize("processors", [1, 2, 4, 8])
    @pytest.mark.parametrize("processes", [8, 40, 120, 350])
    def test_whole_processors(self, processes, processors):
        """The first ones listen after one start each, the last no later."""
        plan = {"processors": processors, "share": 1.0, "start_s": 0.5}
        ready_s = replay_starts(processes, **plan)
        without_s = replay_starts(processes, has_turns=False, **plan)
        assert ready_s[min(processors, processes) - 1] <= 0.6
        assert ready_s[-1] <= without_s[-1] + plan["start_s"] + 0.1

    def test_wait_is_bounded(self):
        """Guards against a wait for holders that never end."""
        assert start_slots._spare_slots(0.0) == 0
        assert start_slots._spare_slots(STALL_S) == 1
        assert start_slots._spare_slots(MAX_WAIT_S - STALL_S) >= 120


class TestSlots:
    @pytest.mark.parametrize("meter", [BUSY, UNKNOWN])
    def test_as_many_as_there_are(self, host, monkeypatch, meter):
        """More processes wait, and spare slots come with the time."""
        monkeypatch.setattr(start_slots, "STALL_S", 0.4)
        slots = [StartSlot(host=host, count=2, meter=meter) for _ in range(4)]
        assert [one.acquire().slots for one in slots[:2]] == [2, 2]
        began_s = time.monotonic()
        assert slots[2].acquire() == TurnWait(True, 3, meter.busy_fraction())
        assert time.monotonic() - began_s >= 0.4
        began_s = time.monotonic()
        assert slots[3].acquire() == TurnWait(True, 5, meter.busy_fraction())
        assert time.monotonic() - began_s >= 0.8

    def test_no_slot_for_a_long_time(self, host, monkeypatch):
        """A process starts without one in the end."""
        monkeypatch.setattr(start_slots, "MAX_WAIT_S", 0.3)
        held = StartSlot(host=host, count=1)
        assert held.acquire().has_slot
        assert not StartSlot(host=host, count=1).acquire().has_slot

    def test_released_slot_is_taken(self, host):
        """A slot is free once its holder listens."""
        first, second = (StartSlot(host=host, count=1) for _ in range(2))
        assert first.acquire().has_slot
        first.release()
        assert second.acquire().has_slot

    async def test_slot_of_a_killed_process_is_free(self, host):
        """Guards against a start that waits for a process that is gone."""
        process = await holder(host)
        process.kill()
        await process.wait()
        began_s = time.monotonic()
        assert StartSlot(host=host, count=1).acquire().has_slot
        assert time.monotonic() - began_s < start_slots.STALL_S

    async def test_holder_that_stands_still_is_not_waited_for(self, host, monkeypatch):
        """Guards against one frozen process that keeps all others from starting."""
        monkeypatch.setattr(start_slots, "STALL_S", 1.0)
        process = await holder(host)
        process.send_signal(signal.SIGSTOP)
        try:
            began_s = time.monotonic()
            beside = StartSlot(host=host, count=1)
            assert beside.acquire().has_slot
            assert 1.0 <= time.monotonic() - began_s < 2.0
            # Turns go on beside it.
            began_s = time.monotonic()
            threading.Timer(1.5, beside.release).start()
            third = StartSlot(host=host, count=1)
            assert third.acquire().slots == 2
            assert 1.5 <= time.monotonic() - began_s < 2.0
        finally:
            process.kill()
            await process.wait()

    def test_address_that_is_not_there(self):
        """A process starts at once where there is no such address."""
        began_s = time.monotonic()
        assert not StartSlot(host="192.0.2.1", count=2).acquire().has_slot
        assert time.monotonic() - began_s < 1.0

    def test_holder_that_does_not_listen(self, host, monkeypatch):
        """Guards against a loop that never ends where another program has the port."""
        monkeypatch.setattr(start_slots, "STALL_S", 0.2)
        with socket.socket() as other:
            other.bind((host, 7301))
            used_s = time.process_time()
            assert StartSlot(host=host, count=1).acquire().has_slot
            assert time.process_time() - used_s < 0.1

    async def test_slot_of_a_killed_process_is_taken_by_one(self, host):
        """Guards against several processes that take one slot at its release."""
        process = await holder(host)
        waiting = [
            await asyncio.create_subprocess_exec(
                sys.executable, "-c", HOLD, host, stdout=asyncio.subprocess.PIPE
            )
            for _ in range(3)
        ]
        lines = [asyncio.create_task(one.stdout.readline()) for one in waiting]
        try:
            await asyncio.sleep(0.5)
            process.kill()
            await process.wait()
            await asyncio.wait(lines, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(0.5)
            assert sum(line.done() for line in lines) == 1
        finally:
            for one in waiting:
                one.kill()
                await one.wait()

    def test_no_file_stays_open(self, host, monkeypatch):
        """Guards against descriptors that a waiting process keeps."""
        monkeypatch.setattr(start_slots, "STALL_S", 0.2)
        before = len(os.listdir("/proc/self/fd"))
        held = StartSlot(host=host, count=1)
        held.acquire()
        StartSlot(host=host, count=1).acquire()
        held.release()
        assert len(os.listdir("/proc/self/fd")) == before


#: What a router process runs, and what lets it start without a turn.
START = "import violethatch.platform.__main__ as program; program.main()"
WITHOUT_TURNS = """
from violethatch import start_slots
start_slots.StartSlot.acquire = lambda _: start_slots.TurnWait(False, 0, None)
"""
#: Processes that each have a share of a processor.
SHARING_PROCESSES = 8
#: How much later than without turns the last process may listen: what two plays on two
#: processors differ by.
MAX_LATENESS = 1.25


async def start_router(folder, number, *, temporary, program=START, share=1.0):
    """Start a router process with a temporary folder; return it."""
    temporary.mkdir(exist_ok=True)
    *ports, store = free_ports(5)
    settings = folder / f"router-{number}.ini"
    settings.write_text(
        filled_here(
            ports,
            {"Node": f"edge-{number}", "Limits.CpuShare": str(share)},
            store=f"127.0.0.1:{store}",
        )
    )
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *("-c", program),
        env=os.environ | {"VIOLETHATCH_BOOT": str(settings), "TMPDIR": str(temporary)},
        stdout=asyncio.subprocess.PIPE,
    )


async def first_line_s(process):
    """Return when a process wrote its first line: it listens then."""
    assert await process.stdout.readline()
    return time.monotonic()


async def last_ready_s(folder, *, processor, share, program):
    """Return when the last of some processes that start at once listens, in seconds.

    Args:
        folder: Where settings are kept.
        processor: The processor that they share.
        share: The share of it that each may use.
        program: The code that each runs.
    """
    folder.mkdir()
    limiter = await start_limiter()
    processes = []
    # Not the affinity of this process, which starts others at the same time.
    pinned = f"import os; os.sched_setaffinity(0, [{processor}])\n{program}"
    began_s = time.monotonic()
    for number in range(SHARING_PROCESSES):
        one = await start_router(
            folder, number, temporary=folder, program=pinned, share=share
        )
        processes.append(one)
        limit(limiter, one.pid, share)
    try:
        async with asyncio.timeout(90):
            lines_s = await asyncio.gather(*(first_line_s(one) for one in processes))
        return max(lines_s) - began_s
    finally:
        for one in (*processes, limiter):
            one.kill()
            await one.wait()


async def test_processes_with_shares_of_their_own_wait_in_turn(tmp_path):
    """Guards against turns that leave processors idle while processes wait."""
    # Other tests of turns may run at the same time, on the first processors.
    with_turns, without = sorted(os.sched_getaffinity(0))[2:4]
    share = 0.8 / SHARING_PROCESSES
    last_s, last_without_s = await asyncio.gather(
        last_ready_s(
            tmp_path / "turns", processor=with_turns, share=share, program=START
        ),
        last_ready_s(
            tmp_path / "no-turns",
            processor=without,
            share=share,
            program=f"{WITHOUT_TURNS}{START}",
        ),
    )
    print(f"last ready after {last_s:.1f} s, {last_without_s:.1f} s without turns")
    assert last_s <= MAX_LATENESS * last_without_s


@pytest.mark.parametrize("has_own_folders", [False, True])
async def test_processes_on_one_processor_start_in_turn(tmp_path, has_own_folders):
    """Guards against instances that all answer as late as the last one starts."""
    folders = [
        tmp_path / f"tmp-{number if has_own_folders else 0}"
        for number in range(PROCESSES)
    ]
    all_processors = os.sched_getaffinity(0)
    # Both variants may run at the same time, and would share slots on one processor.
    own = sorted(all_processors)[has_own_folders % len(all_processors)]
    os.sched_setaffinity(0, {own})
    began_s = time.monotonic()
    try:
        processes = await asyncio.gather(
            *(
                start_router(tmp_path, number, temporary=folder)
                for number, folder in enumerate(folders)
            )
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
