# SPDX-License-Identifier: MIT
"""Graceful shutdown: report unready, drain requests in flight, exit.

The load balancer sends connections until two health checks have failed, so that
requests are accepted for some time; they have to complete before the exit.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import math

from collections.abc import Sequence


#: How long streams are accepted after the shutdown request, in seconds: the
#: load balancer probes each second and needs two failures.
_STREAM_ACCEPT_S = 2.5
#: How long before the end of the grace period other calls are rejected, in seconds.
_CALL_MARGIN_S = 2.0
#: How long before the platform's kill the process exits, in seconds: on a busy
#: machine with half a core its last log line came 0.16 s after that, and closing the
#: remaining resources and the interpreter's exit took up to 0.24 s more.
_EXIT_MARGIN_S = 0.7
#: The fraction of a route's recent responses that would have to complete in time to
#: accept a request: a rejection costs a client a retry, a cut response all its work.
_RECENT_QUANTILE = 0.75
#: How long after the shutdown request even the longest recent response would have to
#: complete in time, in seconds: the load balancer sends nothing more by then, so that
#: accepting a request that might be cut has no benefit.
_MAX_ONLY_AFTER_S = 3.0


class StopPlan:
    """Schedule of a graceful shutdown.

    Args:
        grace_s: Time from the shutdown request to the platform's kill, in seconds.

    .. versionadded:: 26.1.0
    """

    def __init__(self, *, grace_s: float) -> None:
        self.grace_s = grace_s
        self.requested_s: float | None = None
        self._is_closing = False

    def request_stop(self, *, now_s: float) -> None:
        """Record the shutdown request; a repeated request has no effect."""
        if self.requested_s is None:
            self.requested_s = now_s

    def close(self) -> None:
        """Reject new calls; those in flight complete before connections close."""
        self._is_closing = True

    @property
    def is_stopping(self) -> bool:
        """Whether a shutdown was requested."""
        return self.requested_s is not None

    def refusal(
        self,
        *,
        is_stream: bool,
        now_s: float,
        recent_s: Sequence[float] = (),
        oldest_s: float = 0.0,
        limit_s: float = math.inf,
    ) -> str | None:
        """Return why a new call is rejected, or None if it is accepted.

        Args:
            is_stream: Whether its response is streamed.
            now_s: The current monotonic time, in seconds.
            recent_s: Durations of recent responses of its route, in seconds.
            oldest_s: For how long the oldest call of its route is in flight.
            limit_s: Max duration of the call, in seconds.

        .. versionadded:: 26.6.0
        """
        if self._is_closing:
            return "the instance closes its connections"
        if self.requested_s is None:
            return None
        elapsed_s = now_s - self.requested_s
        accept_s = self.grace_s - _CALL_MARGIN_S
        if is_stream:
            accept_s = min(_STREAM_ACCEPT_S, accept_s)
        if elapsed_s >= accept_s:
            return f"the instance stops since {elapsed_s:.1f} s"
        is_late = elapsed_s >= _MAX_ONLY_AFTER_S
        expected_s = _quantile(recent_s, 1.0 if is_late else _RECENT_QUANTILE)
        if is_late or not recent_s:
            expected_s = max(expected_s, oldest_s)
        remaining_s = self.left_s(now_s=now_s)
        expected_s = min(limit_s, expected_s)
        if expected_s > remaining_s:
            return f"it may take {expected_s:.1f} s, and {remaining_s:.1f} s are left"
        return None

    def left_s(self, *, now_s: float) -> float:
        """Return the remaining run time of the process, in seconds."""
        if self.requested_s is None:
            return float("inf")
        return max(0.0, self.requested_s + self.grace_s - _EXIT_MARGIN_S - now_s)


def _quantile(durations_s: Sequence[float], fraction: float) -> float:
    """Return a quantile of durations by the nearest-rank method, or 0 for none."""
    if not durations_s:
        return 0.0
    return sorted(durations_s)[math.ceil(fraction * len(durations_s)) - 1]
