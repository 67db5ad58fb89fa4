# SPDX-License-Identifier: MIT
"""Which servers' totals to tell a neighbour now, where not all fit.

.. versionadded:: 26.2.0
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .load_sums import ServerTotals


_NO_STREAMS = ServerTotals(0, 0.0)


class _Sent(NamedTuple):
    """What a neighbour was last told of a server, and in which round."""

    totals: ServerTotals
    round: int


class ChangeFeed:
    """What one neighbour was told, so that the largest changes go first.

    What is left of a message tells anew what was told longest ago: a message that
    was lost is made up for.

    .. versionadded:: 26.2.0
    """

    def __init__(self) -> None:
        self._sent: dict[int, _Sent] = {}
        self._round = 0

    def select(
        self, servers: Mapping[int, ServerTotals], *, limit: int
    ) -> dict[int, ServerTotals]:
        """Return what to tell next, and count it as told.

        Args:
            servers: All totals as they stand, by the server's number.
            limit: The most servers that fit.
        """
        self._round += 1
        numbers = servers.keys() | self._sent.keys()
        order = sorted(
            numbers,
            key=lambda one: (-self._change(one, servers), self._told_round(one), one),
        )
        picked = {one: servers.get(one, _NO_STREAMS) for one in order[:limit]}
        for number, totals in picked.items():
            self._note(number, totals)
        return picked

    def _change(self, number: int, servers: Mapping[int, ServerTotals]) -> float:
        """Return how far a server's totals are from what was told of it."""
        sent = self._sent.get(number)
        told = sent.totals if sent is not None else _NO_STREAMS
        return abs(servers.get(number, _NO_STREAMS).token_layers - told.token_layers)

    def _told_round(self, number: int) -> int:
        """Return the round in which a server was last told of."""
        sent = self._sent.get(number)
        return sent.round if sent is not None else 0

    def _note(self, number: int, totals: ServerTotals) -> None:
        """Note what was told; a server that has nothing is told twice."""
        sent = self._sent.get(number)
        if totals == _NO_STREAMS and sent is not None and sent.totals == _NO_STREAMS:
            del self._sent[number]
            return
        self._sent[number] = _Sent(totals, self._round)
