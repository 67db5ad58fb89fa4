# SPDX-License-Identifier: MIT
"""Asking runners whether they are there, when a request is silent."""

from __future__ import annotations

import asyncio
import time

from collections.abc import Iterable
from typing import NamedTuple

from .backends import BackendServer
from .upstream import RunnerClient


#: How long the outcome of a probe counts, in seconds: many requests wait for the
#: same runner, and each probe is priced.
_PROBE_LIFE_S = 0.5


class _Outcome(NamedTuple):
    """What came of a probe."""

    is_silent: bool
    known_s: float


class Probes:
    """Probes of one instance, each shared by all requests that want it.

    Args:
        client: Asks the runners.
    """

    def __init__(self, client: RunnerClient) -> None:
        self._client = client
        self._known: dict[str, _Outcome] = {}
        self._running: dict[str, asyncio.Task[bool]] = {}

    async def silent(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        """Return the servers that give no answer."""
        asked = list(servers)
        answers = await asyncio.gather(*(self._is_silent(one) for one in asked))
        return [
            server
            for server, is_silent in zip(asked, answers, strict=True)
            if is_silent
        ]

    def forget(self, server_id: str) -> None:
        """Forget a server that is no longer listed."""
        self._known.pop(server_id, None)

    async def _is_silent(self, server: BackendServer) -> bool:
        """Tell whether a server gives no answer."""
        known = self._known.get(server.id)
        if known is not None and time.monotonic() - known.known_s < _PROBE_LIFE_S:
            return known.is_silent
        probe = self._running.get(server.id)
        if probe is None:
            probe = asyncio.create_task(self._ask(server))
            self._running[server.id] = probe
        # Who has started it may be cancelled; the others still want it.
        return await asyncio.shield(probe)

    async def _ask(self, server: BackendServer) -> bool:
        """Ask a server, and remember whether it was silent."""
        try:
            is_silent = await self._client.report(server) is None
        finally:
            self._running.pop(server.id, None)
        self._known[server.id] = _Outcome(is_silent, time.monotonic())
        return is_silent
