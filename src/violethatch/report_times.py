# SPDX-License-Identifier: MIT
"""Compares runners' response times, so that a slow moment is not mistaken for failures.

A runner that accepts connections and does not respond has either stopped or is as late
as all others are at that moment.  The reports of other runners, requested at the same
time, tell which.

Load pattern: at a crest of the load, or while hundreds of processes start, hundreds of
streams pause in the same second.  Each of 120 instances has a few of them, with up to
14 runners a stream; all reports take tens to hundreds of milliseconds, and no runner
has failed.  At other times a single runner stops, or all runners of a zone, while the
others respond within a few milliseconds.

.. versionadded:: 26.12.0
"""

from __future__ import annotations

import math

from collections.abc import Collection
from typing import NamedTuple


#: Reports that were requested longer ago are not compared, in seconds.
_COMPARED_S = 1.0
#: How many times longer than the others' an overdue report takes.
_OVERDUE_FACTOR = 4.0
#: With fewer other reports there is no majority: a single early one is chance.
_MIN_COMPARED = 3
#: The first and the longest pause between checks that decided nothing, in seconds.
_FIRST_PAUSE_S = 0.5
_MAX_PAUSE_S = 2.0


class _Request(NamedTuple):
    """A request for a report; `took_s` is infinite while there is no response."""

    sent_s: float
    took_s: float = math.inf

    @property
    def has_response(self) -> bool:
        """Whether the report has been received."""
        return self.took_s < math.inf

    def is_recent(self, now_s: float) -> bool:
        """Return whether the request is compared with others."""
        return now_s - self.sent_s < _COMPARED_S


class ReportTimes:
    """The response times of one instance's latest requests for reports."""

    def __init__(self) -> None:
        self._requests: dict[str, _Request] = {}

    def record_sent(self, server_id: str, *, now_s: float) -> None:
        """Record a request for a runner's report."""
        self._requests[server_id] = _Request(now_s)

    def record_response(self, server_id: str, *, now_s: float) -> None:
        """Record the response to a runner's latest request."""
        request = self._requests.get(server_id)
        if request is not None:
            self._requests[server_id] = request._replace(took_s=now_s - request.sent_s)

    def forget(self, server_id: str) -> None:
        """Discard a runner's request: it is unlisted, or its response time unknown."""
        self._requests.pop(server_id, None)

    def has_responded(self, server_id: str, *, now_s: float) -> bool:
        """Return whether a runner's latest request is recent and has a response."""
        request = self._requests.get(server_id)
        return request is not None and request.has_response and request.is_recent(now_s)

    def is_overdue(
        self,
        server_id: str,
        *,
        limit_s: float,
        now_s: float,
        controls: Collection[str] = (),
    ) -> bool:
        """Return whether a runner's report is late in comparison with others.

        It is if most other reports took a fraction of the time, or if those of all
        *controls* did.

        Args:
            server_id: The runner; its latest request has no response.
            limit_s: A report that takes less time is not overdue, in seconds.
            now_s: The current monotonic time, in seconds.
            controls: Unrelated runners whose reports were requested for comparison.
        """
        request = self._requests.get(server_id)
        if request is None or request.has_response:
            return False
        waited_s = now_s - request.sent_s
        if waited_s < limit_s:
            return False
        usual_s = min(
            self._majority_s(server_id, controls, limit_s=limit_s, now_s=now_s),
            self._longest_s(controls, now_s=now_s),
        )
        return waited_s >= _OVERDUE_FACTOR * usual_s

    def _majority_s(
        self,
        server_id: str,
        controls: Collection[str],
        *,
        limit_s: float,
        now_s: float,
    ) -> float:
        """Return the time within which most other runners responded; else infinity.

        Requests that are pending for less than the limit don't count either way,
        except those of controls.
        """
        times_s = sorted(
            request.took_s
            for other_id, request in self._requests.items()
            if other_id != server_id
            and request.is_recent(now_s)
            and (
                request.has_response
                or now_s - request.sent_s >= limit_s
                or other_id in controls
            )
        )
        if len(times_s) < _MIN_COMPARED:
            return math.inf
        return times_s[len(times_s) // 2]

    def _longest_s(self, server_ids: Collection[str], *, now_s: float) -> float:
        """Return the time within which all of some runners responded; else infinity."""
        times_s = [
            request.took_s
            for request in map(self._requests.get, server_ids)
            if request is not None and request.is_recent(now_s)
        ]
        if not times_s or len(times_s) < len(server_ids):
            return math.inf
        return max(times_s)


class CheckPauses:
    """Spaces out checks while they decide nothing, as all reports are late."""

    def __init__(self) -> None:
        self._pause_s = 0.0
        self._until_s = 0.0

    def is_paused(self, *, now_s: float) -> bool:
        """Return whether a check would likely decide nothing."""
        return now_s < self._until_s

    @property
    def was_undecided(self) -> bool:
        """Whether the latest check has decided nothing."""
        return self._pause_s > 0

    def record_undecided(self, *, now_s: float) -> None:
        """Record a check whose reports were all late; concurrent ones count once."""
        if self.is_paused(now_s=now_s):
            return
        self._pause_s = min(max(_FIRST_PAUSE_S, 2 * self._pause_s), _MAX_PAUSE_S)
        self._until_s = now_s + self._pause_s

    def record_decided(self) -> None:
        """Record a check that has shown which runners respond."""
        self._pause_s = 0.0
        self._until_s = 0.0
