# SPDX-License-Identifier: MIT
"""Entries, rows, reports and datagrams of other writers do no harm."""

from __future__ import annotations

import base64
import json
import math
import random

import msgspec
import pytest

from hypothesis import given, settings
from hypothesis import strategies as st

from router_fakes import FakeClient, admitted
from router_fakes import settings as router_settings
from test_instances import entry as instance_entry
from test_platform_wire import ENTRY
from violethatch import clocks
from violethatch._peer_datagrams import PeerDatagrams
from violethatch._peer_links import PeerLinks
from violethatch._registration import _entry
from violethatch._router import Router
from violethatch.backends import BackendTable, StoreOutage
from violethatch.instances import InstanceDirectory
from violethatch.leases import Lease
from violethatch.platform._store import table_row
from violethatch.platform._wire import Row, WireDecoder
from violethatch.ports import Row as TableRow
from violethatch.upstream import TableView


GOOD = ENTRY | {
    "Zone": "heredia",
    "layers": {"From": 0, "TargetVersion": 80, "Version": 1},
    "born": 1_772_409_800_000,
}
DEEP = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
#: Anything that JSON can say, numbers out of all bounds among it.
ANYTHING = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
    | st.sampled_from([10**40, -1, "10.0.0.1:80", "ready", "draining"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*GOOD, "From", "TargetVersion"]), inner)
    ),
    max_leaves=8,
)


def encoded(**changes):
    """Return an entry's bytes, with some fields changed or left out."""
    fields = GOOD | changes
    return json.dumps({k: v for k, v in fields.items() if v is not ...}).encode()


def good(number):
    """Return the entry of a runner that holds the whole model."""
    return encoded(Address=f"10.1.0.{number}:8000")


@st.composite
def foreign(draw):
    """Draw an entry that another writer may have left."""
    if draw(st.booleans()):
        return draw(st.binary(max_size=40) | st.just(DEEP))
    names = draw(st.sets(st.sampled_from(sorted(GOOD)), min_size=1, max_size=4))
    return encoded(**{name: draw(ANYTHING | st.just(...)) for name in names})


def router():
    """Return a router that knows of two good runners."""
    made = Router(
        router_settings(),
        client=FakeClient(),
        decoder=WireDecoder(),
        rng=random.Random(1),
    )
    view = TableView({"a": good(3), "b": good(4)}, 1, 0.0)
    made.apply_server_list(view, True)
    return made


UNUSABLE = [
    {"State": "ripe"},
    {"State": ...},
    {"State": None},
    {"State": 1},
    {"Service": ...},
    {"Service": ""},
    {"Address": ...},
    {"Address": "nowhere"},
    {"Address": "10.1.0.2"},
    {"Address": "10.1.0.2:0"},
    {"Address": "10.1.0.2:70000"},
    {"Address": "10.1.0.777:80"},
    {"Zone": 5},
    {"Zone": ...},
    {"Slots": "many"},
    {"Slots": 0},
    {"Slots": -4},
    {"Slots": 10**30},
    {"Kind": 7},
    {"layers": 5},
    {"layers": {"From": 9, "TargetVersion": 4}},
    {"layers": {"From": -1, "TargetVersion": 4}},
    {"layers": {"From": 0, "TargetVersion": 10**20}},
    {"layers": {"From": "0", "TargetVersion": 4}},
    {"born": "today"},
    {"born": -1},
    {"born": 1.5},
    {"born": 2**53},
    {"born": 2**63},
    {"born": 10**20},
    {"born": 10**309},
    {"layers": {"From": 0, "TargetVersion": 4, "Version": 10**40}},
    {"layers": {"From": -(2**63) - 1, "TargetVersion": 4}},
    {"Address": "10.1.0.2:65536"},
    {"Address": "10.1.0.2:99999"},
    {"Address": "10.1.0.2:-1"},
    {"Address": "10.1.0.2:100000000000000000000"},
    {"Address": "10.1.0.2:80x"},
    {"Address": "10.1.0.2:80:81"},
    {"Address": ""},
]
#: Values beside the good fields, in a field that is read and in one that isn't.
ODD_VALUES = [
    b"1e400",
    b"1" + b"0" * 40,
    b"1" + b"0" * 5000,
    b"9223372036854775808",
    b"-9223372036854775809",
    *(b"[" * depth + b"]" * depth for depth in (500, 2_000, 100_000)),
]


def with_odd(name, value):
    """Return a good entry with an odd value in one field, as bytes."""
    fields = {key: json.dumps(one).encode() for key, one in GOOD.items()}
    fields[name] = value
    return b"{%s}" % b",".join(b'"%s":%s' % (k.encode(), v) for k, v in fields.items())


class TestEntries:
    @pytest.mark.parametrize("changes", UNUSABLE, ids=str)
    def test_entry_that_names_no_runner_to_use(self, changes):
        """It can't be understood; nothing is guessed."""
        with pytest.raises(ValueError, match=r"."):
            WireDecoder().backend_server("a", encoded(**changes))

    @pytest.mark.parametrize("is_whole", [True, False])
    @pytest.mark.parametrize("value", [b"", b"\xff", DEEP, encoded(State="ripe")])
    def test_it_takes_its_runner_out_and_no_other(self, value, is_whole):
        """The same on both ways in, also soon after the store's return."""
        made = router()
        made.handle_store_recovery(StoreOutage(-math.inf, clocks.now_s()))
        rows = {"a": value, "b": good(4)} if is_whole else {"a": value}
        made.apply_server_list(TableView(rows, 2, 0.0), is_whole)
        assert [one.id for one in made.routing.backends.usable("model")] == ["b"]
        path = made.routing.path(admitted().service)
        assert path.server_ids == {"b"}

    @pytest.mark.parametrize("name", ["Slots", "born", "Version", "Note"])
    @pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: str(value[:20]))
    def test_odd_value_ends_the_reader(self, name, value):
        """Whatever it is, the other entries are in force, and it may be corrected."""
        made = router()
        rows = {"a": with_odd(name, value), "b": good(5)}
        made.apply_server_list(TableView(rows, 2, 0.0), True)
        usable = made.routing.backends.usable("model")
        assert "b" in [one.id for one in usable]
        assert [one.address for one in usable if one.id == "b"] == ["10.1.0.5:8000"]
        for one in usable:
            msgspec.msgpack.encode(one)  # what is taken in can be told
        made.apply_server_list(TableView({"a": good(3)}, 3, 0.0), False)
        assert len(made.routing.backends.usable("model")) == 2
        made.apply_server_list(TableView({"a": None}, 4, 0.0), False)
        assert [one.id for one in made.routing.backends.usable("model")] == ["b"]

    def test_next_good_entry_brings_it_back(self):
        """The runner itself writes again within a heartbeat."""
        made = router()
        made.apply_server_list(TableView({"a": b"?"}, 2, 0.0), False)
        made.apply_server_list(TableView({"a": good(3)}, 3, 0.0), False)
        assert len(made.routing.backends.usable("model")) == 2

    def test_many_of_them_are_one_line_and_counted(self, monkeypatch):
        """A writer gone wild fills neither the log nor the counter's names."""
        lines = []
        monkeypatch.setattr(
            "violethatch.events.eliot.log_message", lambda **line: lines.append(line)
        )
        made = router()
        rows = {f"x{n}": b"?" for n in range(500)}
        made.apply_server_list(TableView(rows, 2, 0.0), False)
        (line,) = [one for one in lines if one["number"] == 2408]
        assert len(line["rows"]) <= 10
        assert line["count"] == 500
        assert made.metrics.invalid_rows.get({"table": "servers"}) == 500

    @settings(max_examples=300, deadline=None)
    @given(st.lists(foreign(), max_size=6), st.booleans())
    def test_good_runners_are_used_whatever_else_is_listed(self, values, is_whole):
        """No entry ends the reader, and paths and plans are found as before."""
        made = router()
        rows = {f"x{n}": value for n, value in enumerate(values)}
        rows |= {"a": good(3), "b": good(4)}
        made.apply_server_list(TableView(rows, 2, 0.0), is_whole)
        service = admitted().service
        usable = {one.id for one in made.routing.backends.usable("model")}
        assert {"a", "b"} <= usable
        assert made.routing.path(service) is not None
        assert made.routing.blocked_time(service) == (0.0, 0.0)

    def test_address_that_another_id_has_too(self):
        """Both are listed; who answers there tells whether it is the one named."""
        made = router()
        made.apply_server_list(TableView({"c": good(3)}, 2, 0.0), False)
        assert len(made.routing.backends.usable("model")) == 3


class TestOtherRows:
    @given(st.binary(max_size=60) | st.just(DEEP))
    @settings(max_examples=100, deadline=None)
    def test_desired_state(self, value):
        """The older one stays, and proves nothing any more."""
        made = router()
        made.apply_desired_state(TableView({"config": value}, 2, 0.0), False)
        assert made.desired is None
        assert not made.freshness.is_fresh(now_s=clocks.now_s())


ODD_ENDPOINTS = [
    "",
    "10.1.0.2",
    "10.1.0.2:0",
    "10.1.0.2:65536",
    "10.1.0.2:99999",
    "10.1.0.2:-1",
    "10.1.0.2:80x",
    "10.1.0.2:80:81",
]


class TestInstanceRows:
    @pytest.mark.parametrize("address", ODD_ENDPOINTS)
    def test_entry_at_no_address_is_asked(self, address):
        """No datagram and no read goes to a port that is another one's or none."""
        row = msgspec.json.encode(instance_entry("i2")._replace(address=address))
        assert _entry("i2", row) is None

    @pytest.mark.parametrize("value", [DEEP, b"1e400", b"[]", b"[1e400]"])
    def test_bytes_that_are_no_entry(self, value):
        """The others of the same answer count."""
        assert _entry("i2", value) is None


def joined():
    """Return a router's datagrams."""
    made = router()
    directory = InstanceDirectory(instance_entry("i1")._replace(token="t"))
    datagrams = PeerDatagrams(directory)
    PeerLinks(datagrams, made, rng=random.Random(1)).open()
    return datagrams, made


NAN = float("nan")


class TestDatagrams:
    @given(st.binary(max_size=80))
    @settings(max_examples=300, deadline=None)
    def test_drawn_bytes(self, data):
        """What can't be read is lost, and nothing else."""
        joined()[0].datagram_received(data, None)

    @given(st.sampled_from("slprgec"), st.lists(ANYTHING, max_size=9))
    @settings(max_examples=500, deadline=None)
    def test_drawn_fields(self, tag, fields):
        """Also with the right token: another instance may be of another release."""
        datagrams, _ = joined()
        try:
            data = msgspec.msgpack.encode([tag, "t", *fields])
        except OverflowError:
            return  # MessagePack has no such number
        datagrams.datagram_received(data, None)

    def test_deep_nesting(self):
        """It is not followed down."""
        nested = b"\x91" * 100_000 + b"\xc0"
        data = msgspec.msgpack.encode(["c", "t", "i2", "w"])
        joined()[0].datagram_received(b"\x95" + data[1:] + nested, None)

    @pytest.mark.parametrize("number", [NAN, float("inf"), -1.0])
    def test_numbers_that_are_none(self, number):
        """No sum, pace or gift becomes one of them."""
        datagrams, made = joined()
        for fields in (
            ["p", "t", "i2", "a", number],
            ["g", "t", "i2", 1, number],
            ["r", "t", "i2", 1, "model", number],
            ["l", "t", "i2", "up", 2, number, 10, b""],
        ):
            datagrams.datagram_received(msgspec.msgpack.encode(fields), None)
        assert not made.routing.slow_runners.slow(now_s=clocks.now_s())
        assert made.routing.loads.others.pipe_ms_per_s == 0.0
        assert made.routing.retries.grant_retries("model", 0.0) == 0.0


def test_table_takes_an_unusable_entry_out_at_once():
    """There is no grace as for an entry that has lapsed."""
    table = BackendTable()
    servers = [
        WireDecoder().backend_server(name, good(n)) for n, name in enumerate("ab")
    ]
    table.apply_changes(servers, [], now_s=0.0)
    table.record_store_recovery(StoreOutage(-3.0, 1.0), now_s=1.0)
    assert table.apply_changes([], [], refused=["a"], now_s=1.1).lost == ("a",)
    assert table.replace(servers[1:], refused=["a"], now_s=1.2).lost == ()


class TestLeaseRow:
    """What holds orders up must not be another writer's row for ever."""

    @pytest.mark.parametrize(
        "value",
        [
            {},
            {"epoch": "x", "renewal": 0, "duration_s": 4.0},
            {"epoch": 3, "renewal": 0},
            {"epoch": -1, "renewal": 0, "duration_s": 4.0, "holder": "i"},
            {"epoch": 3, "renewal": 0, "duration_s": 1e300, "holder": "i"},
            {"epoch": 3, "renewal": 0, "duration_s": -1.0, "holder": "i"},
            {"epoch": 10**400, "renewal": 0, "duration_s": 4.0, "holder": "i"},
        ],
        ids=str,
    )
    def test_row_that_is_no_lease_is_taken_after_a_lease_s_time(self, value):
        """Its version is no lower than any epoch so far."""
        lease = Lease(row_key="job", holder="me", duration_s=4.0, margin_s=1.0)
        row = TableRow("job", 77, value)
        lease.observe(row, now_s=0.0)
        assert lease.wanted_write(now_s=3.9) is None
        put = lease.wanted_write(now_s=4.0)
        assert (put.value["epoch"], put.if_version) == (78, 77)

    def test_good_row_counts_as_before(self):
        """Its holder's duration is waited for, and its epoch goes on."""
        lease = Lease(row_key="job", holder="me", duration_s=4.0, margin_s=1.0)
        value = {"holder": "i", "epoch": 3, "renewal": 9, "duration_s": 6.0}
        lease.observe(TableRow("job", 77, value), now_s=0.0)
        assert lease.wanted_write(now_s=5.9) is None
        assert lease.wanted_write(now_s=6.0).value["epoch"] == 4

    @pytest.mark.parametrize("content", [b"", b"?", b"[]", b"7", DEEP, b"[" * 99_999])
    async def test_bytes_that_are_no_row(self, content):
        """They are read as a row without a value, not as an error."""
        row = Row(key="job", value=base64.b64encode(content).decode(), ver=7)
        assert table_row(row) == TableRow("job", 7, {})
