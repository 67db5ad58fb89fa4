# SPDX-License-Identifier: MIT
"""Detects silent runners from the events of an instance's own streams.

Each event of a stream shows that all runners on its path work.  If several streams pass
through a runner, its silence is detectable before that of any single stream: the
criterion is the number of missing events.

.. versionadded:: 26.2.0
"""

from __future__ import annotations

import collections

from collections.abc import Collection, Iterable


#: Smoothing factor of the mean event gap, per event.
_GAP_SMOOTHING = 0.02
#: Missing events after which a runner counts as silent: with regular streams, a working
#: runner misses as many once in a hundred gaps.
_MISSING_EVENTS = 1.5
#: Minimum silence in mean event gaps, for any number of streams: prefill of prompts
#: delays all streams by about one gap.
_MIN_GAPS = 1.3
#: Minimum silence in seconds: covers a few round trips and late timers.
_MIN_SILENCE_S = 0.06


class SilenceDetector:
    """Detects silent runners on the paths of an instance's streams.

    Args:
        max_silence_s: The maximum time without events before a runner counts as silent,
            in seconds; also the initial value of the mean event gap.

    .. versionadded:: 26.2.0
    """

    def __init__(self, *, max_silence_s: float) -> None:
        self.max_silence_s = max_silence_s
        self.mean_gap_s = max_silence_s
        self._streams: collections.Counter[str] = collections.Counter()
        self._last_event_s: dict[str, float] = {}

    @property
    def min_silence_s(self) -> float:
        """The minimum time without events that counts as silence, in seconds."""
        min_silence_s = max(_MIN_SILENCE_S, _MIN_GAPS * self.mean_gap_s)
        return min(self.max_silence_s, min_silence_s)

    def stream_started(self, server_ids: Collection[str], *, now_s: float) -> None:
        """Record a stream's first event along a path."""
        self._streams.update(server_ids)
        self._record_event(server_ids, now_s)

    def stream_continued(
        self, server_ids: Collection[str], *, gap_s: float, now_s: float
    ) -> None:
        """Record a stream's next event along a path, and the gap before it."""
        self.mean_gap_s += _GAP_SMOOTHING * (gap_s - self.mean_gap_s)
        self._record_event(server_ids, now_s)

    def stream_ended(self, server_ids: Collection[str]) -> None:
        """Record that a started stream no longer uses a path."""
        for server_id in server_ids:
            self._streams[server_id] -= 1
            if self._streams[server_id] <= 0:
                del self._streams[server_id]

    def silent_runners(self, server_ids: Iterable[str], *, now_s: float) -> list[str]:
        """Return the runners at which too many events are missing."""
        return [
            server_id for server_id in server_ids if self._is_silent(server_id, now_s)
        ]

    def not_seen_since(self, server_ids: Iterable[str], *, since_s: float) -> list[str]:
        """Return the runners without an event since a point in time."""
        return [
            server_id
            for server_id in server_ids
            if self._last_event_s.get(server_id, 0.0) < since_s
        ]

    def forget(self, server_id: str) -> None:
        """Discard the state of a runner that is no longer listed."""
        self._last_event_s.pop(server_id, None)

    def _is_silent(self, server_id: str, now_s: float) -> bool:
        """Return whether too many events are missing at a runner."""
        silence_s = now_s - self._last_event_s.get(server_id, 0.0)
        if silence_s < self.min_silence_s:
            return False
        streams = max(1, self._streams[server_id])
        limit_s = _MISSING_EVENTS * self.mean_gap_s / streams
        return silence_s >= min(self.max_silence_s, limit_s)

    def _record_event(self, server_ids: Iterable[str], now_s: float) -> None:
        """Record the time of an event for its runners."""
        for server_id in server_ids:
            self._last_event_s[server_id] = now_s
