# SPDX-License-Identifier: MIT
"""The memory that the process occupies."""

from __future__ import annotations

import pathlib
import resource


_STATM = pathlib.Path("/proc/self/statm")
_BYTES_PER_MB = 1_000_000


def resident_mb() -> float | None:
    """Return the resident memory of the process in MB, or None if it can't be read."""
    try:
        pages = int(_STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * resource.getpagesize() / _BYTES_PER_MB
