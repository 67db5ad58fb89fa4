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
that would clear it.  It is suspected earlier if servers go on ending under it, for
longer than in an outage, while answers to requests without it begin.  Until it is told
apart from others, one request with it is sent at a time, and the next ones wait shortly
for its answer to begin.

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

from ..work_ids import caller_prefix, is_prompt_part, prompt_part_prefix
from ._suspect import End, Hold, Suspect, hold_s


#: From which weight on a trait is held back: three ends before its answer had begun.
#: What ends servers later is held back after six, which is as many as are allowed.
HELD_WEIGHT = 6
#: The ends that this takes at the least.
LEAST_ENDS = 3
#: How long after a request with a held part was let through another one may be, in
#: seconds: the first may have been refused everywhere.
TRIAL_PAUSE_S = 10.0
#: For how long a part of prompts is not suspected after an answer with it, in seconds.
SOUND_LIFE_S = 300.0
#: For how long ends under such a part have to go on until it is suspected all the same,
#: in seconds: in an outage they come together.
TURNED_SPAN_S = 1.5
#: How long it is held back for the first time then, in seconds: if these were outages
#: after all, the trial that follows clears the part.
_TURNED_HOLD_S = 2.0
#: The ends under such a part from which on requests with it are sent one at a time.
_PROBED_ENDS = 2
#: For how long requests wait for the one that probes such a part, in seconds: its
#: answer may take longer to begin.
PROBE_S = 0.3
#: The most parts of which that is remembered.
_MAX_SOUND = 4_096
#: The most traits that are remembered, of some 500 bytes each.
_MAX_TRAITS = 2_048
#: Which share of a caller's traits is forgotten at once when there are too many.
_FORGOTTEN_SHARE = 1 / 16
#: The most ends that are remembered of one.
_MAX_ENDS = 8


class CrashSuspects:
    """What one instance knows of the traits under which servers have ended.

    Args:
        max_traits: How many traits are remembered.

    .. versionadded:: 26.4.0
    """

    def __init__(self, *, max_traits: int = _MAX_TRAITS) -> None:
        self._max_traits = max_traits
        self._suspects: dict[str, Suspect] = {}
        self._part_count = 0
        #: By part, when an answer last showed that it ends no server; the latest last.
        self._sound_s: dict[str, float] = {}
        #: The answers to requests with parts that have begun.
        self._begun = 0
        #: By part or trait, when a request with it was let through last.
        self._tried_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    @property
    def has_parts(self) -> bool:
        """Whether any part of a prompt is suspected."""
        return self._part_count > 0

    def note(self, end: End, *, now_s: float) -> bool:
        """Take an end in; tell whether it is new.

        An end after an answer had begun says nothing of a prompt's part.
        """
        if is_prompt_part(end.trait) and end.has_begun:
            return False
        suspect = self._suspects.get(end.trait)
        if suspect is not None and now_s - suspect.last_s >= suspect.life_s:
            self._drop(end.trait)
            suspect = None
        if suspect is None:
            suspect = self._add(end.trait, now_s)
        known = suspect.ends.get(end.lifetime)
        is_new = known is None or (known.has_begun and not end.has_begun)
        if not is_new:
            return False
        suspect.is_in_doubt = True
        suspect.probed_s = -math.inf
        if known is None and len(suspect.ends) >= _MAX_ENDS:
            if not suspect.holds:
                suspect.last_s = now_s
            # The latest ends under a part tell it apart from others.
            is_enough = not suspect.holds or now_s < suspect.until_s
            if is_enough and not is_prompt_part(end.trait):
                return False
            del suspect.ends[next(iter(suspect.ends))]
        suspect.ends[end.lifetime] = end
        suspect.last_s = now_s
        if known is None:
            self._decide(end.trait, suspect, now_s)
        return True

    def hold(self, trait: str, *, now_s: float) -> Hold | None:
        """Return how a trait is held back, or None if it is not.

        A work is let through again when its time is over.  A part stays held back, with
        no time left, until a request with it is answered.
        """
        suspect = self._suspects.get(trait)
        if suspect is None:
            return None
        if not suspect.holds and suspect.was_answered:
            # Answers to requests without it may have begun since its last end.
            self._decide(trait, suspect, now_s)
        if not suspect.holds:
            return None
        left_s = suspect.until_s - now_s
        if left_s <= 0.0 and not is_prompt_part(trait):
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
        suspect = self._suspects.get(trait)
        key, pause_s = prompt_part_prefix(trait), TRIAL_PAUSE_S
        if suspect is not None and suspect.was_answered and suspect.holds == 1:
            # As likely sound as not, and then the parts of all callers are held.
            key, pause_s = trait, _TURNED_HOLD_S
        tried_s = {
            one: at_s
            for one, at_s in self._tried_s.items()
            if now_s - at_s < TRIAL_PAUSE_S
        }
        is_due = now_s - tried_s.get(key, -pause_s) >= pause_s
        if is_due:
            tried_s[key] = now_s
        self._tried_s = tried_s
        return is_due

    def begin_probe(self, parts: Iterable[str], *, by: str, now_s: float) -> float:
        """Take the turn of showing whether parts end servers, if any is in doubt.

        Args:
            parts: The parts of a request.
            by: The request's id.
            now_s: The current monotonic time, in seconds.

        Returns:
            How long to wait for the request whose turn it is, in seconds; 0 if the
            caller's may be sent.
        """
        doubted = [
            suspect
            for part in parts
            if (suspect := self._suspects.get(part)) is not None
            and suspect.was_answered
            and suspect.is_in_doubt
            and len(suspect.ends) >= _PROBED_ENDS
        ]
        left_s = max(
            (one.probed_s + PROBE_S - now_s for one in doubted if one.prober != by),
            default=0.0,
        )
        if left_s > 0.0:
            return left_s
        for suspect in doubted:
            suspect.probed_s, suspect.prober = now_s, by
        return 0.0

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
        suspect = self._suspects.get(part)
        has_turned = suspect is not None and self._has_turned(suspect)
        return self._was_answered(part, now_s) and not has_turned

    def note_begun(self, parts: Collection[str]) -> None:
        """Note that an answer to a request with some parts has begun."""
        self._begun += 1
        for part in parts:
            suspect = self._suspects.get(part)
            if suspect is not None:
                suspect.begun += 1
                suspect.is_in_doubt = False

    def clear(self, trait: str, *, now_s: float, begun_s: float | None = None) -> bool:
        """Forget a trait that is not at fault; tell whether it was known.

        Args:
            trait: What an answer shows to end no server.
            now_s: The current monotonic time, in seconds.
            begun_s: When the answer began, where that is known.  One that began before
                the first end under a part doesn't tell whether the part has turned.
        """
        if is_prompt_part(trait):
            self._sound_s.pop(trait, None)
            self._sound_s[trait] = now_s
            while len(self._sound_s) > _MAX_SOUND:
                del self._sound_s[next(iter(self._sound_s))]
        suspect = self._suspects.get(trait)
        if suspect is None:
            return False
        if suspect.was_answered and begun_s is not None and begun_s < suspect.first_s:
            return False
        self._drop(trait)
        return True

    def held(self, *, now_s: float) -> list[str]:
        """Return the traits that are held back now."""
        return [
            trait
            for trait in self._suspects
            if self.hold(trait, now_s=now_s) is not None
        ]

    def _was_answered(self, part: str, now_s: float) -> bool:
        """Tell whether a request with a part was answered of late."""
        return now_s - self._sound_s.get(part, -SOUND_LIFE_S) < SOUND_LIFE_S

    def _has_turned(self, suspect: Suspect) -> bool:
        """Tell whether ends since its last answer show that a part is at fault now."""
        return (
            len(suspect.ends) >= LEAST_ENDS
            and suspect.last_s - suspect.first_s >= TURNED_SPAN_S
            and self._begun > suspect.begun
        )

    def _decide(self, trait: str, suspect: Suspect, now_s: float) -> None:
        """Hold a trait back, if it isn't and its ends are enough."""
        is_first_hold = suspect.was_answered and not suspect.holds
        if now_s < suspect.until_s or (is_first_hold and not self._has_turned(suspect)):
            return
        if self._is_much(trait, suspect):
            self._hold(suspect, now_s, for_s=_TURNED_HOLD_S if is_first_hold else None)

    def _is_much(self, trait: str, suspect: Suspect) -> bool:
        """Tell whether a trait's ends are enough to hold it back.

        Not those of a part that another trait explains, with more ends beside them.
        """
        if suspect.weight < HELD_WEIGHT or len(suspect.ends) < LEAST_ENDS:
            return False
        own = suspect.unbegun()
        return not is_prompt_part(trait) or not any(
            own < self._suspects[other].unbegun() for other in self._rivals(trait)
        )

    def _may_be_innocent(self, trait: str, traits: Collection[str]) -> bool:
        """Tell whether what a request lacks explains all ends under its part.

        Not of a part that has turned, if answers with what it lacks begin again.
        """
        if not is_prompt_part(trait):
            return False
        has_turned = self._suspects[trait].was_answered
        return any(
            rival not in traits
            and (self._suspects[rival].is_in_doubt or not has_turned)
            for rival in self._rivals(trait)
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

    def _hold(
        self, suspect: Suspect, now_s: float, *, for_s: float | None = None
    ) -> None:
        """Hold a trait back, longer each time unless the time is given."""
        suspect.holds += 1
        suspect.until_s = now_s + (hold_s(suspect.holds) if for_s is None else for_s)

    def _add(self, trait: str, now_s: float) -> Suspect:
        """Remember one more trait, and forget others for it if there are too many."""
        if len(self._suspects) >= self._max_traits:
            self._forget_old(now_s)
        while len(self._suspects) >= self._max_traits:
            self._forget_some()
        suspect = Suspect(
            begun=self._begun,
            was_answered=is_prompt_part(trait) and self._was_answered(trait, now_s),
            now_s=now_s,
        )
        self._suspects[trait] = suspect
        self._part_count += is_prompt_part(trait)
        return suspect

    def _drop(self, trait: str) -> None:
        """Forget one trait."""
        del self._suspects[trait]
        self._part_count -= is_prompt_part(trait)

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
        counts = collections.Counter(caller_prefix(trait) for trait in self._suspects)
        ((fullest, count),) = counts.most_common(1)
        traits = [trait for trait in self._suspects if caller_prefix(trait) == fullest]
        traits.sort(key=self._worth_keeping)
        for trait in traits[: math.ceil(count * _FORGOTTEN_SHARE)]:
            self._drop(trait)

    def _worth_keeping(self, trait: str) -> tuple[int, int, float]:
        """Return what orders a caller's traits; the first ones are forgotten."""
        suspect = self._suspects[trait]
        return suspect.holds, suspect.weight, suspect.last_s
