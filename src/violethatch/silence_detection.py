# SPDX-License-Identifier: MIT
"""Which runners are silent, as far as an instance's own streams tell.

Each event of a stream shows that all runners of its path work.  A runner through
which several streams pass is silent long before any one of them can be told to be:
what counts is how many events are missing.

.. versionadded:: 26.2.0
"""

from __future__ import annotations

import collections

from collections.abc import Collection, Iterable


#: How fast the usual time between events follows what is seen, per event.
_GAIN = 0.02
#: How many events have to be missing at a runner for it to be looked at: of streams
#: whose events come regularly, one that works misses as many in a hundred gaps.
_MISSING_EVENTS = 1.5
#: However many streams pass through it, a runner is silent only after so many usual
#: times between events: prompts that are read hold all streams up for about one.
_LEAST_GAPS = 1.3
#: The shortest silence that is looked into, in seconds: a few ways there and back,
#: and the time of day that timers are late by.
_LEAST_S = 0.06


class SilenceDetector:
    """What an instance's streams show of runners.

    Args:
        max_silence_s: How long a runner that shows nothing counts as well at
            most, in seconds; also the usual time between events until some were seen.

    .. versionadded:: 26.2.0
    """

    def __init__(self, *, max_silence_s: float) -> None:
        self.max_silence_s = max_silence_s
        self.mean_gap_s = max_silence_s
        self._streams: collections.Counter[str] = collections.Counter()
        self._seen_s: dict[str, float] = {}

    @property
    def min_silence_s(self) -> float:
        """The shortest time without events that may mean something, in seconds."""
        least_s = max(_LEAST_S, _LEAST_GAPS * self.mean_gap_s)
        return min(self.max_silence_s, least_s)

    def stream_started(self, server_ids: Collection[str], *, now_s: float) -> None:
        """Note a stream's first event along a path."""
        self._streams.update(server_ids)
        self._note(server_ids, now_s)

    def stream_continued(
        self, server_ids: Collection[str], *, gap_s: float, now_s: float
    ) -> None:
        """Note a stream's further event along a path, and the time since the last."""
        self.mean_gap_s += _GAIN * (gap_s - self.mean_gap_s)
        self._note(server_ids, now_s)

    def stream_ended(self, server_ids: Collection[str]) -> None:
        """Note that a stream that had begun no longer passes along a path."""
        for server_id in server_ids:
            self._streams[server_id] -= 1
            if self._streams[server_id] <= 0:
                del self._streams[server_id]

    def silent_runners(self, server_ids: Iterable[str], *, now_s: float) -> list[str]:
        """Return the runners of which so many events are missing that it tells."""
        return [one for one in server_ids if self._is_silent(one, now_s)]

    def not_seen_since(self, server_ids: Iterable[str], *, since_s: float) -> list[str]:
        """Return the runners that have shown nothing since a moment."""
        return [one for one in server_ids if self._seen_s.get(one, 0.0) < since_s]

    def forget(self, server_id: str) -> None:
        """Forget a runner that is no longer listed."""
        self._seen_s.pop(server_id, None)

    def _is_silent(self, server_id: str, now_s: float) -> bool:
        """Tell whether too many events are missing at a runner."""
        silence_s = now_s - self._seen_s.get(server_id, 0.0)
        if silence_s < self.min_silence_s:
            return False
        streams = max(1, self._streams[server_id])
        telling_s = _MISSING_EVENTS * self.mean_gap_s / streams
        return silence_s >= min(self.max_silence_s, telling_s)

    def _note(self, server_ids: Iterable[str], now_s: float) -> None:
        """Note that runners work."""
        for server_id in server_ids:
            self._seen_s[server_id] = now_s
