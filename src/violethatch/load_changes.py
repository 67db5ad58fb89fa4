# SPDX-License-Identifier: MIT
"""Selects the servers' totals to send to a neighbour if not all fit in a datagram.

.. versionadded:: 26.2.0
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .load_sums import ServerTotals


_NO_STREAMS = ServerTotals(0, 0.0)


class _Sent(NamedTuple):
    """The last totals sent for a server, and the round in which they were sent."""

    totals: ServerTotals
    round: int


class ChangeFeed:
    """The totals that were sent to one neighbour, to send the largest changes first.

    Free space in a message is used to repeat the totals that were sent the longest ago:
    this makes up for lost messages.

    .. versionadded:: 26.2.0
    """

    def __init__(self) -> None:
        self._sent: dict[int, _Sent] = {}
        self._round = 0

    def select(
        self, servers: Mapping[int, ServerTotals], *, limit: int
    ) -> dict[int, ServerTotals]:
        """Select the totals to send next, and record them as sent.

        Args:
            servers: All current totals, by the server's number.
            limit: The maximum number of servers.
        """
        self._round += 1
        numbers = servers.keys() | self._sent.keys()
        ordered = sorted(
            numbers,
            key=lambda number: (
                -self._change(number, servers),
                self._sent_round(number),
                number,
            ),
        )
        selected = {
            number: servers.get(number, _NO_STREAMS) for number in ordered[:limit]
        }
        for number, totals in selected.items():
            self._record(number, totals)
        return selected

    def _change(self, number: int, servers: Mapping[int, ServerTotals]) -> float:
        """Return the difference between a server's current and sent totals."""
        sent = self._sent.get(number)
        known = sent.totals if sent is not None else _NO_STREAMS
        return abs(servers.get(number, _NO_STREAMS).token_layers - known.token_layers)

    def _sent_round(self, number: int) -> int:
        """Return the round in which a server was last sent."""
        sent = self._sent.get(number)
        return sent.round if sent is not None else 0

    def _record(self, number: int, totals: ServerTotals) -> None:
        """Record totals as sent; a server without load is sent twice, then removed."""
        sent = self._sent.get(number)
        if totals == _NO_STREAMS and sent is not None and sent.totals == _NO_STREAMS:
            del self._sent[number]
            return
        self._sent[number] = _Sent(totals, self._round)
