# SPDX-License-Identifier: MIT
"""Measures offered load by priority and workspace, also if a few workspaces surge.

Under overload, admission at an instance depends on the load offered to all instances
and on the workspaces that it comes from.  Each instance counts its own offers over
one second in bounded memory; the counts are aggregated along the tree of instances
(`load_sums`), with details of the heaviest workspaces only.

.. versionadded:: 26.5.0
"""

from __future__ import annotations

import collections
import heapq
import struct

from collections.abc import Hashable, Iterable, Mapping
from typing import NamedTuple, TypeVar


#: The length of the sliding window in which offers are counted, in seconds.
WINDOW_S = 1.0
#: The maximum number of keys in a datagram: three services of four priorities each.
MAX_SENT_KEYS = 12
#: The maximum number of workspaces in a datagram, over all keys.
MAX_SENT_WORKSPACES = 8
#: The maximum number of workspaces in a sum: a workspace that is ninth at each of three
#: children and at the instance itself is still counted in their sum.
MAX_SUMMED_WORKSPACES = 32
#: The maximum number of keys in a sum: the datagrams of five neighbours, and some of
#: the instance's own.
MAX_SUMMED_KEYS = 64
#: The number of neighbours that are sent workspaces in a tick.
_WORKSPACE_RECIPIENTS_PER_TICK = 2
#: The number of counters to which a slice is reduced; a rate is underestimated by at
#: most the rate of all offers divided by this number plus one, and exact with fewer
#: distinct entries.
MIN_COUNTERS = 128
#: The number of counters above which a slice is reduced, so that the reduction has a
#: small amortized cost per offer.
_MAX_COUNTERS = 2 * MIN_COUNTERS
#: The window advances in slices of an eighth of a second, half a tick of the sums.
_SLICES_PER_S = 8
_WINDOW_SLICES = round(WINDOW_S * _SLICES_PER_S)

#: The priority value under which a service's running streams are summed, in addition
#: to offers: streams by server are sent in turn, and lag if there are many servers.
RUNNING = 255
#: Rates are encoded in eighths per second.
_UNITS_PER_S = 8
_MAX_UNITS = 0xFFFF
_MAX_RATE_PER_S = _MAX_UNITS / _UNITS_PER_S
#: A key: service, priority, rate.
_KEY = struct.Struct("<IBH")
#: One of the heaviest workspaces: service, priority, workspace, rate.
_WORKSPACE = struct.Struct("<IBIH")
#: The size of the number of keys.
_COUNT_BYTES = 1
#: The maximum size of an encoded demand, in bytes.
MAX_ENCODED_BYTES = (
    _COUNT_BYTES + MAX_SENT_KEYS * _KEY.size + MAX_SENT_WORKSPACES * _WORKSPACE.size
)

_EntryT = TypeVar("_EntryT", bound=Hashable)
_OrderedT = TypeVar("_OrderedT", "DemandKey", "tuple[DemandKey, int]")


class DemandKey(NamedTuple):
    """The key by which demand is counted.

    Attributes:
        service: The number of the service, `load_sums.server_number` of its name.
        priority: The urgency, 0 to 99; lower is more urgent.

    .. versionadded:: 26.5.0
    """

    service: int
    priority: int


class Demand(NamedTuple):
    """The load that is offered to one or several instances.

    Attributes:
        offers_per_s: By key, all offers per second.
        heaviest_per_s: By key and number of the workspace, the offers per second of
            the heaviest workspaces.

    .. versionadded:: 26.5.0
    """

    offers_per_s: Mapping[DemandKey, float]
    heaviest_per_s: Mapping[tuple[DemandKey, int], float]


#: The demand of services without admission control.
NO_DEMAND = Demand({}, {})


def total_demand(parts: Iterable[Demand]) -> Demand:
    """Return the sum of demands, reduced to its largest entries.

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
    return _limit_entries(offers_per_s, heaviest_per_s)


def encode_demand(demand: Demand, *, max_bytes: int = MAX_ENCODED_BYTES) -> bytes:
    """Encode a demand; one without offers has no bytes.

    Args:
        demand: The demand to encode; rates are rounded to eighths per second, capped
            at 8,191.875, and omitted if they round to 0.
        max_bytes: The maximum size.  Keys take precedence over workspaces, and
            larger rates over smaller.

    .. versionadded:: 26.5.0
    """
    free_bytes = max_bytes - _COUNT_BYTES
    max_keys = min(MAX_SENT_KEYS, free_bytes // _KEY.size)
    keys = _encodable(demand.offers_per_s, limit=max_keys)
    free_bytes -= len(keys) * _KEY.size
    max_workspaces = min(MAX_SENT_WORKSPACES, free_bytes // _WORKSPACE.size)
    workspaces = _encodable(demand.heaviest_per_s, limit=max_workspaces)
    if not keys and not workspaces:
        return b""
    parts = [bytes([len(keys)])]
    parts += [_KEY.pack(*key, units) for key, units in keys]
    parts += [
        _WORKSPACE.pack(*key, workspace, units)
        for (key, workspace), units in workspaces
    ]
    return b"".join(parts)


def decode_demand(data: bytes) -> Demand:
    """Decode a demand; no bytes are a demand without offers.

    Raises:
        ValueError: The bytes are incomplete, or exceed the maximum of a datagram.

    .. versionadded:: 26.5.0
    """
    if not data:
        return NO_DEMAND
    workspaces_start = _COUNT_BYTES + data[0] * _KEY.size
    workspaces_bytes = len(data) - workspaces_start
    if workspaces_bytes < 0 or workspaces_bytes % _WORKSPACE.size:
        msg = f"{len(data)} bytes with {data[0]} keys are no complete demand"
        raise ValueError(msg)
    if (
        data[0] > MAX_SENT_KEYS
        or workspaces_bytes > MAX_SENT_WORKSPACES * _WORKSPACE.size
    ):
        msg = f"{len(data)} bytes with {data[0]} keys are too large a demand"
        raise ValueError(msg)
    keys = _KEY.iter_unpack(data[_COUNT_BYTES:workspaces_start])
    workspaces = _WORKSPACE.iter_unpack(data[workspaces_start:])
    return Demand(
        {
            DemandKey(service, priority): units / _UNITS_PER_S
            for service, priority, units in keys
        },
        {
            (DemandKey(service, priority), workspace): units / _UNITS_PER_S
            for service, priority, workspace, units in workspaces
        },
    )


class DemandFeed:
    """Encodes demand for neighbours whose datagrams share a byte budget.

    Each datagram has the keys; workspaces are sent to a few neighbours at a time, in
    turn, so that the full list fits.  Sending a part of the list in each datagram would
    lose the smaller ones along the tree.  A neighbour that receives offers without
    workspaces continues to use those that it received before.

    .. versionadded:: 26.5.0
    """

    def __init__(self) -> None:
        self._round = 0
        #: By neighbour, the round in which it was last sent workspaces.
        self._last_rounds: dict[str, int] = {}

    def pack(
        self, demands: Mapping[str, Demand], *, max_bytes: int
    ) -> dict[str, bytes]:
        """Return the encoded demand for each neighbour.

        Args:
            demands: By neighbour, the demand to send.
            max_bytes: The maximum total size.

        .. versionadded:: 26.5.0
        """
        if not demands:
            return {}
        self._round += 1
        bytes_per_neighbour = max_bytes // len(demands)
        encoded = {
            neighbour: encode_demand(
                Demand(demand.offers_per_s, {}), max_bytes=bytes_per_neighbour
            )
            for neighbour, demand in demands.items()
        }
        candidates = [neighbour for neighbour, data in encoded.items() if data]
        candidates.sort(key=lambda neighbour: self._last_rounds.get(neighbour, 0))
        free_bytes = max_bytes - sum(map(len, encoded.values()))
        for neighbour in candidates[:_WORKSPACE_RECIPIENTS_PER_TICK]:
            self._last_rounds[neighbour] = self._round
            keys_bytes = len(encoded[neighbour])
            encoded[neighbour] = encode_demand(
                demands[neighbour], max_bytes=keys_bytes + free_bytes
            )
            free_bytes -= len(encoded[neighbour]) - keys_bytes
        return encoded

    def forget(self, neighbour: str) -> None:
        """Discard the state of a former neighbour.

        .. versionadded:: 26.5.0
        """
        self._last_rounds.pop(neighbour, None)


class _Slice:
    """Counts of offers in an eighth of a second."""

    __slots__ = ("by_key", "by_workspace", "index")

    def __init__(self, index: int) -> None:
        self.index = index
        self.by_key: dict[DemandKey, int] = {}
        self.by_workspace: dict[tuple[DemandKey, int], int] = {}


class DemandCounter:
    """Counts an instance's own offers over the last second.

    Counts are stored by slice of an eighth of a second, in bounded memory.  A rate is
    never overestimated, and underestimated by at most the rate of all offers divided
    by `MIN_COUNTERS` + 1 (Misra-Gries summary); it is exact while no slice has more
    than twice `MIN_COUNTERS` distinct entries.  The slice that is partly outside the
    window counts in proportion to its part inside.

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
            newest = self._add_slice(index)
        by_key = newest.by_key
        by_key[key] = by_key.get(key, 0) + 1
        if len(by_key) > _MAX_COUNTERS:
            newest.by_key = _reduce(by_key)
        by_workspace = newest.by_workspace
        entry = (key, workspace)
        by_workspace[entry] = by_workspace.get(entry, 0) + 1
        if len(by_workspace) > _MAX_COUNTERS:
            newest.by_workspace = _reduce(by_workspace)

    def demand(self, *, now_s: float) -> Demand:
        """Return the offers of the last second.

        Args:
            now_s: The current monotonic time, in seconds.

        .. versionadded:: 26.5.0
        """
        first = now_s * _SLICES_PER_S - _WINDOW_SLICES
        offers_per_s: dict[DemandKey, float] = {}
        heaviest_per_s: dict[tuple[DemandKey, int], float] = {}
        for counted in self._slices:
            fraction = min(1.0, counted.index + 1 - first)
            if fraction <= 0.0:
                continue
            per_s = fraction / WINDOW_S
            for key, count in counted.by_key.items():
                offers_per_s[key] = offers_per_s.get(key, 0.0) + count * per_s
            for entry, count in counted.by_workspace.items():
                heaviest_per_s[entry] = heaviest_per_s.get(entry, 0.0) + count * per_s
        if not offers_per_s and not heaviest_per_s:
            return NO_DEMAND
        return _limit_entries(offers_per_s, heaviest_per_s)

    def _add_slice(self, index: int) -> _Slice:
        """Add a slice, and remove those outside the window."""
        self._newest = _Slice(index)
        self._slices.append(self._newest)
        while self._slices[0].index < index - _WINDOW_SLICES:
            self._slices.popleft()
        return self._newest


def _reduce(counts: Mapping[_EntryT, int]) -> dict[_EntryT, int]:
    """Return the largest counts, each less the largest of the discarded counts.

    Each unit subtracted from one count is subtracted from `MIN_COUNTERS` others as
    well, which bounds the error of a count relative to the total of all counts.
    """
    discarded = sorted(counts.values(), reverse=True)[MIN_COUNTERS]
    return {
        entry: count - discarded for entry, count in counts.items() if count > discarded
    }


def _limit_entries(
    offers_per_s: Mapping[DemandKey, float],
    heaviest_per_s: Mapping[tuple[DemandKey, int], float],
) -> Demand:
    """Return a demand with the maximum number of entries of a sum."""
    return Demand(
        _largest(offers_per_s, limit=MAX_SUMMED_KEYS),
        _largest(heaviest_per_s, limit=MAX_SUMMED_WORKSPACES),
    )


def _largest(rates: Mapping[_OrderedT, float], *, limit: int) -> dict[_OrderedT, float]:
    """Return the largest rates; ties are resolved the same way at all instances."""
    if len(rates) <= limit:
        return dict(rates)
    if limit <= 0:
        return {}
    threshold = sorted(rates.values(), reverse=True)[limit - 1]
    largest = {entry: rate for entry, rate in rates.items() if rate > threshold}
    # Comparing entries is slower than comparing rates: only ties are sorted by entry.
    ties = (entry for entry, rate in rates.items() if rate == threshold)
    for entry in heapq.nsmallest(limit - len(largest), ties):
        largest[entry] = threshold
    return largest


def _encodable(
    rates: Mapping[_OrderedT, float], *, limit: int
) -> list[tuple[_OrderedT, int]]:
    """Return the largest rates in units, sorted, without those that round to 0."""
    ordered = sorted(
        _largest(rates, limit=limit).items(), key=lambda item: (-item[1], item[0])
    )
    units = (
        (entry, round(min(rate, _MAX_RATE_PER_S) * _UNITS_PER_S))
        for entry, rate in ordered
    )
    return [(entry, count) for entry, count in units if count]
