# SPDX-License-Identifier: MIT
"""Queues streams that wait briefly for a start, for arrivals at 1.5 times the capacity.

Load pattern: for seconds, more streams arrive than the runners can start.  A short wait
bridges the time to the next free start; a long one holds memory and uses up the time
that the caller needs for a retry.  A request is therefore queued only if it can start
before its limit, and is rejected at the latest at that time.

Requests start in the order of their priorities.  Within a priority, large and small
requests start in the proportion in which they were offered, each in the order of their
limits, so that neither size starves the other.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import bisect
import collections
import math

from typing import NamedTuple


#: The interval at which `StartQueue.expire` is to be called.  A request whose limit
#: lies before the next call is rejected at this one, so that no rejection is late.
EXPIRE_INTERVAL_S = 0.025
#: The number of priorities, 0 to 99: bounds the state per priority.
PRIORITIES = 100
#: The number of recent offers per priority that determine which requests are large: 13
#: are in the largest tenth, and 100 priorities use less than 2 MB.
_RECENT_OFFERS = 128
#: The minimum number of recent offers that has a largest tenth.
_MIN_OFFERS = 10
#: The fraction of recent offers that is not large.
_SMALL_FRACTION = 0.9
#: The time constant of the averaged rate of more urgent starts, in seconds.
_RATE_TIME_CONSTANT_S = 0.5
#: The number of time constants after which the scale of rates is reset: exp(30) is
#: 1e13.
_MAX_SCALE_EXPONENT = 30.0
#: The decay of the recent peak size per offer: to a quarter after 128 offers.
_PEAK_DECAY = 0.99
#: The maximum fraction of the memory that is kept free for a recent peak, so that a
#: single huge request does not block the queue for others.
_MAX_SPARE_FRACTION = 0.25


class QueuedRequest(NamedTuple):
    """A request to queue for a start.

    Times are seconds of `clocks.now_s()`.

    Attributes:
        id: Unique among the queued requests.
        priority: 0 to 99; lower is more urgent.
        tokens: Prompt and expected response, in tokens.
        size_bytes: The memory that it occupies, in bytes.
        read_s: When the request was read.
        limit_s: The end of its time in the queue: a quarter of its target after
            `read_s`.
        target_s: The start deadline.

    .. versionadded:: 26.5.0
    """

    id: str
    priority: int
    tokens: float
    size_bytes: int
    read_s: float
    limit_s: float
    target_s: float


class Offer(NamedTuple):
    """The result of offering a request to the queue.

    Attributes:
        is_queued: Whether it is queued; otherwise it must be rejected now.
        displaced: A request to reject now in favour of a more urgent one.

    .. versionadded:: 26.5.0
    """

    is_queued: bool
    displaced: QueuedRequest | None


_REFUSED = Offer(is_queued=False, displaced=None)


class _RecentOffer:
    """A recent offer of a priority."""

    __slots__ = ("group", "is_recent", "is_started", "tokens")

    def __init__(self, tokens: float, group: _SizeGroup) -> None:
        self.tokens = tokens
        self.group = group
        self.is_recent = True
        self.is_started = False


class _Entry(NamedTuple):
    """A queued request with its offer."""

    request: QueuedRequest
    number: int
    record: _RecentOffer


class _SizeGroup:
    """The large or the small requests of one priority, in the order of their limits."""

    __slots__ = ("entries", "offered", "started")

    def __init__(self) -> None:
        #: Limit, offer number, entry; sorted.
        self.entries: list[tuple[float, int, _Entry]] = []
        #: Recent offers to this group, and how many of them have started.
        self.offered = 0
        self.started = 0

    def first_index(self, now_s: float) -> int:
        """Return the index of the first unexpired request."""
        if not self.entries or self.entries[0][0] >= now_s:
            return 0
        return bisect.bisect_left(self.entries, (now_s,))

    def served_fraction(self, more: int = 0) -> float:
        """Return the fraction of recent offers started after *more* further starts.

        Half a start is added (Webster's method), which is unbiased between the groups.
        """
        return (self.started + more + 0.5) / max(1, self.offered)


class _PriorityQueue:
    """The queued requests of one priority."""

    __slots__ = (
        "large",
        "recent",
        "scaled_rate",
        "small",
        "sorted_tokens",
        "waiting",
    )

    def __init__(self) -> None:
        self.small = _SizeGroup()
        self.large = _SizeGroup()
        self.recent: collections.deque[_RecentOffer] = collections.deque()
        self.sorted_tokens: list[float] = []
        #: The number of queued requests, including expired ones.
        self.waiting = 0
        #: Recent starts per second, times the scale of the queue.
        self.scaled_rate = 0.0

    def classify(self, tokens: float) -> _RecentOffer:
        """Record an offer and assign it to a group."""
        count = len(self.recent)
        is_large = (
            count >= _MIN_OFFERS
            and tokens > self.sorted_tokens[math.ceil(_SMALL_FRACTION * count) - 1]
        )
        if count == _RECENT_OFFERS:
            oldest = self.recent.popleft()
            oldest.is_recent = False
            oldest.group.offered -= 1
            oldest.group.started -= oldest.is_started
            del self.sorted_tokens[
                bisect.bisect_left(self.sorted_tokens, oldest.tokens)
            ]
        record = _RecentOffer(tokens, self.large if is_large else self.small)
        record.group.offered += 1
        self.recent.append(record)
        bisect.insort(self.sorted_tokens, tokens)
        return record

    def count_ahead(self, group: _SizeGroup, limit_s: float, now_s: float) -> int:
        """Return the number of requests that start before a new one of a group."""
        rank = bisect.bisect_right(group.entries, (limit_s, math.inf))
        rank = max(0, rank - group.first_index(now_s))
        other = self.small if group is self.large else self.large
        waiting = len(other.entries) - other.first_index(now_s)
        # The other group starts until the served fractions are equal.
        lead = group.served_fraction(rank) - other.served_fraction()
        return rank + min(waiting, max(0, math.ceil(lead * max(1, other.offered))))

    def count_unexpired(self, now_s: float) -> int:
        """Return the number of unexpired requests."""
        groups = (self.small, self.large)
        return sum(len(group.entries) - group.first_index(now_s) for group in groups)

    def next_entry(self, now_s: float) -> _Entry | None:
        """Return the entry of the request to start now."""
        best: tuple[float, float, int, _Entry] | None = None
        for group in (self.small, self.large):
            index = group.first_index(now_s)
            if index < len(group.entries):
                limit_s, number, entry = group.entries[index]
                rank = (group.served_fraction(), limit_s, number, entry)
                best = rank if best is None else min(best, rank)
        return best[3] if best is not None else None

    def start_next(self, now_s: float) -> QueuedRequest | None:
        """Return the request to start now, and record its start in its group."""
        entry = self.next_entry(now_s)
        if entry is None:
            return None
        request, _, record = entry
        record.is_started = True
        record.group.started += record.is_recent
        return request

    def last_request(self) -> QueuedRequest:
        """Return the request with the latest limit."""
        groups = (self.small.entries, self.large.entries)
        return max(entries[-1] for entries in groups if entries)[2].request


class StartQueue:
    """The requests of one service that wait for a start at one instance.

    Lists are sorted: a search takes logarithmic time, and an insertion or removal
    then moves up to 8 bytes for each queued request.

    Args:
        max_requests: The maximum number of queued requests.
        max_bytes: The maximum memory that they occupy, in bytes.

    Raises:
        ValueError: A bound is below 1.

    .. versionadded:: 26.5.0
    """

    def __init__(self, *, max_requests: int, max_bytes: int) -> None:
        self._set_bounds(max_requests, max_bytes)
        self._queues: dict[int, _PriorityQueue] = {}
        #: The priorities of the queues, in order of urgency.
        self._priorities: list[int] = []
        self._entries: dict[str, _Entry] = {}
        #: Read times and offer numbers of the requests; sorted.
        self._read_times: list[tuple[float, int]] = []
        #: Limits, offer numbers and ids of the requests; sorted.
        self._limits: list[tuple[float, int, str]] = []
        #: The time at which the scale of rates was 1.
        self._scale_start_s = 0.0
        self._offers = 0
        self._size_bytes = 0
        self._peak_bytes = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def size_bytes(self) -> int:
        """The memory that the queued requests occupy, in bytes.

        .. versionadded:: 26.5.0
        """
        return self._size_bytes

    def oldest_wait_s(self, now_s: float) -> float:
        """Return the time since the first read of a queued request; 0 if empty.

        Args:
            now_s: The current time, in seconds.

        .. versionadded:: 26.5.0
        """
        return max(0.0, now_s - self._read_times[0][0]) if self._read_times else 0.0

    def offer(
        self, request: QueuedRequest, *, starts_per_s: float, now_s: float
    ) -> Offer:
        """Queue a request if it can start before its limit and memory is available.

        Args:
            request: The request.  A duplicate id is rejected.
            starts_per_s: The starts per second that the queue receives.
            now_s: The current time, in seconds.

        Raises:
            ValueError: The priority is not within 0 to 99.

        .. versionadded:: 26.5.0
        """
        queue = self._queue_for(request.priority)
        record = queue.classify(request.tokens)
        self._peak_bytes = max(_PEAK_DECAY * self._peak_bytes, request.size_bytes)
        if request.id in self._entries:
            return _REFUSED
        if not self._can_start(request, queue, record.group, starts_per_s, now_s):
            return _REFUSED
        displaced = None
        if not self._has_memory(request):
            displaced = self._last_less_urgent(request.priority)
            if displaced is None:
                return _REFUSED
            remaining_bytes = self._size_bytes - displaced.size_bytes
            if remaining_bytes + request.size_bytes > self._max_bytes:
                return _REFUSED
            self._discard(displaced.id)
        self._offers += 1
        entry = _Entry(request, self._offers, record)
        bisect.insort(record.group.entries, (request.limit_s, entry.number, entry))
        bisect.insort(self._read_times, (request.read_s, entry.number))
        bisect.insort(self._limits, (request.limit_s, entry.number, request.id))
        queue.waiting += 1
        self._entries[request.id] = entry
        self._size_bytes += request.size_bytes
        return Offer(is_queued=True, displaced=displaced)

    def firsts(self, *, now_s: float) -> list[QueuedRequest]:
        """Return the next request of each priority, in order of urgency.

        Args:
            now_s: The current time, in seconds.

        .. versionadded:: 26.5.0
        """
        queues = (self._queues[priority] for priority in self._priorities)
        entries = (queue.next_entry(now_s) for queue in queues if queue.waiting)
        return [entry.request for entry in entries if entry is not None]

    def next(
        self, *, now_s: float, priority: int | None = None
    ) -> QueuedRequest | None:
        """Remove and return the request to start now; None if there is none.

        Expired requests are removed by `expire`.

        Args:
            now_s: The current time, in seconds.
            priority: The priority of the request; None for the most urgent one queued.

        .. versionadded:: 26.5.0
        """
        for other in self._priorities:
            if priority is not None and other != priority:
                continue
            queue = self._queues[other]
            request = queue.start_next(now_s) if queue.waiting else None
            if request is not None:
                self._discard(request.id)
                # Computed before the rate is read, since it may reset the rates.
                scale = self._scale(now_s)
                queue.scaled_rate += scale / _RATE_TIME_CONSTANT_S
                return request
        return None

    def expire(self, *, now_s: float) -> list[QueuedRequest]:
        """Remove the requests whose limits are before the next call.

        Must be called every `EXPIRE_INTERVAL_S`.

        Args:
            now_s: The current time, in seconds.

        Returns:
            The requests to reject now.

        .. versionadded:: 26.5.0
        """
        count = bisect.bisect_left(self._limits, (now_s + EXPIRE_INTERVAL_S,))
        expired = [self._entries[entry[2]].request for entry in self._limits[:count]]
        for request in reversed(expired):
            self._discard(request.id)
        return expired

    def remove(self, id: str) -> None:  # noqa: A002
        """Remove a request whose caller has disconnected; ignore unknown ids.

        Args:
            id: The request's id.

        .. versionadded:: 26.5.0
        """
        if id in self._entries:
            self._discard(id)

    def resize(self, *, max_requests: int, max_bytes: int) -> list[QueuedRequest]:
        """Change the bounds, and remove the requests that exceed them.

        Args:
            max_requests: The maximum number of queued requests.
            max_bytes: The maximum memory that they occupy, in bytes.

        Returns:
            The requests to reject now, in reverse order of urgency.

        Raises:
            ValueError: A bound is below 1.

        .. versionadded:: 26.5.0
        """
        self._set_bounds(max_requests, max_bytes)
        rejected: list[QueuedRequest] = []
        while len(self) > max_requests or self._size_bytes > max_bytes:
            last = self._last_less_urgent(-1)
            if last is None:
                break
            self._discard(last.id)
            rejected.append(last)
        return rejected

    def _set_bounds(self, max_requests: int, max_bytes: int) -> None:
        """Check and set the bounds."""
        if max_requests < 1 or max_bytes < 1:
            raise ValueError("a queue's bounds are at least 1")
        self._max_requests = max_requests
        self._max_bytes = max_bytes

    def _queue_for(self, priority: int) -> _PriorityQueue:
        """Return the queue of a priority, created on first use."""
        queue = self._queues.get(priority)
        if queue is None:
            if not 0 <= priority < PRIORITIES:
                raise ValueError(f"priority {priority} is not within 0 to 99")
            queue = self._queues[priority] = _PriorityQueue()
            bisect.insort(self._priorities, priority)
        return queue

    def _can_start(
        self,
        request: QueuedRequest,
        queue: _PriorityQueue,
        group: _SizeGroup,
        starts_per_s: float,
        now_s: float,
    ) -> bool:
        """Return whether a request can start before it would expire.

        The recent rate of more urgent starts is subtracted from the available rate.
        A request with none ahead is queued regardless: it uses a gap between them.
        """
        left_s = min(request.limit_s, request.target_s) - EXPIRE_INTERVAL_S - now_s
        # The negated condition rejects NaN as well.
        if not (left_s >= 0.0 and starts_per_s > 0.0):
            return False
        ahead = queue.count_ahead(group, request.limit_s, now_s)
        scale = self._scale(now_s)
        scaled_rate = 0.0
        # Expired requests have to be excluded only after a pause of the process.
        has_expired = bool(self._limits) and self._limits[0][0] < now_s
        for priority in self._priorities:
            if priority >= request.priority:
                break
            urgent = self._queues[priority]
            scaled_rate += urgent.scaled_rate
            ahead += urgent.count_unexpired(now_s) if has_expired else urgent.waiting
        remaining_per_s = starts_per_s - scaled_rate / scale
        return ahead <= left_s * max(0.0, remaining_per_s)

    def _scale(self, now_s: float) -> float:
        """Return the current scale factor of the rates.

        The scale grows instead of the rates decaying, so that a decision does not have
        to update the rate of each priority.
        """
        elapsed = max(0.0, now_s - self._scale_start_s) / _RATE_TIME_CONSTANT_S
        if elapsed > _MAX_SCALE_EXPONENT:
            for queue in self._queues.values():
                queue.scaled_rate *= math.exp(-elapsed)
            self._scale_start_s = now_s
            elapsed = 0.0
        return math.exp(elapsed)

    def _has_memory(self, request: QueuedRequest) -> bool:
        """Return whether a request fits without displacing another.

        Memory for a recent peak is kept free regardless of the request's own size:
        otherwise small requests would fill each gap, and large ones would starve.
        """
        spare_bytes = min(self._peak_bytes, _MAX_SPARE_FRACTION * self._max_bytes)
        needed_bytes = max(request.size_bytes, spare_bytes)
        return (
            len(self) < self._max_requests
            and self._size_bytes + needed_bytes <= self._max_bytes
        )

    def _last_less_urgent(self, priority: int) -> QueuedRequest | None:
        """Return the last of the least urgent requests that are below a priority."""
        for other in reversed(self._priorities):
            if other <= priority:
                break
            if self._queues[other].waiting:
                return self._queues[other].last_request()
        return None

    def _discard(self, id: str) -> None:  # noqa: A002
        """Remove a queued request."""
        request, number, record = self._entries.pop(id)
        entries = record.group.entries
        del entries[bisect.bisect_left(entries, (request.limit_s, number))]
        del self._read_times[
            bisect.bisect_left(self._read_times, (request.read_s, number))
        ]
        del self._limits[bisect.bisect_left(self._limits, (request.limit_s, number))]
        self._queues[request.priority].waiting -= 1
        self._size_bytes -= request.size_bytes
