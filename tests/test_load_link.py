# SPDX-License-Identifier: MIT
"""Loads between instances, over real sockets."""

from __future__ import annotations

import asyncio
import itertools

import msgspec
import pytest

from hypothesis import given
from hypothesis import strategies as st

from routing_samples import engine, runner
from test_instances import entry
from test_platform_process import free_ports
from violethatch import _load_link
from violethatch._load_link import LoadLink
from violethatch._peer_datagrams import LoadDatagram, PeerDatagrams
from violethatch.instances import InstanceDirectory
from violethatch.load_sums import ServerTotals
from violethatch.paths import find_path
from violethatch.stream_loads import StreamLoads


PATH = find_path([runner("a", 0, 40), runner("b", 40, 80)], engine(), zone="z1")


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
                while one.fullness(spec, engine(), now_s=0.0) < 0.5:
                    await asyncio.sleep(0.02)
        assert loads[0].others.servers == {}
        for task in tasks:
            task.cancel()

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
        most = _load_link.most_servers(neighbours)
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
