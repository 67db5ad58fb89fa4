# SPDX-License-Identifier: MIT
"""Stand-ins for what surrounds violethatch: engines, services, the platform.

They serve tests, benchmarks and the demo; nothing in `violethatch` imports
this package.
"""

from .arithmetic import expected_text, expected_tokens
from .cluster import Cluster, RunnerPlan
from .faults import FaultProxy
from .ledger import Ledger, LedgerLine


__all__ = [
    "Cluster",
    "FaultProxy",
    "Ledger",
    "LedgerLine",
    "RunnerPlan",
    "expected_text",
    "expected_tokens",
]
