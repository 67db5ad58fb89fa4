# SPDX-License-Identifier: MIT
"""The share of a processor that a process is held to."""

from __future__ import annotations

import asyncio
import os
import sys

import pytest

from processor_shares import limit, start_limiter
from violethatch.processor_share import stated_share


LOOK = """
import sys, time
from violethatch.processor_share import is_held_up
until_s = time.process_time() + 0.1
while time.process_time() < until_s:
    pass
print(int(is_held_up()))
"""


@pytest.mark.parametrize(
    ("text", "share"),
    [
        ("[limits]\nprocessor_share = 0.361\n", 0.361),
        ("[limits]\nprocessor_share = 4\n", 1.0),
        ("[limits]\nprocessor_share = -1\n", 1.0),
        ("[limits]\nprocessor_share =\n", 1.0),
        ("[limits]\n", 1.0),
        ("no settings", 1.0),
    ],
)
def test_settings_that_are_not_valid(tmp_path, text, share):
    """Guards against a start that ends before its settings are validated."""
    settings = tmp_path / "router.ini"
    settings.write_text(text)
    assert stated_share(str(settings)) == share


def test_no_settings():
    """A process that is told of no settings counts as whole."""
    assert stated_share("") == 1.0


async def look(*, share=None, processor=None):
    """Return whether a process is held up that may be limited, on a processor."""
    limiter = await start_limiter()
    program = LOOK
    if processor is not None:
        # Not the affinity of this process, which starts others at the same time.
        program = f"import os; os.sched_setaffinity(0, [{processor}])\n{LOOK}"
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", program, stdout=asyncio.subprocess.PIPE
    )
    if share is not None:
        limit(limiter, process.pid, share)
    output, _ = await process.communicate()
    limiter.kill()
    await limiter.wait()
    return output == b"1\n"


@pytest.mark.parametrize("share", [0.084, 0.361])
async def test_limited_process(share):
    """A process that is held to its share knows."""
    assert await look(share=share)


async def test_full_processor():
    """Guards against a share that is stated, not enforced: all would start late."""
    processor = max(os.sched_getaffinity(0))
    looks = [look(processor=processor) for _ in range(8)]
    all_processors = os.sched_getaffinity(0)
    assert await asyncio.gather(*looks) == [False] * 8
    assert os.sched_getaffinity(0) == all_processors
