# SPDX-License-Identifier: MIT
"""Lines that tell a process beside a play what to do, and how busy it was."""

from __future__ import annotations

import asyncio
import sys
import time

from violethatch import clocks


#: The longest line, in bytes.
MAX_LINE_BYTES = 1 << 24


async def input_lines():
    """Yield the lines of standard input until it ends."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        yield line


async def watch_use(on_use):
    """Tell each second how busy this process was, as a share of a processor."""
    last = (clocks.now_s(), time.process_time())
    while True:
        await asyncio.sleep(1.0)
        now = (clocks.now_s(), time.process_time())
        on_use((now[1] - last[1]) / (now[0] - last[0]))
        last = now
