# SPDX-License-Identifier: MIT
"""Which requests backend servers end under, and holding those requests back.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

from ._held_rows import HELD_PREFIX, HeldRows, RowStore
from ._link import SuspectLink
from ._server_ends import ServerEnds
from ._suspect import HELD_LIFE_S, End, Hold
from ._work import WorkInHand
from .crash_suspects import PROBE_S, CrashSuspects


__all__ = (
    "HELD_LIFE_S",
    "HELD_PREFIX",
    "PROBE_S",
    "CrashSuspects",
    "End",
    "HeldRows",
    "Hold",
    "RowStore",
    "ServerEnds",
    "SuspectLink",
    "WorkInHand",
)
