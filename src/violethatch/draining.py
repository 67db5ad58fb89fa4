# SPDX-License-Identifier: MIT
"""A planned stop: unready first, then finish, then leave.

The balancer goes on sending connections until it has asked twice, so that
requests are taken for a while longer; what is taken has to end in time.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import math

from collections.abc import Sequence


#: How long streams are taken after the stop was asked for, in seconds: the
#: balancer asks each second and needs two misses.
_STREAM_ACCEPT_S = 2.5
#: How long before the end other calls are refused, in seconds.
_CALL_MARGIN_S = 2.0
#: How long before the platform kills the process it leaves, in seconds: on a busy
#: machine with half a core its last line came 0.16 s after that, and closing what is
#: left and the interpreter's end took up to 0.24 s more.
_EXIT_MARGIN_S = 0.7
#: The part of a route's recent answers that would have to end in time for another
#: request to be taken: a caller who is refused loses a moment, one who is cut all.
_RECENT_QUANTILE = 0.75
#: From how long after the stop was asked for the longest recent answer would have to,
#: in seconds: by then the balancer sends nothing more, and nothing excuses a cut.
_MAX_ONLY_AFTER_S = 3.0


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

    def refusal(
        self,
        *,
        is_stream: bool,
        now_s: float,
        recent_s: Sequence[float] = (),
        limit_s: float = math.inf,
    ) -> str | None:
        """Return why a new call is refused, or None if it is taken.

        Args:
            is_stream: Whether its answer is a stream.
            now_s: The current monotonic time, in seconds.
            recent_s: How long recent answers of its route took, in seconds.
            limit_s: How long it may take, in seconds.

        .. versionadded:: 26.6.0
        """
        if self._is_closing:
            return "the instance closes its connections"
        if self.asked_s is None:
            return None
        since_s = now_s - self.asked_s
        taken_s = self.grace_s - _CALL_MARGIN_S
        if is_stream:
            taken_s = min(_STREAM_ACCEPT_S, taken_s)
        if since_s >= taken_s:
            return f"the instance stops since {since_s:.1f} s"
        part = 1.0 if since_s >= _MAX_ONLY_AFTER_S else _RECENT_QUANTILE
        left_s = self.left_s(now_s=now_s)
        expected_s = min(limit_s, _quantile(recent_s, part))
        if expected_s > left_s:
            return f"it may take {expected_s:.1f} s, and {left_s:.1f} s are left"
        return None

    def left_s(self, *, now_s: float) -> float:
        """Return how long the process may still run, in seconds."""
        if self.asked_s is None:
            return float("inf")
        return max(0.0, self.asked_s + self.grace_s - _EXIT_MARGIN_S - now_s)


def _quantile(times_s: Sequence[float], part: float) -> float:
    """Return the time that no more than a part of some times exceeds, or 0 for none."""
    if not times_s:
        return 0.0
    return sorted(times_s)[math.ceil(part * len(times_s)) - 1]
