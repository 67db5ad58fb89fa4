# SPDX-License-Identifier: MIT
"""Liveness probes of runners whose requests have stalled."""

from __future__ import annotations

import asyncio

from collections.abc import Callable, Iterable
from typing import NamedTuple

from . import clocks, running_time
from .backends import BackendServer
from .upstream import KeptBackError, ReportLateError, RunnerClient, RunnerReport


#: For how long a probe's result is reused, in seconds: many requests depend on the same
#: runner, and each probe has a cost.
_RESULT_TTL_S = 0.5


class _ProbeResult(NamedTuple):
    """The result of a probe; a runner that was probed without a report is silent."""

    report: RunnerReport | None
    received_s: float
    was_sent: bool = True


class ProbeResults(NamedTuple):
    """The results of probing several runners within a timeout.

    Attributes:
        silent: Runners that refused the connection or did not respond in time.
        pending: Runners whose probe is still in flight.
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
            time.
        on_report: Called with each runner and its report.
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
    ) -> None:
        self._client = client
        self._on_silent = on_silent
        self._on_late = on_late
        self._on_report = on_report
        self._results: dict[str, _ProbeResult] = {}
        self._tasks: dict[str, asyncio.Task[_ProbeResult]] = {}

    async def probe(
        self, servers: Iterable[BackendServer], *, timeout_s: float
    ) -> ProbeResults:
        """Probe runners and return the results available within a timeout.

        Args:
            servers: The runners to probe.
            timeout_s: For how long to wait for results, in seconds of running time;
                probes in flight continue afterwards.
        """
        probed = list(servers)
        results = {server.id: self._result_or_task(server) for server in probed}
        running = [task for task in results.values() if isinstance(task, asyncio.Task)]
        if running:
            # The request that started a probe may be cancelled while others await it.
            await running_time.wait(
                running, limit_s=timeout_s, return_when=asyncio.ALL_COMPLETED
            )
        silent, pending, skipped = [], [], []
        reports: dict[str, RunnerReport] = {}
        for server in probed:
            result = _completed_result(results[server.id])
            if result is None:
                pending.append(server)
            elif not result.was_sent:
                skipped.append(server)
            elif result.report is None:
                silent.append(server)
            else:
                reports[server.id] = result.report
        return ProbeResults(tuple(silent), tuple(pending), reports, tuple(skipped))

    def forget(self, server_id: str) -> None:
        """Remove the result of a server that is no longer listed."""
        self._results.pop(server_id, None)

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
        try:
            report = await self._client.report(server)
        except KeptBackError:
            was_sent = False
        except ReportLateError:
            is_late = True
        finally:
            self._tasks.pop(server.id, None)
        result = _ProbeResult(report, clocks.now_s(), was_sent)
        self._results[server.id] = result
        if report is not None:
            self._on_report(server, report)
        elif is_late:
            self._on_late(server)
        elif was_sent:
            self._on_silent(server)
        return result


def _completed_result(
    probe: _ProbeResult | asyncio.Task[_ProbeResult],
) -> _ProbeResult | None:
    """Return a probe's result, or None while it is in flight."""
    if isinstance(probe, _ProbeResult):
        return probe
    return probe.result() if probe.done() else None
