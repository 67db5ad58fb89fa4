# SPDX-License-Identifier: MIT
"""Which requests backend servers end under, and holding those requests back.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

from ._held_rows import HELD_PREFIX, HeldRows, RowStore
from ._link import SuspectLink
from ._server_ends import ServerEnds
from ._work import WorkInHand
from .crash_suspects import HELD_LIFE_S, CrashSuspects, End, Hold


__all__ = (
    "HELD_LIFE_S",
    "HELD_PREFIX",
    "CrashSuspects",
    "End",
    "HeldRows",
    "Hold",
    "RowStore",
    "ServerEnds",
    "SuspectLink",
    "WorkInHand",
)
