# SPDX-License-Identifier: MIT
"""A stand-in of the shared store that runners load a model's layers from."""

from __future__ import annotations

import asyncio

from violethatch import clocks


#: How often the progress of loads is brought up to date, in seconds.
_TICK_S = 0.02


class SharedWeights:
    """Serves so many loads at full rate; beyond that all take longer in proportion.

    Args:
        load_s: How long a whole model takes at full rate, in seconds.
        layer_count: The model's layers.
        at_once: How many loads run at full rate.
    """

    def __init__(self, *, load_s: float, layer_count: int, at_once: int) -> None:
        self.load_s = load_s
        self.layer_count = layer_count
        self.at_once = at_once
        self.running = 0
        self.max_running = 0

    async def load(self, layers: int) -> None:
        """Return once some layers are loaded."""
        left_s = self.load_s * layers / self.layer_count
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        last_s = clocks.now_s()
        try:
            while left_s > 0.0:
                await asyncio.sleep(_TICK_S)
                now_s = clocks.now_s()
                left_s -= (now_s - last_s) * min(1.0, self.at_once / self.running)
                last_s = now_s
        finally:
            self.running -= 1
