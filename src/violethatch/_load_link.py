# SPDX-License-Identifier: MIT
"""Exchanges sums of loads with the neighbours of this instance."""

from __future__ import annotations

import asyncio
import struct

from collections.abc import Callable, Iterable, Mapping

from . import clocks, events
from ._peer_datagrams import LoadDatagram, PeerDatagrams
from .demand import DemandFeed, decode_demand
from .load_changes import ChangeFeed
from .load_sums import Direction, LoadSums, LoadTotals, ServerTotals
from .running_time import LATE_S
from .stream_loads import StreamLoads


#: The interval of reports to neighbours, in seconds.  Streams last a second or more.
TICK_S = 0.25
#: The time to receive datagrams that are pending after a stall, in seconds.
_RECEIVE_S = 0.01
#: The maximum rate of an instance's reports, of the 4 KB per second for all control
#: traffic.
_MAX_BYTES_PER_S = 3000
#: The additional bytes for demand: with fewer, an instance with four neighbours had
#: space for one server per datagram instead of nine.
_DEMAND_BYTES_PER_S = 800
#: The size of a datagram without servers: headers, token, names and counts.
ENVELOPE_BYTES = 110
#: The maximum number of neighbours to report to in one tick: with more, datagrams would
#: mostly consist of their envelopes.  The others follow in the next ticks.
MAX_RECIPIENTS_PER_TICK = 4
#: A server in a datagram: its number, streams, and units of token layers.
_SERVER = struct.Struct("<IHH")
#: The unit; a stream of a thousand tokens has some thousands even on one layer.
_UNIT_TOKEN_LAYERS = 256
_MAX_COUNT = 0xFFFF
_MS_PER_S = 1000
#: The size of the msgpack header of an encoded demand.
_DEMAND_HEADER_BYTES = 2
#: The size of a server in a datagram.
SERVER_BYTES = _SERVER.size


class LoadLink:
    """Sends and receives the sums of loads.

    Args:
        datagrams: Transports the sums.
        loads: Provides this instance's own load, and is updated with the others'.
    """

    def __init__(self, datagrams: PeerDatagrams, loads: StreamLoads) -> None:
        self._datagrams = datagrams
        self._directory = datagrams.directory
        self._loads = loads
        self._sums = LoadSums(datagrams.directory)
        self._neighbours: dict[str, Direction] = {}
        self._next_index = 0
        #: By neighbour, the direction and the state of what was sent.
        self._feeds: dict[str, tuple[Direction, ChangeFeed]] = {}
        self._demand_feed = DemandFeed()
        #: Called each tick, after the sums are refreshed.
        self.on_tick: Callable[[], None] = lambda: None
        datagrams.on(LoadDatagram, self._receive)

    async def run(self) -> None:
        """Report to neighbours until cancelled."""
        while True:
            started_s = clocks.now_s()
            await asyncio.sleep(TICK_S)
            stall_s = clocks.now_s() - started_s - TICK_S
            if stall_s > LATE_S:
                await asyncio.sleep(_RECEIVE_S)
                self._sums.exclude_stall(stall_s, now_s=clocks.now_s())
            self._tick(now_s=clocks.now_s())

    def _tick(self, *, now_s: float) -> None:
        """Report to each neighbour once, and remove expired reports."""
        self._sums.refresh(now_s=now_s)
        self._loads.update_others(self._sums.others, now_s=now_s)
        self.on_tick()
        neighbours = self._sums.neighbours(now_s=now_s)
        if neighbours != self._neighbours:
            self._neighbours = neighbours
            events.log(
                events.LOAD_NEIGHBOURS,
                neighbours={
                    neighbour: str(direction)
                    for neighbour, direction in neighbours.items()
                },
                instances_summed=self._sums.others.instances,
            )
        for former in self._feeds.keys() - neighbours.keys():
            del self._feeds[former]
            self._demand_feed.forget(former)
        if not neighbours:
            return
        own = self._loads.own_totals(now_s=now_s)
        peers = {entry.id: entry for entry in self._directory.others()}
        # An entry may have been removed since the neighbours were selected.
        recipients = [
            neighbour
            for neighbour in self._in_turn(list(neighbours))
            if neighbour in peers
        ]
        totals_by_neighbour = {
            neighbour: self._sums.sum_for(
                neighbour, neighbours[neighbour], own, now_s=now_s
            )
            for neighbour in recipients
        }
        demands = self._demand_feed.pack(
            {
                neighbour: totals.demand
                for neighbour, totals in totals_by_neighbour.items()
            },
            max_bytes=max_demand_bytes(len(recipients)),
        )
        limit = max_servers(len(recipients), demands.values())
        for neighbour, totals in totals_by_neighbour.items():
            direction = neighbours[neighbour]
            changes = self._feed(neighbour, direction).select(
                totals.servers, limit=limit
            )
            message = LoadDatagram(
                token=peers[neighbour].token,
                sender=self._directory.own.id,
                direction=direction.value,
                instances=totals.instances,
                pipe_ms_per_s=round(totals.pipe_ms_per_s, 1),
                age_ms=round(totals.age_s * _MS_PER_S),
                servers=_encode_servers(changes),
                demand=demands[neighbour],
            )
            self._datagrams.send(peers[neighbour], message)

    def _in_turn(self, neighbours: list[str]) -> list[str]:
        """Return the neighbours to report to in this tick, in round-robin order."""
        count = min(len(neighbours), MAX_RECIPIENTS_PER_TICK)
        first = self._next_index % len(neighbours)
        self._next_index += count
        return (neighbours + neighbours)[first : first + count]

    def _feed(self, neighbour: str, direction: Direction) -> ChangeFeed:
        """Return a neighbour's feed; a new one if its direction has changed."""
        current = self._feeds.get(neighbour)
        if current is None or current[0] is not direction:
            current = self._feeds[neighbour] = (direction, ChangeFeed())
        return current[1]

    def _receive(self, message: LoadDatagram) -> None:
        """Apply a neighbour's report.

        Raises:
            ValueError: It is malformed.
        """
        change = LoadTotals(
            instances=message.instances,
            pipe_ms_per_s=message.pipe_ms_per_s,
            servers=_decode_servers(message.servers),
            age_s=message.age_ms / _MS_PER_S,
            demand=decode_demand(message.demand),
        )
        now_s = clocks.now_s()
        direction = Direction(message.direction)
        self._sums.update(message.sender, direction, change, now_s=now_s)


def max_servers(neighbours: int, demands: Iterable[bytes] = ()) -> int:
    """Return the number of servers that fit in a datagram at the maximum rate.

    Args:
        neighbours: The number of neighbours to report to in a tick.
        demands: The demand in each of their datagrams, which takes precedence.
    """
    demand_bytes = sum(
        _DEMAND_HEADER_BYTES + len(demand) for demand in demands if demand
    )
    excess = max(0.0, demand_bytes - _DEMAND_BYTES_PER_S * TICK_S)
    available = _content_bytes(neighbours) - excess
    return max(1, int(available / max(1, neighbours) / _SERVER.size))


def max_demand_bytes(neighbours: int) -> int:
    """Return the bytes for demand in a tick's datagrams, with one server in each.

    Args:
        neighbours: The number of neighbours to report to in a tick.
    """
    reserved = neighbours * (_DEMAND_HEADER_BYTES + _SERVER.size)
    demand_bytes = _DEMAND_BYTES_PER_S * TICK_S
    return max(0, int(_content_bytes(neighbours) + demand_bytes) - reserved)


def _content_bytes(neighbours: int) -> float:
    """Return the bytes for content in a tick's datagrams, without envelopes."""
    return _MAX_BYTES_PER_S * TICK_S - neighbours * ENVELOPE_BYTES


def _encode_servers(servers: Mapping[int, ServerTotals]) -> bytes:
    """Encode servers' totals."""
    return b"".join(
        _SERVER.pack(
            number,
            min(_MAX_COUNT, totals.streams),
            min(_MAX_COUNT, round(totals.token_layers / _UNIT_TOKEN_LAYERS)),
        )
        for number, totals in servers.items()
    )


def _decode_servers(data: bytes) -> dict[int, ServerTotals]:
    """Decode servers' totals.

    Raises:
        ValueError: The bytes are incomplete.
    """
    if len(data) % _SERVER.size:
        msg = f"{len(data)} bytes are no whole servers"
        raise ValueError(msg)
    return {
        number: ServerTotals(streams, units * float(_UNIT_TOKEN_LAYERS))
        for number, streams, units in _SERVER.iter_unpack(data)
    }
