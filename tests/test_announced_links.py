# SPDX-License-Identifier: MIT
"""What instances say of their links, and when they say it."""

from __future__ import annotations

from test_instances import entry
from violethatch.forwarding import (
    AnnouncedLinks,
    LinkAnnouncement,
    LinkAnnouncer,
    lifetime_of,
)


NEAR, FAR, THIRD = entry("i1"), entry("i2"), entry("i3")
PEERS = [NEAR, FAR]
LIFETIME = lifetime_of(NEAR)


def lost(*services, number=1, lifetime=LIFETIME):
    """Return the announcement of lost links to some services."""
    return LinkAnnouncement(lifetime, number, frozenset(services), life_s=5.0)


class TestAnnouncedLinks:
    def test_announcement_counts_for_its_services(self):
        """Links to other services may be sound."""
        links = AnnouncedLinks()
        assert links.take(NEAR, lost("model"), now_s=1.0)
        assert links.lost(PEERS, "model", now_s=2.0) == {"i1": 4.0}
        assert links.lost(PEERS, "labels", now_s=2.0) == {}
        assert links.counts(PEERS, now_s=2.0) == {"model": 1}

    def test_announcement_that_is_not_renewed_lapses(self):
        """An instance that is gone may have its links again when it is back."""
        links = AnnouncedLinks()
        links.take(NEAR, lost("model"), now_s=1.0)
        assert links.lost(PEERS, "model", now_s=6.0) == {}
        links.forget_old(now_s=6.0)
        assert links.take(NEAR, lost("model"), now_s=6.0)

    def test_late_announcement_undoes_a_return(self):
        """What was sent before a change doesn't count after it."""
        links = AnnouncedLinks()
        links.take(NEAR, lost(number=2), now_s=1.0)
        assert not links.take(NEAR, lost("model", number=1), now_s=1.5)
        assert links.lost(PEERS, "model", now_s=2.0) == {}

    def test_new_start_is_taken_for_the_former_one(self):
        """Its numbers begin anew, and what was said before its start is over."""
        links = AnnouncedLinks()
        links.take(NEAR, lost("model", number=9), now_s=1.0)
        started = NEAR._replace(token="another")
        assert links.lost([started], "model", now_s=1.5) == {}
        news = lost("model", number=1, lifetime=lifetime_of(started))
        assert links.take(started, news, now_s=1.5)
        assert links.lost([started], "model", now_s=2.0) == {"i1": 4.5}

    def test_hearsay_outlives_an_announcement(self):
        """What an instance has said itself goes before what others heard."""
        links = AnnouncedLinks()
        links.take(NEAR, lost(), now_s=1.0)
        links.take_refusal(THIRD, "model", {NEAR: 3.0, FAR: 3.0}, now_s=1.5)
        assert links.lost(PEERS, "model", now_s=2.0) == {"i2": 2.5}

    def test_hearsay_comes_back_after_a_return(self):
        """What was heard before an announcement is over when that lapses."""
        links = AnnouncedLinks()
        links.take_refusal(NEAR, "model", {}, now_s=0.0)
        links.take(NEAR, lost(number=2), now_s=0.5)
        links.take_refusal(THIRD, "model", {NEAR: 9.0}, now_s=0.6)
        for now_s in (0.7, 5.4, 5.6, 9.0):
            assert links.lost(PEERS, "model", now_s=now_s) == {}

    def test_refusal_counts_less_than_an_announcement_before_it(self):
        """Its next announcement may have got lost."""
        links = AnnouncedLinks()
        links.take(NEAR, lost("labels", number=2), now_s=0.0)
        links.take_refusal(NEAR, "model", {}, now_s=1.0)
        assert links.lost(PEERS, "model", now_s=2.0) == {"i1": 9.0}
        assert links.lost(PEERS, "labels", now_s=2.0) == {"i1": 9.0}
        links.take(NEAR, lost(number=3), now_s=2.0)
        assert links.lost(PEERS, "model", now_s=2.0) == {}

    def test_former_process_speaks_for_the_new_one(self):
        """A datagram of a former process that comes late changes nothing."""
        links = AnnouncedLinks()
        links.take(NEAR, lost("model"), now_s=1.0)
        links.take(NEAR, lost(number=9, lifetime=LIFETIME + 1), now_s=1.1)
        assert links.lost(PEERS, "model", now_s=1.5) == {"i1": 4.5}

    def test_hearsay_is_renewed_by_being_passed_on(self):
        """Each passes on what is left of its time."""
        first, second = AnnouncedLinks(), AnnouncedLinks()
        first.take_refusal(THIRD, "model", {NEAR: 60.0}, now_s=0.0)
        for now_s in (4.0, 8.0):
            for teller, hearer in ((first, second), (second, first)):
                left_s = teller.lost(PEERS, "model", now_s=now_s)["i1"]
                hearer.take_refusal(THIRD, "model", {NEAR: left_s}, now_s=now_s)
        assert first.lost(PEERS, "model", now_s=10.0) == {}
        assert second.lost(PEERS, "model", now_s=10.0) == {}

    def test_hearsay_outlives_the_process_it_is_about(self):
        """A new start may have its links."""
        links = AnnouncedLinks()
        links.take_refusal(THIRD, "model", {NEAR: 3.0}, now_s=1.0)
        started = NEAR._replace(token="another")
        assert links.lost([NEAR], "model", now_s=1.5) == {"i1": 2.5}
        assert links.lost([started], "model", now_s=1.5) == {}

    def test_instance_that_serves_counts_as_one_without_links(self):
        """An answer ends what was heard."""
        links = AnnouncedLinks()
        links.take_refusal(THIRD, "model", {NEAR: 3.0}, now_s=1.0)
        links.take_answer(NEAR, "model")
        assert links.lost(PEERS, "model", now_s=1.5) == {}


def told(announcer, peers, times_s):
    """Return who is told at which times."""
    return [
        (now_s, peer.id)
        for now_s in times_s
        for peer in announcer.select(peers, now_s=now_s)
    ]


class TestLinkAnnouncer:
    def test_nothing_is_told_while_no_links_are_lost(self):
        """At rest it costs nothing."""
        announcer = LinkAnnouncer(7)
        assert announcer.is_done
        assert told(announcer, PEERS, [0.0, 1.0]) == []

    def test_single_lost_datagram_leaves_an_instance_unaware(self):
        """A change is told three times, and again as long as it lasts."""
        announcer = LinkAnnouncer(7)
        announcer.update(["model"])
        times_s = [number / 10 for number in range(40)]
        assert told(announcer, [NEAR], times_s) == [
            (0.0, "i1"),
            (0.2, "i1"),
            (0.4, "i1"),
            (2.4, "i1"),
        ]
        message = announcer.announcement(instances=1)
        assert message.services == {"model"}
        assert message.life_s > 2 * 2.0

    def test_return_is_never_done(self):
        """It is told until what was told before has lapsed, and then no more."""
        announcer = LinkAnnouncer(7)
        announcer.update(["model"])
        told(announcer, PEERS, [0.0])
        announcer.update([])
        assert announcer.announcement(instances=2).number == 2
        again = told(announcer, [NEAR], [number / 10 for number in range(1, 100)])
        assert len(again) == 6
        assert again[2][0] < 1.0
        assert again[-1][0] >= announcer.announcement(instances=1).life_s
        assert announcer.is_done

    def test_instance_that_starts_meanwhile_is_not_told(self):
        """A new token is a new start, which knows of nothing."""
        announcer = LinkAnnouncer(7)
        announcer.update(["model"])
        told(announcer, [NEAR], [0.0, 0.2, 0.4])
        started = NEAR._replace(token="another")
        assert told(announcer, [started], [0.5]) == [(0.5, "i1")]

    def test_flapping_links_fill_the_links_between_instances(self):
        """However often links come and go, an instance is told ten times a second."""
        announcer = LinkAnnouncer(7)
        count = 0
        for number in range(1000):
            announcer.update(["model"] if number % 2 else [])
            count += len(announcer.select([NEAR], now_s=number / 1000))
        assert count <= 11

    def test_instances_that_are_gone_are_told_forever(self):
        """Who left before it knew keeps nobody busy."""
        announcer = LinkAnnouncer(7)
        announcer.update(["model"])
        told(announcer, PEERS, [0.0])
        announcer.update([])
        told(announcer, [], [0.2])
        assert announcer.is_done
