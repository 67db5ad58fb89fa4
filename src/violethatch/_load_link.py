# SPDX-License-Identifier: MIT
"""Tells neighbours this instance's sum of loads, and takes theirs in."""

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


#: How often neighbours are told, in seconds.  Streams last a second or more.
TICK_S = 0.25
#: How long to read, after a standstill, what the others told meanwhile, in seconds.
_READ_S = 0.01
#: The most bytes that an instance sends for this in a second, of the 4 KB that
#: all of control may take.
_MOST_BYTES_A_SECOND = 3000
#: What demand may take beside that: with less, an instance with four neighbours told
#: each of them of one server in a datagram instead of nine.
_MOST_DEMAND_BYTES_A_SECOND = 800
#: What a datagram takes beside its servers: headers, token, names and counts.
ENVELOPE_BYTES = 110
#: The most neighbours that are told in one tick: more would leave each datagram
#: little beside its envelope.  The others' turn comes with the next ticks.
MAX_RECIPIENTS_PER_TICK = 4
#: A server in a datagram: its number, streams, and units of tokens times layers.
_SERVER = struct.Struct("<IHH")
#: The unit; a stream of a thousand tokens has some thousands even on one layer.
_UNIT_TOKEN_LAYERS = 256
_MOST_COUNT = 0xFFFF
_MS_PER_S = 1000
#: What msgpack puts before the bytes of a demand.
_DEMAND_HEADER_BYTES = 2
#: What a server takes in a datagram.
SERVER_BYTES = _SERVER.size


class LoadLink:
    """Keeps the sums of loads going.

    Args:
        datagrams: Carries them.
        loads: Has this instance's own, and is given the others'.
    """

    def __init__(self, datagrams: PeerDatagrams, loads: StreamLoads) -> None:
        self._datagrams = datagrams
        self._directory = datagrams.directory
        self._loads = loads
        self._sums = LoadSums(datagrams.directory)
        self._neighbours: dict[str, Direction] = {}
        self._turn = 0
        #: By neighbour, what it was told, and in which direction.
        self._feeds: dict[str, tuple[Direction, ChangeFeed]] = {}
        self._demands = DemandFeed()
        #: Called each tick, once the sums are those of the tick.
        self.on_tick: Callable[[], None] = lambda: None
        datagrams.on(LoadDatagram, self._take)

    async def run(self) -> None:
        """Tell neighbours, until cancelled."""
        while True:
            began_s = clocks.now_s()
            await asyncio.sleep(TICK_S)
            stood_s = clocks.now_s() - began_s - TICK_S
            if stood_s > LATE_S:
                await asyncio.sleep(_READ_S)
                self._sums.note_standstill(stood_s, now_s=clocks.now_s())
            self._tick(now_s=clocks.now_s())

    def _tick(self, *, now_s: float) -> None:
        """Tell each neighbour once, and let go of old words."""
        self._sums.refresh(now_s=now_s)
        self._loads.update_others(self._sums.others, now_s=now_s)
        self.on_tick()
        neighbours = self._sums.neighbours(now_s=now_s)
        if neighbours != self._neighbours:
            self._neighbours = neighbours
            events.log(
                events.LOAD_NEIGHBOURS,
                neighbours={one: str(where) for one, where in neighbours.items()},
                instances_summed=self._sums.others.instances,
            )
        for gone in self._feeds.keys() - neighbours.keys():
            del self._feeds[gone]
            self._demands.forget(gone)
        if not neighbours:
            return
        own = self._loads.own_totals(now_s=now_s)
        peers = {one.id: one for one in self._directory.others()}
        # An entry may have gone since the neighbours were found.
        told = [one for one in self._in_turn(list(neighbours)) if one in peers]
        totals_by_neighbour = {
            one: self._sums.sum_for(one, neighbours[one], own, now_s=now_s)
            for one in told
        }
        demands = self._demands.pack(
            {one: totals.demand for one, totals in totals_by_neighbour.items()},
            most_bytes=most_demand_bytes(len(told)),
        )
        most = max_servers(len(told), demands.values())
        for neighbour, totals in totals_by_neighbour.items():
            direction = neighbours[neighbour]
            picked = self._feed(neighbour, direction).select(totals.servers, limit=most)
            message = LoadDatagram(
                token=peers[neighbour].token,
                sender=self._directory.own.id,
                direction=direction.value,
                instances=totals.instances,
                pipe_ms_per_s=round(totals.pipe_ms_per_s, 1),
                age_ms=round(totals.age_s * _MS_PER_S),
                servers=_packed(picked),
                demand=demands[neighbour],
            )
            self._datagrams.send(peers[neighbour], message)

    def _in_turn(self, neighbours: list[str]) -> list[str]:
        """Return whom to tell in this tick, where there are too many for one."""
        count = min(len(neighbours), MAX_RECIPIENTS_PER_TICK)
        first = self._turn % len(neighbours)
        self._turn += count
        return (neighbours + neighbours)[first : first + count]

    def _feed(self, neighbour: str, direction: Direction) -> ChangeFeed:
        """Return what a neighbour was told; nothing yet in a new direction."""
        known = self._feeds.get(neighbour)
        if known is None or known[0] is not direction:
            known = self._feeds[neighbour] = (direction, ChangeFeed())
        return known[1]

    def _take(self, message: LoadDatagram) -> None:
        """Take a neighbour's sum in.

        Raises:
            ValueError: It can't be understood.
        """
        change = LoadTotals(
            instances=message.instances,
            pipe_ms_per_s=message.pipe_ms_per_s,
            servers=_unpacked(message.servers),
            age_s=message.age_ms / _MS_PER_S,
            demand=decode_demand(message.demand),
        )
        now_s = clocks.now_s()
        direction = Direction(message.direction)
        self._sums.update(message.sender, direction, change, now_s=now_s)


def max_servers(neighbours: int, demands: Iterable[bytes] = ()) -> int:
    """Return how many servers fit a datagram, within the bytes of a second.

    Args:
        neighbours: How many are told in a tick.
        demands: The demand in each of their datagrams, which goes first.
    """
    demand_bytes = sum(
        _DEMAND_HEADER_BYTES + len(demand) for demand in demands if demand
    )
    beyond = max(0.0, demand_bytes - _MOST_DEMAND_BYTES_A_SECOND * TICK_S)
    left = _most_content_bytes(neighbours) - beyond
    return max(1, int(left / max(1, neighbours) / _SERVER.size))


def most_demand_bytes(neighbours: int) -> int:
    """Return how much demand fits a tick's datagrams, with one server in each.

    Args:
        neighbours: How many are told in a tick.
    """
    least = neighbours * (_DEMAND_HEADER_BYTES + _SERVER.size)
    of_demand = _MOST_DEMAND_BYTES_A_SECOND * TICK_S
    return max(0, int(_most_content_bytes(neighbours) + of_demand) - least)


def _most_content_bytes(neighbours: int) -> float:
    """Return what a tick's datagrams may hold beside their envelopes."""
    return _MOST_BYTES_A_SECOND * TICK_S - neighbours * ENVELOPE_BYTES


def _packed(servers: Mapping[int, ServerTotals]) -> bytes:
    """Return servers' totals as bytes."""
    return b"".join(
        _SERVER.pack(
            number,
            min(_MOST_COUNT, totals.streams),
            min(_MOST_COUNT, round(totals.token_layers / _UNIT_TOKEN_LAYERS)),
        )
        for number, totals in servers.items()
    )


def _unpacked(data: bytes) -> dict[int, ServerTotals]:
    """Return servers' totals from bytes.

    Raises:
        ValueError: They are not whole.
    """
    if len(data) % _SERVER.size:
        msg = f"{len(data)} bytes are no whole servers"
        raise ValueError(msg)
    return {
        number: ServerTotals(streams, units * float(_UNIT_TOKEN_LAYERS))
        for number, streams, units in _SERVER.iter_unpack(data)
    }
