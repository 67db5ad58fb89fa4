# SPDX-License-Identifier: MIT
"""How long reads of tables wait, so that a change is known in time after losses.

Load pattern: one or two instances of a region fall silent or are refused by the store
at the same time, while changes go on.  `tests/test_change_delay.py` replays the sums.

.. versionadded:: 26.7.0
"""

from __future__ import annotations

from . import clocks
from .instances import InstanceDirectory


#: The longest bound of which waits are parts, in seconds: several of them add up where
#: two instances fail at the same time, and a request takes its own time to arrive.
_MAX_WAIT_BOUND_S = 2.0
#: The part of the bound for which a read waits whose reader nobody follows.
_DIRECT_PART = 0.55
#: The part of it for which its answer may then take to begin: a connection that has
#: fallen silent leaves time for another read within the bound.
_ANSWER_PART = 0.2
#: The part of it for which another instance may wait that is asked once more, as it
#: may be about to find out that its own source is silent.
_REPEAT_PART = 0.1
#: The part of the bound for which a read of the store waits whose reader others
#: follow.
_READER_PART = 0.4
#: The same in a large region, where relays pass it on.
_REGION_READER_PART = 0.3
#: The part of it for which a relay lets its reader wait for its next proof: that
#: takes a read and the pause after one that brought changes.
_RELAY_PART = 0.45
#: The same for who follows a relay, which may just have changed its reader.
_FOLLOW_PART = 0.6
#: The part of it for which its answer is then still waited for.
_MARGIN_PART = 0.05


class ReadWaits:
    """The waits of one instance's reads, as parts of the bound on changes.

    Args:
        directory: Tells what the instance reads for others.
        bound_s: How late a change may be in force, in seconds.

    .. versionadded:: 26.7.0
    """

    def __init__(self, directory: InstanceDirectory, *, bound_s: float) -> None:
        self.bound_s = bound_s
        self._directory = directory

    @property
    def direct_s(self) -> float:
        """How long a read waits whose reader nobody follows, in seconds."""
        return self._part_s(_DIRECT_PART)

    @property
    def answer_s(self) -> float:
        """How much later than its wait a read's answer may begin, in seconds."""
        return self._part_s(_ANSWER_PART)

    @property
    def repeat_s(self) -> float:
        """How long another instance may wait that is asked once more, in seconds."""
        return self._part_s(_REPEAT_PART)

    @property
    def reader_s(self) -> float:
        """How long a read waits whose reader others follow, in seconds."""
        is_large = self._directory.is_region_large
        return self._part_s(_REGION_READER_PART if is_large else _READER_PART)

    @property
    def follow_s(self) -> float:
        """How long another instance may wait for its next proof, in seconds."""
        return self._part_s(_RELAY_PART if self._is_relay else _FOLLOW_PART)

    @property
    def margin_s(self) -> float:
        """How much later than that its answer may come, in seconds."""
        return self._part_s(_MARGIN_PART)

    @property
    def _is_relay(self) -> bool:
        """Whether this instance passes on what readers of its region know."""
        is_relay = self._directory.is_relay(now_s=clocks.now_s())
        return is_relay and self._directory.is_region_large

    def _part_s(self, part: float) -> float:
        """Return a part of the bound, in seconds."""
        return min(self.bound_s, _MAX_WAIT_BOUND_S) * part
