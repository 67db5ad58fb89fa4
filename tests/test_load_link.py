# SPDX-License-Identifier: MIT
"""Loads between instances, over real sockets."""

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
from violethatch.load_sums import TOLD_LIFE_S, ServerTotals
from violethatch.paths import find_path
from violethatch.stream_loads import StreamLoads


PATH = find_path([runner("a", 0, 40), runner("b", 40, 80)], engine(), zone="z1")
KEY = DemandKey(7, 1)
OFFERED = Demand({KEY: 12.0}, {(KEY, 3): 8.0, (KEY, 4): 4.0})
#: As much as a datagram may hold.
MUCH_OFFERED = Demand(
    {DemandKey(7, priority): 50.0 for priority in range(MAX_SENT_KEYS)},
    {(KEY, workspace): 20.0 for workspace in range(MAX_SENT_WORKSPACES)},
)


class LoadDatagramBefore(msgspec.Struct, array_like=True, tag="l"):
    """A sum of loads as instances before 26.5.0 send and read it."""

    token: str
    sender: str
    direction: str
    instances: int
    pipe_ms_per_s: float
    age_ms: int
    servers: bytes


async def stand_still_while_reading(for_s):
    """Let the event loop stand still where due timers come before further reads."""
    own, other = socket.socketpair()
    loop = asyncio.get_running_loop()
    stood = asyncio.Event()

    def read():
        loop.remove_reader(own)
        time.sleep(for_s)
        stood.set()

    loop.add_reader(own, read)
    other.send(b"1")
    await stood.wait()
    own.close()
    other.close()


class TestLoadLink:
    async def test_streams_of_others_fill_servers(self):
        """What one instance sends to a runner, the others know of soon."""
        entries = [
            entry(f"i{n}")._replace(address=f"127.0.0.1:{port}", token=f"t{n}")
            for n, port in enumerate(free_ports(3))
        ]
        loads, tasks = [], []
        for own in entries:
            directory = InstanceDirectory(own)
            directory.take({one.id: one for one in entries}, is_whole=True)
            datagrams = PeerDatagrams(directory)
            await datagrams.start(own.address)
            loads.append(StreamLoads())
            tasks.append(asyncio.create_task(LoadLink(datagrams, loads[-1]).run()))
        for _ in range(48):
            loads[0].started(PATH, 500.0, crossing_ms=0.0, now_s=0.0)
        async with asyncio.timeout(10):
            for one, spec in itertools.product(loads, (PATH.first,)):
                while one.utilization(spec, engine(), now_s=0.0) < 0.5:
                    await asyncio.sleep(0.02)
        assert loads[0].others.servers == {}
        for task in tasks:
            task.cancel()

    async def test_demand_of_others_is_known(self):
        """Guards against demand that is lost between counter and sums."""
        entries = [
            entry(f"i{n}")._replace(address=f"127.0.0.1:{port}", token=f"t{n}")
            for n, port in enumerate(free_ports(3))
        ]
        loads, tasks = [], []
        for own in entries:
            directory = InstanceDirectory(own)
            directory.take({one.id: one for one in entries}, is_whole=True)
            datagrams = PeerDatagrams(directory)
            await datagrams.start(own.address)
            loads.append(StreamLoads())
            tasks.append(asyncio.create_task(LoadLink(datagrams, loads[-1]).run()))
        loads[0].own_demand = lambda: OFFERED
        async with asyncio.timeout(10):
            for one in loads[1:]:
                while one.others.demand != OFFERED:
                    await asyncio.sleep(0.02)
        assert loads[0].others.demand == NO_DEMAND
        for task in tasks:
            task.cancel()

    async def test_each_tick_is_announced_with_its_sums(self):
        """Guards against admission plans that are made anew only by requests."""
        loads, seen = StreamLoads(), []
        link = LoadLink(PeerDatagrams(InstanceDirectory(entry("i0"))), loads)
        link.on_tick = lambda: seen.append(loads.others)
        link._tick(now_s=1.0)
        link._tick(now_s=1.25)
        assert len(seen) == 2

    def test_own_standstill_is_taken_for_the_others_silence(self):
        """Nobody is passed over, and the others' load is not forgotten."""
        loop = EventLoop()
        before, after, seen = loop.run_until_complete(self._standing_still())
        loop.close()
        assert after == before
        assert set(seen) == {2}

    async def _standing_still(self):
        """Return an instance's neighbours before and after, and its sums' sizes."""
        entries = [
            entry(f"i{n}")._replace(address=f"127.0.0.1:{port}", token=f"t{n}")
            for n, port in enumerate(free_ports(3))
        ]
        ended = threading.Event()

        async def begin(own):
            directory = InstanceDirectory(own)
            directory.take({one.id: one for one in entries}, is_whole=True)
            datagrams = PeerDatagrams(directory)
            await datagrams.start(own.address)
            link = LoadLink(datagrams, StreamLoads())
            return link, asyncio.create_task(link.run())

        async def others():
            begun = [await begin(one) for one in entries[1:]]
            while not ended.is_set():
                await asyncio.sleep(0.01)
            for _, task in begun:
                task.cancel()

        telling = asyncio.create_task(asyncio.to_thread(asyncio.run, others()))
        link, task = await begin(entries[0])
        await asyncio.sleep(6 * _load_link.TICK_S)
        before = dict(link._neighbours)
        seen = []
        link.on_tick = lambda: seen.append(link._sums.others.instances)
        await stand_still_while_reading(TOLD_LIFE_S + 0.5)
        await asyncio.sleep(2 * _load_link.TICK_S)
        task.cancel()
        ended.set()
        await telling
        return before, link._neighbours, seen

    def test_noise_is_no_load(self):
        """A datagram whose servers are not whole is refused."""
        datagrams = PeerDatagrams(InstanceDirectory(entry("i0")._replace(token="t")))
        loads = StreamLoads()
        LoadLink(datagrams, loads)
        for direction, servers in (("u", b"123"), ("x", b"")):
            message = LoadDatagram("t", "i1", direction, 1, 0.0, 0, servers)
            datagrams.datagram_received(msgspec.msgpack.encode(message), None)
        assert loads.others.instances == 0

    def test_everyone_has_a_turn(self):
        """Where there are too many neighbours for one tick, none is left out."""
        datagrams = PeerDatagrams(InstanceDirectory(entry("i0")))
        link = LoadLink(datagrams, StreamLoads())
        told = [link._in_turn(["a", "b", "c", "d", "e", "f"]) for _ in range(3)]
        assert max(len(one) for one in told) <= 4
        assert sorted(itertools.chain(*told)) == sorted("abcdef" * 2)

    @pytest.mark.parametrize("neighbours", [1, 2, 4])
    def test_bytes_of_a_second_are_bounded(self, neighbours):
        """However many are told, and however much there is to tell."""
        most = _load_link.max_servers(neighbours)
        servers = dict.fromkeys(range(most), ServerTotals(90, 1e6))
        message = LoadDatagram(
            token="0" * 16,
            sender="edge-some-availability-zone-11",
            direction="u",
            instances=350,
            pipe_ms_per_s=123.4,
            age_ms=4000,
            servers=_load_link._packed(servers),
        )
        datagram_bytes = len(msgspec.msgpack.encode(message)) + 28
        ticks = 1 / _load_link.TICK_S
        assert datagram_bytes * neighbours * ticks <= 4000

    @pytest.mark.parametrize(
        "neighbours", range(1, _load_link.MAX_RECIPIENTS_PER_TICK + 1)
    )
    @pytest.mark.parametrize("demand", [OFFERED, MUCH_OFFERED])
    def test_bytes_with_demand_are_bounded(self, neighbours, demand):
        """Guards against demand that takes more than control has beside loads."""
        feed = DemandFeed()
        for _ in range(4):
            demands = feed.pack(
                {str(n): demand for n in range(neighbours)},
                most_bytes=_load_link.most_demand_bytes(neighbours),
            )
            assert all(decode_demand(data).offers_per_s for data in demands.values())
            most = _load_link.max_servers(neighbours, demands.values())
            servers = dict.fromkeys(range(most), ServerTotals(90, 1e6))
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
                            servers=_load_link._packed(servers),
                            demand=data,
                        )
                    )
                )
                for data in demands.values()
            )
            assert tick_bytes <= 3800 * _load_link.TICK_S

    def test_without_demand_nothing_changes_on_the_wire(self):
        """Guards against bytes that are sent where no service is governed."""
        fields = ("token", "sender", "u", 3, 12.5, 400, b"12345678")
        before = msgspec.msgpack.encode(LoadDatagramBefore(*fields))
        assert encoded(LoadDatagram(*fields)) == before
        for neighbours in range(1, 7):
            none = [b""] * neighbours
            most = _load_link.max_servers(neighbours, none)
            assert most == _load_link.max_servers(neighbours)

    def test_versions_understand_each_other(self):
        """Guards against loads that are lost while a fleet is upgraded."""
        fields = ("token", "sender", "u", 3, 12.5, 400, b"12345678")
        before = msgspec.msgpack.encode(LoadDatagramBefore(*fields))
        read = msgspec.msgpack.decode(before, type=LoadDatagram)
        assert read == LoadDatagram(*fields)
        now = encoded(LoadDatagram(*fields, demand=encode_demand(OFFERED)))
        read_before = msgspec.msgpack.decode(now, type=LoadDatagramBefore)
        assert read_before == LoadDatagramBefore(*fields)
        assert decode_demand(msgspec.msgpack.decode(now, type=LoadDatagram).demand) == (
            OFFERED
        )

    def test_incomplete_demand_is_no_load(self):
        """Guards against sums taken from a datagram that can't be understood."""
        datagrams = PeerDatagrams(InstanceDirectory(entry("i0")._replace(token="t")))
        link = LoadLink(datagrams, StreamLoads())
        message = LoadDatagram(
            "t", "i1", "u", 1, 0.0, 0, b"", encode_demand(OFFERED)[:-1]
        )
        with pytest.raises(ValueError, match="complete"):
            link._take(message)
        datagrams.datagram_received(encoded(message), None)

    @given(st.dictionaries(st.integers(0, 2**32 - 1), st.integers(0, 10**6)))
    def test_packed_totals_come_back(self, streams):
        """Up to the bounds of the packing and its unit."""
        servers = {n: ServerTotals(k, k * 512.0) for n, k in streams.items()}
        back = _load_link._unpacked(_load_link._packed(servers))
        assert back.keys() == servers.keys()
        for number, totals in back.items():
            assert totals.streams == min(65535, servers[number].streams)
            assert totals.token_layers == min(
                65535 * 256.0, servers[number].token_layers
            )
