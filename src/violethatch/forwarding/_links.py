# SPDX-License-Identifier: MIT
"""What one instance believes of its own links to backend servers.

A server that gives no answer and a link that is lost look alike from one instance.  A
check asks other servers of the service: where none answers, the links are lost.

Load pattern: a lost link is met by dozens of requests within some ms, and by several
instances at once; while links are sound, single servers fail every few minutes and all
of a zone's together now and then.
"""

from __future__ import annotations

import enum
import random

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .._listed import BackendServer


#: Servers that a check asks beside the suspected one.
CHECKED_SERVERS = 2
#: How long a check that was answered stands, in seconds: trouble met meanwhile is the
#: servers' own.
SOUND_LIFE_S = 0.5


class LinkState(enum.Enum):
    """What an instance's links say of a server that refuses connections."""

    SOUND = "sound"
    #: None of the servers that calls of its service are sent to can be reached, but
    #: others can.
    OTHERS_ANSWER = "others_answer"
    LOST = "lost"


class LinkCheck(NamedTuple):
    """What a check of a service's servers has found.

    Attributes:
        answered: The ids of the servers that gave an answer.
        silent: The ids of those that gave none.
        unclear: The ids of those that took a connection and gave none: they may be
            busy.
    """

    answered: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    unclear: tuple[str, ...] = ()


class LostLinks(NamedTuple):
    """Links to a service's servers that are believed lost.

    Attributes:
        since_s: When the first check that was not answered began, in monotonic
            seconds.
        silent: The servers that gave no answer in it.
    """

    since_s: float
    silent: tuple[str, ...]


class ServerLinks:
    """Beliefs about the links to each service's servers."""

    def __init__(self) -> None:
        self._lost: dict[str, LostLinks] = {}
        self._sound_s: dict[str, float] = {}
        #: By service, when one of its servers last answered a call.
        self._answered_s: dict[str, float] = {}

    def is_lost(self, service: str) -> bool:
        """Tell whether no server of a service can be reached."""
        return service in self._lost

    def lost(self) -> dict[str, LostLinks]:
        """Return, by service, the links that are believed lost."""
        return dict(self._lost)

    def needs_check(self, service: str, *, now_s: float) -> bool:
        """Tell whether trouble with a server calls for a check of the links."""
        if self.is_lost(service):
            return False
        return now_s - self._sound_s.get(service, -SOUND_LIFE_S) >= SOUND_LIFE_S

    def note_answer(self, service: str, *, now_s: float) -> None:
        """Note that a server of a service has answered a call."""
        self._answered_s[service] = now_s

    def has_answered(self, service: str, *, since_s: float) -> bool:
        """Tell whether a server of a service has answered a call since a moment."""
        return self._answered_s.get(service, -1.0) >= since_s

    def note_check(self, service: str, check: LinkCheck, *, began_s: float) -> bool:
        """Take a check in; tell whether it has changed the belief.

        Args:
            service: The service's name.
            check: What was found; one that asked nobody changes nothing.
            began_s: When it began, in monotonic seconds.
        """
        if check.answered:
            self._sound_s[service] = began_s
            return self._lost.pop(service, None) is not None
        silent = check.silent
        if self._lost:
            silent += check.unclear  # busy servers don't explain the other losses
        if self.is_lost(service):
            return False
        if not silent:
            self._sound_s[service] = began_s
            return False
        self._lost[service] = LostLinks(began_s, silent)
        return True

    def forget(self, service: str) -> None:
        """Forget a service that has no servers any more."""
        self._lost.pop(service, None)


def servers_to_check(
    listed: Iterable[BackendServer],
    *,
    suspect: BackendServer | None,
    zone: str,
    rng: random.Random,
) -> Sequence[BackendServer]:
    """Return the servers to ask in a check: one of the own zone, one of another.

    The own zone's may have failed together, and the other zones may be cut off.

    Args:
        listed: The service's servers.
        suspect: The one whose trouble led to the check; asked only if it is alone.
        zone: The instance's availability zone.
        rng: Chooses among servers of a zone.
    """
    others = [one for one in listed if suspect is None or one.id != suspect.id]
    if not others:
        return [suspect] if suspect is not None else []
    rng.shuffle(others)
    near = [one for one in others if one.availability_zone == zone]
    far = [one for one in others if one.availability_zone != zone]
    return [*near[:1], *far, *near[1:]][:CHECKED_SERVERS]
