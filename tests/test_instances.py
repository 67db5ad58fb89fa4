# SPDX-License-Identifier: MIT
"""Who reads the store for whom."""

from __future__ import annotations

import collections
import zlib

import pytest

from violethatch.instances import (
    DOWN_S,
    ENTRY_LIFE_S,
    FOLLOWERS_A_READER,
    LEAST_MEMBERS,
    LEAST_REGION,
    READERS,
    REFUSED_S,
    SUBSTITUTES,
    InstanceDirectory,
    InstanceEntry,
)


def entry(name, *, zone="z1", link_mbps=20.0, written_s=0.0):
    """Return an instance's entry, with a port of its own."""
    port = 1024 + zlib.crc32(name.encode()) % 60_000
    return InstanceEntry(name, zone, f"10.0.0.1:{port}", "t", link_mbps, written_s)


def directories(entries):
    """Return each instance's view of all."""
    made = {}
    for one in entries:
        made[one.id] = InstanceDirectory(one)
        made[one.id].take({other.id: other for other in entries}, is_whole=True)
    return made


def sources(made, now_s=0.0):
    """Return, by instance, the id of who it follows, or None."""
    return {
        name: source.id if (source := one.source(now_s=now_s)) else None
        for name, one in made.items()
    }


class TestInstanceDirectory:
    def test_few_read_for_themselves(self):
        """Below some instances a reader would cost more than it saves."""
        few = directories([entry(f"i{n}") for n in range(LEAST_MEMBERS - 1)])
        assert set(sources(few).values()) == {None}
        assert not any(one.is_reader(now_s=0.0) for one in few.values())

    @pytest.mark.parametrize("count", [LEAST_MEMBERS, LEAST_REGION - 1])
    def test_all_agree_on_the_readers(self, count):
        """Who knows the same comes to the same readers, and follows one."""
        made = directories([entry(f"i{n}") for n in range(count)])
        readers = {name for name, one in made.items() if one.is_reader(now_s=0.0)}
        assert len(readers) == -(-count // FOLLOWERS_A_READER)
        for name, source in sources(made).items():
            assert (source is None) == (name in readers)
            assert source is None or source in readers

    @pytest.mark.parametrize("count", [LEAST_REGION, 24, 25, 60, 195])
    def test_two_read_for_a_large_region(self, count):
        """All others follow a relay of their zone, or a reader."""
        made = directories([entry(f"i{n}", zone=f"z{n % 5}") for n in range(count)])
        readers = {name for name, one in made.items() if one.is_reader(now_s=0.0)}
        assert len(readers) == READERS
        assert len({made[one].own.availability_zone for one in readers}) == READERS
        followed = sources(made)
        for name, source in followed.items():
            assert (source is None) == (name in readers)
            if source is not None and source not in readers:
                assert made[source].is_relay(now_s=0.0)
                assert followed[source] in readers
                assert made[source].own.availability_zone == (
                    made[name].own.availability_zone
                )

    def test_followers_are_spread(self):
        """No relay gets nearly all followers of a zone."""
        made = directories([entry(f"i{n:03d}") for n in range(96)])
        counts = collections.Counter(sources(made).values())
        relays = {name for name, one in made.items() if one.is_relay(now_s=0.0)}
        assert len(relays) == 4
        assert max(counts.values()) <= 2 * FOLLOWERS_A_READER

    def test_readers_that_the_store_refuses_are_stood_in_for(self):
        """The next in rank read; others ask these, and nobody else the store."""
        made = directories([entry(f"i{n}", zone=f"z{n % 5}") for n in range(40)])
        readers = {name for name, one in made.items() if one.is_reader(now_s=0.0)}
        for one in made.values():
            for reader in readers:
                one.note_refused(reader, now_s=0.0)
        found = sources({k: v for k, v in made.items() if k not in readers}, now_s=0.1)
        assert 1 <= list(found.values()).count(None) <= READERS
        assert readers.isdisjoint(found.values())
        assert sources(made, now_s=REFUSED_S)[next(iter(readers))] is None

    def test_store_that_refuses_all_is_asked_by_few(self):
        """When substitutes are refused too, all wait for the readers."""
        made = directories([entry(f"i{n}", zone=f"z{n % 5}") for n in range(40)])
        readers = {name for name, one in made.items() if one.is_reader(now_s=0.0)}
        for name, one in made.items():
            for other in made:
                if other != name:
                    one.note_refused(other, now_s=0.0)
        asking = {n for n, one in made.items() if one.source(now_s=0.1) is None}
        assert readers <= asking
        assert len(asking) <= READERS + SUBSTITUTES

    def test_best_links_read(self):
        """The smallest machines are not the slowest link."""
        entries = [entry(f"i{n}") for n in range(12)]
        made = directories([*entries, entry("large", link_mbps=200.0)])
        assert made["large"].is_reader(now_s=0.0)
        assert set(sources(made).values()) == {"large", None}
        entries = [entry(f"i{n}") for n in range(20)]
        made = directories([*entries, entry("large", link_mbps=200.0)])
        assert made["large"].is_reader(now_s=0.0)

    def test_zones_keep_to_themselves(self):
        """Nobody follows an instance of another zone."""
        near = [entry(f"n{n}") for n in range(6)]
        far = [entry(f"f{n}", zone="z2") for n in range(6)]
        for name, source in sources(directories([*near, *far])).items():
            assert source is None or source[0] == name[0]

    def test_silent_reader_is_left_for_a_while(self):
        """Another one is followed until the silent one is tried again."""
        made = directories([entry(f"i{n}") for n in range(10)])
        before = sources(made)
        reader = next(name for name, source in before.items() if source is None)
        for one in made.values():
            one.note_down(reader, now_s=1.0)
        after = sources({k: v for k, v in made.items() if k != reader}, now_s=1.1)
        assert reader not in after.values()
        assert list(after.values()).count(None) == 1
        assert sources(made, now_s=1.0 + DOWN_S) == before

    def test_restarted_reader_counts_as_down(self):
        """Guards against a new process that pays for its predecessor's silence."""
        made = directories([entry(f"i{n}") for n in range(LEAST_MEMBERS)])
        follower = next(one for one in made.values() if one.source(now_s=0.0))
        reader = follower.source(now_s=0.0)
        follower.note_down(reader.id, now_s=1.0)
        follower.take({reader.id: reader._replace(written_s=1.0)}, is_whole=False)
        assert follower.source(now_s=1.1) != reader
        restarted = reader._replace(token="t2", written_s=1.1)
        follower.take({reader.id: restarted}, is_whole=False)
        assert follower.source(now_s=1.2) == restarted

    def test_refused_token_is_shown_until_the_entry_is_new(self):
        """Guards against calls that are handed to a process that is gone."""
        made = directories([entry(f"i{n}") for n in range(LEAST_MEMBERS)])
        follower = next(one for one in made.values() if one.source(now_s=0.0))
        reader = follower.source(now_s=0.0)
        follower.note_token_refused(reader)
        assert reader not in follower.askable()
        assert follower.source(now_s=2 * DOWN_S) != reader
        renewed = reader._replace(written_s=1.0)
        follower.take({reader.id: renewed}, is_whole=False)
        assert renewed not in follower.askable()
        restarted = reader._replace(token="t2")
        follower.take({reader.id: restarted}, is_whole=False)
        assert restarted in follower.askable()
        assert follower.source(now_s=2 * DOWN_S) == restarted

    def test_late_refusal_of_an_earlier_token(self):
        """Guards against a new process that is left for its predecessor's token."""
        made = directories([entry("i1"), entry("i2")])["i1"]
        refused = []
        made.on_token_refused = lambda: refused.append(1)
        (old,) = made.others()
        made.take({"i2": old._replace(token="t2")}, is_whole=False)
        made.note_token_refused(old)
        assert len(made.askable()) == 1
        assert refused == []
        made.note_token_refused(old._replace(token="t2"))
        assert refused == [1]

    def test_gone_entry(self):
        """An entry that is taken away counts no more."""
        made = directories([entry(f"i{n}") for n in range(LEAST_MEMBERS)])
        one = made["i0"]
        one.take({"i4": None}, is_whole=False)
        assert len(one) == LEAST_MEMBERS - 1
        assert one.source(now_s=0.0) is None

    def test_expired_entries(self):
        """Entries that nobody renews are named, to be removed."""
        old = entry("old", written_s=10.0)
        new = entry("new", written_s=ENTRY_LIFE_S)
        one = directories([old, new])["new"]
        assert one.expired(store_s=11.0 + ENTRY_LIFE_S) == ["old"]

    def test_own_entry_never_expires(self):
        """The write that renews it would remove it."""
        one = directories([entry("own")])["own"]
        assert one.expired(store_s=10.0 * ENTRY_LIFE_S) == []

    def test_helpers_are_readers_near_ones_first(self):
        """When the store is away, those who read are asked, near ones first."""
        near = [entry(f"n{n}") for n in range(6)]
        far = [entry(f"f{n}", zone="z2") for n in range(6)]
        made = directories([*near, *far])
        helpers = [one.id for one in made["n0"].helpers(now_s=0.0)]
        assert [name[0] for name in helpers] == ["n", "n", "f", "f"]
        assert "n0" not in helpers
