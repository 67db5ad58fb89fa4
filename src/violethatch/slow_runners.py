# SPDX-License-Identifier: MIT
"""How slow runners say that they are.

.. versionadded:: 26.2.0
"""

from __future__ import annotations

import random

from typing import NamedTuple


#: From here on a runner counts as slow: below it, what is lost by reading a prompt
#: again elsewhere is more than what a slow step costs.
SLOW = 2.0
#: How long a runner's word counts, in seconds: it is asked again before that.
_WORD_LIFE_S = 4.0
#: How old the word of a slow runner is when it is asked again, in seconds.
_ASK_AGAIN_S = 2.0
#: How many instances ask at once, on average.
_ASKING = 2.0


class _Word(NamedTuple):
    """What a runner said of its pace, and when."""

    slowness: float
    told_s: float


class SlowRunners:
    """What runners that are slow have said of themselves.

    .. versionadded:: 26.2.0
    """

    def __init__(self) -> None:
        self._words: dict[str, _Word] = {}

    def record(self, server_id: str, slowness: float, *, now_s: float) -> None:
        """Take a runner's word in.

        Args:
            server_id: The runner.
            slowness: How many times longer it takes than the engine states.
            now_s: The current monotonic time, in seconds.
        """
        if slowness < SLOW:
            self._words.pop(server_id, None)
        else:
            self._words[server_id] = _Word(slowness, now_s)

    def slow(self, *, now_s: float) -> dict[str, float]:
        """Return the slow runners, and how slow they are."""
        return {
            server_id: word.slowness
            for server_id, word in self._words.items()
            if now_s - word.told_s < _WORD_LIFE_S
        }

    def due_for_probe(
        self, *, instances: int, rng: random.Random, now_s: float
    ) -> list[str]:
        """Return the slow runners that this instance has to ask again.

        Args:
            instances: How many instances know of them; what one is told, all hear.
            rng: Decides which of many asks.
            now_s: The current monotonic time, in seconds.
        """
        part = min(1.0, _ASKING / max(1, instances))
        return [
            server_id
            for server_id, word in self._words.items()
            if now_s - word.told_s >= _ASK_AGAIN_S and rng.random() < part
        ]

    def forget(self, server_id: str) -> None:
        """Forget a runner that is no longer listed."""
        self._words.pop(server_id, None)
