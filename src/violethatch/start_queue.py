# SPDX-License-Identifier: MIT
"""Queues streams that wait briefly for a start, for arrivals at 1.5 times the capacity.

Load pattern: for seconds, more streams arrive than the runners can start.  A short wait
bridges the time to the next free start; a long one holds memory and spends the time
that the caller needs for a retry.  A request is therefore queued only if it can start
before its limit, and is refused by then.

Requests start in the order of their priorities.  Within a priority, large and small
requests start in the proportion in which they were offered, each in the order of their
limits, so that neither size is crowded out.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import bisect
import collections
import math

from typing import NamedTuple


#: The interval at which `StartQueue.expire` is to be called.  A request whose limit
#: lies before the next call is refused at this one, so that no refusal is late.
EXPIRE_INTERVAL_S = 0.025
#: Priorities are 0 to 99; this bounds the state kept by priority.
PRIORITIES = 100
#: How many recent offers of a priority decide which requests are large: 13 lie in the
#: largest tenth, and 100 priorities hold less than 2 MB.
_RECENT_OFFERS = 128
#: The smallest number of recent offers that has a largest tenth.
_LEAST_OFFERS = 10
#: The fraction of recent offers that is not large.
_SMALL_PART = 0.9
#: Over which time starts of more urgent requests are averaged, in seconds.
_RATE_S = 0.5
#: After how many of these times the scale of rates starts anew: exp(30) is 1e13.
_MOST_SCALE = 30.0
#: By what the recent peak of sizes falls with each offer: to a quarter after 128.
_PEAK_DECAY = 0.99
#: The largest fraction of the memory that is kept free for a recent peak, so that one
#: huge request does not close the queue to others.
_MOST_SPARE_PART = 0.25


class QueuedRequest(NamedTuple):
    """A request that waits for a start.

    Times are seconds of `clocks.now_s()`.

    Attributes:
        id: Unique among the requests that wait.
        priority: 0 to 99; lower is more urgent.
        tokens: Prompt and expected answer, in tokens.
        size_bytes: The memory that it holds, in bytes.
        read_s: When the request was read.
        limit_s: The latest time in the queue: a quarter of its target after `read_s`.
        target_s: The latest time to start.

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
    """What became of a request that was offered to the queue.

    Attributes:
        is_queued: Whether it waits now; otherwise it is to be refused now.
        displaced: A request to be refused now, in favour of a more urgent one.

    .. versionadded:: 26.5.0
    """

    is_queued: bool
    displaced: QueuedRequest | None


_REFUSED = Offer(is_queued=False, displaced=None)


class _Record:
    """A recent offer of a priority."""

    __slots__ = ("group", "is_recent", "is_started", "tokens")

    def __init__(self, tokens: float, group: _Group) -> None:
        self.tokens = tokens
        self.group = group
        self.is_recent = True
        self.is_started = False


class _Place(NamedTuple):
    """Where a request waits."""

    one: QueuedRequest
    number: int
    record: _Record


class _Group:
    """The large or the small requests of one priority, in the order of their limits."""

    __slots__ = ("entries", "offered", "started")

    def __init__(self) -> None:
        #: Limit, number of the offer, place; sorted.
        self.entries: list[tuple[float, int, _Place]] = []
        #: How many of the recent offers were of this group, and started.
        self.offered = 0
        self.started = 0

    def first(self, now_s: float) -> int:
        """Return the index of the first request that is not past its limit."""
        if not self.entries or self.entries[0][0] >= now_s:
            return 0
        return bisect.bisect_left(self.entries, (now_s,))

    def served(self, more: int = 0) -> float:
        """Return the part of recent offers that is started after some more starts.

        Half a start is added (Webster's method), which favours neither group.
        """
        return (self.started + more + 0.5) / max(1, self.offered)


class _Lane:
    """The requests of one priority."""

    __slots__ = (
        "large",
        "recent",
        "scaled_rate",
        "small",
        "sorted_tokens",
        "waiting",
    )

    def __init__(self) -> None:
        self.small = _Group()
        self.large = _Group()
        self.recent: collections.deque[_Record] = collections.deque()
        self.sorted_tokens: list[float] = []
        #: How many requests wait, those past their limits included.
        self.waiting = 0
        #: Recent starts per second, times the scale of the queue.
        self.scaled_rate = 0.0

    def classify(self, tokens: float) -> _Record:
        """Count an offer, and return it with the group that it belongs to."""
        count = len(self.recent)
        is_large = (
            count >= _LEAST_OFFERS
            and tokens > self.sorted_tokens[math.ceil(_SMALL_PART * count) - 1]
        )
        if count == _RECENT_OFFERS:
            old = self.recent.popleft()
            old.is_recent = False
            old.group.offered -= 1
            old.group.started -= old.is_started
            del self.sorted_tokens[bisect.bisect_left(self.sorted_tokens, old.tokens)]
        record = _Record(tokens, self.large if is_large else self.small)
        record.group.offered += 1
        self.recent.append(record)
        bisect.insort(self.sorted_tokens, tokens)
        return record

    def ahead(self, group: _Group, limit_s: float, now_s: float) -> int:
        """Return how many requests start before a new one of a group."""
        rank = bisect.bisect_right(group.entries, (limit_s, math.inf))
        rank = max(0, rank - group.first(now_s))
        other = self.small if group is self.large else self.large
        waiting = len(other.entries) - other.first(now_s)
        # The other group starts until the served parts are even.
        lead = group.served(rank) - other.served()
        return rank + min(waiting, max(0, math.ceil(lead * max(1, other.offered))))

    def live(self, now_s: float) -> int:
        """Return how many requests are not past their limits."""
        groups = (self.small, self.large)
        return sum(len(one.entries) - one.first(now_s) for one in groups)

    def first(self, now_s: float) -> _Place | None:
        """Return the place of the request to start now."""
        chosen: tuple[float, float, int, _Place] | None = None
        for group in (self.small, self.large):
            index = group.first(now_s)
            if index < len(group.entries):
                limit_s, number, place = group.entries[index]
                rank = (group.served(), limit_s, number, place)
                chosen = rank if chosen is None else min(chosen, rank)
        return chosen[3] if chosen is not None else None

    def start(self, now_s: float) -> QueuedRequest | None:
        """Choose the request to start now, and count it in its group."""
        place = self.first(now_s)
        if place is None:
            return None
        one, _, record = place
        record.is_started = True
        record.group.started += record.is_recent
        return one

    def last(self) -> QueuedRequest:
        """Return the request with the latest limit."""
        groups = (self.small.entries, self.large.entries)
        return max(one[-1] for one in groups if one)[2].one


class StartQueue:
    """The requests of one service that wait for a start at one instance.

    Lists are kept sorted: a search takes logarithmic time, and an insertion or removal
    then moves up to 8 bytes for each of the waiting requests.

    Args:
        max_requests: How many requests wait at most.
        max_bytes: How many bytes they hold at most.

    Raises:
        ValueError: A bound is below 1.

    .. versionadded:: 26.5.0
    """

    def __init__(self, *, max_requests: int, max_bytes: int) -> None:
        self._set_bounds(max_requests, max_bytes)
        self._lanes: dict[int, _Lane] = {}
        #: The priorities of the lanes, the most urgent first.
        self._priorities: list[int] = []
        self._places: dict[str, _Place] = {}
        #: When the requests were read, and the numbers of their offers; sorted.
        self._reads: list[tuple[float, int]] = []
        #: Their limits, the numbers of their offers, and their ids; sorted.
        self._limits: list[tuple[float, int, str]] = []
        #: From when on the scale of rates grows.
        self._scale_from_s = 0.0
        self._offers = 0
        self._size_bytes = 0
        self._peak_bytes = 0.0

    def __len__(self) -> int:
        return len(self._places)

    @property
    def size_bytes(self) -> int:
        """The memory that the waiting requests hold, in bytes.

        .. versionadded:: 26.5.0
        """
        return self._size_bytes

    def oldest_wait_s(self, now_s: float) -> float:
        """Return how long ago the oldest waiting request was read; 0 if none waits.

        Args:
            now_s: The current time, in seconds.

        .. versionadded:: 26.5.0
        """
        return max(0.0, now_s - self._reads[0][0]) if self._reads else 0.0

    def offer(self, one: QueuedRequest, *, starts_per_s: float, now_s: float) -> Offer:
        """Queue a request if it can start before its limit and there is memory for it.

        Args:
            one: The request.  One whose id waits already is refused.
            starts_per_s: Starts per second that the queue is served with.
            now_s: The current time, in seconds.

        Raises:
            ValueError: The priority is not within 0 to 99.

        .. versionadded:: 26.5.0
        """
        lane = self._lane(one.priority)
        record = lane.classify(one.tokens)
        self._peak_bytes = max(_PEAK_DECAY * self._peak_bytes, one.size_bytes)
        if one.id in self._places:
            return _REFUSED
        if not self._can_start(one, lane, record.group, starts_per_s, now_s):
            return _REFUSED
        displaced = None
        if not self._has_memory(one):
            displaced = self._less_urgent(one.priority)
            if displaced is None:
                return _REFUSED
            left_bytes = self._size_bytes - displaced.size_bytes
            if left_bytes + one.size_bytes > self._most_bytes:
                return _REFUSED
            self._drop(displaced.id)
        self._offers += 1
        place = _Place(one, self._offers, record)
        bisect.insort(record.group.entries, (one.limit_s, place.number, place))
        bisect.insort(self._reads, (one.read_s, place.number))
        bisect.insort(self._limits, (one.limit_s, place.number, one.id))
        lane.waiting += 1
        self._places[one.id] = place
        self._size_bytes += one.size_bytes
        return Offer(is_queued=True, displaced=displaced)

    def firsts(self, *, now_s: float) -> list[QueuedRequest]:
        """Return the next request of each priority, the most urgent first.

        Args:
            now_s: The current time, in seconds.

        .. versionadded:: 26.5.0
        """
        lanes = (self._lanes[priority] for priority in self._priorities)
        places = (lane.first(now_s) for lane in lanes if lane.waiting)
        return [place.one for place in places if place is not None]

    def next(
        self, *, now_s: float, priority: int | None = None
    ) -> QueuedRequest | None:
        """Take out the request to start now; None if there is none.

        Requests past their limits are left to `expire`.

        Args:
            now_s: The current time, in seconds.
            priority: Whose next request is taken; None: the most urgent that waits.

        .. versionadded:: 26.5.0
        """
        for other in self._priorities:
            if priority is not None and other != priority:
                continue
            lane = self._lanes[other]
            one = lane.start(now_s) if lane.waiting else None
            if one is not None:
                self._drop(one.id)
                # The scale first: it may start anew.
                scale = self._scale(now_s)
                lane.scaled_rate += scale / _RATE_S
                return one
        return None

    def expire(self, *, now_s: float) -> list[QueuedRequest]:
        """Take out the requests whose limits are before the next call.

        To be called every `EXPIRE_INTERVAL_S`.

        Args:
            now_s: The current time, in seconds.

        Returns:
            The requests, to be refused now.

        .. versionadded:: 26.5.0
        """
        count = bisect.bisect_left(self._limits, (now_s + EXPIRE_INTERVAL_S,))
        expired = [self._places[entry[2]].one for entry in self._limits[:count]]
        for one in reversed(expired):
            self._drop(one.id)
        return expired

    def remove(self, id: str) -> None:  # noqa: A002
        """Take out a request whose caller has disconnected; nothing if it is unknown.

        Args:
            id: The request's id.

        .. versionadded:: 26.5.0
        """
        if id in self._places:
            self._drop(id)

    def resize(self, *, max_requests: int, max_bytes: int) -> list[QueuedRequest]:
        """Change the bounds, and take out what no longer fits.

        Args:
            max_requests: How many requests wait at most.
            max_bytes: How many bytes they hold at most.

        Returns:
            The requests to be refused now, the least urgent first.

        Raises:
            ValueError: A bound is below 1.

        .. versionadded:: 26.5.0
        """
        self._set_bounds(max_requests, max_bytes)
        refused: list[QueuedRequest] = []
        while len(self) > max_requests or self._size_bytes > max_bytes:
            last = self._less_urgent(-1)
            if last is None:
                break
            self._drop(last.id)
            refused.append(last)
        return refused

    def _set_bounds(self, most_requests: int, most_bytes: int) -> None:
        """Check and set the bounds."""
        if most_requests < 1 or most_bytes < 1:
            raise ValueError("a queue's bounds are at least 1")
        self._most_requests = most_requests
        self._most_bytes = most_bytes

    def _lane(self, priority: int) -> _Lane:
        """Return the lane of a priority, made on its first use."""
        lane = self._lanes.get(priority)
        if lane is None:
            if not 0 <= priority < PRIORITIES:
                raise ValueError(f"priority {priority} is not within 0 to 99")
            lane = self._lanes[priority] = _Lane()
            bisect.insort(self._priorities, priority)
        return lane

    def _can_start(
        self,
        one: QueuedRequest,
        lane: _Lane,
        group: _Group,
        starts_per_s: float,
        now_s: float,
    ) -> bool:
        """Tell whether a request can start before it would be expired.

        Starts that more urgent requests took recently are not counted on.  With nobody
        ahead a request is queued whatever they took: it uses a gap between them.
        """
        left_s = min(one.limit_s, one.target_s) - EXPIRE_INTERVAL_S - now_s
        # The negation refuses a time that is not a number as well.
        if not (left_s >= 0.0 and starts_per_s > 0.0):
            return False
        ahead = lane.ahead(group, one.limit_s, now_s)
        scale = self._scale(now_s)
        scaled_rate = 0.0
        # Only after a pause do requests past their limits have to be left out.
        has_late = bool(self._limits) and self._limits[0][0] < now_s
        for priority in self._priorities:
            if priority >= one.priority:
                break
            urgent = self._lanes[priority]
            scaled_rate += urgent.scaled_rate
            ahead += urgent.live(now_s) if has_late else urgent.waiting
        left_per_s = starts_per_s - scaled_rate / scale
        return ahead <= left_s * max(0.0, left_per_s)

    def _scale(self, now_s: float) -> float:
        """Return by what rates are multiplied now.

        The scale grows where rates would decay, so that a decision does not have to
        update the rate of each priority.
        """
        passed = max(0.0, now_s - self._scale_from_s) / _RATE_S
        if passed > _MOST_SCALE:
            for lane in self._lanes.values():
                lane.scaled_rate *= math.exp(-passed)
            self._scale_from_s = now_s
            passed = 0.0
        return math.exp(passed)

    def _has_memory(self, one: QueuedRequest) -> bool:
        """Tell whether a request fits without displacing another.

        Room for a recent peak is kept free whatever the request's own size: small
        requests that fill each gap would keep large ones out.
        """
        spare_bytes = min(self._peak_bytes, _MOST_SPARE_PART * self._most_bytes)
        needed_bytes = max(one.size_bytes, spare_bytes)
        return (
            len(self) < self._most_requests
            and self._size_bytes + needed_bytes <= self._most_bytes
        )

    def _less_urgent(self, priority: int) -> QueuedRequest | None:
        """Return the last of the least urgent requests, if less urgent than given."""
        for other in reversed(self._priorities):
            if other <= priority:
                break
            if self._lanes[other].waiting:
                return self._lanes[other].last()
        return None

    def _drop(self, id: str) -> None:  # noqa: A002
        """Take out a request that waits."""
        one, number, record = self._places.pop(id)
        entries = record.group.entries
        del entries[bisect.bisect_left(entries, (one.limit_s, number))]
        del self._reads[bisect.bisect_left(self._reads, (one.read_s, number))]
        del self._limits[bisect.bisect_left(self._limits, (one.limit_s, number))]
        self._lanes[one.priority].waiting -= 1
        self._size_bytes -= one.size_bytes
