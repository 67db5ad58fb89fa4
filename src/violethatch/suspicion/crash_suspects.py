# SPDX-License-Identifier: MIT
"""Which requests are held back, by what those have in common that servers end under.

A trait is what a request may share with others: its work, which a caller who comes back
sends again, and the parts of its prompt, see `work_ids`.

The load: a server runs up to 96 requests at once, and when it ends, all that it had are
under it.  One of them may have ended it; mostly none has.  What ends servers comes
again within seconds, at any instance, and each time takes a server and its company with
it.  So a single end says next to nothing of a trait, and three say much.

An end counts more for a work that had not begun to be answered there: what ends servers
does so when it is begun, and most of the company was well on its way.  A work that was
answered whole is no longer suspected, nor is a part of a prompt once any request with
it has been answered for a while.  Such a part is not suspected for some minutes: where
all servers end together, every popular part is under each end and nothing is answered
that would clear it.

Popular parts are under most ends, together with the one that is at fault.  Of parts
under the same ends, a request is held back only if it has all of them: what it lacks
may be at fault.  One more end tells them apart.

What is held back is let through twice more, each time after a longer while, so that
what was only in bad company is served again; what then ends a server is held back anew.
That is one time fewer than is allowed, as two instances may let it through at the same
moment.  Requests with a part may come by the dozen, so one instance alone lets one of
them through.

.. versionadded:: 26.4.0
"""

from __future__ import annotations

import collections
import math

from collections.abc import Collection, Iterable
from typing import NamedTuple

from ..work_ids import caller_of, is_part, part_of


#: What an end counts for a trait whose request had no part of its answer yet, and for
#: one that had.
_UNBEGUN_WEIGHT = 2
_BEGUN_WEIGHT = 1
#: From which weight on a trait is held back: three ends before its answer had begun.
#: What ends servers later is held back after six, which is as many as are allowed.
HELD_WEIGHT = 6
#: The ends that this takes at the least.
LEAST_ENDS = 3
#: How long a trait is held back the first times, in seconds, before it is let through
#: once more; then for as long as it is remembered.
_HOLDS_S = (30.0, 120.0)
#: How long after a request with a held part was let through another one may be, in
#: seconds: the first may have been refused everywhere.
TRIAL_PAUSE_S = 10.0
#: How long a trait is remembered after the last end under it, in seconds: what is not
#: held back for an hour, as a work that ends a server now and then is to be found too,
#: and what is held back for a day.
_SUSPECT_LIFE_S = 3_600.0
HELD_LIFE_S = 86_400.0
#: For how long a part of prompts is not suspected after an answer with it, in seconds.
SOUND_LIFE_S = 300.0
#: The most parts of which that is remembered.
_MAX_SOUND = 4_096
#: The most traits that are remembered, of some 500 bytes each.
_MAX_TRAITS = 2_048
#: Which share of a caller's traits is forgotten at once when there are too many.
_FORGOTTEN_SHARE = 1 / 16
#: The most ends that are remembered of one.
_MAX_ENDS = 8


class End(NamedTuple):
    """A server's end under a request with a trait.

    Attributes:
        trait: The id of a work, or of a prompt's part.
        lifetime: Which start of the server it was.
        has_begun: Whether a part of the answer had come from there.
        witness: The instance that has seen it.

    .. versionadded:: 26.4.0
    """

    trait: str
    lifetime: str
    has_begun: bool
    witness: str


class Hold(NamedTuple):
    """What holds requests back.

    Attributes:
        trait: What they have in common.
        left_s: For how much longer, in seconds; 0 if one request may be let through.
        number: How often it was held back so far, this time included.
        ends: What decided it.

    .. versionadded:: 26.4.0
    """

    trait: str
    left_s: float
    number: int
    ends: tuple[End, ...]

    @property
    def age_s(self) -> float:
        """For how long it has been held back this time, in seconds."""
        return _hold_s(self.number) - self.left_s


def _hold_s(number: int) -> float:
    """Return how long a trait is held back for the nth time, in seconds."""
    return (*_HOLDS_S, HELD_LIFE_S)[min(number - 1, len(_HOLDS_S))]


class _Suspect:
    """What is known of one trait."""

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

    def unbegun(self) -> set[str]:
        """Return the lifetimes that ended before an answer had begun."""
        return {one for one, end in self.ends.items() if not end.has_begun}


class CrashSuspects:
    """What one instance knows of the traits under which servers have ended.

    Args:
        max_traits: How many traits are remembered.

    .. versionadded:: 26.4.0
    """

    def __init__(self, *, max_traits: int = _MAX_TRAITS) -> None:
        self._max_traits = max_traits
        self._suspects: dict[str, _Suspect] = {}
        self._part_count = 0
        #: By part, when an answer last showed that it ends no server; the latest last.
        self._sound_s: dict[str, float] = {}
        #: By part, when a request with it was let through last.
        self._tried_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    @property
    def has_parts(self) -> bool:
        """Whether any part of a prompt is suspected."""
        return self._part_count > 0

    def note(self, end: End, *, now_s: float) -> bool:
        """Take an end in; tell whether it is new.

        An end after an answer had begun says nothing of a prompt's part, nor does any
        end of one that was answered of late.
        """
        if is_part(end.trait) and (end.has_begun or self.is_sound(end.trait, now_s)):
            return False
        suspect = self._suspects.get(end.trait)
        if suspect is not None and now_s - suspect.last_s >= suspect.life_s:
            self._drop(end.trait)
            suspect = None
        if suspect is None:
            suspect = self._add(end.trait, now_s)
        known = suspect.ends.get(end.lifetime)
        is_new = known is None or (known.has_begun and not end.has_begun)
        if not is_new or (known is None and len(suspect.ends) >= _MAX_ENDS):
            return False
        suspect.ends[end.lifetime] = end
        suspect.last_s = now_s
        is_held = now_s < suspect.until_s
        if known is None and not is_held and self._is_much(end.trait, suspect):
            self._hold(suspect, now_s)
        return True

    def hold(self, trait: str, *, now_s: float) -> Hold | None:
        """Return how a trait is held back, or None if it is not.

        A work is let through again when its time is over.  A part stays held back, with
        no time left, until a request with it is answered.
        """
        suspect = self._suspects.get(trait)
        if suspect is None or not suspect.holds:
            return None
        left_s = suspect.until_s - now_s
        if left_s <= 0.0 and not is_part(trait):
            return None
        if now_s - suspect.last_s >= suspect.life_s:
            return None
        return Hold(
            trait, max(0.0, left_s), suspect.holds, tuple(suspect.ends.values())
        )

    def hold_for(self, traits: Collection[str], *, now_s: float) -> Hold | None:
        """Return what holds a request back for longest, or None if nothing does.

        Args:
            traits: All traits of the request.
            now_s: The current monotonic time, in seconds.
        """
        holds = [
            hold
            for trait in traits
            if (hold := self.hold(trait, now_s=now_s)) is not None
            and not self._may_be_innocent(trait, traits)
        ]
        return max(holds, key=lambda hold: hold.left_s, default=None)

    def begin_trial(self, trait: str, *, now_s: float) -> bool:
        """Take the turn of letting one request with a held part through, if it is due.

        Args:
            trait: The part, whose hold has no time left.
            now_s: The current monotonic time, in seconds.
        """
        part = part_of(trait)
        tried_s = {
            one: at_s
            for one, at_s in self._tried_s.items()
            if now_s - at_s < TRIAL_PAUSE_S
        }
        is_due = part not in tried_s
        if is_due:
            tried_s[part] = now_s
        self._tried_s = tried_s
        return is_due

    def was_held(self, trait: str) -> bool:
        """Tell whether a trait was held back at some time, and is remembered."""
        suspect = self._suspects.get(trait)
        return suspect is not None and suspect.holds > 0

    def take(self, hold: Hold, *, now_s: float) -> bool:
        """Take in how a trait was held back elsewhere; tell whether it is new."""
        if self.is_sound(hold.trait, now_s):
            return False
        suspect = self._suspects.get(hold.trait)
        if suspect is not None and suspect.holds >= hold.number:
            return False
        if suspect is None:
            suspect = self._add(hold.trait, now_s)
        suspect.ends |= {end.lifetime: end for end in hold.ends[:_MAX_ENDS]}
        suspect.holds = hold.number
        suspect.until_s = now_s + hold.left_s
        suspect.last_s = now_s
        return True

    def ends(self, trait: str) -> tuple[End, ...]:
        """Return the ends under a trait."""
        suspect = self._suspects.get(trait)
        return tuple(suspect.ends.values()) if suspect is not None else ()

    def traits(self) -> list[str]:
        """Return all traits that are remembered."""
        return list(self._suspects)

    def is_sound(self, part: str, now_s: float) -> bool:
        """Tell whether an answer has shown of late that a part ends no server."""
        return now_s - self._sound_s.get(part, -SOUND_LIFE_S) < SOUND_LIFE_S

    def clear(self, trait: str, *, now_s: float) -> bool:
        """Forget a trait that is not at fault; tell whether it was known."""
        if is_part(trait):
            self._sound_s.pop(trait, None)
            self._sound_s[trait] = now_s
            while len(self._sound_s) > _MAX_SOUND:
                del self._sound_s[next(iter(self._sound_s))]
        is_known = trait in self._suspects
        if is_known:
            self._drop(trait)
        return is_known

    def held(self, *, now_s: float) -> list[str]:
        """Return the traits that are held back now."""
        return [
            trait
            for trait in self._suspects
            if self.hold(trait, now_s=now_s) is not None
        ]

    def _is_much(self, trait: str, suspect: _Suspect) -> bool:
        """Tell whether a trait's ends are enough to hold it back.

        Not those of a part that another trait explains, with more ends beside them.
        """
        if suspect.weight < HELD_WEIGHT or len(suspect.ends) < LEAST_ENDS:
            return False
        own = suspect.unbegun()
        return not is_part(trait) or not any(
            own < self._suspects[other].unbegun() for other in self._rivals(trait)
        )

    def _may_be_innocent(self, trait: str, traits: Collection[str]) -> bool:
        """Tell whether what a request lacks explains all ends under its part."""
        return is_part(trait) and any(
            rival not in traits for rival in self._rivals(trait)
        )

    def _rivals(self, trait: str) -> Iterable[str]:
        """Return the other traits under which all servers ended that did under one."""
        own = self._suspects[trait].unbegun()
        return (
            other
            for other, suspect in self._suspects.items()
            if len(suspect.ends) >= len(own)
            and other != trait
            and own <= suspect.unbegun()
        )

    def _hold(self, suspect: _Suspect, now_s: float) -> None:
        """Hold a trait back, longer each time."""
        suspect.holds += 1
        suspect.until_s = now_s + _hold_s(suspect.holds)

    def _add(self, trait: str, now_s: float) -> _Suspect:
        """Remember one more trait, and forget others for it if there are too many."""
        if len(self._suspects) >= self._max_traits:
            self._forget_old(now_s)
        while len(self._suspects) >= self._max_traits:
            self._forget_some()
        suspect = _Suspect()
        self._suspects[trait] = suspect
        self._part_count += is_part(trait)
        return suspect

    def _drop(self, trait: str) -> None:
        """Forget one trait."""
        del self._suspects[trait]
        self._part_count -= is_part(trait)

    def _forget_old(self, now_s: float) -> None:
        """Forget what is too old."""
        old = [
            trait
            for trait, one in self._suspects.items()
            if now_s - one.last_s >= one.life_s
        ]
        for trait in old:
            self._drop(trait)

    def _forget_some(self) -> None:
        """Forget the least suspected works of the caller who has most, or some parts.

        So a caller that sends ever new bodies takes only its own works' places, and
        ever new parts take only those of parts.  As many go at once as keep the search
        for them below 0.1 ms a trait.
        """
        counts = collections.Counter(caller_of(trait) for trait in self._suspects)
        ((fullest, count),) = counts.most_common(1)
        traits = [trait for trait in self._suspects if caller_of(trait) == fullest]
        traits.sort(key=self._worth_keeping)
        for trait in traits[: math.ceil(count * _FORGOTTEN_SHARE)]:
            self._drop(trait)

    def _worth_keeping(self, trait: str) -> tuple[int, int, float]:
        """Return what orders a caller's traits; the first ones are forgotten."""
        suspect = self._suspects[trait]
        return suspect.holds, suspect.weight, suspect.last_s
