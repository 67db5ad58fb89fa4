# SPDX-License-Identifier: MIT
"""A router for model pipelines over mixed accelerators.

The names exported here are the coordination parts, free of I/O, for others to
embed; the router's processes are started with the ``violethatch`` command.
"""

from __future__ import annotations

import importlib

from typing import TYPE_CHECKING, Any


if TYPE_CHECKING:
    from .attempts import Attempt
    from .claims import Claim, ClaimState, Verdict, claim_row_key, is_own_write
    from .errors import Ran, VioletHatchError
    from .gossip import Beat, Gossip
    from .layers import LayerRange, tiles
    from .leases import Fence, Lease
    from .limits import WorkspaceLimiter, WorkspaceLimits, demand_shares
    from .loads import LoadView
    from .membership import LeavingMarks, PeerTable, rendezvous, watched_runners
    from .ports import ABSENT, AnswerLostError, Put, Row, Table
    from .retries import RetryBudget, StallLimit
    from .revisions import Offer, accept, compare, make_plan
    from .routes import Candidate, MarginalCost, RoutePolicy, cheapest_path

__all__ = [
    "ABSENT",
    "AnswerLostError",
    "Attempt",
    "Beat",
    "Candidate",
    "Claim",
    "ClaimState",
    "Fence",
    "Gossip",
    "LayerRange",
    "Lease",
    "LeavingMarks",
    "LoadView",
    "MarginalCost",
    "Offer",
    "PeerTable",
    "Put",
    "Ran",
    "RetryBudget",
    "RoutePolicy",
    "Row",
    "StallLimit",
    "Table",
    "Verdict",
    "VioletHatchError",
    "WorkspaceLimiter",
    "WorkspaceLimits",
    "accept",
    "cheapest_path",
    "claim_row_key",
    "compare",
    "demand_shares",
    "is_own_write",
    "make_plan",
    "rendezvous",
    "tiles",
    "watched_runners",
]

#: The module of each exported name.  A router uses few of them; importing each at its
#: first use keeps the others out of a process's start.
_MODULES = {
    "ABSENT": "ports",
    "AnswerLostError": "ports",
    "Attempt": "attempts",
    "Beat": "gossip",
    "Candidate": "routes",
    "Claim": "claims",
    "ClaimState": "claims",
    "Fence": "leases",
    "Gossip": "gossip",
    "LayerRange": "layers",
    "Lease": "leases",
    "LeavingMarks": "membership",
    "LoadView": "loads",
    "MarginalCost": "routes",
    "Offer": "revisions",
    "PeerTable": "membership",
    "Put": "ports",
    "Ran": "errors",
    "RetryBudget": "retries",
    "RoutePolicy": "routes",
    "Row": "ports",
    "StallLimit": "retries",
    "Table": "ports",
    "Verdict": "claims",
    "VioletHatchError": "errors",
    "WorkspaceLimiter": "limits",
    "WorkspaceLimits": "limits",
    "accept": "revisions",
    "cheapest_path": "routes",
    "claim_row_key": "claims",
    "compare": "revisions",
    "demand_shares": "limits",
    "is_own_write": "claims",
    "make_plan": "revisions",
    "rendezvous": "membership",
    "tiles": "layers",
    "watched_runners": "membership",
}


def __getattr__(name: str) -> Any:
    """Import an exported name, or the module of one, at its first use."""
    if name in _MODULES.values():
        return importlib.import_module(f".{name}", __name__)
    module = _MODULES.get(name)
    if module is None:
        msg = f"module {__name__!r} has no attribute {name!r}"
        raise AttributeError(msg)
    value = getattr(importlib.import_module(f".{module}", __name__), name)
    globals()[name] = value
    return value


def __dir__() -> list[str]:
    """Return the names that are there or imported at their first use."""
    return sorted({*globals(), *__all__})
