# SPDX-License-Identifier: MIT
"""Exchange of loads between instances over real sockets."""

from __future__ import annotations

import asyncio
import itertools
import socket
import threading
import time

import msgspec
import pytest

from hypothesis import given
from hypothesis import strategies as st

from own_ports import free_ports
from routing_samples import engine, runner
from test_instances import entry
from violethatch import _load_link
from violethatch._load_link import LoadLink
from violethatch._peer_datagrams import LoadDatagram, PeerDatagrams, encoded
from violethatch.demand import (
    MAX_SENT_KEYS,
    MAX_SENT_WORKSPACES,
    NO_DEMAND,
    Demand,
    DemandFeed,
    DemandKey,
    decode_demand,
    encode_demand,
)
from violethatch.event_loop import EventLoop
from violethatch.instances import InstanceDirectory
from violethatch.load_sums import REPORT_TTL_S, ServerTotals
from violethatch.paths import find_path
from violethatch.stream_loads import StreamLoads


PATH = find_path([runner("a", 0, 40), runner("b", 40, 80)], engine(), zone="z1")
KEY = DemandKey(7, 1)
DEMAND = Demand({KEY: 12.0}, {(KEY, 3): 8.0, (KEY, 4): 4.0})
#: The maximum that fits in a datagram.
MAX_DEMAND = Demand(
    {DemandKey(7, priority): 50.0 for priority in range(MAX_SENT_KEYS)},
    {(KEY, workspace): 20.0 for workspace in range(MAX_SENT_WORKSPACES)},
)


class OldLoadDatagram(msgspec.Struct, array_like=True, tag="l"):
    """The datagram of instances before 26.5.0."""

    token: str
    sender: str
    direction: str
    instances: int
    pipe_ms_per_s: float
    age_ms: int
    servers: bytes


async def stall_in_read_callback(duration_s):
    """Stall the event loop where due timers run before further reads."""
    own, other = socket.socketpair()
    loop = asyncio.get_running_loop()
    stalled = asyncio.Event()

    def read():
        loop.remove_reader(own)
        time.sleep(duration_s)
        stalled.set()

    loop.add_reader(own, read)
    other.send(b"1")
    await stalled.wait()
    own.close()
    other.close()


class TestLoadLink:
    async def test_streams_of_others_raise_utilization(self):
        """Streams that an instance sends to a runner are soon known to the others."""
        entries = [
            entry(f"i{n}")._replace(address=f"127.0.0.1:{port}", token=f"t{n}")
            for n, port in enumerate(free_ports(3))
        ]
        loads, tasks = [], []
        for own in entries:
            directory = InstanceDirectory(own)
            directory.take({e.id: e for e in entries}, is_whole=True)
            datagrams = PeerDatagrams(directory)
            await datagrams.start(own.address)
            loads.append(StreamLoads())
            tasks.append(asyncio.create_task(LoadLink(datagrams, loads[-1]).run()))
        for _ in range(48):
            loads[0].started(PATH, 500.0, crossing_ms=0.0, now_s=0.0)
        async with asyncio.timeout(10):
            for load, server in itertools.product(loads, (PATH.first,)):
                while load.utilization(server, engine(), now_s=0.0) < 0.5:
                    await asyncio.sleep(0.02)
        assert loads[0].others.servers == {}
        for task in tasks:
            task.cancel()

    async def test_demand_of_others_is_received(self):
        """Guards against demand that is lost between counter and sums."""
        entries = [
            entry(f"i{n}")._replace(address=f"127.0.0.1:{port}", token=f"t{n}")
            for n, port in enumerate(free_ports(3))
        ]
        loads, tasks = [], []
        for own in entries:
            directory = InstanceDirectory(own)
            directory.take({e.id: e for e in entries}, is_whole=True)
            datagrams = PeerDatagrams(directory)
            await datagrams.start(own.address)
            loads.append(StreamLoads())
            tasks.append(asyncio.create_task(LoadLink(datagrams, loads[-1]).run()))
        loads[0].own_demand = lambda: DEMAND
        async with asyncio.timeout(10):
            for load in loads[1:]:
                while load.others.demand != DEMAND:
                    await asyncio.sleep(0.02)
        assert loads[0].others.demand == NO_DEMAND
        for task in tasks:
            task.cancel()

    async def test_callback_runs_after_each_refresh(self):
        """Guards against admission plans that are only updated by requests."""
        loads, recorded = StreamLoads(), []
        link = LoadLink(PeerDatagrams(InstanceDirectory(entry("i0"))), loads)
        link.on_tick = lambda: recorded.append(loads.others)
        link._tick(now_s=1.0)
        link._tick(now_s=1.25)
        assert len(recorded) == 2

    def test_own_stall_does_not_expire_reports(self):
        """Guards against suspicion of neighbours and expired reports after a stall."""
        loop = EventLoop()
        before, after, recorded = loop.run_until_complete(self._run_with_stall())
        loop.close()
        assert after == before
        assert set(recorded) == {2}

    async def _run_with_stall(self):
        """Return the neighbours before and after a stall, and the sizes of the sums."""
        entries = [
            entry(f"i{n}")._replace(address=f"127.0.0.1:{port}", token=f"t{n}")
            for n, port in enumerate(free_ports(3))
        ]
        finished = threading.Event()

        async def start_link(own):
            directory = InstanceDirectory(own)
            directory.take({e.id: e for e in entries}, is_whole=True)
            datagrams = PeerDatagrams(directory)
            await datagrams.start(own.address)
            link = LoadLink(datagrams, StreamLoads())
            return link, asyncio.create_task(link.run())

        async def others():
            links = [await start_link(e) for e in entries[1:]]
            while not finished.is_set():
                await asyncio.sleep(0.01)
            for _, task in links:
                task.cancel()

        others_task = asyncio.create_task(asyncio.to_thread(asyncio.run, others()))
        link, task = await start_link(entries[0])
        await asyncio.sleep(6 * _load_link.TICK_S)
        before = dict(link._neighbours)
        recorded = []
        link.on_tick = lambda: recorded.append(link._sums.others.instances)
        await stall_in_read_callback(REPORT_TTL_S + 0.5)
        await asyncio.sleep(2 * _load_link.TICK_S)
        task.cancel()
        finished.set()
        await others_task
        return before, link._neighbours, recorded

    def test_invalid_datagrams_are_rejected(self):
        """A datagram with incomplete servers or an unknown direction is rejected."""
        datagrams = PeerDatagrams(InstanceDirectory(entry("i0")._replace(token="t")))
        loads = StreamLoads()
        LoadLink(datagrams, loads)
        for direction, servers in (("u", b"123"), ("x", b"")):
            message = LoadDatagram("t", "i1", direction, 1, 0.0, 0, servers)
            datagrams.datagram_received(msgspec.msgpack.encode(message), None)
        assert loads.others.instances == 0

    def test_neighbours_take_turns(self):
        """All neighbours are served in turn if there are too many for one tick."""
        datagrams = PeerDatagrams(InstanceDirectory(entry("i0")))
        link = LoadLink(datagrams, StreamLoads())
        recipients = [link._in_turn(["a", "b", "c", "d", "e", "f"]) for _ in range(3)]
        assert max(len(batch) for batch in recipients) <= 4
        assert sorted(itertools.chain(*recipients)) == sorted("abcdef" * 2)

    @pytest.mark.parametrize("neighbours", [1, 2, 4])
    def test_bytes_per_second_are_bounded(self, neighbours):
        """Guards against more bytes with more neighbours or more servers."""
        limit = _load_link.max_servers(neighbours)
        servers = dict.fromkeys(range(limit), ServerTotals(90, 1e6))
        message = LoadDatagram(
            token="0" * 16,
            sender="edge-some-availability-zone-11",
            direction="u",
            instances=350,
            pipe_ms_per_s=123.4,
            age_ms=4000,
            servers=_load_link._encode_servers(servers),
        )
        datagram_bytes = len(msgspec.msgpack.encode(message)) + 28
        ticks = 1 / _load_link.TICK_S
        assert datagram_bytes * neighbours * ticks <= 4000

    @pytest.mark.parametrize(
        "neighbours", range(1, _load_link.MAX_RECIPIENTS_PER_TICK + 1)
    )
    @pytest.mark.parametrize("demand", [DEMAND, MAX_DEMAND])
    def test_bytes_with_demand_are_bounded(self, neighbours, demand):
        """Guards against demand that exceeds the control bandwidth left by loads."""
        feed = DemandFeed()
        for _ in range(4):
            demands = feed.pack(
                {str(n): demand for n in range(neighbours)},
                max_bytes=_load_link.max_demand_bytes(neighbours),
            )
            assert all(decode_demand(data).offers_per_s for data in demands.values())
            limit = _load_link.max_servers(neighbours, demands.values())
            servers = dict.fromkeys(range(limit), ServerTotals(90, 1e6))
            tick_bytes = sum(
                28  # of IP and UDP
                + len(
                    encoded(
                        LoadDatagram(
                            token="0" * 16,
                            sender="edge-some-availability-zone-11",
                            direction="u",
                            instances=350,
                            pipe_ms_per_s=123.4,
                            age_ms=4000,
                            servers=_load_link._encode_servers(servers),
                            demand=data,
                        )
                    )
                )
                for data in demands.values()
            )
            assert tick_bytes <= 3800 * _load_link.TICK_S

    def test_datagram_without_demand_is_unchanged(self):
        """Guards against additional bytes without admission control."""
        fields = ("token", "sender", "u", 3, 12.5, 400, b"12345678")
        old = msgspec.msgpack.encode(OldLoadDatagram(*fields))
        assert encoded(LoadDatagram(*fields)) == old
        for neighbours in range(1, 7):
            empty = [b""] * neighbours
            limit = _load_link.max_servers(neighbours, empty)
            assert limit == _load_link.max_servers(neighbours)

    def test_versions_are_compatible(self):
        """Guards against loads that are lost while a fleet is upgraded."""
        fields = ("token", "sender", "u", 3, 12.5, 400, b"12345678")
        old = msgspec.msgpack.encode(OldLoadDatagram(*fields))
        decoded = msgspec.msgpack.decode(old, type=LoadDatagram)
        assert decoded == LoadDatagram(*fields)
        new = encoded(LoadDatagram(*fields, demand=encode_demand(DEMAND)))
        old_decoded = msgspec.msgpack.decode(new, type=OldLoadDatagram)
        assert old_decoded == OldLoadDatagram(*fields)
        assert decode_demand(msgspec.msgpack.decode(new, type=LoadDatagram).demand) == (
            DEMAND
        )

    def test_incomplete_demand_is_rejected(self):
        """Guards against sums from a malformed datagram."""
        datagrams = PeerDatagrams(InstanceDirectory(entry("i0")._replace(token="t")))
        link = LoadLink(datagrams, StreamLoads())
        message = LoadDatagram(
            "t", "i1", "u", 1, 0.0, 0, b"", encode_demand(DEMAND)[:-1]
        )
        with pytest.raises(ValueError, match="complete"):
            link._receive(message)
        datagrams.datagram_received(encoded(message), None)

    @given(st.dictionaries(st.integers(0, 2**32 - 1), st.integers(0, 10**6)))
    def test_round_trip_of_totals(self, streams):
        """Totals are exact up to the limits and the unit of the encoding."""
        servers = {n: ServerTotals(k, k * 512.0) for n, k in streams.items()}
        decoded = _load_link._decode_servers(_load_link._encode_servers(servers))
        assert decoded.keys() == servers.keys()
        for number, totals in decoded.items():
            assert totals.streams == min(65535, servers[number].streams)
            assert totals.token_layers == min(
                65535 * 256.0, servers[number].token_layers
            )
