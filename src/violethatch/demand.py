# SPDX-License-Identifier: MIT
"""Counts what callers ask for, by priority and workspace, under surges of a few.

While runners can't take all that is offered, an instance has to know what all
instances are offered, and which workspaces it comes from.  Each counts its own
offers over one second in bounded memory; the counts are added along the tree of
instances (`load_sums`), in which only the heaviest workspaces are named.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import collections
import heapq
import struct

from collections.abc import Hashable, Iterable, Mapping
from typing import NamedTuple, TypeVar


#: Over how long offers are counted, in seconds.
WINDOW_S = 1.0
#: The most keys in a datagram: three services of four priorities each.
MAX_SENT_KEYS = 12
#: The most workspaces in a datagram, over all keys.
MAX_SENT_WORKSPACES = 8
#: The most workspaces in a sum: one that is ninth at each of three children and at
#: the instance itself still counts in their sum.
MAX_SUMMED_WORKSPACES = 32
#: The most keys in a sum: five neighbours' datagrams, and some of the instance's own.
MOST_KEYS_KEPT = 64
#: How many neighbours are told workspaces in a tick.
_MOST_TOLD_HEAVIEST = 2
#: How many entries a slice's counts are reduced to; a rate is too low by at most one
#: part in this number plus one of all offers, and exact with fewer different ones.
COUNTS_KEPT = 128
#: How many entries a slice's counts may have before they are reduced, so that
#: reducing them costs little per offer.
_MOST_COUNTS = 2 * COUNTS_KEPT
#: The window moves in slices of an eighth of a second, half of a tick of the sums.
_SLICES_PER_S = 8
_WINDOW_SLICES = round(WINDOW_S * _SLICES_PER_S)

#: The priority under which a service's running streams are summed, beside offers:
#: sums of streams by server are told in turn, and lag where there are many servers.
RUNNING = 255
#: Rates are sent in eighths per second.
_UNITS_PER_S = 8
_MOST_UNITS = 0xFFFF
_MOST_RATE_PER_S = _MOST_UNITS / _UNITS_PER_S
#: A key: service, priority, rate.
_KEY = struct.Struct("<IBH")
#: A heavy workspace: service, priority, workspace, rate.
_HEAVY = struct.Struct("<IBIH")
#: The number of keys.
_COUNT_BYTES = 1
#: The most bytes of a packed demand.
MAX_ENCODED_BYTES = (
    _COUNT_BYTES + MAX_SENT_KEYS * _KEY.size + MAX_SENT_WORKSPACES * _HEAVY.size
)

_Item = TypeVar("_Item", bound=Hashable)
_Ordered = TypeVar("_Ordered", "DemandKey", "tuple[DemandKey, int]")


class DemandKey(NamedTuple):
    """What demand is counted by.

    Attributes:
        service: The number of the service, `load_sums.server_number` of its name.
        priority: The urgency, 0 to 99; lower is more urgent.

    .. versionadded:: 26.5.0
    """

    service: int
    priority: int


class Demand(NamedTuple):
    """What one or several instances are offered.

    Attributes:
        offers_per_s: By key, all offers per second.
        heaviest_per_s: By key and number of the workspace, the offers per second of
            the heaviest workspaces.

    .. versionadded:: 26.5.0
    """

    offers_per_s: Mapping[DemandKey, float]
    heaviest_per_s: Mapping[tuple[DemandKey, int], float]


#: What is offered where no service is governed.
NO_DEMAND = Demand({}, {})


def total_demand(parts: Iterable[Demand]) -> Demand:
    """Return the sum of some demands, with the heaviest entries of it.

    .. versionadded:: 26.5.0
    """
    loaded = [part for part in parts if part.offers_per_s or part.heaviest_per_s]
    if not loaded:
        return NO_DEMAND
    if len(loaded) == 1:
        return loaded[0]
    offers_per_s: dict[DemandKey, float] = {}
    heaviest_per_s: dict[tuple[DemandKey, int], float] = {}
    for part in loaded:
        for key, rate in part.offers_per_s.items():
            offers_per_s[key] = offers_per_s.get(key, 0.0) + rate
        for entry, rate in part.heaviest_per_s.items():
            heaviest_per_s[entry] = heaviest_per_s.get(entry, 0.0) + rate
    return _limited(offers_per_s, heaviest_per_s)


def encode_demand(demand: Demand, *, max_bytes: int = MAX_ENCODED_BYTES) -> bytes:
    """Return a demand as bytes; without offers there are none.

    Args:
        demand: What is to be packed; rates are rounded to eighths per second, at most
            8,191.875, and what rounds to 0 is left out.
        max_bytes: What must not be exceeded.  Keys go before workspaces, of both the
            largest first.

    .. versionadded:: 26.5.0
    """
    left_bytes = max_bytes - _COUNT_BYTES
    most_keys = min(MAX_SENT_KEYS, left_bytes // _KEY.size)
    keys = _sendable(demand.offers_per_s, most=most_keys)
    left_bytes -= len(keys) * _KEY.size
    most_heaviest = min(MAX_SENT_WORKSPACES, left_bytes // _HEAVY.size)
    heaviest = _sendable(demand.heaviest_per_s, most=most_heaviest)
    if not keys and not heaviest:
        return b""
    parts = [bytes([len(keys)])]
    parts += [_KEY.pack(*key, units) for key, units in keys]
    parts += [
        _HEAVY.pack(*key, workspace, units) for (key, workspace), units in heaviest
    ]
    return b"".join(parts)


def decode_demand(data: bytes) -> Demand:
    """Return a demand from bytes; without any nothing is offered.

    Raises:
        ValueError: They are incomplete, or more than a datagram may hold.

    .. versionadded:: 26.5.0
    """
    if not data:
        return NO_DEMAND
    heaviest_start = _COUNT_BYTES + data[0] * _KEY.size
    heaviest_bytes = len(data) - heaviest_start
    if heaviest_bytes < 0 or heaviest_bytes % _HEAVY.size:
        msg = f"{len(data)} bytes with {data[0]} keys are no complete demand"
        raise ValueError(msg)
    if data[0] > MAX_SENT_KEYS or heaviest_bytes > MAX_SENT_WORKSPACES * _HEAVY.size:
        msg = f"{len(data)} bytes with {data[0]} keys are too large a demand"
        raise ValueError(msg)
    keys = _KEY.iter_unpack(data[_COUNT_BYTES:heaviest_start])
    heaviest = _HEAVY.iter_unpack(data[heaviest_start:])
    return Demand(
        {
            DemandKey(service, priority): units / _UNITS_PER_S
            for service, priority, units in keys
        },
        {
            (DemandKey(service, priority), workspace): units / _UNITS_PER_S
            for service, priority, workspace, units in heaviest
        },
    )


class DemandFeed:
    """Packs demand for neighbours, whose datagrams share a number of bytes.

    Keys go into each datagram, workspaces to one neighbour at a time, in turn: all
    that are sent fit into it, where a part of them in each datagram would lose the
    smaller ones along the tree.  Offers without workspaces leave a neighbour with
    those that it was told before.

    .. versionadded:: 26.5.0
    """

    def __init__(self) -> None:
        self._round = 0
        #: The round in which a neighbour was last told workspaces.
        self._told_rounds: dict[str, int] = {}

    def pack(
        self, demands: Mapping[str, Demand], *, most_bytes: int
    ) -> dict[str, bytes]:
        """Return what to tell each neighbour.

        Args:
            demands: By neighbour, what is to be told.
            most_bytes: What all of it must not exceed.

        .. versionadded:: 26.5.0
        """
        if not demands:
            return {}
        self._round += 1
        each_bytes = most_bytes // len(demands)
        told = {
            one: encode_demand(Demand(demand.offers_per_s, {}), max_bytes=each_bytes)
            for one, demand in demands.items()
        }
        offered = [one for one, data in told.items() if data]
        offered.sort(key=lambda one: self._told_rounds.get(one, 0))
        left_bytes = most_bytes - sum(map(len, told.values()))
        for one in offered[:_MOST_TOLD_HEAVIEST]:
            self._told_rounds[one] = self._round
            offers_bytes = len(told[one])
            told[one] = encode_demand(demands[one], max_bytes=offers_bytes + left_bytes)
            left_bytes -= len(told[one]) - offers_bytes
        return told

    def forget(self, neighbour: str) -> None:
        """Forget who is no longer a neighbour.

        .. versionadded:: 26.5.0
        """
        self._told_rounds.pop(neighbour, None)


class _Slice:
    """The offers of an eighth of a second."""

    __slots__ = ("by_key", "by_workspace", "index")

    def __init__(self, index: int) -> None:
        self.index = index
        self.by_key: dict[DemandKey, int] = {}
        self.by_workspace: dict[tuple[DemandKey, int], int] = {}


class DemandCounter:
    """Counts an instance's own offers over the last second.

    Counts are kept by slice of an eighth of a second, in bounded memory.  A rate is
    never too high, and too low by at most the rate of all offers divided by
    `COUNTS_KEPT` + 1 (Misra and Gries); it is exact while no slice has more than twice
    `COUNTS_KEPT` different entries.  Of the slice that is partly older than a second,
    the part that is not is counted.

    .. versionadded:: 26.5.0
    """

    def __init__(self) -> None:
        self._slices: collections.deque[_Slice] = collections.deque()
        self._newest = _Slice(-1)

    def record_offer(self, key: DemandKey, workspace: int, *, now_s: float) -> None:
        """Count an offer.

        Args:
            key: Its service and priority.
            workspace: The number of its workspace.
            now_s: The current monotonic time, in seconds.

        .. versionadded:: 26.5.0
        """
        index = int(now_s * _SLICES_PER_S)
        newest = self._newest
        if index > newest.index:
            newest = self._begin(index)
        by_key = newest.by_key
        by_key[key] = by_key.get(key, 0) + 1
        if len(by_key) > _MOST_COUNTS:
            newest.by_key = _reduced(by_key)
        by_workspace = newest.by_workspace
        entry = (key, workspace)
        by_workspace[entry] = by_workspace.get(entry, 0) + 1
        if len(by_workspace) > _MOST_COUNTS:
            newest.by_workspace = _reduced(by_workspace)

    def demand(self, *, now_s: float) -> Demand:
        """Return the offers of the last second.

        Args:
            now_s: The current monotonic time, in seconds.

        .. versionadded:: 26.5.0
        """
        first = now_s * _SLICES_PER_S - _WINDOW_SLICES
        offers_per_s: dict[DemandKey, float] = {}
        heaviest_per_s: dict[tuple[DemandKey, int], float] = {}
        for one in self._slices:
            part = min(1.0, one.index + 1 - first)
            if part <= 0.0:
                continue
            per_s = part / WINDOW_S
            for key, count in one.by_key.items():
                offers_per_s[key] = offers_per_s.get(key, 0.0) + count * per_s
            for entry, count in one.by_workspace.items():
                heaviest_per_s[entry] = heaviest_per_s.get(entry, 0.0) + count * per_s
        if not offers_per_s and not heaviest_per_s:
            return NO_DEMAND
        return _limited(offers_per_s, heaviest_per_s)

    def _begin(self, index: int) -> _Slice:
        """Begin a slice, and drop those that have left the window."""
        self._newest = _Slice(index)
        self._slices.append(self._newest)
        while self._slices[0].index < index - _WINDOW_SLICES:
            self._slices.popleft()
        return self._newest


def _reduced(counts: Mapping[_Item, int]) -> dict[_Item, int]:
    """Return the largest counts less the first that is left out.

    Each unit taken off one count is taken off `COUNTS_KEPT` others as well, which
    bounds what a count loses by its part in all that was counted.
    """
    left_out = sorted(counts.values(), reverse=True)[COUNTS_KEPT]
    return {
        item: count - left_out for item, count in counts.items() if count > left_out
    }


def _limited(
    offers_per_s: Mapping[DemandKey, float],
    heaviest_per_s: Mapping[tuple[DemandKey, int], float],
) -> Demand:
    """Return a demand of as many entries as a sum keeps."""
    return Demand(
        _largest(offers_per_s, most=MOST_KEYS_KEPT),
        _largest(heaviest_per_s, most=MAX_SUMMED_WORKSPACES),
    )


def _largest(rates: Mapping[_Ordered, float], *, most: int) -> dict[_Ordered, float]:
    """Return the largest rates; of equal ones the same at all instances."""
    if len(rates) <= most:
        return dict(rates)
    if most <= 0:
        return {}
    least = sorted(rates.values(), reverse=True)[most - 1]
    largest = {one: rate for one, rate in rates.items() if rate > least}
    # Comparing entries takes longer than rates: only equal ones are ordered by them.
    equal = (one for one, rate in rates.items() if rate == least)
    for one in heapq.nsmallest(most - len(largest), equal):
        largest[one] = least
    return largest


def _sendable(
    rates: Mapping[_Ordered, float], *, most: int
) -> list[tuple[_Ordered, int]]:
    """Return the largest rates in units, in order, but for those that round to 0."""
    order = sorted(
        _largest(rates, most=most).items(), key=lambda one: (-one[1], one[0])
    )
    units = (
        (one, round(min(rate, _MOST_RATE_PER_S) * _UNITS_PER_S)) for one, rate in order
    )
    return [(one, count) for one, count in units if count]
