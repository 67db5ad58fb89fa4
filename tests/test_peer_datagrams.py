# SPDX-License-Identifier: MIT
"""Datagrams between instances."""

from __future__ import annotations

import msgspec
import pytest

from test_instances import entry
from violethatch import clocks, events
from violethatch._peer_datagrams import PeerDatagrams, SightingsDatagram
from violethatch.instances import InstanceDirectory


def receiver():
    """Return an open socket's protocol, and what it has taken in."""
    datagrams = PeerDatagrams(InstanceDirectory(entry("i0")._replace(token="own")))
    taken = []
    datagrams.on(SightingsDatagram, taken.append)
    return datagrams, taken


def message(token):
    """Return a datagram's bytes."""
    return msgspec.msgpack.encode(SightingsDatagram(token, "i1", []))


class TestPeerDatagrams:
    def test_word_of_an_instance_is_taken(self):
        """Who has read this instance's entry is heard."""
        datagrams, taken = receiver()
        datagrams.datagram_received(message("own"), None)
        assert [one.sender for one in taken] == ["i1"]

    @pytest.mark.parametrize(
        "data", [message("other"), message(""), b"noise", b"", b"\x93\xa1x\xa2i9\x90"]
    )
    def test_strangers_are_not_heard(self, data):
        """Without the receiver's token a datagram is of no effect."""
        datagrams, taken = receiver()
        datagrams.datagram_received(data, None)
        assert taken == []

    def test_word_that_makes_no_sense_stops_nobody(self):
        """A taker's ValueError is logged, and the next datagram is heard."""
        datagrams, _ = receiver()
        calls = []

        def take(one):
            calls.append(one)
            raise ValueError

        datagrams.on(SightingsDatagram, take)
        datagrams.datagram_received(message("own"), None)
        datagrams.datagram_received(message("own"), None)
        assert len(calls) == 2

    def test_lost_datagrams_fill_the_log(self, monkeypatch):
        """Guards against a line each, where all instances have started again."""
        lines, now_s = [], [5.0]
        monkeypatch.setattr(
            events, "log", lambda _event, **fields: lines.append(fields)
        )
        monkeypatch.setattr(clocks, "now_s", lambda: now_s[0])
        datagrams, _ = receiver()
        for _ in range(1000):
            datagrams.datagram_received(message("other"), None)
        assert len(lines) == 5
        now_s[0] += 1.0
        datagrams.datagram_received(message("other"), None)
        assert lines[-1] == {"reason": "wrong token", "unlogged": 995}

    def test_nothing_is_sent_before_the_start(self):
        """Without a socket a datagram is lost."""
        datagrams, _ = receiver()
        datagrams.send(entry("i1"), SightingsDatagram("t", "i0", []))
        assert not datagrams.is_open
