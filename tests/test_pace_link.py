# SPDX-License-Identifier: MIT
"""Slow runners' words, passed on."""

from __future__ import annotations

from test_instances import entry
from violethatch._peer_datagrams import PaceDatagram, PeerDatagrams
from violethatch._slow_runner_link import SlowRunnerLink
from violethatch.instances import InstanceDirectory
from violethatch.slow_runners import SlowRunners


class Wire:
    """Notes what is sent."""

    def __init__(self, *ids):
        self.directory = InstanceDirectory(entry("i0"))
        self.directory.take({one: entry(one) for one in ids}, is_whole=True)
        self.sent = []
        self.take = None

    def on(self, _kind, take):
        self.take = take

    def send(self, peer, message):
        self.sent.append((peer.id, message.server_id, message.slowness))


class TestPaceLink:
    def test_word_goes_to_all(self):
        """Each other instance is told once."""
        wire = Wire("i0", "i1", "i2")
        SlowRunnerLink(wire, SlowRunners()).broadcast("a", 12.0)
        assert wire.sent == [("i1", "a", 12.0), ("i2", "a", 12.0)]

    def test_word_is_taken(self):
        """A runner that is slow for one instance is slow for all."""
        paces = SlowRunners()
        wire = Wire()
        SlowRunnerLink(wire, paces)
        wire.take(PaceDatagram("t", "i1", "a", 12.0))
        assert paces.slow(now_s=0.0) == {"a": 12.0}

    def test_bounded_rate(self):
        """However many runners are slow, the links are not filled."""
        wire = Wire("i1")
        link = SlowRunnerLink(wire, SlowRunners())
        for n in range(100):
            link.broadcast(f"s{n}", 12.0)
        assert len(wire.sent) <= 10

    def test_real_datagrams_carry_it(self):
        """Nothing is lost on the way through the socket's protocol."""
        paces = SlowRunners()
        datagrams = PeerDatagrams(InstanceDirectory(entry("i0")._replace(token="t")))
        SlowRunnerLink(datagrams, paces)
        sent = []
        sender = PeerDatagrams(InstanceDirectory(entry("i1")))
        sender.connection_made(
            type("Transport", (), {"sendto": lambda _, data, _to: sent.append(data)})()
        )
        sender.send(entry("9")._replace(token="t"), PaceDatagram("t", "i1", "a", 12.0))
        datagrams.datagram_received(sent[0], None)
        assert "a" in paces.slow(now_s=0.0)
