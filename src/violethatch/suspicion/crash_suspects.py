# SPDX-License-Identifier: MIT
"""Which works servers have ended under, and which of them are held back.

The load: a server runs up to 96 requests at once, and when it ends, all that it had are
under it.  One of them may have ended it; mostly none has.  A work that ends servers
comes again within seconds, at any instance, and each time takes a server and its
company with it.  So a single end says next to nothing of a work, and three say much.

An end counts more for a work that had not begun to be answered there: what ends servers
does so when it is begun, and most of the company was well on its way.  A work that was
answered whole is no longer suspected.

What is held back is let through twice more, each time after a longer while, so that a
work that was only in bad company is served again; one that then ends a server is held
back anew.  That is one time fewer than is allowed, as two instances may let it through
at the same moment.

.. versionadded:: 26.4.0
"""

from __future__ import annotations

import collections
import math

from typing import NamedTuple

from ..work_ids import caller_of


#: What an end counts for a work that had no part of its answer from there yet, and for
#: one that had.
_UNBEGUN_WEIGHT = 2
_BEGUN_WEIGHT = 1
#: From which weight on a work is held back: three ends before it had begun.  One that
#: ends servers later is held back after six, which is as many as are allowed.
HELD_WEIGHT = 6
#: The ends that this takes at the least.
LEAST_ENDS = 3
#: How long a work is held back the first times, in seconds, before it is let through
#: once more; then for as long as it is remembered.
_HOLDS_S = (30.0, 120.0)
#: How long a work is remembered after the last end under it, in seconds: what is not
#: held back for an hour, as a work that ends a server now and then is to be found too,
#: and what is held back for a day.
_SUSPECT_LIFE_S = 3_600.0
HELD_LIFE_S = 86_400.0
#: The most works that are remembered, of some 500 bytes each.
_MOST_WORKS = 2_048
#: Which part of a caller's works is forgotten at once when there are too many.
_FORGOTTEN_PART = 1 / 16
#: The most ends that are remembered of one.
_MOST_ENDS = 8


class End(NamedTuple):
    """A server's end under a work.

    Attributes:
        lifetime: Which start of the server it was.
        has_begun: Whether a part of the answer had come from there.
        witness: The instance that has seen it.

    .. versionadded:: 26.4.0
    """

    work: str
    lifetime: str
    has_begun: bool
    witness: str


class Hold(NamedTuple):
    """A work that is held back.

    Attributes:
        left_s: For how much longer, in seconds.
        number: How often it was held back so far, this time included.
        ends: What decided it.

    .. versionadded:: 26.4.0
    """

    work: str
    left_s: float
    number: int
    ends: tuple[End, ...]


class _Suspect:
    """What is known of one work."""

    __slots__ = ("ends", "holds", "last_s", "until_s")

    def __init__(self) -> None:
        #: By lifetime.
        self.ends: dict[str, End] = {}
        #: How often it was held back.
        self.holds = 0
        self.until_s = 0.0
        self.last_s = 0.0

    @property
    def weight(self) -> int:
        """What its ends count together."""
        return sum(
            _BEGUN_WEIGHT if end.has_begun else _UNBEGUN_WEIGHT
            for end in self.ends.values()
        )

    @property
    def life_s(self) -> float:
        """How long it is remembered, in seconds."""
        return HELD_LIFE_S if self.holds else _SUSPECT_LIFE_S


class CrashSuspects:
    """What one instance knows of works under which servers have ended.

    Args:
        most_works: How many works are remembered.

    .. versionadded:: 26.4.0
    """

    def __init__(self, *, most_works: int = _MOST_WORKS) -> None:
        self._most_works = most_works
        self._suspects: dict[str, _Suspect] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def note(self, end: End, *, now_s: float) -> bool:
        """Take an end in; tell whether it is news."""
        suspect = self._suspects.get(end.work)
        if suspect is not None and now_s - suspect.last_s >= suspect.life_s:
            suspect = None
        if suspect is None:
            suspect = self._add(end.work, now_s)
        known = suspect.ends.get(end.lifetime)
        is_news = known is None or (known.has_begun and not end.has_begun)
        if not is_news or (known is None and len(suspect.ends) >= _MOST_ENDS):
            return False
        suspect.ends[end.lifetime] = end
        suspect.last_s = now_s
        is_held = now_s < suspect.until_s
        is_much = suspect.weight >= HELD_WEIGHT and len(suspect.ends) >= LEAST_ENDS
        if known is None and is_much and not is_held:
            self._hold(suspect, now_s)
        return True

    def hold(self, work: str, *, now_s: float) -> Hold | None:
        """Return how a work is held back, or None if it is not."""
        suspect = self._suspects.get(work)
        if suspect is None or now_s >= suspect.until_s:
            return None
        left_s = suspect.until_s - now_s
        return Hold(work, left_s, suspect.holds, tuple(suspect.ends.values()))

    def was_held(self, work: str) -> bool:
        """Tell whether a work was held back at some time, and is remembered."""
        suspect = self._suspects.get(work)
        return suspect is not None and suspect.holds > 0

    def take(self, hold: Hold, *, now_s: float) -> bool:
        """Take in how a work was held back elsewhere; tell whether it is news."""
        suspect = self._suspects.get(hold.work)
        if suspect is not None and suspect.holds >= hold.number:
            return False
        if suspect is None:
            suspect = self._add(hold.work, now_s)
        suspect.ends |= {end.lifetime: end for end in hold.ends[:_MOST_ENDS]}
        suspect.holds = hold.number
        suspect.until_s = now_s + hold.left_s
        suspect.last_s = now_s
        return True

    def ends(self, work: str) -> tuple[End, ...]:
        """Return the ends under a work."""
        suspect = self._suspects.get(work)
        return tuple(suspect.ends.values()) if suspect is not None else ()

    def works(self) -> list[str]:
        """Return all works that are remembered."""
        return list(self._suspects)

    def clear(self, work: str) -> bool:
        """Forget a work that was answered whole; tell whether it was known."""
        return self._suspects.pop(work, None) is not None

    def held(self, *, now_s: float) -> list[str]:
        """Return the works that are held back now."""
        return [work for work, one in self._suspects.items() if now_s < one.until_s]

    def _hold(self, suspect: _Suspect, now_s: float) -> None:
        """Hold a work back, longer each time."""
        length_s = (*_HOLDS_S, HELD_LIFE_S)[min(suspect.holds, len(_HOLDS_S))]
        suspect.holds += 1
        suspect.until_s = now_s + length_s

    def _add(self, work: str, now_s: float) -> _Suspect:
        """Remember one more work, and forget others for it if there are too many."""
        if len(self._suspects) >= self._most_works:
            self._forget_old(now_s)
        while len(self._suspects) >= self._most_works:
            self._forget_some()
        suspect = _Suspect()
        self._suspects[work] = suspect
        return suspect

    def _forget_old(self, now_s: float) -> None:
        """Forget what is too old."""
        old = [
            work
            for work, one in self._suspects.items()
            if now_s - one.last_s >= one.life_s
        ]
        for work in old:
            del self._suspects[work]

    def _forget_some(self) -> None:
        """Forget the least suspected works of the caller who has most of them.

        So a caller that sends ever new bodies takes only its own works' places.  As
        many go at once as keep the search for them below 0.1 ms a work.
        """
        counts = collections.Counter(caller_of(work) for work in self._suspects)
        ((fullest, count),) = counts.most_common(1)
        works = [work for work in self._suspects if caller_of(work) == fullest]
        works.sort(key=self._worth_keeping)
        for work in works[: math.ceil(count * _FORGOTTEN_PART)]:
            del self._suspects[work]

    def _worth_keeping(self, work: str) -> tuple[int, int, float]:
        """Return what orders a caller's works; the first ones are forgotten."""
        suspect = self._suspects[work]
        return suspect.holds, suspect.weight, suspect.last_s
