# SPDX-License-Identifier: MIT
"""Limits processes to shares of a processor, by stopping and continuing them.

Run as a process: each line of standard input is a JSON list of a process id and its
share.  A process is stopped once its share of an interval is used up; what it has used
beyond that is taken off its next interval.  It needs no privileges.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import selectors
import signal
import sys
import time


#: The interval that shares are granted for, in seconds.
INTERVAL_S = 0.1
#: How often the used processor time is read, in seconds.
CHECK_S = 0.002


def processor_clock(pid):
    """Return the kernel's clock of a process's processor time."""
    return (~pid << 3) | 2


class LimitedProcess:
    """A process and what is left of its share.

    Args:
        pid: The process.
        share: Its share of a processor.
        now_s: The time, in monotonic seconds.
    """

    def __init__(self, pid, share, *, now_s):
        self.pid = pid
        self.share = share
        self._clock = processor_clock(pid)
        self._used_s = 0.0
        self._left_s = share * INTERVAL_S
        self._refill_s = now_s + random.uniform(0.0, INTERVAL_S)
        self._is_stopped = False

    def check(self, now_s):
        """Stop or continue the process.

        Raises:
            OSError: It has ended.
        """
        is_refilled = now_s >= self._refill_s
        if self._is_stopped and not is_refilled:
            return
        used_s = time.clock_gettime(self._clock)
        self._left_s -= used_s - self._used_s
        self._used_s = used_s
        if is_refilled:
            budget_s = self.share * INTERVAL_S
            self._refill_s += INTERVAL_S
            self._left_s = min(budget_s, self._left_s + budget_s)
        if self._is_stopped == (self._left_s > 0.0):
            self._is_stopped = not self._is_stopped
            os.kill(self.pid, signal.SIGSTOP if self._is_stopped else signal.SIGCONT)


def limit_processes(source):
    """Limit the processes that are named on *source*, until it ends."""
    processes = {}
    selector = selectors.DefaultSelector()
    selector.register(source, selectors.EVENT_READ)
    buffered = b""
    while True:
        if selector.select(CHECK_S):
            data = os.read(source, 65_536)
            if not data:
                return
            *lines, buffered = (buffered + data).split(b"\n")
            for line in lines:
                pid, share = json.loads(line)
                processes[pid] = LimitedProcess(pid, share, now_s=time.monotonic())
        now_s = time.monotonic()
        for process in list(processes.values()):
            try:
                process.check(now_s)
            except OSError:
                del processes[process.pid]


async def start_limiter():
    """Return the process that limits others."""
    return await asyncio.create_subprocess_exec(
        sys.executable, __file__, stdin=asyncio.subprocess.PIPE
    )


def limit(limiter, pid, share):
    """Have a process limited to a share of a processor."""
    limiter.stdin.write(json.dumps([pid, share]).encode() + b"\n")


if __name__ == "__main__":
    limit_processes(sys.stdin.fileno())
