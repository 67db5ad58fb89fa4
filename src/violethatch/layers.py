# SPDX-License-Identifier: MIT
"""Layer ranges, and how they tile a model.

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
        """How many layers it has."""
        return self.end - self.first

    def covers(self, other: LayerRange) -> bool:
        """Tell whether all layers of another range are in this one.

        .. versionadded:: 26.2.0
        """
        return self.first <= other.first and other.end <= self.end


def tiles(ranges: Sequence[LayerRange], *, layer_count: int) -> bool:
    """Tell whether *ranges*, in order, cover each of the layers exactly once.

    Args:
        ranges: The layer ranges of a route's stages, in order.
        layer_count: How many layers the model has.

    .. versionadded:: 26.1.0
    """
    boundary = 0
    for layers in ranges:
        if layers.first != boundary or layers.end <= layers.first:
            return False
        boundary = layers.end
    return boundary == layer_count
