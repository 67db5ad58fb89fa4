# SPDX-License-Identifier: MIT
"""Turns for processes that start at the same moment on the same processors.

Load pattern: after a loss of power dozens of instances start together on a few shared
processors, and each needs most of a second of processor time before it can answer.
Sharing the processors evenly, all of them are ready as late as the last one could be.
One after another the last one is no later, and the first answers at once.

A slot is a lock on a file, which the kernel releases when its holder ends.  Processes
with temporary folders of their own, as on machines of their own, never wait.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import fcntl
import os
import time


__all__ = ["STALL_S", "StartSlot"]

#: How long to wait while no slot changes hands, in seconds: a holder may be frozen.
STALL_S = 3.0
#: How often slots are tried, in seconds: dozens of processes wait, on few processors.
_TRY_S = 0.1
_FOLDER_VARIABLE = "TMPDIR"
_DEFAULT_FOLDER = "/tmp"


class StartSlot:
    """One process's turn to start.

    Args:
        folder: Where the lock files are; the temporary folder if omitted.
        count: How many processes start at once; one a processor if omitted.
    """

    def __init__(self, *, folder: str | None = None, count: int | None = None) -> None:
        self._folder = folder or os.environ.get(_FOLDER_VARIABLE, _DEFAULT_FOLDER)
        self._count = count or len(os.sched_getaffinity(0))
        self._held: int | None = None

    def acquire(self) -> bool:
        """Wait for a slot; tell whether one is held.

        Where files can't be locked, or no slot changes hands for a while, the process
        starts without one.
        """
        files: list[int] = []
        try:
            files.extend(self._open(number) for number in range(self._count))
            self._held = _wait_for_one(files)
        except OSError:
            self._held = None
        for file in files:
            if file != self._held:
                os.close(file)
        return self._held is not None

    def release(self) -> None:
        """Let the next process start."""
        if self._held is not None:
            os.close(self._held)
            self._held = None

    def _open(self, number: int) -> int:
        """Open a slot's file.

        Raises:
            OSError: It can't be opened.
        """
        name = f"violethatch-start-{os.getuid()}-{number}.lock"
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW
        return os.open(os.path.join(self._folder, name), flags, 0o600)


def _wait_for_one(files: list[int]) -> int | None:
    """Return the first file that could be locked, or None if none changes hands.

    Raises:
        OSError: Files can't be locked here.
    """
    holders: list[bytes] = []
    changed_s = time.monotonic()
    while True:
        for file in files:
            if _lock(file):
                os.pwrite(file, b"%20d" % os.getpid(), 0)
                return file
        seen = [os.pread(file, 20, 0) for file in files]
        now_s = time.monotonic()
        if seen != holders:
            holders, changed_s = seen, now_s
        elif now_s - changed_s >= STALL_S:
            return None
        time.sleep(_TRY_S)


def _lock(file: int) -> bool:
    """Lock a file if no other process has.

    Raises:
        OSError: Files can't be locked here.
    """
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True
