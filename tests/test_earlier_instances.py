# SPDX-License-Identifier: MIT
"""Instances of an earlier version and of this one in one installation."""

from __future__ import annotations

import functools
import operator
import typing

import msgspec
import pytest

from forwarding_replay import Replay
from test_instances import entry
from violethatch import _peer_datagrams, events
from violethatch._peer_datagrams import (
    LostLinksDatagram,
    PeerDatagrams,
    SightingsDatagram,
    encoded,
)
from violethatch.forwarding._wire import (
    Refusal,
    decoded_lost,
    decoded_refusal,
    encoded_lost,
)
from violethatch.instances import InstanceDirectory


class EarlierRefusal(msgspec.Struct, array_like=True, frozen=True):
    """A refusal as instances before 26.13.0 send it."""

    code: int
    detail: str
    ran: str
    retry_after_s: float | None
    in_flight: int


EARLIER = EarlierRefusal(1208, "no link", "no", 0.5, 7)
PEERS = [entry("i1"), entry("i2")]


class TestRefusal:
    def test_earlier_refusal_is_not_understood(self):
        """It says that its sender announces nothing, and the rest is the same."""
        refusal = decoded_refusal(msgspec.msgpack.encode(EARLIER))
        assert refusal == Refusal(1208, "no link", "no", 0.5, 7, None)

    @pytest.mark.parametrize("lost", [{}, {"i1": 2.5, "i2": 0.0}])
    def test_earlier_instance_does_not_understand_a_refusal(self, lost):
        """An earlier instance reads past what it doesn't know."""
        refusal = Refusal(1208, "no link", "no", 0.5, 7, encoded_lost(lost))
        data = msgspec.msgpack.encode(refusal)
        assert msgspec.msgpack.decode(data, type=EarlierRefusal) == EARLIER

    def test_unknown_instances_are_taken_in(self):
        """A refusal may tell of instances whose entries are not here yet."""
        lost = encoded_lost({"i1": 2.5, "i9": 3.0})
        assert decoded_lost(lost, PEERS) == {PEERS[0]: 2.5}

    @pytest.mark.parametrize(
        "lost", [[["i1", 5]], [[1]], [[1, 2, 3]], [[1, 2.5]], "lost", [[None, 5]]]
    )
    def test_odd_refusal_ends_the_reader(self, lost):
        """What can't be understood is an error that the reader expects."""
        data = msgspec.msgpack.encode([1208, "no link", "no", 0.5, 7, lost])
        with pytest.raises(ValueError, match=r".+"):
            decoded_refusal(data)


@pytest.fixture
def lines(monkeypatch):
    """Provide the events that are logged."""
    logged = []
    monkeypatch.setattr(events, "log", lambda event, **_fields: logged.append(event))
    return logged


@pytest.fixture
def earlier(monkeypatch):
    """Provide an instance that doesn't know the newest datagram, and what it takes."""
    known = [
        kind
        for kind in typing.get_args(_peer_datagrams.Datagram)
        if kind is not LostLinksDatagram
    ]
    monkeypatch.setattr(
        _peer_datagrams, "Datagram", functools.reduce(operator.or_, known)
    )
    datagrams = PeerDatagrams(InstanceDirectory(entry("i0")._replace(token="own")))
    taken = []
    datagrams.on(SightingsDatagram, taken.append)
    return datagrams, taken


class TestDatagrams:
    def test_earlier_instance_stops_at_an_unknown_datagram(self, earlier, lines):
        """It logs one line for each, and takes the next datagram in."""
        datagrams, taken = earlier
        announcement = LostLinksDatagram("own", "i1", 1, 1, 5000, ["model"])
        for _ in range(3):
            datagrams.datagram_received(encoded(announcement), None)
        assert lines == [events.DATAGRAM_LOST] * 3
        datagrams.datagram_received(encoded(SightingsDatagram("own", "i1", [])), None)
        assert [one.sender for one in taken] == ["i1"]
        assert len(lines) == 3

    @pytest.mark.parametrize("more", [[], ["later"], ["later", {"field": 1}]])
    def test_later_fields_of_an_announcement_are_refused(self, lines, more):
        """A later version may tell more in the same datagram."""
        own = InstanceDirectory(entry("i0")._replace(token="own"))
        datagrams = PeerDatagrams(own)
        taken = []
        datagrams.on(LostLinksDatagram, taken.append)
        row = ["n", "own", "i1", 1, 2, 5000, ["model"], *more]
        datagrams.datagram_received(msgspec.msgpack.encode(row), None)
        assert [(one.number, one.services) for one in taken] == [(2, ["model"])]
        assert lines == []

    @pytest.mark.parametrize(
        "row",
        [
            ["n", "own", "i1", -1, 2, 5000, []],
            ["n", "own", "i1", 1, 2, -1, []],
            ["n", "own", "i1", 1, 2, 10**9, []],
            ["n", "own", "i1", 1, 2, float("nan"), []],
            ["n", "own", "i1", 1, 2, 5000, ["model"] * 33],
            ["n", "own", "i1", 1, 2, 5000, [7]],
            ["n", "own", "i1", 1, 2, 5000],
        ],
    )
    def test_odd_announcement_is_taken_in(self, lines, row):
        """One out of its bounds is dropped with one line."""
        own = InstanceDirectory(entry("i0")._replace(token="own"))
        datagrams = PeerDatagrams(own)
        taken = []
        datagrams.on(LostLinksDatagram, taken.append)
        datagrams.datagram_received(msgspec.msgpack.encode(row), None)
        assert taken == []
        assert lines == [events.DATAGRAM_LOST]


class TestLinksThatComeBack:
    def test_earlier_instances_are_left_out_for_long(self):
        """They announce nothing, so that a refusal must not outlive their loss."""
        zones, heals_s, known_s = (24, 24, 24), 5.0, 2.0
        replay = Replay(zones, seed=0)
        ids = sorted(replay.instances)
        earlier = set(ids[::2])
        for instance_id in earlier:
            replay.instances[instance_id].is_earlier = True
        outcome = replay.play(
            set(ids),
            rate_per_s=1.0,
            lasts_s=1.0,
            for_s=heals_s + known_s + 3.0,
            healed=earlier,
            heals_s=heals_s,
        )
        later = [peer for at_s, _, peer in outcome.calls if at_s >= heals_s + known_s]
        assert sum(peer is not None for peer in later) >= 0.95 * len(later)
