# SPDX-License-Identifier: MIT
"""Faults of backend servers, as reported by other instances.

Without reports, each instance detects a dead runner on its own, at the cost of a retry.
A fault that was reported by another runner takes effect on all instances at once. One
that only an instance itself has observed may be caused by its own link, and takes
effect on the others once two instances have reported it.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import random

from collections.abc import Callable
from typing import NamedTuple

from .runner_health import RunnerHealth, ServerFault


#: Faults that a runner reports about another one.
_RUNNER_REPORTED = frozenset((ServerFault.NAMED, ServerFault.ABSENT))
#: The number of instances that must report a fault that they observed themselves.
_MIN_REPORTERS = 2
#: For how long such a report counts towards that number, in seconds.
_REPORT_TTL_S = 3.0
#: Maximum random extension of a reported cooldown, as a fraction of its length, so that
#: instances don't retry a server at the same time.
_JITTER_FRACTION = 0.5
#: Maximum cooldown that another instance's report can cause, in seconds.
_MAX_REMOTE_COOLDOWN_S = 6.0


class FaultReport(NamedTuple):
    """A server's fault, and the cooldown on the reporting instance.

    .. versionadded:: 26.1.0
    """

    server_id: str
    fault: ServerFault
    cooldown_s: float
    #: The start of the server that had the fault; 0 if unknown.
    started_ms: int = 0


def should_broadcast(fault: ServerFault) -> bool:
    """Return whether a fault is to be reported to other instances.

    .. versionadded:: 26.1.0
    """
    return fault in _RUNNER_REPORTED or fault in (
        ServerFault.SILENT,
        ServerFault.LEAVING,
    )


class FaultReportReceiver:
    """Processes the fault reports of other instances.

    Args:
        health: The instance's own view.
        on_leaving: Called with the report of a server's shutdown; returns whether it is
            new.
        rng: Randomizes the length of cooldowns.

    .. versionadded:: 26.1.0
    """

    def __init__(
        self,
        health: RunnerHealth,
        *,
        on_leaving: Callable[[FaultReport], bool] = lambda _report: False,
        rng: random.Random,
    ) -> None:
        self._health = health
        self._on_leaving = on_leaving
        self._rng = rng
        #: By server, the times of the latest reports of its silence by reporter.
        self._reports: dict[str, dict[str, float]] = {}

    def receive(self, report: FaultReport, *, reporter: str, now_s: float) -> bool:
        """Process a report; return whether it takes effect."""
        if report.fault is ServerFault.LEAVING:
            return self._on_leaving(report)
        if report.fault not in _RUNNER_REPORTED and not self._is_confirmed(
            report.server_id, reporter, now_s
        ):
            return False
        cooldown_s = min(_MAX_REMOTE_COOLDOWN_S, max(0.0, report.cooldown_s))
        cooldown_s *= 1.0 + self._rng.uniform(0.0, _JITTER_FRACTION)
        return self._health.start_cooldown(
            report.server_id, report.fault, cooldown_s, now_s=now_s
        )

    def _is_confirmed(self, server_id: str, reporter: str, now_s: float) -> bool:
        """Return whether enough instances have reported a server's silence."""
        reports = {
            instance_id: received_s
            for instance_id, received_s in self._reports.get(server_id, {}).items()
            if now_s - received_s < _REPORT_TTL_S
        }
        reports[reporter] = now_s
        self._reports[server_id] = reports
        return len(reports) >= _MIN_REPORTERS

    def forget(self, server_id: str) -> None:
        """Remove the reports of a server that is no longer listed."""
        self._reports.pop(server_id, None)
