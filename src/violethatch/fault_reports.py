# SPDX-License-Identifier: MIT
"""Trouble with backend servers, told from instance to instance.

Each instance meets a dead runner by itself, and each time a retry is spent on it.
What another runner has said is passed on to all instances at once; what an
instance has only seen itself may be trouble of its own link, and counts for the
others once two have told it.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import random

from collections.abc import Callable
from typing import NamedTuple

from .runner_health import RunnerHealth, ServerFault


#: Troubles that a runner has told of another.
_TOLD = frozenset((ServerFault.NAMED, ServerFault.ABSENT))
#: How many instances have to tell what they have seen themselves.
_WITNESSES = 2
#: How long such a word waits for another's, in seconds.
_WORD_LIFE_S = 3.0
#: How much longer others leave a server alone, at most, as a part: not all should
#: try it again at the same moment.
_SPREAD_PART = 0.5
#: The longest rest that another instance's word can cause, in seconds.
_LONGEST_HEARD_S = 6.0


class FaultReport(NamedTuple):
    """A server's trouble, and how long its witness leaves it alone.

    .. versionadded:: 26.1.0
    """

    server_id: str
    trouble: ServerFault
    cooldown_s: float
    #: Which start of the server had it; 0 where it tells none.
    started_ms: int = 0


def should_broadcast(trouble: ServerFault) -> bool:
    """Tell whether others should hear of a trouble.

    .. versionadded:: 26.1.0
    """
    return trouble in _TOLD or trouble in (ServerFault.SILENT, ServerFault.LEAVING)


class FaultReportReceiver:
    """What an instance makes of others' sightings.

    Args:
        health: The instance's own view.
        on_leaving: Takes in that a server has said that it leaves, and tells whether
            that is news.
        rng: Spreads the ends of rests.

    .. versionadded:: 26.1.0
    """

    def __init__(
        self,
        health: RunnerHealth,
        *,
        on_leaving: Callable[[FaultReport], bool] = lambda _sighting: False,
        rng: random.Random,
    ) -> None:
        self._health = health
        self._on_leaving = on_leaving
        self._rng = rng
        #: By server, who has told of its silence, and when.
        self._words: dict[str, dict[str, float]] = {}

    def receive(self, sighting: FaultReport, *, witness: str, now_s: float) -> bool:
        """Take a sighting in; tell whether the server is left alone for it."""
        if sighting.trouble is ServerFault.LEAVING:
            return self._on_leaving(sighting)
        if sighting.trouble not in _TOLD and not self._is_confirmed(
            sighting.server_id, witness, now_s
        ):
            return False
        rest_s = min(_LONGEST_HEARD_S, max(0.0, sighting.cooldown_s))
        rest_s *= 1.0 + self._rng.uniform(0.0, _SPREAD_PART)
        return self._health.start_cooldown(
            sighting.server_id, sighting.trouble, rest_s, now_s=now_s
        )

    def _is_confirmed(self, server_id: str, witness: str, now_s: float) -> bool:
        """Tell whether enough instances have told of a server's silence."""
        words = {
            one: told_s
            for one, told_s in self._words.get(server_id, {}).items()
            if now_s - told_s < _WORD_LIFE_S
        }
        words[witness] = now_s
        self._words[server_id] = words
        return len(words) >= _WITNESSES

    def forget(self, server_id: str) -> None:
        """Forget a server that is no longer listed."""
        self._words.pop(server_id, None)
