# SPDX-License-Identifier: MIT
"""Asking runners whether they are there, when a request is silent."""

from __future__ import annotations

import asyncio

from collections.abc import Callable, Iterable
from typing import NamedTuple

from . import clocks, running_time
from .backends import BackendServer
from .upstream import KeptBackError, RunnerClient, RunnerReport


#: How long the outcome of a probe counts, in seconds: many requests wait for the
#: same runner, and each probe is priced.
_PROBE_LIFE_S = 0.5


class _Outcome(NamedTuple):
    """What came of a probe; without a report the runner is silent, if it was asked."""

    report: RunnerReport | None
    known_s: float
    is_asked: bool = True


class ProbeResults(NamedTuple):
    """What probes of some runners have found within a time.

    Attributes:
        silent: Those that refuse the connection, or gave no answer in a probe's time.
        pending: Those that have not answered yet.
        skipped: Those that want nothing now, so that they were not asked.
        reports: By id, what the others told.
    """

    silent: tuple[BackendServer, ...]
    pending: tuple[BackendServer, ...]
    reports: dict[str, RunnerReport]
    skipped: tuple[BackendServer, ...] = ()


class Probes:
    """Probes of one instance, each shared by all requests that want it.

    Args:
        client: Asks the runners.
        on_silent: Told of each runner that gave no answer.
        on_report: Told of each runner's report.
    """

    def __init__(
        self,
        client: RunnerClient,
        *,
        on_silent: Callable[[BackendServer], None] = lambda _server: None,
        on_report: Callable[[BackendServer, RunnerReport], None] = (
            lambda _server, _report: None
        ),
    ) -> None:
        self._client = client
        self._on_silent = on_silent
        self._on_report = on_report
        self._known: dict[str, _Outcome] = {}
        self._running: dict[str, asyncio.Task[_Outcome]] = {}

    async def probe(
        self, servers: Iterable[BackendServer], *, timeout_s: float
    ) -> ProbeResults:
        """Return what is found of some runners within a time.

        Args:
            servers: Whom to ask.
            timeout_s: How long to wait for answers, in seconds of running time; the
                probes go on.
        """
        asked = list(servers)
        tasks = {one.id: self._probe(one) for one in asked}
        running = [task for task in tasks.values() if isinstance(task, asyncio.Task)]
        if running:
            # Who has started a probe may be cancelled; the others still want it.
            await running_time.wait(
                running, limit_s=timeout_s, return_when=asyncio.ALL_COMPLETED
            )
        silent, pending, unasked = [], [], []
        reports: dict[str, RunnerReport] = {}
        for server in asked:
            outcome = _outcome(tasks[server.id])
            if outcome is None:
                pending.append(server)
            elif not outcome.is_asked:
                unasked.append(server)
            elif outcome.report is None:
                silent.append(server)
            else:
                reports[server.id] = outcome.report
        return ProbeResults(tuple(silent), tuple(pending), reports, tuple(unasked))

    def forget(self, server_id: str) -> None:
        """Forget a server that is no longer listed."""
        self._known.pop(server_id, None)

    def _probe(self, server: BackendServer) -> _Outcome | asyncio.Task[_Outcome]:
        """Return what is known of a server, or the probe that will tell."""
        known = self._known.get(server.id)
        if known is not None and clocks.now_s() - known.known_s < _PROBE_LIFE_S:
            return known
        probe = self._running.get(server.id)
        if probe is None:
            probe = asyncio.create_task(self._ask(server))
            self._running[server.id] = probe
        return probe

    async def _ask(self, server: BackendServer) -> _Outcome:
        """Ask a server, and remember what it told."""
        report: RunnerReport | None = None
        is_asked = True
        try:
            report = await self._client.report(server)
        except KeptBackError:
            is_asked = False
        finally:
            self._running.pop(server.id, None)
        outcome = _Outcome(report, clocks.now_s(), is_asked)
        self._known[server.id] = outcome
        if report is not None:
            self._on_report(server, report)
        elif is_asked:
            self._on_silent(server)
        return outcome


def _outcome(probe: _Outcome | asyncio.Task[_Outcome]) -> _Outcome | None:
    """Return what a probe has found, or None while it has found nothing."""
    if isinstance(probe, _Outcome):
        return probe
    return probe.result() if probe.done() else None
