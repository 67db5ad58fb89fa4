# SPDX-License-Identifier: MIT
"""The model's layers, split at all range boundaries of the runners.

Each runner holds a segment whole or not at all.
"""

from __future__ import annotations

import itertools

from collections.abc import Sequence
from typing import NamedTuple

from .backends import BackendServer
from .engine_model import EngineSpec
from .layers import LayerRange


class SegmentRunner(NamedTuple):
    """A runner that holds all layers of a segment."""

    server: BackendServer
    #: The time for the segment's layers and one token on an idle runner, in ms.
    step_ms: float


class Segment(NamedTuple):
    """Layers between two adjacent range boundaries, and the runners that hold them."""

    layers: LayerRange
    runners: tuple[SegmentRunner, ...]

    def split(self, layer: int) -> tuple[Segment, ...]:
        """Return the segment split at a layer, if that lies inside it."""
        if not self.layers.first < layer < self.layers.end:
            return (self,)
        below = LayerRange(self.layers.first, layer)
        above = LayerRange(layer, self.layers.end)
        return self._part(below), self._part(above)

    def _part(self, layers: LayerRange) -> Segment:
        """Return a part of the segment, with its share of the step time."""
        share = layers.size / self.layers.size
        runners = (SegmentRunner(server, share * ms) for server, ms in self.runners)
        return Segment(layers, tuple(runners))


def split_into_segments(
    holders: Sequence[BackendServer], engine: EngineSpec
) -> tuple[Segment, ...]:
    """Return the model's segments, in layer order."""
    boundaries = {0, engine.layer_count}
    for holder in holders:
        assert holder.layers is not None
        boundaries.update(holder.layers)
    inner = sorted(
        boundary for boundary in boundaries if 0 <= boundary <= engine.layer_count
    )
    return tuple(
        _make_segment(LayerRange(start, end), holders, engine)
        for start, end in itertools.pairwise(inner)
    )


def _make_segment(
    layers: LayerRange, holders: Sequence[BackendServer], engine: EngineSpec
) -> Segment:
    """Return a segment with all runners that hold it."""
    return Segment(
        layers,
        tuple(
            SegmentRunner(
                holder, engine.step_time_ms(engine.kinds[holder.kind], layers.size)
            )
            for holder in holders
            if holder.layers and holder.layers.covers(layers)
        ),
    )
