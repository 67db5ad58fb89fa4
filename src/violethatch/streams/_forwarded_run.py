# SPDX-License-Identifier: MIT
"""A run of a stream that another instance serves, beside silent runs of this one."""

from __future__ import annotations

from collections.abc import Callable

from ..errors import VioletHatchError
from ..forwarding import ForwardedCall
from ..upstream import Responder
from ._live_runs import LiveRuns, RunEnd, RunOutcome


class ForwardedRun:
    """One run of a stream through other instances.

    Args:
        call: Hands the stream over, or what is left of it.
    """

    #: The serving instance pays for it, and finds out about silences.
    is_again = False
    is_silent = False

    def __init__(self, call: ForwardedCall) -> None:
        self.call = call
        self.runs_before = call.runs
        self.is_counted = False
        self.suspects: frozenset[str] = frozenset()
        self.on_silent: Callable[[], None] = lambda: None

    @property
    def runs(self) -> int:
        """Runs that the stream has had through other instances."""
        return self.call.runs - self.runs_before

    def replaced(self) -> None:
        """Leave it to the serving instance to note that nobody reads on."""

    async def serve(self, responder: Responder, live: LiveRuns) -> RunOutcome:
        """Pass the events on; return how the run ended."""
        try:
            status = await self.call.serve_beside(
                responder, on_event=lambda: live.keep_only(self)
            )
        except VioletHatchError:
            return RunOutcome(self, RunEnd.LOST)
        return RunOutcome(self, RunEnd.WHOLE, status)
