# SPDX-License-Identifier: MIT
"""The model cut into segments, each held whole by some runners or by none."""

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
    #: Its time for the segment's layers and one token, when it is empty, in ms.
    step_ms: float


class Segment(NamedTuple):
    """Layers between two neighbouring boundaries of ranges, and who holds them all."""

    layers: LayerRange
    runners: tuple[SegmentRunner, ...]

    def split(self, layer: int) -> tuple[Segment, ...]:
        """Return the segment in two parts if a layer lies inside of it."""
        if not self.layers.first < layer < self.layers.end:
            return (self,)
        below = LayerRange(self.layers.first, layer)
        above = LayerRange(layer, self.layers.end)
        return self._part(below), self._part(above)

    def _part(self, layers: LayerRange) -> Segment:
        """Return a part of the segment, with the time for its layers."""
        share = layers.size / self.layers.size
        holdings = (SegmentRunner(server, share * ms) for server, ms in self.runners)
        return Segment(layers, tuple(holdings))


def split_into_segments(
    holders: Sequence[BackendServer], engine: EngineSpec
) -> tuple[Segment, ...]:
    """Return the model, first layer to last, cut at each boundary of a held range."""
    boundaries = {0, engine.layer_count}
    for holder in holders:
        assert holder.layers is not None
        boundaries.update(holder.layers)
    inside = sorted(one for one in boundaries if 0 <= one <= engine.layer_count)
    return tuple(
        _segment(LayerRange(start, end), holders, engine)
        for start, end in itertools.pairwise(inside)
    )


def _segment(
    layers: LayerRange, holders: Sequence[BackendServer], engine: EngineSpec
) -> Segment:
    """Return a segment with all that hold it."""
    return Segment(
        layers,
        tuple(
            SegmentRunner(one, engine.step_time_ms(engine.kinds[one.kind], layers.size))
            for one in holders
            if one.layers and one.layers.covers(layers)
        ),
    )
