# SPDX-License-Identifier: MIT
"""A stand-in of the shared store that runners load a model's layers from."""

from __future__ import annotations

import asyncio

from collections.abc import Callable

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
        #: Loads of runners in other processes, which share the rate.
        self.running_elsewhere = 0
        self.max_running = 0
        #: Told of the loads that are running once that changes.
        self.on_running: Callable[[int], None] = lambda _running: None

    async def load(self, layers: int) -> None:
        """Return once some layers are loaded."""
        left_s = self.load_s * layers / self.layer_count
        self._change_running(1)
        self.max_running = max(self.max_running, self.running)
        last_s = clocks.now_s()
        try:
            while left_s > 0.0:
                await asyncio.sleep(_TICK_S)
                now_s = clocks.now_s()
                running = self.running + self.running_elsewhere
                left_s -= (now_s - last_s) * min(1.0, self.at_once / running)
                last_s = now_s
        finally:
            self._change_running(-1)

    def _change_running(self, by: int) -> None:
        """Count the loads that are running, and tell of them."""
        self.running += by
        self.on_running(self.running)
