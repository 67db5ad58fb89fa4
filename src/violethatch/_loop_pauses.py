# SPDX-License-Identifier: MIT
"""Notes how long the event loop stood still.

A process that waits for a processor, is stopped, or is busy with one long step reads
and writes nothing meanwhile: what callers and servers saw then was this instance.
"""

from __future__ import annotations

import asyncio
import time

from collections.abc import Callable

from . import clocks, events


#: How often the loop is checked, in seconds.  A pause is noted by how late a check is,
#: so that up to that much of it is not counted.
_CHECK_S = 0.1
#: From which length on a pause is counted, and from which it is logged, in seconds.
_MIN_COUNTED_S = 0.01
_MIN_LOGGED_S = 0.1


async def watch_pauses(on_pause: Callable[[float], None]) -> None:
    """Log the loop's pauses, until cancelled.

    Args:
        on_pause: Called with a pause's length, in seconds.
    """
    while True:
        began_s = clocks.now_s()
        began_processor_s = time.process_time()
        await asyncio.sleep(_CHECK_S)
        paused_s = clocks.now_s() - began_s - _CHECK_S
        if paused_s >= _MIN_COUNTED_S:
            on_pause(paused_s)
        if paused_s >= _MIN_LOGGED_S:
            events.log(
                events.LOOP_PAUSED,
                paused_s=round(paused_s, 3),
                processor_s=round(time.process_time() - began_processor_s, 3),
            )
