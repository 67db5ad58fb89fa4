# SPDX-License-Identifier: MIT
"""Which instance serves for one without links, replayed at planned sizes."""

from __future__ import annotations

import heapq
import random
import statistics

from collections import Counter

import pytest

from violethatch.forwarding import (
    AnnouncedLinks,
    LinkAnnouncement,
    PeerChoice,
    lifetime_of,
)
from violethatch.instances import InstanceEntry


def entry(number, zone):
    """Return an instance's entry."""
    return InstanceEntry(f"i{number}", zone, f"10.0.0.{number}:1", "t", 1000.0, 0.0)


NEAR, FAR = entry(1, "z1"), entry(2, "z2")


def choice(seed=1):
    """Return what an instance of the zone z1 knows at first."""
    return PeerChoice("z1", AnnouncedLinks(), rng=random.Random(seed))


class TestBound:
    def test_refusals_in_a_row_bound_what_is_asked(self):
        """An instance that takes a call, or a while without any, ends that."""
        made = choice()
        for number in range(8):
            assert made.max_asked("model", now_s=1.0) == 8
            made.note_refused(f"i{number}", "model", now_s=1.0)
        assert made.max_asked("model", now_s=1.5) == 2
        assert made.max_asked("labels", now_s=1.5) == 8
        assert made.max_asked("model", now_s=6.0) == 8
        made.note_taken(FAR, "model", now_s=1.0)
        assert made.max_asked("model", now_s=1.5) == 8


class TestChoice:
    def test_own_zone_comes_first(self):
        """The way between zones is taken only where it saves waiting."""
        made = choice()
        assert made.choose([FAR, NEAR], "model", now_s=1.0) == NEAR
        made.note_load(NEAR.id, 30, now_s=1.0)
        assert made.choose([FAR, NEAR], "model", now_s=1.0) == FAR

    def test_unknown_instance_counts_as_empty(self):
        """It is likely as full as those of its zone that are known."""
        made = choice()
        beside = entry(3, "z1")
        made.note_load(NEAR.id, 30, now_s=1.0)
        made.note_load(FAR.id, 10, now_s=1.0)
        assert made.choose([NEAR, beside, FAR], "model", now_s=1.5) == FAR

    def test_equal_instances_are_taken_by_chance(self):
        """In turn, each gets as much, however few requests there are."""
        made = choice()
        peers = [entry(number, "z1") for number in range(5)]
        taken = Counter()
        for number in range(10):
            now_s = 1.0 + number / 20
            peer = made.choose(peers, "model", now_s=now_s)
            made.note_load(peer.id, 3, now_s=now_s)
            taken[peer.id] += 1
        assert set(taken.values()) == {2}

    def test_instance_that_refused_is_left_out_for_its_service(self):
        """It may serve others, and is asked again after a while."""
        made = choice()
        made.note_refused(NEAR.id, "model", now_s=1.0)
        assert made.choose([NEAR], "model", now_s=1.5) is None
        assert made.choose([NEAR], "labels", now_s=1.5) == NEAR
        assert made.choose([NEAR], "model", now_s=2.1) == NEAR

    def test_instance_that_refused_is_left_out_after_its_return(self):
        """What it announces goes before what it said as it refused."""
        links = AnnouncedLinks()
        made = PeerChoice("z1", links, rng=random.Random(1))
        made.note_lost_links(NEAR, "model", {}, now_s=1.0)
        assert made.choose([NEAR], "model", now_s=1.2) is None
        back = LinkAnnouncement(lifetime_of(NEAR), 2, frozenset(), life_s=5.0)
        links.take(NEAR, back, now_s=1.3)
        assert made.choose([NEAR], "model", now_s=1.4) == NEAR

    def test_silent_instance_is_left_out_for_all_services(self):
        """What gives no answer serves nothing."""
        made = choice()
        made.note_silent(NEAR, now_s=1.0)
        assert made.choose([NEAR, FAR], "labels", now_s=1.5) == FAR

    def test_only_other_instance_is_left_out_for_one_silence(self):
        """The rest doubles with each silence, and an answer ends that."""
        made = choice()
        rests_s, now_s = [], 1.0
        for _ in range(4):
            made.note_silent(NEAR, now_s=now_s)
            made.note_silent(NEAR, now_s=now_s + 0.01)
            began_s = now_s
            while made.choose([NEAR], "model", now_s=now_s) is None:
                now_s += 0.05
            rests_s.append(now_s - began_s)
        assert rests_s == pytest.approx([0.6, 1.2, 2.4, 3.0], abs=0.06)
        made.began(NEAR.id)
        made.note_silent(NEAR, now_s=now_s)
        assert made.choose([NEAR], "model", now_s=now_s + 0.61) == NEAR

    def test_instance_that_alone_may_serve_is_left_out_for_one_silence(self):
        """A call that would be refused is handed to it once more."""
        made = choice()
        made.note_lost_links(FAR, "model", {}, now_s=1.0)
        assert made.last_resort([FAR], "model", now_s=1.1) is None
        made.note_silent(NEAR, now_s=1.0)
        assert made.choose([NEAR, FAR], "model", now_s=1.1) is None
        assert made.last_resort([NEAR, FAR], "model", now_s=1.1) == NEAR
        made.note_silent(NEAR, now_s=1.7)
        assert made.last_resort([NEAR, FAR], "model", now_s=1.8) is None

    def test_instance_that_was_asked_is_not_asked_again(self):
        """A call is never handed to the same instance twice in one round."""
        assert choice().choose([NEAR], "model", refused={NEAR}, now_s=1.0) is None

    def test_what_is_old_is_forgotten(self):
        """Neither refusals nor loads stay for good."""
        made = choice()
        made.note_refused(NEAR.id, "model", now_s=1.0)
        made.note_load(NEAR.id, 30, now_s=1.0)
        made.forget_old(now_s=9.0)
        assert made._until_s == {}
        assert made._loads == {}


def replay(
    instances,
    cut_part,
    *,
    rate_per_s,
    lasts_s,
    for_s,
    seed,
    is_bounded=False,
    cut_zone=None,
):
    """Return instances asked a call, and calls by serving instance.

    A part of the instances, or a zone's, loses its links at 0; each is asked for
    *rate_per_s* calls, which last for *lasts_s* at whoever serves them.
    """
    rng = random.Random(seed)
    entries = [entry(number, f"z{number % 3}") for number in range(instances)]
    cut = set(rng.sample([one.id for one in entries], round(instances * cut_part)))
    if cut_zone is not None:
        cut = {one.id for one in entries if one.availability_zone == cut_zone}
    views = {
        one.id: PeerChoice(
            one.availability_zone,
            AnnouncedLinks(),
            rng=random.Random(f"{seed}{one.id}"),
        )
        for one in entries
        if one.id in cut
    }
    in_flight = Counter()
    ends = []
    asked, served = [], Counter()
    for own in entries:
        if own.id not in cut:
            in_flight[own.id] = round(rate_per_s * lasts_s)
    arrivals = sorted(
        (rng.uniform(0, for_s), own)
        for own in sorted(cut)
        for _ in range(round(rate_per_s * for_s))
    )
    for now_s, own in arrivals:
        while ends and ends[0][0] <= now_s:
            _, peer_id, owner = heapq.heappop(ends)
            in_flight[peer_id] -= 1
            views[owner].ended(peer_id)
        view, tried = views[own], []
        max_asked = instances
        if is_bounded:
            max_asked = view.max_asked("model", now_s=now_s)
        while True:
            others = [one for one in entries if one.id != own]
            peer = view.choose(others, "model", refused=tried, now_s=now_s)
            if peer is None or len(tried) >= max_asked:
                break
            tried.append(peer)
            view.note_load(peer.id, in_flight[peer.id], now_s=now_s)
            if peer.id in cut:
                view.note_refused(peer.id, "model", now_s=now_s)
                continue
            in_flight[peer.id] += 1
            served[peer.id] += 1
            view.note_taken(peer, "model", now_s=now_s)
            view.began(peer.id)
            heapq.heappush(ends, (now_s + lasts_s, peer.id, own))
            break
        asked.append(len(tried))
    sound = [one.id for one in entries if one.id not in cut]
    return asked, [served[one] for one in sound]


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize(("instances", "for_s"), [(72, 6), (120, 4), (350, 4)])
def test_calls_are_multiplied_where_no_instance_serves(instances, for_s, seed):
    """Guards against processors kept full by requests that are handed around."""
    asked, served = replay(
        instances,
        1.0,
        rate_per_s=5.5,
        lasts_s=2.0,
        for_s=for_s,
        seed=seed,
        is_bounded=True,
    )
    assert served == []
    assert statistics.mean(asked) <= 2.5


@pytest.mark.parametrize("seed", range(1, 9))
@pytest.mark.parametrize(
    ("instances", "cut_part"),
    [(8, 1 / 8), (8, 5 / 8), (8, 7 / 8), (72, 1 / 3), (350, 1 / 3)],
)
def test_calls_are_shared_by_those_that_serve(instances, cut_part, seed):
    """The busiest has at most twice the mean; few are asked in vain."""
    asked, served = replay(
        instances, cut_part, rate_per_s=5.5, lasts_s=2.0, for_s=6.0, seed=seed
    )
    assert sum(served) == len(asked)
    assert max(served) <= 2.0 * statistics.mean(served)
    assert statistics.mean(asked) <= 2.5
    assert max(asked) <= instances - 1


@pytest.mark.parametrize("rate_per_s", [0.5, 1.5, 5.5])
@pytest.mark.parametrize("instances", [8, 72, 120, 350])
def test_zone_without_links_is_asked_to_exhaustion(instances, rate_per_s):
    """Guards against instances with links that are not asked, in other zones."""
    asked, served = replay(
        instances,
        0.0,
        rate_per_s=rate_per_s,
        lasts_s=2.0,
        for_s=6.0,
        seed=1,
        is_bounded=True,
        cut_zone="z0",
    )
    assert sum(served) >= 0.99 * len(asked)
