# SPDX-License-Identifier: MIT
"""Exchange of slow runners' reports."""

from __future__ import annotations

from test_instances import entry
from violethatch._peer_datagrams import PaceDatagram, PeerDatagrams
from violethatch._slow_runner_link import SlowRunnerLink
from violethatch.instances import InstanceDirectory
from violethatch.slow_runners import SlowRunners


class FakeDatagrams:
    """Records the messages that are sent."""

    def __init__(self, *ids):
        self.directory = InstanceDirectory(entry("i0"))
        self.directory.take(
            {instance_id: entry(instance_id) for instance_id in ids}, is_whole=True
        )
        self.sent = []
        self.receive = None

    def on(self, _kind, receive):
        self.receive = receive

    def send(self, peer, message):
        self.sent.append((peer.id, message.server_id, message.slowness))


class TestPaceLink:
    def test_report_is_sent_to_all(self):
        """Each other instance is sent one message."""
        datagrams = FakeDatagrams("i0", "i1", "i2")
        SlowRunnerLink(datagrams, SlowRunners()).broadcast("a", 12.0)
        assert datagrams.sent == [("i1", "a", 12.0), ("i2", "a", 12.0)]

    def test_report_is_recorded(self):
        """A runner that is slow for one instance is slow for all."""
        slow_runners = SlowRunners()
        datagrams = FakeDatagrams()
        SlowRunnerLink(datagrams, slow_runners)
        datagrams.receive(PaceDatagram("t", "i1", "a", 12.0))
        assert slow_runners.slow(now_s=0.0) == {"a": 12.0}

    def test_bounded_rate(self):
        """The links are not saturated, regardless of the number of slow runners."""
        datagrams = FakeDatagrams("i1")
        link = SlowRunnerLink(datagrams, SlowRunners())
        for n in range(100):
            link.broadcast(f"s{n}", 12.0)
        assert len(datagrams.sent) <= 10

    def test_report_in_datagram(self):
        """A message survives encoding and decoding."""
        slow_runners = SlowRunners()
        datagrams = PeerDatagrams(InstanceDirectory(entry("i0")._replace(token="t")))
        SlowRunnerLink(datagrams, slow_runners)
        sent = []
        sender = PeerDatagrams(InstanceDirectory(entry("i1")))
        sender.connection_made(
            type("Transport", (), {"sendto": lambda _, data, _to: sent.append(data)})()
        )
        sender.send(entry("9")._replace(token="t"), PaceDatagram("t", "i1", "a", 12.0))
        datagrams.datagram_received(sent[0], None)
        assert "a" in slow_runners.slow(now_s=0.0)
