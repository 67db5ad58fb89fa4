# SPDX-License-Identifier: MIT
"""Streams of model runners: sent along paths, and kept going over lost and silent runs.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

from ._call import StreamCall


__all__ = ("StreamCall",)
