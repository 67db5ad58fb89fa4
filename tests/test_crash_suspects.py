# SPDX-License-Identifier: MIT
"""Which works are held back for the servers that ended under them."""

from __future__ import annotations

import random

import pytest

from violethatch.suspicion import CrashSuspects, End, Hold
from violethatch.work_ids import prompt_part_id, work_id


def work(number=1, *, caller="clinic"):
    """Return a work's id."""
    body = b"%d" % number
    return work_id(caller=caller, method="POST", host="h", target="/", body=body)


WORK = work()


def end(lifetime, *, of=WORK, has_begun=False):
    """Return an end under a work."""
    return End(of, lifetime, has_begun, "i1")


def noted(*ends, now_s=0.0):
    """Return what is known after some ends."""
    suspects = CrashSuspects()
    for one in ends:
        suspects.note(one, now_s=now_s)
    return suspects


class TestHeld:
    def test_three_ends_before_it_had_begun(self):
        """Two may be chance; the third is not."""
        suspects = noted(end("a"), end("b"))
        assert suspects.hold(WORK, now_s=0.0) is None
        suspects.note(end("c"), now_s=0.0)
        hold = suspects.hold(WORK, now_s=1.0)
        assert (hold.left_s, hold.number) == (29.0, 1)
        assert [one.lifetime for one in hold.ends] == ["a", "b", "c"]

    def test_six_ends_after_it_had_begun(self):
        """What runs well for a while is suspected less, but not for ever."""
        late = [end(f"s{n}", has_begun=True) for n in range(6)]
        assert noted(*late[:5]).hold(WORK, now_s=0.0) is None
        assert noted(*late).hold(WORK, now_s=0.0) is not None

    def test_one_servers_end_counts_once(self):
        """Several words of one end, and several tries under it, are one."""
        suspects = noted(*[end("a")] * 9)
        assert not suspects.note(end("a", has_begun=True), now_s=0.0)
        assert suspects.hold(WORK, now_s=0.0) is None

    def test_graver_word_of_the_same_end_counts(self):
        """Two tries may be under one end, of which one had not begun."""
        suspects = noted(end("a", has_begun=True), end("b"), end("c"))
        assert suspects.hold(WORK, now_s=0.0) is None
        assert suspects.note(end("a"), now_s=0.0)
        assert len(suspects.ends(WORK)) == 3

    def test_answered_work_is_suspected_no_more(self):
        """It was in bad company."""
        suspects = noted(end("a"), end("b"))
        assert suspects.clear(WORK, now_s=0.0)
        assert not suspects.clear(WORK, now_s=0.0)
        suspects.note(end("c"), now_s=0.0)
        assert suspects.hold(WORK, now_s=0.0) is None

    def test_it_is_let_through_twice_more(self):
        """Each time later; then it stays held back."""
        suspects = noted(end("a"), end("b"), end("c"))
        tried_s = []
        now_s = 0.0
        while now_s < 4 * 3600.0:
            now_s += 1.0
            if suspects.hold(WORK, now_s=now_s) is None:
                tried_s.append(now_s)
                suspects.note(end(f"t{now_s}"), now_s=now_s)
        assert tried_s == [30.0, 150.0]

    def test_ends_of_tries_under_way_hold_no_longer(self):
        """Several tries at the same moment use up no further one."""
        suspects = noted(*(end(f"s{n}") for n in range(5)))
        assert suspects.hold(WORK, now_s=0.0).number == 1

    def test_old_ends_are_forgotten(self):
        """What servers' ends of hours ago have in common is chance."""
        suspects = noted(end("a"), end("b"))
        suspects.note(end("c"), now_s=4000.0)
        assert suspects.hold(WORK, now_s=4000.0) is None
        assert len(suspects.ends(WORK)) == 1


PART, OTHER_PART = prompt_part_id("5c1e07a2"), prompt_part_id("91bd3f06")
OWN_PART = prompt_part_id("5c1e07a2", caller="clinic")


def answered_then_ended():
    """Return what is known of a part under which two servers ended after an answer."""
    suspects = CrashSuspects()
    suspects.clear(PART, now_s=0.0)
    for name in "ab":
        suspects.note(end(name, of=PART), now_s=9.0)
    return suspects


class TestParts:
    def test_part_of_different_works_is_held_back(self):
        """No two requests with it are alike."""
        suspects = CrashSuspects()
        for number, name in enumerate("abc"):
            suspects.note(end(name, of=work(number)), now_s=0.0)
            suspects.note(end(name, of=PART), now_s=0.0)
        assert suspects.hold_for((work(9), PART), now_s=1.0).trait == PART
        assert suspects.hold_for((work(9), OTHER_PART), now_s=1.0) is None

    def test_end_after_the_answer_had_begun_counts_for_no_part(self):
        """What ends servers does so when its answer begins."""
        assert not noted(end("a", of=PART, has_begun=True))

    def test_repeats_of_one_work_hold_nobody_else_back(self):
        """Its body may be at fault, and not what it shares with others."""
        ends = [end(name, of=of) for name in "abc" for of in (WORK, PART)]
        suspects = noted(*ends)
        assert suspects.hold_for((WORK, PART), now_s=1.0) is not None
        assert suspects.hold_for((work(2), PART), now_s=1.0) is None
        suspects.note(end("d", of=PART), now_s=1.0)
        assert suspects.hold_for((work(2), PART), now_s=1.0) is not None

    def test_request_without_one_of_the_suspected_parts_passes(self):
        """What it lacks may be at fault; one more end tells them apart."""
        parts = (PART, OTHER_PART)
        suspects = noted(*[end(name, of=of) for name in "abc" for of in parts])
        assert suspects.hold_for(parts, now_s=1.0) is not None
        assert suspects.hold_for((PART,), now_s=1.0) is None
        suspects.note(end("d", of=PART), now_s=1.0)
        assert suspects.hold_for((PART,), now_s=1.0) is not None
        assert suspects.hold_for((OTHER_PART,), now_s=1.0) is None

    def test_part_with_fewer_ends_than_another_is_not_held(self):
        """It was in bad company."""
        suspects = noted(*[end(name, of=PART) for name in "abcd"])
        for name in "abc":
            suspects.note(end(name, of=OTHER_PART), now_s=0.0)
        assert suspects.held(now_s=1.0) == [PART]

    def test_other_callers_requests_with_a_part_pass(self):
        """A caller that names others' parts has only its own requests held back."""
        suspects = noted(
            *[end(name, of=of) for name in "abc" for of in (PART, OWN_PART)]
        )
        others = prompt_part_id("5c1e07a2", caller="depot")
        assert suspects.hold_for((work(1), PART, OWN_PART), now_s=1.0) is not None
        assert suspects.hold_for((work(2), PART, others), now_s=1.0) is None

    def test_part_that_several_callers_send_is_held_for_all(self):
        """They need not end three servers each."""
        suspects = noted(*[end(name, of=PART) for name in "abc"])
        for name in "ab":
            suspects.note(end(name, of=OWN_PART), now_s=0.0)
        suspects.note(
            end("c", of=prompt_part_id("5c1e07a2", caller="depot")), now_s=0.0
        )
        third = prompt_part_id("5c1e07a2", caller="shop")
        assert suspects.hold_for((PART, third), now_s=1.0) is not None

    def test_one_request_in_a_while_is_let_through(self):
        """Requests with a part come by the dozen: time alone lets none through."""
        suspects = noted(
            *[end(name, of=of) for name in "abc" for of in (PART, OWN_PART)]
        )
        assert suspects.hold(PART, now_s=29.0).left_s == 1.0
        assert suspects.hold(PART, now_s=31.0).left_s == 0.0
        assert suspects.begin_trial(PART, now_s=31.0)
        assert not suspects.begin_trial(OWN_PART, now_s=32.0)
        assert suspects.begin_trial(OWN_PART, now_s=42.0)
        suspects.note(end("d", of=PART), now_s=43.0)
        assert suspects.hold(PART, now_s=43.0).left_s == 120.0

    def test_part_of_all_requests_when_all_servers_end_together(self):
        """Nothing is answered any more that would clear it: all were held back."""
        suspects = CrashSuspects()
        suspects.clear(PART, now_s=0.0)
        for number in range(20):
            suspects.note(end(f"s{number}", of=PART), now_s=290.0 + number)
            assert suspects.hold(PART, now_s=290.0 + number) is None
        hold = Hold(PART, 20.0, 1, (end("a", of=PART),))
        assert not suspects.take(hold, now_s=299.0)
        suspects.note(end("s", of=PART), now_s=311.0)
        assert suspects.hold(PART, now_s=311.0) is None

    def test_part_that_turns_deadly_after_an_answer(self):
        """Servers go on ending under it while requests without it are answered."""
        suspects = CrashSuspects()
        suspects.clear(PART, now_s=0.0)
        for number, at_s in enumerate((10.0, 10.4, 10.8)):
            suspects.note(end(f"s{number}", of=PART), now_s=at_s)
            suspects.note_begun((PART,))
        suspects.note_begun((OTHER_PART,))
        assert suspects.hold(PART, now_s=10.8) is None
        suspects.note(end("s3", of=PART), now_s=11.5)
        assert suspects.hold(PART, now_s=11.5).left_s == 2.0
        assert suspects.begin_trial(PART, now_s=13.5)
        suspects.note(end("s4", of=PART), now_s=13.75)
        assert suspects.hold(PART, now_s=13.75).left_s == 120.0

    def test_one_callers_trial_of_a_turned_part_keeps_others_from_theirs(self):
        """After two outages the parts of all callers are held back."""
        suspects = CrashSuspects()
        owns = [prompt_part_id("5c1e07a2", caller=one) for one in ("clinic", "depot")]
        for own in owns:
            suspects.clear(own, now_s=0.0)
            for number, at_s in enumerate((10.0, 10.4, 12.0)):
                suspects.note(end(f"s{number}", of=own), now_s=at_s)
        suspects.note_begun((OTHER_PART,))
        assert all(suspects.hold(own, now_s=14.1) for own in owns)
        assert all(suspects.begin_trial(own, now_s=14.1) for own in owns)
        assert not any(suspects.begin_trial(own, now_s=14.2) for own in owns)

    def test_requests_with_a_part_in_doubt_all_go_out_together(self):
        """One is sent; others wait for its answer to begin, 0.3 s at the most."""
        suspects = answered_then_ended()
        assert suspects.begin_probe((PART,), by="r1", now_s=10.0) == 0.0
        left_s = suspects.begin_probe((OTHER_PART, PART), by="r2", now_s=10.1)
        assert left_s == pytest.approx(0.2)
        assert suspects.begin_probe((OTHER_PART,), by="r3", now_s=10.1) == 0.0
        assert suspects.begin_probe((PART,), by="r2", now_s=10.3) == 0.0
        assert suspects.begin_probe((PART,), by="r1", now_s=10.3) > 0.0
        suspects.note_begun((PART,))
        assert suspects.begin_probe((PART,), by="r1", now_s=10.3) == 0.0
        assert suspects.begin_probe((PART,), by="r4", now_s=10.3) == 0.0

    def test_request_waits_for_itself(self):
        """A server has refused it, and it is sent once more."""
        suspects = answered_then_ended()
        assert suspects.begin_probe((PART,), by="r1", now_s=10.0) == 0.0
        assert suspects.begin_probe((PART,), by="r1", now_s=10.0) == 0.0

    def test_next_end_leaves_a_part_in_doubt_again(self):
        """The request that was sent has ended a server as well: another one follows."""
        suspects = answered_then_ended()
        suspects.note_begun((PART,))
        suspects.note(end("c", of=PART), now_s=10.1)
        assert suspects.begin_probe((PART,), by="r1", now_s=10.1) == 0.0
        assert suspects.begin_probe((PART,), by="r2", now_s=10.1) > 0.0

    def test_single_end_lets_no_request_wait(self):
        """Popular parts are under each end."""
        suspects = CrashSuspects()
        suspects.clear(PART, now_s=0.0)
        suspects.note(end("a", of=PART), now_s=9.0)
        assert suspects.begin_probe((PART,), by="r1", now_s=9.0) == 0.0
        assert suspects.begin_probe((PART,), by="r2", now_s=9.0) == 0.0

    def test_older_answer_clears_a_part_that_has_turned_deadly(self):
        """It began before the first end, when the part was sound."""
        suspects = answered_then_ended()
        assert not suspects.clear(PART, now_s=9.5, begun_s=8.9)
        assert len(suspects.ends(PART)) == 2
        assert suspects.clear(PART, now_s=9.5, begun_s=9.1)

    def test_ninth_end_tells_a_part_apart_from_another_one(self):
        """Eight are remembered, which both had."""
        parts = (PART, OTHER_PART)
        suspects = noted(*[end(f"s{n}", of=of) for n in range(8) for of in parts])
        assert suspects.hold_for((PART,), now_s=1.0) is None
        suspects.note(end("s8", of=PART), now_s=1.0)
        assert suspects.hold_for((PART,), now_s=1.0) is not None
        assert len(suspects.ends(PART)) == 8

    def test_part_that_begins_again_excuses_one_that_turned_deadly(self):
        """Both had the same ends, and requests with only one of them are answered."""
        suspects = CrashSuspects()
        for part in (PART, OTHER_PART):
            suspects.clear(part, now_s=0.0)
        for number, at_s in enumerate((10.0, 10.4, 12.0)):
            for part in (PART, OTHER_PART):
                suspects.note(end(f"s{number}", of=part), now_s=at_s)
        suspects.note_begun((prompt_part_id("third"),))
        assert suspects.hold_for((PART,), now_s=12.0) is None
        suspects.note_begun((OTHER_PART,))
        assert suspects.hold_for((PART,), now_s=12.0).trait == PART

    def test_answer_with_a_part_forgets_its_ends(self):
        """However many there were, and whatever else was answered."""
        suspects = CrashSuspects()
        for number in range(6):
            suspects.clear(PART, now_s=2.0 * number)
            suspects.note(end(f"a{number}", of=PART), now_s=2.0 * number + 0.5)
            suspects.note(end(f"b{number}", of=PART), now_s=2.0 * number + 1.9)
            suspects.note_begun((OTHER_PART,))
            assert suspects.hold(PART, now_s=2.0 * number + 1.9) is None

    def test_cleared_part_leaves_nothing_behind(self):
        """Nothing is looked up any more while nothing is suspected."""
        suspects = noted(end("a", of=PART))
        assert suspects.has_parts
        assert suspects.clear(PART, now_s=0.0)
        assert not suspects.has_parts
        assert not suspects


class TestTaken:
    def test_hold_from_elsewhere_counts(self):
        """An instance that starts takes in what the others know."""
        suspects = CrashSuspects()
        hold = Hold(WORK, 20.0, 2, (end("a"), end("b"), end("c")))
        assert suspects.take(hold, now_s=0.0)
        assert suspects.hold(WORK, now_s=19.0).number == 2
        assert suspects.hold(WORK, now_s=20.0) is None

    def test_older_word_changes_nothing(self):
        """A hold that is known, or an earlier one, is no news."""
        suspects = noted(end("a"), end("b"), end("c"))
        assert not suspects.take(Hold(WORK, 9e9, 1, ()), now_s=0.0)
        assert suspects.hold(WORK, now_s=0.0).left_s == 30.0

    def test_next_end_after_a_taken_hold_holds_longer(self):
        """It goes on where the other instance was."""
        suspects = CrashSuspects()
        ends = (end("a"), end("b"), end("c"))
        suspects.take(Hold(WORK, 5.0, 1, ends), now_s=0.0)
        suspects.note(end("d"), now_s=6.0)
        assert suspects.hold(WORK, now_s=6.0).left_s == 120.0


class TestBounds:
    def test_callers_new_bodies_take_only_its_own_places(self):
        """Nobody else's held work is forgotten for them."""
        suspects = CrashSuspects(max_traits=50)
        for name in "abc":
            suspects.note(end(name, of=work(caller="depot")), now_s=0.0)
        for number in range(1_000):
            suspects.note(end("x", of=work(number)), now_s=float(number))
        assert 45 < len(suspects) <= 50
        assert suspects.held(now_s=1.0) == [work(caller="depot")]

    def test_ever_new_parts_take_no_works_places(self):
        """A part that is held back stays, too."""
        suspects = CrashSuspects(max_traits=50)
        for name in "abc":
            suspects.note(end(name, of=WORK), now_s=0.0)
            suspects.note(end(name + "2", of=PART), now_s=0.0)
        for number in range(1_000):
            suspects.note(
                end("x", of=prompt_part_id(f"{number:x}")), now_s=float(number)
            )
        assert len(suspects) <= 50
        assert suspects.held(now_s=1.0) == [WORK, PART]

    def test_least_suspected_goes_first(self):
        """Of one caller's works those that are held back stay longest."""
        suspects = CrashSuspects(max_traits=3)
        for name in "abc":
            suspects.note(end(name, of=work(1)), now_s=0.0)
        for name in "ab":
            suspects.note(end(name, of=work(2)), now_s=1.0)
        for number in range(3, 9):
            suspects.note(end("x", of=work(number)), now_s=2.0)
        assert suspects.ends(work(1))
        assert suspects.ends(work(2))

    def test_full_list_of_ends_is_held_back_again(self):
        """The oldest end makes room for the one of the request that was let through."""
        suspects = noted(*[end(f"s{number}") for number in range(20)])
        assert suspects.note(end("later"), now_s=31.0)
        assert suspects.hold(WORK, now_s=31.0).left_s == 120.0
        assert len(suspects.ends(WORK)) == 8
        assert not suspects.note(end("s1"), now_s=31.5)

    def test_ends_of_one_work_are_bounded(self):
        """What comes without end takes no more room."""
        suspects = noted(*(end(f"s{n}") for n in range(100)))
        assert len(suspects.ends(WORK)) == 8


#: A day with troubles: servers of a fleet end on their own, some alone, some together.
DAY_S = 100
SERVERS = 30
TRIES = 4


def play_day(rng):
    """Play a day of ends; return how many works were held, and the works in all.

    Each work makes up to four sends, the next one as soon as a server ends under it.
    Sends last 2 s, and have begun after 0.1 s, or after 0.7 s where many are sent again
    at once.
    """
    suspects = CrashSuspects()
    sends = [
        [work(number), number / 40.0, rng.randrange(SERVERS), 1, 0.1]
        for number in range(40 * DAY_S)
    ]
    ends = [
        (rng.uniform(0, DAY_S), rng.sample(range(SERVERS), rng.choice((1, 1, 1, 5))))
        for _ in range(12)
    ]
    for at_s, ended in sorted(ends):
        for send in sends:
            name, since_s, server, tries, begins_s = send
            if server not in ended or not since_s <= at_s < since_s + 2.0:
                continue
            has_begun = at_s - since_s > begins_s
            suspects.note(
                end(f"{server}@{at_s}", of=name, has_begun=has_begun), now_s=at_s
            )
            if tries < TRIES:
                others = [one for one in range(SERVERS) if one not in ended]
                send[1:] = [at_s, rng.choice(others), tries + 1, 0.7]
    return len(suspects.held(now_s=float(DAY_S))), len(sends)


@pytest.mark.parametrize("seed", range(10))
def test_days_troubles_hold_nobody_back(seed):
    """Servers that end on their own, alone or together, put no work under suspicion."""
    held, works = play_day(random.Random(seed))
    assert works == 4_000
    assert held == 0
