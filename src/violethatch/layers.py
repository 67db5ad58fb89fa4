# SPDX-License-Identifier: MIT
"""Layer ranges, and tiling of a model.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class LayerRange(NamedTuple):
    """Layers ``first`` up to but not including ``end``.

    .. versionadded:: 26.1.0
    """

    first: int
    end: int

    @property
    def size(self) -> int:
        """Number of layers."""
        return self.end - self.first

    def covers(self, other: LayerRange) -> bool:
        """Whether this range contains all layers of another.

        .. versionadded:: 26.2.0
        """
        return self.first <= other.first and other.end <= self.end


def tiles(ranges: Sequence[LayerRange], *, layer_count: int) -> bool:
    """Whether ordered *ranges* cover each layer exactly once.

    Args:
        ranges: The layer ranges of a route's stages, in order.
        layer_count: Number of layers of the model.

    .. versionadded:: 26.1.0
    """
    boundary = 0
    for layers in ranges:
        if layers.first != boundary or layers.end <= layers.first:
            return False
        boundary = layers.end
    return boundary == layer_count
