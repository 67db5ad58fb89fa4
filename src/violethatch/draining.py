# SPDX-License-Identifier: MIT
"""A planned stop: unready first, then finish, then leave.

The balancer goes on sending connections until it has asked twice, so that
requests are taken for a while longer; what is taken has to end in time.

.. versionadded:: 26.1.0
"""

from __future__ import annotations


#: How long streams are taken after the stop was asked for, in seconds: the
#: balancer asks each second and needs two misses.
_STREAMS_TAKEN_S = 2.5
#: How long before the end other calls are refused, in seconds.
_CALLS_MARGIN_S = 2.0
#: How long before the platform kills the process it leaves, in seconds: on a busy
#: machine with half a core its last line came 0.16 s after that, and closing what is
#: left and the interpreter's end took up to 0.24 s more.
_LEAVE_MARGIN_S = 0.7


class StopPlan:
    """Tells what a process does when, after it was asked to stop.

    Args:
        grace_s: How long after the request the platform kills the process.

    .. versionadded:: 26.1.0
    """

    def __init__(self, *, grace_s: float) -> None:
        self.grace_s = grace_s
        self.asked_s: float | None = None
        self._is_closing = False

    def ask(self, *, now_s: float) -> None:
        """Note that the stop was asked for."""
        if self.asked_s is None:
            self.asked_s = now_s

    def close(self) -> None:
        """Note that nothing more is taken: what is under way ends, then all closes."""
        self._is_closing = True

    @property
    def is_stopping(self) -> bool:
        """Whether the stop was asked for."""
        return self.asked_s is not None

    def takes_calls(self, *, is_stream: bool, now_s: float) -> bool:
        """Tell whether a new call is still taken."""
        if self._is_closing:
            return False
        if self.asked_s is None:
            return True
        calls_s = self.grace_s - _CALLS_MARGIN_S
        limit_s = min(_STREAMS_TAKEN_S, calls_s) if is_stream else calls_s
        return now_s - self.asked_s < limit_s

    def left_s(self, *, now_s: float) -> float:
        """Return how long the process may still run, in seconds."""
        if self.asked_s is None:
            return float("inf")
        return max(0.0, self.asked_s + self.grace_s - _LEAVE_MARGIN_S - now_s)
