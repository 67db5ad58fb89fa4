# SPDX-License-Identifier: MIT
"""Runners that report being slow.

.. versionadded:: 26.2.0
"""

from __future__ import annotations

import random

from typing import NamedTuple


#: The factor from which a runner counts as slow. Below it, reading a prompt again on
#: another runner costs more than slow steps do.
MIN_SLOWNESS = 2.0
#: For how long a runner's report is used, in seconds; the runner is probed again
#: sooner.
_REPORT_TTL_S = 4.0
#: The age of a slow runner's report at which the runner is probed again, in seconds.
_PROBE_AFTER_S = 2.0
#: How many instances send a probe at the same time, on average.
_PROBING_INSTANCES = 2.0


class _Report(NamedTuple):
    """A runner's reported slowness, and when it was received."""

    slowness: float
    received_s: float


class SlowRunners:
    """The latest reports of slow runners.

    .. versionadded:: 26.2.0
    """

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def record(self, server_id: str, slowness: float, *, now_s: float) -> None:
        """Record a runner's report.

        Args:
            server_id: The runner.
            slowness: The factor by which it is slower than its engine specifies.
            now_s: The current monotonic time, in seconds.
        """
        if slowness < MIN_SLOWNESS:
            self._reports.pop(server_id, None)
        else:
            self._reports[server_id] = _Report(slowness, now_s)

    def slow(self, *, now_s: float) -> dict[str, float]:
        """Return the slowness of slow runners by id."""
        return {
            server_id: report.slowness
            for server_id, report in self._reports.items()
            if now_s - report.received_s < _REPORT_TTL_S
        }

    def due_for_probe(
        self, *, instances: int, rng: random.Random, now_s: float
    ) -> list[str]:
        """Return the slow runners that this instance has to probe again.

        Args:
            instances: The number of instances that share the result of a probe.
            rng: Selects a few of many instances.
            now_s: The current monotonic time, in seconds.
        """
        probability = min(1.0, _PROBING_INSTANCES / max(1, instances))
        return [
            server_id
            for server_id, report in self._reports.items()
            if now_s - report.received_s >= _PROBE_AFTER_S
            and rng.random() < probability
        ]

    def forget(self, server_id: str) -> None:
        """Remove a runner that is no longer listed."""
        self._reports.pop(server_id, None)
