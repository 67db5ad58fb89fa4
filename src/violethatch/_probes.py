# SPDX-License-Identifier: MIT
"""Liveness probes of runners whose requests have stalled."""

from __future__ import annotations

import asyncio
import random

from collections.abc import Callable, Iterable
from typing import NamedTuple

from . import clocks, running_time
from .backends import BackendServer
from .report_times import CheckPauses, ReportTimes
from .upstream import KeptBackError, ReportLateError, RunnerClient, RunnerReport


#: For how long a probe's result is reused, in seconds: many requests depend on the same
#: runner, and each probe has a cost.
_RESULT_TTL_S = 0.5
#: Late reports that were pending for less are not judged, in seconds.
_LATE_S = 0.2


class _ProbeResult(NamedTuple):
    """The result of a probe; a runner that was probed without a report is silent.

    Attributes:
        is_late: Whether the runner accepted the request and did not respond in time.
    """

    report: RunnerReport | None
    received_s: float
    was_sent: bool = True
    is_late: bool = False


class ProbeResults(NamedTuple):
    """The results of probing several runners within a timeout.

    Attributes:
        silent: Runners that could not be connected to or whose response was invalid.
        pending: Runners that have not responded, whether the probe is still in flight
            or has timed out after the request was accepted.
        skipped: Runners in back-off, which were not probed.
        reports: The reports of the remaining runners, by id.
    """

    silent: tuple[BackendServer, ...]
    pending: tuple[BackendServer, ...]
    reports: dict[str, RunnerReport]
    skipped: tuple[BackendServer, ...] = ()


class Probes:
    """The probes of one instance, each shared by all requests that need it.

    Args:
        client: Sends the probes.
        on_silent: Called with each runner that could not be connected to or whose
            response was invalid.
        on_late: Called with each runner that accepted a request and did not respond in
            time, unless other runners are as late.
        on_report: Called with each runner and its report.
        rng: Selects the runners that a check probes.
    """

    def __init__(
        self,
        client: RunnerClient,
        *,
        on_silent: Callable[[BackendServer], None] = lambda _server: None,
        on_late: Callable[[BackendServer], None] = lambda _server: None,
        on_report: Callable[[BackendServer, RunnerReport], None] = (
            lambda _server, _report: None
        ),
        rng: random.Random | None = None,
    ) -> None:
        self.rng = rng or random.Random()
        self._client = client
        self._on_silent = on_silent
        self._on_late = on_late
        self._on_report = on_report
        self._results: dict[str, _ProbeResult] = {}
        self._tasks: dict[str, asyncio.Task[_ProbeResult]] = {}
        self.times = ReportTimes()
        self.pauses = CheckPauses()
        #: Runners in flight whose reports a check has found to be overdue.
        self._overdue: set[str] = set()

    async def probe(
        self,
        servers: Iterable[BackendServer],
        *,
        timeout_s: float,
        max_pending: int = 0,
    ) -> ProbeResults:
        """Probe runners and return the results available within a timeout.

        Args:
            servers: The runners to probe.
            timeout_s: For how long to wait for results, in seconds of running time;
                probes in flight continue afterwards.
            max_pending: How many results don't have to be waited for.
        """
        probed = list(servers)
        results = {server.id: self._result_or_task(server) for server in probed}
        running = {task for task in results.values() if isinstance(task, asyncio.Task)}
        if len(running) > max_pending:
            # The request that started a probe may be cancelled while others await it.
            await _wait_for_most(running, max_pending=max_pending, timeout_s=timeout_s)
        silent, pending, skipped = [], [], []
        reports: dict[str, RunnerReport] = {}
        for server in probed:
            result = _completed_result(results[server.id])
            if result is None or result.is_late:
                pending.append(server)
            elif not result.was_sent:
                skipped.append(server)
            elif result.report is None:
                silent.append(server)
            else:
                reports[server.id] = result.report
        return ProbeResults(tuple(silent), tuple(pending), reports, tuple(skipped))

    def record_overdue(self, server_ids: Iterable[str]) -> None:
        """Record runners whose probes count as unanswered once they time out."""
        self._overdue.update(one for one in server_ids if one in self._tasks)

    def forget(self, server_id: str) -> None:
        """Remove the result of a server that is no longer listed."""
        self._results.pop(server_id, None)
        self.times.forget(server_id)

    def _result_or_task(
        self, server: BackendServer
    ) -> _ProbeResult | asyncio.Task[_ProbeResult]:
        """Return a server's recent result, or the task of a probe in flight."""
        result = self._results.get(server.id)
        if result is not None and clocks.now_s() - result.received_s < _RESULT_TTL_S:
            return result
        probe = self._tasks.get(server.id)
        if probe is None:
            probe = asyncio.create_task(self._send_probe(server))
            self._tasks[server.id] = probe
        return probe

    async def _send_probe(self, server: BackendServer) -> _ProbeResult:
        """Probe a server and store the result."""
        report: RunnerReport | None = None
        was_sent, is_late = True, False
        self.times.record_sent(server.id, now_s=clocks.now_s())
        try:
            report = await self._client.report(server)
        except KeptBackError:
            was_sent = False
        except ReportLateError:
            is_late = True
        finally:
            self._tasks.pop(server.id, None)
        now_s = clocks.now_s()
        result = _ProbeResult(report, now_s, was_sent, is_late)
        self._results[server.id] = result
        if report is not None:
            self.times.record_response(server.id, now_s=now_s)
            self._on_report(server, report)
        elif is_late:
            self._handle_late(server, now_s=now_s)
        else:
            self.times.forget(server.id)
            if was_sent:
                self._on_silent(server)
        self._overdue.discard(server.id)
        return result

    def _handle_late(self, server: BackendServer, *, now_s: float) -> None:
        """Report a late runner if its lateness is its own."""
        if server.id in self._overdue or self.times.is_overdue(
            server.id, limit_s=_LATE_S, now_s=now_s
        ):
            self._on_late(server)


async def _wait_for_most(
    running: set[asyncio.Task[_ProbeResult]], *, max_pending: int, timeout_s: float
) -> None:
    """Wait until at most some probes are in flight, or for a time."""
    if not max_pending:
        await running_time.wait(
            running, limit_s=timeout_s, return_when=asyncio.ALL_COMPLETED
        )
        return
    until_s = clocks.now_s() + timeout_s
    while len(running) > max_pending:
        left_s = clocks.left_s(until_s)
        if left_s <= 0 or not await running_time.wait(running, limit_s=left_s):
            return
        running = {task for task in running if not task.done()}


def _completed_result(
    probe: _ProbeResult | asyncio.Task[_ProbeResult],
) -> _ProbeResult | None:
    """Return a probe's result, or None while it is in flight."""
    if isinstance(probe, _ProbeResult):
        return probe
    return probe.result() if probe.done() else None
