# SPDX-License-Identifier: MIT
"""What is known of a trait that servers ended under, and how it is held back."""

from __future__ import annotations

import math

from typing import NamedTuple


#: What an end counts for a trait whose request had no part of its answer yet, and for
#: one that had.
_UNBEGUN_WEIGHT = 2
_BEGUN_WEIGHT = 1
#: How long a trait is held back the first times, in seconds, before it is let through
#: once more; then for as long as it is remembered.
_HOLDS_S = (30.0, 120.0)
#: How long a trait is remembered after the last end under it, in seconds: what is not
#: held back for an hour, as a work that ends a server now and then is to be found too,
#: and what is held back for a day.
_SUSPECT_LIFE_S = 3_600.0
HELD_LIFE_S = 86_400.0


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
        return hold_s(self.number) - self.left_s


def hold_s(number: int) -> float:
    """Return how long a trait is held back for the nth time, in seconds."""
    return (*_HOLDS_S, HELD_LIFE_S)[min(number - 1, len(_HOLDS_S))]


class Suspect:
    """What is known of one trait."""

    __slots__ = (
        "begun",
        "ends",
        "first_s",
        "holds",
        "is_in_doubt",
        "last_s",
        "probed_s",
        "prober",
        "until_s",
        "was_answered",
    )

    def __init__(self, *, begun: int, was_answered: bool, now_s: float) -> None:
        #: The answers that had begun before its first end, and those with it since.
        self.begun = begun
        #: Whether it is a part that was answered shortly before its first end.
        self.was_answered = was_answered
        self.first_s = now_s
        #: By lifetime.
        self.ends: dict[str, End] = {}
        #: How often it was held back.
        self.holds = 0
        self.until_s = 0.0
        self.last_s = 0.0
        #: Whether no answer with it has begun since its last end.
        self.is_in_doubt = True
        #: Since when a request shows whether it ends servers, and that request's id.
        self.probed_s = -math.inf
        self.prober = ""

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
